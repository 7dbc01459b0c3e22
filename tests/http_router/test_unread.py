"""A request that lies unread while the process stands still has that much less time left."""

import time

import pytest
from live import post
from real import Node, Program, read_answer

DEADLINE = 1500  # ms
WAIT_SLACK = 150  # ms by which a node may be told a longer wait than its client has left


@pytest.fixture
def start(tmp_path):
    started = []

    def make(*nodes):
        started.append(Program(tmp_path, nodes))
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
