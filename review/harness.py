"""A small platform of stand-ins around one router process: data nodes, discovery and clients.

Only the standard library is used. The stand-ins run in this process, the router runs as the deploy
file says. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

REVIEW = Path(__file__).parent
ROOT = REVIEW.parent
LOOPBACK = "127.0.0.1"
NODES = 12  # data nodes, one for each cell
SOCKETS, MEMORY_MB = 256, 192  # limits of the router
HEARTBEAT_SECONDS = 2.0  # between lines on a watch, as long as nothing changes
WORK_SECONDS = 0.06  # of a data node for one call
ANSWER_SLACK_MS = 550  # after its time a request may still be answered: 0.5 s, and 50 ms on sockets
READY_WITHIN = 30.0  # s for the router to become ready
WATCH_AFTER = re.compile(r"[?&]after=(-?\d+)")
PASSED, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


def has_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.note(text)
        print(text, flush=True)


@dataclass(frozen=True)
class Part:
    """One part of a call, as it arrived at a data node."""

    id: str
    shard: int
    wait_ms: int


def value_of(part_id: str) -> str:
    """Return the value that data nodes make for a part: 16 hex digits."""
    return hashlib.sha256(part_id.encode()).hexdigest()[:16]


def frame(body: bytes, missing: int = 0) -> bytes:
    """Return a frame; its length says `missing` bytes less than there are."""
    return (len(body) - missing).to_bytes(4, "little") + body


def answer_body(part: Part) -> bytes:
    """Return letter, line and value of an answer."""
    return f"A{part.id} ok 1840277719 recent_ms=40\n{value_of(part.id)}".encode()


def parse_call(rest: bytes) -> list[Part]:
    """Return the parts of a call frame."""
    parts = []
    while rest:
        line, _, rest = rest.partition(b"\n")
        part_id, shard, listed, length = line.decode().split()
        options = dict(pair.split("=", 1) for pair in listed.split(","))
        parts.append(Part(part_id, int(shard), int(options["d"])))
        rest = rest[int(length) :]
    return parts


CallHandler = Callable[["DataNode", asyncio.StreamWriter, list[Part]], Awaitable[bool]]


async def answer_all(node: DataNode, writer: asyncio.StreamWriter, parts: list[Part]) -> bool:
    """Answer each part of a call after some work; the connection stays of use."""
    await asyncio.sleep(WORK_SECONDS)
    for part in parts:
        writer.write(frame(answer_body(part)))
        node.record.note(f"node {node.number} answers {part.id}: {value_of(part.id)}")
    return True


@dataclass
class DataNode:
    """A data node of one cell; `handle_call` returns whether its connection stays of use."""

    number: int
    record: Record
    handle_call: CallHandler = answer_all
    port: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        usable = [True]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                size = int.from_bytes(await reader.readexactly(4), "little")
                body = await reader.readexactly(size)
                if body[:1] == b"X":
                    self.record.note(f"node {self.number} is told to give up {body[1:].decode()}")
                elif usable[0]:
                    task = asyncio.ensure_future(self._call(writer, body[1:], usable))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        writer.close()

    async def _call(self, writer: asyncio.StreamWriter, rest: bytes, usable: list[bool]) -> None:
        parts = parse_call(rest)
        self.record.note(f"node {self.number} gets {' '.join(part.id for part in parts)}")
        usable[0] = await self.handle_call(self, writer, parts) and usable[0]

    def entry(self) -> dict:
        """Return its entry in discovery's list."""
        zones = json.loads((REVIEW / "settings.json").read_text())["localities"]
        return {
            "id": f"s-{self.number:08x}",
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": zones[self.number % len(zones)],
            "kind": "std-2c",
            "cell": self.number,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }


class Discovery:
    """Discovery with a list that does not change."""

    def __init__(self, nodes: list[DataNode]) -> None:
        self.listing = {"version": 41, "full": True, "servers": [node.entry() for node in nodes]}
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            if "watch=1" in target:
                after = WATCH_AFTER.search(target)
                await self._watch(writer, int(after[1]) if after else 0)
            else:
                body = json.dumps(self.listing).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = b"\n"
        if after < self.listing["version"]:
            line = json.dumps(self.listing).encode() + b"\n"
        while True:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_SECONDS)
            line = b"\n"


