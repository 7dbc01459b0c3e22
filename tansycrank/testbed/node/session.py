"""One connection of a router to the node: startup, queue of batches, faults, cancel."""

from __future__ import annotations

from collections import deque

from twisted.protocols.basic import LineReceiver

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError, cancelled
from tansycrank.sql.planner import split_leading_comment
from tansycrank.testbed.node.batch import answer
from tansycrank.testbed.node.journal import shortened
from tansycrank.testbed.node.node import Node
from tansycrank.testbed.process import reactor
from tansycrank.testbed.reference_model import Job

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
PIDS_PER_NODE = 100_000
INJECTED_ERROR = "58000"
RESET_AFTER_SECONDS = 0.02  # by then the other replicas have received the write
RESET_ROWS_SECONDS = 0.005
JOURNAL_SQL_CHARACTERS = 600
JOURNAL_VALUES = 20
WEIGHT_COMMENT = "heavy="  # a comment that sets the work of a statement


class NodeSession(LineReceiver):
    """Protocol of one connection. Batches run one after the other."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.pid, self.secret = 0, 0
        self.application_name = ""
        self._frames: pg.MessageSplitter | None = None
        self._startup_bytes = b""
        self._batch: list = []  # messages since the last Sync
        self._queue: deque[list] = deque()
        self._job: Job | None = None
        self._is_cancelled = False

    def connectionMade(self) -> None:
        """Begin to read, unless the node has vanished."""
        self.setRawMode()
        self.transport.setTcpNoDelay(True)
        if self.node.model.faults.vanish:
            self.transport.pauseProducing()

    def rawDataReceived(self, data: bytes) -> None:
        """Decode messages."""
        if self.node.model.faults.vanish:
            return
        if self._frames is None:
            self._startup_bytes += data
            data = self._receive_startup()
        if self._frames is not None and data:
            for kind, frame in self._frames.feed(data):
                self._handle(pg.read_frontend(kind, frame))

    def connectionLost(self, reason=None) -> None:
        """Drop the running job and all queued batches."""
        self.node.sessions.pop(self.pid, None)
        if self.pid:
            self.node.journal.record("close", self, busy=self._job is not None)
        if self._job is not None:
            self.node.drop(self._job)
            self._job = None
        self._queue.clear()

    def cancel(self) -> None:
        """A CancelRequest for this session."""
        self.node.journal.record("cancel", self, busy=self._job is not None)
        if self._job is None:
            return
        self._is_cancelled = True
        if self.node.drop(self._job):
            self._job = None
            self.node.counts["cancelled"] += 1
            self._send_error(cancelled())
            self._start_next()

    # --- startup

    def _receive_startup(self) -> bytes:
        """Handle startup packets; returns the bytes behind them, once the session is open."""
        while len(self._startup_bytes) >= pg.INT32.size:
            size = pg.INT32.unpack_from(self._startup_bytes)[0]
            if len(self._startup_bytes) < size:
                return b""
            body = self._startup_bytes[pg.INT32.size : size]
            self._startup_bytes = self._startup_bytes[size:]
            match pg.read_startup(body):
                case pg.EncryptionRequest():
                    self.transport.write(b"N")
                case pg.CancelRequest(pid, secret):
                    self._cancel_other(pid, secret)
                    return b""
                case pg.Startup(parameters):
                    self._open(parameters)
                    rest, self._startup_bytes = self._startup_bytes, b""
                    return rest
        return b""

    def _cancel_other(self, pid: int, secret: int) -> None:
        target = self.node.sessions.get(pid)
        if target is not None and target.secret == secret:
            target.cancel()
        self.transport.loseConnection()

    def _open(self, parameters: dict[str, str]) -> None:
        node = self.node
        self.application_name = parameters.get("application_name", "")
        self.pid = max(node.sessions, default=node.spec.id * PIDS_PER_NODE) + 1
        self.secret = node.model.rng.randrange(1, 2**31)
        node.sessions[self.pid] = self
        self._frames = pg.MessageSplitter(MAX_MESSAGE_BYTES)
        self.transport.write(
            pg.AUTHENTICATION_OK
            + pg.parameter_status("server_version", "15.0")
            + pg.parameter_status("client_encoding", "UTF8")
            + pg.parameter_status("standard_conforming_strings", "on")
            + pg.backend_key_data(self.pid, self.secret)
            + pg.ready_for_query("I")
        )
        node.journal.record("open", self)

    # --- batches

    def _handle(self, message: object) -> None:
        if isinstance(message, pg.Terminate):
            self.transport.loseConnection()
        elif isinstance(message, pg.Query):
            self._queue.append([message])
            self._start_next()
        elif isinstance(message, pg.Sync):
            self._queue.append(self._batch)
            self._batch = []
            self._start_next()
        else:
            self._batch.append(message)

    def _start_next(self) -> None:
        """Submit the next batch, unless a fault strikes first."""
        if self._job is not None or not self._queue:
            return
        batch = self._queue.popleft()
        faults, model = self.node.model.faults, self.node.model
        sql = " ".join(m.sql for m in batch if isinstance(m, pg.Parse | pg.Query))
        is_executed = any(isinstance(m, pg.Execute | pg.Query) for m in batch)
        self._is_cancelled = False
        self._record_statement(batch, sql, is_executed)
        self.node.counts["statements"] += 1
        if model.happens(faults.reset_before):
            self.node.journal.record("reset", self, ran=False)
            self.transport.abortConnection()
            return
        if model.happens(faults.errors):
            self.node.journal.record("error", self, state=INJECTED_ERROR)
            self._send_error(PgError(INJECTED_ERROR, "stand-in: told to fail"))
            return
        work = model.draw_work(_work_weight(sql, is_executed))
        self._job = Job(work, lambda: self._finish(batch))
        self.node.submit(self._job)

    def _record_statement(self, batch: list, sql: str, is_executed: bool) -> None:
        values = [
            value for message in batch if isinstance(message, pg.Bind) for value in message.values
        ]
        self.node.journal.record(
            "stmt" if is_executed else "describe",
            self,
            sql=sql[:JOURNAL_SQL_CHARACTERS],
            values=[shortened(value) for value in values[:JOURNAL_VALUES]],
        )

    def _finish(self, batch: list) -> None:
        """The service time of a batch is over: run it and answer, unless a fault strikes."""
        self._job = None
        faults, model, journal = self.node.model.faults, self.node.model, self.node.journal
        if self._is_cancelled:
            self._send_error(cancelled())
            self._start_next()
            return
        data, row_count, tag = answer(self.node, self, batch)
        journal.record("ran", self, rows=row_count, tag=tag)
        self.node.counts["answered"] += 1
        if model.happens(faults.lose) or self._is_ignored():
            return
        if model.happens(faults.reset_after):
            journal.record("reset", self, ran=True)
            reactor.callLater(RESET_AFTER_SECONDS, self.transport.abortConnection)
            return
        if row_count > 1 and model.happens(faults.reset_rows):
            journal.record("reset", self, ran=True)
            self.transport.write(data[: len(data) // 2])
            reactor.callLater(RESET_ROWS_SECONDS, self.transport.abortConnection)
            return
        self._send(data)
        self._start_next()

    def _is_ignored(self) -> bool:
        """Whether a fault keeps all answers from this router."""
        deaf_to = self.node.model.faults.deaf_to
        return bool(deaf_to) and deaf_to == self.application_name

    # --- output

    def _send_error(self, error: PgError) -> None:
        self._send(pg.error_response(error) + pg.ready_for_query("I"))

    def _send(self, data: bytes) -> None:
        one_way_ms = self.node.model.nature.one_way_ms
        if self.node.model.faults.vanish:
            return
        if one_way_ms:
            reactor.callLater(2 * one_way_ms / 1000, self.transport.write, data)
        else:
            self.transport.write(data)


def _work_weight(sql: str, is_executed: bool) -> float:
    """How many times the usual work a batch costs."""
    comment = split_leading_comment(sql)[0]
    if WEIGHT_COMMENT in comment:
        return float(comment.split(WEIGHT_COMMENT)[1].split()[0].rstrip("*/"))
    return 1.0 if is_executed else 0.0
