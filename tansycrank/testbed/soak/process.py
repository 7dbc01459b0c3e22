"""What the stand-in processes of a soak share: ports told on standard output, an end with their
parent.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec

from tansycrank.testbed.soak.records import Record

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
LIMIT = 1 << 20  # bytes of one line or frame


class Journal:
    """Appends records to a file, unbuffered: what was written stays when the process is killed."""

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("ab", buffering=0)

    def note(self, record: Record) -> None:
        """One line."""
        self._file.write(msgspec.json.encode(record) + b"\n")


async def listen(handler: Handler, port: int = 0) -> int:
    """Serve connections on loopback; returns the port, which the system picks for 0."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other side went, or this process ends
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(handle, "127.0.0.1", port, backlog=512, limit=LIMIT)
    return server.sockets[0].getsockname()[1]


async def control(orders: Callable[[dict], None], port: int = 0) -> int:
    """A control line: JSON orders, a line each, no answer. Returns its port."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            orders(msgspec.json.decode(line))

    return await listen(handle, port)


def announce(**ports: object) -> None:
    """Tell the parent where this process listens."""
    print(msgspec.json.encode(ports).decode(), flush=True)


async def until_orphaned() -> None:
    """Run until whoever started this process is gone: a stand-in must not outlive it."""
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.5)
