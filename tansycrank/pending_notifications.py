"""Reading what service discovery has written before a request leaves for a data node.

A process that was stopped finds requests, responses and endpoint lists waiting together. The order
in which it reads its sockets must not decide whether a draining endpoint gets another request.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_UNREAD_SECONDS = 0.02  # for which a notification may lie unread while requests leave
MAX_CHUNKS = 128  # read in one go, 64 KiB each: more than the largest endpoint list


class NotificationReceiver(Protocol):
    """A protocol on a connection to service discovery."""

    transport: object
    chunks_received: int


def read_available(receiver: NotificationReceiver) -> None:
    """Read what has arrived on a connection; its end is left to the reactor."""
    for _ in range(MAX_CHUNKS):
        transport = receiver.transport
        if transport is None or not transport.connected:
            return
        before = receiver.chunks_received
        transport.doRead()
        if receiver.chunks_received == before:
            return


class PendingNotifications:
    """Calls `read`, which reads the connections to discovery, unless it did so a moment ago."""

    def __init__(self, reactor, read: Callable[[], None]) -> None:
        self._reactor = reactor
        self._read = read
        self._read_at = float("-inf")  # s
        self._is_reading = False

    def ensure_read(self) -> None:
        """Read what discovery has written up to now, at most `MAX_UNREAD_SECONDS` ago."""
        now = self._reactor.seconds()
        if self._is_reading or now - self._read_at <= MAX_UNREAD_SECONDS:
            return
        self._is_reading = True
        try:
            self._read()
        finally:
            self._is_reading = False
        self._read_at = now
