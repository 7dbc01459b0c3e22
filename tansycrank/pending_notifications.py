"""Reads pending updates from service discovery before a request is sent to a data node.

After a process was suspended, requests, responses and endpoint lists are pending at the same time.
The order in which it reads its sockets must not decide whether a draining endpoint gets another
request.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_UNREAD_SECONDS = 0.02  # for which an update may lie unread while requests are sent
MAX_CHUNKS = 128  # per call, of 64 KiB each: more than the largest endpoint list


class NotificationReceiver(Protocol):
    """A protocol on a connection to service discovery."""

    transport: object
    chunks_received: int


def read_available(receiver: NotificationReceiver) -> None:
    """Read what has arrived on a connection; the reactor handles its end."""
    for _ in range(MAX_CHUNKS):
        transport = receiver.transport
        if transport is None or not transport.connected:
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
