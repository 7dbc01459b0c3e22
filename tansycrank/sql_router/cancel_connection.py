"""The connection on which a CancelRequest is sent to a data node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import Protocol

from tansycrank.postgres import messages as pg


class CancelConnection(Protocol):
    """Sends one CancelRequest; it is aborted if the node does not close it within `timeout` s."""

    def __init__(
        self, reactor, timeout: float, key: tuple[int, int], done: Callable[[], None]
    ) -> None:
        self._reactor, self._timeout, self._key, self._done = reactor, timeout, key, done
        self._timer = None

    def connectionMade(self) -> None:
        """Send the request, and wait for the node to close the connection."""
        self.transport.write(pg.cancel_request(*self._key))
        self._timer = self._reactor.callLater(self._timeout, self.transport.abortConnection)

    def connectionLost(self, reason=None) -> None:
        """Report that the request has been handled, or never will be."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._done()
