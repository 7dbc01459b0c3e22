"""One HTTP/1.1 GET to service discovery: a poll, or a watch that stays open."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone

from tansycrank.http_router.document_reader import (
    MAX_LISTING_BYTES,
    DocumentError,
    DocumentReader,
    decode_document,
)
from tansycrank.http_router.settings import EndpointListDocument

EXCHANGE_TIMEOUT_SECONDS = 2.0  # for a poll, and for a watch to begin
HEARTBEAT_TIMEOUT_SECONDS = 3.0  # without a line on a watch, which has a heartbeat every 2 s
HTTP_OK = 200
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")


class ExchangeKind(Enum):
    """What is asked of discovery."""

    POLL = auto()  # the whole list once
    WATCH = auto()  # each change, a line each


class ExchangeListener(Protocol):
    """Who is notified of an exchange."""

    def on_endpoint_list(self, exchange: DiscoveryExchange, document: EndpointListDocument) -> None:
        """A list or change arrived."""

    def on_heartbeat(self, exchange: DiscoveryExchange) -> None:
        """The watch reported that nothing changed."""

    def on_end(self, exchange: DiscoveryExchange, succeeded: bool) -> None:
        """The exchange is over; called once."""


class DiscoveryExchange(TwistedProtocol):
    """One GET and its response. It owns its connection and its timer."""

    def __init__(
        self, reactor, kind: ExchangeKind, request: bytes, listener: ExchangeListener
    ) -> None:
        self.kind, self.ended, self.connector = kind, False, None
        self.chunks_received = 0
        self._request, self._listener = request, listener
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self._reader = DocumentReader()
        self._is_ok = False  # whether the response has status 200
        self._has_length = False  # else its end is the end of the connection
        self._timer = reactor.callLater(EXCHANGE_TIMEOUT_SECONDS, self.end, False)

    @property
    def is_watch(self) -> bool:
        """Whether it stays open for changes."""
        return self.kind is ExchangeKind.WATCH

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Parse a piece of the response."""
        self.chunks_received += 1
        if self.ended:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end(False)

    def connectionLost(self, reason=connectionDone) -> None:
        """End the exchange; a response without a length is complete at an orderly close only."""
        if not self._has_length and reason.check(ConnectionDone):
            self.on_message_complete()
        self.end(False)

    def end(self, succeeded: bool) -> None:
        """End the exchange, once."""
        if self.ended:
            return
        self.ended = True
        if self._timer.active():
            self._timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
        self._listener.on_end(self, succeeded)

    # --- callbacks of httptools ---------------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the response says where it ends."""
        self._has_length = self._has_length or name.lower() in LENGTH_HEADERS

    def on_headers_complete(self) -> None:
        """Take the status; a watch is open from now on."""
        self._is_ok = self._parser.get_status_code() == HTTP_OK
        if self.is_watch and not self.ended:
            self._timer.reset(HEARTBEAT_TIMEOUT_SECONDS)

    def on_body(self, body: bytes) -> None:
        """Read the complete lines of a watch; collect the body of a poll."""
        if not self._is_ok or self.ended:
            return
        self._buffer += body
        if self.is_watch:
            *lines, self._buffer = self._buffer.split(b"\n")
            for line in lines:
                self._read_line(line)
        if len(self._buffer) > MAX_LISTING_BYTES:
            self.end(False)

    def on_message_complete(self) -> None:
        """Read the body of a poll; a watch must not end."""
        is_poll = self._is_ok and not self.is_watch
        if is_poll and not self.ended:
            self._notify(self._buffer, decode_document)
        self.end(is_poll)

    def _read_line(self, line: bytes) -> None:
        if not self.ended:
            # Only a complete line resets the timer: a trickle of bytes without an end is silence.
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
