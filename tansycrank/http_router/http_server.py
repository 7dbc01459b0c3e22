"""The listening side for clients: their connections, within bounds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from twisted.internet.protocol import Factory

from tansycrank.http_router.client_connection import ClientConnection
from tansycrank.http_router.coordinator import Coordinator
from tansycrank.http_router.settings import LOOKS, RESTED, RETRY_ACCEPT, SILENT, Settings


class HttpServer(Factory):
    """All connections of clients, at most `max_clients`."""

    noisy = False

    def __init__(
        self,
        reactor,
        settings: Settings,
        coordinator: Coordinator,
        log: Callable[..., None],
        overslept: Callable[[], float],
    ) -> None:
        """`overslept` tells for how many seconds what is read now may have lain unread."""
        self.overslept = overslept
        self.reactor, self.settings, self.coordinator, self.log = (
            reactor,
            settings,
            coordinator,
            log,
        )
        self.connections: dict[ClientConnection, None] = {}  # oldest first
        self.unused: dict[
            ClientConnection, None
        ] = {}  # after a query, no other open; longest unused first
        # with requests read and not taken: turns of the reactor until they are
        self.settling: dict[ClientConnection, int] = {}
        self._look = None
        self.ready = self.draining = False
        self.counts = {"accepted": 0, "unusable": 0, "unreadable": 0, "evicted": 0, "paused": 0}
        self.closed: Counter[str] = Counter()  # connections that this process closed, by reason
        self.latest = ""  # why a request could not be used
        self.port = None  # the listening port, which a full router pauses
        module = settings.module
        self.retry_after = module.max_retry_after if module.can_retry_after else 0.0

    @property
    def now(self) -> float:
        """Seconds of the reactor's clock."""
        return self.reactor.seconds()

    def buildProtocol(self, addr) -> ClientConnection:
        connection = ClientConnection(self)
        self.connections[connection] = None
        self.counts["accepted"] += 1
        if self._full():
            self._pause()
        return connection

    def settle(self, connection: ClientConnection) -> None:
        """Its request is taken once all sockets were looked at and its own had nothing more to
        read.

        Danger: a request and its client's leaving lie in the system together, and the reactor reads
        them in two turns: its parts went out in between.
        """
        self.settling[connection] = LOOKS
        if self._look is None:
            self._look = self.reactor.callLater(0, self._settled)

    def read_on(self, connection: ClientConnection) -> None:
        """More came on it: what lies behind that is not known yet."""
        if connection in self.settling:
            self.settling[connection] = LOOKS

    def _settled(self) -> None:
        self._look = None
        for connection in list(self.settling):
            if connection not in self.settling:  # it went with one before it
                continue
            self.settling[connection] -= 1
            if not self.settling[connection]:
                del self.settling[connection]
                connection.admit()
        if self.settling and self._look is None:
            self._look = self.reactor.callLater(0, self._settled)

    def _full(self) -> bool:
        """Whether all are held that may be, and none of them can be closed for another."""
        return len(self.connections) >= self.settings.max_clients and not self._make_room()

    def _make_room(self) -> bool:
        """Close the connection nobody uses: one that was silent too long, else the one idle
        longest.

        Danger: a connection whose first request is on its way, or whose answer has not left, closed
        for one.
        """
        now = self.now
        unused = [
            one
            for one in self.connections
            if one.idle
            and one.unread_since is None
            and now - one.since >= (RESTED if one.spoke else SILENT)
        ]
        victim = min(unused, key=lambda one: (one.spoke, one.since), default=None)
        if victim is None:
            return False
        self.counts["evicted"] += 1
        del self.connections[victim]
        victim.close("to make room")
        return True

    def rests(self, connection: ClientConnection) -> None:
        """A connection has its answer. Those unused longest close, so that others find room.

        Danger: clients that ask once and hold their connection, until no other can get one.
        """
        self.unused[connection] = None
        if len(self.unused) > self.settings.max_unused:
            longest = next(iter(self.unused))
            del self.unused[longest]
            longest.close("unused longest")

    def _pause(self) -> None:
        """Take no more connections for now; they wait in the system's queue."""
        if self.port is not None and not self.draining:
            self.counts["paused"] += 1
            self.port.stopReading()
            self.reactor.callLater(RETRY_ACCEPT, self._resume)

    def _resume(self) -> None:
        if self.draining:
            return
        if self._full():
            self.reactor.callLater(RETRY_ACCEPT, self._resume)
        else:
            self.port.startReading()

    def sweep(self) -> None:
        """Let each connection look at its clock."""
        now = self.now
        for connection in list(self.connections):
            connection.check(now)

    def accept_rest(self) -> bool:
        """Accept what waits in the system's queue, as far as there is room; whether that was all.

        Danger: accept fails for want of a descriptor, the port closes, and requests that wait are
        reset.
        """
        room = self.settings.max_clients - len(self.connections)
        before, self.port.numberAccepts = self.counts["accepted"], room
        if room > 0:
            self.port.doRead()
        return room > 0 and self.counts["accepted"] - before < room and not self.port.starved

    def close_idle(self) -> None:
        """Close what no request is open on; a new connection may have one on its way."""
        now = self.now
        for connection in list(self.connections):
            if connection.idle and (connection.spoke or now - connection.since >= SILENT):
                connection.close("leaving")
