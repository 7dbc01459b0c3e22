"""Arithmetic and expressions over groups, with exactly PostgreSQL's results."""

from __future__ import annotations

import decimal
import math
from collections.abc import Sequence
from decimal import Decimal

from tansycrank.postgres import types
from tansycrank.postgres.errors import OUT_OF_RANGE, PgError, unsupported
from tansycrank.sql.plan import Expression

EXACT = decimal.Context(prec=20_000, rounding=decimal.ROUND_HALF_UP, Emax=999_999, Emin=-999_999)
# holds every digit of every numeric, so that no sum is rounded
SUMMING = decimal.Context(prec=150_000, Emax=999_999, Emin=-999_999)
# NUMERIC_MIN_SIG_DIGITS, DEC_DIGITS and NUMERIC_MAX_DISPLAY_SCALE of numeric.c
MIN_SIGNIFICANT, DIGITS_PER_GROUP, MAX_SCALE = 16, 4, 1000
MAX_ROUNDING_DIGITS = 2000  # NUMERIC_MAX_RESULT_SCALE

Typed = tuple  # (type OID, value): value None is NULL, OID 0 an untyped literal


class ParameterText(str):
    """The text of a parameter, which is cast to a type once for all groups of a result."""

    def __init__(self, _text: str) -> None:
        super().__init__()
        self._casts: dict[int, object] = {}

    def cast(self, oid: int) -> object:
        """Return the value of this type. Raises PgError 22P02 or 22003."""
        if oid not in self._casts:
            self._casts[oid] = types.decode(oid, 0, self.encode())
        return self._casts[oid]


class TypedParameters:
    """The parameters of a statement with their types, read as an expression needs them."""

    def __init__(self, oids: Sequence[int], values: Sequence[object]) -> None:
        self._oids, self._values = oids, values
        self._typed: dict[int, Typed] = {}

    def __getitem__(self, index: int) -> Typed:
        """Return a parameter by its number less one."""
        if index not in self._typed:
            value = self._values[index]
            is_text = isinstance(value, str)
            self._typed[index] = self._oids[index], ParameterText(value) if is_text else value
        return self._typed[index]


def add(left: object, right: object) -> object:
    """The sum of two partial sums of the same type. Raises PgError on a float overflow."""
    if isinstance(left, Decimal):
        return SUMMING.add(left, right)
    total = left + right
    if (
        isinstance(total, float)
        and math.isinf(total)
        and not (math.isinf(left) or math.isinf(right))
    ):
        raise PgError(OUT_OF_RANGE, "value out of range: overflow")
    return total


def check_range(oid: int, value: object) -> object:
    """The value, unless it is an integer out of range of its type: then raises PgError."""
    if oid not in types.INTEGER_TYPES or value is None:
        return value
    return types.check_integer(oid, value)


def quantize(value: Decimal, unit: Decimal) -> Decimal:
    """The value rounded to a multiple of `unit`, a power of ten. Raises PgError 22003."""
    try:
        return value.quantize(unit, context=EXACT)
    except decimal.InvalidOperation:  # more digits than the context has
        raise PgError(OUT_OF_RANGE, "value overflows numeric format") from None


def _leading_digit(value: Decimal) -> tuple[int, int]:
    """(weight, first digit) of a number in base 10000, the representation of numeric.c."""
    if not value:
        return 0, 0
    weight = value.adjusted() // DIGITS_PER_GROUP
    return weight, int(abs(value).scaleb(-weight * DIGITS_PER_GROUP, EXACT))


def div_scale(total: Decimal, divisor: Decimal) -> int:
    """Decimal places of a quotient of numerics, as in `select_div_scale` of numeric.c."""
    (weight1, first1), (weight2, first2) = _leading_digit(total), _leading_digit(divisor)
    quotient_weight = weight1 - weight2 - (first1 <= first2)
    places = [-min(number.as_tuple().exponent, 0) for number in (total, divisor)]
    return min(max(MIN_SIGNIFICANT - quotient_weight * DIGITS_PER_GROUP, *places, 0), MAX_SCALE)


def divide(total: Decimal, number: int) -> Decimal:
    """numeric / numeric, rounded as in PostgreSQL."""
    if not total.is_finite():
        return total
    divisor = Decimal(number)
    unit = Decimal(1).scaleb(-div_scale(total, divisor))
    return quantize(EXACT.divide(total, divisor), unit)


def numeric_deviation(kind: str, count: int, total: Decimal, squares: Decimal) -> Decimal | None:
    """Standard deviation or variance of numerics from count, sum and sum of squares.

    Follows `numeric_stddev_internal` of numeric.c.
    """
    sample = not kind.endswith("_pop")
    if count <= sample:
        return None
    numerator = EXACT.subtract(
        EXACT.multiply(Decimal(count), squares), EXACT.multiply(total, total)
    )
    if numerator <= 0:
        return Decimal(0)
    denominator = Decimal(count * (count - 1) if sample else count * count)
    unit = Decimal(1).scaleb(-div_scale(numerator, denominator))
    variance = quantize(EXACT.divide(numerator, denominator), unit)
    return variance if kind.startswith("var") else quantize(EXACT.sqrt(variance), unit)


