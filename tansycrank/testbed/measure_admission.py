"""`tansycrank measure fairness`, `door-memory`, `door-honesty` and `door-size`: what the door
keeps.

Fairness runs on real sockets with stand-in nodes; memory, honesty and size in simulated time or on
the policy alone, and say so.
"""

from __future__ import annotations

import gc
import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from multiprocessing import get_context
from pathlib import Path

import msgspec

from tansycrank.admission.actions import Admit
from tansycrank.admission.events import PeriodicTick, QueryArrived, QueryEnded
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings
from tansycrank.testbed.admission_emulator import Load, Play, Scene, jain
from tansycrank.testbed.engine import DISTRICTS
from tansycrank.testbed.local_cluster import TENANT_RULES, Layout, LocalCluster
from tansycrank.testbed.measures import cpu_seconds, machine, memory
from tansycrank.testbed.tenants import TenantSpec, TenantsSpec

ROOT = Path(__file__).parents[2]
MIB = 1 << 20
MEMORY_BOUND = 64  # MiB that the door may add to the process
SMALL = 10  # tenants beside the one that floods
CAPACITY = 140.0  # parts a second of the stand-in nodes below
SHARE = CAPACITY / (SMALL + 1)


def _phase(seed: int, seconds: float, door: bool, groups: list[tuple[TenantSpec, ...]]) -> dict:
    """One site, one load; what each tenant got, and the router's CPU."""
    more = TENANT_RULES + ("" if door else "[door]\nenabled = off\n")
    nature = {"cores": 1, "work_ms": 40.0, "cached": True}
    layout = Layout(nodes=6, shards=6, seed=seed, nature=nature, log_queries=False, rules_more=more)
    with LocalCluster(layout) as site:
        time.sleep(0.5)
        cpu = cpu_seconds(site.routers[0].pid)
        players = []
        for number, group in enumerate(groups):
            spec = TenantsSpec(site.ports[0], group, tuple(DISTRICTS), seconds, seed=seed + number)
            players.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "tansycrank.testbed.tenants",
                        msgspec.json.encode(spec).decode(),
                    ],
                    stdout=subprocess.PIPE,
                    cwd=ROOT,
                )
            )
        told: dict = {}
        for player in players:
            for name, found in msgspec.json.decode(
                player.communicate(timeout=seconds + 30)[0]
            ).items():
                _merge(told.setdefault(name, found), found)
        used = cpu_seconds(site.routers[0].pid) - cpu
    return {"tenants": told, "router_cpu": round(used / seconds, 2), "seconds": seconds}


def _merge(all_of: dict, one: dict) -> None:
    """Add what another process heard for the same tenant."""
    if all_of is not one:
        for key in ("asked", "answered", "in_aim", "refused", "given_up", "errors"):
            all_of[key] += one[key]


def _small(rate: float) -> tuple[TenantSpec, ...]:
    return tuple(TenantSpec(f"t_{n}", rate, 25) for n in range(SMALL))


def _figures(phase: dict) -> dict:
    told = phase["tenants"]
    small = [t for name, t in told.items() if name != "t_big"]
    asked = sum(t["asked"] for t in small)
    answered = sum(t["answered"] for t in told.values())
    return {
        "service of the others": round(sum(t["in_aim"] for t in small) / asked, 4),
        "goodput a second": round(answered / phase["seconds"], 1),
        "Jain's index of the others": round(jain([t["answered"] for t in small]), 4),
        "p99 of the others ms": sorted(round(t["p99_ms"], 1) for t in small),
        "asked a second": round(sum(t["asked"] for t in told.values()) / phase["seconds"], 1),
        "refused": sum(t["refused"] for t in told.values()),
        "errors": sum(t["errors"] for t in told.values()),
        "router_cpu": phase["router_cpu"],
    }


