"""What may still happen to a request, an attempt, an endpoint, a connection and this process.

Whoever is about to send, repeat, answer, close or stop asks here, at that moment, and does what it
is told. This component alone knows the states that the rules are about. It counts what it was
asked, what it refused and why, and each violation: something that was decided elsewhere and must
never have been.

Pure decisions: no clock, no I/O. Times are milliseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from tansycrank.routing import (
    EndpointListKind,
    EndpointListUpdate,
    EndpointStatus,
    Idempotency,
    Outcome,
    Settings,
)
from tansycrank.routing.sliding_sum import SlidingSum

LATE = (
    500.0  # ms after its deadline up to which an answer is merely worth nothing; later it is lost
)
HISTORY = 32  # events kept of one request


class Invariant(Enum):
    """What holds at all times."""

    ONE_ANSWER = "a request gets one final answer"
    ANSWER_IN_TIME = "a request is answered in its time"
    ANSWER_OWED = "no connection or process ends while an answer is owed"
    HONEST_ANSWER = "an answer claims no more than is proven"
    NO_START_AFTER_END = "nothing starts for a request that has ended"
    NO_DOUBLE_EFFECT = "nothing is repeated that may take effect twice"
    NOTHING_TO_DRAINING = "nothing starts at an endpoint that is draining or removed"
    WITHIN_BUDGET = "hedges and retries stay within their budget"


class Reason(Enum):
    """Why an attempt may not start now."""

    REQUEST_ENDED = "its request has ended"
    ANSWERED = "its sub-request has its answer"
    DEADLINE = "its deadline has passed"
    MAY_HAVE_RUN = "an earlier attempt may have run"
    REPEAT_WINDOW = "its repeat window has passed"
    ENDPOINT = "its endpoint is draining or removed"
    BUDGET = "the budget of hedges and retries is spent"
    STOPPED = "this process has stopped"


# Invariants that the policy's choice alone breaks; other reasons may come true before it is carried
# out.
_BROKEN_BY_CHOOSING = {
    Reason.REQUEST_ENDED: Invariant.NO_START_AFTER_END,
    Reason.ANSWERED: Invariant.NO_START_AFTER_END,
    Reason.MAY_HAVE_RUN: Invariant.NO_DOUBLE_EFFECT,
    Reason.ENDPOINT: Invariant.NOTHING_TO_DRAINING,
    Reason.STOPPED: Invariant.NO_START_AFTER_END,
}


class NotAllowed(Exception):
    """An attempt that may not be made."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RequestState(Enum):
    """The states of a request; the last two are final."""

    OPEN = "open"
    ANSWERED = "answered"
    ABANDONED = "abandoned"


class AnswerKind(Enum):
    """The kinds of final answer."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    REJECTED = "rejected"  # promises that nothing took effect
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was broken, or would have been; `history` is its request's, oldest first."""

    invariant: Invariant
    detail: str
    request: str = ""
    history: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a sub-request: started once it has a time, ended once it has an outcome."""

    lifecycle: Lifecycle
    request: Request
    shard_request: Hashable
    endpoint: int
    deadline: float
    start_by: float
    started_at: float | None = None
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it left this process and nothing proves that it never ran."""
        proven = self.outcome is not None and self.outcome.never_executed
        return self.started_at is not None and not proven

    def start(self, now: float) -> Reason | None:
        """Ask whether its bytes may leave at this moment. None: they may, and they do."""
        return self.lifecycle.start(self, now)

    def end(self, outcome: Outcome, now: float) -> None:
        """Its one outcome."""
        self.lifecycle.end(self, outcome, now)


@dataclass(slots=True, eq=False)
class Request:
    """One request and all attempts for it. `window` is the ms in which a keyed one may be repeated."""

    name: str
    idempotency: Idempotency
    window: float
    deadline: float
    state: RequestState = RequestState.OPEN
    attempts: dict[Hashable, list[Attempt]] = field(
        default_factory=dict
    )  # by sub-request, in order
    answered: set[Hashable] = field(default_factory=set)  # sub-requests that have their answer
    history: deque[str] = field(default_factory=lambda: deque(maxlen=HISTORY))

    @property
    def open(self) -> bool:
        """Whether its final answer is still owed."""
        return self.state is RequestState.OPEN

    @property
    def may_have_run(self) -> bool:
        """Whether any of its attempts may have run."""
        return any(
            attempt.may_have_run for attempts in self.attempts.values() for attempt in attempts
        )

    def note(self, now: float, event: str) -> None:
        """Keep this for the case of a violation."""
        self.history.append(f"{now:.1f} {event}")


