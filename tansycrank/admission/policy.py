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
from tansycrank.admission.concurrency_limit import ConcurrencyLimit
from tansycrank.admission.cost_estimates import CostEstimates
from tansycrank.admission.events import (
    Event,
    LimitsChanged,
    PeriodicTick,
    QueryArrived,
    QueryCancelled,
    QueryEnded,
    QueryOutcome,
)
from tansycrank.admission.fair_queue import QueuedQuery
from tansycrank.admission.fair_shares import FairShares
from tansycrank.admission.in_flight import QueriesInFlight
from tansycrank.admission.reservations import Reservation, ReservationBook
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
        self.costs = CostEstimates(len(settings.class_weights))
        self.limit = ConcurrencyLimit()
        self.reservations = ReservationBook(settings.max_reservations, settings.horizon)
        self.tenants = TenantTable(settings.max_tenants, settings.class_weights, self.reservations)
        self.queue = AdmissionQueue(settings.max_queries, settings.max_bytes)
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
        if self.limit.end_interval(now):
            self._shares.update(now, self.tenants.values(), self.drain_rate)
        self._admit_queued(now)
        if (due := self.queue.next_deadline) is not None:
            self._actions.append(SetTimer(due))
        return self._actions

    # --- what others ask ----------------------------------------------------------------

    @property
    def drain_rate(self) -> float:
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
        """Whether this query would be rejected with one shard request; changes no state."""
        tenant = self.tenants.get(event.tenant)
        if tenant is None or self._has_room(tenant):
            return False
        cost = self.costs.expect(event.query_class, event.statement, 1)
        reservation, is_due = self.reservations.find(
            tenant.reservations, event.fingerprint, event.session, now
        )
        if reservation is not None:
            return not is_due
        if self._is_light(cost):
            return False
        latest_start = now + self._useful_time(event)
        query = QueuedQuery(
            0, tenant.key, event.client, event.query_class, 0, 1, cost, 0, latest_start
        )
        return self._expected(now, tenant, query) > query.latest_start

    def expected_wait_on_return(self, now: float, key: str, cost: float) -> float:
        """How long, in ms, a query of this tenant that returns now as told would be queued."""
        tenant = self.tenants.get(key)
        if tenant is None or self._has_room(tenant):
            return 0.0
        return remaining_wait(tenant, cost)

    # --- events -------------------------------------------------------------------------

    def _on_arrived(self, now: float, event: QueryArrived) -> None:
        tenant = self._tenant(event.tenant, event.limits)
        cost = self.costs.expect(event.query_class, event.statement, event.shard_requests)
        query = self._queued_query(now, event, tenant, cost)
        self._counts["arrived"] += 1
        reservation, is_due = self.reservations.find(
            tenant.reservations, event.fingerprint, event.session, now
        )
        if reservation is None and not event.is_retry:
            tenant.arrived += 1
            tenant.record_demand(now, cost)
        if is_due:
            query.is_returning = True
            self.reservations.redeem(tenant.reservations, reservation)
            self._counts["returned"] += 1
            tenant.return_demand.add(now, cost)
        self._decide(now, tenant, query, None if is_due else reservation)

    def _decide(
        self, now: float, tenant: Tenant, query: QueuedQuery, early: Reservation | None
    ) -> None:
        """Admit, queue or reject a query; `early` is its reservation if that is not due yet."""
        is_light = self._is_light(query.cost)
        if self._has_room(tenant) or (
            is_light and tenant.is_below_max_share(query.shard_requests, self.limit.shard_requests)
        ):
            query.is_light = is_light
            if early is not None:
                self.reservations.remove(tenant.reservations, early)
            self.queue.scheduler.serve_unqueued(tenant.queue, query.cost)
            self._admit(now, tenant, query)
        elif early is not None:  # told the same time again, and not counted as a rejection
            tenant.early_returns += 1
            self._counts[RejectionReason.TOO_EARLY] += 1
            wait = early.due_at - now
            self._actions.append(Reject(query.id, wait, RejectionReason.TOO_EARLY))
        elif self._expected(now, tenant, query) > query.latest_start:
            self._reject(now, tenant, query, RejectionReason.EXPECTED_TOO_LATE)
        elif self._make_room(now, tenant, query):
            self.queue.add(tenant, query, self.tenants)

    def _on_cancelled(self, now: float, event: QueryCancelled) -> None:
        query = self.queue.queries.get(event.id)
        if query is not None:
            tenant = self.tenants[query.tenant]
            tenant.cancelled += 1
            self._counts["left"] += 1
            self.queue.remove(tenant, query)

    def _on_ended(self, now: float, event: QueryEnded) -> None:
        query = self.in_flight.queries.get(event.id)
        if query is None:
            return
        was_full = self.in_flight.is_full(self.limit)
        tenant = self.tenants[query.tenant]
        self.in_flight.remove(tenant, query)
        latency = self._stalls.without_stall(query.admitted_at, event.latency)
        if event.outcome == QueryOutcome.ANSWERED:
            tenant.answered += 1
            self._correct_cost(tenant, query, latency)
        self.limit.ended(
            query.statement, query.shard_requests, query.cost, latency, event.outcome, was_full
        )
        self.queue.unpark(tenant)
        if event.outcome == QueryOutcome.REJECTED:
            self._reject(now, tenant, query, RejectionReason.ROUTING_REJECTED, event.retry_after_ms)

    def _on_tick(self, now: float, event: PeriodicTick) -> None:
        self.limit.record_timer_lag(event.timer_lag)
        self._stalls.record(now, event.timer_lag)

    def _on_limits_changed(self, now: float, event: LimitsChanged) -> None:
        tenant = self.tenants.override_limits(event.tenant, event.limits)
        if tenant is not None:
            self.queue.unpark(tenant)
        self._shares.update(now, self.tenants.values(), self.drain_rate)

    # --- queries ------------------------------------------------------------------------

    def _tenant(self, key: str, limits: Limits) -> Tenant:
        return self.tenants.find_or_add(
            key, limits, lambda limits: self._shares.initial_rate(limits, self.drain_rate)
        )

    def _queued_query(
        self, now: float, event: QueryArrived, tenant: Tenant, cost: float
    ) -> QueuedQuery:
        needs = self.costs.needs(event.query_class, event.statement) + self.limit.wait
        latest_start = now + self._useful_time(event) - needs
        return QueuedQuery(
            event.id, tenant.key, event.client, event.query_class, event.statement,
            event.shard_requests, cost, event.size, latest_start, event.fingerprint, event.session,
        )  # fmt: skip

    def _useful_time(self, event: QueryArrived) -> float:
        """Time in ms for which an answer is worth something."""
        useful = self.settings.useful_times
        return min(event.remaining, useful[event.query_class]) if useful else event.remaining

    def _has_room(self, tenant: Tenant) -> bool:
        return self.in_flight.has_room_for(tenant, self.queue, self.limit)

    def _is_light(self, cost: float) -> bool:
        return self.in_flight.is_light(cost, self.queue, self.limit)

    def _expected(self, now: float, tenant: Tenant, query: QueuedQuery) -> float:
        return expected_service_time(now, tenant, query, self.queue, self.drain_rate)

    def _make_room(self, now: float, tenant: Tenant, query: QueuedQuery) -> bool:
        """Displace queries until the queue has room; False if this query is rejected instead."""
        while self.queue.is_full_for(query):
            displaced = self.queue.tenant_to_displace(tenant, query, self.tenants)
            if displaced is None:
                self._reject(now, tenant, query, RejectionReason.QUEUE_FULL)
                return False
            victim = displaced.queue.newest_of_largest_client()
            self.queue.remove(displaced, victim)
            self._reject(now, displaced, victim, RejectionReason.DISPLACED)
        return True

    def _admit_queued(self, now: float) -> None:
        while not self.in_flight.is_full(self.limit):
            found = self.queue.scheduler.first()
            if found is None:
                return
            tenant = self.tenants[found[0]]
            if tenant.is_below_max_share(
                tenant.queue.next_shard_requests(), self.limit.shard_requests
            ):
                self._admit(now, tenant, self.queue.take_next(tenant))
            else:
                self.queue.park(tenant)

    def _admit(self, now: float, tenant: Tenant, query: QueuedQuery) -> None:
        self.in_flight.add(now, tenant, query)
        self._counts["admitted"] += 1
        self._actions.append(Admit(query.id))

    def _correct_cost(self, tenant: Tenant, query: QueuedQuery, latency: float) -> None:
        """Replace the estimated cost by the real one, in the tenant's next start tag too."""
        work = self.limit.work_time(latency)
        real = self.costs.learn(query.query_class, query.statement, query.shard_requests, work)
        tenant.served_cost += real - query.cost
        tenant.queue.cost_correction += (real - query.cost) / tenant.queue.weight
        query.cost = real

    def _reject(
        self,
        now: float,
        tenant: Tenant,
        query: QueuedQuery,
        reason: RejectionReason,
        min_wait: float = 0,
    ) -> None:
        """Reject a query with a Retry-After of at least `min_wait` ms, and reserve that time."""
        due = return_time(now, tenant, query, self.queue, self.drain_rate, self.settings.horizon)
        due = reserve(
            now, tenant, query, self.reservations, max(due, now + min_wait), self.drain_rate
        )
        corrected = query.is_returning
        tenant.rejected += 1
        tenant.corrected += corrected
        tenant.last_retry_after = due - now
        self._counts[reason] += 1
        self._counts["corrected"] += corrected
        self._actions.append(Reject(query.id, due - now, reason, corrected))

    def _expire(self, now: float) -> None:
        while (query := self.queue.pop_expired(now)) is not None:
            tenant = self.tenants[query.tenant]
            self.queue.remove(tenant, query)
            self._reject(now, tenant, query, RejectionReason.DEADLINE_PASSED)
        self.queue.compact()
        self.reservations.expire(now, self.tenants.reservations)
