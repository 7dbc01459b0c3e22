"""The limit on the wait for the next row of a data node, in memory.

Guards against clients, connections and memory that are held for good by a data node which falls
silent, or sends anything but rows, after rows of its answer have left.
"""

import socket

import pytest
from helpers import endpoint_entry
from test_sql_node_connection import LOGIN_RESPONSE, PoolHarness, Transport, logged_in

from tansycrank import routing
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.routing import Outcome
from tansycrank.sql_router.shard_statement import ShardStatement

LIMIT_MS = 1000.0
COLUMNS = pg.row_description((pg.Field("a", 25),))
ROW = pg.data_row([b"some text"])
NOTICE = pg.notice_response(PgError("00000", "a notice", severity="NOTICE"))
END = pg.command_complete("SELECT 2") + pg.ready_for_query("I")


class Streaming:
    """A call whose first row has arrived, and whose further rows are waited for."""

    def __init__(self):
        self.harness = PoolHarness()
        self.call = self.harness.send()
        self.connection = self.harness.accept()
        self.kernel, self.node = socket.socketpair()
        self.connection.transport.socket = self.kernel
        self.connection.dataReceived(COLUMNS + ROW)
        self.harness.pools.limit_row_wait(self.call, LIMIT_MS)

    def advance(self, seconds):
        """Let time pass, in small steps as a reactor does."""
        for _ in range(round(seconds / 0.01)):
            self.harness.reactor.advance(0.01)

    @property
    def outcomes(self):
        return self.harness.outcomes


@pytest.fixture
def streaming():
    new = Streaming()
    yield new
    new.kernel.close()
    new.node.close()


def test_a_silent_node_ends_its_call_after_the_limit(streaming):
    streaming.advance(0.98)
    assert not streaming.outcomes
    streaming.advance(0.04)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


@pytest.mark.parametrize("data", [NOTICE, ROW[:1], ROW[:-1]], ids=["notice", "type", "part"])
def test_what_is_no_whole_row_does_not_keep_a_call_alive(streaming, data):
    """Guards against a node that holds its client with notices, or with bytes of one row."""
    parts = [data] * 100 if data is NOTICE else [data]
    for part in parts:
        streaming.connection.dataReceived(part)
        streaming.advance(0.5 if len(parts) == 1 else 0.02)
    assert streaming.outcomes == ([Outcome.TIMED_OUT] if len(parts) > 1 else [])
    streaming.advance(0.6)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


def test_each_row_begins_the_wait_anew(streaming):
    for _ in range(5):
        streaming.advance(0.9)
        streaming.connection.dataReceived(ROW)
    assert not streaming.outcomes
    streaming.connection.dataReceived(END)
    streaming.advance(3.0)
    assert streaming.outcomes == [Outcome.SUCCEEDED]


def test_a_node_that_gives_all_rows_and_no_end_is_silent_too(streaming):
    streaming.connection.dataReceived(pg.command_complete("SELECT 1"))
    streaming.advance(1.1)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


def test_time_in_which_the_node_is_not_read_does_not_count(streaming):
    """Guards against slow clients that are taken for silent data nodes."""
    stream = streaming.harness.streams[0]
    streaming.advance(0.9)
    stream.set_paused(True)
    streaming.advance(5.0)
    stream.set_paused(False)
    streaming.advance(0.9)
    assert not streaming.outcomes
    streaming.advance(0.2)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


def test_what_arrived_while_the_router_was_stopped_is_read_first(streaming):
    streaming.node.send(ROW)
    streaming.harness.reactor.advance(20.0)
    assert not streaming.outcomes
    streaming.connection.dataReceived(streaming.kernel.recv(1000))
    streaming.advance(0.9)
    assert not streaming.outcomes
    streaming.advance(0.2)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


def test_a_node_that_floods_with_anything_but_rows_ends_its_call(streaming):
    """Guards against a node that holds its client since some of its bytes are always unread."""
    streaming.node.send(NOTICE)  # stays unread
    streaming.advance(1.9)
    assert not streaming.outcomes
    streaming.advance(0.2)
    assert streaming.outcomes == [Outcome.TIMED_OUT]


def test_no_timer_is_left_of_a_call_that_ended():
    harness, connection = logged_in()
    call = harness.send()
    second = harness.accept()
    second.dataReceived(COLUMNS + ROW)
    harness.pools.limit_row_wait(call, LIMIT_MS)
    second.dataReceived(END)
    connection.dataReceived(COLUMNS + ROW + END)
    assert not harness.reactor.getDelayedCalls()


SHARDS = 200  # of one query: more than nested calls would allow


def start_rows(connection):
    """Let a data node accept a connection and send the first row of its shard request."""
    connection.makeConnection(Transport())
    connection.transport.socket = socket.socket()
    connection.dataReceived(LOGIN_RESPONSE)
    connection.dataReceived(COLUMNS + ROW)


def calls_of(query):
    return [request.attempts[0] for request in query.shard_requests if request.attempts]


def test_a_silent_shard_ends_the_rows_of_all_others_with_one_error():
    """Guards against data nodes that go on with an answer whose client has got its error."""
    harness, outcomes = PoolHarness(max_links=SHARDS), []
    coordinator = harness.coordinator()
    entries = tuple(endpoint_entry(endpoint) for endpoint in range(1, SHARDS + 1))
    for endpoint in range(1, SHARDS + 1):
        harness.pools.set_address(endpoint, "10.0.0.1", endpoint)
    snapshot = routing.EndpointListKind.SNAPSHOT
    coordinator.handle_endpoint_list(routing.EndpointListUpdate(snapshot, entries))
    statements = [ShardStatement(0, f"SELECT {number}") for number in range(SHARDS)]
    query = coordinator.submit(
        0, 4000.0, statements, outcomes.append, streams_rows=True, row_wait_ms=LIMIT_MS
    )
    started = 0
    while started < SHARDS and harness.reactor.seconds() < 1.0:
        harness.reactor.advance(0.001)
        for _, _, factory, *_ in harness.reactor.tcpClients[started:]:
            start_rows(factory.buildProtocol(None))
        for call in calls_of(query)[started:]:
            query.memory.on_streaming(call.stream)
        started = len(harness.reactor.tcpClients)
    calls = calls_of(query)
    assert len(calls) == SHARDS
    last = calls[-1]
    harness.reactor.advance(0.9)
    for call in calls[:-1]:
        call.connection.dataReceived(ROW)
    harness.reactor.advance(0.11)
    assert last.ended and all(call.ended for call in calls)
    errors = {call.stream.error for call in calls}
    assert len(errors) == 1
    (error,) = errors
    assert error.state == "58T02" and "gave no row for 1000 ms" in error.detail
