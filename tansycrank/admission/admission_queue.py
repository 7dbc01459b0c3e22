"""The bounded queue of queries that wait for admission, over all tenants."""

from __future__ import annotations

import heapq

from tansycrank.admission.fair_queue import Level, Ticket
from tansycrank.admission.tenants import Tenant, TenantTable

HEAP_SLACK = 1024  # stale heap entries that are kept before a heap is rebuilt


class AdmissionQueue:
    """Queued queries by fair schedule, by latest useful start, and by tenant with most queued cost."""

    def __init__(self, max_queries: int, max_bytes: int) -> None:
        self.max_queries, self.max_bytes = max_queries, max_bytes
        self.scheduler = Level()
        self.queries: dict[int, Ticket] = {}
        self.bytes = 0
        self.charge = 0.0  # cost of all queued queries
        self._deadlines: list[tuple[float, int]] = []  # heap of (latest useful start, query id)
        self._backlogs: list[
            tuple[float, str]
        ] = []  # heap of (-cost by weight, tenant), may be stale

    def add(self, tenant: Tenant, ticket: Ticket, tenants: TenantTable) -> None:
        """Queue a query of this tenant."""
        self.queries[ticket.id] = ticket
        tenant.line.add(ticket)
        self.scheduler.size += 1
        self.bytes += ticket.size
        self.charge += ticket.charge
        heapq.heappush(self._backlogs, (-tenant.queued_cost_by_weight, tenant.key))
        if len(self._backlogs) > 4 * self.scheduler.size + HEAP_SLACK:
            backlogged = (one for one in tenants.values() if one.line)
            self._backlogs = [(-one.queued_cost_by_weight, one.key) for one in backlogged]
            heapq.heapify(self._backlogs)
        if not tenant.parked:
            self.scheduler.enter(tenant.key, tenant.line)
        heapq.heappush(self._deadlines, (ticket.leave_by, ticket.id))

    def remove(self, tenant: Tenant, ticket: Ticket) -> None:
        """Take a query out, not in the order of the schedule."""
        tenant.line.remove(ticket)
        self._removed(ticket)
        self.scheduler.tidy()

    def take_next(self, tenant: Tenant) -> Ticket:
        """Take the next query of the tenant that is scheduled first."""
        ticket = tenant.line.take()
        self.scheduler.serve(ticket.charge)
        self._removed(ticket)
        return ticket

    def _removed(self, ticket: Ticket) -> None:
        del self.queries[ticket.id]
        self.scheduler.size -= 1
        self.bytes -= ticket.size
        self.charge = max(self.charge - ticket.charge, 0.0) if self.queries else 0.0

    def park(self, tenant: Tenant) -> None:
        """Take the tenant that is scheduled first out of the schedule, since it holds its maximum
        share.
        """
        tenant.parked = True
        self.scheduler.park()

    def unpark(self, tenant: Tenant) -> None:
        """Schedule a tenant again."""
        if tenant.parked:
            tenant.parked = False
            if tenant.line:
                self.scheduler.enter(tenant.key, tenant.line)

    # --- bounds -------------------------------------------------------------------------

    def is_full_for(self, ticket: Ticket) -> bool:
        """Whether one more query would pass the bounds."""
        is_at_count = self.scheduler.size >= self.max_queries
        return is_at_count or self.bytes + ticket.size > self.max_bytes

    def tenant_to_displace(
        self, tenant: Tenant, ticket: Ticket, tenants: TenantTable
    ) -> Tenant | None:
        """Whose newest query gives way to this one: the tenant with most queued cost by weight.

        None if that would be the query's own tenant or one with no more than it.
        """
        largest = self._largest_backlog(tenants)
        own = (tenant.line.charge + ticket.charge) / tenant.limits.weight
        if largest is None or largest.queued_cost_by_weight <= own:
            return None
        return largest

    def _largest_backlog(self, tenants: TenantTable) -> Tenant | None:
        """The tenant with most queued cost by weight; stale heap entries are corrected on the way."""
        heap = self._backlogs
        while heap:
            recorded, key = heap[0]
            tenant = tenants.get(key)
            has_queued = tenant is not None and tenant.line
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
        """When `pop_expired` may next return a query."""
        return self._deadlines[0][0] if self._deadlines else None

    def pop_expired(self, now: float) -> Ticket | None:
        """A queued query whose latest useful start has passed; the caller removes it."""
        while self._deadlines and self._deadlines[0][0] <= now:
            ticket = self.queries.get(heapq.heappop(self._deadlines)[1])
            if ticket is not None:
                return ticket
        return None

    def compact(self) -> None:
        """Drop heap entries of queries that have left the queue, once they outnumber the others."""
        if len(self._deadlines) > 2 * len(self.queries) + HEAP_SLACK:
            self._deadlines = [(one.leave_by, one.id) for one in self.queries.values()]
            heapq.heapify(self._deadlines)
