"""Sessions of the SQL router beside crowds: turns of small messages, places, what is released."""

import gc

from harness import SessionHarness
from test_planner import CONFIG_TEXT
from test_session import named_parse

from tansycrank.postgres import messages as pg
from tansycrank.postgres.server.factory import MAX_CONNECTIONS_PER_SESSION
from tansycrank.postgres.server.session import MAX_PROCESSING_SECONDS

SYNCS = 200
SECONDS_PER_CLOCK_READ = MAX_PROCESSING_SECONDS / 20


def let_time_pass(harness, monkeypatch):
    """Make the clock go on at each reading, as while messages are handled."""
    now = [0.0]

    def seconds():
        now[0] += SECONDS_PER_CLOCK_READ
        return now[0]

    monkeypatch.setattr(harness.clock, "seconds", seconds)


def run_turn(harness):
    """Run the calls that wait now, but none that they add."""
    calls, harness.clock.calls[:] = list(harness.clock.calls), []
    for call in calls:
        if call.getTime() <= harness.clock.seconds():
            call.func()
        else:
            harness.clock.calls.append(call)


def test_many_small_messages_are_handled_in_turns(monkeypatch):
    """Guards against a session whose small messages hold the event loop to their end."""
    harness = SessionHarness(CONFIG_TEXT)
    harness.log_in()
    let_time_pass(harness, monkeypatch)
    answered = len(harness.send(pg.SYNC_FRAME * SYNCS))
    assert 0 < answered < SYNCS / 2
    for _ in range(SYNCS):
        run_turn(harness)
        answered += len(harness.take_messages())
    assert answered == SYNCS


def test_silent_connections_make_room_for_clients_that_log_in():
    """Guards against a crowd of silent connections that shuts out all others."""
    harness = SessionHarness(CONFIG_TEXT, max_sessions=4)
    crowd = [harness.connect() for _ in range(MAX_CONNECTIONS_PER_SESSION * 4 - 1)]
    harness.transport.unread_bytes = 1  # its startup packet lies unread
    session, transport = harness.connect()
    session.dataReceived(pg.startup({"user": "usual"}))
    assert not transport.aborted and session.is_logged_in
    assert [silent.aborted for _, silent in crowd].count(True) == 1
    assert crowd[0][1].aborted and not harness.transport.aborted
    assert len(harness.factory.sessions) <= MAX_CONNECTIONS_PER_SESSION * 4


def test_a_connection_above_the_limit_is_aborted_if_no_other_is_silent():
    harness = SessionHarness(CONFIG_TEXT, max_sessions=1)
    harness.transport.unread_bytes = 1
    _, other_transport = harness.connect()
    other_transport.unread_bytes = 1
    _, transport = harness.connect()
    assert transport.aborted and not other_transport.aborted and not harness.transport.aborted


def test_a_session_that_has_ended_holds_no_bytes_until_the_garbage_collector_runs():
    """Guards against messages and statements of ended sessions that stay in reference cycles."""
    harness = SessionHarness(CONFIG_TEXT)
    harness.log_in()
    gc.disable()
    try:
        sql = f"SELECT id FROM trips WHERE district = 'a' AND note = '{'x' * 1000}'"
        harness.send(named_parse("s", sql), pg.SYNC_FRAME)
        harness.session.dataReceived(b"Q" + pg.INT32.pack(400_000) + b"x" * 300_000)
        assert harness.session.held_bytes > 300_000
        session = harness.session
        session.connectionLost()
        assert session._frames is None and not session._context.statements.held_bytes
    finally:
        gc.enable()
