"""Merging of shard results in memory, and the table of groups that streaming merges share.

Rows are DataRow frames; only the columns that a key needs are decoded. Rows with equal keys are
ordered by shard, then by their order within the shard, so that results are deterministic.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from copy import copy
from dataclasses import dataclass

from tansycrank.merge import collected, folds
from tansycrank.merge.values import (
    TypedParameters,
    cast_to_described,
    check_range,
    divide,
    evaluate,
)
from tansycrank.postgres import types
from tansycrank.postgres.errors import TOO_LARGE, PgError, unsupported
from tansycrank.postgres.messages import Field, data_row, read_row
from tansycrank.sql.plan import Aggregate, MergePlan, Scalar, SortKey


@dataclass(slots=True)
class ShardRows:
    """The complete result of one shard: columns, row frames and command tag."""

    fields: tuple[Field, ...]
    rows: list[bytes]
    tag: str = ""


@dataclass(slots=True)
class Result:
    """A query result: columns (None for a statement without rows), row frames and command tag."""

    fields: tuple[Field, ...] | None
    rows: Sequence[bytes]
    tag: str
    stream: object = None  # a RowStream instead of `rows`, for results that are streamed
    memory: object = None  # QueryMemory to close once the result has been sent


def shard_formats(plan: MergePlan | None, result_formats: tuple[int, ...]) -> tuple[int, ...]:
    """The result formats to request from the nodes, given those that the client requested."""
    if plan is None:
        return result_formats
    if plan.kind == "grouped":
        return ()
    return (
        result_formats + (0,) * plan.hidden_columns if len(result_formats) > 1 else result_formats
    )


def scalar(value: Scalar, params: Sequence[object], what: str) -> int | None:
    """The value of LIMIT or OFFSET (`what`) with these parameters; None if there is none."""
    found = params[value.param - 1] if value.param else value.value
    if found is None:
        return None
    try:
        number = types.to_integer(types.INT8, found)
    except (TypeError, ValueError):
        raise PgError("22P02", f"invalid {what}: {types.shortened(found)}") from None
    if number < 0:
        raise PgError("2201W" if what == "LIMIT" else "2201X", f"{what} must not be negative")
    return number


def merge(
    plan: MergePlan,
    shard_results: Sequence[ShardRows],
    params: Sequence[object],
    oids: Sequence[int],
    result_formats: tuple[int, ...],
    described: tuple[Field, ...] | None = None,
) -> Result:
    """Merge complete shard results into one result.

    `params` are decoded values with the types `oids`, `result_formats` the formats that the client
    requested, `described` the columns announced to the client.
    """
    limit, offset = scalar(plan.limit, params, "LIMIT"), scalar(plan.offset, params, "OFFSET") or 0
    shapes = {
        tuple((f.oid, f.format) for f in shard_result.fields) for shard_result in shard_results
    }
    if len(shapes) != 1:
        raise PgError(
            "XX000", "shards answer with different columns", hint="are their tables alike?"
        )
    if plan.kind == "grouped":
        return _grouped(plan, shard_results, params, oids, result_formats, limit, offset, described)
    return _plain(plan, shard_results, limit, offset)


def _cut(rows: list, limit: int | None, offset: int) -> list:
    return rows[offset:] if limit is None else rows[offset : offset + limit]


def sort_rows(
    rows: list[tuple], keys: Sequence[SortKey], fields: Sequence[Field], offset: int = 0
) -> list[tuple]:
    """Stable sort of tuples that hold the wire value (or None) of column c at item `offset` + c."""
    for key in reversed(keys):
        column = key.column if key.column >= 0 else len(fields) + key.column
        order = types.order_key(fields[column].oid, fields[column].format)
        null_flag = key.nulls_first == key.descending
        at = column + offset

        def of(row: tuple, at=at, order=order, null_flag=null_flag) -> tuple:
            value = row[at]
            return (null_flag, 0) if value is None else (not null_flag, order(value))

        rows.sort(key=of, reverse=key.descending)
    return rows


def _plain(
    plan: MergePlan, shard_results: Sequence[ShardRows], limit: int | None, offset: int
) -> Result:
    fields = shard_results[0].fields
    visible = fields[: len(fields) - plan.hidden_columns] if plan.hidden_columns else fields
    if not plan.sort and not plan.distinct:
        frames = [row for shard_result in shard_results for row in shard_result.rows]
        frames = _cut(frames, limit, offset)
        return Result(visible, frames, f"SELECT {len(frames)}")
    rows = [(row, *read_row(row)) for shard_result in shard_results for row in shard_result.rows]
    if plan.distinct:
        orders = [types.order_key(f.oid, f.format) for f in visible]
        seen: dict[tuple, tuple] = {}
        for row in rows:
            key = tuple(
                None if v is None else order(v) for order, v in zip(orders, row[1:], strict=False)
            )
            seen.setdefault(key, row)
        rows = list(seen.values())
    rows = _cut(sort_rows(rows, plan.sort, fields, 1), limit, offset)
    if plan.hidden_columns:
        frames = [data_row(row[1 : len(visible) + 1]) for row in rows]
    else:
        frames = [row[0] for row in rows]
    return Result(visible, frames, f"SELECT {len(frames)}")


VALUE_OVERHEAD_BYTES = 220  # memory of one collected value with its key
VALUES_AT_ONCE = 4096  # values of a result that are computed before others get their turn
ROWS_AT_ONCE = 200  # rows of a result that leave together, unless they are large
BYTES_AT_ONCE = 64 * 1024  # of these rows
MAX_ROW_BYTES = 64 * 1024 * 1024  # of a row, which may name a large parameter many times


def _fold(spec: Aggregate, fields: Sequence[Field]) -> folds.Fold:
    """The function (state, row) -> state of an aggregate."""
    if spec.raw:
        return collected.fold(spec, fields)
    column = spec.columns[0]
    oid, code = fields[column].oid, fields[column].format
    if spec.kind in ("min", "max"):
        if oid in types.TEXT_TYPES and not spec.collated:
            raise unsupported(f"{spec.kind}() of a text expression", 'add COLLATE "C" to it')
        return folds.min_max(spec.kind, column, oid, code)
    if spec.kind == "avg":
        return folds.mean(column, oid, code, spec.columns[1])
    return folds.running_value(spec.kind, column, oid, code)


def _final(spec: Aggregate, fields: Sequence[Field], state: object) -> tuple[int, object]:
    """(type OID, value) of an aggregate from its final state."""
    if spec.raw:
        return collected.final(spec, fields, state)
    field = fields[spec.columns[0]]
    oid = field.oid
    if spec.kind in ("min", "max"):
        return oid, None if state is None else types.decode(oid, field.format, state[1])
    if spec.kind != "avg":
        return oid, check_range(oid, state)
    if oid == types.FLOAT4:
        raise unsupported("avg() of real", "cast its argument to float8")
    if oid == types.FLOAT8:
        return oid, None if state is None else state[0] / state[1]
    return types.NUMERIC, None if state is None else divide(types.Decimal(state[0]), state[1])


class GroupTable:
    """Hash table of groups and the states of their aggregates.

    `result` gives the output rows, with hidden sort columns.
    """

    def __init__(
        self,
        plan: MergePlan,
        fields: Sequence[Field],
        params: Sequence[object],
        oids: Sequence[int],
        result_formats: tuple[int, ...],
        described: tuple[Field, ...] | None,
    ) -> None:
        self.plan, self.shard_fields, self.described = plan, fields, described
        self.params = TypedParameters(oids, params)
        width = len(plan.outputs)
        self.codes = (
            _codes(result_formats, width - plan.hidden_columns) + (0,) * plan.hidden_columns
        )
        self._orders = [types.order_key(f.oid, f.format) for f in fields[: plan.groups]]
        self._folds = [(plan.groups + i, _fold(a, fields)) for i, a in enumerate(plan.aggregates)]
        self._passthrough = self._passthrough_positions()
        self.grows_per_row = any(collected.grows_per_row(a) for a in plan.aggregates)
        # key -> wire values of the group columns, then one state per aggregate
        self.groups: dict[object, list] = {}
        group_values = [(f.oid, None) for f in fields[: plan.groups]]
        empty = self._values(group_values, [_final(a, fields, None) for a in plan.aggregates])
        self.fields = tuple(_fields(plan, empty, self.codes))

    def _passthrough_positions(self) -> list[int] | None:
        """Index of each output in the entry of a group, if none needs decoding; else None.

        That is so if all are group columns or int8 counts and sums, in text format.
        """
        if self.plan.having is not None or any(self.codes) or self.described is not None:
            return None
        positions = []
        for output in self.plan.outputs:
            kind, *rest = output.expression
            if kind == "group" and self.shard_fields[rest[0]].format == 0:
                positions.append(rest[0])
            elif kind == "agg" and self.plan.aggregates[rest[0]].kind in ("count", "sum"):
                if self.plan.aggregates[rest[0]].raw:
                    return None
                if self.shard_fields[self.plan.aggregates[rest[0]].columns[0]].oid != types.INT8:
                    return None
                positions.append(self.plan.groups + rest[0])
            else:
                return None
        return positions

    def empty_copy(self) -> GroupTable:
        """An empty table for the same plan."""
        other = copy(self)
        other.groups = {}
        return other

    def key_and_row(self, frame: bytes) -> tuple[object, list]:
        """(key of the group, decoded row of wire values)."""
        row = read_row(frame)
        if len(self._orders) == 1:
            return None if row[0] is None else self._orders[0](row[0]), row
        return tuple(
            [None if v is None else o(v) for o, v in zip(self._orders, row, strict=False)]
        ), row

    def add(self, key: object, row: list) -> None:
        """Fold a row into the group with this key."""
        entry = self.groups.get(key)
        if entry is None:
            entry = self.groups[key] = row[: self.plan.groups] + [None] * len(self._folds)
        for at, fold in self._folds:
            entry[at] = fold(entry[at], row)

    def estimate_bytes(self, frame: bytes) -> int:
        """Estimated memory of a new group in bytes."""
        return 2 * len(frame) + 300 + 100 * len(self._folds)

    def measure_bytes(self) -> int:
        """Estimated memory in bytes of all groups, with their collected values."""
        held = sum(
            len(v) for entry in self.groups.values() for v in entry if isinstance(v, list | dict)
        )
        return held * VALUE_OVERHEAD_BYTES + len(self.groups) * self.estimate_bytes(b"")

    def _values(self, group_values: list[tuple], aggregate_values: list[tuple]) -> list[tuple]:
        found = [
            evaluate(o.expression, group_values, aggregate_values, self.params)
            for o in self.plan.outputs
        ]
        return _as_described(self.described, found)

    def _row(self, group_values: list[tuple], aggregate_values: list[tuple]) -> bytes:
        encoded: list[bytes | None] = []
        size = 0
        values = self._values(group_values, aggregate_values)
        for (oid, value), code in zip(values, self.codes, strict=True):
            encoded.append(None if value is None else types.encode(oid or types.TEXT, code, value))
            size += len(encoded[-1] or b"")
            if size > MAX_ROW_BYTES:
                raise PgError(TOO_LARGE, f"a row of the result has over {MAX_ROW_BYTES} bytes")
        return data_row(encoded)

    def result(self) -> Iterator[list[bytes]]:
        """The output rows in lists, some of them empty where HAVING leaves few rows.

        Between two lists at most about `VALUES_AT_ONCE` values are computed.
        """
        if not self.plan.groups and not self.groups:  # without GROUP BY, no input gives one row
            self.groups[()] = [None] * len(self.plan.aggregates)
        groups_at_once = VALUES_AT_ONCE // max(self.plan.values_per_row, 1)
        groups_at_once = max(1, min(groups_at_once, ROWS_AT_ONCE))
        rows: list[bytes] = []
        size = 0
        for number, entry in enumerate(self.groups.values(), start=1):
            row = self._output_row(entry)
            if row is not None:
                rows.append(row)
                size += len(row)
            if number % groups_at_once == 0 or size >= BYTES_AT_ONCE:
                yield rows
                rows, size = [], 0
        yield rows

    def _output_row(self, entry: list) -> bytes | None:
        """The row of a group; None if HAVING leaves it out."""
        if self._passthrough is not None:
            values = [entry[at] for at in self._passthrough]
            return data_row([str(_int8(v)).encode() if type(v) is int else v for v in values])
        groups, fields = self.plan.groups, self.shard_fields
        group_values = [
            (f.oid, None if v is None else types.decode(f.oid, f.format, v))
            for f, v in zip(fields, entry[:groups], strict=False)
        ]
        aggregate_values = [
            _final(a, fields, entry[groups + i]) for i, a in enumerate(self.plan.aggregates)
        ]
        having = self.plan.having
        if having is not None:
            truth = evaluate(having, group_values, aggregate_values, self.params)[1]
            if truth is not True:
                return None
        return self._row(group_values, aggregate_values)


def _int8(value: int) -> int:
    return check_range(types.INT8, value)


def _grouped(
    plan: MergePlan,
    shard_results: Sequence[ShardRows],
    params: Sequence[object],
    oids: Sequence[int],
    result_formats: tuple[int, ...],
    limit: int | None,
    offset: int,
    described: tuple[Field, ...] | None,
) -> Result:
    table = GroupTable(plan, shard_results[0].fields, params, oids, result_formats, described)
    frames = [frame for shard_result in shard_results for frame in shard_result.rows]
    if plan.distinct_first:
        orders = [types.order_key(f.oid, f.format) for f in shard_results[0].fields]
        first = {
            tuple(None if v is None else o(v) for o, v in zip(orders, read_row(f), strict=True)): f
            for f in frames
        }
        frames = list(first.values())
    for frame in frames:
        table.add(*table.key_and_row(frame))
    rows = [tuple(read_row(frame)) for frames in table.result() for frame in frames]
    rows = _cut(sort_rows(rows, plan.sort, table.fields), limit, offset)
    visible = len(plan.outputs) - plan.hidden_columns
    return Result(
        table.fields[:visible], [data_row(row[:visible]) for row in rows], f"SELECT {len(rows)}"
    )


def _as_described(described: tuple[Field, ...] | None, values: list[tuple]) -> list[tuple]:
    if described is None:
        return values
    return [cast_to_described(f.oid, v) for f, v in zip(described, values, strict=False)] + values[
        len(described) :
    ]


def _codes(result_formats: tuple[int, ...], count: int) -> tuple[int, ...]:
    if len(result_formats) <= 1:
        return (result_formats[0] if result_formats else 0,) * count
    if len(result_formats) != count:
        raise PgError("08P01", f"{len(result_formats)} result formats for {count} columns")
    return result_formats


def _fields(plan: MergePlan, values: Sequence[tuple], codes: Sequence[int]) -> list[Field]:
    return [
        Field(o.name, oid or types.TEXT, types.BINARY_SIZES.get(oid, -1), format=code)
        for o, (oid, _), code in zip(plan.outputs, values, codes, strict=True)
    ]
