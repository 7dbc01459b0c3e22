"""Discovery and configuration that send what cannot be read, or what does not end."""

import contextlib
import json
import signal
import time
import tracemalloc

import pytest
from live import RouterHarness, config, entry, post
from real import Node, read_answer
from test_discovery import CHUNKED_RESPONSE_HEAD, chunk, endpoint_list_chunk, states
from test_hostile_clients import LARGE_PIECE, LIMITS, MEMORY_LIMIT_MB, memory_mb
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from tansycrank.http_router import endpoint_directory
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.document_reader import (
    MAX_DOCUMENT_BYTES,
    DocumentError,
    DocumentReader,
    bracket_depth,
)

FLOOD_SECONDS = 3.0  # longer than an exchange without an answer may last
FLOOD_BYTES = 400_000_000
NESTED = b"[" * 5000 + b"]" * 5000
ODD_ADDRESSES = ["127.0.0.1:\u00b2", "127.0.0.1:" + "1" * 5000, "h" * 70_000 + ":80"]


@pytest.fixture
def live():
    live = RouterHarness()
    live.watch = live.discovery[0].accept()
    return live


ENDLESS_RESPONSES = {
    "a header": b"HTTP/1.1 200 OK\r\nx: ",
    "a trailer field": CHUNKED_RESPONSE_HEAD + b"1\r\n\n\r\n0\r\nx: ",
}


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_an_endless_response_of_discovery_leaves_the_router_under_its_memory_limit(start, name):
    """Guards against heads and trailer fields of responses that nothing bounds."""
    program = start(Node(), limits=LIMITS)
    discovery = program.discovery
    discovery.connection.close()
    connection, _ = discovery.listening.accept()
    sent, peak_mb, until = 0, 0.0, time.monotonic() + FLOOD_SECONDS
    with contextlib.suppress(OSError):
        connection.sendall(ENDLESS_RESPONSES[name])
        while time.monotonic() < until and sent < FLOOD_BYTES:
            connection.sendall(b"v" * LARGE_PIECE)
            sent += LARGE_PIECE
            peak_mb = max(peak_mb, memory_mb(program))
    assert peak_mb < MEMORY_LIMIT_MB and program.process.poll() is None
    assert sent < FLOOD_BYTES  # the router has ended the exchange
    assert read_answer(program.client(post(id="usual")))[0] == 200


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
def test_a_response_with_an_endless_head_ends_its_exchange_at_once(live, name):
    live.watch.send(ENDLESS_RESPONSES[name])
    live.watch.send(b"v" * 10_000)
    assert not live.watch.protocol.ended
    live.watch.send(b"v" * 10_000)
    assert live.watch.protocol.ended


def test_heartbeats_in_small_chunks_are_no_endless_head(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD)
    for _ in range(3000):
        live.watch.send(b"1;e=1\r\n\n\r\n" * 10)
    assert not live.watch.protocol.ended


LONG_LINES = {
    "strings": b'{"x": [' + b'"a",' * 500_000,
    "brackets in strings": b'{"x": [' + b'"[[",[],' * 250_000,
    "escaped quotes": b'{"x": "' + b'\\"' * 1_000_000,
}


@pytest.mark.parametrize("name", LONG_LINES)
def test_a_long_line_of_an_unfinished_document_takes_little_memory_beside_its_bytes(name):
    """Guards against an object for each string and bracket, in many times the bytes of a line."""
    line = LONG_LINES[name]
    reader = DocumentReader()
    tracemalloc.start()
    assert reader.feed(line) is None
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < 5 * len(line)


@pytest.mark.parametrize(
    ("line", "depth"),
    [
        (b'{"a": [1, {"b": 2}', 2),
        (b'"]]", {"[[": "\\\\"}', 0),
        (b'["\\\\\\"]", "\\\\", {', 2),
        (b'{"a": "[', 1),
        (b'[""]["[""]"', 1),
        (b"]}", -2),
        (b'"' + b'[""]' * 40_000 + b'", [', 1),
    ],
)
def test_brackets_count_outside_of_strings_alone(line, depth):
    assert bracket_depth(line) == depth


def test_a_list_of_several_lines_is_read_whatever_its_strings_hold():
    """Guards against brackets in strings, which would end or continue a document."""
    reader = DocumentReader()
    lines = [b"{", b'"version": 5, "x": "}}",', b'"servers": [', b'], "y": "[\\\\\\""', b"}"]
    assert [reader.feed(line) for line in lines[:-1]] == [None] * 4
    assert reader.feed(lines[-1]).version == 5


