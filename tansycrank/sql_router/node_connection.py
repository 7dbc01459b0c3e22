"""One connection to a data node, as a client of the PostgreSQL protocol.

A connection runs one shard request at a time and reports exactly one `AttemptResult` for it.
What an outcome proves follows the table on the operators' page: only a request that never left this
process, or was rejected before that, was never executed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from twisted.internet import error
from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineReceiver

from tansycrank.lifecycle import Attempt
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.pending_notifications import PendingNotifications
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    REJECTED_BEFORE_RUN,
    PgError,
    ProtocolError,
)
from tansycrank.routing import Outcome
from tansycrank.single_connection import SingleConnectionFactory

READ_AT_ONCE = 16 * 1024  # bytes
REQUEST_KEY = "tansycrank.request_key"

# Message types of PostgreSQL's backend
DATA_ROW = ord("D")
READY_FOR_QUERY = ord("Z")
COMMAND_COMPLETE = ord("C")
ROW_DESCRIPTION = ord("T")
ERROR_RESPONSE = ord("E")
PARAMETER_DESCRIPTION = ord("t")
AUTHENTICATION = ord("R")
BACKEND_KEY_DATA = ord("K")
COPY_RESPONSES = tuple(b"GHW")  # CopyIn, CopyOut, CopyBoth


class ConnectionState(Enum):
    """States of a connection to a data node."""

    STARTING = "starting"  # connecting or logging in
    IDLE = "idle"
    BUSY = "busy"  # running a shard request
    SETTLING = "settling"  # cancelled; the node has not finished yet
    SETTLED = "settled"  # ready again, but the CancelRequest may still arrive
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class ShardStatement:
    """A statement that a data node runs, or describes where `describe` is set."""

    shard: int
    sql: str
    oids: tuple[int, ...] = ()
    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()
    results: tuple[int, ...] = ()
    key: str = ""
    describe: bool = False

    def wire(self) -> bytes:
        """The protocol messages, up to their Sync."""
        if self.describe:
            return pg.parse(self.sql, self.oids) + pg.describe("S") + pg.SYNC_FRAME
        head = b""
        if (
            self.key
        ):  # in the transaction of the statement: the store drops repeats of the key in its window
            literal = self.key.replace("'", "''")
            head = (
                pg.parse(f"SET LOCAL {REQUEST_KEY} = '{literal}'", ())
                + pg.bind((), (), ())
                + pg.execute()
            )
        return b"".join(
            (
                head,
                pg.parse(self.sql, self.oids),
                pg.bind(self.values, self.formats, self.results),
                pg.describe("P"),
                pg.execute(),
                pg.SYNC_FRAME,
            )
        )


@dataclass(slots=True)
class AttemptResult:
    """How a part ended at a node: an outcome, and with `ANSWERED` perhaps the statement's own
    error.

    Its rows are in the stream that the send was given.
    """

    outcome: Outcome
    error: PgError | None = None
    oids: tuple[int, ...] = ()


class NodeConnection(LineReceiver):
    """The protocol of one connection; its pool sets `on_ready` and `on_lost`."""

    def __init__(
        self,
        parameters: dict[str, str],
        max_row: int,
        cancel_grace: float,
        reactor,
        notifications: PendingNotifications,
        later: Callable[[NodeConnection], None] | None = None,
    ) -> None:
        self._notifications = notifications
        self.parameters, self.cancel_grace, self.reactor = parameters, cancel_grace, reactor
        self.later = (
            later  # puts the link in the line of large work; None: everything is read at once
        )
        self.frames = pg.RowBlockSplitter(max_row)
        self.state = ConnectionState.STARTING
        self.key: tuple[int, int] | None = None
        self.refusal: PgError | None = None
        self.on_ready: Callable[[NodeConnection], None] = lambda connection: None
        self.on_lost: Callable[[NodeConnection, PgError | None], None] = (
            lambda connection, refusal: None
        )
        self.used = 0.0
        self._done: Callable[[AttemptResult], None] | None = None
        self._ended = AttemptResult(Outcome.SUCCEEDED)
        self._stream: ShardRowStream | None = None
        self._hold_requested = self._is_paused = False  # told to stop reading; not reading
        self._pending = b""  # received data of a large result, not read yet
        self._cancel_open = False  # a late CancelRequest would cancel the next statement
        self._grace = None
        self._unsent: Attempt | None = None  # its request was written, and no byte of it has left

    # --- Twisted ----------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Log in, unless the connection was given up meanwhile."""
        self.setRawMode()
        if self.state is ConnectionState.CLOSED:  # given up while it was connecting
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = (
            READ_AT_ONCE  # a block is a stretch of work: 64 kB would be long
        )
        self.transport.write(pg.startup(self.parameters))

    def rawDataReceived(self, data: bytes) -> None:
        """Read at once, or buffer data of a large result for the worker."""
        is_large = (
            self.state is ConnectionState.BUSY
            and self._stream is not None
            and self._stream.memory.mode != "small"
        )
        if self._pending or (is_large and self.later is not None):
            # Splitting 32 kB into rows takes half a millisecond, and hundreds of connections may be
            # readable in one reactor turn.
            self._pending += data
            self._set_reading()
            self.later(self)
        else:
            self._read(data)

    def step(self) -> bool:
        """Read buffered data of a large result; called by the worker of large results."""
        data, self._pending = self._pending, b""
        if self.state is not ConnectionState.CLOSED:
            self._read(data)
        self._set_reading()
        return False

    def _read(self, data: bytes) -> None:
        try:
            for kind, message, count in self.frames.feed(data):
                if kind == DATA_ROW:
                    self._rows(message, count)
                else:
                    self._message(kind, message)
                if self.state is ConnectionState.CLOSED:
                    return
        except PgError as problem:
            self._lost(problem if isinstance(problem, ProtocolError) else None)
            self.transport.abortConnection()

    def connectionLost(self, reason=None) -> None:
        """Report the loss to the running request and to the pool."""
        if self._pending:  # it may hold the end of the result, which is then no loss
            self.step()
        self._lost(None)

    # --- for the pool -----------------------------------------------------------------

    def run(
        self,
        request: ShardStatement,
        stream: ShardRowStream,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
    ) -> None:
        """Send a shard request; its rows go to the stream. From here on it may have run, unless it
        ends as not sent.
        """
        assert self.state is ConnectionState.IDLE
        self.state, self._unsent = ConnectionState.BUSY, attempt
        self._done, self._ended = done, AttemptResult(Outcome.SUCCEEDED)
        self._stream, stream.hold = stream, self._hold
        self.transport.write(request.wire())

    def may_write(self) -> bool:
        """Whether what was written may leave now; a shard request is asked about once more."""
        if self._unsent is None:
            return True
        self._notifications.ensure_read()  # may end the request, or close this connection
        if self.state is ConnectionState.BUSY:
            if self._unsent.may_still_start(self.reactor.seconds() * 1000):
                return True
            self._take_back_request()
        elif self.state is ConnectionState.SETTLING:
            self._unsent = None
            self._settle()
        return False

    def on_bytes_written(self) -> None:
        """Note that the shard request has begun to leave."""
        self._unsent = None

    def _take_back_request(self) -> None:
        """End a shard request of which nothing has left; the connection is idle again."""
        self._unsent.undo_start()
        self._unsent = None
        self.state = ConnectionState.IDLE
        self._finish(AttemptResult(Outcome.NOT_SENT))
        if self.state is ConnectionState.IDLE:
            self.on_ready(self)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting (cancelled, or timed out): report at once, ask the node to stop, settle or
        close.
        """
        if self.state is not ConnectionState.BUSY:
            return
        self.state = ConnectionState.SETTLING
        self._finish(AttemptResult(outcome))
        self._hold(False)  # what is on its way is read and dropped
        self._grace = self.reactor.callLater(self.cancel_grace, self.abort)
        if self.key is not None:
            self._cancel_open = True
            peer = self.transport.getPeer()
            canceller = _Canceller(self.key, self._cancel_closed)
            factory = SingleConnectionFactory(canceller, canceller.connectionLost)
            self.reactor.connectTCP(peer.host, peer.port, factory, timeout=self.cancel_grace)

    def abort(self) -> None:
        """Close at once."""
        if self.state is not ConnectionState.CLOSED:
            self._lost(None)
            if self.transport is not None:
                self.transport.abortConnection()

    def leave(self) -> None:
        """Close an idle connection with Terminate, any other at once."""
        if self.state is ConnectionState.IDLE:
            self.transport.write(pg.TERMINATE_FRAME)
            self._lost(None)
            self.transport.loseConnection()
        else:
            self.abort()

    # --- inside -----------------------------------------------------------------------

    def _cancel_closed(self) -> None:
        self._cancel_open = False
        if self.state is ConnectionState.SETTLED:
            self._become_idle()

    def _settle(self) -> None:
        self.state = ConnectionState.SETTLED
        if not self._cancel_open:
            self._become_idle()

    def _become_idle(self) -> None:
        if self._grace is not None and self._grace.active():
            self._grace.cancel()
        self.state = ConnectionState.IDLE
        self.on_ready(self)

    def _hold(self, stop: bool) -> None:
        """Pause reading, so that TCP applies back pressure to the node; or resume."""
        if self.state in (ConnectionState.BUSY, ConnectionState.SETTLING):
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

    def _rows(self, block: bytes, count: int) -> None:
        if self.state is not ConnectionState.BUSY:
            return
        try:
            self._stream.add(block, count)
        except PgError as problem:  # they can't be held: the query ends, the node is healthy
            self.state = ConnectionState.SETTLING
            self._finish(AttemptResult(Outcome.SUCCEEDED, problem))
            self.abort()

    def _finish(self, ended: AttemptResult) -> None:
        self._hold_requested = (
            False  # paused by its last block, the connection would never read again
        )
        self._set_reading()
        done, self._done, self._stream = self._done, None, None
        if done is not None:
            done(ended)

    def on_connect_failed(self, reason) -> None:
        """The connection could not be made."""
        if not reason.check(error.UserError) or self.state is ConnectionState.STARTING:
            self._lost(None)

    def _lost(self, problem: PgError | None) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        previous, self.state = self.state, ConnectionState.CLOSED
        if self._grace is not None and self._grace.active():
            self._grace.cancel()
        if previous is ConnectionState.BUSY:
            self._finish(AttemptResult(Outcome.CONNECTION_LOST, error=problem))
        self.on_lost(self, self.refusal)

    def _message(self, kind: int, message: bytes) -> None:
        if kind == READY_FOR_QUERY:
            self._ready()
        elif kind == COMMAND_COMPLETE:
            if self._stream is not None:
                self._stream.tag = message[5:-1].decode("utf-8", "replace")
        elif kind == ROW_DESCRIPTION:
            if self._stream is not None:
                self._stream.fields = pg.read_row_description(message)
        elif kind == ERROR_RESPONSE:
            self._error(pg.read_error(message))
        elif kind == PARAMETER_DESCRIPTION:
            self._ended.oids = pg.read_parameter_description(message)
        elif kind == AUTHENTICATION:
            if pg.Reader(message, 5).int32() != 0:
                self.refusal = PgError(FEATURE_NOT_SUPPORTED, "the node asks for a password")
                self.abort()
        elif kind == BACKEND_KEY_DATA:
            reader = pg.Reader(message, 5)
            self.key = reader.int32(), reader.int32()
        elif kind in COPY_RESPONSES:  # copy modes are never asked for
            raise ProtocolError("the node went into a copy mode")

    def _error(self, problem: PgError) -> None:
        if self.state is ConnectionState.STARTING:
            self.refusal = problem
        elif self._ended.error is None:
            self._ended.error = problem

    def _ready(self) -> None:
        if self.state is ConnectionState.STARTING:
            self.state = ConnectionState.IDLE
            self.on_ready(self)
        elif self.state is ConnectionState.SETTLING:
            self._settle()
        elif self.state is ConnectionState.BUSY:
            ended, self.state = self._ended, ConnectionState.IDLE
            problem = ended.error
            if problem is not None and not problem.is_query_fault:
                ended.outcome = Outcome.ERROR
            self._finish(ended)
            if self.state is ConnectionState.IDLE:
                self.on_ready(self)


def refused_outcome(refusal: PgError | None) -> Outcome:
    """The outcome of a connection that never became ready: rejected, or not connected."""
    return (
        Outcome.REJECTED
        if refusal is not None and refusal.state in REJECTED_BEFORE_RUN
        else Outcome.CONNECT_FAILED
    )


class _Canceller(Protocol):
    def __init__(self, key: tuple[int, int], done: Callable[[], None]) -> None:
        self.key, self.done = key, done

    def connectionMade(self) -> None:
        self.transport.write(pg.cancel_request(*self.key))

    def connectionLost(self, reason=None) -> None:
        self.done()


__all__ = ["AttemptResult", "NodeConnection", "ShardStatement", "refused_outcome"]
