"""A router process that was stopped reads what discovery has written before it sends anything.

Guards against requests to a node that drains, whatever the process was doing when it was stopped
and in whatever order its sockets became readable.
"""

import time

import pytest
from live import answer, post
from real import Node, Program, read_answer, until
from stop_points import POINTS

GRACE = {"rules": {"stopSendingWithin": 100.0}}  # ms
STALLS = [0.25, 1.2]  # s, longer than the grace
DEADLINE = 1900  # ms
ANSWER_WITHIN = 0.5  # s after a client's time, in which a late answer only earns nothing


@pytest.fixture
def start(tmp_path):
    started = []

    def make(*nodes, more=None, **options):
        started.append(Program(tmp_path, nodes, told=GRACE | (more or {}), **options))
        return started[0]

    yield make
    for program in started:
        program.ended()


def tell_by_watch(program):
    program.discovery.say(6, program.entry(1, "terminating"))


def tell_by_poll(program):
    program.discovery.answer_poll(6, program.entry(1, "terminating"))


def open_poll(program):
    program.discovery.say(5, full=True)  # a list of nobody is polled once more
    program.discovery.poll()


def check_refused_in_time(client, sent):
    assert read_answer(client)[0] == 503
    assert time.monotonic() - sent <= DEADLINE / 1000 + ANSWER_WITHIN


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("tell", [tell_by_watch, tell_by_poll])
@pytest.mark.parametrize("point", POINTS)
def test_nothing_goes_to_a_node_that_drained_while_the_process_was_stopped_at(
    start, point, tell, stall
):
    node = Node()
    program = start(node, stops_at=point)
    if tell is tell_by_poll:
        open_poll(program)
    assert read_answer(program.client(post(id="warm")))[0] == 200
    sent = time.monotonic()
    client = program.stop_at_point(post(id="late", deadline=DEADLINE))
    tell(program)
    time.sleep(stall)
    program.go_on()
    check_refused_in_time(client, sent)
    [ids] = program.ended()
    assert ids == ["warm.0"]


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("tell", [tell_by_watch, tell_by_poll])
def test_nothing_goes_to_a_node_that_drained_while_everything_waited(start, tell, stall):
    node = Node()
    program = start(node)
    if tell is tell_by_poll:
        open_poll(program)
    assert read_answer(program.client(post(id="warm")))[0] == 200
    program.halt()
    sent = time.monotonic()
    clients = [program.client(post(id=f"late{n}", deadline=DEADLINE)) for n in range(5)]
    tell(program)
    time.sleep(stall)
    program.go_on()
    for client in clients:
        check_refused_in_time(client, sent)
    [ids] = program.ended()
    assert ids == ["warm.0"]


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("tell", [tell_by_watch, tell_by_poll])
def test_no_frame_begins_at_a_node_that_woke_and_drained_meanwhile(start, tell, stall):
    """The node's socket can be written before the list can be read."""
    node = Node(reads=False, serves=False, narrow=True)
    program = start(node)
    if tell is tell_by_poll:
        open_poll(program)
    body = '{"shards":[{"shard":0,"weight":1.0}],"q":"%s"}' % ("x" * 60_000)
    clients = []
    while not node.blocked or len(clients) < 60:  # both systems' buffers are full
        clients.append(program.client(post(id=f"fill{len(clients)}", deadline=1900, body=body)))
        assert len(clients) < 200
        time.sleep(0.002)
    program.halt()
    node.wakes.set()
    until(lambda: not node.blocked, "the node to read on")
    tell(program)
    time.sleep(stall)
    begun = node.frames_begun  # all that the system had taken, read by the node meanwhile
    program.go_on()
    for client in clients:
        read_answer(client)
    program.ended()
    assert node.frames_begun == begun


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("tell", [tell_by_watch, tell_by_poll])
def test_nothing_goes_to_a_node_whose_connection_came_up_before_it_drained(start, tell, stall):
    node = Node(comes_up=False)
    patient = {"aim": 20_000.0, "giveUp": 30_000.0}  # ms
    program = start(node, more={"services": patient, "caps": {"connectTimeout": 10_000.0}})
    if tell is tell_by_poll:
        open_poll(program)
    client = program.client(post(id="late", deadline=4000))
    until(lambda: node.called, "a connection on its way up")
    program.halt()
    node.accepts.set()
    until(lambda: not node.called, "the connection that comes up")
    tell(program)
    time.sleep(stall)
    program.go_on()
    assert read_answer(client)[0] == 503
    [ids] = program.ended()
    assert not ids


@pytest.mark.parametrize("stall", [0.7, 1.2])
def test_an_answer_that_came_while_the_process_was_stopped_is_read_before_its_timer_runs(
    start, stall
):
    """Guards against queries that are failed though their answer lies unread."""
    node = Node(serves=False)
    strict = {"aim": 300.0, "giveUp": 2000.0, "lateWorth": 0.0}  # an attempt ends with the aim
    program = start(node, more={"services": strict})
    sent = time.monotonic()
    client = program.client(post(id="unsafe", path="/book", deadline=DEADLINE))
    connection = node.got("unsafe.0")
    program.halt()
    connection.sendall(answer("unsafe.0"))
    time.sleep(stall)
    program.go_on()
    assert read_answer(client)[0] == 200
    assert time.monotonic() - sent <= DEADLINE / 1000


@pytest.mark.parametrize("sent_before", [True, False], ids=["used before", "new"])
def test_a_client_that_seems_silent_since_the_process_was_stopped_is_answered(start, sent_before):
    """Guards against a connection that is closed as idle over the request that lies in it."""
    node = Node()
    patient = {"aim": 20_000.0, "giveUp": 30_000.0}  # ms
    program = start(node, more={"services": patient})
    client = program.client()
    if sent_before:
        client.sendall(post(id="warm"))
        assert read_answer(client)[0] == 200
    else:
        program.turned()
    program.halt()
    client.sendall(post(id="late", deadline=8000))
    time.sleep(3.4)  # longer than an idle connection, and one without a request, is kept
    program.go_on()
    assert read_answer(client)[0] == 200
