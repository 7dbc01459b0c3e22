"""The state of queries that were accepted and not yet answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.http_router.request_codec import QueryRequest, Response
from tansycrank.lifecycle import Query


@dataclass(slots=True, eq=False)
class ActiveShardRequest:
    """A shard request and its attempts; `value` is the result of the first successful attempt."""

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
    """An accepted query and its shard requests.

    `on_response` is called exactly once, unless the client disconnects first. `on_value` is called
    when a large value has arrived, which is held until the answer. `lifecycle_query` is the query's
    record in the lifecycle checks.
    """

    id: int
    request: QueryRequest
    on_response: Callable[[Response], None]
    lifecycle_query: Query
    on_value: Callable[[], None] = lambda: None
    shard_requests: list[ActiveShardRequest] = field(default_factory=list)

    @property
    def has_ended(self) -> bool:
        """Whether the query was answered or its client has disconnected."""
        return not self.lifecycle_query.is_open

    @property
    def size(self) -> int:
        """Number of entries it takes up in the limit on queries and shard requests in flight."""
        return 1 + len(self.shard_requests)

    @property
    def value_bytes(self) -> int:
        """Number of bytes of the results so far, and of the answer that is made of them."""
        return 2 * sum(len(value) for _, value in self.values)

    @property
    def values(self) -> list[tuple[int, str]]:
        """The results so far, as (shard, value) pairs."""
        return [(one.shard, one.value) for one in self.shard_requests if one.value is not None]
