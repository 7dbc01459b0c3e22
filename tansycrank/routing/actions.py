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

    `timeout`: when the host ends it, as `TIMED_OUT`. `connect_timeout`: when the host revokes it if
    nothing was written since there is no connection; 0 leaves that to the host, and hosts that
    cannot tell ignore it. `write_timeout`: when the host revokes it if its last byte was not
    written, since its deduplication window ends; 0 for never. The outcome of an attempt that was
    revoked has `never_executed`.
    """

    shard_request: int
    endpoint: int
    timeout: float = 0.0
    connect_timeout: float = 0.0
    write_timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    shard_request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the query from the responses received so far."""

    query: int
    complete: bool


class FailureReason(Enum):
    """Why a query gets no answer from the shards; for counters and logs."""

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
    """Reject the query: a retry does no harm. `reason` is not compared."""

    query: int
    retry_after: float = 0.0
    reason: FailureReason = field(default=FailureReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail the query: it may have been executed. `reason` is not compared."""

    query: int
    reason: FailureReason = field(default=FailureReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask to be woken."""

    after: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on, or no longer."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpoints:
    """Ask discovery for the whole list once; the policy does not use it yet."""


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check the health of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a short message to one peer, or to all where `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

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
