"""Exact aggregates over all values of a group: DISTINCT, array_agg, string_agg, percentiles.

A state is a list of (sort keys, wire value), or for DISTINCT a dict from key to wire value; its
size counts towards the memory of the query. Aggregates with a constant-size state over raw rows
(count, deviations and the like) are here as well.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansycrank.merge import folds
from tansycrank.merge.values import EXACT, divide, numeric_deviation, percentile, sum_of, sum_type
from tansycrank.postgres import types
from tansycrank.postgres.errors import unsupported
from tansycrank.postgres.messages import Field
from tansycrank.sql.plan import Aggregate

DEVIATIONS = ("stddev", "stddev_samp", "stddev_pop", "variance", "var_samp", "var_pop")
FLOATS = (types.FLOAT4, types.FLOAT8)
COLLECTING = ("array_agg", "string_agg", "percentile_cont", "percentile_disc")


def grows_per_row(spec: Aggregate) -> bool:
    """Whether the state of the aggregate grows with each row."""
    return spec.raw and (spec.distinct or spec.kind in COLLECTING)


def fold(spec: Aggregate, fields: Sequence[Field]) -> Callable:
    """The function (state, row) -> state of an aggregate; None is the empty state."""
    column = spec.columns[0] if spec.columns else -1
    apply = _unfiltered_fold(spec, fields, column)
    if spec.filter < 0:
        return apply
    decode_bool = types.decoder(types.BOOL, fields[spec.filter].format)

    def filtered(state, row):
        raw = row[spec.filter]
        return apply(state, row) if raw is not None and decode_bool(raw) else state

    return filtered


def _unfiltered_fold(spec: Aggregate, fields: Sequence[Field], column: int) -> Callable:
    if spec.kind == "count" and not spec.distinct:
        return lambda state, row: (state or 0) + (column < 0 or row[column] is not None)
    field = fields[column]
    decode = types.decoder(field.oid, field.format)
    if spec.distinct:
        order = types.order_key(field.oid, field.format)

        def distinct(state, row):
            raw = row[column]
            if raw is None and spec.kind != "array_agg":
                return state
            state = {} if state is None else state
            state.setdefault(None if raw is None else order(raw), raw)
            return state

        return distinct
    if spec.kind in COLLECTING:
        keys = [
            (k, types.order_key(fields[k.column].oid, fields[k.column].format)) for k in spec.order
        ]

        def collect(state, row):
            raw = row[column]
            if raw is None and spec.kind != "array_agg":
                return state
            state = [] if state is None else state
            sort_keys = [
                None if row[k.column] is None else order(row[k.column]) for k, order in keys
            ]
            state.append((sort_keys, raw))
            return state

        return collect
    if spec.kind in ("min", "max"):
        return folds.min_max(spec.kind, column, field.oid, field.format)
    if spec.kind in DEVIATIONS:
        step = _youn_cramer if field.oid in FLOATS else _add_squares

        def deviation(state, row):
            return state if row[column] is None else step(state, decode(row[column]))

        return deviation
    if spec.kind == "avg":
        return folds.mean(column, field.oid, field.format)
    return folds.running_value(spec.kind, column, field.oid, field.format)


def _add_squares(state, value):
    number = types.Decimal(value)
    count, total, squares = state or (0, types.Decimal(0), types.Decimal(0))
    return count + 1, EXACT.add(total, number), EXACT.add(squares, EXACT.multiply(number, number))


def _youn_cramer(state, value):
    """Add one float by the Youngs-Cramer algorithm, as float8_accum of PostgreSQL does."""
    count, total, squares = state or (0, 0.0, 0.0)
    count, total = count + 1, total + value
    if count > 1:
        squares += (value * count - total) ** 2 / (count * (count - 1))
    return count, total, squares


def _deviation(kind: str, oid: int, state) -> tuple[int, object]:
    sum_type(oid)
    if oid not in FLOATS:
        return types.NUMERIC, None if state is None else numeric_deviation(kind, *state)
    sample = not kind.endswith("_pop")
    if state is None or state[0] <= sample:
        return types.FLOAT8, None
    variance = state[2] / (state[0] - sample)
    return types.FLOAT8, variance if kind.startswith("var") else variance**0.5


def final(spec: Aggregate, fields: Sequence[Field], state) -> tuple[int, object]:
    """(type OID, value) of an aggregate from its final state."""
    if spec.kind == "count":
        return types.INT8, len(state or ()) if spec.distinct else state or 0
    field = fields[spec.columns[0]]
    oid, decode = field.oid, types.decoder(field.oid, field.format)
    if spec.kind in COLLECTING:
        return _final_collected(spec, fields, state)
    if spec.kind in DEVIATIONS:
        if spec.distinct:
            step, values, state = _youn_cramer if oid in FLOATS else _add_squares, state or {}, None
            for raw in values.values():
                state = step(state, decode(raw))
        return _deviation(spec.kind, oid, state)
    if spec.kind in ("min", "max"):
        if spec.distinct and state:
            return oid, decode(state[(min if spec.kind == "min" else max)(state)])
        return oid, decode(state[1]) if state else None
    if spec.kind in ("bool_and", "bool_or"):
        if spec.distinct:
            found = [decode(raw) for raw in (state or {}).values()]
            return oid, None if not found else all(found) if spec.kind == "bool_and" else any(found)
        return oid, state
    values = [decode(raw) for raw in state.values()] if spec.distinct and state else None
    if spec.kind == "sum":
        return sum_type(oid), sum_of(oid, values) if spec.distinct and values else (
            None if spec.distinct or state is None else sum_of(oid, [state])
        )
    total, number = (sum_of(oid, values), len(values)) if values else state or (None, 0)
    sum_type(oid)
    if oid in (types.FLOAT4, types.FLOAT8):
        return types.FLOAT8, None if total is None else total / number
    return types.NUMERIC, None if total is None else divide(types.Decimal(total), number)


def _final_collected(spec: Aggregate, fields: Sequence[Field], state) -> tuple[int, object]:
    field = fields[spec.columns[0]]
    decode = types.decoder(field.oid, field.format)
    if spec.distinct:  # in sorted order, as PostgreSQL removes duplicates by sorting
        order = sorted(k for k in state or () if k is not None)
        raws = [state[k] for k in order] + ([None] if state and None in state else [])
    else:
        rows = list(state or ())
        for index in reversed(range(len(spec.order))):
            key = spec.order[index]
            flag = key.nulls_first == key.descending
            rows.sort(
                key=lambda r, i=index, f=flag: (f, 0) if r[0][i] is None else (not f, r[0][i]),
                reverse=key.descending,
            )
        raws = [raw for _, raw in rows]
    if spec.kind == "array_agg":
        if field.oid not in types.ARRAY_TYPES:
            raise unsupported(f"array_agg() of type {types.type_name(field.oid)}")
        return types.ARRAY_TYPES[field.oid], [
            None if r is None else decode(r) for r in raws
        ] if raws else None
    if spec.kind == "string_agg":
        if field.oid not in types.TEXT_TYPES:
            raise unsupported(f"string_agg() of type {types.type_name(field.oid)}")
        return types.TEXT, str(spec.constant or "").join(decode(r) for r in raws) if raws else None
    if spec.kind == "percentile_cont" and field.oid not in types.NUMERIC_TYPES:
        raise unsupported(f"percentile_cont() of type {types.type_name(field.oid)}")
    value = percentile(spec.kind, spec.constant, [decode(r) for r in raws])
    return types.FLOAT8 if spec.kind == "percentile_cont" else field.oid, value
