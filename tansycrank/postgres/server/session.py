"""The front: sessions of PostgreSQL clients. It knows bytes, messages and types; no table, no node.

A session handles its messages one after the other; while a statement runs, or while the client does
not read its answer, further messages wait in a bounded line and then in the client's own socket.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver

from tansycrank.admission.identity import Caller
from tansycrank.admission.reader_scheduler import Turns
from tansycrank.merge.rows import Result
from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.copy import CopyFormat, read_options
from tansycrank.postgres.errors import (
    CANNOT_CONNECT_NOW,
    DUPLICATE_PORTAL,
    DUPLICATE_STATEMENT,
    FEATURE_NOT_SUPPORTED,
    IN_FAILED_TRANSACTION,
    INVALID_PARAMETER,
    LIMIT_EXCEEDED,
    NO_SUCH_PORTAL,
    NO_SUCH_STATEMENT,
    READ_ONLY,
    SHUTTING_DOWN,
    SYNTAX_ERROR,
    TOO_LARGE,
    TOO_MANY_CONNECTIONS,
    UNDEFINED_OBJECT,
    PgError,
    ProtocolError,
    cancelled,
)
from tansycrank.sql.local import SERVER_VERSION
from tansycrank.sql.plan import Local, Prepared
from tansycrank.sql.planner import split_comment
from tansycrank.sql_router.service import NOBODY, Request, Running, Service

STARTUP_LIMIT = 10_000  # bytes, as PostgreSQL has it
MAX_SAVEPOINTS = 100  # names a block may hold
LONG = ("declare", "fetch", "copy")  # session commands that run or write rows
CHUNK = 65_536  # bytes of rows written between two looks at whether the client still reads

DEFAULTS = {
    "server_version": SERVER_VERSION,
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "datestyle": "ISO, MDY",
    "timezone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "intervalstyle": "postgres",
    "is_superuser": "off",
    "session_authorization": "",
    "application_name": "",
    "default_transaction_read_only": "off",
    "in_hot_standby": "off",
    "extra_float_digits": "1",
    "search_path": '"$user", public',
    "statement_timeout": "0",
    "transaction_isolation": "read committed",
    "transaction_read_only": "off",
    "max_identifier_length": "63",
    "default_transaction_isolation": "read committed",
    "lock_timeout": "0",
    "bytea_output": "hex",
    "idle_in_transaction_session_timeout": "0",
    "client_min_messages": "notice",
    "synchronous_commit": "on",
    "server_version_num": "150000",
    "lc_collate": "C",
    "lc_ctype": "C",
}
REPORTED = {
    "server_version": "server_version",
    "server_encoding": "server_encoding",
    "client_encoding": "client_encoding",
    "datestyle": "DateStyle",
    "timezone": "TimeZone",
    "integer_datetimes": "integer_datetimes",
    "standard_conforming_strings": "standard_conforming_strings",
    "intervalstyle": "IntervalStyle",
    "is_superuser": "is_superuser",
    "session_authorization": "session_authorization",
    "application_name": "application_name",
    "default_transaction_read_only": "default_transaction_read_only",
    "in_hot_standby": "in_hot_standby",
}
FIXED = {  # settings that clients may repeat but not change
    "client_encoding": ("utf8", "utf-8", "unicode"),
    "timezone": ("utc", "gmt", "etc/utc", "z", "zulu", "uct"),
    "standard_conforming_strings": ("on", "true", "1"),
    "server_version": (),
    "server_encoding": (),
    "integer_datetimes": (),
    "is_superuser": (),
    "bytea_output": ("hex",),
    "server_version_num": (),
    "lc_collate": (),
    "lc_ctype": (),
    "session_authorization": (),
}
FREE = (
    "application_name",
    "extra_float_digits",
    "search_path",
    "client_min_messages",
    "lock_timeout",
    "idle_in_transaction_session_timeout",
    "synchronous_commit",
    "default_transaction_isolation",
    "transaction_isolation",
    "default_transaction_read_only",
    "transaction_read_only",
    "intervalstyle",
)


def duration(name: str, value: str) -> str:
    """A time in ms as PostgreSQL writes it: a number, or one with ms, s, min, h."""
    text = value.strip().lower()
    units = {"ms": 1, "min": 60_000, "s": 1000, "h": 3_600_000}
    unit = next((u for u in units if text.endswith(u)), "")
    number = text[: len(text) - len(unit)].strip() if unit else text
    if not number.isdigit():
        raise PgError(
            INVALID_PARAMETER,
            f"invalid value for parameter {name!r}: {value!r}",
            hint="a number of milliseconds, or one with the unit ms, s, min or h",
        )
    return str(int(number) * units.get(unit, 1))


@dataclass(slots=True)
class Statement:
    """A prepared statement of a session; `prepared` is None for an empty text."""

    prepared: Prepared | None
    comment: str


@dataclass(slots=True)
class Portal:
    """A bound statement: once run, it keeps its answer and how far it was read."""

    statement: Statement
    bind: pg.Bind
    result: Result | None = None
    at: int = 0


@dataclass(slots=True)
class Emission:
    """Rows on their way to a client that may read slowly. `most` rows at most, None for all."""

    result: Result
    then: Callable[[int, PgError | None], None]  # rows written, error of a stream
    head: bytes = b""
    most: int | None = None
    at: int = 0
    change: Callable[[bytes], bytes] | None = None
    count: int = 0


@dataclass(slots=True)
class Cursor:
    """A declared cursor: its answer, how far it was read, when it was last used."""

    result: Result
    at: int = 0
    used: float = 0.0


class Session(LineReceiver):
    """One client's connection, framed by the wire's own lengths in raw mode."""

    def __init__(self, factory: PostgresServerFactory) -> None:
        self.factory, self.service, self.limits = factory, factory.service, factory.limits
        self.state = "startup"  # startup, ready, closed
        self.settings = dict(DEFAULTS)
        self.pid, self.secret = 0, 0
        self.caller = NOBODY
        self.statements: dict[str, Statement] = {}
        self.portals: dict[str, Portal] = {}
        self.block = "I"  # I idle, T in a block, E in a failed one
        self.savepoints: list[str] = []
        self.cursors: dict[str, Cursor] = {}
        self._frames: pg.Frames | None = None
        self._startup = b""
        self._queue: deque = deque()
        self._queued = 0
        self._busy = self._blocked = self._skipping = self._advancing = self._ending = False
        self._running: Running | None = None
        self._describe: str | None = None  # a portal whose description may go out with its rows
        self._write: pg.Execute | None = None  # a write that waits for the Sync that must follow it
        self._emission: Emission | None = None
        self._login = None
        self._paused = False

    # --- Twisted ------------------------------------------------------------------------

    def connectionMade(self) -> None:
        self.setRawMode()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.factory.opened(self)
        self._login = self.factory.reactor.callLater(
            self.limits.login_timeout_ms / 1000, self._too_late
        )

    def rawDataReceived(self, data: bytes) -> None:
        try:
            if self.state == "startup":
                data = self._read_startup(data)
            if self.state == "ready" and data and not self._ending:
                for kind, frame in self._frames.feed(data):
                    if self.state != "ready":
                        return
                    self._queue.append((pg.read_frontend(kind, frame), len(frame)))
                    self._queued += len(frame)
                self._throttle()
                if not self._busy:  # else it goes on when its statement is done
                    self.factory.turns.wake(self, self._tenant())
        except PgError as problem:
            self._fatal(problem)

    @property
    def id(self) -> int:
        """What tells it from other sessions."""
        return self.pid

    def look(self) -> None:
        """Its turn has come: handle what waits."""
        self.advance()

    def _tenant(self) -> str:
        return self.service.identity.who(
            self.caller, self.settings.get("tansycrank.tenant", "")
        ).tenant

    def connectionLost(self, reason=None) -> None:
        self.state = "closed"
        if self._login is not None and self._login.active():
            self._login.cancel()
        self.factory.closed(self)
        self.factory.turns.forget(self, self._tenant())
        self._queue.clear()
        if self._running is not None:
            running, self._running = self._running, None
            self.service.cancel(running, left=True)
        if self._emission is not None:
            self.service.release(self._emission.result)
        self._emission = None
        self._drop_portals()

    # Twisted's IPushProducer: the transport tells whether the client reads.

    def pauseProducing(self) -> None:
        self._blocked = True
        self._throttle()

    def resumeProducing(self) -> None:
        self._blocked = False
        self._throttle()
        if self._emission is not None:
            self._emit()
        else:
            self.advance()

    def stopProducing(self) -> None:
        self._blocked = True

    def _throttle(self) -> None:
        """Read on only while the line of messages is short and the client reads its answers."""
        stop = self._blocked or self._queued > self.limits.max_pending
        if stop != self._paused and self.state != "closed":
            self._paused = stop
            transport = getattr(
                self.transport, "pauseProducing" if stop else "resumeProducing", None
            )
            if transport is not None:
                transport()

    # --- startup ------------------------------------------------------------------------

    def _read_startup(self, data: bytes) -> bytes:
        self._startup += data
        while self.state == "startup" and len(self._startup) >= 4:
            size = pg.INT.unpack_from(self._startup)[0]
            if not 8 <= size <= STARTUP_LIMIT:
                raise ProtocolError(
                    f"startup packet says {size} bytes; allowed 8 to {STARTUP_LIMIT}"
                )
            if len(self._startup) < size:
                return b""
            body, self._startup = self._startup[4:size], self._startup[size:]
            match pg.read_startup(body):
                case pg.EncryptionRequest():
                    self.transport.write(b"N")
                case pg.CancelRequest(pid, secret):
                    self.factory.cancel(pid, secret)
                    self.state = "closed"
                    self.hang_up()
                case pg.Startup(parameters):
                    self._start(parameters)
        rest, self._startup = (
            (self._startup, b"") if self.state == "ready" else (b"", self._startup)
        )
        return rest

    def _start(self, parameters: dict[str, str]) -> None:
        refusal = self.factory.admission(self)
        if refusal is not None:
            raise refusal
        peer = getattr(self.transport.getPeer(), "host", "")
        user = parameters.get("user", "")
        self.caller = Caller(peer, user, parameters.get("database", "") or user)
        barred = self.service.may_enter(self.caller)
        if barred is not None:
            raise barred
        self._login.cancel()
        self.settings["session_authorization"] = parameters.get("user", "")
        for name, value in self._options(parameters):
            self._assign(name, value)
        self.state = "ready"
        self._frames = pg.Frames(self.limits.max_message, pg.FRONTEND_TYPES)
        self.pid, self.secret = self.factory.key(self)
        self.caller = replace(self.caller, session=self.pid)
        out = [pg.AUTHENTICATION_OK]
        out += [pg.parameter_status(shown, self.settings[name]) for name, shown in REPORTED.items()]
        out += [pg.backend_key(self.pid, self.secret), pg.ready("I")]
        self.transport.write(b"".join(out))

    @staticmethod
    def _options(parameters: dict[str, str]) -> Iterator[tuple[str, str]]:
        words = parameters.get("options", "").replace("\\ ", " ").split()
        for index, word in enumerate(words):
            if word.startswith("--"):
                word = word[2:]
            elif word == "-c" and index + 1 < len(words):
                continue
            elif word.startswith("-c"):
                word = word[2:]
            name, equals, value = word.partition("=")
            if equals:
                yield name.replace("-", "_"), value
        for name, value in parameters.items():
            if name not in ("user", "database", "options", "replication") and not name.startswith(
                "_pq_."
            ):
                yield name, value

    def shut(self) -> None:
        """The router ends now, whatever the session does."""
        self._fatal(PgError(SHUTTING_DOWN, "the router is shutting down", severity="FATAL"))

    def _too_late(self) -> None:
        self._fatal(
            PgError(
                "57P05",
                f"no startup packet within {self.limits.login_timeout_ms:.0f} ms",
                severity="FATAL",
            )
        )

    # --- the line of messages -----------------------------------------------------------

    def advance(self) -> None:
        """Handle what waits in the line, as far as it goes."""
        if self._advancing:  # danger: answers that come at once would recurse, one frame a message
            return
        self._advancing = True
        try:
            while (
                self.state == "ready" and not self._busy and not self._blocked and not self._ending
            ):
                if self._write is not None and self._queue:
                    self._deferred_write()
                    continue
                if self._describe is not None and self._queue:
                    following = self._queue[0][0]
                    if not (
                        isinstance(following, pg.Execute) and following.portal == self._describe
                    ):
                        name, self._describe = self._describe, None
                        self._describe_portal(name)
                        continue
                if not self._queue:
                    if self.factory.stopping and self.block == "I":
                        self.shut()
                    break
                message, size = self._queue.popleft()
                self._queued -= size
                self._handle(message)
        except PgError as problem:
            self._fatal(problem)
        finally:
            self._advancing = False
        self._throttle()

    def _handle(self, message) -> None:
        if isinstance(message, pg.Terminate):
            self._ending = True
            self.hang_up()
            return
        if isinstance(message, pg.Sync):
            self._skipping = False
            if self.block == "I":
                self._drop_portals()
            self.transport.write(pg.ready(self.block))
            return
        if self._skipping:
            return
        try:
            match message:
                case pg.Query(sql):
                    self._simple(sql)
                case pg.Parse():
                    self._parse(message)
                case pg.Bind():
                    self._bind(message)
                case pg.Describe("S", name):
                    self._describe_statement(name)
                case pg.Describe(_, name) if name and name in self.cursors:
                    self.transport.write(pg.row_description(self.cursors[name].result.fields))
                case pg.Describe(_, name):
                    self._portal(name)
                    self._describe = name
                case pg.Execute():
                    self._execute(message)
                case pg.Close(kind, name):
                    self._close(kind, name)
                case pg.Unexpected(kind) if kind in "dcf":
                    pass  # PostgreSQL too passes over copy data outside of a copy
                case pg.Unexpected(kind):
                    raise ProtocolError(f"message of type {kind!r} has no place here")
        except PgError as problem:
            if problem.fatal:
                raise
            self._error(problem)

    def _error(self, problem: PgError) -> None:
        """An error in the extended protocol: skip to the next Sync."""
        self._describe = None
        self._skipping = True
        if self.block == "T":
            self.block = "E"
        self.transport.write(pg.error_response(problem))

    def _fatal(self, problem: PgError) -> None:
        if self.state == "closed" or self._ending:
            return
        self._ending = True
        problem.severity = "FATAL"
        self.transport.write(pg.error_response(problem))
        self.hang_up()
        if self._running is not None:
            running, self._running = self._running, None
            self.service.cancel(running, left=True)
        if self.factory.log:
            self.factory.log.info(
                "session_ended", pid=self.pid, state=problem.state, reason=problem.message
            )

    def hang_up(self) -> None:
        """Close once what is written has gone out; a client that reads nothing gets a bounded time
        for it.
        """
        self.transport.unregisterProducer()
        self.transport.loseConnection()
        if self._login is not None and self._login.active():
            self._login.cancel()
        self._login = self.factory.reactor.callLater(
            self.limits.login_timeout_ms / 1000, self.transport.abortConnection
        )

    def _drop_portals(self) -> None:
        for portal in self.portals.values():
            if portal.result is not None:
                self.service.release(portal.result)
        self.portals.clear()
        for cursor in self.cursors.values():
            self.service.release(cursor.result)
        self.cursors.clear()

    # --- rows out -----------------------------------------------------------------------

    def _start_emission(self, emission: Emission) -> None:
        self._emission, self._busy = emission, True
        self._emit()

    def _emit(self) -> None:
        emission = self._emission
        while emission is not None and not self._blocked and self.state == "ready":
            if emission.head:
                self.transport.write(emission.head)
                emission.head = b""
            frames, rows, over, error = self._next_rows(emission)
            if frames:
                emission.count += rows
                self.transport.write(
                    b"".join(frames if emission.change is None else map(emission.change, frames))
                )
            if over:
                self._emission, self._busy = None, False
                emission.then(emission.count, error)
                self.advance()
                return
            if not frames:
                return  # the stream tells when it has more

    def _next_rows(self, emission: Emission) -> tuple[list[bytes], int, bool, PgError | None]:
        """(frames, how many rows they are, whether they are the last, the error of a stream)."""
        stream = emission.result.stream
        left = None if emission.most is None else emission.most - emission.count
        if stream is not None:
            stream.on_ready = self._stream_ready
            if left is None and emission.change is None:  # whole blocks, uncut
                block = stream.take_block()
                frames, rows = ([], 0) if block is None else ([block[0]], block[1])
            else:
                frames = stream.take(left)
                rows = len(frames)
            over = stream.ended or (left is not None and rows >= left)
            return frames, rows, over, stream.error if stream.ended else None
        rows, at, size, end = emission.result.rows, emission.at, 0, len(emission.result.rows)
        if left is not None:
            end = min(end, at + left)
        start = at
        while at < end and size < CHUNK:
            size += len(rows[at])
            at += 1
        emission.at = at
        return list(rows[start:at]), at - start, at >= end, None

    def _stream_ready(self) -> None:
        if self._emission is not None and not self._blocked:
            self._emit()

    # --- running ------------------------------------------------------------------------

    def _check_block(self, prepared: Prepared) -> None:
        command = prepared.local.command if prepared.local else ""
        if self.block == "E" and command not in ("commit", "rollback", "rollback_to"):
            raise PgError(
                IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            )
        if self.block == "T" and (prepared.writes or prepared.volatile):
            what = prepared.tag if prepared.writes else f"{prepared.volatile}()"
            raise PgError(
                READ_ONLY,
                f"cannot execute {what} in a transaction block of the router",
                hint="blocks are read-only here; write in autocommit mode, one shard a statement",
            )

    def _wait_for(
        self, start: Callable[[Callable], Running | None], done: Callable[[object], None]
    ) -> None:
        """Begin what takes its time; `done` hears its outcome once, unless the client leaves
        before.
        """
        self._busy, over = True, False

        def finished(outcome: object) -> None:
            nonlocal over
            over, self._running = True, None
            if self.state != "ready" or self._ending:
                if isinstance(outcome, Result):
                    self.service.release(outcome)
                return
            self._busy = False
            done(outcome)
            self.advance()

        running = start(finished)
        if not over:
            self._running = running

    def _run(self, request: Request, done: Callable[[Result | PgError], None]) -> None:
        """Run one statement."""
        self._wait_for(lambda finished: self.service.run(request, finished), done)

    def cancel(self) -> None:
        """A CancelRequest for this session: its running statement ends with 57014."""
        if self._running is not None:
            self.service.cancel(self._running)
        elif self._emission is not None and self._emission.result.stream is not None:
            problem = cancelled()
            self._emission.result.stream.stop(problem)

    def _local(self, command: Local) -> list[bytes]:
        """A session command: the messages that answer it, without RowDescription."""
        out: list[bytes] = []
        tag = command.tag
        match command.command:
            case "rows":
                out += [pg.data_row(row) for row in command.rows]
            case "show":
                view = self.service.view(command.name.lower(), self.caller)
                rows = view[1] if view is not None else [(self._shown(command.name),)]
                out += [pg.data_row([value.encode() for value in row]) for row in rows]
            case "set":
                out += self._assign(command.name, command.value)
            case "reset":
                kept = {n: self.settings[n] for n in ("session_authorization", "application_name")}
                self.settings = dict(DEFAULTS) | kept
                if tag == "DISCARD ALL":
                    self.statements.clear()
            case "close":
                if not command.name:
                    for name in list(self.cursors):
                        self.service.release(self.cursors.pop(name).result)
                else:
                    self._cursor(command.name)
                    self.service.release(self.cursors.pop(command.name).result)
            case "deallocate":
                if not command.name:
                    self.statements.clear()
                elif self.statements.pop(command.name, None) is None:
                    raise PgError(
                        NO_SUCH_STATEMENT, f"prepared statement {command.name!r} does not exist"
                    )
            case "begin":
                if self.block != "I":
                    out.append(
                        pg.notice_response(
                            PgError(
                                "25001",
                                "there is already a transaction in progress",
                                severity="WARNING",
                            )
                        )
                    )
                else:
                    self.block = "T"
            case "savepoint" | "release" | "rollback_to":
                self._savepoint(command)
            case "commit" | "rollback":
                self.savepoints.clear()
                self._drop_portals()
                if self.block == "I":
                    out.append(
                        pg.notice_response(
                            PgError(
                                "25P01", "there is no transaction in progress", severity="WARNING"
                            )
                        )
                    )
                if self.block == "E":
                    tag = "ROLLBACK"
                self.block = "I"
        return [*out, pg.command_complete(tag)]

    def _savepoint(self, command: Local) -> None:
        """Savepoints of a read-only block: names alone, and the way back out of a failed block."""
        if self.block == "I":
            raise PgError("25P01", f"{command.tag} can only be used in transaction blocks")
        if command.command == "savepoint":
            if len(self.savepoints) >= MAX_SAVEPOINTS:
                raise PgError(LIMIT_EXCEEDED, f"more than {MAX_SAVEPOINTS} savepoints in a block")
            self.savepoints.append(command.name)
            return
        if command.name not in self.savepoints:
            raise PgError("3B001", f"savepoint {command.name!r} does not exist")
        at = len(self.savepoints) - 1 - self.savepoints[::-1].index(command.name)
        if command.command == "release":
            del self.savepoints[at:]
        else:
            del self.savepoints[at + 1 :]
            self.block = "T"

    def _shown(self, name: str) -> str:
        low = name.lower()
        if low == "all":
            raise PgError(FEATURE_NOT_SUPPORTED, "SHOW ALL is not supported")
        if low.startswith("tansycrank."):
            return self.settings.get(low, "")
        if low not in self.settings:
            raise PgError(UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        return self.settings[low]

    def _assign(self, name: str, value: str | None) -> list[bytes]:
        low = name.lower()
        if value is None:
            value = DEFAULTS.get(low, "off" if low == "tansycrank.repeat" else "")
        if low == "tansycrank.limits":
            self.service.change_limits(self.caller, value)
            return []
        if low.startswith("tansycrank."):
            self.settings[low] = self.service.check_setting(low, value)
            return []
        if low in FIXED:
            if value.strip("' ").lower() not in FIXED[low] and value != DEFAULTS[low]:
                raise PgError(
                    INVALID_PARAMETER,
                    f"parameter {name!r} can't be {value!r} here",
                    hint=f"allowed: {', '.join(FIXED[low]) or DEFAULTS[low]}",
                )
            return []
        if low == "datestyle":
            if not value.strip().lower().startswith("iso"):
                raise PgError(
                    INVALID_PARAMETER, f"DateStyle can't be {value!r} here", hint="allowed: ISO"
                )
            return []
        if low == "statement_timeout":
            self.settings[low] = duration(low, value)
            return []
        if low not in FREE:
            raise PgError(UNDEFINED_OBJECT, f"unrecognized configuration parameter {name!r}")
        if len(value) > 1024:
            raise PgError(INVALID_PARAMETER, f"{name}: at most 1024 characters")
        self.settings[low] = value
        return [pg.parameter_status(REPORTED[low], value)] if low in REPORTED else []

    def _local_fields(
        self, prepared: Prepared, results: tuple[int, ...] = ()
    ) -> tuple[pg.Field, ...] | None:
        local = prepared.local
        if local.command == "show":
            view = self.service.view(local.name.lower(), self.caller)
            if view is not None:
                return tuple(pg.Field(name, types.TEXT) for name in view[0])
            return (pg.Field(local.name, types.TEXT),)
        if local.command == "fetch":
            return self._cursor(local.name).result.fields
        return (
            _with_formats(local.fields, results)
            if local.command == "rows" and prepared.returns_rows
            else None
        )

    # --- simple query -------------------------------------------------------------------

    def _simple(self, sql: str) -> None:
        self._drop_portals() if self.block == "I" else None
        try:
            comment, rest = self._check_size(sql)
            refusal = self.service.glance(rest, self.caller, self.settings)
            if refusal is not None:
                raise refusal
            statements = self.service.prepare(rest)
            if len(statements) > 1 and any(s.writes or s.volatile for s in statements):
                raise PgError(
                    FEATURE_NOT_SUPPORTED,
                    "a write beside other statements in one simple query",
                    hint="they would not be one transaction here; send them one by one",
                )
        except PgError as problem:
            self._end_simple(problem)
            return
        if not statements:
            self.transport.write(pg.EMPTY_QUERY + pg.ready(self.block))
            return
        self._next_simple(iter(statements), comment)

    def _check_size(self, sql: str) -> tuple[str, str]:
        if len(sql) > self.limits.max_statement:
            raise PgError(
                TOO_LARGE,
                f"the statement has {len(sql)} characters; allowed {self.limits.max_statement}",
            )
        return split_comment(sql)

    def _end_simple(self, problem: PgError) -> None:
        if self.block == "T":
            self.block = "E"
        self.transport.write(pg.error_response(problem) + pg.ready(self.block))

    def _next_simple(self, rest: Iterator[Prepared], comment: str) -> None:
        for prepared in rest:
            try:
                self._check_block(prepared)
                if prepared.oids:
                    raise PgError("42P02", "there is no parameter $1")
                if prepared.local is not None and prepared.local.command not in LONG:
                    fields = self._local_fields(prepared)
                    head = [pg.row_description(fields)] if fields is not None else []
                    self.transport.write(b"".join(head + self._local(prepared.local)))
                    continue
            except PgError as problem:
                self._end_simple(problem)
                return

            def then(tag: str | None, problem: PgError | None) -> None:
                if problem is not None:
                    self._end_simple(problem)
                    return
                self.transport.write(pg.command_complete(tag))
                self._next_simple(rest, comment)

            request = Request(
                prepared, comment=comment, settings=dict(self.settings), caller=self.caller
            )
            try:
                self._answer(request, True, then)
            except PgError as problem:
                self._end_simple(problem)
            return
        self.transport.write(pg.ready(self.block))

    # --- what takes its time, for both protocols ---------------------------------------------

    def _answer(self, request: Request, described: bool, then: Callable) -> None:
        """Run a statement and write its rows; `then(tag, error)` is called once."""
        prepared = request.prepared
        command = prepared.local.command if prepared.local is not None else ""
        if command == "fetch":
            self._fetch(prepared.local, described, then)
            return
        if command == "declare":
            self._check_cursor(prepared.local.name)
        copying = read_options(prepared.options) if command == "copy" else None
        if prepared.inner is not None:
            results = copying.results if copying is not None else request.results
            request = replace(request, prepared=prepared.inner, results=results)

        def done(outcome: Result | PgError) -> None:
            if isinstance(outcome, PgError):
                then(None, outcome)
            elif command == "declare":
                self.cursors[prepared.local.name] = Cursor(
                    outcome, used=self.factory.reactor.seconds()
                )
                self.factory.watch_cursors()
                then("DECLARE CURSOR", None)
            else:
                self._write_answer(outcome, copying, described, then)

        self._run(request, done)

    def _write_answer(
        self, result: Result, copying: CopyFormat | None, described: bool, then: Callable
    ) -> None:
        head = b""
        if copying is not None:
            head = copying.begin(result.fields)
        elif described:
            head = pg.NO_DATA if result.fields is None else pg.row_description(result.fields)
        if result.fields is None and copying is None:
            head = b""

        def over(count: int, problem: PgError | None) -> None:
            self.service.release(result)
            if problem is None and copying is not None:
                self.transport.write(copying.end())
            tag = (
                f"COPY {count}"
                if copying
                else f"SELECT {count}"
                if result.tag.startswith("SELECT")
                else result.tag
            )
            then(tag, problem)

        change = copying.row if copying is not None else None
        self._start_emission(Emission(result, over, head, change=change))

    def _check_cursor(self, name: str) -> None:
        if self.block != "T":
            raise PgError("25P01", "DECLARE CURSOR can only be used in transaction blocks")
        if name in self.cursors:
            raise PgError("42P03", f"cursor {name!r} already exists")
        if len(self.cursors) >= self.service.config.merge.max_cursors:
            raise PgError(
                LIMIT_EXCEEDED,
                f"more than {self.service.config.merge.max_cursors} cursors in a session",
            )

    def _cursor(self, name: str) -> Cursor:
        if name not in self.cursors:
            raise PgError(
                NO_SUCH_PORTAL, f"cursor {name!r} does not exist, or was idle for too long"
            )
        return self.cursors[name]

    def _fetch(self, command: Local, described: bool, then: Callable) -> None:
        cursor = self._cursor(command.name)
        cursor.used = self.factory.reactor.seconds()
        head = pg.row_description(cursor.result.fields) if described else b""

        def over(count: int, problem: PgError | None) -> None:
            cursor.at += count
            cursor.used = self.factory.reactor.seconds()
            then(f"FETCH {count}", problem)

        most = None if command.count < 0 else command.count
        self._start_emission(Emission(cursor.result, over, head, most, cursor.at))

    def drop_idle_cursors(self, border: float) -> bool:
        """Let go of cursors not used since; tells whether any is left."""
        if self._emission is None and not self._busy:
            for name in [n for n, c in self.cursors.items() if c.used < border]:
                self.service.release(self.cursors.pop(name).result)
        return bool(self.cursors)

    # --- extended query -----------------------------------------------------------------

    def _parse(self, message: pg.Parse) -> None:
        if message.name and message.name in self.statements:
            raise PgError(
                DUPLICATE_STATEMENT, f"prepared statement {message.name!r} already exists"
            )
        if message.name not in self.statements and len(self.statements) >= self.limits.max_prepared:
            raise PgError(
                LIMIT_EXCEEDED,
                f"more than {self.limits.max_prepared} prepared statements in a session",
            )
        comment, rest = self._check_size(message.sql)
        statements = self.service.prepare(rest, message.oids)
        if len(statements) > 1:
            raise PgError(SYNTAX_ERROR, "cannot insert multiple commands into a prepared statement")
        prepared = statements[0] if statements else None
        if prepared is not None:
            if self.block == "E":
                self._check_block(prepared)
        self.statements[message.name] = Statement(prepared, comment)
        self.transport.write(pg.PARSE_COMPLETE)

    def _statement(self, name: str) -> Statement:
        if name not in self.statements:
            raise PgError(NO_SUCH_STATEMENT, f"prepared statement {name!r} does not exist")
        return self.statements[name]

    def _portal(self, name: str) -> Portal:
        if name not in self.portals:
            raise PgError(NO_SUCH_PORTAL, f"portal {name!r} does not exist")
        return self.portals[name]

    def _bind(self, message: pg.Bind) -> None:
        statement = self._statement(message.statement)
        if message.portal and message.portal in self.portals:
            raise PgError(DUPLICATE_PORTAL, f"portal {message.portal!r} already exists")
        if len(self.portals) >= self.limits.max_portals and message.portal not in self.portals:
            raise PgError(
                LIMIT_EXCEEDED, f"more than {self.limits.max_portals} portals in a session"
            )
        wanted = len(statement.prepared.oids) if statement.prepared else 0
        if len(message.values) != wanted:
            raise PgError(
                "08P01",
                f"bind message supplies {len(message.values)} parameters, but prepared statement "
                f"{message.statement!r} requires {wanted}",
            )
        if statement.prepared is not None:
            self._check_block(statement.prepared)
        self._release_portal(message.portal)
        self.portals[message.portal] = Portal(statement, message)
        self.transport.write(pg.BIND_COMPLETE)

    def _release_portal(self, name: str) -> None:
        old = self.portals.pop(name, None)
        if old is not None and old.result is not None:
            self.service.release(old.result)

    def _close(self, kind: str, name: str) -> None:
        if kind == "S":
            self.statements.pop(name, None)
        else:
            self._release_portal(name)
        self.transport.write(pg.CLOSE_COMPLETE)

    def _asked(self, prepared: Prepared, done: Callable[[tuple], None]) -> None:
        """Ask for a description; errors are those of the extended protocol."""

        def told(found: tuple | PgError) -> None:
            if isinstance(found, PgError):
                self._error(found)
            else:
                done(found)

        settings = dict(self.settings)
        self._wait_for(
            lambda done: self.service.describe(prepared, settings, done, self.caller), told
        )

    def _describe_statement(self, name: str) -> None:
        statement = self._statement(name)
        if statement.prepared is None:
            self.transport.write(pg.parameter_description(()) + pg.NO_DATA)
            return
        if statement.prepared.local is not None:
            fields = self._local_fields(statement.prepared)
            head = pg.parameter_description(statement.prepared.oids)
            self.transport.write(
                head + (pg.NO_DATA if fields is None else pg.row_description(fields))
            )
            return

        def told(found: tuple) -> None:
            oids, fields = found
            tail = pg.NO_DATA if fields is None else pg.row_description(_with_formats(fields, ()))
            self.transport.write(
                pg.parameter_description([oid or types.TEXT for oid in oids]) + tail
            )

        self._asked(statement.prepared, told)

    def _describe_portal(self, name: str) -> None:
        portal = self.portals[name]
        prepared, results = portal.statement.prepared, portal.bind.results
        if prepared is None:
            self.transport.write(pg.NO_DATA)
        elif prepared.local is not None:
            fields = self._local_fields(prepared, results)
            self.transport.write(pg.NO_DATA if fields is None else pg.row_description(fields))
        elif portal.result is not None:
            fields = portal.result.fields
            self.transport.write(pg.NO_DATA if fields is None else pg.row_description(fields))
        else:

            def told(found: tuple) -> None:
                fields = found[1]
                self.transport.write(
                    pg.NO_DATA
                    if fields is None
                    else pg.row_description(_with_formats(fields, results))
                )

            self._asked(prepared, told)

    def _execute(self, message: pg.Execute) -> None:
        portal = self._portal(message.portal)
        described, self._describe = self._describe == message.portal, None
        prepared = portal.statement.prepared
        if prepared is None:
            self.transport.write((pg.NO_DATA if described else b"") + pg.EMPTY_QUERY)
            return
        self._check_block(prepared)
        if prepared.local is not None and prepared.local.command in LONG:
            request = self._request(portal)

            def then(tag: str | None, problem: PgError | None) -> None:
                if problem is not None:
                    self._error(problem)
                else:
                    self.transport.write(pg.command_complete(tag))

            if described and prepared.local.command != "fetch":
                self.transport.write(pg.NO_DATA)
            self._answer(request, described and prepared.local.command == "fetch", then)
            return
        if prepared.local is not None:
            fields = self._local_fields(prepared, portal.bind.results)
            local = prepared.local
            if prepared.compute is not None:
                values = self.service.decoded(prepared, portal.bind.values, portal.bind.formats)
                local = prepared.compute(values)
            head = (
                b""
                if not described
                else pg.NO_DATA
                if fields is None
                else pg.row_description(fields)
            )
            answer = self._local(local)
            if fields is not None and any(f.format for f in fields):
                answer = _as_binary(fields, answer)
            self.transport.write(head + b"".join(answer))
            return
        if portal.result is not None:
            self._emit_portal(portal, message.limit, described)
            return
        if (prepared.writes or prepared.volatile) and self._write is None:
            self._write, self._describe = message, message.portal if described else None
            return
        request = self._request(portal)

        def done(outcome: Result | PgError) -> None:
            if isinstance(outcome, PgError):
                self._error(outcome)
                return
            portal.result = outcome
            self._emit_portal(portal, message.limit, described)

        self._run(request, done)

    def _deferred_write(self) -> None:
        """A write runs when its Sync is there: nothing else may be in the transaction of its batch."""
        message = self._write
        if isinstance(self._queue[0][0], pg.Flush):
            self._queued -= self._queue.popleft()[1]
            return
        if not isinstance(self._queue[0][0], pg.Sync):
            self._write, self._describe = None, None
            self._error(
                PgError(
                    FEATURE_NOT_SUPPORTED,
                    "a write must be the last of its batch",
                    hint="batches are not one transaction here; send Sync after each write",
                )
            )
            return
        try:
            self._execute(message)
        except PgError as problem:
            self._error(problem)
        finally:
            self._write = None

    def _request(self, portal: Portal) -> Request:
        bind, statement = portal.bind, portal.statement
        settings = dict(self.settings)
        return Request(
            statement.prepared,
            bind.values,
            bind.formats,
            bind.results,
            statement.comment,
            settings,
            self.caller,
        )

    def _emit_portal(self, portal: Portal, limit: int, described: bool) -> None:
        result = portal.result
        head = b""
        if described:
            head = pg.NO_DATA if result.fields is None else pg.row_description(result.fields)

        def over(count: int, problem: PgError | None) -> None:
            portal.at += count
            if problem is not None:
                self._error(problem)
            elif limit and count == limit and not self._exhausted(portal):
                self.transport.write(pg.PORTAL_SUSPENDED)
            else:
                tag = f"SELECT {count}" if result.tag.startswith("SELECT") else result.tag
                self.transport.write(pg.command_complete(tag))

        self._start_emission(Emission(result, over, head, limit or None, portal.at))

    @staticmethod
    def _exhausted(portal: Portal) -> bool:
        stream = portal.result.stream
        return stream.ended if stream is not None else portal.at >= len(portal.result.rows)


def _with_formats(fields, results: tuple[int, ...]) -> tuple[pg.Field, ...]:
    codes = results * len(fields) if len(results) == 1 else results or (0,) * len(fields)
    if len(codes) != len(fields):
        raise PgError("08P01", f"{len(codes)} result formats for {len(fields)} columns")
    return tuple(
        pg.Field(f.name, f.oid, f.size, f.modifier, code, f.table, f.column)
        for f, code in zip(fields, codes, strict=True)
    )


def _as_binary(fields, answer: list[bytes]) -> list[bytes]:
    """Rows of the router's own in the formats asked for; the last message is the command tag."""
    out = []
    for frame in answer[:-1]:
        if frame[:1] != b"D":
            out.append(frame)
            continue
        values = pg.read_row(frame)
        out.append(
            pg.data_row(
                [
                    v
                    if v is None or not f.format
                    else types.encode(f.oid, 1, types.decode(f.oid, 0, v))
                    for v, f in zip(values, fields, strict=True)
                ]
            )
        )
    return [*out, answer[-1]]


