"""Memory for large request bodies, reserved before they are read."""

from __future__ import annotations

from typing import Protocol


class ReservationHolder(Protocol):
    """A connection whose client has begun to send a large body."""

    def on_reserved(self) -> None:
        """Read the body: its memory is reserved."""


class BodyReservations:
    """Reserves at most `limit_bytes`; bodies above that wait, unread, in the order they came.

    Without a reservation every connection could hold a part of a large body, and none of them
    would ever be complete.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.may_wait = True  # otherwise a body above the limit is to be rejected at once
        self._sizes: dict[ReservationHolder, int] = {}
        self._waiting: dict[ReservationHolder, int] = {}

    @property
    def waiting(self) -> int:
        """Number of bodies that wait for memory."""
        return len(self._waiting)

    def reserve(self, holder: ReservationHolder, size: int) -> bool:
        """Reserve memory now and return True, or call `on_reserved` once there is some."""
        if holder in self._sizes:
            return True
        if self._waiting or not self._fits(size):
            self._waiting[holder] = size
            return False
        self._add(holder, size)
        return True

    def release(self, holder: ReservationHolder) -> None:
        """Give back what a holder has reserved, or drop it from those that wait."""
        self._waiting.pop(holder, None)
        self.reserved_bytes -= self._sizes.pop(holder, 0)
        self._reserve_waiting()

    def _reserve_waiting(self) -> None:
        while self._waiting:
            holder, size = next(iter(self._waiting.items()))
            if not self._fits(size):
                return
            del self._waiting[holder]
            self._add(holder, size)
            holder.on_reserved()

    def _fits(self, size: int) -> bool:
        return not self._sizes or self.reserved_bytes + size <= self.limit_bytes

    def _add(self, holder: ReservationHolder, size: int) -> None:
        self._sizes[holder] = size
        self.reserved_bytes += size
