"""What a client connection needs of the server that accepted it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.settings import Settings


class ConnectionServer(Protocol):
    """The owner of client connections, as its connections see it."""

    reactor: object
    settings: Settings
    coordinator: Coordinator
    log: Callable[..., None]
    overslept: Callable[[], float]
    ready: bool
    draining: bool
    is_admitting: bool
    retry_after: float

    @property
    def now(self) -> float:
        """Seconds of the reactor's clock."""

    def schedule_admission(self, connection: AdmissibleConnection) -> None:
        """Call `connection.admit` once its socket has been polled and had nothing more to read."""

    def on_bytes_received(self, connection: AdmissibleConnection) -> None:
        """Postpone a scheduled admission: the connection has just received more bytes."""

    def on_request_started(self, connection: AdmissibleConnection) -> None:
        """Note that the connection is in use again."""

    def on_query_answered(self, connection: AdmissibleConnection) -> None:
        """Note that the connection has answered all its queries and is kept open."""

    def on_request_unusable(self, problem: str) -> None:
        """Count a request that was read and cannot be used."""

    def on_request_unreadable(self) -> None:
        """Count a request that cannot be parsed."""

    def on_closing(self, reason: str) -> None:
        """Count a connection that this process closes."""

    def on_closed(self, connection: AdmissibleConnection) -> None:
        """Forget a connection that has ended."""


class AdmissibleConnection(Protocol):
    """A connection whose requests are admitted some polls after they were read."""

    def admit(self) -> None:
        """Admit the requests that were read."""
