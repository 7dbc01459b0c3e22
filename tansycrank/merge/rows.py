"""Merging parts held in memory. Rows are DataRow frames; only columns that a key needs are decoded.

Ties are broken by the number of the part, then by the order of its rows: one answer is always the
same.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from copy import copy
from dataclasses import dataclass

from tansycrank.merge import collected, folds
from tansycrank.merge.values import as_told, check_range, divide, evaluate
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError, unsupported
from tansycrank.postgres.messages import Field, data_row, read_row
from tansycrank.sql.plan import Aggregate, MergePlan, Scalar, SortKey


@dataclass(slots=True)
class ShardRows:
    """What one part brought: its columns, its rows as frames, its command tag."""

    fields: tuple[Field, ...]
    rows: list[bytes]
    tag: str = ""


@dataclass(slots=True)
class Result:
    """An answer: columns (None for a statement without rows), row frames, and the command tag."""

    fields: tuple[Field, ...] | None
    rows: Sequence[bytes]
    tag: str
    stream: object = (
        None  # a RowStream in the place of `rows`, for answers too large to be made at once
    )
    memory: object = None  # what is held for it until it has been written out


def shard_formats(plan: MergePlan | None, results: tuple[int, ...]) -> tuple[int, ...]:
    """The formats to ask of the nodes, for those the client wants."""
    if plan is None:
        return results
    if plan.kind == "grouped":
        return ()
    return results + (0,) * plan.hidden if len(results) > 1 else results


def scalar(value: Scalar, params: Sequence[object], what: str) -> int | None:
    """LIMIT or OFFSET for these parameters."""
    found = params[value.param - 1] if value.param else value.value
    if found is None:
        return None
    try:
        number = int(found)
    except (TypeError, ValueError):
        raise PgError("22P02", f"invalid {what}: {found!r}") from None
    if number < 0:
        raise PgError("2201W" if what == "LIMIT" else "2201X", f"{what} must not be negative")
    return number


def merge(
    plan: MergePlan,
    shard_results: Sequence[ShardRows],
    params: Sequence[object],
    oids: Sequence[int],
    results: tuple[int, ...],
    told: tuple[Field, ...] | None = None,
) -> Result:
    """One answer of all parts.

    `params` are decoded values, `results` the formats the client wants, `told` the columns it has
    been told.
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
        return _grouped(plan, shard_results, params, oids, results, limit, offset, told)
    return _plain(plan, shard_results, limit, offset)


def _cut(rows: list, limit: int | None, offset: int) -> list:
    return rows[offset:] if limit is None else rows[offset : offset + limit]


def sort_rows(
    rows: list[tuple], keys: Sequence[SortKey], fields: Sequence[Field], offset: int = 0
) -> list[tuple]:
    """Sort tuples whose item `offset` + column holds a wire value or None. Stable."""
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
    visible = fields[: len(fields) - plan.hidden] if plan.hidden else fields
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
    if plan.hidden:
        frames = [data_row(row[1 : len(visible) + 1]) for row in rows]
    else:
        frames = [row[0] for row in rows]
    return Result(visible, frames, f"SELECT {len(frames)}")


VALUE_COST = 220  # bytes a value that is kept takes, with its key


def _fold(spec: Aggregate, fields: Sequence[Field]) -> folds.Fold:
    """How one more part's row changes the state of an aggregate."""
    if spec.raw:
        return collected.fold(spec, fields)
    column = spec.columns[0]
    oid, code = fields[column].oid, fields[column].format
    if spec.kind in ("min", "max"):
        if oid in types.TEXT_TYPES and not spec.collated:
            raise unsupported(f"{spec.kind}() of a text expression", 'add COLLATE "C" to it')
        return folds.extreme(spec.kind, column, oid, code)
    if spec.kind == "avg":
        return folds.mean(column, oid, code, spec.columns[1])
    return folds.running(spec.kind, column, oid, code)


