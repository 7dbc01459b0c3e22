"""A router process that was suspended reads pending discovery updates before it sends anything.

Guards against requests to a draining node, whatever the process was doing when it was suspended
and in whatever order its sockets became readable.
"""

import time

import pytest
from live import answer, post
from real import Node, Program, read_answer, wait_until
from stop_points import POINTS

GRACE = {"rules": {"stopSendingWithin": 100.0}}  # ms
STALLS = [0.25, 1.2]  # s, longer than the drain grace
DEADLINE = 1900  # ms
ANSWER_WITHIN = 0.5  # s after the deadline; a late answer within it only earns nothing


@pytest.fixture
def start(tmp_path):
    started = []

    def make(*nodes, more=None, **options):
        started.append(Program(tmp_path, nodes, overrides=GRACE | (more or {}), **options))
        return started[0]

    yield make
    for program in started:
        program.kill()


def drain_by_watch(program):
    program.discovery.send_update(6, program.entry(1, "terminating"))


def drain_by_poll(program):
    program.discovery.answer_poll(6, program.entry(1, "terminating"))


def open_poll(program):
    program.discovery.send_update(5, full=True)  # an empty endpoint list is polled once more
    program.discovery.accept_poll()


def check_refused_in_time(client, sent):
    assert read_answer(client)[0] == 503
    assert time.monotonic() - sent <= DEADLINE / 1000 + ANSWER_WITHIN


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("send_drain", [drain_by_watch, drain_by_poll])
@pytest.mark.parametrize("point", POINTS)
def test_nothing_is_sent_to_a_node_that_drained_while_the_process_was_suspended_at(
    start, point, send_drain, stall
):
    node = Node()
    program = start(node, stop_point=point)
    if send_drain is drain_by_poll:
        open_poll(program)
    assert read_answer(program.client(post(id="warm")))[0] == 200
    sent = time.monotonic()
    client = program.suspend_at_point(post(id="late", deadline=DEADLINE))
    send_drain(program)
    time.sleep(stall)
    program.resume()
    check_refused_in_time(client, sent)
    [ids] = program.kill()
    assert ids == ["warm.0"]


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("send_drain", [drain_by_watch, drain_by_poll])
def test_nothing_is_sent_to_a_node_that_drained_while_requests_were_pending(
    start, send_drain, stall
):
    node = Node()
    program = start(node)
    if send_drain is drain_by_poll:
        open_poll(program)
    assert read_answer(program.client(post(id="warm")))[0] == 200
    program.suspend()
    sent = time.monotonic()
    clients = [program.client(post(id=f"late{n}", deadline=DEADLINE)) for n in range(5)]
    send_drain(program)
    time.sleep(stall)
    program.resume()
    for client in clients:
        check_refused_in_time(client, sent)
    [ids] = program.kill()
    assert ids == ["warm.0"]


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("send_drain", [drain_by_watch, drain_by_poll])
def test_no_frame_starts_to_a_node_that_resumed_reading_and_drained_meanwhile(
    start, send_drain, stall
):
    """The node's socket becomes writable before the discovery update becomes readable."""
    node = Node(reads=False, serves=False, small_buffers=True)
    program = start(node)
    if send_drain is drain_by_poll:
        open_poll(program)
    body = '{"shards":[{"shard":0,"weight":1.0}],"q":"%s"}' % ("x" * 60_000)
    clients = []
    # Ends when the kernel buffers of both sides are full.
    while not node.has_unsent_bytes or len(clients) < 60:
        clients.append(program.client(post(id=f"fill{len(clients)}", deadline=1900, body=body)))
        assert len(clients) < 200
        time.sleep(0.002)
    program.suspend()
    node.read_enabled.set()
    wait_until(lambda: not node.has_unsent_bytes, "the node to resume reading")
    send_drain(program)
    time.sleep(stall)
    begun = node.frames_begun  # all that the kernel had accepted, read by the node meanwhile
    program.resume()
    for client in clients:
        read_answer(client)
    program.kill()
    assert node.frames_begun == begun


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("send_drain", [drain_by_watch, drain_by_poll])
def test_nothing_is_sent_to_a_node_whose_connection_was_established_before_it_drained(
    start, send_drain, stall
):
    node = Node(accepts_connections=False)
    long_limits = {"aim": 20_000.0, "giveUp": 30_000.0}  # ms
    program = start(node, more={"services": long_limits, "caps": {"connectTimeout": 10_000.0}})
    if send_drain is drain_by_poll:
        open_poll(program)
    client = program.client(post(id="late", deadline=4000))
    wait_until(lambda: node.connecting, "a connection that is being established")
    program.suspend()
    node.accept_enabled.set()
    wait_until(lambda: not node.connecting, "the connection to be established")
    send_drain(program)
    time.sleep(stall)
    program.resume()
    assert read_answer(client)[0] == 503
    [ids] = program.kill()
    assert not ids


@pytest.mark.parametrize("stall", [0.7, 1.2])
def test_an_answer_received_while_the_process_was_suspended_is_read_before_its_timer_runs(
    start, stall
):
    """Guards against queries that fail although their answer is pending in the kernel."""
    node = Node(serves=False)
    # An attempt ends at the latency objective.
    strict = {"aim": 300.0, "giveUp": 2000.0, "lateWorth": 0.0}
    program = start(node, more={"services": strict})
    sent = time.monotonic()
    client = program.client(post(id="unsafe", path="/book", deadline=DEADLINE))
    connection = node.wait_for_shard_request("unsafe.0")
    program.suspend()
    connection.sendall(answer("unsafe.0"))
    time.sleep(stall)
    program.resume()
    assert read_answer(client)[0] == 200
    assert time.monotonic() - sent <= DEADLINE / 1000


@pytest.mark.parametrize("sent_before", [True, False], ids=["used before", "new"])
def test_a_client_that_seems_idle_because_the_process_was_suspended_is_answered(start, sent_before):
    """Guards against a connection closed as idle although a request is pending in it."""
    node = Node()
    long_limits = {"aim": 20_000.0, "giveUp": 30_000.0}  # ms
    program = start(node, more={"services": long_limits})
    client = program.client()
    if sent_before:
        client.sendall(post(id="warm"))
        assert read_answer(client)[0] == 200
    else:
        program.wait_for_event_loop()
    program.suspend()
    client.sendall(post(id="late", deadline=8000))
    time.sleep(3.4)  # longer than an idle connection, or one without a request, is kept
    program.resume()
    assert read_answer(client)[0] == 200
