"""Operators' views of admission control, and the checked change of a tenant's limits."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from tansycrank.admission.controller import AdmissionController
from tansycrank.admission.settings import MAX_RESERVED_SHARE, Limits
from tansycrank.postgres.errors import INVALID_PARAMETER, PgError

MAX_TENANT_ROWS = 200  # tenants in one view, those with most in line and refused first
TENANT_COLUMNS = (
    "tenant", "queued", "inside_parts", "rate", "weight", "min_share", "max_share", "burst_ms",
    "arrived", "admitted", "answered", "refused", "corrected", "early", "left", "promised", "show",
    "last_wait_ms",
)  # fmt: skip
LIMIT_FIELDS = {
    "weight": "weight",
    "min_share": "min_share",
    "max_share": "max_share",
    "burst_ms": "burst",
}
LIMIT_BOUNDS = {
    "weight": (1e-3, 1000),
    "min_share": (0, MAX_RESERVED_SHARE),
    "max_share": (1e-3, 1),
    "burst_ms": (0, 1e6),
}


def tenant_rows(controller: AdmissionController) -> list[tuple[str, ...]]:
    """One row a tenant; rate in parts a second, promised: places kept."""
    if controller.policy is None:
        return []
    found = sorted(
        controller.policy.tenants.values(),
        key=lambda t: (-t.queue.size, -t.shard_requests_in_flight, -t.rejected, t.key),
    )
    rows = []
    for t in found[:MAX_TENANT_ROWS]:
        limits = t.limits
        rate = "" if t.rate in (0.0, float("inf")) else f"{t.rate * 1000:.1f}"
        values = (
            t.key, t.queue.size, t.shard_requests_in_flight, rate, f"{limits.weight:g}",
            f"{limits.min_share:g}", f"{limits.max_share:g}", f"{limits.burst:g}", t.arrived,
            t.admitted, t.answered, t.rejected, t.corrected, t.early_returns, t.cancelled,
            t.reservations.count,
            f"{t.reservations.return_share:.2f}", f"{t.last_retry_after:.0f}",
        )  # fmt: skip
        rows.append(tuple(str(value) for value in values))
    return rows


def admission_figures(controller: AdmissionController) -> list[tuple[str, str]]:
    """The door as a whole: (figure, value)."""
    policy = controller.policy
    if policy is None:
        return [("enabled", "off")]
    drain_rate = policy.drain_rate
    figures = {
        "enabled": "on",
        "limit_parts": f"{policy.limit.shard_requests:.1f}",
        "inside_parts": policy.in_flight.shard_requests,
        "inside_queries": len(policy.in_flight.queries),
        "queued": len(policy.queue.queries),
        "queued_bytes": policy.queue.bytes,
        "drain_parts_a_second": "" if drain_rate == float("inf") else f"{drain_rate * 1000:.1f}",
        "mean_part_ms": f"{policy.costs.mean:.2f}",
        "tenants": len(policy.tenants),
        "places_kept": policy.reservations.count,
        **{f"count_{name}": count for name, count in policy.counts.items()},
    }
    return [(name, str(value)) for name, value in figures.items()]


def parse_limits_change(text: str) -> tuple[str, dict[str, float]]:
    """`TENANT key=value ...` as (tenant, changes), checked. Raises PgError 22023 with what is
    allowed.
    """
    allowed = f"TENANT and any of {', '.join(f'{key}=NUMBER' for key in LIMIT_FIELDS)}"
    tenant, *pairs = text.split()[:8] or [""]
    changes: dict[str, float] = {}
    for pair in pairs:
        key, _, value = pair.partition("=")
        try:
            number = msgspec.json.decode(value.encode(), type=float)
        except msgspec.DecodeError:
            number = None
        if (
            key not in LIMIT_FIELDS
            or number is None
            or not LIMIT_BOUNDS[key][0] <= number <= LIMIT_BOUNDS[key][1]
        ):
            limits = ", ".join(
                f"{name} {low:g} to {high:g}" for name, (low, high) in LIMIT_BOUNDS.items()
            )
            raise PgError(INVALID_PARAMETER, f"tansycrank.limits: {pair!r}: allowed are {limits}")
        changes[LIMIT_FIELDS[key]] = number
    if not tenant or "=" in tenant or not changes:
        raise PgError(INVALID_PARAMETER, f"tansycrank.limits = {text!r}: allowed is {allowed}")
    return tenant, changes


def change_limits(controller: AdmissionController, text: str) -> None:
    """Carry a change of limits out. Raises PgError where it is not allowed, and changes nothing
    then.
    """
    tenant, changes = parse_limits_change(text)
    if controller.policy is None:
        raise PgError(INVALID_PARAMETER, "tansycrank.limits: the door is off")
    known = controller.policy.tenants.get(tenant)
    old = controller.policy.tenants.limit_overrides.get(tenant) or (
        known.limits if known is not None else Limits()
    )
    new = replace(old, **changes)
    if new.min_share > new.max_share:
        raise PgError(
            INVALID_PARAMETER, f"tansycrank.limits: min_share {new.min_share:g} above max_share"
        )
    total = new.min_share + sum(
        t.limits.min_share for t in controller.policy.tenants.values() if t.key != tenant
    )
    if total > MAX_RESERVED_SHARE:
        raise PgError(
            INVALID_PARAMETER,
            f"tansycrank.limits: least shares would be {total:g} in all,"
            f" at most {MAX_RESERVED_SHARE:g}",
        )
    controller.change_limits(tenant, new)
