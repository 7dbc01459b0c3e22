"""Outgoing TCP connections that ask their protocol at the moment when bytes leave the process.

Twisted buffers what a protocol writes and hands it to the system in a later turn of the reactor.
Without the question, a process that was stopped in between sends what must not leave any more.
"""

from __future__ import annotations

from typing import Protocol

from twisted.internet import tcp
from twisted.internet.error import ConnectionLost


class WriteChecker(Protocol):
    """A protocol that decides about its bytes when they leave, not only when it writes them."""

    def may_write(self) -> bool:
        """Whether the buffered bytes may leave now; they are dropped otherwise."""

    def on_bytes_written(self) -> None:
        """Note that the system has taken some of the buffered bytes."""


class CheckedClient(tcp.Client):
    """The transport of one outgoing connection."""

    def writeSomeData(self, data: bytes) -> int | ConnectionLost:
        """Hand bytes to the system, if the protocol still allows it."""
        if not hasattr(self.protocol, "may_write"):  # no `WriteChecker`
            return super().writeSomeData(data)
        if not self.protocol.may_write():
            return len(data)  # Twisted forgets them as if they had left
        written = super().writeSomeData(data)
        if isinstance(written, int) and written > 0:
            self.protocol.on_bytes_written()
        return written


class CheckedConnector(tcp.Connector):
    """Makes connections with a `CheckedClient`."""

    def _makeTransport(self) -> CheckedClient:
        return CheckedClient(self.host, self.port, self.bindAddress, self, self.reactor)
