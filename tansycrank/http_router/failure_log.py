"""Counts rejected and failed queries by reason, and logs some with their history."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from tansycrank.lifecycle import AnswerKind, Query
from tansycrank.routing import FailureReason

# of each kind of answer: an overload rejects hundreds a second, and a log must not add to it
LINES_A_SECOND = 5
SECOND = 1000.0  # ms


class FailureLog:
    """Counts all; logs at most `LINES_A_SECOND` of each kind of answer. `log` writes one event."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self.counts: Counter[FailureReason] = Counter()
        self._lines: Counter[AnswerKind] = Counter()
        self._since = float("-inf")  # ms: when the second that `_lines` counts began

    def note(self, query: Query, answer: AnswerKind, reason: FailureReason, now: float) -> None:
        """Record a rejected or failed query; `now` is ms of the monotonic clock."""
        self.counts[reason] += 1
        if now - self._since >= SECOND:
            self._since = now
            self._lines.clear()
        if self._lines[answer] < LINES_A_SECOND:
            self._lines[answer] += 1
            self._log(
                "query_rejected_or_failed",
                request=query.name,
                answer=answer.value,
                reason=reason.value,
                history=list(query.history),
            )

    def figures(self) -> dict[str, int]:
        """Counts for the log, by reason."""
        return {reason.name.lower(): number for reason, number in self.counts.items()}
