"""Sessions of the SQL router beside crowds: turns of small messages, places, what is released."""

from harness import SessionHarness
from test_planner import CONFIG_TEXT

from tansycrank.postgres import messages as pg
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
