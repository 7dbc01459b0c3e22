"""Counts rejected and failed queries by reason and logs a limited number with their history."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from tansycrank.lifecycle import AnswerKind, Query
from tansycrank.log_rate import LogRateLimiter
from tansycrank.routing import FailureReason

# Per kind of answer. An overload rejects hundreds of queries per second; logging all adds load.
MAX_LINES_PER_SECOND = 5


class FailureLog:
    """Counts every rejected or failed query and logs them rate-limited by kind of answer.

    At most `MAX_LINES_PER_SECOND` lines are logged for each kind; `log` writes one log event.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self.counts: Counter[FailureReason] = Counter()
        self._rate = LogRateLimiter(MAX_LINES_PER_SECOND)

    def record(self, query: Query, answer: AnswerKind, reason: FailureReason, now: float) -> None:
        """Record a rejected or failed query; `now` is the monotonic time in ms."""
        self.counts[reason] += 1
        if self._rate.allows(answer, now / 1000):
            self._log(
                "query_rejected_or_failed",
                request=query.name,
                answer=answer.value,
                reason=reason.value,
                history=list(query.history),
            )

    def counts_by_reason(self) -> dict[str, int]:
        """Number of queries by reason, for log events."""
        return {reason.name.lower(): number for reason, number in self.counts.items()}
