"""A timer queue that needs only a single timer of the host."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

Callback = Callable[[Any, float], None]  # called with its argument and the current time in ms


class TimerQueue:
    """Callbacks ordered by due time; those due at the same time run in order of scheduling."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Callback, Any]] = []
        self._sequence = 0
        self._host_timer_at = float("inf")

    def __len__(self) -> int:
        return len(self._entries)

    def schedule(self, time: float, callback: Callback, argument: Any) -> None:
        """Call `callback(argument, now)` in the first step at or after `time` (ms)."""
        self._sequence += 1
        heapq.heappush(self._entries, (time, self._sequence, callback, argument))

    def overdue_ms(self, now: float) -> float:
        """How long the earliest timer has been due; 0 or less if none is due."""
        return now - self._entries[0][0] if self._entries else 0.0

    def run_due(self, now: float) -> None:
        """Run all due callbacks, including due ones that other callbacks schedule."""
        entries = self._entries
        while entries and entries[0][0] <= now:
            _, _, callback, argument = heapq.heappop(entries)
            callback(argument, now)

    def next_host_timer_ms(self, now: float) -> float | None:
        """The delay (ms) for a new host timer; None if the pending one is early enough."""
        if not self._entries:
            return None
        due_at = self._entries[0][0]
        if due_at >= self._host_timer_at > now:
            return None
        self._host_timer_at = due_at
        return max(due_at - now, 0.0)
