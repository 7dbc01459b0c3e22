"""Connections to all data nodes: a bounded pool for each node.

A call takes the most recently used idle connection, or opens one. Each call ends with exactly one
outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.lifecycle import Attempt
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.postgres.errors import REJECTED_BEFORE_RUN, PgError
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory
from tansycrank.sql_router.node_connection import NodeConnection
from tansycrank.sql_router.node_messages import ConnectionState
from tansycrank.sql_router.row_wait import RowWaitLimit
from tansycrank.sql_router.shard_statement import AttemptResult, ShardStatement

# The least time a call may wait for its connection, in mean login times: a login takes several
# round trips.
MIN_CONNECT_WAIT_LOGINS = 3.0
LOGIN_SMOOTHING = 0.125  # weight of the newest login in the moving average of login times


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One attempt of a shard request, from the policy's `Send` to its outcome."""

    endpoint: int
    statement: ShardStatement
    stream: ShardRowStream
    done: Callable[[AttemptResult], None]
    attempt: Attempt | None  # decides whether it may start; None for a denied attempt
    connection: NodeConnection | None = None
    is_sent: bool = False  # written to its connection
    ended: bool = False
    timer: object = None
    connect_timer: object = None  # active while the call waits for its connection

    @classmethod
    def denied(cls, endpoint: int, statement: ShardStatement) -> OutgoingCall:
        """Return an ended call in place of an attempt that the lifecycle denied."""
        return cls(endpoint, statement, None, lambda ended: None, None, ended=True)

    def cancel_timeout(self) -> None:
        """Cancel the limit on the time of an attempt, or on the wait for its rows."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def cancel_connect_timeout(self) -> None:
        """Cancel the limit on waiting for a connection."""
        if self.connect_timer is not None and self.connect_timer.active():
            self.connect_timer.cancel()

    def finish(self, ended: AttemptResult) -> None:
        """Report the outcome; later calls have no effect."""
        if self.ended:
            return
        self.ended = True
        self.cancel_timeout()
        self.cancel_connect_timeout()
        self.done(ended)


@dataclass(slots=True, eq=False)
class NodePool:
    """The connections to one data node."""

    host: str
    port: int
    idle: list[NodeConnection] = field(default_factory=list)
    connections: set[NodeConnection] = field(default_factory=set)
    # Each of these has a connection of its own being opened.
    waiting: list[OutgoingCall] = field(default_factory=list)


class ConnectionPool:
    """The connections of this router to all data nodes.

    `notifications` are read before the first byte of a shard request is written to its socket.
    """

    def __init__(
        self, reactor, store, parameters: dict[str, str], max_row: int = 64 * 1024 * 1024
    ) -> None:
        self.reactor, self.store, self.parameters, self.max_row = (
            reactor,
            store,
            parameters,
            max_row,
        )
        self.nodes: dict[int, NodePool] = {}
        self.opened = self.closed = 0
        self.notifications = PendingNotifications(reactor, lambda: None)
        self._mean_login_ms = 0.0
        self.defer_read: Callable[[NodeConnection], None] | None = None  # queues large reads

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Set the address of a node; close its connections if the address changed."""
        node = self.nodes.get(endpoint)
        if node is not None and (node.host, node.port) == (host, port):
            return
        if node is not None:
            self._close_all(node)
        self.nodes[endpoint] = NodePool(host, port)

    def remove_endpoint(self, endpoint: int) -> None:
        """Close the idle connections of a removed node; busy ones finish first."""
        if endpoint in self.nodes:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections of a node."""
        node = self.nodes.get(endpoint)
        while node is not None and node.idle:
            node.idle[-1].close()

    def close(self) -> None:
        """Close all connections."""
        for node in self.nodes.values():
            self._close_all(node)

    def _close_all(self, node: NodePool) -> None:
        for connection in list(node.connections):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that were idle for longer than `idle_link_ms`; called periodically."""
        cutoff = self.reactor.seconds() - self.store.idle_link_ms / 1000
        for node in self.nodes.values():
            for connection in [one for one in node.idle if one.last_used < cutoff]:
                connection.close()

    # --- calls ------------------------------------------------------------------------

    def send(
        self,
        endpoint: int,
        statement: ShardStatement,
        stream: ShardRowStream,
        timeout_ms: float,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
        connect_wait_ms: float = 0.0,
    ) -> OutgoingCall:
        """Send a shard request; `done` is called exactly once, never before this returns.

        The call ends as never executed if it waits longer for its connection than
        `connect_wait_ms` or `MIN_CONNECT_WAIT_LOGINS` mean login times, whichever is longer.
        A `timeout_ms` or `connect_wait_ms` of 0 sets no limit. Raises PgError, with nothing
        changed, for a statement that cannot be encoded.
        """
        statement.check_encodable()
        call = OutgoingCall(endpoint, statement, stream, done, attempt)
        node = self.nodes.get(endpoint)
        if node is None:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.CONNECT_FAILED))
            return call
        if timeout_ms > 0:
            call.timer = self.reactor.callLater(timeout_ms / 1000, self._on_timeout, call)
        if node.idle:
            connection = node.idle.pop()
            if not self._run(connection, call):
                node.idle.append(connection)
        elif len(node.connections) >= self.store.max_links:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.REJECTED))
        else:
            node.waiting.append(call)
            if connect_wait_ms > 0:
                limit_ms = max(connect_wait_ms, MIN_CONNECT_WAIT_LOGINS * self._mean_login_ms)
                call.connect_timer = self.reactor.callLater(
                    limit_ms / 1000, self._on_connect_timeout, call
                )
            self._open(node)
        return call

    def cancel(self, call: OutgoingCall) -> None:
        """Cancel a call; it ends as not sent if it has no connection yet."""
        self._stop(call, Outcome.CANCELLED, Outcome.NOT_SENT)

    def limit_row_wait(self, call: OutgoingCall, limit_ms: float) -> None:
        """Limit the wait for each row of a call, instead of the time until its end.

        For a call whose rows are streamed to the client; it ends as timed out.
        """
        call.cancel_timeout()
        call.timer = RowWaitLimit(self.reactor, limit_ms, call, self._on_timeout)

    def _on_connect_timeout(self, call: OutgoingCall) -> None:
        """End a call that waited too long; its connection, once open, serves another call."""
        self._stop(call, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED)

    def _on_timeout(self, call: OutgoingCall) -> None:
        self._stop(call, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)

    def _stop(
        self, call: OutgoingCall, outcome_if_sent: Outcome, outcome_if_unsent: Outcome
    ) -> None:
        if call.ended:
            return
        if call.is_sent:
            call.connection.abandon(outcome_if_sent)
            return
        node = self.nodes.get(call.endpoint)
        if node is not None and call in node.waiting:
            node.waiting.remove(call)  # its connection, once open, serves another call
        call.finish(AttemptResult(outcome_if_unsent))

    def _run(self, connection: NodeConnection, call: OutgoingCall) -> bool:
        """Write a call to a connection; end it and return False if it may no longer start."""
        now = self.reactor.seconds()
        if call.attempt.start(now * 1000) is not None:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.NOT_SENT))
            return False
        call.connection, call.is_sent = connection, True
        call.cancel_connect_timeout()
        connection.last_used = now
        connection.run(call.statement, call.stream, call.finish, call.attempt)
        return True

    def _record_login(self, took_ms: float) -> None:
        weight = LOGIN_SMOOTHING if self._mean_login_ms else 1.0
        self._mean_login_ms += weight * (took_ms - self._mean_login_ms)

    def _open(self, node: NodePool) -> None:
        grace = self.store.cancel_grace_ms / 1000
        connection = NodeConnection(
            self.parameters, self.max_row, grace, self.reactor, self.notifications, self.defer_read
        )
        node.connections.add(connection)
        self.opened += 1
        opened_at = self.reactor.seconds()
        timer = self.reactor.callLater(self.store.connect_timeout_ms / 1000, connection.abort)

        def ready(connection: NodeConnection) -> None:
            if timer.active():
                timer.cancel()
                self._record_login((self.reactor.seconds() - opened_at) * 1000)
            connection.last_used = self.reactor.seconds()
            while node.waiting:
                if self._run(connection, node.waiting.pop(0)):
                    return
            node.idle.append(connection)

        def lost(connection: NodeConnection, login_error) -> None:
            if timer.active():
                timer.cancel()
            node.connections.discard(connection)
            self.closed += 1
            if connection in node.idle:
                node.idle.remove(connection)
            starting = sum(one.state is ConnectionState.STARTING for one in node.connections)
            while len(node.waiting) > starting:  # the call that this connection was opened for
                node.waiting.pop(0).finish(
                    AttemptResult(_login_failure_outcome(login_error), error=login_error)
                )

        connection.on_ready, connection.on_lost = ready, lost
        factory = SingleConnectionFactory(connection, connection.on_connect_failed)
        self.reactor.connectTCP(
            node.host, node.port, factory, timeout=self.store.connect_timeout_ms / 1000
        )


def _login_failure_outcome(login_error: PgError | None) -> Outcome:
    """Return the outcome of a call whose connection never became ready."""
    return (
        Outcome.REJECTED
        if login_error is not None and login_error.state in REJECTED_BEFORE_RUN
        else Outcome.CONNECT_FAILED
    )
