"""Settings of a routing policy, checked when they are constructed. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What another attempt of a shard request of a class does."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with an idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of query. Coverages are fractions of the total weight of the shard requests."""

    latency_objective: float  # ms from arrival
    deadline: float  # ms from arrival, at which the client stops waiting
    priority_weight: float  # of a query that is answered within its objective
    late_weight: float = 0.0  # of a query that is answered later than that
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_window: float = 0.0  # ms from the first attempt in which a key protects another one
    minimum_coverage: float = 1.0  # of a partial answer
    complete_coverage: float = 1.0  # from which on an answer is complete
    partial_weight: float = 0.0  # of a query that is answered in part
    follow_up: int = 0  # shard requests of a second step; 0 for none

    def __post_init__(self) -> None:
        _positive(self, "latency_objective", "deadline", "complete_coverage")
        _not_negative(
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
    """The configuration of one router. A budget of None means that none is set."""

    classes: tuple[QueryClass, ...]  # by the number in `QueryArrived.query_class`
    router_index: int = 0  # of this router among `routers`
    routers: int = 1  # number of routers in front of the same endpoints
    zone: int = 0  # of this router
    zones: int = 1  # number of zones
    tick: float = 1.0  # ms: the interval between steps, the precision of every timer
    shards: int = 1  # number of shards
    cells: int = 1  # number of cells; a shard belongs to the cell `shard % cells`
    replica_span: int = 1  # cells, from that of the shard on, whose endpoints hold its replicas
    call_batch_size: int = 1  # most shard requests in one call to an endpoint
    call_work: float = 0.0  # work of a call beside its shard requests; 0 if calls are free
    max_attempts: int = 3  # of a shard request
    allows_hedging: bool = True  # two attempts of a shard request may be in flight
    can_cancel: bool = True  # the host can carry out `Cancel`
    can_check_health: bool = False  # the host can carry out `CheckHealth`
    can_gossip: bool = False  # the host can carry out `SendGossip`
    can_retry_after: bool = False  # clients obey `Reject.retry_after`
    max_retry_after: float = 0.0  # ms
    marks_retries: bool = False  # clients mark retries, as `QueryArrived.is_retry`
    max_in_flight: int = 1000  # queries and shard requests together
    polls_discovery: bool = False  # this router has to call discovery itself
    watches_discovery: bool = False  # lists arrive on an open watch only
    poll_interval: float = 10000.0  # ms between two calls to discovery; not used
    answer_grace: float = 0.0  # ms after the deadline in which the final action may still come
    drain_grace: float = 0.0  # ms in which sends to a draining endpoint have to stop
    slow_start_overload_factor: float = 1.0  # times its capacity that a cold endpoint may get
    slow_start_window: float = 1000.0  # ms over which sends to a cold endpoint are counted
    slow_start_initial_share: float = 1.0  # of its capacity that an endpoint has at its start
    slow_start_duration: float = 0.0  # ms from its start until an endpoint has all its capacity
    budget_floor: float | None = None  # retries and hedges in a window, whatever the traffic
    budget_share: float | None = None  # of the accepted requests of a window, in addition
    budget_window: float | None = None  # ms
    price_crossing: float = (
        0.0  # of an attempt in another zone; prices compare with priority weights
    )
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
        _positive(
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
        _not_negative(
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
        given = [name for name in budget if getattr(self, name) is not None]
        if given and len(given) < len(budget):
            missing = next(name for name in budget if name not in given)
            raise ValueError(f"{missing}: a budget needs all of {', '.join(budget)}")
        if given:
            _not_negative(self, "budget_floor", "budget_share")
            _positive(self, "budget_window")


def _positive(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) > 0:
            raise ValueError(f"{name}: {getattr(record, name)} must be above 0")


def _not_negative(record: object, *names: str) -> None:
    for name in names:
        if not getattr(record, name) >= 0:
            raise ValueError(f"{name}: {getattr(record, name)} must not be negative")
