"""Routers with one bug put in on purpose: `python -m tansycrank.testbed.soak.seeded_bugs NAME`.

They show that the soak catches what it is for. Nothing of it is reachable from the product.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from twisted.internet import tcp

from tansycrank import clock, listening, routing
from tansycrank.byte_budget import ByteBudget
from tansycrank.http_router import client_input, daemon, input_scheduler, request_parser
from tansycrank.http_router.body_reservations import BodyReservations
from tansycrank.http_router.client_connection import ClientConnection
from tansycrank.http_router.connection_eviction import ConnectionEviction
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.discovery_exchange import DiscoveryExchange
from tansycrank.http_router.http_server import HttpServer
from tansycrank.http_router.recent_requests import RecentRequests
from tansycrank.lifecycle import AnswerKind, Lifecycle
from tansycrank.memory_monitor import MemoryMonitor


def wall_clock() -> None:
    """The incident itself: all spans of time rest on the wall clock."""
    clock.MonotonicReactor.seconds = staticmethod(lambda: clock.unix_ms() / 1000)


class _Unchecked:
    """An attempt that starts whatever the rules say."""

    def start(self, now: float) -> None:
        """It may."""

    def may_still_start(self, now: float) -> bool:
        """It may."""
        return True

    def undo_start(self) -> None:
        """Nothing is kept of it."""


def sends_after_the_end() -> None:
    """A sub-request goes out once more most of a second after its request's final answer."""
    conclude = Coordinator._complete

    def concluded(self: Coordinator, query, kind: AnswerKind, **more) -> None:
        conclude(self, query, kind, **more)
        shard_request = query.shard_requests[0]
        if shard_request.attempts:
            server = next(iter(self.pool.endpoints))
            self.loop.reactor.callLater(
                0.8,
                self.pool.send,
                shard_request.name,
                server,
                shard_request.shard,
                query.request.text,
                500.0,
                lambda *_: None,
                _Unchecked(),
            )

    Coordinator._complete = concluded


def deaf_to_drains() -> None:
    """A node that drains or is gone is taken for one in service."""
    heard = Coordinator.handle_endpoint_list

    def as_in_service(self: Coordinator, event: routing.EndpointListUpdate) -> None:
        entries = tuple(
            routing.EndpointEntry(
                one.endpoint,
                one.cell,
                one.zone,
                routing.EndpointStatus.IN_SERVICE,
                one.started_at,
                one.weight,
                one.reported_incarnation,
            )
            for one in event.entries
        )
        heard(self, routing.EndpointListUpdate(event.kind, entries))

    Coordinator.handle_endpoint_list = as_in_service


def repeats_unsafe() -> None:
    """A connection that broke after the send is called one that never stood."""
    routing.Outcome.never_executed = property(lambda self: self is not routing.Outcome.SUCCEEDED)


def refuses_what_ran() -> None:
    """A request that may have run is called harmless to repeat."""
    answer = Lifecycle.answer

    def refused(
        self: Lifecycle, request, kind: AnswerKind, now: float, missing: int = 0
    ) -> AnswerKind | None:
        allowed = answer(self, request, kind, now, missing)
        return AnswerKind.REJECTED if allowed is AnswerKind.FAILED else allowed

    Lifecycle.answer = refused


def swaps_values() -> None:
    """An answer brings a value of another request, now and then."""
    conclude = Coordinator._complete
    kept: list[str | None] = [None]

    def swapped(self: Coordinator, query, kind: AnswerKind, **more) -> None:
        shard_request = query.shard_requests[0]
        if query.id % 7 == 0 and shard_request.value is not None and kept[0] is not None:
            shard_request.value = kept[0]
        kept[0] = shard_request.value
        conclude(self, query, kind, **more)

    Coordinator._complete = swapped


def never_gives_up() -> None:
    """What is not answered in time is not answered at all."""
    Coordinator._reject = Coordinator._fail = lambda self, action: None


def waits_for_halves() -> None:
    """A request that does not go on is waited for without end."""
    ClientConnection.close_if_expired = lambda self, now: None


