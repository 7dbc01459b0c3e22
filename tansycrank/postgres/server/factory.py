"""All sessions of one listening socket: their number, cancel keys, idle cursors and end."""

from __future__ import annotations

import random

from twisted.internet.protocol import ServerFactory

from tansycrank.admission.reader_scheduler import ReaderScheduler
from tansycrank.config import ListenSection
from tansycrank.postgres.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS, PgError
from tansycrank.postgres.server.session import ClientSession
from tansycrank.sql_router.service import Service

CONNECTIONS_PER_SESSION = 2  # bounds connections that never log in
CURSOR_CHECKS_PER_IDLE_TIME = 4
SECRET_BITS = 32
SECRET_MASK = 0xFFFFFFFF


class PostgresServerFactory(ServerFactory):
    """Makes the sessions of one listening socket and keeps track of them."""

    noisy = False

    def __init__(
        self, service: Service, limits: ListenSection, reactor, seed: int, log=None
    ) -> None:
        self.service, self.limits, self.reactor, self.log = service, limits, reactor, log
        self.sessions: set[ClientSession] = set()
        self.stopping = False
        self.accepted = 0  # connections
        self.turns = ReaderScheduler(lambda call: reactor.callLater(0, call), reactor.seconds)
        self._sessions_by_pid: dict[int, ClientSession] = {}
        self._random = random.Random(seed)
        self._last_pid = 0
        self._cursor_check = None

    def buildProtocol(self, addr) -> ClientSession:
        """A session for a new connection."""
        return ClientSession(self)

    def opened(self, session: ClientSession) -> None:
        """A connection was accepted."""
        self.accepted += 1
        self.sessions.add(session)
        if len(self.sessions) > CONNECTIONS_PER_SESSION * self.limits.max_sessions:
            session.transport.abortConnection()

    def closed(self, session: ClientSession) -> None:
        """A connection ended."""
        self.sessions.discard(session)
        self._sessions_by_pid.pop(session.pid, None)

    def admission(self, session: ClientSession) -> PgError | None:
        """The reason why this client can't log in now, if there is one."""
        if self.stopping:
            return PgError(CANNOT_CONNECT_NOW, "the router is shutting down", severity="FATAL")
        if len(self._sessions_by_pid) >= self.limits.max_sessions:
            return PgError(
                TOO_MANY_CONNECTIONS,
                f"more than {self.limits.max_sessions} sessions",
                severity="FATAL",
            )
        return None

    def key(self, session: ClientSession) -> tuple[int, int]:
        """A new cancel key: (pid, secret)."""
        self._last_pid += 1
        self._sessions_by_pid[self._last_pid] = session
        return self._last_pid, self._random.getrandbits(SECRET_BITS)

    def cancel(self, pid: int, secret: int) -> None:
        """Honour a CancelRequest with the right key; others are ignored, as by PostgreSQL."""
        session = self._sessions_by_pid.get(pid)
        if session is not None and session.secret & SECRET_MASK == secret & SECRET_MASK:
            session.cancel()

    def watch_cursors(self) -> None:
        """Check for unused cursors until none is left."""
        if self._cursor_check is None:
            idle_seconds = self.service.config.merge.cursor_idle_ms / 1000
            self._cursor_check = self.reactor.callLater(
                idle_seconds / CURSOR_CHECKS_PER_IDLE_TIME, self._check_cursors, idle_seconds
            )

    def _check_cursors(self, idle_seconds: float) -> None:
        self._cursor_check = None
        last_used = self.reactor.seconds() - idle_seconds
        has_cursors = [session.close_unused_cursors(last_used) for session in list(self.sessions)]
        if any(has_cursors):
            self.watch_cursors()

    def drain_sessions(self) -> None:
        """Reject new logins; end idle sessions now and busy ones after their statement."""
        self.stopping = True
        for session in list(self.sessions):
            if session.is_logged_in:
                session.process_messages()
            else:
                session.hang_up()
