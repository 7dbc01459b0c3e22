"""Connections to data nodes: calls, malformed answers, one outcome for each call."""

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


class PoolHarness:
    """A ConnectionPool with one data node, the peers of whose connections the test controls."""

    def __init__(self, max_calls_per_connection=8, call_batch_size=4, max_connections=8):
        self.reactor = MemoryReactorClock()
        self.log = []
        self.pool = ConnectionPool(
            self.reactor,
            max_calls_per_connection,
            call_batch_size,
            250.0,
            10_000.0,
            max_connections,
            lambda *a, **k: self.log.append(a),
        )
        self.pool.set_address(1, "127.0.0.1", 7070)
        self.lifecycle = LifecycleHarness()
        self.results = {}

    def send(
        self, *ids, timeout_ms=1000.0, endpoint=1, connect_limit_ms=0.0, transmit_limit_ms=0.0
    ):
        calls = [
            self.pool.send(
                id.encode(),
                endpoint,
                0,
                b"text",
                timeout_ms,
                self.record_outcome(id),
                self.lifecycle.attempt(
                    self.reactor.seconds() * 1000, endpoint, timeout_ms, transmit_limit_ms
                ),
                connect_limit_ms,
                b"",
                transmit_limit_ms,
            )
            for id in ids
        ]
        self.pool.flush()
        return calls

    def record_outcome(self, id):
        return lambda outcome, value, load: self.results.setdefault(id, []).append(
            (outcome, value, load)
        )

    @property
    def peers(self):
        return [Peer(host, port, factory) for host, port, factory, *_ in self.reactor.tcpClients]

    def send_and_accept(self, *ids, **options):
        """Send these calls on one new connection and return its peer."""
        previous_count = len(self.reactor.tcpClients)
        self.send(*ids, **options)
        peer = self.peers[previous_count].accept()
        assert [id for id, *_ in peer.take_shard_requests()] == list(ids)
        return peer


def outcomes(harness):
    return {id: [outcome for outcome, *_ in results] for id, results in harness.results.items()}


def test_calls_of_a_step_share_frames_up_to_the_batch_size():
    harness = PoolHarness()
    harness.send(*(f"q.{n}" for n in range(6)))
    peers = [peer.accept() for peer in harness.peers]
    assert [len(peer.take_shard_requests()) for peer in peers] == [4, 2]


def test_an_idle_connection_is_preferred_to_a_new_one():
    harness = PoolHarness()
    first = harness.send_and_accept("a.1")
    first.send(answer("a.1"))
    harness.send("b.1")
    assert len(harness.peers) == 1 and [id for id, *_ in first.take_shard_requests()] == ["b.1"]
    harness.send("c.1")
    assert len(harness.peers) == 2


def test_connections_and_calls_on_each_stay_within_their_limits():
    harness = PoolHarness(max_calls_per_connection=2, max_connections=2)
    for n in range(6):
        harness.send(f"q.{n}")
    for peer in harness.peers:
        peer.accept()
    harness.reactor.advance(0)
    assert len(harness.peers) == 2
    assert (
        sorted(outcomes(harness)) == ["q.4", "q.5"]
        and harness.results["q.4"][0][0] is Outcome.NOT_SENT
    )


def test_the_remaining_time_is_computed_when_the_frame_is_written():
    harness = PoolHarness()
    harness.send("a.1", timeout_ms=500.0)
    harness.reactor.advance(0.2)
    [(_, _, wait, text)] = harness.peers[0].accept().take_shard_requests()
    assert wait == 300 and text == b"text"


@pytest.mark.parametrize(
    "end, outcome",
    [
        ("ok", Outcome.SUCCEEDED),
        ("err", Outcome.ERROR),
        ("busy", Outcome.REJECTED),
    ],
)
def test_each_answer_status_has_its_outcome(end, outcome):
    harness = PoolHarness()
    harness.send_and_accept("a.1").send(answer("a.1", end, report="x=7,y=0.61"))
    assert harness.results["a.1"] == [(outcome, VALUE if end == "ok" else "", (7.0, 0.61))]


def test_a_refused_connection_ends_its_call_as_never_executed():
    harness = PoolHarness()
    harness.send("refused.1")
    harness.peers[0].refuse()
    assert outcomes(harness) == {"refused.1": [Outcome.CONNECT_FAILED]}


