"""A site of bulk shards and one router, and a client that checks millions of rows against a closed
form.
"""

from __future__ import annotations

import struct
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tansycrank.merge.blocks import frames_of
from tansycrank.postgres import messages as pg
from tansycrank.testbed.bulk_data import GROUP_BASE, ID_BASE, STEP, TABLE, BulkSpec, value_of
from tansycrank.testbed.load_generator import dial

SETTINGS = """\
[listen]
port = 0
[store]
shards = {shards}
cells = {shards}
reach = 1
max_links = 256
[merge]
process_bytes = {process}
query_bytes = {query}
spill_dir = {spill}
spill_quota = {quota}
{more}
[roster]
file = {roster}
[log]
queries = off
[class report]
aim_ms = 600000
give_up_ms = 900000
[distribution by-id]
method = hash
type = int8
[table bulk]
kind = distributed
distribution = by-id
column = id
columns = {columns}
"""


@dataclass
class BulkLayout:
    """Rows of each shard, and the bounds of the router."""

    rows: list[int]
    groups: int = 1_000_000
    process: int = 128 * 1024 * 1024
    query: int = 32 * 1024 * 1024
    quota: int = 8 * 1024**3
    pad: int = 0
    more: str = ""
    die_after: dict[int, int] = field(default_factory=dict)


def skewed(total: int, shards: int = 8) -> list[int]:
    """Rows of the shards, the first with a hundred times those of the others."""
    least = total // (100 + shards - 1)
    return [total - least * (shards - 1)] + [least] * (shards - 1)


