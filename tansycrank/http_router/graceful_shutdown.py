"""Graceful shutdown of a router, from SIGTERM to exit."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.settings import Settings
from tansycrank.routing import FailureReason

DRAIN_CHECK_INTERVAL = 0.05  # s between checks for open queries and connections
# ms for clients to read the last answers; requests that still arrive are rejected
FINAL_ANSWER_GRACE = 70.0
MIN_FINAL_ANSWER_GRACE = 20.0  # ms, if the rejections came late
# ms between closing all connections and the exit, for pending writes to complete
FINAL_WRITE_GRACE = 10.0


class GracefulShutdown:
    """Keeps serving for a drain delay, drains, and calls `on_completed` when all is answered.

    Connections stay open and new ones are accepted until the drain delay has passed: if all were
    closed at once, every client would reconnect while the next process may still be starting.
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
        """Limit the deadlines of new queries to the time left; schedule draining and rejection."""
        settings = self._settings
        self._server.ready = False
        now = self._coordinator.loop.now
        self._coordinator.shutdown_deadline = now + settings.shutdown_timeout
        self._reactor.callLater(settings.drain_delay / 1000, self._start_draining)
        self._reactor.callLater(settings.shutdown_timeout / 1000, self._reject_open_queries)

    def complete(self) -> None:
        """Call `on_completed` once; a process that is stopped in another way calls this early."""
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
        """Close the port once its accept queue is empty: closing resets queued connections."""
        if self._is_port_closed:
            return
        port = self._server.port
        if port is None or self._server.accept_queued():
            self._is_port_closed = True
            if port is not None:
                port.stopListening()

    def _reject_open_queries(self) -> None:
        """Reject or fail all queries in flight before SIGKILL, leaving time to read the answers."""
        self._server.stop_admitting()
        self._coordinator.reject_all(FailureReason.STOPPING)
        late = self._coordinator.loop.now - self._coordinator.shutdown_deadline
        grace = max(FINAL_ANSWER_GRACE - late, MIN_FINAL_ANSWER_GRACE)
        self._reactor.callLater(grace / 1000, self._close_all)

    def _close_all(self) -> None:
        """Close all connections: a request read after this point could not be answered."""
        if not self._is_completed:
            self._server.close_all()
            self._reactor.callLater(FINAL_WRITE_GRACE / 1000, self.complete)
