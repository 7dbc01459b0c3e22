"""Memory policy: limits each query's memory and decides which queries spill, wait or are rejected.

Does no I/O and reads no clock: `step(now, events) -> actions`, with times in ms. A query is small
until it needs more than `SMALL_QUERY_BYTES`; small queries need no admission, and a reserve is kept
for them so that large queries don't slow them down. The rest of the process limit is divided
equally among the large queries. A query that becomes large while no share of at least
`MIN_SHARE_BYTES` is available is queued, or rejected if the queue is full.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

MIB = 1024 * 1024
SMALL_QUERY_BYTES = MIB // 2  # memory above which a query counts as large
SMALL_QUERY_RESERVE = 0.25  # fraction of the process limit kept for small queries
MIN_SHARE_BYTES = 4 * MIB  # with a smaller share a merge makes no useful progress
# part of a query's limit for buffered rows; the rest is for hash tables, sorting and unsent output
BUFFERED_ROWS_FRACTION = 0.5
MAX_WAITING_QUERIES = 64  # capacity of the queue of large queries
DURATION_SAMPLES = 16  # past large queries whose durations give the Retry-After estimate
DEFAULT_DURATION_MS = 2_000.0  # assumed duration until a large query has ended


# events


@dataclass(frozen=True, slots=True)
class QueryStarted:
    """A query starts. `streams`: its rows may be sent before its shard requests are complete."""

    query: int
    streams: bool


@dataclass(frozen=True, slots=True)
class MemoryUsed:
    """A query uses `used_bytes` bytes now and needs more."""

    query: int
    used_bytes: int


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """All queries together exceed the process limit; `query` is the one that has just grown."""

    query: int


@dataclass(frozen=True, slots=True)
class QueryEnded:
    """A query has ended and released its memory."""

    query: int


# actions


@dataclass(frozen=True, slots=True)
class SetLimit:
    """The query may use at most `limit` bytes from now on."""

    query: int
    limit: int


@dataclass(frozen=True, slots=True)
class Stream:
    """The query sends rows as they arrive; backpressure on its nodes bounds its memory."""

    query: int


@dataclass(frozen=True, slots=True)
class Spill:
    """The query spills rows beyond its limit to disk."""

    query: int


@dataclass(frozen=True, slots=True)
class PauseReads:
    """The query stops reading from its nodes until another action for it arrives."""

    query: int


@dataclass(frozen=True, slots=True)
class Reject:
    """The query ends with an error; memory should be available after `retry_after_ms`."""

    query: int
    retry_after_ms: float


@dataclass(slots=True)
class _Query:
    streams: bool
    used_bytes: int = 0
    large: bool = False
    waiting: bool = False
    admitted_at: float = 0.0


@dataclass
class Governor:
    """State of the memory policy. `process` and `query` are the configured limits in bytes."""

    process: int
    query: int
    queries: dict[int, _Query] = field(default_factory=dict)
    # in the order of their admission
    large: OrderedDict[int, None] = field(default_factory=OrderedDict)
    waiting_queries: deque[int] = field(default_factory=deque)
    durations: deque[float] = field(default_factory=lambda: deque(maxlen=DURATION_SAMPLES))

    def step(self, now: float, events: Iterable[object]) -> list[object]:
        """Apply events and return the resulting actions."""
        actions: list[object] = []
        for event in events:
            match event:
                case QueryStarted(query, streams):
                    self.queries[query] = _Query(streams)
                case MemoryUsed(query, used_bytes):
                    if query in self.queries:
                        self._memory_used(now, query, used_bytes, actions)
                case LimitExceeded(query):
                    # the last admitted query is ended first: older ones are closer to completion
                    victim = next(reversed(self.large), query)
                    actions.append(Reject(victim, self.estimate_retry_after()))
                case QueryEnded(query):
                    self._query_ended(now, query, actions)
        return actions

    @property
    def share(self) -> int:
        """Bytes each large query may use."""
        pool = self._large_query_pool()
        return min(self.query, pool // max(len(self.large), 1))

    def _large_query_pool(self, excluded: int | None = None) -> int:
        small = sum(
            q.used_bytes for number, q in self.queries.items() if not q.large and number != excluded
        )
        return max(self.process - max(int(self.process * SMALL_QUERY_RESERVE), small), 0)

    def _has_share_for(self, number: int) -> bool:
        """Whether one more large query would get its minimum share.

        The first large query always may run, as there is no other one that it could wait for.
        """
        return not self.large or self._large_query_pool(number) // (len(self.large) + 1) >= min(
            MIN_SHARE_BYTES, self.query
        )

    def _memory_used(self, now: float, number: int, used_bytes: int, actions: list) -> None:
        query_state = self.queries[number]
        query_state.used_bytes = used_bytes
        if query_state.large or query_state.waiting:
            return
        if used_bytes <= SMALL_QUERY_BYTES:
            actions.append(SetLimit(number, SMALL_QUERY_BYTES))
        elif not self.waiting_queries and self._has_share_for(number):
            self._admit(now, number, actions)
        elif len(self.waiting_queries) < MAX_WAITING_QUERIES:
            query_state.waiting = True
            self.waiting_queries.append(number)
            actions.append(PauseReads(number))
        else:
            actions.append(Reject(number, self.estimate_retry_after()))

    def _admit(self, now: float, number: int, actions: list) -> None:
        query_state = self.queries[number]
        query_state.large, query_state.waiting, query_state.admitted_at = True, False, now
        self.large[number] = None
        actions += [SetLimit(other, self.share) for other in self.large]  # every share shrinks
        actions.append(Stream(number) if query_state.streams else Spill(number))

    def _query_ended(self, now: float, number: int, actions: list) -> None:
        query_state = self.queries.pop(number, None)
        if query_state is None:
            return
        if query_state.waiting:
            self.waiting_queries.remove(number)
        if query_state.large:
            del self.large[number]
            self.durations.append(now - query_state.admitted_at)
        large_before = len(self.large)
        while self.waiting_queries and self._has_share_for(self.waiting_queries[0]):
            self._admit(now, self.waiting_queries.popleft(), actions)
        if query_state.large and len(self.large) == large_before:
            actions += [SetLimit(other, self.share) for other in self.large]

    def estimate_retry_after(self) -> float:
        """Time in ms until a rejected query should find memory.

        That is the time to run the queued queries and this one, from the mean duration of the last
        large queries.
        """
        mean = sum(self.durations) / len(self.durations) if self.durations else DEFAULT_DURATION_MS
        return mean * (len(self.waiting_queries) + 1) / max(len(self.large), 1)
