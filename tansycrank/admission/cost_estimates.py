"""Estimated cost of queries, in shard requests of mean service time.

The cost of a query is its number of shard requests, times the service time of its statement divided
by the mean of all queries. The service time of a new statement is estimated by its query class;
each answer updates both. As only the ratio to the mean counts, a slowdown of the whole store does
not change the share of any tenant.
"""

from __future__ import annotations

from collections import OrderedDict

SMOOTHING = 0.2  # weight of the newest answer
MAX_STATEMENTS = 2048  # statements that are kept; the least recently updated is evicted
DEVIATION_FACTOR = 2.0  # mean deviations above the mean within which 90 % of queries have ended
# Bounds on a statement's service time relative to the mean, against single outliers.
MIN_RATIO, MAX_RATIO = 0.05, 50.0


class CostEstimates:
    """Smoothed service times of statements and query classes. Times are in ms."""

    def __init__(self, classes: int) -> None:
        self.mean_service_time = 0.0  # of a shard request, over all queries
        self._class_service_times: list[float] = [0.0] * classes
        self._class_deviations: list[float] = [0.0] * classes
        self._statement_service_times: OrderedDict[int, float] = OrderedDict()

    def estimate(self, query_class: int, statement: int, shard_requests: int) -> float:
        """The estimated cost of a query before it runs."""
        service_time = (
            self._statement_service_times.get(statement) or self._class_service_times[query_class]
        )
        return shard_requests * self._ratio(service_time or self.mean_service_time)

    def _ratio(self, service_time: float) -> float:
        return (
            min(max(service_time / self.mean_service_time, MIN_RATIO), MAX_RATIO)
            if self.mean_service_time > 0
            else 1.0
        )

    def record(
        self, query_class: int, statement: int, shard_requests: int, service_time: float
    ) -> float:
        """Record a measured service time; returns the actual cost of the query."""
        self.mean_service_time = _smoothed(self.mean_service_time, service_time)
        deviation = abs(service_time - (self._class_service_times[query_class] or service_time))
        self._class_deviations[query_class] += SMOOTHING * (
            deviation - self._class_deviations[query_class]
        )
        self._class_service_times[query_class] = _smoothed(
            self._class_service_times[query_class], service_time
        )
        self._statement_service_times[statement] = _smoothed(
            self._statement_service_times.get(statement, 0.0), service_time
        )
        self._statement_service_times.move_to_end(statement)
        if len(self._statement_service_times) > MAX_STATEMENTS:
            self._statement_service_times.popitem(last=False)
        return shard_requests * self._ratio(service_time)

    def upper_service_time(self, query_class: int, statement: int) -> float:
        """An upper estimate of the service time; 0 before anything of the class is measured."""
        service_time = (
            self._statement_service_times.get(statement) or self._class_service_times[query_class]
        )
        return service_time + DEVIATION_FACTOR * self._class_deviations[query_class]


def _smoothed(old: float, new: float) -> float:
    return new if old <= 0 else old + SMOOTHING * (new - old)
