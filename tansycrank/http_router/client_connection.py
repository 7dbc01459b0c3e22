"""The HTTP/1.1 connection of a client; each request gets exactly one answer, in order."""

from __future__ import annotations

from collections import deque

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.client_input import NO_MEMORY_MESSAGE, ClientInput
from tansycrank.http_router.connection_state import CLOSING_STATES, ConnectionState
from tansycrank.http_router.interfaces import ConnectionServer
from tansycrank.http_router.pending_answer import PendingAnswer
from tansycrank.http_router.pending_requests import (
    SHUTDOWN_MESSAGE,
    UNREADABLE_MESSAGE,
    PendingRequests,
)
from tansycrank.http_router.request_codec import RequestRejectedError
from tansycrank.http_router.request_parser import MAX_BODY, MAX_HEAD, ParsedRequest
from tansycrank.listening import seconds_since_data

MAX_PIPELINE = 32  # unanswered requests per connection
REQUEST_TIMEOUT = 2.0  # s until a request is complete, from the connect or its first byte
MEMORY_TIMEOUT = 1.0  # s, from its first byte, for a large request to get memory
IDLE_TIMEOUT = 3.0  # s until an unused connection is closed
UNREAD_TIMEOUT = 5.0  # s until a connection is closed whose client does not read
MAX_ADMISSION_DELAY = 0.25  # s for reading what lies behind queries that await admission
MAX_UNREAD_TIME = 0.05  # s for which the disconnect of a client with open queries may be hidden
UNREAD_CHECK_INTERVAL = 0.005  # s
LINGER_TIME = 0.25  # s between a final error response and the close of the connection
# Bytes discarded at most while lingering. Closing with unread bytes resets the connection, and the
# client would lose the error response.
MAX_DISCARDED = 256 * 1024


