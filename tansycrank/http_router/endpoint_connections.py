"""The connections to one data node at one address, and which of them carries a call."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router.node_connection import NodeConnection
from tansycrank.http_router.outgoing_call import OutgoingCall


class EndpointConnections:
    """The connections of one endpoint and the calls that the current policy step sends to it."""

    def __init__(
        self, endpoint: int, host: str, port: int, on_closed: Callable[[NodeConnection], None]
    ) -> None:
        """`on_closed` is called with each connection that ends."""
        self.endpoint, self.host, self.port = endpoint, host, port
        self.connections: set[NodeConnection] = set()
        self.unflushed: list[OutgoingCall] = []
        self._on_closed = on_closed

    def on_connection_closed(self, connection: NodeConnection) -> None:
        """Drop a connection that ended."""
        self.connections.discard(connection)
        self._on_closed(connection)

    def has_address(self, host: str, port: int) -> bool:
        """Whether this is where the endpoint is reached."""
        return (self.host, self.port) == (host, port)

    def idle(self) -> list[NodeConnection]:
        """Return the connections that carry nothing."""
        return [connection for connection in self.connections if connection.is_idle]

    def least_loaded(
        self, calls: list[OutgoingCall], max_calls_per_connection: int
    ) -> NodeConnection | None:
        """Return the connection that would carry these calls, preferring established ones.

        None where all are full, retired, or may still receive an answer to one of the ids.
        """
        ids = {call.id for call in calls}
        limit = max(max_calls_per_connection, len(calls))
        usable = [
            connection
            for connection in self.connections
            if connection.accepts_calls
            and connection.load + len(calls) <= limit
            and not connection.knows_any(ids)
        ]
        return min(usable, key=_preference, default=None)

    def take_unflushed(self) -> list[OutgoingCall]:
        """Return the calls of the current step that are still wanted, and forget them."""
        calls = [call for call in self.unflushed if not call.ended]
        self.unflushed = []
        return calls


def _preference(connection: NodeConnection) -> tuple[int, bool, float]:
    return connection.load, not connection.is_established, -connection.last_used
