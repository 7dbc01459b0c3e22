"""Text format of all types except arrays."""

from __future__ import annotations

import math
import re
import struct
import uuid as uuid_module
from collections.abc import Callable
from decimal import Decimal
from functools import partial

from tansycrank.postgres.types.number_ranges import parse_integer, parse_numeric
from tansycrank.postgres.types.oids import (
    BOOL,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    NUMERIC,
    OID,
    TIMESTAMP,
    TIMESTAMPTZ,
    UUID,
)
from tansycrank.postgres.types.temporal import (
    format_date,
    format_timestamp,
    parse_date,
    parse_timestamp,
)

BYTE_ESCAPE = re.compile(rb"\\(\\|[0-7]{3})")  # of bytea in its escape format
OCTAL_ESCAPE = re.compile(rb"\\[0-7]{3}")


def _parse_bool(text: str) -> bool:
    lowered = text.strip().lower()
    if lowered and (
        "true".startswith(lowered) or "yes".startswith(lowered) or lowered in ("on", "1")
    ):
        return True
    if lowered and (
        "false".startswith(lowered) or "no".startswith(lowered) or lowered in ("off", "0")
    ):
        return False
    raise ValueError(text)


def _parse_bytea(text: str) -> bytes:
    if text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    data = text.encode()
    if not OCTAL_ESCAPE.search(data):
        return data.replace(b"\\\\", b"\\")
    return BYTE_ESCAPE.sub(lambda m: b"\\" if m[1] == b"\\" else bytes([int(m[1], 8)]), data)


PARSERS: dict[int, Callable[[str], object]] = {
    BOOL: _parse_bool,
    BYTEA: _parse_bytea,
    INT2: partial(parse_integer, INT2),
    INT4: partial(parse_integer, INT4),
    INT8: partial(parse_integer, INT8),
    OID: partial(parse_integer, OID),
    FLOAT4: float,
    FLOAT8: float,
    NUMERIC: parse_numeric,
    DATE: parse_date,
    TIMESTAMP: lambda text: parse_timestamp(text, False),
    TIMESTAMPTZ: lambda text: parse_timestamp(text, True),
    UUID: lambda text: uuid_module.UUID(text).bytes,
}


def parse_value(oid: int, text: str) -> object:
    """Parses a value in text format; types without a parser remain text."""
    return PARSERS[oid](text) if oid in PARSERS else text


def _format_float(value: float, oid: int) -> str:
    if math.isnan(value):
        return "NaN"
    if math.isinf(value):
        return "Infinity" if value > 0 else "-Infinity"
    text = repr(value)
    if oid == FLOAT4:
        for digits in range(6, 10):
            text = f"{value:.{digits}g}"
            if struct.pack("!f", float(text)) == struct.pack("!f", value):
                break
    return text[:-2] if text.endswith(".0") else text


def _format_numeric(value: object) -> str:
    return format(Decimal(value), "f") if Decimal(value).is_finite() else str(value)


FORMATTERS: dict[int, Callable[[object], str]] = {
    FLOAT4: lambda value: _format_float(float(value), FLOAT4),
    FLOAT8: lambda value: _format_float(float(value), FLOAT8),
    NUMERIC: _format_numeric,
    DATE: format_date,
    TIMESTAMP: lambda value: format_timestamp(value, False),
    TIMESTAMPTZ: lambda value: format_timestamp(value, True),
    BYTEA: lambda value: "\\x" + value.hex(),
    UUID: lambda value: str(uuid_module.UUID(bytes=value)),
}


def format_value(oid: int, value: object) -> str:
    """Encodes a value in text format."""
    return FORMATTERS[oid](value) if oid in FORMATTERS else str(value)
