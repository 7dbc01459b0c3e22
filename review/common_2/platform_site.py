"""A small deployment of the platform router: discovery, data nodes and HTTP clients.

Figures are those of the deployment `hanoi-trips`: three server rooms, 12 ward nodes, four nodes a
ward slice, queries wanted within 2 s and given up at 5 s, three attempts, drains within 1 s, at
most 5 plus 5 % further attempts in 2 s, 16 parts a call, 32 parts a connection.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field

from runner import ROOT, START_SECONDS, Case

NODES, REACH, SHARDS = 12, 4, 36
ROOMS = ("cau-giay", "long-bien", "hoang-mai")
BEAT_SECONDS = 2.0
WORK_SECONDS = 0.08  # of a part
DEADLINE_MS = 5000
CLASSES = (
    ("fare-report", "read_like"),
    ("trip-search", "read_like"),
    ("book-cab", "non_idempotent"),
)
SETTINGS = {
    "caps": {
        "attemptsCap": 3,
        "cancel": True,
        "connIdle": 15000.0,
        "connectTimeout": 250.0,
        "maxRetryAfter": 500.0,
        "mayProbe": False,
        "openCap": 200,
        "peers": False,
        "retryAfter": True,
        "secondCopies": True,
        "streamsPerConn": 32,
    },
    "clients": {"marksRetry": True},
    "discovery": "ask",
    "workload": "fanout",
    "familyInfo": {
        "bundleMax": 16,
        "followUp": [0] * len(CLASSES),
        "inARow": REACH,
        "minShare": [1.0] * len(CLASSES),
        "perCallWork": 56.0,
        "positions": NODES,
        "shortWorth": [0.0] * len(CLASSES),
        "slabs": SHARDS,
        "wholeAt": [1.0] * len(CLASSES),
    },
    "localities": list(ROOMS),
    "me": 0,
    "replicasOfMe": 3,
    "step": 5.0,
    "zone": 0,
    "prices": {"crossZone": 0.04, "lateFail": 0.05, "probe": 0.0, "waste": 0.08},
    "rules": {
        "askEvery": 10000.0,
        "cold": 18000.0,
        "coldFrom": 0.15,
        "countedOver": 2000.0,
        "extraFloor": 5,
        "fall": 3000.0,
        "graceToAnswer": 50.0,
        "overloadFactor": 2.0,
        "repeatRatio": 0.05,
        "stopSendingWithin": 1000.0,
    },
    "services": [
        {
            "aim": 2000.0,
            "effect": effect,
            "giveUp": float(DEADLINE_MS),
            "lateWorth": 0.1,
            "name": name,
            "points": 1.0,
            "window": 5000.0,
        }
        for name, effect in CLASSES
    ],
}


@dataclass
class Part:
    """A part as it came to a data node."""

    node: int
    id: str
    shard: int
    text: str

    @property
    def value(self) -> str:
        """The value that a data node makes for it."""
        return f"doc-of-{self.id}-{self.text}"


Reply = Callable[[Part, bytes], bytes]


def answer_frame(part: Part) -> bytes:
    """A good answer."""
    body = f"A{part.id} ok 1 inflight=1\n{part.value}".encode()
    return len(body).to_bytes(4, "little") + body


class DataNode:
    """A data node; `reply` may change the bytes of an answer before they are written."""

    def __init__(self, case: Case, number: int, reply: Reply) -> None:
        self.number, self.port = number, 0
        self.parts: list[Part] = []
        self._case, self._reply = case, reply
        self._spoilt: set[asyncio.StreamWriter] = set()  # connections of no further use

    async def listen(self) -> None:
        """Serve on loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[str, asyncio.Task] = {}
        try:
            while True:
                size = int.from_bytes(await reader.readexactly(4), "little")
                frame = await reader.readexactly(size)
                if frame[:1] == b"X":
                    self._case.record.note(f"node {self.number} is told to give up {frame[1:]}")
                    if task := running.pop(frame[1:].decode(), None):
                        task.cancel()
                    continue
                rest = frame[1:]
                while rest:
                    line, _, rest = rest.partition(b"\n")
                    id, shard, options, length = line.decode().split()
                    part = Part(self.number, id, int(shard), rest[: int(length)].decode())
                    rest = rest[int(length) :]
                    self.parts.append(part)
                    self._case.record.note(f"node {self.number} runs {id} ({options})")
                    running[id] = asyncio.ensure_future(self._answer(part, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the router closed the connection
        finally:
            self._spoilt.discard(writer)
            writer.close()

    async def _answer(self, part: Part, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_SECONDS)
        if writer in self._spoilt:
            return
        good = answer_frame(part)
        written = self._reply(part, good)
        if written != good:
            self._spoilt.add(writer)
        writer.write(written)


class Discovery:
    """Service discovery: the whole list, and a watch that tells nothing but that it is there."""

    def __init__(self) -> None:
        self.entries: list[dict] = []
        self.port = 0

    async def listen(self) -> None:
        """Serve on loopback."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        listing = {"version": 1, "full": True, "servers": self.entries}
        body = json.dumps(listing).encode() + b"\n"
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"watch=1" not in head:
                start = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(start + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"%x\r\n%b\r\n" % (len(body), body))
                body = b"\n"
                await asyncio.sleep(BEAT_SECONDS)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the router went
        finally:
            writer.close()


@dataclass
class HttpAnswer:
    """What a client got; a status of 0 means that its connection ended without an answer."""

    status: int = 0
    body: dict = field(default_factory=dict)


class HttpClient:
    """One kept connection of a client."""

    def __init__(self, case: Case, port: int) -> None:
        self._case, self._port = case, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self, path: str, id: str, shards: list[int], text: str) -> HttpAnswer:
        """Send a query and read its answer; once more if a kept connection was just closed."""
        was_kept = self._writer is not None
        answer = await self._ask_once(path, id, shards, text)
        if not answer.status and was_kept:
            answer = await self._ask_once(path, id, shards, text)
        return answer

    async def _ask_once(self, path: str, id: str, shards: list[int], text: str) -> HttpAnswer:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        weight = 1 / len(shards)
        parts = [{"shard": shard, "weight": weight} for shard in shards]
        body = json.dumps({"shards": parts, "q": text}).encode()
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self._case.record.note(f"client sends {path} {id}, shards {shards}")
        self._writer.write(head.encode() + body)
        answer = await self._read_answer()
        self._case.record.note(f"client got for {id}: {answer.status} {answer.body}")
        return answer

    async def _read_answer(self) -> HttpAnswer:
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            body = await self._reader.readexactly(int(headers["content-length"]))
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return HttpAnswer()
        if headers.get("connection") == "close":
            self.close()
        return HttpAnswer(int(head[0].split()[1]), json.loads(body))

    def close(self) -> None:
        """Leave."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class PlatformSite:
    """The running deployment."""

    def __init__(self, case: Case, reply: Reply) -> None:
        self.case = case
        self.discovery = Discovery()
        self.nodes = [DataNode(case, number, reply) for number in range(NODES)]
        self.router: asyncio.subprocess.Process | None = None
        self.port = 0

    async def start(self) -> None:
        """Start all; returns when the router is ready."""
        for node in self.nodes:
            await node.listen()
            self.discovery.entries.append(self._entry(node))
        await self.discovery.listen()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        config = self.case.work / "config.json"
        known = {"version": 1, "full": True, "servers": self.discovery.entries}
        listen, discovery = f"127.0.0.1:{self.port}", f"127.0.0.1:{self.discovery.port}"
        document = {
            "name": "n1",
            "listen": listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": known,
            "settings": SETTINGS,
        }
        config.write_text(json.dumps(document), encoding="utf-8")
        environ = {
            "NODE_NAME": "n1",
            "NODE_LISTEN": listen,
            "NODE_DISCOVERY": discovery,
            "NODE_CONFIG": str(config),
        }
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.router = await self.case.start(
            "router", "/bin/sh", "-c", deploy["run"], environ=environ
        )
        await asyncio.wait_for(self._until_ready(), START_SECONDS)

    @staticmethod
    def _entry(node: DataNode) -> dict:
        return {
            "id": f"s-{node.number:08x}",
            "addr": f"127.0.0.1:{node.port}",
            "zone": ROOMS[node.number % len(ROOMS)],
            "kind": "std-2c",
            "cell": node.number,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _until_ready(self) -> None:
        while True:
            if self.router.returncode is not None:
                raise RuntimeError(f"the router did not start: {self.case.log_of('router')}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass  # it does not listen yet
            await asyncio.sleep(0.1)
