"""Incremental decoding of the JSON documents on a discovery watch, without I/O."""

from __future__ import annotations

import re

import msgspec

from tansycrank.errors import TansycrankError
from tansycrank.http_router.settings import EndpointListDocument
from tansycrank.json_input import JsonInputError, decode_json

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024

_DECODER = msgspec.json.Decoder(EndpointListDocument)
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # skips brackets in strings


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
        self._append(line)
        if self._depth > 0:
            self._check_unfinished()
            return None
        complete, self._document = self._document, bytearray()
        self._line_count = self._depth = 0
        return decode_document(complete)

    def _append(self, line: bytes) -> None:
        for token in _STRING_OR_BRACKET.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")
        self._document += line + b"\n"
        self._line_count += 1

    def _check_unfinished(self) -> None:
        if len(self._document) > MAX_DOCUMENT_BYTES:
            raise DocumentError("unfinished JSON document is too long")
        if self._line_count == 1:
            _check_beginning(self._document)


def _check_beginning(line: bytes) -> None:
    """Raise DocumentError if no valid document can begin with this line."""
    try:
        decode_json(_DECODER, line)
    except JsonInputError as error:
        if not error.is_truncated:
            raise DocumentError(str(error)) from error
