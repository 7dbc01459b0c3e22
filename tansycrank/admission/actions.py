"""Actions that the admission policy asks its controller to carry out. Times are in ms."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a query was rejected; the values are sent to clients (`reason=` in DETAIL)."""

    EXPECTED_TOO_LATE = "line"  # it would be served after its deadline
    DEADLINE_PASSED = "late"  # its latest useful start passed while it was queued
    QUEUE_FULL = "full"
    DISPLACED = "pushed"  # its tenant holds most of the full queue
    ROUTING_REJECTED = "module"
    TOO_EARLY = "early"  # it came back before its Retry-After had passed


@dataclass(frozen=True, slots=True)
class Admit:
    """Start the query now."""

    id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the query now with Retry-After `wait`.

    `corrected` tells that the client came back as told and the earlier Retry-After could not be
    honoured.
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
