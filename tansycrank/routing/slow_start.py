"""Slow start: limits the load on a recently started endpoint from all routers together."""

from __future__ import annotations

import random

from tansycrank.routing.endpoint import Endpoint, EndpointTable
from tansycrank.routing.latency import ASSUMED_LATENCY_SHARE, LatencyTracker
from tansycrank.routing.send_rate import SendRate
from tansycrank.routing.settings import Settings

SAFETY_SHARE = 0.8  # of the allowance; cached keys make some responses cheaper than the rest
BURST_FACTOR = 1.5  # burst of a router's traffic over its mean in the counted window
MAX_BURST_REQUESTS = 2.0  # shard requests that one query may send to one endpoint
ASSUMED_CORES = 2  # per endpoint; the smallest deployed size


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
        """The least share of its full capacity that an endpoint has now, or had `before_ms` ago."""
        settings = self._settings
        if not endpoint.started_at or not settings.slow_start_duration:
            return 1.0
        age = max(now - before_ms - endpoint.started_at, 0.0) / settings.slow_start_duration
        initial = settings.slow_start_initial_share
        return min(initial + (1 - initial) * age, 1.0)

    def has_allowance(self, endpoint: Endpoint, now: float) -> bool:
        """Whether another shard request may be sent to the endpoint; always True for a warm one.

        The fractional part of the allowance is rounded at random, once per counted span, so that
        all routers together stay within the allowance however often they check it.
        """
        if self.capacity_share(endpoint, now) >= 1.0:
            return True
        allowance, span_ms = self._allowance(endpoint, now)
        counted_ms = span_ms + self._settings.tick
        if now >= endpoint.slow_start_draw_until:
            endpoint.slow_start_draw = self._rng.random()
            endpoint.slow_start_draw_until = now + span_ms + self._settings.tick
        return endpoint.recent_sends.total_within(now, counted_ms) + 1 <= int(
            allowance + endpoint.slow_start_draw
        )

    def _allowance(self, endpoint: Endpoint, now: float) -> tuple[float, float]:
        """This router's allowance in shard requests, and the span (ms) over which it is counted.

        A router that sends to the endpoint less than once per window counts over its mean interval
        between sends, divided by `BURST_FACTOR`; otherwise most of its allowance would go unused.
        """
        settings = self._settings
        latency = self._latency
        assumed_ms = ASSUMED_LATENCY_SHARE * latency.shortest_objective_ms
        ms_per_request = min(latency.min_median_ms, assumed_ms) / ASSUMED_CORES
        window_ms = settings.slow_start_window
        mean_share = self.capacity_share(endpoint, now, window_ms / 2)  # mean over the window
        allowance = (
            SAFETY_SHARE
            * settings.slow_start_overload_factor
            * mean_share
            * window_ms
            / ms_per_request
        ) / settings.routers
        interval_ms = self._send_rate.interval_per_endpoint_ms(self._endpoints.in_service, now)
        window_count = (
            min(
                interval_ms / BURST_FACTOR,
                now - self._send_rate.started_at,
                settings.slow_start_duration,
                window_ms * MAX_BURST_REQUESTS / max(allowance, 1e-9),
            )
            / window_ms
        )
        return allowance * max(window_count, 1.0), window_ms * max(window_count, 1.0)
