"""The connections to one data node at one address, and the choice among them for a call."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router.node_connection import NodeConnection
from tansycrank.http_router.outgoing_call import OutgoingCall


class EndpointConnections:
    """The connections of one endpoint and its calls of the current policy step, not yet flushed."""

    def __init__(
        self, endpoint: int, host: str, port: int, on_closed: Callable[[NodeConnection], None]
    ) -> None:
        """Start without connections; `on_closed` is called with each connection that closes."""
        self.endpoint, self.host, self.port = endpoint, host, port
        self.connections: set[NodeConnection] = set()
        self.unflushed: list[OutgoingCall] = []
        self._on_closed = on_closed

    def on_connection_closed(self, connection: NodeConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self._on_closed(connection)

    def has_address(self, host: str, port: int) -> bool:
        """Whether the endpoint has this address."""
        return (self.host, self.port) == (host, port)

    def idle(self) -> list[NodeConnection]:
        """Return the established connections without calls."""
        return [connection for connection in self.connections if connection.is_idle]

    def least_loaded(
        self, calls: list[OutgoingCall], max_calls_per_connection: int
    ) -> NodeConnection | None:
        """Return the least loaded connection that can take these calls; established ones first.

        Return None if each is full, draining, or may still receive an answer to one of the ids.
        """
        ids = {call.id for call in calls}
        limit = max(max_calls_per_connection, len(calls))
        usable = [
            connection
            for connection in self.connections
            if connection.accepts_calls
            and connection.load + len(calls) <= limit
            and not connection.may_receive_answer_to(ids)
        ]
        return min(usable, key=_selection_key, default=None)

    def take_unflushed(self) -> list[OutgoingCall]:
        """Return the calls of the current policy step that have not ended, and clear the list."""
        calls = [call for call in self.unflushed if not call.ended]
        self.unflushed = []
        return calls


def _selection_key(connection: NodeConnection) -> tuple[int, bool, float]:
    return connection.load, not connection.is_established, -connection.last_used
