"""Encodes backend messages, which the router sends to clients."""

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
    """One column of a RowDescription.

    `size` is in bytes, -1 for variable length; `format` is 0 for text and 1 for binary.
    """

    name: str
    oid: int
    size: int = -1
    modifier: int = -1
    format: int = 0
    table: int = 0
    column: int = 0


def ready_for_query(status: str) -> bytes:
    """Encodes ReadyForQuery.

    `status` is 'I' when idle, 'T' in a transaction block, 'E' in a failed transaction block.
    """
    return frame(b"Z", status.encode())


def parameter_status(name: str, value: str) -> bytes:
    """Encodes ParameterStatus, which reports the value of a setting to the client."""
    return frame(b"S", null_terminated(name) + null_terminated(value))


def backend_key_data(pid: int, secret: int) -> bytes:
    """Encodes BackendKeyData, which a client repeats in a CancelRequest."""
    return frame(b"K", INT32.pack(pid) + struct.pack("!I", secret & 0xFFFFFFFF))


def row_description(fields: Sequence[Field]) -> bytes:
    """Encodes RowDescription, the columns of a result."""
    body = [INT16.pack(len(fields))]
    for f in fields:
        body.append(
            null_terminated(f.name)
            + struct.pack("!IhIhih", f.table, f.column, f.oid, f.size, f.modifier, f.format)
        )
    return frame(b"T", b"".join(body))


def parameter_description(oids: Sequence[int]) -> bytes:
    """Encodes ParameterDescription, the parameter types of a statement."""
    return frame(b"t", struct.pack(f"!H{len(oids)}I", len(oids), *oids))


def data_row(values: Sequence[bytes | None]) -> bytes:
    """Encodes DataRow; a value of None is NULL."""
    body = [INT16.pack(len(values))]
    for value in values:
        body.append(b"\xff\xff\xff\xff" if value is None else INT32.pack(len(value)) + value)
    return frame(b"D", b"".join(body))


def command_complete(tag: str) -> bytes:
    """Encodes CommandComplete, which ends one statement."""
    return frame(b"C", null_terminated(tag))


def error_response(error: PgError) -> bytes:
    """Encodes ErrorResponse with severity, SQLSTATE, message, detail and hint."""
    return frame(b"E", _error_fields(error))


def notice_response(error: PgError) -> bytes:
    """Encodes NoticeResponse, a warning that does not end the statement."""
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
