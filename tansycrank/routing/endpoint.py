"""The state of an endpoint, and the table of all endpoints that discovery has listed."""

from __future__ import annotations

from dataclasses import dataclass

from tansycrank.routing.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListUpdate,
    EndpointStatus,
)
from tansycrank.routing.latency_window import ResponseLatencies
from tansycrank.routing.settings import Settings
from tansycrank.routing.sliding_sum import SlidingSum

NEVER = float("-inf")


FLEET_WINDOW = 18.0  # initial shard requests in flight at an endpoint, from all routers together
MIN_INITIAL_WINDOW = 3.0  # per router


def initial_window(routers: int) -> float:
    """One router's initial concurrency window for an endpoint without any response yet."""
    return max(FLEET_WINDOW / routers, MIN_INITIAL_WINDOW)


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint. All times are milliseconds of the policy's clock."""

    id: int
    cell: int
    zone: int
    status: EndpointStatus
    started_at: float  # 0 if it started long ago
    window: float  # concurrency window: maximum shard requests in flight
    latencies: ResponseLatencies
    recent_sends: SlidingSum
    incarnation: float
    in_flight: int = 0
    overdue: int = 0  # attempts in flight whose hedge timer has fired
    window_decreased_at: float = 0.0
    last_response_at: float = NEVER
    ejected_until: float = NEVER
    ejection_ms: float = 0.0  # duration of the last ejection; responses halve it, then clear it
    last_used_at: float = NEVER
    slow_start_draw: float = 0.0  # in [0, 1): rounds the slow-start allowance to a whole number
    slow_start_draw_until: float = 0.0

    def is_avoided(self, now: float) -> bool:
        """Whether it has an overdue attempt, or its readmission attempt is not due yet."""
        return self.overdue > 0 or now < self.ejected_until


class EndpointTable:
    """The endpoints by id, as of the last update from service discovery."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._sends_span_ms = (
            max(settings.slow_start_window, settings.slow_start_duration) + settings.tick
        )
        self.by_id: dict[int, Endpoint] = {}
        self.in_service = 0

    def apply(self, update: EndpointListUpdate, now: float) -> None:
        """Apply a snapshot, a cached list or a delta."""
        if update.kind is not EndpointListKind.DELTA:  # all other kinds are full lists
            for endpoint in self.by_id.values():
                endpoint.status = EndpointStatus.REMOVED
        for entry in update.entries:
            self._apply_entry(entry)
        self._drop_removed(now)
        self.in_service = sum(
            endpoint.status is EndpointStatus.IN_SERVICE for endpoint in self.by_id.values()
        )

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.by_id.get(entry.endpoint)
        if endpoint is None or entry.incarnation > endpoint.incarnation:
            endpoint = self._add_incarnation(entry, endpoint)
        elif entry.incarnation == endpoint.incarnation:
            # Its start time may have become more accurate.
            endpoint.started_at = entry.started_at
        endpoint.status = entry.status
        endpoint.cell = entry.cell
        endpoint.zone = entry.zone

    def _add_incarnation(self, entry: EndpointEntry, previous: Endpoint | None) -> Endpoint:
        """Add a new or restarted endpoint; measurements of a previous incarnation are dropped."""
        endpoint = Endpoint(
            entry.endpoint,
            entry.cell,
            entry.zone,
            entry.status,
            entry.started_at,
            initial_window(self._settings.routers),
            ResponseLatencies(),
            SlidingSum(self._sends_span_ms),
            entry.incarnation,
        )
        if previous:  # slow start counts sends to both incarnations together
            endpoint.recent_sends = previous.recent_sends
            endpoint.slow_start_draw = previous.slow_start_draw
            endpoint.slow_start_draw_until = previous.slow_start_draw_until
        self.by_id[entry.endpoint] = endpoint
        return endpoint

    def _drop_removed(self, now: float) -> None:
        """Drop removed endpoints once slow start no longer needs the count of sends to them."""
        for endpoint in list(self.by_id.values()):
            if endpoint.status is not EndpointStatus.REMOVED or endpoint.in_flight:
                continue
            if not endpoint.recent_sends.total_within(now, self._settings.slow_start_window):
                del self.by_id[endpoint.id]
