"""Decisions at the door: which query is let in when, which waits, which is told to come back, and
when.

No I/O and no clock: `step(now, events) -> actions`, times in ms. A query is let in at once while
there is room inside; else it waits by its tenant's, its client's and its class's turn, as long as
its turn comes in time; else it hears at once when to come back. What the module would refuse is the
module's to refuse.
"""

from __future__ import annotations

import heapq
import math
from array import array
from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

import xxhash

from tansycrank.admission.concurrency_limit import SPAN, Limit
from tansycrank.admission.cost_estimates import Costs
from tansycrank.admission.fair_queue import Clients, Level, Ticket
from tansycrank.admission.reservations import Account, Book

LEAST_WORK = 0.1  # of the time inside that counts as work at least
SMALL = 8.0  # times smaller than the mean of what is here: light
PAST = 0.25  # of the limit that light queries may hold beside it
LEFT = 0.02  # of its pace that a tenant's newcomers have at least beside those who come back
MEMORY = 2000.0  # ms over which a tenant's demand is remembered
TRIES = 8  # tenants looked at for one that can be forgotten
SHARED = 64  # lines that tenants share who can't be known exactly
ROWS, CELLS = 4, 4096  # of the sketch of tenants forgotten
CHANGES = 1024  # tenants whose limits were changed at run time


@dataclass(frozen=True, slots=True)
class Limits:
    """What a tenant may have: weight, least and greatest share of the router, burst in ms of its
    share.
    """

    weight: float = 1.0
    min_share: float = 0.0
    max_share: float = 1.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of the door: queries and bytes in line, tenants known, places kept, how far ahead
    (ms).
    """

    classes: tuple[float, ...] = (1.0,)  # their weights within a client
    useful: tuple[
        float, ...
    ] = ()  # ms after which an answer of the class is worth nothing; () for never
    queries: int = 1000
    bytes: int = 16 * 1024 * 1024
    tenants: int = 4096
    places: int = 50_000
    horizon: float = 60_000.0


# events


@dataclass(frozen=True, slots=True)
class Arrived:
    """A query asks to be let in. `mark` tells it from others of its client; `repeat`: the client
    says so.
    """

    id: int
    tenant: str
    client: str
    query_class: int
    parts: int
    remaining: float
    statement: int = 0
    mark: int = 0
    size: int = 0
    repeat: bool = False
    limits: Limits = Limits()
    session: int = 0


@dataclass(frozen=True, slots=True)
class Left:
    """A query's client has gone, or cancelled it, while it waited."""

    id: int


@dataclass(frozen=True, slots=True)
class Ended:
    """A query let in has ended: "answered", "refused", "failed" or "cancelled"."""

    id: int
    kind: str
    took: float
    hold_off: float = 0.0  # ms the module asked for


@dataclass(frozen=True, slots=True)
class Tick:
    """A wake-up, and how late it came."""

    late: float = 0.0


@dataclass(frozen=True, slots=True)
class Changed:
    """An operator gave a tenant other limits."""

    tenant: str
    limits: Limits


# actions


