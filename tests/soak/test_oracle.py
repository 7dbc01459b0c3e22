"""The soak's oracle finds each breach in what the parties recorded, and nothing in a good run."""

import pytest

from tansycrank.testbed.soak.oracle import Evidence, Invariant, Oracle
from tansycrank.testbed.soak.plan import FaultKind, draw
from tansycrank.testbed.soak.records import (
    ClientRecord,
    Ending,
    FaultRecord,
    HalfRequest,
    NodeEvent,
    NodeEventKind,
    Told,
)

PLAN = draw(1)
SAFE, UNSAFE, KEYED = "read_like", "non_idempotent", "idempotency_key"
LATER = 60_000.0  # ms


class Run:
    """A run that a test writes down."""

    def __init__(self):
        self.evidence = Evidence(PLAN, [], [], [], [], [], [], [])

    def ask(
        self,
        request="r1",
        effect=SAFE,
        sent=1_000.0,
        took=50.0,
        ending=Ending.ANSWERED,
        detail="",
        shards=(0,),
        deadline=800.0,
        open_for=0.0,
    ):
        record = ClientRecord(
            request, 0, effect, shards, sent, deadline, sent + took, ending, detail, sent + open_for
        )
        self.evidence.asked.append(record)

    def call(
        self, at, node="s-0", request="r1", shard=0, wait=100.0, kind=NodeEventKind.CALL, **more
    ):
        self.evidence.node_events.append(NodeEvent(at, node, kind, request, shard, wait, **more))

    def tell(self, at, full=False, router=0, **states):
        told = {name.replace("_", "-"): state for name, state in states.items()}
        self.evidence.told.append(Told(at, router, 1, told, full))

    def fault(self, kind, at, until, target="s-0"):
        self.evidence.faults.append(FaultRecord(at, kind.name, target, until))

    @property
    def broken(self):
        return [violation.invariant for violation in Oracle(self.evidence).judge().violations]


@pytest.fixture
def run():
    return Run()


def test_a_good_run_breaks_nothing_and_tells_what_it_put_to_the_test(run):
    run.ask()
    run.call(1_010.0)
    run.ask("r2", UNSAFE, ending=Ending.REFUSED)
    verdict = Oracle(run.evidence).judge()
    assert not verdict.violations and verdict.endings == {"answered": 1, "refused": 1}
    assert verdict.exercised[Invariant.ANSWERED] == 2
    assert verdict.exercised[Invariant.HARMLESS_REFUSAL] == 1


@pytest.mark.parametrize(
    "ending, took",
    [
        (Ending.NO_ANSWER, 900.0),
        (Ending.ANSWERED, 1_301.0),
        (Ending.FAILED, 1_301.0),
        (Ending.REFUSED, 1_301.0),
    ],
)
def test_no_answer_and_one_long_after_its_time_are_lost(run, ending, took):
    run.ask(took=took, ending=ending)
    assert run.broken == [Invariant.ANSWERED]


def test_a_router_that_was_killed_owes_nothing_any_more(run):
    run.ask(ending=Ending.NO_ANSWER)
    run.fault(FaultKind.ROUTER_CRASH, 1_020.0, 1_500.0, target="0")
    assert not run.broken


def test_a_request_that_crossed_a_close_is_lost_only_if_it_was_read(run):
    run.ask(ending=Ending.CROSSED)
    assert not run.broken
    run.call(1_010.0)
    assert run.broken == [Invariant.ANSWERED]


@pytest.mark.parametrize("open_for, broken", [(40.0, []), (60.0, [Invariant.ANSWERED])])
def test_a_request_is_lost_if_its_connection_was_open_long_after_it_and_ended_unread(
    run, open_for, broken
):
    """Guards against connections closed over requests, taken for closes that crossed them."""
    run.ask(took=70.0, ending=Ending.CROSSED, open_for=open_for)
    assert run.broken == broken


def test_the_time_in_which_its_router_was_stopped_does_not_count_for_an_unread_request(run):
    run.ask(took=170.0, ending=Ending.CROSSED, open_for=160.0)
    run.fault(FaultKind.ROUTER_STOP, 1_000.0, 1_120.0, target="0")
    assert run.broken == []


@pytest.mark.parametrize("ending", [Ending.ANSWERED, Ending.LEFT])
def test_what_arrives_after_the_end_is_found(run, ending):
    run.ask(ending=ending)
    run.call(1_400.0)
    assert run.broken == [Invariant.NOTHING_AFTER_END]
    run.fault(FaultKind.NODE_HANG, 900.0, 1_350.0)  # it may have come in time, and was read now
    assert not run.broken


def test_an_unsafe_sub_request_at_two_nodes_is_found_unless_one_turned_it_away(run):
    run.ask(effect=UNSAFE)
    run.call(1_005.0)
    run.call(1_006.0, kind=NodeEventKind.BUSY)
    run.call(1_010.0, node="s-1")
    assert not run.broken
    run.call(1_020.0, node="s-2")
    assert run.broken == [Invariant.NO_DOUBLE_EFFECT]