def _final(spec: Aggregate, fields: Sequence[Field], state: object) -> tuple[int, object]:
    """(type, value) of a finished aggregate."""
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
    """Groups and their running aggregates; `result` gives rows of the answer, with hidden sort
    columns.
    """

    def __init__(
        self,
        plan: MergePlan,
        fields: Sequence[Field],
        params: Sequence[object],
        oids: Sequence[int],
        results: tuple[int, ...],
        told: tuple[Field, ...] | None,
    ) -> None:
        self.plan, self.shard_fields, self.told = plan, fields, told
        self.params = list(zip(oids, params, strict=True))
        width = len(plan.outputs)
        self.codes = _codes(results, width - plan.hidden) + (0,) * plan.hidden
        self._orders = [types.order_key(f.oid, f.format) for f in fields[: plan.groups]]
        self._folds = [(plan.groups + i, _fold(a, fields)) for i, a in enumerate(plan.aggregates)]
        self._plain = self._passed_on()
        self.retains = any(collected.retains(a) for a in plan.aggregates)
        self.groups: dict[object, list] = {}  # raw group columns, then a state an aggregate
        heads = [(f.oid, None) for f in fields[: plan.groups]]
        empty = self._values(heads, [_final(a, fields, None) for a in plan.aggregates])
        self.fields = tuple(_fields(plan, empty, self.codes))

    def _passed_on(self) -> list[int] | None:
        """Where each output stands in a group's list, if all are groups or plain integers; else
        None.
        """
        if self.plan.having is not None or any(self.codes) or self.told is not None:
            return None
        places = []
        for output in self.plan.outputs:
            kind, *rest = output.expression
            if kind == "group" and self.shard_fields[rest[0]].format == 0:
                places.append(rest[0])
            elif kind == "agg" and self.plan.aggregates[rest[0]].kind in ("count", "sum"):
                if self.plan.aggregates[rest[0]].raw:
                    return None
                if self.shard_fields[self.plan.aggregates[rest[0]].columns[0]].oid != types.INT8:
                    return None
                places.append(self.plan.groups + rest[0])
            else:
                return None
        return places

    def fresh(self) -> GroupTable:
        """An empty table of the same plan."""
        other = copy(self)
        other.groups = {}
        return other

    def split(self, frame: bytes) -> tuple[object, list]:
        """(what tells the group apart, the row)."""
        row = read_row(frame)
        if len(self._orders) == 1:
            return None if row[0] is None else self._orders[0](row[0]), row
        return tuple(
            [None if v is None else o(v) for o, v in zip(self._orders, row, strict=False)]
        ), row

    def add(self, key: object, row: list) -> None:
        """A part's row of this group."""
        entry = self.groups.get(key)
        if entry is None:
            entry = self.groups[key] = row[: self.plan.groups] + [None] * len(self._folds)
        for at, fold in self._folds:
            entry[at] = fold(entry[at], row)

    def cost(self, frame: bytes) -> int:
        """Bytes a new group takes, about."""
        return 2 * len(frame) + 300 + 100 * len(self._folds)

    def measured(self) -> int:
        """Bytes its groups take, about, where they hold values."""
        held = sum(
            len(v) for entry in self.groups.values() for v in entry if isinstance(v, list | dict)
        )
        return held * VALUE_COST + len(self.groups) * self.cost(b"")

    def _values(self, heads: list[tuple], totals: list[tuple]) -> list[tuple]:
        found = [evaluate(o.expression, heads, totals, self.params) for o in self.plan.outputs]
        return _told(self.told, found)

    def _row(self, heads: list[tuple], totals: list[tuple]) -> bytes:
        values = zip(self._values(heads, totals), self.codes, strict=True)
        return data_row(
            [None if v is None else types.encode(oid or types.TEXT, c, v) for (oid, v), c in values]
        )

    def result(self) -> Iterator[list[bytes]]:
        """Rows, some at a time."""
        groups, fields, aggregates = self.plan.groups, self.shard_fields, self.plan.aggregates
        out: list[bytes] = []
        having = self.plan.having
        if not groups and not self.groups:  # aggregates over nothing are still one row
            self.groups[()] = [None] * len(aggregates)
        for entry in self.groups.values():
            if self._plain is not None:
                values = [entry[at] for at in self._plain]
                out.append(
                    data_row([str(_int8(v)).encode() if type(v) is int else v for v in values])
                )
            else:
                heads = [
                    (f.oid, None if v is None else types.decode(f.oid, f.format, v))
                    for f, v in zip(fields, entry[:groups], strict=False)
                ]
                totals = [_final(a, fields, entry[groups + i]) for i, a in enumerate(aggregates)]
                if having is None or evaluate(having, heads, totals, self.params)[1] is True:
                    out.append(self._row(heads, totals))
            if len(out) >= 200:
                yield out
                out = []
        yield out


def _int8(value: int) -> int:
    return check_range(types.INT8, value)


def _grouped(
    plan: MergePlan,
    shard_results: Sequence[ShardRows],
    params: Sequence[object],
    oids: Sequence[int],
    results: tuple[int, ...],
    limit: int | None,
    offset: int,
    told: tuple[Field, ...] | None,
) -> Result:
    table = GroupTable(plan, shard_results[0].fields, params, oids, results, told)
    frames = [frame for shard_result in shard_results for frame in shard_result.rows]
    if plan.distinct_first:
        orders = [types.order_key(f.oid, f.format) for f in shard_results[0].fields]
        first = {
            tuple(None if v is None else o(v) for o, v in zip(orders, read_row(f), strict=True)): f
            for f in frames
        }
        frames = list(first.values())
    for frame in frames:
        table.add(*table.split(frame))
    rows = [tuple(read_row(frame)) for frames in table.result() for frame in frames]
    rows = _cut(sort_rows(rows, plan.sort, table.fields), limit, offset)
    visible = len(plan.outputs) - plan.hidden
    return Result(
        table.fields[:visible], [data_row(row[:visible]) for row in rows], f"SELECT {len(rows)}"
    )


def _told(told: tuple[Field, ...] | None, values: list[tuple]) -> list[tuple]:
    if told is None:
        return values
    return [as_told(f.oid, v) for f, v in zip(told, values, strict=False)] + values[len(told) :]


def _codes(results: tuple[int, ...], count: int) -> tuple[int, ...]:
    if len(results) <= 1:
        return (results[0] if results else 0,) * count
    if len(results) != count:
        raise PgError("08P01", f"{len(results)} result formats for {count} columns")
    return results


def _fields(plan: MergePlan, values: Sequence[tuple], codes: Sequence[int]) -> list[Field]:
    return [
        Field(o.name, oid or types.TEXT, types.BINARY_SIZES.get(oid, -1), format=code)
        for o, (oid, _), code in zip(plan.outputs, values, codes, strict=True)
    ]
