"""Settings of a routing policy, checked when they are constructed. All times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What repeating a part of a class does."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with an idempotency key"
    NOT_IDEMPOTENT = "not idempotent"


@dataclass(frozen=True, slots=True)
class QueryClass:
    """One class of query. Shares are fractions of the parts' weight."""

    latency_objective: float
    deadline: float
    priority_weight: float
    late_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_window: float = 0.0
    minimum_coverage: float = 1.0
    complete_coverage: float = 1.0
    partial_weight: float = 0.0
    follow_up: int = 0

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
    """What a router is told at its start. A budget of None means that none is set."""

    classes: tuple[QueryClass, ...]
    router_index: int = 0
    routers: int = 1
    zone: int = 0
    zones: int = 1
    tick: float = 1.0
    shards: int = 1
    cells: int = 1
    replica_span: int = 1
    call_batch_size: int = 1
    call_work: float = 0.0
    max_attempts: int = 3
    allows_hedging: bool = True
    can_cancel: bool = True
    can_check_health: bool = False
    can_gossip: bool = False
    can_retry_after: bool = False
    max_retry_after: float = 0.0
    marks_retries: bool = False
    max_in_flight: int = 1000
    polls_discovery: bool = False
    watches_discovery: bool = False  # lists come on an open watch alone, those that are pushed too
    poll_interval: float = 10000.0
    answer_grace: float = 0.0
    drain_grace: float = 0.0
    slow_start_overload_factor: float = 1.0
    slow_start_window: float = 1000.0
    slow_start_initial_share: float = 1.0
    slow_start_duration: float = 0.0
    budget_floor: float | None = None
    budget_share: float | None = None
    budget_window: float | None = None
    price_crossing: float = 0.0
    price_waste: float = 0.0
    price_probe: float = 0.0
    price_late_fail: float = 0.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
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
        budget = ("budget_floor", "budget_share", "budget_window")
        told = [name for name in budget if getattr(self, name) is not None]
        if told and len(told) < len(budget):
            missing = next(name for name in budget if name not in told)
            raise ValueError(f"{missing}: a budget needs all of {', '.join(budget)}")
        if told:
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
