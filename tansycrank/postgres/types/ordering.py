"""Order and equality of wire values, as in PostgreSQL with collation "C"."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.postgres.errors import unsupported
from tansycrank.postgres.types.codec import decode, decoder
from tansycrank.postgres.types.oids import (
    BOOL,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    NAME,
    NUMERIC,
    OID,
    TEXT,
    TIMESTAMP,
    TIMESTAMPTZ,
    UUID,
    VARCHAR,
    type_name,
)

SORTABLE_TYPES = frozenset(
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
    """Returns a function that maps a wire value to a key with PostgreSQL's order and equality.

    Raises PgError 0A000 for types whose order is not implemented.
    """
    if oid not in SORTABLE_TYPES:
        raise unsupported(f"ordering or grouping by type {type_name(oid)}")
    if oid in (BYTEA, UUID) and code == 0:
        return lambda data: decode(oid, 0, data)
    if oid in (TEXT, VARCHAR, NAME, BYTEA, UUID):
        return lambda data: data
    if oid in (FLOAT4, FLOAT8, NUMERIC):
        return _number_key(oid, code)
    return decoder(oid, code)


def _number_key(oid: int, code: int) -> Callable[[bytes], tuple]:
    def key(data: bytes) -> tuple:
        value = decode(oid, code, data)
        is_nan = value != value
        return (1, 0) if is_nan else (0, value)  # as in PostgreSQL, NaN equals NaN and sorts last

    return key
