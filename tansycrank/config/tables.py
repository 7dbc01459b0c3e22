"""Checks of the sections that describe query classes, distributions and tables."""

from __future__ import annotations

import re

from tansycrank.config.errors import ConfigError
from tansycrank.config.model import Distribution, QueryClassConfig, Table
from tansycrank.config.sections import ClassSection, DistributionSection, TableSection
from tansycrank.postgres import types

SHARD = re.compile(r"[0-9]{1,9}")


def check_class(path: str, name: str, section: ClassSection) -> QueryClassConfig:
    """Check a class and compile its pattern. Raises ConfigError."""
    where = f"class {name}"
    if section.aim_ms > section.give_up_ms:
        raise ConfigError(
            path, where, "aim_ms", str(section.aim_ms), f"at most give_up_ms ({section.give_up_ms})"
        )
    try:
        pattern = re.compile(section.pattern, re.I | re.S) if section.pattern else None
    except re.error as error:
        raise ConfigError(
            path, where, "pattern", section.pattern, f"a regular expression ({error})"
        ) from None
    return QueryClassConfig(name, section, pattern)


def check_distribution(
    path: str, name: str, section: DistributionSection, shards: int
) -> Distribution:
    """Check a distribution. Raises ConfigError."""
    where = f"distribution {name}"
    oid = types.OID_BY_NAME.get(section.type)
    if oid not in (types.INT2, types.INT4, types.INT8, types.TEXT, types.VARCHAR, types.UUID):
        raise ConfigError(
            path, where, "type", section.type, "one of int2, int4, int8, text, varchar, uuid"
        )
    shard_by_value = _shards_by_value(path, where, section.values, shards)
    if (section.method == "list") != bool(shard_by_value):
        raise ConfigError(
            path,
            where,
            "values",
            section.values or None,
            "required for method list, not allowed for hash",
        )
    return Distribution(name, section.method, oid, shard_by_value)


def _shards_by_value(path: str, where: str, text: str, shards: int) -> dict[str, int]:
    """The shard of each value in `SHARD: VALUE, ...; ...`."""
    shard_by_value: dict[str, int] = {}
    for group in filter(str.strip, text.replace("\n", " ").split(";")):
        number, colon, members = group.partition(":")
        if not colon or not SHARD.fullmatch(number.strip()) or int(number) >= shards:
            raise ConfigError(
                path, where, "values", group.strip(), f"SHARD: VALUE, ...; shards 0 to {shards - 1}"
            )
        for member in filter(None, map(str.strip, members.split(","))):
            if member in shard_by_value:
                raise ConfigError(path, where, "values", member, "each value once")
            shard_by_value[member] = int(number)
    return shard_by_value


def check_table(
    path: str, name: str, section: TableSection, distributions: dict[str, Distribution]
) -> Table:
    """Check a table, whose distribution must exist. Raises ConfigError."""
    where = f"table {name}"
    columns = _columns(path, where, section.columns)
    if section.kind == "reference":
        if section.distribution or section.column:
            raise ConfigError(
                path, where, "column", section.column, "a reference table has no distribution"
            )
        return Table(name, columns, "", "")
    if section.distribution not in distributions:
        known = ", ".join(distributions) or "none is defined"
        raise ConfigError(
            path, where, "distribution", section.distribution or None, f"one of: {known}"
        )
    if columns.get(section.column) is None:
        raise ConfigError(
            path, where, "column", section.column or None, f"one of: {', '.join(columns)}"
        )
    column_oid, distribution_oid = (
        columns[section.column],
        distributions[section.distribution].type_oid,
    )
    if (
        column_oid != distribution_oid
        and {column_oid, distribution_oid} - {types.TEXT, types.VARCHAR}
        and {column_oid, distribution_oid} - types.INTEGER_TYPES
    ):
        raise ConfigError(
            path,
            where,
            "column",
            section.column,
            f"a column of type {types.type_name(distribution_oid)}",
        )
    return Table(name, columns, section.distribution, section.column)


def _columns(path: str, where: str, text: str) -> dict[str, int]:
    """Type OIDs by column name, in the order of the table."""
    columns: dict[str, int] = {}
    for item in filter(None, map(str.strip, text.replace("\n", " ").split(","))):
        column, _, kind = item.partition(" ")
        kind = kind.strip().lower()
        oid = (
            types.ARRAY_TYPES.get(types.OID_BY_NAME.get(kind[:-2], -1))
            if kind.endswith("[]")
            else types.OID_BY_NAME.get(kind)
        )
        if oid is None or column in columns:
            raise ConfigError(
                path, where, "columns", item, "NAME TYPE, with a unique name and a supported type"
            )
        columns[column] = oid
    return columns
