"""Whose messages the router looks at next: its own time is shared by tenants, as its nodes are.

Reading, understanding and refusing a statement costs the router's one thread about a millisecond. Sessions of
a flood would fill each turn of the reactor, and everyone's answers would wait for it. So a turn looks at
messages for a bounded time only, by start-time fair queuing of tenants over the time they really took.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.door.fair import Lane, Level

SLICE = 0.004  # seconds of a turn for messages of clients, one message more at most


class Reader(Protocol):
    """A session with messages in its line."""

    id: int

    def look(self) -> bool:
        """Look at what waits, one step; tells whether more can be done now."""


class Turns:
    """Fair turns of all sessions. `soon(f)` calls f in the next reactor turn; `clock()` tells seconds."""

    def __init__(self, soon: Callable[[Callable[[], None]], object], clock: Callable[[], float]) -> None:
        self._soon, self._clock = soon, clock
        self._level = Level()
        self._lanes: dict[str, Lane] = {}
        self._used = 0.0
        self._called = False

    def wake(self, reader: Reader, tenant: str) -> None:
        """A session has messages: they are looked at now where this turn has time, else by turns."""
        if not self._level and self._used < SLICE:
            lane = self._lanes.get(tenant) or Lane()
            began = self._clock()
            more = reader.look()
            took = max(self._clock() - began, 0.0)
            self._used += took
            self._level.pass_by(lane, took)
            if more:
                self._add(reader, tenant, lane)
        else:
            self._add(reader, tenant, self._lanes.get(tenant) or Lane())
        if not self._called:
            self._called = True
            self._soon(self._turn)

    def _add(self, reader: Reader, tenant: str, lane: Lane) -> None:
        if reader.id not in lane.line:
            lane.line[reader.id] = reader
            self._level.size += 1
        self._lanes[tenant] = lane
        self._level.enter(tenant, lane)

    def forget(self, reader: Reader, tenant: str) -> None:
        """A session has ended."""
        lane = self._lanes.get(tenant)
        if lane is not None and lane.line.pop(reader.id, None) is not None:
            self._level.size -= 1
            self._level.tidy()
            if not lane:
                del self._lanes[tenant]

    def _turn(self) -> None:
        self._called, self._used = False, 0.0
        while self._used < SLICE and (found := self._level.first()) is not None:
            tenant, lane = found
            reader = lane.take()
            self._level.size -= 1
            began = self._clock()
            more = reader.look()
            took = max(self._clock() - began, 1e-6)
            self._used += took
            if more and reader.id not in lane.line:
                lane.line[reader.id] = reader
                self._level.size += 1
            self._level.serve(took)
            if not lane:
                self._lanes.pop(tenant, None)
        if self._level and not self._called:
            self._called = True
            self._soon(self._turn)
