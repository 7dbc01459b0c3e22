"""Connections to data nodes: pools, calls, and exactly one outcome for each send. It chooses no node.

"Never ran" is said only of a send whose frame the system has not taken to its last byte.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from tansycrank.interface import Outcome
from tansycrank.lifecycle import Attempt
from tansycrank.platform import frames
from tansycrank.platform.settings import HALF_FRAME, IDLE_LINK, LATE_IDS, UNTAKEN
from tansycrank.router.connecting import OneConnection

Done = Callable[[Outcome, str, tuple[float, ...]], None]


@dataclass(slots=True, eq=False)
class Sending:
    """One send, from the module's word to its outcome. Times are s of the reactor."""

    id: bytes
    shard: int
    text: bytes
    until: float
    done: Done | None
    attempt: Attempt | None  # which says whether it may begin; None for one that was never made
    once: bytes = b""  # the key by which the node knows a repeat
    link: Link | None = None  # the link that carries it or will
    out: bool = False  # its bytes were handed to the socket
    written: float = 0.0  # when
    ended: bool = False
    timer: object = None
    connect_within: float = 0.0  # s that it waits for a connection; 0: as long as that is tried
    connecting: object = None  # the timer of that
    leave_within: float = 0.0  # s until which its last byte may leave; 0: as long as it is waited for
    leaving: object = None  # the timer of that

    @classmethod
    def never(cls, id: bytes, shard: int) -> Sending:
        """One that was not allowed; it has ended."""
        return cls(id, shard, b"", 0.0, None, None, ended=True)

    def begin(self, now: float) -> bool:
        """Whether its bytes leave now; `now` is in s. One that may not begin ends here."""
        if self.ended:
            return False
        if self.attempt.start(now * 1000) is not None:
            self.finish(Outcome.NOT_SENT)
            return False
        self.out, self.written = True, now
        return True

    def finish(self, outcome: Outcome, value: str = "", load: tuple[float, ...] = ()) -> None:
        """Report, once."""
        if self.ended:
            return
        self.ended = True
        for timer in (self.timer, self.connecting, self.leaving):
            if timer is not None and timer.active():
                timer.cancel()
        done, self.done, self.link = self.done, None, None  # nothing may keep it alive
        self.timer = self.connecting = self.leaving = None
        done(outcome, value, load)


