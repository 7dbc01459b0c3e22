"""The tenants that the router knows: a bounded table, with a sketch of those evicted from it."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict
from collections.abc import Callable, Iterable, ValuesView

import xxhash

from tansycrank.admission.fair_queue import TenantQueue
from tansycrank.admission.reservations import ReservationBook, TenantReservations
from tansycrank.admission.settings import Limits

DEMAND_MEMORY_MS = 2000.0
EVICTION_CANDIDATES = 8  # least recently seen tenants that are compared for one eviction
OVERFLOW_QUEUES = 64  # queues shared by tenants that find no room in the table
SKETCH_ROWS, SKETCH_CELLS = 4, 4096
MAX_LIMIT_OVERRIDES = 1024
OVERFLOW_PREFIX = "~"


class FinishTagSketch:
    """Finish tags of evicted tenants: an upper bound, exact but for hash collisions.

    A tag that virtual time has passed has no effect any more, so cells are never cleared.
    """

    def __init__(self) -> None:
        self._rows = [array("d", bytes(8 * SKETCH_CELLS)) for _ in range(SKETCH_ROWS)]

    def _cells(self, key: str) -> Iterable[tuple[array, int]]:
        number = xxhash.xxh3_64_intdigest(key.encode())
        for row in self._rows:
            yield row, number % SKETCH_CELLS
            number //= SKETCH_CELLS

    def record(self, key: str, tag: float) -> None:
        """Store the finish tag of an evicted tenant."""
        for row, cell in self._cells(key):
            row[cell] = max(row[cell], tag)

    def finish_tag(self, key: str) -> float:
        """The finish tag with which a tenant resumes."""
        return min(row[cell] for row, cell in self._cells(key))


class DecayingRate:
    """A rate of cost per ms, exponentially decaying over `memory` ms."""

    __slots__ = ("_sum", "_updated_at", "memory")

    def __init__(self, memory: float) -> None:
        self.memory, self._sum, self._updated_at = memory, 0.0, 0.0

    def add(self, now: float, cost: float) -> None:
        """Add a cost."""
        self._sum, self._updated_at = self.rate(now) * self.memory + cost, now

    def rate(self, now: float) -> float:
        """Cost per ms."""
        return self._sum * math.exp((self._updated_at - now) / self.memory) / self.memory


class Tenant:
    """State and counters of one tenant. `rate` is the cost per ms that it can rely on."""

    __slots__ = (
        "admitted", "answered", "arrived", "cancelled", "corrected", "demand", "early_returns",
        "is_parked", "key", "last_retry_after", "last_seen", "limits", "queue", "rate", "rejected",
        "reservations", "return_demand", "served_cost", "shard_requests_in_flight",
    )  # fmt: skip

    def __init__(self, key: str, limits: Limits, class_weights: tuple[float, ...]) -> None:
        self.key, self.limits = key, limits
        self.queue = TenantQueue(limits.weight, class_weights)
        self.reservations = TenantReservations()
        self.shard_requests_in_flight = 0  # shard requests in flight
        self.rate = 0.0
        self.is_parked = False  # not scheduled, since it holds its maximum share
        self.last_seen = 0.0
        self.demand = DecayingRate(DEMAND_MEMORY_MS)
        self.return_demand = DecayingRate(DEMAND_MEMORY_MS / 2)
        self.arrived = self.admitted = self.answered = self.rejected = 0
        self.corrected = self.early_returns = self.cancelled = 0
        self.last_retry_after = 0.0  # the latest Retry-After, ms
        self.served_cost = 0.0  # cost served

    def record_demand(self, now: float, cost: float) -> None:
        """Count a new query, not a retry, in the tenant's demand."""
        self.demand.add(now, cost)
        self.last_seen = now

    @property
    def is_busy(self) -> bool:
        """Whether it has queries queued or in flight."""
        return bool(self.queue) or self.shard_requests_in_flight > 0

    @property
    def queued_cost_by_weight(self) -> float:
        """Cost of its queued queries, divided by its weight."""
        return self.queue.cost / self.limits.weight

    def is_below_max_share(self, shard_requests: int, limit_shard_requests: float) -> bool:
        """Whether so many more shard requests stay within its maximum share of the concurrency
        limit.
        """
        most = self.limits.max_share * limit_shard_requests
        return (
            self.limits.max_share >= 1
            or self.shard_requests_in_flight == 0
            or self.shard_requests_in_flight + shard_requests <= most
        )


