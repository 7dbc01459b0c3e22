"""Clients of the routers: `python -m tansycrank.testbed.soak.clients SPEC`, SPEC in JSON. Bounded
in count.

Orders on the control line: {"router": n, "accepts": bool} whether new connections may be made to a
router, {"burst": bool} whether all ask without a pause, {"leaving": n, "leaves": bool} whether a
router is on its way to its end: its kept connections are used without a pause, {"crowd": n,
"stays": bool} whether many idle connections to a router are held, {"stop": true}: finish what is
open, write the records and end. `kill_within` goes with {"leaves": true}: s until its SIGKILL.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import sys
from contextlib import suppress
from pathlib import Path

import msgspec

from tansycrank.clock import monotonic_ms
from tansycrank.listening import is_closed_by_peer
from tansycrank.testbed.soak import records
from tansycrank.testbed.soak.plan import EFFECTS, SHARDS
from tansycrank.testbed.soak.process import announce, control, until_orphaned
from tansycrank.testbed.soak.records import ClientRecord, Ending, HalfRequest

MOST_SHARDS = 4  # of one request
THINK = 0.1  # s between two requests of a client, in the mean
THINK_IN_A_BURST = 0.01
THINK_WHILE_LEAVING = 0.01
LATE_FINISHERS = 6  # requests of this process that are complete just before a router is killed
LAST_MOMENT = 0.13  # s before the kill from which on they are
CROWD_CONNECTIONS = 400  # of this process: several times what a router may hold
BURST_CLIENTS = 60  # further ones of this process while a burst lasts
LEAVES, STOPS_HALFWAY = 0.08, 0.02  # shares of requests
LEAVES_WITHIN = 0.06  # s after sending, so that its sub-requests wait, or have just gone out
DEADLINES = (0.02, 0.15, 0.5, 1.0, 1.0)  # of the longest
LONG_AFTER = 3.0  # s after its deadline until which an answer is waited for
HALFWAY = 3.5  # s that a client which stopped halfway stays
IN_TWO_PIECES = 0.02  # share of requests
OPEN_CHECK_INTERVAL = 0.01  # s between looks at whether connections with open requests still stand


class Hit(msgspec.Struct):
    """The value of one shard."""

    shard: int
    doc: str


class Answer(msgspec.Struct):
    """The body of an answer with status 200."""

    complete: bool
    hits: list[Hit]


class ClientsSpec(msgspec.Struct):
    """How to start them. `ports` are the routers'; times are ms."""

    name: str
    folder: str
    seed: int
    clients: int
    ports: list[int]
    give_up: float


