"""The connections to all data nodes, within bounds; exactly one outcome for each call.

The routing policy decides which endpoint gets a call, when, and how long that is waited for.
"""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router import frames
from tansycrank.http_router.endpoint_connections import EndpointConnections
from tansycrank.http_router.node_connection import ConnectionLimits, NodeConnection
from tansycrank.http_router.outgoing_call import Done, OutgoingCall
from tansycrank.lifecycle import Attempt
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory

IDLE_SHARE = 0.8  # of the time after which a node closes an idle connection
REVOKED_FRAME_LIMIT_SECONDS = 0.1


class ConnectionPool:
    """At most `max_connections` connections, `max_calls_per_connection` shard requests on each.

    A frame carries `call_batch_size` shard requests at most. `notifications` are read before it
    leaves.
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
    ) -> None:
        """`idle_ms` is the time after which nodes close unused connections."""
        self.reactor, self.log = reactor, log
        self.max_calls_per_connection = max_calls_per_connection
        self.call_batch_size = call_batch_size
        self.max_connections = max_connections
        self.notifications = PendingNotifications(reactor, lambda: None)
        self._limits = ConnectionLimits(
            connect_timeout=connect_timeout_ms / 1000,
            revoked_frame=min(REVOKED_FRAME_LIMIT_SECONDS, drain_grace_ms / 2000),
            idle=IDLE_SHARE * (idle_ms / 1000),
        )
        self.endpoints: dict[int, EndpointConnections] = {}
        self.connections: set[NodeConnection] = set()  # those of removed endpoints included
        self.connections_opened = 0
        self._unflushed: list[EndpointConnections] = []

    @property
    def connection_count(self) -> int:
        """Connections held."""
        return len(self.connections)

    # --- endpoints --------------------------------------------------------------------

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Set the address of an endpoint; connections to its old address finish their calls."""
        known = self.endpoints.get(endpoint)
        if known is not None and not known.has_address(host, port):
            self.remove_endpoint(endpoint)
        if endpoint not in self.endpoints:
            self.endpoints[endpoint] = EndpointConnections(
                endpoint, host, port, self.connections.discard
            )

    def remove_endpoint(self, endpoint: int) -> None:
        """Remove an endpoint: its connections close once the calls sent on them are ended."""
        self.revoke_unsent(endpoint)
        if removed := self.endpoints.pop(endpoint, None):
            for connection in list(removed.connections):
                connection.retire()

    def revoke_unsent(self, endpoint: int) -> None:
        """Keep calls that have not left from starting at a draining endpoint.

        Without this they start there when a pending connection comes up, or a hung node reads on.
        """
        if draining := self.endpoints.get(endpoint):
            for connection in list(draining.connections):
                connection.revoke_unsent()

    def close_idle(self, endpoint: int) -> None:
        """Close the unused connections of an endpoint."""
        if known := self.endpoints.get(endpoint):
            for connection in known.idle():
                connection.retire()

    # --- calls ------------------------------------------------------------------------

    def send(
        self,
        id: bytes,
        endpoint: int,
        shard: int,
        text: bytes,
        time_out: float,
        done: Done,
        attempt: Attempt,
        connect_within: float = 0.0,
        idempotency_key: bytes = b"",
        leave_within: float = 0.0,
    ) -> OutgoingCall:
        """Send a shard request at the next `flush`; spans are ms, 0 for no limit.

        A call ends as never executed if it waits longer than `connect_within` for its connection
        or behind other frames, or if its last byte has not left after `leave_within`.
        `done` is never called before this returns.
        """
        call = OutgoingCall(
            id,
            shard,
            text,
            self.reactor.seconds() + time_out / 1000,
            done,
            attempt,
            idempotency_key=idempotency_key,
            connect_limit=connect_within / 1000,
            transmit_limit=leave_within / 1000,
        )
        target = self.endpoints.get(endpoint)
        if target is None:
            self.reactor.callLater(0, call.finish, Outcome.CONNECT_FAILED)
            return call
        call.start_timeout(self.reactor, time_out / 1000)
        if not target.unflushed:
            self._unflushed.append(target)
        target.unflushed.append(call)
        return call

    def flush(self) -> None:
        """Write the calls of the policy step; those to one endpoint share frames."""
        targets, self._unflushed = self._unflushed, []
        for target in targets:
            calls = target.take_unflushed()
            for start in range(0, len(calls), self.call_batch_size):
                self._dispatch(target, calls[start : start + self.call_batch_size])

    def cancel(self, call: OutgoingCall) -> None:
        """Stop waiting for a call."""
        call.cancel()

    def revoke(self, call: OutgoingCall) -> None:
        """Keep a call from starting; what a node already has of it is not cancelled."""
        call.revoke()

    def _dispatch(self, target: EndpointConnections, calls: list[OutgoingCall]) -> None:
        connection = self._choose(target, calls)
        if connection is None:
            for call in calls:
                self.reactor.callLater(0, call.finish, Outcome.NOT_SENT)
            return
        connection.carry(calls)
        for call in [call for call in calls if not call.ended]:
            call.start_send_timers(self.reactor)

    def _choose(
        self, target: EndpointConnections, calls: list[OutgoingCall]
    ) -> NodeConnection | None:
        """Return an idle connection, else a new one, else the least loaded.

        Calls that share a connection are lost together when it breaks.
        """
        connection = target.least_loaded(calls, self.max_calls_per_connection)
        if connection is None or (connection.load and self._has_quota(target)):
            return self._open(target) or connection
        return connection

    def _has_quota(self, target: EndpointConnections) -> bool:
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
        """Close the connection that was idle longest; return whether there was one."""
        idle = (connection for known in self.endpoints.values() for connection in known.idle())
        oldest = min(idle, key=lambda connection: connection.last_used, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def run_maintenance(self) -> None:
        """Close connections that were idle too long or that stalled within a frame."""
        now = self.reactor.seconds()
        for connection in list(self.connections):
            if connection.has_expired(now):
                connection.close()
            elif connection.has_stalled_frame(now):
                connection.fail(frames.FrameError("a frame that does not go on"))

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()
