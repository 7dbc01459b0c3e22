"""What may still happen is asked of one component, which refuses what may not and counts
violations.
"""

import pytest
from helpers import endpoint_entry

from tansycrank import routing
from tansycrank.lifecycle import (
    LATE,
    AnswerKind,
    AttemptDeniedError,
    DenialReason,
    Invariant,
    Lifecycle,
)
from tansycrank.routing import Idempotency, Outcome

WINDOW = 250.0  # ms in which a keyed sub-request may be repeated


class Router:
    """A lifecycle with endpoints 1 to 4, and its time."""

    def __init__(self, **more):
        settings = routing.Settings(
            classes=(
                routing.QueryClass(latency_objective=500.0, deadline=1000.0, priority_weight=1.0),
            ),
            **more,
        )
        self.now, self.found = 0.0, []
        self.lifecycle = Lifecycle(settings, self.found.append)
        self.tell(routing.EndpointListKind.SNAPSHOT, *map(endpoint_entry, (1, 2, 3, 4)))

    def tell(self, kind, *entries):
        self.lifecycle.update_endpoints(routing.EndpointListUpdate(kind, entries))

    def take(self, idempotency=Idempotency.IDEMPOTENT, shard_requests=1):
        return self.lifecycle.accept(
            "r1", idempotency, WINDOW, self.now + 1000.0, shard_requests, self.now
        )

    def choose(self, request, endpoint=1, shard_request=0, start_within=0.0):
        return self.lifecycle.prepare_attempt(
            request, shard_request, endpoint, 800.0, start_within, self.now
        )

    def started(self, request, endpoint=1, shard_request=0):
        attempt = self.choose(request, endpoint, shard_request)
        assert attempt.start(self.now) is None
        return attempt

    @property
    def broken(self):
        return [violation.invariant for violation in self.found]


@pytest.fixture
def router():
    return Router()


def refused(router, request, **more):
    with pytest.raises(AttemptDeniedError) as caught:
        router.choose(request, **more)
    return caught.value.reason


def test_an_ordinary_request_breaks_nothing(router):
    request = router.take()
    attempt = router.started(request)
    attempt.end(Outcome.SUCCEEDED, 20.0)
    assert router.lifecycle.answer(request, AnswerKind.COMPLETE, 20.0) is AnswerKind.COMPLETE
    router.lifecycle.stop(30.0)
    assert not router.found


@pytest.mark.parametrize("end", ["answered", "abandoned"])
def test_nothing_starts_for_a_request_that_has_ended(router, end):
    request = router.take()
    waiting = router.choose(request)
    if end == "answered":
        router.lifecycle.answer(request, AnswerKind.REJECTED, 5.0)
    else:
        router.lifecycle.abandon(request, 5.0)
    assert waiting.start(6.0) is DenialReason.REQUEST_ENDED and not router.found  # revoked in time
    assert refused(router, request) is DenialReason.REQUEST_ENDED
    assert router.broken == [Invariant.NO_START_AFTER_END]  # the policy wanted it all the same


def test_a_hedge_that_waits_does_not_start_behind_the_first_answer(router):
    request = router.take()
    first, hedge = router.started(request), router.choose(request, 2)
    first.end(Outcome.SUCCEEDED, 5.0)
    assert hedge.start(5.0) is DenialReason.ANSWERED


def test_nothing_starts_at_or_after_the_deadline(router):
    waiting = router.choose(router.take())
    assert waiting.start(999.9) is None
    late = router.choose(router.take())
    assert late.start(1000.0) is DenialReason.DEADLINE


@pytest.mark.parametrize(
    "status", [routing.EndpointStatus.DRAINING, routing.EndpointStatus.REMOVED]
)
def test_nothing_starts_at_an_endpoint_that_is_draining_or_removed(router, status):
    request = router.take()
    waiting = router.choose(request)
    router.tell(routing.EndpointListKind.DELTA, endpoint_entry(1, status=status))
    assert waiting.start(1.0) is DenialReason.ENDPOINT and not router.found
    assert refused(router, request) is DenialReason.ENDPOINT
    assert router.broken == [Invariant.NOTHING_TO_DRAINING]


def test_what_a_whole_list_leaves_out_is_removed_and_a_failed_call_removes_nothing(router):
    router.tell(routing.EndpointListKind.FAILED)
    router.started(router.take())
    router.tell(routing.EndpointListKind.SNAPSHOT, endpoint_entry(2))
    assert refused(router, router.take(), endpoint=1) is DenialReason.ENDPOINT
    router.started(router.take(), endpoint=2)


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
def test_an_unsafe_sub_request_is_repeated_only_if_it_provably_never_ran(router, outcome, allowed):
    request = router.take(Idempotency.NOT_IDEMPOTENT)
    first = router.started(request)
    if outcome is not None:
        first.end(outcome, 5.0)
    if allowed:
        router.started(request, endpoint=2)
        assert not router.found
    else:
        assert refused(router, request, endpoint=2) is DenialReason.MAY_HAVE_RUN
        assert router.broken == [Invariant.NO_DOUBLE_EFFECT]


def test_another_sub_request_of_an_unsafe_request_is_no_repeat(router):
    request = router.take(Idempotency.NOT_IDEMPOTENT, shard_requests=2)
    router.started(request, shard_request=0)
    router.started(request, shard_request=1)
    assert not router.found


