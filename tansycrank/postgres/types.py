"""PostgreSQL's types between wire and Python, both formats, and their order and equality.

Values: bool, int, float, Decimal, str, bytes (bytea, uuid), list (arrays); date as days and
timestamps as microseconds since 2000-01-01 UTC (`math.inf` for infinity), so that order is that of
numbers. json is text.
"""

from __future__ import annotations

import datetime as dt
import math
import re
import struct
import uuid as uuid_module
from collections.abc import Callable
from decimal import Decimal, InvalidOperation

from tansycrank.postgres.errors import INVALID_BINARY, INVALID_TEXT, PgError, unsupported

BOOL, BYTEA, INT8, INT2, INT4, TEXT, JSON = 16, 17, 20, 21, 23, 25, 114
FLOAT4, FLOAT8, VARCHAR, DATE, TIMESTAMP, TIMESTAMPTZ = 700, 701, 1043, 1082, 1114, 1184
NUMERIC, UUID, JSONB, UNKNOWN, NAME, BPCHAR, OID = 1700, 2950, 3802, 705, 19, 1042, 26

NAMES = {
    "bool": BOOL,
    "boolean": BOOL,
    "bytea": BYTEA,
    "int8": INT8,
    "bigint": INT8,
    "int2": INT2,
    "smallint": INT2,
    "int4": INT4,
    "int": INT4,
    "integer": INT4,
    "text": TEXT,
    "json": JSON,
    "jsonb": JSONB,
    "float4": FLOAT4,
    "real": FLOAT4,
    "float8": FLOAT8,
    "double precision": FLOAT8,
    "varchar": VARCHAR,
    "date": DATE,
    "timestamp": TIMESTAMP,
    "timestamptz": TIMESTAMPTZ,
    "numeric": NUMERIC,
    "decimal": NUMERIC,
    "uuid": UUID,
    "oid": OID,
    "name": NAME,
}
ARRAYS = {
    1000: BOOL,
    1001: BYTEA,
    1005: INT2,
    1007: INT4,
    1016: INT8,
    1009: TEXT,
    1015: VARCHAR,
    1021: FLOAT4,
    1022: FLOAT8,
    1182: DATE,
    1115: TIMESTAMP,
    1185: TIMESTAMPTZ,
    1231: NUMERIC,
    2951: UUID,
    199: JSON,
    3807: JSONB,
    1028: OID,
}
ARRAY_OF = {element: array for array, element in ARRAYS.items()}
SIZES = {
    BOOL: 1,
    INT2: 2,
    INT4: 4,
    INT8: 8,
    FLOAT4: 4,
    FLOAT8: 8,
    DATE: 4,
    TIMESTAMP: 8,
    TIMESTAMPTZ: 8,
    UUID: 16,
}
TEXTUAL = frozenset((TEXT, VARCHAR, NAME, BPCHAR, UNKNOWN, 0))
INTEGERS = frozenset((INT2, INT4, INT8, OID))
NUMBERS = INTEGERS | {NUMERIC, FLOAT4, FLOAT8}
EPOCH = dt.date(2000, 1, 1)
DAY = 86_400_000_000
FIXED = {
    BOOL: struct.Struct("!?"),
    INT2: struct.Struct("!h"),
    INT4: struct.Struct("!i"),
    INT8: struct.Struct("!q"),
    FLOAT4: struct.Struct("!f"),
    FLOAT8: struct.Struct("!d"),
    OID: struct.Struct("!I"),
}
STAMP = re.compile(
    r"(\d{4,5})-(\d\d)-(\d\d)(?:[ T](\d\d):(\d\d):(\d\d)(\.\d{1,6})?)?"
    r"(?:([+-])(\d\d)(?::?(\d\d))?(?::?(\d\d))?|Z)?$"
)


