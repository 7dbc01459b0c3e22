"""When a query is expected to start, and the Retry-After of a rejected one. Times are in ms."""

from __future__ import annotations

import math

from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.fair_queue import QueuedQuery
from tansycrank.admission.reservations import ReservationBook
from tansycrank.admission.tenants import Tenant

# Bounds on rates in cost per ms, which may be 0 or infinite.
MIN_RATE = 1e-9
MAX_RATE = 1e9
MIN_NEW_SHARE = 0.02  # minimum share of a tenant's rate that new queries get


def expected_start_time(
    now: float, tenant: Tenant, query: QueuedQuery, queue: AdmissionQueue, drain_rate: float
) -> float:
    """The time at which the query would start if it were queued now.

    New queries get the rate that returning ones leave. Only queries that did return are counted:
    with all reservations counted, a tenant whose clients never return would be locked out.
    """
    rate = max(tenant.rate, MIN_RATE)
    if rate == math.inf:
        return now
    if query.is_returning:
        return now + (tenant.queue.returning_cost + query.cost) / rate
    new_query_rate = max(rate - tenant.return_demand.rate(now), MIN_NEW_SHARE * rate)
    due = now + (tenant.queue.cost_ahead(query.client) + query.cost) / new_query_rate
    # Fair queueing serves the first query of a tenant that was idle within one round.
    if not tenant.queue and not tenant.reservations.count:
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
    """The time at which a rejected query should return.

    That is after the queued queries and all earlier reservations of its tenant.
    """
    expected = expected_start_time(now, tenant, query, queue, drain_rate)
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
    if reserved is not None and reserved.due_at > now:  # the session has sent the same query twice
        return reserved.due_at
    if reserved is not None:  # a due time in the past would give a negative Retry-After
        reservations.remove(tenant.reservations, reserved)
    reservations.add(
        tenant.reservations, tenant.key, fingerprint, query.session, now, due, query.cost
    )
    return due


def remaining_wait(tenant: Tenant, cost: float) -> float:
    """The time in ms for which a query of this cost is queued if it returns now, when due."""
    return (tenant.queue.returning_cost + cost) / max(tenant.rate, MIN_RATE)
