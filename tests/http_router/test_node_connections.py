"""Connections to data nodes: calls, spoilt answers, exactly one outcome a send."""

import pytest
from helpers import LifecycleHarness
from hypothesis import given
from hypothesis import strategies as st
from live import Peer, RouterHarness, answer, frame, post
from twisted.internet.testing import MemoryReactorClock

from tansycrank.http_router import frames
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.routing import Outcome

VALUE = "0123456789abcdef"


class Node:
    """ConnectionPool with one node, whose end of the links is played."""

    def __init__(self, streams=8, call_batch_size=4, max_links=8):
        self.reactor = MemoryReactorClock()
        self.log = []
        self.pool = ConnectionPool(
            self.reactor,
            streams,
            call_batch_size,
            250.0,
            10_000.0,
            max_links,
            lambda *a, **k: self.log.append(a),
        )
        self.pool.set_address(1, "127.0.0.1", 7070)
        self.lives = LifecycleHarness()
        self.ends = {}

    def send(self, *ids, time_out=1000.0, endpoint=1, connect_within=0.0, leave_within=0.0):
        sendings = [
            self.pool.send(
                id.encode(),
                endpoint,
                0,
                b"text",
                time_out,
                self.handle(id),
                self.lives.attempt(self.reactor.seconds() * 1000, endpoint, time_out, leave_within),
                connect_within,
                b"",
                leave_within,
            )
            for id in ids
        ]
        self.pool.flush()
        return sendings

    def handle(self, id):
        return lambda outcome, value, load: self.ends.setdefault(id, []).append(
            (outcome, value, load)
        )

    @property
    def peers(self):
        return [Peer(host, port, factory) for host, port, factory, *_ in self.reactor.tcpClients]

    def up(self, *ids, **more):
        """These sends are out on one link; its far end."""
        at = len(self.reactor.tcpClients)
        self.send(*ids, **more)
        peer = self.peers[at].accept()
        assert [id for id, *_ in peer.take_shard_requests()] == list(ids)
        return peer


def outcomes(node):
    return {id: [outcome for outcome, *_ in ends] for id, ends in node.ends.items()}


def test_calls_of_a_step_share_frames_up_to_the_batch_size():
    node = Node()
    node.send(*(f"q.{n}" for n in range(6)))
    peers = [peer.accept() for peer in node.peers]
    assert [len(peer.take_shard_requests()) for peer in peers] == [4, 2]


def test_a_call_takes_an_idle_connection_before_a_new_one():
    node = Node()
    first = node.up("a.1")
    first.send(answer("a.1"))
    node.send("b.1")
    assert len(node.peers) == 1 and [id for id, *_ in first.take_shard_requests()] == ["b.1"]
    node.send("c.1")
    assert len(node.peers) == 2


def test_connections_and_calls_on_each_stay_within_their_limits():
    node = Node(streams=2, max_links=2)
    for n in range(6):
        node.send(f"q.{n}")
    for peer in node.peers:
        peer.accept()
    node.reactor.advance(0)
    assert len(node.peers) == 2
    assert sorted(outcomes(node)) == ["q.4", "q.5"] and node.ends["q.4"][0][0] is Outcome.NOT_SENT


def test_the_remaining_time_is_that_of_the_moment_of_writing():
    node = Node()
    node.send("a.1", time_out=500.0)
    node.reactor.advance(0.2)
    [(_, _, wait, text)] = node.peers[0].accept().take_shard_requests()
    assert wait == 300 and text == b"text"


@pytest.mark.parametrize(
    "end, outcome",
    [
        ("ok", Outcome.SUCCEEDED),
        ("err", Outcome.ERROR),
        ("busy", Outcome.REJECTED),
    ],
)
def test_each_end_has_its_outcome(end, outcome):
    node = Node()
    node.up("a.1").send(answer("a.1", end, report="x=7,y=0.61"))
    assert node.ends["a.1"] == [(outcome, VALUE if end == "ok" else "", (7.0, 0.61))]


