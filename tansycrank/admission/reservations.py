"""Reservations: the times at which rejected queries are told to return, spread out over time.

Reservations of a tenant follow one another at the tenant's rate, scaled by the share of its clients
that return. All reservations are booked into short spans of time, each filled no further than the
drain rate allows, so that queries rejected at the same time do not return at the same time. Their
number is bounded: beyond it the Retry-After is computed as usual, but nothing is reserved.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict

SPAN_MS = 50.0  # of one span
EARLY_SHARE = 0.1  # of the Retry-After by which a client may return early
MIN_EARLY_MS = 10.0  # ms
EXPIRY_SHARE = 0.5  # of the Retry-After for which a reservation outlives its due time
MIN_EXPIRY_MS = 1000.0  # ms
MIN_RETURN_SHARE = 0.02
RETURN_SHARE_SMOOTHING = 0.05


class Reservation:
    """A kept place: of which query and session, when it is due, how long the wait was, what it will
    cost.
    """

    __slots__ = ("cost", "due_at", "expires_at", "fingerprint", "is_active", "session", "wait")

    def __init__(
        self, fingerprint: int, session: int, due_at: float, wait: float, cost: float
    ) -> None:
        self.fingerprint, self.session = fingerprint, session
        self.due_at, self.wait, self.cost, self.is_active = due_at, wait, cost, True
        self.expires_at = due_at + max(EXPIRY_SHARE * wait, MIN_EXPIRY_MS)


class TenantReservations:
    """Reservations of one tenant."""

    __slots__ = (
        "by_fingerprint", "count", "reserved_cost", "return_share", "unreserved_cost", "updated_at",
    )  # fmt: skip

    def __init__(self) -> None:
        self.reserved_cost = 0.0  # of reservations
        self.unreserved_cost = (
            0.0  # charge promised without a place; it runs off at the tenant's pace
        )
        self.return_share = 1.0  # share of reservations that are taken up
        self.by_fingerprint: dict[
            int, OrderedDict[int, Reservation]
        ] = {}  # by query, then by session, the first due first
        self.count = 0
        self.updated_at = 0.0

    def cost_ahead(self, now: float, rate: float) -> float:
        """The cost that is expected to return before a new reservation."""
        self.unreserved_cost = max(self.unreserved_cost - (now - self.updated_at) * rate, 0.0)
        self.updated_at = now
        return (self.reserved_cost + self.unreserved_cost) * max(
            self.return_share, MIN_RETURN_SHARE
        )


class ReservationBook:
    """Reservations of all tenants, booked into spans of time."""

    def __init__(self, max_reservations: int, horizon: float) -> None:
        self.max_reservations, self.span_count = max_reservations, max(int(horizon / SPAN_MS), 1)
        self.count = 0
        self._booked_cost = [0.0] * self.span_count
        self._first_span = 0
        self._next_open: dict[int, int] = {}  # from full spans to the next candidate
        self._expiry_heap: list[tuple[float, int, str, Reservation]] = []
        self._sequence = 0

    def _advance(self, now: float) -> None:
        span = int(now / SPAN_MS)
        for number in range(self._first_span, min(span, self._first_span + self.span_count)):
            self._booked_cost[number % self.span_count] = 0.0
            self._next_open.pop(number, None)
        self._first_span = max(self._first_span, span)

    def book_time(self, now: float, due_at: float, cost: float, rate: float) -> float:
        """Book the first time from `due_at` on with free capacity; returns that time."""
        self._advance(now)
        capacity = max(rate * SPAN_MS, cost)
        number = max(int(due_at / SPAN_MS), self._first_span)
        end = self._first_span + self.span_count
        while number < end:
            number = self._first_open_span(number)
            if number >= end or self._booked_cost[number % self.span_count] + cost <= capacity:
                break
            self._next_open[number] = (
                number + 1
            )  # closed: looking through full pages again and again costs time
            number += 1
        if number >= end:
            return max(due_at, end * SPAN_MS)
        filled = self._booked_cost[number % self.span_count]
        self._booked_cost[number % self.span_count] = filled + cost
        return max(due_at, number * SPAN_MS + filled / capacity * SPAN_MS)

    def _first_open_span(self, number: int) -> int:
        """The first span from this one on that is not full."""
        path = []
        while (following := self._next_open.get(number)) is not None:
            path.append(number)
            number = following
        for one in path:
            self._next_open[one] = number
        return number

    def add(
        self,
        owner: TenantReservations,
        tenant: str,
        fingerprint: int,
        session: int,
        now: float,
        due_at: float,
        cost: float,
    ) -> bool:
        """Add a reservation; False where the bound or the horizon is passed."""
        if self.count >= self.max_reservations or due_at > now + self.span_count * SPAN_MS:
            owner.unreserved_cost += cost
            return False
        reservation = Reservation(fingerprint, session, due_at, due_at - now, cost)
        owner.by_fingerprint.setdefault(fingerprint, OrderedDict())[session] = reservation
        owner.reserved_cost += cost
        owner.count += 1
        self.count += 1
        self._sequence += 1
        heapq.heappush(
            self._expiry_heap, (reservation.expires_at, self._sequence, tenant, reservation)
        )
        return True

    def find(
        self, owner: TenantReservations, fingerprint: int, session: int, now: float
    ) -> tuple[Reservation | None, bool]:
        """(The reservation of a query, whether it is due).

        A due reservation serves any session of the client, since connection pools change sessions.
        Before that it belongs to the session that was told: the same text in another session is
        another query.
        """
        matching = owner.by_fingerprint.get(fingerprint)
        if not matching:
            return None, False
        first = next(iter(matching.values()))
        if now >= self.valid_from(first):
            return first, True
        return matching.get(session), False

    def redeem(self, owner: TenantReservations, reservation: Reservation) -> None:
        """The client returned as told."""
        self.remove(owner, reservation)
        owner.return_share += RETURN_SHARE_SMOOTHING * (1.0 - owner.return_share)

    @staticmethod
    def valid_from(reservation: Reservation) -> float:
        """When a reservation is valid: a little before its time, since clocks differ."""
        return reservation.due_at - max(EARLY_SHARE * reservation.wait, MIN_EARLY_MS)

    def remove(self, owner: TenantReservations, reservation: Reservation) -> None:
        """Remove a reservation."""
        if not reservation.is_active:
            return
        reservation.is_active = False
        matching = owner.by_fingerprint[reservation.fingerprint]
        del matching[reservation.session]
        if not matching:
            del owner.by_fingerprint[reservation.fingerprint]
        owner.count -= 1
        owner.reserved_cost = (
            max(owner.reserved_cost - reservation.cost, 0.0) if owner.count else 0.0
        )
        self.count -= 1

    def remove_all(self, owner: TenantReservations) -> None:
        """Remove all reservations of a tenant that is evicted."""
        for matching in list(owner.by_fingerprint.values()):
            for reservation in list(matching.values()):
                self.remove(owner, reservation)

    def expire(self, now: float, find_owner) -> None:
        """Let go of places nobody came for; `accounts(tenant)` finds an account or None."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, _, tenant, reservation = heapq.heappop(self._expiry_heap)
            owner = find_owner(tenant)
            if reservation.is_active and owner is not None:
                self.remove(owner, reservation)
                owner.return_share -= RETURN_SHARE_SMOOTHING * owner.return_share
        if (
            len(self._expiry_heap) > 2 * self.count + 1024
        ):  # the heap keeps removed entries until they expire
            self._expiry_heap = [entry for entry in self._expiry_heap if entry[3].is_active]
            heapq.heapify(self._expiry_heap)
