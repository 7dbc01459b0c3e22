"""Admitted queries that have not ended, and which query is admitted without queueing."""

from __future__ import annotations

from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.concurrency_limit import ConcurrencyLimit
from tansycrank.admission.fair_queue import QueuedQuery
from tansycrank.admission.tenants import Tenant

LIGHT_FACTOR = 8.0  # a light query costs so many times less than the mean of all queries here
LIGHT_SHARE = 0.25  # of the concurrency limit that light queries may hold beyond it


class QueriesInFlight:
    """Admitted queries and the shard requests they hold."""

    def __init__(self) -> None:
        self.queries: dict[int, QueuedQuery] = {}
        self.shard_requests = 0  # shard requests
        self.cost = 0.0
        self.light_shard_requests = 0  # shard requests of light queries

    def add(self, now: float, tenant: Tenant, query: QueuedQuery) -> None:
        """A query is admitted."""
        query.admitted_at = now
        self.cost += query.cost
        self.light_shard_requests += query.shard_requests if query.is_light else 0
        self.queries[query.id] = query
        self.shard_requests += query.shard_requests
        tenant.shard_requests_in_flight += query.shard_requests
        tenant.admitted += 1
        tenant.served_cost += query.cost

    def remove(self, tenant: Tenant, query: QueuedQuery) -> None:
        """A query has ended."""
        del self.queries[query.id]
        self.shard_requests -= query.shard_requests
        self.cost = max(self.cost - query.cost, 0.0) if self.queries else 0.0
        self.light_shard_requests -= query.shard_requests if query.is_light else 0
        tenant.shard_requests_in_flight -= query.shard_requests

    def is_full(self, limit: ConcurrencyLimit) -> bool:
        """Whether the concurrency limit is reached."""
        return self.shard_requests >= limit.shard_requests

    def has_room_for(self, tenant: Tenant, queue: AdmissionQueue, limit: ConcurrencyLimit) -> bool:
        """Whether a query of this tenant is admitted at once: no queued query is due before it."""
        return (
            not self.is_full(limit)
            and not tenant.queue
            and queue.scheduler.first() is None
            and tenant.is_below_max_share(1, limit.shard_requests)
        )

    def is_light(self, cost: float, queue: AdmissionQueue, limit: ConcurrencyLimit) -> bool:
        """Whether a query is cheap enough beside the others to be admitted past the queue.

        Expensive queries hold the limit for long; without this each cheap query waits for one to
        end.
        """
        count = len(self.queries) + len(queue.queries)
        if not count or self.light_shard_requests >= max(LIGHT_SHARE * limit.shard_requests, 1.0):
            return False
        return cost * LIGHT_FACTOR <= (self.cost + queue.cost) / count
