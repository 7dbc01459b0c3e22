"""The lifecycle denies what its rules do not allow, and counts violations of the invariants."""

import pytest
from helpers import endpoint_entry

from tansycrank import routing
from tansycrank.lifecycle import (
    MAX_ANSWER_LATENESS,
    AnswerKind,
    AttemptDeniedError,
    DenialReason,
    Invariant,
    Lifecycle,
)
from tansycrank.routing import Idempotency, Outcome

DEDUP_WINDOW = 250.0  # ms in which a shard request with an idempotency key may be retried


class Router:
    """A lifecycle with endpoints 1 to 4, and its current time."""

    def __init__(self, **more):
        settings = routing.Settings(
            classes=(
                routing.QueryClass(latency_objective=500.0, deadline=1000.0, priority_weight=1.0),
            ),
            **more,
        )
        self.now, self.violations = 0.0, []
        self.lifecycle = Lifecycle(settings, self.violations.append)
        self.update_endpoints(routing.EndpointListKind.SNAPSHOT, *map(endpoint_entry, (1, 2, 3, 4)))

    def update_endpoints(self, kind, *entries):
        self.lifecycle.update_endpoints(routing.EndpointListUpdate(kind, entries))

    def accept(self, idempotency=Idempotency.IDEMPOTENT, shard_requests=1):
        return self.lifecycle.accept(
            "r1", idempotency, DEDUP_WINDOW, self.now + 1000.0, shard_requests, self.now
        )

    def prepare(self, query, endpoint=1, shard_request=0, start_within=0.0):
        return self.lifecycle.prepare_attempt(
            query, shard_request, endpoint, 800.0, start_within, self.now
        )

    def start(self, query, endpoint=1, shard_request=0):
        attempt = self.prepare(query, endpoint, shard_request)
        assert attempt.start(self.now) is None
        return attempt

    @property
    def violated_invariants(self):
        return [violation.invariant for violation in self.violations]


@pytest.fixture
def router():
    return Router()


def denial_reason(router, query, **more):
    with pytest.raises(AttemptDeniedError) as caught:
        router.prepare(query, **more)
    return caught.value.reason


def test_a_query_that_is_answered_violates_nothing(router):
    query = router.accept()
    attempt = router.start(query)
    attempt.end(Outcome.SUCCEEDED, 20.0)
    assert router.lifecycle.answer(query, AnswerKind.COMPLETE, 20.0) is AnswerKind.COMPLETE
    router.lifecycle.stop(30.0)
    assert not router.violations


@pytest.mark.parametrize("end", ["answered", "abandoned"])
def test_no_attempt_starts_for_a_query_that_has_ended(router, end):
    query = router.accept()
    prepared = router.prepare(query)
    if end == "answered":
        router.lifecycle.answer(query, AnswerKind.REJECTED, 5.0)
    else:
        router.lifecycle.abandon(query, 5.0)
    # an attempt that was prepared before is denied, which violates nothing
    assert prepared.start(6.0) is DenialReason.REQUEST_ENDED and not router.violations
    assert denial_reason(router, query) is DenialReason.REQUEST_ENDED
    # the policy requested this attempt after the end
    assert router.violated_invariants == [Invariant.NO_START_AFTER_END]


def test_a_prepared_hedge_does_not_start_after_the_first_answer(router):
    query = router.accept()
    first, hedge = router.start(query), router.prepare(query, 2)
    first.end(Outcome.SUCCEEDED, 5.0)
    assert hedge.start(5.0) is DenialReason.ANSWERED


def test_no_attempt_starts_at_or_after_the_deadline(router):
    prepared = router.prepare(router.accept())
    assert prepared.start(999.9) is None
    late = router.prepare(router.accept())
    assert late.start(1000.0) is DenialReason.DEADLINE


