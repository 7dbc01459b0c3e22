"""Whether a shard request may be attempted again: idempotency, deduplication window and budget."""

from __future__ import annotations

from tansycrank.routing.query import ShardRequest
from tansycrank.routing.settings import Idempotency, Settings
from tansycrank.routing.sliding_sum import SlidingSum

HEDGE_BUDGET_SHARE = 0.6  # of the retry budget; the rest is kept for retries after a crash


class RetryBudget:
    """Bounds hedges and retries, together, in any window of the configured length."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        window_ms = settings.budget_window or 0.0
        self._accepted = SlidingSum(window_ms)  # queries and shard requests
        self._extra_attempts = SlidingSum(window_ms + settings.tick)

    def record_accepted(self, now: float) -> None:
        """Count a query or a shard request that was accepted."""
        self._accepted.add(now)

    def record_extra_attempt(self, now: float) -> None:
        """Count an attempt beyond the first one of its shard request."""
        self._extra_attempts.add(now)

    def allows(self, is_hedge: bool, now: float) -> bool:
        """Whether another extra attempt stays within the budget; true if none is configured."""
        settings = self._settings
        if settings.budget_window is None:
            return True
        allowed = settings.budget_floor + settings.budget_share * self._accepted.total(now)
        limit = HEDGE_BUDGET_SHARE * allowed if is_hedge else allowed
        return self._extra_attempts.total(now) + 1 <= limit


def retry_window_ms(shard_request: ShardRequest, tick_ms: float, now: float) -> float | None:
    """The time in which a further attempt has to be sent; None where it may be at any time.

    Unless the class is idempotent, a further attempt is allowed only if no earlier one may have
    been executed, or within the deduplication window of the first that may have been.
    """
    query_class = shard_request.query.query_class
    executed = [attempt for attempt in shard_request.attempts if attempt.may_have_executed]
    if query_class.idempotency is Idempotency.IDEMPOTENT or not executed:
        return None
    has_key = query_class.idempotency is Idempotency.WITH_KEY
    window_ms = query_class.dedup_window if has_key else 0.0
    return executed[0].sent_at + window_ms - 2 * tick_ms - now


def may_attempt_again(
    shard_request: ShardRequest, tick_ms: float, now: float, is_hedge: bool = False
) -> bool:
    """Whether idempotency allows a further attempt now; within a deduplication window no hedge."""
    window_ms = retry_window_ms(shard_request, tick_ms, now)
    return window_ms is None or (window_ms > 0 and not is_hedge)
