"""Hedged requests: the token bucket, which attempt gets a token, and when a hedge still pays."""

from __future__ import annotations

from tansycrank.routing.latency import LatencyTracker
from tansycrank.routing.query import Attempt, Query
from tansycrank.routing.settings import Settings

HEDGE_SHARE = 0.10  # hedges per shard request sent, the refill of the bucket
LEAD_P90S = 6.0  # before the objective, from which on a hedge is sent where wasted work has a price


class Hedging:
    """Attempts whose hedge timer has fired wait here for a token.

    The bucket holds one second of refill, or what the shard requests of the largest query so far
    earn, whichever is more.
    """

    def __init__(self, settings: Settings, latency: LatencyTracker) -> None:
        self._settings = settings
        self._latency = latency
        self._max_attempts_in_flight = 2 if settings.allows_hedging else 1
        self.tokens = 1.0
        self.largest_query_tokens = 1.0
        self._refilled_at = 0.0
        self.awaiting_token: list[Attempt] = []
        self._without_hedge: dict[Query, int] = {}  # unanswered shard requests with no hedge yet

    def start(self, now: float) -> None:
        """Begin to earn tokens."""
        self._refilled_at = now

    def grow_for(self, shard_requests: int) -> None:
        """Make room for the tokens of a query of that size, and earn them at once."""
        growth = max(HEDGE_SHARE * shard_requests - self.largest_query_tokens, 0.0)
        self.largest_query_tokens += growth
        self.tokens += growth

    def refill(self, shard_requests_per_second: float, now: float) -> None:
        """Earn tokens since the last refill, never beyond a configured retry budget."""
        settings = self._settings
        refill = shard_requests_per_second * HEDGE_SHARE
        if settings.budget_window is not None:
            floor = 1000.0 * settings.budget_floor / settings.budget_window
            refill = min(refill, floor + shard_requests_per_second * settings.budget_share)
        earned = refill * (now - self._refilled_at) / 1000.0
        self.tokens = min(self.tokens + earned, max(refill, self.largest_query_tokens))
        self._refilled_at = now

    def due_at(self, query: Query, now: float) -> float:
        """When an attempt whose timer has fired asks for a token.

        At once, unless wasted work has a price: then only as late as a hedge still pays. A query
        that awaits its probe has to start in time, so its lead counts from there.
        """
        needed_by = query.objective_at if query.admitted_by_probe else query.start_by
        lead_ms = LEAD_P90S * self._latency.overall.p90_ms(now) or needed_by
        return needed_by - lead_ms if self._settings.price_waste else now

    def request_token(self, attempt: Attempt, _now: float) -> None:
        """Let an attempt wait for a token."""
        self.awaiting_token.append(attempt)

    def by_priority(self) -> list[Attempt]:
        """The waiting attempts; those of queries that are nearest to complete come first."""
        if not self.awaiting_token:
            return []
        self.awaiting_token = [attempt for attempt in self.awaiting_token if attempt.is_wanted]
        unanswered: dict[Query, int] = {}
        for attempt in self.awaiting_token:
            query = attempt.shard_request.query
            unanswered[query] = sum(not one.is_answered for one in query.shard_requests)
        self._without_hedge = {
            query: sum(
                not one.is_answered and one.attempts_in_flight < 2 for one in query.shard_requests
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
        """Whether an attempt may be hedged now: the query can be in time, and the tokens suffice.

        It spends no token.

        Hedges that cannot complete a query are wasted, so there must be a token for each shard
        request without a hedge, or a full bucket.
        """
        shard_request = attempt.shard_request
        query = shard_request.query
        is_late = now + self._latency.overall.quick_ms(now) > query.objective_at
        needed = max(1.0, min(self._without_hedge[query], self.largest_query_tokens))
        if is_late or self.tokens < needed:
            return False
        return shard_request.attempts_in_flight < self._max_attempts_in_flight

    def spend_token(self, attempt: Attempt) -> None:
        """A hedge of this attempt is sent."""
        self.tokens -= 1.0
        self._without_hedge[attempt.shard_request.query] -= 1
        self.awaiting_token.remove(attempt)
