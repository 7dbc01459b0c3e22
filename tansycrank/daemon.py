"""The SQL router process: setup, startup, graceful shutdown."""

from __future__ import annotations

import gc
import logging
import signal
import sys
from collections.abc import Callable
from typing import Any

import msgspec
import structlog
from twisted.internet.error import CannotListenError

from tansycrank import clock
from tansycrank.config import Config, routing_settings
from tansycrank.discovery.endpoint_file import EndpointFile
from tansycrank.discovery.feed_client import FeedClient
from tansycrank.lifecycle import Violation
from tansycrank.merge.blocks import MemoryReservations
from tansycrank.merge.spill import SpillSpace
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.postgres.errors import SHUTTING_DOWN, PgError
from tansycrank.postgres.server import PostgresServerFactory
from tansycrank.sql_router.connection_pool import ConnectionPool
from tansycrank.sql_router.coordinator import Coordinator
from tansycrank.sql_router.service import Service

MAINTENANCE_INTERVAL_SECONDS = 5.0  # between two sweeps for expired idle connections


def make_logger(section, stream=None) -> Any:
    """Return a structlog logger that writes JSON lines or human-readable lines."""
    for_console = section.format == "people"
    renderer = (
        structlog.dev.ConsoleRenderer(colors=False)
        if for_console
        else structlog.processors.JSONRenderer(
            serializer=lambda value, **_: msgspec.json.encode(value, enc_hook=str).decode()
        )
    )
    return structlog.wrap_logger(
        structlog.PrintLogger(stream or sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, section.level.upper())
        ),
        cache_logger_on_first_use=True,
    )


