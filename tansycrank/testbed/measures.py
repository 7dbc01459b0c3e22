"""Measurements: a router beside the same client straight at one stand-in node, in one run."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from tansycrank.postgres import messages as pg
from tansycrank.testbed.load_generator import READY, HammerSpec, dial
from tansycrank.testbed.local_cluster import Layout, LocalCluster

Say = Callable[[str], None]
TICK = os.sysconf("SC_CLK_TCK")
AIM_ADDED_MS, AIM_ONE, AIM_EIGHT = 1.5, 1000.0, 400.0
ROOT = Path(__file__).parents[2]


def machine() -> dict:
    """What this ran on."""
    model = ""
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":", 1)[1].strip()
            break
    return {
        "cpu": model,
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "kernel": platform.release(),
    }


def cpu_seconds(pid: int) -> float:
    """CPU time of a process so far, from the system's accounting."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def memory(pid: int, what: str = "VmRSS") -> int:
    """Bytes of resident memory (VmRSS now, VmHWM at most), from the system's accounting."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(what + ":"):
            return int(line.split()[1]) * 1024
    return 0


def spread(values: list[float]) -> dict:
    """Minimum, median, maximum."""
    return {
        "min": round(min(values), 3),
        "median": round(statistics.median(values), 3),
        "max": round(max(values), 3),
    }


def quantile(values: list[float], share: float) -> float:
    """An order statistic."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


class RawClient:
    """One blocking session that sends a statement and waits for its end."""

    def __init__(self, port: int) -> None:
        self.link = dial(port)

    def ask(self, frame: bytes) -> float:
        """Milliseconds until ReadyForQuery."""
        began = time.perf_counter()
        self.link.sendall(frame)
        data = b""
        while data[-6:-1] != READY:
            data += self.link.recv(1 << 20)
        if data[:1] == b"E":
            raise RuntimeError(pg.read_error(data).message)
        return (time.perf_counter() - began) * 1000


def paired(
    direct: RawClient, routed: RawClient, straight: bytes, through: bytes, rounds: int
) -> dict:
    """The same client, in turns straight at the node and through the router."""
    for _ in range(60):
        direct.ask(straight)
        routed.ask(through)
    a, b = [], []
    for _ in range(rounds):
        a.append(direct.ask(straight))
        b.append(routed.ask(through))
    return {
        "direct": {"p50": quantile(a, 0.5), "p99": quantile(a, 0.99)},
        "routed": {"p50": quantile(b, 0.5), "p99": quantile(b, 0.99)},
        "added_p50": quantile(b, 0.5) - quantile(a, 0.5),
        "added_p99": quantile(b, 0.99) - quantile(a, 0.99),
    }


def rate(
    port: int, pid: int, statements: list[str], seconds: float, processes: int, connections: int
) -> dict:
    """Answers a second in all, and a second of the router's own CPU."""
    spec = HammerSpec(port, tuple(statements), connections, seconds)
    command = [
        sys.executable,
        "-m",
        "tansycrank.testbed.load_generator",
        msgspec.json.encode(spec).decode(),
    ]
    running = [
        subprocess.Popen(command, stdout=subprocess.PIPE, cwd=ROOT) for _ in range(processes)
    ]
    time.sleep(0.8)
    before, at = cpu_seconds(pid), time.perf_counter()
    time.sleep(seconds - 0.8)
    used, span = cpu_seconds(pid) - before, time.perf_counter() - at
    told = [msgspec.json.decode(p.communicate()[0]) for p in running]
    answers, errors = sum(t["answers"] for t in told), sum(t["errors"] for t in told)
    a_second = answers / seconds
    return {
        "answers_a_second": round(a_second, 1),
        "errors": errors,
        "router_cpu_share": round(used / span, 3),
        "answers_a_cpu_second": round(a_second * span / used, 1) if used else None,
        "p50_ms": round(statistics.median(t["p50"] for t in told), 2),
    }


def overhead(seed: int = 1, quick: bool = False, say: Say = print) -> dict:
    """What the router adds: latency for one part and eight, answers a second, memory of an idle
    session.
    """
    rounds, seconds, idle, repeats = (300, 3.0, 400, 1) if quick else (1500, 6.0, 1500, 3)
    layout = Layout(
        nodes=8,
        shards=8,
        reach=3,
        seed=seed,
        scale=0.1,
        log_queries=False,
        aim=2000,
        give_up=4000,
        report_aim=2000,
        listen_more="max_sessions = 5000",
        nature={"work_ms": 0.0, "cached": True},
    )
    one = "SELECT id, fare, note FROM trips WHERE district = 'Quan 1' AND id < 40 ORDER BY id"
    eight = "SELECT id, fare FROM trips WHERE id < 40 ORDER BY id LIMIT 20"
    report: dict = {"measure": "overhead", "seed": seed, "machine": machine(), "rounds": rounds}
    with LocalCluster(layout) as site:
        site.wait_ready()
        pid = site.routers[0].pid
        holder = site.nodes[1]
        direct, routed = RawClient(holder.port), RawClient(site.ports[0])
        say("paired latencies ...")
        report["one part"] = paired(
            direct, routed, pg.query(one.replace("trips", "s0000.trips")), pg.query(one), rounds
        )
        report["eight parts"] = paired(
            direct, routed, pg.query(eight.replace("trips", "s0000.trips")), pg.query(eight), rounds
        )
        say("rates ...")
        ones = [
            one.replace("Quan 1", name)
            for name in (
                "Quan 1",
                "Quan 3",
                "Quan 4",
                "Quan 5",
                "Quan 6",
                "Quan 7",
                "Quan 8",
                "Quan 10",
            )
        ]
        report["rate, one part"] = [
            rate(site.ports[0], pid, ones, seconds, 2, 6) for _ in range(repeats)
        ]
        report["rate, eight parts"] = [
            rate(site.ports[0], pid, [eight], seconds, 2, 4) for _ in range(repeats)
        ]
        report["rate, direct"] = [
            rate(
                holder.port,
                holder.process.pid,
                [one.replace("trips", "s0000.trips")],
                seconds / 2,
                1,
                6,
            )
        ]
        say("idle sessions ...")
        before = memory(pid)
        links = [dial(site.ports[0]) for _ in range(idle)]
        report["idle session bytes"] = round((memory(pid) - before) / idle)
        for link in links:
            link.close()
    one_rate = statistics.median(r["answers_a_cpu_second"] for r in report["rate, one part"])
    eight_rate = statistics.median(r["answers_a_cpu_second"] for r in report["rate, eight parts"])
    report["spread, one part"] = spread(
        [r["answers_a_cpu_second"] for r in report["rate, one part"]]
    )
    report["spread, eight parts"] = spread(
        [r["answers_a_cpu_second"] for r in report["rate, eight parts"]]
    )
    report["aims"] = {
        "one part: at most 1.5 ms added at p50": report["one part"]["added_p50"] <= AIM_ADDED_MS,
        "one part: 1,000 a second on a core": one_rate >= AIM_ONE,
        "eight parts: 400 a second on a core": eight_rate >= AIM_EIGHT,
    }
    report["held"] = all(report["aims"].values())
    return report


MEASURES: dict[str, Callable[..., dict]] = {"overhead": overhead}
