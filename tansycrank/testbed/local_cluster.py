"""A whole site of stand-ins on loopback: node processes, a roster, routers, their settings, their
faults.

Used by the demo, drills, measurements and end-to-end tests. Everything is bounded and ends with
`LocalCluster.close`.
"""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tansycrank import clock
from tansycrank.testbed import engine

SETTINGS = """\
[router]
me = {me}
routers = {routers}
zones = {zones}
zone = {zone}
seed = {seed}
{router_more}
[listen]
port = {port}
{listen_more}
[store]
shards = {shards}
cells = {cells}
reach = {reach}
{store_more}
[rules]
drain_grace_ms = 500
cold_multiple = 2
cold_window_ms = 1500
cold_from = 0.2
cold_time_ms = {cold_ms}
{budget}
{rules_more}
[roster]
feed = {roster}
[log]
format = json
queries = {log_queries}
[class cab-lookup]
aim_ms = {aim}
give_up_ms = {give_up}
worth = 1
dedup_window_ms = 2000
[class fare-report]
aim_ms = {report_aim}
give_up_ms = {report_give_up}
worth = 2
pattern = (?:count|sum|avg)\\s*\\(
[distribution district]
method = list
type = text
values = {districts}
[distribution driver]
method = hash
type = int8
[table trips]
kind = distributed
distribution = district
column = district
columns = {trips}
[table cabs]
kind = distributed
distribution = district
column = district
columns = {cabs}
[table drivers]
kind = distributed
distribution = driver
column = id
columns = {drivers}
[table zones]
kind = reference
columns = {zone_columns}
"""

TENANT_RULES = """
[tenant any]
networks = 127.0.0.0/8
users = t_(.*)
tenant = {user}
"""  # a tenant for each user t_NAME


@dataclass
class Layout:
    """The size of a site."""

    nodes: int = 6
    shards: int = 6
    reach: int = 3
    routers: int = 1
    seed: int = 1
    zones: tuple[str, ...] = ("thu-duc", "tan-binh", "quan-7")
    aim: float = 1000
    give_up: float = 2000
    report_aim: float = 2000
    report_give_up: float = 4000
    cold_ms: float = 6000
    budget: tuple[float, float, float] | None = None
    nature: dict = field(default_factory=dict)
    scale: float = 1.0
    dedup_ms: float = 2000
    log_queries: bool = True
    router_more: str = ""
    listen_more: str = ""
    store_more: str = ""
    rules_more: str = ""


def settings_text(layout: Layout, roster: str, me: int = 0, port: int = 0) -> str:
    """The INI file of one router of a site."""
    groups = [[] for _ in range(layout.shards)]
    for index, district in enumerate(engine.DISTRICTS):
        groups[index % layout.shards].append(district)
    districts = "; ".join(f"{i}: {', '.join(g)}" for i, g in enumerate(groups) if g)
    budget = ""
    if layout.budget:
        budget = "budget_floor = {}\nbudget_share = {}\nbudget_window_ms = {}".format(
            *layout.budget
        )
    return SETTINGS.format(
        me=me,
        routers=layout.routers,
        zones=", ".join(layout.zones),
        zone=layout.zones[me % len(layout.zones)],
        seed=layout.seed + me,
        port=port,
        shards=layout.shards,
        cells=layout.nodes,
        reach=layout.reach,
        cold_ms=layout.cold_ms,
        budget=budget,
        roster=roster,
        aim=layout.aim,
        give_up=layout.give_up,
        report_aim=layout.report_aim,
        report_give_up=layout.report_give_up,
        districts=districts,
        trips=engine.TRIP_COLUMNS,
        cabs=engine.CAB_COLUMNS,
        drivers=engine.DRIVER_COLUMNS,
        zone_columns=engine.ZONE_COLUMNS,
        log_queries="on" if layout.log_queries else "off",
        router_more=layout.router_more,
        listen_more=layout.listen_more,
        store_more=layout.store_more,
        rules_more=layout.rules_more,
    )