def test_a_keyed_repeat_starts_in_its_window_or_not_at_all(router):
    request = router.take(Idempotency.WITH_KEY)
    router.started(request).end(Outcome.CONNECTION_LOST, 5.0)
    router.now = 10.0
    in_time, late = router.choose(request, 2), router.choose(request, 3)
    assert in_time.start(WINDOW) is None
    assert late.start(WINDOW + 0.1) is DenialReason.REPEAT_WINDOW


def test_an_attempt_starts_within_the_time_that_the_policy_gave_it(router):
    attempt = router.choose(router.take(), start_within=30.0)
    assert attempt.start(30.1) is DenialReason.REPEAT_WINDOW


def test_repeats_stay_within_the_budget_when_they_start_not_only_when_they_are_chosen():
    router = Router(budget_floor=1.0, budget_share=0.0, budget_window=1000.0)
    starts = []
    for _ in range(3):
        request = router.take()
        router.started(request).end(Outcome.CONNECTION_LOST, 1.0)
        starts.append(router.choose(request, 2))
    assert [attempt.start(20.0) for attempt in starts] == [
        None,
        DenialReason.BUDGET,
        DenialReason.BUDGET,
    ]
    router.now = 1021.0
    request = router.take()
    router.started(request).end(Outcome.CONNECTION_LOST, 1022.0)
    assert router.choose(request, 2).start(1023.0) is None


def test_a_further_attempt_is_no_repeat_while_none_has_left():
    router = Router(budget_floor=0.0, budget_share=0.0, budget_window=1000.0)
    request = router.take()
    router.choose(request).end(Outcome.CONNECT_FAILED, 5.0)
    assert router.choose(request, 2).start(6.0) is None


def test_a_second_final_answer_never_goes_out(router):
    request = router.take()
    router.lifecycle.answer(request, AnswerKind.REJECTED, 1.0)
    assert router.lifecycle.answer(request, AnswerKind.COMPLETE, 2.0) is None
    assert router.broken == [Invariant.ONE_ANSWER]


def test_an_answer_that_is_lost_by_lateness_is_counted(router):
    router.lifecycle.answer(router.take(), AnswerKind.COMPLETE, 1000.0 + LATE)
    assert not router.found
    router.lifecycle.answer(router.take(), AnswerKind.COMPLETE, 1000.0 + LATE + 0.1)
    assert router.broken == [Invariant.ANSWER_IN_TIME]


@pytest.mark.parametrize("idempotency", [Idempotency.NOT_IDEMPOTENT, Idempotency.WITH_KEY])
def test_what_may_have_run_is_not_called_harmless_to_repeat(router, idempotency):
    request = router.take(idempotency)
    router.started(request)
    assert router.lifecycle.answer(request, AnswerKind.REJECTED, 5.0) is AnswerKind.FAILED
    assert router.broken == [Invariant.HONEST_ANSWER]


def test_an_answer_with_missing_values_is_not_called_whole(router):
    assert (
        router.lifecycle.answer(router.take(), AnswerKind.COMPLETE, 5.0, missing=1)
        is AnswerKind.FAILED
    )
    assert router.broken == [Invariant.HONEST_ANSWER]


def test_a_connection_or_process_that_ends_with_an_answer_owed_is_counted(router):
    request = router.take()
    router.lifecycle.close_connection([request], "unused", 5.0)
    router.lifecycle.stop(6.0)
    assert router.broken == [Invariant.ANSWER_OWED] * 2


def test_nothing_starts_once_the_process_has_stopped(router):
    waiting = router.choose(router.take())
    router.lifecycle.stop(5.0)
    assert waiting.start(6.0) is DenialReason.STOPPED


def test_a_violation_tells_its_request_and_what_went_before(router):
    request = router.take()
    router.started(request).end(Outcome.ERROR, 5.0)
    router.lifecycle.answer(request, AnswerKind.FAILED, 6.0)
    router.lifecycle.answer(request, AnswerKind.FAILED, 7.0)
    [violation] = router.found
    assert violation.request == "r1"
    assert [event.partition(" ")[2] for event in violation.history] == [
        "taken, 1 sub-requests, until 1000.0",
        "0: chosen for 1",
        "0: started at 1",
        "0: error at 1",
        "failed",
        "VIOLATION: failed after answered",
    ]


def test_what_was_checked_is_counted_by_invariant(router):
    request = router.take()
    router.started(request)
    router.lifecycle.answer(request, AnswerKind.COMPLETE, 5.0)
    figures = router.lifecycle.counters()
    assert figures["checked"]["one_answer"] == 1 and figures["checked"]["nothing_to_draining"] == 2
    assert figures["violated"] == {} and figures["not_started"] == {}


def test_nothing_is_kept_of_requests_that_have_ended(router):
    for _ in range(100):
        request = router.take()
        router.started(request).end(Outcome.SUCCEEDED, 5.0)
        router.lifecycle.answer(request, AnswerKind.COMPLETE, 5.0)
    assert not router.lifecycle._open


def test_an_attempt_is_waited_for_until_its_requests_deadline_at_most(router):
    router.now = 700.0
    request = router.lifecycle.accept("r1", Idempotency.IDEMPOTENT, WINDOW, 1000.0, 1, router.now)
    assert router.choose(request).deadline == 1000.0
