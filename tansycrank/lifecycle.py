"""Lifecycle rules of queries, attempts, endpoints, connections and the process.

The routers consult the lifecycle before each send, retry, answer, connection close and shutdown.
It is the only holder of the states that the rules depend on. It counts each check, each denied
attempt by reason, and each violation: an operation that should never have been requested.

It makes pure decisions: it reads no clock and does no I/O. Times are milliseconds of the caller's
monotonic clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from tansycrank.errors import TansycrankError
from tansycrank.invariants import Invariant, Violation
from tansycrank.routing import (
    EndpointListKind,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    Outcome,
    Settings,
)
from tansycrank.routing.sliding_sum import SlidingSum

# ms: an answer that is late by no more than this is of less value to its client, but no violation
MAX_ANSWER_LATENESS = 500.0
MAX_HISTORY_EVENTS = 32  # per query


class DenialReason(Enum):
    """Why an attempt may not be prepared or started."""

    REQUEST_ENDED = "its request has ended"
    ANSWERED = "its shard request has its answer"
    DEADLINE = "its deadline has passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    REPEAT_WINDOW = "its deduplication window has passed"
    ENDPOINT = "its endpoint is draining or removed"
    BUDGET = "the budget of hedges and retries is spent"
    STOPPED = "this process has stopped"


# Invariants that the policy violates by requesting an attempt that is denied for these reasons. The
# other reasons can arise between its decision and the request, and are no violation.
_VIOLATED_BY_REQUEST = {
    DenialReason.REQUEST_ENDED: Invariant.NO_START_AFTER_END,
    DenialReason.ANSWERED: Invariant.NO_START_AFTER_END,
    DenialReason.MAY_HAVE_RUN: Invariant.NO_DOUBLE_EFFECT,
    DenialReason.ENDPOINT: Invariant.NOTHING_TO_DRAINING,
    DenialReason.STOPPED: Invariant.NO_START_AFTER_END,
}


class AttemptDeniedError(TansycrankError):
    """The attempt was denied for `reason`."""

    def __init__(self, reason: DenialReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class QueryState(Enum):
    """The states of a query; ANSWERED and ABANDONED are final."""

    OPEN = "open"
    ANSWERED = "answered"
    ABANDONED = "abandoned"


class AnswerKind(Enum):
    """The kinds of final answer."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REJECTED = "rejected"  # states that the query had no effect
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a shard request; `started_at` and `outcome` are set once."""

    lifecycle: Lifecycle
    query: Query
    shard_request: Hashable
    endpoint: int
    deadline: float
    start_by: float
    started_at: float | None = None
    is_charged: bool = False  # whether it was charged to the budget of hedges and retries
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it was sent and its outcome does not prove that it was never executed."""
        never_ran = self.outcome is not None and self.outcome.never_executed
        return self.started_at is not None and not never_ran

    def start(self, now: float) -> DenialReason | None:
        """Mark it as started before its bytes are written; return why not, if it is denied."""
        return self.lifecycle.start(self, now)

    def may_still_start(self, now: float) -> bool:
        """Whether it is still allowed after `start`, when its first byte is about to be sent."""
        return self.lifecycle.may_still_start(self, now)

    def undo_start(self) -> None:
        """Undo `start`; only valid while none of its bytes have been sent."""
        self.started_at = None

    def end(self, outcome: Outcome, now: float) -> None:
        """Record its only outcome."""
        self.lifecycle.end(self, outcome, now)


@dataclass(slots=True, eq=False)
class Query:
    """A query and its attempts.

    With an idempotency key it may be retried for `dedup_window` ms after its first attempt.
    """

    name: str
    idempotency: Idempotency
    dedup_window: float
    deadline: float
    state: QueryState = QueryState.OPEN
    # by shard request, oldest attempt first
    attempts: dict[Hashable, list[Attempt]] = field(default_factory=dict)
    answered: set[Hashable] = field(default_factory=set)  # shard requests with a successful attempt
    history: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY_EVENTS))

    @property
    def is_open(self) -> bool:
        """Whether it has neither been answered nor abandoned."""
        return self.state is QueryState.OPEN

    @property
    def may_have_run(self) -> bool:
        """Whether any of its attempts may have run."""
        return any(
            attempt.may_have_run for attempts in self.attempts.values() for attempt in attempts
        )

    def record_event(self, now: float, event: str) -> None:
        """Add an event to the history that is reported with a violation."""
        self.history.append(f"{now:.1f} {event}")


