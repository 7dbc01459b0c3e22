"""A stand-in shard with millions of rows made on the fly: `python -m tansycrank.testbed.bulk_data
SPEC`. On loopback.

Table `bulk` on shard s: for i below `rows`, id = 10^9 + i * 16 + s, g = 10^7 + i % groups, v = 100
+ g % 900. All numbers have a fixed width, so that a row is one `%` and a client can check millions
of them. The node understands the statements a router sends for that table: columns, ORDER BY id,
LIMIT, DISTINCT g, v and GROUP BY g.
"""

from __future__ import annotations

import os
import re
import sys
from collections.abc import Iterator

import msgspec
from twisted.protocols.basic import LineReceiver

from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import cancelled
from tansycrank.testbed.process import listen, serve

ID_BASE, GROUP_BASE, STEP = 10**9, 10**7, 16
ROWS_A_BLOCK = 1500
TABLE = "id int8, g int8, v int4, pad text"
OIDS = {
    "id": types.INT8,
    "g": types.INT8,
    "v": types.INT4,
    "pad": types.TEXT,
    "count": types.INT8,
    "sum": types.INT8,
}
ITEM = re.compile(r"\b(count|sum|id|g|v|pad)\b")


class BulkSpec(msgspec.Struct):
    """One shard."""

    shard: int
    rows: int
    groups: int
    port: int = 0
    pad: int = 0  # bytes of the column `pad`
    die_after: int = 0  # rows after which the process dies, 0 for never


def value_of(group: int) -> int:
    """v of a row of this group (g without its base)."""
    return 100 + (GROUP_BASE + group) % 900


def template(columns: list[str], pad: int) -> bytes:
    """A DataRow frame with % places; all rows of it have one length."""
    widths = {
        "id": b"%010d",
        "g": b"%08d",
        "v": b"%03d",
        "count": b"%08d",
        "sum": b"%011d",
        "pad": b"x" * pad,
    }
    sizes = {"id": 10, "g": 8, "v": 3, "count": 8, "sum": 11, "pad": pad}
    body = pg.INT16.pack(len(columns))
    for name in columns:
        body += pg.INT32.pack(sizes[name]).replace(b"%", b"%%") + widths[name]
    length = 4 + 2 + sum(4 + sizes[name] for name in columns)
    return b"D" + pg.INT32.pack(length).replace(b"%", b"%%") + body


def rows_of(spec: BulkSpec, sql: str) -> tuple[list[str], Iterator[bytes]]:
    """(columns, blocks of frames) of a statement."""
    items = sql.split(" FROM ", 1)[0]
    columns = [ITEM.search(item)[1] for item in items.split(",") if ITEM.search(item)]
    one = re.search(r"id = '?(\d+)", sql)
    if one:
        group = GROUP_BASE + int(one[1]) % spec.groups
        known = {"id": int(one[1]), "g": group, "v": 100 + group % 900}
        return columns, iter([template(columns, 0) % tuple(known[c] for c in columns)])
    if set(columns) <= {"count", "sum"} and "GROUP BY" not in sql:
        known = {"count": spec.rows, "sum": spec.rows}  # sum: of ones
        row = template(columns, 0) % tuple(known[c] for c in columns)
        return columns, iter([row])
    limit = re.search(r"LIMIT \(?(\d+)", sql)
    if "GROUP BY" in sql or "DISTINCT" in sql:
        source, total = _groups(spec, columns), min(spec.groups, spec.rows)
    else:
        source, total = _plain(spec, columns), spec.rows
    if limit:
        total = min(total, int(limit[1]))
    return columns, _blocks(template(columns, spec.pad), source, total)


def _plain(spec: BulkSpec, columns: list[str]):
    groups = spec.groups

    def some(start: int, end: int) -> Iterator[tuple]:
        wanted = [c for c in columns if c != "pad"]
        if wanted == ["id", "g", "v"]:
            for i in range(start, end):
                g = GROUP_BASE + i % groups
                yield ID_BASE + i * STEP + spec.shard, g, 100 + g % 900
            return
        for i in range(start, end):
            g = GROUP_BASE + i % groups
            known = {"id": ID_BASE + i * STEP + spec.shard, "g": g, "v": 100 + g % 900}
            yield tuple(known[c] for c in wanted)

    return some