@implementer(IPushProducer)
class ClientConnection(Protocol):
    """The connection of one client.

    It is closed by this process, through `LINGERING` or `CLOSING`, or by the client. It registers
    as the producer of its transport, which pauses it while the client does not read.
    """

    def __init__(self, server: ConnectionServer, queued_since: float | None = None) -> None:
        """`queued_since` (s) is the earliest time it may have entered the accept queue."""
        self.server = server
        self._queued_since = queued_since
        self.state = ConnectionState.OPEN
        self._requests = PendingRequests(server, self.on_requests_changed)
        self.waiting_since = server.now  # s: start of the current wait, for time-outs
        self.has_completed_request = False
        self.request_count = 0
        self.accepted_at = server.now  # s
        self.unread_since: float | None = None  # s: since when the client does not read
        self._linger_timer = None
        self._discarded_bytes = 0
        self._discarding_since = 0.0  # s: when the stream was found malformed
        self._input = ClientInput(self, server)

    @property
    def pending(self) -> deque[PendingAnswer]:
        """The requests that were read and not answered, in order."""
        return self._requests.answers

    @property
    def is_idle(self) -> bool:
        """Whether it has no unanswered and no partly read request."""
        return not self.pending and self._input.is_empty

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has started and is incomplete."""
        return self.state is ConnectionState.OPEN and self._input.is_mid_request

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has accepted all that was written."""
        return not self.transport.unsent_bytes

    @property
    def is_closable(self) -> bool:
        """Whether it is idle and no further request lies unread in the kernel."""
        return self.is_idle and not self.transport.unread_bytes

    @property
    def is_closing(self) -> bool:
        """Whether it accepts no further requests and writes no further answers."""
        return self.state in CLOSING_STATES

    # --- memory -----------------------------------------------------------------------

    @property
    def held_bytes(self) -> int:
        """Bytes of requests that are read or unanswered, and of answers that were not sent."""
        if self.state is ConnectionState.CLOSED:
            return 0
        unsent = self.transport.unsent_bytes
        return self._input.held_bytes + self._requests.held_bytes + unsent

    def release_bytes(self) -> None:
        """Reject the requests of this connection and close it."""
        self.reject_pending()
        if self.state is ConnectionState.OPEN and self.unread_since is None:
            message = "too many bytes of requests are held; this connection has the most"
            self._reject_and_close(RequestRejectedError(503, message))
        else:
            self._abort("too many bytes held")

    # --- input ------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Register as a producer, to be paused when the client stops reading."""
        if self._queued_since is not None and not self.transport.unread_bytes:
            self.waiting_since -= self._seconds_in_queue()  # it has sent nothing meanwhile
        self.server.on_connected(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    @property
    def parse_seconds(self) -> float:
        """Time spent on parsing its input and answering what could not be admitted."""
        return self._input.parse_seconds

    def dataReceived(self, data: bytes) -> None:
        """Parse, buffer or discard received bytes, depending on the state."""
        self.server.on_bytes_received(self)
        if self.state is not ConnectionState.OPEN:
            self._discard(data)
        elif self.unread_since is not None:
            # Pausing the transport would hide a disconnect of the client while requests are queued.
            self._input.hold(data, self._arrival_time())
            if self._input.unparsed_bytes > MAX_HEAD + MAX_BODY:
                self.reject_pending()
                self._abort("more requests than may wait behind unread answers")
        else:
            self._input.receive(data, self._arrival_time())
        self.server.held_bytes.update(self)

    def read_remaining(self, until: float) -> None:
        """Read and parse what is left, up to the time `until` (s): the connection will close."""
        is_late = self.server.now >= until and not self.has_completed_request
        if is_late or not self.may_parse or self._input.waits_for_memory:
            return
        self._input.parse(until)
        while self.may_parse and self.transport.unread_bytes:
            self.transport.doRead()
            self._input.parse(until)
            if self.server.now >= until:
                return

    def _arrival_time(self) -> float:
        """Time in seconds at which the bytes just read became readable."""
        now = self.server.now
        unread = self.server.unread_seconds()
        if self._queued_since is not None:  # the first request may have waited in the accept queue
            unread = max(unread, self._seconds_in_queue())
            self._queued_since = None
        return now - unread

    def _seconds_in_queue(self) -> float:
        """How long its last bytes, or else the connection itself, waited for `accept` at most."""
        queued = self.server.now - self._queued_since
        return min(seconds_since_data(self.transport.getHandle()), queued)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED:
            self.transport.pauseProducing()
            self.reject_pending()

    @property
    def may_parse(self) -> bool:
        """Whether requests are read: the stream is sound and the client reads its answers."""
        return self.state is ConnectionState.OPEN and self.unread_since is None

    def on_malformed(self, rejection: RequestRejectedError) -> None:
        """Reject a stream that cannot be parsed any further."""
        if not self.is_closing:  # otherwise the last answer was already written
            self._reject_and_close(rejection)

    def on_input_parsed(self) -> None:
        """Report what the connection holds now."""
        self.server.held_bytes.update(self)

    # --- requests ---------------------------------------------------------------------

    def on_request_started(self) -> None:
        """Start the time-out for receiving the complete request."""
        self.waiting_since = self.server.now
        self.server.on_request_started(self)

    def on_continue_expected(self) -> None:
        """Send `100 Continue`, unless earlier requests are still unanswered."""
        if not self.pending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def check_may_accept(self) -> None:
        """Raise if the connection is closing or has too many unanswered requests."""
        if self.is_closing:
            raise RequestRejectedError(400, "after the last answer of its connection")
        if len(self.pending) >= MAX_PIPELINE:
            raise RequestRejectedError(503, f"a connection may have {MAX_PIPELINE} requests open")

    def on_request(self, request: ParsedRequest) -> None:
        """Answer a status request immediately, or schedule the admission of a query."""
        self.has_completed_request = True
        self.request_count += 1
        if self._requests.add(request, self._input.arrived_at):
            self.server.schedule_admission(self)
        self.flush()

    def admit(self) -> None:
        """Admit the queries that await admission, if the client is still connected."""
        if self.transport.has_peer_closed:
            self._on_disconnected()
        elif self._is_more_to_read():
            self.server.reactor.callLater(UNREAD_CHECK_INTERVAL, self._admit_later)
        else:
            self._requests.admit()
            self.on_requests_changed()

    def _admit_later(self) -> None:
        if self.state is not ConnectionState.CLOSED and self.pending:
            self.server.schedule_admission(self)

    def _is_more_to_read(self) -> bool:
        """Whether to read what lies behind the queries that await admission before admitting them.

        The end of the connection may lie behind them. If that takes too long, they are rejected.
        """
        is_unread = self._input.unparsed_bytes or self.transport.unread_bytes
        if not is_unread or not self.transport.may_hide_disconnect:
            return False
        if self.server.now - self._requests.unadmitted_since < MAX_ADMISSION_DELAY:
            return True
        self._requests.reject_unadmitted(UNREADABLE_MESSAGE)
        return False

    def reject_unadmitted(self) -> None:
        """Reject the queries that await admission because this process stops."""
        self._requests.reject_unadmitted(SHUTDOWN_MESSAGE)
        self.flush()

    def reject_pending(self) -> None:
        """Reject all unanswered queries because the connection is not read any more."""
        self._requests.reject_all()
        self.flush()

    def on_requests_changed(self) -> None:
        """Write the available answers, and report what the connection holds now."""
        self.flush()
        self.server.held_bytes.update(self)

    # --- answers and the end ----------------------------------------------------------

    def flush(self) -> None:
        """Write the available answers in the order of their requests."""
        while self.pending and self.pending[0].response is not None and not self.is_closing:
            answer = self.pending.popleft()
            is_last = self.is_idle
            closes = not answer.keeps_alive or (self.server.draining and is_last)
            self.waiting_since = self.server.now
            self.transport.write(codec.encode_response(answer.response, closes))
            if closes and self.state is ConnectionState.DISCARDING:
                self._linger(answer.response.status)
            elif closes:
                self.close("leaving" if answer.keeps_alive else "asked for")
            elif is_last and answer.is_query:
                self.server.on_query_answered(self)

    def _reject_and_close(self, rejection: RequestRejectedError) -> None:
        """Send an error after which the stream cannot be parsed, and close."""
        self.server.on_request_malformed()
        self.state = ConnectionState.DISCARDING
        response = codec.error_response(rejection.status, str(rejection))
        self._discarding_since = self.server.now
        self._input.abandon()
        if self.pending:  # close after the answers to earlier requests
            self.pending.append(PendingAnswer(keeps_alive=False, response=response))
            return
        self.transport.write(codec.encode_response(response, closes=True))
        self._linger(response.status)

    def _linger(self, status: int) -> None:
        """Close the write side only: a reset by further input could discard the error response."""
        self._begin_close(ConnectionState.LINGERING, f"rejected with {status}")
        self.server.on_lingering(self)
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._linger_timer = self.server.reactor.callLater(LINGER_TIME, self._end_linger)

    def _end_linger(self) -> None:
        """Close for good, once the answer has been passed to the kernel."""
        self._linger_timer = None  # it has run
        if self.transport.unsent_bytes and self.server.now - self.waiting_since < UNREAD_TIMEOUT:
            self._linger_timer = self.server.reactor.callLater(LINGER_TIME, self._end_linger)
        else:
            self.transport.abortConnection()

    def close(self, reason: str) -> None:
        """Close once written data was sent."""
        if not self.is_closing:
            self._begin_close(ConnectionState.CLOSING, reason)
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def make_room(self) -> None:
        """Close an idle connection, or one that only discards input, in favour of a new one."""
        if self.state is ConnectionState.LINGERING:
            self.transport.abortConnection()
        else:
            self.close("to make room")

    def reject_slow_request(self) -> None:
        """Reject a request that is still incomplete while the server is full."""
        message = "the router is full, and the request comes slowly"
        self._reject_and_close(RequestRejectedError(503, message))

    def _abort(self, reason: str) -> None:
        """Close immediately; written data that was not sent is lost."""
        if not self.is_closing:
            self._begin_close(ConnectionState.CLOSING, reason)
        self.transport.abortConnection()

    def _begin_close(self, state: ConnectionState, reason: str) -> None:
        """Start to close; the lifecycle checks that no query of the connection is unanswered."""
        self.server.on_closing(self, reason)
        self.state = state
        coordinator = self.server.coordinator
        queries = self._requests.open_queries
        coordinator.lifecycle.close_connection(queries, reason, coordinator.loop.now)

    def close_if_expired(self, now: float) -> None:
        """Close the connection if a time-out has expired; called by periodic maintenance."""
        waited = now - self.waiting_since
        if self.is_closing:
            if waited >= UNREAD_TIMEOUT:
                self._abort("last answer not read")
        elif self.unread_since is not None:
            if now - self.unread_since >= UNREAD_TIMEOUT:
                self.reject_pending()
                self._abort("answers not read")
        elif self.state is ConnectionState.DISCARDING:
            if now - self._discarding_since >= REQUEST_TIMEOUT:  # the error waits behind answers
                self.reject_pending()
        elif self._input.waits_for_memory and waited >= MEMORY_TIMEOUT:
            self._reject_and_close(RequestRejectedError(503, NO_MEMORY_MESSAGE))
        elif self.is_mid_request and not self._input.is_rest_unread and waited >= REQUEST_TIMEOUT:
            self._reject_and_close(
                RequestRejectedError(408, f"a request has to come within {REQUEST_TIMEOUT} s")
            )
        elif self.is_idle:
            limit = IDLE_TIMEOUT if self.has_completed_request else REQUEST_TIMEOUT
            if waited >= limit and self.is_closable:
                self.close("unused" if self.has_completed_request else "silent")

    # --- callbacks of the transport ---------------------------------------------------

    def pauseProducing(self) -> None:
        """Stop parsing requests: the client does not read its answers."""
        self.unread_since = self.server.now

    def resumeProducing(self) -> None:
        """Parse buffered input: the client reads again."""
        self.unread_since = None
        self._input.continue_parsing()

    def stopProducing(self) -> None:
        """Clear the paused state: the transport writes nothing more."""
        self.unread_since = None

    def check_disconnected(self, paused_since: float) -> None:
        """Reject the open queries if the client may have left: it has not been read since then."""
        if not self.pending:
            return
        is_late = self.server.now - paused_since >= MAX_UNREAD_TIME
        if self.transport.has_peer_closed:
            self._on_disconnected()
        elif is_late and self.transport.may_hide_disconnect:
            self.reject_pending()

    def _on_disconnected(self) -> None:
        """Cancel the queries of a client that has disconnected, and read nothing more of it."""
        self._requests.abandon_all()
        self._input.abandon()
        self._abort("left by its client")

    def connectionLost(self, reason=connectionDone) -> None:
        """Cancel the queries of a client that has disconnected."""
        self.state = ConnectionState.CLOSED
        self.server.on_closed(self)
        self._requests.close()
        self._input.close()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
