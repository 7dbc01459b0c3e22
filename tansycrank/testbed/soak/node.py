"""A stand-in data node of the platform: `python -m tansycrank.testbed.soak.node SPEC`, SPEC in
JSON.

It answers each sub-request with a value that names it, after some work on its cores, and notes what
came. Orders on its control line: {"errors" | "busy" | "spoilt": share, "slow": factor, "reset":
true}.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
from collections import deque

import msgspec

from tansycrank.clock import monotonic_ms
from tansycrank.testbed.soak.process import Journal, announce, control, listen, until_orphaned
from tansycrank.testbed.soak.records import NodeEvent, NodeEventKind

CORES = 2
MEAN_WORK = 20.0  # ms
SPREAD = 0.5  # of the logarithm of work
FELL = 4  # exit code
DROPS_BELOW = 8.0  # ms: with less time left a sub-request is dropped without a word


class NodeSpec(msgspec.Struct):
    """How to start a node. Times are ms; `started_at` is 0 for long ago."""

    name: str
    journal: str
    seed: int
    port: int = 0
    started_at: float = 0.0
    idle: float = 4_000.0
    cold_time: float = 4_000.0
    cold_from: float = 0.3
    window: float = 1_000.0
    multiple: float = 2.0


class Trouble(msgspec.Struct):
    """What is wrong with the node now: shares of sub-requests, and a factor of work."""

    errors: float = 0.0
    busy: float = 0.0
    spoilt: float = 0.0
    slow: float = 1.0


class Node:
    """One data node."""

    def __init__(self, spec: NodeSpec) -> None:
        self.spec, self.trouble = spec, Trouble()
        self.rng = random.Random(spec.seed)
        self.journal = Journal(spec.journal)
        self.cores = asyncio.Semaphore(CORES)
        self.connections: set[asyncio.StreamWriter] = set()
        self.arrived: deque[float] = deque()

    def order(self, order: dict) -> None:
        """One order of the control line."""
        if order.pop("reset", False):
            for writer in list(self.connections):
                writer.transport.abort()
        self.trouble = msgspec.convert(msgspec.to_builtins(self.trouble) | order, Trouble)

    def note(self, kind: NodeEventKind, **more: object) -> None:
        """One line of the journal."""
        self.journal.note(NodeEvent(monotonic_ms(), self.spec.name, kind, **more))

    # --- slow start -------------------------------------------------------------------

    def warmth(self, at: float) -> float:
        """The share of its capacity that it has."""
        if not self.spec.started_at:
            return 1.0
        age = max(at - self.spec.started_at, 0.0) / self.spec.cold_time
        return min(self.spec.cold_from + (1 - self.spec.cold_from) * age, 1.0)

    def count_arrival(self) -> None:
        """A cold node falls when it gets more than it may in its window."""
        now, window = monotonic_ms(), self.spec.window
        if self.warmth(now) >= 1.0:
            return
        self.arrived.append(now)
        while self.arrived[0] <= now - window:
            self.arrived.popleft()
        allowed = self.spec.multiple * self.warmth(now - window / 2) * CORES * window / MEAN_WORK
        slack = 2 if allowed >= 30 else 3
        limit = allowed + slack * allowed**0.5 + slack
        if len(self.arrived) > limit:
            self.note(NodeEventKind.FELL, share=len(self.arrived) / limit)
            os._exit(FELL)

    # --- connections ------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Frames of one router."""
        self.connections.add(writer)
        running: dict[str, asyncio.Task] = {}
        try:
            while True:
                idle = self.spec.idle / 1000 if not running else None
                try:
                    header = await asyncio.wait_for(reader.readexactly(4), idle)
                except TimeoutError:
                    return
                frame = await reader.readexactly(int.from_bytes(header, "little"))
                if frame[:1] == b"X":
                    self.give_up(frame[1:].decode(), running)
                else:
                    self.call(frame[1:], writer, running)
        finally:
            self.connections.discard(writer)

    def give_up(self, id: str, running: dict[str, asyncio.Task]) -> None:
        """The router no longer waits for this sub-request."""
        request, _, shard = id.rpartition(".")
        self.note(NodeEventKind.GIVE_UP, request=request, shard=int(shard))
        if task := running.pop(id, None):
            task.cancel()

    def call(
        self, rest: bytes, writer: asyncio.StreamWriter, running: dict[str, asyncio.Task]
    ) -> None:
        """The sub-requests of one frame."""
        while rest:
            line, _, rest = rest.partition(b"\n")
            id, shard, told, length = line.decode().split()
            rest = rest[int(length) :]
            options = dict(pair.split("=", 1) for pair in told.split(","))
            request = id.rpartition(".")[0]
            self.note(
                NodeEventKind.CALL,
                request=request,
                shard=int(shard),
                wait=float(options["d"]),
                key=options.get("k", ""),
            )
            self.count_arrival()
            wait = float(options["d"])
            running[id] = asyncio.ensure_future(self.answer(id, request, int(shard), wait, writer))
            running[id].add_done_callback(lambda _, id=id: running.pop(id, None))

    async def answer(
        self, id: str, request: str, shard: int, wait: float, writer: asyncio.StreamWriter
    ) -> None:
        """Work on a sub-request for which its router waits `wait` ms, then say how it ended."""
        if wait < DROPS_BELOW:
            return None
        if self.rng.random() < self.trouble.busy:
            self.note(NodeEventKind.BUSY, request=request, shard=shard)
            return self.reply(writer, id, "busy", "")
        async with self.cores:
            work = self.rng.lognormvariate(0.0, SPREAD) * MEAN_WORK * self.trouble.slow
            await asyncio.sleep(work / self.warmth(monotonic_ms()) / 1000)
        if self.rng.random() < self.trouble.spoilt:
            writer.write(self.rng.randbytes(self.rng.randint(1, 40)))
        elif self.rng.random() < self.trouble.errors:
            self.reply(writer, id, "err", "")
        else:
            self.reply(writer, id, "ok", f"{request}/{shard}")
        return None

    @staticmethod
    def reply(writer: asyncio.StreamWriter, id: str, end: str, value: str) -> None:
        """One answer frame."""
        body = f"A{id} {end} 1 -\n{value}".encode()
        writer.write(len(body).to_bytes(4, "little") + body)


async def main() -> None:
    """Serve until killed, or until the parent is gone."""
    spec = msgspec.json.decode(sys.argv[1], type=NodeSpec)
    node = Node(spec)
    port = await listen(node.serve, spec.port)
    announce(port=port, control=await control(node.order))
    await until_orphaned()


if __name__ == "__main__":
    asyncio.run(main())
