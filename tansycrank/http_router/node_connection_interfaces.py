"""What a connection to a data node requires of the pool that owns it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tansycrank.byte_budget import ByteBudget


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits shared by all connections of a pool: times in seconds, and the bytes of all."""

    connect_timeout: float
    revoked_frame_timeout: float  # for sending the rest of a frame with a revoked call
    idle_timeout: float  # after which an idle connection is closed
    held_bytes: ByteBudget


class ConnectionOwner(Protocol):
    """The interface that a connection requires of its owner."""

    def on_connection_closed(self, connection: object) -> None:
        """Remove the connection; called once, before its calls are ended."""
