"""Detection of connections that were closed while idle, which is no endpoint failure."""

from __future__ import annotations

from tansycrank.routing.events import Outcome
from tansycrank.routing.latency_window import ROTATION_MS
from tansycrank.routing.query import Attempt

IMMEDIATE_SHARE = 0.5  # of the unloaded latency; a connection lost sooner was closed beforehand
LIMIT_MARGIN = 0.8  # of the shortest idle time after which a connection was found closed


class IdleConnections:
    """Learns after which idle time connections are closed silently, for example by a middlebox."""

    def __init__(self) -> None:
        self._idle_limit_ms = float("inf")
        self._limit_holds_until = float("-inf")

    def closed_while_idle(
        self,
        attempt: Attempt,
        outcome: Outcome,
        latency: float,
        unloaded_latency_ms: float,
        now: float,
    ) -> bool:
        """Whether an attempt was lost on a connection closed while idle; learns the limit."""
        idle_ms = attempt.connection_idle_ms
        is_immediate = latency < min(IMMEDIATE_SHARE * unloaded_latency_ms, idle_ms)
        if not is_immediate or outcome is not Outcome.CONNECTION_LOST or idle_ms == float("inf"):
            return False
        self._idle_limit_ms = min(self._idle_limit_ms, LIMIT_MARGIN * idle_ms)
        self._limit_holds_until = now + ROTATION_MS
        return True

    def must_close(self, idle_ms: float, now: float) -> bool:
        """Whether connections idle for that long have to be closed before the next attempt."""
        return self._idle_limit_ms <= idle_ms < float("inf") and now < self._limit_holds_until