def drops_at_the_end() -> None:
    """Connections close at SIGTERM, whatever is owed on them."""

    def drop(self: daemon.Daemon) -> None:
        for connection in list(self.server.connections):
            connection.close("leaving")
        self.shutdown.complete()

    daemon.Daemon.terminate = drop


def tells_long_waits() -> None:
    """Nodes are told to work on for long after their client is served or gone."""
    from tansycrank.http_router import frames

    call = frames.encode_call
    frames.encode_call = lambda shard_requests: call(
        (id, shard, wait + 5_000, *rest) for id, shard, wait, *rest in shard_requests
    )


def reads_discovery_last() -> None:
    """After the process was stopped, requests are sent before discovery's words are read."""
    receive = DiscoveryExchange.dataReceived
    reactor = clock.install_reactor()

    def received(self: DiscoveryExchange, data: bytes) -> None:
        delay = 0.6 if reactor.unread_seconds() > clock.STALL_SECONDS else 0.0
        reactor.callLater(delay, receive, self, data)

    DiscoveryExchange.dataReceived = received


def dies_at_the_second_signal() -> None:
    """A signal to a router that is leaving ends it at once."""
    terminate = daemon.Daemon.terminate

    def terminated(self: daemon.Daemon) -> None:
        if self.state is daemon.ProcessState.DRAINING:
            self.reactor.stop()
        terminate(self)

    daemon.Daemon.terminate = terminated


def makes_room_at_any_price() -> None:
    """A full router closes its oldest connection, whatever is open on it."""

    def evict(self: HttpServer) -> bool:
        oldest = next(iter(self.connections))
        del self.connections[oldest]
        oldest.transport.abortConnection()
        return True

    HttpServer._evict_one = evict


def hears_until_it_ends() -> None:
    """What is read after the last rejections is never answered."""

    def stop_admitting(self: HttpServer) -> None:
        self.schedule_admission = lambda connection: None

    HttpServer.stop_admitting, HttpServer.close_all = stop_admitting, lambda self: None


def parses_to_the_end() -> None:
    """What is read at once is parsed and answered at once, whatever it costs."""
    listening.MAX_READ_BYTES = 1 << 16
    client_input.SLICE_BYTES = 1 << 16
    input_scheduler.QUANTUM_SECONDS = input_scheduler.TURN_SECONDS = 60.0
    input_scheduler.MAX_TURN_SECONDS = 60.0


def counts_bytes_on_the_wire() -> None:
    """A head of short fields counts as much as the bytes that were received of it."""
    request_parser.MAX_FIELDS = 1 << 20
    request_parser.FIELD_OVERHEAD_BYTES = 0
    MemoryMonitor.check = lambda self: False


def reads_all_bodies() -> None:
    """Every body is read, however many there are."""
    BodyReservations.reserve = lambda self, holder, size: True
    ByteBudget._release_excess = lambda self: None
    MemoryMonitor.check = lambda self: False


def forgets_ids() -> None:
    """An id is unknown once its client has left."""
    RecentRequests.contains = lambda self, request_id, now: False


def closes_over_unread_requests() -> None:
    """Idle connections are closed without a look at what lies unread."""
    ClientConnection.is_closable = property(lambda self: self.is_idle)
    listening.ClientTransport.loseConnection = tcp.Server.loseConnection
    listening.is_closed_by_peer = lambda connection: False
    ConnectionEviction._candidates = ConnectionEviction._idle_after_a_request


BUGS: dict[str, Callable[[], None]] = {
    bug.__name__.replace("_", "-"): bug
    for bug in (
        wall_clock,
        sends_after_the_end,
        deaf_to_drains,
        repeats_unsafe,
        refuses_what_ran,
        swaps_values,
        never_gives_up,
        waits_for_halves,
        drops_at_the_end,
        tells_long_waits,
        reads_discovery_last,
        dies_at_the_second_signal,
        makes_room_at_any_price,
        hears_until_it_ends,
        parses_to_the_end,
        counts_bytes_on_the_wire,
        reads_all_bodies,
        forgets_ids,
        closes_over_unread_requests,
    )
}


def main() -> int:
    """Put in the bug that the first argument names, and run a router of the platform."""
    BUGS[sys.argv[1]]()
    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
