"""A stand-in data node: `python -m tansycrank.testbed.node SPEC` with SPEC in JSON. Loopback only.

It speaks the PostgreSQL wire, runs real SQL on the engine, behaves as the model says, and notes
each message that passed on its sockets in a journal (JSON a line) from which checkers judge. Faults
come on a control line.
"""

from __future__ import annotations

import os
import struct
import sys
from collections import deque
from pathlib import Path

import msgspec
import pglast
import xxhash
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver, LineReceiver

from tansycrank import config as settings
from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError, cancelled
from tansycrank.sql.infer import parameter_types
from tansycrank.sql.planner import split_comment
from tansycrank.sql_router.node_connection import REQUEST_KEY
from tansycrank.testbed.engine import Engine, to_engine
from tansycrank.testbed.process import listen, reactor, serve
from tansycrank.testbed.reference_model import Job, Nature, ServiceModel

JOURNAL_LIMIT = 64 * 1024 * 1024  # bytes; a journal longer than that ends the node
CLAIMED_AT = struct.Struct("=d")  # ms of the monotonic clock, which all nodes of a machine share
KEPT = 1000  # answers a node with `cached` keeps
WRITES = ("INSERT", "UPDATE", "DELETE")


class Spec(msgspec.Struct):
    """How to start a node."""

    id: int
    config: str
    shards: tuple[int, ...]
    seed: int = 1
    port: int = 0
    control: int = 0
    journal: str = ""
    came_up: float = 0.0
    scale: float = 1.0
    nature: dict = {}
    peers: dict[int, list[int]] = {}  # shard: control ports of the other holders
    dedup_ms: float = 5000.0
    claims: str = ""  # a folder that all nodes share: the store's memory of keys


class Node:
    """One node: engine, model, sessions, journal."""

    def __init__(self, spec: Spec) -> None:
        self.spec, self.config = spec, settings.load(spec.config)
        self.engine = Engine(self.config, spec.seed, spec.shards, spec.scale)
        self.model = ServiceModel(Nature(**spec.nature), spec.seed * 1000 + spec.id, spec.came_up)
        self.sessions: dict[int, NodeSession] = {}
        self.keys: dict[str, tuple[float, str]] = {}  # request key: when applied, tag
        self.writes: list[dict] = []
        self.kept: dict[str, tuple[bytes, int, str]] = {}
        self.journal = open(spec.journal, "ab", buffering=0) if spec.journal else None
        self.written = 0
        self.counts = {"statements": 0, "answered": 0, "cancelled": 0, "writes": 0}

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return reactor.seconds() * 1000

    def note(self, event: str, session: NodeSession | None, **more) -> None:
        """One line of the journal."""
        if self.journal is None:
            return
        line = (
            msgspec.json.encode(
                {
                    "t": round(self.now, 3),
                    "node": self.spec.id,
                    "ev": event,
                    "conn": session.pid if session else 0,
                    "app": session.app if session else "",
                    **more,
                }
            )
            + b"\n"
        )
        self.written += len(line)
        self.journal.write(line)
        if self.written > JOURNAL_LIMIT:
            os._exit(3)

    # --- work -------------------------------------------------------------------------

    def take(self, job: Job) -> None:
        """Put a batch in line; one without work may end before this returns."""
        self.model.arrived(self.now, job.work)
        if self.model.fallen:
            self.note("fell", None, peak=self.model.peak)
            os._exit(4)
        self.model.waiting.append(job)
        self.pump()

    def pump(self) -> None:
        """Begin what can begin."""
        while (begun := self.model.next(self.now)) is not None:
            job, took = begun
            if took <= 0:
                self._over(job)
            else:
                job.timer = reactor.callLater(took / 1000, self._over, job)

    def _over(self, job: Job) -> None:
        self.model.running.discard(job)
        if not job.dropped:
            job.finish()
        self.pump()

    def drop(self, job: Job) -> bool:
        """Stop a job, as far as this node can; tells whether its work was freed."""
        if job.dropped:
            return False
        waits = job in self.model.waiting
        if waits or self.model.nature.cancel_stops:
            job.dropped = True
            if job.timer is not None and job.timer.active():
                job.timer.cancel()
            self.model.running.discard(job)
            if waits:
                self.model.waiting.remove(job)
            self.pump()
            return True
        return False

    # --- writes -----------------------------------------------------------------------

    def _claim(self, key: str) -> bool:
        """Whether no holder of the shard has run this key in its window.

        The store promises that for all its nodes; word from node to node alone could come after the
        repeat.
        """
        if not self.spec.claims:
            return True
        path = Path(self.spec.claims) / f"key-{xxhash.xxh3_64_hexdigest(key.encode())}"
        try:
            file = os.open(path, os.O_CREAT | os.O_EXCL | os.O_RDWR)
        except FileExistsError:
            file = os.open(path, os.O_RDWR)
            claimed = os.pread(file, CLAIMED_AT.size, 0)
            being_written = len(claimed) < CLAIMED_AT.size  # so it was claimed just now
            if being_written or self.now - CLAIMED_AT.unpack(claimed)[0] < self.spec.dedup_ms:
                os.close(file)
                return False
        os.pwrite(file, CLAIMED_AT.pack(self.now), 0)
        os.close(file)
        return True

    def apply(self, write: dict, mine: bool = False) -> str:
        """Run a write here; a repeated key in its window runs nothing. Returns the tag.

        `mine`: a client sent it; else another holder tells of it.
        """
        key = write["key"]
        if key:
            known = self.keys.get(key)
            if known is not None and self.now - known[0] < self.spec.dedup_ms:
                return known[1]
            if mine and not self._claim(key):
                return (
                    "INSERT 0 1"
                    if write["sql"].lstrip().upper().startswith("INSERT")
                    else "UPDATE 1"
                )
        values = [
            to_engine(oid, types.decode(oid, 0, v.encode()) if v is not None else None)
            for oid, v in zip(write["oids"], write["values"], strict=True)
        ]
        rows = self.engine.run(write["sql"], values, ())
        if key:
            self.keys[key] = self.now, rows.tag
        self.writes.append(write)
        return rows.tag

    def replicate(self, write: dict) -> None:
        """Tell the other holders of the shard."""
        for port in self.spec.peers.get(write["shard"], ()):
            reactor.connectTCP(
                "127.0.0.1", port, _OneLine(msgspec.json.encode({"apply": write})), timeout=1
            )

    def shard_of_sql(self, sql: str) -> int:
        """The shard whose schema a statement names, -1 for none."""
        for shard in self.spec.shards:
            if self.config.store.schema.format(shard=shard) + "." in sql:
                return shard
        return -1


