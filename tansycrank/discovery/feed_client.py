"""The client of an endpoint feed: JSON lines over TCP."""

from __future__ import annotations

import msgspec
from twisted.internet.protocol import ClientFactory, Protocol

from tansycrank.config import Config
from tansycrank.discovery.endpoint_source import EndpointSource, UpdateCallback
from tansycrank.discovery.feed_lines import FeedLine
from tansycrank.discovery.view_messages import (
    Action,
    Connect,
    ConnectionEstablished,
    ConnectionLost,
    Disconnect,
    Event,
    LineReceived,
    LogProblem,
    PublishUpdate,
    SendRequest,
    SetTimer,
    TimerExpired,
    WatchRequested,
)
from tansycrank.json_input import JsonInputError, decode_json
from tansycrank.paced_lines import PacedLines
from tansycrank.pending_notifications import READ_BYTES, read_available
from tansycrank.routing import EndpointListKind, EndpointListUpdate

CONNECT_TIMEOUT_SECONDS = 2
_LINE_DECODER = msgspec.json.Decoder(FeedLine)


class _FeedProtocol(Protocol):
    """The connection to the feed."""

    def __init__(self, feed: FeedClient, max_line_bytes: int) -> None:
        self.feed, self._max_line_bytes = feed, max_line_bytes
        self.chunks_received = 0
        self.lines = PacedLines(feed.reactor, self._on_line)

    def dataReceived(self, data: bytes) -> None:
        """Handle the lines that are complete; close the connection at one that is too long."""
        self.chunks_received += 1
        self.lines.feed(data)
        if self.lines.unfinished_bytes > self._max_line_bytes:
            self.lines.handle_all()
            self._close_at_long_line()
        self.lines.handle_for_turn(self.transport)

    def send_line(self, line: bytes) -> None:
        """Write a line."""
        self.transport.write(line + b"\n")

    def _close_at_long_line(self) -> None:
        self.feed.log_problem(f"a line of over {self._max_line_bytes} bytes")
        self.lines.close()
        self.transport.abortConnection()

    def connectionMade(self) -> None:
        """Notify the view."""
        self.transport.bufferSize = READ_BYTES
        self.feed.protocol = self
        self.feed.handle(ConnectionEstablished())

    def _on_line(self, line: bytes) -> None:
        """Decode a line and pass it to the view, unless the feed has left this connection."""
        if self.feed.protocol is not self:
            return
        if len(line) > self._max_line_bytes:
            self._close_at_long_line()
            return
        try:
            decoded = decode_json(_LINE_DECODER, line)
        except JsonInputError:
            decoded = None
        self.feed.handle(LineReceived(decoded))

    def connectionLost(self, reason=None) -> None:
        """Notify the view, unless it closed the connection itself."""
        try:
            self.lines.handle_all()
        finally:
            self.lines.close()
            if self.feed.protocol is self:
                self.feed.protocol = None
                self.feed.handle(ConnectionLost())


class _FeedFactory(ClientFactory):
    """Connects a `_FeedProtocol`, once."""

    noisy = False

    def __init__(self, feed: FeedClient, max_line_bytes: int) -> None:
        self.feed, self.max_line_bytes = feed, max_line_bytes

    def buildProtocol(self, addr) -> _FeedProtocol:
        """Return the protocol of the connection."""
        return _FeedProtocol(self.feed, self.max_line_bytes)

    def clientConnectionFailed(self, connector, reason) -> None:
        """Notify the view."""
        self.feed.handle(ConnectionLost())


class FeedClient(EndpointSource):
    """A feed over TCP. It owns the connection and the view's timer."""

    def __init__(self, reactor, config: Config, pools, publish: UpdateCallback, log=None) -> None:
        super().__init__(reactor, config, pools, publish, log)
        section = config.roster
        self.host, _, port = section.feed.partition(":")
        self.port, self.max_line_bytes = int(port), section.max_line
        self.protocol: _FeedProtocol | None = None
        self._timer = None

    def watch(self, on: bool) -> None:
        """Start watching when the routing policy asks for it."""
        if on:
            self.handle(WatchRequested())

    def stop(self) -> None:
        """Close the connection and cancel the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._disconnect()

    def read_available(self) -> None:
        """Handle lines that have arrived on the feed."""
        if self.protocol is not None:
            read_available(self.protocol, self.reactor.seconds)

    def handle(self, event: Event) -> None:
        """Pass one event to the view and carry out its actions."""
        for action in self.view.step(self.now_ms(), [event]):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Carry out one action of the view."""
        super().carry_out(action)
        match action:
            case Connect():
                factory = _FeedFactory(self, self.max_line_bytes)
                self.reactor.connectTCP(
                    self.host, self.port, factory, timeout=CONNECT_TIMEOUT_SECONDS
                )
            case Disconnect():
                self._disconnect()
            case SendRequest():
                self._send(action)
            case PublishUpdate(update):
                self._log_update(update)
            case SetTimer(after_ms):
                self._timer = self.reactor.callLater(after_ms / 1000, self.handle, TimerExpired())
            case LogProblem(text):
                self.log_problem(text)

    def _disconnect(self) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.transport.abortConnection()

    def _send(self, request: SendRequest) -> None:
        if self.protocol is not None:
            fields = {
                "op": request.operation.value,
                "version": request.version,
                "epoch": request.epoch,
            }
            self.protocol.send_line(msgspec.json.encode(fields))

    def _log_update(self, update: EndpointListUpdate) -> None:
        if self.log and update.kind is not EndpointListKind.DELTA:
            self.log.info(
                "endpoint_list_received", kind=update.kind.value, nodes=len(update.entries)
            )