class PostgresServerFactory(ServerFactory):
    """All sessions of one listening socket."""

    noisy = False

    def __init__(self, service: Service, limits, reactor, seed: int, log=None) -> None:
        self.service, self.limits, self.reactor, self.log = service, limits, reactor, log
        self.sessions: set[Session] = set()
        self.stopping = False
        self.accepted = 0
        self._keys: dict[int, Session] = {}
        self._chance = random.Random(seed)
        self._pid = 0
        self._watching = None
        self.turns = Turns(lambda f: reactor.callLater(0, f), reactor.seconds)

    def buildProtocol(self, addr) -> Session:
        return Session(self)

    def opened(self, session: Session) -> None:
        """A connection came."""
        self.accepted += 1
        self.sessions.add(session)
        if (
            len(self.sessions) > 2 * self.limits.max_sessions
        ):  # danger: connections that never log in
            session.transport.abortConnection()

    def closed(self, session: Session) -> None:
        """A connection ended."""
        self.sessions.discard(session)
        self._keys.pop(session.pid, None)

    def admission(self, session: Session) -> PgError | None:
        """Why this client can't have a session now, if so."""
        if self.stopping:
            return PgError(CANNOT_CONNECT_NOW, "the router is shutting down", severity="FATAL")
        if len(self._keys) >= self.limits.max_sessions:
            return PgError(
                TOO_MANY_CONNECTIONS,
                f"more than {self.limits.max_sessions} sessions",
                severity="FATAL",
            )
        return None

    def key(self, session: Session) -> tuple[int, int]:
        """A fresh cancel key."""
        self._pid += 1
        self._keys[self._pid] = session
        return self._pid, self._chance.getrandbits(32)

    def cancel(self, pid: int, secret: int) -> None:
        """Honour a CancelRequest whose key fits; others are passed over in silence, as by
        PostgreSQL.
        """
        session = self._keys.get(pid)
        if session is not None and session.secret & 0xFFFFFFFF == secret & 0xFFFFFFFF:
            session.cancel()

    def watch_cursors(self) -> None:
        """See to it that cursors nobody uses are let go."""
        if self._watching is None:
            idle = self.service.config.merge.cursor_idle_ms / 1000
            self._watching = self.reactor.callLater(idle / 4, self._look_at_cursors, idle)

    def _look_at_cursors(self, idle: float) -> None:
        self._watching = None
        border = self.reactor.seconds() - idle
        if any([session.drop_idle_cursors(border) for session in list(self.sessions)]):
            self.watch_cursors()

    def stop_taking(self) -> None:
        """Idle sessions end now, busy ones after their statement."""
        self.stopping = True
        for session in list(self.sessions):
            if session.state == "ready":
                session.advance()
            else:
                session.hang_up()
