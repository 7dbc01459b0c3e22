"""When a query would be served, and the Retry-After of one that is rejected."""

from __future__ import annotations

import math

from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.fair_queue import QueuedQuery
from tansycrank.admission.reservations import ReservationBook
from tansycrank.admission.tenants import Tenant

MIN_RATE = 1e-9
MAX_RATE = 1e9
MIN_NEWCOMER_SHARE = 0.02  # of a tenant's rate that new queries get beside returning ones


def expected_service_time(
    now: float, tenant: Tenant, query: QueuedQuery, queue: AdmissionQueue, drain_rate: float
) -> float:
    """When the query would be served if it were queued now.

    New queries get the rate that returning ones leave over. Only those that did return count:
    counting all reservations would shut out a tenant whose clients never return.
    """
    rate = max(tenant.rate, MIN_RATE)
    if rate == math.inf:
        return now
    if query.is_returning:
        return now + (tenant.queue.returning_cost + query.cost) / rate
    newcomer_rate = max(rate - tenant.return_demand.rate(now), MIN_NEWCOMER_SHARE * rate)
    due = now + (tenant.queue.cost_ahead(query.client) + query.cost) / newcomer_rate
    if (
        not tenant.queue and not tenant.reservations.count
    ):  # fair queueing serves it within one round
        mean = queue.cost / max(queue.scheduler.size, 1)
        due = min(due, now + (len(queue.scheduler.children) * mean + query.cost) / drain_rate)
    return due


def return_time(
    now: float,
    tenant: Tenant,
    query: QueuedQuery,
    queue: AdmissionQueue,
    drain_rate: float,
    horizon: float,
) -> float:
    """When a rejected query should return: after the queue and all earlier reservations of its
    tenant.
    """
    expected = expected_service_time(now, tenant, query, queue, drain_rate)
    if query.is_returning or tenant.rate == math.inf:
        return expected
    rate = max(tenant.rate, MIN_RATE)
    cost_ahead = tenant.queue.cost + tenant.reservations.cost_ahead(now, rate)
    return max(now + (cost_ahead + query.cost) / rate, min(expected, now + horizon))


def reserve(
    now: float,
    tenant: Tenant,
    query: QueuedQuery,
    reservations: ReservationBook,
    due: float,
    drain_rate: float,
) -> float:
    """Reserve the first free time from `due` on for a rejected query; returns that time."""
    due = reservations.book_time(now, due, query.cost, min(drain_rate, MAX_RATE))
    fingerprint = query.fingerprint or -query.id
    reserved = tenant.reservations.by_fingerprint.get(fingerprint, {}).get(query.session)
    if reserved is not None and reserved.due_at > now:  # the session sent the same query twice
        return reserved.due_at
    if reserved is not None:  # a due time in the past would give a negative Retry-After
        reservations.remove(tenant.reservations, reserved)
    reservations.add(
        tenant.reservations, tenant.key, fingerprint, query.session, now, due, query.cost
    )
    return due


def remaining_wait(tenant: Tenant, cost: float) -> float:
    """How long, in ms, a query of this cost that returns now as told is still queued."""
    return (tenant.queue.returning_cost + cost) / max(tenant.rate, MIN_RATE)
