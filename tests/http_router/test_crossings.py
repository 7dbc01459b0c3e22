"""Races on loopback sockets: one side ends something while the other is still working on it."""

import contextlib
import json
import signal
import time

import pytest
from live import answer, post
from real import Node, close_connection, read_answer, wait_until

# A shard request waits for its connection for a third of the latency objective.
LONG = {"aim": 6000.0, "giveUp": 9000.0}
KEYED = LONG | {"effect": "idempotency_key"}
KEY = "Idempotency-Key: 69df97975326601f\r\n"
TEXT = "x" * 60_000
FEW = {"cores": 1.0, "memory_mb": 64, "sockets": 96}  # descriptors: 48 clients, 8 to nodes
FULL = 48  # client connections that a router with the limits FEW holds


def large_request(id, *shards, path="/look"):
    body = json.dumps(
        {"shards": [{"shard": s, "weight": 1 / len(shards)} for s in shards], "q": TEXT}
    )
    return post(id=id, path=path, body=body, deadline=8000)


def check_served(program, id="marker"):
    """Check that a further query succeeds: all that was sent before has then been handled."""
    status, body = read_answer(program.client(post(id=id)))
    assert status == 200, body


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("behind", [b"", b"\x16\x03" * 150_000], ids=["alone", "much behind it"])
@pytest.mark.parametrize("used", [False, True], ids=["in the queue", "on a used connection"])
def test_nothing_is_sent_for_a_client_that_left_before_its_request_was_read(
    start, how, behind, used
):
    node = Node()
    program = start(node)
    client = program.client(post(id="first"))
    # A connection to the node is established: a shard request would be sent at once.
    assert read_answer(client)[0] == 200
    program.suspend()
    if not used:
        client = program.client()
    client.sendall(post(id="gone"))
    client.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        client.send(behind)
    close_connection(client, how)
    program.resume()
    check_served(program)
    [ids] = program.kill()
    assert "gone.0" not in ids and ids.count("marker.0") == 1


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("cancel", [True, False], ids=["cancels", "no cancels"])
def test_nothing_is_sent_for_a_client_that_left_while_a_connection_was_established(
    start, how, cancel
):
    node = Node(accepts_connections=False)
    program = start(
        node, overrides={"services": LONG, "caps": {"connectTimeout": 20_000.0, "cancel": cancel}}
    )
    client = program.client(post(id="gone", deadline=8000))
    wait_until(lambda: node.connecting, "a connection that is being established")
    close_connection(client, how)
    marker = program.client(post(id="marker", deadline=8000))
    node.accept_enabled.set()  # the kernel retries after a second and the connection is established
    assert read_answer(marker)[0] == 200
    wait_until(lambda: not node.connecting, "the connection for the client that left")
    check_served(program)
    [ids] = program.kill()
    assert set(ids) == {"marker.0"}


def test_nothing_is_sent_to_a_node_that_drained_while_its_connection_was_established(start):
    old = [Node(accepts_connections=False), Node(accepts_connections=False)]
    new = Node()
    overrides = {"services": LONG, "caps": {"connectTimeout": 20_000.0}}
    program = start(*old, new, overrides=overrides, listed=(1, 2))
    client = program.client(post(id="one", deadline=8000, path="/book"))
    connecting = wait_until(
        lambda: next((node for node in old if node.connecting), None),
        "a connection that is being established",
    )
    draining = [program.entry(n, "terminating") for n in (1, 2)]
    program.discovery.send_update(6, *draining, program.entry(3))
    connecting.accept_enabled.set()
    assert read_answer(client)[0] == 200
    assert program.kill() == [[], [], ["one.0"]]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_frame_that_a_hung_node_has_half_of_is_never_finished_once_its_client_left(start, how):
    node = Node(reads=False, small_buffers=True)
    program = start(node, overrides={"services": LONG, "familyInfo": {"bundleMax": 9}})
    client = program.client(large_request("gone", *range(9)))
    wait_until(lambda: node.has_unsent_bytes, "a full socket")
    close_connection(client, how)
    program.wait_for_log("frame_send_stalled")
    node.read_enabled.set()
    check_served(program)
    [ids] = program.kill()
    assert ids == ["marker.0"]


