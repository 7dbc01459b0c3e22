"""The admission policy of one router: which queries are admitted, queued or rejected.

`step(now, events) -> actions`, without I/O or a clock; times are ms. The policy hands each event to
the rules: `in_flight` (admission without queueing), `admission_queue` and `fair_queue` (order and
bounds), `concurrency_limit`, `fair_shares` (rates of tenants), `retry_after` and `reservations`
(rejections).
"""

from __future__ import annotations

from collections.abc import Iterable

from tansycrank.admission.actions import Action, Admit, Reject, RejectionReason, SetTimer
from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.concurrency_limit import Limit
from tansycrank.admission.cost_estimates import Costs
from tansycrank.admission.events import (
    Event,
    LimitsChanged,
    PeriodicTick,
    QueryArrived,
    QueryCancelled,
    QueryEnded,
    QueryOutcome,
)
from tansycrank.admission.fair_queue import Ticket
from tansycrank.admission.fair_shares import FairShares
from tansycrank.admission.in_flight import QueriesInFlight
from tansycrank.admission.reservations import Book, Place
from tansycrank.admission.retry_after import (
    expected_service_time,
    remaining_wait,
    reserve,
    return_time,
)
from tansycrank.admission.settings import Limits, Settings
from tansycrank.admission.stalls import StallTracker
from tansycrank.admission.tenants import Tenant, TenantTable

COUNTED = ("arrived", "admitted", *RejectionReason, "returned", "corrected", "left")


