"""Sessions of one listening socket: limits, cancel keys, idle cursors and shutdown."""

from __future__ import annotations

import random

from twisted.internet.protocol import ServerFactory

from tansycrank.admission.reader_scheduler import ReaderScheduler
from tansycrank.byte_budget import ByteBudget
from tansycrank.config import ListenSection
from tansycrank.postgres.errors import CANNOT_CONNECT_NOW, TOO_MANY_CONNECTIONS, PgError
from tansycrank.postgres.server.session import ClientSession
from tansycrank.sql_router.service import Service

MAX_CONNECTIONS_PER_SESSION = 2  # factor on `max_sessions`; bounds connections not logged in
CURSOR_CHECKS_PER_IDLE_TIMEOUT = 4
SECRET_BITS = 32
SECRET_MASK = 0xFFFFFFFF


class PostgresServerFactory(ServerFactory):
    """Creates and tracks the sessions of one listening socket."""

    noisy = False

    def __init__(
        self, service: Service, limits: ListenSection, reactor, seed: int, log=None
    ) -> None:
        self.service, self.limits, self.reactor, self.log = service, limits, reactor, log
        self.sessions: dict[ClientSession, None] = {}  # in order of accept
        self.stopping = False
        self.accepted = 0  # connections
        self.reader_scheduler = ReaderScheduler(
            lambda call: reactor.callLater(0, call), reactor.seconds, self._on_reading_failed
        )
        self.held_bytes = ByteBudget(limits.max_held)
        self._sessions_by_pid: dict[int, ClientSession] = {}
        self._random = random.Random(seed)
        self._last_pid = 0
        self._cursor_check = None

    def _on_reading_failed(self, error: Exception) -> None:
        if self.log:
            self.log.error("session_failed", pid=0, error=repr(error))

    def buildProtocol(self, addr) -> ClientSession:
        """Create the session of a new connection."""
        return ClientSession(self)

    def add_session(self, session: ClientSession) -> None:
        """Track an accepted connection; above the limit, abort the longest silent one or it."""
        self.accepted += 1
        if len(self.sessions) >= MAX_CONNECTIONS_PER_SESSION * self.limits.max_sessions:
            silent = next((one for one in self.sessions if one.is_silent), session)
            self.sessions.pop(silent, None)
            silent.transport.abortConnection()
            if silent is session:
                return
        self.sessions[session] = None

    def remove_session(self, session: ClientSession) -> None:
        """Remove a session whose connection has ended."""
        self.sessions.pop(session, None)
        self.held_bytes.remove(session)
        self._sessions_by_pid.pop(session.pid, None)

    def login_error(self, session: ClientSession) -> PgError | None:
        """Return the error that prevents a login now, or None."""
        if self.stopping:
            return PgError(CANNOT_CONNECT_NOW, "the router is shutting down", severity="FATAL")
        if len(self._sessions_by_pid) >= self.limits.max_sessions:
            return PgError(
                TOO_MANY_CONNECTIONS,
                f"more than {self.limits.max_sessions} sessions",
                severity="FATAL",
            )
        return None

    def assign_cancel_key(self, session: ClientSession) -> tuple[int, int]:
        """Register a session that logs in; return its cancel key (pid, secret)."""
        self._last_pid += 1
        self._sessions_by_pid[self._last_pid] = session
        return self._last_pid, self._random.getrandbits(SECRET_BITS)

    def cancel(self, pid: int, secret: int) -> None:
        """Handle a CancelRequest; a wrong key is ignored, as in PostgreSQL."""
        session = self._sessions_by_pid.get(pid)
        if session is not None and session.secret & SECRET_MASK == secret & SECRET_MASK:
            session.cancel()

    def schedule_cursor_check(self) -> None:
        """Start periodic checks for idle cursors; they stop when no cursor is left."""
        if self._cursor_check is None:
            idle_timeout_seconds = self.service.config.merge.cursor_idle_ms / 1000
            self._cursor_check = self.reactor.callLater(
                idle_timeout_seconds / CURSOR_CHECKS_PER_IDLE_TIMEOUT,
                self._check_cursors,
                idle_timeout_seconds,
            )

    def _check_cursors(self, idle_timeout_seconds: float) -> None:
        self._cursor_check = None
        last_used = self.reactor.seconds() - idle_timeout_seconds
        have_cursors = [session.close_unused_cursors(last_used) for session in list(self.sessions)]
        if any(have_cursors):
            self.schedule_cursor_check()

    def drain_sessions(self) -> None:
        """Reject new logins; end idle sessions now and busy ones after their statement."""
        self.stopping = True
        for session in list(self.sessions):
            if session.is_logged_in:
                session.process_messages()
            else:
                session.close_connection()
