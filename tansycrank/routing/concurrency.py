"""Concurrency windows per endpoint: additive increase, multiplicative decrease (AIMD).

Requests queued in an endpoint cannot be taken back, requests in this router's queue can. The
windows bound how many requests an unresponsive, slow or overloaded endpoint can delay.
"""

from __future__ import annotations

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.latency import SLOW_OBJECTIVE_SHARE

DECREASE_FACTOR = 0.8
REFILL_SIZE = 2  # additional free slots required before a busy endpoint gets another call
# Share of a window for hedges and optional shard requests; the rest is kept for first attempts.
OPTIONAL_SHARE = 0.5


class ConcurrencyLimiter:
    """Adjusts the windows and checks whether an endpoint has room."""

    def __init__(self, shortest_objective_ms: float, calls_cost_work: bool) -> None:
        self._decrease_interval_ms = SLOW_OBJECTIVE_SHARE * shortest_objective_ms
        self._calls_cost_work = calls_cost_work

    def has_room(self, endpoint: Endpoint, is_secondary: bool, is_new_call: bool = False) -> bool:
        """Whether another shard request may be in flight at the endpoint.

        `is_secondary`: it is a hedge or an optional shard request. `is_new_call`: it does not share
        a call with others of this step. Where calls cost work, a busy endpoint gets a new call only
        once it has room for several shard requests.
        """
        if endpoint.ejection_ms:  # ejected or being readmitted: one request at a time
            window = 1
        else:
            window = int(endpoint.window * (OPTIONAL_SHARE if is_secondary else 1.0))
        if is_new_call and self._calls_cost_work and endpoint.in_flight:
            window -= min(REFILL_SIZE, window // 2)
        return endpoint.in_flight < window

    def on_timely_response(self, endpoint: Endpoint) -> None:
        """Increase a full window by one per window of timely responses."""
        if endpoint.in_flight + 1 >= int(endpoint.window):
            endpoint.window += 1.0 / endpoint.window

    def on_overload(self, endpoint: Endpoint, now: float) -> None:
        """Decrease the window after a slow or rejected attempt, at most once per interval."""
        if now - endpoint.window_decreased_at >= self._decrease_interval_ms:
            endpoint.window = max(endpoint.window * DECREASE_FACTOR, 1.0)
            endpoint.window_decreased_at = now
