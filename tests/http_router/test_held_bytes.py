"""The bytes that all connections of the router hold together, on real processes and in memory."""

import contextlib
import gc
import json
import socket
import time
import weakref
from pathlib import Path

import pytest
from live import RouterHarness, answer, config, post, status
from real import Node, read_answer, wait_until
from test_hostile_clients import LIMITS, MEMORY_LIMIT_MB, Flood, memory_mb
from test_node_connections import PoolHarness, outcomes

from tansycrank.http_router import client_connection
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.routing import Outcome

LARGE_TEXT = "x" * 60_000
PIPELINED = 32  # requests that a connection may have open
FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 64, "sockets": 96}  # 48 client connections
MAX_CLIENTS = 48
CLOSE_WITHIN_SECONDS = 12.0  # 3 s unused, then 5 s for the client to read, and slack
ESTABLISHED = "01"
STEADY_CHECKS = 40  # of 0.1 s
STATUS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


def large_request(id, text=LARGE_TEXT):
    body = json.dumps({"shards": [{"shard": 0, "weight": 1}], "q": text})
    return post(id=id, body=body, deadline=1900)


def test_large_requests_of_many_connections_leave_the_router_under_its_memory_limit(start):
    """Guards against limits of each connection whose sum is above the memory of the process."""
    program = start(Node(), limits=LIMITS)
    program.suspend()  # until all requests lie in the kernel, so that each read is followed by more
    floods = [
        Flood(program, [large_request(f"f{number}-{n}") for n in range(PIPELINED)])
        for number in range(100)
    ]
    time.sleep(1.0)
    program.resume()
    peak_mb = 0.0
    while any(flood.is_alive() for flood in floods):
        peak_mb = max(peak_mb, memory_mb(program))
        time.sleep(0.01)
    assert peak_mb < MEMORY_LIMIT_MB and program.process.poll() is None
    assert all(flood.heard for flood in floods)
    assert read_answer(program.client(post(id="usual")))[0] == 200


def test_the_connection_that_holds_the_most_is_rejected_and_others_are_served():
    limits = {"cores": 1.0, "memory_mb": 1, "sockets": 128}  # 128 KiB for all clients
    harness = RouterHarness(config(limits=limits))
    small = harness.send_request(post(id="small"))
    large_protocol, large = harness.client()
    large_protocol.dataReceived(large_request("large")[:50_000])
    [(peer, id, _)] = harness.take_shard_requests()
    for n in range(8):
        protocol, _transport = harness.client()
        protocol.dataReceived(large_request(f"other{n}")[:20_000])
    assert status(large.take()) == 503 and large.half_closed
    peer.send(answer(id))
    harness.run(0)
    assert status(small.take()) == 200
    server = harness.daemon.server
    assert server.held_bytes.held_bytes <= server.held_bytes.limit_bytes


def test_nothing_is_counted_of_connections_that_have_closed():
    harness = RouterHarness()
    for n in range(5):
        protocol, transport = harness.client()
        protocol.dataReceived(large_request(f"r{n}")[:40_000])
        transport.end()
    assert harness.daemon.server.held_bytes.held_bytes == 0


def test_a_connection_that_gets_no_transport_is_not_known_to_the_server():
    """Guards against a connection without a transport, which stopped all time-outs."""
    harness = RouterHarness()
    server = harness.daemon.server
    server.buildProtocol(None)  # its transport cannot be created
    for _ in range(server.settings.max_client_connections + 4):
        harness.client()
    assert all(connection.transport is not None for connection in server.connections)
    harness.run(2.5)
    assert not server.connections


class LargeAnswerNode(Node):
    """A node whose values have 60 kB."""

    def _record_frame(self, connection, kind, payload):
        self.serves = False
        super()._record_frame(connection, kind, payload)
        if kind == b"Q":
            connection.sendall(answer(self.shard_requests[-1][1], value=LARGE_TEXT))


