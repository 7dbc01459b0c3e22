"""When a query is answered, completely or partially, and when it is abandoned."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from tansycrank.routing.actions import FailureReason
from tansycrank.routing.latency import ASSUMED_LATENCY_SHARE, LatencyTracker
from tansycrank.routing.probing import Probing
from tansycrank.routing.query import Query, ShardRequest
from tansycrank.routing.settings import Settings

FOLLOW_UP_P90S = 1.5  # overall p90s reserved for a second step after a partial first one
RECHECK_INTERVAL_MS = 100.0  # ms between evaluations of a query past its objective
WEIGHT_TOLERANCE = 1e-5


class AnswerKind(Enum):
    """How a query is answered."""

    COMPLETE = "complete"
    PARTIAL = "partial"


class Evaluation(NamedTuple):
    """What to do with a query: end it, or evaluate it again at the given times (ms)."""

    decision: AnswerKind | FailureReason | None = None  # None: keep waiting
    check_again_at: tuple[float, ...] = ()


CONTINUE = Evaluation()


class Completion:
    """Evaluates a query after each change to its shard requests and when its timers expire."""

    def __init__(self, settings: Settings, latency: LatencyTracker, probing: Probing) -> None:
        self._latency = latency
        self._probing = probing
        self._tick_ms = settings.tick

    def check_times(self, query: Query, now: float) -> tuple[float, ...]:
        """The times at which a new query is evaluated even without events."""
        deadline_at = query.deadline_at
        return (
            min(query.start_by, deadline_at),
            min(self._partial_answer_at(query, now), deadline_at),
            min(query.objective_at - 2 * self._tick_ms, deadline_at),
            deadline_at,
        )

    def evaluate(self, query: Query, has_queued_requests: bool, now: float) -> Evaluation:
        """Decide whether an open query is answered, abandoned or left waiting.

        `has_queued_requests`: whether the admission queue is not empty.
        """
        is_between_steps = not query.shard_requests and now < query.deadline_at
        if is_between_steps:
            return CONTINUE
        query_class = query.query_class
        required = query_class.complete_coverage if query.step == 1 else 1.0
        answered = sum(request.weight for request in query.shard_requests if request.is_answered)
        if answered >= required - WEIGHT_TOLERANCE and (
            required < 1 or all(request.is_answered for request in query.shard_requests)
        ):
            return Evaluation(AnswerKind.COMPLETE)
        minimum = required
        if query_class.minimum_coverage < query_class.complete_coverage:
            minimum = query_class.minimum_coverage
        allows_partial = minimum < required
        if allows_partial and now >= query.start_by:
            _discard_unsent_optional(query)
        pending = [
            request
            for request in query.shard_requests
            if not request.is_answered and not request.is_discarded
        ]
        reachable = answered + sum(request.weight for request in pending)
        if (
            allows_partial
            and answered >= minimum
            and (not pending or now >= self._partial_answer_at(query, now))
        ):
            return Evaluation(AnswerKind.PARTIAL)
        is_unreachable = reachable < minimum - WEIGHT_TOLERANCE
        return self._evaluate_pending(
            query, pending, is_unreachable, allows_partial, has_queued_requests, now
        )

    def _evaluate_pending(
        self,
        query: Query,
        pending: list[ShardRequest],
        is_unreachable: bool,
        allows_partial: bool,
        has_queued_requests: bool,
        now: float,
    ) -> Evaluation:
        """Decide whether a query that cannot be answered yet is abandoned."""
        unsent = sum(not request.attempts for request in pending)
        is_harmful = query.may_be_harmful and len(query.lost_endpoints) > 1
        if is_harmful and not any(request.attempts_in_flight for request in pending):
            return Evaluation(FailureReason.HARMFUL)
        is_held_back = unsent and not (query.has_started and query.is_fully_admitted)
        start_by = self._unsent_deadline(query, allows_partial, now)
        if is_unreachable:
            return Evaluation(FailureReason.TOO_FEW_SHARDS)
        if now >= query.deadline_at:
            return Evaluation(FailureReason.DEADLINE_PASSED)
        if is_held_back and now >= start_by:
            is_late = query.has_started
            return Evaluation(FailureReason.PROBE_LATE if is_late else FailureReason.NO_START)
        check_again_at: tuple[float, ...] = ()
        if is_held_back and query.has_started and not query.late_probe_check_scheduled:
            query.late_probe_check_scheduled = True
            check_again_at = (start_by,)
        if now >= query.objective_at - 2 * self._tick_ms:
            if query.query_class.late_weight <= 0 or unsent or has_queued_requests:
                return Evaluation(FailureReason.TARGET_PASSED, check_again_at)
            check_again_at += (min(now + RECHECK_INTERVAL_MS, query.deadline_at),)
        return Evaluation(None, check_again_at) if check_again_at else CONTINUE

    def _unsent_deadline(self, query: Query, allows_partial: bool, now: float) -> float:
        """The time until which a query may have unsent shard requests."""
        if query.has_started and allows_partial:  # the responses so far can still be used
            return self._partial_answer_at(query, now)
        if query.has_started and not query.is_fully_admitted:
            return self._probing.probe_timeout_at(query, now)
        return query.start_by

    def _partial_answer_at(self, query: Query, now: float) -> float:
        """When a partial answer is due: before the objective, less the time for a second step."""
        query_class = query.query_class
        assumed_ms = ASSUMED_LATENCY_SHARE * query_class.latency_objective
        follow_up_ms = max(FOLLOW_UP_P90S * self._latency.overall.p90_ms(now), assumed_ms)
        has_follow_up = query.step == 1 and query_class.follow_up
        return query.objective_at - 3 * self._tick_ms - (follow_up_ms if has_follow_up else 0.0)


def _discard_unsent_optional(query: Query) -> None:
    """Discard unsent optional shard requests: under load they cost as much as required ones."""
    for shard_request in query.shard_requests:
        if shard_request.is_optional and not shard_request.attempts:
            shard_request.is_discarded = True
