"""One connection to a data node, as a client of the PostgreSQL wire.

A link runs one part at a time and reports exactly one `Ended` for it. What an outcome proves
follows the table on the operators' page: only what never left this process, or was refused before
it, never ran.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet import error
from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineReceiver

from tansycrank.merge.blocks import ShardRowStream
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    REFUSED_BEFORE_RUN,
    PgError,
    ProtocolError,
)
from tansycrank.routing import Outcome
from tansycrank.single_connection import OneConnection

READ_AT_ONCE = 16 * 1024  # bytes
REQUEST_KEY = "tansycrank.request_key"


@dataclass(frozen=True, slots=True)
class ShardStatement:
    """What a node shall do: run a statement with its parameters, or (`describe`) tell its types."""

    shard: int
    sql: str
    oids: tuple[int, ...] = ()
    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()
    results: tuple[int, ...] = ()
    key: str = ""
    describe: bool = False

    def wire(self) -> bytes:
        """The messages, up to their Sync."""
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
class Ended:
    """How a part ended at a node: an outcome, and with `ANSWERED` perhaps the statement's own
    error.

    Its rows are in the stream that the send was given.
    """

    outcome: Outcome
    error: PgError | None = None
    oids: tuple[int, ...] = ()


class NodeConnection(LineReceiver):
    """The protocol of one link. Its owner (the pool) hears `on_ready`, `on_lost`, and the end of
    each run.
    """

    def __init__(
        self,
        parameters: dict[str, str],
        max_row: int,
        cancel_grace: float,
        reactor,
        later: Callable[[NodeConnection], None] | None = None,
    ) -> None:
        self.parameters, self.cancel_grace, self.reactor = parameters, cancel_grace, reactor
        self.later = (
            later  # puts the link in the line of large work; None: everything is read at once
        )
        self.frames = pg.RowFrames(max_row)
        self.state = "starting"  # starting, idle, busy, settling (after a cancel), closed
        self.key: tuple[int, int] | None = None
        self.refusal: PgError | None = None
        self.on_ready: Callable[[NodeConnection], None] = lambda link: None
        self.on_lost: Callable[[NodeConnection, PgError | None], None] = lambda link, refusal: None
        self.used = 0.0
        self._done: Callable[[Ended], None] | None = None
        self._ended = Ended(Outcome.SUCCEEDED)
        self._stream: ShardRowStream | None = None
        self._stopped = self._deaf = False  # told to stop reading; not reading
        self._pending = b""  # of a large part: come, but not yet looked at
        self._cancel_open = (
            False  # danger: a cancel that arrives late would hit the next part of this link
        )
        self._grace = None

    # --- Twisted ----------------------------------------------------------------------

    def connectionMade(self) -> None:
        self.setRawMode()
        if self.state == "closed":  # given up while it was connecting
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = (
            READ_AT_ONCE  # a block is a stretch of work: 64 kB would be long
        )
        self.transport.write(pg.startup(self.parameters))

    def rawDataReceived(self, data: bytes) -> None:
        large = (
            self.state == "busy"
            and self._stream is not None
            and self._stream.memory.mode != "small"
        )
        if self._pending or (large and self.later is not None):
            # danger: cutting 32 kB into rows takes half a millisecond, and hundreds of links may be
            # readable
            self._pending += data
            self._set_reading()
            self.later(self)
        else:
            self._read(data)

    def step(self) -> bool:
        """Look at what has come of a large part; the line of large work says when."""
        data, self._pending = self._pending, b""
        if self.state != "closed":
            self._read(data)
        self._set_reading()
        return False

    def _read(self, data: bytes) -> None:
        try:
            for kind, message, count in self.frames.feed(data):
                if kind == 0x44:
                    self._rows(message, count)
                else:
                    self._message(kind, message)
                if self.state == "closed":
                    return
        except PgError as problem:
            self._lost(problem if isinstance(problem, ProtocolError) else None)
            self.transport.abortConnection()

    def connectionLost(self, reason=None) -> None:
        if self._pending:  # danger: the end of a part may be in it, and is no loss then
            self.step()
        self._lost(None)

    # --- for the pool -----------------------------------------------------------------

    def run(
        self, request: ShardStatement, stream: ShardRowStream, done: Callable[[Ended], None]
    ) -> None:
        """Send a part; its rows go to the stream. From here on it may have run."""
        assert self.state == "idle"
        self.state, self._done, self._ended = "busy", done, Ended(Outcome.SUCCEEDED)
        self._stream, stream.hold = stream, self._hold
        self.transport.write(request.wire())

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting (cancelled, or timed out): report at once, ask the node to stop, settle or
        close.
        """
        if self.state != "busy":
            return
        self.state = "settling"
        self._finish(Ended(outcome))
        self._hold(False)  # what is on its way is read and dropped
        self._grace = self.reactor.callLater(self.cancel_grace, self.abort)
        if self.key is not None:
            self._cancel_open = True
            peer = self.transport.getPeer()
            canceller = _Canceller(self.key, self._cancel_closed)
            factory = OneConnection(canceller, canceller.connectionLost)
            self.reactor.connectTCP(peer.host, peer.port, factory, timeout=self.cancel_grace)

    def abort(self) -> None:
        """Close at once."""
        if self.state != "closed":
            self._lost(None)
            if self.transport is not None:
                self.transport.abortConnection()

    def leave(self) -> None:
        """Close an idle link politely."""
        if self.state == "idle":
            self.transport.write(pg.TERMINATE_FRAME)
            self._lost(None)
            self.transport.loseConnection()
        else:
            self.abort()

    # --- inside -----------------------------------------------------------------------

    def _cancel_closed(self) -> None:
        self._cancel_open = False
        if self.state == "settled":
            self._back()

    def _back(self) -> None:
        if self._grace is not None and self._grace.active():
            self._grace.cancel()
        self.state = "idle"
        self.on_ready(self)

    def _hold(self, stop: bool) -> None:
        """Read no more from the node, so that TCP holds it back; or go on."""
        if self.state in ("busy", "settling"):
            self._stopped = stop
            self._set_reading()

    def _set_reading(self) -> None:
        deaf = (self._stopped or bool(self._pending)) and self.state != "closed"
        if deaf != self._deaf and self.state != "closed":
            self._deaf = deaf
            if deaf:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _rows(self, block: bytes, count: int) -> None:
        if self.state != "busy":
            return
        try:
            self._stream.add(block, count)
        except PgError as problem:  # they can't be held: the query ends, the node is healthy
            self.state = "settling"
            self._finish(Ended(Outcome.SUCCEEDED, problem))
            self.abort()

    def _finish(self, ended: Ended) -> None:
        self._stopped = False  # danger: held back by its last block, it would stay deaf
        self._set_reading()
        done, self._done, self._stream = self._done, None, None
        if done is not None:
            done(ended)

    def never_up(self, reason) -> None:
        """Its connection could not be made."""
        if not reason.check(error.UserError) or self.state == "starting":
            self._lost(None)

    def _lost(self, problem: PgError | None) -> None:
        if self.state == "closed":
            return
        was, self.state = self.state, "closed"
        if self._grace is not None and self._grace.active():
            self._grace.cancel()
        if was == "busy":
            self._finish(Ended(Outcome.CONNECTION_LOST, error=problem))
        self.on_lost(self, self.refusal)

    def _message(self, kind: int, message: bytes) -> None:
        if kind == 0x5A:  # ReadyForQuery
            self._ready()
        elif kind == 0x43:  # CommandComplete
            if self._stream is not None:
                self._stream.tag = message[5:-1].decode("utf-8", "replace")
        elif kind == 0x54:
            if self._stream is not None:
                self._stream.fields = pg.read_row_description(message)
        elif kind == 0x45:
            self._error(pg.read_error(message))
        elif kind == 0x74:
            self._ended.oids = pg.read_parameter_description(message)
        elif kind == 0x52:
            if pg.Reader(message, 5).int32() != 0:
                self.refusal = PgError(FEATURE_NOT_SUPPORTED, "the node asks for a password")
                self.abort()
        elif kind == 0x4B:
            reader = pg.Reader(message, 5)
            self.key = reader.int32(), reader.int32()
        elif kind in (0x47, 0x48, 0x57):  # copy modes are never asked for
            raise ProtocolError("the node went into a copy mode")

    def _error(self, problem: PgError) -> None:
        if self.state == "starting":
            self.refusal = problem
        elif self._ended.error is None:
            self._ended.error = problem

    def _ready(self) -> None:
        if self.state == "starting":
            self.state = "idle"
            self.on_ready(self)
        elif self.state == "settling":
            self.state = "settled"
            if not self._cancel_open:
                self._back()
        elif self.state == "busy":
            ended, self.state = self._ended, "idle"
            problem = ended.error
            if problem is not None and not problem.querys_own_fault:
                ended.outcome = Outcome.ERROR
            self._finish(ended)
            if self.state == "idle":
                self.on_ready(self)


def refused_outcome(refusal: PgError | None) -> Outcome:
    """What a link that never became ready tells: turned away, or not connected at all."""
    return (
        Outcome.REJECTED
        if refusal is not None and refusal.state in REFUSED_BEFORE_RUN
        else Outcome.CONNECT_FAILED
    )


class _Canceller(Protocol):
    def __init__(self, key: tuple[int, int], done: Callable[[], None]) -> None:
        self.key, self.done = key, done

    def connectionMade(self) -> None:
        self.transport.write(pg.cancel_request(*self.key))

    def connectionLost(self, reason=None) -> None:
        self.done()


__all__ = ["Ended", "NodeConnection", "ShardStatement", "refused_outcome"]