@pytest.mark.parametrize(
    "status", [routing.EndpointStatus.DRAINING, routing.EndpointStatus.REMOVED]
)
def test_no_attempt_starts_at_an_endpoint_that_is_draining_or_removed(router, status):
    query = router.accept()
    prepared = router.prepare(query)
    router.update_endpoints(routing.EndpointListKind.DELTA, endpoint_entry(1, status=status))
    assert prepared.start(1.0) is DenialReason.ENDPOINT and not router.violations
    assert denial_reason(router, query) is DenialReason.ENDPOINT
    assert router.violated_invariants == [Invariant.NOTHING_TO_DRAINING]


def test_a_snapshot_removes_missing_endpoints_and_a_failed_poll_removes_none(router):
    router.update_endpoints(routing.EndpointListKind.FAILED)
    router.start(router.accept())
    router.update_endpoints(routing.EndpointListKind.SNAPSHOT, endpoint_entry(2))
    assert denial_reason(router, router.accept(), endpoint=1) is DenialReason.ENDPOINT
    router.start(router.accept(), endpoint=2)


@pytest.mark.parametrize(
    "outcome, allowed",
    [
        (None, False),
        (Outcome.ERROR, False),
        (Outcome.CONNECTION_LOST, False),
        (Outcome.TIMED_OUT, False),
        (Outcome.CANCELLED, False),
        (Outcome.REJECTED, True),
        (Outcome.CONNECT_FAILED, True),
        (Outcome.NOT_SENT, True),
    ],
)
def test_a_non_idempotent_shard_request_is_retried_only_if_it_never_ran(router, outcome, allowed):
    query = router.accept(Idempotency.NOT_IDEMPOTENT)
    first = router.start(query)
    if outcome is not None:
        first.end(outcome, 5.0)
    if allowed:
        router.start(query, endpoint=2)
        assert not router.violations
    else:
        assert denial_reason(router, query, endpoint=2) is DenialReason.MAY_HAVE_RUN
        assert router.violated_invariants == [Invariant.NO_DOUBLE_EFFECT]


def test_another_shard_request_of_a_non_idempotent_query_is_no_retry(router):
    query = router.accept(Idempotency.NOT_IDEMPOTENT, shard_requests=2)
    router.start(query, shard_request=0)
    router.start(query, shard_request=1)
    assert not router.violations


def test_a_retry_with_a_key_starts_within_its_deduplication_window_only(router):
    query = router.accept(Idempotency.WITH_KEY)
    router.start(query).end(Outcome.CONNECTION_LOST, 5.0)
    router.now = 10.0
    in_time, late = router.prepare(query, 2), router.prepare(query, 3)
    assert in_time.start(DEDUP_WINDOW) is None
    assert late.start(DEDUP_WINDOW + 0.1) is DenialReason.REPEAT_WINDOW


def test_an_attempt_starts_within_the_time_set_by_the_policy_only(router):
    attempt = router.prepare(router.accept(), start_within=30.0)
    assert attempt.start(30.1) is DenialReason.REPEAT_WINDOW


def test_the_retry_budget_is_checked_when_an_attempt_starts_not_only_when_prepared():
    router = Router(budget_floor=1.0, budget_share=0.0, budget_window=1000.0)
    starts = []
    for _ in range(3):
        query = router.accept()
        router.start(query).end(Outcome.CONNECTION_LOST, 1.0)
        starts.append(router.prepare(query, 2))
    assert [attempt.start(20.0) for attempt in starts] == [
        None,
        DenialReason.BUDGET,
        DenialReason.BUDGET,
    ]
    router.now = 1021.0
    query = router.accept()
    router.start(query).end(Outcome.CONNECTION_LOST, 1022.0)
    assert router.prepare(query, 2).start(1023.0) is None


def test_a_further_attempt_is_no_retry_while_none_has_started():
    router = Router(budget_floor=0.0, budget_share=0.0, budget_window=1000.0)
    query = router.accept()
    router.prepare(query).end(Outcome.CONNECT_FAILED, 5.0)
    assert router.prepare(query, 2).start(6.0) is None


