"""Answers of data nodes whose stated length is wrong, with and without other calls beside them.

Guards against a value that is taken before the bytes behind it are judged: clients were served
values that were cut, or had a byte too many, with status 200.
"""

import json

import pytest
from live import answer, frame, parse_shard_requests, post
from real import Node, Program, read_answer
from test_node_connections import VALUE, PoolHarness, outcomes

from tansycrank.routing import Outcome


class ShortLengthNode(Node):
    """A node whose first answer states `missing` bytes too few; that connection ends with it."""

    def __init__(self, missing, parts=2):
        super().__init__()
        self.missing, self.parts, self.spoilt_connection = missing, parts, None

    def _record_frame(self, connection, kind, payload):
        if kind == b"X" or connection is self.spoilt_connection:
            return
        if self.spoilt_connection is not None:
            super()._record_frame(connection, kind, payload)
            return
        self.spoilt_connection = connection
        ids = [id for id, *_ in parse_shard_requests(payload)]
        assert len(ids) == self.parts  # the other ones still wait
        connection.sendall(short(answer(ids[0], value=VALUE), self.missing))


def short(frame, missing):
    """The frame with a length that is too small."""
    size = int.from_bytes(frame[:4], "little") - missing
    return size.to_bytes(4, "little") + frame[4:]


@pytest.mark.parametrize("missing", [1, 2, 3, 4, 5, 9, 15])
def test_no_client_is_served_a_value_cut_by_a_length_that_is_too_small(tmp_path, missing):
    program = Program(tmp_path, [ShortLengthNode(missing)])
    try:
        body = {"shards": [{"shard": s, "weight": 0.5} for s in (0, 3)], "q": VALUE}
        client = program.client(post(body=json.dumps(body), deadline=1900))
        status, written = read_answer(client)
    finally:
        program.kill()
    assert status is not None
    if status == 200:
        assert [hit["doc"] for hit in json.loads(written)["hits"]] == [VALUE, VALUE]


@pytest.mark.parametrize("missing", [1, 2, 3, 4])
@pytest.mark.parametrize("ending", ["silence", "noise", "close", "the other call cancelled"])
def test_a_cut_value_is_never_taken_however_its_connection_goes_on(missing, ending):
    harness = PoolHarness()
    _first, other = harness.send("a.1", "a.2")
    peer = harness.peers[0].accept()
    peer.send(short(answer("a.1"), missing))
    assert outcomes(harness) == {}
    if ending == "noise":
        peer.send(b"\x91\x07\xfe\x44\x10\x22\x90")
    elif ending == "close":
        peer.transport.end()
    elif ending == "the other call cancelled":
        harness.pool.cancel(other)
        peer.send(b"\x91\x07\xfe\x44\x10\x22\x90")
    harness.reactor.advance(0.6)
    harness.pool.run_maintenance()
    assert outcomes(harness)["a.1"] == [Outcome.CONNECTION_LOST] and peer.transport.over


@pytest.mark.parametrize("cut", range(1, 21))
def test_an_answer_before_another_that_arrives_in_pieces_is_taken(cut):
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", "a.2")
    first, second = answer("a.1"), answer("a.2")
    peer.send(first + second[:cut])
    # the id of the second answer, complete from its 9th byte on, shows that the first one is whole
    assert outcomes(harness) == ({"a.1": [Outcome.SUCCEEDED]} if cut >= 9 else {})
    peer.send(second[cut:])
    assert outcomes(harness) == {"a.1": [Outcome.SUCCEEDED], "a.2": [Outcome.SUCCEEDED]}
    assert not peer.transport.over


@pytest.mark.parametrize("path", ["/look?obj=1", "/book?obj=1"])
@pytest.mark.parametrize("missing", [1, 3, 9])
def test_no_client_is_served_a_value_cut_while_nothing_else_waits(tmp_path, missing, path):
    """Guards against a cut value that was served since the bytes behind it were taken as noise."""
    program = Program(tmp_path, [ShortLengthNode(missing, parts=1)])
    try:
        body = {"shards": [{"shard": 0, "weight": 1.0}], "q": VALUE}
        client = program.client(post(path=path, body=json.dumps(body), deadline=1900))
        status, written = read_answer(client)
    finally:
        program.kill()
    # a repeat of the idempotent class gets the whole value; the other one may not be repeated
    assert status == (200 if path.startswith("/look") else 504)
    if status == 200:
        assert [hit["doc"] for hit in json.loads(written)["hits"]] == [VALUE]