class NodeSession(LineReceiver):
    """One connection of a client (a router) to the node."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.frames: pg.Frames | None = None
        self.started = b""
        self.pid, self.secret, self.app = 0, 0, ""
        self.batch: list = []
        self.jobs: deque = deque()
        self.job: Job | None = None
        self.cancelled = False

    def connectionMade(self) -> None:
        """Start once the connection is up."""
        self.setRawMode()
        self.transport.setTcpNoDelay(True)
        if self.node.model.faults.vanish:
            self.transport.pauseProducing()

    def rawDataReceived(self, data: bytes) -> None:
        """Read bytes from the peer."""
        if self.node.model.faults.vanish:
            return
        if self.frames is None:
            self.started += data
            data = self._startup()
        if self.frames is not None and data:
            for kind, frame in self.frames.feed(data):
                self._message(pg.read_frontend(kind, frame))

    def _startup(self) -> bytes:
        while len(self.started) >= 4:
            size = pg.INT.unpack_from(self.started)[0]
            if len(self.started) < size:
                return b""
            body, self.started = self.started[4:size], self.started[size:]
            match pg.read_startup(body):
                case pg.EncryptionRequest():
                    self.transport.write(b"N")
                case pg.CancelRequest(pid, secret):
                    target = self.node.sessions.get(pid)
                    if target is not None and target.secret == secret:
                        target.cancel()
                    self.transport.loseConnection()
                    return b""
                case pg.Startup(parameters):
                    self.app = parameters.get("application_name", "")
                    self.pid = max(self.node.sessions, default=self.node.spec.id * 100_000) + 1
                    self.secret = self.node.model.rng.randrange(1, 2**31)
                    self.node.sessions[self.pid] = self
                    self.frames = pg.Frames(64 * 1024 * 1024)
                    self.transport.write(
                        pg.AUTHENTICATION_OK
                        + pg.parameter_status("server_version", "15.0")
                        + pg.parameter_status("client_encoding", "UTF8")
                        + pg.parameter_status("standard_conforming_strings", "on")
                        + pg.backend_key(self.pid, self.secret)
                        + pg.ready("I")
                    )
                    self.node.note("open", self)
                    rest, self.started = self.started, b""
                    return rest
        return b""

    def connectionLost(self, reason=None) -> None:
        """Release what belongs to the connection."""
        self.node.sessions.pop(self.pid, None)
        if self.pid:
            self.node.note("close", self, busy=self.job is not None)
        if self.job is not None:
            self.node.drop(self.job)
            self.job = None
        self.jobs.clear()

    # --- messages ---------------------------------------------------------------------

    def _message(self, message) -> None:
        if isinstance(message, pg.Terminate):
            self.transport.loseConnection()
        elif isinstance(message, pg.Query):
            self.jobs.append([message])
            self._next()
        elif isinstance(message, pg.Sync):
            self.jobs.append(self.batch)
            self.batch = []
            self._next()
        else:
            self.batch.append(message)

    def _next(self) -> None:
        if self.job is not None or not self.jobs:
            return
        batch = self.jobs.popleft()
        faults, model = self.node.model.faults, self.node.model
        sql = " ".join(m.sql for m in batch if isinstance(m, pg.Parse | pg.Query))
        runs = any(isinstance(m, pg.Execute | pg.Query) for m in batch)
        self.cancelled = False
        values = [
            v.decode("utf-8", "replace") if v is not None else None
            for m in batch
            if isinstance(m, pg.Bind)
            for v in m.values
        ]
        self.node.note("stmt" if runs else "describe", self, sql=sql[:600], values=values[:20])
        self.node.counts["statements"] += 1
        if model.happens(faults.reset_before):
            self.node.note("reset", self, ran=False)
            self.transport.abortConnection()
            return
        if model.happens(faults.errors):
            self.node.note("error", self, state="58000")
            self._send(
                pg.error_response(PgError("58000", "stand-in: told to fail")) + pg.ready("I")
            )
            return
        comment = split_comment(sql)[0]
        weight = 0.0 if not runs else 1.0
        if "heavy=" in comment:
            weight = float(comment.split("heavy=")[1].split()[0].rstrip("*/"))
        self.job = Job(model.draw_work(weight), lambda: self._done(batch))
        self.node.take(self.job)

    def cancel(self) -> None:
        """A CancelRequest for this session."""
        self.node.note("cancel", self, busy=self.job is not None)
        if self.job is None:
            return
        self.cancelled = True
        if self.node.drop(self.job):
            self.job = None
            self.node.counts["cancelled"] += 1
            self._send(pg.error_response(cancelled()) + pg.ready("I"))
            self._next()

    def _send(self, data: bytes) -> None:
        delay = self.node.model.nature.one_way_ms
        if self.node.model.faults.vanish:
            return
        if delay:
            reactor.callLater(2 * delay / 1000, self.transport.write, data)
        else:
            self.transport.write(data)

    def _done(self, batch: list) -> None:
        self.job = None
        faults, model = self.node.model.faults, self.node.model
        if self.cancelled:
            self._send(pg.error_response(cancelled()) + pg.ready("I"))
            self._next()
            return
        out, rows, tag = self._kept(batch)
        self.node.note("ran", self, rows=rows, tag=tag)
        self.node.counts["answered"] += 1
        if model.happens(faults.lose) or (faults.deaf_to and faults.deaf_to == self.app):
            return
        if model.happens(faults.reset_after):
            self.node.note("reset", self, ran=True)
            # the other holders have heard of it by then
            reactor.callLater(0.02, self.transport.abortConnection)
            return
        if rows > 1 and model.happens(faults.reset_rows):
            self.node.note("reset", self, ran=True)
            self.transport.write(out[: len(out) // 2])
            reactor.callLater(0.005, self.transport.abortConnection)
            return
        self._send(out)
        self._next()

    # --- running ----------------------------------------------------------------------

    def _kept(self, batch: list) -> tuple[bytes, int, str]:
        if not self.node.model.nature.cached:
            return self._answer(batch)
        key = repr(batch)
        if key not in self.node.kept:
            if len(self.node.kept) >= KEPT:
                self.node.kept.clear()
            self.node.kept[key] = self._answer(batch)
        return self.node.kept[key]

    def _answer(self, batch: list) -> tuple[bytes, int, str]:
        out, rows, tag, key = [], 0, "", ""
        statement, oids, bound = "", (), None
        try:
            for message in batch:
                match message:
                    case pg.Query(sql):
                        result = self._run(sql, (), None, "")
                        if result.fields is not None:
                            out.append(pg.row_description(result.fields))
                        out += [*result.frames, pg.command_complete(result.tag)]
                        rows, tag = rows + len(result.frames), result.tag
                    case pg.Parse(_, sql, oids):
                        statement = sql
                        if not sql.startswith("SET"):
                            oids = self._types(sql, oids)
                        out.append(pg.PARSE_COMPLETE)
                    case pg.Bind():
                        bound = message
                        out.append(pg.BIND_COMPLETE)
                    case pg.Describe("S", _):
                        fields = self.node.engine.describe(statement, oids)
                        out.append(pg.parameter_description([o or types.TEXT for o in oids]))
                        out.append(pg.NO_DATA if fields is None else pg.row_description(fields))
                    case pg.Describe():
                        out.append(None)  # filled in by the Execute that follows
                    case pg.Execute():
                        if statement.startswith(f"SET LOCAL {REQUEST_KEY} = "):
                            key = statement.split(" = ", 1)[1].strip("'").replace("''", "'")
                            out.append(pg.command_complete("SET"))
                            continue
                        result = self._run(statement, oids, bound, key)
                        head = (
                            pg.NO_DATA
                            if result.fields is None
                            else pg.row_description(result.fields)
                        )
                        if out and out[-1] is None:
                            out[-1] = head
                        out += [*result.frames, pg.command_complete(result.tag)]
                        rows, tag = rows + len(result.frames), result.tag
        except PgError as problem:
            out = [m for m in out if m is not None]
            out.append(pg.error_response(problem))
            tag = problem.state
        return b"".join(m for m in out if m is not None) + pg.ready("I"), rows, tag

    def _types(self, sql: str, oids: tuple[int, ...]) -> tuple[int, ...]:
        if "$" not in sql or (oids and all(oids)):
            return oids
        try:
            (raw,) = pglast.parse_sql(sql)
            return parameter_types(raw.stmt, self.node.config.tables, oids)
        except pglast.parser.ParseError as problem:
            raise PgError("42601", str(problem.args[0])) from None

    def _run(self, sql: str, oids: tuple[int, ...], bound: pg.Bind | None, key: str):
        values = []
        if bound is not None:
            codes = bound.formats * len(bound.values) if len(bound.formats) == 1 else bound.formats
            codes = codes or (0,) * len(bound.values)
            values = [
                None if v is None else types.decode(oid or types.TEXT, code, v)
                for oid, code, v in zip(oids, codes, bound.values, strict=True)
            ]
        verb = split_comment(sql)[1].split(None, 1)[0].upper()
        if verb not in WRITES:
            given = [to_engine(oid or types.TEXT, v) for oid, v in zip(oids, values, strict=True)]
            return self.node.engine.run(sql, given, bound.results if bound is not None else ())
        texts = [
            None if v is None else types.encode(oid or types.TEXT, 0, v).decode()
            for oid, v in zip(oids, values, strict=True)
        ]
        write = {
            "shard": self.node.shard_of_sql(sql),
            "sql": sql,
            "key": key,
            "values": texts,
            "oids": [o or types.TEXT for o in oids],
        }
        before = len(self.node.writes)
        tag = self.node.apply(write, mine=True)
        self.node.counts["writes"] += len(self.node.writes) - before
        self.node.note(
            "write",
            self,
            key=key,
            applied=len(self.node.writes) > before,
            sql=sql[:300],
            values=texts[:9],
        )
        if len(self.node.writes) > before:
            self.node.replicate(write)
        from tansycrank.testbed.engine import Rows

        return Rows(None, [], tag)


class _OneLine(ClientFactory):
    noisy = False

    def __init__(self, line: bytes) -> None:
        self.line = line

    def buildProtocol(self, addr):
        protocol = LineOnlyReceiver()
        protocol.delimiter = b"\n"
        protocol.connectionMade = lambda: (
            protocol.sendLine(self.line),
            protocol.transport.loseConnection(),
        )
        protocol.lineReceived = lambda line: None
        return protocol


class Control(LineOnlyReceiver):
    """The control line of a node: {"faults": {...}}, {"stats": true}, {"apply": write}, {"log":
    true}.
    """

    delimiter, MAX_LENGTH = b"\n", 16 * 1024 * 1024

    def __init__(self, node: Node) -> None:
        self.node = node

    def lineReceived(self, line: bytes) -> None:
        """Handle one line from the peer."""
        order = msgspec.json.decode(line)
        answer: dict = {"ok": True}
        if "faults" in order:
            was = self.node.model.faults.vanish
            for name, value in order["faults"].items():
                setattr(self.node.model.faults, name, value)
            if (
                was and not self.node.model.faults.vanish
            ):  # it comes back having lost its connections
                for session in list(self.node.sessions.values()):
                    session.transport.abortConnection()
            self.node.pump()
        elif "pause_ms" in order:
            self.node.model.faults.pause_until = self.node.now + order["pause_ms"]
        elif "apply" in order:
            try:
                self.node.apply(order["apply"])
            except PgError as problem:
                answer = {"error": problem.message}
        elif "log" in order:
            answer = {"writes": self.node.writes}
        elif "stats" in order:
            model = self.node.model
            answer = {
                "id": self.node.spec.id,
                "sessions": len(self.node.sessions),
                "running": len(model.running),
                "waiting": len(model.waiting),
                "peak": model.peak,
                **self.node.counts,
                "capacity": model.capacity(self.node.now),
            }
        elif "die" in order:
            os._exit(5)
        self.sendLine(msgspec.json.encode(answer))


def main() -> None:
    """Start a node; it serves until it is told to die."""
    spec = msgspec.json.decode(sys.argv[1], type=Spec)
    node = Node(spec)
    port = listen(spec.port, lambda: NodeSession(node))
    serve(port=port, control=listen(spec.control, lambda: Control(node)))


if __name__ == "__main__":
    main()
