"""Replica selection: round robin, zone preference, ejection and capacity."""

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

# Round-robin positions of a replica in the router's zone; replicas in other zones have one.
LOCAL_POSITIONS = 4
POSITION_RANGE = 1 << 16


class ReplicaSelector:
    """Round robin over the replicas of a cell, subject to the preferences of each attempt."""

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
        """Discard the cached replica sets after an endpoint list update."""
        self._replica_sets = {}

    def select(
        self,
        shard_request: ShardRequest,
        called_endpoints: Sequence[Endpoint],
        now: float,
        is_hedge: bool = False,
    ) -> Endpoint | None:
        """The endpoint for the next attempt, or None if none is available now.

        `called_endpoints` are the endpoints that already get a call in this step: the attempt joins
        one of these calls if possible.
        """
        replicas = self._replica_set(shard_request.cell)
        has_allowance = self._slow_start.has_allowance
        excluded = {attempt.endpoint for attempt in shard_request.attempts}
        if all(replica in excluded or not has_allowance(replica, now) for replica in replicas):
            if is_hedge:
                return None
            # Attempted replicas may be used again after a pause. Without the pause, all attempts
            # would be spent on one full queue; without reuse, the request would fail even if that
            # replica had room again.
            pause_ms = self._latency.overall.p90_ms(now)
            excluded = {a.endpoint for a in shard_request.attempts if now < a.sent_at + pause_ms}
        is_optional = shard_request.is_optional
        has_room, may_send = self._limiter.has_room, self._send_rules.may_send
        for endpoint in called_endpoints:
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
        """The replicas by preference, each with the round-robin position that follows it."""
        replicas = self._replica_set(cell)
        has_allowance = self._slow_start.has_allowance
        # Drawn on every call but used only on the first: replays depend on the order of draws.
        position = self._positions.setdefault(cell, self._rng.randrange(POSITION_RANGE))
        candidates = [
            (position + i + 1, replicas[(position + i) % len(replicas)])
            for i in range(len(replicas))
        ]
        candidates = [pair for pair in candidates if pair[1] not in excluded]
        # Filtered before ejected ones are skipped; otherwise a request would wait for endpoints in
        # slow start although an ejected one has room.
        candidates = [pair for pair in candidates if has_allowance(pair[1], now)]
        # An endpoint with an overdue attempt is preferred to one that failed.
        candidates = [pair for pair in candidates if now >= pair[1].ejected_until] or candidates
        candidates = [pair for pair in candidates if not pair[1].is_avoided(now)] or candidates
        if self._settings.price_crossing:  # local replicas with spare capacity first
            zone, has_room = self._settings.zone, self._limiter.has_room
            candidates.sort(key=lambda pair: pair[1].zone != zone or not has_room(pair[1], True))
        capacity_share, draw = self._slow_start.capacity_share, self._rng.random
        # The colder an endpoint, the less often it comes first.
        candidates.sort(key=lambda pair: capacity_share(pair[1], now) < draw())
        return candidates

    def _replica_set(self, cell: int) -> list[Endpoint]:
        """The endpoints in service that hold the cell's shards, local ones first."""
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
