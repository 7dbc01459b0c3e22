"""Connections that their clients keep for further requests, while the router closes others."""

import contextlib
import socket
import time

import pytest
from live import RouterHarness, answer, post, status
from real import Node, read_answer
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock

from tansycrank.http_router import client_connection, connection_eviction, http_server
from tansycrank.listening import ClientTransport

FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 64, "sockets": 96}
PLACES = 48  # for client connections
STATUS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


def kept_connections(program, number):
    """Connections that have been used once."""
    connections = [program.client() for _ in range(number)]
    for connection in connections:
        connection.sendall(STATUS_REQUEST)
        assert read_answer(connection)[0] == 200
    return connections


def test_a_kept_connection_is_not_evicted_over_a_request_that_lies_unread(start):
    """Guards against requests that are lost since their connection makes room for new ones."""
    program = start(Node(), limits=FEW_DESCRIPTORS)
    kept = kept_connections(program, PLACES - 4)
    time.sleep(2 * connection_eviction.MIN_IDLE_AFTER_ANSWER)
    program.suspend()
    with contextlib.ExitStack() as others:
        for _ in range(PLACES):
            others.enter_context(program.client(STATUS_REQUEST))
        for connection in kept:
            connection.sendall(STATUS_REQUEST)
        program.resume()
        assert [read_answer(connection)[0] for connection in kept] == [200] * len(kept)


def close_as_unused(harness):
    harness.run(client_connection.IDLE_TIMEOUT + 0.5)


def close_at_a_drain(harness):
    harness.daemon.server.draining = True
    harness.daemon.server.close_idle()


def close_to_make_room(harness):
    harness.run(2 * connection_eviction.MIN_IDLE_AFTER_ANSWER)
    for _ in range(harness.daemon.settings.max_client_connections):
        harness.client()


def close_as_unused_longest(harness):
    for number in range(harness.daemon.settings.max_idle_client_connections + 1):
        harness.send_request(post(id=f"r{number}"))
        [(peer, id, _)] = harness.take_shard_requests()
        peer.send(answer(id))
    harness.run(0)


@pytest.mark.parametrize(
    "close", [close_as_unused, close_at_a_drain, close_to_make_room, close_as_unused_longest]
)
def test_a_connection_with_an_unread_request_is_left_open_and_the_request_is_answered(close):
    """Guards against requests that are lost since their connection closes over them."""
    harness = RouterHarness()
    protocol, transport = harness.client()
    harness.send_request(post(id="first"), (protocol, transport))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200
    transport.unread_bytes = len(STATUS_REQUEST)
    close(harness)
    assert not transport.over
    protocol.dataReceived(STATUS_REQUEST)
    assert transport.take().startswith(b"HTTP/1.1 ")


def test_a_request_that_lies_unread_at_the_last_moment_of_a_shutdown_is_answered():
    """Guards against requests that are lost since the process ends before they are read."""
    harness = RouterHarness()
    protocol, transport = harness.client()

    def read():
        transport.unread_bytes = 0
        protocol.dataReceived(post(id="last"))

    transport.unread_bytes, transport.doRead = len(post(id="last")), read
    harness.daemon.server.stop_admitting()
    harness.daemon.server.close_all()
    assert status(transport.take()) == 503 and transport.over


def test_input_that_waits_for_its_turn_at_the_last_moment_of_a_shutdown_is_answered():
    """Guards against requests that are lost since the process ends before they are parsed."""
    harness = RouterHarness()
    protocol, transport = harness.client()
    requests = [post(id=f"last{number}") for number in range(20)]
    protocol.dataReceived(b"".join(requests))
    assert transport.producerState == "paused"  # too much to be parsed at once
    harness.daemon.server.stop_admitting()
    harness.daemon.server.close_all()
    assert transport.take().count(b"HTTP/1.1 503") == len(requests)


def test_kept_connections_are_read_at_the_last_moment_though_a_crowd_takes_the_time(monkeypatch):
    """Guards against requests of kept connections that are lost behind a crowd at the exit."""
    monkeypatch.setattr(http_server, "MAX_FINAL_READ_SECONDS", 0.0)
    harness = RouterHarness()
    protocol, transport = harness.client()
    protocol.dataReceived(STATUS_REQUEST)
    assert transport.take()

    def read():
        transport.unread_bytes = 0
        protocol.dataReceived(post(id="last"))

    transport.unread_bytes, transport.doRead = 100, read
    harness.daemon.server.stop_admitting()
    harness.daemon.server.close_all()
    assert status(transport.take()) == 503


def test_a_request_whose_rest_lies_unread_is_not_rejected_as_too_slow():
    """Guards against requests that are rejected since the router stood still, not their client."""
    harness = RouterHarness()
    protocol, transport = harness.client()
    data = post(id="whole")
    protocol.dataReceived(data[:40])
    transport.unread_bytes = len(data) - 40
    harness.run(client_connection.REQUEST_TIMEOUT + 0.5)
    assert not transport.value()
    transport.unread_bytes = 0
    protocol.dataReceived(data[40:])
    assert [id for _, id, _ in harness.take_shard_requests()] == ["whole.0"]


def test_a_fault_in_one_time_out_leaves_the_time_outs_of_all_others():
    """Guards against an exception that stops the time-outs of all connections for good."""
    harness = RouterHarness()
    (_, silent), (faulty, _) = harness.client(), harness.client()

    def fail(now):
        raise RuntimeError("injected fault")

    faulty.close_if_expired = fail
    harness.run(client_connection.REQUEST_TIMEOUT + 0.5)
    assert silent.over
    _, later = harness.client()
    harness.run(client_connection.REQUEST_TIMEOUT + 0.5)
    assert later.over


def test_a_connection_that_is_closed_tells_its_client_in_the_same_turn():
    """Guards against requests that arrive after the decision to close and are never read."""
    ours, client = socket.socketpair()
    client.settimeout(1.0)
    transport = ClientTransport(ours, Protocol(), ("127.0.0.1", 0), None, 0, MemoryReactorClock())
    transport.loseConnection()
    assert client.recv(1) == b""


def test_written_bytes_are_sent_before_a_closed_connection_tells_its_end():
    ours, client = socket.socketpair()
    client.settimeout(0.05)
    transport = ClientTransport(ours, Protocol(), ("127.0.0.1", 0), None, 0, MemoryReactorClock())
    transport.write(b"last")
    transport.loseConnection()
    with pytest.raises(TimeoutError):
        client.recv(1)
    transport.doWrite()
    assert client.recv(9) == b"last"
