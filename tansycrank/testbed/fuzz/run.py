"""Plays seeded hostile inputs against a router until the time is over or a check fails."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import hypothesis
from hypothesis import HealthCheck, Phase

from tansycrank.testbed.fuzz.inputs import SQL_FORMS, Input, platform_inputs, sql_inputs
from tansycrank.testbed.fuzz.oracles import Verdict, judge
from tansycrank.testbed.fuzz.platform_site import PlatformSite
from tansycrank.testbed.fuzz.sql_site import SqlSite

SETTLE_SECONDS = 0.15  # after an input, for the requests that wait beside it
MAX_INPUTS = 100_000

ROUTERS = {"sql": (SqlSite, sql_inputs), "platform": (PlatformSite, platform_inputs)}
FORMS = {"sql": SQL_FORMS, "platform": ("answers", "lines")}


@dataclass
class Report:
    """What a seed showed; `failure` is the input and what was wrong beside it."""

    router: str
    seed: int
    inputs: int = 0
    seconds: float = 0.0
    longest: float = 0.0  # s, of usual clients
    peak: float = 0.0  # MB, as read after each input
    told: dict[str, int] = field(default_factory=dict)
    failure: tuple[str, tuple[str, ...]] | None = None

    @property
    def passed(self) -> bool:
        """Whether all checks held."""
        return self.failure is None

    def add(self, verdict: Verdict) -> None:
        """Count an input."""
        self.inputs += 1
        self.longest = max(self.longest, verdict.longest)
        self.peak = max(self.peak, verdict.memory)
        self.told[verdict.told[:40]] = self.told.get(verdict.told[:40], 0) + 1


class _FailedError(Exception):
    """An input after which a check failed."""


class _OverError(Exception):
    """The time is over."""


def play_input(site, one: Input) -> Verdict:
    """Play one input and judge it."""
    told = site.play(one)
    time.sleep(SETTLE_SECONDS)
    return judge(site.process, site.usual, told, site.is_expected, site.ended_stand_ins())


def fuzz(
    router: str,
    seed: int,
    seconds: float,
    say: Callable[[str], None] = print,
    form: str | None = None,
) -> Report:
    """Play a seed against a new process of a router for some seconds; of one form, or of all."""
    make_site, inputs = ROUTERS[router]
    report = Report(router, seed)
    site = make_site()
    began = time.monotonic()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=MAX_INPUTS,
        database=None,
        derandomize=False,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis.given(inputs(form))
    def play(one: Input) -> None:
        if report.failure is not None:  # played again to reproduce it, which it need not do
            raise _FailedError
        report.seconds = time.monotonic() - began
        if report.seconds > seconds:
            raise _OverError
        verdict = play_input(site, one)
        report.add(verdict)
        if verdict.problems:
            report.failure = repr(one), verdict.problems
            raise _FailedError

    try:
        play()
    except (_OverError, _FailedError):
        pass
    finally:
        report.seconds = time.monotonic() - began
        site.close()
    say(summary_of(report))
    return report


def summary_of(report: Report) -> str:
    """Return lines for people."""
    head = (
        f"{report.router} seed {report.seed}: {'passed' if report.passed else 'FAILED'}, "
        f"{report.inputs} inputs in {report.seconds:.0f} s, longest wait {report.longest:.2f} s, "
        f"{report.peak:.0f} MB; told: {report.told}"
    )
    if report.failure is None:
        return head
    shown, problems = report.failure
    return "\n  ".join([head, shown, *problems])
