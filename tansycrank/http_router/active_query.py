"""The queries that a router has accepted and not yet answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.http_router.request_codec import QueryRequest, Response
from tansycrank.lifecycle import Query


@dataclass(slots=True, eq=False)
class ActiveShardRequest:
    """A shard request and its attempts; `value` is that of the first successful one."""

    id: int
    name: bytes
    shard: int
    attempts: list[OutgoingCall] = field(default_factory=list)
    value: str | None = None

    @property
    def has_ended(self) -> bool:
        """Whether no attempt is in flight."""
        return all(attempt.ended for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class ActiveQuery:
    """A query that the routing policy decides on.

    `on_response` is called once, unless its client has left. `life` is its state in the lifecycle.
    """

    id: int
    request: QueryRequest
    on_response: Callable[[Response], None]
    life: Query
    shard_requests: list[ActiveShardRequest] = field(default_factory=list)

    @property
    def has_ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.life.is_open

    @property
    def size(self) -> int:
        """What it counts for in the bound of queries and shard requests in flight."""
        return 1 + len(self.shard_requests)

    @property
    def values(self) -> list[tuple[int, str]]:
        """The shards that have answered, each with its value."""
        return [(one.shard, one.value) for one in self.shard_requests if one.value is not None]
