"""Checks across the keys of sections."""

from __future__ import annotations

import re

from tansycrank.config.errors import ConfigError
from tansycrank.config.model import Config, zone_names
from tansycrank.config.sections import (
    RosterSection,
    RouterSection,
    RulesSection,
    Section,
    StoreSection,
)
from tansycrank.config.tables import check_class, check_distribution, check_table
from tansycrank.config.tenants import check_admission, check_tenant

BUDGET_KEYS = ("budget_floor", "budget_share", "budget_window_ms")


def check(path: str, single: dict[str, Section], named: dict[str, dict[str, Section]]) -> Config:
    """The settings, if all sections are consistent. Raises ConfigError with the first fault."""
    _check_router(path, single["router"])
    _check_store(path, single["store"])
    _check_budget(path, single["rules"])
    _check_discovery(path, single["roster"])
    if not named["class"]:
        raise ConfigError(path, "class NAME", "section", None, "at least one class is needed")
    classes = tuple(check_class(path, name, section) for name, section in named["class"].items())
    shards = single["store"].shards
    distributions = {
        name: check_distribution(path, name, section, shards)
        for name, section in named["distribution"].items()
    }
    tables = {
        name: check_table(path, name, section, distributions)
        for name, section in named["table"].items()
    }
    tenants = tuple(check_tenant(path, name, section) for name, section in named["tenant"].items())
    check_admission(path, single["door"], tenants)
    return Config(
        file=path,
        tenant_rules=tenants,
        classes=classes,
        distributions=distributions,
        tables=tables,
        **single,
    )


def _check_router(path: str, router: RouterSection) -> None:
    zones = zone_names(router)
    if router.zone not in zones:
        raise ConfigError(
            path, "router", "zone", router.zone, f"one of the zones {', '.join(zones) or '(none)'}"
        )
    if router.me >= router.routers:
        raise ConfigError(path, "router", "me", str(router.me), f"below routers ({router.routers})")


def _check_store(path: str, store: StoreSection) -> None:
    if store.reach > store.cells:
        raise ConfigError(
            path, "store", "reach", str(store.reach), f"at most cells ({store.cells})"
        )
    try:
        first, second = store.schema.format(shard=1), store.schema.format(shard=2)
    except (ValueError, KeyError, IndexError):
        first = second = ""
    if first == second or not first:
        raise ConfigError(
            path, "store", "schema", store.schema, "a name with {shard}, as s{shard:04d}"
        )


def _check_budget(path: str, rules: RulesSection) -> None:
    if 0 < sum(getattr(rules, key) is not None for key in BUDGET_KEYS) < len(BUDGET_KEYS):
        missing = next(key for key in BUDGET_KEYS if getattr(rules, key) is None)
        raise ConfigError(
            path, "rules", missing, None, f"a budget needs all of {', '.join(BUDGET_KEYS)}"
        )


def _check_discovery(path: str, roster: RosterSection) -> None:
    if bool(roster.feed) == bool(roster.file):
        raise ConfigError(
            path, "roster", "feed", roster.feed or None, "either feed (host:port) or file, not both"
        )
    if roster.feed and not re.fullmatch(r"[^:\s]+:\d{1,5}", roster.feed):
        raise ConfigError(path, "roster", "feed", roster.feed, "host:port")
