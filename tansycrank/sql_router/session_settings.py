"""Derives a query's class, deadline, idempotency and retry flag from session settings."""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import IntEnum

from tansycrank.config import ClassSection, QueryClassConfig
from tansycrank.postgres.errors import INVALID_PARAMETER, PgError
from tansycrank.sql.plan import Prepared

MAX_TEXT_LENGTH = 128  # characters of a request key or a tenant
DEADLINE = re.compile(r"[0-9]{1,15}")  # ms
Classes = tuple[QueryClassConfig, ...]

FORM_LABELS = ("safe", "keyed", "unsafe")  # by `QueryForm`, in EXPLAIN and in the log


class QueryForm(IntEnum):
    """Idempotency of a query, as the offset among the three query classes of a configured class."""

    IDEMPOTENT = 0
    WITH_KEY = 1
    NOT_IDEMPOTENT = 2


def check_setting(classes: Classes, name: str, value: str) -> str:
    """Validate a session setting and return its value.

    Raises PgError 22023 naming the allowed values, or 42704 for an unknown setting.
    """
    if name == "tansycrank.class":
        if value and value not in _names(classes):
            raise PgError(
                INVALID_PARAMETER,
                f"no class {value!r}; classes: {', '.join(_names(classes))}",
            )
    elif name == "tansycrank.deadline":
        if value and not (DEADLINE.fullmatch(value) and int(value) > 0):
            raise PgError(
                INVALID_PARAMETER,
                f"{name} = {value!r}: milliseconds above 0, or empty for none",
            )
    elif name == "tansycrank.repeat":
        if value not in ("on", "off", "true", "false"):
            raise PgError(INVALID_PARAMETER, f"{name} = {value!r}: on or off")
    elif name == "tansycrank.limits":
        raise PgError(INVALID_PARAMETER, f"{name} is a call: it can't be kept as a setting")
    elif name in ("tansycrank.request_key", "tansycrank.tenant"):
        if len(value) > MAX_TEXT_LENGTH:
            raise PgError(INVALID_PARAMETER, f"{name}: at most {MAX_TEXT_LENGTH} characters")
    else:
        known = "class, deadline, limits, repeat, request_key, tenant"
        raise PgError(
            "42704", f"unrecognized configuration parameter {name!r}; tansycrank has {known}"
        )
    return value


def class_index(classes: Classes, sql: str, settings: Mapping[str, str]) -> int:
    """Return the index of a query's class: by session setting, else by pattern, else the first."""
    name = settings.get("tansycrank.class", "")
    if name:
        return _names(classes).index(name)
    for index, one in enumerate(classes):
        if one.pattern is not None and one.pattern.search(sql):
            return index
    return 0


def query_form(section: ClassSection, prepared: Prepared, settings: Mapping[str, str]) -> QueryForm:
    """Classify a query as a read, a write with an idempotency key, or another write."""
    if not prepared.writes and not prepared.volatile_function:
        return QueryForm.IDEMPOTENT
    keyed = settings.get("tansycrank.request_key") and section.dedup_window_ms > 0
    return QueryForm.WITH_KEY if keyed else QueryForm.NOT_IDEMPOTENT


def remaining_ms(section: ClassSection, settings: Mapping[str, str]) -> float:
    """Return the time until the deadline of a query that arrives now, in ms."""
    bounds = [section.give_up_ms]
    if settings.get("tansycrank.deadline"):
        bounds.append(float(settings["tansycrank.deadline"]))
    timeout = float(settings.get("statement_timeout") or 0)
    if timeout > 0:
        bounds.append(timeout)
    return min(bounds)


def is_repeat(settings: Mapping[str, str]) -> bool:
    """Whether the client marks its queries as retries."""
    return settings.get("tansycrank.repeat") in ("on", "true")


def _names(classes: Classes) -> list[str]:
    return [one.name for one in classes]
