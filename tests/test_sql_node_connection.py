"""Links and pools: exactly one outcome a send, and what each outcome proves."""

import pytest
from helpers import LifecycleHarness
from twisted.internet.testing import MemoryReactorClock, StringTransport

from tansycrank.config import StoreSection
from tansycrank.merge.blocks import MemoryReservations, ShardRowStream
from tansycrank.merge.spill import SpillSpace
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.routing import Outcome
from tansycrank.sql_router.connection_pool import ConnectionPool
from tansycrank.sql_router.node_connection import ConnectionState, ShardStatement

ADDRESS = ("10.0.0.1", 5432)
HELLO = pg.AUTHENTICATION_OK + pg.backend_key_data(7, 99) + pg.ready_for_query("I")
ASK = ShardStatement(0, "SELECT 1")
ANSWER = (
    pg.row_description((pg.Field("a", 23),)) + pg.data_row([b"1"]) + pg.command_complete("SELECT 1")
)


class Wire(StringTransport):
    aborted = False

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.aborted = True


class Node:
    """A scripted node on a reactor in memory."""

    def __init__(self, max_row=1 << 20, **store):
        self.reactor = MemoryReactorClock()
        self.memory_reservations = MemoryReservations(
            1 << 26, 1 << 24, SpillSpace("", 0), lambda: 0.0
        )
        self.pools = ConnectionPool(self.reactor, StoreSection(**store), {"user": "x"}, max_row)
        self.streams = []
        self.lives = LifecycleHarness()
        self.pools.place(1, *ADDRESS)
        self.ended, self.links = [], []

    def send(self, request=ASK, time_out=0.0, **bounds):
        stream = ShardRowStream(self.memory_reservations.open(False))
        self.streams.append(stream)
        attempt = self.lives.attempt(self.reactor.seconds() * 1000)
        return self.pools.send(1, request, stream, time_out, self.ended.append, attempt, **bounds)

    def accept(self, greet=True):
        """Let the newest connection stand."""
        factory = self.reactor.tcpClients[-1][2]
        link = factory.buildProtocol(None)
        link.makeConnection(Wire())
        self.links.append(link)
        if greet:
            link.dataReceived(HELLO)
        return link

    @property
    def outcomes(self):
        return [e.outcome for e in self.ended]


def ready(node=None, **store):
    node = node or Node(**store)
    node.send()
    link = node.accept()
    return node, link


def test_rows_and_a_command_tag_are_an_answer_once_ready():
    node, link = ready()
    link.dataReceived(ANSWER)
    assert not node.ended  # danger: an error at the commit may still come
    link.dataReceived(pg.ready_for_query("I"))
    assert node.outcomes == [Outcome.SUCCEEDED] and node.streams[0].rows == 1
    node.send()
    assert len(node.reactor.tcpClients) == 1  # the same link again


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
def test_errors_after_the_statement_went_out(state, outcome):
    node, link = ready()
    link.dataReceived(pg.error_response(PgError(state, "x")) + pg.ready_for_query("I"))
    assert node.outcomes == [outcome] and node.ended[0].error.state == state


@pytest.mark.parametrize(
    "state, outcome",
    [
        ("53300", Outcome.REJECTED),
        ("57P03", Outcome.REJECTED),
        ("28P01", Outcome.CONNECT_FAILED),
    ],
)
def test_refusals_before_it_went_out_prove_that_it_never_ran(state, outcome):
    node = Node()
    node.send()
    link = node.accept(greet=False)
    link.dataReceived(pg.error_response(PgError(state, "x", severity="FATAL")))
    link.connectionLost()
    assert node.outcomes == [outcome] and outcome.never_executed


def test_no_connection():
    node = Node()
    node.send()
    node.reactor.tcpClients[-1][2].clientConnectionFailed(None, _Failure())
    assert node.outcomes == [Outcome.CONNECT_FAILED]


class _Failure:
    def check(self, *kinds):
        return None


def test_a_connection_that_never_greets_is_given_up():
    node = Node(connect_timeout_ms=500)
    node.send()
    node.accept(greet=False)
    node.reactor.advance(0.6)
    assert node.outcomes == [Outcome.CONNECT_FAILED]


def test_a_connection_lost_after_the_send_may_have_run():
    node, link = ready()
    link.dataReceived(ANSWER)
    link.connectionLost()
    assert node.outcomes == [Outcome.CONNECTION_LOST]


def test_an_idle_link_that_is_lost_is_nobodys_outcome():
    node, link = ready()
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    link.connectionLost()
    node.send()
    assert len(node.reactor.tcpClients) == 2 and len(node.ended) == 1


def test_a_cancel_before_the_bytes_left_was_not_sent():
    node = Node()
    sending = node.send()
    node.pools.cancel(sending)
    assert node.outcomes == [Outcome.NOT_SENT]
    link = node.accept()
    assert (
        link.state is ConnectionState.IDLE and not list(link.transport.value().split(b"SELECT"))[1:]
    )


def test_a_cancel_after_it_is_told_at_once_and_the_link_settles_first():
    node = Node()
    sending = node.send()
    link = node.accept()
    node.pools.cancel(sending)
    assert node.outcomes == [Outcome.CANCELLED]
    canceller = node.reactor.tcpClients[-1][2].buildProtocol(None)
    canceller.makeConnection(StringTransport())
    assert canceller.transport.value() == pg.cancel_request(7, 99)
    link.dataReceived(pg.error_response(PgError("57014", "x")) + pg.ready_for_query("I"))
    before = len(node.reactor.tcpClients)
    node.send()  # danger: the cancel may still hit this link's next part
    assert len(node.reactor.tcpClients) == before + 1
    assert link.state is ConnectionState.SETTLED
    canceller.connectionLost()
    assert link.state is ConnectionState.BUSY  # with the part that waited for a connection