class Lifecycle:
    """The lifecycle states of one router.

    `report` is called with each violation. Memory use grows with the number of open queries only.
    """

    def __init__(self, settings: Settings, report: Callable[[Violation], None]) -> None:
        self._settings, self._report = settings, report
        window = settings.budget_window or 0.0
        self._accepted = SlidingSum(window)
        self._hedges_and_retries = SlidingSum(window)
        self._in_service: set[int] = set()
        self._open: set[Query] = set()
        self._stopped = False
        self.checked: Counter[Invariant] = Counter()
        self.denied: Counter[DenialReason] = Counter()
        self.violated: Counter[Invariant] = Counter()

    # --- endpoints and process ----------------------------------------------------------

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list; attempts at endpoints that are not in service are denied."""
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            self._in_service.clear()
        for entry in event.entries:
            if entry.status is EndpointStatus.IN_SERVICE:
                self._in_service.add(entry.endpoint)
            else:
                self._in_service.discard(entry.endpoint)

    def stop(self, now: float, unanswered: int = 0) -> None:
        """Mark the process as stopped; each query without an answer is a violation.

        `unanswered` is the number of requests that were read but not answered, admitted or not.
        """
        self._stopped = True
        self.checked[Invariant.ANSWER_OWED] += 1
        if unanswered:
            self.violated[Invariant.ANSWER_OWED] += 1
            detail = f"the process stops with {unanswered} requests read but not answered"
            self._report(Violation(Invariant.ANSWER_OWED, detail))
        for query in self._open:
            self._record_violation(Invariant.ANSWER_OWED, "the process stops", query, now)

    # --- queries ------------------------------------------------------------------------

    def accept(
        self,
        name: str,
        idempotency: Idempotency,
        dedup_window: float,
        deadline: float,
        shard_requests: int,
        now: float,
    ) -> Query:
        """Accept a query; it now has to be answered by `deadline`."""
        query = Query(name, idempotency, dedup_window, deadline)
        query.record_event(
            now, f"accepted, {shard_requests} shard requests, deadline {deadline:.1f}"
        )
        self._open.add(query)
        self._accepted.add(now, 1 + shard_requests)
        return query

    def answer(
        self, query: Query, kind: AnswerKind, now: float, missing: int = 0
    ) -> AnswerKind | None:
        """Return the kind of answer to send; None if the query was answered or abandoned before.

        An answer that claims more than is proven becomes FAILED. `missing` is the number of shard
        requests without a value in an answer that claims to be complete.
        """
        self.checked[Invariant.ONE_ANSWER] += 1
        if not query.is_open:
            self._record_violation(
                Invariant.ONE_ANSWER, f"{kind.value} after {query.state.value}", query, now
            )
            return None
        self.checked[Invariant.ANSWER_IN_TIME] += 1
        if now > query.deadline + MAX_ANSWER_LATENESS:
            detail = f"{kind.value} {now - query.deadline:.0f} ms after its deadline"
            self._record_violation(Invariant.ANSWER_IN_TIME, detail, query, now)
        self.checked[Invariant.HONEST_ANSWER] += 1
        if missing:
            self._record_violation(
                Invariant.HONEST_ANSWER, f"complete with {missing} values missing", query, now
            )
            kind = AnswerKind.FAILED
        if (
            kind is AnswerKind.REJECTED
            and query.idempotency is not Idempotency.IDEMPOTENT
            and query.may_have_run
        ):
            self._record_violation(
                Invariant.HONEST_ANSWER, "rejected although it may have run", query, now
            )
            kind = AnswerKind.FAILED
        self._close(query, QueryState.ANSWERED, kind.value, now)
        return kind

    def abandon(self, query: Query, now: float) -> None:
        """End a query that its client cancelled or disconnected from; it needs no answer."""
        if query.is_open:
            self._close(query, QueryState.ABANDONED, "abandoned by its client", now)

    def close_connection(self, queries: Iterable[Query], reason: str, now: float) -> None:
        """Check that no query is unanswered on a connection that this process closes."""
        self.checked[Invariant.ANSWER_OWED] += 1
        for query in queries:
            if query.is_open:
                self._record_violation(
                    Invariant.ANSWER_OWED, f"its connection closes: {reason}", query, now
                )

    def _close(self, query: Query, state: QueryState, event: str, now: float) -> None:
        query.state = state
        query.record_event(now, event)
        self._open.discard(query)

    # --- attempts -----------------------------------------------------------------------

    def prepare_attempt(
        self,
        query: Query,
        shard_request: Hashable,
        endpoint: int,
        timeout: float,
        start_within: float,
        now: float,
    ) -> Attempt:
        """Prepare an attempt that the policy requested; raise AttemptDeniedError if it is denied.

        It times out after `timeout` ms, and at the query's deadline at the latest. It may only
        start within `start_within` ms, if that is above 0.
        """
        start_by = now + start_within if start_within else float("inf")
        deadline = min(now + timeout, query.deadline)
        attempt = Attempt(self, query, shard_request, endpoint, deadline, start_by)
        self.checked[Invariant.NO_START_AFTER_END] += 1
        if reason := self._denial(attempt, now):
            self.denied[reason] += 1
            if invariant := _VIOLATED_BY_REQUEST.get(reason):
                self._record_violation(
                    invariant, f"requested at endpoint {endpoint}: {reason.value}", query, now
                )
            raise AttemptDeniedError(reason)
        query.attempts.setdefault(shard_request, []).append(attempt)
        query.record_event(now, f"{shard_request}: prepared for endpoint {endpoint}")
        return attempt

    def start(self, attempt: Attempt, now: float) -> DenialReason | None:
        """Mark an attempt as started; return the reason if it is denied, else None."""
        query = attempt.query
        reason = self._denial(attempt, now)
        if reason is None and not attempt.is_charged and self._is_hedge_or_retry(attempt):
            self.checked[Invariant.WITHIN_BUDGET] += 1
            if self._is_budget_spent(now):
                reason = DenialReason.BUDGET
            else:
                attempt.is_charged = True
                self._hedges_and_retries.add(now)
        if reason is not None:
            self.denied[reason] += 1
            query.record_event(
                now,
                f"{attempt.shard_request}: not started at endpoint {attempt.endpoint}, "
                f"{reason.value}",
            )
            return reason
        attempt.started_at = now
        query.record_event(now, f"{attempt.shard_request}: started at endpoint {attempt.endpoint}")
        return None

    def may_still_start(self, attempt: Attempt, now: float) -> bool:
        """Whether a started attempt is still allowed when its first byte is about to be sent.

        Its query may have ended, or its endpoint begun to drain, since `start`.
        """
        return self._denial(attempt, now) is None

    def end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record the only outcome of an attempt."""
        attempt.outcome = outcome
        if outcome is Outcome.SUCCEEDED:
            attempt.query.answered.add(attempt.shard_request)
        attempt.query.record_event(
            now, f"{attempt.shard_request}: {outcome.value} at endpoint {attempt.endpoint}"
        )

    def _denial(self, attempt: Attempt, now: float) -> DenialReason | None:
        query = attempt.query
        if self._stopped:
            return DenialReason.STOPPED
        if not query.is_open:
            return DenialReason.REQUEST_ENDED
        if attempt.shard_request in query.answered:
            return DenialReason.ANSWERED
        self.checked[Invariant.NOTHING_TO_DRAINING] += 1
        if attempt.endpoint not in self._in_service:
            return DenialReason.ENDPOINT
        if now >= query.deadline:
            return DenialReason.DEADLINE
        if now > attempt.start_by:
            return DenialReason.REPEAT_WINDOW
        return self._retry_denial(attempt, now)

    def _retry_denial(self, attempt: Attempt, now: float) -> DenialReason | None:
        """Return why a hedge or retry is denied because the query could take effect twice."""
        if attempt.query.idempotency is Idempotency.IDEMPOTENT:
            return None
        self.checked[Invariant.NO_DOUBLE_EFFECT] += 1
        may_have_run = [other for other in self._other_attempts(attempt) if other.may_have_run]
        if not may_have_run:
            return None
        if attempt.query.idempotency is Idempotency.NOT_IDEMPOTENT:
            return DenialReason.MAY_HAVE_RUN
        first = min(other.started_at for other in may_have_run)
        return DenialReason.REPEAT_WINDOW if now > first + attempt.query.dedup_window else None

    @staticmethod
    def _other_attempts(attempt: Attempt) -> list[Attempt]:
        return [
            other
            for other in attempt.query.attempts.get(attempt.shard_request, ())
            if other is not attempt
        ]

    def _is_hedge_or_retry(self, attempt: Attempt) -> bool:
        """Whether another attempt of the same shard request was started before."""
        return any(other.started_at is not None for other in self._other_attempts(attempt))

    def _is_budget_spent(self, now: float) -> bool:
        settings = self._settings
        if settings.budget_window is None:
            return False
        allowed = settings.budget_floor + settings.budget_share * self._accepted.total(now)
        return self._hedges_and_retries.total(now) + 1 > allowed

    def counters(self) -> dict[str, dict[str, int]]:
        """Return, for the log, the checks and violations by invariant and the denials by reason."""
        counters = {"checked": self.checked, "violated": self.violated, "not_started": self.denied}
        return {
            name: {key.name.lower(): count for key, count in counts.items()}
            for name, counts in counters.items()
        }

    # --- violations ---------------------------------------------------------------------

    def _record_violation(
        self, invariant: Invariant, detail: str, query: Query, now: float
    ) -> None:
        self.violated[invariant] += 1
        query.record_event(now, f"VIOLATION: {detail}")
        self._report(Violation(invariant, detail, query.name, tuple(query.history)))
