"""Backoff between calls to service discovery after a failure."""

from __future__ import annotations

import random

from tansycrank.routing.settings import Settings

INITIAL_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_000.0
# Share of the drain grace, where lists are pushed: draining must be noticed in time.
MAX_PUSH_BACKOFF_SHARE = 0.25
MIN_JITTER = 0.5  # of a backoff; spreads the calls of routers that failed together


class DiscoveryBackoff:
    """Exponential backoff with jitter, since service discovery has little capacity."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        pushed_max_ms = MAX_PUSH_BACKOFF_SHARE * settings.drain_grace
        self._max_delay_ms = MAX_BACKOFF_MS if settings.polls_discovery else pushed_max_ms
        self._backoff_ms = INITIAL_BACKOFF_MS

    def next_delay_ms(self) -> float:
        """The delay in ms after a failed call; the backoff doubles for the next one."""
        delay_ms = min(self._backoff_ms, self._max_delay_ms) * self._rng.uniform(MIN_JITTER, 1.0)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        return delay_ms

    def reset(self) -> None:
        """Reset the backoff after a successful call."""
        self._backoff_ms = INITIAL_BACKOFF_MS
