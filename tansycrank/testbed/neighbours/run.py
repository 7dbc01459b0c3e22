"""Measures what usual clients get beside each kind of hostile client: `measure neighbours`."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec

from tansycrank.testbed.memory import anonymous_memory_mb
from tansycrank.testbed.neighbours.hostile import KINDS, UNSAFE_KINDS, HostileSpec
from tansycrank.testbed.neighbours.usual import Sample, UsualSpec
from tansycrank.testbed.ports import ReservedPort
from tansycrank.testbed.soak import records
from tansycrank.testbed.soak.node import NodeSpec
from tansycrank.testbed.soak.parties import ROOT, StartFailedError, start_module
from tansycrank.testbed.soak.plan import SHARDS, draw
from tansycrank.testbed.soak.records import NodeEvent, NodeEventKind

NODES = 12
READY_SECONDS = 30.0
CALM_SECONDS = 1.0  # without hostile clients, before and after them
TROUBLE_SECONDS = 6.0
SETTLE_SECONDS = 1.0  # for what data nodes still have to note
MEMORY_INTERVAL = 0.01  # s between two readings of the router's memory
THROTTLE_PERIOD = 0.1  # s in which a router with a part of a core is stopped once
PEAK_TARGET = 0.8  # of the memory limit
LONGEST_TARGET_MS = 100.0  # above the longest wait without hostile clients
PEER_TIMEOUT = 30.0  # s for a process of the measurement to end


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the router: `cores` below 1 is enforced by stopping and continuing it."""

    memory_mb: float = 64
    sockets: int = 1024
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Line:
    """What was measured beside one kind. Times are ms, memory is MB."""

    kind: str
    requests: int
    served: int
    refused: int
    lost: int
    p50: float
    longest: float
    first_memory: float
    peak_memory: float
    run_twice: int  # ids that are not idempotent of which a shard reached nodes more than once
    sends: int  # of such ids; others may be hedged
    is_alive: bool
    endings: dict[str, int]  # of usual requests without an answer, by what their client saw


