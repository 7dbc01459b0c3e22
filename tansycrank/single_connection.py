"""A Twisted client factory for one connection, shared by the HTTP and the SQL router."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


class SingleConnectionFactory(ClientFactory):
    """Connects one protocol once; `on_failure` is called if the connection cannot be made."""

    noisy = False

    def __init__(self, protocol: Protocol, on_failure: Callable[[Failure], None]) -> None:
        self.protocol, self.on_failure = protocol, on_failure

    def buildProtocol(self, addr) -> Protocol:
        """Return the protocol of the connection."""
        return self.protocol

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        """Report that the connection could not be made."""
        self.on_failure(reason)
