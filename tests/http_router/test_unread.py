"""The time that a request is pending unread counts against its deadline.

Covers a suspended process, the backlog of a full router, a lack of file descriptors, and answers
that the client does not read.
"""

import resource
import time
from pathlib import Path

import pytest
from live import RouterHarness, answer, config, post
from real import Node, read_answer, wait_until

DEADLINE = 1500  # ms
WAIT_SLACK = 150  # ms by which the wait sent to a node may exceed the client's remaining time


@pytest.mark.parametrize("used", [False, True], ids=["not accepted yet", "on a used connection"])
@pytest.mark.parametrize("suspended_s", [0.3, 0.8])
def test_a_node_gets_the_remaining_time_of_the_client(start, used, suspended_s):
    node = Node()
    program = start(node)
    client = program.client(post(id="first"))
    assert read_answer(client)[0] == 200
    program.suspend()
    if not used:
        client = program.client()
    client.sendall(post(id="late", deadline=DEADLINE))
    sent = time.monotonic()
    time.sleep(suspended_s)
    program.resume()
    assert read_answer(client)[0] == 200
    arrived_by = (time.monotonic() - sent) * 1000
    assert suspended_s * 1000 <= arrived_by < DEADLINE
    assert node.wait_ms["late.0"] <= DEADLINE - suspended_s * 1000 + WAIT_SLACK


def test_a_request_read_after_its_deadline_is_sent_to_no_node(start):
    node = Node()
    program = start(node)
    program.suspend()
    client = program.client(post(id="late", deadline=200))
    time.sleep(0.6)
    program.resume()
    status, _ = read_answer(client)
    assert status == 503
    [ids] = program.kill()
    assert not ids


@pytest.mark.parametrize("queued_s", [0.4, 1.0])
def test_a_node_gets_the_remaining_time_of_a_request_from_the_backlog_of_a_full_router(
    start, queued_s
):
    node = Node(serves=False)
    long_limits = {"aim": 6000.0, "giveUp": 9000.0}
    # Half of the sockets are for clients.
    small_limits = {"cores": 1.0, "memory_mb": 64, "sockets": 96}
    program = start(
        node, overrides={"services": long_limits, "caps": {"openCap": 1000}}, limits=small_limits
    )
    held = [program.client(post(id=f"held{n}", deadline=8000)) for n in range(48)]
    assert len(held) == 48
    wait_until(lambda: len(node.ids) >= 4, "the first requests at the node")
    time.sleep(0.2)  # the router has accepted as many connections as it can hold
    client = program.client(post(id="late", deadline=DEADLINE))
    sent = time.monotonic()
    time.sleep(queued_s)
    node.serves = True
    for connection, id in list(node.shard_requests):
        connection.sendall(answer(id))
    read_answer(client)
    assert time.monotonic() - sent < DEADLINE / 1000 + 0.5
    if "late.0" in node.wait_ms:
        assert node.wait_ms["late.0"] <= DEADLINE - queued_s * 1000 + WAIT_SLACK


def test_time_behind_answers_that_the_client_does_not_read_counts_against_the_deadline():
    live = RouterHarness(config())
    protocol, _ = live.client()
    protocol.pauseProducing()
    protocol.dataReceived(post(id="behind", deadline=900))
    live.run(0.4)
    protocol.resumeProducing()
    live.run(0.0)
    calls = [call for peer in live.nodes for call in peer.accept().take_shard_requests()]
    assert [(id, wait <= 900 - 400) for id, _, wait, _ in calls] == [("behind.0", True)]


def test_a_node_gets_the_remaining_time_of_a_request_that_waited_for_a_descriptor(start):
    """Guards against a deadline that restarts once `accept` no longer fails."""
    node = Node()
    program = start(node)
    assert read_answer(program.client(post(id="first")))[0] == 200
    pid = program.process.pid
    used = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, limits[1]))
    clients = [program.client(post(id=f"late{n}", deadline=DEADLINE)) for n in range(8)]
    time.sleep(0.6)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    assert [read_answer(client)[0] for client in clients] == [200] * 8
    assert node.wait_ms["late7.0"] <= DEADLINE - 600 + WAIT_SLACK  # the last one accepted
