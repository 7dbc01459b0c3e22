"""The connection on which a CancelRequest is sent to a data node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import Protocol

from tansycrank.postgres import messages as pg


class CancelConnection(Protocol):
    """Sends one CancelRequest."""

    def __init__(self, key: tuple[int, int], done: Callable[[], None]) -> None:
        self._key, self._done = key, done

    def connectionMade(self) -> None:
        """Send the request, and wait for the node to close the connection."""
        self.transport.write(pg.cancel_request(*self._key))

    def connectionLost(self, reason=None) -> None:
        """Report that the request has been handled, or never will be."""
        self._done()
