"""One connection to a data node: sends one frame at a time and reads the answers.

A call is reported as never executed only if the kernel has not accepted its frame completely.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum, auto

from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from zope.interface import implementer

from tansycrank.http_router import frames
from tansycrank.http_router.answer_ending import (
    AnswerEnding,
    ReceivedAnswer,
    ending_before_malformed,
    ending_of,
)
from tansycrank.http_router.node_connection_interfaces import ConnectionLimits, ConnectionOwner
from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.routing import Outcome

PARTIAL_FRAME_TIMEOUT_SECONDS = 0.5  # for the rest of a frame from the node to arrive
# A frame that has waited longer states a remaining time that is too long; it is encoded again.
MAX_FRAME_AGE_SECONDS = 0.1
MAX_FINISHED_IDS = 256  # ids of ended calls whose late or duplicate answers are ignored


class ConnectionState(Enum):
    """The states of a connection, in order."""

    CONNECTING = auto()
    ESTABLISHED = auto()
    CLOSED = auto()


@implementer(IPullProducer)
class NodeConnection(TwistedProtocol):
    """One connection and the calls on it.

    A frame is written to the socket only once the kernel has accepted the previous one completely.
    So queued calls can be revoked, and it is known whether the last frame was sent completely.
    """

    def __init__(
        self,
        reactor,
        endpoint: int,
        limits: ConnectionLimits,
        owner: ConnectionOwner,
        notifications: PendingNotifications,
        log: Callable[..., None],
    ) -> None:
        self.endpoint = endpoint
        self.state = ConnectionState.CONNECTING
        self.accepts_calls = True
        self.sent_calls: dict[bytes, OutgoingCall] = {}
        self.calls_in_transmission: list[OutgoingCall] = []  # of the frame not yet sent completely
        self.unsent_cancels: list[bytes] = []  # ids to cancel once that frame is sent
        self.finished_ids: OrderedDict[bytes, None] = OrderedDict()
        self.connector = None
        self.last_used = reactor.seconds()
        self._reactor, self._limits, self._owner, self._log = reactor, limits, owner, log
        self._notifications = notifications
        self._queued: deque[list[OutgoingCall]] = deque()
        self._may_write = False  # whether the kernel has accepted all bytes written so far
        self._has_frame_started = False  # whether the kernel has accepted a byte of the last frame
        self._unsent_bytes = 0  # of the last frame, until the kernel has accepted it completely
        # the calls of a frame that was queued again: the age of their next one is not limited
        self._requeued_calls: list[OutgoingCall] | None = None
        self._is_requeued = False  # whether the last frame has these calls
        self._revocation_timer = None
        self._reader = frames.FrameReader()
        self._partial_since = self.last_used
        # the last answer read, until the bytes behind it show that its length was right
        self._unconfirmed_answer: ReceivedAnswer | None = None
        self._last_received = float("-inf")

    @property
    def load(self) -> int:
        """Number of shard requests sent and unanswered, or queued."""
        return len(self.sent_calls) + len(self._queued_calls())

    @property
    def is_established(self) -> bool:
        """Whether the connection has been established, even if it is closed by now."""
        return self.state is not ConnectionState.CONNECTING

    @property
    def is_idle(self) -> bool:
        """Whether it is established and has no calls."""
        return self.is_established and not self.load

    def has_expired(self, now: float) -> bool:
        """Whether it has been idle for so long that the node may close it."""
        return self.is_idle and now - self.last_used >= self._limits.idle_timeout

    def has_stalled_frame(self, now: float) -> bool:
        """Whether the node has started a frame and not completed it in time."""
        return (
            self._reader.has_partial_frame
            and now - self._partial_since >= PARTIAL_FRAME_TIMEOUT_SECONDS
        )

    def is_transmitting(self, call: OutgoingCall) -> bool:
        """Whether the kernel may not have accepted the last byte of the call's frame yet."""
        return call in self.calls_in_transmission

    def may_receive_answer_to(self, ids: set[bytes]) -> bool:
        """Whether an answer to one of these ids may still arrive on this connection."""
        return bool(ids & self.sent_calls.keys() or ids & self.finished_ids.keys())

    # --- memory -----------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """Bytes of an unfinished frame from the node, and of a frame to it that was not sent."""
        if self.state is ConnectionState.CLOSED:
            return 0
        return self._reader.buffered_bytes + self._unsent_bytes

    def release_bytes(self) -> None:
        """Close the connection; calls that were sent may have been executed."""
        self.fail(frames.FrameError("too many bytes held; this connection has the most"))

    # --- writing ----------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Start sending the queued calls."""
        self.transport.setTcpNoDelay(True)
        if self.state is ConnectionState.CONNECTING:
            self.state = ConnectionState.ESTABLISHED
        self.last_used = self._reactor.seconds()
        self.transport.registerProducer(self, False)  # calls resumeProducing for the first frame
        self._close_if_drained()

    def resumeProducing(self) -> None:
        """Write the next frame; called when the kernel has accepted all bytes written so far."""
        self._may_write, self.calls_in_transmission, self._unsent_bytes = True, [], 0
        self._cancel_revocation_timer()
        self._write_frames()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` follows."""

    def may_write(self) -> bool:
        """Whether the last frame may still be sent; checked until its first byte is sent.

        A frame that has waited too long, or with a call that may no longer start, is queued again.
        """
        if self._has_frame_started or not self.calls_in_transmission:
            return self.state is not ConnectionState.CLOSED
        self._notifications.ensure_read()  # may revoke calls, or close this connection
        if self.state is ConnectionState.CLOSED:
            return False
        now = self._reactor.seconds()
        max_age = float("inf") if self._is_requeued else MAX_FRAME_AGE_SECONDS
        if all(call.may_transmit(now, max_age) for call in self.calls_in_transmission):
            return True
        self._requeue_frame()
        return False

    def on_bytes_written(self) -> None:
        """Record that the first bytes of the last frame were sent."""
        self._has_frame_started = True

    def _requeue_frame(self) -> None:
        """Queue the calls of the last frame again; disallowed ones end at the next write."""
        calls, self.calls_in_transmission = self.calls_in_transmission, []
        self._cancel_revocation_timer()
        ids = {call.id for call in calls}
        self.unsent_cancels = [id for id in self.unsent_cancels if id not in ids]
        for call in calls:
            self.sent_calls.pop(call.id, None)
            call.mark_unsent()
        self._queued.appendleft(calls)
        self._requeued_calls = calls

    def enqueue(self, calls: list[OutgoingCall]) -> None:
        """Queue calls to be sent in one frame."""
        for call in calls:
            call.connection = self
        self._queued.append(calls)
        self._write_frames()

    def revoke(self, call: OutgoingCall) -> None:
        """Prevent a call from starting because it is not needed any more or its node is draining.

        If its frame is not sent completely yet, the connection is closed unless that happens soon:
        otherwise a hung node would start the call when it resumes reading.
        """
        if not call.was_written:
            call.finish(Outcome.NOT_SENT)
            self._close_if_drained()
        elif self.is_transmitting(call) and self._revocation_timer is None:
            self._revocation_timer = self._reactor.callLater(
                self._limits.revoked_frame_timeout, self._close_stalled
            )

    def revoke_unsent(self) -> None:
        """Revoke all calls that have not been sent completely."""
        for call in self._queued_calls():
            self.revoke(call)
        if self.calls_in_transmission:
            self.revoke(self.calls_in_transmission[0])

    def abandon(self, call: OutgoingCall, outcome: Outcome) -> None:
        """Stop waiting for a sent call and notify its node."""
        self.revoke(call)
        self.sent_calls.pop(call.id, None)
        self._remember_finished(call.id)
        if self._seems_unresponsive(call, outcome):
            self.accepts_calls = False
        self.unsent_cancels.append(call.id)
        self._write_frames()
        call.finish(outcome)
        self._close_if_drained()

    def _seems_unresponsive(self, call: OutgoingCall, outcome: Outcome) -> bool:
        """Whether nothing has been received since the call was written, for long enough."""
        if self._last_received >= call.written_at:
            return False
        silence = self._reactor.seconds() - call.written_at
        timed_out = outcome is Outcome.TIMED_OUT and silence > 0
        return silence >= self._limits.connect_timeout or timed_out

    def _queued_calls(self) -> list[OutgoingCall]:
        return [call for calls in self._queued for call in calls if not call.ended]

    def _write_frames(self) -> None:
        while self._can_write() and (self.unsent_cancels or self._queued):
            now = self._reactor.seconds()
            if self.unsent_cancels:
                calls, data = [], self._take_cancel_frames()
            else:
                queued = self._queued.popleft()
                self._is_requeued = queued is self._requeued_calls
                self._requeued_calls = None
                calls = [call for call in queued if call.try_start(now)]
                if not calls:
                    continue
                self.sent_calls.update((call.id, call) for call in calls)
                data = frames.encode_call(_to_shard_call(call, now) for call in calls)
            self.last_used, self._may_write, self.calls_in_transmission = now, False, calls
            self._has_frame_started, self._unsent_bytes = False, len(data)
            self.transport.write(data)
        self._limits.held_bytes.update(self)

    def _can_write(self) -> bool:
        return self.state is ConnectionState.ESTABLISHED and self._may_write

    def _take_cancel_frames(self) -> bytes:
        ids, self.unsent_cancels = self.unsent_cancels, []
        return b"".join(frames.encode_cancel(id) for id in ids)

    def _close_stalled(self) -> None:
        self._revocation_timer = None
        self._log("frame_send_stalled", node=self.endpoint, out=len(self.sent_calls))
        self.close()

    def _cancel_revocation_timer(self) -> None:
        if self._revocation_timer is not None:
            self._revocation_timer.cancel()
            self._revocation_timer = None

    # --- reading ----------------------------------------------------------------------

    def dataReceived(self, data: bytes) -> None:
        """Read answers; a malformed stream closes the connection."""
        self._last_received = self._reactor.seconds()
        had_partial_frame = self._reader.has_partial_frame
        try:
            for record in self._reader.feed(data):
                had_partial_frame = False
                self._confirm_answer()  # a complete frame behind it: its length is right
                if isinstance(record, frames.FrameRejected):
                    self._log("frame_rejected_by_node", node=self.endpoint, words=record.reason)
                    return self.close()
                self._require_known_id(record)
                others_waited = not self.sent_calls.keys() <= {record.id}
                self._unconfirmed_answer = ReceivedAnswer(record, others_waited)
        except frames.FrameError as problem:
            return self._on_malformed_bytes(problem)
        if self._unconfirmed_answer is not None:
            self._judge_answer(self._unconfirmed_answer)
        self._check_remaining_bytes(had_partial_frame)
        self._limits.held_bytes.update(self)
        return None

    def _require_known_id(self, answer: frames.Answer) -> None:
        if not self._is_known(answer.id):
            raise frames.FrameError(f"answer to {answer.id[:60]!r}, which is not in flight")

    def _is_known(self, id: bytes) -> bool:
        return id in self.sent_calls or id in self.finished_ids

    def _judge_answer(self, received: ReceivedAnswer) -> None:
        """Take the answer if it is whole; if that is undecided, begin no call behind it."""
        ending = ending_of(received, self._reader, self._is_known)
        if ending is AnswerEnding.WHOLE:
            self._confirm_answer()
        elif ending is AnswerEnding.DOUBTFUL:
            self.fail(frames.FrameError("an answer whose length does not fit"))
        elif not received.others_waited:
            self.accepts_calls = False
            for call in self._queued_calls():
                self.revoke(call)

    def _on_malformed_bytes(self, problem: frames.FrameError) -> None:
        """Close the connection; an answer before these bytes is taken only if it is whole."""
        received = self._unconfirmed_answer
        if received is not None:
            ending = ending_before_malformed(received, self._reader)
            if ending is AnswerEnding.WHOLE:
                self._confirm_answer()
        self.fail(problem)

    def _confirm_answer(self) -> None:
        """End the call of the unconfirmed answer, if there is one, with its value."""
        received, self._unconfirmed_answer = self._unconfirmed_answer, None
        if received is not None:
            self._finish_answered(received.answer)

    def _check_remaining_bytes(self, had_partial_frame: bool) -> None:
        if self._reader.has_partial_frame:
            if not had_partial_frame:
                self._partial_since = self._last_received
            if not self.sent_calls:  # the next answer would be misread after these bytes
                return self.fail(frames.FrameError("unexpected bytes with no call in flight"))
        self._close_if_drained()
        return None

    def _finish_answered(self, answer: frames.Answer) -> None:
        call = self.sent_calls.pop(answer.id, None)
        if call is not None:  # else the answer is late, or a duplicate
            self._remember_finished(answer.id)
            call.finish(answer.outcome, answer.value, answer.load)

    def _remember_finished(self, id: bytes) -> None:
        self.finished_ids[id] = None
        while len(self.finished_ids) > MAX_FINISHED_IDS:
            self.finished_ids.popitem(last=False)

    # --- closing ----------------------------------------------------------------------

    def drain(self) -> None:
        """Accept no more calls and close once the present ones have ended."""
        self.accepts_calls = False
        self._close_if_drained()

    def fail(self, problem: frames.FrameError) -> None:
        """Close after a malformed answer; calls that were sent may have been executed."""
        self._log(
            "malformed_response_received",
            node=self.endpoint,
            problem=str(problem),
            out=len(self.sent_calls),
        )
        self.close()

    def close(self) -> None:
        """Close at once; calls that were sent completely end as lost."""
        self.accepts_calls = False
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()
        self.on_closed()

    def connectionLost(self, reason=connectionDone) -> None:
        """End all calls after the connection was lost."""
        self.on_closed()

    def on_closed(self, reason=None) -> None:
        """End all calls once the connection is closed or could not be established."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self._unconfirmed_answer = None
        self._owner.on_connection_closed(self)
        self._limits.held_bytes.remove(self)
        self._cancel_revocation_timer()
        sent, self.sent_calls = self.sent_calls, {}
        queued, self._queued = self._queued, deque()
        in_transmission, self.calls_in_transmission = self.calls_in_transmission, []
        for call in sent.values():
            never_executed = call in in_transmission  # its last byte was not sent
            call.finish(Outcome.CONNECT_FAILED if never_executed else Outcome.CONNECTION_LOST)
        for calls in queued:
            for call in calls:
                call.finish(Outcome.CONNECT_FAILED)

    def _close_if_drained(self) -> None:
        if not self.accepts_calls and not self.load:
            self.close()


def _to_shard_call(call: OutgoingCall, now: float) -> frames.ShardCall:
    remaining_ms = max(int((call.deadline - now) * 1000), 1)
    return frames.ShardCall(call.id, call.shard, remaining_ms, call.text, call.idempotency_key)
