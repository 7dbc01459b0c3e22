"""An exception of one statement, session or action reaches nothing that others share.

Guards against a statement that cannot be encoded and ends the process of the SQL router.
"""

import tracemalloc

import pytest
from harness import SessionHarness, first_error
from helpers import settings
from test_planner import CONFIG_TEXT
from test_session import SELECT_ONE_SHARD, named_parse
from test_sql_node_connection import PoolHarness
from twisted.internet.task import Clock

from tansycrank import routing
from tansycrank.admission.reader_scheduler import ReaderScheduler
from tansycrank.merge.work import MergeScheduler, RowStream
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.routing.policy import RoutingPolicy
from tansycrank.sql_router.shard_statement import ShardStatement

MAX_PLAN_BYTES = 2_000_000  # of a statement of a few characters
ABSURD_PARAMETERS = {
    "SELECT * FROM trips WHERE note = $70000": "42P02",
    "SELECT * FROM trips WHERE note = $100000000": "42P02",
    "SELECT * FROM trips WHERE note = $0": "42P02",
    "SELECT * FROM trips WHERE note = $65535": "42P18",
    "SELECT * FROM trips WHERE note = $1 OR note = $3": "42P18",
    "INSERT INTO drivers (id, name) VALUES ($1, $70000)": "42P02",
    "SELECT $70000": "42P02",
    "SELECT * FROM trips LIMIT $70000": "42P02",
    "EXPLAIN SELECT * FROM trips WHERE note = $70000": "42P02",
    "COPY (SELECT * FROM trips WHERE note = $70000) TO STDOUT": "42P02",
}
TOO_MANY = (1,) * (pg.MAX_COUNT + 1)


@pytest.fixture
def harness():
    new_harness = SessionHarness(CONFIG_TEXT)
    new_harness.log_in()
    return new_harness


@pytest.mark.parametrize("sql", ABSURD_PARAMETERS)
def test_a_parameter_with_an_absurd_number_is_the_error_of_its_statement(harness, sql):
    """Guards against a parameter's number that ends the process, or takes gigabytes."""
    tracemalloc.start()
    messages = harness.send(named_parse("s", sql), pg.frame(b"D", b"Ss\0"), pg.SYNC_FRAME)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert first_error(messages).state == ABSURD_PARAMETERS[sql] and messages[-1][0] == "Z"
    assert peak < MAX_PLAN_BYTES
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


def test_the_types_of_many_parameters_count_as_memory_of_the_session(harness):
    """Guards against prepared statements that hold much that no limit counts."""
    held = harness.session.held_bytes
    body = b"s\0SELECT * FROM zones\0" + pg.MAX_COUNT.to_bytes(2, "big") + bytes(4 * pg.MAX_COUNT)
    harness.send(pg.frame(b"P", body), pg.SYNC_FRAME)
    assert harness.session.held_bytes - held > 8 * pg.MAX_COUNT


@pytest.mark.parametrize("field", ["oids", "values", "formats", "results"])
def test_a_statement_that_cannot_be_encoded_leaves_its_pool_as_it_was(field):
    """Guards against a connection that is lost with a statement which was never written."""
    harness = PoolHarness()
    with pytest.raises(PgError) as raised:
        harness.send(ShardStatement(0, "SELECT 1", **{field: TOO_MANY}))
    assert raised.value.state == "54000"
    assert not harness.ended and not harness.pools.nodes[1].waiting


class TestCoordinator:
    """A SQL coordinator over a pool that raises for one statement."""

    BAD = ShardStatement(0, "SELECT 1", TOO_MANY)
    GOOD = ShardStatement(0, "SELECT 2")

    def submit(self, *statements):
        harness = PoolHarness()
        self.policy_errors, self.faults, self.outcomes = [], [], []
        coordinator = harness.coordinator(self.policy_errors.append)
        coordinator.on_fault = lambda what, error: self.faults.append((what, error))
        entry = routing.EndpointEntry(1, 0, 0, routing.EndpointStatus.IN_SERVICE)
        snapshot = routing.EndpointListKind.SNAPSHOT
        coordinator.handle_endpoint_list(routing.EndpointListUpdate(snapshot, (entry,)))
        harness.reactor.advance(0)
        for statement in statements:
            outcomes = []
            self.outcomes.append(outcomes)
            coordinator.submit(0, 4000.0, [statement], outcomes.append)
        harness.reactor.advance(0)
        harness.reactor.advance(0.01)
        return coordinator

    def test_a_send_that_raises_ends_its_query_alone(self):
        """Guards against a statement that ends all queries and the process."""
        coordinator = self.submit(self.BAD, self.GOOD)
        (bad,), good = self.outcomes
        assert bad.state == "54000" and not good
        assert not self.policy_errors and len(self.faults) == 1
        assert len(coordinator.queries) == 1

    def test_an_answer_that_raises_concerns_its_query_alone(self):
        """Guards against a client whose answer fails and ends the queries of all others."""
        coordinator = self.submit(self.GOOD, self.GOOD)
        first, _ = list(coordinator.queries.values())

        def fail(outcome):
            raise RuntimeError("injected fault")

        first.done = fail
        coordinator.abandon(first)
        assert [what for what, _ in self.faults] == ["answer"]
        assert len(coordinator.queries) == 1 and not self.policy_errors


