"""Sort keys of DataRow frames, in the order that PostgreSQL gives their values."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansycrank.postgres import types
from tansycrank.postgres.messages import INT32, Field
from tansycrank.sql.plan import SortKey

FIRST_VALUE = 7  # offset in a DataRow frame, behind its type, length and number of columns
LENGTH_BYTES = 4  # of the length in front of each value

ValueKey = Callable[[bytes | None], object]


class ReverseOrder:
    """Wraps a sort key so that it compares in descending order."""

    __slots__ = ("value",)

    def __init__(self, value: object) -> None:
        self.value = value

    def __lt__(self, other: ReverseOrder) -> bool:
        return other.value < self.value

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ReverseOrder) and self.value == other.value


def sort_key_function(
    keys: Sequence[SortKey], fields: Sequence[Field]
) -> Callable[[bytes], object]:
    """A function from a row frame to a key that sorts ascending in PostgreSQL's order.

    A frame is scanned once, however many keys there are. A key of a column that an earlier key
    names too decides nothing and is left out.
    """
    by_column: dict[int, ValueKey] = {}
    for key in keys:
        column = key.column if key.column >= 0 else len(fields) + key.column
        if column not in by_column:
            by_column[column] = _value_key(key, fields[column])
    if len(by_column) == 1:
        [(only_column, only_key)] = by_column.items()
        return lambda frame: only_key(_value_at(frame, only_column))
    column_keys = list(by_column.items())
    count = max(by_column) + 1

    def row_key(frame: bytes) -> tuple:
        values = _leading_values(frame, count)
        return tuple([value_key(values[column]) for column, value_key in column_keys])

    return row_key


def _value_at(frame: bytes, column: int) -> bytes | None:
    """One value of a row frame, without decoding the others."""
    offset, unpack = FIRST_VALUE, INT32.unpack_from
    for _ in range(column):
        size = unpack(frame, offset)[0]
        offset += LENGTH_BYTES + size if size > 0 else LENGTH_BYTES
    size = unpack(frame, offset)[0]
    offset += LENGTH_BYTES
    return None if size < 0 else frame[offset : offset + size]


def _leading_values(frame: bytes, count: int) -> list[bytes | None]:
    """The first values of a row frame; NULL is None."""
    values: list[bytes | None] = []
    offset, unpack = FIRST_VALUE, INT32.unpack_from
    for _ in range(count):
        size = unpack(frame, offset)[0]
        offset += LENGTH_BYTES
        if size < 0:
            values.append(None)
        else:
            values.append(frame[offset : offset + size])
            offset += size
    return values


def _value_key(key: SortKey, field: Field) -> ValueKey:
    """A function from a value on the wire, or None for NULL, to its key."""
    order, descending = types.order_key(field.oid, field.format), key.descending
    if field.oid in types.INTEGER_TYPES:  # compared as plain numbers, with NULL as an infinity
        null = float("-inf") if key.nulls_first else float("inf")
        sign = -1 if descending else 1
        return lambda value: null if value is None else sign * order(value)
    null_key = (0,) if key.nulls_first else (2,)
    if descending:
        return lambda value: null_key if value is None else (1, ReverseOrder(order(value)))
    return lambda value: null_key if value is None else (1, order(value))
