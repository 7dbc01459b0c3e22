"""When each data node started, on this router's monotonic clock.

Service discovery tells starts in Unix time. This router's own wall clock may be wrong from the
start and may be stepped at any moment, so it is not read here at all. What is trusted instead:

- The starts of different nodes are on one clock: a node is at least as old as its start lies before
  a younger one, plus the time that has passed since that one was told. Two nodes have to agree on
  that, so that one whose clock is wrong makes no other look old. Each younger start that is told
  may make older ones known better; they are dated anew then.
- What this router has seen itself: a start that was not there at discovery's last word is younger
  than that word, whatever its number says. A restart is a changed start, be it larger or smaller.

Both err towards a younger node: one that is cold never passes for warm, and one that is warm is
taken for cold for at most one warm-up time after this router first heard of its start.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping
from dataclasses import dataclass

LONG_AGO = 0.0  # as a start in Unix time, and as an instant of ours: the node is warm
FIRST = 0  # the incarnation of a node when it is first heard of
WITNESSES = 2  # nodes that have to agree on how far apart the two clocks are
FINER = 100.0  # ms by which a start has to be known better before it is told anew


@dataclass(frozen=True, slots=True)
class Start:
    """A node's last start. `at` is ms of the monotonic clock; `incarnation` grows with each
    restart.
    """

    at: float
    incarnation: int


@dataclass(frozen=True, slots=True)
class _Known:
    told: float  # ms of Unix time, as discovery names it
    not_before: float  # ms of the monotonic clock
    start: Start


class StartTimes:
    """Holds one record for each node that was told and not forgotten."""

    def __init__(self) -> None:
        self._known: dict[Hashable, _Known] = {}
        self._witnesses: dict[
            Hashable, float
        ] = {}  # the two nodes with the largest offsets; see `_offset`
        self._dated_by = float("-inf")  # the offset by which all starts were last dated
        self._last_word: float | None = (
            None  # ms: when discovery was last heard; None before its first list
        )

    def heard(self, now: float) -> None:
        """Discovery said, on an open watch, that nothing changes; `now` is ms of the monotonic
        clock.
        """
        if self._last_word is not None:
            self._last_word = now

    def listed(
        self, started: Mapping[Hashable, float], now: float, cached: bool = False
    ) -> dict[Hashable, Start]:
        """The starts of the nodes of one list or change, told as ms of Unix time; 0 for long ago.

        Nodes that are not in it are in the result too where their start is known better by now. A
        `cached` list comes from a file: it proves nothing of what was there at any time.
        """
        for node, told in started.items():
            if told != LONG_AGO:
                self._hear_witness(node, told - now)
        for node, told in started.items():
            self._update(node, told, now)
        if not cached:
            self._last_word = now
        found = self._date_anew() if self._offset > self._dated_by + FINER else {}
        return found | {node: self._known[node].start for node in started}

    def forget(self, nodes: Iterable[Hashable]) -> None:
        """Drop the records of nodes that are gone."""
        for node in nodes:
            self._known.pop(node, None)

    @property
    def _offset(self) -> float:
        """ms: Unix time less monotonic time is at least that; two nodes agree on it."""
        return min(self._witnesses.values()) if len(self._witnesses) == WITNESSES else float("-inf")

    def _hear_witness(self, node: Hashable, offset: float) -> None:
        """A start lies before the moment at which it is told."""
        self._witnesses[node] = max(offset, self._witnesses.get(node, offset))
        if len(self._witnesses) > WITNESSES:
            del self._witnesses[min(self._witnesses, key=self._witnesses.get)]

    def _update(self, node: Hashable, told: float, now: float) -> None:
        known = self._known.get(node)
        if known is not None and known.told == told:
            return
        incarnation = FIRST if known is None else known.start.incarnation
        if (
            known is not None and told != LONG_AGO
        ):  # a node whose start is no longer told is merely old
            incarnation += 1
        not_before = float("-inf") if self._last_word is None else self._last_word
        at = LONG_AGO if told == LONG_AGO else self._instant(told, not_before, now)
        self._known[node] = _Known(told, not_before, Start(at, incarnation))

    def _instant(self, told: float, not_before: float, latest: float) -> float:
        return max(min(told - self._offset, latest), not_before)

    def _date_anew(self) -> dict[Hashable, Start]:
        """The starts that are known better than before."""
        self._dated_by = self._offset
        found = {}
        for node, known in self._known.items():
            if known.told == LONG_AGO:
                continue
            at = self._instant(known.told, known.not_before, known.start.at)
            if at < known.start.at - FINER:
                start = Start(at, known.start.incarnation)
                self._known[node] = _Known(known.told, known.not_before, start)
                found[node] = start
        return found
