"""The data of a stand-in node: real SQL on an embedded DuckDB, one schema a shard, filled from a
seed.

The same seed gives the same rows everywhere, so that replicas agree and one unsharded copy is the
reference.
"""

from __future__ import annotations

import datetime as dt
import math
import re
import uuid
from dataclasses import dataclass

import duckdb

from tansycrank.config import Config
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import Field, data_row
from tansycrank.sql.shards import shard_of

DISTRICTS = (
    "Quan 1",
    "Quan 3",
    "Quan 4",
    "Quan 5",
    "Quan 6",
    "Quan 7",
    "Quan 8",
    "Quan 10",
    "Quan 11",
    "Quan 12",
    "Binh Tan",
    "Binh Thanh",
    "Go Vap",
    "Phu Nhuan",
    "Tan Binh",
    "Tan Phu",
    "Thu Duc",
    "Binh Chanh",
    "Can Gio",
    "Cu Chi",
    "Hoc Mon",
    "Nha Be",
    "San Bay",
    "Cho Lon",
)
TRIPS, CABS, DRIVERS = 24_000, 600, 400
TRIP_COLUMNS = (
    "id int8, district text, cab_id int8, driver_id int8, fare numeric, distance float8, "
    "started timestamp, day date, paid bool, stars int4, note text, tags text[], ref uuid"
)
CAB_COLUMNS = "id int8, district text, plate text, seats int4, lat float8, lon float8, free bool"
DRIVER_COLUMNS = "id int8, name text, joined date, rating numeric"
ZONE_COLUMNS = "district text, centre bool, base_fare numeric"

ENGINE_TYPES = {
    "BOOLEAN": types.BOOL,
    "TINYINT": types.INT2,
    "SMALLINT": types.INT2,
    "INTEGER": types.INT4,
    "BIGINT": types.INT8,
    "HUGEINT": types.NUMERIC,
    "UBIGINT": types.NUMERIC,
    "UINTEGER": types.INT8,
    "FLOAT": types.FLOAT4,
    "DOUBLE": types.FLOAT8,
    "VARCHAR": types.TEXT,
    "BLOB": types.BYTEA,
    "DATE": types.DATE,
    "TIMESTAMP": types.TIMESTAMP,
    "TIMESTAMP WITH TIME ZONE": types.TIMESTAMPTZ,
    "UUID": types.UUID,
    "JSON": types.JSON,
    '"NULL"': types.TEXT,
    "NULL": types.TEXT,
}
SQL_NAMES = {
    types.INT8: "BIGINT",
    types.INT4: "INTEGER",
    types.INT2: "SMALLINT",
    types.BOOL: "BOOLEAN",
    types.FLOAT8: "DOUBLE",
    types.FLOAT4: "FLOAT",
    types.NUMERIC: "DECIMAL(18,2)",
    types.DATE: "DATE",
    types.TIMESTAMP: "TIMESTAMP",
    types.TIMESTAMPTZ: "TIMESTAMPTZ",
    types.UUID: "UUID",
    types.BYTEA: "BLOB",
    types.JSON: "JSON",
    types.JSONB: "JSON",
}
STATES = (
    ("Division by zero", "22012"),
    ("Could not convert", "22P02"),
    ("Table with name", "42P01"),
    ("Referenced column", "42703"),
    ("Referenced table", "42P01"),
    ("syntax error", "42601"),
    ("Duplicate key", "23505"),
    ("out of range", "22003"),
    ("Overflow", "22003"),
    ("does not exist", "42883"),
)
EPOCH = dt.datetime(2000, 1, 1)


def oid_of(name: object) -> int:
    """The wire type of a column of the engine."""
    text = str(name)
    if text.endswith("[]"):
        return types.ARRAY_TYPES.get(oid_of(text[:-2]), types.TEXT)
    if text.startswith("DECIMAL"):
        return types.NUMERIC
    return ENGINE_TYPES.get(text, types.TEXT)


def to_engine(oid: int, value: object) -> object:
    """A decoded wire value as the engine takes it."""
    if value is None:
        return None
    if oid in types.ARRAY_ELEMENTS:
        return [to_engine(types.ARRAY_ELEMENTS[oid], v) for v in value]
    if oid == types.DATE and not math.isinf(value):
        return dt.date(2000, 1, 1) + dt.timedelta(days=value)
    if oid in (types.TIMESTAMP, types.TIMESTAMPTZ) and not math.isinf(value):
        stamp = EPOCH + dt.timedelta(microseconds=value)
        return stamp.replace(tzinfo=dt.UTC) if oid == types.TIMESTAMPTZ else stamp
    if oid == types.UUID:
        return uuid.UUID(bytes=value)
    return value