def test_calls_sent_on_a_lost_connection_may_have_been_executed():
    harness = PoolHarness()
    harness.send_and_accept("a.1", "a.2").transport.end()
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}
    assert harness.pool.connection_count == 0


def test_a_call_times_out_and_its_late_answer_is_ignored():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(answer("a.1", "busy")[:4])
    harness.reactor.advance(1.0)
    assert outcomes(harness) == {"a.1": [Outcome.TIMED_OUT]}
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", "a.2")
    [_call] = harness.send("b.1")
    peer.send(answer("a.2"))
    harness.reactor.advance(1.0)
    peer.take_shard_requests()
    assert peer.cancelled_ids == ["a.1"]
    assert outcomes(harness)["a.1"] == [Outcome.TIMED_OUT]
    peer.send(answer("a.1"))
    assert outcomes(harness)["a.1"] == [Outcome.TIMED_OUT] and not peer.transport.over


def test_a_silent_connection_accepts_no_more_calls():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    harness.reactor.advance(1.0)
    assert peer.transport.over
    harness.send("b.1")
    assert len(harness.peers) == 2


@pytest.mark.parametrize("silence, is_closed", [(0.3, True), (0.1, False)])
def test_a_connection_silent_for_a_connect_timeout_is_closed_when_its_call_is_cancelled(
    silence, is_closed
):
    """Otherwise a dead connection would be used for each attempt to readmit its node."""
    harness = PoolHarness()
    [call] = harness.send("a.1")
    peer = harness.peers[0].accept()
    harness.reactor.advance(silence)
    harness.pool.cancel(call)
    assert peer.transport.over == is_closed
    harness.send("b.1")
    assert len(harness.peers) == 1 + is_closed


def test_a_connection_that_received_an_answer_is_kept():
    harness = PoolHarness()
    first, _second = harness.send("a.1", "a.2")
    peer = harness.peers[0].accept()
    harness.reactor.advance(0.2)
    peer.send(answer("a.2"))
    harness.reactor.advance(0.2)
    harness.pool.cancel(first)
    assert not peer.transport.over


def test_a_call_cancelled_before_its_connection_is_established_is_not_sent():
    harness = PoolHarness()
    first, _ = harness.send("a.1", "a.2")
    harness.pool.cancel(first)
    peer = harness.peers[0].accept()
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.2"]
    assert outcomes(harness) == {"a.1": [Outcome.NOT_SENT]}


def test_cancelling_a_sent_call_notifies_the_node():
    harness = PoolHarness()
    previous_count = len(harness.peers)
    [call] = harness.send("a.1")
    peer = harness.peers[previous_count].accept()
    harness.pool.cancel(call)
    peer.take_shard_requests()
    assert peer.cancelled_ids == ["a.1"] and outcomes(harness) == {"a.1": [Outcome.CANCELLED]}


MALFORMED_ANSWERS = {
    "random bytes": b"\x91\x07\xfe\x44\x10\x22\x90",
    "3 GB": (3_000_000_000).to_bytes(4, "little") + b"A" + b"x" * 200,
    "length 0": b"\0\0\0\0A",
    "unknown type": frame(b"\x01", b"a.1 ok 17 -\nvalue"),
    "no answer line": frame(b"A", b"7c"),
    "an answer line without an end": (60_000).to_bytes(4, "little") + b"A" + b"y" * 2000,
    "unknown status": frame(b"A", b"a.1 ? 17 -\nvalue"),
    "no status": frame(b"A", b"a.1  17 -\nvalue"),
    "an id that is not in flight": answer("zz.9"),
    "a value that is not UTF-8": frame(b"A", b"a.1 ok 17 -\n\xff\xfe"),
}


@pytest.mark.parametrize("name", MALFORMED_ANSWERS)
def test_a_malformed_answer_closes_the_connection_and_its_calls_are_lost(name):
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", "a.2")
    peer.send(MALFORMED_ANSWERS[name])
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}
    assert peer.transport.over


def test_a_stalled_frame_closes_the_connection():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(answer("a.1")[:-3])
    harness.reactor.advance(0.6)
    harness.pool.run_maintenance()
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST]} and peer.transport.over


