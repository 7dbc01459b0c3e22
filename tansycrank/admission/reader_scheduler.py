"""Which client messages the router reads next: its own CPU time is shared fairly by tenants.

Reading, understanding and refusing a statement costs the router's one thread about a millisecond.
Sessions of a flood would fill each turn of the reactor, and everyone's answers would wait for it.
So a turn looks at messages for a bounded time only, by start-time fair queuing of tenants over the
time they really took.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.admission.fair_queue import FairScheduler, FifoQueue

SLICE = 0.004  # seconds of a turn for messages of clients, one message more at most


class Reader(Protocol):
    """A session with messages in its line."""

    id: int

    def look(self) -> None:
        """Look at what waits."""


class Turns:
    """Fair turns of all sessions. `soon(f)` calls f in the next reactor turn; `clock()` tells
    seconds.
    """

    def __init__(
        self, soon: Callable[[Callable[[], None]], object], clock: Callable[[], float]
    ) -> None:
        self._soon, self._clock = soon, clock
        self._level = FairScheduler()
        self._used = 0.0
        self._called = False

    def wake(self, reader: Reader, tenant: str) -> None:
        """A session has messages: they are looked at now where this turn has time, else by turns."""
        if not self._level and self._used < SLICE:
            self._used += self._spend(reader)
        else:
            tenant_queue = self._level.children.get(tenant)
            if tenant_queue is None:
                tenant_queue = FifoQueue()
            if reader.id not in tenant_queue.items:
                tenant_queue.add(reader)
                self._level.size += 1
            self._level.schedule(tenant, tenant_queue)
        if not self._called:
            self._called = True
            self._soon(self._turn)

    def _spend(self, reader: Reader) -> float:
        """Let it look; the seconds that took."""
        began = self._clock()
        reader.look()
        return max(self._clock() - began, 0.0)

    def forget(self, reader: Reader, tenant: str) -> None:
        """A session has ended."""
        tenant_queue = self._level.children.get(tenant)
        if tenant_queue is not None and tenant_queue.items.pop(reader.id, None) is not None:
            self._level.size -= 1
            self._level.compact()

    def _turn(self) -> None:
        self._called, self._used = False, 0.0
        while self._used < SLICE and (found := self._level.first()) is not None:
            reader = found[1].take()
            self._level.size -= 1
            took = max(self._spend(reader), 1e-6)
            self._used += took
            self._level.serve(took)
        if self._level and not self._called:
            self._called = True
            self._soon(self._turn)
