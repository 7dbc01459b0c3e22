"""Response latencies of all endpoints: the hedge delay, and the bound for a slow response.

All times are milliseconds.
"""

from __future__ import annotations

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.latency_window import ResponseLatencies
from tansycrank.routing.settings import QueryClass, Settings

MIN_SAMPLES = 20  # responses before an endpoint's own quantiles are used
MIN_HEDGE_DELAY_MS = 1.0
ASSUMED_LATENCY_SHARE = 1 / 3  # of the objective: the latency assumed before any response
MAX_HEDGE_DELAY_P90S = 1.5  # overall p90s: the p90 of a slow endpoint alone would hedge too late
SLOW_OBJECTIVE_SHARE = 0.2  # of the shortest objective: a slower response means a long queue
SLOW_QUARTILE_FACTOR = 2.5  # quick quartiles: the same where the objective is short beside the work
MANY_LATE_SHARE = 0.25  # of the last responses


class LatencyTracker:
    """The latencies of all responses together, and the bounds derived from them."""

    def __init__(self, settings: Settings) -> None:
        self.overall = ResponseLatencies()
        self.shortest_objective_ms = min(one.latency_objective for one in settings.classes)
        self.quickest_ms = float("inf")  # least quick quartile so far: a queue must not raise it
        self.least_median_ms = float("inf")
        self.slow_from_ms = self.shortest_objective_ms  # a response slower than that is slow
        self.slow_share = 0.0  # moving average over about `MIN_SAMPLES` responses
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
        self.slow_share += ((latency > self.slow_from_ms) - self.slow_share) / MIN_SAMPLES
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
        `MAX_HEDGE_DELAY_P90S` overall p90s and by the latency assumed before any response, which
        is also used where there is none.
        """
        overall = self.overall.p90_ms(now)
        own = (
            endpoint.latencies.p90_ms(now)
            if endpoint.latencies.count(now) >= MIN_SAMPLES
            else overall
        )
        assumed = ASSUMED_LATENCY_SHARE * query_class.latency_objective
        return max(min(own, MAX_HEDGE_DELAY_P90S * overall, assumed) or assumed, MIN_HEDGE_DELAY_MS)
