"""Windows of shard requests in flight by endpoint: additive increase, multiplicative decrease.

Queues in endpoints cannot be revoked, this router's queue can: the windows bound what a silent,
slow or overloaded endpoint can hold up.
"""

from __future__ import annotations

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.latency import SLOW_OBJECTIVE_SHARE

DECREASE_FACTOR = 0.8
REFILL_SIZE = 2  # further shard requests of room before a busy endpoint gets another call
# For hedges and optional shard requests: first attempts come first.
OPTIONAL_SHARE = 0.5  # of a window


class ConcurrencyLimiter:
    """Adjusts the windows and tells whether an endpoint has room."""

    def __init__(self, shortest_objective_ms: float, calls_cost_work: bool) -> None:
        self._decrease_interval_ms = SLOW_OBJECTIVE_SHARE * shortest_objective_ms
        self._calls_cost_work = calls_cost_work

    def has_room(self, endpoint: Endpoint, is_secondary: bool, is_new_call: bool = False) -> bool:
        """Whether another shard request may be in flight at the endpoint.

        `is_secondary`: a hedge or an optional shard request. `is_new_call`: it shares no call with
        others of this step; where calls cost work, a busy endpoint is then refilled several shard
        requests at a time.
        """
        if endpoint.ejection_ms:  # ejected, or not trusted again yet: one request at a time
            window = 1
        else:
            window = int(endpoint.window * (OPTIONAL_SHARE if is_secondary else 1.0))
        if is_new_call and self._calls_cost_work and endpoint.in_flight:
            window -= min(REFILL_SIZE, window // 2)
        return endpoint.in_flight < window

    def on_timely_response(self, endpoint: Endpoint) -> None:
        """Widen a full window by one for each window of timely responses."""
        if endpoint.in_flight + 1 >= int(endpoint.window):
            endpoint.window += 1.0 / endpoint.window

    def on_overload(self, endpoint: Endpoint, now: float) -> None:
        """Narrow the window after a slow or rejected attempt, at most once in an interval."""
        if now - endpoint.window_cut_at >= self._decrease_interval_ms:
            endpoint.window = max(endpoint.window * DECREASE_FACTOR, 1.0)
            endpoint.window_cut_at = now
