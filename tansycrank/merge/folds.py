"""Fold functions of aggregates: `(state, row) -> state`, where None is the empty state.

The same functions combine partial results of shards and single values.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansycrank.merge.values import add
from tansycrank.postgres import types

Fold = Callable[[object, Sequence[bytes | None]], object]
BOOL_COMBINERS = {"bool_and": lambda a, b: a and b, "bool_or": lambda a, b: a or b}


def min_max(kind: str, column: int, oid: int, format_code: int) -> Fold:
    """Fold of min or max; the state is (sort key, wire value)."""
    order, least = types.order_key(oid, format_code), kind == "min"

    def fold(state, row):
        raw = row[column]
        if raw is None:
            return state
        key = order(raw)
        if state is None or (key < state[0] if least else key > state[0]):
            return key, raw
        return state

    return fold


def mean(column: int, oid: int, format_code: int, count_column: int = -1) -> Fold:
    """Fold of avg; the state is (sum, count).

    `count_column` is the column of a partial count, -1 for single values.
    """
    decode = types.decoder(oid, format_code)

    def fold(state, row):
        if row[column] is None:
            return state
        value, count = decode(row[column]), int(row[count_column]) if count_column >= 0 else 1
        return (value, count) if state is None else (add(state[0], value), state[1] + count)

    return fold


def running_value(kind: str, column: int, oid: int, format_code: int) -> Fold:
    """Fold of sum, partial counts, bool_and and bool_or; the state is the value so far."""
    decode = types.decoder(oid, format_code)
    combine = BOOL_COMBINERS.get(kind) or (int.__add__ if oid in types.INTEGER_TYPES else add)

    def fold(state, row):
        raw = row[column]
        if raw is None:
            return state
        value = decode(raw)
        return value if state is None else combine(state, value)

    return fold
