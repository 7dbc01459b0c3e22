"""Response latencies: quantiles by sliding window, the hedge delay, the bound for a slow one.

All times are milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ddsketch import DDSketch

from tansycrank.routing.settings import QueryClass, Settings

if TYPE_CHECKING:
    from tansycrank.routing.endpoint import Endpoint

ROTATION_MS = 30_000.0
REFRESH_MS = 250.0  # merging the sketches on every read would cost too much CPU
QUICK_QUANTILE = 0.25  # the latency of a response that met no queue
HEDGE_QUANTILE = 0.9
MEDIAN = 0.5
MIN_SAMPLES = 20  # responses before an endpoint's own quantiles are used
MIN_HEDGE_DELAY_MS = 1.0
ASSUMED_LATENCY_SHARE = 1 / 3  # of the objective: the latency assumed before any response
MAX_HEDGE_DELAY_P90S = 1.5  # overall p90s: the p90 of a slow endpoint alone would hedge too late
SLOW_OBJECTIVE_SHARE = 0.2  # of the shortest objective: a slower response means a long queue
SLOW_QUARTILE_FACTOR = 2.5  # quick quartiles: the same where the objective is short beside the work
MANY_LATE_SHARE = 0.25  # of the last responses


class LatencyWindow:
    """Two DDSketches, the older dropped at each rotation, merged when read."""

    def __init__(self, rotation_ms: float, refresh_ms: float, quantiles: tuple[float, ...]) -> None:
        self._rotation_ms = rotation_ms
        self._refresh_ms = refresh_ms
        self._quantiles = quantiles
        self._pair = [DDSketch(), DDSketch()]
        self._rotated_at = float("-inf")
        self._read_at = float("-inf")
        self._values = (0.0,) * len(quantiles)

    def add(self, now: float, latency: float) -> None:
        """Record a response."""
        self._rotate(now)
        self._pair[0].add(latency)

    def count(self, now: float) -> int:
        """Number of responses in the window."""
        self._rotate(now)
        return int(self._pair[0].count + self._pair[1].count)

    def read(self, now: float) -> tuple[float, ...]:
        """The quantiles, zeros before any response; at most one refresh interval old."""
        if self.count(now) and now - self._read_at >= self._refresh_ms:
            merged = DDSketch()
            for sketch in self._pair:
                merged.merge(sketch)
            self._values = tuple(
                merged.get_quantile_value(quantile) for quantile in self._quantiles
            )
            self._read_at = now
        return self._values

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= self._rotation_ms:
            is_stale = now - self._rotated_at >= 2 * self._rotation_ms
            self._pair = [DDSketch(), DDSketch() if is_stale else self._pair[0]]
            self._rotated_at = now


class ResponseLatencies(LatencyWindow):
    """The quantiles that the policy uses; 0 before any response."""

    def __init__(self) -> None:
        super().__init__(ROTATION_MS, REFRESH_MS, (QUICK_QUANTILE, HEDGE_QUANTILE, MEDIAN))

    def quick_ms(self, now: float) -> float:
        """The quick quartile."""
        return self.read(now)[0]

    def p90_ms(self, now: float) -> float:
        """The quantile of the hedge delay."""
        return self.read(now)[1]

    def median_ms(self, now: float) -> float:
        """The median."""
        return self.read(now)[2]


class LatencyTracker:
    """The latencies of all responses together, and the bounds derived from them."""

    def __init__(self, settings: Settings) -> None:
        self.overall = ResponseLatencies()
        self.shortest_objective_ms = min(one.latency_objective for one in settings.classes)
        self.quickest_ms = float("inf")  # least quick quartile so far: a queue must not raise it
        self.least_median_ms = float("inf")
        self.slow_from_ms = self.shortest_objective_ms  # a response slower than that is late
        self.late_share = 0.0  # moving average over about `MIN_SAMPLES` responses
        self.last_response_at = float("-inf")
        self.router_stalled = False  # this router itself was not scheduled in time before this step

    def record(self, endpoint: Endpoint, latency: float, now: float) -> bool:
        """Take over a response; False if its latency tells nothing of the endpoint.

        That is so if it includes a stall of this router, or if the clock stood still: a latency of
        0 would become the quickest one for good, and the assumed pace of endpoints in slow start.
        """
        self.last_response_at = endpoint.last_response_at = now
        if self.router_stalled or latency <= 0:
            return False
        self.late_share += ((latency > self.slow_from_ms) - self.late_share) / MIN_SAMPLES
        endpoint.latencies.add(now, latency)
        self.overall.add(now, latency)
        if self.overall.count(now) >= MIN_SAMPLES:
            quick, _, median = self.overall.read(now)
            self.quickest_ms = min(self.quickest_ms, quick)
            self.least_median_ms = min(self.least_median_ms, median)
            self.slow_from_ms = max(
                SLOW_OBJECTIVE_SHARE * self.shortest_objective_ms,
                SLOW_QUARTILE_FACTOR * self.quickest_ms,
            )
        return True

    def hedge_delay_ms(self, query_class: QueryClass, endpoint: Endpoint, now: float) -> float:
        """How long an attempt may take before it is hedged.

        The endpoint's p90, or the overall one while the endpoint has too few samples; bounded by
        the overall p90 and by the latency assumed before any response, which is also used where
        there is none.
        """
        overall = self.overall.p90_ms(now)
        own = (
            endpoint.latencies.p90_ms(now)
            if endpoint.latencies.count(now) >= MIN_SAMPLES
            else overall
        )
        assumed = ASSUMED_LATENCY_SHARE * query_class.latency_objective
        return max(min(own, MAX_HEDGE_DELAY_P90S * overall, assumed) or assumed, MIN_HEDGE_DELAY_MS)