class Policy:
    """Admission control of one router."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.costs = Costs(len(settings.classes))
        self.limit = Limit()
        self.book = Book(settings.places, settings.horizon)
        self.tenants = TenantTable(settings.tenants, settings.classes, self.book)
        self.queue = AdmissionQueue(settings.queries, settings.bytes)
        self.in_flight = QueriesInFlight()
        self._shares = FairShares()
        self._stalls = StallTracker()
        self._counts = dict.fromkeys(map(str, COUNTED), 0)
        self._actions: list[Action] = []
        self._handlers = {
            QueryArrived: self._on_arrived,
            QueryCancelled: self._on_cancelled,
            QueryEnded: self._on_ended,
            PeriodicTick: self._on_tick,
            LimitsChanged: self._on_limits_changed,
        }

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Handle events in order; returns the actions that follow from them."""
        self._actions = []
        for event in events:
            self._handlers[type(event)](now, event)
        self._expire(now)
        if self.limit.turn(now):
            self._shares.update(now, self.tenants.values(), self.drain)
        self._admit_queued(now)
        if (due := self.queue.next_deadline) is not None:
            self._actions.append(SetTimer(due))
        return self._actions

    # --- what others ask ----------------------------------------------------------------

    @property
    def drain(self) -> float:
        """The drain rate: cost per ms that the router completes when it is full."""
        return self.limit.drain_rate(self.costs.mean)

    @property
    def counts(self) -> dict[str, int]:
        """Counters for operators, by the names that `SHOW tansycrank.admission` gives them."""
        return self._counts | {"forgotten": self.tenants.evicted, "shared": self.tenants.overflowed}

    def may_reject(self, key: str) -> bool:
        """Whether a new query of this tenant may be rejected."""
        tenant = self.tenants.get(key)
        return tenant is not None and not self._has_room(tenant)

    def would_reject(self, now: float, event: QueryArrived) -> bool:
        """Whether a query of one shard request with this text would be rejected; changes no state."""
        tenant = self.tenants.get(event.tenant)
        if tenant is None or self._has_room(tenant):
            return False
        charge = self.costs.expect(event.query_class, event.statement, 1)
        place, is_due = self.book.find(tenant.account, event.mark, event.session, now)
        if place is not None:
            return not is_due
        if self._is_light(charge):
            return False
        leave_by = now + self._useful_time(event)
        ticket = Ticket(0, tenant.key, event.client, event.query_class, 0, 1, charge, 0, leave_by)
        return self._expected(now, tenant, ticket) > ticket.leave_by

    def would_wait(self, now: float, key: str, charge: float) -> float:
        """How long, in ms, a query of this tenant that returns now as told would be queued."""
        tenant = self.tenants.get(key)
        if tenant is None or self._has_room(tenant):
            return 0.0
        return remaining_wait(tenant, charge)

    # --- events -------------------------------------------------------------------------

    def _on_arrived(self, now: float, event: QueryArrived) -> None:
        tenant = self._tenant(event.tenant, event.limits)
        charge = self.costs.expect(event.query_class, event.statement, event.parts)
        ticket = self._ticket(now, event, tenant, charge)
        self._counts["arrived"] += 1
        place, is_due = self.book.find(tenant.account, event.mark, event.session, now)
        if place is None and not event.repeat:
            tenant.arrived += 1
            tenant.record_demand(now, charge)
        if is_due:
            ticket.returning = True
            self.book.take_up(tenant.account, place)
            self._counts["returned"] += 1
            tenant.returns.add(now, charge)
        self._decide(now, tenant, ticket, None if is_due else place)

    def _decide(self, now: float, tenant: Tenant, ticket: Ticket, early: Place | None) -> None:
        """Admit, queue or reject a query; `early` is its reservation if that is not due yet."""
        is_light = self._is_light(ticket.charge)
        if self._has_room(tenant) or (
            is_light and tenant.is_below_max_share(ticket.parts, self.limit.parts)
        ):
            ticket.light = is_light
            if early is not None:
                self.book.drop(tenant.account, early)
            self.queue.scheduler.pass_by(tenant.line, ticket.charge)
            self._admit(now, tenant, ticket)
        elif early is not None:  # told the same time again, and not counted as a rejection
            tenant.early += 1
            self._counts[RejectionReason.TOO_EARLY] += 1
            wait = early.due - now
            self._actions.append(Reject(ticket.id, wait, RejectionReason.TOO_EARLY))
        elif self._expected(now, tenant, ticket) > ticket.leave_by:
            self._reject(now, tenant, ticket, RejectionReason.EXPECTED_TOO_LATE)
        elif self._make_room(now, tenant, ticket):
            self.queue.add(tenant, ticket, self.tenants)

    def _on_cancelled(self, now: float, event: QueryCancelled) -> None:
        ticket = self.queue.queries.get(event.id)
        if ticket is not None:
            tenant = self.tenants[ticket.tenant]
            tenant.left += 1
            self._counts["left"] += 1
            self.queue.remove(tenant, ticket)

    def _on_ended(self, now: float, event: QueryEnded) -> None:
        ticket = self.in_flight.queries.get(event.id)
        if ticket is None:
            return
        was_full = self.in_flight.is_full(self.limit)
        tenant = self.tenants[ticket.tenant]
        self.in_flight.remove(tenant, ticket)
        took = self._stalls.without_stall(ticket.began, event.took)
        if event.kind == QueryOutcome.ANSWERED:
            tenant.answered += 1
            self._correct_cost(tenant, ticket, took)
        self.limit.ended(ticket.statement, ticket.parts, ticket.charge, took, event.kind, was_full)
        self.queue.unpark(tenant)
        if event.kind == QueryOutcome.REJECTED:
            self._reject(now, tenant, ticket, RejectionReason.ROUTING_REJECTED, event.hold_off)

    def _on_tick(self, now: float, event: PeriodicTick) -> None:
        self.limit.lag(event.late)
        self._stalls.record(now, event.late)

    def _on_limits_changed(self, now: float, event: LimitsChanged) -> None:
        tenant = self.tenants.override_limits(event.tenant, event.limits)
        if tenant is not None:
            self.queue.unpark(tenant)
        self._shares.update(now, self.tenants.values(), self.drain)

    # --- queries ------------------------------------------------------------------------

    def _tenant(self, key: str, limits: Limits) -> Tenant:
        return self.tenants.find_or_add(
            key, limits, lambda limits: self._shares.initial_rate(limits, self.drain)
        )

    def _ticket(self, now: float, event: QueryArrived, tenant: Tenant, charge: float) -> Ticket:
        needs = self.costs.needs(event.query_class, event.statement) + self.limit.wait
        leave_by = now + self._useful_time(event) - needs
        return Ticket(
            event.id, tenant.key, event.client, event.query_class, event.statement, event.parts,
            charge, event.size, leave_by, event.mark, event.session,
        )  # fmt: skip

    def _useful_time(self, event: QueryArrived) -> float:
        """Time in ms for which an answer is worth something."""
        useful = self.settings.useful
        return min(event.remaining, useful[event.query_class]) if useful else event.remaining

    def _has_room(self, tenant: Tenant) -> bool:
        return self.in_flight.has_room_for(tenant, self.queue, self.limit)

    def _is_light(self, charge: float) -> bool:
        return self.in_flight.is_light(charge, self.queue, self.limit)

    def _expected(self, now: float, tenant: Tenant, ticket: Ticket) -> float:
        return expected_service_time(now, tenant, ticket, self.queue, self.drain)

    def _make_room(self, now: float, tenant: Tenant, ticket: Ticket) -> bool:
        """Displace queries until the queue has room; False if this query is rejected instead."""
        while self.queue.is_full_for(ticket):
            displaced = self.queue.tenant_to_displace(tenant, ticket, self.tenants)
            if displaced is None:
                self._reject(now, tenant, ticket, RejectionReason.QUEUE_FULL)
                return False
            victim = displaced.line.longest()
            self.queue.remove(displaced, victim)
            self._reject(now, displaced, victim, RejectionReason.DISPLACED)
        return True

    def _admit_queued(self, now: float) -> None:
        while not self.in_flight.is_full(self.limit):
            found = self.queue.scheduler.first()
            if found is None:
                return
            tenant = self.tenants[found[0]]
            if tenant.is_below_max_share(tenant.line.peek_parts(), self.limit.parts):
                self._admit(now, tenant, self.queue.take_next(tenant))
            else:
                self.queue.park(tenant)

    def _admit(self, now: float, tenant: Tenant, ticket: Ticket) -> None:
        self.in_flight.add(now, tenant, ticket)
        self._counts["admitted"] += 1
        self._actions.append(Admit(ticket.id))

    def _correct_cost(self, tenant: Tenant, ticket: Ticket, took: float) -> None:
        """Replace the estimated cost by the real one, in the tenant's next start tag too."""
        work = self.limit.work_time(took)
        real = self.costs.learn(ticket.query_class, ticket.statement, ticket.parts, work)
        tenant.charged += real - ticket.charge
        tenant.line.debt += (real - ticket.charge) / tenant.line.weight
        ticket.charge = real

    def _reject(
        self,
        now: float,
        tenant: Tenant,
        ticket: Ticket,
        reason: RejectionReason,
        min_wait: float = 0,
    ) -> None:
        """Reject a query with a Retry-After of at least `min_wait` ms, and reserve that time."""
        due = return_time(now, tenant, ticket, self.queue, self.drain, self.settings.horizon)
        due = reserve(now, tenant, ticket, self.book, max(due, now + min_wait), self.drain)
        corrected = ticket.returning
        tenant.refused += 1
        tenant.corrected += corrected
        tenant.wait = due - now
        self._counts[reason] += 1
        self._counts["corrected"] += corrected
        self._actions.append(Reject(ticket.id, due - now, reason, corrected))

    def _expire(self, now: float) -> None:
        while (ticket := self.queue.pop_expired(now)) is not None:
            tenant = self.tenants[ticket.tenant]
            self.queue.remove(tenant, ticket)
            self._reject(now, tenant, ticket, RejectionReason.DEADLINE_PASSED)
        self.queue.compact()
        self.book.expire(now, self.tenants.account)
