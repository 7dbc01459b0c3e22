"""One attempt of a shard request on its way to a data node, up to its single outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from tansycrank.lifecycle import Attempt
from tansycrank.routing import Outcome

Done = Callable[[Outcome, str, tuple[float, ...]], None]


class CallState(Enum):
    """How far a call has come."""

    UNSENT = auto()  # waits for its connection, or behind another frame
    SENT = auto()  # its bytes were handed to the socket
    ENDED = auto()  # its outcome was reported


class CallCarrier(Protocol):
    """What a call needs of the connection that carries it."""

    def is_transmitting(self, call: OutgoingCall) -> bool:
        """Whether the system may not have taken the last byte of the call's frame yet."""

    def revoke(self, call: OutgoingCall) -> None:
        """Keep the call from starting at the node, as far as that is still possible."""

    def abandon(self, call: OutgoingCall, outcome: Outcome) -> None:
        """Stop waiting for a sent call and notify its node."""

    def close(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """One send. It owns its timers; all of them are cancelled when it ends.

    `deadline` and `written_at` are seconds of the reactor's clock; the limits are spans in
    seconds, 0 for none.
    """

    id: bytes
    shard: int
    text: bytes
    deadline: float
    on_end: Done | None
    attempt: Attempt | None  # decides whether it may start; None for a call that was never sent
    idempotency_key: bytes = b""
    connect_limit: float = 0.0  # how long it may wait for its connection or behind other frames
    transmit_limit: float = 0.0  # how long its last byte may take to leave
    state: CallState = CallState.UNSENT
    written_at: float | None = None
    connection: CallCarrier | None = None
    _timers: list = field(default_factory=list)

    @classmethod
    def never_sent(cls, id: bytes, shard: int) -> OutgoingCall:
        """Return an ended call that stands for an attempt that was not allowed."""
        return cls(id, shard, b"", 0.0, None, None, state=CallState.ENDED)

    @property
    def ended(self) -> bool:
        """Whether its outcome was reported."""
        return self.state is CallState.ENDED

    @property
    def was_written(self) -> bool:
        """Whether its bytes were handed to the socket, ended since or not."""
        return self.written_at is not None

    def start_timeout(self, reactor, seconds: float) -> None:
        """Start the timer of the whole attempt."""
        self._timers.append(reactor.callLater(seconds, self._stop, Outcome.TIMED_OUT))

    def start_send_timers(self, reactor) -> None:
        """Start the timers of connecting and transmitting, once a connection carries the call."""
        if self.connect_limit and not self.was_written:
            self._timers.append(reactor.callLater(self.connect_limit, self._on_connect_limit))
        if self.transmit_limit:
            self._timers.append(reactor.callLater(self.transmit_limit, self._on_transmit_limit))

    def begin(self, now: float) -> bool:
        """Return whether its bytes leave now (seconds); a call that may not start ends here."""
        if self.ended:
            return False
        if self.attempt.start(now * 1000) is not None:
            self.finish(Outcome.NOT_SENT)
            return False
        self.state, self.written_at = CallState.SENT, now
        return True

    def may_leave(self, now: float, max_age: float) -> bool:
        """Whether bytes written at most `max_age` seconds ago may leave now (seconds)."""
        is_wanted = not self.ended and now - self.written_at <= max_age
        return is_wanted and self.attempt.may_still_start(now * 1000)

    def take_back(self) -> None:
        """Return to the state before `begin`: none of its bytes have left."""
        if not self.ended:
            self.state, self.written_at = CallState.UNSENT, None
            self.attempt.undo_start()

    def cancel(self) -> None:
        """Stop waiting for the call."""
        self._stop(Outcome.CANCELLED)

    def revoke(self) -> None:
        """Keep the call from starting; what its node already has is not cancelled by this."""
        if self.ended:
            return
        if self.connection is None:
            self.finish(Outcome.NOT_SENT)
        else:
            self.connection.revoke(self)

    def finish(self, outcome: Outcome, value: str = "", load: tuple[float, ...] = ()) -> None:
        """Report the outcome, once."""
        if self.ended:
            return
        self.state = CallState.ENDED
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        on_end, self.on_end = self.on_end, None
        self.connection = None  # an ended call must not keep its connection alive
        on_end(outcome, value, load)

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
        """End a call that left too late.

        Without this, a retry that arrives when nodes no longer know its idempotency key takes
        effect twice.
        """
        if not self.was_written:
            self.finish(Outcome.CONNECT_FAILED)
        elif self.connection.is_transmitting(self):
            self.connection.close()
