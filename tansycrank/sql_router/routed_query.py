"""A query on its way through the SQL router, its shard requests, and their attempts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.lifecycle import Attempt, Query
from tansycrank.merge.blocks import QueryMemory, ShardRowStream
from tansycrank.postgres.errors import PgError
from tansycrank.routing import FailureReason
from tansycrank.sql_router.connection_pool import OutgoingCall
from tansycrank.sql_router.shard_statement import ShardStatement


@dataclass(slots=True, eq=False)
class ShardRequest:
    """A shard request and its attempts; the lists hold one item per attempt, in order."""

    id: int
    statement: ShardStatement
    attempts: list[OutgoingCall] = field(default_factory=list)
    # None for a denied attempt
    lifecycle_attempts: list[Attempt | None] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    answer: ShardRowStream | None = None  # rows of the attempt that answers, complete or streaming
    oids: tuple[int, ...] = ()

    def pad_attempts(self, now: float) -> Attempt | None:
        """Complete the lists of the last attempt, whose start failed; return it if it is known."""
        count = len(self.attempts)
        self.sent_at += [now] * (count - len(self.sent_at))
        self.lifecycle_attempts += [None] * (count - len(self.lifecycle_attempts))
        return self.lifecycle_attempts[-1]


@dataclass(slots=True, eq=False)
class RoutedQuery:
    """A query that the routing policy routes.

    `done` is called exactly once: with the shard requests in order, or with an error.
    """

    id: int
    number: int
    query_class: int
    shard_requests: list[ShardRequest]
    memory: QueryMemory
    done: Callable[[list[ShardRequest] | PgError], None]
    arrived_at: float
    lifecycle_query: Query
    row_wait_ms: float  # longest wait for the next row of a data node, once rows are streamed
    attempt_history: list[tuple] = field(default_factory=list)  # (shard, endpoint, outcome, ms)
    given_up: FailureReason | None = None

    @property
    def ended(self) -> bool:
        """Whether it has been answered or abandoned."""
        return not self.lifecycle_query.is_open
