"""One router of the platform: `python -m tansycrank run`. Ready, SIGHUP, SIGTERM."""

from __future__ import annotations

import gc
import logging
import os
import resource
import signal
import sys
import traceback as tracebacks
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
from tansycrank.http_router.maintenance import Maintenance
from tansycrank.http_router.settings import ConfigError, EndpointListDocument, Settings
from tansycrank.http_router.version_reset import VersionReset
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.stall_metrics import StallMetrics

# s until discovery's first list; without one a router that polls serves from its configuration
READY_WITHIN = 2.0
PUSHED_WITHIN = 20.0  # s until the first list where lists are pushed; the platform gives a start 30
LISTEN_AGAIN = 0.1  # s until an address that another process still holds is tried again
MAX_ACCEPTS = 16  # connections accepted in one reactor turn: the bound may be exceeded by so many

_logger = logging.getLogger("tansycrank")


def log(event: str, traceback: bool = False, **fields: object) -> None:
    """One JSON line on standard error."""
    if traceback:
        fields["traceback"] = tracebacks.format_exc(limit=8)
    _logger.info("%s", msgspec.json.encode({"event": event, **fields}).decode())


class ProcessState(Enum):
    """The lifecycle of the process, in this order."""

    STARTING = "starting"
    READY = "ready"  # `/-/ready` answers 200
    DRAINING = "draining"  # from SIGTERM on
    STOPPED = "stopped"


