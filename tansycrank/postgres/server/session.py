"""One client's connection: framing, the order of messages, back-pressure, and the end.

A session handles its messages one after the other. While a statement runs, or while the client
reads no answers, further messages wait in a bounded queue and then in the client's own socket.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from twisted.internet.interfaces import IDelayedCall
from twisted.protocols.basic import LineReceiver

from tansycrank.admission.identity import Caller
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import SHUTTING_DOWN, PgError
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.cursors import CursorTable
from tansycrank.postgres.server.extended_query import ExtendedQuery
from tansycrank.postgres.server.interfaces import SessionOwner
from tansycrank.postgres.server.message_queue import MessageQueue
from tansycrank.postgres.server.pending_operation import PendingOperation
from tansycrank.postgres.server.prepared import PortalTable, StatementTable
from tansycrank.postgres.server.row_writer import RowWriter
from tansycrank.postgres.server.session_commands import SessionCommands
from tansycrank.postgres.server.session_settings import SessionSettings
from tansycrank.postgres.server.simple_query import SimpleQuery
from tansycrank.postgres.server.sqlstates import IDLE_SESSION_TIMEOUT
from tansycrank.postgres.server.startup import StartupReader, startup_settings
from tansycrank.postgres.server.statement_execution import StatementExecution
from tansycrank.postgres.server.transaction import TransactionBlock

ENCRYPTION_DECLINED = b"N"


class SessionState(Enum):
    """The phases of a session."""

    STARTUP = "startup"  # no startup packet has been accepted
    READY = "ready"  # logged in
    ENDING = "ending"  # the last message is written, the client may still read it
    CLOSED = "closed"  # nothing is read or written any more


class ClientSession(LineReceiver):
    """Protocol of one connection, in raw mode: messages carry their own lengths."""

    def __init__(self, factory: SessionOwner) -> None:
        self.factory = factory
        self.service, self.limits = factory.service, factory.limits
        self.state = SessionState.STARTUP
        self.pid, self.secret = 0, 0  # the key for CancelRequest
        self._startup = StartupReader()
        self._frames: pg.MessageSplitter | None = None
        self._queue = MessageQueue()
        self._is_processing = False
        self._is_client_reading = True
        self._is_reading_paused = False
        self._timer: IDelayedCall | None = None  # for the login, later for the end
        self._context = self._make_context()
        self._operation = PendingOperation(self.service, self)
        self._row_writer = RowWriter(self)
        commands = SessionCommands(self._context)
        execution = StatementExecution(
            self._context, self._operation, self._row_writer, factory.watch_cursors
        )
        self._simple_query = SimpleQuery(self._context, commands, execution)
        self._extended_query = ExtendedQuery(self._context, commands, execution, self._row_writer)

    def _make_context(self) -> SessionContext:
        return SessionContext(
            self.service,
            self.limits,
            self,
            SessionSettings(self.service),
            TransactionBlock(),
            StatementTable(self.limits.max_prepared),
            PortalTable(self.service, self.limits.max_portals),
            CursorTable(self.service, self.factory.reactor.seconds),
        )

    # --- what others ask

    @property
    def settings(self) -> SessionSettings:
        """Current settings."""
        return self._context.settings

    @property
    def id(self) -> int:
        """Identifies the session among readers."""
        return self.pid

    @property
    def is_ready(self) -> bool:
        """Whether messages are handled: logged in, and not about to end."""
        return self.state is SessionState.READY

    @property
    def is_logged_in(self) -> bool:
        """Whether the client has logged in and is still connected."""
        return self.state in (SessionState.READY, SessionState.ENDING)

    @property
    def may_write_rows(self) -> bool:
        """Whether the client is connected and reads its answers."""
        return self._is_client_reading and self.is_logged_in

    @property
    def _is_busy(self) -> bool:
        return self._operation.is_active or self._row_writer.is_active

    # --- Twisted

    def connectionMade(self) -> None:
        """Begin to wait for a startup packet, for a bounded time."""
        self.setRawMode()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.opened(self)
        self._start_timer(self._on_login_timeout)

    def rawDataReceived(self, data: bytes) -> None:
        """Decode and queue what the client sent."""
        try:
            if self.state is SessionState.STARTUP:
                data = self._receive_startup(data)
            if self.is_ready and data:
                self._receive_messages(data)
        except PgError as error:
            self._end_with(error)

    def connectionLost(self, reason=None) -> None:
        """Cancel and release all that belongs to the session."""
        self.state = SessionState.CLOSED
        self._cancel_timer()
        self.factory.closed(self)
        self.factory.turns.remove(self, self._tenant())
        self._queue.clear()
        self._operation.abandon()
        result = self._row_writer.discard()
        if result is not None:
            self.service.release(result)
        self._context.release_portals_and_cursors()

    def pauseProducing(self) -> None:
        """The client does not read its answers."""
        self._is_client_reading = False
        self._adjust_reading()

    def resumeProducing(self) -> None:
        """The client reads again."""
        self._is_client_reading = True
        self._adjust_reading()
        if self._row_writer.is_active:
            self._row_writer.write_available()
        else:
            self.process_messages()

    def stopProducing(self) -> None:
        """The connection is lost."""
        self._is_client_reading = False

    # --- startup

    def _receive_startup(self, data: bytes) -> bytes:
        """Handle startup packets; returns the bytes behind the last one, once logged in."""
        self._startup.feed(data)
        while (
            self.state is SessionState.STARTUP
            and (packet := self._startup.next_packet()) is not None
        ):
            match packet:
                case pg.EncryptionRequest():
                    self.write(ENCRYPTION_DECLINED)
                case pg.CancelRequest(pid, secret):
                    self.factory.cancel(pid, secret)
                    self.state = SessionState.CLOSED
                    self.hang_up()
                case pg.Startup(parameters):
                    self._log_in(parameters)
        return self._startup.take_rest() if self.is_ready else b""

    def _log_in(self, parameters: dict[str, str]) -> None:
        """Open the session. Raises PgError where it is rejected."""
        context = self._context
        rejection = self.factory.admission(self)
        if rejection is not None:
            raise rejection
        address = getattr(self.transport.getPeer(), "host", "")
        user = parameters.get("user", "")
        context.caller = Caller(address, user, parameters.get("database", "") or user)
        rejection = self.service.may_enter(context.caller)
        if rejection is not None:
            raise rejection
        self._timer.cancel()
        context.settings.set_user(user)
        for name, value in startup_settings(parameters):
            context.settings.assign(name, value, context.caller)
        self.state = SessionState.READY
        self._frames = pg.MessageSplitter(self.limits.max_message, pg.FRONTEND_TYPES)
        self.pid, self.secret = self.factory.key(self)
        context.caller = replace(context.caller, session=self.pid)
        answer = [
            pg.AUTHENTICATION_OK,
            *context.settings.status_messages(),
            pg.backend_key_data(self.pid, self.secret),
            pg.ready_for_query(context.transaction.status.value),
        ]
        self.write(b"".join(answer))

    def _on_login_timeout(self) -> None:
        timeout_ms = self.limits.login_timeout_ms
        self._end_with(
            PgError(
                IDLE_SESSION_TIMEOUT,
                f"no startup packet within {timeout_ms:.0f} ms",
                severity="FATAL",
            )
        )

    # --- messages

    def _receive_messages(self, data: bytes) -> None:
        for kind, frame in self._frames.feed(data):
            self._queue.append(pg.read_frontend(kind, frame), len(frame))
        self._adjust_reading()
        if not self._is_busy:  # else the end of its statement calls `process_messages`
            self.factory.turns.wake(self, self._tenant())

    def _tenant(self) -> str:
        name = self._context.settings.get("tansycrank.tenant", "")
        return self.service.identity.identify(self._context.caller, name).tenant

    def read_pending(self) -> None:
        """The scheduler gives this session its turn."""
        self.process_messages()

    def process_messages(self) -> None:
        """Handle queued messages until one must be waited for."""
        if self._is_processing:  # an answer that comes at once would recurse for each message
            return
        self._is_processing = True
        try:
            while self.is_ready and not self._is_busy and self._is_client_reading:
                if self._extended_query.resume_deferred(self._queue):
                    continue
                if not self._queue:
                    if self.factory.stopping and self._context.transaction.is_idle:
                        self.shut_down()
                    break
                self._handle(self._queue.pop())
        except PgError as error:
            self._end_with(error)
        finally:
            self._is_processing = False
        self._adjust_reading()

    def _handle(self, message: object) -> None:
        if isinstance(message, pg.Terminate):
            self.state = SessionState.ENDING
            self.hang_up()
        elif isinstance(message, pg.Sync):
            self._extended_query.sync()
        elif not self._extended_query.is_skipping:
            self._handle_statement_message(message)

    def _handle_statement_message(self, message: object) -> None:
        try:
            if isinstance(message, pg.Query):
                self._simple_query.handle(message.sql)
            else:
                self._extended_query.handle(message, self._queue)
        except PgError as error:
            if error.is_fatal:
                raise
            self._extended_query.fail(error)

    def write(self, data: bytes) -> None:
        """Send messages to the client."""
        self.transport.write(data)

    def _adjust_reading(self) -> None:
        """Read on only while the queue is short and the client reads its answers."""
        is_queue_full = self._queue.size_bytes > self.limits.max_pending
        must_pause = not self._is_client_reading or is_queue_full
        if must_pause == self._is_reading_paused or self.state is SessionState.CLOSED:
            return
        self._is_reading_paused = must_pause
        method = "pauseProducing" if must_pause else "resumeProducing"
        change_reading = getattr(self.transport, method, None)
        if change_reading is not None:
            change_reading()

    # --- cancel and end

    def cancel(self) -> None:
        """A CancelRequest for this session: its running statement ends with 57014."""
        if not self._operation.cancel():
            self._row_writer.cancel()

    def close_unused_cursors(self, last_used: float) -> bool:
        """Close cursors last used before this time (seconds); whether any cursor is left."""
        if not self._is_busy:
            self._context.cursors.close_unused_since(last_used)
        return bool(self._context.cursors)

    def shut_down(self) -> None:
        """End the session at once because the router stops."""
        self._end_with(PgError(SHUTTING_DOWN, "the router is shutting down", severity="FATAL"))

    def _end_with(self, error: PgError) -> None:
        """Send a fatal error, then close the connection."""
        if self.state not in (SessionState.STARTUP, SessionState.READY):
            return
        self.state = SessionState.ENDING if self.is_ready else SessionState.CLOSED
        error.severity = "FATAL"
        self.write(pg.error_response(error))
        self.hang_up()
        self._operation.abandon()
        if self.factory.log:
            self.factory.log.info(
                "session_ended", pid=self.pid, state=error.state, reason=error.message
            )

    def hang_up(self) -> None:
        """Close once all is written; a client that reads nothing gets a bounded time for it."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        self._cancel_timer()
        self._start_timer(self.transport.abortConnection)

    def _start_timer(self, on_timeout) -> None:
        delay = self.limits.login_timeout_ms / 1000
        self._timer = self.factory.reactor.callLater(delay, on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
