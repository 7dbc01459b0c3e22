"""What crosses: something ends on one side while the other is in the middle of it. On loopback sockets."""

import json
import signal
import time

import pytest
from live import answer, post
from real import Node, Program, leave, read_answer, until

LONG = {"aim": 6000.0, "giveUp": 9000.0}  # a part waits for its connection for a third of the aim
TEXT = "x" * 60_000


def big(id, *shards, path="/look"):
    body = json.dumps({"shards": [{"shard": s, "weight": 1 / len(shards)} for s in shards], "q": TEXT})
    return post(id=id, path=path, body=body, deadline=8000)


@pytest.fixture
def start(tmp_path):
    started = []

    def make(*nodes, **more):
        started.append(Program(tmp_path, nodes, **more))
        return started[0]

    yield make
    for program in started:
        program.ended()


def served(program, id="marker"):
    """A further query is served: whatever went before it has been acted upon."""
    status, body = read_answer(program.client(post(id=id)))
    assert status == 200, body


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("behind", [b"", b"\x16\x03" * 150_000], ids=["alone", "much behind it"])
@pytest.mark.parametrize("used", [False, True], ids=["in the queue", "on a used connection"])
def test_a_client_that_left_before_its_request_was_read_has_nothing_sent(start, how, behind, used):
    node = Node()
    program = start(node)
    client = program.client(post(id="first"))
    assert read_answer(client)[0] == 200  # a connection to the node is up: a part would go out at once
    program.halt()
    if not used:
        client = program.client()
    client.sendall(post(id="gone"))
    client.setblocking(False)
    try:
        client.send(behind)
    except BlockingIOError:
        pass
    leave(client, how)
    program.go_on()
    served(program)
    [ids] = program.ended()
    assert "gone.0" not in ids and ids.count("marker.0") == 1


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("cancel", [True, False], ids=["cancels", "no cancels"])
def test_a_client_that_left_while_a_connection_came_up_has_nothing_sent(start, how, cancel):
    node = Node(comes_up=False)
    program = start(node, told={"services": LONG, "caps": {"connectTimeout": 20_000.0, "cancel": cancel}})
    client = program.client(post(id="gone", deadline=8000))
    until(lambda: node.called, "a connection in the making")
    leave(client, how)
    marker = program.client(post(id="marker", deadline=8000))
    node.accepts.set()  # the system tries again after a second, and it comes up
    assert read_answer(marker)[0] == 200
    until(lambda: not node.called, "the connection of the one that left")
    served(program)
    [ids] = program.ended()
    assert set(ids) == {"marker.0"}


def test_a_node_told_to_go_while_a_connection_to_it_came_up_gets_nothing(start):
    old = [Node(comes_up=False), Node(comes_up=False)]
    new = Node()
    told = {"services": LONG, "caps": {"connectTimeout": 20_000.0}}
    program = start(*old, new, told=told, listed=(1, 2))
    client = program.client(post(id="one", deadline=8000, path="/book"))
    called = until(lambda: next((node for node in old if node.called), None), "a connection in the making")
    going = [program.entry(n, "terminating") for n in (1, 2)]
    program.discovery.say(6, *going, program.entry(3))
    called.accepts.set()
    assert read_answer(client)[0] == 200
    assert program.ended() == [[], [], ["one.0"]]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_frame_that_a_hung_node_has_half_of_is_never_finished_once_its_client_left(start, how):
    node = Node(reads=False, narrow=True)
    program = start(node, told={"services": LONG, "familyInfo": {"bundleMax": 9}})
    client = program.client(big("gone", *range(9)))
    until(lambda: node.blocked, "a full socket")
    leave(client, how)
    program.logged("a frame its node does not take")
    node.wakes.set()
    served(program)
    [ids] = program.ended()
    assert ids == ["marker.0"]


def test_an_unsafe_query_goes_on_elsewhere_when_its_half_written_frame_is_cut_off(start):
    first, second = Node(reads=False, narrow=True), Node()
    told = {"services": LONG, "familyInfo": {"bundleMax": 9}}
    program = start(first, second, told=told, listed=(1,))
    client = program.client(big("cab", *range(9), path="/book"))
    until(lambda: first.blocked, "a full socket")
    program.discovery.say(6, program.entry(2))
    for connection in list(first.connections):
        leave(connection, "RST")
    status, body = read_answer(client)
    assert status == 200 and json.loads(body)["complete"]
    first_ids, second_ids = program.ended()
    assert not first_ids and sorted(second_ids) == sorted(f"cab.{n}" for n in range(9))


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_an_answer_that_comes_together_with_a_reset_counts(start, how):
    node = Node(serves=False)
    program = start(node)
    client = program.client(post(id="cab", path="/book", deadline=1900))
    connection = node.got("cab.0")
    program.halt()
    connection.sendall(answer("cab.0"))
    leave(connection, how)
    program.go_on()
    assert read_answer(client)[0] == 200
    assert program.ended() == [["cab.0"]]


def test_an_id_used_again_never_gets_the_answer_of_its_first_use(start):
    node = Node(serves=False)
    program = start(node)
    first = program.client(post(id="same", deadline=1900))
    early = node.got("same.0")
    first.close()
    with node.changed:
        assert node.changed.wait_for(lambda: node.given_up == ["same.0"], 30)
    second = program.client(post(id="same", deadline=1900))
    with node.changed:
        assert node.changed.wait_for(lambda: node.ids.count("same.0") == 2, 30)
    early.sendall(answer("same.0", value="of the first one"))
    node.parts[1][0].sendall(answer("same.0", value="of the second"))
    status, body = read_answer(second)
    assert status == 200 and json.loads(body)["hits"][0]["doc"] == "of the second"


def test_a_connection_that_only_the_system_has_accepted_is_answered_when_the_port_closes(start):
    """SIGTERM: the port closes over its queue, in which a request lies."""
    node = Node()
    program = start(node, told={"services": {"aim": 2000.0}})  # new connections for 0.6 s, 2.6 s in all
    program.signal(signal.SIGTERM)
    program.logged("stopping")
    program.halt()
    client = program.client(post(id="late", deadline=1900))
    time.sleep(0.8)  # the port is due to close
    program.go_on()
    status, _ = read_answer(client)
    assert status in (200, 503)
    assert program.process.wait(30) == 0


def test_lists_that_are_pushed_come_on_a_watch_indented_or_not(start):
    """Danger: where settings say so nobody opened the watch, and the list of the start was all there was."""
    old, new = Node(), Node()
    program = start(old, new, told={"discovery": "push"}, listed=(1,))
    program.discovery.say(6, program.entry(1, "terminating"), program.entry(2), indent=1)
    for n in range(5):
        served(program, f"q{n}")
    assert program.discovery.asked.startswith(b"GET /api/targets?watch=1&after=4 ")
    ids = program.ended()
    assert "q4.0" in ids[1]