def evaluate(
    expression: Expression,
    groups: Sequence[Typed],
    aggregates: Sequence[Typed],
    params: TypedParameters,
) -> Typed:
    """Evaluate an expression of a merge plan, with SQL's three-valued logic."""
    kind, *args = expression
    if kind == "group":
        return groups[args[0]]
    if kind == "agg":
        return aggregates[args[0]]
    if kind == "param":
        return params[args[0] - 1]
    if kind == "const":
        return _literal(args[0])
    values = [evaluate(a, groups, aggregates, params) if isinstance(a, tuple) else a for a in args]
    if kind in ("and", "or"):
        found = [_truth(v) for v in values]
        decisive = kind == "or"
        if decisive in found:
            return types.BOOL, decisive
        return types.BOOL, None if None in found else not decisive
    if kind == "not":
        truth = _truth(values[0])
        return types.BOOL, None if truth is None else not truth
    if kind == "isnull":
        return types.BOOL, (values[0][1] is None) == values[1]
    if kind == "coalesce":
        typed = next((v for v in values if v[0]), values[0])
        for each in values:
            if each[1] is not None:
                return typed[0], _cast(typed[0], each)
        return typed[0], None
    if kind == "round":
        (oid, value), digits = values
        if oid != types.NUMERIC or not isinstance(digits, int):
            raise unsupported(f"round() of type {types.type_name(oid)} over aggregates")
        if value is None or not value.is_finite():
            return oid, value
        digits = max(min(digits, MAX_ROUNDING_DIGITS), -MAX_ROUNDING_DIGITS)
        rounded = quantize(value, Decimal(1).scaleb(-digits))
        return oid, rounded if digits >= 0 else quantize(rounded, Decimal(1))
    sign, left, right = values
    return types.BOOL, _compare(sign, left, right)


def _literal(value: object) -> Typed:
    if isinstance(value, bool):
        return types.BOOL, value
    if isinstance(value, int):
        return types.INT4 if -(2**31) <= value < 2**31 else types.INT8, value
    return (types.NUMERIC, value) if isinstance(value, Decimal) else (0, value)


def _truth(typed: Typed) -> bool | None:
    oid, value = typed
    if value is None or oid == types.BOOL:
        return value
    raise unsupported(f"type {types.type_name(oid)} as a condition over aggregates")


def _cast(oid: int, typed: Typed) -> object:
    """The value cast to another type; raises PgError for casts that are not supported."""
    if typed[0] == oid or oid == 0:
        return typed[1]
    if typed[0] in types.TEXT_TYPES and isinstance(typed[1], ParameterText):
        return typed[1].cast(oid)
    if typed[0] in types.TEXT_TYPES and isinstance(typed[1], str):
        return types.decode(oid, 0, typed[1].encode())
    if oid == types.NUMERIC and isinstance(typed[1], int):
        return Decimal(typed[1])
    if oid in types.INTEGER_TYPES and isinstance(typed[1], int):
        return check_range(oid, typed[1])
    if oid in (types.FLOAT4, types.FLOAT8) and isinstance(typed[1], int | Decimal):
        return float(typed[1])
    raise unsupported(
        f"mixing types {types.type_name(typed[0])} and {types.type_name(oid)} over aggregates"
    )


def cast_to_described(oid: int, typed: Typed) -> Typed:
    """The value cast to the column type announced to the client.

    The types of partial results may differ from it, as a store may count in types of its own.
    """
    if typed[0] == oid or typed[1] is None:
        return oid, typed[1]
    if oid in (types.FLOAT4, types.FLOAT8) and typed[0] in NUMBERS:
        return oid, float(typed[1])
    if typed[0] in types.TEXT_TYPES and oid in types.TEXT_TYPES:
        return oid, typed[1]
    return oid, _cast(oid, typed)


NUMBERS = types.NUMERIC_TYPES


def _compare(sign: str, left: Typed, right: Typed) -> bool | None:
    if left[1] is None or right[1] is None:
        return None
    if left[0] == 0 and right[0] != 0:
        left = right[0], _cast(right[0], left)
    elif right[0] == 0 and left[0] != 0:
        right = left[0], _cast(left[0], right)
    a, b = left[1], right[1]
    if {left[0], right[0]} <= NUMBERS:
        if isinstance(a, float) or isinstance(b, float):
            a, b = float(a), float(b)
        a, b = ((1, 0) if v != v else (0, v) for v in (a, b))
    elif left[0] in types.TEXT_TYPES and right[0] in types.TEXT_TYPES:
        a, b = a.encode(), b.encode()
    elif left[0] != right[0] or left[0] not in types.SORTABLE_TYPES:
        raise unsupported(
            f"comparing {types.type_name(left[0])} with {types.type_name(right[0])} over aggregates"
        )
    return {"=": a == b, "<>": a != b, "<": a < b, ">": a > b, "<=": a <= b, ">=": a >= b}[sign]


# result types of sum(); for other types the type itself
SUMS = {types.INT2: types.INT8, types.INT4: types.INT8, types.INT8: types.NUMERIC}


def sum_type(oid: int) -> int:
    """The result type of sum() over a type, as in PostgreSQL."""
    if oid not in NUMBERS:
        raise unsupported(f"sum or avg of type {types.type_name(oid)}")
    return SUMS.get(oid, oid)


def sum_of(oid: int, values: Sequence[object]) -> object:
    """The sum of values in the result type of sum(); None if there are no values."""
    total = None
    for value in values:
        total = value if total is None else add(total, value)
    return Decimal(total) if total is not None and sum_type(oid) == types.NUMERIC else total


def percentile(kind: str, fraction: object, ordered: Sequence[object]) -> object:
    """percentile_cont (interpolated, float8) or percentile_disc of sorted values."""
    fraction_value = float(fraction)
    if not 0 <= fraction_value <= 1:
        raise PgError("22003", f"percentile value {fraction_value} is not between 0 and 1")
    if not ordered:
        return None
    if kind == "percentile_disc":
        return ordered[max(math.ceil(fraction_value * len(ordered)), 1) - 1]
    position = fraction_value * (len(ordered) - 1)
    low, high = float(ordered[math.floor(position)]), float(ordered[math.ceil(position)])
    return low + (position - math.floor(position)) * (high - low)
