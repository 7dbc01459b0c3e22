"""A client of the SQL router: the simple query protocol, one statement at a time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import postgres_wire as wire
from record import Record

LOGIN_SECONDS = 10.0


@dataclass
class Answer:
    """What came for a statement; `final` is its last word, empty as long as there is none."""

    rows: list[tuple[str | None, ...]] = field(default_factory=list)
    row_count: int = 0
    byte_count: int = 0
    final: str = ""


class PostgresClient:
    """One session. `loop_time` of the last byte is in `last_received_at`."""

    def __init__(self, name: str, record: Record, keeps_rows: bool = True) -> None:
        self.name = name
        self.last_received_at = 0.0  # s of the event loop's clock
        self.answer = Answer()  # to the running or last statement
        self._record, self._keeps_rows = record, keeps_rows
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int) -> None:
        """Log in."""
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._writer.write(wire.startup(self.name))
        kind = b""
        while kind != b"Z":
            kind, body = await asyncio.wait_for(wire.read_message(self._reader), LOGIN_SECONDS)
            if kind == b"E":
                raise ConnectionError(wire.read_error(body))

    async def ask(self, sql: str, shown: str = "") -> Answer:
        """Send a statement and read to the end of its answer; the record has `shown` of it."""
        self._record.note(f"{self.name} sends: {shown or sql}")
        self._writer.write(wire.message(b"Q", wire.text(sql)))
        return await self._read_answer()

    async def prepare(self, sql: str) -> Answer:
        """Prepare a statement, as drivers do: Parse, Describe and Sync; read their answer."""
        self._record.note(f"{self.name} prepares: {sql}")
        parse = wire.message(b"P", b"\0" + wire.text(sql) + b"\0\0")
        self._writer.write(parse + wire.message(b"D", b"S\0") + wire.message(b"S"))
        return await self._read_answer()

    async def _read_answer(self) -> Answer:
        self.answer = answer = Answer()
        error = tag = ""
        try:
            while True:
                kind, body = await wire.read_message(self._reader)
                self.last_received_at = asyncio.get_running_loop().time()
                answer.byte_count += len(body) + 5
                if kind == b"D":
                    answer.row_count += 1
                    if self._keeps_rows:
                        answer.rows.append(wire.read_row(body))
                elif kind == b"C":
                    tag = body[:-1].decode()
                elif kind == b"E":
                    error = wire.read_error(body)
                elif kind == b"Z":
                    break
            answer.final = f"error {error}" if error else f"answered {tag}"
        except (OSError, asyncio.IncompleteReadError) as problem:
            closed = f"connection closed ({type(problem).__name__})"
            answer.final = f"error {error}, {closed}" if error else closed
        self._record.note(f"{self.name} got {answer.row_count} rows, then: {answer.final}")
        return answer

    def close(self) -> None:
        """Leave."""
        if self._writer is not None:
            self._writer.close()
