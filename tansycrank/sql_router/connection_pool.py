"""Links to all nodes: one bounded pool a node. It decides nothing: which node, when and for how
long is told.

A send takes an idle link (the one used last) or opens one. Each send ends with exactly one outcome.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.lifecycle import Attempt
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.routing import Outcome
from tansycrank.single_connection import OneConnection
from tansycrank.sql_router.node_connection import (
    AttemptResult,
    ConnectionState,
    NodeConnection,
    ShardStatement,
    refused_outcome,
)


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One send, from the module's word to its outcome."""

    endpoint: int
    request: ShardStatement
    stream: ShardRowStream
    done: Callable[[AttemptResult], None]
    attempt: Attempt | None  # which says whether it may begin; None for one that was never made
    link: NodeConnection | None = None
    out: bool = False  # its bytes left this process
    ended: bool = False
    timer: object = None

    @classmethod
    def never(cls, endpoint: int, request: ShardStatement) -> OutgoingCall:
        """One that was not allowed; it has ended."""
        return cls(endpoint, request, None, lambda ended: None, None, ended=True)

    def untimed(self) -> None:
        """Its answer has begun to leave for the client: no time-out runs any more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def finish(self, ended: AttemptResult) -> None:
        """Report, once."""
        if self.ended:
            return
        self.ended = True
        self.untimed()
        self.done(ended)


@dataclass(slots=True, eq=False)
class NodePool:
    """The links of one node."""

    host: str
    port: int
    idle: list[NodeConnection] = field(default_factory=list)
    all: set[NodeConnection] = field(default_factory=set)
    waiting: list[OutgoingCall] = field(
        default_factory=list
    )  # each has a connection of its own under way


class ConnectionPool:
    """The links of this router. Times of `send` are milliseconds."""

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
        self.later: Callable[[NodeConnection], None] | None = None  # the line of large work

    def place(self, endpoint: int, host: str, port: int) -> None:
        """Where a node is. One that moved gets new links."""
        node = self.nodes.get(endpoint)
        if node is not None and (node.host, node.port) == (host, port):
            return
        if node is not None:
            self._empty(node)
        self.nodes[endpoint] = NodePool(host, port)

    def forget(self, endpoint: int) -> None:
        """A node is gone: its idle links are closed; links at work finish first."""
        if endpoint in self.nodes:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: int) -> None:
        """Close the unused links of a node."""
        node = self.nodes.get(endpoint)
        while node is not None and node.idle:
            node.idle[-1].leave()

    def close(self) -> None:
        """Close all links."""
        for node in self.nodes.values():
            self._empty(node)

    def _empty(self, node: NodePool) -> None:
        for link in list(node.all):
            link.leave()

    def sweep(self) -> None:
        """Close links that nobody used for `idle_link_ms`; called now and then."""
        border = self.reactor.seconds() - self.store.idle_link_ms / 1000
        for node in self.nodes.values():
            for link in [one for one in node.idle if one.used < border]:
                link.leave()

    # --- sends ------------------------------------------------------------------------

    def send(
        self,
        endpoint: int,
        request: ShardStatement,
        stream: ShardRowStream,
        time_out: float,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
    ) -> OutgoingCall:
        """Send a part; `done` hears its one outcome, never before this returns."""
        sending = OutgoingCall(endpoint, request, stream, done, attempt)
        node = self.nodes.get(endpoint)
        if node is None:
            self.reactor.callLater(0, sending.finish, AttemptResult(Outcome.CONNECT_FAILED))
            return sending
        if time_out > 0:
            sending.timer = self.reactor.callLater(time_out / 1000, self._timed_out, sending)
        if node.idle:
            link = node.idle.pop()
            if not self._run(link, sending):
                node.idle.append(link)
        elif len(node.all) >= self.store.max_links:
            self.reactor.callLater(0, sending.finish, AttemptResult(Outcome.REJECTED))
        else:
            node.waiting.append(sending)
            self._open(node)
        return sending

    def cancel(self, sending: OutgoingCall) -> None:
        """Stop waiting for a send."""
        self._stop(sending, Outcome.CANCELLED, Outcome.NOT_SENT)

    def _timed_out(self, sending: OutgoingCall) -> None:
        self._stop(sending, Outcome.TIMED_OUT, Outcome.CONNECT_FAILED)

    def _stop(self, sending: OutgoingCall, if_out: Outcome, if_not: Outcome) -> None:
        if sending.ended:
            return
        if sending.out:
            sending.link.give_up(if_out)
            return
        node = self.nodes.get(sending.endpoint)
        if node is not None and sending in node.waiting:
            node.waiting.remove(sending)  # its connection, once there, waits for the next send
        sending.finish(AttemptResult(if_not))

    def _run(self, link: NodeConnection, sending: OutgoingCall) -> bool:
        """Write a send to its link; False if it may not begin any more, and ends."""
        now = self.reactor.seconds()
        if sending.attempt.start(now * 1000) is not None:
            self.reactor.callLater(0, sending.finish, AttemptResult(Outcome.NOT_SENT))
            return False
        sending.link, sending.out = link, True
        link.used = now
        link.run(sending.request, sending.stream, sending.finish)
        return True

    def _open(self, node: NodePool) -> None:
        grace = self.store.cancel_grace_ms / 1000
        link = NodeConnection(self.parameters, self.max_row, grace, self.reactor, self.later)
        node.all.add(link)
        self.opened += 1
        timer = self.reactor.callLater(self.store.connect_timeout_ms / 1000, link.abort)

        def ready(link: NodeConnection) -> None:
            if timer.active():
                timer.cancel()
            link.used = self.reactor.seconds()
            while node.waiting:
                if self._run(link, node.waiting.pop(0)):
                    return
            node.idle.append(link)

        def lost(link: NodeConnection, refusal) -> None:
            if timer.active():
                timer.cancel()
            node.all.discard(link)
            self.closed += 1
            if link in node.idle:
                node.idle.remove(link)
            starting = sum(one.state is ConnectionState.STARTING for one in node.all)
            while len(node.waiting) > starting:  # the send whose connection this was
                node.waiting.pop(0).finish(AttemptResult(refused_outcome(refusal), error=refusal))

        link.on_ready, link.on_lost = ready, lost
        factory = OneConnection(link, link.on_connect_failed)
        self.reactor.connectTCP(
            node.host, node.port, factory, timeout=self.store.connect_timeout_ms / 1000
        )