def control(port: int, order: dict, timeout: float = 5.0) -> dict:
    """One order on a control line, and its answer."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as line:
        line.sendall(msgspec.json.encode(order) + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            more = line.recv(1 << 20)
            if not more:
                raise ConnectionError("control line closed")
            data += more
    return msgspec.json.decode(data)


@dataclass
class NodeProcess:
    """A stand-in node as the site knows it."""

    id: int
    cell: int
    zone: str
    shards: tuple[int, ...]
    process: subprocess.Popen | None = None
    port: int = 0
    control: int = 0
    started: float = 0.0  # ms of Unix time, as the roster tells it; 0 for long ago
    started_at: float = 0.0  # the same instant in ms of the monotonic clock


class LocalCluster:
    """A running site. `folder` holds settings, journals and logs."""

    def __init__(self, layout: Layout, folder: str | None = None) -> None:
        self.layout = layout
        self._own = None if folder else tempfile.TemporaryDirectory(prefix="tansycrank-")
        self.folder = Path(folder or self._own.name)
        self.nodes: dict[int, NodeProcess] = {}
        self.routers: list[subprocess.Popen | None] = []
        self.ports: list[int] = []
        self.roster: subprocess.Popen | None = None
        self.roster_control = 0
        self.roster_port = 0
        self.serve: tuple[str, ...] = ("tansycrank", "serve")

    def __enter__(self) -> LocalCluster:
        self.start()
        return self

    def __exit__(self, *error) -> None:
        self.close()

    # --- starting -----------------------------------------------------------------------

    def start(self) -> None:
        """Start nodes, roster and routers; returns when all listen."""
        layout = self.layout
        try:
            (self.folder / "nodes.ini").write_text(settings_text(layout, "127.0.0.1:1"))
            for index in range(layout.nodes):
                held = tuple(
                    s
                    for s in range(layout.shards)
                    if (index - s % layout.nodes) % layout.nodes < layout.reach
                )
                self.nodes[index + 1] = NodeProcess(
                    index + 1, index, layout.zones[index % len(layout.zones)], held
                )
            for node in self.nodes.values():
                self._launch(node)
            for node in self.nodes.values():
                self._ports(node)
            self.roster = self._python(
                "tansycrank.testbed.endpoint_feed",
                msgspec.json.encode([self._line(n) for n in self.nodes.values()]).decode(),
            )
            told = msgspec.json.decode(self.roster.stdout.readline())
            self.roster_port, self.roster_control = told["port"], told["control"]
            self.start_routers()
        except BaseException:
            self.close()
            raise

    def _python(self, module: str, *args: str, stderr=None) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", module, *args],
            stdout=subprocess.PIPE,
            stderr=stderr,
            cwd=Path(__file__).parents[2],
        )

    def _launch(self, node: NodeProcess) -> None:
        layout = self.layout
        peers = {
            s: [
                n.control
                for n in self.nodes.values()
                if n is not node and s in n.shards and n.control
            ]
            for s in node.shards
        }
        spec = {
            "id": node.id,
            "config": str(self.folder / "nodes.ini"),
            "shards": node.shards,
            "seed": layout.seed,
            "port": node.port,
            "control": node.control,
            "journal": str(self.folder / f"node-{node.id}.jsonl"),
            "started_at": node.started_at,
            "scale": layout.scale,
            "dedup_ms": layout.dedup_ms,
            "peers": peers,
            "claims": str(self.folder),
            "nature": {"cold_ms": layout.cold_ms, **layout.nature},
        }
        node.process = self._python("tansycrank.testbed.node", msgspec.json.encode(spec).decode())

    def _ports(self, node: NodeProcess) -> None:
        line = node.process.stdout.readline()
        if not line:
            raise RuntimeError(f"node {node.id} did not start")
        told = msgspec.json.decode(line)
        node.port, node.control = told["port"], told["control"]

    def _line(self, node: NodeProcess, status: str = "ready") -> dict:
        return {
            "id": node.id,
            "host": "127.0.0.1",
            "port": node.port,
            "cell": node.cell,
            "zone": node.zone,
            "status": status,
            "started": node.started,
        }

    def start_routers(self) -> None:
        """Start all routers."""
        for me in range(self.layout.routers):
            if len(self.routers) <= me:
                self.routers.append(None)
                self.ports.append(0)
            self.start_router(me)

    def stop_routers(self) -> None:
        """Kill all routers."""
        for process in self.routers:
            process.kill()
            process.wait()

    def start_router(self, me: int = 0) -> None:
        """Start a router, or start it again on its port."""
        path = self.folder / f"router-{me}.ini"
        path.write_text(
            settings_text(self.layout, f"127.0.0.1:{self.roster_port}", me, self.ports[me])
        )
        log = open(self.folder / f"router-{me}.log", "ab")
        process = self._python(*self.serve, "--config", str(path), "--announce", stderr=log)
        log.close()
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(
                f"router {me} did not start: "
                f"{(self.folder / f'router-{me}.log').read_text()[-2000:]}"
            )
        self.routers[me] = process
        self.ports[me] = msgspec.json.decode(line)["port"]

    def dsn(self, me: int = 0) -> str:
        """How a client connects to a router."""
        return f"host=127.0.0.1 port={self.ports[me]} user=demo dbname=tansycrank"

    def wait_ready(self, me: int = 0, timeout: float = 10.0) -> None:
        """Until a router has its list and answers."""
        import psycopg

        until = time.monotonic() + timeout
        while True:
            try:
                with psycopg.connect(self.dsn(me), autocommit=True) as link:
                    link.execute("SELECT * FROM zones LIMIT 1").fetchall()
                    return
            except psycopg.Error:
                if time.monotonic() > until:
                    raise
                time.sleep(0.05)

    # --- troubles -----------------------------------------------------------------------

    def faults(self, ids: Sequence[int], **what) -> None:
        """Set faults of nodes (see `model.Faults`); unnamed ones stay."""
        for node in ids:
            control(self.nodes[node].control, {"faults": what})

    def kill(self, node: int, told_after_ms: float | None = None) -> None:
        """A node dies at once; the roster learns of it later, or never."""
        one = self.nodes[node]
        one.process.send_signal(signal.SIGKILL)
        one.process.wait()
        if told_after_ms is not None:
            self.tell(node, "gone", told_after_ms)

    def revive(self, node: int, told_after_ms: float = 0.0) -> None:
        """It comes back cold, on its old ports; the roster tells so later."""
        one = self.nodes[node]
        one.started, one.started_at = clock.unix_ms(), clock.monotonic_ms()
        self._launch(one)
        self._ports(one)
        for peer in self.nodes.values():  # what was written while it was away
            if (
                peer is not one
                and set(peer.shards) & set(one.shards)
                and peer.process.poll() is None
            ):
                for write in control(peer.control, {"log": True})["writes"]:
                    if write["shard"] in one.shards:
                        control(one.control, {"apply": write})
                break
        self.tell(node, "ready", told_after_ms)

    def recover(self, ids: Sequence[int]) -> None:
        """Nodes that died are started again, warm, and the roster lists all as ready."""
        for node in ids:
            if self.nodes[node].process.poll() is not None:
                self.revive(node)
                self.nodes[node].started = self.nodes[node].started_at = 0.0
            self.tell(node, "ready")

    def tell(self, node: int, status: str, delay_ms: float = 0.0, **changes) -> None:
        """The roster says this of a node, whether it is true or not."""
        line = self._line(self.nodes[node], status) | changes
        control(self.roster_control, {"set": line, "delay_ms": delay_ms})

    def roster_silent(self, silent: bool, restart: bool = False) -> None:
        """The roster tells nothing; or speaks again, if told so as one that has just started."""
        control(self.roster_control, {"silent": silent})
        if restart:
            control(self.roster_control, {"restart": True})

    def stats(self, node: int) -> dict:
        """A node's counters."""
        return control(self.nodes[node].control, {"stats": True})

    def journal(self) -> list[dict]:
        """All that passed on the nodes' sockets, in order of time."""
        lines = []
        for node in self.nodes:
            path = self.folder / f"node-{node}.jsonl"
            if path.exists():
                for line in path.read_bytes().splitlines():
                    try:
                        lines.append(msgspec.json.decode(line))
                    except msgspec.DecodeError:
                        continue  # a line cut by a kill
        return sorted(lines, key=lambda entry: entry["t"])

    # --- ending -------------------------------------------------------------------------

    def close(self) -> None:
        """End all processes this site started."""
        started = [*self.routers, self.roster, *(n.process for n in self.nodes.values())]
        for process in started:
            if process is not None and process.poll() is None:
                process.kill()
        for process in started:
            if process is not None:
                process.wait()
                if process.stdout is not None:
                    process.stdout.close()
        if self._own is not None:
            self._own.cleanup()