@pytest.mark.parametrize("trailing_bytes", [b"\x91\x07\xfe\x44\x10\x22", b"\xc1", b"\xe2\x09"])
def test_bytes_that_are_no_text_after_an_answer_close_the_connection_and_keep_the_answer(
    trailing_bytes,
):
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(answer("a.1") + trailing_bytes)
    assert outcomes(harness) == {"a.1": [Outcome.SUCCEEDED]} and peer.transport.over


def test_malformed_bytes_after_an_answer_discard_it_while_other_calls_wait():
    harness = PoolHarness()
    harness.send_and_accept("a.1", "a.2").send(answer("a.1", value="0123") + b"zzzzzzzzz")
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST], "a.2": [Outcome.CONNECTION_LOST]}


def test_a_duplicate_answer_is_ignored():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(answer("a.1") + answer("a.1"))
    assert outcomes(harness) == {"a.1": [Outcome.SUCCEEDED]} and not peer.transport.over


def test_a_malformed_load_report_counts_as_empty():
    harness = PoolHarness()
    harness.send_and_accept("a.1").send(answer("a.1", report="%%%"))
    assert harness.results["a.1"] == [(Outcome.SUCCEEDED, VALUE, ())]


def test_calls_of_a_rejected_frame_may_have_been_executed():
    harness = PoolHarness()
    harness.send_and_accept("a.1").send(frame(b"E", b"bad"))
    assert outcomes(harness) == {"a.1": [Outcome.CONNECTION_LOST]}


def test_idle_connections_close_before_the_node_closes_them():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    peer.send(answer("a.1"))
    harness.reactor.advance(7.9)
    harness.pool.run_maintenance()
    assert not peer.transport.over
    harness.reactor.advance(0.2)
    harness.pool.run_maintenance()
    assert peer.transport.over


def test_a_removed_endpoint_finishes_its_calls_and_gets_no_new_one():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1")
    harness.pool.remove_endpoint(1)
    harness.send("b.1")
    harness.reactor.advance(0)
    assert outcomes(harness) == {"b.1": [Outcome.CONNECT_FAILED]}
    peer.send(answer("a.1"))
    assert outcomes(harness)["a.1"] == [Outcome.SUCCEEDED] and peer.transport.over


def test_an_endpoint_with_a_new_address_is_called_there():
    harness = PoolHarness()
    harness.send_and_accept("a.1")
    harness.pool.set_address(1, "127.0.0.2", 7070)
    harness.send("b.1")
    assert harness.peers[-1].host == "127.0.0.2"


@given(st.binary(max_size=300), st.lists(st.integers(1, 60), max_size=8))
def test_the_frame_reader_accepts_arbitrary_bytes(trailing_bytes, chunk_lengths):
    data = answer("a.1") + trailing_bytes
    reader, records = frames.FrameReader(), []
    try:
        for length in [*chunk_lengths, len(data)]:
            records += reader.feed(data[:length])
            data = data[length:]
    except frames.FrameError:
        pass
    assert records and records[0].value == VALUE


def test_each_call_ends_exactly_once_however_its_node_behaves():
    live = RouterHarness()
    live.discovery[0].refuse()
    for n in range(4):
        live.send_request(post(id=f"r{n}", shards=((n, 0.5), (n + 4, 0.5))))
    sent = live.take_shard_requests()
    for index, (peer, id, _) in enumerate(sent):
        if index % 3 == 0:
            peer.transport.end()
        elif index % 3 == 1 and not peer.transport.over:
            peer.send(answer(id))
    live.run(3)
    coordinator = live.daemon.coordinator
    assert sum(coordinator.outcomes.values()) == coordinator.counts["sends"]
    assert (
        not coordinator.queries and not coordinator._shard_requests and coordinator.in_flight == 0
    )
    assert not coordinator.loop.policy.queries.attempts_in_flight


