"""Actions that the admission controller carries out for the admission policy. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a query was rejected; the values are sent to clients (`reason=` in DETAIL)."""

    EXPECTED_TOO_LATE = "line"  # it would start after its latest useful start
    DEADLINE_PASSED = "late"  # its latest useful start passed while it was queued
    QUEUE_FULL = "full"  # the admission queue is full
    DISPLACED = "pushed"  # displaced from the full queue, of which its tenant holds most
    ROUTING_REJECTED = "module"  # the routing policy rejected it
    TOO_EARLY = "early"  # it was retried before its Retry-After had passed


@dataclass(frozen=True, slots=True)
class Admit:
    """Start the query now."""

    id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the query now with Retry-After `wait`.

    `corrected` tells that the client returned at its reserved time and that the reservation could
    not be honoured.
    """

    id: int
    wait: float
    reason: RejectionReason
    corrected: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call `step` again at this time."""

    at: float


Action = Admit | Reject | SetTimer
