"""The timers of a routing policy, kept in one queue for which the host holds a single timer."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

Callback = Callable[[Any, float], None]  # called with its argument and the current time in ms


class TimerQueue:
    """Callbacks by due time, and in the order of scheduling if due at the same time."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callback, Any]] = []
        self._sequence = 0
        self._host_timer_at = float("inf")

    def __len__(self) -> int:
        return len(self._entries)

    def schedule(self, time: float, callback: Callback, argument: Any) -> None:
        """Call `callback(argument, now)` in the first step at or after this time (ms)."""
        self._sequence += 1
        heapq.heappush(self._entries, (time, self._sequence, callback, argument))

    def overdue_ms(self, now: float) -> float:
        """How long the earliest timer has been due; 0 or less if none is."""
        return now - self._entries[0][0] if self._entries else 0.0

    def run_due(self, now: float) -> None:
        """Run all callbacks that are due, including those scheduled meanwhile."""
        entries = self._entries
        while entries and entries[0][0] <= now:
            _, _, callback, argument = heapq.heappop(entries)
            callback(argument, now)

    def next_host_timer_ms(self, now: float) -> float | None:
        """The delay for a new timer of the host; None if its present timer is early enough."""
        if not self._entries:
            return None
        due_at = self._entries[0][0]
        if due_at >= self._host_timer_at > now:
            return None
        self._host_timer_at = due_at
        return max(due_at - now, 0.0)
