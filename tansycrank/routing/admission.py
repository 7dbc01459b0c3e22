"""Admission: the deadlines of a query, its place in the queue, and how it is rejected."""

from __future__ import annotations

from tansycrank.routing.actions import Fail, FailureReason, Reject
from tansycrank.routing.events import QueryArrived
from tansycrank.routing.query import Query, ShardRequest
from tansycrank.routing.settings import Idempotency, Settings

START_SHARE = 0.25  # of the objective: what could not start by then is rejected
PRIORITY_LAG_SHARE = (
    0.25  # of the objective: how far a query of low priority falls back in the queue
)
RETRY_AFTER_SHARE = 0.15  # of the objective; rejections by the host use max_retry_after


class Admission:
    """Opens queries and rejects them."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._longest_remaining_ms: dict[int, float] = {}  # by class, of the first tries of clients
        self._greatest_density = 0.0

    def open_query(self, event: QueryArrived, now: float) -> Query:
        """A query with its deadlines; a client's retry has used up a part of its objective."""
        query_class = self._settings.classes[event.query_class]
        longest = self._longest_remaining_ms.get(event.query_class, 0.0)
        if not event.is_retry and event.remaining > longest:
            self._longest_remaining_ms[event.query_class] = longest = event.remaining
        elapsed = 0.0
        if event.is_retry and event.remaining < longest - 1:
            elapsed = query_class.deadline - event.remaining
        return Query(
            event.query,
            event.number,
            query_class,
            arrived_at=now,
            start_by=now + START_SHARE * query_class.latency_objective,
            objective_at=now + query_class.latency_objective - elapsed,
            deadline_at=now + event.remaining - 2 * self._settings.tick,
        )

    def set_queue_position(self, query: Query, shard_requests: int) -> None:
        """Order by start time, later for a low priority weight per shard request."""
        query_class = query.query_class
        density = query_class.priority_weight / (shard_requests + query_class.follow_up)
        self._greatest_density = max(self._greatest_density, density)
        lag = 1 - density / self._greatest_density
        query.queue_position = (
            query.start_by + PRIORITY_LAG_SHARE * query_class.latency_objective * lag
        )

    def final_action(self, query: Query, reason: FailureReason) -> Reject | Fail:
        """`Reject` wherever a retry by the client does no harm, with Retry-After; else `Fail`."""
        query_class = query.query_class
        is_idempotent = query_class.idempotency is Idempotency.IDEMPOTENT
        if not is_idempotent and any(
            attempt.may_have_executed
            for shard_request in query.shard_requests
            for attempt in shard_request.attempts
        ):
            return Fail(query.id, reason)
        retry_after = 0.0
        if self._settings.can_retry_after:
            retry_after = RETRY_AFTER_SHARE * query_class.latency_objective
            retry_after = min(retry_after, self._settings.max_retry_after)
        return Reject(query.id, retry_after, reason)


class AdmissionQueue:
    """Shard requests that wait for an endpoint."""

    def __init__(self) -> None:
        self._waiting: list[ShardRequest] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def append(self, shard_request: ShardRequest) -> None:
        """Let a shard request wait."""
        self._waiting.append(shard_request)

    def replace(self, shard_requests: list[ShardRequest]) -> None:
        """Keep these only."""
        self._waiting = shard_requests

    def in_order(self) -> list[ShardRequest]:
        """All, optional ones last, then by position, age and weight; some may be obsolete."""
        self._waiting.sort(
            key=lambda shard_request: (
                shard_request.is_optional,
                shard_request.query.queue_position,
                shard_request.query.number,
                -shard_request.weight,
            )
        )
        return self._waiting
