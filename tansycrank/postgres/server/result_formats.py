"""Conversion of result columns to the formats (text or binary) requested by Bind."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import PROTOCOL_VIOLATION, PgError

TEXT_FORMAT = 0
BINARY_FORMAT = 1
DATA_ROW_TYPE = b"D"


def apply_formats(fields: Sequence[pg.Field], formats: tuple[int, ...]) -> tuple[pg.Field, ...]:
    """Set column formats: none means all text, one applies to all, else one per column."""
    codes = formats * len(fields) if len(formats) == 1 else formats or (TEXT_FORMAT,) * len(fields)
    if len(codes) != len(fields):
        raise PgError(PROTOCOL_VIOLATION, f"{len(codes)} result formats for {len(fields)} columns")
    return tuple(replace(field, format=code) for field, code in zip(fields, codes, strict=True))


def description(fields: Sequence[pg.Field] | None) -> bytes:
    """Encode RowDescription, or NoData for a statement that returns no rows."""
    return pg.NO_DATA if fields is None else pg.row_description(fields)


def convert_rows(fields: Sequence[pg.Field], messages: list[bytes]) -> list[bytes]:
    """Convert text DataRow messages to the column formats; the last message is a command tag."""
    converted = [_convert_row(fields, message) for message in messages[:-1]]
    return [*converted, messages[-1]]


def _convert_row(fields: Sequence[pg.Field], message: bytes) -> bytes:
    if message[:1] != DATA_ROW_TYPE:
        return message
    values = pg.read_row(message)
    return pg.data_row(
        [_convert(field, value) for value, field in zip(values, fields, strict=True)]
    )


def _convert(field: pg.Field, value: bytes | None) -> bytes | None:
    if value is None or not field.format:
        return value
    return types.encode(field.oid, BINARY_FORMAT, types.decode(field.oid, TEXT_FORMAT, value))
