"""Connections to all data nodes: a bounded pool for each node.

A call takes the idle connection used last, or opens one. Each call ends with exactly one outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.lifecycle import Attempt
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory
from tansycrank.sql_router.node_connection import (
    AttemptResult,
    ConnectionState,
    NodeConnection,
    ShardStatement,
    refused_outcome,
)

LOGIN_PATIENCE = 3.0  # mean logins that a call may wait at least: one takes several round trips
LOGIN_WEIGHT = 0.125  # of the newest login in their mean


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One attempt of a shard request, from the policy's Send to its outcome."""

    endpoint: int
    request: ShardStatement
    stream: ShardRowStream
    done: Callable[[AttemptResult], None]
    attempt: Attempt | None  # which says whether it may begin; None for one that was never made
    connection: NodeConnection | None = None
    out: bool = False  # its bytes left this process
    ended: bool = False
    timer: object = None
    connect_timer: object = None  # runs while it waits for its connection

    @classmethod
    def never(cls, endpoint: int, request: ShardStatement) -> OutgoingCall:
        """Return an ended call that stands for an attempt that was not allowed."""
        return cls(endpoint, request, None, lambda ended: None, None, ended=True)

    def cancel_timeout(self) -> None:
        """Cancel its time-out: its answer has begun to leave for the client."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def on_connected(self) -> None:
        """Cancel the bound on waiting: it has its connection."""
        if self.connect_timer is not None and self.connect_timer.active():
            self.connect_timer.cancel()

    def finish(self, ended: AttemptResult) -> None:
        """Report the outcome, once."""
        if self.ended:
            return
        self.ended = True
        self.cancel_timeout()
        self.on_connected()
        self.done(ended)


@dataclass(slots=True, eq=False)
class NodePool:
    """The connections of one node."""

    host: str
    port: int
    idle: list[NodeConnection] = field(default_factory=list)
    connections: set[NodeConnection] = field(default_factory=set)
    waiting: list[OutgoingCall] = field(
        default_factory=list
    )  # each has a connection of its own under way


class ConnectionPool:
    """The connections of this router. Times of `send` are milliseconds.

    `notifications` are read before a shard request leaves.
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
        self.defer_read: Callable[[NodeConnection], None] | None = None  # the line of large work

    def set_address(self, endpoint: int, host: str, port: int) -> None:
        """Set the address of a node. One that moved gets new connections."""
        node = self.nodes.get(endpoint)
        if node is not None and (node.host, node.port) == (host, port):
            return
        if node is not None:
            self._empty(node)
        self.nodes[endpoint] = NodePool(host, port)

    def remove_endpoint(self, endpoint: int) -> None:
        """Close the idle connections of a node that is gone; busy ones finish first."""
        if endpoint in self.nodes:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: int) -> None:
        """Close the unused connections of a node."""
        node = self.nodes.get(endpoint)
        while node is not None and node.idle:
            node.idle[-1].leave()

    def close(self) -> None:
        """Close all connections."""
        for node in self.nodes.values():
            self._empty(node)

    def _empty(self, node: NodePool) -> None:
        for connection in list(node.connections):
            connection.leave()

    def close_expired(self) -> None:
        """Close connections that were unused for `idle_link_ms`; called now and then."""
        border = self.reactor.seconds() - self.store.idle_link_ms / 1000
        for node in self.nodes.values():
            for connection in [one for one in node.idle if one.used < border]:
                connection.leave()

    # --- sends ------------------------------------------------------------------------

    def send(
        self,
        endpoint: int,
        request: ShardStatement,
        stream: ShardRowStream,
        timeout_ms: float,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
        connect_wait_ms: float = 0.0,
    ) -> OutgoingCall:
        """Send a shard request; `done` is called with its one outcome, never before this returns.

        It ends as never executed if it waits longer than `connect_wait_ms` for its connection, or
        than `LOGIN_PATIENCE` mean logins if that is longer; 0 for no limit.
        """
        call = OutgoingCall(endpoint, request, stream, done, attempt)
        node = self.nodes.get(endpoint)
        if node is None:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.CONNECT_FAILED))
            return call
        if timeout_ms > 0:
            call.timer = self.reactor.callLater(timeout_ms / 1000, self._timed_out, call)
        if node.idle:
            connection = node.idle.pop()
            if not self._run(connection, call):
                node.idle.append(connection)
        elif len(node.connections) >= self.store.max_links:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.REJECTED))
        else:
            node.waiting.append(call)
            if connect_wait_ms > 0:
                limit_ms = max(connect_wait_ms, LOGIN_PATIENCE * self._mean_login_ms)
                call.connect_timer = self.reactor.callLater(
                    limit_ms / 1000, self._stop_waiting, call
                )
            self._open(node)
        return call

    def cancel(self, call: OutgoingCall) -> None:
        """Stop waiting for a call."""
        self._stop(call, Outcome.CANCELLED, Outcome.NOT_SENT)

    def _stop_waiting(self, call: OutgoingCall) -> None:
        """End a call that waits too long; its connection, once there, serves the next one."""
        self._stop(call, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED)

    def _timed_out(self, call: OutgoingCall) -> None:
        self._stop(call, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)

    def _stop(self, call: OutgoingCall, if_out: Outcome, if_not: Outcome) -> None:
        if call.ended:
            return
        if call.out:
            call.connection.give_up(if_out)
            return
        node = self.nodes.get(call.endpoint)
        if node is not None and call in node.waiting:
            node.waiting.remove(call)  # its connection, once there, waits for the next send
        call.finish(AttemptResult(if_not))

    def _run(self, connection: NodeConnection, call: OutgoingCall) -> bool:
        """Write a call to its connection; False if it may not start any more, and ends."""
        now = self.reactor.seconds()
        if call.attempt.start(now * 1000) is not None:
            self.reactor.callLater(0, call.finish, AttemptResult(Outcome.NOT_SENT))
            return False
        call.connection, call.out = connection, True
        call.on_connected()
        connection.used = now
        connection.run(call.request, call.stream, call.finish, call.attempt)
        return True

    def _record_login(self, took_ms: float) -> None:
        weight = LOGIN_WEIGHT if self._mean_login_ms else 1.0
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
            connection.used = self.reactor.seconds()
            while node.waiting:
                if self._run(connection, node.waiting.pop(0)):
                    return
            node.idle.append(connection)

        def lost(connection: NodeConnection, refusal) -> None:
            if timer.active():
                timer.cancel()
            node.connections.discard(connection)
            self.closed += 1
            if connection in node.idle:
                node.idle.remove(connection)
            starting = sum(one.state is ConnectionState.STARTING for one in node.connections)
            while len(node.waiting) > starting:  # the send whose connection this was
                node.waiting.pop(0).finish(AttemptResult(refused_outcome(refusal), error=refusal))

        connection.on_ready, connection.on_lost = ready, lost
        factory = SingleConnectionFactory(connection, connection.on_connect_failed)
        self.reactor.connectTCP(
            node.host, node.port, factory, timeout=self.store.connect_timeout_ms / 1000
        )
