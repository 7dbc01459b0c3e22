"""Periodic maintenance of a router: closing expired connections, heartbeats, state reports."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.task import LoopingCall

from tansycrank import clock
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.http_server import HttpServer

MAINTENANCE_INTERVAL = 0.25  # s
STATE_REPORT_INTERVAL = 10.0  # s
# s: longest time between two reactor iterations, which bounds how long a stall of the process goes
# undetected. The platform tolerates data nodes waiting up to 0.15 s longer than allowed.
HEARTBEAT_INTERVAL = 0.1
MAX_LATENESS = 0.1  # s of delay of a maintenance run from which the process counts as stalled


class Maintenance:
    """Runs the periodic tasks once started; `report_state` writes a state report."""

    def __init__(
        self,
        reactor,
        pool: ConnectionPool,
        server: HttpServer,
        report_state: Callable[[], None],
        check_memory: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._server = server
        self._log = log
        self._last_run = 0.0  # s
        self._has_skipped = False  # the last run was skipped because the process had stalled
        self._wall_clock = clock.WallClockMonitor()
        self._check_memory = check_memory
        self._calls = {
            LoopingCall(self._run): MAINTENANCE_INTERVAL,
            LoopingCall(report_state): STATE_REPORT_INTERVAL,
            LoopingCall(self._heartbeat): HEARTBEAT_INTERVAL,
        }
        for call in self._calls:
            call.clock = reactor

    def start(self) -> None:
        """Start all periodic tasks."""
        self._last_run = self._reactor.seconds()
        for call, interval in self._calls.items():
            call.start(interval, now=False)

    def _heartbeat(self) -> None:
        """Check the memory. A timer that is due soon also lets the reactor detect its stalls."""
        try:
            self._check_memory()
        except Exception as error:  # an exception would stop the LoopingCall
            self._log("maintenance_failed", error=repr(error), traceback=True)

    def _run(self) -> None:
        now = self._reactor.seconds()
        late, self._last_run = now - self._last_run - MAINTENANCE_INTERVAL, now
        if step := self._wall_clock.detect_step():
            self._log("wall_clock_stepped", seconds=round(step, 3))
        try:
            self._close_expired(late)
        except Exception as error:  # an exception would stop the LoopingCall
            self._log("maintenance_failed", error=repr(error), traceback=True)

    def _close_expired(self, late: float) -> None:
        """Close expired connections; skipped once after a stall, as input is still unread."""
        is_late = late > MAX_LATENESS
        if is_late:
            self._log("event_loop_stalled", ms=round(late * 1000, 1))
        self._has_skipped = is_late and not self._has_skipped
        if not self._has_skipped:
            self._pool.run_maintenance()
            self._server.close_expired()
