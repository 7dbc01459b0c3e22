"""The HTTP server: accepts client connections and enforces limits on them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import asdict

from twisted.internet.protocol import Factory

from tansycrank.byte_budget import ByteBudget
from tansycrank.http_router.body_reservations import BodyReservations
from tansycrank.http_router.client_connection import ClientConnection
from tansycrank.http_router.close_log import CloseLog, describe
from tansycrank.http_router.connection_eviction import FIRST_REQUEST_GRACE, ConnectionEviction
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.delayed_admission import DelayedAdmission
from tansycrank.http_router.disconnect_monitor import DisconnectMonitor
from tansycrank.http_router.input_scheduler import InputScheduler
from tansycrank.http_router.settings import Settings

# s of a process stall from which new connections are assumed to have waited in the accept queue
MIN_STALL = 0.05
TOP_CLIENTS = 3  # connections in the state report
MAX_FINAL_READ_SECONDS = 0.02  # for reading and rejecting what is left when the process ends
MAX_EXPIRY_SECONDS = 0.002  # for closing expired connections in one reactor turn
ACCEPT_RETRY_INTERVAL = 0.02  # s between checks of a full server whether it can accept again


class HttpServer(Factory):
    """Accepts client connections, at most `max_client_connections`.

    It implements `ConnectionServer` for its connections. `unread_seconds` returns how long the
    input read now may have been waiting.
    """

    noisy = False
    drops_closed_clients = True  # a client that has closed its connection awaits no answer

    def __init__(
        self,
        reactor,
        settings: Settings,
        coordinator: Coordinator,
        log: Callable[..., None],
        unread_seconds: Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.coordinator = coordinator
        self.log = log
        self.unread_seconds = unread_seconds
        self.connections: dict[ClientConnection, None] = {}  # in order of accept
        self.eviction = ConnectionEviction(self.connections)
        self._expiring: list[ClientConnection] = []  # to be checked by `close_expired`
        self.held_bytes = ByteBudget(settings.max_client_bytes)
        self.delayed_admission = DelayedAdmission(reactor)
        self.input_scheduler = InputScheduler(reactor)
        self.body_reservations = BodyReservations(settings.max_reserved_bytes)
        self.disconnect_monitor = DisconnectMonitor(reactor)
        self.ready = False
        self.draining = False
        self.is_admitting = True  # otherwise queries are rejected when parsed
        self.counts = {"accepted": 0, "unusable": 0, "unreadable": 0, "evicted": 0, "paused": 0}
        self.close_log = CloseLog(log)  # of connections closed by this process
        self.latest_rejection = ""  # error message of the most recent rejected request
        self.port = None  # the listening port; paused while the server is full
        self._paused_at = 0.0  # s: when accepting was last paused
        policy = settings.module
        self.retry_after = policy.max_retry_after if policy.can_retry_after else 0.0

    @property
    def now(self) -> float:
        """Time of the reactor's clock, in seconds."""
        return self.reactor.seconds()

    def buildProtocol(self, addr) -> ClientConnection:
        """Create the protocol of a connection, which reports itself once it has a transport.

        One that never gets a transport must not be known here: no time-out could close it.
        """
        return ClientConnection(self, self._queued_since())

    # --- notifications from connections -----------------------------------------------

    def on_connected(self, connection: ClientConnection) -> None:
        """Add an accepted connection; pause accepting once the server is full."""
        self.connections[connection] = None
        self.counts["accepted"] += 1
        if self._is_full():
            self._pause_accepting()

    def schedule_admission(self, connection: ClientConnection) -> None:
        """Admit its requests after further polls of its socket found no more data."""
        self.delayed_admission.schedule(connection)

    def on_bytes_received(self, connection: ClientConnection) -> None:
        """Postpone its admission: a close may follow the received bytes."""
        self.delayed_admission.postpone(connection)

    def on_request_started(self, connection: ClientConnection) -> None:
        """Mark it as in use."""
        self.eviction.idle_after_query.pop(connection, None)

    def on_lingering(self, connection: ClientConnection) -> None:
        """Mark it as one that only discards input."""
        self.eviction.lingering[connection] = None

    def on_query_answered(self, connection: ClientConnection) -> None:
        """Mark it as idle after a query; above the limit, close the longest idle connection.

        Without the limit, clients that send one query and keep their connections open would shut
        out all others.
        """
        idle = self.eviction.idle_after_query
        idle[connection] = None
        if len(idle) > self.settings.max_idle_client_connections:
            longest_idle = self.eviction.choose_longest_idle()
            if longest_idle is not None:
                del idle[longest_idle]
                longest_idle.close("unused longest")

    def on_request_rejected(self, problem: str) -> None:
        """Count a request that was parsed and rejected."""
        self.counts["unusable"] += 1
        self.latest_rejection = problem

    def on_request_malformed(self) -> None:
        """Count a request that cannot be parsed."""
        self.counts["unreadable"] += 1

    def on_closing(self, connection: ClientConnection, reason: str) -> None:
        """Count and log a connection that this process closes."""
        self.close_log.record(connection, reason, self.now)

    def report(self) -> dict[str, object]:
        """Return, for the state report, what is held and which clients cost most."""
        costly = heapq.nlargest(TOP_CLIENTS, self.connections, key=lambda one: one.parse_seconds)
        return {
            "closed": self.close_log.counts,
            "closed_in_queue": self.port.closed_unread if self.port is not None else 0,
            "held": {
                "client_bytes": self.held_bytes.held_bytes,
                "reserved_bytes": self.body_reservations.reserved_bytes,
                "bodies_waiting": self.body_reservations.waiting,
                "inputs_waiting": len(self.input_scheduler),
                "lingering": len(self.eviction.lingering),
            },
            "parse_s": round(self.input_scheduler.total_seconds, 2),
            "top_clients": [asdict(describe(one, "", self.now)) for one in costly],
        }

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has closed."""
        self.connections.pop(connection, None)
        self.eviction.forget(connection)
        self.delayed_admission.cancel(connection)
        self.held_bytes.remove(connection)

    # --- connection limits ------------------------------------------------------------

    def _is_full(self) -> bool:
        """Whether the limit is reached and no connection can be evicted; evicts one if possible."""
        return (
            len(self.connections) >= self.settings.max_client_connections and not self._evict_one()
        )

    def _evict_one(self) -> bool:
        """Evict one connection; return whether its place is free now."""
        victim = self.eviction.choose(self.now)
        if victim is None:
            return False
        self.counts["evicted"] += 1
        if victim.is_mid_request:
            victim.reject_slow_request()  # its place is free once its client has the error
            return False
        self.connections.pop(victim, None)
        victim.make_room()
        return True

    def _pause_accepting(self) -> None:
        """Stop accepting for now; new connections wait in the kernel's accept queue."""
        if self.port is not None and not self.draining:
            self._paused_at = self.now
            self.counts["paused"] += 1
            self.port.stopReading()
            self.reactor.callLater(ACCEPT_RETRY_INTERVAL, self._resume_accepting)

    def _queued_since(self) -> float | None:
        """Earliest time at which the connection accepted now may have entered the accept queue.

        None if it did not wait: accepting was not paused and did not fail and this process did not
        stall, or the queue has been emptied since.
        """
        if self.port is None:
            return None
        if (stalled := self.unread_seconds()) > MIN_STALL:
            self.port.record_waiting(self.now - stalled)
        return self.port.waiting_since

    def _resume_accepting(self) -> None:
        if self.draining:
            return
        if self._is_full():
            self.reactor.callLater(ACCEPT_RETRY_INTERVAL, self._resume_accepting)
        else:
            self.port.record_waiting(self._paused_at)
            self.port.startReading()

    # --- maintenance and shutdown -----------------------------------------------------

    def close_expired(self) -> None:
        """Close the connections with an expired time-out, a limited time in each reactor turn."""
        if not self._expiring:
            self._expiring = list(self.connections)
            self._close_some_expired()

    def _close_some_expired(self) -> None:
        started = self.now
        while self._expiring:
            connection = self._expiring.pop()
            if connection in self.connections:
                self._close_if_expired(connection, started)
            if self.now - started >= MAX_EXPIRY_SECONDS:
                self.reactor.callLater(0, self._close_some_expired)
                return

    def _close_if_expired(self, connection: ClientConnection, now: float) -> None:
        try:
            connection.close_if_expired(now)
        except Exception as error:  # the others must not lose their time-outs
            self.log("maintenance_failed", error=repr(error), traceback=True)

    def accept_queued(self) -> bool:
        """Accept queued connections up to the limit; returns whether the queue is now empty.

        Connections still queued when the port closes are reset, and their requests are lost.
        """
        room = self.settings.max_client_connections - len(self.connections)
        before, self.port.numberAccepts = self.counts["accepted"], room
        if room > 0:
            self.port.doRead()
        return room > 0 and self.counts["accepted"] - before < room and not self.port.accept_failed

    def stop_admitting(self) -> None:
        """Reject the queries that await admission, and all queries read from now on."""
        self.is_admitting = False
        for connection in list(self.connections):
            connection.reject_unadmitted()

    def close_all(self) -> None:
        """Answer what lies unread, then close the connections that have had a request.

        The others are owed nothing; closing a crowd of them would take the time that is left.
        """
        until = self.now + MAX_FINAL_READ_SECONDS
        kept_first = sorted(self.connections, key=lambda one: not one.has_completed_request)
        for connection in kept_first:
            connection.read_remaining(until)
        for connection in list(self.connections):
            if connection.has_completed_request:
                connection.close("leaving")

    @property
    def unanswered(self) -> int:
        """Number of requests that were read and not answered yet."""
        return sum(len(connection.pending) for connection in self.connections)

    def close_idle(self) -> None:
        """Close idle connections, except new ones whose first request may be in transit."""
        now = self.now
        for connection in list(self.connections):
            is_new = now - connection.waiting_since < FIRST_REQUEST_GRACE
            if connection.is_closable and (connection.has_completed_request or not is_new):
                connection.close("leaving")