@implementer(IPullProducer)
class Link(Protocol):
    """One connection. `waiting` are calls that its socket was not given, `out` the sends it was, by id.

    The socket is given one frame at a time, the next once the system has taken all of it. What waits here can
    be taken back; and of the last frame it is known whether all of it has gone.
    """

    def __init__(self, pools: Pools, node: Node) -> None:
        self.pools, self.node = pools, node
        self.up = self.retired = self.lost = False
        self.waiting: deque[list[Sending]] = deque()
        self.going: list[Sending] = []  # of the frame that the system has not taken to its end
        self.words: list[bytes] = []  # ids to be given up, once that frame has gone
        self.taken = False  # whether the system has all that the socket was given
        self.doubt = None  # the timer of a frame that may not begin any more
        self.out: dict[bytes, Sending] = {}
        self.past: OrderedDict[bytes, None] = OrderedDict()  # ids whose answers may still come, or come again
        self.reader = frames.Reader()
        self.used = self.half_since = pools.now
        self.heard = float("-inf")  # when bytes last came
        self.connector = None

    @property
    def load(self) -> int:
        """Parts it carries or will carry."""
        return len(self.out) + sum(not sending.ended for call in self.waiting for sending in call)

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.up, self.used = True, self.pools.now
        self.transport.registerProducer(self, False)  # which asks for the first frame
        self.settle()

    def resumeProducing(self) -> None:  # noqa: N802
        """The system has taken all that the socket was given."""
        self.taken, self.going = True, []
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None
        self._push()

    def stopProducing(self) -> None:  # noqa: N802
        """The socket is gone."""

    def carry(self, call: list[Sending]) -> None:
        """Send one call, once its turn comes."""
        for sending in call:
            sending.link = self
        self.waiting.append(call)
        self._push()

    def _push(self) -> None:
        """Give the socket the next frame; what has ended stays behind: no part after its final answer."""
        while self.up and self.taken and not self.lost and (self.words or self.waiting):
            now = self.pools.now
            if self.words:
                words, self.words = self.words, []
                call, data = [], b"".join(frames.give_up(id) for id in words)
            else:
                call = [sending for sending in self.waiting.popleft() if sending.begin(now)]
                if not call:
                    continue
                self.out.update((sending.id, sending) for sending in call)
                data = frames.call(
                    (s.id, s.shard, max(int((s.until - now) * 1000), 1), s.text, s.once) for s in call
                )
            self.used, self.taken, self.going = now, False, call
            self.transport.write(data)

    def withdraw(self, sending: Sending) -> None:
        """It may not begin any more: its client has left, its part is answered, or its node was told to go.

        Danger: a node that hangs reads on when it wakes, and starts what was given up long ago.
        A frame of which nobody knows whether it has begun has `UNTAKEN` to go, then the link closes.
        """
        if not sending.out:
            sending.finish(Outcome.NOT_SENT)
            self.settle()
        elif sending in self.going and self.doubt is None:
            self.doubt = self.pools.reactor.callLater(self.pools.untaken, self._close_untaken)

    def _close_untaken(self) -> None:
        self.doubt = None
        self.pools.log("a frame its node does not take", node=self.node.server, out=len(self.out))
        self.close()

    def hold_back(self) -> None:
        """Nothing new begins here: the node drains or is gone."""
        for sending in [sending for call in self.waiting for sending in call if not sending.ended]:
            self.withdraw(sending)
        if self.going:
            self.withdraw(self.going[0])

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.heard = self.pools.now
        was_partial, last = self.reader.partial, None
        try:
            for record in self.reader.feed(data):
                was_partial = False
                if last is not None:
                    self._answered(last)
                    last = None
                if isinstance(record, frames.Unusable):
                    self.pools.log("node could not use a frame", node=self.node.server, words=record.words)
                    return self.close()
                if record.id not in self.out and record.id not in self.past:
                    raise frames.FrameError(f"an answer to {record.id[:60]!r}, which is not out")
                last = record
            if last is not None:
                self._answered(last)
        except frames.FrameError as problem:
            # Noise follows a good answer only where nothing else waits: else its length did not fit.
            if last is not None and self.out.keys() <= {last.id}:
                self._answered(last)
            return self.spoilt(problem)
        if self.reader.partial:
            if not was_partial:
                self.half_since = self.heard
            if not self.out:  # noise behind an answer: the next one would be lost in it
                return self.spoilt(frames.FrameError("bytes that nothing asked for"))
        self.settle()
        return None

    def _answered(self, answer: frames.Answer) -> None:
        if sending := self.out.pop(answer.id, None):  # else it comes late, or again
            self._remember(answer.id)
            sending.finish(answer.outcome, answer.value, answer.load)

    def _remember(self, id: bytes) -> None:
        self.past[id] = None
        while len(self.past) > LATE_IDS:
            self.past.popitem(last=False)

    def give_up(self, sending: Sending, outcome: Outcome) -> None:
        """Stop waiting for a send that is out; the node is told."""
        self.withdraw(sending)
        self.out.pop(sending.id, None)
        self._remember(sending.id)
        silent = self.pools.now - sending.written if self.heard < sending.written else 0.0
        if silent >= self.pools.connect_timeout or silent and outcome is Outcome.TIMED_OUT:
            # Danger: one that fell silent, or whose machine vanished, takes each trial of its node.
            self.retired = True
        self.words.append(sending.id)
        self._push()
        sending.finish(outcome)
        self.settle()

    def retire(self) -> None:
        """Take nothing new."""
        self.retired = True
        self.settle()

    def settle(self) -> None:
        """Close once nothing is left on a link that takes nothing new."""
        if self.retired and not self.load:
            self.close()

    def spoilt(self, problem: frames.FrameError) -> None:
        """The stream is of no further use: what is out may have run."""
        self.pools.log("spoilt answer", node=self.node.server, problem=str(problem), out=len(self.out))
        self.close()

    def close(self) -> None:
        """Close now. What is out is broken off."""
        self.retired = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
        self.gone()

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self.gone()

    def gone(self, reason=None) -> None:
        """The connection ended, or never came up."""
        if self.lost:
            return
        self.lost = True
        self.node.links.discard(self)
        self.pools.links.discard(self)
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None
        out, self.out = self.out, {}
        waiting, self.waiting = self.waiting, deque()
        going, self.going = self.going, []
        for sending in out.values():
            # What broke before its frame's last byte left never ran.
            sending.finish(Outcome.UNCONNECTED if sending in going else Outcome.BROKEN_OFF)
        for call in waiting:
            for sending in call:
                sending.finish(Outcome.UNCONNECTED)


@dataclass(slots=True, eq=False)
class Node:
    """The links of one node and the sends of the step that is being carried out."""

    server: int
    host: str
    port: int
    links: set[Link] = field(default_factory=set)
    pending: list[Sending] = field(default_factory=list)


