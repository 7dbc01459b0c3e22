"""Incremental parser for HTTP/1.1 requests.

Based on llhttp (`httptools`) in strict mode, whose exceptions are mapped to `RequestRejectedError`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import httptools

from tansycrank.http_router.request_codec import RequestRejectedError

MAX_BODY = 64 * 1024  # bytes per request body, as the protocol defines
SMALL_BODY = 4 * 1024  # bytes up to which a body is read without a reservation of memory
MAX_HEAD = 16 * 1024  # bytes per request head, including the trailer fields behind its body
MAX_FIELDS = 100  # header and trailer fields of a request
FIELD_OVERHEAD_BYTES = 200  # of the objects that hold a field, beside its bytes
CHUNK_FRAMING = 32  # bytes around the data of a chunk that do not count as head or trailer
# These headers and all x- headers determine what a request means; a repeated one is ambiguous.
UNIQUE_HEADERS = (b"host", b"idempotency-key")


class RequestPhase(Enum):
    """Whether a request is being read."""

    BETWEEN_REQUESTS = "between requests"
    READING = "reading a request"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A complete request; `keeps_alive` is whether the connection stays open after it."""

    method: bytes
    url: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keeps_alive: bool


class RequestHandler(Protocol):
    """Receives the callbacks of the parser."""

    def on_request_started(self) -> None:
        """Handle the first byte of a request."""

    def on_continue_expected(self) -> None:
        """Handle a request whose client waits for `100 Continue` before it sends the body."""

    def check_may_accept(self) -> None:
        """Raise RequestRejectedError if the connection accepts no further request."""

    def on_request(self, request: ParsedRequest) -> None:
        """Handle a complete request."""


class RequestParser:
    """Parses the stream of one connection. `feed` must not be called again after it raised."""

    def __init__(self, handler: RequestHandler) -> None:
        self.phase = RequestPhase.BETWEEN_REQUESTS
        self._handler: RequestHandler | None = handler
        # the error raised by a callback, which llhttp replaces by its own
        self._rejection: RequestRejectedError | None = None
        self._reset()
        self._parser = httptools.HttpRequestParser(self)

    def _reset(self) -> None:
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._field_count = 0  # a repeated field counts again
        self._body = bytearray()
        self._body_length = 0  # as announced; 0 if it comes in chunks
        self._head_bytes = 0  # bytes received that are neither body nor framing of chunks

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has started and is incomplete."""
        return self.phase is RequestPhase.READING

    @property
    def held_bytes(self) -> int:
        """Bytes held of the partly read request, with the objects that hold its fields."""
        if not self.is_mid_request:
            return 0
        return self._head_bytes + self._field_count * FIELD_OVERHEAD_BYTES + len(self._body)

    @property
    def unread_body_bytes(self) -> int:
        """Bytes that are left of a body of announced length; they are cheap to parse."""
        return max(self._body_length - len(self._body), 0) if self.is_mid_request else 0

    @property
    def expected_body_bytes(self) -> int:
        """Bytes that the body of the partly read request may take, or have taken already."""
        if not self.is_mid_request:
            return 0
        is_large_in_chunks = not self._body_length and len(self._body) > SMALL_BODY
        return MAX_BODY if is_large_in_chunks else max(self._body_length, len(self._body))

    def abandon_request(self) -> None:
        """Discard the partly read request."""
        self.phase = RequestPhase.BETWEEN_REQUESTS
        self._reset()

    def close(self) -> None:
        """Release what was read, and the llhttp parser and the handler, which refer to this."""
        self.abandon_request()
        self._parser = self._handler = self._rejection = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raises RequestRejectedError if the stream cannot be parsed further."""
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as problem:
            raise RequestRejectedError(400, "no protocol but HTTP/1.1") from problem
        except httptools.HttpParserError as problem:
            raise (
                self._rejection or RequestRejectedError(400, f"not HTTP: {problem}")
            ) from problem
        if self.is_mid_request and self._head_bytes > MAX_HEAD:
            raise RequestRejectedError(
                431, f"a head and the trailer fields hold at most {MAX_HEAD} bytes"
            )

    def _reject(self, status: int, message: str) -> None:
        self._rejection = RequestRejectedError(status, message)
        raise self._rejection

    # --- callbacks of llhttp ----------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request."""
        self.phase = RequestPhase.READING
        self._handler.on_request_started()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or trailer field, rejecting too many and repeated unique ones."""
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            self._reject(431, f"a head and the trailer have at most {MAX_FIELDS} fields")
        name = name.lower()
        is_unique = name in UNIQUE_HEADERS or name.startswith(b"x-")
        if name in self._headers and is_unique:
            self._reject(400, f"{name.decode('ascii', 'replace')}: given twice")
        self._headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the headers before the body is read."""
        length = self._headers.get(b"content-length", b"0")
        self._body_length = int(length) if length.isdigit() else 0
        if self._body_length > MAX_BODY:
            self._reject(413, f"a body holds at most {MAX_BODY} bytes")
        if b"host" not in self._headers and self._parser.get_http_version() == "1.1":
            self._reject(400, "Host: missing")
        if self._headers.get(b"expect", b"").lower() == b"100-continue":
            self._handler.on_continue_expected()

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body; its total length is unknown if the encoding is chunked."""
        self._body += body
        self._head_bytes = max(self._head_bytes - len(body), 0)
        if len(self._body) > MAX_BODY:
            self._reject(413, f"a body holds at most {MAX_BODY} bytes")

    def on_chunk_header(self) -> None:
        """Allow for the framing of a chunk, which is not stored."""
        self._head_bytes = max(self._head_bytes - CHUNK_FRAMING, 0)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler and reset for the next one."""
        try:
            self._handler.check_may_accept()
        except RequestRejectedError as rejection:
            self._rejection = rejection
            raise
        self.phase = RequestPhase.BETWEEN_REQUESTS
        request = ParsedRequest(
            method=self._parser.get_method(),
            url=self._url,
            headers=self._headers,
            body=bytes(self._body),
            keeps_alive=self._parser.should_keep_alive(),
        )
        self._handler.on_request(request)
        self._reset()
