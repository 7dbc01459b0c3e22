"""One connection to a data node: frames out, one at a time, and answers back.

"Never ran" is said only of an attempt whose frame the system has not taken to its last byte.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from tansycrank.http_router import frames
from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.http_router.settings import LATE_IDS
from tansycrank.routing import Outcome

if TYPE_CHECKING:
    from tansycrank.http_router.connection_pool import ConnectionPool, Node


@implementer(IPullProducer)
class NodeConnection(Protocol):
    """One connection. `waiting` are calls that its socket was not given, `out` the sends it was, by
    id.

    The socket is given one frame at a time, the next once the system has taken all of it. What
    waits here can be taken back; and of the last frame it is known whether all of it has gone.
    """

    def __init__(self, pool: ConnectionPool, node: Node) -> None:
        self.pool, self.node = pool, node
        self.up = self.retired = self.lost = False
        self.waiting: deque[list[OutgoingCall]] = deque()
        self.going: list[OutgoingCall] = []  # of the frame that the system has not taken to its end
        self.words: list[bytes] = []  # ids to be given up, once that frame has gone
        self.taken = False  # whether the system has all that the socket was given
        self.doubt = None  # the timer of a frame that may not begin any more
        self.out: dict[bytes, OutgoingCall] = {}
        self.past: OrderedDict[bytes, None] = (
            OrderedDict()
        )  # ids whose answers may still come, or come again
        self.reader = frames.Reader()
        self.used = self.half_since = pool.now
        self.heard = float("-inf")  # when bytes last came
        self.connector = None

    @property
    def load(self) -> int:
        """Parts it carries or will carry."""
        return len(self.out) + sum(not sending.ended for call in self.waiting for sending in call)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.up, self.used = True, self.pool.now
        self.transport.registerProducer(self, False)  # which asks for the first frame
        self.settle()

    def resumeProducing(self) -> None:
        """The system has taken all that the socket was given."""
        self.taken, self.going = True, []
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None
        self._push()

    def stopProducing(self) -> None:
        """The socket is gone."""

    def carry(self, call: list[OutgoingCall]) -> None:
        """Send one call, once its turn comes."""
        for sending in call:
            sending.link = self
        self.waiting.append(call)
        self._push()

    def _push(self) -> None:
        """Give the socket the next frame; what has ended stays behind: no part after its final
        answer.
        """
        while self.up and self.taken and not self.lost and (self.words or self.waiting):
            now = self.pool.now
            if self.words:
                words, self.words = self.words, []
                call, data = [], b"".join(frames.give_up(id) for id in words)
            else:
                call = [sending for sending in self.waiting.popleft() if sending.begin(now)]
                if not call:
                    continue
                self.out.update((sending.id, sending) for sending in call)
                data = frames.call(
                    (s.id, s.shard, max(int((s.until - now) * 1000), 1), s.text, s.once)
                    for s in call
                )
            self.used, self.taken, self.going = now, False, call
            self.transport.write(data)

    def revoke(self, sending: OutgoingCall) -> None:
        """It may not begin any more: its client has left, its part is answered, or its node was
        told to go.

        Danger: a node that hangs reads on when it wakes, and starts what was given up long ago. A
        frame of which nobody knows whether it has begun has `UNTAKEN` to go, then the link closes.
        """
        if not sending.out:
            sending.finish(Outcome.NOT_SENT)
            self.settle()
        elif sending in self.going and self.doubt is None:
            self.doubt = self.pool.reactor.callLater(self.pool.untaken, self._close_untaken)

    def _close_untaken(self) -> None:
        self.doubt = None
        self.pool.log("frame_send_stalled", node=self.node.endpoint, out=len(self.out))
        self.close()

    def revoke_unsent(self) -> None:
        """Nothing new begins here: the node drains or is gone."""
        for sending in [sending for call in self.waiting for sending in call if not sending.ended]:
            self.revoke(sending)
        if self.going:
            self.revoke(self.going[0])

    def dataReceived(self, data: bytes) -> None:
        self.heard = self.pool.now
        was_partial, last = self.reader.partial, None
        try:
            for record in self.reader.feed(data):
                was_partial = False
                if last is not None:
                    self._answered(last)
                    last = None
                if isinstance(record, frames.Unusable):
                    self.pool.log(
                        "frame_rejected_by_node", node=self.node.endpoint, words=record.words
                    )
                    return self.close()
                if record.id not in self.out and record.id not in self.past:
                    raise frames.FrameError(f"an answer to {record.id[:60]!r}, which is not out")
                last = record
            if last is not None:
                self._answered(last)
        except frames.FrameError as problem:
            # Noise follows a good answer only where nothing else waits: else its length did not
            # fit.
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

    def give_up(self, sending: OutgoingCall, outcome: Outcome) -> None:
        """Stop waiting for a send that is out; the node is told."""
        self.revoke(sending)
        self.out.pop(sending.id, None)
        self._remember(sending.id)
        silent = self.pool.now - sending.written if self.heard < sending.written else 0.0
        if silent >= self.pool.connect_timeout or (silent and outcome is Outcome.TIMED_OUT):
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
        self.pool.log(
            "malformed_response_received",
            node=self.node.endpoint,
            problem=str(problem),
            out=len(self.out),
        )
        self.close()

    def close(self) -> None:
        """Close now. What is out is broken off."""
        self.retired = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
        self.gone()

    def connectionLost(self, reason=connectionDone) -> None:
        self.gone()

    def gone(self, reason=None) -> None:
        """The connection ended, or never came up."""
        if self.lost:
            return
        self.lost = True
        self.node.links.discard(self)
        self.pool.links.discard(self)
        if self.doubt is not None:
            self.doubt.cancel()
            self.doubt = None
        out, self.out = self.out, {}
        waiting, self.waiting = self.waiting, deque()
        going, self.going = self.going, []
        for sending in out.values():
            # What broke before its frame's last byte left never ran.
            sending.finish(Outcome.CONNECT_FAILED if sending in going else Outcome.CONNECTION_LOST)
        for call in waiting:
            for sending in call:
                sending.finish(Outcome.CONNECT_FAILED)
