"""OIDs, names and groups of PostgreSQL types."""

from __future__ import annotations

BOOL = 16
BYTEA = 17
NAME = 19
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
OID = 26
JSON = 114
FLOAT4 = 700
FLOAT8 = 701
UNKNOWN = 705
BPCHAR = 1042
VARCHAR = 1043
DATE = 1082
TIMESTAMP = 1114
TIMESTAMPTZ = 1184
NUMERIC = 1700
UUID = 2950
JSONB = 3802

OID_BY_NAME = {
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
ARRAY_ELEMENTS = {  # array type OID to element type OID
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
ARRAY_TYPES = {element: array for array, element in ARRAY_ELEMENTS.items()}
BINARY_SIZES = {  # bytes, for types of fixed length
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
TEXT_TYPES = frozenset((TEXT, VARCHAR, NAME, BPCHAR, UNKNOWN, 0))
INTEGER_TYPES = frozenset((INT2, INT4, INT8, OID))
NUMERIC_TYPES = INTEGER_TYPES | {NUMERIC, FLOAT4, FLOAT8}


def type_name(oid: int) -> str:
    """Returns the short name of a type, or `with OID n` if the type is not known."""
    if oid in ARRAY_ELEMENTS:
        return type_name(ARRAY_ELEMENTS[oid]) + "[]"
    return next((name for name, known in OID_BY_NAME.items() if known == oid), f"with OID {oid}")
