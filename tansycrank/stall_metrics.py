"""Metrics of event loop stalls: lateness of the loop, and age of endpoint lists when read."""

from __future__ import annotations

from collections.abc import Callable

from ddsketch import DDSketch

LATE_LIST_SECONDS = 0.1  # an endpoint list that is at least this old when read is logged
MIN_RECORDED_SECONDS = 0.001  # a smaller lateness of the event loop is not recorded
QUANTILES = {"p50": 0.5, "p99": 0.99}


class DurationHistogram:
    """Histogram of durations since the last report; recorded in seconds, reported in ms."""

    def __init__(self) -> None:
        self._sketch, self._max_ms = DDSketch(), 0.0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        duration_ms = seconds * 1000
        self._sketch.add(duration_ms)
        self._max_ms = max(self._max_ms, duration_ms)

    def report(self) -> dict[str, float]:
        """Return count, quantiles and maximum, and reset the histogram."""
        sketch, max_ms = self._sketch, self._max_ms
        self.__init__()
        figures = {"count": int(sketch.count)}
        for name, quantile in QUANTILES.items():
            figures[name] = round(sketch.get_quantile_value(quantile) or 0.0, 1)
        return figures | {"max": round(max_ms, 1)}


class StallMetrics:
    """The histograms of one router.

    `unread_seconds` returns for how long data read now may have lain unread. `log` is called with
    an event for each endpoint list that was read late.
    """

    def __init__(self, unread_seconds: Callable[[], float], log: Callable[..., None]) -> None:
        self._unread_seconds, self._log = unread_seconds, log
        self._loop_lateness = DurationHistogram()
        self._list_ages = DurationHistogram()
        self._last_lateness = 0.0  # s

    def record_lateness(self, seconds: float) -> None:
        """Record by how many seconds the event loop woke later than due."""
        self._last_lateness = seconds
        if seconds >= MIN_RECORDED_SECONDS:
            self._loop_lateness.record(seconds)

    def record_endpoint_list(self, version: int) -> None:
        """Record how old an endpoint list that is read now may be."""
        age = self._unread_seconds()
        self._list_ages.record(age)
        if age >= LATE_LIST_SECONDS:
            self._log(
                "endpoint_list_read_late",
                version=version,
                age_ms=round(age * 1000, 1),
                loop_late_ms=round(self._last_lateness * 1000, 1),
            )

    def report(self) -> dict[str, dict[str, float]]:
        """Return the histograms since the last report, for the state report."""
        return {
            "loop_late_ms": self._loop_lateness.report(),
            "endpoint_list_age_ms": self._list_ages.report(),
        }
