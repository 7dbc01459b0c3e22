"""Outgoing TCP connections that consult their protocol at the moment bytes are sent.

Twisted buffers what a protocol writes and passes it to the kernel in a later reactor turn. Without
the second check, a process that was suspended in between would send requests that are no longer
allowed.
"""

from __future__ import annotations

from typing import Protocol

from twisted.internet import tcp
from twisted.internet.error import ConnectionLost


class WriteChecker(Protocol):
    """A protocol that checks its bytes again when they are sent, not only when it writes them."""

    def may_write(self) -> bool:
        """Whether the buffered bytes may be sent now; otherwise they are dropped."""

    def on_bytes_written(self) -> None:
        """Called when the kernel has accepted some of the buffered bytes."""


class CheckedClient(tcp.Client):
    """The transport of one outgoing connection."""

    def writeSomeData(self, data: bytes) -> int | ConnectionLost:
        """Pass bytes to the kernel, if the protocol still allows it."""
        if not hasattr(self.protocol, "may_write"):  # not a `WriteChecker`
            return super().writeSomeData(data)
        if not self.protocol.may_write():
            return len(data)  # Twisted then drops them as if they had been sent
        written = super().writeSomeData(data)
        if isinstance(written, int) and written > 0:
            self.protocol.on_bytes_written()
        return written


class CheckedConnector(tcp.Connector):
    """A connector whose transport is a `CheckedClient`."""

    def _makeTransport(self) -> CheckedClient:
        return CheckedClient(self.host, self.port, self.bindAddress, self, self.reactor)
