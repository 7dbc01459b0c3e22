"""Sections of the settings file as structs, whose fields are the keys.

Types and bounds of the fields define the allowed values. `tansycrank config show` prints these
structs, and a test checks that the operators' page lists every key.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonNegativeMs = Annotated[float, Meta(ge=0)]
PositiveMs = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections; unknown keys are errors."""


class RouterSection(Section):
    """`[router]`: identity of this router and its place among `routers`.

    `me` is its index. `tick_ms` is the interval between steps of the routing policy, and so the
    precision of its timers.
    """

    me: NonNegativeInt = 0
    routers: PositiveInt = 1
    zone: str = "a"
    zones: str = "a"
    tick_ms: PositiveMs = 5.0
    seed: NonNegativeInt = 1
    stop_within_ms: PositiveMs = 10000.0


class ListenSection(Section):
    """`[listen]`: the client listener and limits of a session, in bytes.

    With port 0 the operating system chooses a free port. `max_held` is the limit of all sessions
    together: messages, prepared statements, parameters and rows that were not sent.
    """

    host: str = "127.0.0.1"
    port: Port = 6432
    max_sessions: PositiveInt = 2000
    max_message: Annotated[int, Meta(ge=1024)] = 4_194_304
    max_statement: Annotated[int, Meta(ge=64)] = 262_144
    max_tokens: Annotated[int, Meta(ge=1000, le=100_000)] = 10_000  # of a statement
    max_prepared: PositiveInt = 256
    max_portals: PositiveInt = 64
    max_pending: Annotated[int, Meta(ge=1024)] = 1_048_576
    max_held: Annotated[int, Meta(ge=1_048_576)] = 134_217_728
    login_timeout_ms: PositiveMs = 10000.0


class StoreSection(Section):
    """`[store]`: placement of shards on data nodes, and the connections to them.

    The replicas of shard s are in `reach` cells from cell s modulo `cells` on.
    """

    shards: PositiveInt = 1
    cells: PositiveInt = 1
    reach: PositiveInt = 1
    schema: str = "s{shard:04d}"
    database: str = "tansycrank"
    user: str = "tansycrank"
    max_links: PositiveInt = 64
    connect_timeout_ms: PositiveMs = 1000.0
    cancel_grace_ms: PositiveMs = 500.0
    idle_link_ms: PositiveMs = 300000.0
    # longest wait for the next row of an answer that is streamed; 0: the statement's own time
    row_wait_ms: NonNegativeMs = 0.0


class MergeSection(Section):
    """`[merge]`: bounds in bytes on memory and spill files of merges.

    `process_bytes` holds for all queries, `query_bytes` for each, `max_row_bytes` for each row,
    `spill_quota` for the files of all queries.
    """

    process_bytes: Annotated[int, Meta(ge=16_777_216)] = 134_217_728
    query_bytes: Annotated[int, Meta(ge=1_048_576)] = 33_554_432
    max_row_bytes: Annotated[int, Meta(ge=65_536)] = 67_108_864
    spill_dir: str = ""
    spill_quota: Annotated[int, Meta(ge=0)] = 4_294_967_296
    cursor_idle_ms: PositiveMs = 60000.0
    max_cursors: PositiveInt = 32


class RulesSection(Section):
    """`[rules]`: drains, slow start, the budget of hedges and retries, and bounds on attempts.

    A budget needs all three of its keys.
    """

    drain_grace_ms: NonNegativeMs = 500.0
    cold_multiple: Annotated[float, Meta(gt=0)] = 2.0
    cold_window_ms: PositiveMs = 1500.0
    cold_from: Share = 0.2
    cold_time_ms: NonNegativeMs = 16000.0
    budget_floor: Annotated[float, Meta(ge=0)] | None = None
    budget_share: Annotated[float, Meta(ge=0)] | None = None
    budget_window_ms: PositiveMs | None = None
    attempts_cap: PositiveInt = 3
    second_copies: bool = True
    hold_off_max_ms: NonNegativeMs = 5000.0
    price_crossing: Annotated[float, Meta(ge=0)] = 0.0
    answer_grace_ms: NonNegativeMs = 50.0


