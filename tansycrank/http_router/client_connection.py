"""One client's HTTP/1.1 connection: requests in order, exactly one answer each."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

import httptools
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.active_query import ActiveQuery
from tansycrank.http_router.interfaces import ConnectionServer
from tansycrank.http_router.request_codec import QueryRequest, RequestRejectedError, Response
from tansycrank.http_router.request_parser import (
    MAX_BODY,
    MAX_HEAD,
    ParsedRequest,
    RequestParser,
)
from tansycrank.listening import seconds_since_data
from tansycrank.routing import FailureReason

READY_PATH = b"/-/ready"
HEALTHY_PATH = b"/-/healthy"
MAX_PIPELINE = 32  # requests of one connection accepted and not yet answered
REQUEST_WITHIN = 2.0  # s for a complete request, from its connection or its first byte
IDLE_CLIENT = 3.0  # s a client's connection may lie unused
UNREAD = 5.0  # s a client may leave its answers unread
LINGER = 0.25  # s between an error that ends a connection and its close
# bytes discarded while lingering: a close with unread bytes would reset the connection, and the
# client would lose the error
MAX_DROPPED = 256 * 1024


class ConnectionState(Enum):
    """What happens to the bytes that a client sends, and to its connection."""

    OPEN = "open"  # requests are read and answered
    DISCARDING = "discarding"  # the stream is unusable; earlier answers are still owed
    LINGERING = "lingering"  # the error was written; input is discarded until the close
    CLOSING = "closing"  # closes once what was written has left
    CLOSED = "closed"


LEAVING = "this router stops"  # of a rejection
CLOSING_STATES = (ConnectionState.LINGERING, ConnectionState.CLOSING, ConnectionState.CLOSED)


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """One request's place in the order of answers."""

    keeps_alive: bool  # whether the client may send further requests on this connection
    response: Response | None = None
    query: ActiveQuery | None = None
    is_query: bool = False  # a request for a query, whatever its answer
    unadmitted: QueryRequest | None = None  # read, and not admitted yet
    arrived_at: float = 0.0  # s: when it could have been read


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """One client's connection.

    Two parties close it: this process, by way of `LINGERING` or `CLOSING`, or the client. It is
    its own transport's producer, which is paused while the client does not read its answers.
    """

    def __init__(self, server: ConnectionServer, queued_since: float | None = None) -> None:
        """`queued_since` (s): since when it may have waited to be accepted."""
        self.server = server
        self._queued_since = queued_since
        self.state = ConnectionState.OPEN
        self.pending: deque[PendingAnswer] = deque()
        self.waiting_since = server.now  # s: when what it is being waited for began
        self.has_completed_request = False
        self.unread_since: float | None = None  # s: when its answers stopped being read
        self._dropped_bytes = 0
        self._unparsed = bytearray()  # what came while answers were not read
        self._unparsed_since = 0.0  # s: when the first of it arrived
        self._arrived_at = 0.0  # s: when the bytes that are parsed could have been read
        self._parser = RequestParser(self)

    @property
    def is_idle(self) -> bool:
        """Whether no answer would be lost if it closed now."""
        return not self.pending and not self._parser.is_mid_request

    @property
    def is_closing(self) -> bool:
        """Whether it takes no further request and writes no further answer."""
        return self.state in CLOSING_STATES

    # --- input ------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Register with the transport to learn when the client stops reading."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        """Parse, keep or discard what came."""
        self.server.on_bytes_received(self)
        if self.state is not ConnectionState.OPEN:
            self._discard(data)
        elif self.unread_since is not None:
            # Pausing the transport would hide that the client has left, with requests queued.
            if not self._unparsed:
                self._unparsed_since = self._arrival()
            self._unparsed += data
            if len(self._unparsed) > MAX_HEAD + MAX_BODY:
                self.reject_pending()
                self._abort("more requests than may wait behind unread answers")
        else:
            self._arrived_at = self._arrival()
            self._parse(data)

    def _arrival(self) -> float:
        """When the bytes that were read now could have been read; seconds."""
        now = self.server.now
        unread = self.server.overslept()
        if self._queued_since is not None:  # with its first request it waited to be accepted
            queued = min(seconds_since_data(self.transport.getHandle()), now - self._queued_since)
            self._queued_since = None
            unread = max(unread, queued)
        return now - unread

    def _discard(self, data: bytes) -> None:
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED:
            self.transport.pauseProducing()
            self.reject_pending()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except RequestRejectedError as refusal:
            if not self.is_closing:  # otherwise its last answer was written already
                self._refuse(refusal)

    # --- requests ---------------------------------------------------------------------

    def on_request_started(self) -> None:
        """Start the time in which the request has to be complete."""
        self.waiting_since = self.server.now
        self.server.on_request_started(self)

    def on_continue_expected(self) -> None:
        """Ask for the body, unless answers before this one are owed."""
        if not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def check_may_accept(self) -> None:
        """Reject a request behind the last answer, or beyond the bound of open requests."""
        if self.is_closing:
            raise RequestRejectedError(400, "after the last answer of its connection")
        if len(self.pending) >= MAX_PIPELINE:
            raise RequestRejectedError(503, f"a connection may have {MAX_PIPELINE} requests open")

    def on_request(self, request: ParsedRequest) -> None:
        """Answer a request about this process at once; schedule the admission of a query."""
        answer = PendingAnswer(request.keeps_alive)
        self.has_completed_request = True
        self.pending.append(answer)
        try:
            self._dispatch(request, answer)
        except RequestRejectedError as refusal:
            self._answer_unusable(answer, refusal)
        self.flush()

    def _dispatch(self, request: ParsedRequest, answer: PendingAnswer) -> None:
        try:
            url = httptools.parse_url(request.url)
        except httptools.HttpParserInvalidURLError as problem:
            raise RequestRejectedError(400, "an address that cannot be read") from problem
        path = url.path or b""
        if path in (READY_PATH, HEALTHY_PATH):
            answer.response = self._process_status(request.method, path)
            return
        answer.is_query = True
        if request.method != b"POST":
            raise RequestRejectedError(405, "a query is a POST")
        settings = self.server.settings
        answer.unadmitted = codec.decode_query(
            path,
            url.query or b"",
            request.headers,
            request.body,
            settings.classes,
            settings.module.shards,
        )
        if not self.server.is_admitting:
            raise RequestRejectedError(503, LEAVING)
        # The time that the request lay unread is no longer left to its client.
        answer.arrived_at = self._arrived_at
        self.server.schedule_admission(self)

    def _process_status(self, method: bytes, path: bytes) -> Response:
        if method not in (b"GET", b"HEAD"):
            raise RequestRejectedError(405, "GET")
        status = 200 if path == HEALTHY_PATH or self.server.ready else 503
        return Response(status, b"" if method == b"HEAD" else b"{}")

    def admit(self) -> None:
        """Admit the queries that were read: their client is still connected."""
        for answer in [answer for answer in self.pending if answer.unadmitted is not None]:
            self._admit_query(answer)
        self.flush()

    def _admit_query(self, answer: PendingAnswer) -> None:
        request, answer.unadmitted = answer.unadmitted, None

        def on_response(response: Response) -> None:
            answer.response, answer.query = response, None
            self.flush()

        try:
            waited_ms = (self.server.now - answer.arrived_at) * 1000
            answer.query = self.server.coordinator.accept(request, on_response, waited_ms)
        except RequestRejectedError as refusal:
            self._answer_unusable(answer, refusal)
        except Exception as error:  # queries read together with this one must still be admitted
            self.server.log("query_admission_failed", error=repr(error), traceback=True)
            self._answer_unusable(answer, RequestRejectedError(503, "it could not be taken"))

    def _answer_unusable(self, answer: PendingAnswer, refusal: RequestRejectedError) -> None:
        self.server.on_request_unusable(str(refusal))
        retry_after_ms = self.server.retry_after if refusal.status == 503 else 0.0
        answer.response = codec.error_response(refusal.status, str(refusal), retry_after_ms)

    def reject_unadmitted(self) -> None:
        """Answer what was read and not admitted: this process stops."""
        for answer in list(self.pending):
            if answer.unadmitted is not None:
                answer.unadmitted = None
                self._answer_unusable(answer, RequestRejectedError(503, LEAVING))
        self.flush()

    def reject_pending(self) -> None:
        """Answer what is open now.

        The connection is not read any more, so nobody would notice that the client leaves.
        """
        for answer in list(self.pending):
            if answer.unadmitted is not None:
                answer.unadmitted = None
                refusal = RequestRejectedError(503, "its connection cannot be read any more")
                self._answer_unusable(answer, refusal)
            elif answer.query is not None:
                self.server.coordinator.reject(answer.query, FailureReason.UNREADABLE)
        self.flush()

    # --- answers and the end ----------------------------------------------------------

    def flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        while self.pending and self.pending[0].response is not None and not self.is_closing:
            answer = self.pending.popleft()
            is_last = self.is_idle
            closes = not answer.keeps_alive or (self.server.draining and is_last)
            self.waiting_since = self.server.now
            self.transport.write(codec.encode_response(answer.response, closes))
            if closes and self.state is ConnectionState.DISCARDING:
                self._linger()
            elif closes:
                self.close("leaving" if answer.keeps_alive else "asked for")
            elif is_last and answer.is_query:
                self.server.on_query_answered(self)

    def _refuse(self, refusal: RequestRejectedError) -> None:
        """Answer a request after which the stream cannot be parsed, and close."""
        self.server.on_request_unreadable()
        self.state = ConnectionState.DISCARDING
        response = codec.error_response(refusal.status, str(refusal))
        if self.pending:  # answers before it are still owed; the close follows the last of them
            self.pending.append(PendingAnswer(keeps_alive=False, response=response))
            self._parser.abandon_request()
            return
        self.transport.write(codec.encode_response(response, closes=True))
        self._linger()

    def _linger(self) -> None:
        """Close the write side only, so that the error is not lost to a reset by further input."""
        self._begin_close(ConnectionState.LINGERING, "unreadable")
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.server.reactor.callLater(LINGER, self.transport.abortConnection)

    def close(self, reason: str) -> None:
        """Close once what was written has left."""
        if not self.is_closing:
            self._begin_close(ConnectionState.CLOSING, reason)
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def _abort(self, reason: str) -> None:
        """Close at once; what was written and has not left is lost."""
        if not self.is_closing:
            self._begin_close(ConnectionState.CLOSING, reason)
        self.transport.abortConnection()

    def _begin_close(self, state: ConnectionState, reason: str) -> None:
        """End the connection from this side: none of its requests may be open then."""
        self.state = state
        self.server.on_closing(reason)
        coordinator = self.server.coordinator
        owed = [answer.query.life for answer in self.pending if answer.query is not None]
        coordinator.lifecycle.close_connection(owed, reason, coordinator.loop.now)

    def close_if_expired(self, now: float) -> None:
        """Close what has waited too long; called at each periodic maintenance."""
        waited = now - self.waiting_since
        if self.is_closing:
            if waited >= UNREAD:
                self._abort("last answer not read")
        elif self.unread_since is not None:
            if now - self.unread_since >= UNREAD:
                self.reject_pending()
                self._abort("answers not read")
        elif self._parser.is_mid_request and waited >= REQUEST_WITHIN:
            self._refuse(
                RequestRejectedError(408, f"a request has to come within {REQUEST_WITHIN} s")
            )
        elif self.is_idle:
            limit = IDLE_CLIENT if self.has_completed_request else REQUEST_WITHIN
            if waited >= limit:
                self.close("unused" if self.has_completed_request else "silent")

    # --- callbacks of the transport ---------------------------------------------------

    def pauseProducing(self) -> None:
        """Parse no further requests: the client does not read its answers."""
        self.unread_since = self.server.now

    def resumeProducing(self) -> None:
        """Parse what came meanwhile: the client reads again."""
        self.unread_since = None
        unparsed, self._unparsed = self._unparsed, bytearray()
        self._arrived_at = self._unparsed_since
        if unparsed and self.state is ConnectionState.OPEN:
            self._parse(bytes(unparsed))

    def stopProducing(self) -> None:
        """Note that the transport writes nothing more."""
        self.unread_since = None

    def connectionLost(self, reason=connectionDone) -> None:
        """Cancel the queries of a client that has left."""
        self.state = ConnectionState.CLOSED
        self.server.on_closed(self)
        for answer in self.pending:
            if answer.query is not None:
                self.server.coordinator.abandon(answer.query)
        self.pending.clear()
        self._parser.close()
