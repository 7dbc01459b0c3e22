"""When each endpoint started, on the monotonic clock of this router.

Service discovery reports starts in Unix time. The wall clock of this router may be wrong from the
start and may be stepped at any moment, so it is not read here. Two facts are relied on instead:

- The starts of different endpoints are on one clock: an endpoint is at least as old as its start
  lies before a younger one, plus the time since that one was reported. Two endpoints have to agree,
  so that one with a wrong clock makes no other look old. As younger starts are reported, older ones
  may become known more exactly; they are dated again then.
- A start that was not in the last report of discovery is younger than that report, whatever its
  value. A restart is a changed start, be it larger or smaller.

Both err towards a younger endpoint: a cold one never passes for warm, and a warm one is taken for
cold for at most one slow-start duration after this router has first heard of its start.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

LONG_AGO = 0.0  # as Unix time and as monotonic time: the endpoint is warm
FIRST_INCARNATION = 0  # the incarnation of an endpoint when it is first reported
REQUIRED_AGREEMENT = 2  # endpoints that have to agree on the offset between the clocks
MIN_IMPROVEMENT_MS = 100.0  # by which a start has to be older before it is dated again


@dataclass(frozen=True, slots=True)
class Start:
    """The last start of an endpoint."""

    started_at: float  # ms of the monotonic clock
    incarnation: int  # grows with each restart


@dataclass(frozen=True, slots=True)
class _Record:
    reported: float  # ms of Unix time
    not_before: float  # ms of the monotonic clock
    start: Start


class StartTimes:
    """Keeps one record for each endpoint that was reported and not forgotten."""

    def __init__(self) -> None:
        self._records: dict[Hashable, _Record] = {}
        # Offsets in ms of the two endpoints for which they are largest; see `_offset`.
        self._largest_offsets: dict[Hashable, float] = {}
        self._dated_by = float("-inf")  # the offset by which all starts were last dated
        self._last_report_at: float | None = None  # ms; None before the first list of discovery

    def confirm_unchanged(self, now: float) -> None:
        """Discovery reported on an open watch that nothing has changed; `now` is monotonic (ms)."""
        if self._last_report_at is not None:
            self._last_report_at = now

    def update(
        self, started: Mapping[Hashable, float], now: float, cached: bool = False
    ) -> dict[Hashable, Start]:
        """The starts of the endpoints of a list or change; reported as Unix time (ms), 0: long ago.

        The result has other endpoints too if their start is known more exactly by now. A `cached`
        list comes from a file: it proves nothing about which endpoints were there at any time.
        """
        for endpoint, reported in started.items():
            if reported != LONG_AGO:
                self._record_offset(endpoint, reported - now)
        for endpoint, reported in started.items():
            self._update(endpoint, reported, now)
        if not cached:
            self._last_report_at = now
        found = self._date_again() if self._offset > self._dated_by + MIN_IMPROVEMENT_MS else {}
        return found | {endpoint: self._records[endpoint].start for endpoint in started}

    def forget(self, endpoints: Iterable[Hashable]) -> None:
        """Drop the records of endpoints that were removed."""
        for endpoint in endpoints:
            self._records.pop(endpoint, None)

    @property
    def _offset(self) -> float:
        """Unix time less monotonic time (ms) is at least that; two endpoints agree on it."""
        return (
            min(self._largest_offsets.values())
            if len(self._largest_offsets) == REQUIRED_AGREEMENT
            else float("-inf")
        )

    def _record_offset(self, endpoint: Hashable, offset: float) -> None:
        """A start lies before the time of its report, which bounds the offset."""
        self._largest_offsets[endpoint] = max(offset, self._largest_offsets.get(endpoint, offset))
        if len(self._largest_offsets) > REQUIRED_AGREEMENT:
            del self._largest_offsets[min(self._largest_offsets, key=self._largest_offsets.get)]

    def _update(self, endpoint: Hashable, reported: float, now: float) -> None:
        known = self._records.get(endpoint)
        if known is not None and known.reported == reported:
            return
        incarnation = FIRST_INCARNATION if known is None else known.start.incarnation
        if (
            known is not None and reported != LONG_AGO
        ):  # a start that is no longer reported is merely old
            incarnation += 1
        not_before = float("-inf") if self._last_report_at is None else self._last_report_at
        at = LONG_AGO if reported == LONG_AGO else self._instant(reported, not_before, now)
        self._records[endpoint] = _Record(reported, not_before, Start(at, incarnation))

    def _instant(self, reported: float, not_before: float, latest: float) -> float:
        return max(min(reported - self._offset, latest), not_before)

    def _date_again(self) -> dict[Hashable, Start]:
        """Date all starts by the present offset; the ones that became older."""
        self._dated_by = self._offset
        found = {}
        for endpoint, known in self._records.items():
            if known.reported == LONG_AGO:
                continue
            at = self._instant(known.reported, known.not_before, known.start.started_at)
            if at < known.start.started_at - MIN_IMPROVEMENT_MS:
                start = Start(at, known.start.incarnation)
                self._records[endpoint] = _Record(known.reported, known.not_before, start)
                found[endpoint] = start
        return found
