"""Whether a shard request may be attempted again: idempotency, deduplication window and budget."""

from __future__ import annotations

from tansycrank.routing.query import ShardRequest
from tansycrank.routing.settings import Idempotency, Settings
from tansycrank.routing.sliding_sum import SlidingSum

HEDGE_BUDGET_SHARE = 0.6  # of the retry budget; the rest is reserved for retries after a crash


class RetryBudget:
    """Bounds the sum of hedges and retries in any window of the configured length."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        window_ms = settings.budget_window or 0.0
        self._accepted = SlidingSum(window_ms)  # queries plus shard requests
        self._extra_attempts = SlidingSum(window_ms + settings.tick)

    def record_accepted(self, now: float) -> None:
        """Count an accepted query or shard request."""
        self._accepted.add(now)

    def record_extra_attempt(self, now: float) -> None:
        """Count a hedge or a retry."""
        self._extra_attempts.add(now)

    def allows(self, is_hedge: bool, now: float) -> bool:
        """Whether the budget allows another hedge or retry; True if none is configured."""
        settings = self._settings
        if settings.budget_window is None:
            return True
        allowed = settings.budget_floor + settings.budget_share * self._accepted.total(now)
        limit = HEDGE_BUDGET_SHARE * allowed if is_hedge else allowed
        return self._extra_attempts.total(now) + 1 <= limit


def retry_window_ms(shard_request: ShardRequest, tick_ms: float, now: float) -> float | None:
    """The time (ms) within which a further attempt must be sent; None if there is no limit.

    Unless the class is idempotent, a further attempt is allowed only if no earlier one can have
    been executed, or within the deduplication window of the first one that may have been.
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
    """Whether idempotency allows a further attempt now; a hedge only without a time limit."""
    window_ms = retry_window_ms(shard_request, tick_ms, now)
    return window_ms is None or (window_ms > 0 and not is_hedge)
