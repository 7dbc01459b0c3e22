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

    `mark` is a hash that identifies the query among those of its client, `size` the bytes it holds
    while it is queued, `repeat` whether the client declares it a retry.
    """

    id: int
    tenant: str
    client: str
    query_class: int
    shard_requests: int
    remaining: float
    statement: int = 0
    mark: int = 0
    size: int = 0
    repeat: bool = False
    limits: Limits = field(default_factory=Limits)
    session: int = 0


@dataclass(frozen=True, slots=True)
class QueryCancelled:
    """The client of a queued query disconnected or cancelled it."""

    id: int


@dataclass(frozen=True, slots=True)
class QueryEnded:
    """An admitted query ended after `took` ms; `hold_off`: Retry-After of the routing policy."""

    id: int
    kind: str
    took: float
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeriodicTick:
    """A timer expired, `late` ms after it was due."""

    late: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitsChanged:
    """An operator changed the limits of a tenant."""

    tenant: str
    limits: Limits


Event = QueryArrived | QueryCancelled | QueryEnded | PeriodicTick | LimitsChanged
