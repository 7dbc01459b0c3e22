"""Input that costs much processor time is parsed in slices, in turn with other connections."""

import contextlib
import json
import socket
import time
from collections import Counter

import pytest
from live import RouterHarness, post, status
from real import Node, read_answer
from test_hostile_clients import CHUNKED_HEAD, Flood, client_in_a_hurry

from tansycrank.http_router.client_connection import MAX_ADMISSION_DELAY, MAX_UNREAD_TIME
from tansycrank.http_router.client_input import MAX_IMMEDIATE_BYTES
from tansycrank.http_router.input_scheduler import (
    LONG_INPUT_SECONDS,
    MAX_TURN_SECONDS,
    QUANTUM_SECONDS,
    TURN_SECONDS,
    InputClass,
    InputScheduler,
)

CHUNKS = b"1\r\nx\r\n" * 10_000  # 60 KB, of which each byte costs time
DEADLINE_SECONDS = 0.9
TEXT = b'{"shards":[{"shard":1,"weight":1}],"q":"x"}'


class TurnReactor:
    """A reactor that runs the calls of one turn at a time; inputs move its clock."""

    def __init__(self):
        self.rightNow, self.calls = 0.0, []

    def seconds(self):
        return self.rightNow

    def callLater(self, delay, function):
        self.calls.append(function)
        return function

    def run_turn(self):
        """Run the calls that wait; returns the time that they took."""
        started, calls, self.calls = self.rightNow, self.calls, []
        for call in calls:
            call()
        return self.rightNow - started


class Input:
    """An input that takes this much time, of which a quantum is taken at a time."""

    def __init__(self, clock, seconds, taken):
        self.clock, self.left, self.taken = clock, seconds, taken

    def parse(self, until):
        spent = min(until - self.clock.rightNow, self.left)
        self.clock.rightNow += spent
        self.left -= spent
        self.taken[self] += spent
        return self.left > 1e-9


@pytest.fixture
def clock():
    return TurnReactor()


def test_a_turn_is_bounded_however_much_input_waits(clock):
    scheduler, taken = InputScheduler(clock), Counter()
    for _ in range(100):
        scheduler.submit(Input(clock, 1.0, taken), InputClass.LARGE)
    for _ in range(20):
        assert clock.run_turn() <= TURN_SECONDS + QUANTUM_SECONDS


def test_inputs_take_turns(clock):
    scheduler, taken = InputScheduler(clock), Counter()
    inputs = [Input(clock, 1.0, taken) for _ in range(4)]
    for one in inputs:
        scheduler.submit(one, InputClass.LARGE)
    for _ in range(50):
        clock.run_turn()
    times = [taken[one] for one in inputs]
    assert max(times) - min(times) <= 2 * QUANTUM_SECONDS


def test_a_short_input_goes_before_long_ones_and_long_ones_go_on(clock):
    """Guards against usual requests that wait behind a crowd whose input costs much time."""
    scheduler, taken = InputScheduler(clock), Counter()
    crowd = [Input(clock, 10.0, taken) for _ in range(50)]
    for one in crowd:
        scheduler.submit(one, InputClass.LARGE)
    while min(taken[one] for one in crowd) < LONG_INPUT_SECONDS:
        clock.run_turn()
    before = sum(taken.values())
    usual = Input(clock, 2 * QUANTUM_SECONDS, taken)
    scheduler.submit(usual, InputClass.KEPT)
    clock.run_turn()
    assert usual.left == pytest.approx(0.0)
    for _ in range(10):
        scheduler.submit(Input(clock, LONG_INPUT_SECONDS / 2, taken), InputClass.KEPT)
        clock.run_turn()
    assert sum(taken[one] for one in crowd) > before


def test_a_kept_connection_goes_before_a_crowd_of_new_ones(clock):
    """Guards against kept connections that wait behind connections opened at full speed."""
    scheduler, taken = InputScheduler(clock), Counter()
    for _ in range(500):
        scheduler.submit(Input(clock, QUANTUM_SECONDS, taken), InputClass.LARGE)
    kept = Input(clock, QUANTUM_SECONDS, taken)
    scheduler.submit(kept, InputClass.KEPT)
    clock.run_turn()
    assert taken[kept]


def test_a_small_request_on_a_new_connection_goes_before_a_crowd_of_large_inputs(clock):
    """Guards against usual requests that wait behind a crowd of heads of short fields."""
    scheduler, taken = InputScheduler(clock), Counter()
    for _ in range(500):
        scheduler.submit(Input(clock, QUANTUM_SECONDS, taken), InputClass.LARGE)
    small = Input(clock, QUANTUM_SECONDS, taken)
    scheduler.submit(small, InputClass.SMALL)
    clock.run_turn()
    assert taken[small]


def test_every_class_of_input_has_its_share_of_the_time(clock):
    scheduler, taken = InputScheduler(clock), Counter()
    inputs = {one: Input(clock, 100.0, taken) for one in InputClass}
    for input_class in InputClass:
        for _ in range(10):
            scheduler.submit(Input(clock, QUANTUM_SECONDS, taken), input_class)
        scheduler.submit(inputs[input_class], input_class)
    for _ in range(20):
        clock.run_turn()
    assert all(taken[one] for one in inputs.values())


def test_inputs_get_as_much_time_as_the_rest_of_a_turn_takes(clock):
    """Guards against a crowd that is worked off for a second since each turn is long."""
    scheduler, taken = InputScheduler(clock), Counter()
    scheduler.submit(Input(clock, 10.0, taken), InputClass.LARGE)
    for rest in (0.0, 0.01, 1.0):
        clock.rightNow += rest
        spent = clock.run_turn()
        expected = min(max(rest, TURN_SECONDS), MAX_TURN_SECONDS)
        assert expected <= spent + 1e-9 <= expected + QUANTUM_SECONDS


