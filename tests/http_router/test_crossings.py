"""What crosses: something ends on one side while the other is in the middle of it. On loopback
sockets.
"""

import contextlib
import json
import signal
import time

import pytest
from live import answer, post
from real import Node, Program, leave, read_answer, until

LONG = {"aim": 6000.0, "giveUp": 9000.0}  # a part waits for its connection for a third of the aim
KEYED = LONG | {"effect": "idempotency_key"}
KEY = "Idempotency-Key: 69df97975326601f\r\n"
TEXT = "x" * 60_000
FEW = {"cores": 1.0, "memory_mb": 64, "sockets": 96}  # descriptors: 48 clients, 8 links
FULL = 48  # connections of clients that such a router holds


def big(id, *shards, path="/look"):
    body = json.dumps(
        {"shards": [{"shard": s, "weight": 1 / len(shards)} for s in shards], "q": TEXT}
    )
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
    assert (
        read_answer(client)[0] == 200
    )  # a connection to the node is up: a part would go out at once
    program.halt()
    if not used:
        client = program.client()
    client.sendall(post(id="gone"))
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        client.send(behind)
    leave(client, how)
    program.go_on()
    served(program)
    [ids] = program.ended()
    assert "gone.0" not in ids and ids.count("marker.0") == 1


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("cancel", [True, False], ids=["cancels", "no cancels"])
def test_a_client_that_left_while_a_connection_came_up_has_nothing_sent(start, how, cancel):
    node = Node(comes_up=False)
    program = start(
        node, told={"services": LONG, "caps": {"connectTimeout": 20_000.0, "cancel": cancel}}
    )
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
    called = until(
        lambda: next((node for node in old if node.called), None), "a connection in the making"
    )
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
    program.logged("frame_send_stalled")
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
    node.shard_requests[1][0].sendall(answer("same.0", value="of the second"))
    status, body = read_answer(second)
    assert status == 200 and json.loads(body)["hits"][0]["doc"] == "of the second"


def test_a_connection_that_only_the_system_has_accepted_is_answered_when_the_port_closes(start):
    """SIGTERM: the port closes over its queue, in which a request lies."""
    node = Node()
    program = start(
        node, told={"services": {"aim": 2000.0}}
    )  # new connections for 0.6 s, 2.6 s in all
    program.signal(signal.SIGTERM)
    program.logged("shutdown_started")
    program.halt()
    client = program.client(post(id="late", deadline=1900))
    time.sleep(0.8)  # the port is due to close
    program.go_on()
    status, _ = read_answer(client)
    assert status in (200, 503)
    assert program.process.wait(30) == 0


def test_lists_that_are_pushed_come_on_a_watch_indented_or_not(start):
    """Danger: where settings say so nobody opened the watch, and the list of the start was all
    there was.
    """
    old, new = Node(), Node()
    program = start(old, new, told={"discovery": "push"}, listed=(1,))
    program.discovery.say(6, program.entry(1, "terminating"), program.entry(2), indent=1)
    for n in range(5):
        served(program, f"q{n}")
    assert program.discovery.asked.startswith(b"GET /api/targets?watch=1&after=4 ")
    ids = program.ended()
    assert "q4.0" in ids[1]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_client_that_left_behind_its_own_open_request_has_neither_sent(start, how):
    node = Node(serves=False)
    program = start(node, told={"services": LONG})
    client = program.client(post(id="open", deadline=8000))
    node.got("open.0")
    program.halt()
    client.sendall(post(id="gone", deadline=8000))
    leave(client, how)
    program.go_on()
    with node.changed:
        assert node.changed.wait_for(lambda: node.given_up == ["open.0"], 30)
    node.serves = True
    served(program)
    assert program.ended() == [["open.0", "marker.0"]]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_client_that_left_in_the_queue_of_a_full_router_has_nothing_sent(start, how):
    nodes = [Node(serves=False) for _ in range(8)]  # each gets nine at most at first
    told = {"services": LONG, "caps": {"openCap": 1000}}
    program = start(*nodes, told=told, limits=FEW)

    def where(id):
        return until(lambda: next((node for node in nodes if id in node.ids), None), id)

    clients = []
    for n in range(48):  # half of the descriptors: no more are accepted
        clients.append(program.client(post(id=f"busy{n}", deadline=8000)))
        where(f"busy{n}.0")
    leave(program.client(post(id="gone", deadline=8000)), how)
    marker = program.client(post(id="marker", deadline=8000))
    for node in nodes:
        node.serves = True
    for n in range(4):  # whose connections then make room
        where(f"busy{n}.0").got(f"busy{n}.0").sendall(answer(f"busy{n}.0"))
        assert read_answer(clients[n])[0] == 200
    assert read_answer(marker)[0] == 200
    ids = [id for ids in program.ended() for id in ids]
    assert "gone.0" not in ids and ids.count("marker.0") == 1


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_client_that_left_while_nobody_could_be_sent_to_has_nothing_sent(start, how):
    """It waits in the module's line, for there is no node yet."""
    node = Node()
    program = start(node, told={"services": LONG}, listed=())
    client = program.client(post(id="gone", deadline=8000))
    program.turned()
    leave(client, how)
    program.turned()
    program.discovery.say(6, program.entry(1))
    served(program)
    assert program.ended() == [["marker.0"]]


CELLS = {
    "positions": 8,
    "inARow": 1,
    "slabs": 72,
    "bundleMax": 9,
}  # one node a shard, one link a node


