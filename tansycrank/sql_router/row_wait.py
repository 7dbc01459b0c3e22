"""Limit on the wait for the next row of a data node whose rows are being streamed to a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tansycrank.sql_router.connection_pool import OutgoingCall

UNREAD_RECHECK_MS = 50.0  # until bytes that have arrived are looked at


class RowWaitLimit:
    """Reports a call whose data node sends no complete row for `limit_ms`.

    Time in which the router does not read from the node, since the client is slow, does not count.
    What has arrived and was not read yet, as after a pause of the router, is read first, for at
    most `limit_ms` more: a node that floods with anything but rows has unread bytes all the time.
    """

    def __init__(
        self,
        reactor,
        limit_ms: float,
        call: OutgoingCall,
        on_exceeded: Callable[[OutgoingCall], None],
    ) -> None:
        self.limit_ms = limit_ms
        self._reactor, self._call, self._on_exceeded = reactor, call, on_exceeded
        self._timer = None
        self._overdue_since_ms: float | None = None
        self._schedule(limit_ms)

    def active(self) -> bool:
        """Whether the limit may still be exceeded."""
        return self._timer is not None and self._timer.active()

    def cancel(self) -> None:
        """Lift the limit, since the call has ended."""
        self._timer.cancel()

    def _schedule(self, wait_ms: float) -> None:
        self._timer = self._reactor.callLater(wait_ms / 1000, self._check)

    def _check(self) -> None:
        stream = self._call.stream
        if stream.is_paused:
            self._schedule(self.limit_ms)
            return
        now_ms = self._reactor.seconds() * 1000
        remaining_ms = stream.last_progress_ms + self.limit_ms - now_ms
        if remaining_ms > 0:
            self._overdue_since_ms = None
            self._schedule(remaining_ms)
        elif self._may_read_rows(now_ms):
            self._schedule(UNREAD_RECHECK_MS)
        else:
            self._on_exceeded(self._call)

    def _may_read_rows(self, now_ms: float) -> bool:
        """Whether unread bytes may hold rows that arrived in time."""
        if self._overdue_since_ms is None:
            self._overdue_since_ms = now_ms
        is_recent = now_ms - self._overdue_since_ms < self.limit_ms
        return is_recent and self._call.connection.has_unread_bytes