def test_an_unsafe_query_goes_on_elsewhere_when_its_half_written_frame_is_cut_off(start):
    first, second = Node(reads=False, small_buffers=True), Node()
    overrides = {"services": LONG, "familyInfo": {"bundleMax": 9}}
    program = start(first, second, overrides=overrides, listed=(1,))
    client = program.client(large_request("cab", *range(9), path="/book"))
    wait_until(lambda: first.has_unsent_bytes, "a full socket")
    program.discovery.send_update(6, program.entry(2))
    for connection in list(first.connections):
        close_connection(connection, "RST")
    status, body = read_answer(client)
    assert status == 200 and json.loads(body)["complete"]
    first_ids, second_ids = program.kill()
    assert not first_ids and sorted(second_ids) == sorted(f"cab.{n}" for n in range(9))


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_an_answer_that_comes_together_with_a_reset_counts(start, how):
    node = Node(serves=False)
    program = start(node)
    client = program.client(post(id="cab", path="/book", deadline=1900))
    connection = node.wait_for_shard_request("cab.0")
    program.suspend()
    connection.sendall(answer("cab.0"))
    close_connection(connection, how)
    program.resume()
    assert read_answer(client)[0] == 200
    assert program.kill() == [["cab.0"]]


def test_an_id_used_again_never_gets_the_answer_of_its_first_use(start):
    node = Node(serves=False)
    program = start(node)
    first = program.client(post(id="same", deadline=1900))
    early = node.wait_for_shard_request("same.0")
    first.close()
    with node.changed:
        assert node.changed.wait_for(lambda: node.cancelled == ["same.0"], 30)
    second = program.client(post(id="same", deadline=1900))
    assert read_answer(second)[0] == 409
    early.sendall(answer("same.0", value="of the first one"))
    third = program.client(post(id="other", deadline=1900))
    connection = node.wait_for_shard_request("other.0")
    connection.sendall(answer("other.0", value="of the other"))
    status, body = read_answer(third)
    assert status == 200 and json.loads(body)["hits"][0]["doc"] == "of the other"
    assert node.ids == ["same.0", "other.0"]


def test_a_connection_that_only_the_system_has_accepted_is_answered_when_the_port_closes(start):
    """After SIGTERM the port closes while a request is pending in its backlog."""
    node = Node()
    # Accepts new connections for 0.6 s after SIGTERM and exits after 2.6 s at the latest.
    program = start(node, overrides={"services": {"aim": 2000.0}})
    program.signal(signal.SIGTERM)
    program.wait_for_log("shutdown_started")
    program.suspend()
    client = program.client(post(id="late", deadline=1900))
    time.sleep(0.8)  # the port is due to be closed
    program.resume()
    status, _ = read_answer(client)
    assert status in (200, 503)
    assert program.process.wait(30) == 0