@pytest.mark.parametrize("end", ["FIN", "RST", "drain"])
def test_what_waits_behind_a_frame_of_a_hung_node_never_leaves(start, end):
    node = Node(reads=False, narrow=True)
    caps = {
        "streamsPerConn": 100,
        "cancel": False,
    }  # nobody is told of what is not worth its work any more
    told = {"services": LONG, "familyInfo": CELLS, "caps": caps}
    program = start(node, *(Node() for _ in range(7)), told=told, cells=range(8), limits=FEW)
    held = program.client(big("held", *range(0, 72, 8)))
    until(lambda: node.blocked, "a full socket")
    client = program.client(post(id="gone", deadline=8000))
    program.turned()
    if end == "drain":
        program.discovery.say(6, program.entry(1, "terminating"))
        program.logged("frame_send_stalled")
        client.close()
    else:
        leave(client, end)
    program.turned()
    node.wakes.set()
    if end != "drain":
        assert read_answer(held)[0] == 200
        served(program)
    ids = program.ended()[0]
    assert "gone.0" not in ids and (end == "drain" or ids[-1] == "marker.0")


def test_a_keyed_repeat_whose_connection_comes_up_after_its_window_never_leaves(start):
    """Danger: chosen within the window, written past it: its node no longer knows the key."""
    first, second = Node(serves=False), Node(comes_up=False)
    told = {"services": KEYED | {"window": 600.0}, "caps": {"connectTimeout": 20_000.0}}
    program = start(first, second, told=told, listed=(1,))
    client = program.client(post(id="cab", path="/book", deadline=8000, more=KEY))
    connection = first.got("cab.0")
    program.discovery.say(6, program.entry(2))
    program.turned()
    leave(connection, "RST")
    until(lambda: second.called, "a connection in the making")
    second.accepts.set()  # the system tries again after a second: the window is over
    status, _ = read_answer(client)
    until(lambda: not second.called, "the connection of the repeat")
    assert status == 504  # the first attempt may have run
    assert program.ended() == [["cab.0"], []]


def test_a_list_that_a_reset_cuts_counts_only_when_it_comes_whole(start):
    old, new = Node(), Node()
    program = start(old, new, listed=(1,))
    complete = json.dumps({"version": 6, "full": True, "servers": [program.entry(2)]}).encode()
    program.discovery.connection.sendall(
        b"%x\r\n%b" % (len(complete) + 1, complete)
    )  # all but the end of its line
    program.turned()
    leave(program.discovery.connection, "RST")
    program.discovery.watch()
    assert b"after=5 " in program.discovery.asked
    served(program, "before")
    program.discovery.say(6, program.entry(2), full=True)
    program.turned()
    served(program, "after")
    assert program.ended() == [["before.0"], ["after.0"]]


def test_a_watch_that_hangs_before_its_first_word_is_opened_anew(start):
    node = Node()
    program = start(node)
    leave(program.discovery.connection, "RST")
    silent, _ = program.discovery.listening.accept()
    program.discovery.watch()
    program.discovery.say(6, program.entry(1, "terminating"))
    program.turned()
    status, _ = read_answer(program.client(post(id="late")))
    assert status == 503 and program.ended() == [[]]
    silent.close()


def test_signals_again_while_leaving_change_nothing_for_what_is_open(start):
    node = Node(serves=False)
    program = start(node, told={"services": LONG})
    client = program.client(post(id="open", path="/book", deadline=8000))
    connection = node.got("open.0")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        program.signal(number)
        program.turned()
    program.logged("shutdown_started")
    connection.sendall(answer("open.0"))
    assert read_answer(client)[0] == 200
    assert program.process.wait(30) == 0
    assert program.said("shutdown_started") == 1


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_sigterm_before_the_first_list_ends_the_start(start, pushed):
    program = start(Node(), told={"discovery": "push" if pushed else "ask"}, ready=False)
    program.logged("process_started")
    program.signal(signal.SIGTERM)
    assert program.process.wait(30) == 0


def test_a_request_behind_the_last_answer_of_a_leaving_router_is_answered_or_never_sent(start):
    node = Node(serves=False)
    program = start(node, told={"services": {"aim": 2000.0}})  # taking for 0.6 s after SIGTERM
    client = program.client(post(id="open", deadline=1900))
    connection = node.got("open.0")
    program.signal(signal.SIGTERM)
    program.logged("shutdown_started")
    time.sleep(0.8)  # from here on each connection closes with its answer
    program.halt()
    connection.sendall(answer("open.0"))
    client.sendall(post(id="behind", deadline=1900))
    program.go_on()
    stream = client.makefile("rb")
    assert b"200" in stream.readline()
    with contextlib.suppress(OSError):
        rest = stream.read()
    assert program.process.wait(30) == 0
    [ids] = program.ended()
    assert ("behind.0" in ids) <= (rest.count(b"HTTP/1.1 ") == 1)


def test_no_answer_is_thrown_away_to_make_room_for_new_connections(start):
    """Answers of nodes and new connections lie in the system together: full before answers have
    left.
    """
    nodes = [Node(serves=False) for _ in range(4)]
    program = start(
        *nodes, cells=[0] * 4, limits=FEW, told={"services": LONG, "caps": {"openCap": 500}}
    )
    asking = [program.client(post(id=f"q{number}", deadline=8000)) for number in range(FULL // 2)]
    until(
        lambda: len({id for node in nodes for id in node.ids}) == FULL // 2, "all requests at nodes"
    )
    program.halt()
    for node in nodes:
        for connection, id in node.shard_requests:
            connection.sendall(answer(id))
    new = [program.client() for _ in range(2 * FULL)]
    program.go_on()
    assert [read_answer(client)[0] for client in asking] == [200] * (FULL // 2)
    for client in new:
        client.close()
