"""Detects that service discovery has lost its version counter and restarted at a lower one."""

from __future__ import annotations

import random
from collections.abc import Callable

# Time for which all lists must have lower versions than the current one. The platform requires a
# router to apply a change within 6 s after discovery has it.
CONFIRMATION_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 1.0
MIN_JITTER_FACTOR = 0.75  # of the poll interval; the maximum is 1.25


class VersionResetDetector:
    """Distinguishes an outdated list, to be ignored, from a list after a reset of the versions.

    After an older list, calls `poll` periodically until `clear` is called: when a list of the
    current or a newer version arrives, or the reset is confirmed.
    """

    def __init__(self, reactor, seed: int, poll: Callable[[], None]) -> None:
        self._reactor, self._poll = reactor, poll
        self._random = random.Random(seed)
        self._first_older_list_at: float | None = None  # s; None after an accepted list
        self._timer = None

    @property
    def is_suspected(self) -> bool:
        """Whether a list of a lower version has arrived since the last accepted one."""
        return self._first_older_list_at is not None

    def observe_older_list(self, is_snapshot: bool) -> bool:
        """Record a list of a lower version; return whether it confirms a reset and applies."""
        now = self._reactor.seconds()
        if self._first_older_list_at is None:
            self._first_older_list_at = now
            self._schedule_poll()
        return is_snapshot and now - self._first_older_list_at >= CONFIRMATION_SECONDS

    def clear(self) -> None:
        """Stop suspecting a reset, because a list was accepted or the router stops."""
        self._first_older_list_at = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule_poll(self) -> None:
        jitter_factor = self._random.uniform(MIN_JITTER_FACTOR, 2 - MIN_JITTER_FACTOR)
        self._timer = self._reactor.callLater(jitter_factor * POLL_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._schedule_poll()
        self._poll()