@dataclass(frozen=True, slots=True)
class Admit:
    """Let it in now."""

    id: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer it now: come back in `wait` ms. `corrected`: an earlier promise could not be held."""

    id: int
    wait: float
    reason: str
    corrected: bool = False


@dataclass(frozen=True, slots=True)
class Wake:
    """Step again at this time, ms."""

    at: float


MOST_PROMISED = 0.9  # of the router that all least shares together may be


class Sketch:
    """The finish tags of tenants forgotten, never told too early by more than a collision allows.

    A tag once passed by the virtual time means nothing any more, so that nothing needs to be
    cleared.
    """

    def __init__(self) -> None:
        self._rows = [array("d", bytes(8 * CELLS)) for _ in range(ROWS)]

    def _cells(self, key: str) -> Iterable[tuple[array, int]]:
        number = xxhash.xxh3_64_intdigest(key.encode())
        for row in self._rows:
            yield row, number % CELLS
            number //= CELLS

    def note(self, key: str, tag: float) -> None:
        """A tenant is forgotten at this tag."""
        for row, cell in self._cells(key):
            row[cell] = max(row[cell], tag)

    def tag(self, key: str) -> float:
        """The tag at which it may go on."""
        return min(row[cell] for row, cell in self._cells(key))


class Recent:
    """Charge of late: a sum that fades over `memory` ms."""

    __slots__ = ("_at", "_sum", "memory")

    def __init__(self, memory: float) -> None:
        self.memory, self._sum, self._at = memory, 0.0, 0.0

    def add(self, now: float, charge: float) -> None:
        """So much more."""
        self._sum, self._at = self.rate(now) * self.memory + charge, now

    def rate(self, now: float) -> float:
        """Charge a ms."""
        return self._sum * math.exp((self._at - now) / self.memory) / self.memory


class Tenant:
    """A tenant known exactly."""

    __slots__ = (
        "account",
        "admitted",
        "answered",
        "arrived",
        "asked",
        "charged",
        "corrected",
        "early",
        "inside",
        "key",
        "left",
        "limits",
        "line",
        "parked",
        "rate",
        "refused",
        "returns",
        "seen",
        "wait",
    )  # fmt: skip

    def __init__(self, key: str, limits: Limits, class_weights: tuple[float, ...]) -> None:
        self.key, self.limits = key, limits
        self.line, self.account = Clients(limits.weight, class_weights), Account()
        self.inside = 0  # parts
        self.rate = 0.0  # charge a ms it can count on
        self.parked = False  # at its greatest share
        self.seen = 0.0
        self.asked, self.returns = Recent(MEMORY), Recent(MEMORY / 2)
        self.arrived = self.admitted = self.answered = self.refused = 0
        self.corrected = self.early = self.left = 0
        self.wait = 0.0  # the last promise, ms
        self.charged = 0.0

    def asks(self, now: float, charge: float) -> None:
        """It has sent something new."""
        self.asked.add(now, charge)
        self.seen = now

    @property
    def busy(self) -> bool:
        """Whether something of it waits or runs."""
        return bool(self.line) or self.inside > 0


class Policy:
    """The door of one router."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.costs, self.limit = Costs(len(settings.classes)), Limit()
        self.book = Book(settings.places, settings.horizon)
        self.root, self.sketch = Level(), Sketch()
        self.tenants: OrderedDict[str, Tenant] = OrderedDict()
        self.waiting: dict[int, Ticket] = {}
        self.inside: dict[int, Ticket] = {}
        self.parts = self.bytes = 0  # inside; in line
        self.charge = self.inside_charge = 0.0  # of all that wait, of all inside
        self.light = 0  # parts inside of light queries that were let past the line
        self.changed: dict[str, Limits] = {}
        self.counts = dict.fromkeys(
            ("arrived", "admitted", "line", "late", "full", "pushed", "module", "early", "returned",
             "corrected", "left", "forgotten", "shared"), 0
        )  # fmt: skip
        self._expiry: list[tuple[float, int]] = []
        self._out: list[Admit | Refuse | Wake] = []
        self._long: list[tuple[float, str]] = []  # tenants by what they had in line
        self._stall = self._stalled_at = 0.0
        self._shared = 0  # lines of tenants that can't be known exactly
        self._level = math.inf  # charge a ms and weight of those who want more
        self._acts = {
            Arrived: self._arrived,
            Left: self._left,
            Ended: self._ended,
            Tick: self._tick,
            Changed: self._change,
        }

    def step(self, now: float, events: Iterable[object]) -> list[Admit | Refuse | Wake]:
        """What follows from what happened, in order."""
        self._out = []
        for event in events:
            self._acts[type(event)](now, event)
        self._expire(now)
        if self.limit.turn(now):
            self._shares(now)
        self._let_in(now)
        if self._expiry:
            self._out.append(Wake(self._expiry[0][0]))
        return self._out

    # --- tenants ------------------------------------------------------------------------

    def _tenant(self, now: float, key: str, limits: Limits) -> Tenant:
        tenant = self.tenants.get(key)
        if tenant is None:
            crowded = len(self.tenants) - self._shared >= self.settings.tenants
            if crowded and not self._forget_one() and not limits.min_share:
                self.counts["shared"] += 1
                key = f"~{xxhash.xxh3_64_intdigest(key.encode()) % SHARED}"
                limits = Limits()
                if key in self.tenants:
                    return self.tenants[key]
                self._shared += 1
            limits = self.changed.get(key, limits)
            tenant = self.tenants[key] = Tenant(key, limits, self.settings.classes)
            tenant.line.finish = self.sketch.tag(key)
            tenant.rate = self._guess(limits)
        self.tenants.move_to_end(key)
        return tenant

    def _forget_one(self) -> bool:
        """Make room for another tenant: of those not seen for longest, the one served least.

        Danger: by age alone, names made up in passing would drive out who asks steadily.
        """
        victim: Tenant | None = None
        for _ in range(min(TRIES, len(self.tenants))):
            key, tenant = next(iter(self.tenants.items()))
            self.tenants.move_to_end(key)
            kept = tenant.busy or tenant.limits.min_share > 0 or key[0] == "~"
            if not kept and (victim is None or tenant.charged < victim.charged):
                victim = tenant
        if victim is None:
            return False
        self.book.drop_all(victim.account)
        del self.tenants[victim.key]
        self.sketch.note(victim.key, max(victim.line.finish, victim.line.start))
        self.counts["forgotten"] += 1
        return True

    def _change(self, now: float, event: Changed) -> None:
        if event.tenant not in self.changed and len(self.changed) >= CHANGES:
            del self.changed[next(iter(self.changed))]
        self.changed[event.tenant] = event.limits
        tenant = self.tenants.get(event.tenant)
        if tenant is not None:
            tenant.limits = event.limits
            tenant.line.weight = event.limits.weight
            self._unpark(tenant)
        self._shares(now)

    # --- shares -------------------------------------------------------------------------

    @property
    def drain(self) -> float:
        """Charge a ms the router gets done when it is full."""
        if self.limit.rate > 0:
            return self.limit.rate
        return self.limit.parts / self.costs.mean if self.costs.mean > 0 else math.inf

    def _guess(self, limits: Limits) -> float:
        drain = self.drain
        if drain == math.inf:
            return math.inf
        level = self._level if self._level < math.inf else drain
        return min(max(limits.weight * level, limits.min_share * drain), limits.max_share * drain)

    def _shares(self, now: float) -> None:
        """What each tenant can count on: water is filled into demands by weight until all drains."""
        drain = self.drain
        if drain == math.inf:
            return
        plain: list[tuple[float, float, Tenant]] = []
        special: list[tuple[float, Tenant]] = []
        for tenant in self.tenants.values():
            hungry = bool(tenant.line) or tenant.account.owed > 0
            if not hungry and now - tenant.seen > 5 * MEMORY:
                continue
            demand = math.inf if hungry else tenant.asked.rate(now)
            if tenant.limits.min_share > 0 or tenant.limits.max_share < 1:
                special.append((demand, tenant))
            else:
                plain.append((demand / tenant.limits.weight, tenant.limits.weight, tenant))
        plain.sort(key=lambda item: item[0])
        levels = [item[0] for item in plain]
        weights = [0.0, *accumulate(item[1] for item in plain)]
        wants = [
            0.0,
            *accumulate(0.0 if item[0] == math.inf else item[0] * item[1] for item in plain),
        ]
        level, taken = drain, 0.0
        for _ in range(4):  # what the special take moves the level, and the level what they take
            left = max(drain - taken, 0.05 * drain)
            level = _level(levels, weights, wants, left)
            taken = 0.0
            for demand, tenant in special:
                taken += min(demand, self._bounded(tenant.limits, level, drain))
        self._level = level
        for _, tenant in special:
            tenant.rate = self._bounded(tenant.limits, level, drain)
            weight = tenant.limits.weight
            tenant.line.weight = max(weight, tenant.rate / level) if level < math.inf else weight
        for _, weight, tenant in plain:
            tenant.rate = min(weight * level, drain)
        for *_, tenant in (*special, *plain):
            tenant.line.burst = tenant.limits.burst * tenant.rate / tenant.line.weight

    def _bounded(self, limits: Limits, level: float, drain: float) -> float:
        least, most = limits.min_share * drain, limits.max_share * drain
        return min(max(limits.weight * level, least), most) if level < math.inf else most

    # --- queries ------------------------------------------------------------------------

    def _arrived(self, now: float, event: Arrived) -> None:
        tenant = self._tenant(now, event.tenant, event.limits)
        charge = self.costs.expect(event.query_class, event.statement, event.parts)
        needs = self.costs.needs(event.query_class, event.statement) + self.limit.wait
        leave_by = now + self._useful(event) - needs
        ticket = Ticket(
            event.id, tenant.key, event.client, event.query_class, event.statement, event.parts, charge,
            event.size, leave_by, event.mark, event.session,
        )  # fmt: skip
        self.counts["arrived"] += 1
        place, due = self.book.find(tenant.account, event.mark, event.session, now)
        if place is None and not event.repeat:
            tenant.arrived += 1
            tenant.asks(now, charge)
        ticket.returning = due
        if due:
            self.book.take_up(tenant.account, place)
            self.counts["returned"] += 1
            tenant.returns.add(now, charge)
        light = self._light(charge)
        if self._room(tenant) or (light and self._under_ceiling(tenant, event.parts)):
            ticket.light = light
            if place is not None and not due:
                self.book.drop(tenant.account, place)
            self.root.pass_by(tenant.line, charge)
            self._admit(now, tenant, ticket)
        elif place is not None and not due:  # too early: the same time again, counted once
            tenant.early += 1
            self.counts["early"] += 1
            self._out.append(Refuse(ticket.id, place.due - now, "early"))
        elif self._turn(now, tenant, ticket) > ticket.leave_by:
            self._refuse(now, tenant, ticket, "line")
        elif self._fits(now, tenant, ticket):
            self._enter(tenant, ticket)

    def _useful(self, event: Arrived) -> float:
        """Ms for which an answer is worth something."""
        useful = self.settings.useful
        return min(event.remaining, useful[event.query_class]) if useful else event.remaining

    def pressed(self, key: str) -> bool:
        """Whether a new query of this tenant could be turned away."""
        tenant = self.tenants.get(key)
        return tenant is not None and not self._room(tenant)

    def hopeless(self, now: float, event: Arrived) -> bool:
        """Whether a query of which only sender and text are known would be refused, if it has one
        part.

        Nothing is noted; who has a chance comes again when its statement is understood.
        """
        tenant = self.tenants.get(event.tenant)
        if tenant is None or self._room(tenant):
            return False
        charge = self.costs.expect(event.query_class, event.statement, 1)
        place, due = self.book.find(tenant.account, event.mark, event.session, now)
        if place is not None:
            return not due
        if self._light(charge):
            return False
        leave_by = now + self._useful(event)
        ticket = Ticket(0, tenant.key, event.client, event.query_class, 0, 1, charge, 0, leave_by)
        return self._turn(now, tenant, ticket) > ticket.leave_by

    def _light(self, charge: float) -> bool:
        """Whether a query is so small beside what is here that it need not wait for it.

        Danger: large ones hold their room for long, and each look-up would wait for one to end.
        """
        count = len(self.inside) + len(self.waiting)
        if not count or self.light >= max(PAST * self.limit.parts, 1.0):
            return False
        return charge * SMALL <= (self.inside_charge + self.charge) / count

    def _room(self, tenant: Tenant) -> bool:
        """Whether a query can go straight in: nobody waits whose turn it would be."""
        return (
            self.parts < self.limit.parts
            and not tenant.line
            and self.root.first() is None
            and (self._under_ceiling(tenant, 1))
        )

    def _under_ceiling(self, tenant: Tenant, parts: int) -> bool:
        most = tenant.limits.max_share * self.limit.parts
        return tenant.limits.max_share >= 1 or tenant.inside == 0 or tenant.inside + parts <= most

    def _turn(self, now: float, tenant: Tenant, ticket: Ticket) -> float:
        """When its turn would come if it went into the line now.

        Newcomers get what those who do come back leave over. Danger: counting all who might come
        back would shut out a tenant whose clients never do.
        """
        rate = max(tenant.rate, 1e-9)
        if rate == math.inf:
            return now
        if ticket.returning:
            return now + (tenant.line.returning_charge + ticket.charge) / rate
        left = max(rate - tenant.returns.rate(now), LEFT * rate)
        due = now + (tenant.line.ahead(ticket.client) + ticket.charge) / left
        if not tenant.line and not tenant.account.count:  # new in line: one turn of all at most
            mean = self.charge / max(self.root.size, 1)
            due = min(due, now + (len(self.root.children) * mean + ticket.charge) / self.drain)
        return due

    def _due(self, now: float, tenant: Tenant, ticket: Ticket) -> float:
        """When it should come back: behind the line and all who were promised a place before."""
        turn = self._turn(now, tenant, ticket)
        if ticket.returning or tenant.rate == math.inf:
            return turn
        rate = max(tenant.rate, 1e-9)
        ahead = tenant.line.charge + tenant.account.ahead(now, rate)
        return max(now + (ahead + ticket.charge) / rate, min(turn, now + self.settings.horizon))

    def _fits(self, now: float, tenant: Tenant, ticket: Ticket) -> bool:
        """Keep the bounds of the line: past them, who has more than its part of it gives way."""
        bounds = self.settings
        while self.root.size >= bounds.queries or self.bytes + ticket.size > bounds.bytes:
            longest = self._longest()
            mine = (tenant.line.charge + ticket.charge) / tenant.limits.weight
            if longest is None or longest.line.charge / longest.limits.weight <= mine:
                self._refuse(now, tenant, ticket, "full")
                return False
            victim = longest.line.longest()
            self._remove(longest, victim)
            self._refuse(now, longest, victim, "pushed")
        return True

    def _longest(self) -> Tenant | None:
        """Who has most in line for its weight; the heap holds what was so once, put right on the
        way.
        """
        heap = self._long
        while heap:
            noted, key = heap[0]
            tenant = self.tenants.get(key)
            now = (
                -tenant.line.charge / tenant.limits.weight
                if tenant is not None and tenant.line
                else 0.0
            )
            if now <= noted:
                return tenant
            if now == 0.0:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (now, key))
        return None

    def _enter(self, tenant: Tenant, ticket: Ticket) -> None:
        self.waiting[ticket.id] = ticket
        tenant.line.add(ticket)
        self.root.size += 1
        self.bytes += ticket.size
        self.charge += ticket.charge
        heapq.heappush(self._long, (-tenant.line.charge / tenant.limits.weight, tenant.key))
        if len(self._long) > 4 * self.root.size + 1024:
            found = (t for t in self.tenants.values() if t.line)
            self._long = [(-t.line.charge / t.limits.weight, t.key) for t in found]
            heapq.heapify(self._long)
        if not tenant.parked:
            self.root.enter(tenant.key, tenant.line)
        heapq.heappush(self._expiry, (ticket.leave_by, ticket.id))

    def _remove(self, tenant: Tenant, ticket: Ticket) -> None:
        """Out of the line, not in turn."""
        tenant.line.remove(ticket)
        self._out_of_line(ticket)
        self.root.tidy()

    def _out_of_line(self, ticket: Ticket) -> None:
        del self.waiting[ticket.id]
        self.root.size -= 1
        self.bytes -= ticket.size
        self.charge = max(self.charge - ticket.charge, 0.0) if self.waiting else 0.0

    def _let_in(self, now: float) -> None:
        while self.parts < self.limit.parts:
            found = self.root.first()
            if found is None:
                return
            tenant = self.tenants[found[0]]
            if not self._under_ceiling(tenant, tenant.line.peek_parts()):
                tenant.parked = True
                self.root.park()
                continue
            ticket = tenant.line.take()
            self.root.serve(ticket.charge)
            self._out_of_line(ticket)
            self._admit(now, tenant, ticket)

    def _admit(self, now: float, tenant: Tenant, ticket: Ticket) -> None:
        ticket.began = now
        self.inside_charge += ticket.charge
        self.light += ticket.parts if ticket.light else 0
        self.inside[ticket.id] = ticket
        self.parts += ticket.parts
        tenant.inside += ticket.parts
        tenant.admitted += 1
        tenant.charged += ticket.charge
        self.counts["admitted"] += 1
        self._out.append(Admit(ticket.id))

    def _left(self, now: float, event: Left) -> None:
        ticket = self.waiting.get(event.id)
        if ticket is not None:
            tenant = self.tenants[ticket.tenant]
            tenant.left += 1
            self.counts["left"] += 1
            self._remove(tenant, ticket)

    def _ended(self, now: float, event: Ended) -> None:
        ticket = self.inside.pop(event.id, None)
        if ticket is None:
            return
        full = self.parts >= self.limit.parts
        tenant = self.tenants[ticket.tenant]
        self.parts -= ticket.parts
        self.inside_charge = max(self.inside_charge - ticket.charge, 0.0) if self.inside else 0.0
        self.light -= ticket.parts if ticket.light else 0
        tenant.inside -= ticket.parts
        stalled = self._stall if ticket.began < self._stalled_at else 0.0
        took = max(event.took - stalled, 0.0)
        if event.kind == "answered":
            tenant.answered += 1
            work = max(took - self.limit.wait, LEAST_WORK * took)  # waiting inside is nobody's work
            real = self.costs.learn(ticket.query_class, ticket.statement, ticket.parts, work)
            tenant.charged += real - ticket.charge
            tenant.line.debt += (real - ticket.charge) / tenant.line.weight  # moves its next turn
            ticket.charge = real
        self.limit.ended(ticket.statement, ticket.parts, ticket.charge, took, event.kind, full)
        self._unpark(tenant)
        if event.kind == "refused":
            self._refuse(now, tenant, ticket, "module", event.hold_off)

    def _unpark(self, tenant: Tenant) -> None:
        if tenant.parked:
            tenant.parked = False
            if tenant.line:
                self.root.enter(tenant.key, tenant.line)

    def _tick(self, now: float, event: Tick) -> None:
        self.limit.lag(event.late)
        if event.late > SPAN:  # the router itself stood still: its own time is no work of nodes
            self._stall, self._stalled_at = event.late, now

    # --- refusals -----------------------------------------------------------------------

    def _refuse(
        self, now: float, tenant: Tenant, ticket: Ticket, reason: str, hold_off: float = 0
    ) -> None:
        """Answer it at once, with the time at which its turn comes."""
        corrected = ticket.returning
        due = max(self._due(now, tenant, ticket), now + hold_off)
        due = self.book.slot(now, due, ticket.charge, min(self.drain, 1e9))
        mark = ticket.mark or -ticket.id
        place = tenant.account.places.get(mark, {}).get(ticket.session)
        if (
            place is not None and place.due > now
        ):  # the same query of the same session, sent twice at once
            due = place.due
        else:
            if (
                place is not None
            ):  # danger: its twin waited beyond that time, and was told one gone by
                self.book.drop(tenant.account, place)
            self.book.keep(
                tenant.account, tenant.key, mark, ticket.session, now, due, ticket.charge
            )
        tenant.refused += 1
        tenant.corrected += corrected
        tenant.wait = due - now
        self.counts[reason] += 1
        self.counts["corrected"] += corrected
        self._out.append(Refuse(ticket.id, due - now, reason, corrected))

    def _expire(self, now: float) -> None:
        while self._expiry and self._expiry[0][0] <= now:
            ticket = self.waiting.get(heapq.heappop(self._expiry)[1])
            if ticket is not None:
                tenant = self.tenants[ticket.tenant]
                self._remove(tenant, ticket)
                self._refuse(now, tenant, ticket, "late")
        if (
            len(self._expiry) > 2 * len(self.waiting) + 1024
        ):  # danger: who was let in would stay in it
            self._expiry = [(t.leave_by, t.id) for t in self.waiting.values()]
            heapq.heapify(self._expiry)
        self.book.expire(now, self._account)

    def _account(self, key: str) -> Account | None:
        tenant = self.tenants.get(key)
        return tenant.account if tenant is not None else None

    # --- views --------------------------------------------------------------------------

    def would_wait(self, now: float, key: str, charge: float) -> float:
        """Ms that a query of this tenant that came back now as told would still wait: a shadow of
        one.
        """
        tenant = self.tenants.get(key)
        if tenant is None or self._room(tenant):
            return 0.0
        rate = max(tenant.rate, 1e-9)
        return (tenant.line.returning_charge + charge) / rate


def _level(levels: list[float], weights: list[float], wants: list[float], drain: float) -> float:
    """The level at which demands, cut at weight x level, add up to what drains; infinite where they
    don't.
    """
    total = weights[-1]

    def taken(number: int) -> float:
        """What all take at the level of this demand."""
        return wants[number + 1] + levels[number] * (total - weights[number + 1])

    if not levels:
        return drain
    finite = bisect_left(levels, math.inf)
    if finite == len(levels) and wants[-1] <= drain:
        return math.inf
    low, high = 0, finite
    while low < high:
        middle = (low + high) // 2
        if taken(middle) >= drain:
            high = middle
        else:
            low = middle + 1
    left = total - weights[low]
    return (drain - wants[low]) / left if left > 0 else math.inf
