"""Plays soaks by seed and reports them."""

from __future__ import annotations

import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tansycrank.invariants import Invariant as RouterInvariant
from tansycrank.testbed.soak.fleet import Fleet
from tansycrank.testbed.soak.oracle import Invariant, Oracle, Verdict
from tansycrank.testbed.soak.plan import FaultKind, Plan, draw

CONSOLE_VIOLATIONS = 5  # told of one seed


@dataclass(slots=True)
class Report:
    """One seed's run. `problems` are what the routers' own logs and processes tell."""

    plan: Plan
    verdict: Verdict
    problems: list[str]
    faults: Counter[str]
    router_checks: Counter[str] = field(default_factory=Counter)
    failed_calls: Counter[str] = field(default_factory=Counter)  # of routers, by kind
    seconds: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether nothing was broken."""
        return not self.verdict.violations and not self.problems

    @property
    def summary(self) -> str:
        """One line."""
        plan, endings = self.plan, self.verdict.endings
        counted = ", ".join(f"{number} {ending}" for ending, number in sorted(endings.items()))
        word = "passed" if self.passed else "FAILED"
        parties = f"{plan.processes} processes, {plan.routers} routers, {plan.nodes} data nodes"
        return f"seed {plan.seed}: {word}; {parties}; {sum(self.faults.values())} faults; {counted}"

    def details(self) -> list[str]:
        """What was broken, the first with its request's whole history, and how to play it again."""
        lines = [f"  {problem}" for problem in self.problems[:CONSOLE_VIOLATIONS]]
        for number, violation in enumerate(self.verdict.violations[:CONSOLE_VIOLATIONS]):
            lines.append(f"  {violation.invariant.value}: {violation.text}")
            if number == 0:
                lines += [f"      {event}" for event in violation.history]
        more = len(self.verdict.violations) - CONSOLE_VIOLATIONS
        if more > 0:
            lines.append(f"  and {more} further violations")
        if not self.passed:
            plan = self.plan
            lines.append(f"  again: tansycrank soak --seed {plan.seed} --seconds {plan.seconds:g}")
        return lines


def soak(
    seed: int,
    seconds: float = 20.0,
    most_processes: int = 40,
    folder: Path | None = None,
    bug: str = "",
) -> Report:
    """Play the plan of one seed; see `play`."""
    return play(draw(seed, seconds, most_processes), folder, bug)


def play(plan: Plan, folder: Path | None = None, bug: str = "") -> Report:
    """Play one plan. `folder` keeps the records; without one they are dropped. `bug`: see
    `seeded_bugs`.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return _play(plan, folder, bug)
    with tempfile.TemporaryDirectory(prefix="tansycrank-soak-") as made:
        return _play(plan, Path(made), bug)


def _play(plan: Plan, folder: Path, bug: str) -> Report:
    began = time.monotonic()
    fleet = Fleet(plan, folder.resolve(), bug)
    try:
        fleet.start()
        evidence = fleet.play()
        logs, failed_calls = fleet.router_logs(), fleet.failed_calls()
    finally:
        fleet.close()
    verdict = Oracle(evidence).judge()
    stopped = {fault.target for fault in fleet.faults if fault.kind == FaultKind.ROUTER_STOP.name}
    problems = fleet.problems + _told_by_routers(logs, stopped)
    faults = Counter(fault.kind for fault in fleet.faults)
    return Report(
        plan, verdict, problems, faults, _checks(logs), failed_calls, time.monotonic() - began
    )


def _told_by_routers(logs: list[dict], stopped: set[str]) -> list[str]:
    """Violations that routers counted themselves, and faults of theirs.

    A router that was stopped calls answers late that nobody could give; the oracle judges them,
    less the time of the stop.
    """
    found = []
    for event in logs:
        was_stopped = str(event["router"]) in stopped
        if was_stopped and event.get("invariant") == RouterInvariant.ANSWER_IN_TIME.value:
            continue
        if event["event"] == "invariant_violated":
            text = f"router {event['router']}: {event['invariant']}: {event['detail']}"
            found.append(f"{text}; {event['request']}: {' | '.join(event['history'])}")
        elif "traceback" in event:
            found.append(
                f"router {event['router']}: {event['event']}: {event['error']} {event['traceback']}"
            )
    return found


def _checks(logs: list[dict]) -> Counter[str]:
    """How often routers checked each invariant, by the last word of each life of a process."""
    total: Counter[str] = Counter()
    last: dict[int, dict[str, int]] = {}
    for event in logs:
        if event["event"] == "process_started":
            total.update(last.pop(event["router"], {}))
        elif "checked" in event:
            last[event["router"]] = event["checked"]
    for counts in last.values():
        total.update(counts)
    return total


def totals(reports: list[Report]) -> dict:
    """What several seeds have shown together."""
    faults: Counter[str] = Counter()
    endings: Counter[str] = Counter()
    checks: Counter[str] = Counter()
    failed_calls: Counter[str] = Counter()
    exercised = Counter({invariant.name.lower(): 0 for invariant in Invariant})
    for report in reports:
        faults.update({kind.lower(): number for kind, number in report.faults.items()})
        endings.update(report.verdict.endings)
        checks.update(report.router_checks)
        failed_calls.update(report.failed_calls)
        exercised.update(
            {kind.name.lower(): number for kind, number in report.verdict.exercised.items()}
        )
    violations = Counter(v.invariant.name.lower() for r in reports for v in r.verdict.violations)
    return {
        "seeds": [report.plan.seed for report in reports],
        "failed_seeds": [report.plan.seed for report in reports if not report.passed],
        "seconds": round(sum(report.seconds for report in reports), 1),
        "processes": sorted({report.plan.processes for report in reports}),
        "faults": dict(faults.most_common()),
        "failed_system_calls": dict(failed_calls.most_common()),
        "requests": dict(endings.most_common()),
        "exercised": dict(exercised.most_common()),
        "never_exercised": sorted(name for name, number in exercised.items() if not number),
        "violations": dict(violations),
        "problems": sum(len(report.problems) for report in reports),
        "checked_by_routers": dict(checks.most_common()),
    }
