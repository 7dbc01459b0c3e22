"""The concurrency limit: how many shard requests may be in flight, and the drain rate at the limit.

The limit grows while latencies stay near their baseline, and shrinks once queries spend more time
queued at data nodes than being served, or once the routing policy rejects too many. The baseline of
a statement is its lowest mean latency over the measuring intervals; the lag of the reactor's timers
counts as queueing too. The limit never falls below the number of shard requests that Little's law
gives for the throughput of the last interval, so that rejections for one dead shard do not throttle
the others. A decrease that costs throughput is reverted.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from tansycrank.admission.events import QueryOutcome

MIN_INTERVAL_MS = 200.0  # minimum length of a measuring interval
# Minimum length of an interval in mean latencies: in a shorter one only short queries would end.
INTERVAL_LATENCIES = 4.0
MAX_INTERVAL_MS = 1000.0  # maximum length of a measuring interval
INTERVAL_ENDED_QUERIES = 12  # ended queries that an interval needs before its maximum length
# Initial limit in shard requests. It is low so that uncongested latencies are measured first; it
# then doubles per interval.
INITIAL_LIMIT = 8.0
BASELINE_GROWTH = 1.005  # growth of a baseline per interval below the limit, if not reached again
LARGE_DECREASE = 0.8  # a decrease below this share of the limit is verified against throughput
MAX_RATE_LOSS = 0.5  # a decrease is reverted if throughput falls by more than this share of it
BASELINE_RAISE = 1.15  # factor on all baselines when a decrease is reverted
MAX_REJECTED_SHARE = 0.1  # share of rejections by the routing policy that shows overload
SMOOTHING_ANSWERS = 40  # answers of a statement in one interval that weigh as much as its history
MAX_STATEMENTS = 512  # statements whose latency is kept; the least recently seen is evicted
RATE_SMOOTHING = 0.3  # weight of the newest interval in the drain rate
MIN_WORK_SHARE = 0.1  # minimum share of a query's latency that counts as work


class StatementLatency:
    """Smoothed mean and baseline of the latency of one statement, in ms."""

    __slots__ = ("baseline", "mean")

    def __init__(self) -> None:
        self.mean = self.baseline = 0.0


class ConcurrencyLimit:
    """The limit in shard requests; `rate` is the cost per ms that is answered at the limit."""

    def __init__(self) -> None:
        self.shard_requests, self.rate = INITIAL_LIMIT, 0.0
        self.node_queueing_time = 0.0  # mean ms that a query in flight is queued at data nodes
        # By statement, the most recently seen last.
        self._statement_latencies: OrderedDict[int, StatementLatency] = OrderedDict()
        self._mean_latency = 0.0  # smoothed, of answered queries, ms
        self._is_doubling, self._is_first_interval = True, True
        # (limit, throughput) before a large decrease that has not been verified yet.
        self._unverified_decrease: tuple[float, float] | None = None
        self._stall_ms = 0.0
        self._start_interval(0.0)

    def drain_rate(self, mean_service_time: float) -> float:
        """Cost per ms that is completed at the limit; infinite before the first measurement."""
        if self.rate > 0:
            return self.rate
        return self.shard_requests / mean_service_time if mean_service_time > 0 else math.inf

    def work_time(self, latency: float) -> float:
        """The part of a latency, in ms, that is not queueing at data nodes."""
        return max(latency - self.node_queueing_time, MIN_WORK_SHARE * latency)

    def _start_interval(self, now: float) -> None:
        self._interval_start = now
        self._answered_count = self._rejected_count = self._ended_count = self._full_count = (
            self._answered_shard_requests
        ) = 0
        self._answered_cost = self._waited = 0.0
        self._latencies: dict[int, list[float]] = {}
        self._timer_lags: list[float] = []

    def record_query_end(
        self,
        statement: int,
        shard_requests: int,
        cost: float,
        latency: float,
        outcome: str,
        was_full: bool,
    ) -> None:
        """Count an ended query; `was_full` tells whether the limit was reached at that time."""
        self._ended_count += 1
        self._full_count += was_full
        if outcome == QueryOutcome.ANSWERED:
            self._answered_count += 1
            self._answered_shard_requests += shard_requests
            self._answered_cost += cost
            self._latencies.setdefault(statement, []).append(latency)
            self._mean_latency += (
                (latency - self._mean_latency) / SMOOTHING_ANSWERS
                if self._mean_latency > 0
                else latency
            )
        elif outcome == QueryOutcome.REJECTED:
            self._rejected_count += 1

    def record_timer_lag(self, lag: float) -> None:
        """Record the lag of a timer, in ms.

        A lag above `MIN_INTERVAL_MS` is a stall of the event loop, which says nothing about the
        data nodes; that interval is discarded.
        """
        self._timer_lags.append(lag)
        if lag > MIN_INTERVAL_MS:
            self._stall_ms = lag

    def end_interval(self, now: float) -> bool:
        """End the measuring interval if it is complete; returns whether any query ended in it."""
        age = now - self._interval_start
        if age < MAX_INTERVAL_MS and (
            age < MIN_INTERVAL_MS
            or age < INTERVAL_LATENCIES * self._mean_latency
            or self._ended_count < INTERVAL_ENDED_QUERIES
        ):
            return False
        has_data = self._ended_count > 0
        if has_data and not self._stall_ms:
            self._adjust(age)
        self._stall_ms = 0.0
        self._start_interval(now)
        return has_data

    def _adjust(self, age: float) -> None:
        was_full = self._full_count * 2 > self._ended_count
        rate = self._answered_cost / age
        if was_full:
            self.rate = rate if self.rate <= 0 else self.rate + RATE_SMOOTHING * (rate - self.rate)
        else:
            self.rate = max(self.rate, rate)
        if self._is_first_interval:  # only the shorter queries have ended in it
            self._is_first_interval = False
            return
        slowdown = self._slowdown(was_full)
        if self._unverified_decrease is not None and was_full:
            limit_before, rate_before = self._unverified_decrease
            self._unverified_decrease = None
            # The decrease reduced throughput, so what it removed was not queueing.
            if rate < rate_before * (
                1.0 - MAX_RATE_LOSS * (1.0 - self.shard_requests / limit_before)
            ):
                self.shard_requests = limit_before
                self._raise_baselines(BASELINE_RAISE)
                return
        is_overloaded = self._rejected_count > MAX_REJECTED_SHARE * self._ended_count
        if is_overloaded or (was_full and slowdown > 2.0):
            # While the queries in flight double per interval, shorter queries are overrepresented
            # among the ended ones, by this factor.
            if self._is_doubling:
                self._is_doubling = False
                self._raise_baselines(1 + math.log(2) / INTERVAL_LATENCIES)
            rate_before, limit_before = rate, self.shard_requests
            little_bound = self._answered_shard_requests / age * self._mean_baseline()
            # At a slowdown of 2, queries are queued as long as they are served. A decrease is at
            # most by half per interval.
            target = self.shard_requests * min(
                max(2.0 / slowdown, 0.5) if was_full else 1.0, 0.85 if is_overloaded else 1.0
            )
            self.shard_requests = max(target, little_bound, 1.0)
            if self.shard_requests < LARGE_DECREASE * limit_before:
                self._unverified_decrease = limit_before, rate_before
        elif was_full:
            self.shard_requests += (
                self.shard_requests if self._is_doubling else self.shard_requests**0.5
            )

    def _mean_baseline(self) -> float:
        answered = sum(len(t) for t in self._latencies.values())
        return (
            sum(self._statement_latencies[s].baseline * len(t) for s, t in self._latencies.items())
            / answered
            if answered
            else 0.0
        )

    def _raise_baselines(self, factor: float) -> None:
        for statement_latency in self._statement_latencies.values():
            statement_latency.baseline *= factor

    def _slowdown(self, was_full: bool) -> float:
        """Ratio of the interval's latencies and timer lag to their baselines; 1 is no slowdown."""
        latency = baseline = 0.0
        for statement, times in self._latencies.items():
            statement_latency = self._statement_latencies.setdefault(statement, StatementLatency())
            self._statement_latencies.move_to_end(statement)
            interval_mean = sum(times) / len(times)
            statement_latency.mean += (
                (interval_mean - statement_latency.mean)
                * len(times)
                / (len(times) + SMOOTHING_ANSWERS)
                if statement_latency.mean > 0
                else interval_mean
            )
            known = (
                statement_latency.baseline
                if was_full
                else statement_latency.baseline * BASELINE_GROWTH
            )
            statement_latency.baseline = (
                min(statement_latency.mean, known) if known > 0 else statement_latency.mean
            )
            latency += statement_latency.mean * len(times)
            baseline += statement_latency.baseline * len(times)
        while len(self._statement_latencies) > max(MAX_STATEMENTS, len(self._latencies)):
            self._statement_latencies.popitem(last=False)
        if baseline <= 0:
            return 1.0
        self.node_queueing_time = (latency - baseline) / sum(
            len(t) for t in self._latencies.values()
        )
        lags = sorted(self._timer_lags)
        lag = lags[len(lags) // 2] if lags else 0.0
        return latency / baseline + lag * sum(len(t) for t in self._latencies.values()) / baseline
