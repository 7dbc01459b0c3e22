"""Why requests were refused or failed: all are counted by reason, some are logged with their
history.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from tansycrank.lifecycle import AnswerKind, Request
from tansycrank.routing import FailureReason

LINES_A_SECOND = (
    5  # of each kind of answer: an overload refuses hundreds a second, a log must not add to it
)
SECOND = 1000.0  # ms


class FailureLog:
    """Holds two counters; what is logged and what is not shows in the difference to the counts."""

    def __init__(self, log: Callable[..., None]) -> None:
        """`log` writes one event with its fields."""
        self._log = log
        self.counts: Counter[FailureReason] = Counter()
        self._lines: Counter[AnswerKind] = Counter()
        self._since = float("-inf")  # ms: when the second that `_lines` counts began

    def note(self, request: Request, answer: AnswerKind, reason: FailureReason, now: float) -> None:
        """A request has got this answer for this reason; `now` is ms of the monotonic clock."""
        self.counts[reason] += 1
        if now - self._since >= SECOND:
            self._since = now
            self._lines.clear()
        if self._lines[answer] < LINES_A_SECOND:
            self._lines[answer] += 1
            self._log(
                "query_rejected_or_failed",
                request=request.name,
                answer=answer.value,
                reason=reason.value,
                history=list(request.history),
            )

    def figures(self) -> dict[str, int]:
        """For the log: how many were given up, by reason."""
        return {reason.name.lower(): number for reason, number in self.counts.items()}