class Connection:
    """One kept connection to a router."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False

    @property
    def is_open(self) -> bool:
        """Whether the kernel has received no end of it yet, whatever this process has read."""
        return not is_closed_by_peer(self.writer.get_extra_info("socket"))

    def close(self, reset: bool = False) -> None:
        """End it, with FIN or RST."""
        if reset:
            linger = struct.pack("ii", 1, 0)
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        self.writer.close()

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        """Status, headers and body of the next answer. Raises OSError or EOFError where it ends
        before.
        """
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split(" ")[1]), headers, body


class Clients:
    """All clients of this process."""

    def __init__(self, spec: ClientsSpec) -> None:
        self.spec, self.rng = spec, random.Random(spec.seed)
        self.accepts = [True] * len(spec.ports)
        self.stopping = asyncio.Event()
        self.burst: asyncio.Event | None = None  # set when the burst that goes on is over
        self.extra: list[asyncio.Task] = []
        self.leaving: set[int] = set()  # routers on their way to their end
        self.crowds: dict[int, list[socket.socket]] = {}  # idle connections by router
        self.numbers = 0
        self.waiting: dict[Connection, ClientRecord] = {}  # sent and not ended
        self.asked: list[ClientRecord] = []
        self.halves: list[HalfRequest] = []

    def order(self, order: dict) -> None:
        """One order of the control line."""
        if order.get("stop"):
            self.stopping.set()
        if "burst" in order:
            self.set_burst(order["burst"])
        if "leaving" in order:
            change = self.leaving.add if order["leaves"] else self.leaving.discard
            change(order["leaving"])
            if order["leaves"]:
                self.start_late_finishers(order["leaving"], order["kill_within"])
        if "crowd" in order:
            self.set_crowd(order["crowd"], order["stays"])
        if "router" in order:
            self.accepts[order["router"]] = order["accepts"]

    def set_burst(self, on: bool) -> None:
        """Further clients ask from now on, or no longer."""
        if on and self.burst is None and not self.stopping.is_set():
            self.burst = asyncio.Event()
            clients = (self.client(THINK_IN_A_BURST, self.burst) for _ in range(BURST_CLIENTS))
            self.extra += [asyncio.ensure_future(client) for client in clients]
        elif not on and self.burst is not None:
            self.burst.set()
            self.burst = None

    def set_crowd(self, router: int, stays: bool) -> None:
        """Many idle connections to a router, from now on or no longer."""
        for connection in self.crowds.pop(router, []):
            connection.close()
        if stays:
            self.crowds[router] = [
                start_connecting(self.spec.ports[router]) for _ in range(CROWD_CONNECTIONS)
            ]

    def start_late_finishers(self, router: int, kill_within: float) -> None:
        """Requests that begin now and are complete in the last moment before a router is killed."""
        if self.stopping.is_set():
            return
        for _ in range(LATE_FINISHERS):
            wait = kill_within - self.rng.uniform(0.0, LAST_MOMENT)
            self.extra.append(asyncio.ensure_future(self.finish_late(router, wait)))

    async def finish_late(self, router: int, wait: float) -> None:
        """Send a request but for its last byte, and that after `wait` seconds."""
        connection = await self.connect(router)
        if connection is None:
            return
        data, record = self.next_request(router)
        connection.used = True  # it may be closed for the time that the request takes
        with suppress(OSError):
            connection.writer.write(data[:-1])
            await asyncio.sleep(wait)
            connection.writer.write(data[-1:])
        record.sent = monotonic_ms()
        await self.hear(connection, record, LONG_AFTER)
        connection.close()

    async def watch_open(self) -> None:
        """Note in the record of each request that waits when its connection was last open."""
        while True:
            for connection, record in self.waiting.items():
                now = monotonic_ms()
                if connection.is_open:
                    record.seen_open = now
            await asyncio.sleep(OPEN_CHECK_INTERVAL)

    async def run(self) -> None:
        """All clients, until told to stop."""
        watching = asyncio.ensure_future(self.watch_open())
        await asyncio.gather(*(self.client(THINK, self.stopping) for _ in range(self.spec.clients)))
        self.set_burst(False)
        await asyncio.gather(*self.extra)
        watching.cancel()
        folder = Path(self.spec.folder)
        records.write(folder / f"{self.spec.name}.jsonl", self.asked)
        records.write(folder / f"{self.spec.name}-halves.jsonl", self.halves)

    async def client(self, think: float, over: asyncio.Event) -> None:
        """One client until this is over: one request at a time, its connections kept."""
        kept: dict[int, Connection] = {}
        while not over.is_set():
            leaving = [router for router in kept if router in self.leaving]
            if leaving:
                await asyncio.sleep(self.rng.expovariate(1 / THINK_WHILE_LEAVING))
                await self.exchange(leaving[0], kept.pop(leaving[0]), kept)
                continue
            await asyncio.sleep(self.rng.expovariate(1 / think))
            router = self.rng.randrange(len(self.spec.ports))
            if self.rng.random() < STOPS_HALFWAY:
                await self.stop_halfway(router)
            else:
                await self.ask(router, kept)
        for connection in kept.values():
            connection.close()

    async def connect(self, router: int) -> Connection | None:
        """A new connection, if there may be one."""
        if not self.accepts[router]:
            return None
        try:
            return Connection(*await asyncio.open_connection("127.0.0.1", self.spec.ports[router]))
        except OSError:
            return None

    async def ask(self, router: int, kept: dict[int, Connection]) -> None:
        """One request, sent once more on a new connection where it crossed the end of a kept
        one.
        """
        connection = kept.pop(router, None)
        if connection and await self.exchange(router, connection, kept) is not Ending.CROSSED:
            return
        if connection := await self.connect(router):
            await self.exchange(router, connection, kept)

    async def exchange(
        self, router: int, connection: Connection, kept: dict[int, Connection]
    ) -> Ending:
        """Send a request, hear its answer, keep the connection if it goes on; how that ended."""
        data, record = self.next_request(router)
        leaves = self.rng.random() < LEAVES
        with suppress(OSError):  # `hear` sees how it ended
            await self.send(connection, data)
            record.sent = monotonic_ms()
        if leaves:
            wait = self.rng.uniform(0.0, LEAVES_WITHIN)
        else:
            wait = record.deadline / 1000 + LONG_AFTER
        if await self.hear(connection, record, wait, leaves):
            kept[router] = connection
        return record.ending

    def next_request(self, router: int) -> tuple[bytes, ClientRecord]:
        """The bytes of a request, and a record of it that is not complete."""
        name, shards = self.rng.choice(list(EFFECTS)), self.some_shards()
        self.numbers += 1
        id = f"{self.spec.name}-{router}-{self.numbers}"
        deadline = int(self.rng.choice(DEADLINES) * self.spec.give_up)
        record = ClientRecord(
            id, router, EFFECTS[name], shards, 0.0, deadline, 0.0, Ending.NO_ANSWER
        )
        return request_bytes(id, name, shards, deadline), record

    async def hear(
        self, connection: Connection, record: ClientRecord, wait: float, leaves: bool = False
    ) -> bool:
        """Record how a request ends, within `wait` s; whether its connection goes on."""
        goes_on = False
        self.waiting[connection] = record
        try:
            status, headers, body = await asyncio.wait_for(connection.answer(), wait)
            record.ending, record.detail = judge(record.request, record.shards, status, body)
            goes_on = headers.get("connection", "").lower() != "close"
            connection.used = True
            if not goes_on:
                connection.close()
        except TimeoutError:
            record.ending = Ending.LEFT if leaves else Ending.NO_ANSWER
            connection.close(reset=self.rng.random() < 0.5)
        except (OSError, EOFError) as problem:
            may_cross = connection.used or record.router in self.crowds  # it may be shut unread
            crossed = may_cross and not getattr(problem, "partial", b"")
            record.ending = Ending.CROSSED if crossed else Ending.NO_ANSWER
            record.detail = repr(problem)
            connection.close()
        del self.waiting[connection]
        record.ended = monotonic_ms()
        record.sent = record.sent or record.ended
        self.asked.append(record)
        return goes_on

    async def send(self, connection: Connection, data: bytes) -> None:
        """A request in one piece, or in two."""
        if self.rng.random() < IN_TWO_PIECES:
            cut = self.rng.randrange(1, len(data))
            connection.writer.write(data[:cut])
            await asyncio.sleep(0.02)
            data = data[cut:]
        connection.writer.write(data)
        await connection.writer.drain()

    def some_shards(self) -> tuple[int, ...]:
        """The shards of a request."""
        return tuple(sorted(self.rng.sample(range(SHARDS), self.rng.randint(1, MOST_SHARDS))))

    async def stop_halfway(self, router: int) -> None:
        """Stop in the middle of a request, and stay: an error or a close is owed."""
        connection = await self.connect(router)
        if connection is None:
            return
        data = request_bytes("half", "look", self.some_shards(), 500)
        connection.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
        sent = monotonic_ms()
        ended = False
        with suppress(OSError, TimeoutError):
            await asyncio.wait_for(connection.reader.read(1), HALFWAY)
            ended = True
        self.halves.append(HalfRequest(router, sent, monotonic_ms(), ended))
        connection.close()


def start_connecting(port: int) -> socket.socket:
    """A connection to loopback that is not waited for."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.connect_ex(("127.0.0.1", port))
    return connection


