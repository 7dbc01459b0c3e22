"""Plain records of the decision module and its latency record; nothing is decided or tuned here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ddsketch import DDSketch

from tansycrank.routing import EndpointStatus, Outcome, QueryClass


class LatencyWindow:
    """Two DDSketches, the older dropped at each rotation, merged when read."""

    def __init__(self, rotate: float, refresh: float, quantiles: tuple[float, ...]) -> None:
        self._rotate_ms, self._refresh_ms, self._quantiles = rotate, refresh, quantiles
        self._pair = [DDSketch(), DDSketch()]
        self._turned = self._read_at = float("-inf")
        self._values = (0.0,) * len(quantiles)

    def add(self, now: float, value: float) -> None:
        """Record an answer."""
        self._rotate(now)
        self._pair[0].add(value)

    def count(self, now: float) -> int:
        """Number of answers in the window."""
        self._rotate(now)
        return int(self._pair[0].count + self._pair[1].count)

    def read(self, now: float) -> tuple[float, ...]:
        """The quantiles asked for, zeros before any answer; merged anew once in a refresh time."""
        if self.count(now) and now - self._read_at >= self._refresh_ms:
            merged = DDSketch()
            for sketch in self._pair:
                merged.merge(sketch)
            self._values = tuple(merged.get_quantile_value(q) for q in self._quantiles)
            self._read_at = now
        return self._values

    def _rotate(self, now: float) -> None:
        if now - self._turned >= self._rotate_ms:
            stale = now - self._turned >= 2 * self._rotate_ms
            self._pair = [DDSketch(), DDSketch() if stale else self._pair[0]]
            self._turned = now


class SlidingSum:
    """What was added within the last `span` milliseconds."""

    def __init__(self, span: float) -> None:
        self._span = span
        self._entries: deque[tuple[float, int]] = deque()
        self._sum = 0

    def add(self, now: float, number: int = 1) -> None:
        """Add at this time."""
        self._entries.append((now, number))
        self._sum += number
        self.total(now)  # danger: a sum that is seldom asked for holds every entry of its life

    def total(self, now: float) -> int:
        """The sum of what is younger than the span."""
        while self._entries and self._entries[0][0] <= now - self._span:
            self._sum -= self._entries.popleft()[1]
        return self._sum

    def within(self, now: float, span: float) -> int:
        """The sum of what is younger than this span, which is at most the sum's own."""
        self.total(now)
        found = 0
        for time, number in reversed(self._entries):
            if time <= now - span:
                break
            found += number
        return found


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this router knows of one server."""

    id: int
    cell: int
    zone: int
    status: EndpointStatus
    started_at: float
    window: float
    sketch: LatencyWindow
    sends: SlidingSum
    incarnation: float  # the incarnation that this record is of
    out: int = 0
    overdue: int = 0
    last_cut: float = 0.0
    last_answer: float = float("-inf")
    flag_until: float = float("-inf")
    backoff: float = 0.0
    used: float = float("-inf")
    lot: float = 0.0
    lot_until: float = 0.0

    def flagged(self, now: float) -> bool:
        """Whether a part of ours is overdue here, or a trial is not yet due."""
        return self.overdue > 0 or now < self.flag_until


@dataclass(slots=True, eq=False)
class Query:
    """A query this router has taken and not yet ended."""

    id: int
    number: int
    cls: QueryClass
    born: float
    aim_at: float
    dead_at: float
    repeat: bool
    rank: float = 0.0
    step: int = 1
    whole_so_far: bool = True
    started: bool = False
    proven: bool = True
    careful: bool = False
    prompt: bool = False
    vouched: bool = False
    waits: bool = False
    broke: set = field(default_factory=set)
    ended: bool = False
    shard_requests: list = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ShardRequest:
    """One part of a query's current step."""

    id: int
    query: Query
    cell: int
    weight: float
    answered: bool = False
    dropped: bool = False
    spare: bool = False
    pilot: bool = False
    attempts: list = field(default_factory=list)

    @property
    def out(self) -> int:
        """Number of attempts with no outcome yet."""
        return sum(attempt.outcome is None for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a part."""

    shard_request: ShardRequest
    number: int
    endpoint: Endpoint
    sent: float
    timer: float
    idle: float = 0.0
    fired: bool = False
    cancelled: bool = False
    streamed: bool = False
    outcome: Outcome | None = None

    @property
    def wanted(self) -> bool:
        """Whether it is out and its answer is still of use."""
        return (
            self.outcome is None
            and not self.shard_request.answered
            and not self.shard_request.dropped
        )

    @property
    def may_have_run(self) -> bool:
        """Whether nothing proves yet that it did not."""
        return self.outcome is None or not self.outcome.never_executed
