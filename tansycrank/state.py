"""Plain records of the decision module; nothing is decided here."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from tansycrank.interface import Outcome, QueryClass, Status


@dataclass(slots=True, eq=False)
class Server:
    """What this router knows of one server."""

    id: int
    cell: int
    zone: int
    status: Status
    came_up: float
    window: float
    sketch: object
    out: int = 0
    overdue: int = 0
    last_cut: float = 0.0
    last_answer: float = float("-inf")
    flag_until: float = float("-inf")
    backoff: float = 0.0
    sent_at: deque = field(default_factory=deque)
    answers: deque = field(default_factory=deque)


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
    step: int = 1
    whole_so_far: bool = True
    started: bool = False
    ended: bool = False
    parts: list = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Part:
    """One part of a query's current step."""

    id: int
    query: Query
    cell: int
    weight: float
    answered: bool = False
    dropped: bool = False
    spare: bool = False
    attempts: list = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a part."""

    part: Part
    number: int
    server: Server
    sent: float
    timer: float
    fired: bool = False
    hedged: bool = False
    cancelled: bool = False
    outcome: Outcome | None = None
