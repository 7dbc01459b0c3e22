"""When each data node started, on this router's monotonic clock.

Service discovery tells starts in Unix time. This router's own wall clock may be wrong from the start and may
be stepped at any moment, so it is not read here at all. What is trusted instead:

- The starts of different nodes are on one clock: a node is at least as old as its start lies before the
  youngest start told so far, plus the time that has passed since that one was told.
- What this router has seen itself: a start that was not there at discovery's last word is younger than that
  word, whatever its number says. A restart is a changed start, be it larger or smaller.

Both err towards a younger node: one that is cold never passes for warm, and one that is warm is taken for
cold for at most one warm-up time after this router first heard of its start.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

LONG_AGO = 0.0  # as a start in Unix time, and as an instant of ours: the node is warm
FIRST = 0  # the incarnation of a node when it is first heard of


@dataclass(frozen=True, slots=True)
class Start:
    """A node's last start. `at` is ms of the monotonic clock; `incarnation` grows with each restart."""

    at: float
    incarnation: int


@dataclass(frozen=True, slots=True)
class _Known:
    told: float  # ms of Unix time, as discovery names it
    start: Start


class StartTimes:
    """Holds one record for each node that was told and not forgotten."""

    def __init__(self) -> None:
        self._known: dict[Hashable, _Known] = {}
        self._offset = float("-inf")  # ms: Unix time less monotonic time is at least that
        self._last_word: float | None = None  # ms: when discovery was last heard; None before its first list

    def heard(self, now: float) -> None:
        """Discovery said, on an open watch, that nothing changes; `now` is ms of the monotonic clock."""
        if self._last_word is not None:
            self._last_word = now

    def listed(
        self, started: Mapping[Hashable, float], now: float, cached: bool = False
    ) -> dict[Hashable, Start]:
        """The starts of the nodes of one list or change, told as ms of Unix time; 0 for long ago.

        A `cached` list comes from a file: it proves nothing of what was there at any time.
        """
        for told in started.values():
            if told:
                self._offset = max(self._offset, told - now)
        for node, told in started.items():
            self._update(node, told)
        if not cached:
            self._last_word = now
        return {node: self._known[node].start for node in started}

    def forget(self, nodes: Iterable[Hashable]) -> None:
        """Drop the records of nodes that are gone."""
        for node in nodes:
            self._known.pop(node, None)

    def _update(self, node: Hashable, told: float) -> None:
        known = self._known.get(node)
        if known is None:
            self._known[node] = _Known(told, Start(self._instant(told), FIRST))
        elif known.told != told:
            restarted = told != LONG_AGO  # a node whose start is no longer told is merely old
            start = Start(self._instant(told), known.start.incarnation + restarted)
            self._known[node] = _Known(told, start)
        elif self._last_word is None:  # of a cached list: discovery's first one knows younger starts
            self._known[node] = _Known(told, Start(self._instant(told), known.start.incarnation))

    def _instant(self, told: float) -> float:
        if told == LONG_AGO:
            return LONG_AGO
        estimate = told - self._offset
        return estimate if self._last_word is None else max(estimate, self._last_word)