def _groups(spec: BulkSpec, columns: list[str]):
    least, more = divmod(spec.rows, spec.groups)

    def some(start: int, end: int) -> Iterator[tuple]:
        for g in range(start, end):
            count = least + (g < more)
            v = value_of(g)
            known = {"g": GROUP_BASE + g, "v": v, "count": count, "sum": count * v}
            yield tuple(known[c] for c in columns)

    return some


def _blocks(form: bytes, some, total: int) -> Iterator[bytes]:
    for start in range(0, total, ROWS_A_BLOCK):
        end = min(start + ROWS_A_BLOCK, total)
        values = [v for row in some(start, end) for v in row]
        yield form * (end - start) % tuple(values)


class BulkSession(LineReceiver):
    """A router's connection: one batch at a time, rows pulled as the socket takes them."""

    def __init__(self, spec: BulkSpec) -> None:
        self.spec, self.frames, self.started = spec, None, b""
        self.sql, self.source, self.sent = "", None, 0

    def connectionMade(self) -> None:
        """Start once the connection is up."""
        self.setRawMode()
        self.transport.setTcpNoDelay(True)

    def rawDataReceived(self, data: bytes) -> None:
        """Read bytes from the peer."""
        if self.frames is None:
            self.started += data
            size = pg.INT32.unpack_from(self.started)[0]
            if len(self.started) < size:
                return
            body, data = self.started[4:size], self.started[size:]
            if isinstance(pg.read_startup(body), pg.CancelRequest):
                _cancel(pg.read_startup(body))
                self.transport.loseConnection()
                return
            self.frames = pg.MessageSplitter(1 << 20)
            SESSIONS[id(self) & 0x7FFFFFFF] = self
            key = pg.backend_key_data(id(self) & 0x7FFFFFFF, 1)
            self.transport.write(pg.AUTHENTICATION_OK + key + pg.ready_for_query("I"))
        for kind, frame in self.frames.feed(data):
            message = pg.read_frontend(kind, frame)
            if isinstance(message, pg.Parse | pg.Query):
                self.sql, self.simple = message.sql, isinstance(message, pg.Query)
            if isinstance(message, pg.Sync | pg.Query):
                self._start()

    def connectionLost(self, reason=None) -> None:
        """Release what belongs to the connection."""
        self.source = None
        SESSIONS.pop(id(self) & 0x7FFFFFFF, None)

    def _start(self) -> None:
        columns, self.source = rows_of(self.spec, self.sql)
        self.sent = 0
        fields = [pg.Field(c, OIDS[c]) for c in columns]
        head = b"" if self.simple else pg.PARSE_COMPLETE + pg.BIND_COMPLETE
        self.transport.write(head + pg.row_description(fields))
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Twisted's pull: the socket has taken what it was given."""
        if self.source is None:
            return
        block = next(self.source, None)
        if block is None:
            self._end(pg.command_complete("SELECT 0"))
            return
        self.sent += ROWS_A_BLOCK
        self.transport.write(block)
        if self.spec.die_after and self.sent >= self.spec.die_after:
            os._exit(9)

    def stopProducing(self) -> None:
        """Stop writing for good."""
        self.source = None

    def _end(self, last: bytes) -> None:
        self.source = None
        self.transport.unregisterProducer()
        self.transport.write(last + pg.ready_for_query("I"))

    def cancel(self) -> None:
        """Stop the rows."""
        if self.source is not None:
            self._end(pg.error_response(cancelled()))


SESSIONS: dict[int, BulkSession] = {}


def _cancel(request: pg.CancelRequest) -> None:
    session = SESSIONS.get(request.pid)
    if session is not None:
        session.cancel()


def main() -> None:
    """Serve one shard."""
    spec = msgspec.json.decode(sys.argv[1], type=BulkSpec)
    serve(port=listen(spec.port, lambda: BulkSession(spec)))


if __name__ == "__main__":
    main()
