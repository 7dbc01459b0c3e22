"""The HTTP router process, `python -m tansycrank run`: readiness, endpoint lists, signals."""

from __future__ import annotations

import gc
import logging
import os
import resource
import signal
import sys
import traceback as traceback_module
from collections.abc import Callable, Mapping
from enum import Enum

import msgspec
from twisted.internet.error import CannotListenError

from tansycrank import clock, routing
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.discovery_client import DiscoveryClient
from tansycrank.http_router.endpoint_directory import EndpointDirectory
from tansycrank.http_router.graceful_shutdown import GracefulShutdown
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.load_shedding import LoadShedder
from tansycrank.http_router.maintenance import Maintenance
from tansycrank.http_router.recent_requests import RecentRequests
from tansycrank.http_router.settings import ConfigError, EndpointListDocument, Settings
from tansycrank.http_router.version_reset import VersionResetDetector
from tansycrank.memory_monitor import MemoryMonitor
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.stall_metrics import StallMetrics

# s to wait for the first endpoint list. After that a router that polls serves from the list of its
# configuration.
READY_TIMEOUT = 2.0
# s to wait for the first list where lists are pushed; the platform allows 30 s for a start
PUSHED_LIST_TIMEOUT = 20.0
LISTEN_RETRY_INTERVAL = 0.1  # s between attempts to bind an address in use
# Connections accepted per reactor iteration; the connection limit may be exceeded by this number.
MAX_ACCEPTS_PER_TURN = 16

_logger = logging.getLogger("tansycrank")


def log(event: str, traceback: bool = False, **fields: object) -> None:
    """Write a log event as one JSON line to standard error."""
    if traceback:
        fields["traceback"] = traceback_module.format_exc(limit=8)
    _logger.info("%s", msgspec.json.encode({"event": event, **fields}).decode())


class ProcessState(Enum):
    """The states of the process, in this order."""

    STARTING = "starting"
    READY = "ready"  # `/-/ready` answers 200
    DRAINING = "draining"  # from SIGTERM on
    STOPPED = "stopped"


