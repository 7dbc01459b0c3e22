"""A small deployment of the SQL router: data nodes, the endpoint feed, one router.

Figures are those of the deployment `hanoi-trips`: three server rooms, 12 ward nodes, four nodes a
shard, queries wanted within 2 s and given up at 5 s, three attempts, drains within 1 s, at most 5
plus 5 % further attempts in 2 s.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path

from runner import PYTHON, START_SECONDS, Case

GIVE_UP_SECONDS = 5.0
ANSWER_SLACK_SECONDS = 0.5  # up to half a second after its time an answer only earns nothing
NODES, REACH = 12, 4
ROOMS = ("cau-giay", "long-bien", "hoang-mai")
BEAT_SECONDS = 1.0
SETTINGS = """\
[router]
zones = {zones}
zone = {zone}
[listen]
port = 0
[store]
shards = {nodes}
cells = {nodes}
reach = {reach}
[merge]
spill_dir = {spill}
[rules]
drain_grace_ms = 1000
cold_multiple = 2
cold_window_ms = 3000
cold_from = 0.15
cold_time_ms = 18000
budget_floor = 5
budget_share = 0.05
budget_window_ms = 2000
attempts_cap = 3
hold_off_max_ms = 500
[roster]
feed = 127.0.0.1:{feed}
[class trip-search]
aim_ms = 2000
give_up_ms = 5000
worth = 1
late_worth = 0.1
[distribution by-trip]
method = hash
type = int8
[table trips]
kind = distributed
distribution = by-trip
column = id
columns = id int8, note text
[table history]
kind = distributed
distribution = by-trip
column = id
columns = id int8, note text
"""


@dataclass
class Node:
    """A data node as the case knows it."""

    id: int
    process: asyncio.subprocess.Process
    port: int
    started: float = 0.0  # ms of Unix time, 0 for long ago


class EndpointFeed:
    """The endpoint feed: JSON lines, as the router's page tells."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._watchers: set[asyncio.StreamWriter] = set()
        self.entries: dict[int, dict] = {}
        self.version = 1

    async def listen(self) -> int:
        """Serve on loopback; returns the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._case.background(self._beat())
        return server.sockets[0].getsockname()[1]

    def tell(self, entry: dict) -> None:
        """Tell a change."""
        self.version += 1
        if entry["status"] == "gone":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self._case.record.note(f"the feed tells: node {entry['id']} is {entry['status']}")
        self._write("changes", [entry])

    def _line(self, kind: str, nodes: list[dict]) -> bytes:
        line = {"kind": kind, "version": self.version, "epoch": 1, "nodes": nodes}
        return json.dumps(line).encode() + b"\n"

    def _write(self, kind: str, nodes: list[dict]) -> None:
        for watcher in list(self._watchers):
            watcher.write(self._line(kind, nodes))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            self._write("beat", [])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                if json.loads(line)["op"] == "watch":
                    self._watchers.add(writer)
                writer.write(self._line("full", list(self.entries.values())))
        except OSError:
            pass  # the router went
        finally:
            self._watchers.discard(writer)
            writer.close()


class SqlSite:
    """The running deployment; `events` has the events of the nodes, with the node's id."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.feed = EndpointFeed(case)
        self.nodes: dict[int, Node] = {}
        self.events: list[dict] = []
        self.router: asyncio.subprocess.Process | None = None
        self.port = 0

    async def start(self) -> None:
        """Start nodes, feed and router; returns when the router answers."""
        starts = [self.start_node(number) for number in range(1, NODES + 1)]
        for node in await asyncio.gather(*starts):
            self.feed.entries[node.id] = self.entry(node.id, "ready")
        settings = SETTINGS.format(
            zones=", ".join(ROOMS),
            zone=ROOMS[0],
            nodes=NODES,
            reach=REACH,
            spill=self.case.work / "spill",
            feed=await self.feed.listen(),
        )
        path = self.case.work / "router.ini"
        path.write_text(settings, encoding="utf-8")
        command = (PYTHON, "-m", "tansycrank")
        check = await self.case.start("check", *command, "config", "check", str(path))
        if await check.wait():
            raise RuntimeError(f"the settings: {self.case.log_of('check')}")
        self.router = await self.case.start(
            "router", *command, "serve", "--config", str(path), "--announce"
        )
        line = await asyncio.wait_for(self.router.stdout.readline(), START_SECONDS)
        if not line:
            raise RuntimeError(f"the router did not start: {self.case.log_of('router')}")
        self.port = json.loads(line)["port"]

    async def start_node(self, number: int, port: int = 0, started: float = 0.0) -> Node:
        """Start a data node, or start it again on its port."""
        script = str(Path(__file__).with_name("postgres_node.py"))
        spec = json.dumps({"port": port})
        process = await self.case.start(f"node-{number}", PYTHON, script, spec)
        line = await asyncio.wait_for(process.stdout.readline(), START_SECONDS)
        node = Node(number, process, json.loads(line)["port"], started)
        self.nodes[number] = node
        self.case.background(self._read_events(node))
        return node

    async def restart_node(self, number: int) -> None:
        """A node comes back cold: its old connections are reset."""
        old = self.nodes[number]
        if old.process.returncode is None:
            old.process.kill()
            await old.process.wait()
        await self.start_node(number, old.port, time.time() * 1000)
        self.feed.tell(self.entry(number, "ready"))

    def entry(self, number: int, status: str) -> dict:
        """What the feed tells of a node."""
        node = self.nodes[number]
        return {
            "id": number,
            "host": "127.0.0.1",
            "port": node.port,
            "cell": number - 1,
            "zone": ROOMS[number % len(ROOMS)],
            "status": status,
            "started": node.started,
        }

    async def _read_events(self, node: Node) -> None:
        while line := await node.process.stdout.readline():
            event = {"node": node.id, **json.loads(line)}
            self.events.append(event)
            shown = {key: str(value)[:120] for key, value in event.items() if key != "event"}
            self.case.record.note(f"node event {event['event']}: {shown}")