def test_no_connection_proves_that_it_never_ran():
    node = Node()
    node.send("refused.1")
    node.peers[0].refuse()
    assert outcomes(node) == {"refused.1": [Outcome.CONNECT_FAILED]}


def test_a_connection_lost_may_have_run_what_was_out():
    node = Node()
    node.up("a.1", "a.2").transport.end()
    assert outcomes(node) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}
    assert node.pool.connection_count == 0


def test_a_call_times_out_and_its_late_answer_is_ignored():
    node = Node()
    peer = node.up("a.1")
    peer.send(answer("a.1", "busy")[:4])
    node.reactor.advance(1.0)
    assert outcomes(node) == {"a.1": [Outcome.TIMED_OUT]}
    node = Node()
    peer = node.up("a.1", "a.2")
    [_sending] = node.send("b.1")
    peer.send(answer("a.2"))
    node.reactor.advance(1.0)
    peer.take_shard_requests()
    assert peer.cancelled_ids == ["a.1"]
    assert outcomes(node)["a.1"] == [Outcome.TIMED_OUT]
    peer.send(answer("a.1"))
    assert outcomes(node)["a.1"] == [Outcome.TIMED_OUT] and not peer.transport.over


def test_a_silent_connection_accepts_no_more_calls():
    node = Node()
    peer = node.up("a.1")
    node.reactor.advance(1.0)
    assert peer.transport.over
    node.send("b.1")
    assert len(node.peers) == 2


@pytest.mark.parametrize("waited, over", [(0.3, True), (0.1, False)])
def test_a_connection_silent_for_a_connect_timeout_is_closed_when_its_call_is_cancelled(
    waited, over
):
    """Without this, a dead connection takes each readmission attempt of its node."""
    node = Node()
    [sending] = node.send("a.1")
    peer = node.peers[0].accept()
    node.reactor.advance(waited)
    node.pool.cancel(sending)
    assert peer.transport.over == over
    node.send("b.1")
    assert len(node.peers) == 1 + over


def test_a_connection_that_answered_meanwhile_is_kept():
    node = Node()
    first, _second = node.send("a.1", "a.2")
    peer = node.peers[0].accept()
    node.reactor.advance(0.2)
    peer.send(answer("a.2"))
    node.reactor.advance(0.2)
    node.pool.cancel(first)
    assert not peer.transport.over


def test_a_cancel_before_the_connection_is_up_sends_nothing():
    node = Node()
    first, _ = node.send("a.1", "a.2")
    node.pool.cancel(first)
    peer = node.peers[0].accept()
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.2"]
    assert outcomes(node) == {"a.1": [Outcome.NOT_SENT]}


def test_cancelling_a_sent_call_notifies_the_node():
    node = Node()
    at = len(node.peers)
    [sending] = node.send("a.1")
    peer = node.peers[at].accept()
    node.pool.cancel(sending)
    peer.take_shard_requests()
    assert peer.cancelled_ids == ["a.1"] and outcomes(node) == {"a.1": [Outcome.CANCELLED]}


SPOILT = {
    "noise": b"\x91\x07\xfe\x44\x10\x22\x90",
    "3 GB": (3_000_000_000).to_bytes(4, "little") + b"A" + b"x" * 200,
    "length 0": b"\0\0\0\0A",
    "letter": frame(b"\x01", b"a.1 ok 17 -\nvalue"),
    "no line": frame(b"A", b"7c"),
    "a line without an end": (60_000).to_bytes(4, "little") + b"A" + b"y" * 2000,
    "end": frame(b"A", b"a.1 ? 17 -\nvalue"),
    "no end": frame(b"A", b"a.1  17 -\nvalue"),
    "an id that is not out": answer("zz.9"),
    "a value that is no text": frame(b"A", b"a.1 ok 17 -\n\xff\xfe"),
}


