"""Incremental decoding of the JSON documents on a discovery watch, without I/O."""

from __future__ import annotations

import msgspec

from tansycrank.errors import TansycrankError
from tansycrank.http_router.settings import EndpointListDocument
from tansycrank.json_input import JsonInputError, decode_json

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024

BLOCK_BYTES = 64 * 1024  # of a line that are split at quotation marks at once

_DECODER = msgspec.json.Decoder(EndpointListDocument)
_BRACKETS_AND_QUOTES = b'{}[]"'
_OTHER_BYTES = bytes(byte for byte in range(256) if byte not in _BRACKETS_AND_QUOTES)


class DocumentError(TansycrankError):
    """The bytes are not a valid endpoint list document."""


def decode_document(data: bytes) -> EndpointListDocument:
    """Decode one complete JSON document; raise DocumentError if it is not valid."""
    try:
        return decode_json(_DECODER, data)
    except JsonInputError as error:
        raise DocumentError(str(error)) from error


class DocumentReader:
    """Joins lines into documents; an indented document spans several lines."""

    def __init__(self) -> None:
        # One buffer: a list of lines of a byte each would take many times their bytes.
        self._document = bytearray()
        self._line_count = 0
        self._depth = 0  # of open brackets

    def feed(self, line: bytes) -> EndpointListDocument | None:
        """Return the document that this line completes, else None.

        Raise DocumentError for a line that cannot belong to a document, and for a document that is
        unfinished after `MAX_DOCUMENT_BYTES`. An empty line between documents is a heartbeat.
        """
        line = line.strip()
        if not line:
            if self._line_count:
                raise DocumentError("empty line within a JSON document")
            return None
        if not self._line_count:
            return self._start(line)
        self._append(line)
        if self._depth > 0:
            return None
        complete, self._document = self._document, bytearray()
        self._line_count = self._depth = 0
        return decode_document(complete)

    def _start(self, line: bytes) -> EndpointListDocument | None:
        """Return the document of one line; else keep what may be its beginning."""
        try:
            return decode_json(_DECODER, line)
        except JsonInputError as error:
            if not error.is_truncated or bracket_depth(line) <= 0:
                raise DocumentError(str(error)) from error
        self._append(line)
        return None

    def _append(self, line: bytes) -> None:
        self._depth += bracket_depth(line)
        self._document += line + b"\n"
        self._line_count += 1
        if self._depth > 0 and len(self._document) > MAX_DOCUMENT_BYTES:
            raise DocumentError("unfinished JSON document is too long")


def bracket_depth(line: bytes) -> int:
    """Return the number of brackets that a line opens, less those it closes, outside of strings.

    A string without an end runs to the end of the line. The work is linear in the line, and the
    memory some times its bytes.
    """
    without_escapes = line.replace(b"\\\\", b"").replace(b'\\"', b"")
    # Two adjacent quotation marks have nothing between them, within a string or outside.
    marks = without_escapes.translate(None, _OTHER_BYTES).replace(b'""', b"")
    depth = is_in_string = 0
    for start in range(0, len(marks), BLOCK_BYTES):
        pieces = marks[start : start + BLOCK_BYTES].split(b'"')
        outside = b"".join(pieces[is_in_string::2])
        opened = outside.count(b"{") + outside.count(b"[")
        depth += opened - (len(outside) - opened)
        is_in_string ^= (len(pieces) - 1) & 1
    return depth
