"""Checks of the sections that describe admission control and its tenants."""

from __future__ import annotations

import re

from tansycrank.admission.identity import PLACEHOLDERS, TenantRule, read_network
from tansycrank.admission.settings import MAX_RESERVED_SHARE, Limits
from tansycrank.config.errors import ConfigError
from tansycrank.config.model import split_list
from tansycrank.config.sections import DoorSection, TenantSection

PATTERN_KEYS = ("users", "databases", "settings")


def _networks(path: str, section: str, key: str, text: str) -> tuple[str, ...]:
    for one in split_list(text):
        try:
            read_network(one)
        except ValueError as problem:
            raise ConfigError(path, section, key, one, str(problem)) from None
    return tuple(split_list(text))


def check_admission(path: str, door: DoorSection, rules: tuple[TenantRule, ...]) -> None:
    """Check the networks of `[door]`, and that the minimum shares of all tenants fit."""
    for key in ("allow", "deny", "operators"):
        _networks(path, "door", key, getattr(door, key))
    promised = sum(rule.limits.min_share for rule in rules)
    if promised > MAX_RESERVED_SHARE:
        last = rules[-1]
        raise ConfigError(
            path, f"tenant {last.name}", "min_share", str(last.limits.min_share),
            f"all least shares together at most {MAX_RESERVED_SHARE:g}, these are {promised:g}",
        )  # fmt: skip


def check_tenant(path: str, name: str, section: TenantSection) -> TenantRule:
    """The rule of a tenant section."""
    where = f"tenant {name}"
    patterns = {key: _pattern(path, where, key, getattr(section, key)) for key in PATTERN_KEYS}
    networks = _networks(path, where, "networks", section.networks)
    if not networks and not any(patterns.values()):
        raise ConfigError(
            path, where, "networks", None, "one of networks, users, databases, settings"
        )
    tenant = _tenant_name(path, where, section.tenant or name)
    _check_shares(path, where, section, tenant)
    limits = Limits(section.weight, section.min_share, section.max_share, section.burst_ms)
    return TenantRule(
        name,
        tenant,
        limits,
        networks,
        patterns["users"],
        patterns["databases"],
        patterns["settings"],
    )


def _pattern(path: str, where: str, key: str, text: str) -> re.Pattern | None:
    try:
        return re.compile(text) if text else None
    except re.error as error:
        raise ConfigError(path, where, key, text, f"a regular expression ({error})") from None


def _tenant_name(path: str, where: str, tenant: str) -> str:
    try:
        tenant.format(**dict.fromkeys(PLACEHOLDERS, "x"))
    except (KeyError, IndexError, ValueError):
        allowed = ", ".join("{" + place + "}" for place in PLACEHOLDERS)
        raise ConfigError(path, where, "tenant", tenant, f"a name, with {allowed} in it") from None
    return tenant


def _check_shares(path: str, where: str, section: TenantSection, tenant: str) -> None:
    if section.min_share > 0 and "{" in tenant:
        raise ConfigError(
            path,
            where,
            "min_share",
            str(section.min_share),
            "only for one tenant by name, without {places}",
        )
    if section.min_share > section.max_share:
        raise ConfigError(
            path,
            where,
            "min_share",
            str(section.min_share),
            f"at most max_share ({section.max_share:g})",
        )
