"""The admission controller carries out each action of the policy, whichever event causes it."""

from twisted.internet.task import Clock

from tansycrank.admission.controller import AdmissionController, rejection_error
from tansycrank.admission.identity import CallerIdentity
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings
from tansycrank.postgres.errors import QUERY_REJECTED, PgError

CALLER = CallerIdentity("a", "a/x", Limits())


class ControllerHarness:
    """An admission controller whose admitted queries run until `end` is called."""

    def __init__(self, **bounds):
        self.clock = Clock()
        self.controller = AdmissionController(self.clock, Policy(Settings(**bounds)))
        self.running, self.outcomes, self.remaining_at_start = {}, {}, {}

    def submit(self, name, caller=CALLER, remaining=1000.0, fingerprint=0):
        def start(remaining, done):
            self.running[name], self.remaining_at_start[name] = done, remaining
            return name

        return self.controller.submit(
            caller, 0, 1, remaining, start,
            lambda outcome: self.outcomes.setdefault(name, []).append(outcome),
            fingerprint=fingerprint,
        )  # fmt: skip

    def end(self, name, outcome="answer"):
        self.running.pop(name)(outcome)

    def fill(self, count=40):
        for number in range(count):
            self.submit(f"filler-{number}", remaining=60_000.0)
        return [n for n in (f"filler-{k}" for k in range(count)) if n not in self.running]


def test_a_queued_query_starts_with_its_remaining_time():
    harness = ControllerHarness()
    queued = harness.fill()
    assert queued
    harness.clock.advance(0.3)
    first = next(iter(harness.running))
    harness.end(first)
    assert harness.outcomes[first] == ["answer"]
    assert queued[0] in harness.running and harness.remaining_at_start[queued[0]] <= 59_700.0


def test_queries_admitted_by_an_early_rejection_check_are_started():
    harness = ControllerHarness()
    harness.fill()
    for _ in range(3):  # queries that end one by one, so that the drain rate is known
        harness.clock.advance(0.5)
        harness.end(next(iter(harness.running)))
    before = len(harness.running)
    harness.controller.policy.in_flight.shard_requests -= (
        2  # capacity not yet given to queued queries
    )
    error = harness.controller.reject_early(CallerIdentity("b", "b/x", Limits()), 0, 1.0, 7, False)
    error = error or harness.controller.reject_early(CALLER, 0, 1.0, 9, False)
    harness.controller.policy.in_flight.shard_requests += 2
    assert error is None or error.state == QUERY_REJECTED
    assert len(harness.controller.entries) == len(harness.controller.policy.queue.queries) + len(
        harness.controller.policy.in_flight.queries
    )
    assert len(harness.running) >= before


def test_early_rejection_is_limited_to_hopeless_queries_and_leaves_no_entry():
    harness = ControllerHarness()
    harness.fill()
    for _ in range(3):
        harness.clock.advance(0.5)
        harness.end(next(iter(harness.running)))
    error = harness.controller.reject_early(CALLER, 0, 5.0, 9, False)
    assert (
        isinstance(error, PgError)
        and error.state == QUERY_REJECTED
        and "retry_after_ms=" in error.detail
    )
    assert harness.controller.reject_early(CALLER, 0, 1e9, 11, False) is None
    assert len(harness.controller.entries) == len(harness.controller.policy.queue.queries) + len(
        harness.controller.policy.in_flight.queries
    )


def test_a_rejection_by_the_routing_policy_gets_the_retry_after_of_admission():
    harness = ControllerHarness()
    harness.submit("q", fingerprint=3)
    harness.end("q", PgError(QUERY_REJECTED, "no", "retry_after_ms=900"))
    (answer,) = harness.outcomes["q"]
    assert int(answer.detail.split("=")[1].split()[0]) >= 900 and "reason=module" in answer.detail


def test_a_cancelled_query_gets_one_outcome_and_leaves_the_queue():
    harness = ControllerHarness()
    harness.fill()
    entry = harness.submit("cancelled", remaining=60_000.0)
    harness.controller.cancel(entry, lambda running: None)
    harness.controller.cancel(entry, lambda running: None)
    assert [a.state for a in harness.outcomes["cancelled"]] == ["57014"]
    assert entry.id not in harness.controller.policy.queue.queries


def test_close_answers_all_queued_queries():
    harness = ControllerHarness()
    queued = harness.fill()
    harness.controller.close(PgError("57P01", "over"))
    assert all(harness.outcomes[name][0].state == "57P01" for name in queued)
    assert not [call for call in harness.clock.getDelayedCalls() if call.active()]


def test_a_queued_query_is_rejected_at_its_latest_useful_start():
    harness = ControllerHarness()
    harness.fill()
    harness.submit("urgent", remaining=200.0)
    assert "urgent" not in harness.outcomes
    harness.clock.pump([0.01] * 25)
    assert harness.outcomes["urgent"][0].state == QUERY_REJECTED


def test_without_a_policy_each_query_is_admitted_at_once():
    clock, started = Clock(), []
    controller = AdmissionController(clock, None)
    for _ in range(100):
        controller.submit(
            CALLER,
            0,
            1,
            100.0,
            lambda remaining, done: started.append(remaining),
            lambda outcome: None,
        )
    assert len(started) == 100


def test_the_retry_after_is_machine_readable():
    assert rejection_error(12.2, "line").detail == "retry_after_ms=13 reason=line corrected=0"
    assert rejection_error(-5, "early", True).detail == "retry_after_ms=0 reason=early corrected=1"
