"""Conversion of PostgreSQL types between wire formats and Python, and their order and equality.

Python values are bool, int, float, Decimal, str, bytes (bytea, uuid) and list (arrays). Dates are
days and timestamps microseconds since 2000-01-01 UTC (`math.inf` for infinity), so that they sort
as numbers. JSON values remain text.
"""

from decimal import Decimal

from tansycrank.postgres.types.codec import (
    decode,
    decoder,
    encode,
)
from tansycrank.postgres.types.number_ranges import (
    INTEGER_RANGES,
    check_integer,
    parse_integer,
    parse_numeric,
    shortened,
    to_integer,
    whole_number,
)
from tansycrank.postgres.types.oids import (
    ARRAY_ELEMENTS,
    ARRAY_TYPES,
    BINARY_SIZES,
    BOOL,
    BPCHAR,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    INTEGER_TYPES,
    JSON,
    JSONB,
    NAME,
    NUMERIC,
    NUMERIC_TYPES,
    OID,
    OID_BY_NAME,
    TEXT,
    TEXT_TYPES,
    TIMESTAMP,
    TIMESTAMPTZ,
    UNKNOWN,
    UUID,
    VARCHAR,
    type_name,
)
from tansycrank.postgres.types.ordering import (
    SORTABLE_TYPES,
    order_key,
)

__all__ = [
    "ARRAY_ELEMENTS",
    "ARRAY_TYPES",
    "BINARY_SIZES",
    "BOOL",
    "BPCHAR",
    "BYTEA",
    "DATE",
    "FLOAT4",
    "FLOAT8",
    "INT2",
    "INT4",
    "INT8",
    "INTEGER_RANGES",
    "INTEGER_TYPES",
    "JSON",
    "JSONB",
    "NAME",
    "NUMERIC",
    "NUMERIC_TYPES",
    "OID",
    "OID_BY_NAME",
    "SORTABLE_TYPES",
    "TEXT",
    "TEXT_TYPES",
    "TIMESTAMP",
    "TIMESTAMPTZ",
    "UNKNOWN",
    "UUID",
    "VARCHAR",
    "Decimal",
    "check_integer",
    "decode",
    "decoder",
    "encode",
    "order_key",
    "parse_integer",
    "parse_numeric",
    "shortened",
    "to_integer",
    "type_name",
    "whole_number",
]
