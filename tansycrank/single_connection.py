"""The one factory of connections that both routers make; it knows no protocol."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure


class OneConnection(ClientFactory):
    """Connects one protocol, once; `failed` hears the reason if its connection never came up."""

    noisy = False

    def __init__(self, protocol: Protocol, failed: Callable[[Failure], None]) -> None:
        self.protocol, self.failed = protocol, failed

    def buildProtocol(self, addr) -> Protocol:
        return self.protocol

    def clientConnectionFailed(self, connector, reason: Failure) -> None:
        self.failed(reason)
