"""Client connection: framing, message order, back-pressure and termination.

A session handles its messages in order. While a statement runs, or while the client does not read
its responses, further messages wait in a bounded queue; when it is full, reading from the socket
pauses.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from twisted.internet.interfaces import IDelayedCall
from twisted.protocols.basic import LineReceiver

from tansycrank.admission.identity import Caller
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import OUT_OF_MEMORY, SHUTTING_DOWN, PgError, unexpected_error
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
MAX_PROCESSING_SECONDS = 0.002  # for queued messages of one session in a row


class SessionState(Enum):
    """The phases of a session."""

    STARTUP = "startup"  # no startup packet accepted yet
    READY = "ready"  # logged in
    ENDING = "ending"  # the last message is written; the client may still read it
    CLOSED = "closed"  # nothing more is read or written


class ClientSession(LineReceiver):
    """Twisted protocol of one connection, in raw mode because messages have length fields."""

    def __init__(self, factory: SessionOwner) -> None:
        self.factory = factory
        self.service, self.limits = factory.service, factory.limits
        self.state = SessionState.STARTUP
        self.pid, self.secret = 0, 0  # the key for CancelRequest
        self._startup = StartupReader()
        self._frames: pg.MessageSplitter | None = None
        self._queue = MessageQueue()
        self._is_processing = False
        self._is_simple_query = False  # whether the last statement came in a Query message
        self._is_client_reading = True
        self._is_reading_paused = False
        self._timer: IDelayedCall | None = None  # login timeout, later close timeout
        self._context = self._make_context()
        self._operation = PendingOperation(self.service, self)
        self._row_writer = RowWriter(self)
        commands = SessionCommands(self._context)
        execution = StatementExecution(
            self._context, self._operation, self._row_writer, factory.schedule_cursor_check
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

    # --- properties

    @property
    def settings(self) -> SessionSettings:
        """Current settings of the session."""
        return self._context.settings

    @property
    def id(self) -> int:
        """Key of the session in the reader scheduler."""
        return self.pid

    @property
    def is_ready(self) -> bool:
        """Whether the session is logged in and not about to end, so that it handles messages."""
        return self.state is SessionState.READY

    @property
    def is_silent(self) -> bool:
        """Whether its client has not logged in, and nothing of it lies unread."""
        return self.state is SessionState.STARTUP and not self.transport.unread_bytes

    @property
    def is_logged_in(self) -> bool:
        """Whether the client has logged in and is still connected."""
        return self.state in (SessionState.READY, SessionState.ENDING)

    @property
    def may_write_rows(self) -> bool:
        """Whether the client is connected and reading its responses."""
        return self._is_client_reading and self.is_logged_in

    @property
    def _is_busy(self) -> bool:
        return self._operation.is_active or self._row_writer.is_active

    # --- memory

    @property
    def held_bytes(self) -> int:
        """Memory of its messages, statements and parameters, and of what was not sent."""
        if self.state is SessionState.CLOSED:
            return 0
        partial = self._frames.buffered_bytes if self._frames is not None else 0
        statements, portals = self._context.statements, self._context.portals
        objects = statements.held_bytes + portals.held_bytes
        return partial + self._queue.size_bytes + objects + self.transport.unsent_bytes

    def release_bytes(self) -> None:
        """End the session: all sessions together hold too much, and it the most."""
        limit = self.limits.max_held
        message = f"all sessions hold more than {limit} bytes, and this one the most"
        self._end_with(PgError(OUT_OF_MEMORY, message, severity="FATAL"))
        self._frames = None
        self._queue.clear()
        self._context.statements.clear()
        self._context.release_portals_and_cursors()

    # --- Twisted callbacks

    def connectionMade(self) -> None:
        """Wait for a startup packet until the login timeout."""
        self.setRawMode()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.add_session(self)
        self._start_timer(self._on_login_timeout)

    def rawDataReceived(self, data: bytes) -> None:
        """Decode and queue received messages."""
        try:
            if self.state is SessionState.STARTUP:
                data = self._receive_startup(data)
            if self.is_ready and data:
                self._receive_messages(data)
        except PgError as error:
            self._end_with(error)
        self.factory.held_bytes.update(self)

    def connectionLost(self, reason=None) -> None:
        """Cancel the running operation and release all resources of the session."""
        self.state = SessionState.CLOSED
        self._cancel_timer()
        self.factory.remove_session(self)
        self.factory.reader_scheduler.remove(self, self._tenant())
        self._queue.clear()
        # the session is in reference cycles: what it holds must not wait for the collector
        self._frames, self._startup = None, StartupReader()
        self._context.statements.clear()
        self._operation.abandon()
        result = self._row_writer.discard()
        if result is not None:
            self.service.release(result)
        self._context.release_portals_and_cursors()

    def pauseProducing(self) -> None:
        """Stop writing rows: the send buffer is full because the client does not read."""
        self._is_client_reading = False
        self._adjust_reading()

    def resumeProducing(self) -> None:
        """Continue to write rows and to handle messages: the client reads again."""
        self._is_client_reading = True
        self._adjust_reading()
        if self._row_writer.is_active:
            self._row_writer.write_available()
        else:
            self.process_messages()

    def stopProducing(self) -> None:
        """Stop writing rows: the connection is lost."""
        self._is_client_reading = False

    # --- startup

    def _receive_startup(self, data: bytes) -> bytes:
        """Handle startup packets; after the login, return the bytes that follow them."""
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
                    self.close_connection()
                case pg.Startup(parameters):
                    self._log_in(parameters)
        return self._startup.take_remaining() if self.is_ready else b""

    def _log_in(self, parameters: dict[str, str]) -> None:
        """Log the client in. Raises PgError if the login is rejected."""
        context = self._context
        rejection = self.factory.login_error(self)
        if rejection is not None:
            raise rejection
        address = getattr(self.transport.getPeer(), "host", "")
        user = parameters.get("user", "")
        context.caller = Caller(address, user, parameters.get("database", "") or user)
        rejection = self.service.connection_error(context.caller)
        if rejection is not None:
            raise rejection
        self._timer.cancel()
        context.settings.set_user(user)
        for name, value in startup_settings(parameters):
            context.settings.assign(name, value, context.caller)
        self.state = SessionState.READY
        self._frames = pg.MessageSplitter(self.limits.max_message, pg.FRONTEND_TYPES)
        self.pid, self.secret = self.factory.assign_cancel_key(self)
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
        if not self._is_busy:  # else `process_messages` is called when the statement ends
            self.factory.reader_scheduler.wake(self, self._tenant())

    def _tenant(self) -> str:
        name = self._context.settings.get("tansycrank.tenant", "")
        return self.service.identity.identify(self._context.caller, name).tenant

    def read_pending(self) -> None:
        """Handle queued messages when the reader scheduler selects this session."""
        self.process_messages()

    def process_messages(self) -> None:
        """Handle queued messages until one starts an operation, or the session's turn is over."""
        if self._is_processing:  # an immediate response would recurse for each message
            return
        self._is_processing = True
        seconds = self.factory.reactor.seconds
        until, has_time = seconds() + MAX_PROCESSING_SECONDS, True
        try:
            while self.is_ready and not self._is_busy and self._is_client_reading and has_time:
                if self._resume_deferred():
                    continue
                if not self._queue:
                    if self.factory.stopping and self._context.transaction.is_idle:
                        self.shut_down()
                    break
                self._handle(self._queue.pop())
                has_time = seconds() < until
        except PgError as error:
            self._end_with(error)
        except Exception as error:  # the caller may serve other sessions too
            self._end_after_fault(error)
        finally:
            self._is_processing = False
        if not has_time and self.is_ready:
            self.factory.reader_scheduler.schedule(self, self._tenant())
        self._adjust_reading()
        self.factory.held_bytes.update(self)

    def _resume_deferred(self) -> bool:
        """Handle a deferred message of the extended protocol; return False if there is none."""
        try:
            return self._extended_query.resume_deferred(self._queue)
        except PgError as error:
            if error.is_fatal:
                raise
            self._extended_query.fail(error)
        except Exception as error:
            self.fail_statement(error)
        return True

    def _end_after_fault(self, error: Exception) -> None:
        """End the session after an exception that concerns no statement."""
        if self.factory.log:
            self.factory.log.error("session_failed", pid=self.pid, error=repr(error))
        self._end_with(unexpected_error(error))

    def _handle(self, message: object) -> None:
        if isinstance(message, pg.Terminate):
            self.state = SessionState.ENDING
            self.close_connection()
        elif isinstance(message, pg.Sync):
            self._extended_query.sync()
        elif not self._extended_query.is_skipping_to_sync:
            self._handle_statement_message(message)

    def _handle_statement_message(self, message: object) -> None:
        self._is_simple_query = isinstance(message, pg.Query)
        try:
            if isinstance(message, pg.Query):
                self._simple_query.handle(message.sql)
            else:
                self._extended_query.handle(message, self._queue)
        except PgError as error:
            if error.is_fatal:
                raise
            self._extended_query.fail(error)
        except Exception as error:  # a client without an answer would wait for good
            self.fail_statement(error)

    def fail_statement(self, error: Exception) -> None:
        """Answer the running statement with an error, after an exception that is no PgError."""
        problem = error if isinstance(error, PgError) else unexpected_error(error)
        if self.factory.log:
            self.factory.log.error("statement_failed", pid=self.pid, error=repr(error))
        self._operation.reset()
        result = self._row_writer.discard()
        if result is not None:
            self.service.release(result)
        if self._is_simple_query:
            self._simple_query.fail(problem)
        else:
            self._extended_query.fail(problem)

    def write(self, data: bytes) -> None:
        """Send encoded messages to the client."""
        self.transport.write(data)

    def _adjust_reading(self) -> None:
        """Pause reading while the queue is full or the client does not read its responses."""
        is_queue_full = self._queue.size_bytes > self.limits.max_pending
        must_pause = not self._is_client_reading or is_queue_full
        if must_pause == self._is_reading_paused or self.state is SessionState.CLOSED:
            return
        self._is_reading_paused = must_pause
        method = "pauseProducing" if must_pause else "resumeProducing"
        change_reading = getattr(self.transport, method, None)
        if change_reading is not None:
            change_reading()

    # --- cancellation and termination

    def cancel(self) -> None:
        """Handle a CancelRequest: the running statement ends with 57014."""
        if not self._operation.cancel():
            self._row_writer.cancel()

    def close_unused_cursors(self, last_used: float) -> bool:
        """Close cursors last used before this time (seconds); return whether any is left."""
        if not self._is_busy:
            self._context.cursors.close_unused_since(last_used)
        return bool(self._context.cursors)

    def shut_down(self) -> None:
        """End the session immediately because the router stops."""
        self._end_with(PgError(SHUTTING_DOWN, "the router is shutting down", severity="FATAL"))

    def _end_with(self, error: PgError) -> None:
        """Send a fatal error, then close the connection."""
        if self.state not in (SessionState.STARTUP, SessionState.READY):
            return
        self.state = SessionState.ENDING if self.is_ready else SessionState.CLOSED
        error.severity = "FATAL"
        self.write(pg.error_response(error))
        self.close_connection()
        self._operation.abandon()
        if self.factory.log:
            self.factory.log.info(
                "session_ended", pid=self.pid, state=error.state, reason=error.message
            )

    def close_connection(self) -> None:
        """Close after all data is written; abort if that takes longer than the login timeout."""
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
