"""Everything the decision module hears and does: settings, events, actions.

All times are milliseconds. Events come in order of arrival; the actions of one
step take effect at that step's time, in the order given.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What repeating a part of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How an attempt (or a probe) ended."""

    ANSWERED = "answered"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    UNCONNECTED = "unconnected"
    BROKEN_OFF = "broken off"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the part was not run."""
        return self in (Outcome.REJECTED, Outcome.UNCONNECTED, Outcome.NOT_SENT)


class Status(Enum):
    """What discovery says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event holds."""

    FULL = "full"
    CACHED = "cached"
    CHANGES = "changes"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of query. Shares are fractions of the parts' weight."""

    aim: float
    give_up: float
    worth: float
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    dedup_window: float = 0.0
    floor: float = 1.0
    whole_at: float = 1.0
    short_worth: float = 0.0
    follow_up: int = 0

    def __post_init__(self) -> None:
        _positive(self, "aim", "give_up", "whole_at")
        _not_negative(
            self, "worth", "late_worth", "dedup_window", "floor", "short_worth", "follow_up"
        )
        if self.aim > self.give_up:
            raise ValueError(f"aim: {self.aim} is longer than give_up {self.give_up}")
        if self.floor > self.whole_at or self.whole_at > 1:
            raise ValueError(
                f"floor: {self.floor} must be at most whole_at {self.whole_at}, and that at most 1"
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told at its start. A budget of None means that none is set."""

    classes: tuple[QueryClass, ...]
    me: int = 0
    routers: int = 1
    zone: int = 0
    zones: int = 1
    tick: float = 1.0
    shards: int = 1
    cells: int = 1
    reach: int = 1
    call_parts: int = 1
    call_work: float = 0.0
    attempts_cap: int = 3
    second_copies: bool = True
    can_cancel: bool = True
    can_probe: bool = False
    can_tell_peers: bool = False
    can_hold_off: bool = False
    hold_off_max: float = 0.0
    marks_repeats: bool = False
    open_cap: int = 1000
    must_ask: bool = False
    must_watch: bool = False  # lists come on an open watch alone, those that are pushed too
    ask_every: float = 10000.0
    answer_grace: float = 0.0
    drain_grace: float = 0.0
    cold_multiple: float = 1.0
    cold_window: float = 1000.0
    cold_from: float = 1.0
    cold_time: float = 0.0
    budget_floor: float | None = None
    budget_share: float | None = None
    budget_window: float | None = None
    price_crossing: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_late_fail: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        _positive(
            self,
            "routers",
            "zones",
            "tick",
            "shards",
            "cells",
            "reach",
            "call_parts",
            "attempts_cap",
            "open_cap",
            "ask_every",
            "cold_multiple",
            "cold_window",
        )
        _not_negative(
            self,
            "me",
            "zone",
            "call_work",
            "hold_off_max",
            "answer_grace",
            "drain_grace",
            "cold_from",
            "cold_time",
            "price_crossing",
            "price_waste",
            "price_probe",
            "price_late_fail",
        )
        if self.me >= self.routers:
            raise ValueError(f"me: {self.me} is not below routers {self.routers}")
        if self.reach > self.cells:
            raise ValueError(f"reach: {self.reach} is more than cells {self.cells}")
        if self.cold_from > 1:
            raise ValueError(f"cold_from: {self.cold_from} is more than 1")
        budget = ("budget_floor", "budget_share", "budget_window")
        told = [name for name in budget if getattr(self, name) is not None]
        if told and len(told) < len(budget):
            missing = next(name for name in budget if name not in told)
            raise ValueError(f"{missing}: a budget needs all of {', '.join(budget)}")
        if told:
            _not_negative(self, "budget_floor", "budget_share")
            _positive(self, "budget_window")


def _positive(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) > 0:
            raise ValueError(f"{name}: {getattr(record, name)} must be above 0")


def _not_negative(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) >= 0:
            raise ValueError(f"{name}: {getattr(record, name)} must not be negative")


@dataclass(frozen=True, slots=True)
class Listed:
    """One server as discovery names it; `came_up` is 0 for long ago.

    `incarnation` grows with each restart of the server; where none is given, `came_up` stands for
    it.
    """

    server: int
    cell: int
    zone: int
    status: Status
    came_up: float = 0.0
    size_hint: float = 1.0
    incarnation: float | None = None

    @property
    def life(self) -> float:
        """Which of the server's lives this is."""
        return self.came_up if self.incarnation is None else self.incarnation


# --- events -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ServerList:
    """Discovery speaks: a list, changes to it, or that a call failed."""

    kind: ListKind
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class QueryArrived:
    """A query was taken. Its parts follow in the same step with its number."""

    query: int
    number: int
    query_class: int
    time_left: float
    parts: int
    key: int = 0
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class PartArrived:
    """A part of the query of that number, of its first step or its second."""

    part: int
    number: int
    shard: int
    weight: float
    key: int = 0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Exactly one for each send. `load` holds figures as the server reported them."""

    part: int
    attempt: int
    server: int
    outcome: Outcome
    took: float
    part_ended: bool = False
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerBegan:
    """A streamed answer began; the attempt belongs to the client from now on."""

    part: int
    attempt: int
    server: int
    took: float


@dataclass(frozen=True, slots=True)
class QueryGone:
    """The client has left, and the query with its parts is over."""

    query: int


@dataclass(frozen=True, slots=True)
class Woken:
    """A wake-up asked for has come."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What a probe brought."""

    server: int
    outcome: Outcome
    took: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerSaid:
    """A message of another router of this tier."""

    peer: int
    data: bytes


Event = (
    ServerList
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | AnswerBegan
    | QueryGone
    | Woken
    | ProbeEnded
    | PeerSaid
)


# --- actions ----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """A further attempt for a part: first try, retry or hedge.

    `connect_within` is the time after which it is taken back, as `UNCONNECTED`, if nothing of it
    was written, since its connection is not up. 0 leaves that to the host; hosts that cannot tell
    ignore it. `leave_within` is the time after which its last byte may not leave any more (rule 2:
    a part that may be repeated for a while only); the host takes it back then, as `UNCONNECTED`. 0
    for no such time.
    """

    part: int
    server: int
    time_out: float = 0.0
    connect_within: float = 0.0
    leave_within: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    part: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the query from the parts that are in."""

    query: int
    whole: bool


class GiveUpReason(Enum):
    """Why a query gets no answer from the shards; for counters and logs."""

    NO_START = "no sub-request could start in time"
    PROBE_LATE = "its probe sub-request was not answered in time"
    TOO_FEW_SHARDS = "too few of its shards can still answer"
    TARGET_PASSED = "its latency target has passed"
    DEADLINE_PASSED = "its deadline has passed"
    HARMFUL = "endpoints broke off as they began it"
    NOT_WHOLE = "an answer in part is of no use to its client"
    STOPPING = "this router stops"
    UNREADABLE = "its connection cannot be read any more"
    FAULT = "a fault of this router"


@dataclass(frozen=True, slots=True)
class Shed:
    """Refuse the query: trying again does no harm. `reason` is no part of a comparison."""

    query: int
    hold_off: float = 0.0
    reason: GiveUpReason = field(default=GiveUpReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the query up and promise nothing. `reason` is no part of a comparison."""

    query: int
    reason: GiveUpReason = field(default=GiveUpReason.FAULT, compare=False)


@dataclass(frozen=True, slots=True)
class Wake:
    """Ask to be woken."""

    after: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask discovery for changes from now on, or no longer."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server how it is."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send a short message to one peer, or to all where `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operators' log."""

    text: str


Action = (
    Send
    | Cancel
    | Answer
    | Shed
    | Fail
    | Wake
    | Watch
    | FetchList
    | Probe
    | CloseIdle
    | TellPeer
    | Note
)
