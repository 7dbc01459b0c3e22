"""One HTTP/1.1 GET request to service discovery: a poll, or a watch that stays open."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone

from tansycrank.http_router.document_reader import (
    MAX_DOCUMENT_BYTES,
    DocumentError,
    DocumentReader,
    decode_document,
)
from tansycrank.http_router.settings import EndpointListDocument
from tansycrank.paced_lines import PacedLines
from tansycrank.pending_notifications import READ_BYTES

EXCHANGE_TIMEOUT_SECONDS = 2.0  # for a whole poll, and for the response headers of a watch
HEARTBEAT_TIMEOUT_SECONDS = 3.0  # between lines on a watch; discovery sends a heartbeat every 2 s
HTTP_OK = 200
MAX_HEAD_BYTES = 16 * 1024  # of a response's head, and of the trailer fields behind its body
CHUNK_FRAMING_BYTES = 32  # bytes around the data of a chunk that do not count as head or trailer
BODY_LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class ExchangeKind(Enum):
    """The kinds of request to discovery."""

    POLL = auto()  # the whole endpoint list, once
    WATCH = auto()  # a stream of changes as JSON objects on lines


class ExchangeListener(Protocol):
    """The interface through which an exchange reports its results."""

    def on_endpoint_list(self, exchange: DiscoveryExchange, document: EndpointListDocument) -> None:
        """Handle an endpoint list, a snapshot or a delta."""

    def on_heartbeat(self, exchange: DiscoveryExchange) -> None:
        """Handle a heartbeat: the watch reported no change."""

    def on_end(self, exchange: DiscoveryExchange, succeeded: bool) -> None:
        """Handle the end of the exchange; called once."""


class DiscoveryExchange(TwistedProtocol):
    """One GET request and its response; owns its connection and its timer."""

    def __init__(
        self, reactor, kind: ExchangeKind, request: bytes, listener: ExchangeListener
    ) -> None:
        self.kind, self.ended, self.connector = kind, False, None
        self.chunks_received = 0
        self._request, self._listener = request, listener
        self._parser = httptools.HttpResponseParser(self)
        self.lines = PacedLines(reactor, self._read_line)  # of a watch
        self._body = bytearray()  # of a poll
        self._head_bytes = 0  # bytes received that are neither body nor framing of chunks
        self._reader = DocumentReader()
        self._has_ok_status = False  # whether the response has status 200
        self._has_body_length = False  # otherwise the body ends with the connection
        self._timer = reactor.callLater(EXCHANGE_TIMEOUT_SECONDS, self.end, False)

    @property
    def is_watch(self) -> bool:
        """Whether this is a watch, which stays open for changes."""
        return self.kind is ExchangeKind.WATCH

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.bufferSize = READ_BYTES
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Parse a chunk of the response."""
        self.chunks_received += 1
        if self.ended:
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail()
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail()
        self.lines.handle_for_turn(self.transport)

    def connectionLost(self, reason=connectionDone) -> None:
        """End the exchange; a body without a length is complete only after an orderly close."""
        try:
            self.lines.handle_all()
            if not self._has_body_length and reason.check(ConnectionDone):
                self.on_message_complete()
        finally:
            self.end(False)

    def end(self, succeeded: bool) -> None:
        """End the exchange and notify the listener, unless it has already ended."""
        if self.ended:
            return
        self.ended = True
        self.lines.close()
        if self._timer.active():
            self._timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
        self._listener.on_end(self, succeeded)

    def _fail(self) -> None:
        """End the exchange after the lines that came before what is wrong."""
        self.lines.handle_all()
        self.end(False)

    # --- callbacks of httptools ---------------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether the headers determine the length of the body."""
        self._has_body_length = self._has_body_length or name.lower() in BODY_LENGTH_HEADERS

    def on_headers_complete(self) -> None:
        """Record the status; from now on a watch must receive heartbeats."""
        self._has_ok_status = self._parser.get_status_code() == HTTP_OK
        if self.is_watch and not self.ended:
            self._timer.reset(HEARTBEAT_TIMEOUT_SECONDS)

    def on_chunk_header(self) -> None:
        """Allow for the framing of a chunk, which is not stored."""
        self._head_bytes = max(self._head_bytes - CHUNK_FRAMING_BYTES, 0)

    def on_body(self, body: bytes) -> None:
        """Add to the lines of a watch, or to the body of a poll."""
        self._head_bytes = max(self._head_bytes - len(body), 0)
        if not self._has_ok_status or self.ended:
            return
        if self.is_watch:
            self.lines.feed(body)
        else:
            self._body += body
        if max(self.lines.unfinished_bytes, len(self._body)) > MAX_DOCUMENT_BYTES:
            self._fail()

    def on_message_complete(self) -> None:
        """Process the body of a poll; the end of a watch is a failure."""
        self.lines.handle_all()
        is_poll = self._has_ok_status and not self.is_watch
        if is_poll and not self.ended:
            self._notify(self._body, decode_document)
        self.end(is_poll)

    def _read_line(self, line: bytes) -> None:
        if not self.ended:
            # Only a complete line resets the timer; bytes without an end of line are no heartbeat.
            self._timer.reset(HEARTBEAT_TIMEOUT_SECONDS)
            self._notify(line, self._reader.feed)

    def _notify(self, data: bytes, read: Callable[[bytes], EndpointListDocument | None]) -> None:
        try:
            document = read(data)
        except DocumentError:
            self.end(False)
            return
        if document is not None:
            self._listener.on_endpoint_list(self, document)
        elif not data.strip():
            self._listener.on_heartbeat(self)
