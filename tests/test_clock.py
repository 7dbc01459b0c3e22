"""Durations are measured on the monotonic clock, so steps of the wall clock do not affect them."""

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
    created = clock.MonotonicReactor()
    yield created
    for call in created.getDelayedCalls():
        call.cancel()
    created.removeAll()


@pytest.fixture
def step_wall_clock(monkeypatch):
    real_time = time.time

    def step(seconds):
        monkeypatch.setattr(time, "time", lambda: real_time() + seconds)

    return step


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_delayed_call_fires_after_its_delay_in_real_time(reactor, step_wall_clock, step):
    fired = []
    reactor.callLater(0.01, fired.append, "short")
    reactor.callLater(60.0, fired.append, "long")
    step_wall_clock(step)
    reactor.callLater(0.01, fired.append, "after the step")
    time.sleep(0.02)
    reactor.runUntilCurrent()
    assert fired == ["short", "after the step"]
    assert 59.0 < reactor.timeout() <= 60.0


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_the_clock_of_the_policy_advances_with_real_time(reactor, step_wall_clock, step):
    settings = routing.Settings(
        classes=(routing.QueryClass(latency_objective=100.0, deadline=200.0, priority_weight=1.0),)
    )
    loop = PolicyEventLoop(
        reactor, settings, 1, {}, lambda error: pytest.fail(repr(error)), pytest.fail
    )
    before = loop.now
    step_wall_clock(step)
    time.sleep(0.02)
    assert 20.0 <= loop.now - before < 10_000.0


def test_a_step_of_the_wall_clock_is_detected_once(step_wall_clock):
    monitor = clock.WallClockMonitor()
    assert monitor.detect_step() == 0.0
    step_wall_clock(-HOUR)
    assert monitor.detect_step() == pytest.approx(-HOUR, abs=1.0)
    assert monitor.detect_step() == 0.0


def test_a_reactor_of_another_type_is_rejected(monkeypatch):
    monkeypatch.setitem(sys.modules, clock.REACTOR_MODULE, object())
    with pytest.raises(RuntimeError, match="wall clock"):
        clock.install_reactor()


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_only_the_clock_module_reads_the_wall_clock_or_imports_the_default_reactor(path):
    if path == PACKAGE / "clock.py":
        return
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Attribute):
            assert ast.unparse(node) not in WALL_CLOCK, f"line {node.lineno}"
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            assert "time" not in {name.name for name in node.names}, f"line {node.lineno}"
        if isinstance(node, ast.ImportFrom) and node.module == "twisted.internet":
            assert "reactor" not in {name.name for name in node.names}, f"line {node.lineno}"
