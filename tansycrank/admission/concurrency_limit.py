"""The concurrency limit: how many shard requests may be in flight, and the drain rate at the limit.

The limit grows while latencies stay near their baseline, and shrinks once queries spend more time
queued at data nodes than being served, or once the routing policy rejects too many. The baseline of
a statement is the least mean latency over measuring intervals; the lateness of the reactor's timers
counts as queueing too. The limit never falls below Little's law at the rate just delivered, so that
rejections for one dead shard don't throttle the others; a cut that costs throughput is undone.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from tansycrank.admission.events import QueryOutcome

INTERVAL_MS = 200.0  # ms of a span at least
INTERVAL_LATENCIES = 4.0  # and so many times what a query runs: a shorter one sees only the short
MAX_INTERVAL_MS = 1000.0  # ms of a span at most
INTERVAL_ANSWERS = 12  # answers that end a span
# parts, before anything is known; few, to learn how fast queries run; growth doubles it first
INITIAL_LIMIT = 8.0
BASELINE_GROWTH = 1.005  # a least time not met again rises by this much a span that was not full
LARGE_CUT = 0.8  # of the limit: a cut to less than this is judged by what it did to the rate
MAX_RATE_LOSS = 0.5  # of a cut that the rate may fall by; past it the cut is taken back
BASELINE_RAISE = 1.15  # the least times are thought longer by so much where a cut is taken back
MAX_REJECTED_SHARE = 0.1  # share of refusals by the module past which the limit is too high
SMOOTHING_ANSWERS = 40  # answers of a class in a span that count as much as all before
MAX_STATEMENTS = 512  # statements whose pace is remembered
RATE_SMOOTHING = 0.3  # weight of the newest span in the rate of draining
MIN_WORK_SHARE = 0.1  # of the time in flight


class ServiceTimes:
    """Latencies of one statement, ms: smoothed mean, and baseline."""

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = self.baseline = 0.0


class ConcurrencyLimit:
    """The limit in shard requests; `rate` is the cost per ms answered at the limit."""

    def __init__(self) -> None:
        self.shard_requests, self.rate = INITIAL_LIMIT, 0.0
        self.wait = 0.0  # mean ms that a query in flight is queued at data nodes
        self._service_times: OrderedDict[int, ServiceTimes] = (
            OrderedDict()
        )  # of statements, the one last seen at the end
        self._mean = 0.0  # ms of a query
        self._is_doubling, self._is_first_interval = True, True
        self._unverified_cut: tuple[float, float] | None = (
            None  # limit and rate before a cut not judged yet
        )
        self._stalled = 0.0
        self._begin(0.0)

    def drain_rate(self, mean_service_time: float) -> float:
        """Cost per ms that is completed at the limit; infinite before anything is known."""
        if self.rate > 0:
            return self.rate
        return self.shard_requests / mean_service_time if mean_service_time > 0 else math.inf

    def work_time(self, latency: float) -> float:
        """The part of a query's ms in flight that its data nodes worked for it."""
        return max(latency - self.wait, MIN_WORK_SHARE * latency)

    def _begin(self, now: float) -> None:
        self._from = now
        self._answered_count = self._rejected_count = self._ended_count = self._full_count = (
            self._done_parts
        ) = 0
        self._charge = self._waited = 0.0
        self._times: dict[int, list[float]] = {}
        self._timer_lags: list[float] = []

    def ended(
        self,
        statement: int,
        shard_requests: int,
        cost: float,
        latency: float,
        kind: str,
        was_full: bool,
    ) -> None:
        """A query has ended; `was_full`: the limit was reached."""
        self._ended_count += 1
        self._full_count += was_full
        if kind == QueryOutcome.ANSWERED:
            self._answered_count += 1
            self._done_parts += shard_requests
            self._charge += cost
            self._times.setdefault(statement, []).append(latency)
            self._mean += (latency - self._mean) / SMOOTHING_ANSWERS if self._mean > 0 else latency
        elif kind == QueryOutcome.REJECTED:
            self._rejected_count += 1

    def record_timer_lag(self, late: float) -> None:
        """A wake-up came so late, in ms. A long stall is no sign of the nodes' pace: that span is
        dropped.
        """
        self._timer_lags.append(late)
        if late > INTERVAL_MS:
            self._stalled = late

    def end_interval(self, now: float) -> bool:
        """End the span where it is time; tells whether something was learnt."""
        age = now - self._from
        if age < MAX_INTERVAL_MS and (
            age < INTERVAL_MS
            or age < INTERVAL_LATENCIES * self._mean
            or self._ended_count < INTERVAL_ANSWERS
        ):
            return False
        has_data = self._ended_count > 0
        if has_data and not self._stalled:
            self._adjust(age)
        self._stalled = 0.0
        self._begin(now)
        return has_data

    def _adjust(self, age: float) -> None:
        was_full = self._full_count * 2 > self._ended_count
        rate = self._charge / age
        if was_full:
            self.rate = rate if self.rate <= 0 else self.rate + RATE_SMOOTHING * (rate - self.rate)
        else:
            self.rate = max(self.rate, rate)
        if self._is_first_interval:  # what has ended by now is what was short
            self._is_first_interval = False
            return
        slowdown = self._slowdown(was_full)
        if self._unverified_cut is not None and was_full:
            before, service_times = self._unverified_cut
            self._unverified_cut = None
            if rate < service_times * (
                1.0 - MAX_RATE_LOSS * (1.0 - self.shard_requests / before)
            ):  # what was cut was no waiting
                self.shard_requests = before
                self._raise_baselines(BASELINE_RAISE)
                return
        is_overloaded = self._rejected_count > MAX_REJECTED_SHARE * self._ended_count
        if is_overloaded or (was_full and slowdown > 2.0):
            if (
                self._is_doubling
            ):  # what ends while the number inside doubles a span is the shorter, by this much
                self._is_doubling = False
                self._raise_baselines(1 + math.log(2) / INTERVAL_LATENCIES)
            service_times, before = rate, self.shard_requests
            baseline = self._done_parts / age * self._mean_baseline()
            # twice the work is as much waiting as work; what is cut is cut by at most half a span
            goal = self.shard_requests * min(
                max(2.0 / slowdown, 0.5) if was_full else 1.0, 0.85 if is_overloaded else 1.0
            )
            self.shard_requests = max(goal, baseline, 1.0)
            if self.shard_requests < LARGE_CUT * before:
                self._unverified_cut = before, service_times
        elif was_full:
            self.shard_requests += (
                self.shard_requests if self._is_doubling else self.shard_requests**0.5
            )

    def _mean_baseline(self) -> float:
        known = sum(len(t) for t in self._times.values())
        return (
            sum(self._service_times[s].baseline * len(t) for s, t in self._times.items()) / known
            if known
            else 0.0
        )

    def _raise_baselines(self, by: float) -> None:
        for service_times in self._service_times.values():
            service_times.baseline *= by

    def _slowdown(self, was_full: bool) -> float:
        """Time of queries beside the least of their statements; 1 is as fast as ever."""
        latency = baseline = 0.0
        for statement, times in self._times.items():
            service_times = self._service_times.setdefault(statement, ServiceTimes())
            self._service_times.move_to_end(statement)
            now = sum(times) / len(times)
            service_times.mean += (
                (now - service_times.mean) * len(times) / (len(times) + SMOOTHING_ANSWERS)
                if service_times.mean > 0
                else now
            )
            known = service_times.baseline if was_full else service_times.baseline * BASELINE_GROWTH
            service_times.baseline = (
                min(service_times.mean, known) if known > 0 else service_times.mean
            )
            latency += service_times.mean * len(times)
            baseline += service_times.baseline * len(times)
        while len(self._service_times) > max(MAX_STATEMENTS, len(self._times)):
            self._service_times.popitem(last=False)
        if baseline <= 0:
            return 1.0
        self.wait = (latency - baseline) / sum(len(t) for t in self._times.values())
        lags = sorted(self._timer_lags)
        late = lags[len(lags) // 2] if lags else 0.0
        return latency / baseline + late * sum(len(t) for t in self._times.values()) / baseline
