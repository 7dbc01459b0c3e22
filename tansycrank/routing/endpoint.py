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


FLEET_WINDOW = 18.0  # shard requests in flight at an endpoint at first, from all routers together
MIN_INITIAL_WINDOW = 3.0  # from each router


def initial_window(routers: int) -> float:
    """One router's share of an endpoint of which nothing is known."""
    return max(FLEET_WINDOW / routers, MIN_INITIAL_WINDOW)


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this router knows of one endpoint. All times are ms of the policy's clock."""

    id: int
    cell: int
    zone: int
    status: EndpointStatus
    started_at: float  # 0 for long ago
    window: float  # shard requests that may be in flight there
    latencies: ResponseLatencies
    sends: SlidingSum
    incarnation: float
    in_flight: int = 0
    overdue: int = 0  # attempts in flight whose hedge timer has fired
    window_cut_at: float = 0.0
    last_response_at: float = NEVER
    ejected_until: float = NEVER
    ejection_ms: float = 0.0  # of the last ejection; responses halve it, then clear it
    last_used_at: float = NEVER
    slow_start_draw: float = 0.0  # in [0, 1): rounds the slow-start allowance to a whole number
    slow_start_draw_until: float = 0.0

    def is_avoided(self, now: float) -> bool:
        """Whether an attempt is overdue there, or its readmission attempt is not due yet."""
        return self.overdue > 0 or now < self.ejected_until


class EndpointTable:
    """The endpoints by id, as of discovery's last update."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._sends_span_ms = (
            max(settings.slow_start_window, settings.slow_start_duration) + settings.tick
        )
        self.by_id: dict[int, Endpoint] = {}
        self.in_service = 0

    def apply(self, update: EndpointListUpdate, now: float) -> None:
        """Take over a snapshot, a cached list or a delta."""
        if update.kind is not EndpointListKind.DELTA:  # any other list is complete
            for endpoint in self.by_id.values():
                endpoint.status = EndpointStatus.REMOVED
        for entry in update.entries:
            self._apply_entry(entry)
        self._forget_removed(now)
        self.in_service = sum(
            endpoint.status is EndpointStatus.IN_SERVICE for endpoint in self.by_id.values()
        )

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.by_id.get(entry.endpoint)
        if endpoint is None or entry.incarnation > endpoint.incarnation:
            endpoint = self._replace(entry, endpoint)
        elif (
            entry.incarnation == endpoint.incarnation
        ):  # the same start may be known more exactly by now
            endpoint.started_at = entry.started_at
        endpoint.status = entry.status
        endpoint.cell = entry.cell
        endpoint.zone = entry.zone

    def _replace(self, entry: EndpointEntry, previous: Endpoint | None) -> Endpoint:
        """A new or restarted endpoint: nothing that was learnt of its last incarnation holds."""
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
        if previous:  # slow start counts the sends to both incarnations together
            endpoint.sends = previous.sends
            endpoint.slow_start_draw = previous.slow_start_draw
            endpoint.slow_start_draw_until = previous.slow_start_draw_until
        self.by_id[entry.endpoint] = endpoint
        return endpoint

    def _forget_removed(self, now: float) -> None:
        """Drop removed endpoints once slow start needs no count of the sends to them."""
        for endpoint in list(self.by_id.values()):
            if endpoint.status is not EndpointStatus.REMOVED or endpoint.in_flight:
                continue
            if not endpoint.sends.within(now, self._settings.slow_start_window):
                del self.by_id[endpoint.id]
