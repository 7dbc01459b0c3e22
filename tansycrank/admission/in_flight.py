"""Admitted queries that have not ended, and which query is admitted without queueing."""

from __future__ import annotations

from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.concurrency_limit import Limit
from tansycrank.admission.fair_queue import Ticket
from tansycrank.admission.tenants import Tenant

LIGHT_FACTOR = 8.0  # a light query costs so many times less than the mean of all queries here
LIGHT_SHARE = 0.25  # of the concurrency limit that light queries may hold beyond it


class QueriesInFlight:
    """Admitted queries and the shard requests they hold."""

    def __init__(self) -> None:
        self.queries: dict[int, Ticket] = {}
        self.parts = 0  # shard requests
        self.charge = 0.0
        self.light_parts = 0  # shard requests of light queries

    def add(self, now: float, tenant: Tenant, ticket: Ticket) -> None:
        """A query is admitted."""
        ticket.began = now
        self.charge += ticket.charge
        self.light_parts += ticket.parts if ticket.light else 0
        self.queries[ticket.id] = ticket
        self.parts += ticket.parts
        tenant.inside += ticket.parts
        tenant.admitted += 1
        tenant.charged += ticket.charge

    def remove(self, tenant: Tenant, ticket: Ticket) -> None:
        """A query has ended."""
        del self.queries[ticket.id]
        self.parts -= ticket.parts
        self.charge = max(self.charge - ticket.charge, 0.0) if self.queries else 0.0
        self.light_parts -= ticket.parts if ticket.light else 0
        tenant.inside -= ticket.parts

    def is_full(self, limit: Limit) -> bool:
        """Whether the concurrency limit is reached."""
        return self.parts >= limit.parts

    def has_room_for(self, tenant: Tenant, queue: AdmissionQueue, limit: Limit) -> bool:
        """Whether a query of this tenant is admitted at once: no queued query is due before it."""
        return (
            not self.is_full(limit)
            and not tenant.line
            and queue.scheduler.first() is None
            and tenant.is_below_max_share(1, limit.parts)
        )

    def is_light(self, charge: float, queue: AdmissionQueue, limit: Limit) -> bool:
        """Whether a query is cheap enough beside the others to be admitted past the queue.

        Expensive queries hold the limit for long; without this each cheap query waits for one to
        end.
        """
        count = len(self.queries) + len(queue.queries)
        if not count or self.light_parts >= max(LIGHT_SHARE * limit.parts, 1.0):
            return False
        return charge * LIGHT_FACTOR <= (self.charge + queue.charge) / count