class BulkCluster:
    """Bulk nodes and a router."""

    def __init__(self, layout: BulkLayout) -> None:
        self.layout, self._folder = layout, tempfile.TemporaryDirectory(prefix="tansycrank-")
        self.folder = Path(self._folder.name)
        self.processes: list[subprocess.Popen] = []
        self.node_ports: list[int] = []
        self.router: subprocess.Popen | None = None
        self.port = 0

    def __enter__(self) -> BulkCluster:
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error) -> None:
        self.close()

    def _python(self, *args: str, stderr=None) -> subprocess.Popen:
        root = Path(__file__).parents[2]
        process = subprocess.Popen(
            [sys.executable, "-m", *args], stdout=subprocess.PIPE, stderr=stderr, cwd=root
        )
        self.processes.append(process)
        return process

    def _start(self) -> None:
        layout, roster = self.layout, []
        nodes = []
        for shard, rows in enumerate(layout.rows):
            spec = BulkSpec(
                shard, rows, layout.groups, pad=layout.pad, die_after=layout.die_after.get(shard, 0)
            )
            nodes.append(
                self._python("tansycrank.testbed.bulk_data", msgspec.json.encode(spec).decode())
            )
        for shard, process in enumerate(nodes):
            port = msgspec.json.decode(process.stdout.readline())["port"]
            self.node_ports.append(port)
            roster.append(
                f"[node {shard + 1}]\nhost = 127.0.0.1\nport = {port}\ncell = {shard}\nzone = a\n"
            )
        (self.folder / "nodes.ini").write_text("".join(roster))
        (self.folder / "spill").mkdir(exist_ok=True)
        text = SETTINGS.format(
            shards=len(layout.rows),
            process=layout.process,
            query=layout.query,
            spill=self.folder / "spill",
            quota=layout.quota,
            more=layout.more,
            roster=self.folder / "nodes.ini",
            columns=TABLE,
        )
        (self.folder / "router.ini").write_text(text)
        self.start_router()

    def start_router(self) -> None:
        """Start the router, or start it again."""
        log = open(self.folder / "router.log", "ab")
        self.router = self._python(
            "tansycrank",
            "serve",
            "--config",
            str(self.folder / "router.ini"),
            "--announce",
            stderr=log,
        )
        log.close()
        line = self.router.stdout.readline()
        if not line:
            raise RuntimeError((self.folder / "router.log").read_text()[-2000:])
        self.port = msgspec.json.decode(line)["port"]
        time.sleep(0.3)

    def reset_peak(self) -> None:
        """Let the system count the router's peak memory anew."""
        Path(f"/proc/{self.router.pid}/clear_refs").write_text("5")

    def close(self) -> None:
        """End all processes this site started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
            process.stdout.close()
        self._folder.cleanup()


@dataclass
class Heard:
    """What a client got: rows, seconds, the first fault against the closed form, the error if
    any.
    """

    rows: int = 0
    seconds: float = 0.0
    fault: str = ""
    error: str = ""


def widths_of(kind: str) -> str:
    """The struct format of a row of this kind of answer."""
    wide = {"export": (10, 8, 3), "sorted": (10, 8, 3), "direct": (10, 8, 3), "distinct": (8, 3)}[
        kind
    ]
    return "!7x" + "".join(f"4x{w}s" for w in wide)


def _numbers(frame: bytes) -> tuple[int, ...]:
    """The values of a row of integers in text."""
    found, at = [], 7
    while at < len(frame):
        size = pg.INT32.unpack_from(frame, at)[0]
        found.append(int(frame[at + 4 : at + 4 + size]))
        at += 4 + size
    return tuple(found)


class Checker:
    """Checks rows of `id, g, v` (export, sorted), of `g, v` (distinct) as they come."""

    def __init__(self, kind: str, layout: BulkLayout) -> None:
        self.kind, self.layout = kind, layout
        self.shape = struct.Struct(widths_of(kind)) if kind not in ("grouped", "top-k") else None
        self.firsts: list[tuple[int, ...]] = []
        self.rows = self.ids = 0
        self.last, self.fault = -1, ""

    def feed(self, block: bytes) -> None:
        """A block of frames."""
        if self.kind in ("grouped", "top-k"):
            self._feed_values(block)
            return
        if len(block) % self.shape.size:
            self.fault = self.fault or "rows of another length"
            return
        if self.kind == "distinct":
            for g, v in self.shape.iter_unpack(block):
                number = int(g)
                self.ids += number
                if int(v) != value_of(number - GROUP_BASE):
                    self.fault = self.fault or f"g {number} with v {int(v)}"
        elif self.kind == "sorted":
            last = self.last
            for one, _, _ in self.shape.iter_unpack(block):
                number = int(one)
                if number <= last:
                    self.fault = self.fault or f"id {number} after {last}"
                last = number
                self.ids += number
            self.last = last
        else:
            self.ids += sum(int(row[0]) for row in self.shape.iter_unpack(block))
        self.rows += len(block) // self.shape.size

    def _feed_values(self, block: bytes) -> None:
        rows, groups = self.layout.rows, self.layout.groups
        for frame in frames_of(block):
            row = _numbers(frame)
            self.rows += 1
            if self.kind == "top-k":
                self.firsts.append(row)
                continue
            group = row[0] - GROUP_BASE
            count = sum(n // groups + (group < n % groups) for n in rows)
            self.ids += row[0]
            if row[1:] != (count, count * value_of(group)):
                self.fault = self.fault or f"group {row[0]}: {row[1:]}, {count} rows wanted"

    def _wanted_firsts(self, most: int) -> list[tuple[int, ...]]:
        """The rows with the least v, then id: ids grow with the row, then with the shard."""
        rows, groups = self.layout.rows, self.layout.groups
        least = min(value_of(group) for group in range(min(groups, max(rows), 900)))
        found: list[tuple[int, ...]] = []
        for i in range(max(rows)):
            if value_of(i % groups) == least:
                found += [(ID_BASE + i * STEP + s, least) for s, n in enumerate(rows) if i < n]
                if len(found) >= most:
                    break
        return found[:most]

    def verdict(self) -> str:
        """The first fault, or nothing: counts and sums against the closed form."""
        layout = self.layout
        if self.kind == "top-k":
            wanted = self._wanted_firsts(10)
            return "" if self.firsts == wanted else f"{self.firsts}, {wanted} wanted"
        if self.kind in ("distinct", "grouped"):
            wanted = min(layout.groups, max(layout.rows))
            total = wanted * GROUP_BASE + wanted * (wanted - 1) // 2
        else:
            wanted = sum(layout.rows)
            total = sum(
                n * (ID_BASE + s) + STEP * n * (n - 1) // 2 for s, n in enumerate(layout.rows)
            )
        if self.rows != wanted:
            return self.fault or f"{self.rows} rows, {wanted} wanted"
        return self.fault or ("" if self.ids == total else "the sum of keys is wrong")


def ask(port: int, sql: str, each=None, timeout: float = 20.0, pause: float = 0.0) -> Heard:
    """Send a statement and read its answer block by block; `each(block)` sees the rows."""
    link, heard = dial(port), Heard()
    link.settimeout(timeout)
    began, frames = time.perf_counter(), pg.RowBlockSplitter(1 << 28)
    link.sendall(pg.query(sql))
    over = False
    while not over:
        data = link.recv(1 << 18)
        if not data:
            heard.error = "closed"
            break
        for kind, block, rows in frames.feed(data):
            if kind == 0x44:
                heard.rows += rows
                if each is not None:
                    each(block)
            elif kind == 0x45:
                problem = pg.read_error(block)
                heard.error = f"{problem.state} {problem.message}"
            elif kind == 0x5A:
                over = True
        if pause:
            time.sleep(pause)
    heard.seconds = time.perf_counter() - began
    link.close()
    return heard
