"""Rejected and failed queries are counted by reason and logged with their history, rate-limited."""

import json

import pytest
from live import RouterHarness, answer, entry, post, status

from tansycrank.http_router.failure_log import MAX_LINES_PER_SECOND
from tansycrank.routing import FailureReason


@pytest.fixture
def harness(caplog):
    caplog.set_level("INFO", logger="tansycrank")
    return RouterHarness()


def logged_failures(caplog):
    """The logged rejections and failures: (request, answer, reason, history)."""
    events = [json.loads(record.getMessage()) for record in caplog.records]
    return [
        (event["request"], event["answer"], event["reason"], event["history"])
        for event in events
        if event["event"] == "query_rejected_or_failed"
    ]


def drain_all(harness):
    watch = harness.discovery[0].accept()
    line = json.dumps(
        {"version": 5, "full": False, "servers": [entry(n, "terminating") for n in (1, 2, 3)]}
    )
    chunk = f"{len(line) + 1:x}\r\n{line}\n\r\n"
    watch.send(f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}".encode())
    harness.run(0.02)


def all_nodes_draining(harness):
    drain_all(harness)
    harness.send_request(post())
    harness.run(1.0)


def no_answer_before_the_deadline(harness):
    harness.send_request(post())
    harness.take_shard_requests()
    harness.run(2.5)


def connection_lost_after_send(harness):
    harness.send_request(post(path="/book"))
    [(peer, _, _)] = harness.take_shard_requests()
    peer.transport.end()
    harness.run(0)


def shutdown_while_the_policy_is_unresponsive(harness):
    harness.daemon.terminate()
    harness.run(1.0)
    harness.send_request(post(path="/book", deadline=2000))
    harness.take_shard_requests()
    harness.daemon.coordinator.loop.stop()
    harness.daemon.coordinator.loop.enqueue = lambda *events: None
    harness.run(harness.daemon.settings.shutdown_timeout / 1000 - 1.0 + 0.1)


def client_does_not_read_answers(harness):
    protocol, _ = client = harness.client()
    harness.send_request(post(deadline=2000), client)
    harness.take_shard_requests()
    protocol.reject_pending()


def exception_in_the_policy(harness):
    harness.send_request(post())
    harness.daemon.coordinator.loop.policy.step = None
    harness.run(0.5)


@pytest.mark.parametrize(
    "scenario, reason, kind",
    [
        (all_nodes_draining, FailureReason.NO_START, "rejected"),
        (no_answer_before_the_deadline, FailureReason.DEADLINE_PASSED, "rejected"),
        (connection_lost_after_send, FailureReason.TOO_FEW_SHARDS, "failed"),
        (shutdown_while_the_policy_is_unresponsive, FailureReason.STOPPING, "failed"),
        (client_does_not_read_answers, FailureReason.UNREADABLE, "rejected"),
        (exception_in_the_policy, FailureReason.FAULT, "rejected"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_failure_reason_is_counted_and_logged_with_history(harness, caplog, scenario, reason, kind):
    scenario(harness)
    [(request, answer_kind, logged_reason, history)] = logged_failures(caplog)
    assert (request, answer_kind, logged_reason) == ("q1", kind, reason.value)
    assert "accepted" in history[0] and any(event.endswith(kind) for event in history)
    assert harness.daemon.coordinator.failure_log.counts_by_reason() == {reason.name.lower(): 1}


def test_answered_query_records_no_failure_reason(harness, caplog):
    transport = harness.send_request(post())
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200
    assert (
        not logged_failures(caplog)
        and not harness.daemon.coordinator.failure_log.counts_by_reason()
    )


def test_failure_log_is_rate_limited_but_counts_all(harness, caplog):
    drain_all(harness)
    for number in range(20):
        harness.send_request(post(id=f"q{number}"))
    harness.run(0.9)
    assert len(logged_failures(caplog)) == MAX_LINES_PER_SECOND
    assert harness.daemon.coordinator.failure_log.counts_by_reason() == {"no_start": 20}
    harness.run(1.0)
    harness.send_request(post(id="later"))
    harness.run(0.9)
    assert [request for request, *_ in logged_failures(caplog)][-1] == "later"
