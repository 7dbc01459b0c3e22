"""Handles the lines of a connection in order, for a limited time of each reactor turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from tansycrank.line_buffer import LineBuffer

TURN_SECONDS = 0.002  # for the lines of one connection in a reactor turn


class PacedLines:
    """The lines of one connection; while some wait to be handled, its transport is paused.

    A peer that writes faster than its lines are handled is read no faster, and other connections
    get their turns in between.
    """

    def __init__(self, reactor, handle: Callable[[bytes], None]) -> None:
        """`handle` gets each line without its line feed; it may call `close`."""
        self._reactor, self._handle = reactor, handle
        self._buffer = LineBuffer()
        self._waiting: deque[bytes] = deque()
        self._continuation = None  # the delayed call of the next turn, while lines wait

    @property
    def has_waiting(self) -> bool:
        """Whether complete lines wait to be handled."""
        return bool(self._waiting)

    @property
    def unfinished_bytes(self) -> int:
        """Number of received bytes behind the last complete line."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes; the lines they complete wait for one of the other methods."""
        self._waiting.extend(self._buffer.feed(data))

    def handle_for_turn(self, transport) -> None:
        """Handle waiting lines for `TURN_SECONDS`, and the others in the next turns."""
        self.handle_until(self._reactor.seconds() + TURN_SECONDS)
        if self._waiting and self._continuation is None:
            transport.pauseProducing()
            self._continuation = self._reactor.callLater(0, self._continue, transport)

    def handle_until(self, until: float, at_least: int = 1) -> int:
        """Handle waiting lines until the time `until` (s), and some in any case.

        Return the number of lines that were handled.
        """
        handled = 0
        while self._waiting and (handled < at_least or self._reactor.seconds() < until):
            self._handle(self._waiting.popleft())
            handled += 1
        return handled

    def handle_all(self) -> None:
        """Handle all waiting lines: the connection has ended, or what follows cannot be read."""
        self.handle_until(float("inf"))

    def close(self) -> None:
        """Drop all lines."""
        self._waiting.clear()
        self._buffer = LineBuffer()
        if self._continuation is not None:
            self._continuation.cancel()
            self._continuation = None

    def _continue(self, transport) -> None:
        self._continuation = None
        try:
            self.handle_for_turn(transport)
        except Exception:  # as for an exception in `dataReceived`; else the pause has no end
            self.close()
            transport.abortConnection()
            raise
        if not self._waiting:
            transport.resumeProducing()
