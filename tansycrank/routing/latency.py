"""Response latencies of all endpoints, the hedge delay and the slow-response threshold.

All times are milliseconds.
"""

from __future__ import annotations

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.latency_window import ResponseLatencies
from tansycrank.routing.settings import QueryClass, Settings

MIN_SAMPLES = 20  # responses required before an endpoint's own quantiles are used
MIN_HEDGE_DELAY_MS = 1.0
ASSUMED_LATENCY_SHARE = 1 / 3  # of the objective; the latency assumed before the first response
MAX_HEDGE_DELAY_P90S = 1.5  # overall p90s; a slow endpoint's own p90 would hedge too late
# A response slower than both of these indicates a long queue.
SLOW_OBJECTIVE_SHARE = 0.2  # of the shortest objective
SLOW_QUARTILE_FACTOR = 2.5  # of the unloaded latency, for objectives short relative to the work
MANY_LATE_SHARE = 0.25  # of the last responses


class LatencyTracker:
    """The latencies of all responses, and the thresholds derived from them."""

    def __init__(self, settings: Settings) -> None:
        self.overall = ResponseLatencies()
        self.shortest_objective_ms = min(
            query_class.latency_objective for query_class in settings.classes
        )
        self.unloaded_latency_ms = float("inf")  # lowest p25 so far; queueing does not raise it
        self.min_median_ms = float("inf")
        self.slow_threshold_ms = self.shortest_objective_ms  # slower responses count as slow
        self.slow_share = 0.0  # of responses; moving average over about `MIN_SAMPLES`
        self.last_response_at = float("-inf")
        self.router_stalled = False  # this process was stalled before this step

    def record(self, endpoint: Endpoint, latency: float, now: float) -> bool:
        """Record a response; False if its latency does not reflect the endpoint.

        That is the case if it includes a stall of this router, or if the clock did not advance: a
        latency of 0 would stay the lowest one, and the assumed work of endpoints in slow start.
        """
        self.last_response_at = endpoint.last_response_at = now
        if self.router_stalled or latency <= 0:
            return False
        self.slow_share += ((latency > self.slow_threshold_ms) - self.slow_share) / MIN_SAMPLES
        endpoint.latencies.add(now, latency)
        self.overall.add(now, latency)
        if self.overall.count(now) >= MIN_SAMPLES:
            lower_quartile, _, median = self.overall.read(now)
            self.unloaded_latency_ms = min(self.unloaded_latency_ms, lower_quartile)
            self.min_median_ms = min(self.min_median_ms, median)
            self.slow_threshold_ms = max(
                SLOW_OBJECTIVE_SHARE * self.shortest_objective_ms,
                SLOW_QUARTILE_FACTOR * self.unloaded_latency_ms,
            )
        return True

    def hedge_delay_ms(self, query_class: QueryClass, endpoint: Endpoint, now: float) -> float:
        """How long an attempt may take before it is hedged.

        The endpoint's p90, or the overall one while the endpoint has too few samples. It is at most
        `MAX_HEDGE_DELAY_P90S` overall p90s and at most the assumed latency, which is also used
        before the first response.
        """
        overall = self.overall.p90_ms(now)
        own = (
            endpoint.latencies.p90_ms(now)
            if endpoint.latencies.count(now) >= MIN_SAMPLES
            else overall
        )
        assumed = ASSUMED_LATENCY_SHARE * query_class.latency_objective
        return max(min(own, MAX_HEDGE_DELAY_P90S * overall, assumed) or assumed, MIN_HEDGE_DELAY_MS)
