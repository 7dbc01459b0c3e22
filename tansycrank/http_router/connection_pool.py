"""A bounded pool of connections to all data nodes that reports one outcome for each call.

The routing policy decides which endpoint gets a call, when it is sent and when it times out.
"""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.byte_budget import ByteBudget
from tansycrank.http_router import frames
from tansycrank.http_router.endpoint_connections import EndpointConnections
from tansycrank.http_router.node_connection import NodeConnection
from tansycrank.http_router.node_connection_interfaces import ConnectionLimits
from tansycrank.http_router.outgoing_call import OutcomeCallback, OutgoingCall
from tansycrank.lifecycle import Attempt
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory

# Fraction of a node's idle timeout after which the router closes an idle connection first.
IDLE_TIMEOUT_FRACTION = 0.8
# Upper bound of the time in which a partly sent frame with a revoked call must be sent completely.
REVOKED_FRAME_TIMEOUT_SECONDS = 0.1


class ConnectionPool:
    """Holds at most `max_connections` connections and sends shard requests on them.

    A connection carries at most `max_calls_per_connection` shard requests, a frame at most
    `call_batch_size`. Pending `notifications` of discovery are read before a frame is sent.
    """

    def __init__(
        self,
        reactor,
        max_calls_per_connection: int,
        call_batch_size: int,
        connect_timeout_ms: float,
        idle_ms: float,
        max_connections: int,
        log: Callable[..., None],
        drain_grace_ms: float = float("inf"),
        max_held_bytes: float = float("inf"),
    ) -> None:
        """Create an empty pool; `idle_ms` is the time after which nodes close idle connections."""
        self.reactor, self.log = reactor, log
        self.max_calls_per_connection = max_calls_per_connection
        self.call_batch_size = call_batch_size
        self.max_connections = max_connections
        self.notifications = PendingNotifications(reactor, lambda: None)
        self._limits = ConnectionLimits(
            connect_timeout=connect_timeout_ms / 1000,
            revoked_frame_timeout=min(REVOKED_FRAME_TIMEOUT_SECONDS, drain_grace_ms / 2000),
            idle_timeout=IDLE_TIMEOUT_FRACTION * (idle_ms / 1000),
            held_bytes=ByteBudget(max_held_bytes),
        )
        self.endpoints: dict[int, EndpointConnections] = {}
        self.connections: set[NodeConnection] = set()  # including those of removed endpoints
        self.connections_opened = 0
        self._unflushed: list[EndpointConnections] = []

    @property
    def held_bytes(self) -> ByteBudget:
        """The bytes that all connections hold."""
        return self._limits.held_bytes

    @property
    def connection_count(self) -> int:
        """Number of open and pending connections."""
        return len(self.connections)

    # --- endpoints --------------------------------------------------------------------

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Set the address of an endpoint; connections to its previous address are drained."""
        connections = self.endpoints.get(endpoint)
        if connections is not None and not connections.has_address(host, port):
            self.remove_endpoint(endpoint)
        if endpoint not in self.endpoints:
            self.endpoints[endpoint] = EndpointConnections(
                endpoint, host, port, self.connections.discard
            )

    def remove_endpoint(self, endpoint: int) -> None:
        """Remove an endpoint; its connections close once the calls sent on them have ended."""
        self.revoke_unsent(endpoint)
        if removed := self.endpoints.pop(endpoint, None):
            for connection in list(removed.connections):
                connection.drain()

    def revoke_unsent(self, endpoint: int) -> None:
        """Revoke the calls to a draining endpoint that have not been sent completely.

        Otherwise they would start there as soon as a pending connection is established or a hung
        node resumes reading.
        """
        if draining := self.endpoints.get(endpoint):
            for connection in list(draining.connections):
                connection.revoke_unsent()

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections of an endpoint."""
        if connections := self.endpoints.get(endpoint):
            for connection in connections.idle():
                connection.drain()

    # --- calls ------------------------------------------------------------------------

    def send(
        self,
        id: bytes,
        endpoint: int,
        shard: int,
        text: bytes,
        timeout_ms: float,
        on_outcome: OutcomeCallback,
        attempt: Attempt,
        connect_limit_ms: float = 0.0,
        idempotency_key: bytes = b"",
        transmit_limit_ms: float = 0.0,
    ) -> OutgoingCall:
        """Queue a shard request for the next `flush`; a limit of 0 means no limit.

        A call ends as never executed if it waits longer than `connect_limit_ms` for its connection
        or behind other frames, or if its last byte is not sent within `transmit_limit_ms`.
        `on_outcome` is never called before this method returns.
        """
        call = OutgoingCall(
            id,
            shard,
            text,
            self.reactor.seconds() + timeout_ms / 1000,
            on_outcome,
            attempt,
            idempotency_key=idempotency_key,
            connect_limit=connect_limit_ms / 1000,
            transmit_limit=transmit_limit_ms / 1000,
        )
        target = self.endpoints.get(endpoint)
        if target is None:
            self.reactor.callLater(0, call.finish, Outcome.CONNECT_FAILED)
            return call
        call.start_timeout(self.reactor, timeout_ms / 1000)
        if not target.unflushed:
            self._unflushed.append(target)
        target.unflushed.append(call)
        return call

    def flush(self) -> None:
        """Send the calls of the current policy step; calls to the same endpoint share frames."""
        targets, self._unflushed = self._unflushed, []
        for target in targets:
            calls = target.take_unflushed()
            for start in range(0, len(calls), self.call_batch_size):
                self._dispatch(target, calls[start : start + self.call_batch_size])

    def cancel(self, call: OutgoingCall) -> None:
        """Cancel a call and notify its node if it was sent."""
        call.cancel()

    def revoke(self, call: OutgoingCall) -> None:
        """Prevent a call from starting; a call its node has received is not cancelled."""
        call.revoke()

    def _dispatch(self, target: EndpointConnections, calls: list[OutgoingCall]) -> None:
        connection = self._select_connection(target, calls)
        if connection is None:
            for call in calls:
                self.reactor.callLater(0, call.finish, Outcome.NOT_SENT)
            return
        connection.enqueue(calls)
        for call in [call for call in calls if not call.ended]:
            call.start_send_timers(self.reactor)

    def _select_connection(
        self, target: EndpointConnections, calls: list[OutgoingCall]
    ) -> NodeConnection | None:
        """Return an idle connection, else a new one, else the least loaded.

        Sharing a connection is the last choice because all its calls are lost when it breaks.
        """
        connection = target.least_loaded(calls, self.max_calls_per_connection)
        if connection is None or (connection.load and self._may_open_another(target)):
            return self._open(target) or connection
        return connection

    def _may_open_another(self, target: EndpointConnections) -> bool:
        return len(target.connections) < max(self.max_connections // len(self.endpoints), 1)

    # --- connections ------------------------------------------------------------------

    def _open(self, target: EndpointConnections) -> NodeConnection | None:
        if self.connection_count >= self.max_connections and not self._close_least_recently_used():
            return None
        connection = NodeConnection(
            self.reactor, target.endpoint, self._limits, target, self.notifications, self.log
        )
        target.connections.add(connection)
        self.connections.add(connection)
        self.connections_opened += 1
        factory = SingleConnectionFactory(connection, connection.on_closed)
        connection.connector = self.reactor.connectTCP(
            target.host, target.port, factory, timeout=self._limits.connect_timeout
        )
        return connection

    def _close_least_recently_used(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        idle = (
            connection
            for connections in self.endpoints.values()
            for connection in connections.idle()
        )
        oldest = min(idle, key=lambda connection: connection.last_used, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def run_maintenance(self) -> None:
        """Close connections that were idle too long or on which an incoming frame has stalled."""
        now = self.reactor.seconds()
        for connection in list(self.connections):
            if connection.has_expired(now):
                connection.close()
            elif connection.has_stalled_frame(now):
                connection.fail(
                    frames.FrameError("incomplete frame: timed out waiting for the rest")
                )

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()