WHOLE = answer("a.1")
NOISE = b"\x91\x07\xfe\x44\x10\x22\x90"  # bytes with which no text goes on
LONG_VALUE = "v" * 0x9100  # the second byte of its frame's length is no text either
DOUBTFUL_ANSWERS = {
    **{f"{missing} bytes too few": short(WHOLE, missing) for missing in (1, 2, 3, 4, 5, 9, 15)},
    "too few, a copy behind": short(WHOLE, 3) + WHOLE,
    "too few, an empty frame behind": short(WHOLE, 3) + bytes(4),
    "too few, noise behind": short(WHOLE, 3) + NOISE,
    "too few, many bytes cut": short(answer("a.1", value="v" * 4000), 2000),
    "a byte too many, a copy behind": short(WHOLE, -1) + WHOLE,
    "a byte too many, a long copy behind": short(answer("a.1", value=LONG_VALUE), -1)
    + answer("a.1", value=LONG_VALUE),
    "the copy included": short(WHOLE, -len(WHOLE)) + WHOLE,
    "half of the copy included": short(WHOLE, -12) + WHOLE,
    "noise that may be text": WHOLE + b"zzzzzzzzz",
    "one byte that may be text": WHOLE + b"\x09",
    "an undecodable answer behind": WHOLE + frame(b"A", b"?"),
}


@pytest.mark.parametrize("name", DOUBTFUL_ANSWERS)
def test_a_value_that_may_be_cut_or_too_long_is_never_taken_while_nothing_else_waits(name):
    """Guards against a value with too few or too many bytes; the call may have run."""
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(DOUBTFUL_ANSWERS[name])
    harness.reactor.advance(0.6)
    harness.pool.run_maintenance()
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST]} and peer.transport.over


OTHER = answer("a.2")


@pytest.mark.parametrize("included", [*range(1, len(OTHER) + 1), len(OTHER) + 5])
def test_a_value_that_holds_the_answer_to_another_call_is_never_taken(included):
    """Guards against a length too large by the next answer, of which the value was served."""
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", "a.2")
    peer.send(short(WHOLE, -included) + OTHER)
    assert Outcome.SUCCEEDED not in outcomes(harness).get("a.1", [])
    harness.reactor.advance(0.6)
    harness.pool.run_maintenance()
    assert outcomes(harness)["a.1"] == [Outcome.CONNECTION_LOST] and peer.transport.over


@pytest.mark.parametrize("included", [1, 4, 12, len(OTHER)])
def test_a_value_that_holds_an_answer_that_arrives_later_is_never_taken(included):
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(short(WHOLE, -included))
    harness.send("a.2")
    peer.send(OTHER)
    harness.reactor.advance(0.6)
    harness.pool.run_maintenance()
    assert Outcome.SUCCEEDED not in outcomes(harness)["a.1"]


@pytest.mark.parametrize("behind", [WHOLE, NOISE, WHOLE + NOISE, WHOLE[:12], WHOLE[:12] + NOISE])
def test_a_whole_value_before_a_copy_or_noise_that_is_no_text_is_taken(behind):
    harness = PoolHarness()
    harness.send_and_accept("a.1").send(WHOLE + behind)
    assert harness.results["a.1"] == [(Outcome.SUCCEEDED, VALUE, ())]


def test_no_call_begins_behind_an_answer_that_is_undecided():
    """Guards against a call that is lost with the connection of an answer before it."""
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(WHOLE + WHOLE[:2])
    harness.send("b.1")
    assert len(harness.peers) == 2
    peer.send(WHOLE[2:])
    assert outcomes(harness) == {"a.1": [Outcome.SUCCEEDED]}


def test_a_call_queued_behind_an_answer_that_is_undecided_goes_elsewhere():
    """Guards against a call that begins on a connection whose last answer may be cut."""
    harness = PoolHarness(max_connections=1)
    peer = harness.send_and_accept("early.1")
    peer.send(answer("early.1"))
    peer.transport.stuck = True
    harness.send("a.1")
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.1"]
    harness.send("b.1")
    peer.send(WHOLE + WHOLE[:2])
    assert outcomes(harness)["b.1"] == [Outcome.NOT_SENT]
    peer.transport.stuck = False
    peer.protocol.resumeProducing()
    assert not peer.take_shard_requests()
