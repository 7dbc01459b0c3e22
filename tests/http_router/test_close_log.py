"""What the log and the state report tell of connections that the router closes."""

from types import SimpleNamespace

from live import RouterHarness, post

from tansycrank.http_router import daemon
from tansycrank.http_router.client_connection import REQUEST_TIMEOUT, ConnectionState
from tansycrank.http_router.close_log import MAX_LINES_PER_SECOND, CloseLog


class Events(list):
    """Log events of one kind."""

    def __call__(self, event, **fields):
        self.append({"event": event, **fields})


def connection():
    peer = SimpleNamespace(host="127.0.0.1", port=40_000)
    transport = SimpleNamespace(getPeer=lambda: peer, unread_bytes=7, unsent_bytes=3)
    return SimpleNamespace(
        transport=transport,
        state=ConnectionState.OPEN,
        accepted_at=1.0,
        request_count=2,
        held_bytes=100,
        parse_seconds=0.5,
    )


def test_a_close_is_logged_with_its_reason_state_age_and_bytes():
    events = Events()
    CloseLog(events).record(connection(), "unused", now=4.5)
    assert events == [
        {
            "event": "client_connection_closed",
            "reason": "unused",
            "state": "open",
            "peer": "127.0.0.1:40000",
            "age_ms": 3500.0,
            "requests": 2,
            "unread_bytes": 7,
            "unsent_bytes": 3,
            "held_bytes": 100,
            "parse_ms": 500.0,
        }
    ]


def test_closes_of_a_crowd_are_counted_and_few_of_each_reason_are_logged():
    events = Events()
    log = CloseLog(events)
    for number in range(1000):
        log.record(connection(), "silent", now=2.0 + number / 1e4)
    log.record(connection(), "rejected with 431", now=2.05)
    log.record(connection(), "silent", now=3.1)
    assert log.counts == {"silent": 1001, "rejected with 431": 1}
    logged = [event["reason"] for event in events]
    assert logged.count("silent") == MAX_LINES_PER_SECOND + 1 and len(logged) == len(events)
    assert logged.count("rejected with 431") == 1


def test_the_state_report_tells_what_clients_hold_and_who_costs_most(monkeypatch):
    events = Events()
    monkeypatch.setattr(daemon, "log", events)
    harness = RouterHarness()
    protocol, _ = harness.client()
    protocol.dataReceived(post(id="half")[:40])
    harness.daemon._report_state()
    [report] = [event for event in events if event["event"] == "state_reported"]
    assert report["held"]["client_bytes"] > 0 and report["memory"]["state"] == "normal"
    [top] = report["top_clients"]
    assert top["state"] == "open" and top["requests"] == 0
    harness.run(REQUEST_TIMEOUT + 0.5)
    assert harness.daemon.server.close_log.counts == {"rejected with 408": 1}
