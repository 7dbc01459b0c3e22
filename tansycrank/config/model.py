"""The checked settings of one router."""

from __future__ import annotations

import re
from dataclasses import dataclass

from tansycrank.admission.identity import TenantRule
from tansycrank.config.sections import (
    ClassSection,
    DoorSection,
    ListenSection,
    LogSection,
    MergeSection,
    RosterSection,
    RouterSection,
    RulesSection,
    StoreSection,
)


def split_list(text: str) -> list[str]:
    """The non-empty members of a comma-separated list."""
    return [member for member in map(str.strip, text.replace("\n", " ").split(",")) if member]


def zone_names(section: RouterSection) -> list[str]:
    """The zones of all routers and data nodes, in the order of the settings file."""
    return [zone for zone in map(str.strip, section.zones.split(",")) if zone]


@dataclass(frozen=True, slots=True)
class Table:
    """A table of the catalogue; `columns` maps names, in order, to type OIDs."""

    name: str
    columns: dict[str, int]
    distribution: str  # "" for a reference table
    column: str  # distribution column, "" for a reference table


@dataclass(frozen=True, slots=True)
class Distribution:
    """A distribution of rows over shards; `shard_by_value` is empty unless `method` is `list`."""

    name: str
    method: str
    type_oid: int
    shard_by_value: dict[str, int]


@dataclass(frozen=True, slots=True)
class QueryClassConfig:
    """A class of queries with its compiled statement pattern."""

    name: str
    section: ClassSection
    pattern: re.Pattern | None


@dataclass(frozen=True, slots=True)
class Config:
    """All checked settings of one router."""

    file: str
    router: RouterSection
    listen: ListenSection
    store: StoreSection
    merge: MergeSection
    rules: RulesSection
    roster: RosterSection
    log: LogSection
    door: DoorSection
    tenant_rules: tuple[TenantRule, ...]
    classes: tuple[QueryClassConfig, ...]
    distributions: dict[str, Distribution]
    tables: dict[str, Table]

    @property
    def zones(self) -> tuple[str, ...]:
        """The names of the zones; the routing policy identifies a zone by its position here."""
        return tuple(zone_names(self.router))
