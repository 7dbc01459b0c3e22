"""Which replica gets the next attempt: round robin, zone preference, ejection, capacity."""

from __future__ import annotations

import random
from collections.abc import Sequence

from tansycrank.routing.concurrency import ConcurrencyLimiter
from tansycrank.routing.endpoint import Endpoint, EndpointTable
from tansycrank.routing.events import EndpointStatus
from tansycrank.routing.latency import LatencyTracker
from tansycrank.routing.query import ShardRequest
from tansycrank.routing.send_rules import SendRules
from tansycrank.routing.settings import Settings
from tansycrank.routing.slow_start import SlowStart

# Round-robin positions of a replica in the router's zone for each of one elsewhere.
LOCAL_POSITIONS = 4
POSITION_RANGE = 1 << 16


class ReplicaSelector:
    """Round robin over the replicas of a cell, with the preferences that apply to each attempt."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: EndpointTable,
        latency: LatencyTracker,
        limiter: ConcurrencyLimiter,
        slow_start: SlowStart,
        send_rules: SendRules,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._endpoints = endpoints
        self._latency = latency
        self._limiter = limiter
        self._slow_start = slow_start
        self._send_rules = send_rules
        self._positions: dict[int, int] = {}  # round-robin position by cell
        self._replica_sets: dict[int, list[Endpoint]] = {}

    def on_endpoints_changed(self) -> None:
        """Build the replica sets anew after an endpoint list update."""
        self._replica_sets = {}

    def select(
        self,
        shard_request: ShardRequest,
        called: Sequence[Endpoint],
        now: float,
        is_hedge: bool = False,
    ) -> Endpoint | None:
        """The endpoint for the next attempt; None if there is none now.

        `called` are endpoints that get a call in this step already: the attempt joins one of them
        if it can.
        """
        replicas = self._replica_set(shard_request.cell)
        has_allowance = self._slow_start.has_allowance
        excluded = {attempt.endpoint for attempt in shard_request.attempts}
        if all(replica in excluded or not has_allowance(replica, now) for replica in replicas):
            if is_hedge:
                return None
            # Attempted replicas may be used again after a pause: at once, all attempts would be
            # spent at one full queue; never, the request would fail while that replica has room.
            pause_ms = self._latency.overall.p90_ms(now)
            excluded = {a.endpoint for a in shard_request.attempts if now < a.sent_at + pause_ms}
        is_optional = shard_request.is_optional
        has_room, may_send = self._limiter.has_room, self._send_rules.may_send
        for endpoint in called:
            if (
                endpoint in replicas
                and endpoint not in excluded
                and has_room(endpoint, is_optional)
                and may_send(shard_request, endpoint, is_hedge, now)
            ):
                return endpoint
        for next_position, endpoint in self._candidates(shard_request.cell, excluded, now):
            if has_room(endpoint, is_optional or is_hedge, not is_hedge) and may_send(
                shard_request, endpoint, is_hedge, now
            ):
                self._positions[shard_request.cell] = next_position
                return endpoint
        return None

    def _candidates(
        self, cell: int, excluded: set[Endpoint], now: float
    ) -> list[tuple[int, Endpoint]]:
        """The replicas by preference, each with the round-robin position after it."""
        replicas = self._replica_set(cell)
        has_allowance = self._slow_start.has_allowance
        # Drawn on every call, used on the first: the order of draws is part of a replayed decision.
        position = self._positions.setdefault(cell, self._rng.randrange(POSITION_RANGE))
        order = [
            (position + i + 1, replicas[(position + i) % len(replicas)])
            for i in range(len(replicas))
        ]
        order = [pair for pair in order if pair[1] not in excluded]
        # Else a request waits for endpoints in slow start beside an ejected one that has room.
        order = [pair for pair in order if has_allowance(pair[1], now)]
        # An endpoint with an overdue attempt is better than one that failed.
        order = [pair for pair in order if now >= pair[1].ejected_until] or order
        order = [pair for pair in order if not pair[1].is_avoided(now)] or order
        if self._settings.price_crossing:  # local replicas with spare room first
            zone, has_room = self._settings.zone, self._limiter.has_room
            order.sort(key=lambda pair: pair[1].zone != zone or not has_room(pair[1], True))
        capacity_share, draw = self._slow_start.capacity_share, self._rng.random
        order.sort(key=lambda pair: capacity_share(pair[1], now) < draw())  # cold ones seldom first
        return order

    def _replica_set(self, cell: int) -> list[Endpoint]:
        """The endpoints in service that hold a cell, local ones first."""
        if cell not in self._replica_sets:
            settings = self._settings
            cells = {(cell + i) % settings.cells for i in range(settings.replica_span)}
            replicas = [
                endpoint
                for endpoint in self._endpoints.by_id.values()
                if endpoint.cell in cells and endpoint.status is EndpointStatus.IN_SERVICE
            ]
            replicas.sort(key=lambda endpoint: (endpoint.zone != settings.zone, endpoint.id))
            if settings.price_crossing:
                local = [endpoint for endpoint in replicas if endpoint.zone == settings.zone]
                replicas = local * (LOCAL_POSITIONS - 1) + replicas
            self._replica_sets[cell] = replicas
        return self._replica_sets[cell]
