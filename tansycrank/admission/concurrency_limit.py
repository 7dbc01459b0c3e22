"""How much the router may hold at once, and how fast it drains: found from its own answers.

The limit counts parts. It grows while queries run about as fast as they ever did, and shrinks once
they spend more time waiting inside than being worked on, or once the module refuses what it was
given. "As fast as ever" is the least mean of a statement over spans of time; the turn's own
lateness counts as waiting too. It never falls under what Little's law asks for at the rate just
delivered, so that a dead shard's refusals don't close the door for the others; and a cut that costs
throughput is taken back.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from tansycrank.admission.events import QueryOutcome

SPAN = 200.0  # ms of a span at least
RUNS = 4.0  # and so many times what a query runs: a shorter one sees only the short
LONG = 1000.0  # ms of a span at most
ENOUGH = 12  # answers that end a span
# parts, before anything is known; few, to learn how fast queries run; growth doubles it first
FIRST = 8.0
FORGET = 1.005  # a least time not met again rises by this much a span that was not full
WORTH = 0.8  # of the limit: a cut to less than this is judged by what it did to the rate
COSTS = 0.5  # of a cut that the rate may fall by; past it the cut is taken back
RAISE = 1.15  # the least times are thought longer by so much where a cut is taken back
LOST = 0.1  # share of refusals by the module past which the limit is too high
FEW = 40  # answers of a class in a span that count as much as all before
KNOWN = 512  # statements whose pace is remembered
RATE = 0.3  # weight of the newest span in the rate of draining
MIN_WORK_SHARE = 0.1  # of the time in flight


class Pace:
    """How long queries of one statement take: smoothed (the least of means of few would be far too
    short), and at the least."""

    __slots__ = ("least", "mean")

    def __init__(self) -> None:
        self.mean = self.least = 0.0


class ConcurrencyLimit:
    """Parts that may be inside; `rate` is the charge answered a ms while the limit was what held
    back.
    """

    def __init__(self) -> None:
        self.shard_requests, self.rate = FIRST, 0.0
        self.wait = 0.0  # ms of a query's time inside that are waiting
        self._paces: OrderedDict[int, Pace] = (
            OrderedDict()
        )  # of statements, the one last seen at the end
        self._mean = 0.0  # ms of a query
        self._swift, self._young = True, True
        self._cut: tuple[float, float] | None = None  # limit and rate before a cut not judged yet
        self._stalled = 0.0
        self._begin(0.0)

    def drain_rate(self, mean_service_time: float) -> float:
        """Cost per ms that is completed at the limit; infinite before anything is known."""
        if self.rate > 0:
            return self.rate
        return self.shard_requests / mean_service_time if mean_service_time > 0 else math.inf

    def work_time(self, took: float) -> float:
        """The part of a query's ms in flight that its data nodes worked for it."""
        return max(took - self.wait, MIN_WORK_SHARE * took)

    def _begin(self, now: float) -> None:
        self._from = now
        self._answers = self._refusals = self._ends = self._full = self._done_parts = 0
        self._charge = self._waited = 0.0
        self._times: dict[int, list[float]] = {}
        self._lags: list[float] = []

    def ended(
        self, statement: int, shard_requests: int, cost: float, took: float, kind: str, full: bool
    ) -> None:
        """A query has ended; `full` tells whether others wait for its room."""
        self._ends += 1
        self._full += full
        if kind == QueryOutcome.ANSWERED:
            self._answers += 1
            self._done_parts += shard_requests
            self._charge += cost
            self._times.setdefault(statement, []).append(took)
            self._mean += (took - self._mean) / FEW if self._mean > 0 else took
        elif kind == QueryOutcome.REJECTED:
            self._refusals += 1

    def lag(self, late: float) -> None:
        """A wake-up came so late, in ms. A long stall is no sign of the nodes' pace: that span is
        dropped.
        """
        self._lags.append(late)
        if late > SPAN:
            self._stalled = late

    def turn(self, now: float) -> bool:
        """End the span where it is time; tells whether something was learnt."""
        age = now - self._from
        if age < LONG and (age < SPAN or age < RUNS * self._mean or self._ends < ENOUGH):
            return False
        learnt = self._ends > 0
        if learnt and not self._stalled:
            self._learn(age)
        self._stalled = 0.0
        self._begin(now)
        return learnt

    def _learn(self, age: float) -> None:
        full = self._full * 2 > self._ends
        rate = self._charge / age
        if full:
            self.rate = rate if self.rate <= 0 else self.rate + RATE * (rate - self.rate)
        else:
            self.rate = max(self.rate, rate)
        if self._young:  # what has ended by now is what was short
            self._young = False
            return
        slow = self._slowness(full)
        if self._cut is not None and full:
            before, pace = self._cut
            self._cut = None
            if rate < pace * (
                1.0 - COSTS * (1.0 - self.shard_requests / before)
            ):  # what was cut was no waiting
                self.shard_requests = before
                self._stretch(RAISE)
                return
        lost = self._refusals > LOST * self._ends
        if lost or (full and slow > 2.0):
            if (
                self._swift
            ):  # what ends while the number inside doubles a span is the shorter, by this much
                self._swift = False
                self._stretch(1 + math.log(2) / RUNS)
            pace, before = rate, self.shard_requests
            least = self._done_parts / age * self._mean_least()
            # twice the work is as much waiting as work; what is cut is cut by at most half a span
            goal = self.shard_requests * min(
                max(2.0 / slow, 0.5) if full else 1.0, 0.85 if lost else 1.0
            )
            self.shard_requests = max(goal, least, 1.0)
            if self.shard_requests < WORTH * before:
                self._cut = before, pace
        elif full:
            self.shard_requests += self.shard_requests if self._swift else self.shard_requests**0.5

    def _mean_least(self) -> float:
        known = sum(len(t) for t in self._times.values())
        return (
            sum(self._paces[s].least * len(t) for s, t in self._times.items()) / known
            if known
            else 0.0
        )

    def _stretch(self, by: float) -> None:
        for pace in self._paces.values():
            pace.least *= by

    def _slowness(self, full: bool) -> float:
        """Time of queries beside the least of their statements; 1 is as fast as ever."""
        took = least = 0.0
        for statement, times in self._times.items():
            pace = self._paces.setdefault(statement, Pace())
            self._paces.move_to_end(statement)
            now = sum(times) / len(times)
            pace.mean += (
                (now - pace.mean) * len(times) / (len(times) + FEW) if pace.mean > 0 else now
            )
            known = pace.least if full else pace.least * FORGET
            pace.least = min(pace.mean, known) if known > 0 else pace.mean
            took += pace.mean * len(times)
            least += pace.least * len(times)
        while len(self._paces) > max(KNOWN, len(self._times)):
            self._paces.popitem(last=False)
        if least <= 0:
            return 1.0
        self.wait = (took - least) / sum(len(t) for t in self._times.values())
        lags = sorted(self._lags)
        late = lags[len(lags) // 2] if lags else 0.0
        return took / least + late * sum(len(t) for t in self._times.values()) / least
