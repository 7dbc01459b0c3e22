"""The received bytes of a client connection, parsed in slices so that no client holds the loop."""

from __future__ import annotations

from typing import Protocol

from tansycrank.http_router.disconnect_monitor import MonitoredConnection
from tansycrank.http_router.input_scheduler import InputClass
from tansycrank.http_router.interfaces import ConnectionServer
from tansycrank.http_router.request_codec import RequestRejectedError
from tansycrank.http_router.request_parser import SMALL_BODY, RequestHandler, RequestParser

# Bytes of a slice. The shortest fields, chunks or requests in it take less than 2 ms.
SLICE_BYTES = 512
# A read of at most this size is parsed at once: a usual request does not wait behind large ones.
MAX_IMMEDIATE_BYTES = 2048
NO_MEMORY_MESSAGE = "there is no memory for a large request now"


class InputOwner(RequestHandler, MonitoredConnection, Protocol):
    """The connection that the bytes were received on."""

    transport: object
    has_completed_request: bool

    @property
    def may_parse(self) -> bool:
        """Whether requests are read now: the stream is sound and the client reads its answers."""

    def on_malformed(self, rejection: RequestRejectedError) -> None:
        """Handle a stream that cannot be parsed any further."""

    def on_input_parsed(self) -> None:
        """Handle a change of the bytes that the connection holds."""


class ClientInput:
    """The parser of one connection and the bytes that were received and not parsed yet.

    While there are such bytes, the connection is not read. `arrived_at` is the time (s) at which
    the bytes being parsed may have become readable.
    """

    def __init__(self, owner: InputOwner, server: ConnectionServer) -> None:
        self._owner, self._reactor = owner, server.reactor
        self._scheduler, self._monitor = server.input_scheduler, server.disconnect_monitor
        self._reservations = server.body_reservations
        self._parser = RequestParser(owner)
        self._unparsed = bytearray()
        self.arrived_at = 0.0
        self.parse_seconds = 0.0  # time spent on parsing and answering what was parsed
        self.waits_for_memory = False  # since then the connection is not read
        self._is_paused = False  # whether the connection is not read
        self._paused_since: float | None = None  # s: when what is read next may have arrived

    @property
    def is_empty(self) -> bool:
        """Whether no request was read in part and nothing is left to parse."""
        return not self._parser.is_mid_request and not self._unparsed

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has started and is incomplete."""
        return self._parser.is_mid_request

    @property
    def is_rest_unread(self) -> bool:
        """Whether more of a request has arrived in the kernel, and is read next."""
        return not self._is_paused and self._owner.transport.unread_bytes > 0

    @property
    def unparsed_bytes(self) -> int:
        """Number of bytes that were received and not parsed."""
        return len(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Bytes held of the request that was read in part, and of those behind it."""
        return self._parser.held_bytes + len(self._unparsed)

    def receive(self, data: bytes, arrived_at: float) -> None:
        """Parse received bytes now if they are few, else in slices."""
        is_cheap = len(data) <= max(MAX_IMMEDIATE_BYTES, self._parser.unread_body_bytes)
        is_behind = self._unparsed or self.waits_for_memory
        if is_behind or not is_cheap or not self._scheduler.has_time:
            self.hold(data, arrived_at)
            self.continue_parsing()
            return
        self.arrived_at = self._earliest(arrived_at)
        started = self._reactor.seconds()
        self._feed(data)
        taken = self._reactor.seconds() - started
        self.parse_seconds += taken
        self._scheduler.record_immediate(taken)

    def hold(self, data: bytes, arrived_at: float) -> None:
        """Keep received bytes; `continue_parsing` parses them."""
        if not self._unparsed:
            self.arrived_at = self._earliest(arrived_at)
        self._unparsed += data

    def _earliest(self, arrived_at: float) -> float:
        """Return when bytes may have arrived: they lay in the kernel while it was not read."""
        paused_since, self._paused_since = self._paused_since, None
        return arrived_at if paused_since is None else min(arrived_at, paused_since)

    def continue_parsing(self) -> None:
        """Parse what is left, in turn with other connections."""
        if self._unparsed and self._may_parse:
            self._pause_reading()
            self._scheduler.submit(self, self._input_class())

    def _input_class(self) -> InputClass:
        if self._owner.has_completed_request:
            return InputClass.KEPT
        is_small = len(self._unparsed) <= MAX_IMMEDIATE_BYTES
        return InputClass.SMALL if is_small else InputClass.LARGE

    @property
    def _may_parse(self) -> bool:
        is_open = self._owner is not None and self._owner.may_parse
        return is_open and not self.waits_for_memory

    def parse(self, until: float) -> bool:
        """Parse slices until the time `until` (s); return whether some are left."""
        started = self._reactor.seconds()
        while self._unparsed and self._may_parse:
            size = max(SLICE_BYTES, self._parser.unread_body_bytes)
            piece = bytes(self._unparsed[:size])
            del self._unparsed[:size]
            self._feed(piece)
            if self._reactor.seconds() >= until:
                break
        self.parse_seconds += self._reactor.seconds() - started
        if self._owner is None:
            return False
        is_left = bool(self._unparsed) and self._may_parse
        if not is_left and not self.waits_for_memory:
            self._resume_reading()
        self._owner.on_input_parsed()
        return is_left

    def _feed(self, piece: bytes) -> None:
        try:
            self._parser.feed(piece)
        except RequestRejectedError as rejection:
            self._unparsed.clear()
            if self._owner is not None:  # a connection may close while it is answered
                self._owner.on_malformed(rejection)
            return
        if self._owner is not None:
            self._update_reservation()

    def _update_reservation(self) -> None:
        size = self._parser.expected_body_bytes
        if size <= SMALL_BODY:
            self._reservations.release(self)
        elif not self._reservations.reserve(self, size):
            if self._reservations.may_wait:
                self.waits_for_memory = True
                self._pause_reading()
            else:
                self._owner.on_malformed(RequestRejectedError(503, NO_MEMORY_MESSAGE))

    def on_reserved(self) -> None:
        """Read the body: its memory is reserved."""
        self.waits_for_memory = False
        if self._unparsed:
            self.continue_parsing()
        else:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._is_paused:
            self._is_paused, self._paused_since = True, self._reactor.seconds()
            self._owner.transport.pauseProducing()
            self._monitor.add(self._owner)

    def _resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._monitor.remove(self._owner)
            self._owner.transport.resumeProducing()

    def abandon(self) -> None:
        """Discard all that was received: nothing more is parsed. The connection is read again."""
        self._parser.abandon_request()
        self._unparsed.clear()
        self._scheduler.cancel(self)
        self.waits_for_memory = False
        self._reservations.release(self)
        self._resume_reading()

    def close(self) -> None:
        """Release all that it holds: the connection has closed.

        No reference cycle is left, since the garbage collector may come much later.
        """
        self._scheduler.cancel(self)
        self._monitor.remove(self._owner)
        self._reservations.release(self)
        self._unparsed.clear()
        self._parser.close()
        self._owner = None
