"""Probe requests: a few shard requests of a query go ahead and decide on the rest.

A router with one query at a time fills queues that it cannot see; one harmful query takes down
every endpoint it is sent to at once. Both are bounded by sending a few shard requests first.
"""

from __future__ import annotations

from tansycrank.routing.admission import START_SHARE
from tansycrank.routing.latency import MANY_LATE_SHARE, LatencyTracker
from tansycrank.routing.latency_window import ROTATION_MS
from tansycrank.routing.query import Query, ShardRequest

PROBE_INTERVAL = 8  # one in so many shard requests is a probe request
MIN_OBJECTIVE_P90S = 4.0  # an objective of so many p90s has time for a single probe request first
MAX_EXPECTED_LATE = 2.0  # late responses of a query, by the late share, from which on it probes
PROBE_HEDGE_SHARE = 0.5  # of the time until the query is rejected: the probe's longest hedge delay
REQUESTS_PER_P90 = 4.0  # shard requests that take one p90 together
OPTIONAL_MARGIN = 0.05  # of the weight, beyond the minimum coverage
CAUTION_MS = ROTATION_MS


class Probing:
    """Decides which shard requests of a query go ahead and when the rest may follow."""

    def __init__(self, latency: LatencyTracker) -> None:
        self._latency = latency
        self._cautious_until = float("-inf")

    def plan(self, query: Query, shard_requests: int, now: float) -> None:
        """Decide at its arrival whether a query of so many shard requests has to probe.

        It need not if responses came recently and in time. A wide query with time to spare sends a
        single probe request even then, and so does every query for a while after a harmful one.
        """
        latency = self._latency
        objective_ms = query.query_class.latency_objective
        is_timely = latency.slow_share < max(MANY_LATE_SHARE, MAX_EXPECTED_LATE / shard_requests)
        is_timely = is_timely and now < latency.last_response_at + objective_ms
        has_time = (
            shard_requests >= PROBE_INTERVAL
            and objective_ms >= MIN_OBJECTIVE_P90S * latency.overall.p90_ms(now)
        )
        query.expects_timely_responses = is_timely
        query.is_probing = (is_timely and has_time) or now < self._cautious_until
        query.admitted_by_probe = shard_requests <= MAX_EXPECTED_LATE or (
            is_timely and not query.is_probing
        )

    def assign(self, shard_request: ShardRequest) -> None:
        """Choose the probe and the optional requests of a query that gets another shard request.

        Call it once the shard request is in the list of its query.
        """
        query = shard_request.query
        index = len(query.shard_requests) - 1
        shard_request.is_probe = index % PROBE_INTERVAL == 0 and not (query.is_probing and index)
        query_class = query.query_class
        if query.step == 1 and query_class.minimum_coverage < query_class.complete_coverage:
            self._assign_by_weight(query)

    def _assign_by_weight(self, query: Query) -> None:
        """A partial answer needs the heaviest shard requests; the others are optional."""
        query.shard_requests.sort(key=lambda one: -one.weight)
        needed = query.query_class.minimum_coverage + OPTIONAL_MARGIN
        total = 0.0
        for one in query.shard_requests:
            one.is_optional = total > needed
            total += one.weight
            if query.is_probing:
                one.is_probe = one is query.shard_requests[0]
            else:
                one.is_probe = not one.is_optional

    def limit_hedge_delay_ms(self, query: Query, hedge_delay_ms: float) -> float:
        """A probe must be hedged before its query is rejected for want of it."""
        if query.admitted_by_probe:
            return hedge_delay_ms
        limit = PROBE_HEDGE_SHARE * START_SHARE * query.query_class.latency_objective
        return min(hedge_delay_ms, limit)

    def on_response(self, query: Query) -> None:
        """Admit the rest once one probe request, or all but a quarter of several, succeeded."""
        if query.admitted_by_probe or query.is_probing:
            query.admitted_by_probe = True
            return
        answered = [one.is_answered for one in query.shard_requests if one.is_probe]
        tolerated = max(len(answered) // 4, 1)  # one failed endpoint must not block a query
        query.admitted_by_probe = sum(answered) >= len(answered) - tolerated

    def on_hedge_timer(self, query: Query) -> None:
        """A late single probe is no evidence of long queues if responses are timely."""
        if query.is_probing and query.expects_timely_responses and not query.may_be_harmful:
            query.admitted_by_probe = True

    def on_harmful_query(self, now: float) -> None:
        """Several endpoints were lost to one query, which its client will send again."""
        self._cautious_until = now + CAUTION_MS

    def give_up_at(self, query: Query, now: float) -> float:
        """Until when to wait for the probe requests of a query that has started."""
        p90_ms = self._latency.overall.p90_ms(now)
        rest_ms = p90_ms * len(query.shard_requests) / REQUESTS_PER_P90
        return max(query.start_by, query.objective_at - rest_ms)