def test_pushed_endpoint_lists_arrive_on_a_watch_indented_or_not(start):
    """Guards against a router that opens no watch if the settings say `push`.

    It then kept the endpoint list of its start.
    """
    old, new = Node(), Node()
    program = start(old, new, overrides={"discovery": "push"}, listed=(1,))
    program.discovery.send_update(6, program.entry(1, "terminating"), program.entry(2), indent=1)
    for n in range(5):
        check_served(program, f"q{n}")
    assert program.discovery.watch_request.startswith(b"GET /api/targets?watch=1&after=4 ")
    ids = program.kill()
    assert "q4.0" in ids[1]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_nothing_is_sent_for_a_client_that_left_with_an_earlier_request_open(start, how):
    node = Node(serves=False)
    program = start(node, overrides={"services": LONG})
    client = program.client(post(id="open", deadline=8000))
    node.wait_for_shard_request("open.0")
    program.suspend()
    client.sendall(post(id="gone", deadline=8000))
    close_connection(client, how)
    program.resume()
    with node.changed:
        assert node.changed.wait_for(lambda: node.cancelled == ["open.0"], 30)
    node.serves = True
    check_served(program)
    assert program.kill() == [["open.0", "marker.0"]]


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_nothing_is_sent_for_a_client_that_left_the_backlog_of_a_full_router(start, how):
    nodes = [Node(serves=False) for _ in range(8)]  # each gets at most nine requests at first
    overrides = {"services": LONG, "caps": {"openCap": 1000}}
    program = start(*nodes, overrides=overrides, limits=FEW)

    def node_of(id):
        return wait_until(lambda: next((node for node in nodes if id in node.ids), None), id)

    clients = []
    for n in range(48):  # half of the descriptors: further clients are not accepted
        clients.append(program.client(post(id=f"busy{n}", deadline=8000)))
        node_of(f"busy{n}.0")
    close_connection(program.client(post(id="gone", deadline=8000)), how)
    marker = program.client(post(id="marker", deadline=8000))
    for node in nodes:
        node.serves = True
    for n in range(4):  # frees the connections of these clients
        node_of(f"busy{n}.0").wait_for_shard_request(f"busy{n}.0").sendall(answer(f"busy{n}.0"))
        assert read_answer(clients[n])[0] == 200
    assert read_answer(marker)[0] == 200
    ids = [id for ids in program.kill() for id in ids]
    assert "gone.0" not in ids and ids.count("marker.0") == 1


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_nothing_is_sent_for_a_client_that_left_while_there_was_no_node(start, how):
    """The request waits in the queue of the routing policy, as there is no node yet."""
    node = Node()
    program = start(node, overrides={"services": LONG}, listed=())
    client = program.client(post(id="gone", deadline=8000))
    program.wait_for_event_loop()
    close_connection(client, how)
    program.wait_for_event_loop()
    program.discovery.send_update(6, program.entry(1))
    check_served(program)
    assert program.kill() == [["marker.0"]]


# One node per shard, one connection per node.
CELLS = {"positions": 8, "inARow": 1, "slabs": 72, "bundleMax": 9}


@pytest.mark.parametrize("end", ["FIN", "RST", "drain"])
def test_a_request_queued_behind_a_frame_to_a_hung_node_is_never_sent(start, end):
    node = Node(reads=False, small_buffers=True)
    # No cancels are sent for requests that are no longer needed.
    caps = {"streamsPerConn": 100, "cancel": False}
    overrides = {"services": LONG, "familyInfo": CELLS, "caps": caps}
    program = start(
        node, *(Node() for _ in range(7)), overrides=overrides, cells=range(8), limits=FEW
    )
    held = program.client(large_request("held", *range(0, 72, 8)))
    wait_until(lambda: node.has_unsent_bytes, "a full socket")
    client = program.client(post(id="gone", deadline=8000))
    program.wait_for_event_loop()
    if end == "drain":
        program.discovery.send_update(6, program.entry(1, "terminating"))
        program.wait_for_log("frame_send_stalled")
        client.close()
    else:
        close_connection(client, end)
    program.wait_for_event_loop()
    node.read_enabled.set()
    if end != "drain":
        assert read_answer(held)[0] == 200
        check_served(program)
    ids = program.kill()[0]
    assert "gone.0" not in ids and (end == "drain" or ids[-1] == "marker.0")


def test_a_keyed_retry_whose_connection_is_established_after_its_window_is_never_sent(start):
    """Guards against a retry chosen within the deduplication window but written after it.

    Its node no longer knows the key then.
    """
    first, second = Node(serves=False), Node(accepts_connections=False)
    overrides = {"services": KEYED | {"window": 600.0}, "caps": {"connectTimeout": 20_000.0}}
    program = start(first, second, overrides=overrides, listed=(1,))
    client = program.client(post(id="cab", path="/book", deadline=8000, more=KEY))
    connection = first.wait_for_shard_request("cab.0")
    program.discovery.send_update(6, program.entry(2))
    program.wait_for_event_loop()
    close_connection(connection, "RST")
    wait_until(lambda: second.connecting, "a connection that is being established")
    second.accept_enabled.set()  # the kernel retries after a second: the window is over
    status, _ = read_answer(client)
    wait_until(lambda: not second.connecting, "the connection of the retry")
    assert status == 504  # the first attempt may have run
    assert program.kill() == [["cab.0"], []]


