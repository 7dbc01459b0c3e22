"""Times to come back: computed from a tenant's place and pace, spread out, and kept as
reservations.

A tenant's promises lie behind one another at the tenant's own pace, thinned by the share of its
clients that come back at all. All tenants' promises are noted in one book of short spans, each
filled no further than the router drains, so that those turned away in one second don't come back in
one. The book and the names are bounded; past the bound the time told is the same, only without a
place kept.
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
    """A kept place: of which query and session, when it is due, how long the wait was, what it will
    cost.
    """

    __slots__ = ("charge", "due", "kept", "mark", "session", "until", "wait")

    def __init__(self, mark: int, session: int, due: float, wait: float, charge: float) -> None:
        self.mark, self.session = mark, session
        self.due, self.wait, self.charge, self.kept = due, wait, charge, True
        self.until = due + max(KEPT * wait, KEPT_LEAST)


class Account:
    """The promises of one tenant."""

    __slots__ = ("count", "owed", "places", "show", "touched", "unnamed")

    def __init__(self) -> None:
        self.owed = 0.0  # charge of places kept
        self.unnamed = 0.0  # charge promised without a place; it runs off at the tenant's pace
        self.show = 1.0  # share of reservations that are taken up
        self.places: dict[
            int, OrderedDict[int, Place]
        ] = {}  # by query, then by session, the first due first
        self.count = 0
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
        self._expiry: list[tuple[float, int, str, Place]] = []
        self._number = 0

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
            self._next[number] = (
                number + 1
            )  # closed: looking through full pages again and again costs time
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

    def keep(
        self,
        account: Account,
        tenant: str,
        mark: int,
        session: int,
        now: float,
        due: float,
        charge: float,
    ) -> bool:
        """Keep a place; False where the bound is reached or the time is too far."""
        if self.kept >= self.bound or due > now + self.pages * SPAN:
            account.unnamed += charge
            return False
        place = Place(mark, session, due, due - now, charge)
        account.places.setdefault(mark, OrderedDict())[session] = place
        account.owed += charge
        account.count += 1
        self.kept += 1
        self._number += 1
        heapq.heappush(self._expiry, (place.until, self._number, tenant, place))
        return True

    def find(
        self, account: Account, mark: int, session: int, now: float
    ) -> tuple[Place | None, bool]:
        """(the place of a query, whether it is due).

        A place that is due is for whoever asks the same of the same client, on whatever session:
        pools change them. Before that it is for the session that was told; the same text of another
        is another query.
        """
        same = account.places.get(mark)
        if not same:
            return None, False
        first = next(iter(same.values()))
        if now >= self.opens(first):
            return first, True
        return same.get(session), False

    def take_up(self, account: Account, place: Place) -> None:
        """Its client has come as told."""
        self.drop(account, place)
        account.show += LEARN * (1.0 - account.show)

    @staticmethod
    def opens(place: Place) -> float:
        """When a place may be taken up: a little before its time, for clocks differ."""
        return place.due - max(EARLY * place.wait, EARLY_LEAST)

    def drop(self, account: Account, place: Place) -> None:
        """A place is no longer needed."""
        if not place.kept:
            return
        place.kept = False
        same = account.places[place.mark]
        del same[place.session]
        if not same:
            del account.places[place.mark]
        account.count -= 1
        account.owed = max(account.owed - place.charge, 0.0) if account.count else 0.0
        self.kept -= 1

    def drop_all(self, account: Account) -> None:
        """The tenant is forgotten."""
        for same in list(account.places.values()):
            for place in list(same.values()):
                self.drop(account, place)

    def expire(self, now: float, accounts) -> None:
        """Let go of places nobody came for; `accounts(tenant)` finds an account or None."""
        while self._expiry and self._expiry[0][0] <= now:
            _, _, tenant, place = heapq.heappop(self._expiry)
            account = accounts(tenant)
            if place.kept and account is not None:
                self.drop(account, place)
                account.show -= LEARN * account.show
        if len(self._expiry) > 2 * self.kept + 1024:  # danger: taken places would stay in the heap
            self._expiry = [entry for entry in self._expiry if entry[3].kept]
            heapq.heapify(self._expiry)
