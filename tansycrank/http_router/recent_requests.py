"""Ids of requests that have ended and whose attempts may run, so that no id runs twice.

A client that disconnects does not stop its attempts: data nodes may have run them, or may run them
yet. The same id is refused meanwhile, on whichever connection it comes.
"""

from __future__ import annotations

from tansycrank import routing
from tansycrank.lifecycle import Query

RETENTION_MS = 60_000.0  # for which ids of requests that are not idempotent are known, if they fit


class RecentRequests:
    """The ids of at most `max_entries` ended requests. Times are ms of the monotonic clock.

    An id is known until its deadline at least. If that does not fit, `has_room` is false, and no
    further request may be accepted that is not idempotent.
    """

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        # by hash, 64 bits with a key of the process: (needed until, known until), oldest first
        self._entries: dict[int, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, request_id: bytes, query: Query, was_abandoned: bool, now: float) -> None:
        """Remember a request that has ended, if a second run of it could do harm."""
        if not query.may_have_run:
            return
        is_idempotent = query.idempotency is routing.Idempotency.IDEMPOTENT
        if is_idempotent and not was_abandoned:
            return
        needed_until = max(query.deadline, now + query.dedup_window)
        known_until = needed_until if is_idempotent else max(needed_until, now + RETENTION_MS)
        key = hash(request_id)
        self._entries.pop(key, None)
        if len(self._entries) >= self._max_entries:
            self._drop_oldest()
        self._entries[key] = needed_until, known_until

    def contains(self, request_id: bytes, now: float) -> bool:
        """Whether a request of this id has ended and may have run, or may run yet."""
        entry = self._entries.get(hash(request_id))
        return entry is not None and now < entry[1]

    def has_room(self, in_flight: int, now: float) -> bool:
        """Whether another request can be remembered, beside `in_flight` ones, when it ends."""
        while self._entries and len(self._entries) + in_flight >= self._max_entries:
            oldest_needed_until, _ = next(iter(self._entries.values()))
            if now < oldest_needed_until:
                return False
            self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        del self._entries[next(iter(self._entries))]
