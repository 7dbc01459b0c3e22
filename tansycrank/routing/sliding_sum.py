"""A sum over a sliding time window."""

from __future__ import annotations

from collections import deque


class SlidingSum:
    """The sum of the numbers added within the last `span_ms` milliseconds."""

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._entries: deque[tuple[float, int]] = deque()
        self._sum = 0

    def add(self, now: float, number: int = 1) -> None:
        """Add a number."""
        self._entries.append((now, number))
        self._sum += number
        self.total(now)  # drops expired entries even if the sum is rarely read

    def total(self, now: float) -> int:
        """The sum of the entries younger than the span."""
        while self._entries and self._entries[0][0] <= now - self._span_ms:
            self._sum -= self._entries.popleft()[1]
        return self._sum

    def total_within(self, now: float, span_ms: float) -> int:
        """The sum of the entries younger than `span_ms`, which is at most the span of this sum."""
        self.total(now)
        recent_total = 0
        for time, number in reversed(self._entries):
            if time <= now - span_ms:
                break
            recent_total += number
        return recent_total
