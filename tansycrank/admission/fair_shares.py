"""Weighted max-min fair shares of the drain rate: the rate that each tenant can rely on.

Rates are in cost per ms. The fill level is the rate per unit of weight of tenants whose demand is
not met (water filling).
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable
from itertools import accumulate

from tansycrank.admission.settings import Limits
from tansycrank.admission.tenants import DEMAND_MEMORY_MS, Tenant

FORGET_DEMAND_MS = 5 * DEMAND_MEMORY_MS
ITERATIONS = 4  # of the fixed point between the fill level and the rates of limited tenants
MIN_FREE_SHARE = 0.05  # minimum share of the drain rate for tenants without share limits


class FairShares:
    """Computes `Tenant.rate` from demands, weights and limits."""

    def __init__(self) -> None:
        self._fill_level = math.inf

    def initial_rate(self, limits: Limits, drain_rate: float) -> float:
        """The rate of a new tenant until the next `update`."""
        if drain_rate == math.inf:
            return math.inf
        level = self._fill_level if self._fill_level < math.inf else drain_rate
        return min(
            max(limits.weight * level, limits.min_share * drain_rate), limits.max_share * drain_rate
        )

    def update(self, now: float, tenants: Iterable[Tenant], drain_rate: float) -> None:
        """Compute the rates of all tenants that are backlogged or have recent demand."""
        if drain_rate == math.inf:
            return
        plain: list[tuple[float, float, Tenant]] = []  # demand by weight, weight, tenant
        limited: list[tuple[float, Tenant]] = []  # demand, tenant
        for tenant in tenants:
            is_backlogged = bool(tenant.queue) or tenant.reservations.reserved_cost > 0
            if not is_backlogged and now - tenant.last_seen > FORGET_DEMAND_MS:
                continue
            demand = math.inf if is_backlogged else tenant.demand.rate(now)
            if tenant.limits.min_share > 0 or tenant.limits.max_share < 1:
                limited.append((demand, tenant))
            else:
                plain.append((demand / tenant.limits.weight, tenant.limits.weight, tenant))
        plain.sort(key=lambda item: item[0])
        self._fill_level = self._converge(plain, limited, drain_rate)
        self._assign(plain, limited, drain_rate)

    def _converge(self, plain: list, limited: list, drain_rate: float) -> float:
        """The fill level beside limited tenants, whose rates depend on it in turn."""
        demands = [item[0] for item in plain]
        weights = [0.0, *accumulate(item[1] for item in plain)]
        wanted = [0.0, *accumulate(0.0 if d == math.inf else d * w for d, w, _ in plain)]
        level, taken = drain_rate, 0.0
        for _ in range(ITERATIONS):
            free = max(drain_rate - taken, MIN_FREE_SHARE * drain_rate)
            level = fill_level(demands, weights, wanted, free)
            taken = 0.0
            for demand, tenant in limited:
                taken += min(demand, _limited_rate(tenant.limits, level, drain_rate))
        return level

    def _assign(self, plain: list, limited: list, drain_rate: float) -> None:
        level = self._fill_level
        for _, tenant in limited:
            tenant.rate = _limited_rate(tenant.limits, level, drain_rate)
            weight = tenant.limits.weight
            has_level = level < math.inf
            tenant.queue.weight = max(weight, tenant.rate / level) if has_level else weight
        for _, weight, tenant in plain:
            tenant.rate = min(weight * level, drain_rate)
        for *_, tenant in (*limited, *plain):
            tenant.queue.burst = tenant.limits.burst * tenant.rate / tenant.queue.weight


def _limited_rate(limits: Limits, level: float, drain_rate: float) -> float:
    minimum, maximum = limits.min_share * drain_rate, limits.max_share * drain_rate
    return min(max(limits.weight * level, minimum), maximum) if level < math.inf else maximum


def fill_level(
    demands: list[float], weights: list[float], wanted: list[float], capacity: float
) -> float:
    """The level at which demands, capped at weight x level, use up the capacity.

    Infinite if the capacity meets all demands. `demands` are divided by weight and sorted;
    `weights` and `wanted` are prefix sums of weights and of demands.
    """
    total_weight = weights[-1]

    def used_at(index: int) -> float:
        """The rate that all tenants use at the level of this demand."""
        return wanted[index + 1] + demands[index] * (total_weight - weights[index + 1])

    if not demands:
        return capacity
    finite = bisect_left(demands, math.inf)
    if finite == len(demands) and wanted[-1] <= capacity:
        return math.inf
    low, high = 0, finite
    while low < high:
        middle = (low + high) // 2
        if used_at(middle) >= capacity:
            high = middle
        else:
            low = middle + 1
    unmet_weight = total_weight - weights[low]
    return (capacity - wanted[low]) / unmet_weight if unmet_weight > 0 else math.inf
