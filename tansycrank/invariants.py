"""The invariants of a router, which the lifecycle checks at run time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Invariant(Enum):
    """A condition that holds at all times."""

    ONE_ANSWER = "a request gets one final answer"
    ANSWER_IN_TIME = "a request is answered in its time"
    ANSWER_OWED = "no connection or process ends while an answer is owed"
    HONEST_ANSWER = "an answer claims no more than is proven"
    NO_START_AFTER_END = "nothing starts for a request that has ended"
    NO_DOUBLE_EFFECT = "nothing is repeated that may take effect twice"
    NOTHING_TO_DRAINING = "nothing starts at an endpoint that is draining or removed"
    WITHIN_BUDGET = "hedges and retries stay within their budget"


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant, or an operation that would have violated it and was denied.

    `request` is the client's id of the query; `history` holds its events, oldest first.
    """

    invariant: Invariant
    detail: str
    request: str = ""
    history: tuple[str, ...] = ()
