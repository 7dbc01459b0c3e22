"""Binary format of the numeric type."""

from __future__ import annotations

import struct
from decimal import Decimal

from tansycrank.postgres.types.number_ranges import check_numeric

HEADER = struct.Struct("!hhHh")  # number of digits, weight, sign, scale
DIGIT_BASE = 10000
DIGITS_PER_GROUP = 4  # decimal digits of a digit in that base
MAX_SCALE_ZEROS = 100  # zeros that are written behind a value to keep its scale
SIGN_NEGATIVE = 0x4000
SIGN_NAN = 0xC000
SIGN_INFINITY = 0xD000
SIGN_NEGATIVE_INFINITY = 0xF000


def decode_numeric(data: bytes) -> Decimal:
    """Decodes a value in binary format: base-10000 digits with weight, sign and scale.

    Its digits are those of the message: zeros that the weight merely names stay an exponent, and
    so do those of a scale that needs more than `MAX_SCALE_ZEROS`. Raises struct.error, ValueError
    or PgError 22003.
    """
    count, weight, sign, scale = HEADER.unpack_from(data)
    if sign == SIGN_NAN:
        return Decimal("NaN")
    if sign in (SIGN_INFINITY, SIGN_NEGATIVE_INFINITY):
        return Decimal("Infinity" if sign == SIGN_INFINITY else "-Infinity")
    groups = struct.unpack_from(f"!{count}h", data, HEADER.size)
    if scale < 0 or any(not 0 <= group < DIGIT_BASE for group in groups):
        raise ValueError("not a numeric")
    digits = "".join(f"{group:04}" for group in groups)
    exponent = (weight - count + 1) * DIGITS_PER_GROUP
    zeros = exponent + scale
    if zeros < 0:
        digits, exponent = digits[:zeros], -scale
    elif scale and zeros <= MAX_SCALE_ZEROS:
        digits, exponent = digits + "0" * zeros, -scale
    is_negative = sign == SIGN_NEGATIVE
    value = Decimal(f"{'-' * is_negative}{digits or '0'}E{exponent}")
    return check_numeric(value, min(exponent, -scale))


def encode_numeric(value: Decimal) -> bytes:
    """Encodes a value in binary format."""
    if value.is_nan():
        return HEADER.pack(0, 0, SIGN_NAN, 0)
    if value.is_infinite():
        return HEADER.pack(0, 0, SIGN_INFINITY if value > 0 else SIGN_NEGATIVE_INFINITY, 0)
    sign, digits, exponent = value.as_tuple()
    scale = max(-exponent, 0)
    text = "".join(map(str, digits)) + "0" * max(exponent, 0)
    whole, fraction = (text[:-scale], text[-scale:].rjust(scale, "0")) if scale else (text, "")
    whole = whole.rjust(-(-len(whole) // 4) * 4, "0")
    fraction = fraction.ljust(-(-len(fraction) // 4) * 4, "0")
    groups = [int((whole + fraction)[i : i + 4]) for i in range(0, len(whole + fraction), 4)]
    weight = len(whole) // 4 - 1
    while groups and groups[0] == 0:
        groups.pop(0)
        weight -= 1
    while groups and groups[-1] == 0:
        groups.pop()
    head = HEADER.pack(
        len(groups), weight if groups else 0, SIGN_NEGATIVE if sign and groups else 0, scale
    )
    return head + struct.pack(f"!{len(groups)}h", *groups)
