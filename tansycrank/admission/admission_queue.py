"""The bounded queue of queries that wait for admission, over all tenants."""

from __future__ import annotations

import heapq

from tansycrank.admission.fair_queue import FairScheduler, QueuedQuery
from tansycrank.admission.tenants import Tenant, TenantTable

HEAP_SLACK = 1024  # stale heap entries that are kept before a heap is rebuilt


class AdmissionQueue:
    """Queued queries, ordered by fair schedule, latest useful start, and queued cost per tenant."""

    def __init__(self, max_queries: int, max_bytes: int) -> None:
        self.max_queries, self.max_bytes = max_queries, max_bytes
        self.scheduler = FairScheduler()
        self.queries: dict[int, QueuedQuery] = {}
        self.bytes = 0
        self.cost = 0.0  # cost of all queued queries
        self._deadlines: list[tuple[float, int]] = []  # heap of (latest useful start, query id)
        # Heap of (-queued cost by weight, tenant); entries may be stale.
        self._backlogs: list[tuple[float, str]] = []

    def add(self, tenant: Tenant, query: QueuedQuery, tenants: TenantTable) -> None:
        """Queue a query of this tenant."""
        self.queries[query.id] = query
        tenant.queue.add(query)
        self.scheduler.size += 1
        self.bytes += query.size
        self.cost += query.cost
        heapq.heappush(self._backlogs, (-tenant.queued_cost_by_weight, tenant.key))
        if len(self._backlogs) > 4 * self.scheduler.size + HEAP_SLACK:
            backlogged = (other for other in tenants.values() if other.queue)
            self._backlogs = [(-other.queued_cost_by_weight, other.key) for other in backlogged]
            heapq.heapify(self._backlogs)
        if not tenant.is_parked:
            self.scheduler.schedule(tenant.key, tenant.queue)
        heapq.heappush(self._deadlines, (query.latest_start, query.id))

    def remove(self, tenant: Tenant, query: QueuedQuery) -> None:
        """Remove a query out of turn, since it is cancelled, expired or displaced."""
        tenant.queue.remove(query)
        self._update_totals(query)
        self.scheduler.compact()

    def take_next(self, tenant: Tenant) -> QueuedQuery:
        """Remove and return the next query of the tenant that is scheduled first."""
        query = tenant.queue.take()
        self.scheduler.serve(query.cost)
        self._update_totals(query)
        return query

    def _update_totals(self, query: QueuedQuery) -> None:
        del self.queries[query.id]
        self.scheduler.size -= 1
        self.bytes -= query.size
        self.cost = max(self.cost - query.cost, 0.0) if self.queries else 0.0

    def park(self, tenant: Tenant) -> None:
        """Take the first scheduled tenant out of the schedule while it holds its maximum share."""
        tenant.is_parked = True
        self.scheduler.park()

    def unpark(self, tenant: Tenant) -> None:
        """Schedule a parked tenant again."""
        if tenant.is_parked:
            tenant.is_parked = False
            if tenant.queue:
                self.scheduler.schedule(tenant.key, tenant.queue)

    # --- bounds -------------------------------------------------------------------------

    def is_full_for(self, query: QueuedQuery) -> bool:
        """Whether this query would exceed the bounds on queries or bytes."""
        is_at_count = self.scheduler.size >= self.max_queries
        return is_at_count or self.bytes + query.size > self.max_bytes

    def tenant_to_displace(
        self, tenant: Tenant, query: QueuedQuery, tenants: TenantTable
    ) -> Tenant | None:
        """The tenant whose newest query is displaced by this one: that with most queued cost by
        weight.

        None if the query's own tenant would have at least as much.
        """
        largest = self._largest_backlog(tenants)
        own = (tenant.queue.cost + query.cost) / tenant.limits.weight
        if largest is None or largest.queued_cost_by_weight <= own:
            return None
        return largest

    def _largest_backlog(self, tenants: TenantTable) -> Tenant | None:
        """The tenant with most queued cost by weight; corrects stale heap entries on the way."""
        heap = self._backlogs
        while heap:
            recorded, key = heap[0]
            tenant = tenants.get(key)
            has_queued = tenant is not None and tenant.queue
            current = -tenant.queued_cost_by_weight if has_queued else 0.0
            if current <= recorded:
                return tenant
            if current == 0.0:
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (current, key))
        return None

    # --- latest useful starts -----------------------------------------------------------

    @property
    def next_deadline(self) -> float | None:
        """The earliest time at which `pop_expired` may return a query."""
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now: float) -> QueuedQuery | None:
        """A queued query whose latest useful start has passed; the caller has to remove it."""
        while self._deadlines and self._deadlines[0][0] <= now:
            query = self.queries.get(heapq.heappop(self._deadlines)[1])
            if query is not None:
                return query
        return None

    def compact(self) -> None:
        """Drop heap entries of removed queries once they outnumber those of queued ones."""
        if len(self._deadlines) > 2 * len(self.queries) + HEAP_SLACK:
            self._deadlines = [(query.latest_start, query.id) for query in self.queries.values()]
            heapq.heapify(self._deadlines)