@pytest.mark.parametrize("name", SPOILT)
def test_a_malformed_answer_closes_the_connection_and_its_calls_are_lost(name):
    node = Node()
    peer = node.up("a.1", "a.2")
    peer.send(SPOILT[name])
    assert outcomes(node) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}
    assert peer.transport.over


def test_a_stalled_frame_closes_the_connection():
    node = Node()
    peer = node.up("a.1")
    peer.send(answer("a.1")[:-3])
    node.reactor.advance(0.6)
    node.pool.run_maintenance()
    assert outcomes(node) == {"a.1": [Outcome.CONNECTION_LOST]} and peer.transport.over


@pytest.mark.parametrize("behind", [b"\x91\x07\xfe\x44\x10\x22", b"\x09", b"zzzzzzzzz"])
def test_noise_after_a_valid_answer_closes_the_connection_and_keeps_the_answer(behind):
    node = Node()
    peer = node.up("a.1")
    peer.send(answer("a.1") + behind)
    assert outcomes(node) == {"a.1": [Outcome.SUCCEEDED]} and peer.transport.over


def test_noise_behind_an_answer_while_others_wait_means_that_its_length_did_not_fit():
    node = Node()
    node.up("a.1", "a.2").send(answer("a.1", value="0123") + b"zzzzzzzzz")
    assert outcomes(node) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}


def test_a_second_copy_of_an_answer_does_no_harm():
    node = Node()
    peer = node.up("a.1")
    peer.send(answer("a.1") + answer("a.1"))
    assert outcomes(node) == {"a.1": [Outcome.SUCCEEDED]} and not peer.transport.over


def test_a_load_report_that_cannot_be_read_is_none():
    node = Node()
    node.up("a.1").send(answer("a.1", report="%%%"))
    assert node.ends["a.1"] == [(Outcome.SUCCEEDED, VALUE, ())]


def test_a_frame_the_node_could_not_use_may_have_run():
    node = Node()
    node.up("a.1").send(frame(b"E", b"bad"))
    assert outcomes(node) == {"a.1": [Outcome.CONNECTION_LOST]}


def test_idle_connections_close_before_the_node_closes_them():
    node = Node()
    peer = node.up("a.1")
    peer.send(answer("a.1"))
    node.reactor.advance(7.9)
    node.pool.run_maintenance()
    assert not peer.transport.over
    node.reactor.advance(0.2)
    node.pool.run_maintenance()
    assert peer.transport.over


def test_a_removed_endpoint_finishes_its_calls_and_gets_no_new_one():
    node = Node()
    peer = node.up("a.1")
    node.pool.remove_endpoint(1)
    node.send("b.1")
    node.reactor.advance(0)
    assert outcomes(node) == {"b.1": [Outcome.CONNECT_FAILED]}
    peer.send(answer("a.1"))
    assert outcomes(node)["a.1"] == [Outcome.SUCCEEDED] and peer.transport.over


def test_an_endpoint_with_a_new_address_is_called_there():
    node = Node()
    node.up("a.1")
    node.pool.set_address(1, "127.0.0.2", 7070)
    node.send("b.1")
    assert node.peers[-1].host == "127.0.0.2"


@given(st.binary(max_size=300), st.lists(st.integers(1, 60), max_size=8))
def test_no_bytes_break_the_reader_or_grow_it(noise, cuts):
    data = answer("a.1") + noise
    reader, found = frames.FrameReader(), []
    try:
        for cut in [*cuts, len(data)]:
            found += reader.feed(data[:cut])
            data = data[cut:]
    except frames.FrameError:
        pass
    assert found and found[0].value == VALUE


