"""A stand-in of service discovery: `python -m tansycrank.testbed.soak.discovery SPEC`, SPEC in
JSON.

Each router has ports of its own, by which it is known. Orders on the control line: {"version": n,
"entry": {...}} for a change, {"reset": true} to reset all open watches, {"crowded": bool} whether
calls are turned away with 503.
"""

from __future__ import annotations

import asyncio
import re
import sys

import msgspec

from tansycrank.clock import monotonic_ms
from tansycrank.testbed.soak.process import Journal, announce, control, listen, until_orphaned
from tansycrank.testbed.soak.records import Told

EOF_BEHIND = 0.002  # s in which an end of the connection that lies behind a request is read
BEAT = 2.0  # s between words on a watch, as long as nothing changes
AFTER = re.compile(r"[?&]after=(-?\d+)")


class DiscoverySpec(msgspec.Struct):
    """How to start it: the state it begins with, and the ports of each router."""

    journal: str
    version: int
    entries: list[dict]
    ports: list[list[int]]
    control: int = 0


class Discovery:
    """The list, its changes, and the watches on it."""

    def __init__(self, spec: DiscoverySpec) -> None:
        self.journal = Journal(spec.journal)
        self.first = self.version = spec.version
        self.entries = {entry["id"]: entry for entry in spec.entries}
        self.changes: list[tuple[int, dict]] = []
        self.changed = asyncio.Condition()
        self.watches: set[asyncio.StreamWriter] = set()
        self._changes: set[asyncio.Future] = set()  # tasks that still run
        self.crowded = False

    def order(self, order: dict) -> None:
        """One order of the control line."""
        if order.get("reset"):
            for writer in list(self.watches):
                writer.transport.abort()
        self.crowded = order.get("crowded", self.crowded)
        if "entry" in order:
            change = asyncio.ensure_future(self.change(order["version"], order["entry"]))
            self._changes.add(change)
            change.add_done_callback(self._changes.discard)

    async def change(self, version: int, entry: dict) -> None:
        """A change is known from now on."""
        async with self.changed:
            self.version = version
            if entry["state"] == "terminated":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
            self.changes.append((version, entry))
            self.changed.notify_all()

    # --- connections ------------------------------------------------------------------

    async def serve(
        self, router: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Requests of one router, one after another."""
        while head := await reader.readuntil(b"\r\n\r\n"):
            await asyncio.sleep(EOF_BEHIND)
            if reader.at_eof():
                return (
                    None  # it left while this process hung, say: nobody is told what is written now
                )
            if self.crowded:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                continue
            target = head.split(b" ", 2)[1].decode()
            if "watch=1" in target:
                return await self.watch(router, int(AFTER.search(target)[1]), reader, writer)
            body = self.listing(router, self.version, list(self.entries.values()), True)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
        return None

    async def watch(
        self, router: int, after: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Tell changes until the connection ends, on either side: what nobody reads is not told."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.add(writer)
        try:
            known = (
                self.version
            )  # the first word: changes after what is held, or else the whole list
            if after < self.first:  # changes before this process's start are not known here
                first = self.listing(router, known, list(self.entries.values()), True)
            else:
                news = [entry for version, entry in self.changes if version > after]
                first = self.listing(router, known, news, False)
            self.chunk(writer, first + b"\n")
            while not writer.is_closing() and not reader.at_eof():
                news = [entry for version, entry in self.changes if version > known]
                if news:
                    known = self.version
                    self.chunk(writer, self.listing(router, known, news, False) + b"\n")
                    await writer.drain()
                elif not await self.wait(known):
                    self.chunk(writer, b"\n")
                    await writer.drain()
        finally:
            self.watches.discard(writer)

    async def wait(self, known: int) -> bool:
        """Until there is news; False if there was none for the time of a beat."""
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.version > known), BEAT)
                return True
            except TimeoutError:
                return False

    def listing(self, router: int, version: int, entries: list[dict], full: bool) -> bytes:
        """The bytes of a listing, which counts as told from now on."""
        states = {entry["id"]: entry["state"] for entry in entries}
        self.journal.note(Told(monotonic_ms(), router, version, states, full))
        return msgspec.json.encode({"version": version, "full": full, "servers": entries})

    @staticmethod
    def chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        """One chunk of a watch."""
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))


async def main() -> None:
    """Serve until killed, or until the parent is gone."""
    spec = msgspec.json.decode(sys.argv[1], type=DiscoverySpec)
    discovery = Discovery(spec)

    def for_router(router: int):
        return lambda reader, writer: discovery.serve(router, reader, writer)

    ports = [
        [await listen(for_router(router), port) for port in wanted]
        for router, wanted in enumerate(spec.ports)
    ]
    announce(ports=ports, control=await control(discovery.order, spec.control))
    await until_orphaned()


if __name__ == "__main__":
    asyncio.run(main())
