"""Interfaces between client connections and the server that accepted them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.byte_budget import ByteBudget
from tansycrank.http_router.body_reservations import BodyReservations
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.disconnect_monitor import DisconnectMonitor
from tansycrank.http_router.input_scheduler import InputScheduler
from tansycrank.http_router.settings import Settings


class ConnectionServer(Protocol):
    """The server that owns client connections, as seen by a connection."""

    reactor: object
    settings: Settings
    coordinator: Coordinator
    log: Callable[..., None]
    unread_seconds: Callable[[], float]
    held_bytes: ByteBudget  # of all its connections
    input_scheduler: InputScheduler
    disconnect_monitor: DisconnectMonitor
    body_reservations: BodyReservations
    ready: bool
    draining: bool
    is_admitting: bool
    retry_after: float

    @property
    def now(self) -> float:
        """Time of the reactor's clock, in seconds."""

    def on_connected(self, connection: AdmissibleConnection) -> None:
        """Add a connection that was accepted and has its transport."""

    def schedule_admission(self, connection: AdmissibleConnection) -> None:
        """Call `connection.admit` after further polls of its socket found no more data."""

    def on_bytes_received(self, connection: AdmissibleConnection) -> None:
        """Postpone a scheduled admission because the connection received more data."""

    def on_request_started(self, connection: AdmissibleConnection) -> None:
        """Mark the connection as in use."""

    def on_lingering(self, connection: AdmissibleConnection) -> None:
        """Mark the connection as one that only discards input until its client closes it."""

    def on_query_answered(self, connection: AdmissibleConnection) -> None:
        """Mark the connection as idle: all its queries are answered and it stays open."""

    def on_request_rejected(self, problem: str) -> None:
        """Count a request that was parsed and rejected."""

    def on_request_malformed(self) -> None:
        """Count a request that cannot be parsed."""

    def on_closing(self, connection: AdmissibleConnection, reason: str) -> None:
        """Count and log a connection that this process closes."""

    def on_closed(self, connection: AdmissibleConnection) -> None:
        """Remove a connection that has closed."""


class AdmissibleConnection(Protocol):
    """A connection whose requests are admitted a few polls after they were read."""

    def admit(self) -> None:
        """Admit the requests that await admission."""
