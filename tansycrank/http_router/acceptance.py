"""Decides whether a decoded request is accepted, and how much time is left to answer it."""

from __future__ import annotations

from collections.abc import MutableMapping

from tansycrank import routing
from tansycrank.http_router.recent_requests import RecentRequests
from tansycrank.http_router.request_codec import QueryRequest, RequestRejectedError


class AcceptanceChecks:
    """The checks of one router; each raises RequestRejectedError. Times are ms.

    `counts` has the numbers of requests above a limit (`turned_away`) and of ids that came again
    (`repeated_ids`).
    """

    def __init__(
        self,
        settings: routing.Settings,
        recent_requests: RecentRequests,
        counts: MutableMapping[str, int],
    ) -> None:
        self.recent_requests = recent_requests
        self._settings, self._counts = settings, counts

    def has_room(self, request: QueryRequest, in_flight: int) -> bool:
        """Whether a request fits into the limit beside `in_flight` entries."""
        return in_flight + 1 + len(request.shard_requests) <= self._settings.max_in_flight

    def check(self, request: QueryRequest, open_queries: int, in_flight: int, now: float) -> None:
        """Check a request beside `open_queries`, which have `in_flight` entries in the limit."""
        if self.recent_requests.contains(request.id, now):
            self._counts["repeated_ids"] += 1
            raise RequestRejectedError(409, "X-Request-Id: a request of that id may have run")
        if not self.has_room(request, in_flight):
            self._counts["turned_away"] += 1
            raise RequestRejectedError(503, "too many requests are open")
        idempotency = self._settings.classes[request.query_class].idempotency
        if idempotency is routing.Idempotency.WITH_KEY and not request.idempotency_key:
            raise RequestRejectedError(
                400, "Idempotency-Key: this class needs one, by which nodes know a repeat"
            )
        if idempotency is not routing.Idempotency.IDEMPOTENT:
            self._check_room(open_queries, now)

    def _check_room(self, open_queries: int, now: float) -> None:
        if not self.recent_requests.has_room(open_queries, now):
            self._counts["turned_away"] += 1
            raise RequestRejectedError(503, "too many ids of ended requests have to be known")

    def remaining_time(self, request: QueryRequest, waited: float, until_shutdown: float) -> float:
        """Milliseconds left to answer a query that arrived `waited` ms ago."""
        deadline = self._settings.classes[request.query_class].deadline
        late = waited if waited > self._settings.tick else 0.0  # below one tick it is clock error
        remaining = min(request.deadline - late, deadline - late, until_shutdown)
        if remaining <= 0:
            raise RequestRejectedError(503, "no time is left to answer it")
        return remaining
