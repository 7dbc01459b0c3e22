"""Counts the connections that the router closes, by reason, and logs a limited number of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Protocol

from tansycrank.log_rate import LogRateLimiter

MAX_LINES_PER_SECOND = 3  # per reason


@dataclass(frozen=True, slots=True)
class ClosedConnection:
    """What is told of a connection that the router closes."""

    reason: str
    state: str
    peer: str
    age_ms: float
    requests: int  # that were read whole
    unread_bytes: int
    unsent_bytes: int
    held_bytes: int
    parse_ms: float


class ReportedConnection(Protocol):
    """A client connection, as far as its description depends on it."""

    transport: object
    state: Enum
    accepted_at: float  # s
    request_count: int
    held_bytes: int
    parse_seconds: float


def describe(connection: ReportedConnection, reason: str, now: float) -> ClosedConnection:
    """Return what is told at `now` (s) of a connection that is closed for this reason."""
    transport = connection.transport
    peer = transport.getPeer()
    return ClosedConnection(
        reason,
        connection.state.value,
        f"{peer.host}:{peer.port}",
        round((now - connection.accepted_at) * 1000, 1),
        connection.request_count,
        transport.unread_bytes,
        transport.unsent_bytes,
        connection.held_bytes,
        round(connection.parse_seconds * 1000, 2),
    )


class CloseLog:
    """Counts closes by reason; at most `MAX_LINES_PER_SECOND` lines are logged for each reason."""

    def __init__(self, log: Callable[..., None]) -> None:
        self.counts: Counter[str] = Counter()
        self._log = log
        self._rate = LogRateLimiter(MAX_LINES_PER_SECOND)

    def record(self, connection: ReportedConnection, reason: str, now: float) -> None:
        """Count and log a close at `now` (s)."""
        self.counts[reason] += 1
        if self._rate.allows(reason, now):
            self._log("client_connection_closed", **asdict(describe(connection, reason, now)))
