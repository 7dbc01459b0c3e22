"""Fair sharing of the router's own CPU time: which client messages are read next.

Parsing, planning and rejecting a statement takes about a millisecond of the reactor thread. So that
the sessions of an overloading tenant do not delay the responses of others, each reactor turn reads
messages for a bounded time only, in the order of start-time fair queueing of tenants by the time
that their messages actually took.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tansycrank.admission.fair_queue import FairScheduler, FifoQueue

SLICE_SECONDS = 0.004  # reading time per reactor turn; the last read may exceed it


class Reader(Protocol):
    """A session with unread messages."""

    id: int

    def read_pending(self) -> None:
        """Read the pending messages."""


class ReaderScheduler:
    """Schedules the reading of all sessions by tenant.

    `call_soon(f)` calls `f` in the next reactor turn; `clock()` returns seconds.
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        clock: Callable[[], float],
        on_fault: Callable[[Exception], None] = lambda error: None,
    ) -> None:
        """`on_fault` is called with an exception that a session raised, to log it."""
        self._call_soon, self._clock, self._on_fault = call_soon, clock, on_fault
        self._scheduler = FairScheduler()
        self._used_seconds = 0.0
        self._is_turn_scheduled = False

    def wake(self, reader: Reader, tenant: str) -> None:
        """Read the messages of a session now if this turn has time left, else schedule it."""
        if not self._scheduler and self._used_seconds < SLICE_SECONDS:
            self._used_seconds += self._read_timed(reader)
            self._schedule_turn()
        else:
            self.schedule(reader, tenant)

    def schedule(self, reader: Reader, tenant: str) -> None:
        """Read the messages of a session in its tenant's turn, never at once."""
        tenant_queue = self._scheduler.children.get(tenant)
        if tenant_queue is None:
            tenant_queue = FifoQueue()
        if reader.id not in tenant_queue.items:
            tenant_queue.add(reader)
            self._scheduler.size += 1
        self._scheduler.schedule(tenant, tenant_queue)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._call_soon(self._on_turn)

    def _read_timed(self, reader: Reader) -> float:
        """Let a session read its messages; returns the seconds taken.

        An exception must not keep other sessions from being read.
        """
        began = self._clock()
        try:
            reader.read_pending()
        except Exception as error:
            self._on_fault(error)
        return max(self._clock() - began, 0.0)

    def remove(self, reader: Reader, tenant: str) -> None:
        """Remove a session that has ended."""
        tenant_queue = self._scheduler.children.get(tenant)
        if tenant_queue is not None and tenant_queue.items.pop(reader.id, None) is not None:
            self._scheduler.size -= 1
            self._scheduler.compact()

    def _on_turn(self) -> None:
        self._is_turn_scheduled, self._used_seconds = False, 0.0
        while self._used_seconds < SLICE_SECONDS and (found := self._scheduler.first()) is not None:
            reader = found[1].take()
            self._scheduler.size -= 1
            took = max(self._read_timed(reader), 1e-6)
            self._used_seconds += took
            self._scheduler.serve(took)
        if self._scheduler:
            self._schedule_turn()
