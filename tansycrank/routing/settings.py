"""Settings of a routing policy, validated on construction. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a shard request of a class may be attempted more than once."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with an idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A class of queries. Coverages are fractions of the total weight of the shard requests."""

    latency_objective: float  # ms from arrival
    deadline: float  # ms from arrival; the client stops waiting then
    priority_weight: float  # of a query that is answered within its objective
    late_weight: float = 0.0  # of a query that is answered later than that
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_window: float = 0.0  # ms from the first attempt, in which nodes deduplicate by key
    minimum_coverage: float = 1.0  # below which there is no partial answer
    complete_coverage: float = 1.0  # from which an answer counts as complete
    partial_weight: float = 0.0  # of a query that is answered partially
    follow_up: int = 0  # shard requests of a second step; 0 for none

    def __post_init__(self) -> None:
        _check_positive(self, "latency_objective", "deadline", "complete_coverage")
        _check_not_negative(
            self,
            "priority_weight",
            "late_weight",
            "dedup_window",
            "minimum_coverage",
            "partial_weight",
            "follow_up",
        )
        if self.latency_objective > self.deadline:
            raise ValueError(
                f"latency_objective: {self.latency_objective} is longer than "
                f"deadline {self.deadline}"
            )
        if self.minimum_coverage > self.complete_coverage or self.complete_coverage > 1:
            raise ValueError(
                f"minimum_coverage: {self.minimum_coverage} must be at most complete_coverage "
                f"{self.complete_coverage}, and that at most 1"
            )


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of one router. Budget fields of None mean that no budget is set."""

    classes: tuple[QueryClass, ...]  # indexed by `QueryArrived.query_class`
    router_index: int = 0  # of this router, below `routers`
    routers: int = 1  # number of routers in front of the same endpoints
    zone: int = 0  # of this router
    zones: int = 1  # number of zones
    tick: float = 1.0  # ms: the interval between steps, the precision of every timer
    shards: int = 1  # number of shards
    cells: int = 1  # number of cells; a shard belongs to the cell `shard % cells`
    replica_span: int = 1  # consecutive cells, from the shard's own, that hold its replicas
    call_batch_size: int = 1  # maximum shard requests in one call to an endpoint
    call_work: float = 0.0  # fixed work per call, besides its shard requests; 0 if none
    max_attempts: int = 3  # per shard request
    allows_hedging: bool = True  # two attempts of a shard request may be in flight
    can_cancel: bool = True  # the host can carry out `Cancel`
    can_check_health: bool = False  # the host can carry out `CheckHealth`
    can_gossip: bool = False  # the host can carry out `SendGossip`
    can_retry_after: bool = False  # clients honour `Reject.retry_after`
    max_retry_after: float = 0.0  # ms
    marks_retries: bool = False  # clients mark retries (`QueryArrived.is_retry`)
    max_in_flight: int = 1000  # queries plus shard requests
    polls_discovery: bool = False  # this router has to poll discovery itself
    watches_discovery: bool = False  # endpoint lists arrive only on an open watch
    poll_interval: float = 10000.0  # ms between two calls to discovery; not used
    answer_grace: float = 0.0  # ms after the deadline within which a final action still counts
    drain_grace: float = 0.0  # ms within which sends to a draining endpoint must stop
    slow_start_overload_factor: float = 1.0  # load limit of a cold endpoint, times its capacity
    slow_start_window: float = 1000.0  # ms over which sends to a cold endpoint are counted
    slow_start_initial_share: float = 1.0  # of its full capacity, at its start
    slow_start_duration: float = 0.0  # ms from its start until an endpoint has full capacity
    budget_floor: float | None = None  # retries and hedges per window, regardless of traffic
    budget_share: float | None = None  # of the requests accepted in a window, added to the floor
    budget_window: float | None = None  # ms
    # Prices, in units of priority weights.
    price_crossing: float = 0.0  # of an attempt in another zone
    price_waste: float = 0.0  # of work whose response is not used
    price_probe: float = 0.0  # of a health check
    price_late_fail: float = 0.0  # of a query that fails late

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        self._check_signs()
        if self.router_index >= self.routers:
            raise ValueError(
                f"router_index: {self.router_index} is not below routers {self.routers}"
            )
        if self.replica_span > self.cells:
            raise ValueError(f"replica_span: {self.replica_span} is more than cells {self.cells}")
        if self.slow_start_initial_share > 1:
            raise ValueError(
                f"slow_start_initial_share: {self.slow_start_initial_share} is more than 1"
            )
        self._check_budget()

    def _check_signs(self) -> None:
        _check_positive(
            self,
            "routers",
            "zones",
            "tick",
            "shards",
            "cells",
            "replica_span",
            "call_batch_size",
            "max_attempts",
            "max_in_flight",
            "poll_interval",
            "slow_start_overload_factor",
            "slow_start_window",
        )
        _check_not_negative(
            self,
            "router_index",
            "zone",
            "call_work",
            "max_retry_after",
            "answer_grace",
            "drain_grace",
            "slow_start_initial_share",
            "slow_start_duration",
            "price_crossing",
            "price_waste",
            "price_probe",
            "price_late_fail",
        )

    def _check_budget(self) -> None:
        budget = ("budget_floor", "budget_share", "budget_window")
        configured = [name for name in budget if getattr(self, name) is not None]
        if configured and len(configured) < len(budget):
            missing = next(name for name in budget if name not in configured)
            raise ValueError(f"{missing}: a budget needs all of {', '.join(budget)}")
        if configured:
            _check_not_negative(self, "budget_floor", "budget_share")
            _check_positive(self, "budget_window")


def _check_positive(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) > 0:
            raise ValueError(f"{name}: {getattr(record, name)} must be above 0")


def _check_not_negative(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) >= 0:
            raise ValueError(f"{name}: {getattr(record, name)} must not be negative")
