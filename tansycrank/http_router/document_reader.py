"""Incremental reading of the JSON objects on a discovery watch. No I/O."""

from __future__ import annotations

import re

import msgspec

from tansycrank.errors import TansycrankError
from tansycrank.http_router.settings import EndpointListDocument

MAX_LISTING_BYTES = 4 * 1024 * 1024

_DECODER = msgspec.json.Decoder(EndpointListDocument)
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # brackets in strings don't count


class DocumentError(TansycrankError):
    """The bytes are no document."""


def decode_document(data: bytes) -> EndpointListDocument:
    """Decode one complete JSON object; DocumentError if it is no document."""
    try:
        return _DECODER.decode(data)
    except ValueError as error:
        raise DocumentError(str(error)) from error


class DocumentReader:
    """Joins lines into documents: an object may take one line or, indented, several."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._depth = 0  # of open brackets
        self._size = 0  # bytes

    def feed(self, line: bytes) -> EndpointListDocument | None:
        """Return the document that this line completes, if it does.

        Raise DocumentError for a line that cannot belong to one. An empty line between objects is a
        heartbeat. At most `MAX_LISTING_BYTES` are held.
        """
        line = line.strip()
        if not line:
            if self._lines:
                raise DocumentError("an empty line within an object")
            return None
        self._append(line)
        if self._depth > 0:
            self._check_unfinished()
            return None
        complete = b"\n".join(self._lines)
        self._lines, self._depth, self._size = [], 0, 0
        return decode_document(complete)

    def _append(self, line: bytes) -> None:
        for token in _STRING_OR_BRACKET.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")
        self._lines.append(line)
        self._size += len(line)

    def _check_unfinished(self) -> None:
        if self._size > MAX_LISTING_BYTES:
            raise DocumentError("an object without an end")
        if len(self._lines) == 1:
            _check_beginning(self._lines[0])


def _check_beginning(line: bytes) -> None:
    """Raise DocumentError if no document can begin with this line, whatever follows."""
    try:
        _DECODER.decode(line)
    except ValueError as error:
        if isinstance(error, msgspec.ValidationError) or not _is_truncated(error):
            raise DocumentError(str(error)) from error


def _is_truncated(error: ValueError) -> bool:
    return isinstance(error, msgspec.DecodeError) and "truncated" in str(error)
