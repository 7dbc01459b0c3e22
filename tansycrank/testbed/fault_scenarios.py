"""Scripted troubles played through running routers, and their verdicts."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from tansycrank import clock
from tansycrank.testbed.checkers import Figures, Told, judge
from tansycrank.testbed.load import LoadSpec
from tansycrank.testbed.local_cluster import TENANT_RULES, Layout, LocalCluster

Say = Callable[[str], None]
CONSOLES = """
[tenant consoles]
users = demo
min_share = 0.7
"""  # the tenant of the day's own load
FLOOD = 60  # clients of the tenant that floods
BUDGET = (10.0, 0.2, 2000.0)


class Script:
    """Steps at their times, on a site whose words to the roster are kept for the checkers."""

    def __init__(self, site: LocalCluster, say: Say) -> None:
        self.site, self.say = site, say
        self.told: list[Told] = []
        self.steps: list[tuple[float, str, Callable[[], None]]] = []

    def at(self, seconds: float, text: str, act: Callable[[], None]) -> None:
        """Plan a step."""
        self.steps.append((seconds, text, act))

    def tell(self, node: int, status: str, delay_ms: float = 0.0) -> None:
        """Through the roster, noted."""
        self.told.append(Told(node, status, clock.monotonic_ms() + delay_ms))
        self.site.tell(node, status, delay_ms)

    def kill(self, node: int, told_after_ms: float) -> None:
        """A node dies, the roster is late."""
        self.site.kill(node)
        self.tell(node, "gone", told_after_ms)

    def revive(self, node: int) -> None:
        """It is back, cold."""
        self.site.revive(node, told_after_ms=200)
        self.told.append(Told(node, "ready", clock.monotonic_ms()))

    def play(self, load: subprocess.Popen, seconds: float) -> None:
        """Carry the steps out while the load runs."""
        began = time.monotonic()
        for when, text, act in sorted(self.steps, key=lambda step: step[0]):
            time.sleep(max(0.0, began + when - time.monotonic()))
            self.say(f"{when:5.1f} s  {text}")
            act()
        load.wait(timeout=max(1.0, began + seconds + 25 - time.monotonic()))


def start_load(
    site: LocalCluster, name: str, user: str = "", **more
) -> tuple[subprocess.Popen, Path]:
    """A process of clients, as this user; its notes come to the file named."""
    out = site.folder / f"{name}.jsonl"
    spec = LoadSpec(
        dsns=tuple(
            site.dsn(me) + (f" user={user}" if user else "") for me in range(site.layout.routers)
        ),
        out=str(out),
        config=str(site.folder / "router-0.ini"),
        scale=site.layout.scale,
        **more,
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "tansycrank.testbed.load", msgspec.json.encode(spec).decode()],
        cwd=Path(__file__).parents[2],
    )
    return process, out


def read_notes(path: Path) -> list[dict]:
    """A load's notes."""
    return [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]


def day_layout(seed: int) -> Layout:
    """The site of the bad day: twelve nodes in three zones, two routers, a budget."""
    return Layout(
        nodes=12,
        shards=12,
        routers=2,
        seed=seed,
        aim=800,
        give_up=1500,
        report_aim=1000,
        report_give_up=1500,
        cold_ms=5000,
        budget=BUDGET,
        scale=0.25,
        rules_more=TENANT_RULES + CONSOLES,
        nature={
            "work_ms": 6.0,
            "cold_from": 0.2,
            "multiple": 2.0,
            "window_ms": 1500.0,
            "one_way_ms": 0.3,
        },
    )