def _numeric_in(data: bytes) -> Decimal:
    count, weight, sign, scale = struct.unpack_from("!hhHh", data)
    if sign == 0xC000:
        return Decimal("NaN")
    if sign in (0xD000, 0xF000):
        return Decimal("Infinity" if sign == 0xD000 else "-Infinity")
    digits = struct.unpack_from(f"!{count}h", data, 8)
    total = 0
    for digit in digits:
        total = total * 10000 + digit
    exponent = (weight - count + 1) * 4
    if exponent < -scale:
        total, exponent = total // 10 ** (-scale - exponent), -scale
    elif exponent > -scale:
        total, exponent = total * 10 ** (exponent + scale), -scale
    return Decimal((1 if sign == 0x4000 else 0, tuple(int(c) for c in str(total)), exponent))


def _numeric_out(value: Decimal) -> bytes:
    if value.is_nan():
        return struct.pack("!hhHh", 0, 0, 0xC000, 0)
    if value.is_infinite():
        return struct.pack("!hhHh", 0, 0, 0xD000 if value > 0 else 0xF000, 0)
    sign, digits, exponent = value.as_tuple()
    scale = max(-exponent, 0)
    text = "".join(map(str, digits)) + "0" * max(exponent, 0)
    whole, part = (text[:-scale], text[-scale:].rjust(scale, "0")) if scale else (text, "")
    whole = whole.rjust(-(-len(whole) // 4) * 4, "0")
    part = part.ljust(-(-len(part) // 4) * 4, "0")
    groups = [int((whole + part)[i : i + 4]) for i in range(0, len(whole + part), 4)]
    weight = len(whole) // 4 - 1
    while groups and groups[0] == 0:
        groups.pop(0)
        weight -= 1
    while groups and groups[-1] == 0:
        groups.pop()
    head = struct.pack(
        "!hhHh", len(groups), weight if groups else 0, 0x4000 if sign and groups else 0, scale
    )
    return head + struct.pack(f"!{len(groups)}h", *groups)


def _stamp_in(text: str, zoned: bool) -> float | int:
    if text in ("infinity", "-infinity"):
        return math.inf if text == "infinity" else -math.inf
    found = STAMP.match(text)
    if not found:
        raise ValueError(text)
    year, month, day = int(found[1]), int(found[2]), int(found[3])
    days = (dt.date(year, month, day) - EPOCH).days
    hours, minutes, seconds = int(found[4] or 0), int(found[5] or 0), int(found[6] or 0)
    micros = int((found[7] or ".0")[1:].ljust(6, "0"))
    total = days * DAY + ((hours * 60 + minutes) * 60 + seconds) * 1_000_000 + micros
    if zoned and found[8]:
        shift = (int(found[9]) * 60 + int(found[10] or 0)) * 60 + int(found[11] or 0)
        total -= (shift if found[8] == "+" else -shift) * 1_000_000
    return total


def _stamp_out(value: float | int, zoned: bool) -> str:
    if value in (math.inf, -math.inf):
        return "infinity" if value > 0 else "-infinity"
    days, rest = divmod(int(value), DAY)
    day = EPOCH + dt.timedelta(days=days)
    seconds, micros = divmod(rest, 1_000_000)
    text = f"{day.isoformat()} {seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02}"
    return text + (f".{micros:06}".rstrip("0") if micros else "") + ("+00" if zoned else "")


def _float_out(value: float, oid: int) -> str:
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


def _array_in(text: str, element: int) -> list:
    if text.startswith("["):  # explicit bounds
        text = text.split("=", 1)[1]
    stack, item, quoted, was_quoted, at = [[]], [], False, False, 0

    def push() -> None:
        raw = "".join(item)
        if raw or was_quoted:
            null = not was_quoted and raw.upper() == "NULL"
            stack[-1].append(None if null else decode(element, 0, raw.encode()))
        item.clear()

    while at < len(text):
        char = text[at]
        if quoted:
            if char == "\\":
                at += 1
                item.append(text[at])
            elif char == '"':
                quoted = False
            else:
                item.append(char)
        elif char == '"':
            quoted = was_quoted = True
        elif char == "{":
            stack.append([])
        elif char in ",}":
            push()
            was_quoted = False
            if char == "}":
                if len(stack) < 2:
                    raise ValueError("unbalanced braces")
                done = stack.pop()
                stack[-1].append(done)
        elif not char.isspace() or item:
            item.append(char)
        at += 1
    if len(stack) != 1 or len(stack[0]) != 1 or quoted:
        raise ValueError("unbalanced braces")
    return stack[0][0]


def _array_out(values: list, element: int) -> str:
    parts = []
    for value in values:
        if value is None:
            parts.append("NULL")
        elif isinstance(value, list):
            parts.append(_array_out(value, element))
        else:
            text = encode(element, 0, value).decode()
            plain = text and text.upper() != "NULL" and not re.search(r'[{}",\\\s]', text)
            parts.append(
                text if plain else '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'
            )
    return "{" + ",".join(parts) + "}"


def _array_binary_in(data: bytes) -> list:
    dimensions, _, element = struct.unpack_from("!iiI", data)
    sizes = [struct.unpack_from("!ii", data, 12 + 8 * i)[0] for i in range(dimensions)]
    at = 12 + 8 * dimensions
    if dimensions > 6 or math.prod(sizes or [0]) > len(data):
        raise ValueError("more elements than bytes")

    def level(depth: int) -> list:
        nonlocal at
        values = []
        for _ in range(sizes[depth]):
            if depth + 1 < dimensions:
                values.append(level(depth + 1))
                continue
            size = struct.unpack_from("!i", data, at)[0]
            at += 4
            values.append(None if size < 0 else decode(element, 1, data[at : at + size]))
            at += max(size, 0)
        return values

    return level(0) if dimensions else []


def _array_binary_out(values: list, element: int) -> bytes:
    sizes, probe = [], values
    while isinstance(probe, list) and probe:
        sizes.append(len(probe))
        probe = probe[0]
    flat = values
    for _ in sizes[1:]:
        flat = [v for inner in flat for v in inner]
    head = struct.pack("!iiI", len(sizes), int(None in flat), element)
    body = [struct.pack("!ii", size, 1) for size in sizes]
    for value in flat:
        raw = None if value is None else encode(element, 1, value)
        body.append(b"\xff\xff\xff\xff" if raw is None else struct.pack("!i", len(raw)) + raw)
    return head + b"".join(body)


def _bool_in(text: str) -> bool:
    low = text.strip().lower()
    if low and ("true".startswith(low) or "yes".startswith(low) or low in ("on", "1")):
        return True
    if low and ("false".startswith(low) or "no".startswith(low) or low in ("off", "0")):
        return False
    raise ValueError(text)


def _bytea_in(text: str) -> bytes:
    if text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return re.sub(
        rb"\\(\\|[0-7]{3})",
        lambda m: b"\\" if m[1] == b"\\" else bytes([int(m[1], 8)]),
        text.encode(),
    )


TEXT_IN: dict[int, Callable[[str], object]] = {
    BOOL: _bool_in,
    BYTEA: _bytea_in,
    INT2: int,
    INT4: int,
    INT8: int,
    OID: int,
    FLOAT4: float,
    FLOAT8: float,
    NUMERIC: Decimal,
    DATE: lambda t: t if (t := _stamp_in(t, False)) in (math.inf, -math.inf) else t // DAY,
    TIMESTAMP: lambda t: _stamp_in(t, False),
    TIMESTAMPTZ: lambda t: _stamp_in(t, True),
    UUID: lambda t: uuid_module.UUID(t).bytes,
}


def decode(oid: int, code: int, data: bytes) -> object:
    """A value as it came on the wire (`code` 0 text, 1 binary). Raises PgError 22P02 or 22P03."""
    try:
        if code == 0:
            text = data.decode()
            if oid in ARRAYS:
                return _array_in(text, ARRAYS[oid])
            return TEXT_IN[oid](text) if oid in TEXT_IN else text
        if oid in FIXED:
            return FIXED[oid].unpack(data)[0]
        if oid in ARRAYS:
            return _array_binary_in(data)
        if oid == NUMERIC:
            return _numeric_in(data)
        if oid == DATE:
            days = struct.unpack("!i", data)[0]
            return math.inf if days == 2**31 - 1 else -math.inf if days == -(2**31) else days
        if oid in (TIMESTAMP, TIMESTAMPTZ):
            micros = struct.unpack("!q", data)[0]
            return math.inf if micros == 2**63 - 1 else -math.inf if micros == -(2**63) else micros
        if oid in (BYTEA, UUID):
            return data
        if oid == JSONB:
            return data[1:].decode()
        return data.decode()
    except (ValueError, struct.error, InvalidOperation, IndexError, OverflowError):
        state = INVALID_BINARY if code else INVALID_TEXT
        raise PgError(state, f"invalid value for type {type_name(oid)}: {data[:40]!r}") from None


def decoder(oid: int, code: int) -> Callable[[bytes], object]:
    """`decode` for values of one type, which a store has sent: the quickest way."""
    if code == 0 and oid in INTEGERS:
        return int
    if code == 0 and oid == NUMERIC:
        return lambda data: Decimal(data.decode())
    return lambda data: decode(oid, code, data)


def encode(oid: int, code: int, value: object) -> bytes:
    """A value for the wire."""
    if code == 0:
        if isinstance(value, bool):
            return b"t" if value else b"f"
        if oid in ARRAYS:
            return _array_out(value, ARRAYS[oid]).encode()
        if oid in (FLOAT4, FLOAT8):
            return _float_out(float(value), oid).encode()
        if oid == NUMERIC:
            return (
                format(Decimal(value), "f").encode()
                if Decimal(value).is_finite()
                else str(value).encode()
            )
        if oid == DATE:
            return _stamp_out(value * DAY, False).split(" ")[0].encode()
        if oid in (TIMESTAMP, TIMESTAMPTZ):
            return _stamp_out(value, oid == TIMESTAMPTZ).encode()
        if oid == BYTEA:
            return b"\\x" + value.hex().encode()
        if oid == UUID:
            return str(uuid_module.UUID(bytes=value)).encode()
        return str(value).encode()
    if oid in FIXED:
        try:
            return FIXED[oid].pack(value)
        except struct.error:
            raise PgError("22003", f"{value} is out of range for type {type_name(oid)}") from None
    if oid in ARRAYS:
        return _array_binary_out(value, ARRAYS[oid])
    if oid == NUMERIC:
        return _numeric_out(Decimal(value))
    if oid == DATE:
        return struct.pack(
            "!i", 2**31 - 1 if value == math.inf else -(2**31) if value == -math.inf else value
        )
    if oid in (TIMESTAMP, TIMESTAMPTZ):
        return struct.pack(
            "!q", 2**63 - 1 if value == math.inf else -(2**63) if value == -math.inf else value
        )
    if oid in (BYTEA, UUID):
        return value
    return (b"\x01" if oid == JSONB else b"") + str(value).encode()


def type_name(oid: int) -> str:
    """The short name of a type, or its OID."""
    if oid in ARRAYS:
        return type_name(ARRAYS[oid]) + "[]"
    return next((name for name, known in NAMES.items() if known == oid), f"with OID {oid}")


ORDERED = frozenset(
    (
        BOOL,
        BYTEA,
        INT2,
        INT4,
        INT8,
        OID,
        FLOAT4,
        FLOAT8,
        NUMERIC,
        DATE,
        TIMESTAMP,
        TIMESTAMPTZ,
        UUID,
        TEXT,
        VARCHAR,
        NAME,
    )
)


def order_key(oid: int, code: int) -> Callable[[bytes], object]:
    """A function from wire value to a key that sorts and compares as PostgreSQL does (text by
    collation "C").

    Raises PgError 0A000 for types whose order is not known here.
    """
    if oid not in ORDERED:
        raise unsupported(f"ordering or grouping by type {type_name(oid)}")
    if oid in (TEXT, VARCHAR, NAME, BYTEA, UUID):
        if (oid == BYTEA and code == 0) or (oid == UUID and code == 0):
            return lambda data: decode(oid, 0, data)
        return lambda data: data
    if oid in (FLOAT4, FLOAT8, NUMERIC):

        def number(data: bytes) -> tuple:
            value = decode(oid, code, data)
            return (
                (1, 0) if value != value else (0, value)
            )  # danger: NaN equals itself and is the greatest

        return number
    return decoder(oid, code)
