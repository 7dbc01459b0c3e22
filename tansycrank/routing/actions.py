"""Actions that a routing policy returns.

The actions of one step take effect at that step's time, in the order given. All times are
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of a shard request: the first one, a retry or a hedge.

    `timeout`: the host ends the attempt after that time, as `TIMED_OUT`.

    `connect_timeout`: the host revokes the attempt if it still waits for a connection after that
    time and has written nothing; 0 leaves the limit to the host. Hosts that cannot tell ignore it.

    `write_timeout`: the host revokes the attempt if its last byte has not been written after that
    time, since its deduplication window ends; 0 means no limit.

    A revoked attempt ends with an outcome that has `never_executed`.
    """

    shard_request: int
    endpoint: int
    timeout: float = 0.0
    connect_timeout: float = 0.0
    write_timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    shard_request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the query from the responses received so far."""

    query: int
    complete: bool


class FailureReason(Enum):
    """Why a query is rejected or failed; used in counters and logs."""

    NO_START = "no shard request could start in time"
    PROBE_LATE = "its probe shard request was not answered in time"
    TOO_FEW_SHARDS = "too few of its shards can still answer"
    TARGET_PASSED = "its latency target has passed"
    DEADLINE_PASSED = "its deadline has passed"
    HARMFUL = "endpoints broke off as they began it"
    INCOMPLETE = "an answer in part is of no use to its client"
    STOPPING = "this router stops"
    UNREADABLE = "its connection cannot be read any more"
    FAULT = "a fault of this router"


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the query: the client may safely retry it. `reason` is ignored by `==`."""

    query: int
    retry_after: float = 0.0
    reason: FailureReason = field(default=FailureReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the query: it may have been executed. `reason` is ignored by `==`."""

    query: int
    reason: FailureReason = field(default=FailureReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer, which expires as `TimerExpired` with the same token."""

    after: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop watching service discovery for changes."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Request one full endpoint list from service discovery; not used by the policy yet."""


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Run a health check of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a gossip message to one router, or to all routers if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the operators' log."""

    text: str


Action = (
    Send
    | Cancel
    | Answer
    | Reject
    | Fail
    | SetTimer
    | WatchEndpoints
    | PollEndpoints
    | CheckHealth
    | CloseIdleConnections
    | SendGossip
    | LogMessage
)
