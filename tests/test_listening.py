"""Listening sockets whose accept queue is full of connections that nobody waits on any more."""

import socket

import pytest

from tansycrank.listening import USUAL_ACCEPTS_PER_TURN, ListeningSocket


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
