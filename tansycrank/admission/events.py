"""Events that the admission policy handles. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from tansycrank.admission.settings import Limits


class QueryOutcome(StrEnum):
    """How an admitted query ended. REJECTED: the routing policy rejected it before it ran."""

    ANSWERED = "answered"
    REJECTED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query asks for admission.

    `remaining` is the time to its deadline, `statement` a hash of its text, `fingerprint` a hash of
    client, text and parameters, `size` the bytes that it occupies while it is queued. `is_retry`
    tells that the client declares it a retry.
    """

    id: int
    tenant: str
    client: str
    query_class: int
    shard_requests: int
    remaining: float
    statement: int = 0
    fingerprint: int = 0
    size: int = 0
    is_retry: bool = False
    limits: Limits = field(default_factory=Limits)
    session: int = 0


@dataclass(frozen=True, slots=True)
class QueryCancelled:
    """The client of a queued query disconnected or cancelled it."""

    id: int


@dataclass(frozen=True, slots=True)
class QueryEnded:
    """An admitted query ended, `latency` ms after its admission.

    `retry_after_ms` is the Retry-After of the routing policy if that rejected the query.
    """

    id: int
    outcome: str
    latency: float
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeriodicTick:
    """A timer expired, `timer_lag` ms after it was due."""

    timer_lag: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """An operator changed the limits of a tenant."""

    tenant: str
    limits: Limits


Event = QueryArrived | QueryCancelled | QueryEnded | PeriodicTick | LimitsChanged
