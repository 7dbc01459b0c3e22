"""Sheds load while the memory of the process is short, and stops by itself."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.settings import Settings
from tansycrank.memory_monitor import MemoryMonitor, MemoryState, return_free_memory

REDUCED_BYTES_SHARE = 1 / 4  # of the bytes that may usually be held
RETURN_INTERVAL = 1.0  # s between calls that return freed memory to the system


class LoadShedder:
    """Reduces the limits of a router while memory is short.

    The largest holders of bytes are rejected first, and large requests are rejected before their
    body is read. Small requests are served as before.
    """

    def __init__(
        self,
        reactor,
        settings: Settings,
        monitor: MemoryMonitor,
        server: HttpServer,
        pool: ConnectionPool,
        log: Callable[..., None],
    ) -> None:
        self.monitor = monitor
        self._reactor, self._settings, self._log = reactor, settings, log
        self._server, self._pool = server, pool
        self._returned_at = float("-inf")  # s

    def check(self) -> None:
        """Read the memory of the process and set the limits accordingly; called periodically."""
        has_changed = self.monitor.check()
        is_short = self.monitor.state is MemoryState.SHORT
        if has_changed:
            self._set_limits(REDUCED_BYTES_SHARE if is_short else 1.0)
            self._server.body_reservations.may_wait = not is_short
            self._report()
        if is_short:
            self._return_free_memory()

    def _set_limits(self, share: float) -> None:
        settings, server = self._settings, self._server
        server.body_reservations.limit_bytes = int(settings.max_reserved_bytes * share)
        server.held_bytes.set_limit(settings.max_client_bytes * share)
        self._pool.held_bytes.set_limit(settings.max_node_bytes * share)

    def _report(self) -> None:
        self._log(
            "memory_state_changed",
            state=self.monitor.state.value,
            used_bytes=self.monitor.used_bytes,
            limit_bytes=self.monitor.limit_bytes,
            client_bytes=self._server.held_bytes.held_bytes,
            node_bytes=self._pool.held_bytes.held_bytes,
            clients=len(self._server.connections),
        )

    def _return_free_memory(self) -> None:
        now = self._reactor.seconds()
        if now - self._returned_at >= RETURN_INTERVAL:
            self._returned_at = now
            return_free_memory()