class Router:
    """The router process, started as the deploy file says."""

    def __init__(self, folder: Path, discovery: Discovery, record: Record) -> None:
        self.port = free_port()
        self._record = record
        self._log = folder / "router.log"
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"{LOOPBACK}:{self.port}",
                    "discovery": f"{LOOPBACK}:{discovery.port}",
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
                    "known": discovery.listing,
                    "settings": json.loads((REVIEW / "settings.json").read_text()),
                }
            )
        )
        self._environment = os.environ | {
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{LOOPBACK}:{self.port}",
            "NODE_DISCOVERY": f"{LOOPBACK}:{discovery.port}",
            "NODE_CONFIG": str(config),
            "TMPDIR": str(folder),
        }
        self.process: subprocess.Popen | None = None

    async def start(self) -> None:
        """Start it and wait until it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=self._environment, stdout=log, stderr=log
            )
        until = time.monotonic() + READY_WITHIN
        while not await self._is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"the router did not start: {self.log_text()[-2000:]}")
            await asyncio.sleep(0.05)
        self._record.note(f"router ready at port {self.port}, process {self.process.pid}")

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, EOFError, ValueError):
            connection = await Connection.open(self.port)
            connection.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
            status, _, _ = await asyncio.wait_for(connection.answer(), 1.0)
            connection.close()
            return status == 200
        return False

    @property
    def is_running(self) -> bool:
        """Whether its process lives."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return its anonymous resident memory; files and libraries are not counted."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def log_text(self) -> str:
        """Return what it has written."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    def kill(self) -> None:
        """End it at once."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Connection:
    """A client's connection to the router."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self._writer = reader, writer

    @classmethod
    async def open(cls, port: int) -> Connection:
        """Connect; raise OSError if that fails."""
        return cls(*await asyncio.open_connection(LOOPBACK, port))

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)

    def close(self) -> None:
        """Close it."""
        self._writer.close()

    async def answer(self) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body; raise EOFError or OSError if it ends before."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split(" ")[1]), headers, body


@dataclass
class Request:
    """A request of a usual client, and how it ended; `status` is 0 without an answer."""

    id: str
    shards: list[int]
    deadline_ms: int
    status: int = 0
    detail: str = ""
    took_ms: float = 0.0
    wrong_values: list[str] = field(default_factory=list)

    def encode(self, query_class: str) -> bytes:
        """Return its bytes."""
        weight = round(1 / len(self.shards), 6)
        shards = [{"shard": shard, "weight": weight} for shard in self.shards]
        body = json.dumps({"shards": shards, "q": "c41e77d0"})
        return (
            f"POST /{query_class}?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\n"
            f"X-Request-Id: {self.id}\r\nX-Deadline-Ms: {self.deadline_ms}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    @property
    def is_lost(self) -> bool:
        """Whether it got no answer in its time and half a second more."""
        return self.status == 0

    def read_answer(self, status: int, body: bytes) -> None:
        """Note the answer and compare its values with those that data nodes made."""
        self.status, self.detail = status, body.decode("utf-8", "replace")
        if status == 200:
            for hit in json.loads(body)["hits"]:
                made = value_of(f"{self.id}.{hit['shard']}")
                if hit["doc"] != made:
                    text = f"shard {hit['shard']}: answered {hit['doc']!r}, made {made!r}"
                    self.wrong_values.append(text)


async def ask(port: int, request: Request, query_class: str, record: Record) -> Request:
    """Send a request on a new connection and wait for its answer as long as the rules allow."""
    began = time.monotonic()
    wait = (request.deadline_ms + ANSWER_SLACK_MS) / 1000
    connection = None
    try:
        connection = await asyncio.wait_for(Connection.open(port), wait)
        connection.write(request.encode(query_class))
        record.note(f"client sends {request.id}, {query_class}, {request.deadline_ms} ms")
        status, _, body = await asyncio.wait_for(connection.answer(), wait)
        request.read_answer(status, body)
    except (OSError, EOFError, TimeoutError) as problem:
        request.detail = f"no answer: {problem!r}"
    finally:
        if connection is not None:
            connection.close()
    request.took_ms = (time.monotonic() - began) * 1000
    record.note(
        f"client hears {request.id}: {request.status} after {request.took_ms:.0f} ms"
        f" {request.detail[:300]}"
    )
    return request


class Platform:
    """Data nodes, discovery and a router; an async context manager that ends all of them."""

    def __init__(self, folder: Path, handle_call: CallHandler = answer_all) -> None:
        self.record = Record(folder)
        self.nodes = [DataNode(number, self.record, handle_call) for number in range(NODES)]
        self._folder = tempfile.TemporaryDirectory(prefix="tansycrank-review-")
        self.router: Router | None = None

    async def __aenter__(self) -> Platform:
        for node in self.nodes:
            await node.start()
        discovery = Discovery(self.nodes)
        await discovery.start()
        self.router = Router(Path(self._folder.name), discovery, self.record)
        try:
            await self.router.start()
        except BaseException:
            self.router.kill()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        self.router.kill()
        for line in self.router.log_text().splitlines()[-60:]:
            self.record.note(f"router log: {line[:600]}")
        self._folder.cleanup()


def run_case(case: Callable[[], Awaitable[int]], limit_seconds: float = 110.0) -> None:
    """Run a case and exit with its code; 2 if it could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(case(), limit_seconds))
    except Exception as problem:
        print(f"the case could not run: {problem!r}", flush=True)
        code = NOT_RUN
    sys.exit(code)
