"""Decisions about memory: who may hold how many bytes of rows, who spills, waits, is refused, or is
ended.

No I/O and no clock: `step(now, events) -> actions`. A query is small until it wants more than
`SMALL`; small ones ask nobody, and a reserve is kept for them, so that they never notice the large.
The rest of the bound is shared equally by the large; who comes when no share of `LEAST` is left
waits in line; past the line, refused.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

MIB = 1024 * 1024
SMALL = MIB // 2  # bytes a query may hold before it counts as large
RESERVE = 0.25  # of the bound, kept for small queries
LEAST = 4 * MIB  # the least share with which a merge still goes on at a useful pace
WORKING = (
    0.5  # of a share may be rows held back; the rest is for tables, runs and what is on its way out
)
LINE = 64  # large queries that may wait
KEPT_TIMES = 16  # durations of past large queries, for the time to come back
GUESS = 2_000.0  # ms a large query takes, before one has been seen


# events


@dataclass(frozen=True, slots=True)
class Opened:
    """A query begins; `streams` tells whether its rows could leave before its parts are whole."""

    query: int
    streams: bool


@dataclass(frozen=True, slots=True)
class Holds:
    """A query holds so many bytes now and wants to go on."""

    query: int
    held: int


@dataclass(frozen=True, slots=True)
class Full:
    """All together hold more than the bound; this query has just grown."""

    query: int


@dataclass(frozen=True, slots=True)
class Closed:
    """A query has ended; nothing of it is held."""

    query: int


# actions


@dataclass(frozen=True, slots=True)
class Share:
    """The query may hold so many bytes from now on."""

    query: int
    limit: int


@dataclass(frozen=True, slots=True)
class Stream:
    """It holds back its nodes instead of holding rows: its rows leave while they come."""

    query: int


@dataclass(frozen=True, slots=True)
class Spill:
    """What is over its share goes to disk."""

    query: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Its nodes are not read until it hears more."""

    query: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """It ends; `after` ms later there should be room."""

    query: int
    after: float


@dataclass(slots=True)
class _Query:
    streams: bool
    held: int = 0
    large: bool = False
    waiting: bool = False
    since: float = 0.0


@dataclass
class Governor:
    """What is held by whom. `process` and `query` are the bounds of the settings, in bytes."""

    process: int
    query: int
    queries: dict[int, _Query] = field(default_factory=dict)
    large: OrderedDict[int, None] = field(
        default_factory=OrderedDict
    )  # in the order of their start
    line: deque[int] = field(default_factory=deque)
    times: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_TIMES))

    def step(self, now: float, events: Iterable[object]) -> list[object]:
        """Hear what happened, say who may do what."""
        actions: list[object] = []
        for event in events:
            match event:
                case Opened(query, streams):
                    self.queries[query] = _Query(streams)
                case Holds(query, held):
                    if query in self.queries:
                        self._holds(now, query, held, actions)
                case Full(query):
                    # the last to come goes first: who began early is nearer to its end
                    victim = next(reversed(self.large), query)
                    actions.append(Refuse(victim, self.come_back()))
                case Closed(query):
                    self._closed(now, query, actions)
        return actions

    @property
    def share(self) -> int:
        """Bytes each large query may hold."""
        pool = self._pool()
        return min(self.query, pool // max(len(self.large), 1))

    def _pool(self, but: int | None = None) -> int:
        small = sum(q.held for number, q in self.queries.items() if not q.large and number != but)
        return max(self.process - max(int(self.process * RESERVE), small), 0)

    def _room_for(self, number: int) -> bool:
        """Whether one more large query finds its least share; the first always may (it waits for
        nobody).
        """
        return not self.large or self._pool(number) // (len(self.large) + 1) >= min(
            LEAST, self.query
        )

    def _holds(self, now: float, number: int, held: int, actions: list) -> None:
        one = self.queries[number]
        one.held = held
        if one.large or one.waiting:
            return
        if held <= SMALL:
            actions.append(Share(number, SMALL))
        elif not self.line and self._room_for(number):
            self._admit(now, number, actions)
        elif len(self.line) < LINE:
            one.waiting = True
            self.line.append(number)
            actions.append(Wait(number))
        else:
            actions.append(Refuse(number, self.come_back()))

    def _admit(self, now: float, number: int, actions: list) -> None:
        one = self.queries[number]
        one.large, one.waiting, one.since = True, False, now
        self.large[number] = None
        actions += [Share(other, self.share) for other in self.large]  # all others shrink with it
        actions.append(Stream(number) if one.streams else Spill(number))

    def _closed(self, now: float, number: int, actions: list) -> None:
        one = self.queries.pop(number, None)
        if one is None:
            return
        if one.waiting:
            self.line.remove(number)
        if one.large:
            del self.large[number]
            self.times.append(now - one.since)
        before = len(self.large)
        while self.line and self._room_for(self.line[0]):
            self._admit(now, self.line.popleft(), actions)
        if one.large and len(self.large) == before:
            actions += [Share(other, self.share) for other in self.large]

    def come_back(self) -> float:
        """When a refused query should find room: the line and one more, at the pace of the last
        ones.
        """
        mean = sum(self.times) / len(self.times) if self.times else GUESS
        return mean * (len(self.line) + 1) / max(len(self.large), 1)