class Daemon:
    """One router: connects its parts, and handles endpoint lists and signals."""

    def __init__(
        self,
        reactor,
        settings: Settings,
        environ: Mapping[str, str],
        overslept: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`overslept` tells for how many seconds what is read now may have lain unread."""
        self.reactor = reactor
        self.settings = settings
        self.environ = environ
        self.state = ProcessState.STARTING
        self.stalls = StallMetrics(overslept, log)
        self.endpoint_directory = EndpointDirectory(settings.zones)
        self.pool = ConnectionPool(
            reactor,
            settings.streams,
            settings.module.call_batch_size,
            settings.connect_timeout,
            settings.idle,
            settings.max_node_connections,
            log,
            settings.module.drain_grace,
        )
        self.discovery = DiscoveryClient(reactor, *settings.discovery, self)
        self.pool.notifications = PendingNotifications(reactor, self.discovery.read_available)
        self._version_reset = VersionReset(reactor, settings.seed, self.discovery.poll_once)
        self.coordinator = Coordinator(
            reactor,
            settings.module,
            settings.seed,
            self.pool,
            log,
            self.discovery.set_watch,
            self.discovery.poll_once,
        )
        self.server = HttpServer(reactor, settings, self.coordinator, log, overslept)
        self.shutdown = GracefulShutdown(
            reactor, settings, self.server, self.coordinator, self._on_drained
        )
        self.maintenance = Maintenance(reactor, self.pool, self.server, self._report_state, log)
        self.discovery_failures = 0
        self._is_empty_list_doubted = False  # an empty list was polled once more
        self._may_become_ready = False  # there is a list, or no more waiting for one
        self._listen_timer = None  # until an address is tried again

    @property
    def stopped(self) -> bool:
        """Whether the process ends now."""
        return self.state is ProcessState.STOPPED

    def start(self) -> None:
        """Apply the list of the configuration and listen, at once where discovery is polled.

        Applying the list makes the policy open the watch of discovery.
        """
        self._take(self.settings.known, routing.EndpointListKind.CACHED)
        if self.settings.module.polls_discovery:
            self._listen()
        self.reactor.callLater(
            READY_WITHIN if self.settings.module.polls_discovery else PUSHED_WITHIN, self._ready
        )
        self.maintenance.start()
        log(
            "process_started",
            name=self.settings.name,
            cores=self.settings.cores,
            idle_ms=self.settings.idle,
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
            self._listen_timer = self.reactor.callLater(LISTEN_AGAIN, self._listen)
            return
        self.server.port.numberAccepts = MAX_ACCEPTS
        log("listening_started", host=host, port=port)
        if self._may_become_ready:
            self._ready()

    def _ready(self) -> None:
        """Become ready, and listen before that where lists are pushed.

        Where lists are pushed, the agent's list counts from the first moment of a process, and a
        client that has not noticed the end of the last process sends at once. So nobody listens
        before there is a list, and the system refuses connections.
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
            self._listen()  # which comes back here

    # --- discovery --------------------------------------------------------------------

    @property
    def known_version(self) -> int:
        """The version of the endpoint list held."""
        return self.endpoint_directory.version

    def on_unchanged(self) -> None:
        """Note that discovery reported no change."""
        self.endpoint_directory.confirm_unchanged(self.coordinator.loop.now)

    def on_endpoint_list(self, document: EndpointListDocument) -> None:
        """Apply a list of discovery, unless it is older than the one held.

        An empty list is polled once more before it is believed: it ends all service.
        """
        self.stalls.record_endpoint_list(document.version)
        if not self._is_outdated(document):
            self._version_reset.clear()
            empty = document.full and not document.servers and len(self.endpoint_directory) > 0
            if empty and not self._is_empty_list_doubted:
                self._is_empty_list_doubted = True
                log(
                    "empty_endpoint_list_received",
                    version=document.version,
                    nodes=len(self.endpoint_directory),
                )
                self.discovery.poll_once()
            else:
                self._is_empty_list_doubted = False
                self._take(
                    document,
                    routing.EndpointListKind.SNAPSHOT
                    if document.full
                    else routing.EndpointListKind.DELTA,
                )
        self._ready()

    def _is_outdated(self, document: EndpointListDocument) -> bool:
        if document.version >= self.endpoint_directory.version:
            return False
        versions = {"version": document.version, "held": self.endpoint_directory.version}
        if not self._version_reset.is_suspected:
            log("older_endpoint_list_received", **versions)
        if not self._version_reset.is_confirmed(document.full):
            return True
        log("endpoint_list_versions_reset", **versions)
        return False

    def on_discovery_failure(self) -> None:
        """Tell the policy that a call to discovery, or its watch, has ended."""
        self.discovery_failures += 1
        self.coordinator.loop.enqueue(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
        if self.settings.module.polls_discovery:
            self._ready()

    def _take(self, document: EndpointListDocument, kind: routing.EndpointListKind) -> None:
        if odd := self.endpoint_directory.find_problems(document):
            log("unknown_endpoint_list_content_received", version=document.version, **odd)
        event, places = self.endpoint_directory.apply(document, kind, self.coordinator.loop.now)
        unusable = []
        for server, place in places.items():
            try:
                if place:
                    self.pool.set_address(server, *configuration.address(place, "addr"))
                else:
                    self.pool.remove_endpoint(server)
            except ConfigError as problem:
                unusable.append(str(problem))
        if unusable:
            log("endpoint_addresses_rejected", nodes=len(unusable), problem=unusable[0])
        self.coordinator.handle_endpoint_list(event)

    # --- signals ----------------------------------------------------------------------

    def reload(self) -> None:
        """Reload the configuration (SIGHUP); one that cannot be used changes nothing."""
        try:
            new = configuration.load(self.environ)
        except ConfigError as problem:
            log("configuration_rejected", problem=str(problem))
            return
        kept = [
            what
            for what in ("listen", "module", "sockets", "zones", "classes")
            if getattr(new, what) != getattr(self.settings, what)
        ]
        log("configuration_reloaded", discovery=list(new.discovery), only_after_a_restart=kept)
        self.discovery.set_address(*new.discovery)

    def terminate(self) -> None:
        """Shut down gracefully (SIGTERM, SIGINT); further signals change nothing."""
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
            given_up=self.coordinator.failure_log.figures(),
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
            outcomes=self.coordinator.outcomes,
            **self.coordinator.lifecycle.counters(),
            closed=self.server.closed,
            given_up=self.coordinator.failure_log.figures(),
            open=len(self.coordinator.queries),
            clients=len(self.server.connections),
            links=self.pool.connection_count,
            links_opened=self.pool.connections_opened,
            nodes=len(self.endpoint_directory),
            steps=loop.steps,
            discovery_failures=self.discovery_failures,
            unusable_last=self.server.latest,
            late_ms=round(loop.max_timer_lateness, 1),
            **self.stalls.report(),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            rss_mb=round(usage.ru_maxrss / 1024, 1),
        )
        loop.max_timer_lateness = 0.0


def main() -> int:
    """Run one router until SIGTERM; 2 for a configuration that cannot be used."""
    logging.raiseExceptions = False  # a log that cannot be written costs its lines and nothing else
    logging.basicConfig(stream=sys.stderr, format="%(asctime)s %(message)s", level=logging.INFO)
    try:
        settings = configuration.load(os.environ)
    except ConfigError as problem:
        print(f"run: {problem}", file=sys.stderr)
        return 2
    reactor = clock.install_reactor()
    daemon = Daemon(reactor, settings, os.environ, reactor.unread_seconds)
    reactor.on_late_poll = daemon.stalls.record_lateness

    def on_signal(number: int, act) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(act))

    on_signal(signal.SIGHUP, daemon.reload)
    on_signal(signal.SIGTERM, daemon.terminate)
    on_signal(signal.SIGINT, daemon.terminate)
    reactor.callWhenRunning(daemon.start)
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return 0