def test_every_send_ends_once_whatever_the_node_does():
    live = RouterHarness()
    live.discovery[0].refuse()
    for n in range(4):
        live.send_request(post(id=f"r{n}", shards=((n, 0.5), (n + 4, 0.5))))
    sent = live.take_shard_requests()
    for at, (peer, id, _) in enumerate(sent):
        if at % 3 == 0:
            peer.transport.end()
        elif at % 3 == 1 and not peer.transport.over:
            peer.send(answer(id))
    live.run(3)
    coordinator = live.daemon.coordinator
    assert sum(coordinator.outcomes.values()) == coordinator.counts["sends"]
    assert (
        not coordinator.queries and not coordinator._shard_requests and coordinator.in_flight == 0
    )
    assert not coordinator.loop.policy.queries.attempts_in_flight


def test_a_call_is_revoked_from_a_connection_that_is_not_established_in_time():
    """Calls to an unreachable machine do not wait for the connect timeout."""
    node = Node()
    node.send("a.1", "a.2", connect_within=60.0)
    node.reactor.advance(0.05)
    assert not node.ends
    node.reactor.advance(0.02)
    assert outcomes(node) == {"a.1": [Outcome.CONNECT_FAILED], "a.2": [Outcome.CONNECT_FAILED]}
    late = node.peers[0].accept()
    assert not late.take_shard_requests()  # it never leaves: another attempt may be out by now
    node.send("b.1", connect_within=60.0)
    assert [id for id, *_ in late.take_shard_requests()] == ["b.1"]
    node.reactor.advance(0.2)
    assert "b.1" not in node.ends  # what was written is waited for


def test_a_call_without_a_connect_limit_waits_for_the_connect_timeout():
    node = Node()
    node.send("a.1")
    node.reactor.advance(0.2)
    assert not node.ends


def test_a_call_prefers_an_established_connection_to_a_pending_one():
    """A silent node keeps a pending connection whose calls were revoked."""
    node = Node()
    first = node.up("a.1")
    node.send("b.1", connect_within=60.0)
    assert len(node.peers) == 2
    node.reactor.advance(0.07)
    first.send(answer("a.1"))
    node.send("c.1")
    assert [id for id, *_ in first.take_shard_requests()] == ["c.1"] and len(node.peers) == 2


def stuck(node, *ids):
    """These sends are given to a socket whose system takes nothing more; its far end."""
    peer = node.up("first.1")
    peer.send(answer("first.1"))
    peer.transport.stuck = True
    node.send(*ids)
    assert len(node.peers) == 1
    return peer


def test_a_draining_endpoint_gets_no_call_that_waits_for_its_connection():
    """A connection may come up long after its node began to drain."""
    node = Node()
    node.send("a.1")
    node.pool.revoke_unsent(1)
    assert outcomes(node) == {"a.1": [Outcome.NOT_SENT]}
    assert not node.peers[0].accept().take_shard_requests()


def test_a_removed_endpoint_gets_no_call_that_waits_for_its_connection():
    node = Node()
    node.send("a.1")
    node.pool.remove_endpoint(1)
    assert outcomes(node) == {"a.1": [Outcome.NOT_SENT]} and node.pool.connection_count == 0


def test_a_frame_waits_for_the_one_before_and_can_be_revoked():
    node = Node(max_links=1)
    peer = stuck(node, "a.1")
    b, c = node.send("b.1")[0], node.send("c.1")[0]
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.1"]
    node.pool.revoke(b)
    assert outcomes(node)["b.1"] == [Outcome.NOT_SENT] and not c.ended
    peer.transport.stuck = False
    peer.protocol.resumeProducing()
    assert [id for id, *_ in peer.take_shard_requests()] == ["c.1"]


@pytest.mark.parametrize("end", ["withdraw", "cancel", "drain", "time out"])
def test_a_revoked_frame_that_does_not_leave_closes_its_connection(end):
    """A hung node may read on later and start calls that were revoked."""
    node = Node()
    peer = stuck(node, "a.1", "a.2")
    sending = peer.protocol.sent_calls[b"a.1"]
    if end == "withdraw":
        node.pool.revoke(sending)
    elif end == "cancel":
        node.pool.cancel(sending)
    elif end == "drain":
        node.pool.revoke_unsent(1)
    else:
        node.reactor.advance(1.0)
    assert end == "time out" or not peer.transport.over
    node.reactor.advance(0.11)
    assert peer.transport.over
    if end != "time out":  # its last byte has not left: it never ran
        assert outcomes(node)["a.2"] == [Outcome.CONNECT_FAILED]
    assert not node.reactor.getDelayedCalls()


