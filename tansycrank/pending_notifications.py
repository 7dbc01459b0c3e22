"""Reads pending updates from service discovery before a request is sent to a data node.

After a process was suspended, requests, responses and endpoint lists are pending at the same time.
The order in which it reads its sockets must not decide whether a draining endpoint gets another
request.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.paced_lines import PacedLines

MAX_UNREAD_SECONDS = 0.02  # for which an update may lie unread while requests are sent
READ_BYTES = 16 * 1024  # of a connection to discovery at once
MAX_CHUNKS = 512  # per call, of `READ_BYTES` each: more than the largest endpoint list
MAX_READ_SECONDS = MAX_UNREAD_SECONDS / 2  # per call, so that half of the time is left for requests
# Per call, whatever time they take, as the process may be suspended meanwhile.
MIN_CHUNKS, MIN_LINES = 4, 64


class NotificationReceiver(Protocol):
    """A protocol on a connection to service discovery."""

    transport: object
    chunks_received: int
    lines: PacedLines


def read_available(receiver: NotificationReceiver, seconds: Callable[[], float]) -> None:
    """Read what has arrived on a connection; the reactor handles its end.

    `seconds` is the reactor's clock. Discovery that writes without end is left to the next turns.
    """
    until = seconds() + MAX_READ_SECONDS
    lines_left = MIN_LINES
    for chunk in range(MAX_CHUNKS):
        lines_left -= receiver.lines.handle_until(until, lines_left)
        is_enough = chunk >= MIN_CHUNKS or lines_left <= 0
        transport = receiver.transport
        if (is_enough and seconds() >= until) or transport is None or not transport.connected:
            return
        before = receiver.chunks_received
        transport.doRead()
        if receiver.chunks_received == before:
            return


class PendingNotifications:
    """Rate-limits `read`, which reads what has arrived on the connections to discovery."""

    def __init__(self, reactor, read: Callable[[], None]) -> None:
        self._reactor = reactor
        self._read = read
        self._read_at = float("-inf")  # s
        self._is_reading = False

    def ensure_read(self) -> None:
        """Read the updates from discovery, unless they were read within `MAX_UNREAD_SECONDS`."""
        now = self._reactor.seconds()
        if self._is_reading or now - self._read_at <= MAX_UNREAD_SECONDS:
            return
        self._is_reading = True
        try:
            self._read()
        finally:
            self._is_reading = False
        self._read_at = now
