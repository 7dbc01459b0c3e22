"""Settings from an INI file, checked before use.

An error names file, section, key, value and what is allowed.

Each section is a record below; its fields are the keys, their types and bounds what is allowed. The
same records make `tansycrank config show` and the check of the operators' page.
"""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from tansycrank import routing
from tansycrank.admission.identity import PLACES, Identity, Rule, read_network
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import MAX_RESERVED_SHARE, Limits
from tansycrank.admission.settings import Settings as DoorSettings
from tansycrank.postgres import types

Whole = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Ms = Annotated[float, Meta(ge=0)]
PositiveMs = Annotated[float, Meta(gt=0)]
Port = Annotated[int, Meta(ge=0, le=65535)]


class ConfigError(ValueError):
    """One fault of a settings file, in full."""

    def __init__(self, file: str, section: str, key: str, value: str | None, allowed: str):
        shown = "is missing" if value is None else f"= {value!r}"
        super().__init__(f"{file}: [{section}] {key} {shown}: {allowed}")


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all sections."""


class RouterSection(Record):
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


class ListenSection(Record):
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


class StoreSection(Record):
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


class MergeSection(Record):
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


class RulesSection(Record):
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


class DoorSection(Record):
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


class TenantSection(Record):
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


class RosterSection(Record):
    """Where the list of nodes comes from: `feed` (host:port) or `file` (for small sites)."""

    feed: str = ""
    file: str = ""
    silence_ms: PositiveMs = 5000.0
    max_line: Annotated[int, Meta(ge=1024)] = 1_048_576
    max_nodes: Count = 10000


class LogSection(Record):
    """Log lines: `json` or `people`; `queries` writes one line a query."""

    format: Annotated[str, Meta(pattern="^(json|people)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    queries: bool = True


class ClassSection(Record):
    """A class of queries. `pattern` is a regular expression that statements of the class match;
    `weight` is its share at the door beside the client's other classes."""

    aim_ms: PositiveMs
    give_up_ms: PositiveMs
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    dedup_window_ms: Ms = 0.0
    pattern: str = ""
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0


class DistributionSection(Record):
    """How rows find their shard. `values` for `list`: `0: a, b; 1: c`."""

    method: Annotated[str, Meta(pattern="^(hash|list)$")]
    type: str
    values: str = ""


class TableSection(Record):
    """A table: `distributed` by `column` as `distribution` says, or a `reference` table with every
    shard.

    `columns` is `name type, name type, ...` in the order of the table.
    """

    kind: Annotated[str, Meta(pattern="^(distributed|reference)$")]
    columns: str
    distribution: str = ""
    column: str = ""


SINGLE = {
    "router": RouterSection,
    "listen": ListenSection,
    "store": StoreSection,
    "merge": MergeSection,
    "rules": RulesSection,
    "door": DoorSection,
    "roster": RosterSection,
    "log": LogSection,
}
NAMED = {
    "class": ClassSection,
    "distribution": DistributionSection,
    "table": TableSection,
    "tenant": TenantSection,
}
NAME = re.compile(r"[a-z_][a-z0-9_-]{0,62}$")


@dataclass(frozen=True, slots=True)
class Table:
    """A table of the catalogue: its columns by name in order, with their type OIDs."""

    name: str
    columns: dict[str, int]
    distribution: str  # "" for a reference table
    column: str


