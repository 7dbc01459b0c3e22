"""Stalls of the router's own thread, which must not count as work of data nodes."""

from __future__ import annotations

from tansycrank.admission.concurrency_limit import INTERVAL_MS


class StallTracker:
    """The latest stall of the reactor thread; times are ms."""

    def __init__(self) -> None:
        self._length = 0.0
        self._ended_at = 0.0

    def record(self, now: float, late: float) -> None:
        """A timer expired so late; more than a measuring interval is a stall."""
        if late > INTERVAL_MS:
            self._length, self._ended_at = late, now

    def without_stall(self, started_at: float, latency: float) -> float:
        """The latency of a query, less a stall that it was in flight during."""
        stall = self._length if started_at < self._ended_at else 0.0
        return max(latency - stall, 0.0)
