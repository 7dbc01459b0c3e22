"""Each request that is refused or fails is counted with its reason, and logged with its history,
bounded.
"""

import json

import pytest
from live import RouterHarness, answer, entry, post, status

from tansycrank.http_router.failure_log import LINES_A_SECOND
from tansycrank.routing import FailureReason


@pytest.fixture
def live(caplog):
    caplog.set_level("INFO", logger="tansycrank")
    return RouterHarness()


def told(caplog):
    """The lines about requests given up: (request, answer, reason, history)."""
    events = [json.loads(record.getMessage()) for record in caplog.records]
    return [
        (event["request"], event["answer"], event["reason"], event["history"])
        for event in events
        if event["event"] == "query_rejected_or_failed"
    ]


def drain_all(live):
    watch = live.discovery[0].accept()
    line = json.dumps(
        {"version": 5, "full": False, "servers": [entry(n, "terminating") for n in (1, 2, 3)]}
    )
    chunk = f"{len(line) + 1:x}\r\n{line}\n\r\n"
    watch.send(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}".encode())
    live.run(0.02)


def nobody_could_be_sent_to(live):
    drain_all(live)
    live.send_request(post())
    live.run(1.0)


def silent_to_the_end(live):
    live.send_request(post())
    live.take_shard_requests()
    live.run(2.5)


def lost_after_it_was_sent(live):
    live.send_request(post(path="/book"))
    [(peer, _, _)] = live.take_shard_requests()
    peer.transport.end()
    live.run(0)


def out_when_the_router_stops_and_its_policy_sleeps(live):
    live.daemon.terminate()
    live.run(1.0)
    live.send_request(post(path="/book", deadline=2000))
    live.take_shard_requests()
    live.daemon.coordinator.loop.stop()
    live.daemon.coordinator.loop.enqueue = lambda *events: None
    live.run(live.daemon.settings.shutdown_timeout / 1000 - 1.0 + 0.1)


def its_answers_are_not_read(live):
    protocol, _ = client = live.client()
    live.send_request(post(deadline=2000), client)
    live.take_shard_requests()
    protocol.reject_pending()


def a_fault_of_the_policy(live):
    live.send_request(post())
    live.daemon.coordinator.loop.policy.step = None
    live.run(0.5)


@pytest.mark.parametrize(
    "happens, reason, kind",
    [
        (nobody_could_be_sent_to, FailureReason.NO_START, "rejected"),
        (silent_to_the_end, FailureReason.DEADLINE_PASSED, "rejected"),
        (lost_after_it_was_sent, FailureReason.TOO_FEW_SHARDS, "failed"),
        (out_when_the_router_stops_and_its_policy_sleeps, FailureReason.STOPPING, "failed"),
        (its_answers_are_not_read, FailureReason.UNREADABLE, "rejected"),
        (a_fault_of_the_policy, FailureReason.FAULT, "rejected"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_the_reason_is_counted_and_logged_with_the_history(live, caplog, happens, reason, kind):
    happens(live)
    [(request, answered, why, history)] = told(caplog)
    assert (request, answered, why) == ("q1", kind, reason.value)
    assert "accepted" in history[0] and any(event.endswith(kind) for event in history)
    assert live.daemon.coordinator.failure_log.figures() == {reason.name.lower(): 1}


def test_what_is_served_is_given_no_reason(live, caplog):
    transport = live.send_request(post())
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    assert status(transport.take()) == 200
    assert not told(caplog) and not live.daemon.coordinator.failure_log.figures()


def test_the_log_is_bounded_while_all_are_counted(live, caplog):
    drain_all(live)
    for number in range(20):
        live.send_request(post(id=f"q{number}"))
    live.run(0.9)
    assert len(told(caplog)) == LINES_A_SECOND
    assert live.daemon.coordinator.failure_log.figures() == {"no_start": 20}
    live.run(1.0)
    live.send_request(post(id="later"))
    live.run(0.9)
    assert [request for request, *_ in told(caplog)][-1] == "later"
