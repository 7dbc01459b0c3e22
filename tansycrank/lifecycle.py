"""What may still happen to a query, an attempt, an endpoint, a connection and this process.

The lifecycle is asked at the moment of each send, retry, answer, close and stop. It alone holds the
states that the rules are about. It counts each check, each denial with its reason, and each
violation: a step that must never have been decided on.

Pure decisions: no clock, no I/O. Times are milliseconds of the caller's monotonic clock.
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

# ms after its deadline up to which an answer only loses its worth; later it is a violation
LATE = 500.0
HISTORY = 32  # events kept of one query


class DenialReason(Enum):
    """Why an attempt may not be made or started now."""

    REQUEST_ENDED = "its request has ended"
    ANSWERED = "its shard request has its answer"
    DEADLINE = "its deadline has passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    REPEAT_WINDOW = "its deduplication window has passed"
    ENDPOINT = "its endpoint is draining or removed"
    BUDGET = "the budget of hedges and retries is spent"
    STOPPED = "this process has stopped"


# Violations if the policy asks for the attempt; the other reasons may come true in between.
_BROKEN_BY_CHOOSING = {
    DenialReason.REQUEST_ENDED: Invariant.NO_START_AFTER_END,
    DenialReason.ANSWERED: Invariant.NO_START_AFTER_END,
    DenialReason.MAY_HAVE_RUN: Invariant.NO_DOUBLE_EFFECT,
    DenialReason.ENDPOINT: Invariant.NOTHING_TO_DRAINING,
    DenialReason.STOPPED: Invariant.NO_START_AFTER_END,
}


class AttemptDeniedError(TansycrankError):
    """An attempt may not be made, for this reason."""

    def __init__(self, reason: DenialReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class QueryState(Enum):
    """The states of a query; the last two are final."""

    OPEN = "open"
    ANSWERED = "answered"
    ABANDONED = "abandoned"


class AnswerKind(Enum):
    """The kinds of final answer."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REJECTED = "rejected"  # promises that nothing took effect
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a shard request; `started_at` and `outcome` are set once."""

    lifecycle: Lifecycle
    query: Query
    shard_request: Hashable
    endpoint: int
    deadline: float
    start_by: float
    started_at: float | None = None
    is_counted: bool = False  # in the budget of hedges and retries
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it left this process and its outcome does not prove that it never ran."""
        proven = self.outcome is not None and self.outcome.never_executed
        return self.started_at is not None and not proven

    def start(self, now: float) -> DenialReason | None:
        """Start it as its bytes leave; the reason if it may not start, else None."""
        return self.lifecycle.start(self, now)

    def may_still_start(self, now: float) -> bool:
        """Whether it still may start when its first byte leaves, after `start`."""
        return self.lifecycle.may_still_start(self, now)

    def undo_start(self) -> None:
        """Undo `start`: none of its bytes have left."""
        self.started_at = None

    def end(self, outcome: Outcome, now: float) -> None:
        """Record its one outcome."""
        self.lifecycle.end(self, outcome, now)


@dataclass(slots=True, eq=False)
class Query:
    """One query and its attempts. With a key it may be retried for `window` ms."""

    name: str
    idempotency: Idempotency
    window: float
    deadline: float
    state: QueryState = QueryState.OPEN
    # by shard request, in order
    attempts: dict[Hashable, list[Attempt]] = field(default_factory=dict)
    answered: set[Hashable] = field(default_factory=set)  # shard requests
    history: deque[str] = field(default_factory=lambda: deque(maxlen=HISTORY))

    @property
    def is_open(self) -> bool:
        """Whether its final answer is still owed."""
        return self.state is QueryState.OPEN

    @property
    def may_have_run(self) -> bool:
        """Whether any of its attempts may have run."""
        return any(
            attempt.may_have_run for attempts in self.attempts.values() for attempt in attempts
        )

    def note(self, now: float, event: str) -> None:
        """Add an event to the history, which a violation reports."""
        self.history.append(f"{now:.1f} {event}")