class Router:
    """A router process with data nodes and without discovery: it keeps its configured list."""

    def __init__(self, folder: Path, limits: Limits) -> None:
        self.folder, self.limits = folder, limits
        self.reserved, self._no_discovery = ReservedPort(), ReservedPort()
        self.port = self.reserved.number
        with ThreadPoolExecutor(NODES) as pool:
            self.nodes = list(pool.map(self._start_node, range(NODES)))
        self.process = self._start()
        self._is_over = threading.Event()
        self._threads: list[threading.Thread] = []
        self.memory: list[float] = []

    def _start_node(self, number: int) -> tuple[subprocess.Popen, int]:
        spec = NodeSpec(f"s-{number}", str(self.folder / f"node-{number}.jsonl"), number, idle=60e3)
        process, told = start_module("node", spec)
        return process, told["port"]

    def _start(self) -> subprocess.Popen:
        plan = draw(1)
        settings = plan.settings
        settings["discovery"] = "ask"
        for service in settings["services"]:
            service.update(aim=900.0, giveUp=1500.0)
        servers = [
            {
                "id": f"s-{number}",
                "addr": f"127.0.0.1:{port}",
                "zone": "a",
                "cell": number % SHARDS,
                "state": "in_service",
            }
            for number, (_, port) in enumerate(self.nodes)
        ]
        path = self.folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{self._no_discovery.number}",
                    "limits": asdict(self.limits),
                    "known": {"version": 1, "full": True, "servers": servers},
                    "settings": settings,
                }
            )
        )
        variables = os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        with (self.folder / "router.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "tansycrank", "run"],
                cwd=self.folder,
                stderr=log,
                env=variables,
            )

    def wait_until_ready(self) -> None:
        """Raise StartFailedError if it is not ready in time."""
        until = time.monotonic() + READY_SECONDS
        log = self.folder / "router.log"
        while b"became_ready" not in log.read_bytes():
            if time.monotonic() > until or self.process.poll() is not None:
                raise StartFailedError(log.read_text()[-1500:])
            time.sleep(0.02)

    def watch(self) -> None:
        """Record the memory of the process, and throttle it, until `close`."""
        self._run(self._record_memory)
        if self.limits.cores < 1:
            self._run(self._throttle)

    def _run(self, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _record_memory(self) -> None:
        while not self._is_over.wait(MEMORY_INTERVAL):
            with contextlib.suppress(OSError, TypeError):
                self.memory.append(anonymous_memory_mb(self.process.pid))

    def _throttle(self) -> None:
        stopped = THROTTLE_PERIOD * (1 - self.limits.cores)
        while not self._is_over.wait(THROTTLE_PERIOD - stopped):
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(stopped)
            self.process.send_signal(signal.SIGCONT)

    def node_events(self) -> list[NodeEvent]:
        """All that the data nodes have noted."""
        return [
            event
            for number in range(NODES)
            for event in records.read(self.folder / f"node-{number}.jsonl", NodeEvent)
        ]

    def close(self) -> None:
        """End all processes that it started."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()
        for process in [self.process, *(process for process, _ in self.nodes)]:
            process.kill()
            process.wait()
        self.reserved.release()
        self._no_discovery.release()


@contextlib.contextmanager
def running(limits: Limits, folder: Path | None = None) -> Iterator[Router]:
    """A ready router; `folder` keeps its log."""
    with tempfile.TemporaryDirectory(prefix="tansycrank-neighbours-") as made:
        place = folder or Path(made)
        place.mkdir(parents=True, exist_ok=True)
        router = Router(place, limits)
        try:
            router.wait_until_ready()
            yield router
        finally:
            router.close()


def play(
    kind: str | None,
    limits: Limits,
    folder: Path | None = None,
    seed: int = 1,
    seconds: float = TROUBLE_SECONDS,
) -> Line:
    """Play usual clients beside one kind of hostile ones for `seconds`, or beside none."""
    with running(limits, folder) as router:
        usual = _start("usual", UsualSpec(router.port, seconds + 2 * CALM_SECONDS))
        time.sleep(CALM_SECONDS)
        router.watch()
        if kind is not None:
            hostile = _start("hostile", HostileSpec(kind, router.port, seconds, seed))
        printed, _ = usual.communicate(timeout=seconds + PEER_TIMEOUT)
        if kind is not None:
            hostile.wait(PEER_TIMEOUT)
        time.sleep(SETTLE_SECONDS)
        samples = msgspec.json.decode(printed, type=list[Sample])
        is_alive = router.process.poll() is None
        return _line(kind or "none", samples, router, is_alive)


def _start(module: str, spec: msgspec.Struct) -> subprocess.Popen:
    name = f"tansycrank.testbed.neighbours.{module}"
    command = [sys.executable, "-m", name, msgspec.json.encode(spec).decode()]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE)


def _line(kind: str, samples: list[Sample], router: Router, is_alive: bool) -> Line:
    statuses = Counter(sample.status for sample in samples)
    waits = sorted(sample.seconds * 1000 for sample in samples)
    calls = Counter(
        (event.request, event.shard)
        for event in router.node_events()
        if event.kind is NodeEventKind.CALL and event.request.startswith(UNSAFE_KINDS)
    )
    return Line(
        kind=kind,
        requests=len(samples),
        served=statuses[200],
        refused=statuses[503],
        lost=statuses[0],
        p50=round(waits[len(waits) // 2], 1),
        longest=round(waits[-1], 1),
        first_memory=round(router.memory[0], 1),
        peak_memory=round(max(router.memory), 1),
        run_twice=len({request for (request, _), number in calls.items() if number > 1}),
        sends=sum(calls.values()),
        is_alive=is_alive,
        endings=dict(
            Counter(
                f"{'kept' if one.is_kept else 'new'}: {one.detail[:40]}"
                for one in samples
                if not one.status
            )
        ),
    )


def neighbours(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """Measure each kind beside none; `quick` plays one run a line, else three."""
    limits, lines = Limits(), []
    for _ in range(1 if quick else 3):
        for kind in (None, *KINDS):
            line = play(kind, limits, seed=seed)
            lines.append(line)
            say(describe(line, limits))
    return {"lines": [asdict(line) for line in lines], "held": all(line.is_alive for line in lines)}


def describe(line: Line, limits: Limits) -> str:
    """One line of the table."""
    return (
        f"{line.kind:24} memory {line.first_memory:5.1f} -> {line.peak_memory:5.1f} of "
        f"{limits.memory_mb:g}; {line.served} served, {line.refused} refused, {line.lost} lost of "
        f"{line.requests}; p50 {line.p50:.0f}, longest {line.longest:.0f} ms; "
        f"{line.run_twice} ids twice; {line.endings or ''}"
    )
