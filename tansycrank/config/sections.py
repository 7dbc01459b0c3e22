"""Sections of the settings file: a struct each, whose fields are the keys.

Field types and bounds say which values are allowed. `tansycrank config show` prints these records,
and a test holds the operators' page against them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Whole = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Ms = Annotated[float, Meta(ge=0)]
PositiveMs = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections."""


class RouterSection(Section):
    """Who this router is. `routers` counts all routers of the fleet; `tick_ms` is the grain of its
    clock.
    """

    me: Whole = 0
    routers: Count = 1
    zone: str = "a"
    zones: str = "a"
    tick_ms: PositiveMs = 5.0
    seed: Whole = 1
    stop_within_ms: PositiveMs = 10000.0


class ListenSection(Section):
    """The front. Port 0 lets the system pick. Sizes in bytes, the login time in ms."""

    host: str = "127.0.0.1"
    port: Port = 6432
    max_sessions: Count = 2000
    max_message: Annotated[int, Meta(ge=1024)] = 4_194_304
    max_statement: Annotated[int, Meta(ge=64)] = 262_144
    max_prepared: Count = 256
    max_portals: Count = 64
    max_pending: Annotated[int, Meta(ge=1024)] = 1_048_576
    login_timeout_ms: PositiveMs = 10000.0


class StoreSection(Section):
    """The data nodes: how shards lie on them, and the links. Shard s begins at cell s modulo
    `cells`.
    """

    shards: Count = 1
    cells: Count = 1
    reach: Count = 1
    schema: str = "s{shard:04d}"
    database: str = "tansycrank"
    user: str = "tansycrank"
    max_links: Count = 64
    connect_timeout_ms: PositiveMs = 1000.0
    cancel_grace_ms: PositiveMs = 500.0
    idle_link_ms: PositiveMs = 300000.0


class MergeSection(Section):
    """Memory and disk of merges, in bytes; a bound for all queries, for each, for one row, for the
    disk.
    """

    process_bytes: Annotated[int, Meta(ge=16_777_216)] = 134_217_728
    query_bytes: Annotated[int, Meta(ge=1_048_576)] = 33_554_432
    max_row_bytes: Annotated[int, Meta(ge=65_536)] = 67_108_864
    spill_dir: str = ""
    spill_quota: Annotated[int, Meta(ge=0)] = 4_294_967_296
    cursor_idle_ms: PositiveMs = 60000.0
    max_cursors: Count = 32


class RulesSection(Section):
    """The figures of rules 3, 4 and 6, and what bounds attempts. A budget needs all three of its
    keys.
    """

    drain_grace_ms: Ms = 500.0
    cold_multiple: Annotated[float, Meta(gt=0)] = 2.0
    cold_window_ms: PositiveMs = 1500.0
    cold_from: Share = 0.2
    cold_time_ms: Ms = 16000.0
    budget_floor: Annotated[float, Meta(ge=0)] | None = None
    budget_share: Annotated[float, Meta(ge=0)] | None = None
    budget_window_ms: PositiveMs | None = None
    attempts_cap: Count = 3
    second_copies: bool = True
    hold_off_max_ms: Ms = 5000.0
    price_crossing: Annotated[float, Meta(ge=0)] = 0.0
    answer_grace_ms: Ms = 50.0


class DoorSection(Section):
    """The door: bounds of its line (queries, bytes), of tenants known, of places kept and how far
    ahead.

    `allow` and `deny` are networks that may enter, the longest first; `operators` are networks
    whose sessions see all tenants and may change limits.
    """

    enabled: bool = True
    max_queued: Count = 1000
    max_queued_bytes: Annotated[int, Meta(ge=65_536)] = 16_777_216
    max_tenants: Annotated[int, Meta(ge=64)] = 4096
    max_places: Count = 50_000
    horizon_ms: Annotated[float, Meta(ge=1000)] = 60_000.0
    allow: str = ""
    deny: str = ""
    operators: str = "127.0.0.0/8, ::1/128"
    prefix4: Annotated[int, Meta(ge=8, le=32)] = 24
    prefix6: Annotated[int, Meta(ge=16, le=128)] = 48


class TenantSection(Section):
    """A rule that names a tenant. All keys given must fit; the longest network wins, then the order
    here.

    `users`, `databases` and `settings` are regular expressions for the whole text; `tenant` is the
    name, with {user}, {database}, {setting} (the first group of the expression, or all) and
    {network} filled in.
    """

    networks: str = ""
    users: str = ""
    databases: str = ""
    settings: str = ""
    tenant: str = ""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    min_share: Annotated[float, Meta(ge=0, lt=1)] = 0.0
    max_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    burst_ms: Ms = 0.0


class RosterSection(Section):
    """Where the list of nodes comes from: `feed` (host:port) or `file` (for small sites)."""

    feed: str = ""
    file: str = ""
    silence_ms: PositiveMs = 5000.0
    max_line: Annotated[int, Meta(ge=1024)] = 1_048_576
    max_nodes: Count = 10000


class LogSection(Section):
    """Log lines: `json` or `people`; `queries` writes one line a query."""

    format: Annotated[str, Meta(pattern="^(json|people)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    queries: bool = True


class ClassSection(Section):
    """A class of queries. `pattern` is a regular expression that statements of the class match;
    `weight` is its share at the door beside the client's other classes."""

    aim_ms: PositiveMs
    give_up_ms: PositiveMs
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    dedup_window_ms: Ms = 0.0
    pattern: str = ""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class DistributionSection(Section):
    """How rows find their shard. `values` for `list`: `0: a, b; 1: c`."""

    method: Annotated[str, Meta(pattern="^(hash|list)$")]
    type: str
    values: str = ""


class TableSection(Section):
    """A table: `distributed` by `column` as `distribution` says, or a `reference` table with every
    shard.

    `columns` is `name type, name type, ...` in the order of the table.
    """

    kind: Annotated[str, Meta(pattern="^(distributed|reference)$")]
    columns: str
    distribution: str = ""
    column: str = ""


SINGLE_SECTIONS = {
    "router": RouterSection,
    "listen": ListenSection,
    "store": StoreSection,
    "merge": MergeSection,
    "rules": RulesSection,
    "door": DoorSection,
    "roster": RosterSection,
    "log": LogSection,
}
NAMED_SECTIONS = {
    "class": ClassSection,
    "distribution": DistributionSection,
    "table": TableSection,
    "tenant": TenantSection,
}