def request_bytes(id: str, name: str, shards: tuple[int, ...], deadline: int) -> bytes:
    """A request as clients of the platform write it."""
    shard_requests = [{"shard": shard, "weight": 1 / len(shards)} for shard in shards]
    body = json.dumps({"shards": shard_requests, "q": "c41e77d0"})
    key = f"Idempotency-Key: key-{id}\r\n" if EFFECTS[name] == "idempotency_key" else ""
    return (
        f"POST /{name}?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-Id: {id}\r\n"
        f"X-Deadline-Ms: {deadline}\r\n{key}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def judge(id: str, shards: tuple[int, ...], status: int, body: bytes) -> tuple[Ending, str]:
    """What an answer says, and what is wrong with it."""
    if status in (429, 503):
        return Ending.REFUSED, body.decode("utf-8", "replace")
    if status != 200:
        return Ending.FAILED, f"{status} {body.decode('utf-8', 'replace')}"
    try:
        found = msgspec.json.decode(body, type=Answer)
    except msgspec.MsgspecError as problem:
        return Ending.ANSWERED, f"WRONG: no answer of a router: {body[:200]!r}: {problem}"
    values = {hit.shard: hit.doc for hit in found.hits}
    wrong = {shard: value for shard, value in values.items() if value != f"{id}/{shard}"}
    if wrong:
        return Ending.ANSWERED, f"WRONG values {wrong}"
    if found.complete and set(values) != set(shards):
        return Ending.ANSWERED, f"WRONG: whole with shards {sorted(values)}"
    return (Ending.ANSWERED if found.complete else Ending.PARTIAL), ""


async def main() -> None:
    """Ask until told to stop, or until the parent is gone."""
    clients = Clients(msgspec.json.decode(sys.argv[1], type=ClientsSpec))
    announce(control=await control(clients.order))
    orphaned = asyncio.ensure_future(until_orphaned())
    running = asyncio.ensure_future(clients.run())
    done, _ = await asyncio.wait((orphaned, running), return_when=asyncio.FIRST_COMPLETED)
    for task in done:
        # a fault of these clients ends the process with an error: their records are missing
        task.result()


if __name__ == "__main__":
    asyncio.run(main())
