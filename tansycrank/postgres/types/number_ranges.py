"""Ranges of the number types, checked before anything is computed from a number of outside.

The cost of an integer grows with the square of its digits, and an exponent of a few digits names a
number of any size. The limits are those of PostgreSQL ("Numeric Types"); a number beyond them is
an error 22003.
"""

from __future__ import annotations

import re
from decimal import Decimal, InvalidOperation

from tansycrank.postgres.errors import OUT_OF_RANGE, PgError
from tansycrank.postgres.types.oids import INT2, INT4, INT8, OID, type_name

INTEGER_RANGES = {
    INT2: range(-(2**15), 2**15),
    INT4: range(-(2**31), 2**31),
    INT8: range(-(2**63), 2**63),
    OID: range(2**32),
}
MAX_INTEGER_DIGITS = 19  # of an int8
MAX_NUMERIC_WHOLE_DIGITS = 131_072  # before the decimal point
MAX_NUMERIC_FRACTION_DIGITS = 16_383  # behind it
MAX_SHOWN_CHARACTERS = 40  # of a number in an error message

INTEGER_TEXT = re.compile(r"([+-]?)([0-9]+)")
NUMBER_TEXT = re.compile(r"\s*[+-]?(?:[0-9]+\.?[0-9]*+|\.[0-9]++)[eE][+-]?[0-9]++\s*")


def shortened(value: object) -> str:
    """Return the text of a value for an error message, cut if it is long."""
    text = value if isinstance(value, str) else repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def check_integer(oid: int, value: int) -> int:
    """Return an integer that is in the range of its type. Raises PgError 22003."""
    if value not in INTEGER_RANGES[oid]:
        raise _out_of_range(oid)
    return value


def parse_integer(oid: int, text: str) -> int:
    """Parse the text of an integer. Raises ValueError, or PgError 22003."""
    match = INTEGER_TEXT.fullmatch(text.strip())
    if match is None:
        raise ValueError(shortened(text))
    digits = match[2].lstrip("0") or "0"
    if len(digits) > MAX_INTEGER_DIGITS:
        raise _out_of_range(oid)
    return check_integer(oid, int(match[1] + digits))


def parse_integers(oid: int, texts: list[str]) -> list[int]:
    """Parse the texts of many integers. Raises ValueError, or PgError 22003."""
    longest = max(map(len, texts), default=0)
    if oid == INT8 and longest < MAX_INTEGER_DIGITS and "".join(texts).isdecimal():
        return list(map(int, texts))
    return [parse_integer(oid, text) for text in texts]


def to_integer(oid: int, value: int | float | Decimal | str) -> int:
    """Convert a number, cutting its fraction. Raises TypeError, ValueError or PgError 22003."""
    if isinstance(value, str):
        return parse_integer(oid, value)
    if isinstance(value, float):
        value = Decimal(value)
    if isinstance(value, Decimal):
        if not value.is_finite() or _has_too_many_digits(value):
            raise _out_of_range(oid)
        value = int(value)
    if not isinstance(value, int):
        raise TypeError(type(value))
    return check_integer(oid, value)


def whole_number(oid: int, value: int | float | Decimal) -> int | None:
    """Return the integer of this type that equals a number, None if there is none."""
    if isinstance(value, float):
        value = Decimal(value)
    if isinstance(value, Decimal):
        if not value.is_finite() or _has_too_many_digits(value):
            return None
        whole = int(value)
        if whole != value:
            return None
        value = whole
    return value if value in INTEGER_RANGES[oid] else None


def parse_numeric(text: str) -> Decimal:
    """Parse the text of a numeric. Raises ValueError, or PgError 22003."""
    try:
        value = Decimal(text)
    except InvalidOperation:
        if NUMBER_TEXT.fullmatch(text):  # its exponent is out of the range of Decimal too
            raise PgError(OUT_OF_RANGE, "value overflows numeric format") from None
        raise ValueError(shortened(text)) from None
    if value.is_nan():
        return Decimal("NaN")
    return check_numeric(value, value.as_tuple().exponent) if value.is_finite() else value


def check_numeric(value: Decimal, exponent: int) -> Decimal:
    """Return a finite number with this exponent if it is in the range of numeric.

    Raises PgError 22003.
    """
    if -exponent > MAX_NUMERIC_FRACTION_DIGITS:
        raise PgError(OUT_OF_RANGE, "value overflows numeric format")
    if not value:
        return Decimal((value.is_signed(), (0,), min(exponent, 0)))
    if value.adjusted() >= MAX_NUMERIC_WHOLE_DIGITS:
        raise PgError(OUT_OF_RANGE, "value overflows numeric format")
    return value


def _has_too_many_digits(value: Decimal) -> bool:
    return bool(value) and value.adjusted() >= MAX_INTEGER_DIGITS


def _out_of_range(oid: int) -> PgError:
    return PgError(OUT_OF_RANGE, f"value is out of range for type {type_name(oid)}")
