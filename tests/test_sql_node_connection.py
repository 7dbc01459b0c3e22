"""Connections and pools: exactly one outcome per call, and what each outcome proves."""

import pytest
from helpers import LifecycleHarness, settings
from twisted.internet.testing import MemoryReactorClock, StringTransport

from tansycrank.config import StoreSection
from tansycrank.merge.blocks import MemoryReservations, ShardRowStream
from tansycrank.merge.spill import SpillSpace
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.routing import Outcome
from tansycrank.sql_router.connection_pool import ConnectionPool
from tansycrank.sql_router.coordinator import Coordinator
from tansycrank.sql_router.node_messages import ConnectionState
from tansycrank.sql_router.shard_statement import ShardStatement

ADDRESS = ("10.0.0.1", 5432)
LOGIN_RESPONSE = pg.AUTHENTICATION_OK + pg.backend_key_data(7, 99) + pg.ready_for_query("I")
STATEMENT = ShardStatement(0, "SELECT 1")
ROW_RESPONSE = (
    pg.row_description((pg.Field("a", 23),)) + pg.data_row([b"1"]) + pg.command_complete("SELECT 1")
)


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.aborted = True


class PoolHarness:
    """A pool with one scripted data node, on an in-memory reactor."""

    def __init__(self, max_row=1 << 20, **store):
        self.reactor = MemoryReactorClock()
        self.memory_reservations = MemoryReservations(
            1 << 26, 1 << 24, SpillSpace("", 0), lambda: self.reactor.seconds() * 1000
        )
        self.pools = ConnectionPool(self.reactor, StoreSection(**store), {"user": "x"}, max_row)
        self.streams = []
        self.lifecycle = LifecycleHarness()
        self.pools.set_address(1, *ADDRESS)
        self.ended, self.connections = [], []

    def coordinator(self, on_policy_error=pytest.fail):
        """Return a coordinator that sends its shard requests to this pool."""
        return Coordinator(
            self.reactor,
            settings(),
            1,
            self.pools,
            self.memory_reservations,
            lambda on: None,
            on_policy_error,
        )

    def send(self, statement=STATEMENT, timeout_ms=0.0, **bounds):
        stream = ShardRowStream(self.memory_reservations.open(False))
        self.streams.append(stream)
        attempt = self.lifecycle.attempt(self.reactor.seconds() * 1000)
        return self.pools.send(
            1, statement, stream, timeout_ms, self.ended.append, attempt, **bounds
        )

    def accept(self, log_in=True):
        """Accept the newest connection, and complete its login if `log_in` is set."""
        factory = self.reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)
        connection.makeConnection(Transport())
        self.connections.append(connection)
        if log_in:
            connection.dataReceived(LOGIN_RESPONSE)
        return connection

    @property
    def outcomes(self):
        return [e.outcome for e in self.ended]


def logged_in(harness=None, **store):
    harness = harness or PoolHarness(**store)
    harness.send()
    connection = harness.accept()
    return harness, connection


def test_rows_and_a_command_tag_are_an_answer_once_ready():
    harness, connection = logged_in()
    connection.dataReceived(ROW_RESPONSE)
    assert not harness.ended  # the commit may still fail
    connection.dataReceived(pg.ready_for_query("I"))
    assert harness.outcomes == [Outcome.SUCCEEDED] and harness.streams[0].rows == 1
    harness.send()
    assert len(harness.reactor.tcpClients) == 1  # the connection is reused


@pytest.mark.parametrize(
    "state, outcome",
    [
        ("22012", Outcome.SUCCEEDED),
        ("42P01", Outcome.SUCCEEDED),
        ("23505", Outcome.SUCCEEDED),
        ("0A000", Outcome.SUCCEEDED),
        ("P0001", Outcome.SUCCEEDED),
        ("21000", Outcome.SUCCEEDED),
        ("53200", Outcome.ERROR),
        ("57P01", Outcome.ERROR),
        ("57P02", Outcome.ERROR),
        ("58030", Outcome.ERROR),
        ("XX000", Outcome.ERROR),
        ("53300", Outcome.ERROR),
        ("57014", Outcome.ERROR),
    ],
)
def test_errors_after_the_statement_was_sent(state, outcome):
    harness, connection = logged_in()
    connection.dataReceived(pg.error_response(PgError(state, "x")) + pg.ready_for_query("I"))
    assert harness.outcomes == [outcome] and harness.ended[0].error.state == state


