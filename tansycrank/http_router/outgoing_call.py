"""One attempt of a shard request, from its dispatch to its single outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from tansycrank.lifecycle import Attempt
from tansycrank.routing import Outcome

OutcomeCallback = Callable[[Outcome, str, tuple[float, ...]], None]


class CallState(Enum):
    """The states of a call, in order."""

    UNSENT = auto()  # waiting for its connection or behind another frame
    SENT = auto()  # written to the socket
    ENDED = auto()  # its outcome was reported


class CallConnection(Protocol):
    """The interface that a call requires of its connection."""

    def is_transmitting(self, call: OutgoingCall) -> bool:
        """Whether the kernel may not have accepted the last byte of the call's frame yet."""

    def revoke(self, call: OutgoingCall) -> None:
        """Prevent the call from starting at the node if that is still possible."""

    def abandon(self, call: OutgoingCall, outcome: Outcome) -> None:
        """Stop waiting for a sent call and notify its node."""

    def close(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One call and its timers, all of which are cancelled when it ends.

    `deadline` and `written_at` are seconds of the reactor's clock; the limits are durations in
    seconds, 0 for none.
    """

    id: bytes
    shard: int
    text: bytes
    deadline: float
    on_outcome: OutcomeCallback | None
    attempt: Attempt | None  # decides whether it may start; None for a call never sent
    idempotency_key: bytes = b""
    connect_limit: float = 0.0  # maximum wait for its connection or behind other frames
    transmit_limit: float = 0.0  # maximum time until its last byte is sent
    state: CallState = CallState.UNSENT
    written_at: float | None = None
    connection: CallConnection | None = None
    _timers: list = field(default_factory=list)

    @classmethod
    def never_sent(cls, id: bytes, shard: int) -> OutgoingCall:
        """Return an ended call that represents an attempt that was not allowed."""
        return cls(id, shard, b"", 0.0, None, None, state=CallState.ENDED)

    @property
    def ended(self) -> bool:
        """Whether its outcome was reported."""
        return self.state is CallState.ENDED

    @property
    def was_written(self) -> bool:
        """Whether it was written to the socket, even if it has ended since."""
        return self.written_at is not None

    def start_timeout(self, reactor, seconds: float) -> None:
        """Start the timeout of the whole attempt."""
        self._timers.append(reactor.callLater(seconds, self._stop, Outcome.TIMED_OUT))

    def start_send_timers(self, reactor) -> None:
        """Start the connect and transmit limits once the call is assigned to a connection."""
        if self.connect_limit and not self.was_written:
            self._timers.append(reactor.callLater(self.connect_limit, self._on_connect_limit))
        if self.transmit_limit:
            self._timers.append(reactor.callLater(self.transmit_limit, self._on_transmit_limit))

    def try_start(self, now: float) -> bool:
        """Start the call at `now` (s) and return True, or end it if it may not start."""
        if self.ended:
            return False
        if self.attempt.start(now * 1000) is not None:
            self.finish(Outcome.NOT_SENT)
            return False
        self.state, self.written_at = CallState.SENT, now
        return True

    def may_transmit(self, now: float, max_age: float) -> bool:
        """Whether it may be sent at `now` (s), having been written at most `max_age` s before."""
        is_current = not self.ended and now - self.written_at <= max_age
        return is_current and self.attempt.may_still_start(now * 1000)

    def mark_unsent(self) -> None:
        """Undo `try_start`, as none of its bytes were sent."""
        if not self.ended:
            self.state, self.written_at = CallState.UNSENT, None
            self.attempt.undo_start()

    def cancel(self) -> None:
        """End the call as cancelled and notify its node if it was sent."""
        self._stop(Outcome.CANCELLED)

    def revoke(self) -> None:
        """Prevent the call from starting; a call its node has received is not cancelled."""
        if self.ended:
            return
        if self.connection is None:
            self.finish(Outcome.NOT_SENT)
        else:
            self.connection.revoke(self)

    def finish(self, outcome: Outcome, value: str = "", load: tuple[float, ...] = ()) -> None:
        """End the call and report its outcome, unless it has already ended."""
        if self.ended:
            return
        self.state = CallState.ENDED
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        on_outcome, self.on_outcome = self.on_outcome, None
        self.connection = None  # an ended call must not keep its connection alive
        on_outcome(outcome, value, load)

    def _stop(self, outcome: Outcome) -> None:
        if self.ended:
            return
        if self.was_written:
            self.connection.abandon(self, outcome)
        elif outcome is Outcome.CANCELLED:
            self.finish(Outcome.NOT_SENT)
        else:
            self.finish(Outcome.CONNECT_FAILED)

    def _on_connect_limit(self) -> None:
        if not self.was_written:
            self.finish(Outcome.CONNECT_FAILED)

    def _on_transmit_limit(self) -> None:
        """End a call that was not sent completely in time.

        Otherwise a retry could arrive after the deduplication window of its idempotency key and
        take effect twice.
        """
        if not self.was_written:
            self.finish(Outcome.CONNECT_FAILED)
        elif self.connection.is_transmitting(self):
            self.connection.close()
