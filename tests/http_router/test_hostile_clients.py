"""Requests that cannot be read, from many clients at once, beside usual clients."""

import contextlib
import json
import re
import threading
import time
import tracemalloc
from pathlib import Path

import pytest
from live import OPERATOR_SETTINGS, RouterHarness, body, config, post, status
from real import Node, read_answer

from tansycrank.http_router.request_parser import MAX_FIELDS

MEMORY_LIMIT_MB = 64
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 256}
BAD_CLIENTS = 150  # more than the router has places for
OWED_SECONDS = 3.0  # in which a client is owed an error or a close
CHUNKED_HEAD = (
    b"POST /look?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Request-Id: bad%d\r\n"
    b"X-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
)
FIRST_CHUNK = b"5\r\nhello\r\n"
LARGE_PIECE = 64 * 1024  # bytes sent at a time
TEXT = b'{"shards":[{"shard":1,"weight":1}],"q":"x"}'


def client_in_a_hurry(program, request):
    """A client that waits for its answer as long as it is owed to bad clients."""
    connection = program.client(request)
    connection.settimeout(OWED_SECONDS)
    return connection


def memory_mb(program):
    """Anonymous resident memory of the program, in MB."""
    found = re.search(r"RssAnon:\s+(\d+)", Path(f"/proc/{program.process.pid}/status").read_text())
    return int(found[1]) / 1024


class Flood(threading.Thread):
    """A client that sends pieces at full speed until an error, a close or the end; see `heard`."""

    def __init__(self, program, pieces, limit_bytes=60_000_000):
        super().__init__(daemon=True)
        self.connection = program.client()
        self.connection.settimeout(2 * OWED_SECONDS)
        self.pieces, self.limit_bytes = pieces, limit_bytes
        self.sent_bytes, self.heard = 0, None
        self.start()

    def run(self):
        with contextlib.suppress(OSError):
            for piece in self.pieces:
                self.connection.sendall(piece)
                self.sent_bytes += len(piece)
                if self.sent_bytes >= self.limit_bytes:
                    break
        with contextlib.suppress(OSError):
            self.heard = self.connection.recv(4096)
        self.connection.close()


def endless(first, piece):
    """Pieces without an end."""
    yield first
    while True:
        yield piece


def trailer_fields(number):
    """A request with trailer fields that have names of their own, without an end."""
    yield CHUNKED_HEAD % number + FIRST_CHUNK + b"0\r\n"
    name = 0
    while True:
        fields = b"".join(b"%x:%b\r\n" % (name + n, b"v" * 2000) for n in range(32))
        name += 32
        yield fields


ENDLESS = {
    "trailer fields": trailer_fields,
    "one trailer field": lambda number: endless(
        CHUNKED_HEAD % number + FIRST_CHUNK + b"0\r\nx: ", b"v" * LARGE_PIECE
    ),
    "a chunk extension": lambda number: endless(CHUNKED_HEAD % number + b"5;", b"v" * LARGE_PIECE),
    "a header": lambda number: endless((CHUNKED_HEAD % number)[:-2] + b"x: ", b"v" * LARGE_PIECE),
}


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_parts_of_requests_leave_the_router_under_its_memory_limit(start, name):
    """Guards against trailer fields without a bound, which took the router over its limit."""
    program = start(Node(), limits=LIMITS)
    floods = [Flood(program, ENDLESS[name](number)) for number in range(6)]
    peak_mb = 0.0
    while any(flood.is_alive() for flood in floods):
        peak_mb = max(peak_mb, memory_mb(program))
        time.sleep(0.01)
    assert peak_mb < MEMORY_LIMIT_MB and program.process.poll() is None
    assert read_answer(program.client(post(id="usual")))[0] == 200
    # an error or a close; the error may be lost in a reset by the bytes behind it
    assert all(flood.sent_bytes < flood.limit_bytes for flood in floods)


def test_a_body_in_chunks_of_a_byte_with_trailer_fields_is_still_read():
    harness = RouterHarness()
    padding = b" " * 20_000
    chunks = b"".join(b"1;e=1\r\n%c\r\n" % byte for byte in TEXT + padding)
    request = CHUNKED_HEAD % 1 + chunks + b"0\r\nx-checksum: 1\r\n\r\n"
    harness.send_request(request)
    assert [id for _, id, _ in harness.take_shard_requests()] == ["bad1.1"]


