"""Encodes frontend messages, which the router sends to data nodes."""

from __future__ import annotations

import struct
from collections.abc import Sequence

from tansycrank.postgres.messages.framing import INT32, frame, null_terminated
from tansycrank.postgres.messages.frontend import CANCEL_REQUEST_CODE, PROTOCOL_3

SYNC_FRAME = b"S\x00\x00\x00\x04"
FLUSH_FRAME = b"H\x00\x00\x00\x04"
TERMINATE_FRAME = b"X\x00\x00\x00\x04"


def startup(parameters: dict[str, str]) -> bytes:
    """Encodes StartupMessage."""
    body = (
        INT32.pack(PROTOCOL_3)
        + b"".join(null_terminated(k) + null_terminated(v) for k, v in parameters.items())
        + b"\0"
    )
    return INT32.pack(len(body) + 4) + body


def cancel_request(pid: int, secret: int) -> bytes:
    """Encodes CancelRequest, which is sent on a separate connection."""
    return (
        INT32.pack(16)
        + INT32.pack(CANCEL_REQUEST_CODE)
        + INT32.pack(pid)
        + struct.pack("!I", secret & 0xFFFFFFFF)
    )


def query(sql: str) -> bytes:
    """Encodes a simple Query."""
    return frame(b"Q", null_terminated(sql))


def parse(sql: str, oids: Sequence[int], name: str = "") -> bytes:
    """Encodes Parse; an empty name designates the unnamed statement."""
    return frame(
        b"P",
        null_terminated(name)
        + null_terminated(sql)
        + struct.pack(f"!H{len(oids)}I", len(oids), *oids),
    )


def bind(values: Sequence[bytes | None], formats: Sequence[int], results: Sequence[int]) -> bytes:
    """Encodes Bind of the unnamed statement to the unnamed portal."""
    parts = [
        b"\0\0",
        struct.pack(f"!H{len(formats)}h", len(formats), *formats),
        struct.pack("!H", len(values)),
    ]
    for value in values:
        parts.append(b"\xff\xff\xff\xff" if value is None else INT32.pack(len(value)) + value)
    parts.append(struct.pack(f"!H{len(results)}h", len(results), *results))
    return frame(b"B", b"".join(parts))


def describe(kind: str) -> bytes:
    """Encodes Describe of the unnamed statement ('S') or portal ('P')."""
    return frame(b"D", kind.encode() + b"\0")


def execute(limit: int = 0) -> bytes:
    """Encodes Execute of the unnamed portal; a row limit of 0 returns all rows."""
    return frame(b"E", b"\0" + INT32.pack(limit))
