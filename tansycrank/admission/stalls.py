"""Stalls of the reactor thread, which must not count as service time of data nodes."""

from __future__ import annotations

from tansycrank.admission.concurrency_limit import MIN_INTERVAL_MS


class StallTracker:
    """The latest stall of the reactor thread. Times are in ms."""

    def __init__(self) -> None:
        self._length = 0.0
        self._ended_at = 0.0

    def record(self, now: float, lag: float) -> None:
        """Record the lag of a timer; a lag above the minimum measuring interval is a stall."""
        if lag > MIN_INTERVAL_MS:
            self._length, self._ended_at = lag, now

    def without_stall(self, started_at: float, latency: float) -> float:
        """The latency of a query without the latest stall, if it was in flight during it."""
        stall = self._length if started_at < self._ended_at else 0.0
        return max(latency - stall, 0.0)
