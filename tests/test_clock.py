"""Spans of time rest on the monotonic clock, whatever happens to the wall clock."""

import ast
import sys
import time
from pathlib import Path

import pytest

from tansycrank import clock, routing
from tansycrank.policy_event_loop import PolicyEventLoop

PACKAGE = Path(__file__).parent.parent / "tansycrank"
SOURCES = sorted(PACKAGE.rglob("*.py"))
WALL_CLOCK = {
    "time.time",
    "time.time_ns",
    "datetime.now",
    "datetime.utcnow",
    "dt.datetime.now",
    "dt.datetime.utcnow",
}
HOUR = 3600.0


@pytest.fixture
def reactor():
    made = clock.MonotonicReactor()
    yield made
    for call in made.getDelayedCalls():
        call.cancel()
    made.removeAll()


@pytest.fixture
def step_wall_clock(monkeypatch):
    true = time.time

    def step(seconds):
        monkeypatch.setattr(time, "time", lambda: true() + seconds)

    return step


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_delayed_call_comes_due_after_its_span_of_real_time(reactor, step_wall_clock, step):
    due = []
    reactor.callLater(0.01, due.append, "short")
    reactor.callLater(60.0, due.append, "long")
    step_wall_clock(step)
    reactor.callLater(0.01, due.append, "after the step")
    time.sleep(0.02)
    reactor.runUntilCurrent()
    assert due == ["short", "after the step"]
    assert 59.0 < reactor.timeout() <= 60.0


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_the_policys_time_goes_on_at_the_pace_of_real_time(reactor, step_wall_clock, step):
    settings = routing.Settings(
        classes=(routing.QueryClass(latency_objective=100.0, deadline=200.0, priority_weight=1.0),)
    )
    loop = PolicyEventLoop(reactor, settings, 1, {}, lambda error: pytest.fail(repr(error)))
    before = loop.now
    step_wall_clock(step)
    time.sleep(0.02)
    assert 20.0 <= loop.now - before < 10_000.0


def test_a_step_of_the_wall_clock_is_noticed_once(step_wall_clock):
    monitor = clock.WallClockMonitor()
    assert monitor.detect_step() == 0.0
    step_wall_clock(-HOUR)
    assert monitor.detect_step() == pytest.approx(-HOUR, abs=1.0)
    assert monitor.detect_step() == 0.0


def test_a_second_reactor_is_refused(monkeypatch):
    monkeypatch.setitem(sys.modules, clock.REACTOR_MODULE, object())
    with pytest.raises(RuntimeError, match="wall clock"):
        clock.install_reactor()


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_only_the_clock_module_reads_the_wall_clock_or_takes_the_stock_reactor(path):
    if path == PACKAGE / "clock.py":
        return
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute):
            assert ast.unparse(node) not in WALL_CLOCK, f"line {node.lineno}"
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            assert "time" not in {name.name for name in node.names}, f"line {node.lineno}"
        if isinstance(node, ast.ImportFrom) and node.module == "twisted.internet":
            assert "reactor" not in {name.name for name in node.names}, f"line {node.lineno}"
