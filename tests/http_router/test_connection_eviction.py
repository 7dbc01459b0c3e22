"""Which connection makes room when the router is full, and how fast a crowd is worked off."""

import contextlib
import time

import pytest
from live import RouterHarness, answer, post, status
from real import Node, read_answer

from tansycrank.http_router import connection_eviction

FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 64, "sockets": 96}
PLACES = 48
DEADLINE_SECONDS = 0.9
CROWD = 400  # several times the places


@pytest.fixture
def harness():
    return RouterHarness()


def fill(harness):
    """Connect further clients until one connection has to make room."""
    bound = harness.daemon.settings.max_client_connections
    for _ in range(bound - len(harness.daemon.server.connections)):
        harness.client()


def used_client(harness, id):
    protocol, transport = harness.client()
    harness.send_request(post(id=id), (protocol, transport))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200
    return protocol, transport


def test_connections_that_only_discard_input_make_room_before_kept_ones(harness):
    """Guards against rejected clients that linger in the places of kept connections."""
    _, kept = used_client(harness, "kept")
    harness.run(2 * connection_eviction.MIN_IDLE_AFTER_ANSWER)
    protocol, malformed = harness.client()
    protocol.dataReceived(b"\x16\x03\x01\r\n\r\n")
    assert malformed.half_closed and not malformed.over
    fill(harness)
    assert malformed.over and not kept.over


def test_a_first_request_that_comes_slowly_makes_room_before_kept_connections(harness):
    _, kept = used_client(harness, "kept")
    protocol, slow = harness.client()
    protocol.dataReceived(post(id="slow")[:20])
    harness.run(connection_eviction.SLOW_REQUEST_TIME + 0.1)
    fill(harness)
    harness.run(0.05)
    assert status(slow.take()) == 503 and not kept.over


def test_a_request_that_has_just_begun_makes_no_room(harness):
    protocol, begun = harness.client()
    protocol.dataReceived(post(id="begun")[:20])
    harness.run(connection_eviction.FIRST_REQUEST_GRACE + 0.1)
    fill(harness)
    assert not begun.over and not begun.half_closed


def test_a_request_behind_a_crowd_of_idle_connections_is_answered_in_time(start):
    """Guards against a queue of idle connections that each hold a place for half a second."""
    program = start(Node(), limits=FEW_DESCRIPTORS)
    with contextlib.ExitStack() as crowd:
        for _ in range(CROWD):
            crowd.enter_context(program.client())
        for number in range(5):
            started = time.monotonic()
            usual = program.client(post(id=f"usual{number}"))
            assert read_answer(usual)[0] == 200
            assert time.monotonic() - started < DEADLINE_SECONDS
