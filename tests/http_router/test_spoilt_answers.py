"""Answers of data nodes whose stated length is too small, with other calls on the connection.

Guards against a value that is taken before the bytes behind it are judged: clients were served
values cut by up to four bytes, with status 200.
"""

import json

import pytest
from live import answer, parse_shard_requests, post
from real import Node, Program, read_answer
from test_node_connections import VALUE, PoolHarness, outcomes

from tansycrank.routing import Outcome


class ShortLengthNode(Node):
    """A node whose first answer states `missing` bytes too few; that connection ends with it."""

    def __init__(self, missing):
        super().__init__()
        self.missing, self.spoilt_connection = missing, None

    def _record_frame(self, connection, kind, payload):
        if kind == b"X" or connection is self.spoilt_connection:
            return
        if self.spoilt_connection is not None:
            super()._record_frame(connection, kind, payload)
            return
        self.spoilt_connection = connection
        ids = [id for id, *_ in parse_shard_requests(payload)]
        assert len(ids) == 2  # the other one still waits
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