class Daemon:
    """One router on one reactor."""

    def __init__(self, reactor, config: Config, log=None) -> None:
        self.reactor, self.config, self.log = reactor, config, log
        store = config.store
        self.pools = ConnectionPool(
            reactor,
            store,
            {
                "user": store.user,
                "database": store.database,
                "application_name": f"tansycrank-{config.router.me}",
                "client_encoding": "UTF8",
                "DateStyle": "ISO",
                "TimeZone": "UTC",
            },
            config.merge.max_row_bytes,
        )
        merge = config.merge
        self.spill_space = SpillSpace(merge.spill_dir, merge.spill_quota)
        memory_reservations = MemoryReservations(
            merge.process_bytes,
            merge.query_bytes,
            self.spill_space,
            lambda: reactor.seconds() * 1000,
        )
        self.coordinator = Coordinator(
            reactor,
            routing_settings(config),
            config.router.seed,
            self.pools,
            memory_reservations,
            self._on_watch_endpoints,
            self._on_policy_failed,
        )
        self.coordinator.on_violation = self._on_violation
        self.coordinator.on_fault = self._on_fault
        source_type = FeedClient if config.roster.feed else EndpointFile
        self.endpoint_source = source_type(
            reactor, config, self.pools, self.coordinator.handle_endpoint_list, log
        )
        self.pools.notifications = PendingNotifications(
            reactor, self.endpoint_source.read_available
        )
        self.service = Service(config, self.coordinator, log)
        self.server = PostgresServerFactory(
            self.service, config.listen, reactor, config.router.seed, log
        )
        self.port = None
        self.stopped = False
        self._maintenance_call = None
        self.on_stopped = lambda: None

    def start(self) -> int:
        """Remove spill files left by a crash, listen, and watch discovery. Returns the port."""
        removed = self.spill_space.remove_leftover_files()
        if removed and self.log:
            self.log.warning("leftover_spill_files_removed", removed=removed)
        self.port = self.reactor.listenTCP(
            self.config.listen.port, self.server, backlog=1024, interface=self.config.listen.host
        )
        self.coordinator.start()
        self._maintenance_call = self.reactor.callLater(
            MAINTENANCE_INTERVAL_SECONDS, self._maintain
        )
        port_number = self.port.getHost().port
        if self.log:
            self.log.info(
                "listening_started",
                host=self.config.listen.host,
                port=port_number,
                me=self.config.router.me,
            )
        return port_number

    def _maintain(self) -> None:
        self._maintenance_call = self.reactor.callLater(
            MAINTENANCE_INTERVAL_SECONDS, self._maintain
        )
        self.pools.close_expired()

    def _on_watch_endpoints(self, on: bool) -> None:
        self.endpoint_source.watch(on)

    def _on_policy_failed(self, error: BaseException) -> None:
        if self.log:
            self.log.critical("policy_failed", error=repr(error), exc_info=error)
        self.stop_now()

    def _on_fault(self, action: str, error: Exception) -> None:
        """Log an exception that concerns one query or session."""
        if self.log:
            self.log.error("action_failed", action=action, error=repr(error), exc_info=error)

    def _guarded(self, function: Callable[..., None], *args: object) -> None:
        """Call a function on behalf of one query or session; an exception stops no other."""
        try:
            function(*args)
        except Exception as error:
            self._on_fault(function.__name__, error)

    def _on_violation(self, violation: Violation) -> None:
        if self.log:
            self.log.error(
                "invariant_violated",
                invariant=violation.invariant.value,
                detail=violation.detail,
                request=violation.request,
                history=violation.history,
            )

    def stop(self) -> None:
        """Shut down gracefully: accept no sessions, drain queries for at most `stop_within_ms`."""
        if self.server.stopping:
            return
        if self.log:
            self.log.info(
                "shutdown_started",
                sessions=len(self.server.sessions),
                queries=len(self.coordinator.queries),
            )
        self.port.stopListening()
        self._guarded(self.server.drain_sessions)
        self._drain(self.reactor.seconds() + self.config.router.stop_within_ms / 1000)

    def _drain(self, shutdown_deadline: float) -> None:
        busy = self.coordinator.queries or any(s.is_logged_in for s in self.server.sessions)
        if busy and self.reactor.seconds() < shutdown_deadline:
            self.reactor.callLater(0.02, self._drain, shutdown_deadline)
            self._guarded(self.server.drain_sessions)
        else:
            self.stop_now()

    def stop_now(self) -> None:
        """Stop at once: fail each open query with 57P01, then end all sessions."""
        if self.stopped:
            return
        self.stopped = True
        self._guarded(self.service.admission.close, shutting_down())
        for query in list(self.coordinator.queries.values()):
            self._guarded(self.coordinator.abandon, query, shutting_down())
        for session in list(self.server.sessions):
            self._guarded(session.shut_down)
        self.coordinator.lifecycle.stop(self.coordinator.now)
        self.coordinator.stop()
        self.endpoint_source.stop()
        if self._maintenance_call is not None and self._maintenance_call.active():
            self._maintenance_call.cancel()
        self.reactor.callLater(0.1, self._finish)

    def _finish(self) -> None:
        self._guarded(self.pools.close)
        for session in list(self.server.sessions):
            self._guarded(session.transport.abortConnection)
        if self.log:
            lifecycle = self.coordinator.lifecycle
            given_up = {reason.name.lower(): n for reason, n in self.coordinator.given_up.items()}
            self.log.info(
                "shutdown_completed",
                **self.coordinator.counts,
                **lifecycle.counters(),
                given_up=given_up,
            )
        self.on_stopped()


def shutting_down() -> PgError:
    """Return the error of a query that the shutdown ends."""
    return PgError(SHUTTING_DOWN, "the router is shutting down")


def run(config: Config, announce: bool = False) -> int:
    """Run one router until SIGTERM or SIGINT and return the exit code.

    `announce` prints its port as JSON. A second signal stops it without draining.
    """
    reactor = clock.install_reactor()
    daemon = Daemon(reactor, config, make_logger(config.log))
    daemon.on_stopped = lambda: reactor.running and reactor.stop()
    try:
        port = daemon.start()
    except (OSError, CannotListenError) as problem:
        print(f"{config.file}: [listen] port = {config.listen.port}: {problem}", file=sys.stderr)
        return 3
    if announce:
        print(msgspec.json.encode({"port": port}).decode(), flush=True)

    def stop(*_) -> None:
        reactor.callFromThread(daemon.stop_now if daemon.server.stopping else daemon.stop)

    gc.collect()
    # Modules and settings are never garbage; without freezing, each collection scans them.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)
    return 0
