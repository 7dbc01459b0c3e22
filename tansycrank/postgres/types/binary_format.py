"""Binary format of all types except arrays."""

from __future__ import annotations

import math
import struct
from decimal import Decimal

from tansycrank.postgres.errors import OUT_OF_RANGE, PgError
from tansycrank.postgres.types.numeric import decode_numeric, encode_numeric
from tansycrank.postgres.types.oids import (
    BOOL,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    JSONB,
    NUMERIC,
    OID,
    TIMESTAMP,
    TIMESTAMPTZ,
    UUID,
    type_name,
)

FIXED_SIZE = {
    BOOL: struct.Struct("!?"),
    INT2: struct.Struct("!h"),
    INT4: struct.Struct("!i"),
    INT8: struct.Struct("!q"),
    FLOAT4: struct.Struct("!f"),
    FLOAT8: struct.Struct("!d"),
    OID: struct.Struct("!I"),
}
UUID_BYTES = 16
DATE_BITS = 32
TIMESTAMP_BITS = 64
JSONB_VERSION = b"\x01"


def decode_value(oid: int, data: bytes) -> object:
    """Decodes a value in binary format. Raises ValueError or struct.error."""
    if oid in FIXED_SIZE:
        return FIXED_SIZE[oid].unpack(data)[0]
    if oid == NUMERIC:
        return decode_numeric(data)
    if oid == DATE:
        return _from_infinite(struct.unpack("!i", data)[0], DATE_BITS)
    if oid in (TIMESTAMP, TIMESTAMPTZ):
        return _from_infinite(struct.unpack("!q", data)[0], TIMESTAMP_BITS)
    if oid == UUID and len(data) != UUID_BYTES:
        raise ValueError(f"a uuid of {len(data)} bytes")
    if oid in (BYTEA, UUID):
        return data
    if oid == JSONB:
        return data[len(JSONB_VERSION) :].decode()
    return data.decode()


def encode_value(oid: int, value: object) -> bytes:
    """Encodes a value in binary format. Raises PgError 22003 if it is out of range."""
    if oid in FIXED_SIZE:
        try:
            return FIXED_SIZE[oid].pack(value)
        except struct.error:
            message = f"{value} is out of range for type {type_name(oid)}"
            raise PgError(OUT_OF_RANGE, message) from None
    if oid == NUMERIC:
        return encode_numeric(Decimal(value))
    if oid == DATE:
        return struct.pack("!i", _to_infinite(value, DATE_BITS))
    if oid in (TIMESTAMP, TIMESTAMPTZ):
        return struct.pack("!q", _to_infinite(value, TIMESTAMP_BITS))
    if oid in (BYTEA, UUID):
        return value
    return (JSONB_VERSION if oid == JSONB else b"") + str(value).encode()


def _from_infinite(number: int, bits: int) -> float | int:
    """Maps the largest and smallest integers, which represent the infinities, to floats."""
    if number == 2 ** (bits - 1) - 1:
        return math.inf
    return -math.inf if number == -(2 ** (bits - 1)) else number


def _to_infinite(value: float | int, bits: int) -> int:
    if value == math.inf:
        return 2 ** (bits - 1) - 1
    return -(2 ** (bits - 1)) if value == -math.inf else value