class TenantTable:
    """Tenants by key, the least recently seen first."""

    def __init__(
        self, capacity: int, class_weights: tuple[float, ...], reservations: ReservationBook
    ) -> None:
        self.capacity, self._class_weights, self._book = capacity, class_weights, reservations
        self._tenants: OrderedDict[str, Tenant] = OrderedDict()
        self._sketch = FinishTagSketch()
        self._overflow_queues = 0
        self.limit_overrides: dict[str, Limits] = {}  # limits changed at run time
        self.evicted = 0
        self.overflowed = 0

    def __len__(self) -> int:
        return len(self._tenants)

    def __contains__(self, key: object) -> bool:
        return key in self._tenants

    def __getitem__(self, key: str) -> Tenant:
        return self._tenants[key]

    def get(self, key: str) -> Tenant | None:
        """The tenant of this key, if it is known."""
        return self._tenants.get(key)

    def values(self) -> ValuesView[Tenant]:
        """All known tenants."""
        return self._tenants.values()

    def find_or_add(
        self, key: str, limits: Limits, initial_rate: Callable[[Limits], float]
    ) -> Tenant:
        """The tenant of this key; an overflow queue if the table is full of busy tenants.

        A tenant with a minimum share is always added.
        """
        tenant = self._tenants.get(key)
        if tenant is None:
            is_full = len(self._tenants) - self._overflow_queues >= self.capacity
            if is_full and not self._evict_one() and not limits.min_share:
                self.overflowed += 1
                key = f"{OVERFLOW_PREFIX}{xxhash.xxh3_64_intdigest(key.encode()) % OVERFLOW_QUEUES}"
                limits = Limits()
                if key in self._tenants:
                    return self._tenants[key]
                self._overflow_queues += 1
            tenant = self._add(key, self.limit_overrides.get(key, limits), initial_rate)
        self._tenants.move_to_end(key)
        return tenant

    def _add(self, key: str, limits: Limits, initial_rate: Callable[[Limits], float]) -> Tenant:
        tenant = self._tenants[key] = Tenant(key, limits, self._class_weights)
        tenant.queue.finish_tag = self._sketch.finish_tag(key)
        tenant.rate = initial_rate(limits)
        return tenant

    def _evict_one(self) -> bool:
        """Evict, of the least recently seen idle tenants, the one that was served least.

        By age alone, keys made up for single queries would evict tenants that send queries
        steadily.
        """
        victim: Tenant | None = None
        for _ in range(min(EVICTION_CANDIDATES, len(self._tenants))):
            key, tenant = next(iter(self._tenants.items()))
            self._tenants.move_to_end(key)
            is_overflow = key[0] == OVERFLOW_PREFIX
            is_kept = tenant.is_busy or tenant.limits.min_share > 0 or is_overflow
            if not is_kept and (victim is None or tenant.served_cost < victim.served_cost):
                victim = tenant
        if victim is None:
            return False
        self._book.remove_all(victim.reservations)
        del self._tenants[victim.key]
        self._sketch.record(victim.key, max(victim.queue.finish_tag, victim.queue.start_tag))
        self.evicted += 1
        return True

    def override_limits(self, key: str, limits: Limits) -> Tenant | None:
        """Set a tenant's limits until the router restarts; returns the tenant if it is known."""
        overrides = self.limit_overrides
        if key not in overrides and len(overrides) >= MAX_LIMIT_OVERRIDES:
            del overrides[next(iter(overrides))]
        overrides[key] = limits
        tenant = self._tenants.get(key)
        if tenant is not None:
            tenant.limits = limits
            tenant.queue.weight = limits.weight
        return tenant

    def reservations(self, key: str) -> TenantReservations | None:
        """The reservations of a tenant, if it is known."""
        tenant = self._tenants.get(key)
        return tenant.reservations if tenant is not None else None
