"""When a query would be served, and the Retry-After of one that is rejected."""

from __future__ import annotations

import math

from tansycrank.admission.admission_queue import AdmissionQueue
from tansycrank.admission.fair_queue import Ticket
from tansycrank.admission.reservations import Book
from tansycrank.admission.tenants import Tenant

MIN_RATE = 1e-9
MAX_RATE = 1e9
MIN_NEWCOMER_SHARE = 0.02  # of a tenant's rate that new queries get beside returning ones


def expected_service_time(
    now: float, tenant: Tenant, ticket: Ticket, queue: AdmissionQueue, drain: float
) -> float:
    """When the query would be served if it were queued now.

    New queries get the rate that returning ones leave over. Only those that did return count:
    counting all reservations would shut out a tenant whose clients never return.
    """
    rate = max(tenant.rate, MIN_RATE)
    if rate == math.inf:
        return now
    if ticket.returning:
        return now + (tenant.line.returning_charge + ticket.charge) / rate
    newcomer_rate = max(rate - tenant.returns.rate(now), MIN_NEWCOMER_SHARE * rate)
    due = now + (tenant.line.ahead(ticket.client) + ticket.charge) / newcomer_rate
    if not tenant.line and not tenant.account.count:  # fair queueing serves it within one round
        mean = queue.charge / max(queue.scheduler.size, 1)
        due = min(due, now + (len(queue.scheduler.children) * mean + ticket.charge) / drain)
    return due


def return_time(
    now: float, tenant: Tenant, ticket: Ticket, queue: AdmissionQueue, drain: float, horizon: float
) -> float:
    """When a rejected query should return: after the queue and all earlier reservations of its
    tenant.
    """
    expected = expected_service_time(now, tenant, ticket, queue, drain)
    if ticket.returning or tenant.rate == math.inf:
        return expected
    rate = max(tenant.rate, MIN_RATE)
    ahead = tenant.line.charge + tenant.account.ahead(now, rate)
    return max(now + (ahead + ticket.charge) / rate, min(expected, now + horizon))


def reserve(
    now: float, tenant: Tenant, ticket: Ticket, book: Book, due: float, drain: float
) -> float:
    """Reserve the first free time from `due` on for a rejected query; returns that time."""
    due = book.slot(now, due, ticket.charge, min(drain, MAX_RATE))
    mark = ticket.mark or -ticket.id
    reserved = tenant.account.places.get(mark, {}).get(ticket.session)
    if reserved is not None and reserved.due > now:  # the session sent the same query twice
        return reserved.due
    if reserved is not None:  # a due time in the past would give a negative Retry-After
        book.drop(tenant.account, reserved)
    book.keep(tenant.account, tenant.key, mark, ticket.session, now, due, ticket.charge)
    return due


def remaining_wait(tenant: Tenant, charge: float) -> float:
    """How long, in ms, a query of this cost that returns now as told is still queued."""
    return (tenant.line.returning_charge + charge) / max(tenant.rate, MIN_RATE)
