"""The way of a router from SIGTERM to its exit."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.settings import Settings
from tansycrank.routing import FailureReason

DRAIN_CHECK_INTERVAL = 0.05  # s between checks of what is still open
LAST_ANSWERS = 70.0  # ms in which clients read the last answers, and what still comes is rejected
LAST_WRITES = 10.0  # ms between the close of all connections and the exit, in which answers leave


class GracefulShutdown:
    """Serves on for a moment, drains, and calls `on_completed` once nothing is owed any more.

    Connections go on and new ones are accepted at first: if all closed at once, every client would
    connect anew while the next router may still be starting.
    """

    def __init__(
        self,
        reactor,
        settings: Settings,
        server: HttpServer,
        coordinator: Coordinator,
        on_completed: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._server = server
        self._coordinator = coordinator
        self._on_completed = on_completed
        self._is_port_closed = False
        self._is_completed = False

    def begin(self) -> None:
        """Bound what is accepted from now on by the time left; schedule draining and the end."""
        settings = self._settings
        self._server.ready = False
        now = self._coordinator.loop.now
        self._coordinator.shutdown_deadline = now + settings.shutdown_timeout
        self._reactor.callLater(settings.drain_delay / 1000, self._start_draining)
        self._reactor.callLater(settings.shutdown_timeout / 1000, self._reject_open_queries)

    def complete(self) -> None:
        """Finish, once; called early by a process that is stopped otherwise."""
        if not self._is_completed:
            self._is_completed = True
            self._on_completed()

    def _start_draining(self) -> None:
        self._server.draining = True
        self._drain()

    def _drain(self) -> None:
        if self._is_completed:
            return
        self._server.close_idle()
        self._close_port()
        is_open = self._coordinator.queries or self._server.connections
        if is_open or not self._is_port_closed:
            self._reactor.callLater(DRAIN_CHECK_INTERVAL, self._drain)
        else:
            self.complete()

    def _close_port(self) -> None:
        """Close the port once nobody waits in its queue: closing resets who does."""
        if self._is_port_closed:
            return
        port = self._server.port
        if port is None or self._server.accept_rest():
            self._is_port_closed = True
            if port is not None:
                port.stopListening()

    def _reject_open_queries(self) -> None:
        """Reject or fail what is open before the kill, and leave time to read the answers."""
        self._server.stop_admitting()
        self._coordinator.reject_all(FailureReason.STOPPING)
        self._reactor.callLater(LAST_ANSWERS / 1000, self._close_all)

    def _close_all(self) -> None:
        """Read nothing more: a request that is read from here on could not be answered."""
        if not self._is_completed:
            self._server.close_all()
            self._reactor.callLater(LAST_WRITES / 1000, self.complete)