def test_a_keyed_repeat_after_its_window_is_found(run):
    run.ask(effect=KEYED, took=PLAN.dedup_window + 600.0, deadline=5_000.0)
    run.call(1_005.0)
    run.call(1_005.0 + PLAN.dedup_window, node="s-1")
    assert not run.broken
    run.call(1_005.0 + PLAN.dedup_window + 250.0, node="s-2")
    assert run.broken == [Invariant.NO_DOUBLE_EFFECT]


@pytest.mark.parametrize("effect", [UNSAFE, KEYED])
def test_a_refusal_of_what_ran_is_found(run, effect):
    run.ask(effect=effect, ending=Ending.REFUSED)
    run.call(1_010.0)
    assert run.broken == [Invariant.HARMLESS_REFUSAL]


def test_wrong_values_are_found(run):
    run.ask(detail="WRONG values {0: 'r9/0'}")
    assert run.broken == [Invariant.HONEST_VALUES]


def test_a_longer_wait_than_the_client_has_left_is_found(run):
    run.ask()
    run.call(1_010.0, wait=1_200.0)
    assert run.broken == [Invariant.DEADLINE_PASSED_ON]


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_a_send_to_a_drained_node_after_the_grace_is_found(run, state):
    run.tell(100.0, s_0="in_service")
    run.tell(500.0, s_0=state)
    run.ask(sent=500.0 + PLAN.drain_grace)
    run.call(505.0 + PLAN.drain_grace)
    assert not run.broken
    run.ask("r2", sent=800.0 + PLAN.drain_grace)
    run.call(805.0 + PLAN.drain_grace, request="r2")
    assert run.broken == [Invariant.NOTHING_TO_DRAINING]
    run.tell(5_000.0, s_0="in_service")
    run.ask("r3", sent=LATER)
    run.call(LATER, request="r3")
    assert len(run.broken) == 1


def test_a_node_that_a_whole_list_leaves_out_is_gone(run):
    run.tell(100.0, full=True, s_0="in_service", s_1="in_service")
    run.tell(200.0, full=True, s_1="in_service")
    run.ask(sent=LATER)
    run.call(LATER + 5.0)
    assert run.broken == [Invariant.NOTHING_TO_DRAINING]


def test_a_change_counts_as_told_in_the_end_also_where_it_was_never_written(run):
    run.tell(100.0, s_0="in_service")
    run.evidence.changes.append((1_000.0, "s-0", "terminating"))
    run.ask(sent=6_900.0)
    run.call(6_905.0)
    assert not run.broken
    run.ask("r2", sent=7_900.0)
    run.call(7_905.0, request="r2")
    assert run.broken == [Invariant.NOTHING_TO_DRAINING]
    run.fault(
        FaultKind.DISCOVERY_HANG, 2_000.0, 5_000.0
    )  # for three seconds it could not be reached
    assert not run.broken


def test_a_cold_node_that_fell_is_found(run):
    run.call(1_000.0, kind=NodeEventKind.FELL, share=1.2)
    assert run.broken == [Invariant.SLOW_START]


def test_repeats_beyond_the_budget_of_a_window_are_found(run):
    rules = PLAN.settings["rules"]
    most = int(rules["extraFloor"] + rules["repeatRatio"] * 2 * 12)
    for number in range(12):
        run.ask(f"r{number}", sent=1_000.0 + number)
    for number in range(most):
        run.call(1_020.0 + number / 10, request=f"r{number % 12}")
    assert not run.broken
    for number in range(most):
        run.call(1_030.0 + number / 10, request=f"r{number % 12}", node="s-1")
    assert run.broken == [Invariant.BUDGET]


@pytest.mark.parametrize(
    "ended, by_router, broken",
    [
        (2_500.0, True, 0),
        (3_300.0, True, 1),
        (3_500.0, False, 1),
    ],
)
def test_a_client_that_stops_halfway_is_owed_an_end(run, ended, by_router, broken):
    run.evidence.halves.append(HalfRequest(0, 0.0, ended, by_router))
    assert run.broken == [Invariant.HALF_REQUESTS] * broken


def test_a_violation_tells_the_whole_history_of_its_request(run):
    run.ask(effect=UNSAFE)
    run.call(1_005.0)
    run.call(1_020.0, node="s-2")
    [violation] = Oracle(run.evidence).judge().violations
    assert [line.split(" ", 1)[1].split(" wait")[0] for line in violation.history] == [
        "client: sent to router 0, non_idempotent, 800 ms, shards (0,)",
        "node s-0: call shard 0",
        "node s-2: call shard 0",
        "client: answered ",
    ]


def test_the_same_seed_gives_the_same_plan_and_each_stays_within_its_bounds():
    for seed in range(200):
        plan = draw(seed)
        assert plan == draw(seed) and 10 <= plan.processes <= 40
        assert all(0 <= fault.at < plan.seconds for fault in plan.faults)
    kinds = {fault.kind for seed in range(200) for fault in draw(seed).faults}
    assert kinds == set(FaultKind)
