"""Hostile clients: `python -m tansycrank.testbed.neighbours.hostile SPEC`, SPEC in JSON.

Each kind is one picture of an overload from outside: many slow connections, one connection at full
speed, or clients that leave and return. All of them go on until `seconds` are over.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

CROWD = 450  # connections of a crowd
SHORT_FIELDS = 2000  # of one head, which stays under 16 KiB
SINGLE_BYTE_CHUNKS = 10_000  # of one body
HALF_BODY_BYTES = 64 * 1024  # of a body of which one byte more is announced
SLOW_BYTE_INTERVAL = 0.1  # s
REQUESTS_AT_ONCE = 300
READ_BYTES = 1 << 16
LEAVES_AFTER = 0.01  # s after sending
RETURNS_AFTER = 0.01  # s after leaving
LEAVES_FULL_PIPELINE_AFTER = 0.02  # s
LEAVING_CLIENTS = 8
# Prefixes of the ids of requests that are not idempotent.
UNSAFE_KINDS = ("returning_ids-", "full_pipelines-")


class HostileSpec(msgspec.Struct):
    """What to play. `kind` is one of `KINDS`."""

    kind: str
    port: int
    seconds: float
    seed: int = 1


def request(id: str, name: str = "look", body: str | None = None, fields: str = "") -> bytes:
    """One request of shard 0, sound unless an argument makes it something else."""
    if body is None:
        body = json.dumps({"shards": [{"shard": 0, "weight": 1}], "q": "c41e"})
    return (
        f"POST /{name} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n"
        f"{fields}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def chunked_head(id: str) -> bytes:
    """The head of a request whose body comes in chunks."""
    return (
        f"POST /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def short_fields() -> bytes:
    """Header or trailer fields of a few bytes, each with a name of its own."""
    return b"".join(b"%x:%x\r\n" % (number, number & 15) for number in range(SHORT_FIELDS))


class HostileClients:
    """The clients of one kind; see `KINDS`."""

    def __init__(self, spec: HostileSpec) -> None:
        self._spec = spec
        self._rng = random.Random(spec.seed)
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Play the kind until the time is over."""
        with suppress(TimeoutError):
            await asyncio.wait_for(KINDS[self._spec.kind](self), self._spec.seconds)

    def _id(self) -> str:
        return f"{self._spec.kind}-{self._spec.seed}-{next(self._numbers)}"

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self._spec.port)

    async def _repeat(self, action: Callable[[], Awaitable[None]]) -> None:
        """Run an action again and again; a connection that the router ends is no error."""
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await action()
            await asyncio.sleep(0)

    async def _crowd(self, action: Callable[[], Awaitable[None]]) -> None:
        await asyncio.gather(*(self._repeat(action) for _ in range(CROWD)))

    async def _send_and_stay(self, data: bytes) -> None:
        """Send bytes on a new connection, then stay silent until the router ends it."""
        reader, writer = await self._connect()
        try:
            writer.write(data)
            while await reader.read(READ_BYTES):
                pass
        finally:
            writer.close()

    # --- many slow connections ----------------------------------------------------------

    async def short_header_fields(self) -> None:
        """Heads of very many short fields, without an end."""
        data = request("short")[: -len("\r\n\r\n")].partition(b"Content-Length")[0] + short_fields()
        await self._crowd(lambda: self._send_and_stay(data))

    async def short_trailer_fields(self) -> None:
        """The same behind the last chunk of a body."""
        data = chunked_head("short") + b"1\r\nx\r\n0\r\n" + short_fields()
        await self._crowd(lambda: self._send_and_stay(data))

    async def single_byte_chunks(self) -> None:
        """Bodies in chunks of one byte, without an end."""
        data = chunked_head("chunks") + b"1\r\nx\r\n" * SINGLE_BYTE_CHUNKS
        await self._crowd(lambda: self._send_and_stay(data))

    async def half_bodies(self) -> None:
        """Large bodies that stop before their last byte."""
        head = request("half", body="x" * HALF_BODY_BYTES)
        await self._crowd(lambda: self._send_and_stay(head[:-1]))

    async def slow_bytes(self) -> None:
        """Requests that are written one byte at a time."""

        async def write_slowly() -> None:
            _, writer = await self._connect()
            try:
                for byte in request(self._id()):
                    writer.write(bytes([byte]))
                    await writer.drain()
                    await asyncio.sleep(SLOW_BYTE_INTERVAL)
            finally:
                writer.close()

        await self._crowd(write_slowly)

    async def idle_connections(self) -> None:
        """Connections on which nothing is ever sent."""
        await self._crowd(lambda: self._send_and_stay(b""))

    # --- one connection at full speed ---------------------------------------------------

    async def _flood(self, make: Callable[[], bytes], reads: bool = True) -> None:
        """Write requests without a pause on one connection; a new one once it has ended."""

        async def flood() -> None:
            reader, writer = await self._connect()
            discarding = asyncio.ensure_future(self._discard(reader)) if reads else None
            try:
                while not writer.is_closing():
                    writer.write(b"".join(make() for _ in range(100)))
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                writer.transport.abort()
                if discarding is not None:
                    discarding.cancel()

        await self._repeat(flood)

    @staticmethod
    async def _discard(reader: asyncio.StreamReader) -> None:
        with suppress(OSError):
            while await reader.read(READ_BYTES):
                pass

    async def unknown_classes(self) -> None:
        """Requests of classes that do not exist, each with another name."""
        await self._flood(lambda: request("bad", name=f"class-{next(self._numbers)}"))

    async def undecodable_bodies(self) -> None:
        """Requests whose body is no JSON."""
        await self._flood(lambda: request(self._id(), body="{no json}"))

    async def small_requests(self) -> None:
        """Status requests, the smallest that there are."""
        await self._flood(lambda: b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")

    async def sound_requests(self) -> None:
        """Sound requests, each with another id and another object."""
        await self._flood(
            lambda: request(self._id(), name=f"look?obj={self._rng.getrandbits(64):016x}")
        )

    async def sound_requests_unread(self) -> None:
        """The same from a client that reads no answer."""
        await self._flood(lambda: request(self._id()), reads=False)

    async def new_connections(self) -> None:
        """New connections at full speed, each with a line that is not HTTP."""

        async def connect_and_leave() -> None:
            _, writer = await self._connect()
            writer.write(b"hello\r\n\r\n")
            writer.close()

        await asyncio.gather(*(self._repeat(connect_and_leave) for _ in range(16)))

    # --- clients that leave -------------------------------------------------------------

    async def returning_ids(self) -> None:
        """Clients that leave before their answer and send the same id again at once."""

        async def leave_and_return() -> None:
            data = request(self._id(), name="book")
            _, writer = await self._connect()
            writer.write(data)
            await asyncio.sleep(LEAVES_AFTER)
            writer.close()
            await asyncio.sleep(RETURNS_AFTER)
            reader, writer = await self._connect()
            writer.write(data)
            await reader.readuntil(b"\r\n\r\n")
            writer.close()

        await asyncio.gather(*(self._repeat(leave_and_return) for _ in range(LEAVING_CLIENTS)))

    async def full_pipelines(self) -> None:
        """Clients that send very many requests at once, read nothing, and leave."""

        async def send_and_leave() -> None:
            _, writer = await self._connect()
            writer.write(b"".join(request(self._id(), "book") for _ in range(REQUESTS_AT_ONCE)))
            await asyncio.sleep(LEAVES_FULL_PIPELINE_AFTER)
            writer.transport.abort()

        await self._repeat(send_and_leave)


KINDS: dict[str, Callable[[HostileClients], Awaitable[None]]] = {
    kind.__name__: kind
    for kind in (
        HostileClients.short_header_fields,
        HostileClients.short_trailer_fields,
        HostileClients.single_byte_chunks,
        HostileClients.half_bodies,
        HostileClients.slow_bytes,
        HostileClients.idle_connections,
        HostileClients.unknown_classes,
        HostileClients.undecodable_bodies,
        HostileClients.small_requests,
        HostileClients.sound_requests,
        HostileClients.sound_requests_unread,
        HostileClients.new_connections,
        HostileClients.returning_ids,
        HostileClients.full_pipelines,
    )
}


def main() -> None:
    """Play one kind."""
    asyncio.run(HostileClients(msgspec.json.decode(sys.argv[1], type=HostileSpec)).run())


if __name__ == "__main__":
    main()