def test_trailer_fields_above_the_limit_of_a_head_are_rejected():
    harness = RouterHarness()
    protocol, transport = harness.client()
    protocol.dataReceived(CHUNKED_HEAD % 1 + FIRST_CHUNK + b"0\r\n")
    for number in range(10):
        protocol.dataReceived(b"x-%d: %b\r\n" % (number, b"v" * 2000))
    assert status(transport.take()) == 431


def short_fields(number):
    return b"".join(b"%x:1\r\n" % n for n in range(number))


@pytest.mark.parametrize(
    "head", [b"GET /-/ready HTTP/1.1\r\n", CHUNKED_HEAD % 1 + FIRST_CHUNK + b"0\r\n"]
)
def test_more_header_or_trailer_fields_than_the_limit_are_rejected(head):
    """Guards against heads of short fields, whose objects take many times their bytes."""
    harness = RouterHarness()
    transport = harness.send_request(head + short_fields(MAX_FIELDS + 2))
    assert status(transport.take()) == 431 and transport.half_closed


def test_the_objects_that_hold_header_fields_count_as_held_bytes():
    harness = RouterHarness()
    protocol, _ = harness.client()
    before = tracemalloc_bytes(lambda: None)
    data = b"GET /-/ready HTTP/1.1\r\n" + short_fields(MAX_FIELDS - 1)
    taken = tracemalloc_bytes(lambda: protocol.dataReceived(data)) - before
    assert harness.daemon.server.held_bytes.held_bytes >= 0.8 * taken


def tracemalloc_bytes(action):
    """Bytes of the objects that an action leaves."""
    tracemalloc.start()
    action()
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return taken


NESTED_BODY = '{"shards":[{"shard":0,"weight":1}],"x":%s,"q":"x"}' % ("[" * 2000 + "]" * 2000)


def test_bodies_nested_too_deep_get_an_error_and_hold_no_place_of_usual_clients(start):
    """Guards against requests without an answer, which held their connections for good."""
    program = start(Node(), limits=LIMITS)
    bad_clients = [
        client_in_a_hurry(program, post(id=f"bad{number}", body=NESTED_BODY))
        for number in range(BAD_CLIENTS)
    ]
    usual = [client_in_a_hurry(program, post(id=f"usual{number}")) for number in range(10)]
    assert all(read_answer(client)[0] == 200 for client in usual)
    assert all(read_answer(client)[0] == 400 for client in bad_clients)


def test_a_body_nested_too_deep_is_rejected_and_its_connection_stays_usable():
    harness = RouterHarness()
    client = harness.client()
    transport = harness.send_request(post(id="bad", body=NESTED_BODY), client)
    written = transport.take()
    assert status(written) == 400 and "nested" in body(written)["error"]
    harness.send_request(post(id="good"), client)
    assert [id for _, id, _ in harness.take_shard_requests()] == ["good.0"]


def test_a_fault_while_a_request_is_decoded_is_its_answer(monkeypatch):
    """Guards against an unanswered request in front of the error of its connection."""
    harness = RouterHarness()

    def fail(*_):
        raise RuntimeError("injected fault")

    monkeypatch.setattr("tansycrank.http_router.request_codec.decode_query", fail)
    protocol, transport = harness.client()
    harness.send_request(post(id="bad") + b"\x16\x03\x01\r\n\r\n", (protocol, transport))
    written = transport.take()
    assert status(written) == 503 and written.count(b"HTTP/1.1 ") == 2
    harness.run(0.5)
    assert transport.over and not protocol.pending


def test_a_malformed_stream_gets_its_error_in_time_behind_a_query_that_is_not_answered():
    """Guards against an error that waits as long as an earlier query of its connection."""
    settings = json.loads(json.dumps(OPERATOR_SETTINGS))
    for service in settings["services"]:
        service.update(aim=6000.0, giveUp=9000.0)
    harness = RouterHarness(config(settings=settings))
    transport = harness.send_request(post(id="slow", deadline=8000) + b"\x16\x03\r\n\r\n")
    assert harness.take_shard_requests()
    harness.run(0.1)
    assert not transport.take()
    harness.run(OWED_SECONDS - 0.1)
    written = transport.take()
    assert written.count(b"HTTP/1.1 ") == 2 and b"400" in written and transport.over