def test_small_reads_are_parsed_at_once_as_long_as_the_turn_has_time(clock):
    scheduler = InputScheduler(clock)
    scheduler.record_immediate(TURN_SECONDS / 2)
    assert scheduler.has_time
    scheduler.record_immediate(TURN_SECONDS / 2)
    assert not scheduler.has_time
    clock.run_turn()
    assert scheduler.has_time


def test_a_cancelled_input_is_not_parsed(clock):
    scheduler, taken = InputScheduler(clock), Counter()
    gone, other = Input(clock, 1.0, taken), Input(clock, QUANTUM_SECONDS, taken)
    scheduler.submit(gone, InputClass.LARGE)
    scheduler.submit(other, InputClass.LARGE)
    scheduler.cancel(gone)
    clock.run_turn()
    assert not taken[gone] and taken[other] and not len(scheduler)


def test_usual_requests_are_served_in_time_beside_bodies_in_chunks_of_a_byte(start):
    """Guards against a crowd whose bodies, in very many chunks, hold the event loop for seconds."""
    program = start(Node(), limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024})
    crowd = [program.client() for _ in range(300)]
    for number, connection in enumerate(crowd):
        connection.setblocking(False)
        connection.send(CHUNKED_HEAD % number + CHUNKS)
    for number in range(20):
        started = time.monotonic()
        usual = client_in_a_hurry(program, post(id=f"usual{number}"))
        assert read_answer(usual)[0] == 200
        assert time.monotonic() - started < DEADLINE_SECONDS


def test_a_long_request_is_read_whole_though_it_is_parsed_in_slices():
    harness = RouterHarness()
    padding = b"".join(b"1\r\n%c\r\n" % byte for byte in TEXT + b" " * 2000)
    harness.send_request(
        CHUNKED_HEAD % 1 + padding + b"0\r\n\r\n" + post(id="next", shards=[[2, 1]])
    )
    harness.run(0.05)
    assert {id for _, id, _ in harness.take_shard_requests()} == {"bad1.1", "next.2"}


def test_requests_behind_more_input_than_is_read_are_not_forwarded_after_their_client_left(start):
    """Guards against the end of a connection that lies behind bytes which are not read."""
    node = Node(serves=False)
    program = start(node, limits={"cores": 1.0, "memory_mb": 64, "sockets": 1024})
    text = "x" * 60_000
    body = json.dumps({"shards": [{"shard": 0, "weight": 1}], "q": text})
    floods = [
        Flood(program, [post(id=f"f{number}-{n}", body=body, deadline=1900) for n in range(20)])
        for number in range(40)
    ]
    time.sleep(0.1)
    for flood in floods:
        # A close alone would wait for the thread that is sending.
        with contextlib.suppress(OSError):
            flood.connection.shutdown(socket.SHUT_RDWR)
        flood.connection.close()
    time.sleep(0.3)  # attempts that begin within 0.1 s of the close are allowed
    forwarded = len(node.ids)
    time.sleep(1.0)
    assert len(node.ids) == forwarded


def test_a_flood_of_requests_that_cannot_be_decoded_gets_its_errors_in_slices():
    harness = RouterHarness()
    protocol, transport = harness.client()
    requests = b"".join(post(id=f"bad{n}", path="/none") for n in range(200))
    assert len(requests) > MAX_IMMEDIATE_BYTES
    protocol.dataReceived(requests)
    assert not transport.value() and transport.producerState == "paused"
    harness.run(0.05)
    assert transport.take().count(b"HTTP/1.1 404") == 200
    assert transport.producerState == "producing"


def test_a_client_that_leaves_while_its_connection_is_not_read_is_noticed():
    """Guards against queries that are forwarded though their client has left unseen."""
    harness = RouterHarness()
    protocol, transport = harness.client()
    protocol.dataReceived(post(id="left"))
    transport.has_peer_closed = True
    harness.run(0)
    assert transport.over and not harness.take_shard_requests()


def test_queries_are_not_admitted_while_a_disconnect_may_lie_behind_unread_bytes():
    harness = RouterHarness()
    protocol, transport = harness.client()
    transport.unread_bytes, transport.may_hide_disconnect = 1_000_000, True
    protocol.dataReceived(post(id="q1"))
    harness.run(MAX_ADMISSION_DELAY - 0.05)
    assert not harness.take_shard_requests() and not transport.value()
    harness.run(0.1)
    assert status(transport.take()) == 503 and not harness.take_shard_requests()


def test_queries_are_admitted_before_what_lies_unread_behind_them_if_no_disconnect_is_hidden():
    """Guards against pipelined requests that are refused since the next ones lie unread."""
    harness = RouterHarness()
    protocol, transport = harness.client()
    transport.unread_bytes = 1000
    protocol.dataReceived(post(id="q1"))
    assert [id for _, id, _ in harness.take_shard_requests()] == ["q1.0"]


def test_open_queries_are_given_up_while_a_disconnect_of_their_client_may_be_hidden():
    harness = RouterHarness()
    protocol, transport = harness.client()
    harness.send_request(post(id="q1"), (protocol, transport))
    assert harness.take_shard_requests()
    monitor = harness.daemon.server.disconnect_monitor
    monitor.add(protocol)
    harness.run(2 * MAX_UNREAD_TIME)
    assert not transport.value()
    transport.may_hide_disconnect = True
    harness.run(0.05)
    assert status(transport.take()) == 503