def tcp_row(local_port, remote_port):
    """State and queued bytes of a TCP socket of this machine: (state, tx, rx), None if gone."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(address.rpartition(":")[2], 16) for address in fields[1:3]]
        if ports == [local_port, remote_port]:
            queued = [int(part, 16) for part in fields[4].split(":")]
            return fields[3], *queued
    return None


def kernel_bytes(program, client):
    """Bytes of answers that the kernel holds for a client that does not read."""
    client_port = client.getsockname()[1]
    return tcp_row(program.port, client_port)[1] + tcp_row(client_port, program.port)[2]


def fill_until_the_kernel_takes_no_more(program, client):
    """Send requests whose answers are not read, until a part of one stays in the program."""
    for n in range(200):
        before = kernel_bytes(program, client)
        client.sendall(large_request(f"unread{n}", "q"))
        program.nodes[0].wait_for_shard_request(f"unread{n}.0")
        for _ in range(STEADY_CHECKS):
            if kernel_bytes(program, client) - before >= len(LARGE_TEXT):
                break
            time.sleep(0.1)
            client.sendall(STATUS_REQUEST)  # the connection does not become unused meanwhile
        else:  # the kernel's buffer grows no more
            return
    raise AssertionError("the kernel took all answers")


def test_a_connection_whose_client_reads_nothing_is_closed_though_others_take_its_place(start):
    """Guards against evicted connections that stay open for good, unknown to the server."""
    program = start(LargeAnswerNode(), limits=FEW_DESCRIPTORS)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", program.port))
    fill_until_the_kernel_takes_no_more(program, client)
    with contextlib.ExitStack() as others:
        for _ in range(MAX_CLIENTS + 8):
            others.enter_context(program.client())
        time.sleep(0.3)
    client_port, begun = client.getsockname()[1], time.monotonic()
    wait_until(
        lambda: (tcp_row(program.port, client_port) or [""])[0] != ESTABLISHED,
        "the router to close the connection",
    )
    assert time.monotonic() - begun < CLOSE_WITHIN_SECONDS
    assert read_answer(program.client(post(id="usual")))[0] == 200


def test_unfinished_frames_of_all_nodes_together_are_bounded():
    """Guards against frames of many connections whose sum is above the memory of the process."""
    harness = PoolHarness()
    harness.pool = ConnectionPool(
        harness.reactor, 8, 4, 250.0, 10_000.0, 8, lambda *a, **k: None, max_held_bytes=100_000
    )
    harness.pool.set_address(1, "127.0.0.1", 7070)
    harness.send("a.1")
    harness.send("b.1")
    harness.send("c.1")
    first, second, third = (peer.accept() for peer in harness.peers)
    first.send(answer("a.1", value=LARGE_TEXT)[:-1])
    second.send(answer("b.1", value=LARGE_TEXT)[:30_000])
    assert outcomes(harness) == {}
    third.send(answer("c.1", value=LARGE_TEXT)[:30_000])
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST]} and first.transport.over
    second.send(answer("b.1", value=LARGE_TEXT)[30_000:])
    assert outcomes(harness)["b.1"] == [Outcome.SUCCEEDED]


def test_values_that_wait_for_the_rest_of_their_answer_are_bounded():
    """Guards against large values of many queries, which no bound counts until the answer."""
    limits = {"cores": 1.0, "memory_mb": 4, "sockets": 128}  # 512 KiB for all clients
    harness = RouterHarness(config(limits=limits))
    shards = ((0, 0.5), (1, 0.5))
    clients = [harness.send_request(post(id=f"q{n}", shards=shards)) for n in range(12)]
    for peer, id, shard in harness.take_shard_requests():
        if shard == 0:
            peer.send(answer(id, value=LARGE_TEXT))
    harness.run(0)
    budget = harness.daemon.server.held_bytes
    assert budget.held_bytes <= budget.limit_bytes
    assert 503 in {status(transport.take()) for transport in clients}


def finish_request(harness, protocol, transport):
    protocol.dataReceived(STATUS_REQUEST)


def finish_query(harness, protocol, transport):
    harness.send_request(post(id="q"), (protocol, transport))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)


def stop_halfway(harness, protocol, transport):
    protocol.dataReceived(large_request("half")[:40_000])


def be_malformed(harness, protocol, transport):
    protocol.dataReceived(b"\x16\x03\x01\r\n\r\n")


@pytest.mark.parametrize("use", [finish_request, finish_query, stop_halfway, be_malformed])
def test_a_closed_connection_is_released_without_the_garbage_collector(use):
    """Guards against closed connections in reference cycles, which stay until a late collection."""
    harness = RouterHarness()
    gc.disable()
    try:
        protocol, transport = harness.client()
        use(harness, protocol, transport)
        released = weakref.ref(protocol)
        transport.end()
        del transport.protocol, transport.producer
        del protocol, transport
        harness.run(0)
        assert released() is None
    finally:
        gc.enable()


def test_bodies_above_the_reserved_memory_wait_unread_and_are_refused_in_time():
    """Guards against bodies that all are read in part until no memory is left for any."""
    limits = {"cores": 1.0, "memory_mb": 16, "sockets": 128}  # 1 MiB reserved at most
    harness = RouterHarness(config(limits=limits))
    clients = [harness.client() for _ in range(30)]
    for number, (protocol, _) in enumerate(clients):
        protocol.dataReceived(large_request(f"half{number}")[:8_000])
    harness.run(0)
    paused = [transport for _, transport in clients if transport.producerState == "paused"]
    assert len(clients) - len(paused) == 1024 * 1024 // len(large_request("half1"))
    small = harness.send_request(post(id="small"))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(small.take()) == 200
    harness.run(client_connection.MEMORY_TIMEOUT + 0.5)
    assert {status(transport.take()) for transport in paused} == {503}
    assert harness.daemon.server.body_reservations.waiting == 0


def test_a_body_that_waited_for_memory_is_read_once_others_have_ended():
    harness = RouterHarness()
    harness.daemon.server.body_reservations.limit_bytes = 70_000
    first, second = harness.client(), harness.client()
    first[0].dataReceived(large_request("first")[:8_000])
    second[0].dataReceived(large_request("second")[:8_000])
    harness.run(0)
    assert second[1].producerState == "paused"
    first[0].dataReceived(large_request("first")[8_000:])
    harness.run(0)
    assert second[1].producerState == "producing"
    second[0].dataReceived(large_request("second")[8_000:])
    assert {id for _, id, _ in harness.take_shard_requests()} == {"first.0", "second.0"}
