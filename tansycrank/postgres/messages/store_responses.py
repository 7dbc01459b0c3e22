"""Decodes messages received from data nodes: rows, columns and errors."""

from __future__ import annotations

import struct
from functools import lru_cache

from tansycrank.postgres.errors import PgError, ProtocolError
from tansycrank.postgres.messages.backend import Field
from tansycrank.postgres.messages.framing import INT16, INT32
from tansycrank.postgres.messages.reader import Reader

MAX_CACHED_DESCRIPTION_BYTES = 4096


def read_error(message: bytes) -> PgError:
    """Decodes an ErrorResponse or NoticeResponse."""
    reader, fields = Reader(message, 5), {}
    while (code := reader.take(1)) != b"\0":
        fields[code.decode("latin-1")] = reader.text()
    return PgError(
        fields.get("C", "XX000"),
        fields.get("M", ""),
        fields.get("D", ""),
        fields.get("H", ""),
        fields.get("V") or fields.get("S", "ERROR"),
    )


def read_row_description(message: bytes) -> tuple[Field, ...]:
    """Decodes the columns of a RowDescription."""
    if len(message) <= MAX_CACHED_DESCRIPTION_BYTES:
        return _read_cached_description(message)
    return _read_description(message)


@lru_cache(maxsize=1024)  # data nodes send identical descriptions for every shard request
def _read_cached_description(message: bytes) -> tuple[Field, ...]:
    return _read_description(message)


def _read_description(message: bytes) -> tuple[Field, ...]:
    reader, fields = Reader(message, 5), []
    for _ in range(reader.count()):
        name = reader.text()
        table, column, oid = reader.uint32(), reader.int16(), reader.uint32()
        size, modifier, code = reader.int16(), reader.int32(), reader.int16()
        fields.append(Field(name, oid, size, modifier, code, table, column))
    return tuple(fields)


def read_parameter_description(message: bytes) -> tuple[int, ...]:
    """Decodes the parameter type OIDs that a data node inferred."""
    reader = Reader(message, 5)
    return tuple(reader.uint32() for _ in range(reader.count()))


def read_row(message: bytes) -> list[bytes | None]:
    """Decodes the values of a DataRow; NULL is None."""
    count, offset, values = INT16.unpack_from(message, 5)[0], 7, []
    unpack = INT32.unpack_from
    try:
        for _ in range(count):
            size = unpack(message, offset)[0]
            offset += 4
            if size < 0:
                values.append(None)
            else:
                values.append(message[offset : offset + size])
                offset += size
    except struct.error:
        raise ProtocolError("row ends inside a field") from None
    if offset != len(message):
        raise ProtocolError("row is longer or shorter than its fields")
    return values