@pytest.mark.parametrize(
    "state, outcome",
    [
        ("53300", Outcome.REJECTED),
        ("57P03", Outcome.REJECTED),
        ("28P01", Outcome.CONNECT_FAILED),
    ],
)
def test_a_login_error_proves_that_the_request_was_never_executed(state, outcome):
    harness = PoolHarness()
    harness.send()
    connection = harness.accept(log_in=False)
    connection.dataReceived(pg.error_response(PgError(state, "x", severity="FATAL")))
    connection.connectionLost()
    assert harness.outcomes == [outcome] and outcome.never_executed


def test_a_failed_connect_is_never_executed():
    harness = PoolHarness()
    harness.send()
    harness.reactor.tcpClients[-1][2].clientConnectionFailed(None, _Failure())
    assert harness.outcomes == [Outcome.CONNECT_FAILED]


class _Failure:
    def check(self, *kinds):
        return None


def test_a_login_without_a_response_times_out():
    harness = PoolHarness(connect_timeout_ms=500)
    harness.send()
    harness.accept(log_in=False)
    harness.reactor.advance(0.6)
    assert harness.outcomes == [Outcome.CONNECT_FAILED]


def test_a_connection_lost_after_the_send_may_have_run():
    harness, connection = logged_in()
    connection.dataReceived(ROW_RESPONSE)
    connection.connectionLost()
    assert harness.outcomes == [Outcome.CONNECTION_LOST]


def test_losing_an_idle_connection_reports_no_outcome():
    harness, connection = logged_in()
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    connection.connectionLost()
    harness.send()
    assert len(harness.reactor.tcpClients) == 2 and len(harness.ended) == 1


def test_a_call_cancelled_before_it_was_sent_ends_as_not_sent():
    harness = PoolHarness()
    call = harness.send()
    harness.pools.cancel(call)
    assert harness.outcomes == [Outcome.NOT_SENT]
    connection = harness.accept()
    assert (
        connection.state is ConnectionState.IDLE
        and not list(connection.transport.value().split(b"SELECT"))[1:]
    )


def test_a_cancel_is_reported_at_once_and_the_connection_waits_for_the_cancel_request():
    harness = PoolHarness()
    call = harness.send()
    connection = harness.accept()
    harness.pools.cancel(call)
    assert harness.outcomes == [Outcome.CANCELLED]
    cancel_connection = harness.reactor.tcpClients[-1][2].buildProtocol(None)
    cancel_connection.makeConnection(StringTransport())
    assert cancel_connection.transport.value() == pg.cancel_request(7, 99)
    connection.dataReceived(pg.error_response(PgError("57014", "x")) + pg.ready_for_query("I"))
    before = len(harness.reactor.tcpClients)
    harness.send()  # the CancelRequest could still cancel its next statement
    assert len(harness.reactor.tcpClients) == before + 1
    assert connection.state is ConnectionState.AWAITING_CANCEL
    cancel_connection.connectionLost()
    assert connection.state is ConnectionState.BUSY  # with the call that waited for a connection


def test_a_connection_whose_node_ignores_the_cancel_is_closed():
    harness = PoolHarness(cancel_grace_ms=400)
    call = harness.send()
    connection = harness.accept()
    harness.pools.cancel(call)
    harness.reactor.advance(0.5)
    assert connection.transport.aborted and not harness.pools.nodes[1].connections


def test_a_timeout_is_the_only_outcome_whatever_arrives_later():
    harness = PoolHarness()
    harness.send(timeout_ms=100.0)
    connection = harness.accept()
    harness.reactor.advance(0.2)
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    connection.connectionLost()
    assert harness.outcomes == [Outcome.TIMED_OUT]


def test_a_timeout_while_connecting_is_never_executed():
    harness = PoolHarness()
    harness.send(timeout_ms=100.0)
    harness.reactor.advance(0.2)
    assert harness.outcomes == [Outcome.CONNECT_FAILED]


def test_a_call_waits_for_its_connection_for_a_limited_time():
    harness = PoolHarness(connect_timeout_ms=5000)
    harness.send(timeout_ms=4000.0, connect_wait_ms=150.0)
    harness.reactor.advance(0.14)
    assert not harness.ended
    harness.reactor.advance(0.02)
    assert harness.outcomes == [Outcome.CONNECT_FAILED] and Outcome.CONNECT_FAILED.never_executed