def bad_day(
    seed: int = 1, quick: bool = False, say: Say = print, broken: int = 0, folder: str | None = None
) -> dict:
    """The scripted bad day. `broken` runs routers with that rule broken on purpose."""
    seconds = 16.0 if quick else 30.0
    unit = seconds / 30.0
    layout = day_layout(seed)
    with LocalCluster(layout, folder) as site:
        if broken:
            site.stop_routers()
            site.serve = ("tansycrank.testbed.mutations", str(broken))
            site.start_routers()
        for me in range(layout.routers):
            site.wait_ready(me)
        script = Script(site, say)
        _write_day(script, unit, stays=broken == 3)
        # a break shows only where there is occasion: many writes for rule 2, a drained node that
        # lives for 3
        writes = 0.5 if broken == 2 else 0.06
        load, out = start_load(
            site, "load", clients=48, seconds=seconds, seed=seed, deadline_ms=1500.0, writes=writes
        )
        flood, flood_out = _start_flood(site, seed, seconds)
        script.play(load, seconds)
        flood.wait(timeout=30)
        time.sleep(0.5)
        mine, flooded, journal = read_notes(out), read_notes(flood_out), site.journal()
        notes = mine + flooded
        verdict = judge(notes, journal, script.told, Figures(budget=BUDGET))
        for node in site.nodes.values():
            if node.started and node.process.poll() is None:
                verdict.cold_peaks[node.id] = site.stats(node.id)["peak"]
        left = {me: site.routers[me].poll() for me in range(layout.routers)}
    report = verdict.report()
    answered = sum(n["outcome"] == "answered" for n in mine)
    report |= {
        "drill": "bad-day",
        "seed": seed,
        "seconds": seconds,
        "broken on purpose": broken or None,
        "answered share": round(answered / max(len(mine), 1), 4),
        "flood": {"asked": len(flooded), "refused": sum(n["outcome"] == "53T01" for n in flooded)},
        "routers alive": all(code is None for code in left.values()),
    }
    kinds = {f"{n['effect']} {n['outcome']}" for n in notes}
    report["exercised"] = {
        "queries": len(notes) > 100,
        "writes": "unsafe answered" in kinds,
        "keyed": "keyed answered" in kinds,
        "leavers": "safe left" in kinds,
        "cancels": any(e["ev"] == "cancel" for e in journal),
        "flood": sum(n["outcome"] == "53T01" for n in flooded) > 100,
        "resets": any(e["ev"] == "reset" for e in journal),
        "cold": len(verdict.cold_peaks) >= 3,
    }
    if broken:
        caught = bool(verdict.breaks[broken])
        report["held"] = caught
        say(f"rule {broken} broken on purpose: {'caught' if caught else 'NOT caught'}")
    else:
        report["held"] = (
            verdict.kept and report["routers alive"] and all(report["exercised"].values())
        )
    return report


def _start_flood(site: LocalCluster, seed: int, seconds: float) -> tuple[subprocess.Popen, Path]:
    """Another tenant, from the first trouble to the last: clients that ask again at once when
    refused.
    """
    return start_load(
        site,
        "flood",
        user="t_flood",
        clients=FLOOD,
        seconds=seconds * 0.8,
        seed=seed + 500,
        think_ms=1.0,
        deadline_ms=1500.0,
        writes=0.0,
        keyed=0.0,
        leavers=0.0,
    )


def _write_day(script: Script, unit: float, stays: bool = False) -> None:
    site = script.site
    shard_0 = [1, 2, 3]  # cells 0, 1, 2
    quarter = [4, 8, 12]
    script.at(
        1.5 * unit,
        "all three nodes of shard 0 are slow (x 40)",
        lambda: site.faults(shard_0, slow=40.0),
    )
    script.at(5.0 * unit, "they are well again", lambda: site.faults(shard_0, slow=1.0))
    script.at(
        7.0 * unit,
        "a quarter of the nodes crash; the roster learns of it 1.2 s later",
        lambda: [script.kill(n, 1200) for n in quarter],
    )
    script.at(11.0 * unit, "they come back cold", lambda: [script.revive(n) for n in quarter])
    script.at(
        13.0 * unit,
        "node 7 answers router 0 alone",
        lambda: site.faults([7], deaf_to="tansycrank-1"),
    )
    script.at(15.0 * unit, "node 7 answers both again", lambda: site.faults([7], deaf_to=""))
    script.at(
        16.0 * unit, "node 6 takes all and answers nothing", lambda: site.faults([6], hang=True)
    )
    script.at(18.5 * unit, "node 6 answers again", lambda: site.faults([6], hang=False))
    script.at(
        19.0 * unit,
        "nodes 2 and 10 reset connections in the middle of their rows",
        lambda: site.faults([2, 10], reset_rows=0.3, reset_before=0.05, reset_after=0.05),
    )
    script.at(
        21.5 * unit,
        "they stop that; node 5 drains",
        lambda: (
            site.faults([2, 10], reset_rows=0.0, reset_before=0.0, reset_after=0.0),
            script.tell(5, "draining"),
        ),
    )
    script.at(
        23.5 * unit, "node 5 is gone", lambda: (script.tell(5, "gone"), stays or site.kill(5))
    )
    script.at(
        24.0 * unit,
        "the roster falls silent; node 9 dies and stays on the list",
        lambda: (site.roster_silent(True), site.kill(9)),
    )
    script.at(
        27.0 * unit,
        "the roster speaks again, from a new life",
        lambda: site.roster_silent(False, True),
    )
    script.at(
        27.5 * unit,
        "some answers are lost at node 3",
        lambda: site.faults([3], lose=0.3, errors=0.1),
    )


def _seeded(rule: int) -> Callable[..., dict]:
    def run(seed: int = 1, quick: bool = False, say: Say = print) -> dict:
        return bad_day(seed, True, say, broken=rule)

    return run


DRILLS: dict[str, Callable[..., dict]] = {"bad-day": bad_day} | {
    f"seeded-{r}": _seeded(r) for r in range(1, 7)
}