def test_a_revoked_frame_that_leaves_in_time_keeps_its_connection():
    node = Node()
    peer = stuck(node, "a.1", "a.2")
    node.pool.revoke(peer.protocol.sent_calls[b"a.1"])
    peer.transport.stuck = False
    peer.protocol.resumeProducing()
    node.reactor.advance(0.2)
    assert not peer.transport.over
    peer.transport.end()
    assert outcomes(node)["a.2"] == [Outcome.CONNECTION_LOST]  # all of it had left: it may have run


def test_a_connection_that_breaks_under_a_half_written_frame_proves_that_it_never_ran():
    node = Node(max_links=1)
    early = node.up("early.1")
    early.transport.stuck = True
    node.send("a.1")
    assert [id for id, *_ in early.take_shard_requests()] == ["a.1"]
    node.send("b.1")
    early.transport.end()
    assert outcomes(node) == {
        "early.1": [Outcome.CONNECTION_LOST],
        "a.1": [Outcome.CONNECT_FAILED],
        "b.1": [Outcome.CONNECT_FAILED],
    }


def test_a_reused_id_avoids_the_connection_that_may_still_answer_it():
    """A late answer must not be taken for that of another call of the same id."""
    node = Node()
    peer = node.up("a.1", "b.1")
    node.pool.cancel(peer.protocol.sent_calls[b"a.1"])
    peer.send(answer("b.1"))
    node.send("a.1")
    assert len(node.peers) == 2
    peer.send(answer("a.1", "busy"))
    assert outcomes(node)["a.1"] == [Outcome.CANCELLED]


@pytest.mark.parametrize("waits", ["for its connection", "behind another frame", "half written"])
def test_a_call_never_leaves_after_its_transmit_limit(waits):
    """A retry with an idempotency key must not leave after the deduplication window."""
    node = Node(max_links=1)
    if waits == "for its connection":
        node.send("a.1", leave_within=90.0)
        peer = None
    else:
        peer = stuck(node, *(["b.1"] if waits == "behind another frame" else []))
        node.send("a.1", leave_within=90.0)
        assert [id for id, *_ in peer.take_shard_requests()] == (
            ["b.1"] if waits == "behind another frame" else ["a.1"]
        )
    node.reactor.advance(0.08)
    assert "a.1" not in node.ends
    node.reactor.advance(0.02)
    assert outcomes(node)["a.1"] == [Outcome.CONNECT_FAILED]
    if waits == "half written":
        assert peer.transport.over  # what the system has of it can never become a whole frame
    else:
        peer = peer or node.peers[0].accept()
        peer.transport.stuck = False
        peer.protocol.resumeProducing()
        assert not peer.take_shard_requests()


def test_a_call_that_left_in_time_is_waited_for_beyond_its_transmit_limit():
    node = Node()
    peer = node.up("a.1", leave_within=90.0)
    node.reactor.advance(0.2)
    peer.send(answer("a.1"))
    assert outcomes(node) == {"a.1": [Outcome.SUCCEEDED]} and not node.reactor.getDelayedCalls()


def test_a_call_queued_behind_a_stalled_frame_ends_at_its_connect_limit():
    """A hung node with a full socket must not hold queued calls until their timeout."""
    node = Node(max_links=1)
    peer = stuck(node, "a.1")
    node.send("b.1", connect_within=60.0)
    node.reactor.advance(0.07)
    assert outcomes(node)["b.1"] == [Outcome.CONNECT_FAILED] and not peer.transport.over
