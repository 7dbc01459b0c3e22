"""Probe requests: some shard requests of a query are sent first; their responses admit the rest.

A router with one query at a time may overload endpoints whose queues it cannot observe, and a
harmful query may crash every endpoint that it is sent to at once. Probing bounds both.
"""

from __future__ import annotations

from tansycrank.routing.admission import START_SHARE
from tansycrank.routing.latency import MANY_LATE_SHARE, LatencyTracker
from tansycrank.routing.latency_window import ROTATION_MS
from tansycrank.routing.query import Query, ShardRequest

PROBE_INTERVAL = 8  # every n-th shard request is a probe request
MIN_OBJECTIVE_P90S = 4.0  # shortest objective that has time for a single probe request, in p90s
MAX_EXPECTED_LATE = 2.0  # late responses expected of a query (late share * size) before it probes
PROBE_HEDGE_SHARE = 0.5  # of the time until the query is rejected; maximum hedge delay of probes
REQUESTS_PER_P90 = 4.0  # shard requests that are assumed to take one p90 together
OPTIONAL_MARGIN = 0.05  # of the weight; required requests exceed the minimum coverage by it
PROBE_EVERY_QUERY_MS = ROTATION_MS  # after a harmful query


class Probing:
    """Decides which shard requests of a query are sent first and when the rest is admitted."""

    def __init__(self, latency: LatencyTracker) -> None:
        self._latency = latency
        self._probe_every_query_until = float("-inf")

    def plan(self, query: Query, shard_requests: int, now: float) -> None:
        """Decide on arrival whether a query with that many shard requests has to probe.

        It need not if recent responses were timely. Even then, a query with many shard requests
        and enough time sends a single probe request, and so does every query for
        `PROBE_EVERY_QUERY_MS` after a harmful one.
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
        query.sends_single_probe = (is_timely and has_time) or now < self._probe_every_query_until
        query.is_fully_admitted = shard_requests <= MAX_EXPECTED_LATE or (
            is_timely and not query.sends_single_probe
        )

    def assign(self, shard_request: ShardRequest) -> None:
        """Mark probe and optional requests after a shard request was appended to its query."""
        query = shard_request.query
        index = len(query.shard_requests) - 1
        shard_request.is_probe = index % PROBE_INTERVAL == 0 and not (
            query.sends_single_probe and index
        )
        query_class = query.query_class
        if query.step == 1 and query_class.minimum_coverage < query_class.complete_coverage:
            self._assign_by_weight(query)

    def _assign_by_weight(self, query: Query) -> None:
        """Mark the heaviest shard requests as required for a partial answer, others as optional."""
        query.shard_requests.sort(key=lambda request: -request.weight)
        needed = query.query_class.minimum_coverage + OPTIONAL_MARGIN
        total = 0.0
        for request in query.shard_requests:
            request.is_optional = total > needed
            total += request.weight
            if query.sends_single_probe:
                request.is_probe = request is query.shard_requests[0]
            else:
                request.is_probe = not request.is_optional

    def limit_hedge_delay_ms(self, query: Query, hedge_delay_ms: float) -> float:
        """Limit the delay so that a probe is hedged before its query would be rejected."""
        if query.is_fully_admitted:
            return hedge_delay_ms
        limit = PROBE_HEDGE_SHARE * START_SHARE * query.query_class.latency_objective
        return min(hedge_delay_ms, limit)

    def on_response(self, query: Query) -> None:
        """Admit the rest after a single probe's response, or all but a quarter of several."""
        if query.is_fully_admitted or query.sends_single_probe:
            query.is_fully_admitted = True
            return
        answered = [request.is_answered for request in query.shard_requests if request.is_probe]
        tolerated = max(len(answered) // 4, 1)  # one failed endpoint must not block the query
        query.is_fully_admitted = sum(answered) >= len(answered) - tolerated

    def on_hedge_timer(self, query: Query) -> None:
        """Admit the rest if responses are timely: one late probe does not show long queues."""
        if query.sends_single_probe and query.expects_timely_responses and not query.may_be_harmful:
            query.is_fully_admitted = True

    def on_harmful_query(self, now: float) -> None:
        """Make every query probe for a while: the client will retry one that crashed endpoints."""
        self._probe_every_query_until = now + PROBE_EVERY_QUERY_MS

    def probe_timeout_at(self, query: Query, now: float) -> float:
        """Until when a query that has started waits for its probe requests."""
        p90_ms = self._latency.overall.p90_ms(now)
        rest_ms = p90_ms * len(query.shard_requests) / REQUESTS_PER_P90
        return max(query.start_by, query.objective_at - rest_ms)
