"""The periodic work of a router: closing what waits too long, heartbeats, state reports."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.task import LoopingCall

from tansycrank import clock
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.http_server import HttpServer

MAINTENANCE_INTERVAL = 0.25  # s
STATE_REPORT_INTERVAL = 10.0  # s
# s between reactor turns at most, which bounds how long a stall of the process stays unnoticed; the
# platform allows 0.15 s by which a data node may wait too long
HEARTBEAT_INTERVAL = 0.1
MAX_LATENESS = 0.1  # s by which a maintenance may come late before the process counts as stalled


class Maintenance:
    """Runs from `start` on; `report_state` is called at each state report."""

    def __init__(
        self,
        reactor,
        pool: ConnectionPool,
        server: HttpServer,
        report_state: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self._reactor = reactor
        self._pool = pool
        self._server = server
        self._log = log
        self._last_run = 0.0  # s
        self._has_skipped = False  # the last run closed nothing since the process had stalled
        self._wall_clock = clock.WallClockMonitor()
        self._calls = {
            LoopingCall(self._run): MAINTENANCE_INTERVAL,
            LoopingCall(report_state): STATE_REPORT_INTERVAL,
            LoopingCall(self._heartbeat): HEARTBEAT_INTERVAL,
        }
        for call in self._calls:
            call.clock = reactor

    def start(self) -> None:
        """Start all timers."""
        self._last_run = self._reactor.seconds()
        for call, interval in self._calls.items():
            call.start(interval, now=False)

    @staticmethod
    def _heartbeat() -> None:
        """Do nothing: with a timer always due soon, the reactor notices that it has stalled."""

    def _run(self) -> None:
        now = self._reactor.seconds()
        late, self._last_run = now - self._last_run - MAINTENANCE_INTERVAL, now
        if step := self._wall_clock.detect_step():
            self._log("wall_clock_stepped", seconds=round(step, 3))
        try:
            self._close_expired(late)
        except Exception as error:  # an exception would end the looping call for good
            self._log("maintenance_failed", error=repr(error), traceback=True)

    def _close_expired(self, late: float) -> None:
        """Close what has expired; skipped once after a stall, as its input is not read yet."""
        is_late = late > MAX_LATENESS
        if is_late:
            self._log("event_loop_stalled", ms=round(late * 1000, 1))
        self._has_skipped = is_late and not self._has_skipped
        if not self._has_skipped:
            self._pool.run_maintenance()
            self._server.close_expired()