class DoorSection(Section):
    """`[door]`: bounds of admission control, and access by network.

    `max_queued` and `max_queued_bytes` bound the admission queue, `max_tenants` the known tenants,
    `max_places` the reservations and `horizon_ms` how far ahead they reach. `allow` and `deny` are
    networks that may or may not connect, where the longest prefix decides. Sessions from
    `operators` see all tenants and may change limits. Callers without a rule share a tenant per
    network of `prefix4` or `prefix6` bits.
    """

    enabled: bool = True
    max_queued: PositiveInt = 1000
    max_queued_bytes: Annotated[int, Meta(ge=65_536)] = 16_777_216
    max_tenants: Annotated[int, Meta(ge=64)] = 4096
    max_places: PositiveInt = 50_000
    horizon_ms: Annotated[float, Meta(ge=1000)] = 60_000.0
    allow: str = ""
    deny: str = ""
    operators: str = "127.0.0.0/8, ::1/128"
    prefix4: Annotated[int, Meta(ge=8, le=32)] = 24
    prefix6: Annotated[int, Meta(ge=16, le=128)] = 48


class TenantSection(Section):
    """`[tenant NAME]`: a rule that assigns sessions to a tenant, and the tenant's limits.

    A session must match all given keys; of several rules, the one with the longest network
    applies, then the first in the file. `users`, `databases` and `settings` are regular expressions
    for the whole text. `tenant` is the template of the name: {user}, {database} and {setting} stand
    for the first group of their expression, or else the whole text, and {network} for the network.
    """

    networks: str = ""
    users: str = ""
    databases: str = ""
    settings: str = ""
    tenant: str = ""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    min_share: Annotated[float, Meta(ge=0, lt=1)] = 0.0
    max_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    burst_ms: NonNegativeMs = 0.0


class RosterSection(Section):
    """`[roster]`: the source of the endpoint list, `feed` (host:port) or `file`.

    A file suits small installations.
    """

    feed: str = ""
    file: str = ""
    silence_ms: PositiveMs = 5000.0
    max_line: Annotated[int, Meta(ge=1024)] = 1_048_576
    max_nodes: PositiveInt = 10000


class LogSection(Section):
    """`[log]`: format (`people` is plain text) and level; `queries` logs one line per query."""

    format: Annotated[str, Meta(pattern="^(json|people)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    queries: bool = True


class ClassSection(Section):
    """`[class NAME]`: a class of queries, its latency objective and its deadline.

    `pattern` is a regular expression that statements of the class match. `weight` is its share in
    admission control relative to the other classes of a client.
    """

    aim_ms: PositiveMs
    give_up_ms: PositiveMs
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    dedup_window_ms: NonNegativeMs = 0.0
    pattern: str = ""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class DistributionSection(Section):
    """`[distribution NAME]`: how rows are assigned to shards.

    `values` gives the shards of the method `list`, such as `0: a, b; 1: c`.
    """

    method: Annotated[str, Meta(pattern="^(hash|list)$")]
    type: str
    values: str = ""


class TableSection(Section):
    """`[table NAME]`: a table that is distributed by `column`, or a reference table on every shard.

    `columns` is `name type, name type, ...` in the order of the table.
    """

    kind: Annotated[str, Meta(pattern="^(distributed|reference)$")]
    columns: str
    distribution: str = ""
    column: str = ""


SINGLE_SECTIONS = {  # by name; each occurs at most once
    "router": RouterSection,
    "listen": ListenSection,
    "store": StoreSection,
    "merge": MergeSection,
    "rules": RulesSection,
    "door": DoorSection,
    "roster": RosterSection,
    "log": LogSection,
}
NAMED_SECTIONS = {  # by kind, for sections that are written `[kind NAME]`
    "class": ClassSection,
    "distribution": DistributionSection,
    "table": TableSection,
    "tenant": TenantSection,
}
