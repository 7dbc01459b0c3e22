"""The invariants of a router, which the lifecycle checks while it runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Invariant(Enum):
    """What holds at all times."""

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
    """An invariant that was broken, or would have been.

    `request` is the client's id of the query, `history` its events, oldest first.
    """

    invariant: Invariant
    detail: str
    request: str = ""
    history: tuple[str, ...] = ()
