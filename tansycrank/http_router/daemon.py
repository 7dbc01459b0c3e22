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

import msgspec
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from tansycrank import clock, routing
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.discovery_client import DiscoveryClient
from tansycrank.http_router.endpoint_directory import EndpointDirectory
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.settings import ConfigError, Listing, Settings

SWEEP = 0.25  # s between looks at what waits too long
LATE = 0.1  # s a look may come late before the log says so
TELL = 10.0  # s between lines about how it goes
# s: so long may this process stand still unnoticed; the platform allows nodes' waits 0.15 s
BEAT = 0.1
LEAVE_EVERY = 0.05  # s between looks at what is still open while leaving
READY_WITHIN = 2.0  # s for discovery's first word; the known list serves without it
LISTEN_AGAIN = 0.1  # s until an address that another process still holds is tried again
PUSHED_WITHIN = 20.0  # s where lists are pushed; the platform gives a start 30

_logger = logging.getLogger("tansycrank")


def log(event: str, traceback: bool = False, **fields: object) -> None:
    """One JSON line on standard error."""
    if traceback:
        fields["traceback"] = tracebacks.format_exc(limit=8)
    _logger.info("%s", msgspec.json.encode({"event": event, **fields}).decode())


class Daemon:
    """Puts the parts together. `stop` is called once, when nothing is owed any more."""

    def __init__(
        self,
        reactor,
        settings: Settings,
        environ: Mapping[str, str],
        overslept: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """`overslept` tells for how many seconds what is read now may have lain unread."""
        self.reactor, self.settings, self.environ = reactor, settings, environ
        self.names = EndpointDirectory(settings.zones)
        self.pool = ConnectionPool(
            reactor,
            settings.streams,
            settings.module.call_batch_size,
            settings.connect_timeout,
            settings.idle,
            settings.max_links,
            log,
            settings.module.drain_grace,
        )
        self.discovery = DiscoveryClient(reactor, *settings.discovery, self)
        self.coordinator = Coordinator(
            reactor,
            settings.module,
            settings.seed,
            self.pool,
            log,
            self.discovery.set_watch,
            self.discovery.fetch,
        )
        self.server = HttpServer(reactor, settings, self.coordinator, log, overslept)
        self._swept = 0.0
        self.discovery_failures = 0
        self.stopping = self.stopped = self._closed = self._doubted = False
        self._heard = False  # whether there is a list, or no more waiting for one
        self._again = None  # the timer of an address that is tried again
        self._stood = False  # whether this process had stood still before the last look
        self._wall_clock = clock.WallClockMonitor()
        self._calls = [LoopingCall(self._sweep), LoopingCall(self._tell), LoopingCall(self._beat)]
        for call in self._calls:
            call.clock = reactor

    def start(self) -> None:
        """Take the known list, ask discovery, listen."""
        self._take(self.settings.known, routing.EndpointListKind.CACHED)
        if self.settings.module.polls_discovery:
            self._listen()
        self.reactor.callLater(
            READY_WITHIN if self.settings.module.polls_discovery else PUSHED_WITHIN, self._ready
        )
        self._swept = self.reactor.seconds()
        for call, every in zip(self._calls, (SWEEP, TELL, BEAT), strict=True):
            call.start(every, now=False)
        log(
            "process_started",
            name=self.settings.name,
            cores=self.settings.cores,
            idle_ms=self.settings.idle,
            memory_mb=self.settings.memory_mb,
            sockets=self.settings.sockets,
        )

    def _listen(self) -> None:
        self._again = None
        if self.stopping:
            return
        host, port = self.settings.listen
        try:
            self.server.port = self.reactor.listenTCP(
                port, self.server, backlog=1024, interface=host
            )
        except (
            CannotListenError
        ) as problem:  # danger: the process before is not gone yet, this one deaf
            log("listen_failed", host=host, port=port, problem=str(problem))
            self._again = self.reactor.callLater(LISTEN_AGAIN, self._listen)
            return
        self.server.port.numberAccepts = configuration.ACCEPTS
        log("listening_started", host=host, port=port)
        if self._heard:
            self._ready()

    def _ready(self) -> None:
        """Danger: where lists are pushed, what the agent has counts from a process's first moment
        on.

        A front that has not noticed the death of the last process sends at once: until there is a
        list of the agent's, nobody listens, and what comes is refused by the system.
        """
        self._heard = True
        if self.server.ready or self.stopping:
            return
        if self.server.port is not None:
            self.server.ready = True
            log("became_ready", nodes=len(self.names), version=self.names.version)
        elif self._again is None:
            self._listen()  # which comes back here

    # --- discovery --------------------------------------------------------------------

    @property
    def known_version(self) -> int:
        """The version of the endpoint list held."""
        return self.names.version

    def on_unchanged(self) -> None:
        """Note that discovery reported no change."""
        self.names.unchanged(self.coordinator.loop.now)

    def on_listing(self, listing: Listing) -> None:
        """A line of discovery. One older than what is held tells nothing new.

        A whole list of nobody while nodes stood is asked for once more: a fault of it would end all
        service.
        """
        if listing.version >= self.names.version:
            empty = listing.full and not listing.servers and len(self.names) > 0
            if empty and not self._doubted:
                self._doubted = True
                log("empty_endpoint_list_received", version=listing.version, nodes=len(self.names))
                self.discovery.fetch()
            else:
                self._doubted = False
                self._take(
                    listing,
                    routing.EndpointListKind.SNAPSHOT
                    if listing.full
                    else routing.EndpointListKind.DELTA,
                )
        self._ready()

    def on_discovery_failure(self) -> None:
        """A call to discovery, or its watch, has ended."""
        self.discovery_failures += 1
        self.coordinator.loop.handle(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
        if self.settings.module.polls_discovery:
            self._ready()

    def _take(self, listing: Listing, kind: routing.EndpointListKind) -> None:
        if odd := self.names.oddities(listing):
            log("unknown_endpoint_list_content_received", version=listing.version, **odd)
        event, places = self.names.heard(listing, kind, self.coordinator.loop.now)
        unusable = []
        for server, place in places.items():
            try:
                if place:
                    self.pool.place(server, *configuration.address(place, "addr"))
                else:
                    self.pool.forget(server)
            except ConfigError as problem:
                unusable.append(str(problem))
        if unusable:
            log("endpoint_addresses_rejected", nodes=len(unusable), problem=unusable[0])
        self.coordinator.handle_endpoint_list(event)

    # --- signals ----------------------------------------------------------------------

    def reload(self) -> None:
        """SIGHUP: the new file counts where it can without a restart; a file with faults changes
        nothing.
        """
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
        self.discovery.move(*new.discovery)

    def terminate(self) -> None:
        """SIGTERM: go on with what clients hold and still bring for a moment, answer all, leave.

        Danger: to close at once sends every client to a new connection while the next router may be
        starting.
        """
        if self.stopping:
            return
        self.stopping, self.server.ready = True, False
        self.coordinator.shutdown_deadline = self.coordinator.loop.now + self.settings.stop_within
        log(
            "shutdown_started",
            open=len(self.coordinator.queries),
            within_ms=self.settings.stop_within,
        )
        self.reactor.callLater(self.settings.stop_taking / 1000, self._stop_taking)
        self.reactor.callLater(self.settings.stop_within / 1000, self._give_up)

    def _stop_taking(self) -> None:
        self.server.draining = True
        self._leave()

    def _leave(self) -> None:
        """Danger: what the system accepted and nobody read is reset when the port closes, requests
        too.
        """
        if self.stopped:
            return
        self.server.close_idle()
        if not self._closed and (self.server.port is None or self.server.accept_rest()):
            self._closed = True
            if self.server.port is not None:
                self.server.port.stopListening()
        if self.coordinator.queries or self.server.connections or not self._closed:
            self.reactor.callLater(LEAVE_EVERY, self._leave)
        else:
            self._stop()

    def _give_up(self) -> None:
        """Answer what is open. `_leave` stops once all of it was read; this does before the kill."""
        self.coordinator.reject_all(routing.FailureReason.STOPPING)
        self.reactor.callLater(configuration.LAST_WORDS / 1000, self._stop)

    def _stop(self) -> None:
        if not self.stopped:
            self.stopped = True
            lifecycle = self.coordinator.lifecycle
            lifecycle.stop(self.coordinator.loop.now)
            log(
                "shutdown_completed",
                **self.coordinator.counts,
                **lifecycle.figures(),
                given_up=self.coordinator.failure_log.figures(),
            )
            self.coordinator.loop.stop()
            self.discovery.stop()
            self.pool.close()
            self.reactor.stop()

    # --- now and then -----------------------------------------------------------------

    @staticmethod
    def _beat() -> None:
        """Nothing: a timer is always due soon, by which the reactor knows when it has overslept."""

    def _sweep(self) -> None:
        now = self.reactor.seconds()
        late, self._swept = now - self._swept - SWEEP, now
        if step := self._wall_clock.step():
            log("wall_clock_stepped", seconds=round(step, 3))
        try:
            if late > LATE:
                log("event_loop_stalled", ms=round(late * 1000, 1))
            # Danger: what came while this process stood still is not read yet, and who sent it
            # seems silent.
            self._stood = late > LATE and not self._stood
            if not self._stood:
                self.pool.sweep()
                self.server.close_expired()
        except Exception as error:  # danger: no further look, for good
            log("maintenance_failed", error=repr(error), traceback=True)

    def _tell(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        loop = self.coordinator.loop
        log(
            "state_reported",
            **self.coordinator.counts,
            **self.server.counts,
            outcomes=self.coordinator.outcomes,
            **self.coordinator.lifecycle.figures(),
            closed=self.server.closed,
            given_up=self.coordinator.failure_log.figures(),
            open=len(self.coordinator.queries),
            clients=len(self.server.connections),
            links=self.pool.count,
            links_opened=self.pool.opened,
            nodes=len(self.names),
            steps=loop.steps,
            discovery_failures=self.discovery_failures,
            unusable_last=self.server.latest,
            late_ms=round(loop.latest, 1),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            rss_mb=round(usage.ru_maxrss / 1024, 1),
        )
        loop.latest = 0.0


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
    daemon = Daemon(reactor, settings, os.environ, reactor.overslept)

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
