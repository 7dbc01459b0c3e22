"""Ids of requests that have ended and whose attempts may have run, so that no id runs twice.

A client that disconnects does not stop its attempts: data nodes may have run them, or may run them
yet. The same id is refused afterwards, on whichever connection it comes.
"""

from __future__ import annotations

from tansycrank import routing
from tansycrank.lifecycle import Query, QueryState

RETENTION_MS = 60_000.0  # for which an id is known, if the ids of that time fit


class RecentRequests:
    """The ids of ended requests: `max_entries` of idempotent ones and as many of others.

    Times are ms of the monotonic clock. The id of a request that is not idempotent is known until
    its deadline and window at least. If that does not fit, `has_room` is false, and no further
    such request may be accepted.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        # by hash, 64 bits with a key of the process: (needed until, known until), oldest first
        self._idempotent: dict[int, tuple[float, float]] = {}
        self._others: dict[int, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._idempotent) + len(self._others)

    def record(self, request_id: bytes, query: Query, now: float) -> None:
        """Remember a request that has ended, if any attempt of it may have run.

        An idempotent one that was answered may run again without harm.
        """
        is_idempotent = query.idempotency is routing.Idempotency.IDEMPOTENT
        is_harmless = is_idempotent and query.state is QueryState.ANSWERED
        if is_harmless or not query.may_have_run:
            return
        if is_idempotent:
            table, needed_until = self._idempotent, now
        else:
            table, needed_until = self._others, max(query.deadline, now + query.dedup_window)
        key = hash(request_id)
        table.pop(key, None)
        if len(table) >= self._max_entries:
            del table[next(iter(table))]
        table[key] = needed_until, max(needed_until, now + RETENTION_MS)

    def contains(self, request_id: bytes, now: float) -> bool:
        """Whether a request of this id has ended and may have run, or may run yet."""
        key = hash(request_id)
        entry = self._others.get(key) or self._idempotent.get(key)
        return entry is not None and now < entry[1]

    def has_room(self, open_queries: int, now: float) -> bool:
        """Whether another request that is not idempotent can be remembered when it ends.

        All `open_queries` may have to be remembered too.
        """
        while self._others and len(self._others) + open_queries >= self._max_entries:
            oldest = next(iter(self._others))
            if now < self._others[oldest][0]:
                return False
            del self._others[oldest]
        return True