def test_a_call_is_revoked_from_a_connection_that_is_not_established_in_time():
    """Calls to an unreachable host do not wait for the connect timeout."""
    harness = PoolHarness()
    harness.send("a.1", "a.2", connect_limit_ms=60.0)
    harness.reactor.advance(0.05)
    assert not harness.results
    harness.reactor.advance(0.02)
    assert outcomes(harness) == {"a.1": [Outcome.CONNECT_FAILED], "a.2": [Outcome.CONNECT_FAILED]}
    peer = harness.peers[0].accept()
    assert not peer.take_shard_requests()  # never sent: another attempt may be in flight by now
    harness.send("b.1", connect_limit_ms=60.0)
    assert [id for id, *_ in peer.take_shard_requests()] == ["b.1"]
    harness.reactor.advance(0.2)
    assert "b.1" not in harness.results  # a call that was sent is not ended by its connect limit


def test_a_call_without_a_connect_limit_waits_for_the_connect_timeout():
    harness = PoolHarness()
    harness.send("a.1")
    harness.reactor.advance(0.2)
    assert not harness.results


def test_a_call_prefers_an_established_connection_to_a_pending_one():
    """An unresponsive node leaves a pending connection whose calls were revoked."""
    harness = PoolHarness()
    first = harness.send_and_accept("a.1")
    harness.send("b.1", connect_limit_ms=60.0)
    assert len(harness.peers) == 2
    harness.reactor.advance(0.07)
    first.send(answer("a.1"))
    harness.send("c.1")
    assert [id for id, *_ in first.take_shard_requests()] == ["c.1"] and len(harness.peers) == 2


def send_into_full_socket(harness, *ids):
    """Write these calls to a socket that accepts no more bytes and return its peer."""
    peer = harness.send_and_accept("first.1")
    peer.send(answer("first.1"))
    peer.transport.stuck = True
    harness.send(*ids)
    assert len(harness.peers) == 1
    return peer


def test_a_draining_endpoint_gets_no_call_that_waits_for_its_connection():
    """A connection may be established long after its node began to drain."""
    harness = PoolHarness()
    harness.send("a.1")
    harness.pool.revoke_unsent(1)
    assert outcomes(harness) == {"a.1": [Outcome.NOT_SENT]}
    assert not harness.peers[0].accept().take_shard_requests()


def test_a_removed_endpoint_gets_no_call_that_waits_for_its_connection():
    harness = PoolHarness()
    harness.send("a.1")
    harness.pool.remove_endpoint(1)
    assert outcomes(harness) == {"a.1": [Outcome.NOT_SENT]} and harness.pool.connection_count == 0


def test_a_frame_waits_for_the_one_before_and_can_be_revoked():
    harness = PoolHarness(max_connections=1)
    peer = send_into_full_socket(harness, "a.1")
    b, c = harness.send("b.1")[0], harness.send("c.1")[0]
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.1"]
    harness.pool.revoke(b)
    assert outcomes(harness)["b.1"] == [Outcome.NOT_SENT] and not c.ended
    peer.transport.stuck = False
    peer.protocol.resumeProducing()
    assert [id for id, *_ in peer.take_shard_requests()] == ["c.1"]


@pytest.mark.parametrize("reason", ["revoke", "cancel", "drain", "time out"])
def test_a_revoked_frame_that_is_not_sent_closes_its_connection(reason):
    """A hung node may resume reading and start calls that were revoked."""
    harness = PoolHarness()
    peer = send_into_full_socket(harness, "a.1", "a.2")
    call = peer.protocol.sent_calls[b"a.1"]
    if reason == "revoke":
        harness.pool.revoke(call)
    elif reason == "cancel":
        harness.pool.cancel(call)
    elif reason == "drain":
        harness.pool.revoke_unsent(1)
    else:
        harness.reactor.advance(1.0)
    assert reason == "time out" or not peer.transport.over
    harness.reactor.advance(0.11)
    assert peer.transport.over
    if reason != "time out":  # its last byte was not sent: never executed
        assert outcomes(harness)["a.2"] == [Outcome.CONNECT_FAILED]
    assert not harness.reactor.getDelayedCalls()


def test_a_revoked_frame_that_is_sent_in_time_keeps_its_connection():
    harness = PoolHarness()
    peer = send_into_full_socket(harness, "a.1", "a.2")
    harness.pool.revoke(peer.protocol.sent_calls[b"a.1"])
    peer.transport.stuck = False
    peer.protocol.resumeProducing()
    harness.reactor.advance(0.2)
    assert not peer.transport.over
    peer.transport.end()
    assert outcomes(harness)["a.2"] == [
        Outcome.CONNECTION_LOST
    ]  # it was sent completely and may have been executed


