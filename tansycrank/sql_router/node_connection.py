"""One connection to a data node, as a client of the PostgreSQL protocol.

A connection runs one shard request at a time and reports exactly one `AttemptResult` for it.
Only a request of which no byte left this process, or that the node rejected before the request was
sent, counts as never executed.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import error
from twisted.protocols.basic import LineReceiver

from tansycrank.lifecycle import Attempt
from tansycrank.listening import unread_bytes
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    PgError,
    ProtocolError,
)
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory
from tansycrank.sql_router.cancel_connection import CancelConnection
from tansycrank.sql_router.node_messages import (
    ASYNCHRONOUS_MESSAGES,
    AUTHENTICATION,
    BACKEND_KEY_DATA,
    COMMAND_COMPLETE,
    COPY_RESPONSES,
    DATA_ROW,
    ERROR_RESPONSE,
    EXPECTED_MESSAGES,
    PARAMETER_DESCRIPTION,
    READY_FOR_QUERY,
    ROW_DESCRIPTION,
    ConnectionState,
)
from tansycrank.sql_router.result_check import ResultCheck
from tansycrank.sql_router.shard_statement import AttemptResult, ShardStatement

READ_BUFFER_BYTES = 16 * 1024


class NodeConnection(LineReceiver):
    """The client side of one connection; its pool sets `on_ready` and `on_lost`.

    `cancel_grace` is in seconds.
    """

    def __init__(
        self,
        parameters: dict[str, str],
        max_row: int,
        cancel_grace: float,
        reactor,
        notifications: PendingNotifications,
        defer_read: Callable[[NodeConnection], None] | None = None,
    ) -> None:
        self._notifications = notifications
        self.parameters, self.cancel_grace, self.reactor = parameters, cancel_grace, reactor
        # Queues the connection for the worker of large results; None to read immediately.
        self.defer_read = defer_read
        self.frames = pg.RowBlockSplitter(max_row)
        self.state = ConnectionState.STARTING
        self.cancel_key: tuple[int, int] | None = None
        self.login_error: PgError | None = None
        self.on_ready: Callable[[NodeConnection], None] = lambda connection: None
        self.on_lost: Callable[[NodeConnection, PgError | None], None] = (
            lambda connection, login_error: None
        )
        self.last_used = 0.0
        self._done: Callable[[AttemptResult], None] | None = None
        self._result = AttemptResult(Outcome.SUCCEEDED)
        self._stream: ShardRowStream | None = None
        self._check: ResultCheck | None = None  # of the running request
        self._hold_requested = self._is_paused = False  # requested by the stream; applied
        # Whether received bytes are being parsed, and whether the pool is told of the idle
        # connection once they are.
        self._is_reading = self._is_ready_due = False
        self._pending = b""  # received bytes of a large result, not parsed yet
        self._cancel_in_flight = False  # a late CancelRequest would cancel the next statement
        self._grace_timer = None
        # Its request is in the transport's buffer, and no byte of it has been sent.
        self._unsent_attempt: Attempt | None = None

    # --- Twisted ----------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Log in, unless the connection was closed meanwhile."""
        self.setRawMode()
        if self.state is ConnectionState.CLOSED:  # closed while connecting
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        # Bounds the work per read; with 64 kB blocks a read would hold up the event loop too long.
        self.transport.bufferSize = READ_BUFFER_BYTES
        self.transport.write(pg.startup(self.parameters))

    def rawDataReceived(self, data: bytes) -> None:
        """Parse data at once, or buffer data of a large result for the worker."""
        is_large = (
            self.state is ConnectionState.BUSY
            and self._stream is not None
            and self._stream.memory.mode != "small"
        )
        if self._pending or (is_large and self.defer_read is not None):
            # Splitting 32 kB into rows takes half a millisecond, and hundreds of connections may be
            # readable in one reactor turn.
            self._pending += data
            self._set_reading()
            self.defer_read(self)
        else:
            self._read(data)

    def step(self) -> bool:
        """Parse buffered data; called by the worker of large results."""
        data, self._pending = self._pending, b""
        if self.state is not ConnectionState.CLOSED:
            self._read(data)
        self._set_reading()
        return False

    def end_after_fault(self, error: Exception) -> None:
        """Close the connection after an exception while its buffered data was parsed."""
        self.abort()

    def _read(self, data: bytes) -> None:
        self._is_reading = True
        try:
            self._read_messages(data)
        finally:
            self._is_reading = False
        if self._is_ready_due and self.state is ConnectionState.IDLE:
            self._is_ready_due = False
            self.on_ready(self)

    def _read_messages(self, data: bytes) -> None:
        try:
            for kind, message, count in self.frames.feed(data):
                self._check_expected(kind)
                if kind == DATA_ROW:
                    self._on_rows(message, count)
                else:
                    self._on_message(kind, message)
                if self.state is ConnectionState.CLOSED:
                    return
            self._check_remaining_bytes()
        except PgError as problem:
            self._on_lost(problem if isinstance(problem, ProtocolError) else None)
            self.transport.abortConnection()

    def _check_expected(self, kind: int) -> None:
        """Raise ProtocolError for a message that has no place in this state.

        It may be the end of a message whose length was too small.
        """
        expected = EXPECTED_MESSAGES.get(self.state, ())
        if kind not in expected and kind not in ASYNCHRONOUS_MESSAGES:
            message = f"the node sent a message of type {chr(kind)!r}"
            raise ProtocolError(f"{message} on a connection that is {self.state.value}")

    def _check_remaining_bytes(self) -> None:
        """Raise ProtocolError for a partial message behind the end of a result.

        The next result would be misread after it.
        """
        if self.state is ConnectionState.IDLE and self.frames.buffered_bytes:
            raise ProtocolError("the node sent bytes behind the end of a result")

    def connectionLost(self, reason=None) -> None:
        """Report the loss to the running request and to the pool."""
        if self._pending:  # it may hold the end of the result
            self.step()
        self._on_lost(None)

    # --- for the pool -----------------------------------------------------------------

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the node have arrived that were not parsed yet."""
        return bool(self._pending) or unread_bytes(self.transport.socket) > 0

    def run(
        self,
        request: ShardStatement,
        stream: ShardRowStream,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
    ) -> None:
        """Send a shard request; its rows go to the stream.

        From now on it may have been executed, unless it ends as not sent.
        """
        assert self.state is ConnectionState.IDLE
        self.state, self._unsent_attempt = ConnectionState.BUSY, attempt
        self._done, self._result = done, AttemptResult(Outcome.SUCCEEDED)
        self._stream, stream.pause_reading = stream, self._set_hold
        self._check = ResultCheck(request)
        self.transport.write(request.encode())

    def may_write(self) -> bool:
        """Whether written data may be sent now; checks again that a shard request may start."""
        if self._unsent_attempt is None:
            return True
        self._notifications.ensure_read()  # may end the request, or close this connection
        if self.state is ConnectionState.BUSY:
            if self._unsent_attempt.may_still_start(self.reactor.seconds() * 1000):
                return True
            self._withdraw_request()
        elif self.state is ConnectionState.CANCELLING:
            self._unsent_attempt = None
            self._on_cancelled()
        return False

    def on_bytes_written(self) -> None:
        """Note that the first bytes of the shard request were sent."""
        self._unsent_attempt = None

    def _withdraw_request(self) -> None:
        """End a shard request of which no byte was sent; the connection is idle again."""
        self._unsent_attempt.undo_start()
        self._unsent_attempt = None
        self.state = ConnectionState.IDLE
        self._finish(AttemptResult(Outcome.NOT_SENT))
        if self.state is ConnectionState.IDLE:
            self.on_ready(self)

    def abandon(self, outcome: Outcome) -> None:
        """End the running request with `outcome` at once and ask the node to cancel it.

        The connection is closed if the node does not finish within `cancel_grace`.
        """
        if self.state is not ConnectionState.BUSY:
            return
        self.state = ConnectionState.CANCELLING
        self._finish(AttemptResult(outcome))
        self._set_hold(False)  # the remaining rows are read and discarded
        self._grace_timer = self.reactor.callLater(self.cancel_grace, self.abort)
        if self.cancel_key is not None:
            self._cancel_in_flight = True
            peer = self.transport.getPeer()
            cancel_connection = CancelConnection(
                self.reactor, self.cancel_grace, self.cancel_key, self._on_cancel_closed
            )
            factory = SingleConnectionFactory(cancel_connection, cancel_connection.connectionLost)
            self.reactor.connectTCP(peer.host, peer.port, factory, timeout=self.cancel_grace)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.state is not ConnectionState.CLOSED:
            self._on_lost(None)
            if self.transport is not None:
                self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection with Terminate, any other at once."""
        if self.state is ConnectionState.IDLE:
            self.transport.write(pg.TERMINATE_FRAME)
            self._on_lost(None)
            self.transport.loseConnection()
        else:
            self.abort()

    # --- internal -----------------------------------------------------------------------

    def _on_cancel_closed(self) -> None:
        self._cancel_in_flight = False
        if self.state is ConnectionState.AWAITING_CANCEL:
            self._become_idle()

    def _on_cancelled(self) -> None:
        self.state = ConnectionState.AWAITING_CANCEL
        if not self._cancel_in_flight:
            self._become_idle()

    def _become_idle(self) -> None:
        if self._grace_timer is not None and self._grace_timer.active():
            self._grace_timer.cancel()
        self.state = ConnectionState.IDLE
        self._announce_ready()

    def _announce_ready(self) -> None:
        """Report an idle connection to the pool once the bytes behind the last result are judged.

        Otherwise a copy of the result behind it would be taken for that of the next statement.
        """
        if self._is_reading:
            self._is_ready_due = True
        else:
            self.on_ready(self)

    def _set_hold(self, stop: bool) -> None:
        """Pause reading, so that TCP applies backpressure to the node, or resume."""
        if self.state in (ConnectionState.BUSY, ConnectionState.CANCELLING):
            self._hold_requested = stop
            self._set_reading()

    def _set_reading(self) -> None:
        is_paused = (
            self._hold_requested or bool(self._pending)
        ) and self.state is not ConnectionState.CLOSED
        if is_paused != self._is_paused and self.state is not ConnectionState.CLOSED:
            self._is_paused = is_paused
            if is_paused:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _on_rows(self, block: bytes, count: int) -> None:
        if self.state is not ConnectionState.BUSY:
            return
        try:
            self._stream.add(block, count)
        except PgError as problem:  # no memory for the rows, which is no fault of the node
            self.state = ConnectionState.CANCELLING
            self._finish(AttemptResult(Outcome.SUCCEEDED, problem))
            self.abort()

    def _finish(self, ended: AttemptResult) -> None:
        # If the last block paused the connection, nothing else would resume it.
        self._hold_requested = False
        self._set_reading()
        done, self._done, self._stream = self._done, None, None
        if done is not None:
            done(ended)

    def on_connect_failed(self, reason) -> None:
        """Report a failed connect to the pool."""
        if not reason.check(error.UserError) or self.state is ConnectionState.STARTING:
            self._on_lost(None)

    def _on_lost(self, problem: PgError | None) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        previous, self.state = self.state, ConnectionState.CLOSED
        if self._grace_timer is not None and self._grace_timer.active():
            self._grace_timer.cancel()
        if previous is ConnectionState.BUSY:
            self._finish(AttemptResult(Outcome.CONNECTION_LOST, error=problem))
        self.on_lost(self, self.login_error)

    def _on_message(self, kind: int, message: bytes) -> None:
        if self._check is not None:
            self._check.add(kind)
        if kind == READY_FOR_QUERY:
            self._on_ready_for_query()
        elif kind == COMMAND_COMPLETE:
            if self._stream is not None:
                self._stream.tag = message[5:-1].decode("utf-8", "replace")
        elif kind == ROW_DESCRIPTION:
            if self._stream is not None:
                self._stream.fields = pg.read_row_description(message)
        elif kind == ERROR_RESPONSE:
            self._on_error_response(pg.read_error(message))
        elif kind == PARAMETER_DESCRIPTION:
            self._result.oids = pg.read_parameter_description(message)
        elif kind == AUTHENTICATION:
            if pg.Reader(message, 5).int32() != 0:
                self.login_error = PgError(FEATURE_NOT_SUPPORTED, "the node asks for a password")
                self.abort()
        elif kind == BACKEND_KEY_DATA:
            reader = pg.Reader(message, 5)
            self.cancel_key = reader.int32(), reader.int32()
        elif kind in COPY_RESPONSES:  # the router never requests COPY
            raise ProtocolError("the node went into a copy mode")

    def _on_error_response(self, problem: PgError) -> None:
        if self.state is ConnectionState.STARTING:
            self.login_error = problem
        elif self._result.error is None:
            self._result.error = problem

    def _on_ready_for_query(self) -> None:
        if self.state is ConnectionState.STARTING:
            self.state = ConnectionState.IDLE
            self._announce_ready()
        elif self.state is ConnectionState.CANCELLING:
            self._on_cancelled()
        elif self.state is ConnectionState.BUSY:
            if self._result.error is None:
                self._check.check_whole(self._stream)
            ended, self.state = self._result, ConnectionState.IDLE
            problem = ended.error
            if problem is not None and not problem.is_query_fault:
                ended.outcome = Outcome.ERROR
            self._finish(ended)
            if self.state is ConnectionState.IDLE:
                self._announce_ready()