def fairness(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """One tenant at a hundred times its share beside ten others, on real sockets."""
    seconds = 6.0 if quick else 12.0
    base = 0.6 * SHARE
    floods = [
        (TenantSpec("t_big", 25 * SHARE, 40, "never"),)
    ] * 4  # four processes: 100 shares in all
    phases = {
        "without the flood": (True, [_small(base)]),
        "full load, no flood": (True, [_small(2 * SHARE)]),
        "with the flood": (True, [_small(base), *floods]),
        "with the flood, door off": (False, [_small(base), *floods]),
    }
    report: dict = {
        "measure": "fairness",
        "seed": seed,
        "machine": machine(),
        "share a second": SHARE,
    }
    report["flood a second"] = 100 * SHARE
    for name, (door, groups) in phases.items():
        found = _phase(seed, seconds, door, groups)
        report[name] = _figures(found)
        say(f"{name}: {report[name]}")
    calm, full, mixed = (report[name] for name in list(phases)[:3])
    report["service beside the flood"] = round(
        mixed["service of the others"] / calm["service of the others"], 4
    )
    report["goodput beside full load"] = round(
        mixed["goodput a second"] / full["goodput a second"], 4
    )
    report["aims"] = {
        "service of the others at least 0.95 of that without": report["service beside the flood"]
        >= 0.95,
        "goodput at least 0.95 of full load without flood": report["goodput beside full load"]
        >= 0.95,
    }
    report["held"] = all(report["aims"].values())
    return report


# --- on the policy alone -------------------------------------------------------------------


def _churn(
    policy: Policy, tenants: int, queries: int, clock: list[float], sample: Callable
) -> None:
    """So many queries from so many names, into a router that does a thousand a second."""
    inside: deque[tuple[int, float]] = deque()  # a thousand a second are done, in their order
    every = max(queries // 40, 1)
    for number in range(queries):
        clock[0] += 0.05
        name = f"tenant-{number % tenants}"
        event = QueryArrived(number, name, f"{name}/x", 0, 1, 1000.0, 1, number + 1, 200)
        actions = policy.step(clock[0], [event])
        if number % 20 == 0 and inside:
            done, began = inside.popleft()
            actions += policy.step(
                clock[0], [QueryEnded(done, "answered", clock[0] - began), PeriodicTick()]
            )
        inside.extend((action.id, clock[0]) for action in actions if isinstance(action, Admit))
        if number % every == 0:
            sample(number)


def _memory_run(tenants: int, size: int) -> dict:
    """In a process of its own: what the system counts for it, from before the first query on."""
    policy, clock, points = Policy(Settings(useful_times=(1000.0,))), [0.0], []
    gc.collect()
    base = memory(os.getpid())

    def sample(number: int) -> None:
        points.append((number, round((memory(os.getpid()) - base) / MIB, 2)))

    began = time.process_time()
    _churn(policy, tenants, size, clock, sample)
    used = time.process_time() - began
    return {
        "base_mib": round(base / MIB, 1),
        "peak_over_base_mib": round((memory(os.getpid(), "VmHWM") - base) / MIB, 1),
        "refused": sum(policy.counts[k] for k in ("line", "late", "full", "pushed")),
        "tenants known": len(policy.tenants),
        "places": policy.reservations.count,
        "cpu_us_a_query": round(used / size * 1e6, 1),
        "points": points,
    }


def door_memory(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """Bytes the door holds through a million names and a million refusals: a flat line."""
    size = 100_000 if quick else 1_100_000
    report: dict = {"measure": "door-memory", "seed": seed, "machine": machine(), "queries": size}
    report["bound_mib"] = MEMORY_BOUND
    for kind, tenants in (("distinct tenants", size), ("refused queries of 50 tenants", 50)):
        with get_context("spawn").Pool(1) as pool:
            report[kind] = pool.apply(_memory_run, (tenants, size))
        say(f"{kind}: { {k: v for k, v in report[kind].items() if k != 'points'} }")
    kinds = [v for v in report.values() if isinstance(v, dict) and "points" in v]
    report["held"] = all(k["peak_over_base_mib"] <= MEMORY_BOUND for k in kinds)
    return report


# --- in simulated time ---------------------------------------------------------------------


def _honest_scene(seed: int, seconds: float, faults=(), manner: str = "patient") -> Scene:
    loads = [
        Load(f"t{n}", 60.0, manner if n % 2 else "patient", limits=Limits(1 + n % 3))
        for n in range(10)
    ]
    return Scene(loads, seconds=seconds, nodes=8, slots=2, shards=8, seed=seed, faults=faults)


def door_honesty(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """Promised waits beside real ones, simulated: steady overload, and half the nodes lost and
    back.
    """
    seconds = 12.0 if quick else 40.0
    third = seconds / 3
    faults = ((third, "die", 0.5), (2 * third, "back", 0.5))
    report: dict = {
        "measure": "door-honesty",
        "seed": seed,
        "simulated": True,
        "machine": machine(),
    }
    for name, scene, since in (
        ("steady overload", _honest_scene(seed, seconds), 3.0),
        ("half never come back", _honest_scene(seed, seconds, manner="never"), 3.0),
        ("half the nodes lost and back", _honest_scene(seed, seconds, faults), 3.0),
    ):
        play = Play(scene).run()
        report[name] = play.honesty(since=since)
        report[name]["errors"] = _spread(play, since)
        report[name]["Jain's index"] = round(play.jain([load.name for load in scene.loads]), 4)
        if faults and "lost" in name:
            for label, begin in (("before", since), ("while lost", third), ("after", 2 * third)):
                report[name][label] = play.honesty(
                    since=begin, until=begin + third - (begin == since) * since
                )
            report[name]["limit and drain"] = play.limits[::10]
        say(
            f"{name}: "
            f"{ {k: v for k, v in report[name].items() if k not in ('errors', 'limit and drain')} }"
        )
    runs = [v for v in report.values() if isinstance(v, dict) and "errors" in v]
    report["aims"] = {
        "median error under 0.2": all(r["median error"] < 0.2 for r in runs),
        "nine in ten within 0.5": all(r["nine in ten"] <= 0.5 for r in runs),
        "let in on return at least 0.9": all(r["let in on return"] >= 0.9 for r in runs),
    }
    report["held"] = all(report["aims"].values())
    return report


def _spread(play: Play, since: float) -> list[float]:
    errors = sorted(
        (p.wait - p.took) / max(p.took, 1.0)
        for p in play.promises
        if p.took >= 0 and p.at / 1000 >= since
    )
    return [round(errors[int(len(errors) * q / 100)], 4) for q in range(0, 100)] if errors else []


def door_size(seed: int = 1, quick: bool = False, say: Callable[[str], None] = print) -> dict:
    """40 routers, 135 nodes, 5,000 tenants in simulated time, with the module; CPU a decision."""
    routers, nodes, tenants, seconds = (8, 27, 1000, 5.0) if quick else (40, 135, 5000, 14.0)
    small = [f"t{n}" for n in range(tenants - 1)]
    rate = 0.55 * nodes * 4 * 10 / len(small)
    report: dict = {"measure": "door-size", "seed": seed, "simulated": True, "machine": machine()}
    report |= {"routers": routers, "nodes": nodes, "tenants": tenants, "seconds": seconds}
    for name, flood in (("without the flood", 0.0), ("with the flood", 1.1 * nodes * 40)):
        loads = [Load(n, rate, clients=1) for n in small]
        if flood:
            loads.append(Load("big", flood, "never", clients=200))
        scene = Scene(
            loads,
            seconds=seconds,
            routers=routers,
            nodes=nodes,
            shards=nodes,
            slots=4,
            work_ms=100,
            seed=seed,
        )
        play = Play(scene)
        timed = [0.0, 0]
        for router in play.routers:
            router.policy.step = _timed(router.policy.step, timed)
        play.run()
        report[name] = {
            "service of the others": round(play.service(small), 4),
            "goodput a second": round(play.goodput()),
            "capacity a second": scene.capacity,
            "honesty": play.honesty(since=2.0),
            "decisions": timed[1],
            "cpu_us_a_decision": round(timed[0] / max(timed[1], 1) * 1e6, 1),
            "wall_s": round(play.wall, 1),
        }
        say(f"{name}: {report[name]}")
    ratio = (
        report["with the flood"]["service of the others"]
        / report["without the flood"]["service of the others"]
    )
    report["service beside the flood"] = round(ratio, 4)
    report["held"] = ratio >= 0.95
    return report


def _timed(step: Callable, timed: list) -> Callable:
    def run(now, events):
        began = time.perf_counter()
        actions = step(now, events)
        timed[0] += time.perf_counter() - began
        timed[1] += 1
        return actions

    return run


def plot(report: dict, path: str) -> None:
    """What a report has to show: memory over queries, or the distribution of errors."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, found in report.items():
        if not isinstance(found, dict):
            continue
        if "points" in found:
            axes.plot(*zip(*found["points"], strict=True), label=name)
        elif "errors" in found:
            axes.plot([100 * e for e in found["errors"]], range(len(found["errors"])), label=name)
    if report["measure"] == "door-memory":
        axes.set_xlabel("queries")
        axes.set_ylabel("MiB of the process beside what it began with")
        axes.axhline(report["bound_mib"], color="grey", linestyle="--", label="bound")
        axes.set_ylim(0)
    else:
        axes.set_xlabel("promised beside real wait, error in percent")
        axes.set_ylabel("percent of promises")
        axes.set_xlim(-100, 100)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


MEASURES = {
    "fairness": fairness,
    "door-memory": door_memory,
    "door-honesty": door_honesty,
    "door-size": door_size,
}
