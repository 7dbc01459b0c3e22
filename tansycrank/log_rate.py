"""Limits the number of log lines of a kind. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

WINDOW_SECONDS = 1.0


class LogRateLimiter:
    """Allows some lines of each kind in `WINDOW_SECONDS`, and counts those that it denies."""

    def __init__(self, max_lines: int) -> None:
        self._max_lines = max_lines
        self._lines: Counter[Hashable] = Counter()
        self._window_start = float("-inf")  # s
        self._denied = 0

    def allows(self, kind: Hashable, now: float) -> bool:
        """Whether a line of this kind may be logged at `now` (s)."""
        if now - self._window_start >= WINDOW_SECONDS:
            self._window_start = now
            self._lines.clear()
        self._lines[kind] += 1
        is_allowed = self._lines[kind] <= self._max_lines
        self._denied += not is_allowed
        return is_allowed

    def take_denied(self) -> int:
        """Return how many lines were denied since the last call."""
        denied, self._denied = self._denied, 0
        return denied
