"""One client's HTTP/1.1 connection: requests in order, exactly one answer each.

Parsing is llhttp's (`httptools`), in its strict form.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import httptools
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.coordinator import Query
from tansycrank.http_router.request_codec import QueryRequest, Refused
from tansycrank.http_router.settings import (
    IDLE_CLIENT,
    LINGER,
    MAX_BODY,
    MAX_DROPPED,
    MAX_HEAD,
    MAX_PIPELINE,
    REQUEST_WITHIN,
    UNREAD,
)
from tansycrank.routing import FailureReason

if TYPE_CHECKING:
    from tansycrank.http_router.http_server import HttpServer

READY, HEALTHY = b"/-/ready", b"/-/healthy"
ONCE_ONLY = (b"host", b"idempotency-key")  # and all of x-: which of two would count?


@dataclass(slots=True, eq=False)
class Slot:
    """One request's place in the order of answers."""

    keep: bool  # whether the client may go on on this connection
    answer: tuple[int, bytes, tuple[bytes, ...]] | None = None
    query: Query | None = None
    asked: bool = False  # whether it was a query, whatever its answer
    told: QueryRequest | None = None  # read, and not taken yet


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.slots: deque[Slot] = deque()
        self.since = server.now  # s: when what it is being waited for began
        self.dropped = 0
        self.spoke = self.in_message = self.closing = False
        self.unread_since: float | None = None
        self.held = bytearray()  # what came while answers were not read
        self.read_at = 0.0  # s: when the last request could have been read
        self.fault: tuple[int, str] | None = None
        self._fresh()
        self.parser = httptools.HttpRequestParser(self)

    def _fresh(self) -> None:
        self.url, self.headers, self.body, self.head = b"", {}, bytearray(), 0
        self.in_head = True

    @property
    def idle(self) -> bool:
        """Whether nobody would miss an answer if it closed now."""
        return not self.slots and not self.in_message

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        if self.server.settling:
            self.server.read_on(self)
        if self.closing or self.fault is not None:
            self.dropped += len(data)
            if (
                self.dropped > MAX_DROPPED
            ):  # danger: reading on what is of no use, 60 MB at full speed
                self.transport.pauseProducing()
                self._give_back()
        elif self.unread_since is not None:
            # Danger: a pause here would hide that the client has left, with its requests still in
            # line.
            self.held += data
            if len(self.held) > MAX_HEAD + MAX_BODY:
                self._give_back()
                self._abort("more requests than may wait behind unread answers")
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        if self.in_head:
            self.head += len(data)
        fault = None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            fault = 400, "no protocol but HTTP/1.1"
        except httptools.HttpParserError as problem:
            fault = self.fault or (400, f"not HTTP: {problem}")
        else:
            if self.in_message and self.in_head and self.head > MAX_HEAD:
                fault = 431, f"a head holds at most {MAX_HEAD} bytes"
        if fault is not None and not self.closing:  # danger: a second answer behind the last one
            self._refuse(*fault)

    # --- what the parser found --------------------------------------------------------

    def on_message_begin(self) -> None:
        self.in_message, self.since = True, self.server.now
        self.server.unused.pop(self, None)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name in self.headers and (name in ONCE_ONLY or name.startswith(b"x-")):
            self._stop(400, f"{name.decode('ascii', 'replace')}: given twice")
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.in_head = False
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > MAX_BODY:
            self._stop(413, f"a body holds at most {MAX_BODY} bytes")
        if b"host" not in self.headers and self.parser.get_http_version() == "1.1":
            self._stop(400, "Host: missing")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and not self.slots:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_BODY:
            self._stop(413, f"a body holds at most {MAX_BODY} bytes")

    def on_message_complete(self) -> None:
        if self.closing:  # danger: sent on although its answer cannot leave any more
            raise ValueError("after the last answer of its connection")
        if len(self.slots) >= MAX_PIPELINE:
            self._stop(503, f"a connection may have {MAX_PIPELINE} requests open")
        slot = Slot(self.parser.should_keep_alive())
        self.in_message = False
        self.spoke = True
        self.slots.append(slot)
        try:
            self._dispatch(slot)
        except Refused as refused:
            self._unusable(slot, refused)
        self._fresh()
        self.flush()

    def _stop(self, status: int, words: str) -> None:
        """Leave the parser: what follows on this connection cannot be trusted."""
        self.fault = (status, words)
        raise ValueError(words)

    # --- requests and answers ---------------------------------------------------------

    def _dispatch(self, slot: Slot) -> None:
        server = self.server
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError as problem:
            raise Refused(400, "an address that cannot be read") from problem
        method, path = self.parser.get_method(), url.path or b""
        if path in (READY, HEALTHY):
            if method not in (b"GET", b"HEAD"):
                raise Refused(405, "GET")
            status = 200 if path == HEALTHY or server.ready else 503
            slot.answer = (status, b"" if method == b"HEAD" else b"{}", ())
            return
        slot.asked = True
        if method != b"POST":
            raise Refused(405, "a query is a POST")
        settings = server.settings
        slot.told = codec.read(
            path,
            url.query or b"",
            self.headers,
            bytes(self.body),
            settings.classes,
            settings.module.shards,
        )
        self.read_at = (
            server.now - server.overslept()
        )  # danger: nodes are told time that its client lacks
        server.settle(self)

    def admit(self) -> None:
        """What was read is taken: its client is still there."""
        for slot in [slot for slot in self.slots if slot.told is not None]:
            told, slot.told = slot.told, None

            def reply(status: int, body: bytes, more: tuple[bytes, ...], slot: Slot = slot) -> None:
                slot.answer, slot.query = (status, body, more), None
                self.flush()

            try:
                waited = (self.server.now - self.read_at) * 1000
                slot.query = self.server.coordinator.take(told, reply, waited)
            except Refused as refused:
                self._unusable(slot, refused)
            except (
                Exception
            ) as error:  # danger: one query's fault, and those read with it are never taken
                self.server.log("query_admission_failed", error=repr(error), traceback=True)
                self._unusable(slot, Refused(503, "it could not be taken"))
        self.flush()

    def _unusable(self, slot: Slot, refused: Refused) -> None:
        self.server.counts["unusable"] += 1
        self.server.latest = str(refused)
        more = codec.wait(self.server.retry_after) if refused.status == 503 else ()
        slot.answer = (refused.status, codec.words(str(refused)), more)

    def _give_back(self) -> None:
        """Nothing more is read here, so nobody sees the client leave: what is open is answered now."""
        for slot in list(self.slots):
            if slot.told is not None:
                slot.told = None
                self._unusable(slot, Refused(503, "its connection cannot be read any more"))
            elif slot.query is not None:
                self.server.coordinator.reject(slot.query, FailureReason.UNREADABLE)
        self.flush()

    def flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self.slots and self.slots[0].answer is not None and not self.closing:
            slot = self.slots.popleft()
            last = not self.slots and not self.in_message
            close = not slot.keep or (self.server.draining and last)
            status, body, more = slot.answer
            self.since = self.server.now
            self.transport.write(codec.reply(status, body, close, *more))
            if close and self.fault is not None:
                self._linger()
            elif close:
                self.close("asked for" if not slot.keep else "leaving")
            elif last and slot.asked:
                self.server.rests(self)

    def _refuse(self, status: int, words: str) -> None:
        """The connection cannot go on: an error and a close."""
        self.server.counts["unreadable"] += 1
        self.fault = (
            status,
            words,
        )  # danger: what follows would be refused anew, a place in line each time
        if self.slots:  # answers before it are still owed; the close follows the last of them
            self.slots.append(Slot(False, (status, codec.words(words), ())))
            self.in_message = False
            return
        self.transport.write(codec.reply(status, codec.words(words), True))
        self._linger()

    def _linger(self) -> None:
        """Close, so that the error is not lost to a reset by what still comes."""
        self._ends("unreadable")
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.server.reactor.callLater(LINGER, self.transport.abortConnection)

    def close(self, reason: str) -> None:
        """Close once what was written has left."""
        if not self.closing:
            self._ends(reason)
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _abort(self, reason: str) -> None:
        """Close at once; what was written and has not left is lost."""
        if not self.closing:
            self._ends(reason)
        self.transport.abortConnection()

    def _ends(self, reason: str) -> None:
        """This process ends the connection: none of its requests may be open then."""
        self.closing = True
        server = self.server
        server.closed[reason] += 1
        owed = [slot.query.life for slot in self.slots if slot.query is not None]
        server.coordinator.lifecycle.close_connection(owed, reason, server.coordinator.loop.now)

    def check(self, now: float) -> None:
        """Close what has waited too long; called now and then."""
        waited = now - self.since
        if self.closing:
            if waited >= UNREAD:
                self._abort("last answer not read")
        elif self.unread_since is not None:
            if now - self.unread_since >= UNREAD:
                self._give_back()
                self._abort("answers not read")
        elif self.in_message and waited >= REQUEST_WITHIN:
            self._refuse(408, f"a request has to come within {REQUEST_WITHIN} s")
        elif self.idle and waited >= (IDLE_CLIENT if self.spoke else REQUEST_WITHIN):
            self.close("unused" if self.spoke else "silent")

    # --- the transport's word ---------------------------------------------------------

    def pauseProducing(self) -> None:
        """Its answers are not being read: no further requests."""
        self.unread_since = self.server.now

    def resumeProducing(self) -> None:
        self.unread_since = None
        held, self.held = self.held, bytearray()
        if held and not self.closing and self.fault is None:
            self._feed(bytes(held))

    def stopProducing(self) -> None:
        self.unread_since = None

    def connectionLost(self, reason=connectionDone) -> None:
        self.closing = True
        self.server.connections.pop(self, None)
        self.server.unused.pop(self, None)
        self.server.settling.pop(self, None)
        for slot in self.slots:
            if slot.query is not None:
                self.server.coordinator.abandon(slot.query)
        self.slots.clear()
        self.parser = (
            None  # it holds this connection's methods: a ring that only the collector would find
        )
