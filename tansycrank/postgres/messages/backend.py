"""Messages to clients (backend messages), encoded."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass

from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages.framing import INT16, INT32, frame, null_terminated

AUTHENTICATION_OK = frame(b"R", INT32.pack(0))
PARSE_COMPLETE = frame(b"1")
BIND_COMPLETE = frame(b"2")
CLOSE_COMPLETE = frame(b"3")
NO_DATA = frame(b"n")
EMPTY_QUERY = frame(b"I")
PORTAL_SUSPENDED = frame(b"s")


@dataclass(frozen=True, slots=True)
class Field:
    """One column of a RowDescription. A size of -1 varies; format 0 is text, 1 binary."""

    name: str
    oid: int
    size: int = -1
    modifier: int = -1
    format: int = 0
    table: int = 0
    column: int = 0


def ready_for_query(status: str) -> bytes:
    """ReadyForQuery: 'I' idle, 'T' in a block, 'E' in a failed block."""
    return frame(b"Z", status.encode())


def parameter_status(name: str, value: str) -> bytes:
    """A setting that clients keep a copy of."""
    return frame(b"S", null_terminated(name) + null_terminated(value))


def backend_key_data(pid: int, secret: int) -> bytes:
    """The key for CancelRequest."""
    return frame(b"K", INT32.pack(pid) + struct.pack("!I", secret & 0xFFFFFFFF))


def row_description(fields: Sequence[Field]) -> bytes:
    """The columns of an answer."""
    body = [INT16.pack(len(fields))]
    for f in fields:
        body.append(
            null_terminated(f.name)
            + struct.pack("!IhIhih", f.table, f.column, f.oid, f.size, f.modifier, f.format)
        )
    return frame(b"T", b"".join(body))


def parameter_description(oids: Sequence[int]) -> bytes:
    """Types of a statement's parameters."""
    return frame(b"t", struct.pack(f"!H{len(oids)}I", len(oids), *oids))


def data_row(values: Sequence[bytes | None]) -> bytes:
    """One row."""
    body = [INT16.pack(len(values))]
    for value in values:
        body.append(b"\xff\xff\xff\xff" if value is None else INT32.pack(len(value)) + value)
    return frame(b"D", b"".join(body))


def command_complete(tag: str) -> bytes:
    """End of one statement."""
    return frame(b"C", null_terminated(tag))


def error_response(error: PgError) -> bytes:
    """ErrorResponse with severity, state, message, detail and hint."""
    return frame(b"E", _error_fields(error))


def notice_response(error: PgError) -> bytes:
    """NoticeResponse: a warning that ends nothing."""
    return frame(b"N", _error_fields(error))


def _error_fields(error: PgError) -> bytes:
    fields = {
        "S": error.severity,
        "V": error.severity,
        "C": error.state,
        "M": error.message or "error",
        "D": error.detail,
        "H": error.hint,
    }
    return (
        b"".join(code.encode() + null_terminated(text) for code, text in fields.items() if text)
        + b"\0"
    )