def test_calls_of_a_partly_sent_frame_end_as_never_executed_on_connection_loss():
    harness = PoolHarness(max_connections=1)
    peer = harness.send_and_accept("early.1")
    peer.transport.stuck = True
    harness.send("a.1")
    assert [id for id, *_ in peer.take_shard_requests()] == ["a.1"]
    harness.send("b.1")
    peer.transport.end()
    assert outcomes(harness) == {
        "early.1": [Outcome.CONNECTION_LOST],
        "a.1": [Outcome.CONNECT_FAILED],
        "b.1": [Outcome.CONNECT_FAILED],
    }


def test_a_reused_id_avoids_the_connection_that_may_still_answer_it():
    """A late answer must not be attributed to another call with the same id."""
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", "b.1")
    harness.pool.cancel(peer.protocol.sent_calls[b"a.1"])
    peer.send(answer("b.1"))
    harness.send("a.1")
    assert len(harness.peers) == 2
    peer.send(answer("a.1", "busy"))
    assert outcomes(harness)["a.1"] == [Outcome.CANCELLED]


@pytest.mark.parametrize("waiting", ["for its connection", "behind another frame", "partly sent"])
def test_a_call_is_never_sent_after_its_transmit_limit(waiting):
    """A retry with an idempotency key must not be sent after the deduplication window."""
    harness = PoolHarness(max_connections=1)
    if waiting == "for its connection":
        harness.send("a.1", transmit_limit_ms=90.0)
        peer = None
    else:
        peer = send_into_full_socket(
            harness, *(["b.1"] if waiting == "behind another frame" else [])
        )
        harness.send("a.1", transmit_limit_ms=90.0)
        assert [id for id, *_ in peer.take_shard_requests()] == (
            ["b.1"] if waiting == "behind another frame" else ["a.1"]
        )
    harness.reactor.advance(0.08)
    assert "a.1" not in harness.results
    harness.reactor.advance(0.02)
    assert outcomes(harness)["a.1"] == [Outcome.CONNECT_FAILED]
    if waiting == "partly sent":
        assert peer.transport.over  # so the partly sent frame is never completed
    else:
        peer = peer or harness.peers[0].accept()
        peer.transport.stuck = False
        peer.protocol.resumeProducing()
        assert not peer.take_shard_requests()


def test_a_call_sent_in_time_is_not_ended_at_its_transmit_limit():
    harness = PoolHarness()
    peer = harness.send_and_accept("a.1", transmit_limit_ms=90.0)
    harness.reactor.advance(0.2)
    peer.send(answer("a.1"))
    assert (
        outcomes(harness) == {"a.1": [Outcome.SUCCEEDED]} and not harness.reactor.getDelayedCalls()
    )


def test_a_call_queued_behind_a_stalled_frame_ends_at_its_connect_limit():
    """A hung node with a full socket must not hold queued calls until their timeout."""
    harness = PoolHarness(max_connections=1)
    peer = send_into_full_socket(harness, "a.1")
    harness.send("b.1", connect_limit_ms=60.0)
    harness.reactor.advance(0.07)
    assert outcomes(harness)["b.1"] == [Outcome.CONNECT_FAILED] and not peer.transport.over


def test_a_frame_behind_one_that_was_queued_again_and_denied_is_not_sent_late():
    """Guards against a data node that is told a longer wait than is left for its call."""
    harness = PoolHarness(max_connections=1)
    peer = send_into_full_socket(harness, "a.1")
    [denied] = [call for call in peer.protocol.calls_in_transmission if call.id == b"a.1"]
    harness.send("b.1")
    peer.transport.take()
    harness.reactor.advance(0.2)
    assert not peer.protocol.may_write()  # too old: queued again
    harness.pool.revoke(denied)
    peer.protocol.resumeProducing()
    assert [id for id, *_ in peer.take_shard_requests()] == ["b.1"]
    harness.reactor.advance(0.3)
    assert not peer.protocol.may_write()
    peer.protocol.resumeProducing()
    [(id, _, wait_ms, _)] = peer.take_shard_requests()
    assert id == "b.1" and wait_ms == 500
    harness.reactor.advance(0.3)
    assert peer.protocol.may_write()  # it was queued again itself: its age is not limited