class Daemon:
    """Creates and connects the components of a router; handles endpoint lists and signals."""

    def __init__(
        self,
        reactor,
        settings: Settings,
        environ: Mapping[str, str],
        unread_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`unread_seconds` returns how long the input read now may have been waiting."""
        self.reactor = reactor
        self.settings = settings
        self.environ = environ
        self.state = ProcessState.STARTING
        self.stall_metrics = StallMetrics(unread_seconds, log)
        self.endpoint_directory = EndpointDirectory(settings.zones)
        self.pool = ConnectionPool(
            reactor,
            settings.streams_per_connection,
            settings.module.call_batch_size,
            settings.connect_timeout,
            settings.idle_timeout,
            settings.max_node_connections,
            log,
            settings.module.drain_grace,
            settings.max_node_bytes,
        )
        self.discovery = DiscoveryClient(reactor, *settings.discovery, self)
        self.pool.notifications = PendingNotifications(reactor, self.discovery.read_available)
        self._version_reset = VersionResetDetector(reactor, settings.seed, self.discovery.poll_once)
        self.coordinator = Coordinator(
            reactor,
            settings.module,
            settings.seed,
            self.pool,
            log,
            self.discovery.set_watch,
            self.discovery.poll_once,
            RecentRequests(settings.max_recent_requests),
        )
        self.server = HttpServer(reactor, settings, self.coordinator, log, unread_seconds)
        self.shutdown = GracefulShutdown(
            reactor, settings, self.server, self.coordinator, self._on_drained
        )
        self.memory = MemoryMonitor(int(settings.memory_mb * configuration.BYTES_PER_MB))
        shedder = LoadShedder(reactor, settings, self.memory, self.server, self.pool, log)
        self.maintenance = Maintenance(
            reactor, self.pool, self.server, self._report_state, shedder.check, log
        )
        self.discovery_failures = 0
        self._is_confirming_empty_list = False  # an empty list is being confirmed by a poll
        self._may_become_ready = False  # a list was received, or waiting timed out
        self._listen_timer = None  # set while a retry to bind the address is scheduled

    @property
    def stopped(self) -> bool:
        """Whether the shutdown has completed."""
        return self.state is ProcessState.STOPPED

    def start(self) -> None:
        """Apply the endpoint list of the configuration; listen now if discovery is polled.

        Applying the list makes the policy open the discovery watch.
        """
        self._apply_endpoint_list(
            self.settings.cached_endpoint_list, routing.EndpointListKind.CACHED
        )
        if self.settings.module.polls_discovery:
            self._listen()
        self.reactor.callLater(
            READY_TIMEOUT if self.settings.module.polls_discovery else PUSHED_LIST_TIMEOUT,
            self._become_ready,
        )
        self.memory.start()
        self.maintenance.start()
        log(
            "process_started",
            name=self.settings.name,
            cores=self.settings.cores,
            idle_ms=self.settings.idle_timeout,
            memory_mb=self.settings.memory_mb,
            sockets=self.settings.sockets,
        )

    def _listen(self) -> None:
        self._listen_timer = None
        if self.state is not ProcessState.STARTING:
            return
        host, port = self.settings.listen
        try:
            self.server.port = self.reactor.listenTCP(
                port, self.server, backlog=1024, interface=host
            )
        except CannotListenError as problem:  # the previous process may still hold the address
            log("listen_failed", host=host, port=port, problem=str(problem))
            self._listen_timer = self.reactor.callLater(LISTEN_RETRY_INTERVAL, self._listen)
            return
        self.server.port.numberAccepts = MAX_ACCEPTS_PER_TURN
        log("listening_started", host=host, port=port)
        if self._may_become_ready:
            self._become_ready()

    def _become_ready(self) -> None:
        """Become ready; where lists are pushed, start to listen first.

        Where lists are pushed, the agent's list is binding from the start of a process, and a
        client that has not noticed the end of the previous process sends immediately. So the port
        is not opened before a list was received, and the kernel refuses connections until then.
        """
        self._may_become_ready = True
        if self.state is not ProcessState.STARTING:
            return
        if self.server.port is not None:
            self.state = ProcessState.READY
            self.server.ready = True
            log(
                "became_ready",
                nodes=len(self.endpoint_directory),
                version=self.endpoint_directory.version,
            )
        elif self._listen_timer is None:
            self._listen()  # calls this method again

    # --- discovery --------------------------------------------------------------------

    @property
    def known_version(self) -> int:
        """Version of the current endpoint list."""
        return self.endpoint_directory.version

    def on_unchanged(self) -> None:
        """Handle a report of discovery that nothing changed."""
        self.endpoint_directory.confirm_unchanged(self.coordinator.loop.now)

    def on_endpoint_list(self, document: EndpointListDocument) -> None:
        """Apply an endpoint list, unless it is older than the current one.

        An empty list is confirmed by another poll before it is applied, as it ends all service.
        """
        self.stall_metrics.record_endpoint_list(document.version)
        if not self._is_outdated(document):
            self._version_reset.clear()
            is_empty = document.full and not document.servers and len(self.endpoint_directory) > 0
            if is_empty and not self._is_confirming_empty_list:
                self._is_confirming_empty_list = True
                log(
                    "empty_endpoint_list_received",
                    version=document.version,
                    nodes=len(self.endpoint_directory),
                )
                self.discovery.poll_once()
            else:
                self._is_confirming_empty_list = False
                self._apply_endpoint_list(
                    document,
                    routing.EndpointListKind.SNAPSHOT
                    if document.full
                    else routing.EndpointListKind.DELTA,
                )
        self._become_ready()

    def _is_outdated(self, document: EndpointListDocument) -> bool:
        if document.version >= self.endpoint_directory.version:
            return False
        versions = {"version": document.version, "held": self.endpoint_directory.version}
        if not self._version_reset.is_suspected:
            log("older_endpoint_list_received", **versions)
        if not self._version_reset.observe_older_list(document.full):
            return True
        log("endpoint_list_versions_reset", **versions)
        return False

    def on_discovery_failure(self) -> None:
        """Notify the policy that a poll or the watch of discovery has failed."""
        self.discovery_failures += 1
        self.coordinator.loop.enqueue(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
        if self.settings.module.polls_discovery:
            self._become_ready()

    def _apply_endpoint_list(
        self, document: EndpointListDocument, kind: routing.EndpointListKind
    ) -> None:
        if problems := self.endpoint_directory.find_problems(document):
            log("unknown_endpoint_list_content_received", version=document.version, **problems)
        event, addresses = self.endpoint_directory.apply(document, kind, self.coordinator.loop.now)
        rejected = []
        for server, address in addresses.items():
            try:
                if address:
                    self.pool.set_address(server, *configuration.parse_address(address, "addr"))
                else:
                    self.pool.remove_endpoint(server)
            except ConfigError as problem:
                rejected.append(str(problem))
        if rejected:
            log("endpoint_addresses_rejected", nodes=len(rejected), problem=rejected[0])
        self.coordinator.handle_endpoint_list(event)

    # --- signals ----------------------------------------------------------------------

    def reload(self) -> None:
        """Reload the configuration (SIGHUP); an invalid one is logged and ignored."""
        try:
            new = configuration.load(self.environ)
        except ConfigError as problem:
            log("configuration_rejected", problem=str(problem))
            return
        needs_restart = [
            attribute
            for attribute in ("listen", "module", "sockets", "zones", "classes")
            if getattr(new, attribute) != getattr(self.settings, attribute)
        ]
        log(
            "configuration_reloaded",
            discovery=list(new.discovery),
            only_after_a_restart=needs_restart,
        )
        self.discovery.set_address(*new.discovery)

    def terminate(self) -> None:
        """Start a graceful shutdown (SIGTERM, SIGINT); further signals are ignored."""
        if self.state in (ProcessState.DRAINING, ProcessState.STOPPED):
            return
        self.state = ProcessState.DRAINING
        log(
            "shutdown_started",
            open=len(self.coordinator.queries),
            within_ms=self.settings.shutdown_timeout,
        )
        self.shutdown.begin()

    def _on_drained(self) -> None:
        self.state = ProcessState.STOPPED
        lifecycle = self.coordinator.lifecycle
        lifecycle.stop(self.coordinator.loop.now, self.server.unanswered)
        log(
            "shutdown_completed",
            **self.coordinator.counts,
            **lifecycle.counters(),
            given_up=self.coordinator.failure_log.counts_by_reason(),
        )
        self.coordinator.loop.stop()
        self._version_reset.clear()
        self.discovery.stop()
        self.pool.close()
        self.reactor.stop()

    def _report_state(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        loop = self.coordinator.loop
        log(
            "state_reported",
            **self.coordinator.counts,
            **self.server.counts,
            over_held_bytes=self.server.held_bytes.releases,
            outcomes=self.coordinator.outcomes,
            **self.coordinator.lifecycle.counters(),
            **self.server.report(),
            node_bytes=self.pool.held_bytes.held_bytes,
            recent_ids=len(self.coordinator.acceptance.recent_requests),
            memory={
                "state": self.memory.state.value,
                "used_mb": round(self.memory.used_bytes / configuration.BYTES_PER_MB, 1),
                "max_mb": round(self.memory.max_used_bytes / configuration.BYTES_PER_MB, 1),
            },
            given_up=self.coordinator.failure_log.counts_by_reason(),
            open=len(self.coordinator.queries),
            clients=len(self.server.connections),
            links=self.pool.connection_count,
            links_opened=self.pool.connections_opened,
            nodes=len(self.endpoint_directory),
            steps=loop.steps,
            discovery_failures=self.discovery_failures,
            unusable_last=self.server.latest_rejection,
            late_ms=round(loop.max_timer_lateness, 1),
            **self.stall_metrics.report(),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            rss_mb=round(usage.ru_maxrss / 1024, 1),
        )
        loop.max_timer_lateness = 0.0


def main() -> int:
    """Run the router until SIGTERM; returns the exit status, 2 for an invalid configuration."""
    logging.raiseExceptions = False  # failing log writes lose only their lines
    logging.basicConfig(stream=sys.stderr, format="%(asctime)s %(message)s", level=logging.INFO)
    try:
        settings = configuration.load(os.environ)
    except ConfigError as problem:
        print(f"run: {problem}", file=sys.stderr)
        return 2
    reactor = clock.install_reactor()
    daemon = Daemon(reactor, settings, os.environ, reactor.unread_seconds)
    reactor.on_late_poll = daemon.stall_metrics.record_lateness

    def on_signal(number: int, handler) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(handler))

    on_signal(signal.SIGHUP, daemon.reload)
    on_signal(signal.SIGTERM, daemon.terminate)
    on_signal(signal.SIGINT, daemon.terminate)
    reactor.callWhenRunning(daemon.start)
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return 0
