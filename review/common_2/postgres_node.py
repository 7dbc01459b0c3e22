"""A stand-in data node that speaks the PostgreSQL protocol: `postgres_node.py SPEC`, in JSON.

It holds trips of all shards. A statement on `history` gets many rows, sent at an even pace; any
other gets one row a shard. Each event is a JSON line on standard output.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import struct
import sys

import postgres_wire as wire

COLUMNS = [("id", wire.INT8_OID), ("note", wire.TEXT_OID)]
SHARD = re.compile(r"\bs(\d{4})\.")
ID = re.compile(r"\bid = (\d+)\b")
HISTORY_ROWS = 20_000
ROWS_PER_WRITE, WRITE_PAUSE = 400, 0.02  # rows sent together, and s until the next ones
NOTE = "a trip of the evening shift, paid in cash " * 4
PARENT_CHECK_SECONDS = 0.5
SHOWN_CHARACTERS = 500  # of a statement, in an event


def tell(**event: object) -> None:
    """One event for the case."""
    print(json.dumps(event), flush=True)


class Session:
    """One connection of a router."""

    numbers = 0
    by_number: dict[int, Session] = {}  # noqa: RUF012

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        Session.numbers += 1
        self.number = Session.numbers
        self.is_cancelled = False

    async def serve(self) -> None:
        """Handle the startup, then batches of messages up to a Sync each."""
        code, body = await wire.read_startup(self.reader)
        if code == wire.ENCRYPTION_CODE:
            self.writer.write(b"N")
            code, body = await wire.read_startup(self.reader)
        if code == wire.CANCEL_CODE:
            target = Session.by_number.get(struct.unpack("!ii", body)[0])
            if target is not None:
                target.is_cancelled = True
            return
        Session.by_number[self.number] = self
        login = wire.message(b"R", struct.pack("!i", 0))
        login += wire.message(b"K", struct.pack("!ii", self.number, 1))
        self.writer.write(login + wire.message(b"Z", b"I"))
        sql, batch = "", b""
        while True:
            kind, body = await wire.read_message(self.reader)
            batch += kind
            if kind == b"P":
                sql = body.split(b"\0")[1].decode()
            elif kind == b"X":
                return
            elif kind == b"S":
                self.is_cancelled = False
                await self.answer(sql, b"E" in batch)
                sql, batch = "", b""

    async def answer(self, sql: str, is_executed: bool) -> None:
        """Answer one batch."""
        tell(event="statement", session=self.number, sql=sql[:SHOWN_CHARACTERS])
        if not is_executed:
            oids = wire.message(b"t", struct.pack("!h", 0))
            reply = wire.message(b"1") + oids + wire.row_description(COLUMNS)
            self.writer.write(reply + wire.message(b"Z", b"I"))
            return
        head = wire.message(b"1") + wire.message(b"2") + wire.row_description(COLUMNS)
        self.writer.write(head)
        count = 0
        for rows in self.rows(sql):
            self.writer.write(b"".join(map(wire.data_row, rows)))
            await self.writer.drain()
            count += len(rows)
            if self.is_cancelled:
                error = wire.text("SERROR") + wire.text("C57014") + wire.text("Mcancelled") + b"\0"
                self.writer.write(wire.message(b"E", error) + wire.message(b"Z", b"I"))
                tell(event="cancelled", session=self.number, rows=count)
                return
            if count > 1:
                await asyncio.sleep(WRITE_PAUSE)
        self.writer.write(wire.message(b"C", wire.text(f"SELECT {count}")))
        self.writer.write(wire.message(b"Z", b"I"))
        await self.writer.drain()
        tell(event="done", session=self.number, rows=count)

    @staticmethod
    def rows(sql: str):
        """The rows of a statement, in groups that are sent together."""
        shard, wanted = SHARD.search(sql), ID.search(sql)
        if "history" not in sql:
            yield [(wanted[1] if wanted else "0", f"trip on shard {int(shard[1])}")]
            return
        for first in range(0, HISTORY_ROWS, ROWS_PER_WRITE):
            yield [(str(first + i), NOTE) for i in range(ROWS_PER_WRITE)]


async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One connection."""
    session = Session(reader, writer)
    try:
        await session.serve()
    except (OSError, asyncio.IncompleteReadError):
        pass  # the router went
    finally:
        Session.by_number.pop(session.number, None)
        writer.close()


async def main() -> None:
    """Serve until killed, or until the case is gone."""
    spec = json.loads(sys.argv[1])
    parent = os.getppid()
    server = await asyncio.start_server(handle, "127.0.0.1", spec.get("port", 0))
    tell(event="listening", port=server.sockets[0].getsockname()[1])
    while os.getppid() == parent:
        await asyncio.sleep(PARENT_CHECK_SECONDS)


if __name__ == "__main__":
    asyncio.run(main())