def test_a_second_final_answer_is_never_sent(router):
    query = router.accept()
    router.lifecycle.answer(query, AnswerKind.REJECTED, 1.0)
    assert router.lifecycle.answer(query, AnswerKind.COMPLETE, 2.0) is None
    assert router.violated_invariants == [Invariant.ONE_ANSWER]


def test_an_answer_far_beyond_its_deadline_is_a_violation(router):
    router.lifecycle.answer(router.accept(), AnswerKind.COMPLETE, 1000.0 + MAX_ANSWER_LATENESS)
    assert not router.violations
    router.lifecycle.answer(
        router.accept(), AnswerKind.COMPLETE, 1000.0 + MAX_ANSWER_LATENESS + 0.1
    )
    assert router.violated_invariants == [Invariant.ANSWER_IN_TIME]


@pytest.mark.parametrize("idempotency", [Idempotency.NOT_IDEMPOTENT, Idempotency.WITH_KEY])
def test_a_query_that_may_have_run_is_failed_not_rejected(router, idempotency):
    query = router.accept(idempotency)
    router.start(query)
    assert router.lifecycle.answer(query, AnswerKind.REJECTED, 5.0) is AnswerKind.FAILED
    assert router.violated_invariants == [Invariant.HONEST_ANSWER]


def test_an_answer_with_missing_values_is_not_called_complete(router):
    assert (
        router.lifecycle.answer(router.accept(), AnswerKind.COMPLETE, 5.0, missing=1)
        is AnswerKind.FAILED
    )
    assert router.violated_invariants == [Invariant.HONEST_ANSWER]


def test_closing_a_connection_or_stopping_with_an_unanswered_query_is_a_violation(router):
    query = router.accept()
    router.lifecycle.close_connection([query], "unused", 5.0)
    router.lifecycle.stop(6.0)
    assert router.violated_invariants == [Invariant.ANSWER_OWED] * 2


def test_no_attempt_starts_once_the_process_has_stopped(router):
    prepared = router.prepare(router.accept())
    router.lifecycle.stop(5.0)
    assert prepared.start(6.0) is DenialReason.STOPPED


def test_a_violation_carries_the_id_and_history_of_its_query(router):
    query = router.accept()
    router.start(query).end(Outcome.ERROR, 5.0)
    router.lifecycle.answer(query, AnswerKind.FAILED, 6.0)
    router.lifecycle.answer(query, AnswerKind.FAILED, 7.0)
    [violation] = router.violations
    assert violation.request == "r1"
    assert [event.partition(" ")[2] for event in violation.history] == [
        "accepted, 1 shard requests, deadline 1000.0",
        "0: prepared for endpoint 1",
        "0: started at endpoint 1",
        "0: error at endpoint 1",
        "failed",
        "VIOLATION: failed after answered",
    ]


def test_checks_are_counted_by_invariant(router):
    query = router.accept()
    router.start(query)
    router.lifecycle.answer(query, AnswerKind.COMPLETE, 5.0)
    figures = router.lifecycle.counters()
    assert figures["checked"]["one_answer"] == 1 and figures["checked"]["nothing_to_draining"] == 2
    assert figures["violated"] == {} and figures["not_started"] == {}


def test_queries_that_have_ended_are_not_kept(router):
    for _ in range(100):
        query = router.accept()
        router.start(query).end(Outcome.SUCCEEDED, 5.0)
        router.lifecycle.answer(query, AnswerKind.COMPLETE, 5.0)
    assert not router.lifecycle._open


def test_an_attempt_times_out_at_the_deadline_of_its_query_at_the_latest(router):
    router.now = 700.0
    query = router.lifecycle.accept(
        "r1", Idempotency.IDEMPOTENT, DEDUP_WINDOW, 1000.0, 1, router.now
    )
    assert router.prepare(query).deadline == 1000.0
