"""Detects that service discovery has lost its versions and counts from a lower number again."""

from __future__ import annotations

import random
from collections.abc import Callable

# s for which all lists must have lower versions than the one held: the platform holds a router to
# a change 6 s after discovery had it
CONFIRMATION_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 1.0
MIN_JITTER = 0.75  # of the interval between polls, 1.25 at most


class VersionResetDetector:
    """Tells an outdated list, which is ignored, from the first one after a reset.

    `poll` is called until a list of the version held or a newer one comes, or the reset is
    confirmed.
    """

    def __init__(self, reactor, seed: int, poll: Callable[[], None]) -> None:
        self._reactor, self._poll = reactor, poll
        self._random = random.Random(seed)
        self._first_at: float | None = None  # s: the first older list since the last newer one
        self._timer = None

    @property
    def is_suspected(self) -> bool:
        """Whether only lists of lower versions have come since some time."""
        return self._first_at is not None

    def observe_older_list(self, is_snapshot: bool) -> bool:
        """Note a list of a lower version than the one held; whether it has to be believed."""
        now = self._reactor.seconds()
        if self._first_at is None:
            self._first_at = now
            self._schedule_poll()
        return is_snapshot and now - self._first_at >= CONFIRMATION_SECONDS

    def clear(self) -> None:
        """Note a list that was believed."""
        self._first_at = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule_poll(self) -> None:
        jitter = self._random.uniform(MIN_JITTER, 2 - MIN_JITTER)
        self._timer = self._reactor.callLater(jitter * POLL_INTERVAL_SECONDS, self._on_timer)

    def _on_timer(self) -> None:
        self._schedule_poll()
        self._poll()
