"""Chooses the connection that makes room for a new one when the server is full."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

# s a new connection is protected from being closed: its first request may be in transit
FIRST_REQUEST_GRACE = 0.5
# s, from its handshake, a new connection is protected while others wait for its place
FIRST_REQUEST_GRACE_WHEN_FULL = 0.2
# s a connection is protected from eviction after an answer, which may still be in transit, and
# another request may follow it
MIN_IDLE_AFTER_ANSWER = 0.1
SLOW_REQUEST_TIME = 1.0  # s from which on an incomplete first request makes room for others


class EvictableConnection(Protocol):
    """A client connection, as far as the choice depends on it."""

    has_completed_request: bool
    waiting_since: float  # s

    @property
    def is_closable(self) -> bool:
        """Whether it is idle and no further request lies unread in the kernel."""

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has started and is incomplete."""

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has accepted all that was written."""


class ConnectionEviction:
    """The order in which connections are evicted; each group's oldest first.

    Connections that only discard what their client still sends; new ones that bring no request;
    first requests that come slowly; connections that are idle after a query, which are worth most.
    One with answers that its client does not read is none of them: its descriptor would stay taken.
    """

    def __init__(self, connections: Iterable[EvictableConnection]) -> None:
        self.lingering: dict[EvictableConnection, None] = {}  # oldest first
        # connections that are idle after a query, longest idle first
        self.idle_after_query: dict[EvictableConnection, None] = {}
        self._connections = connections

    def choose(self, now: float) -> EvictableConnection | None:
        """Return the connection to evict at the time `now` (s), if any."""
        return next(self._candidates(now), None)

    def choose_longest_idle(self) -> EvictableConnection | None:
        """Return the connection that has been idle longest after a query."""
        return next((one for one in self.idle_after_query if one.is_closable), None)

    def forget(self, connection: EvictableConnection) -> None:
        """Remove a connection that has closed."""
        self.lingering.pop(connection, None)
        self.idle_after_query.pop(connection, None)

    def _candidates(self, now: float) -> Iterator[EvictableConnection]:
        yield from (one for one in self.lingering if one.is_flushed)
        slow = []
        for one in self._connections:
            waited = now - one.waiting_since
            if one.has_completed_request or waited < FIRST_REQUEST_GRACE_WHEN_FULL:
                continue
            if one.is_closable and one.is_flushed:
                yield one
            elif one.is_mid_request and waited >= SLOW_REQUEST_TIME:
                slow.append(one)
        yield from slow
        yield from self._idle_after_a_request(now)

    def _idle_after_a_request(self, now: float) -> Iterator[EvictableConnection]:
        used = [one for one in self._connections if one.has_completed_request]
        used.sort(key=lambda one: one.waiting_since)
        for one in used:
            is_protected = now - one.waiting_since < MIN_IDLE_AFTER_ANSWER or not one.is_flushed
            if not is_protected and one.is_closable:
                yield one
