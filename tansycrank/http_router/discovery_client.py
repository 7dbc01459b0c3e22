"""Discovery over HTTP/1.1: a watch that stays open, a line a change; and the whole list once."""

from __future__ import annotations

import re
from collections.abc import Callable

import httptools
import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone

from tansycrank.http_router.settings import BEAT, CALL_WITHIN, MAX_LIST, Listing
from tansycrank.single_connection import OneConnection

_LISTING = msgspec.json.Decoder(Listing)
_MARKS = re.compile(
    rb'"(?:[^"\\]|\\.)*"|[{}\[\]]'
)  # a string, whose brackets do not count, or a bracket


class Objects:
    """Lines to the objects they hold, one a line or one over several (indented); an empty line is a
    beat.
    """

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._depth = self._size = 0

    def feed(self, line: bytes) -> Listing | None:
        """The object that this line ends; ValueError for what is none. Holds `MAX_LIST` bytes at
        most.
        """
        line = line.strip()
        if not line:
            if self._lines:
                raise ValueError("an object that does not go on")
            return None
        for mark in _MARKS.findall(line):
            self._depth += (mark in b"{[") - (mark in b"}]")
        self._lines.append(line)
        self._size += len(line)
        if self._depth > 0:
            if self._size > MAX_LIST:
                raise ValueError("an object without an end")
            if len(self._lines) == 1:
                _begins(line)
            return None
        complete, self._lines, self._depth, self._size = b"\n".join(self._lines), [], 0, 0
        return _LISTING.decode(complete)


def _begins(line: bytes) -> None:
    """ValueError if no object can begin so, however it goes on: noise is not waited for."""
    try:
        _LISTING.decode(line)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError as problem:
        if "truncated" not in str(problem):
            raise


class Call(Protocol):
    """One GET. `on_line` hears each object, `on_beat` each empty line of a watch: nothing has
    changed; `on_end` hears once that it is over, and whether it was well.
    """

    def __init__(
        self,
        request: bytes,
        watch: bool,
        reactor,
        on_line: Callable,
        on_beat: Callable,
        on_end: Callable,
    ) -> None:
        self.request, self.watch, self.reactor = request, watch, reactor
        self.on_line, self.on_beat, self.on_end = on_line, on_beat, on_end
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = bytearray()
        self.objects = Objects()
        self.good = self.ended = self.framed = False
        self.connector = None
        self.timer = reactor.callLater(CALL_WITHIN, self.end, False)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(self.request)

    def dataReceived(self, data: bytes) -> None:
        if self.ended:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end(False)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.good = self.parser.get_status_code() == 200
        if self.watch and not self.ended:
            self.timer.reset(BEAT)

    def on_body(self, body: bytes) -> None:
        if not self.good or self.ended:
            return
        self.buffer += body
        if self.watch:  # a list asked for once is one object, however many lines it has
            *lines, self.buffer = self.buffer.split(b"\n")
            for line in lines:
                if not self.ended:
                    self.timer.reset(
                        BEAT
                    )  # danger: a trickle without an end of line is silence too
                    self._line(line, self.objects.feed)
        if len(self.buffer) > MAX_LIST:
            self.end(False)

    def on_message_complete(self) -> None:
        if self.good and not self.watch and not self.ended:
            self._line(self.buffer, _LISTING.decode)
        self.end(self.good and not self.watch)

    def _line(self, line: bytes, read: Callable[[bytes], Listing | None]) -> None:
        try:
            listing = read(line)
        except ValueError:
            self.end(False)
        else:
            if listing is not None:
                self.on_line(listing)
            elif not line.strip():
                self.on_beat()

    def connectionLost(self, reason=connectionDone) -> None:
        if not self.framed and reason.check(ConnectionDone):  # an answer without a length ends so
            self.on_message_complete()  # danger: a reset is no end, wherever it falls
        self.end(False)

    def end(self, good: bool) -> None:
        """It is over."""
        if self.ended:
            return
        self.ended = True
        if self.timer.active():
            self.timer.cancel()
        if self.connector is not None:
            self.connector.disconnect()
        self.on_end(good)


class DiscoveryClient:
    """The watch that the module asked for; `heard` gets each listing, `unchanged` each word that
    nothing changed, `failed` that a call or the watch has ended without being asked to.
    """

    def __init__(
        self,
        reactor,
        host: str,
        port: int,
        version: Callable[[], int],
        heard: Callable[[Listing], None],
        unchanged: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.reactor, self.host, self.port = reactor, host, port
        self.version, self.heard, self.unchanged, self.failed = version, heard, unchanged, failed
        self.calls: set[Call] = set()
        self.watch: Call | None = None
        self.wanted = False  # a watch, whether or not one is open now

    def set_watch(self, on: bool) -> None:
        """Watch from the version held, or no longer. A watch that is open goes on."""
        self.wanted = on
        if not on and self.watch is not None:
            watch, self.watch = self.watch, None
            watch.end(False)
        if on and self.watch is None:
            self.watch = self._call(f"/api/targets?watch=1&after={self.version()}", True)

    def fetch(self) -> None:
        """Ask for the whole list once; one call at a time."""
        if not self.calls:
            self.calls.add(self._call("/api/targets", False))

    def move(self, host: str, port: int) -> None:
        """The service has a new address; what was asked at the old one is asked there, at once.

        Danger: a watch that has just failed at the old address comes back after the wait for that
        failure, and what discovery tells meanwhile counts as told.
        """
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        calls, self.calls = self.calls, set()
        for call in calls:
            call.end(False)
        if calls:
            self.fetch()
        if self.wanted:
            self.set_watch(False)
            self.set_watch(True)

    def _call(self, path: str, watch: bool) -> Call:
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        request += "\r\n" if watch else "Connection: close\r\n\r\n"

        def line(listing: Listing) -> None:
            if call is self.watch or call in self.calls:
                self.calls.discard(call)  # it has brought its list: another may be asked for
                self.heard(listing)

        def beat() -> None:
            if call is self.watch:
                self.unchanged()

        def ended(good: bool) -> None:
            was = call is self.watch or call in self.calls
            self.calls.discard(call)
            if call is self.watch:
                self.watch = None
            if was and not good:
                self.failed()

        call = Call(request.encode(), watch, self.reactor, line, beat, ended)
        factory = OneConnection(call, call.connectionLost)
        call.connector = self.reactor.connectTCP(self.host, self.port, factory, timeout=CALL_WITHIN)
        return call

    def stop(self) -> None:
        """No more calls."""
        calls, self.calls = self.calls, set()
        self.set_watch(False)
        for call in calls:
            call.end(False)