def from_engine(oid: int, value: object) -> object:
    """A value of the engine as `pg.types` has it."""
    if isinstance(value, list):
        return [
            None if v is None else from_engine(types.ARRAY_ELEMENTS.get(oid, types.TEXT), v)
            for v in value
        ]
    if isinstance(value, dt.datetime):
        if value.tzinfo is not None:
            value = value.astimezone(dt.UTC).replace(tzinfo=None)
        return (value - EPOCH) // dt.timedelta(microseconds=1)
    if isinstance(value, dt.date):
        return (value - dt.date(2000, 1, 1)).days
    if isinstance(value, uuid.UUID):
        return value.bytes
    return value


@dataclass(slots=True)
class Rows:
    """What a statement gave."""

    fields: tuple[Field, ...] | None
    frames: list[bytes]
    tag: str


class Engine:
    """One embedded database. `shards` of None makes the unsharded reference in the schema
    `main`.
    """

    def __init__(
        self, config: Config, seed: int, shards: tuple[int, ...] | None, scale: float = 1.0
    ) -> None:
        self.config, self.db = config, duckdb.connect(":memory:", config={"threads": 1})
        self.db.execute("SET default_null_order='nulls_last_on_asc_first_on_desc'")
        self.db.execute("SET integer_division=true")
        self.db.execute("SET TimeZone='UTC'")
        self._fill(seed, shards, int(TRIPS * scale))

    def _fill(self, seed: int, shards: tuple[int, ...] | None, trips: int) -> None:
        run, total = self.db.execute, self.config.store.shards
        names = "[" + ",".join(f"'{d}'" for d in DISTRICTS) + "]"

        def h(i: int) -> str:
            return f"hash(i, {seed * 100 + i})"

        run(f"""CREATE SCHEMA base; CREATE TABLE base.trips AS SELECT i::BIGINT AS id,
            ({names})[1 + ({h(1)} % 24)::INT] AS district, ({h(2)} % {CABS})::BIGINT AS cab_id,
            ({h(3)} % {DRIVERS})::BIGINT AS driver_id,
            CASE WHEN {h(4)} % 40 = 0 THEN NULL
            ELSE (({h(5)} % 90000) / 100.0 + 12)::DECIMAL(18,2) END AS fare,
            ({h(6)} % 40000) / 1000.0::DOUBLE AS distance,
            TIMESTAMP '2026-01-01' + to_seconds(({h(7)} % 5000000)::BIGINT) AS started,
            DATE '2026-01-01' + ({h(7)} % 58)::INT AS day, {h(8)} % 3 > 0 AS paid,
            CASE WHEN {h(9)} % 4 = 0 THEN NULL ELSE 1 + ({h(10)} % 5)::INT END AS stars,
            CASE WHEN {h(11)} % 5 = 0 THEN NULL ELSE 'Ghi chú ' || ({h(12)} % 60) END AS note,
            ['k' || ({h(13)} % 5), 'v'] AS tags, md5({h(14)}::VARCHAR)::UUID AS ref
            FROM range({trips}) t(i)""")
        run(f"""CREATE TABLE base.cabs AS SELECT i::BIGINT AS id,
            ({names})[1 + ({h(21)} % 24)::INT] AS district,
            '51A-' || lpad((10000 + i)::VARCHAR, 5, '0') AS plate, (4 + 3 * ({h(22)} % 2))::INT AS seats,
            10.7 + ({h(23)} % 2000) / 10000.0::DOUBLE AS lat,
            106.6 + ({h(24)} % 2000) / 10000.0::DOUBLE AS lon,
            {h(25)} % 2 = 0 AS free FROM range({CABS}) t(i)""")
        run(f"""CREATE TABLE base.drivers AS SELECT i::BIGINT AS id, 'Tài xế ' || i AS name,
            DATE '2015-01-01' + ({h(31)} % 3000)::INT AS joined,
            ((({h(32)} % 50) / 10.0)::DECIMAL(18,2)) AS rating
            FROM range({DRIVERS}) t(i)""")
        run(f"""CREATE TABLE base.zones AS SELECT d AS district, hash(d) % 2 = 0 AS centre,
            (10 + hash(d) % 9)::DECIMAL(18,2) AS base_fare FROM (SELECT unnest({names}) AS d)""")
        if shards is None:
            for table in ("trips", "cabs", "drivers", "zones"):
                run(f"CREATE TABLE main.{table} AS SELECT * FROM base.{table}")
        else:
            by_district = self.config.distributions["district"]
            by_driver = self.config.distributions["driver"]
            places = ", ".join(f"('{d}', {shard_of(by_district, d, total)})" for d in DISTRICTS)
            drivers = ", ".join(f"({i}, {shard_of(by_driver, i, total)})" for i in range(DRIVERS))
            run(f"CREATE TABLE base.place AS SELECT * FROM (VALUES {places}) t(district, shard)")
            run(f"CREATE TABLE base.driver_place AS SELECT * FROM (VALUES {drivers}) t(id, shard)")
            for shard in shards:
                schema = self.config.store.schema.format(shard=shard)
                run(f"CREATE SCHEMA {schema}")
                for table in ("trips", "cabs"):
                    run(f"""CREATE TABLE {schema}.{table} AS SELECT t.* FROM base.{table} t
                        JOIN base.place p USING (district) WHERE p.shard = {shard}""")
                run(f"""CREATE TABLE {schema}.drivers AS SELECT t.* FROM base.drivers t
                    JOIN base.driver_place p USING (id) WHERE p.shard = {shard}""")
                run(f"CREATE TABLE {schema}.zones AS SELECT * FROM base.zones")
        run("DROP SCHEMA base CASCADE")

    def run(self, sql: str, values: list[object], results: tuple[int, ...]) -> Rows:
        """Run one statement. `values` are for the engine, `results` the formats wanted. Raises
        PgError.
        """
        try:
            cursor = self.db.execute(sql, values) if values else self.db.execute(sql)
            described, fetched = cursor.description or [], cursor.fetchall()
        except duckdb.Error as problem:
            raise PgError(_state(problem), str(problem).split("\n")[0]) from None
        verb = re.sub(r"(?s)/\*.*?\*/", "", sql).split(None, 1)[0].upper()
        if verb in ("INSERT", "UPDATE", "DELETE") and "RETURNING" not in sql.upper():
            count = fetched[0][0] if fetched else 0
            return Rows(None, [], f"INSERT 0 {count}" if verb == "INSERT" else f"{verb} {count}")
        fields = _fields([(d[0], oid_of(d[1])) for d in described], results)
        frames = [
            data_row(
                [
                    None if v is None else types.encode(f.oid, f.format, from_engine(f.oid, v))
                    for v, f in zip(row, fields, strict=True)
                ]
            )
            for row in fetched
        ]
        tag = (
            f"INSERT 0 {len(fetched)}"
            if verb == "INSERT"
            else f"{'SELECT' if verb == 'WITH' else verb} {len(frames)}"
        )
        return Rows(fields, frames, tag)

    def describe(self, sql: str, oids: tuple[int, ...]) -> tuple[Field, ...] | None:
        """The columns of a statement whose parameters have these types; None if it gives no
        rows.
        """

        def typed(match: re.Match) -> str:
            oid = oids[int(match[1]) - 1]
            array, oid = oid in types.ARRAY_ELEMENTS, types.ARRAY_ELEMENTS.get(oid, oid)
            return f"CAST(NULL AS {SQL_NAMES.get(oid, 'VARCHAR')}{'[]' if array else ''})"

        plain = re.sub(r"\$(\d+)", typed, sql)
        verb = re.sub(r"(?s)/\*.*?\*/", "", plain).split(None, 1)[0].upper()
        if verb not in ("SELECT", "WITH", "VALUES"):
            return None
        try:
            told = self.db.execute(f"DESCRIBE {plain}").fetchall()
        except duckdb.Error as problem:
            raise PgError(_state(problem), str(problem).split("\n")[0]) from None
        return _fields([(name, oid_of(kind)) for name, kind, *_ in told], ())


def _fields(columns: list[tuple[str, int]], results: tuple[int, ...]) -> tuple[Field, ...]:
    codes = results * len(columns) if len(results) == 1 else results or (0,) * len(columns)
    return tuple(
        Field(name, oid, types.BINARY_SIZES.get(oid, -1), format=code)
        for (name, oid), code in zip(columns, codes, strict=False)
    )


def _state(problem: duckdb.Error) -> str:
    text = str(problem)
    return next(
        (state for words, state in STATES if words in text),
        "42601" if "Parser" in text else "22000",
    )