def test_an_endpoint_list_cut_by_a_reset_is_applied_only_once_complete(start):
    old, new = Node(), Node()
    program = start(old, new, listed=(1,))
    complete = json.dumps({"version": 6, "full": True, "servers": [program.entry(2)]}).encode()
    # All but the end of its line.
    program.discovery.connection.sendall(b"%x\r\n%b" % (len(complete) + 1, complete))
    program.wait_for_event_loop()
    close_connection(program.discovery.connection, "RST")
    program.discovery.accept_watch()
    assert b"after=5 " in program.discovery.watch_request
    check_served(program, "before")
    program.discovery.send_update(6, program.entry(2), full=True)
    program.wait_for_event_loop()
    check_served(program, "after")
    assert program.kill() == [["before.0"], ["after.0"]]


def test_a_watch_that_hangs_before_its_first_byte_is_reopened(start):
    node = Node()
    program = start(node)
    close_connection(program.discovery.connection, "RST")
    silent, _ = program.discovery.listening.accept()
    program.discovery.accept_watch()
    program.discovery.send_update(6, program.entry(1, "terminating"))
    program.wait_for_event_loop()
    status, _ = read_answer(program.client(post(id="late")))
    assert status == 503 and program.kill() == [[]]
    silent.close()


def test_repeated_signals_during_shutdown_do_not_affect_open_requests(start):
    node = Node(serves=False)
    program = start(node, overrides={"services": LONG})
    client = program.client(post(id="open", path="/book", deadline=8000))
    connection = node.wait_for_shard_request("open.0")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP):
        program.signal(number)
        program.wait_for_event_loop()
    program.wait_for_log("shutdown_started")
    connection.sendall(answer("open.0"))
    assert read_answer(client)[0] == 200
    assert program.process.wait(30) == 0
    assert program.count_logged("shutdown_started") == 1


@pytest.mark.parametrize("pushed", [True, False], ids=["pushed", "asked"])
def test_sigterm_before_the_first_endpoint_list_ends_the_process(start, pushed):
    program = start(Node(), overrides={"discovery": "push" if pushed else "ask"}, ready=False)
    program.wait_for_log("process_started")
    program.signal(signal.SIGTERM)
    assert program.process.wait(30) == 0


def test_a_request_after_the_last_answer_during_shutdown_is_answered_or_never_sent(start):
    node = Node(serves=False)
    # Accepts requests for 0.6 s after SIGTERM.
    program = start(node, overrides={"services": {"aim": 2000.0}})
    client = program.client(post(id="open", deadline=1900))
    connection = node.wait_for_shard_request("open.0")
    program.signal(signal.SIGTERM)
    program.wait_for_log("shutdown_started")
    time.sleep(0.8)  # from here on each connection is closed after its answer
    program.suspend()
    connection.sendall(answer("open.0"))
    client.sendall(post(id="behind", deadline=1900))
    program.resume()
    stream = client.makefile("rb")
    assert b"200" in stream.readline()
    with contextlib.suppress(OSError):
        rest = stream.read()
    assert program.process.wait(30) == 0
    [ids] = program.kill()
    assert ("behind.0" in ids) <= (rest.count(b"HTTP/1.1 ") == 1)


def test_no_answer_is_dropped_to_make_room_for_new_connections(start):
    """Answers of nodes and new connections are pending in the kernel at the same time.

    The router reaches its limit of connections before it has sent the answers.
    """
    nodes = [Node(serves=False) for _ in range(4)]
    program = start(
        *nodes, cells=[0] * 4, limits=FEW, overrides={"services": LONG, "caps": {"openCap": 500}}
    )
    asking = [program.client(post(id=f"q{number}", deadline=8000)) for number in range(FULL // 2)]
    wait_until(
        lambda: len({id for node in nodes for id in node.ids}) == FULL // 2, "all requests at nodes"
    )
    program.suspend()
    for node in nodes:
        for connection, id in node.shard_requests:
            connection.sendall(answer(id))
    new = [program.client() for _ in range(2 * FULL)]
    program.resume()
    assert [read_answer(client)[0] for client in asking] == [200] * (FULL // 2)
    for client in new:
        client.close()