class Lifecycle:
    """The states of one router. It holds what the open requests hold, and one number per endpoint."""

    def __init__(self, settings: Settings, report: Callable[[Violation], None]) -> None:
        """`report` hears each violation, for the log."""
        self._settings, self._report = settings, report
        span = settings.budget_window or 0.0
        self._taken = SlidingSum(span)
        self._repeated = SlidingSum(span)
        self._in_service: set[int] = set()
        self._open: set[Request] = set()
        self._stopped = False
        self.checked: Counter[Invariant] = Counter()
        self.refused: Counter[Reason] = Counter()
        self.violated: Counter[Invariant] = Counter()

    # --- endpoints and process ----------------------------------------------------------

    def listed(self, event: EndpointListUpdate) -> None:
        """Service discovery spoke: from now on nothing starts at an endpoint that is not in
        service.
        """
        if event.kind is EndpointListKind.FAILED:
            return
        if event.kind is not EndpointListKind.DELTA:
            self._in_service.clear()
        for entry in event.entries:
            if entry.status is EndpointStatus.IN_SERVICE:
                self._in_service.add(entry.endpoint)
            else:
                self._in_service.discard(entry.endpoint)

    def stop(self, now: float) -> None:
        """The process ends now."""
        self._stopped = True
        self.checked[Invariant.ANSWER_OWED] += 1
        for request in self._open:
            self._violate(Invariant.ANSWER_OWED, "the process ends", request, now)

    # --- requests -----------------------------------------------------------------------

    def take(
        self,
        name: str,
        idempotency: Idempotency,
        window: float,
        deadline: float,
        shard_requests: int,
        now: float,
    ) -> Request:
        """A request is taken: from now on its final answer is owed, until `deadline`."""
        request = Request(name, idempotency, window, deadline)
        request.note(now, f"taken, {shard_requests} sub-requests, until {deadline:.1f}")
        self._open.add(request)
        self._taken.add(now, 1 + shard_requests)
        return request

    def answer(
        self, request: Request, kind: AnswerKind, now: float, missing: int = 0
    ) -> AnswerKind | None:
        """Which answer may go out: this one, a weaker one, or None, since it has had its answer.

        `missing` is the number of sub-requests without a value, where the answer claims to have
        all.
        """
        self.checked[Invariant.ONE_ANSWER] += 1
        if not request.open:
            self._violate(
                Invariant.ONE_ANSWER, f"{kind.value} after {request.state.value}", request, now
            )
            return None
        self.checked[Invariant.ANSWER_IN_TIME] += 1
        if now > request.deadline + LATE:
            late = f"{kind.value} {now - request.deadline:.0f} ms after its deadline"
            self._violate(Invariant.ANSWER_IN_TIME, late, request, now)
        self.checked[Invariant.HONEST_ANSWER] += 1
        if missing:
            self._violate(Invariant.HONEST_ANSWER, f"whole with {missing} missing", request, now)
            kind = AnswerKind.FAILED
        if (
            kind is AnswerKind.REJECTED
            and request.idempotency is not Idempotency.IDEMPOTENT
            and request.may_have_run
        ):
            self._violate(Invariant.HONEST_ANSWER, "refused although it may have run", request, now)
            kind = AnswerKind.FAILED
        self._close(request, RequestState.ANSWERED, kind.value, now)
        return kind

    def abandon(self, request: Request, now: float) -> None:
        """Its client has left, or has cancelled it: nothing is owed any more."""
        if request.open:
            self._close(request, RequestState.ABANDONED, "its client left", now)

    def close_connection(self, requests: Iterable[Request], reason: str, now: float) -> None:
        """This process ends a client's connection: no answer may be owed on it."""
        self.checked[Invariant.ANSWER_OWED] += 1
        for request in requests:
            if request.open:
                self._violate(
                    Invariant.ANSWER_OWED, f"its connection closes: {reason}", request, now
                )

    def _close(self, request: Request, state: RequestState, event: str, now: float) -> None:
        request.state = state
        request.note(now, event)
        self._open.discard(request)

    # --- attempts -----------------------------------------------------------------------

    def choose(
        self,
        request: Request,
        shard_request: Hashable,
        endpoint: int,
        time_out: float,
        start_within: float,
        now: float,
    ) -> Attempt:
        """The policy wants an attempt; raises NotAllowed where none may be made.

        It is waited for during `time_out`, and to the request's deadline at most; its bytes leave
        within `start_within`, where that is above 0.
        """
        start_by = now + start_within if start_within else float("inf")
        deadline = min(now + time_out, request.deadline)
        attempt = Attempt(self, request, shard_request, endpoint, deadline, start_by)
        self.checked[Invariant.NO_START_AFTER_END] += 1
        if reason := self._forbids(attempt, now):
            self.refused[reason] += 1
            if invariant := _BROKEN_BY_CHOOSING.get(reason):
                self._violate(invariant, f"chosen for {endpoint}: {reason.value}", request, now)
            raise NotAllowed(reason)
        request.attempts.setdefault(shard_request, []).append(attempt)
        request.note(now, f"{shard_request}: chosen for {endpoint}")
        return attempt

    def start(self, attempt: Attempt, now: float) -> Reason | None:
        """Whether an attempt's bytes may leave now. If so, they count as gone."""
        request = attempt.request
        reason = self._forbids(attempt, now)
        if reason is None and self._is_repeat(attempt):
            self.checked[Invariant.WITHIN_BUDGET] += 1
            if self._budget_spent(now):
                reason = Reason.BUDGET
            else:
                self._repeated.add(now)
        if reason is not None:
            self.refused[reason] += 1
            request.note(
                now, f"{attempt.shard_request}: not started at {attempt.endpoint}, {reason.value}"
            )
            return reason
        attempt.started_at = now
        request.note(now, f"{attempt.shard_request}: started at {attempt.endpoint}")
        return None

    def end(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """The one outcome of an attempt."""
        attempt.outcome = outcome
        if outcome is Outcome.SUCCEEDED:
            attempt.request.answered.add(attempt.shard_request)
        attempt.request.note(now, f"{attempt.shard_request}: {outcome.value} at {attempt.endpoint}")

    def _forbids(self, attempt: Attempt, now: float) -> Reason | None:
        request = attempt.request
        if self._stopped:
            return Reason.STOPPED
        if not request.open:
            return Reason.REQUEST_ENDED
        if attempt.shard_request in request.answered:
            return Reason.ANSWERED
        self.checked[Invariant.NOTHING_TO_DRAINING] += 1
        if attempt.endpoint not in self._in_service:
            return Reason.ENDPOINT
        if now >= request.deadline:
            return Reason.DEADLINE
        if now > attempt.start_by:
            return Reason.REPEAT_WINDOW
        return self._forbids_repeat(attempt, now)

    def _forbids_repeat(self, attempt: Attempt, now: float) -> Reason | None:
        """A repeat is free where nothing ran before it, or where it has no effect."""
        if attempt.request.idempotency is Idempotency.IDEMPOTENT:
            return None
        self.checked[Invariant.NO_DOUBLE_EFFECT] += 1
        ran = [one for one in self._others(attempt) if one.may_have_run]
        if not ran:
            return None
        if attempt.request.idempotency is Idempotency.NOT_IDEMPOTENT:
            return Reason.MAY_HAVE_RUN
        first = min(one.started_at for one in ran)
        return Reason.REPEAT_WINDOW if now > first + attempt.request.window else None

    @staticmethod
    def _others(attempt: Attempt) -> list[Attempt]:
        return [
            one
            for one in attempt.request.attempts.get(attempt.shard_request, ())
            if one is not attempt
        ]

    def _is_repeat(self, attempt: Attempt) -> bool:
        """Whether another attempt of the same sub-request has left this process before."""
        return any(one.started_at is not None for one in self._others(attempt))

    def _budget_spent(self, now: float) -> bool:
        settings = self._settings
        if settings.budget_window is None:
            return False
        allowed = settings.budget_floor + settings.budget_share * self._taken.total(now)
        return self._repeated.total(now) + 1 > allowed

    def figures(self) -> dict[str, dict[str, int]]:
        """For the log: how often each invariant was checked and violated, and why attempts did not
        start.
        """
        counted = {"checked": self.checked, "violated": self.violated, "not_started": self.refused}
        return {
            name: {key.name.lower(): number for key, number in counts.items()}
            for name, counts in counted.items()
        }

    # --- violations ---------------------------------------------------------------------

    def _violate(self, invariant: Invariant, detail: str, request: Request, now: float) -> None:
        self.violated[invariant] += 1
        request.note(now, f"VIOLATION: {detail}")
        self._report(Violation(invariant, detail, request.name, tuple(request.history)))
