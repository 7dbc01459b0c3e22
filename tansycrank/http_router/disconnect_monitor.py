"""Detects that a client has disconnected while its connection is not read.

The reactor reports the end of a connection only where it reads it. A connection with much unparsed
input is not read, and what its client sent before it left must not be forwarded meanwhile.
"""

from __future__ import annotations

from typing import Protocol

CHECK_INTERVAL = 0.03  # s
MIN_CHECK_INTERVAL = 0.005  # s between checks on demand


class MonitoredConnection(Protocol):
    """A connection that is not read."""

    def check_disconnected(self, paused_since: float) -> None:
        """Act on a client that may have closed the connection since `paused_since` (s)."""


class DisconnectMonitor:
    """The connections of a server that are not read, checked periodically."""

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._paused_since: dict[MonitoredConnection, float] = {}  # s
        self._timer = None
        self._checked_at = float("-inf")  # s

    def add(self, connection: MonitoredConnection) -> None:
        """Check a connection until it is removed."""
        self._paused_since[connection] = self._reactor.seconds()
        if self._timer is None:
            self._timer = self._reactor.callLater(CHECK_INTERVAL, self._check)

    def remove(self, connection: MonitoredConnection) -> None:
        """Stop checking a connection: it is read again, or has closed."""
        self._paused_since.pop(connection, None)

    def check_now(self) -> None:
        """Check all connections, unless that was done within `MIN_CHECK_INTERVAL`."""
        now = self._reactor.seconds()
        if now - self._checked_at < MIN_CHECK_INTERVAL:
            return
        self._checked_at = now
        for connection, paused_since in list(self._paused_since.items()):
            connection.check_disconnected(paused_since)

    def _check(self) -> None:
        self._timer = None
        self.check_now()
        if self._paused_since:
            self._timer = self._reactor.callLater(CHECK_INTERVAL, self._check)
