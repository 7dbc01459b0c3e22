"""A request that lies unread has that much less time left: while the process stands still, in the
queue of a full router, behind answers that its client does not read.
"""

import resource
import time
from pathlib import Path

import pytest
from live import RouterHarness, answer, config, post
from real import Node, Program, read_answer, until

DEADLINE = 1500  # ms
WAIT_SLACK = 150  # ms by which a node may be told a longer wait than its client has left


@pytest.fixture
def start(tmp_path):
    started = []

    def make(*nodes, **more):
        started.append(Program(tmp_path, nodes, **more))
        return started[0]

    yield make
    for program in started:
        program.ended()


@pytest.mark.parametrize("used", [False, True], ids=["not accepted yet", "on a used connection"])
@pytest.mark.parametrize("stood", [0.3, 0.8])
def test_a_node_is_told_what_the_client_still_has(start, used, stood):
    node = Node()
    program = start(node)
    client = program.client(post(id="first"))
    assert read_answer(client)[0] == 200
    program.halt()
    if not used:
        client = program.client()
    client.sendall(post(id="late", deadline=DEADLINE))
    sent = time.monotonic()
    time.sleep(stood)
    program.go_on()
    assert read_answer(client)[0] == 200
    arrived_by = (time.monotonic() - sent) * 1000
    assert stood * 1000 <= arrived_by < DEADLINE
    assert node.waits["late.0"] <= DEADLINE - stood * 1000 + WAIT_SLACK


def test_a_request_whose_time_is_over_when_it_is_read_goes_to_no_node(start):
    node = Node()
    program = start(node)
    program.halt()
    client = program.client(post(id="late", deadline=200))
    time.sleep(0.6)
    program.go_on()
    status, _ = read_answer(client)
    assert status == 503
    [ids] = program.ended()
    assert not ids


@pytest.mark.parametrize("queued", [0.4, 1.0])
def test_a_node_is_told_what_is_left_of_a_request_that_waited_in_the_queue_of_a_full_router(
    start, queued
):
    node = Node(serves=False)
    patient = {"aim": 6000.0, "giveUp": 9000.0}
    few = {"cores": 1.0, "memory_mb": 64, "sockets": 96}  # half of them for clients
    program = start(node, told={"services": patient, "caps": {"openCap": 1000}}, limits=few)
    held = [program.client(post(id=f"held{n}", deadline=8000)) for n in range(48)]
    assert len(held) == 48
    until(lambda: len(node.ids) >= 4, "the first of them at the node")
    time.sleep(0.2)  # the router has accepted all that it can hold
    client = program.client(post(id="late", deadline=DEADLINE))
    sent = time.monotonic()
    time.sleep(queued)
    node.serves = True
    for connection, id in list(node.shard_requests):
        connection.sendall(answer(id))
    read_answer(client)
    assert time.monotonic() - sent < DEADLINE / 1000 + 0.5
    if "late.0" in node.waits:
        assert node.waits["late.0"] <= DEADLINE - queued * 1000 + WAIT_SLACK


def test_a_request_behind_answers_that_its_client_does_not_read_loses_that_time():
    live = RouterHarness(config())
    protocol, _ = live.client()
    protocol.pauseProducing()
    protocol.dataReceived(post(id="behind", deadline=900))
    live.run(0.4)
    protocol.resumeProducing()
    live.run(0.0)
    calls = [call for peer in live.nodes for call in peer.accept().take_shard_requests()]
    assert [(id, wait <= 900 - 400) for id, _, wait, _ in calls] == [("behind.0", True)]


def test_a_node_is_told_what_is_left_of_a_request_that_waited_for_a_descriptor(start):
    """Guards against a deadline that is counted anew once `accept` no longer fails."""
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
    assert node.waits["late7.0"] <= DEADLINE - 600 + WAIT_SLACK  # the last to be accepted
