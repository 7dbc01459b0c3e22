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
    """The members of a comma-separated list."""
    return [member for member in map(str.strip, text.replace("\n", " ").split(",")) if member]


def zone_names(section: RouterSection) -> list[str]:
    """The zones of the fleet in the order of the settings file."""
    return [zone for zone in map(str.strip, section.zones.split(",")) if zone]


@dataclass(frozen=True, slots=True)
class Table:
    """A table of the catalogue: its columns by name in order, with their type OIDs."""

    name: str
    columns: dict[str, int]
    distribution: str  # "" for a reference table
    column: str


@dataclass(frozen=True, slots=True)
class Distribution:
    """A checked distribution; `shard_by_value` maps a text value to its shard."""

    name: str
    method: str
    type_oid: int
    shard_by_value: dict[str, int]


@dataclass(frozen=True, slots=True)
class QueryClassConfig:
    """A named class with its compiled pattern."""

    name: str
    section: ClassSection
    pattern: re.Pattern | None


@dataclass(frozen=True, slots=True)
class Config:
    """All settings of one router, checked."""

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
        """The names of the zones; the routing policy knows a zone by its position."""
        return tuple(zone_names(self.router))