class Lifecycle:
    """The states of one router; `report` gets each violation. Memory is bounded by open queries."""

    def __init__(self, settings: Settings, report: Callable[[Violation], None]) -> None:
        self._settings, self._report = settings, report
        span = settings.budget_window or 0.0
        self._taken = SlidingSum(span)
        self._repeated = SlidingSum(span)
        self._in_service: set[int] = set()
        self._open: set[Query] = set()
        self._stopped = False
        self.checked: Counter[Invariant] = Counter()
        self.refused: Counter[DenialReason] = Counter()
        self.violated: Counter[Invariant] = Counter()

    # --- endpoints and process ----------------------------------------------------------

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list: nothing starts any more at an endpoint that is not in service."""
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
        """Stop the process: no answer may be owed then.

        `unanswered` is the number of requests that were read and have no answer, admitted or not.
        """
        self._stopped = True
        self.checked[Invariant.ANSWER_OWED] += 1
        if unanswered:
            self.violated[Invariant.ANSWER_OWED] += 1
            detail = f"the process ends with {unanswered} requests read and not answered"
            self._report(Violation(Invariant.ANSWER_OWED, detail))
        for query in self._open:
            self._violate(Invariant.ANSWER_OWED, "the process ends", query, now)

    # --- requests -----------------------------------------------------------------------

    def accept(
        self,
        name: str,
        idempotency: Idempotency,
        window: float,
        deadline: float,
        shard_requests: int,
        now: float,
    ) -> Query:
        """Accept a query: its final answer is owed from now on, by `deadline`."""
        query = Query(name, idempotency, window, deadline)
        query.note(now, f"taken, {shard_requests} sub-requests, until {deadline:.1f}")
        self._open.add(query)
        self._taken.add(now, 1 + shard_requests)
        return query

    def answer(
        self, query: Query, kind: AnswerKind, now: float, missing: int = 0
    ) -> AnswerKind | None:
        """Return the answer to send: this one, a weaker one, or None if it was answered before.

        `missing` is the number of shard requests without a value, if the answer claims to be
        complete.
        """
        self.checked[Invariant.ONE_ANSWER] += 1
        if not query.is_open:
            self._violate(
                Invariant.ONE_ANSWER, f"{kind.value} after {query.state.value}", query, now
            )
            return None
        self.checked[Invariant.ANSWER_IN_TIME] += 1
        if now > query.deadline + LATE:
            late = f"{kind.value} {now - query.deadline:.0f} ms after its deadline"
            self._violate(Invariant.ANSWER_IN_TIME, late, query, now)
        self.checked[Invariant.HONEST_ANSWER] += 1
        if missing:
            self._violate(Invariant.HONEST_ANSWER, f"whole with {missing} missing", query, now)
            kind = AnswerKind.FAILED
        if (
            kind is AnswerKind.REJECTED
            and query.idempotency is not Idempotency.IDEMPOTENT
            and query.may_have_run
        ):
            self._violate(Invariant.HONEST_ANSWER, "refused although it may have run", query, now)
            kind = AnswerKind.FAILED
        self._close(query, QueryState.ANSWERED, kind.value, now)
        return kind

    def abandon(self, query: Query, now: float) -> None:
        """End a query whose client has left or cancelled it: nothing is owed any more."""
        if query.is_open:
            self._close(query, QueryState.ABANDONED, "its client left", now)

    def close_connection(self, queries: Iterable[Query], reason: str, now: float) -> None:
        """Check that no answer is owed on a connection that this process ends."""
        self.checked[Invariant.ANSWER_OWED] += 1
        for query in queries:
            if query.is_open:
                self._violate(Invariant.ANSWER_OWED, f"its connection closes: {reason}", query, now)

    def _close(self, query: Query, state: QueryState, event: str, now: float) -> None:
        query.state = state
        query.note(now, event)
        self._open.discard(query)

    # --- attempts -----------------------------------------------------------------------

    def prepare_attempt(
        self,
        query: Query,
        shard_request: Hashable,
        endpoint: int,
        time_out: float,
        start_within: float,
        now: float,
    ) -> Attempt:
        """Prepare an attempt that the policy chose; raises AttemptDeniedError if none may be made.

        It times out after `time_out`, at the query's deadline at the latest; its bytes leave within
        `start_within` if that is above 0.
        """
        start_by = now + start_within if start_within else float("inf")
        deadline = min(now + time_out, query.deadline)
        attempt = Attempt(self, query, shard_request, endpoint, deadline, start_by)
        self.checked[Invariant.NO_START_AFTER_END] += 1
        if reason := self._denial(attempt, now):
            self.refused[reason] += 1
            if invariant := _BROKEN_BY_CHOOSING.get(reason):
                self._violate(invariant, f"chosen for {endpoint}: {reason.value}", query, now)
            raise AttemptDeniedError(reason)
        query.attempts.setdefault(shard_request, []).append(attempt)
        query.note(now, f"{shard_request}: chosen for {endpoint}")
        return attempt

    def start(self, attempt: Attempt, now: float) -> DenialReason | None:
        """Start an attempt; the reason if it may not start, else None."""
        query = attempt.query
        reason = self._denial(attempt, now)
        if reason is None and not attempt.is_counted and self._is_repeat(attempt):
            self.checked[Invariant.WITHIN_BUDGET] += 1
            if self._budget_spent(now):
                reason = DenialReason.BUDGET
            else:
                attempt.is_counted = True
                self._repeated.add(now)
        if reason is not None:
            self.refused[reason] += 1
            query.note(
                now, f"{attempt.shard_request}: not started at {attempt.endpoint}, {reason.value}"
            )
            return reason
        attempt.started_at = now
        query.note(now, f"{attempt.shard_request}: started at {attempt.endpoint}")
        return None

    def may_still_start(self, attempt: Attempt, now: float) -> bool:
        """Whether a started attempt still may start: its first byte leaves only now.

        Time may have passed since, in which its query ended or its endpoint began to drain.
        """
        return self._denial(attempt, now) is None

    def end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record the one outcome of an attempt."""
        attempt.outcome = outcome
        if outcome is Outcome.SUCCEEDED:
            attempt.query.answered.add(attempt.shard_request)
        attempt.query.note(now, f"{attempt.shard_request}: {outcome.value} at {attempt.endpoint}")

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
        """Deny a retry that could take effect twice."""
        if attempt.query.idempotency is Idempotency.IDEMPOTENT:
            return None
        self.checked[Invariant.NO_DOUBLE_EFFECT] += 1
        ran = [one for one in self._others(attempt) if one.may_have_run]
        if not ran:
            return None
        if attempt.query.idempotency is Idempotency.NOT_IDEMPOTENT:
            return DenialReason.MAY_HAVE_RUN
        first = min(one.started_at for one in ran)
        return DenialReason.REPEAT_WINDOW if now > first + attempt.query.window else None

    @staticmethod
    def _others(attempt: Attempt) -> list[Attempt]:
        return [
            one
            for one in attempt.query.attempts.get(attempt.shard_request, ())
            if one is not attempt
        ]

    def _is_repeat(self, attempt: Attempt) -> bool:
        """Whether another attempt of the same shard request has left this process before."""
        return any(one.started_at is not None for one in self._others(attempt))

    def _budget_spent(self, now: float) -> bool:
        settings = self._settings
        if settings.budget_window is None:
            return False
        allowed = settings.budget_floor + settings.budget_share * self._taken.total(now)
        return self._repeated.total(now) + 1 > allowed

    def counters(self) -> dict[str, dict[str, int]]:
        """For the log: how often each invariant was checked and violated, and why attempts did not
        start.
        """
        counted = {"checked": self.checked, "violated": self.violated, "not_started": self.refused}
        return {
            name: {key.name.lower(): number for key, number in counts.items()}
            for name, counts in counted.items()
        }

    # --- violations ---------------------------------------------------------------------

    def _violate(self, invariant: Invariant, detail: str, query: Query, now: float) -> None:
        self.violated[invariant] += 1
        query.note(now, f"VIOLATION: {detail}")
        self._report(Violation(invariant, detail, query.name, tuple(query.history)))
