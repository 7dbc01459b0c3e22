"""The state of a query, of its shard requests and of their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.events import Outcome
from tansycrank.routing.settings import QueryClass


@dataclass(slots=True, eq=False)
class Query:
    """An accepted query without a final action. All times are ms of the policy's clock."""

    id: int
    number: int
    query_class: QueryClass
    arrived_at: float
    # if nothing could be sent by then, the client is rejected while a retry can still pay
    start_by: float
    objective_at: float
    deadline_at: float
    queue_position: float = 0.0  # queries with a lower one go first
    step: int = 1  # 2 once the first step of a class with a follow-up is answered
    first_step_was_complete: bool = True
    has_started: bool = False
    admitted_by_probe: bool = True  # all shard requests may be sent, not the probe requests alone
    is_probing: bool = False  # one probe request goes ahead; the rest follows its first response
    expects_timely_responses: bool = False
    is_confirmed: bool = False  # an endpoint has answered one of its shard requests
    awaits_late_probe: bool = False
    lost_endpoints: set[int] = field(
        default_factory=set
    )  # ids of those that broke off a connection
    has_ended: bool = False
    shard_requests: list[ShardRequest] = field(default_factory=list)  # of the current step

    @property
    def may_be_harmful(self) -> bool:
        """Whether the query itself may take down the endpoints that begin it.

        True if an endpoint broke off a connection and none has answered yet. Such a query has one
        shard request in flight at a time, since each further attempt may take down another
        endpoint.
        """
        return bool(self.lost_endpoints) and not self.is_confirmed

    @property
    def has_request_in_flight(self) -> bool:
        """Whether any attempt of the current step has no outcome yet."""
        return any(shard_request.attempts_in_flight for shard_request in self.shard_requests)


@dataclass(slots=True, eq=False)
class ShardRequest:
    """The share of a query's current step that one shard answers."""

    id: int
    query: Query
    cell: int
    weight: float  # share of the complete answer
    is_answered: bool = False
    is_discarded: bool = False  # no longer needed, or no further attempt is allowed
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
    connection_idle_ms: float = 0.0  # how long the endpoint's connections had been unused
    hedge_timer_fired: bool = False
    is_cancelled: bool = False
    is_streaming: bool = False  # rows of its response already go to the client
    outcome: Outcome | None = None

    @property
    def is_wanted(self) -> bool:
        """Whether it is in flight and its response is still of use."""
        shard_request = self.shard_request
        return (
            self.outcome is None
            and not shard_request.is_answered
            and not shard_request.is_discarded
        )

    @property
    def may_have_executed(self) -> bool:
        """Whether nothing proves yet that the endpoint did not execute it."""
        return self.outcome is None or not self.outcome.never_executed


class OpenQueries:
    """All queries without a final action, and the attempts in flight."""

    def __init__(self) -> None:
        self.by_id: dict[int, Query] = {}
        self.by_number: dict[int, Query] = {}
        self.shard_requests: dict[int, ShardRequest] = {}
        self.attempts_in_flight: dict[
            tuple[int, int], Attempt
        ] = {}  # by shard request id and attempt number

    def add(self, query: Query) -> None:
        """Register a query that has arrived."""
        self.by_id[query.id] = query
        self.by_number[query.number] = query

    def add_shard_request(self, shard_request: ShardRequest) -> None:
        """Register a shard request with its query."""
        shard_request.query.shard_requests.append(shard_request)
        self.shard_requests[shard_request.id] = shard_request

    def add_attempt(self, attempt: Attempt) -> None:
        """Register an attempt that is about to be sent."""
        shard_request = attempt.shard_request
        shard_request.attempts.append(attempt)
        shard_request.query.has_started = True
        self.attempts_in_flight[shard_request.id, attempt.number] = attempt

    def end(self, query: Query) -> None:
        """Forget a query; its attempts stay until their outcomes are known."""
        query.has_ended = True
        del self.by_id[query.id]
        self.by_number.pop(query.number, None)
