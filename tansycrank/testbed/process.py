"""What stand-in processes share: sockets on loopback, a line with their ports, an end with their
parent.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

import msgspec
from twisted.internet.protocol import Factory, Protocol

from tansycrank.clock import install_reactor

reactor = install_reactor()


class Front(Factory):
    """Makes a protocol for each connection."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self.make = make

    def buildProtocol(self, addr) -> Protocol:
        """Create the protocol of a new connection."""
        return self.make()


def listen(port: int, make: Callable[[], Protocol]) -> int:
    """Listen on loopback; the port, which the system picks for 0."""
    return reactor.listenTCP(port, Front(make), interface="127.0.0.1", backlog=512).getHost().port


def serve(**told: int) -> None:
    """Print the ports as a JSON line, then run until killed, or until who started this is gone."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    print(msgspec.json.encode(told).decode(), flush=True)
    parent = os.getppid()

    def orphaned() -> None:  # danger: a stand-in must not outlive who started it
        if os.getppid() != parent:
            os._exit(0)
        reactor.callLater(1, orphaned)

    orphaned()
    reactor.run(installSignalHandlers=False)
