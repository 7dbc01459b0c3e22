"""The start time of each endpoint on this router's monotonic clock.

Service discovery reports starts in Unix time. The wall clock of this router may be wrong and may be
stepped at any moment, so it is not read here. Two properties are used instead:

- The starts of all endpoints are on one clock: an endpoint is at least as old as the difference
  between its start and a later one, plus the time since that one was reported. Two endpoints have
  to agree, so that a single wrong clock does not make the others look old. As later starts are
  reported, earlier ones may become more accurate and are computed again.
- A start that was not in discovery's last report is later than that report, whatever its value. A
  changed start means a restart, even if the new value is smaller.

Errors are towards a younger endpoint: a cold one is never taken for warm, and a warm one is taken
for cold for at most one slow-start duration after its start was first reported to this router.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

LONG_AGO = 0.0  # in Unix time and in monotonic time; the endpoint is warm
FIRST_INCARNATION = 0  # of an endpoint when it is first reported
REQUIRED_AGREEMENT = 2  # endpoints that have to agree on the clock offset
MIN_IMPROVEMENT_MS = 100.0  # smaller corrections of a start are ignored


@dataclass(frozen=True, slots=True)
class Start:
    """The most recent start of an endpoint."""

    started_at: float  # ms of the monotonic clock
    incarnation: int  # increases with each restart


@dataclass(frozen=True, slots=True)
class _Record:
    reported: float  # ms of Unix time
    earliest: float  # ms of the monotonic clock
    start: Start


class StartTimes:
    """Keeps the start of each endpoint that was reported and not removed."""

    def __init__(self) -> None:
        self._records: dict[Hashable, _Record] = {}
        # The `REQUIRED_AGREEMENT` largest clock offsets in ms, by endpoint; see `_offset`.
        self._largest_offsets: dict[Hashable, float] = {}
        self._applied_offset = float("-inf")  # ms; offset at the last computation of all starts
        self._last_report_at: float | None = None  # ms; None before the first report from discovery

    def confirm_unchanged(self, now: float) -> None:
        """Record that discovery reported no change on an open watch; `now` is monotonic ms."""
        if self._last_report_at is not None:
            self._last_report_at = now

    def update(
        self, started: Mapping[Hashable, float], now: float, cached: bool = False
    ) -> dict[Hashable, Start]:
        """The starts of the endpoints of a list or delta; `started` is Unix ms, 0 for long ago.

        The result also has other endpoints whose start has become more accurate. A `cached` list
        comes from a file, so it does not show which endpoints existed at any time.
        """
        for endpoint, reported in started.items():
            if reported != LONG_AGO:
                self._record_offset(endpoint, reported - now)
        for endpoint, reported in started.items():
            self._update(endpoint, reported, now)
        if not cached:
            self._last_report_at = now
        changed = (
            self._recompute_starts()
            if self._offset > self._applied_offset + MIN_IMPROVEMENT_MS
            else {}
        )
        return changed | {endpoint: self._records[endpoint].start for endpoint in started}

    def forget(self, endpoints: Iterable[Hashable]) -> None:
        """Drop the records of removed endpoints."""
        for endpoint in endpoints:
            self._records.pop(endpoint, None)

    @property
    def _offset(self) -> float:
        """Lower bound of Unix time minus monotonic time (ms) on which two endpoints agree."""
        return (
            min(self._largest_offsets.values())
            if len(self._largest_offsets) == REQUIRED_AGREEMENT
            else float("-inf")
        )

    def _record_offset(self, endpoint: Hashable, offset: float) -> None:
        """Record a lower bound of the clock offset: a start precedes its report."""
        self._largest_offsets[endpoint] = max(offset, self._largest_offsets.get(endpoint, offset))
        if len(self._largest_offsets) > REQUIRED_AGREEMENT:
            del self._largest_offsets[min(self._largest_offsets, key=self._largest_offsets.get)]

    def _update(self, endpoint: Hashable, reported: float, now: float) -> None:
        record = self._records.get(endpoint)
        if record is not None and record.reported == reported:
            return
        incarnation = FIRST_INCARNATION if record is None else record.start.incarnation
        # A start that is no longer reported was long ago; it is not a restart.
        if record is not None and reported != LONG_AGO:
            incarnation += 1
        earliest = float("-inf") if self._last_report_at is None else self._last_report_at
        started_at = (
            LONG_AGO if reported == LONG_AGO else self._to_monotonic(reported, earliest, now)
        )
        self._records[endpoint] = _Record(reported, earliest, Start(started_at, incarnation))

    def _to_monotonic(self, reported: float, earliest: float, latest: float) -> float:
        return max(min(reported - self._offset, latest), earliest)

    def _recompute_starts(self) -> dict[Hashable, Start]:
        """Recompute all starts with the current offset; returns those that became older."""
        self._applied_offset = self._offset
        changed = {}
        for endpoint, record in self._records.items():
            if record.reported == LONG_AGO:
                continue
            started_at = self._to_monotonic(
                record.reported, record.earliest, record.start.started_at
            )
            if started_at < record.start.started_at - MIN_IMPROVEMENT_MS:
                start = Start(started_at, record.start.incarnation)
                self._records[endpoint] = _Record(record.reported, record.earliest, start)
                changed[endpoint] = start
        return changed
