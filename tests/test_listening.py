"""Listening sockets whose accept queue is full of connections that nobody waits on any more."""

import errno
import socket

import pytest
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.testing import MemoryReactorClock

from tansycrank.listening import USUAL_ACCEPTS_PER_TURN, ListeningSocket, PausingPort


@pytest.fixture
def listening():
    with ListeningSocket(socket.AF_INET, socket.SOCK_STREAM) as one:
        one.bind(("127.0.0.1", 0))
        one.listen(128)
        one.setblocking(False)
        one.drops_closed = True
        yield one


def connect(listening, closes):
    connection = socket.create_connection(listening.getsockname())
    connection.sendall(b"hello\r\n\r\n")
    if closes:
        connection.close()
    return connection


def test_connections_that_their_clients_have_closed_do_not_delay_the_others_in_the_queue(listening):
    """Guards against requests that wait behind connections opened and left at full speed."""
    for _ in range(50):
        connect(listening, closes=True)
    waiting = connect(listening, closes=False)
    listening.start_turn()
    accepted = [listening.accept()[0] for _ in range(USUAL_ACCEPTS_PER_TURN + 1)]
    assert accepted[-1].getpeername() == waiting.getsockname()
    assert listening.closed_unread == 50 - USUAL_ACCEPTS_PER_TURN
    with pytest.raises(BlockingIOError):
        listening.accept()
    assert not listening.accept_failed


def test_a_connection_that_was_closed_after_its_request_is_accepted_while_the_queue_is_short(
    listening,
):
    connect(listening, closes=True)
    listening.start_turn()
    accepted, _ = listening.accept()
    assert accepted.recv(5) == b"hello" and not listening.closed_unread


def test_no_connection_is_dropped_where_a_client_may_send_and_close(listening):
    """Guards against CancelRequests of the SQL router that are lost while many clients connect."""
    listening.drops_closed = False
    for _ in range(2 * USUAL_ACCEPTS_PER_TURN):
        connect(listening, closes=True)
    listening.start_turn()
    for _ in range(2 * USUAL_ACCEPTS_PER_TURN):
        assert listening.accept()[0].recv(5) == b"hello"


@pytest.fixture
def port():
    factory = Factory.forProtocol(Protocol)
    reactor = MemoryReactorClock()
    one = PausingPort(0, factory, 128, "127.0.0.1", reactor)
    one.startListening()
    one.numberAccepts = 4
    yield one
    one.socket.close()


def test_connections_that_wait_since_a_turn_accepts_few_count_as_waiting(port):
    """Guards against requests that keep the time for which they lay in a long accept queue."""
    port.reactor.advance(1.0)
    port.doRead()
    assert port.waiting_since is None
    clients = [socket.create_connection(port.socket.getsockname()) for _ in range(12)]
    port.reactor.advance(0.5)
    port.numberAccepts = USUAL_ACCEPTS_PER_TURN
    port.doRead()
    port.reactor.advance(0.5)
    assert port.waiting_since == 1.0
    port.numberAccepts = len(clients)
    port.doRead()
    assert port.waiting_since is None


def test_a_call_that_fails_now_and_then_delays_no_connection(listening, monkeypatch):
    """Guards against a queue that is worked off slowly while calls of the system fail."""
    accept, failures = listening._accept, iter([True, True, False] * 9)

    def fail_sometimes():
        if next(failures):
            raise OSError(errno.ECONNABORTED, "aborted")
        return accept()

    clients = [connect(listening, closes=False) for _ in range(9)]
    monkeypatch.setattr(listening, "_accept", fail_sometimes)
    accepted = [listening.accept()[0] for _ in clients]
    assert len(accepted) == 9 and not listening.accept_failed


def test_accepting_goes_on_soon_after_a_single_failure_and_later_after_each_further_one(
    port, monkeypatch
):
    """Guards against a queue that is worked off at fifty connections a second."""

    def fail(*_):
        raise OSError(errno.ENOBUFS, "no buffers")

    delays = []
    monkeypatch.setattr(port.socket, "_accept", fail)
    monkeypatch.setattr(port.reactor, "callLater", lambda delay, call: delays.append(delay))
    for _ in range(7):
        port.doRead()
    assert delays == [0.001, 0.002, 0.004, 0.008, 0.016, 0.02, 0.02]
    monkeypatch.undo()
    socket.create_connection(port.socket.getsockname())
    port.doRead()
    assert port._retry_seconds == 0.001
