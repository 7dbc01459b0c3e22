"""Events that a routing policy handles, in order of arrival. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt (or a probe) ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    CONNECTION_LOST = "connection lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_executed(self) -> bool:
        """Whether this outcome proves that the attempt was not executed."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """The state of an endpoint in service discovery."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListKind(Enum):
    """The kind of an endpoint list update."""

    SNAPSHOT = "snapshot"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of an endpoint list; `started_at` is 0 for long ago.

    `incarnation` grows with each restart of the endpoint; `started_at` is used if none is
    reported.
    """

    endpoint: int
    cell: int
    zone: int
    status: EndpointStatus
    started_at: float = 0.0
    weight: float = 1.0
    reported_incarnation: float | None = None

    @property
    def incarnation(self) -> float:
        """Grows with each restart of the endpoint."""
        return self.started_at if self.reported_incarnation is None else self.reported_incarnation


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list, changes to it, or that a call to discovery failed."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query was accepted. Its shard requests follow in the same step with its number."""

    query: int
    number: int
    query_class: int
    remaining: float
    shard_requests: int
    key: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class ShardRequestArrived:
    """A shard request of the query of that number, of its first step or its second."""

    shard_request: int
    number: int
    shard: int
    weight: float
    key: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Exactly one for each `Send`. `load` holds figures as the endpoint reported them."""

    shard_request: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency: float
    shard_request_ended: bool = False
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response began; its rows go to the client from now on."""

    shard_request: int
    attempt: int
    endpoint: int
    latency: float


@dataclass(frozen=True, slots=True)
class QueryCancelled:
    """The client has left: the query, or the shard request of that id, is over."""

    query: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    endpoint: int
    outcome: Outcome
    latency: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A message of another router of this tier."""

    peer: int
    data: bytes


Event = (
    EndpointListUpdate
    | QueryArrived
    | ShardRequestArrived
    | AttemptEnded
    | ResponseStarted
    | QueryCancelled
    | TimerExpired
    | HealthCheckEnded
    | GossipReceived
)
