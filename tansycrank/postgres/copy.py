"""Encodes COPY ... TO STDOUT as text, CSV or binary, with one CopyData message per row.

Source: the PostgreSQL manual, "COPY", "File Formats", and "COPY Operations" of the protocol.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from tansycrank.postgres.errors import FEATURE_NOT_SUPPORTED, INVALID_PARAMETER, PgError
from tansycrank.postgres.messages import Field, frame, read_row

BINARY_SIGNATURE = b"PGCOPY\n\xff\r\n\0" + struct.pack("!ii", 0, 0)
BINARY_TRAILER = struct.pack("!h", -1)
ESCAPED_CHARACTERS = re.compile(rb"[\\\n\r\t\x08\x0c\x0b]")
ESCAPE_SEQUENCES = {
    b"\\": b"\\\\",
    b"\n": b"\\n",
    b"\r": b"\\r",
    b"\t": b"\\t",
    b"\x08": b"\\b",
    b"\x0c": b"\\f",
    b"\x0b": b"\\v",
}


@dataclass(frozen=True, slots=True)
class CopyFormat:
    """Output format of a COPY statement. `kind` is text, csv or binary."""

    kind: str = "text"
    delimiter: bytes = b"\t"
    null: bytes = b"\\N"
    header: bool = False

    @property
    def result_formats(self) -> tuple[int, ...]:
        """Returns the result format codes to request from the data nodes."""
        return (1,) if self.kind == "binary" else ()

    def begin(self, fields: Sequence[Field]) -> bytes:
        """Encodes CopyOutResponse and the header that precedes the first row."""
        binary = self.kind == "binary"
        count = len(fields)
        out = frame(b"H", struct.pack(f"!bh{count}h", binary, count, *([int(binary)] * count)))
        if binary:
            return out + frame(b"d", BINARY_SIGNATURE)
        if self.header:
            out += frame(b"d", self._line([f.name.encode() for f in fields]))
        return out

    def row(self, message: bytes) -> bytes:
        """Converts a DataRow message to CopyData.

        A binary COPY tuple has the same layout as the body of a DataRow.
        """
        if self.kind == "binary":
            return frame(b"d", message[5:])
        return frame(b"d", self._line(read_row(message)))

    def end(self) -> bytes:
        """Encodes the trailer that follows the last row, and CopyDone."""
        return (frame(b"d", BINARY_TRAILER) if self.kind == "binary" else b"") + frame(b"c")

    def _line(self, values: Sequence[bytes | None]) -> bytes:
        encode = self._csv if self.kind == "csv" else self._text
        return (
            self.delimiter.join(self.null if value is None else encode(value) for value in values)
            + b"\n"
        )

    def _text(self, value: bytes) -> bytes:
        if ESCAPED_CHARACTERS.search(value):
            value = ESCAPED_CHARACTERS.sub(lambda m: ESCAPE_SEQUENCES[m[0]], value)
        if self.delimiter != b"\t":
            value = value.replace(self.delimiter, b"\\" + self.delimiter)
        return value

    def _csv(self, value: bytes) -> bytes:
        quoted = (
            value == self.null
            or value == b"\\."
            or self.delimiter in value
            or b'"' in value
            or b"\n" in value
            or b"\r" in value
        )
        return b'"' + value.replace(b'"', b'""') + b'"' if quoted else value


def parse_copy_options(options: Sequence[tuple[str, object]]) -> CopyFormat:
    """Parses the options of a COPY statement. Raises PgError for invalid ones."""
    remaining = {name.lower(): value for name, value in options}
    kind = str(remaining.pop("format", "text")).lower()
    if kind not in ("text", "csv", "binary"):
        raise PgError(
            INVALID_PARAMETER, f"COPY format {kind!r} not recognized", hint="text, csv or binary"
        )
    delimiter = str(remaining.pop("delimiter", "," if kind == "csv" else "\t")).encode()
    null = str(remaining.pop("null", "" if kind == "csv" else "\\N")).encode()
    header = str(remaining.pop("header", "false")).lower() in ("true", "on", "1", "match")
    if remaining:
        raise PgError(FEATURE_NOT_SUPPORTED, f"COPY option not supported: {', '.join(remaining)}")
    if len(delimiter) != 1 or delimiter in b'\n\r"\\':
        raise PgError(INVALID_PARAMETER, "COPY delimiter must be a single one-byte character")
    if kind == "binary" and header:
        raise PgError(INVALID_PARAMETER, "cannot specify HEADER in BINARY mode")
    return CopyFormat(kind, delimiter, null, header)
