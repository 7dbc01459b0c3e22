"""The gate carries out every action of the door, whoever's event brought it."""

from twisted.internet.task import Clock

from tansycrank.admission.controller import AdmissionController, rejection_error
from tansycrank.admission.identity import CallerIdentity
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings
from tansycrank.postgres.errors import QUERY_REJECTED, PgError

ASKER = CallerIdentity("a", "a/x", Limits())


class LocalCluster:
    """A gate with queries that end when told to."""

    def __init__(self, **bounds):
        self.clock = Clock()
        self.gate = AdmissionController(self.clock, Policy(Settings(**bounds)))
        self.running, self.heard, self.left = {}, {}, {}

    def ask(self, name, asker=ASKER, remaining=1000.0, fingerprint=0):
        def start(left, done):
            self.running[name], self.left[name] = done, left
            return name

        return self.gate.submit(
            asker, 0, 1, remaining, start,
            lambda outcome: self.heard.setdefault(name, []).append(outcome),
            fingerprint=fingerprint,
        )  # fmt: skip

    def end(self, name, outcome="answer"):
        self.running.pop(name)(outcome)

    def crowd(self, count=40):
        for number in range(count):
            self.ask(f"crowd-{number}", remaining=60_000.0)
        return [n for n in (f"crowd-{k}" for k in range(count)) if n not in self.running]


def test_a_query_waits_and_starts_with_the_time_it_has_left():
    site = LocalCluster()
    waiting = site.crowd()
    assert waiting
    site.clock.advance(0.3)
    first = next(iter(site.running))
    site.end(first)
    assert site.heard[first] == ["answer"]
    assert waiting[0] in site.running and site.left[waiting[0]] <= 59_700.0


def test_what_a_glance_lets_in_is_started():
    site = LocalCluster()
    site.crowd()
    for _ in range(3):  # ends one after the other, so that the door knows its pace
        site.clock.advance(0.5)
        site.end(next(iter(site.running)))
    before = len(site.running)
    site.gate.policy.in_flight.shard_requests -= 2  # room that nobody was told of
    problem = site.gate.reject_early(CallerIdentity("b", "b/x", Limits()), 0, 1.0, 7, False)
    problem = problem or site.gate.reject_early(ASKER, 0, 1.0, 9, False)
    site.gate.policy.in_flight.shard_requests += 2
    assert problem is None or problem.state == QUERY_REJECTED
    assert len(site.gate.entries) == len(site.gate.policy.queue.queries) + len(
        site.gate.policy.in_flight.queries
    )
    assert len(site.running) >= before


def test_a_glance_refuses_only_what_has_no_chance_and_leaves_nothing_behind():
    site = LocalCluster()
    site.crowd()
    for _ in range(3):
        site.clock.advance(0.5)
        site.end(next(iter(site.running)))
    problem = site.gate.reject_early(ASKER, 0, 5.0, 9, False)
    assert (
        isinstance(problem, PgError)
        and problem.state == QUERY_REJECTED
        and "retry_after_ms=" in problem.detail
    )
    assert site.gate.reject_early(ASKER, 0, 1e9, 11, False) is None
    assert len(site.gate.entries) == len(site.gate.policy.queue.queries) + len(
        site.gate.policy.in_flight.queries
    )


def test_the_modules_refusal_leaves_with_the_doors_wait():
    site = LocalCluster()
    site.ask("q", fingerprint=3)
    site.end("q", PgError(QUERY_REJECTED, "no", "retry_after_ms=900"))
    (answer,) = site.heard["q"]
    assert int(answer.detail.split("=")[1].split()[0]) >= 900 and "reason=module" in answer.detail


def test_who_leaves_hears_once_and_frees_the_line():
    site = LocalCluster()
    site.crowd()
    entry = site.ask("leaver", remaining=60_000.0)
    site.gate.cancel(entry, lambda running: None)
    site.gate.cancel(entry, lambda running: None)
    assert [a.state for a in site.heard["leaver"]] == ["57014"]
    assert entry.id not in site.gate.policy.queue.queries


def test_the_end_of_the_router_is_told_to_all_who_wait():
    site = LocalCluster()
    waiting = site.crowd()
    site.gate.close(PgError("57P01", "over"))
    assert all(site.heard[name][0].state == "57P01" for name in waiting)
    assert not [call for call in site.clock.getDelayedCalls() if call.active()]


def test_a_line_that_is_late_is_answered_at_its_moment():
    site = LocalCluster()
    site.crowd()
    site.ask("hurried", remaining=200.0)
    assert "hurried" not in site.heard
    site.clock.pump([0.01] * 25)
    assert site.heard["hurried"][0].state == QUERY_REJECTED


def test_with_the_door_off_everyone_goes_straight_in():
    clock, started = Clock(), []
    gate = AdmissionController(clock, None)
    for _ in range(100):
        gate.submit(
            ASKER, 0, 1, 100.0, lambda left, done: started.append(left), lambda outcome: None
        )
    assert len(started) == 100


def test_the_wait_is_in_a_field_machines_can_read():
    assert rejection_error(12.2, "line").detail == "retry_after_ms=13 reason=line corrected=0"
    assert rejection_error(-5, "early", True).detail == "retry_after_ms=0 reason=early corrected=1"