@dataclass(frozen=True, slots=True)
class Distribution:
    """A checked distribution; `lists` maps a text value to its shard."""

    name: str
    method: str
    oid: int
    lists: dict[str, int]


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
    rules_of_tenants: tuple[Rule, ...]
    classes: tuple[QueryClassConfig, ...]
    distributions: dict[str, Distribution]
    tables: dict[str, Table]

    @property
    def zones(self) -> tuple[str, ...]:
        """The names of the zones; their positions are the module's numbers."""
        return tuple(z.strip() for z in self.router.zones.split(",") if z.strip())

    def identity(self) -> Identity:
        """Who is asking, by the rules of this file."""
        door = self.door
        return Identity(
            self.rules_of_tenants, split(door.allow), split(door.deny), door.prefix4, door.prefix6
        )

    def door_policy(self) -> Policy | None:
        """The door's decisions, None where it is off."""
        door = self.door
        weights = tuple(c.section.weight for c in self.classes for _ in range(3))
        bounds = (
            door.max_queued,
            door.max_queued_bytes,
            door.max_tenants,
            door.max_places,
            door.horizon_ms,
        )
        useful = tuple(
            c.section.give_up_ms if c.section.late_worth > 0 else c.section.aim_ms
            for c in self.classes
            for _ in range(3)
        )
        return Policy(DoorSettings(weights, useful, *bounds)) if door.enabled else None

    def module_settings(self) -> routing.Settings:
        """The settings of the decision module: three classes for each of ours (safe, keyed,
        unsafe).
        """
        classes = []
        for one in self.classes:
            for idempotency in (
                routing.Idempotency.IDEMPOTENT,
                routing.Idempotency.WITH_KEY,
                routing.Idempotency.NOT_IDEMPOTENT,
            ):
                c = one.section
                classes.append(
                    routing.QueryClass(
                        latency_objective=c.aim_ms,
                        deadline=c.give_up_ms,
                        priority_weight=c.worth,
                        late_weight=c.late_worth,
                        idempotency=idempotency,
                        dedup_window=c.dedup_window_ms
                        if idempotency is routing.Idempotency.WITH_KEY
                        else 0.0,
                    )
                )
        r, s, me = self.rules, self.store, self.router
        return routing.Settings(
            classes=tuple(classes),
            router_index=me.me,
            routers=me.routers,
            zone=self.zones.index(me.zone),
            zones=len(self.zones),
            tick=me.tick_ms,
            shards=s.shards,
            cells=s.cells,
            replica_span=s.reach,
            max_attempts=r.attempts_cap,
            allows_hedging=r.second_copies,
            can_retry_after=r.hold_off_max_ms > 0,
            max_retry_after=r.hold_off_max_ms,
            polls_discovery=True,
            answer_grace=r.answer_grace_ms,
            drain_grace=r.drain_grace_ms,
            slow_start_overload_factor=r.cold_multiple,
            slow_start_window=r.cold_window_ms,
            slow_start_initial_share=r.cold_from,
            slow_start_duration=r.cold_time_ms,
            budget_floor=r.budget_floor,
            budget_share=r.budget_share,
            budget_window=r.budget_window_ms,
            price_crossing=r.price_crossing,
        )


def load(path: str | Path) -> Config:
    """Read and check a settings file. Raises ConfigError with the first fault."""
    path = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(path, "-", "file", None, error.strerror or str(error)) from None
    except UnicodeDecodeError:
        raise ConfigError(path, "-", "file", None, "the file must be UTF-8") from None
    return parse(text, path)


