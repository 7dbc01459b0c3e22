"""Conversion of the settings file into settings of the routing policy and of admission control."""

from __future__ import annotations

from tansycrank import routing
from tansycrank.admission.identity import TenantResolver
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Settings as AdmissionSettings
from tansycrank.config.model import Config, split_list
from tansycrank.config.sections import ClassSection

# Each class of the settings file becomes three query classes of the policies, in this order.
IDEMPOTENCY_ORDER = (
    routing.Idempotency.IDEMPOTENT,
    routing.Idempotency.WITH_KEY,
    routing.Idempotency.NOT_IDEMPOTENT,
)


def tenant_resolver(config: Config) -> TenantResolver:
    """The rules that map sessions to tenants."""
    door = config.door
    return TenantResolver(
        config.tenant_rules,
        split_list(door.allow),
        split_list(door.deny),
        door.prefix4,
        door.prefix6,
    )


def admission_policy(config: Config) -> Policy | None:
    """The admission policy, None where admission control is disabled."""
    door = config.door
    if not door.enabled:
        return None
    sections = [one.section for one in config.classes for _ in IDEMPOTENCY_ORDER]
    settings = AdmissionSettings(
        class_weights=tuple(section.weight for section in sections),
        useful_times=tuple(_useful_ms(section) for section in sections),
        max_queries=door.max_queued,
        max_bytes=door.max_queued_bytes,
        max_tenants=door.max_tenants,
        max_reservations=door.max_places,
        horizon=door.horizon_ms,
    )
    return Policy(settings)


def _useful_ms(section: ClassSection) -> float:
    return section.give_up_ms if section.late_worth > 0 else section.aim_ms


def routing_settings(config: Config) -> routing.Settings:
    """The settings of the routing policy."""
    rules, store, router = config.rules, config.store, config.router
    return routing.Settings(
        classes=tuple(
            _query_class(one.section, idempotency)
            for one in config.classes
            for idempotency in IDEMPOTENCY_ORDER
        ),
        router_index=router.me,
        routers=router.routers,
        zone=config.zones.index(router.zone),
        zones=len(config.zones),
        tick=router.tick_ms,
        shards=store.shards,
        cells=store.cells,
        replica_span=store.reach,
        max_attempts=rules.attempts_cap,
        allows_hedging=rules.second_copies,
        can_retry_after=rules.hold_off_max_ms > 0,
        max_retry_after=rules.hold_off_max_ms,
        polls_discovery=True,
        answer_grace=rules.answer_grace_ms,
        drain_grace=rules.drain_grace_ms,
        slow_start_overload_factor=rules.cold_multiple,
        slow_start_window=rules.cold_window_ms,
        slow_start_initial_share=rules.cold_from,
        slow_start_duration=rules.cold_time_ms,
        budget_floor=rules.budget_floor,
        budget_share=rules.budget_share,
        budget_window=rules.budget_window_ms,
        price_crossing=rules.price_crossing,
    )


def _query_class(section: ClassSection, idempotency: routing.Idempotency) -> routing.QueryClass:
    has_key = idempotency is routing.Idempotency.WITH_KEY
    return routing.QueryClass(
        latency_objective=section.aim_ms,
        deadline=section.give_up_ms,
        priority_weight=section.worth,
        late_weight=section.late_worth,
        idempotency=idempotency,
        dedup_window=section.dedup_window_ms if has_key else 0.0,
    )
