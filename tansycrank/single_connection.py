"""A Twisted client factory for a single connection, used by both routers."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


class SingleConnectionFactory(ClientFactory):
    """Connects one protocol, once; `failed` is called if the connection cannot be made."""

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[Failure], None]) -> None:
        self.protocol, self.failed = protocol, failed

    def buildProtocol(self, addr) -> Protocol:
        """Return the protocol of the connection."""
        return self.protocol

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        """Report that the connection could not be made."""
        self.failed(reason)