class Pools:
    """The links of this router: at most `max_links`, at most `streams` parts on each, `call_parts` a call."""

    def __init__(
        self, reactor, streams: int, call_parts: int, connect_timeout: float, idle: float, max_links: int,
        log: Callable[..., None], drain_grace: float = float("inf"),
    ) -> None:
        """`connect_timeout`, `idle` (after which nodes close unused connections) and `drain_grace` are ms."""
        self.reactor, self.streams, self.call_parts, self.log = reactor, streams, call_parts, log
        self.connect_timeout, self.idle, self.max_links = connect_timeout / 1000, idle / 1000, max_links
        self.untaken = min(UNTAKEN, drain_grace / 2000)
        self.nodes: dict[int, Node] = {}
        self.links: set[Link] = set()  # those of nodes that are gone too
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

    def place(self, server: int, host: str, port: int) -> None:
        """Where a node is. One that moved gets new links; the old ones end with what is out."""
        node = self.nodes.get(server)
        if node is not None and (node.host, node.port) != (host, port):
            self.forget(server)
        if server not in self.nodes:
            self.nodes[server] = Node(server, host, port)

    def forget(self, server: int) -> None:
        """A node is gone: nothing new goes to it, its links close once nothing is out on them."""
        self.hold_back(server)
        if node := self.nodes.pop(server, None):
            for link in list(node.links):
                link.retire()

    def hold_back(self, server: int) -> None:
        """A node drains: what waits for a connection to it, or behind another frame, does not go there.

        Danger: told, and the connection comes up 250 ms later; or a hung node reads again after seconds.
        """
        if node := self.nodes.get(server):
            for link in list(node.links):
                link.hold_back()

    def close_idle(self, server: int) -> None:
        """Close the unused links of a node."""
        if node := self.nodes.get(server):
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
        self, id: bytes, server: int, shard: int, text: bytes, time_out: float, done: Done, attempt: Attempt,
        connect_within: float = 0.0, once: bytes = b"", leave_within: float = 0.0,
    ) -> Sending:
        """Send a part, with the others of this step to its node; times are ms.

        One that waits for `connect_within` for its connection, or behind another frame, is taken back, and
        so is one whose last byte has not left after `leave_within`: it never ran. Where these are 0 none is.
        `done` is never called before this returns.
        """
        sending = Sending(id, shard, text, self.now + time_out / 1000, done, attempt, once)
        sending.connect_within, sending.leave_within = connect_within / 1000, leave_within / 1000
        node = self.nodes.get(server)
        if node is None:
            self.reactor.callLater(0, sending.finish, Outcome.UNCONNECTED)
            return sending
        sending.timer = self.reactor.callLater(time_out / 1000, self._stop, sending, Outcome.TIMED_OUT)
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
            for at in range(0, len(pending), self.call_parts):
                self._call(node, pending[at : at + self.call_parts])

    def cancel(self, sending: Sending) -> None:
        """Stop waiting for a send."""
        self._stop(sending, Outcome.CANCELLED)

    def withdraw(self, sending: Sending) -> None:
        """It may not begin any more; what a node has of it is not given up by this."""
        if not sending.ended and sending.link is not None:
            sending.link.withdraw(sending)
        elif not sending.ended:
            sending.finish(Outcome.NOT_SENT)

    def _stop(self, sending: Sending, outcome: Outcome) -> None:
        if sending.ended:
            return
        if sending.out:
            sending.link.give_up(sending, outcome)
        else:  # it waits for its connection, or behind another frame
            sending.finish(Outcome.NOT_SENT if outcome is Outcome.CANCELLED else Outcome.UNCONNECTED)

    def _call(self, node: Node, call: list[Sending]) -> None:
        """An unused link, else a new one, else the least loaded.

        Danger: calls that share a link share its fate, when one answer on it is spoilt or it falls silent.
        """
        ids = {sending.id for sending in call}
        fit = [link for link in node.links
               if not link.retired and link.load + len(call) <= max(self.streams, len(call))
               and not ids & link.out.keys() and not ids & link.past.keys()]
        link = min(fit, key=lambda link: (link.load, not link.up, -link.used), default=None)
        if link is None or link.load and len(node.links) < max(self.max_links // len(self.nodes), 1):
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
                    sending.leaving = self.reactor.callLater(sending.leave_within, self._too_late, sending)

    def _take_back(self, sending: Sending) -> None:
        """Danger: a machine that is cut off costs half an aim until the connection to it fails."""
        if not sending.out:
            sending.finish(Outcome.UNCONNECTED)

    def _too_late(self, sending: Sending) -> None:
        """Danger: a repeat that leaves when nodes know its key no longer takes effect twice."""
        if not sending.out:
            sending.finish(Outcome.UNCONNECTED)
        elif sending in sending.link.going:
            sending.link.close()

    def _open(self, node: Node) -> Link | None:
        if self.count >= self.max_links and not self._make_room():
            return None
        link = Link(self, node)
        node.links.add(link)
        self.links.add(link)
        self.opened += 1
        link.connector = self.reactor.connectTCP(
            node.host, node.port, OneConnection(link, link.gone), timeout=self.connect_timeout
        )
        return link

    def _make_room(self) -> bool:
        """Close the link that lies unused longest, wherever it leads."""
        unused: Iterable[Link] = (
            link for node in self.nodes.values() for link in node.links if link.up and not link.load
        )
        if link := min(unused, key=lambda link: link.used, default=None):
            link.close()
            return True
        return False