def test_a_node_that_ignores_the_cancel_loses_the_link():
    node = Node(cancel_grace_ms=400)
    sending = node.send()
    link = node.accept()
    node.pools.cancel(sending)
    node.reactor.advance(0.5)
    assert link.transport.aborted and not node.pools.nodes[1].all


def test_a_time_out_is_one_outcome_whatever_comes_later():
    node = Node()
    node.send(time_out=100.0)
    link = node.accept()
    node.reactor.advance(0.2)
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    link.connectionLost()
    assert node.outcomes == [Outcome.TIMED_OUT]


def test_a_time_out_while_connecting_never_ran():
    node = Node()
    node.send(time_out=100.0)
    node.reactor.advance(0.2)
    assert node.outcomes == [Outcome.CONNECT_FAILED]


def test_a_call_waits_no_longer_for_its_connection_than_it_may():
    node = Node(connect_timeout_ms=5000)
    node.send(time_out=4000.0, connect_within=150.0)
    node.reactor.advance(0.14)
    assert not node.ended
    node.reactor.advance(0.02)
    assert node.outcomes == [Outcome.CONNECT_FAILED] and Outcome.CONNECT_FAILED.never_executed


def test_the_connection_that_a_call_did_not_wait_for_serves_the_next_one():
    node = Node(connect_timeout_ms=5000)
    node.send(time_out=4000.0, connect_within=150.0)
    node.reactor.advance(0.2)
    link = node.accept()
    node.send(time_out=4000.0, connect_within=150.0)
    assert link.state is ConnectionState.BUSY and len(node.reactor.tcpClients) == 1
    node.reactor.advance(0.2)  # it has its connection: only its time-out runs
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    assert node.outcomes == [Outcome.CONNECT_FAILED, Outcome.SUCCEEDED]


def test_a_call_may_wait_for_a_login_as_long_as_logins_take():
    node = Node(connect_timeout_ms=5000)
    node.send(time_out=4000.0, connect_within=500.0)
    node.reactor.advance(0.1)
    node.accept()  # a login takes 100 ms here
    node.send(time_out=4000.0, connect_within=1.0)
    node.reactor.advance(0.25)
    assert not node.ended
    node.reactor.advance(0.1)
    assert node.outcomes == [Outcome.CONNECT_FAILED]


def test_links_a_node_are_bounded():
    node = Node(max_links=2)
    for _ in range(3):
        node.send()
    node.reactor.advance(0)
    assert node.outcomes == [Outcome.REJECTED] and len(node.reactor.tcpClients) == 2


def test_a_row_too_large_breaks_the_link_before_it_is_stored():
    node = Node(max_row=1024)
    node.send()
    link = node.accept()
    link.dataReceived(b"D" + pg.INT32.pack(1 << 20) + b"x" * 10)
    assert node.outcomes == [Outcome.CONNECTION_LOST] and link.transport.aborted


def test_rows_that_cant_be_held_end_the_query_and_not_the_nodes_good_name():
    node, link = ready()

    def full(size):
        raise PgError("53100", "full")

    node.streams[0].memory.grew = lambda stream, size: full(size)
    link.dataReceived(ANSWER)
    assert node.outcomes == [Outcome.SUCCEEDED] and node.ended[0].error.state == "53100"
    assert link.transport.aborted


def test_a_stream_held_back_stops_the_reading_and_a_cancel_goes_on():
    node = Node()
    sending = node.send()
    link = node.accept()
    node.streams[0].set_paused(True)
    assert link.transport.producerState == "paused"
    node.pools.cancel(sending)
    assert link.transport.producerState == "producing"


def test_junk_from_a_node_breaks_its_link_alone():
    node, link = ready()
    link.dataReceived(b"T\x00\x00\x00\x08\x00\x09ab")
    assert node.outcomes == [Outcome.CONNECTION_LOST] and link.transport.aborted


def test_close_idle_closes_the_unused_and_leaves_the_busy():
    node, first = ready()
    first.dataReceived(ANSWER + pg.ready_for_query("I"))
    node.send()
    node.send()
    second = node.accept()
    second.dataReceived(ANSWER + pg.ready_for_query("I"))
    node.pools.close_idle(1)
    assert second.state is ConnectionState.CLOSED and first.state is ConnectionState.BUSY


def test_links_that_nobody_uses_are_swept():
    node, link = ready(idle_link_ms=1000)
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    node.pools.sweep()
    assert link.state is ConnectionState.IDLE
    node.reactor.advance(2)
    node.pools.sweep()
    assert link.state is ConnectionState.CLOSED


def test_a_node_that_moved_gets_new_links():
    node, link = ready()
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    node.pools.place(1, "10.0.0.2", 5432)
    node.send()
    assert link.state is ConnectionState.CLOSED and node.reactor.tcpClients[-1][:2] == (
        "10.0.0.2",
        5432,
    )


def test_a_request_key_goes_before_its_statement():
    wire = ShardStatement(0, "INSERT", key="it's").wire()
    assert b"SET LOCAL tansycrank.request_key = 'it''s'" in wire
    assert wire.index(b"SET LOCAL") < wire.index(b"INSERT") and wire.count(pg.SYNC_FRAME) == 1


def test_a_link_held_back_by_its_last_block_reads_on_for_the_next_part():
    node, link = ready()
    node.streams[0].memory.grew = lambda stream, size: node.streams[0].set_paused(True)
    link.dataReceived(ANSWER + pg.ready_for_query("I"))
    assert node.outcomes == [Outcome.SUCCEEDED] and link.transport.producerState == "producing"
