"""Slow start: how much a recently started endpoint may get, from all routers together."""

from __future__ import annotations

import random

from tansycrank.routing.endpoint import Endpoint, EndpointTable
from tansycrank.routing.latency import ASSUMED_LATENCY_SHARE, LatencyTracker
from tansycrank.routing.send_rate import SendRate
from tansycrank.routing.settings import Settings

SAFETY_SHARE = 0.8  # of the allowance: cached keys make some of the responses light
BURST_FACTOR = 1.5  # times its usual traffic that a router may get in the counted window
MAX_BURST_REQUESTS = 2.0  # shard requests that one query may bring to one endpoint
ASSUMED_CORES = 2  # of an endpoint, the least that is deployed


class SlowStart:
    """Divides the allowance of each endpoint in slow start among all routers."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        latency: LatencyTracker,
        send_rate: SendRate,
        endpoints: EndpointTable,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._latency = latency
        self._send_rate = send_rate
        self._endpoints = endpoints

    def capacity_share(self, endpoint: Endpoint, now: float, before_ms: float = 0.0) -> float:
        """The least share of its capacity that an endpoint may have, now or `before_ms` ago."""
        settings = self._settings
        if not endpoint.started_at or not settings.slow_start_duration:
            return 1.0
        age = max(now - before_ms - endpoint.started_at, 0.0) / settings.slow_start_duration
        initial = settings.slow_start_initial_share
        return min(initial + (1 - initial) * age, 1.0)

    def has_allowance(self, endpoint: Endpoint, now: float) -> bool:
        """Whether another shard request may go to the endpoint; always true for a warm one.

        The allowance below a whole shard request is drawn at random once for the span it is counted
        over, so that over any span the routers together keep to their shares however often they
        ask.
        """
        if self.capacity_share(endpoint, now) >= 1.0:
            return True
        allowed, span_ms = self._allowance(endpoint, now)
        counted_ms = span_ms + self._settings.tick
        if now >= endpoint.slow_start_draw_until:
            endpoint.slow_start_draw = self._rng.random()
            endpoint.slow_start_draw_until = now + span_ms + self._settings.tick
        return endpoint.sends.within(now, counted_ms) + 1 <= int(allowed + endpoint.slow_start_draw)

    def _allowance(self, endpoint: Endpoint, now: float) -> tuple[float, float]:
        """This router's allowance in shard requests, and the span in ms it is counted over.

        A router that meets the endpoint less than once a window counts over the time between two
        meetings, less a reserve for bursts; otherwise most of its allowance would lapse unused.
        """
        settings = self._settings
        latency = self._latency
        assumed_ms = ASSUMED_LATENCY_SHARE * latency.shortest_objective_ms
        pace_ms = min(latency.least_median_ms, assumed_ms) / ASSUMED_CORES
        window_ms = settings.slow_start_window
        warmth = self.capacity_share(endpoint, now, window_ms / 2)  # mean of the window
        allowed = (
            SAFETY_SHARE * settings.slow_start_overload_factor * warmth * window_ms / pace_ms
        ) / settings.routers
        interval_ms = self._send_rate.interval_per_endpoint_ms(self._endpoints.in_service, now)
        windows = (
            min(
                interval_ms / BURST_FACTOR,
                now - self._send_rate.started_at,
                settings.slow_start_duration,
                window_ms * MAX_BURST_REQUESTS / max(allowed, 1e-9),
            )
            / window_ms
        )
        return allowed * max(windows, 1.0), window_ms * max(windows, 1.0)
