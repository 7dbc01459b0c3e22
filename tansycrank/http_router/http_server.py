"""The server for HTTP clients: accepts their connections and keeps them within bounds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet.protocol import Factory

from tansycrank.http_router.client_connection import ClientConnection
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.delayed_admission import DelayedAdmission
from tansycrank.http_router.settings import Settings

# s a new connection may be silent before it gives way to another: its request may be on its way
MIN_SILENCE_OF_NEW = 0.5
# s from its last answer until a connection may give way: the answer leaves, a request may come
MIN_IDLE_AFTER_ANSWER = 0.1
MIN_STALL = 0.05  # s that this process stood still before connections count as queued by that
RESUME_ACCEPT_AFTER = 0.02  # s until a full server checks again whether it can accept


class HttpServer(Factory):
    """The connections of clients, at most `max_client_connections`; a `ConnectionServer` for each.

    `overslept` returns for how many seconds what is read now may have lain unread.
    """

    noisy = False

    def __init__(
        self,
        reactor,
        settings: Settings,
        coordinator: Coordinator,
        log: Callable[..., None],
        overslept: Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.coordinator = coordinator
        self.log = log
        self.overslept = overslept
        self.connections: dict[ClientConnection, None] = {}  # oldest first
        self.idle_after_query: dict[
            ClientConnection, None
        ] = {}  # idle after a query, longest idle first
        self.delayed_admission = DelayedAdmission(reactor)
        self.ready = False
        self.draining = False
        self.is_admitting = True  # else a query is rejected as soon as it was read
        self.counts = {"accepted": 0, "unusable": 0, "unreadable": 0, "evicted": 0, "paused": 0}
        self.closed: Counter[str] = Counter()  # connections that this process closed, by reason
        self.latest = ""  # why a request could not be used
        self.port = None  # the listening port, which a full server pauses
        self._paused_at = 0.0  # s: when accepting was paused last
        policy = settings.module
        self.retry_after = policy.max_retry_after if policy.can_retry_after else 0.0

    @property
    def now(self) -> float:
        """Seconds of the reactor's clock."""
        return self.reactor.seconds()

    def buildProtocol(self, addr) -> ClientConnection:
        """Accept a connection; stop accepting once the server is full."""
        connection = ClientConnection(self, self._queued_since())
        self.connections[connection] = None
        self.counts["accepted"] += 1
        if self._is_full():
            self._pause_accepting()
        return connection

    # --- what connections report ------------------------------------------------------

    def schedule_admission(self, connection: ClientConnection) -> None:
        """Admit its requests once its socket has been polled and had nothing more to read."""
        self.delayed_admission.schedule(connection)

    def on_bytes_received(self, connection: ClientConnection) -> None:
        """Postpone its admission: the end of the connection may be behind these bytes."""
        self.delayed_admission.postpone(connection)

    def on_request_started(self, connection: ClientConnection) -> None:
        """Note that it is in use again."""
        self.idle_after_query.pop(connection, None)

    def on_query_answered(self, connection: ClientConnection) -> None:
        """Note that it is idle after a query, and close the longest idle one beyond the bound.

        Without the bound, clients that ask once and keep their connections shut out all others.
        """
        self.idle_after_query[connection] = None
        if len(self.idle_after_query) > self.settings.max_idle_client_connections:
            longest = next(iter(self.idle_after_query))
            del self.idle_after_query[longest]
            longest.close("unused longest")

    def on_request_unusable(self, problem: str) -> None:
        """Count a request that was read and cannot be used."""
        self.counts["unusable"] += 1
        self.latest = problem

    def on_request_unreadable(self) -> None:
        """Count a request that cannot be parsed."""
        self.counts["unreadable"] += 1

    def on_closing(self, reason: str) -> None:
        """Count a connection that this process closes."""
        self.closed[reason] += 1

    def on_closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)
        self.idle_after_query.pop(connection, None)
        self.delayed_admission.cancel(connection)

    # --- bounds -----------------------------------------------------------------------

    def _is_full(self) -> bool:
        """Whether the bound is reached and no connection can be closed in favour of another."""
        return (
            len(self.connections) >= self.settings.max_client_connections and not self._evict_one()
        )

    def _evict_one(self) -> bool:
        """Close one unused connection: a new one that is silent for long, else the longest idle.

        One that was accepted or answered a moment ago stays: its request may be on its way, or its
        answer may not have left.
        """
        now = self.now
        victims = [one for one in self.connections if self._may_be_evicted(one, now)]
        victim = min(
            victims, key=lambda one: (one.has_completed_request, one.waiting_since), default=None
        )
        if victim is None:
            return False
        self.counts["evicted"] += 1
        del self.connections[victim]
        victim.close("to make room")
        return True

    @staticmethod
    def _may_be_evicted(connection: ClientConnection, now: float) -> bool:
        if not connection.is_idle or connection.unread_since is not None:
            return False
        was_used = connection.has_completed_request
        limit = MIN_IDLE_AFTER_ANSWER if was_used else MIN_SILENCE_OF_NEW
        return now - connection.waiting_since >= limit

    def _pause_accepting(self) -> None:
        """Accept no connections for now; they wait in the system's queue."""
        if self.port is not None and not self.draining:
            self._paused_at = self.now
            self.counts["paused"] += 1
            self.port.stopReading()
            self.reactor.callLater(RESUME_ACCEPT_AFTER, self._resume_accepting)

    def _queued_since(self) -> float | None:
        """Since when the connection that is accepted now may have waited in the system's queue.

        None where it did not: accepting was not paused and did not fail, and this process did not
        stand still, or the queue was emptied since.
        """
        if self.port is None:
            return None
        if (stalled := self.overslept()) > MIN_STALL:
            self.port.record_waiting(self.now - stalled)
        return self.port.waiting_since

    def _resume_accepting(self) -> None:
        if self.draining:
            return
        if self._is_full():
            self.reactor.callLater(RESUME_ACCEPT_AFTER, self._resume_accepting)
        else:
            self.port.record_waiting(self._paused_at)
            self.port.startReading()

    # --- maintenance and shutdown -----------------------------------------------------

    def close_expired(self) -> None:
        """Close the connections that have waited too long."""
        now = self.now
        for connection in list(self.connections):
            connection.close_if_expired(now)

    def accept_rest(self) -> bool:
        """Accept what waits in the system's queue, as far as there is room; whether that was all.

        Connections that are still queued when the port closes are reset, with their requests.
        """
        room = self.settings.max_client_connections - len(self.connections)
        before, self.port.numberAccepts = self.counts["accepted"], room
        if room > 0:
            self.port.doRead()
        return room > 0 and self.counts["accepted"] - before < room and not self.port.accept_failed

    def stop_admitting(self) -> None:
        """Reject what was read and not admitted, and all that is read from now on."""
        self.is_admitting = False
        for connection in list(self.connections):
            connection.reject_unadmitted()

    def close_all(self) -> None:
        """Close every connection once what was written has left."""
        for connection in list(self.connections):
            connection.close("leaving")

    @property
    def unanswered(self) -> int:
        """Requests that were read and have no answer yet."""
        return sum(len(connection.pending) for connection in self.connections)

    def close_idle(self) -> None:
        """Close the idle connections; a new one may have a request on its way and stays."""
        now = self.now
        for connection in list(self.connections):
            is_new = now - connection.waiting_since < MIN_SILENCE_OF_NEW
            if connection.is_idle and (connection.has_completed_request or not is_new):
                connection.close("leaving")