def test_an_action_that_raises_stops_no_other_action_of_its_step(monkeypatch):
    """Guards against an exception of one action that counts as a failure of the policy."""
    clock, policy_errors, failed, carried_out = Clock(), [], [], []

    def close(action):
        if action.endpoint == 1:
            raise RuntimeError("injected fault")
        carried_out.append(action.endpoint)

    actions = [routing.CloseIdleConnections(1), routing.CloseIdleConnections(2)]
    monkeypatch.setattr(RoutingPolicy, "step", lambda self, now, events: actions)
    loop = PolicyEventLoop(
        clock,
        settings(),
        1,
        {routing.CloseIdleConnections: close},
        policy_errors.append,
        lambda action, error: failed.append(action.endpoint),
    )
    loop.enqueue()
    clock.advance(0)
    assert (failed, carried_out, policy_errors) == ([1], [2], [])


def test_a_policy_that_raises_is_still_a_failure_of_the_policy(monkeypatch):
    clock, policy_errors = Clock(), []

    def fail(policy, now, events):
        raise RuntimeError("injected fault")

    monkeypatch.setattr(RoutingPolicy, "step", fail)
    loop = PolicyEventLoop(clock, settings(), 1, {}, policy_errors.append, pytest.fail)
    loop.enqueue()
    clock.advance(0)
    assert len(policy_errors) == 1


class Task:
    """A task or session that raises, or that counts its steps."""

    def __init__(self, id, raises):
        self.id, self.raises, self.steps, self.fault = id, raises, 0, None

    def step(self):
        self.steps += 1
        if self.raises:
            raise RuntimeError("injected fault")
        return False

    read_pending = step

    def end_after_fault(self, error):
        self.fault = error


def test_a_merge_that_raises_ends_alone():
    """Guards against large results that all wait since one of them raised an exception."""
    clock = Clock()
    scheduler = MergeScheduler(lambda call: clock.callLater(0, call), clock.seconds)
    bad, good = Task(1, raises=True), Task(2, raises=False)
    scheduler.wake(bad)
    scheduler.wake(good)
    clock.advance(0)
    assert bad.fault is not None and good.steps == 1


@pytest.mark.parametrize("failures", [1, 2], ids=["once", "also when its client is told"])
def test_the_client_of_a_merge_that_raises_is_told(failures):
    """Guards against a client that waits for good for rows that its router failed to pass on."""
    clock, harness, calls = Clock(), PoolHarness(), []
    scheduler = MergeScheduler(lambda call: clock.callLater(0, call), clock.seconds)
    memory = harness.memory_reservations.open(True)
    blocks = iter([(pg.data_row([b"1"]), 1)])
    stream = RowStream((), blocks, (), memory, scheduler)

    def ready():
        calls.append(stream.error)
        if len(calls) <= failures:
            raise RuntimeError("injected fault")

    other = Task(1, raises=False)
    stream.on_ready = ready
    scheduler.wake(other)
    clock.advance(0)
    assert len(calls) == 2 and calls[0] is None and calls[1].state == "XX000"
    assert stream.finished and other.steps == 1


def test_a_session_that_raises_while_it_is_read_keeps_no_other_from_being_read():
    """Guards against sessions that are never read again since one of them raised an exception."""
    clock, faults = Clock(), []
    scheduler = ReaderScheduler(lambda call: clock.callLater(0, call), clock.seconds, faults.append)
    bad, good = Task(1, raises=True), Task(2, raises=False)
    scheduler.schedule(bad, "a")
    scheduler.schedule(good, "b")
    clock.advance(0)
    assert len(faults) == 1 and good.steps == 1


def test_a_fault_of_a_deferred_message_is_the_answer_to_its_statement(harness, monkeypatch):
    """Guards against an exception of a deferred message that goes on to whoever continues it."""
    extended = harness.session._extended_query
    harness.send(named_parse("s", SELECT_ONE_SHARD), pg.frame(b"B", b"\0s\0" + bytes(6)))

    def fail(name):
        raise RuntimeError("injected fault")

    monkeypatch.setattr(extended, "_describe_portal", fail)
    messages = harness.send(pg.frame(b"D", b"P\0"), pg.SYNC_FRAME)
    assert first_error(messages).state == "XX000" and messages[-1][0] == "Z"
    monkeypatch.undo()
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"
