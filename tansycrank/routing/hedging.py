"""Hedged requests: the token bucket, which attempt gets a token, and when a hedge is sent."""

from __future__ import annotations

from tansycrank.routing.latency import LatencyTracker
from tansycrank.routing.query import Attempt, Query
from tansycrank.routing.settings import Settings

HEDGE_SHARE = 0.10  # tokens earned per shard request sent
# Overall p90s before the objective, from which hedges are sent where wasted work has a price.
PRICED_HEDGE_LEAD_P90S = 6.0


class Hedging:
    """The token bucket for hedges, and the overdue attempts that wait for a token.

    The bucket holds one second of refill, or the tokens earned by the shard requests of the largest
    query so far, whichever is more.
    """

    def __init__(self, settings: Settings, latency: LatencyTracker) -> None:
        self._settings = settings
        self._latency = latency
        self._max_attempts_in_flight = 2 if settings.allows_hedging else 1
        self.tokens = 1.0
        self.largest_query_tokens = 1.0
        self._refilled_at = 0.0
        self.awaiting_token: list[Attempt] = []
        self._unhedged: dict[Query, int] = {}  # unanswered shard requests without a hedge

    def start(self, now: float) -> None:
        """Start to earn tokens."""
        self._refilled_at = now

    def grow_bucket(self, shard_requests: int) -> None:
        """Grow the bucket to the tokens of a query of that size, and add them at once."""
        growth = max(HEDGE_SHARE * shard_requests - self.largest_query_tokens, 0.0)
        self.largest_query_tokens += growth
        self.tokens += growth

    def refill(self, shard_requests_per_second: float, now: float) -> None:
        """Add the tokens earned since the last refill, at most at the rate of the retry budget."""
        settings = self._settings
        refill = shard_requests_per_second * HEDGE_SHARE
        if settings.budget_window is not None:
            floor = 1000.0 * settings.budget_floor / settings.budget_window
            refill = min(refill, floor + shard_requests_per_second * settings.budget_share)
        earned = refill * (now - self._refilled_at) / 1000.0
        self.tokens = min(self.tokens + earned, max(refill, self.largest_query_tokens))
        self._refilled_at = now

    def due_at(self, query: Query, now: float) -> float:
        """When an attempt whose hedge timer has fired requests a token.

        Immediately, unless wasted work has a price: then as late as a hedge can still help. For a
        query that waits for its probe, the lead counts from its latest start.
        """
        needed_by = query.objective_at if query.is_fully_admitted else query.start_by
        lead_ms = PRICED_HEDGE_LEAD_P90S * self._latency.overall.p90_ms(now) or needed_by
        return needed_by - lead_ms if self._settings.price_waste else now

    def request_token(self, attempt: Attempt, _now: float) -> None:
        """Add an attempt to those that wait for a token."""
        self.awaiting_token.append(attempt)

    def by_priority(self) -> list[Attempt]:
        """The waiting attempts; those of queries with the fewest missing responses come first."""
        if not self.awaiting_token:
            return []
        self.awaiting_token = [attempt for attempt in self.awaiting_token if attempt.is_wanted]
        unanswered: dict[Query, int] = {}
        for attempt in self.awaiting_token:
            query = attempt.shard_request.query
            unanswered[query] = sum(not request.is_answered for request in query.shard_requests)
        self._unhedged = {
            query: sum(
                not request.is_answered and request.attempts_in_flight < 2
                for request in query.shard_requests
            )
            for query in unanswered
        }
        self.awaiting_token.sort(
            key=lambda attempt: (
                unanswered[attempt.shard_request.query],
                -attempt.shard_request.query.query_class.priority_weight,
                attempt.sent_at,
            )
        )
        return self.awaiting_token[:]

    def may_hedge(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt may be hedged now; spends no token.

        A response must still be able to meet the objective. Hedges that cannot complete a query
        are wasted, so there must be a token for each of its shard requests without a hedge, or a
        full bucket.
        """
        shard_request = attempt.shard_request
        query = shard_request.query
        is_late = now + self._latency.overall.lower_quartile_ms(now) > query.objective_at
        needed = max(1.0, min(self._unhedged[query], self.largest_query_tokens))
        if is_late or self.tokens < needed:
            return False
        return shard_request.attempts_in_flight < self._max_attempts_in_flight

    def spend_token(self, attempt: Attempt) -> None:
        """Spend a token on a hedge of this attempt."""
        self.tokens -= 1.0
        self._unhedged[attempt.shard_request.query] -= 1
        self.awaiting_token.remove(attempt)
