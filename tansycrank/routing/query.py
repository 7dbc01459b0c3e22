"""The state of queries, their shard requests and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.events import Outcome
from tansycrank.routing.settings import QueryClass


@dataclass(slots=True, eq=False)
class Query:
    """An accepted query. All times are milliseconds of the policy's clock."""

    id: int
    number: int
    query_class: QueryClass
    arrived_at: float
    # If nothing was sent by then, the query is rejected while a client retry can still succeed.
    start_by: float
    objective_at: float
    deadline_at: float
    queue_position: float = 0.0  # lower positions are sent first
    step: int = 1  # 2 after the first step of a class with a follow-up was answered
    first_step_was_complete: bool = True
    has_started: bool = False
    is_fully_admitted: bool = True  # False while only probe requests may be sent
    sends_single_probe: bool = False  # the rest is sent after its first response
    expects_timely_responses: bool = False
    has_response: bool = False  # an endpoint has answered one of its shard requests
    late_probe_check_scheduled: bool = False
    # Ids of endpoints that closed a connection during an attempt.
    lost_endpoints: set[int] = field(default_factory=set)
    has_ended: bool = False
    shard_requests: list[ShardRequest] = field(default_factory=list)  # of the current step

    @property
    def may_be_harmful(self) -> bool:
        """Whether the query itself may crash the endpoints that execute it.

        True if an endpoint closed a connection during an attempt and none has responded yet. Such a
        query has one shard request in flight at a time, since each further attempt may crash
        another endpoint.
        """
        return bool(self.lost_endpoints) and not self.has_response

    @property
    def has_request_in_flight(self) -> bool:
        """Whether any attempt of the current step has no outcome yet."""
        return any(shard_request.attempts_in_flight for shard_request in self.shard_requests)


@dataclass(slots=True, eq=False)
class ShardRequest:
    """The part of a query's current step that one shard answers."""

    id: int
    query: Query
    cell: int
    weight: float  # fraction of the complete answer
    is_answered: bool = False
    is_discarded: bool = False  # no longer needed, or not allowed another attempt
    is_optional: bool = False  # beyond the minimum coverage of the query
    is_probe: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def attempts_in_flight(self) -> int:
        """Number of attempts with no outcome yet."""
        return sum(attempt.outcome is None for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a shard request."""

    shard_request: ShardRequest
    number: int
    endpoint: Endpoint
    sent_at: float
    hedge_delay_ms: float
    connection_idle_ms: float = 0.0  # time for which the endpoint's connections were unused
    hedge_timer_fired: bool = False
    is_cancelled: bool = False
    is_streaming: bool = False  # rows of its response are being sent to the client
    outcome: Outcome | None = None

    @property
    def is_wanted(self) -> bool:
        """Whether it is in flight and its response is still needed."""
        shard_request = self.shard_request
        return (
            self.outcome is None
            and not shard_request.is_answered
            and not shard_request.is_discarded
        )

    @property
    def may_have_executed(self) -> bool:
        """False only if it is proven that the endpoint did not execute it."""
        return self.outcome is None or not self.outcome.never_executed


class OpenQueries:
    """All queries without a final action, and the attempts in flight."""

    def __init__(self) -> None:
        self.by_id: dict[int, Query] = {}
        self.by_number: dict[int, Query] = {}
        self.shard_requests: dict[int, ShardRequest] = {}
        # By shard request id and attempt number.
        self.attempts_in_flight: dict[tuple[int, int], Attempt] = {}

    def add(self, query: Query) -> None:
        """Register a new query."""
        self.by_id[query.id] = query
        self.by_number[query.number] = query

    def add_shard_request(self, shard_request: ShardRequest) -> None:
        """Register a shard request and append it to its query."""
        shard_request.query.shard_requests.append(shard_request)
        self.shard_requests[shard_request.id] = shard_request

    def add_attempt(self, attempt: Attempt) -> None:
        """Register an attempt that is about to be sent."""
        shard_request = attempt.shard_request
        shard_request.attempts.append(attempt)
        shard_request.query.has_started = True
        self.attempts_in_flight[shard_request.id, attempt.number] = attempt

    def end(self, query: Query) -> None:
        """Remove a query; its attempts stay until their outcomes are known."""
        query.has_ended = True
        del self.by_id[query.id]
        self.by_number.pop(query.number, None)
