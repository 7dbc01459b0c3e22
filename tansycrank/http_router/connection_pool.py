"""The connections to all data nodes: calls, bounds, and exactly one outcome for each send.

It chooses no node: which one, when and for how long is told.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from tansycrank.http_router import frames
from tansycrank.http_router.node_connection import NodeConnection
from tansycrank.http_router.outgoing_call import Done, OutgoingCall
from tansycrank.http_router.settings import HALF_FRAME, IDLE_LINK, UNTAKEN
from tansycrank.lifecycle import Attempt
from tansycrank.routing import Outcome
from tansycrank.single_connection import OneConnection


@dataclass(slots=True, eq=False)
class Node:
    """The links of one node and the sends of the step that is being carried out."""

    endpoint: int
    host: str
    port: int
    links: set[NodeConnection] = field(default_factory=set)
    pending: list[OutgoingCall] = field(default_factory=list)


class ConnectionPool:
    """The links of this router: at most `max_links`, at most `streams` parts on each,
    `call_batch_size` a call.
    """

    def __init__(
        self,
        reactor,
        streams: int,
        call_batch_size: int,
        connect_timeout: float,
        idle: float,
        max_links: int,
        log: Callable[..., None],
        drain_grace: float = float("inf"),
    ) -> None:
        """`connect_timeout`, `idle` (after which nodes close unused connections) and `drain_grace`
        are ms.
        """
        self.reactor, self.streams, self.call_batch_size, self.log = (
            reactor,
            streams,
            call_batch_size,
            log,
        )
        self.connect_timeout, self.idle, self.max_links = (
            connect_timeout / 1000,
            idle / 1000,
            max_links,
        )
        self.untaken = min(UNTAKEN, drain_grace / 2000)
        self.nodes: dict[int, Node] = {}
        self.links: set[NodeConnection] = set()  # those of nodes that are gone too
        self.opened = 0
        self._pending: list[Node] = []

    @property
    def now(self) -> float:
        """Seconds of the reactor's clock."""
        return self.reactor.seconds()

    @property
    def count(self) -> int:
        """Links held."""
        return len(self.links)

    def place(self, endpoint: int, host: str, port: int) -> None:
        """Where a node is. One that moved gets new links; the old ones end with what is out."""
        node = self.nodes.get(endpoint)
        if node is not None and (node.host, node.port) != (host, port):
            self.forget(endpoint)
        if endpoint not in self.nodes:
            self.nodes[endpoint] = Node(endpoint, host, port)

    def forget(self, endpoint: int) -> None:
        """A node is gone: nothing new goes to it, its links close once nothing is out on them."""
        self.revoke_unsent(endpoint)
        if node := self.nodes.pop(endpoint, None):
            for link in list(node.links):
                link.retire()

    def revoke_unsent(self, endpoint: int) -> None:
        """A node drains: what waits for a connection to it, or behind another frame, does not go
        there.

        Danger: told, and the connection comes up 250 ms later; or a hung node reads again after
        seconds.
        """
        if node := self.nodes.get(endpoint):
            for link in list(node.links):
                link.revoke_unsent()

    def close_idle(self, endpoint: int) -> None:
        """Close the unused links of a node."""
        if node := self.nodes.get(endpoint):
            for link in [link for link in node.links if link.up and not link.load]:
                link.retire()

    def close(self) -> None:
        """Close all links."""
        for link in list(self.links):
            link.close()

    def sweep(self) -> None:
        """Close what lies unused too long, and links whose frame has begun and does not go on."""
        now = self.now
        for link in list(self.links):
            if link.up and not link.load and now - link.used >= IDLE_LINK * self.idle:
                link.close()
            elif link.reader.partial and now - link.half_since >= HALF_FRAME:
                link.spoilt(frames.FrameError("a frame that does not go on"))

    # --- sends ------------------------------------------------------------------------

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
        once: bytes = b"",
        leave_within: float = 0.0,
    ) -> OutgoingCall:
        """Send a part, with the others of this step to its node; times are ms.

        One that waits for `connect_within` for its connection, or behind another frame, is taken
        back, and so is one whose last byte has not left after `leave_within`: it never ran. Where
        these are 0 none is. `done` is never called before this returns.
        """
        sending = OutgoingCall(id, shard, text, self.now + time_out / 1000, done, attempt, once)
        sending.connect_within, sending.leave_within = connect_within / 1000, leave_within / 1000
        node = self.nodes.get(endpoint)
        if node is None:
            self.reactor.callLater(0, sending.finish, Outcome.CONNECT_FAILED)
            return sending
        sending.timer = self.reactor.callLater(
            time_out / 1000, self._stop, sending, Outcome.TIMED_OUT
        )
        if not node.pending:
            self._pending.append(node)
        node.pending.append(sending)
        return sending

    def flush(self) -> None:
        """The step is carried out: its sends leave, those to one node in common calls."""
        nodes, self._pending = self._pending, []
        for node in nodes:
            pending = [sending for sending in node.pending if not sending.ended]
            node.pending = []
            for at in range(0, len(pending), self.call_batch_size):
                self._call(node, pending[at : at + self.call_batch_size])

    def cancel(self, sending: OutgoingCall) -> None:
        """Stop waiting for a send."""
        self._stop(sending, Outcome.CANCELLED)

    def revoke(self, sending: OutgoingCall) -> None:
        """It may not begin any more; what a node has of it is not given up by this."""
        if not sending.ended and sending.link is not None:
            sending.link.revoke(sending)
        elif not sending.ended:
            sending.finish(Outcome.NOT_SENT)

    def _stop(self, sending: OutgoingCall, outcome: Outcome) -> None:
        if sending.ended:
            return
        if sending.out:
            sending.link.give_up(sending, outcome)
        else:  # it waits for its connection, or behind another frame
            sending.finish(
                Outcome.NOT_SENT if outcome is Outcome.CANCELLED else Outcome.CONNECT_FAILED
            )

    def _call(self, node: Node, call: list[OutgoingCall]) -> None:
        """An unused link, else a new one, else the least loaded.

        Danger: calls that share a link share its fate, when one answer on it is spoilt or it falls
        silent.
        """
        ids = {sending.id for sending in call}
        fit = [
            link
            for link in node.links
            if not link.retired
            and link.load + len(call) <= max(self.streams, len(call))
            and not ids & link.out.keys()
            and not ids & link.past.keys()
        ]
        link = min(fit, key=lambda link: (link.load, not link.up, -link.used), default=None)
        if link is None or (
            link.load and len(node.links) < max(self.max_links // len(self.nodes), 1)
        ):
            link = self._open(node) or link
        if link is None:
            for sending in call:
                self.reactor.callLater(0, sending.finish, Outcome.NOT_SENT)
        else:
            link.carry(call)
            for sending in [sending for sending in call if not sending.ended]:
                if sending.connect_within and not sending.out:
                    sending.connecting = self.reactor.callLater(
                        sending.connect_within, self._take_back, sending
                    )
                if sending.leave_within:
                    sending.leaving = self.reactor.callLater(
                        sending.leave_within, self._too_late, sending
                    )

    def _take_back(self, sending: OutgoingCall) -> None:
        """Danger: a machine that is cut off costs half an aim until the connection to it fails."""
        if not sending.out:
            sending.finish(Outcome.CONNECT_FAILED)

    def _too_late(self, sending: OutgoingCall) -> None:
        """Danger: a repeat that leaves when nodes know its key no longer takes effect twice."""
        if not sending.out:
            sending.finish(Outcome.CONNECT_FAILED)
        elif sending in sending.link.going:
            sending.link.close()

    def _open(self, node: Node) -> NodeConnection | None:
        if self.count >= self.max_links and not self._make_room():
            return None
        link = NodeConnection(self, node)
        node.links.add(link)
        self.links.add(link)
        self.opened += 1
        link.connector = self.reactor.connectTCP(
            node.host, node.port, OneConnection(link, link.gone), timeout=self.connect_timeout
        )
        return link

    def _make_room(self) -> bool:
        """Close the link that lies unused longest, wherever it leads."""
        unused: Iterable[NodeConnection] = (
            link for node in self.nodes.values() for link in node.links if link.up and not link.load
        )
        if link := min(unused, key=lambda link: link.used, default=None):
            link.close()
            return True
        return False
