"""Binary format of the numeric type."""

from __future__ import annotations

import struct
from decimal import Decimal

HEADER = struct.Struct("!hhHh")  # number of digits, weight, sign, scale
DIGIT_BASE = 10000
SIGN_NEGATIVE = 0x4000
SIGN_NAN = 0xC000
SIGN_INFINITY = 0xD000
SIGN_NEGATIVE_INFINITY = 0xF000


def decode_numeric(data: bytes) -> Decimal:
    """Decodes a value in binary format: base-10000 digits with weight, sign and scale."""
    count, weight, sign, scale = HEADER.unpack_from(data)
    if sign == SIGN_NAN:
        return Decimal("NaN")
    if sign in (SIGN_INFINITY, SIGN_NEGATIVE_INFINITY):
        return Decimal("Infinity" if sign == SIGN_INFINITY else "-Infinity")
    digits = struct.unpack_from(f"!{count}h", data, HEADER.size)
    total = 0
    for digit in digits:
        total = total * DIGIT_BASE + digit
    exponent = (weight - count + 1) * 4
    if exponent < -scale:
        total, exponent = total // 10 ** (-scale - exponent), -scale
    elif exponent > -scale:
        total, exponent = total * 10 ** (exponent + scale), -scale
    return Decimal((1 if sign == SIGN_NEGATIVE else 0, tuple(int(c) for c in str(total)), exponent))


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