def test_an_unfinished_document_takes_no_more_memory_than_its_bytes():
    """Guards against lines of a byte each, kept one by one in many times their size."""
    reader = DocumentReader()
    reader.feed(b'{"version": 5, "servers": [')
    with pytest.raises(DocumentError):
        for _ in range(MAX_DOCUMENT_BYTES):
            reader.feed(b"1")
    assert len(reader._document) <= MAX_DOCUMENT_BYTES + 2


def test_the_nodes_of_all_lists_together_are_bounded(live, monkeypatch):
    """Guards against changes that each add nodes, without end."""
    monkeypatch.setattr(endpoint_directory, "MAX_NODES", 50)
    live.watch.send(CHUNKED_RESPONSE_HEAD)
    for version in range(5, 15):
        more = [entry(n) for n in range(20 * version, 20 * version + 20)]
        live.watch.send(endpoint_list_chunk(version, *more))
    live.run(0)
    assert len(states(live)) == len(live.daemon.endpoint_directory) == 50
    live.watch.send(endpoint_list_chunk(15, entry(1, "terminating"), entry(9, id="i" * 5000)))
    live.run(0)
    assert states(live)[1].name == "DRAINING" and len(live.daemon.endpoint_directory) == 50


def test_a_document_nested_too_deep_ends_the_watch_and_the_list_stays(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD + chunk(b'{"version":5,"x":' + NESTED + b"}\n"))
    live.run(0.5)
    assert len(live.discovery) == 2 and len(states(live)) == 3


def test_a_polled_document_nested_too_deep_ends_the_poll_at_once(live):
    """Guards against an exchange that ends by its time-out alone, after an error not caught."""
    live.daemon.discovery.poll_once()
    live.run(0)
    poll = live.discovery[1].accept()
    poll.send(b"HTTP/1.1 200 OK\r\n\r\n" + b'{"version":5,"x":' + NESTED + b"}")
    poll.protocol.connectionLost(Failure(ConnectionDone()))
    assert poll.protocol.ended and live.daemon.discovery_failures == 1


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=["digit", "long port", "long host"])
def test_a_node_with_an_address_that_is_no_number_keeps_no_change_from_the_others(live, address):
    """Guards against one odd address that held up every change of the endpoint list."""
    live.watch.send(
        CHUNKED_RESPONSE_HEAD
        + endpoint_list_chunk(5, entry(1, "terminating"), entry(4, addr=address))
    )
    live.run(0)
    assert states(live)[1].name == "DRAINING"
    assert live.daemon.endpoint_directory.version == 5


HUGE_NUMBER = b"1" + b"0" * 400
CONFIGURATIONS = {
    "nested": config().replace(b'"name":', b'"x": ' + NESTED + b', "name":', 1),
    "nested settings": config().replace(b'"caps":', b'"x": ' + NESTED + b', "caps":', 1),
    "a huge number": config().replace(b'"step": 5.0', b'"step": ' + HUGE_NUMBER),
    "an address": config(listen="127.0.0.1:\u00b2"),
    "a list": b"[]",
}


@pytest.mark.parametrize("name", CONFIGURATIONS)
def test_a_configuration_that_cannot_be_read_is_reported_as_such(name):
    with pytest.raises(configuration.ConfigError):
        configuration.parse(CONFIGURATIONS[name], {})


@pytest.mark.parametrize("name", ["nested", "a huge number"])
def test_a_reloaded_configuration_that_cannot_be_read_is_rejected_and_the_old_one_stays(
    start, tmp_path, name
):
    program = start(Node())
    (tmp_path / "config.json").write_bytes(CONFIGURATIONS[name])
    program.signal(signal.SIGHUP)
    program.wait_for_log("configuration_rejected")
    assert read_answer(program.client(post(id="usual")))[0] == 200


def test_a_list_of_nodes_with_odd_fields_harms_no_usual_query(live):
    odd = [
        entry(4, cell=10**6),
        entry(5, cell=-3),
        entry(6, weight=-1.0),
        entry(7, weight=1e300),
        entry(8, started_ms=1e300),
        entry(9, zone=""),
        entry(10, id=""),
    ]
    text = json.dumps({"version": 6, "full": False, "servers": odd}).encode()
    live.watch.send(CHUNKED_RESPONSE_HEAD + chunk(text + b"\n"))
    live.run(0)
    live.send_request(post(id="usual"))
    assert [id for _, id, _ in live.take_shard_requests()] == ["usual.0"]
