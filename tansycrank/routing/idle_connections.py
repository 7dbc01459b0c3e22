"""Connections that were closed while idle: no evidence against their endpoint."""

from __future__ import annotations

from tansycrank.routing.events import Outcome
from tansycrank.routing.latency_window import ROTATION_MS
from tansycrank.routing.query import Attempt

IMMEDIATE_SHARE = 0.5  # of the quickest responses: a connection lost sooner had been closed before
LIMIT_MARGIN = 0.8  # of the shortest idle time after which a connection was closed


class IdleConnections:
    """Learns for how long a connection may be idle before something between closes it unseen."""

    def __init__(self) -> None:
        self._idle_limit_ms = float("inf")
        self._limit_holds_until = float("-inf")

    def closed_while_idle(
        self, attempt: Attempt, outcome: Outcome, latency: float, quickest_ms: float, now: float
    ) -> bool:
        """Whether an attempt was lost since its connection had been closed; learns the limit."""
        idle_ms = attempt.connection_idle_ms
        is_immediate = latency < min(IMMEDIATE_SHARE * quickest_ms, idle_ms)
        if not is_immediate or outcome is not Outcome.CONNECTION_LOST or idle_ms == float("inf"):
            return False
        self._idle_limit_ms = min(self._idle_limit_ms, LIMIT_MARGIN * idle_ms)
        self._limit_holds_until = now + ROTATION_MS
        return True

    def must_close(self, idle_ms: float, now: float) -> bool:
        """Whether idle connections have to be closed before an attempt is sent on them."""
        return self._idle_limit_ms <= idle_ms < float("inf") and now < self._limit_holds_until
