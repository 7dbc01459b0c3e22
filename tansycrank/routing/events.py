"""Events that a routing policy handles, in order of arrival. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt or a health check ended."""

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
        """Whether this outcome proves that the endpoint did not execute the attempt."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


class EndpointStatus(Enum):
    """The state of an endpoint in service discovery."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "removed"


class EndpointListKind(Enum):
    """What an endpoint list update contains; FAILED if a call to discovery failed."""

    SNAPSHOT = "snapshot"
    CACHED = "cached"
    DELTA = "delta"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint of an endpoint list.

    `started_at` is 0 for an endpoint that started long ago. `weight` is the weight that discovery
    reports; the policy does not use it. `reported_incarnation` is None if discovery reports none.
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
        """Increases with each restart of the endpoint; its start time if none is reported."""
        return self.started_at if self.reported_incarnation is None else self.reported_incarnation


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A full endpoint list, changes to it, or a failed call to service discovery."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query was accepted; its shard requests follow in the same step under the same `number`.

    `remaining`: ms until the client's deadline. `key`: the idempotency key, 0 for none. `is_retry`:
    the client marked the query as a retry.
    """

    query: int
    number: int
    query_class: int
    remaining: float
    shard_requests: int
    key: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class ShardRequestArrived:
    """A shard request of the first or the second step of the query with that `number`."""

    shard_request: int
    number: int
    shard: int
    weight: float
    key: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; there is exactly one such event for each `Send`.

    `load` holds the load figures reported by the endpoint.
    """

    shard_request: int
    attempt: int
    endpoint: int
    outcome: Outcome
    latency: float
    shard_request_ended: bool = False
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has started; its rows go to the client from now on."""

    shard_request: int
    attempt: int
    endpoint: int
    latency: float


@dataclass(frozen=True, slots=True)
class QueryCancelled:
    """The client has gone; `query` is the id of the query, or of a single shard request."""

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
    """A gossip message from another router of this tier."""

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