def parse(text: str, path: str = "<text>") -> Config:
    """Check the text of a settings file."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, delimiters=("=",), comment_prefixes=("#",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        raise ConfigError(path, "-", "file", None, str(error).replace("\n", " ")) from None
    single, named = {}, {kind: {} for kind in NAMED}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if section in SINGLE:
            single[section] = _section(path, section, SINGLE[section], dict(parser[section]))
        elif kind in NAMED and NAME.match(name.strip()):
            named[kind][name.strip()] = _section(path, section, NAMED[kind], dict(parser[section]))
        else:
            allowed = ", ".join([*SINGLE, *(f"{k} NAME" for k in NAMED)])
            raise ConfigError(path, section, "section", section, f"allowed sections: {allowed}")
    for section, record in SINGLE.items():
        single.setdefault(section, record())
    return _checked(path, single, named)


def _section(path: str, section: str, record: type[Record], raw: dict[str, str]) -> Record:
    known = {f.name: f for f in msgspec.structs.fields(record)}
    for key, value in raw.items():
        if key not in known:
            raise ConfigError(
                path, section, key, value, f"unknown key; allowed: {', '.join(known)}"
            )
        if record.__annotations__.get(key) == "bool":
            raw[key] = {"yes": "true", "on": "true", "no": "false", "off": "false"}.get(
                value.lower(), value
            )
    for key, field in known.items():
        if field.required and key not in raw:
            raise ConfigError(path, section, key, None, "a value is needed")
    try:
        return msgspec.convert(raw, record, strict=False)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$.")
        key = where.rstrip("`") or "-"
        raise ConfigError(path, section, key, raw.get(key), what) from None


def _checked(path: str, single: dict[str, Record], named: dict[str, dict[str, Record]]) -> Config:
    router, store, rules, roster = (
        single["router"],
        single["store"],
        single["rules"],
        single["roster"],
    )
    zones = [z.strip() for z in router.zones.split(",") if z.strip()]
    if router.zone not in zones:
        raise ConfigError(
            path, "router", "zone", router.zone, f"one of the zones {', '.join(zones) or '(none)'}"
        )
    if router.me >= router.routers:
        raise ConfigError(path, "router", "me", str(router.me), f"below routers ({router.routers})")
    if store.reach > store.cells:
        raise ConfigError(
            path, "store", "reach", str(store.reach), f"at most cells ({store.cells})"
        )
    try:
        if store.schema.format(shard=1) == store.schema.format(shard=2) or not store.schema.format(
            shard=1
        ):
            raise ValueError
    except (ValueError, KeyError, IndexError):
        raise ConfigError(
            path, "store", "schema", store.schema, "a name with {shard}, as s{shard:04d}"
        ) from None
    budget = ("budget_floor", "budget_share", "budget_window_ms")
    if 0 < sum(getattr(rules, key) is not None for key in budget) < 3:
        missing = next(key for key in budget if getattr(rules, key) is None)
        raise ConfigError(
            path, "rules", missing, None, f"a budget needs all of {', '.join(budget)}"
        )
    if bool(roster.feed) == bool(roster.file):
        raise ConfigError(
            path, "roster", "feed", roster.feed or None, "either feed (host:port) or file, not both"
        )
    if roster.feed and not re.fullmatch(r"[^:\s]+:\d{1,5}", roster.feed):
        raise ConfigError(path, "roster", "feed", roster.feed, "host:port")
    if not named["class"]:
        raise ConfigError(path, "class NAME", "section", None, "at least one class is needed")
    classes = tuple(_class(path, name, section) for name, section in named["class"].items())
    distributions = {
        name: _distribution(path, name, d, store.shards)
        for name, d in named["distribution"].items()
    }
    tables = {name: _table(path, name, t, distributions) for name, t in named["table"].items()}
    rules_of_tenants = tuple(_tenant(path, name, t) for name, t in named["tenant"].items())
    _check_door(path, single["door"], rules_of_tenants)
    return Config(
        file=path,
        router=router,
        listen=single["listen"],
        store=store,
        merge=single["merge"],
        rules=rules,
        roster=roster,
        log=single["log"],
        door=single["door"],
        rules_of_tenants=rules_of_tenants,
        classes=classes,
        distributions=distributions,
        tables=tables,
    )


def _class(path: str, name: str, section: ClassSection) -> QueryClassConfig:
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


def split(text: str) -> list[str]:
    """The members of a list with commas."""
    return [one for one in map(str.strip, text.replace("\n", " ").split(",")) if one]


def _networks(path: str, section: str, key: str, text: str) -> tuple[str, ...]:
    for one in split(text):
        try:
            read_network(one)
        except ValueError as problem:
            raise ConfigError(path, section, key, one, str(problem)) from None
    return tuple(split(text))


def _check_door(path: str, door: DoorSection, rules: tuple[Rule, ...]) -> None:
    for key in ("allow", "deny", "operators"):
        _networks(path, "door", key, getattr(door, key))
    promised = sum(rule.limits.min_share for rule in rules)
    if promised > MAX_RESERVED_SHARE:
        last = rules[-1]
        raise ConfigError(
            path, f"tenant {last.name}", "min_share", str(last.limits.min_share),
            f"all least shares together at most {MAX_RESERVED_SHARE:g}, these are {promised:g}",
        )  # fmt: skip


def _tenant(path: str, name: str, section: TenantSection) -> Rule:
    where, patterns = f"tenant {name}", {}
    for key in ("users", "databases", "settings"):
        text = getattr(section, key)
        try:
            patterns[key] = re.compile(text) if text else None
        except re.error as error:
            raise ConfigError(path, where, key, text, f"a regular expression ({error})") from None
    networks = _networks(path, where, "networks", section.networks)
    if not networks and not any(patterns.values()):
        raise ConfigError(
            path, where, "networks", None, "one of networks, users, databases, settings"
        )
    tenant = section.tenant or name
    try:
        tenant.format(**dict.fromkeys(PLACES, "x"))
    except (KeyError, IndexError, ValueError):
        allowed = ", ".join("{" + place + "}" for place in PLACES)
        raise ConfigError(path, where, "tenant", tenant, f"a name, with {allowed} in it") from None
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
    limits = Limits(section.weight, section.min_share, section.max_share, section.burst_ms)
    return Rule(
        name,
        tenant,
        limits,
        networks,
        patterns["users"],
        patterns["databases"],
        patterns["settings"],
    )


def _distribution(path: str, name: str, section: DistributionSection, shards: int) -> Distribution:
    where = f"distribution {name}"
    oid = types.NAMES.get(section.type)
    if oid not in (types.INT2, types.INT4, types.INT8, types.TEXT, types.VARCHAR, types.UUID):
        raise ConfigError(
            path, where, "type", section.type, "one of int2, int4, int8, text, varchar, uuid"
        )
    lists: dict[str, int] = {}
    for group in filter(str.strip, section.values.replace("\n", " ").split(";")):
        number, colon, members = group.partition(":")
        if not colon or not number.strip().isdigit() or int(number) >= shards:
            raise ConfigError(
                path, where, "values", group.strip(), f"SHARD: VALUE, ...; shards 0 to {shards - 1}"
            )
        for member in filter(None, map(str.strip, members.split(","))):
            if member in lists:
                raise ConfigError(path, where, "values", member, "each value once")
            lists[member] = int(number)
    if (section.method == "list") != bool(lists):
        raise ConfigError(
            path, where, "values", section.values or None, "needed for list, not allowed for hash"
        )
    return Distribution(name, section.method, oid, lists)


def _table(
    path: str, name: str, section: TableSection, distributions: dict[str, Distribution]
) -> Table:
    where, columns = f"table {name}", {}
    for item in filter(None, map(str.strip, section.columns.replace("\n", " ").split(","))):
        column, _, kind = item.partition(" ")
        kind = kind.strip().lower()
        oid = (
            types.ARRAY_OF.get(types.NAMES.get(kind[:-2], -1))
            if kind.endswith("[]")
            else types.NAMES.get(kind)
        )
        if oid is None or column in columns:
            raise ConfigError(
                path, where, "columns", item, "NAME TYPE, each name once, of a supported type"
            )
        columns[column] = oid
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
    ours, theirs = columns[section.column], distributions[section.distribution].oid
    if (
        ours != theirs
        and {ours, theirs} - {types.TEXT, types.VARCHAR}
        and {ours, theirs} - types.INTEGERS
    ):
        raise ConfigError(
            path, where, "column", section.column, f"of the type {types.type_name(theirs)}"
        )
    return Table(name, columns, section.distribution, section.column)
