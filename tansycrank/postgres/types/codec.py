"""Converts values between wire and Python in both formats (code 0 text, 1 binary)."""

from __future__ import annotations

import struct
from collections.abc import Callable
from decimal import InvalidOperation
from functools import partial

from tansycrank.postgres.errors import INVALID_BINARY, INVALID_TEXT, PgError
from tansycrank.postgres.types import binary_format, text_format
from tansycrank.postgres.types.arrays import (
    ArrayTextParser,
    decode_array,
    encode_array,
    format_array,
)
from tansycrank.postgres.types.number_ranges import parse_integers, parse_numeric
from tansycrank.postgres.types.oids import ARRAY_ELEMENTS, INTEGER_TYPES, NUMERIC, type_name

TEXT_CODE = 0
BINARY_CODE = 1
MAX_SHOWN_BYTES = 40  # prefix of an invalid value shown in the error message


def decode(oid: int, code: int, data: bytes) -> object:
    """Decodes a value in text or binary format. Raises PgError 22P02 or 22P03."""
    try:
        if code == TEXT_CODE:
            return _decode_text(oid, data.decode())
        if oid in ARRAY_ELEMENTS:
            element = ARRAY_ELEMENTS[oid]
            return decode_array(data, element, partial(decode, element, BINARY_CODE))
        return binary_format.decode_value(oid, data)
    except (ValueError, struct.error, InvalidOperation, IndexError, OverflowError):
        state = INVALID_BINARY if code else INVALID_TEXT
        shown = f"{data[:MAX_SHOWN_BYTES]!r}"
        raise PgError(state, f"invalid value for type {type_name(oid)}: {shown}") from None


def _decode_text(oid: int, text: str) -> object:
    if oid in ARRAY_ELEMENTS:
        element = ARRAY_ELEMENTS[oid]
        parse_many = partial(parse_integers, element) if element in INTEGER_TYPES else None
        return ArrayTextParser(partial(text_format.parse_value, element), parse_many).parse(text)
    return text_format.parse_value(oid, text)


def decoder(oid: int, code: int) -> Callable[[bytes], object]:
    """Returns a decode function for one type.

    It may skip validation, because the values come from data nodes.
    """
    if code == TEXT_CODE and oid in INTEGER_TYPES:
        return int
    if code == TEXT_CODE and oid == NUMERIC:
        return lambda data: parse_numeric(data.decode())
    return lambda data: decode(oid, code, data)


def encode(oid: int, code: int, value: object) -> bytes:
    """Encodes a value in text or binary format. Raises PgError 22003 if it is out of range."""
    if code == TEXT_CODE:
        return _encode_text(oid, value)
    if oid in ARRAY_ELEMENTS:
        element = ARRAY_ELEMENTS[oid]
        return encode_array(value, element, lambda inner: encode(element, BINARY_CODE, inner))
    return binary_format.encode_value(oid, value)


def _encode_text(oid: int, value: object) -> bytes:
    if isinstance(value, bool):
        return b"t" if value else b"f"
    if oid in ARRAY_ELEMENTS:
        element = ARRAY_ELEMENTS[oid]
        return format_array(value, lambda inner: encode(element, TEXT_CODE, inner)).encode()
    return text_format.format_value(oid, value).encode()