def test_the_connection_that_a_call_did_not_wait_for_serves_the_next_one():
    harness = PoolHarness(connect_timeout_ms=5000)
    harness.send(timeout_ms=4000.0, connect_wait_ms=150.0)
    harness.reactor.advance(0.2)
    connection = harness.accept()
    harness.send(timeout_ms=4000.0, connect_wait_ms=150.0)
    assert connection.state is ConnectionState.BUSY and len(harness.reactor.tcpClients) == 1
    harness.reactor.advance(0.2)  # it has its connection, so only its timeout applies
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    assert harness.outcomes == [Outcome.CONNECT_FAILED, Outcome.SUCCEEDED]


def test_a_call_may_wait_for_a_login_as_long_as_logins_take():
    harness = PoolHarness(connect_timeout_ms=5000)
    harness.send(timeout_ms=4000.0, connect_wait_ms=500.0)
    harness.reactor.advance(0.1)
    harness.accept()  # a login takes 100 ms here
    harness.send(timeout_ms=4000.0, connect_wait_ms=1.0)
    harness.reactor.advance(0.25)
    assert not harness.ended
    harness.reactor.advance(0.1)
    assert harness.outcomes == [Outcome.CONNECT_FAILED]


def test_connections_per_node_are_limited():
    harness = PoolHarness(max_links=2)
    for _ in range(3):
        harness.send()
    harness.reactor.advance(0)
    assert harness.outcomes == [Outcome.REJECTED] and len(harness.reactor.tcpClients) == 2


def test_an_oversized_row_closes_the_connection_before_it_is_stored():
    harness = PoolHarness(max_row=1024)
    harness.send()
    connection = harness.accept()
    connection.dataReceived(b"D" + pg.INT32.pack(1 << 20) + b"x" * 10)
    assert harness.outcomes == [Outcome.CONNECTION_LOST] and connection.transport.aborted


def test_rows_without_memory_fail_the_query_but_are_no_failure_of_the_node():
    harness, connection = logged_in()

    def full(size):
        raise PgError("53100", "full")

    harness.streams[0].memory.record_buffered = lambda stream, size: full(size)
    connection.dataReceived(ROW_RESPONSE)
    assert harness.outcomes == [Outcome.SUCCEEDED] and harness.ended[0].error.state == "53100"
    assert connection.transport.aborted


def test_a_paused_stream_pauses_reading_and_a_cancel_resumes_it():
    harness = PoolHarness()
    call = harness.send()
    connection = harness.accept()
    harness.streams[0].set_paused(True)
    assert connection.transport.producerState == "paused"
    harness.pools.cancel(call)
    assert connection.transport.producerState == "producing"


def test_a_malformed_message_closes_only_its_connection():
    harness, connection = logged_in()
    connection.dataReceived(b"T\x00\x00\x00\x08\x00\x09ab")
    assert harness.outcomes == [Outcome.CONNECTION_LOST] and connection.transport.aborted


def test_close_idle_keeps_busy_connections():
    harness, first = logged_in()
    first.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    harness.send()
    harness.send()
    second = harness.accept()
    second.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    harness.pools.close_idle(1)
    assert second.state is ConnectionState.CLOSED and first.state is ConnectionState.BUSY


def test_expired_idle_connections_are_closed():
    harness, connection = logged_in(idle_link_ms=1000)
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    harness.pools.close_expired()
    assert connection.state is ConnectionState.IDLE
    harness.reactor.advance(2)
    harness.pools.close_expired()
    assert connection.state is ConnectionState.CLOSED


def test_a_changed_address_replaces_the_connections():
    harness, connection = logged_in()
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    harness.pools.set_address(1, "10.0.0.2", 5432)
    harness.send()
    assert connection.state is ConnectionState.CLOSED and harness.reactor.tcpClients[-1][:2] == (
        "10.0.0.2",
        5432,
    )


def test_a_request_key_is_set_before_its_statement():
    messages = ShardStatement(0, "INSERT", key="it's").encode()
    assert b"SET LOCAL tansycrank.request_key = 'it''s'" in messages
    assert (
        messages.index(b"SET LOCAL") < messages.index(b"INSERT")
        and messages.count(pg.SYNC_FRAME) == 1
    )


def test_a_connection_paused_by_its_last_block_resumes_for_the_next_request():
    harness, connection = logged_in()
    harness.streams[0].memory.record_buffered = lambda stream, size: harness.streams[0].set_paused(
        True
    )
    connection.dataReceived(ROW_RESPONSE + pg.ready_for_query("I"))
    assert (
        harness.outcomes == [Outcome.SUCCEEDED]
        and connection.transport.producerState == "producing"
    )
