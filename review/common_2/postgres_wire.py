"""Messages of the PostgreSQL protocol, version 3, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
import struct

INT8_OID, TEXT_OID = 20, 25
STARTUP_VERSION, CANCEL_CODE, ENCRYPTION_CODE = 196608, 80877102, 80877103


def message(kind: bytes, body: bytes = b"") -> bytes:
    """One message with its type and length."""
    return kind + struct.pack("!i", len(body) + 4) + body


def text(value: str) -> bytes:
    """A string field."""
    return value.encode() + b"\0"


def startup(user: str) -> bytes:
    """The startup message of a client."""
    body = struct.pack("!i", STARTUP_VERSION) + text("user") + text(user)
    body += text("database") + text("tansycrank") + b"\0"
    return struct.pack("!i", len(body) + 4) + body


def row_description(columns: list[tuple[str, int]]) -> bytes:
    """The columns of a result in text format, by name and type."""
    body = struct.pack("!h", len(columns))
    for name, oid in columns:
        body += text(name) + struct.pack("!IhIhih", 0, 0, oid, -1, -1, 0)
    return message(b"T", body)


def data_row(values: tuple[str, ...]) -> bytes:
    """One row in text format."""
    body = struct.pack("!h", len(values))
    for value in values:
        data = value.encode()
        body += struct.pack("!i", len(data)) + data
    return message(b"D", body)


def read_row(body: bytes) -> tuple[str | None, ...]:
    """The values of a row in text format."""
    (count,) = struct.unpack_from("!h", body)
    at, values = 2, []
    for _ in range(count):
        (size,) = struct.unpack_from("!i", body, at)
        at += 4
        values.append(None if size < 0 else body[at : at + size].decode())
        at += max(size, 0)
    return tuple(values)


def read_error(body: bytes) -> str:
    """SQLSTATE and message of an error."""
    fields = {field[:1]: field[1:].decode() for field in body.split(b"\0") if field}
    return f"{fields.get(b'C', '?')} {fields.get(b'M', '')}"


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """The type and the body of the next message."""
    head = await reader.readexactly(5)
    (size,) = struct.unpack("!i", head[1:])
    return head[:1], await reader.readexactly(size - 4)


async def read_startup(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """The code and the body of a message without a type: startup, cancel or encryption."""
    (size,) = struct.unpack("!i", await reader.readexactly(4))
    body = await reader.readexactly(size - 4)
    return struct.unpack("!i", body[:4])[0], body[4:]
