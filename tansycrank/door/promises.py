"""Times to come back: computed from a tenant's place and pace, spread out, and kept as reservations.

A tenant's promises lie behind one another at the tenant's own pace, thinned by the share of its clients that
come back at all. All tenants' promises are noted in one book of short spans, each filled no further than the
router drains, so that those turned away in one second don't come back in one. The book and the names are
bounded; past the bound the time told is the same, only without a place kept.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict

SPAN = 50.0  # ms of a page of the book
EARLY = 0.1  # of the wait that a client may come early
EARLY_LEAST = 10.0  # ms
KEPT = 0.5  # of the wait that a place is kept past its time
KEPT_LEAST = 1000.0  # ms
SHOW_LEAST = 0.02  # no tenant's clients are thought to stay away more surely than this
LEARN = 0.05  # weight of the newest reservation in the share that comes back


class Place:
    """A kept place: when it is due, how long the wait was, what it will cost."""

    __slots__ = ("due", "until", "charge", "wait", "told")

    def __init__(self, due: float, wait: float, charge: float, told: float) -> None:
        self.due, self.wait, self.charge, self.told = due, wait, charge, told
        self.until = due + max(KEPT * wait, KEPT_LEAST)


class Account:
    """The promises of one tenant."""

    __slots__ = ("owed", "unnamed", "show", "places", "touched")

    def __init__(self) -> None:
        self.owed = 0.0  # charge of places kept
        self.unnamed = 0.0  # charge promised without a place; it runs off at the tenant's pace
        self.show = 1.0  # share of reservations that are taken up
        self.places: OrderedDict[int, Place] = OrderedDict()
        self.touched = 0.0

    def ahead(self, now: float, rate: float) -> float:
        """Charge that is likely to come back before a new promise."""
        self.unnamed = max(self.unnamed - (now - self.touched) * rate, 0.0)
        self.touched = now
        return (self.owed + self.unnamed) * max(self.show, SHOW_LEAST)


class Book:
    """All promises: pages of time, and the bound on places kept."""

    def __init__(self, places: int, horizon: float) -> None:
        self.bound, self.pages = places, max(int(horizon / SPAN), 1)
        self.kept = 0
        self._filled = [0.0] * self.pages
        self._page = 0  # the number of the first page
        self._next: dict[int, int] = {}  # of closed pages, where to look on
        self._expiry: list[tuple[float, str, int, Place]] = []

    def _turn(self, now: float) -> None:
        page = int(now / SPAN)
        for number in range(self._page, min(page, self._page + self.pages)):
            self._filled[number % self.pages] = 0.0
            self._next.pop(number, None)
        self._page = max(self._page, page)

    def slot(self, now: float, due: float, charge: float, rate: float) -> float:
        """The first moment from `due` on at which the book has room; notes it there."""
        self._turn(now)
        room = max(rate * SPAN, charge)
        number = max(int(due / SPAN), self._page)
        end = self._page + self.pages
        while number < end:
            number = self._open(number)
            if number >= end or self._filled[number % self.pages] + charge <= room:
                break
            self._next[number] = number + 1  # closed: looking through full pages again and again costs time
            number += 1
        if number >= end:
            return max(due, end * SPAN)
        filled = self._filled[number % self.pages]
        self._filled[number % self.pages] = filled + charge
        return max(due, number * SPAN + filled / room * SPAN)

    def _open(self, number: int) -> int:
        """The first page from this one on that is not closed."""
        path = []
        while (following := self._next.get(number)) is not None:
            path.append(number)
            number = following
        for one in path:
            self._next[one] = number
        return number

    def keep(self, account: Account, tenant: str, mark: int, now: float, due: float, charge: float) -> bool:
        """Keep a place; False where the bound is reached or the time is too far."""
        if self.kept >= self.bound or due > now + self.pages * SPAN:
            account.unnamed += charge
            return False
        place = Place(due, due - now, charge, now)
        account.places[mark] = place
        account.owed += charge
        self.kept += 1
        heapq.heappush(self._expiry, (place.until, tenant, mark, place))
        return True

    def find(self, account: Account, mark: int, now: float) -> tuple[Place | None, bool]:
        """(the place of a query, whether it is due); one that is due is taken up."""
        place = account.places.get(mark)
        if place is None:
            return None, False
        if now < self.opens(place):
            return place, False
        self.drop(account, mark)
        account.show += LEARN * (1.0 - account.show)
        return place, True

    @staticmethod
    def opens(place: Place) -> float:
        """When a place may be taken up: a little before its time, for clocks differ."""
        return place.due - max(EARLY * place.wait, EARLY_LEAST)

    def drop(self, account: Account, mark: int) -> None:
        """A place is no longer needed."""
        place = account.places.pop(mark, None)
        if place is not None:
            account.owed = max(account.owed - place.charge, 0.0) if account.places else 0.0
            self.kept -= 1

    def expire(self, now: float, accounts) -> None:
        """Let go of places nobody came for; `accounts(tenant)` finds an account or None."""
        while self._expiry and self._expiry[0][0] <= now:
            _, tenant, mark, place = heapq.heappop(self._expiry)
            account = accounts(tenant)
            if account is not None and account.places.get(mark) is place:
                self.drop(account, mark)
                account.show -= LEARN * account.show
        if len(self._expiry) > 2 * self.kept + 1024:  # danger: taken places would stay in the heap
            alive = [e for e in self._expiry if (a := accounts(e[1])) and a.places.get(e[2]) is e[3]]
            heapq.heapify(alive)
            self._expiry = alive
