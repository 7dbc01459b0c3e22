"""`tansycrank measure merge`: large answers beside a direct connection, their memory, small
queries.
"""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from tansycrank.testbed.bulk_cluster import BulkCluster, BulkLayout, Checker, ask, skewed
from tansycrank.testbed.bulk_data import ID_BASE
from tansycrank.testbed.load_generator import HammerSpec
from tansycrank.testbed.measures import cpu_seconds, machine, memory

MIB = 1 << 20
GROUPS = 1_000_000
MANY_GROUPS = 10_000_000
ROOT = Path(__file__).parents[2]
KINDS = {
    "export": "SELECT id, g, v FROM bulk",
    "sorted": "SELECT id, g, v FROM bulk ORDER BY id",
    "distinct": "SELECT DISTINCT g, v FROM bulk",
    "grouped": "SELECT g, count(*), sum(v) FROM bulk GROUP BY g",
    "top-k": "SELECT id, v FROM bulk ORDER BY abs(v), id LIMIT 10",
}
AIM_SHARE = 1 / 3  # of the direct rate, for export and sorted
SLACK = 24 * MIB  # the interpreter, its buffers and the kernel's, beside what the bound counts


def one(site: BulkCluster, kind: str) -> dict:
    """Run one statement; rate, peak memory of the router, verdict of the check."""
    layout, pid = site.layout, site.router.pid
    checker = Checker(kind, layout)
    site.reset_peak()
    base, cpu = memory(pid), cpu_seconds(pid)
    heard = ask(site.port, KINDS[kind], checker.feed, timeout=900)
    fault = heard.error or checker.verdict()
    total = sum(layout.rows)
    return {
        "seconds": round(heard.seconds, 2),
        "rows_in": total,
        "rows_out": heard.rows,
        "rows_in_a_second": round(total / heard.seconds),
        "router_cpu": round(cpu_seconds(pid) - cpu, 2),
        "base_mib": round(base / MIB, 1),
        "peak_mib": round(memory(pid, "VmHWM") / MIB, 1),
        "fault": fault,
    }


def direct(site: BulkCluster) -> float:
    """Rows a second of one connection straight to the large shard, with the same client and
    check.
    """
    checker = Checker("direct", site.layout)
    heard = ask(site.node_ports[0], "SELECT id, g, v FROM s0000.bulk", checker.feed, timeout=240)
    return heard.rows / heard.seconds


def small_beside_large(seconds: float, large: int) -> dict:
    """Latency of one-part look-ups alone, and with so many large merges running.

    The same look-ups straight at a node tell how much of the difference is the busy stand-ins' own.
    """
    layout = BulkLayout(rows=skewed(1_000_000), groups=GROUPS)
    lookups = tuple(f"SELECT id, g, v FROM bulk WHERE id = {ID_BASE + n}" for n in range(0, 160, 7))
    report: dict = {"large merges": large}
    with BulkCluster(layout) as site:
        command = [sys.executable, "-m", "tansycrank.testbed.load_generator"]

        def hammer(
            statements: tuple[str, ...], connections: int, span: float, port=0
        ) -> subprocess.Popen:
            spec = HammerSpec(port or site.port, statements, connections, span)
            return subprocess.Popen(
                [*command, msgspec.json.encode(spec).decode()], stdout=subprocess.PIPE, cwd=ROOT
            )

        def told(process: subprocess.Popen) -> dict:
            return msgspec.json.decode(process.communicate()[0])

        straight = tuple(sql.replace("FROM bulk", "FROM s0000.bulk") for sql in lookups)
        node = site.node_ports[0]
        report["alone"] = told(hammer(lookups, 4, seconds))
        report["node alone"] = told(hammer(straight, 4, seconds / 2, node))
        running = [
            hammer((KINDS["sorted"], KINDS["export"]), large // 3, seconds + 30) for _ in range(3)
        ]
        time.sleep(2.0)
        site.reset_peak()
        report["beside"] = told(hammer(lookups, 4, seconds))
        report["node beside"] = told(hammer(straight, 4, seconds / 2, node))
        report["peak_mib"] = round(memory(site.router.pid, "VmHWM") / MIB, 1)
        for process in running:
            process.kill()
            process.communicate()
    report["p99 ratio"] = round(report["beside"]["p99"] / report["alone"]["p99"], 2)
    return report


def merge(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """Large answers: exact, in bounded memory at every size, at a share of a direct connection's
    rate.
    """
    sizes = (300_000, 600_000) if quick else (1_000_000, 5_000_000, 20_000_000)
    report: dict = {
        "measure": "merge",
        "seed": seed,
        "machine": machine(),
        "groups": GROUPS,
        "sizes": {},
    }
    bound = BulkLayout(rows=[]).process
    for size in sizes:
        layout = BulkLayout(rows=skewed(size), groups=GROUPS if not quick else 50_000)
        found: dict = {}
        with BulkCluster(layout) as site:
            found["direct rows a second"] = round(direct(site))
            for kind in KINDS:
                if kind == "top-k" and size > 5_000_000:
                    continue
                found[kind] = one(site, kind)
                say(f"{size:>10,} {kind:9} {found[kind]}")
        report["sizes"][str(size)] = found
    many = MANY_GROUPS if not quick else 200_000
    layout = BulkLayout(rows=[many] + [many // 100] * 7, groups=many)
    with BulkCluster(layout) as site:
        found = {"grouped": one(site, "grouped")}
    report["many groups"] = {str(many): found}
    say(f"{many:>10,} groups    {found['grouped']}")
    wide = BulkLayout(
        rows=skewed(sizes[0]),
        groups=GROUPS if not quick else 50_000,
        process=8 << 30,
        query=8 << 30,
    )
    with BulkCluster(wide) as site:
        report["all in memory"] = {kind: one(site, kind) for kind in ("distinct", "grouped")}
    report["small beside large"] = small_beside_large(3.0 if quick else 6.0, 30)
    last = report["sizes"][str(sizes[-1])]
    shares = {
        kind: last[kind]["rows_in_a_second"] / last["direct rows a second"]
        for kind in ("export", "sorted")
    }
    report["share of direct"] = {kind: round(share, 3) for kind, share in shares.items()}
    report["bound_mib"] = bound // MIB
    all_runs = [*report["sizes"].values(), *report["many groups"].values()]
    runs = [run for found in all_runs for run in found.values() if isinstance(run, dict)]
    report["aims"] = {
        "all answers equal the reference": not any(run["fault"] for run in runs),
        "peak under the bound, the base of the process apart": all(
            run["peak_mib"] - run["base_mib"] <= (bound + SLACK) / MIB for run in runs
        ),
        "export at a third of the direct rate": shares["export"] >= AIM_SHARE,
        "sorted at a third of the direct rate": shares["sorted"] >= AIM_SHARE,
    }
    report["held"] = all(report["aims"].values())
    return report


def plot(report: dict, path: str) -> None:
    """Peak memory over rows, a line a kind, with the bound."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for kind in KINDS:
        points = [
            (int(size) / 1e6, found[kind]["peak_mib"])
            for size, found in report["sizes"].items()
            if kind in found
        ]
        axes.plot(*zip(*points, strict=True), marker="o", label=kind)
    axes.axhline(
        report["bound_mib"] + 45, color="grey", linestyle="--", label="bound and interpreter"
    )
    axes.set_xscale("log")
    axes.set_xlabel("rows read from 8 shards, one a hundred times the others (millions)")
    axes.set_ylabel("peak memory of the router (MiB)")
    axes.set_ylim(0)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
