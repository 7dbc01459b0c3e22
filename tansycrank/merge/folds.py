"""How one more row changes the running state of an aggregate: `(state, row) -> state`, None the
empty state.

Partial results of parts and plain values are folded alike.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansycrank.merge.values import add
from tansycrank.postgres import types

Fold = Callable[[object, Sequence[bytes | None]], object]
TRUTH = {"bool_and": lambda a, b: a and b, "bool_or": lambda a, b: a or b}


def extreme(kind: str, column: int, oid: int, code: int) -> Fold:
    """min or max; the state is (key, wire value)."""
    order, least = types.order_key(oid, code), kind == "min"

    def fold(state, row):
        raw = row[column]
        if raw is None:
            return state
        key = order(raw)
        if state is None or (key < state[0] if least else key > state[0]):
            return key, raw
        return state

    return fold


def mean(column: int, oid: int, code: int, number: int = -1) -> Fold:
    """avg; the state is (sum, count). `number`: the column of a partial count, -1 for single
    values.
    """
    decode = types.decoder(oid, code)

    def fold(state, row):
        if row[column] is None:
            return state
        value, count = decode(row[column]), int(row[number]) if number >= 0 else 1
        return (value, count) if state is None else (add(state[0], value), state[1] + count)

    return fold


def running(kind: str, column: int, oid: int, code: int) -> Fold:
    """sum, counts to be added, bool_and, bool_or; the state is the value."""
    decode = types.decoder(oid, code)
    combine = TRUTH.get(kind) or (int.__add__ if oid in types.INTEGER_TYPES else add)

    def fold(state, row):
        raw = row[column]
        if raw is None:
            return state
        value = decode(raw)
        return value if state is None else combine(state, value)

    return fold
