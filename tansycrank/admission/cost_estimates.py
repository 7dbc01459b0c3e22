"""What a query costs: parts times the work of its statement, as measured, in parts of average work.

A guess comes from the statement, else from its class; each answer corrects both. Only ratios to the
mean of all count, so that a slow hour, which makes everything slow, changes nobody's share.
"""

from __future__ import annotations

from collections import OrderedDict

SMOOTHING = 0.2  # weight of the newest answer
MAX_STATEMENTS = 2048  # statements remembered; the one not seen for longest goes first
SPREAD_FACTOR = 2.0  # mean distances past the mean by which nine in ten have run
MIN_RATIO, MAX_RATIO = 0.05, 50.0  # work of a part beside the mean: bounds against one odd answer


class CostEstimates:
    """Expected work of statements. Times in ms."""

    def __init__(self, classes: int) -> None:
        self.mean = 0.0  # ms of a part, over all
        self._classes: list[float] = [0.0] * classes
        self._spread: list[float] = [0.0] * classes  # mean distance from the mean, ms
        self._statements: OrderedDict[int, float] = OrderedDict()

    def expect(self, query_class: int, statement: int, shard_requests: int) -> float:
        """The estimated cost of a query before it runs."""
        took = self._statements.get(statement) or self._classes[query_class]
        return shard_requests * self._ratio(took or self.mean)

    def _ratio(self, took: float) -> float:
        return min(max(took / self.mean, MIN_RATIO), MAX_RATIO) if self.mean > 0 else 1.0

    def learn(self, query_class: int, statement: int, shard_requests: int, took: float) -> float:
        """Learn from a service time in ms; returns the real cost."""
        self.mean = _towards(self.mean, took)
        off = abs(took - (self._classes[query_class] or took))
        self._spread[query_class] += SMOOTHING * (off - self._spread[query_class])
        self._classes[query_class] = _towards(self._classes[query_class], took)
        self._statements[statement] = _towards(self._statements.get(statement, 0.0), took)
        self._statements.move_to_end(statement)
        if len(self._statements) > MAX_STATEMENTS:
            self._statements.popitem(last=False)
        return shard_requests * self._ratio(took)

    def needs(self, query_class: int, statement: int) -> float:
        """An upper estimate of the service time in ms; 0 before one has been measured."""
        took = self._statements.get(statement) or self._classes[query_class]
        return took + SPREAD_FACTOR * self._spread[query_class]


def _towards(old: float, new: float) -> float:
    return new if old <= 0 else old + SMOOTHING * (new - old)
