"""The requests of one client connection that were read and not answered yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import httptools

from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.interfaces import ConnectionServer
from tansycrank.http_router.pending_answer import PendingAnswer
from tansycrank.http_router.request_codec import RequestRejectedError, Response
from tansycrank.http_router.request_parser import ParsedRequest
from tansycrank.lifecycle import Query
from tansycrank.routing import FailureReason

READY_PATH = b"/-/ready"
HEALTHY_PATH = b"/-/healthy"
SHUTDOWN_MESSAGE = "this router stops"  # error text of 503 responses
UNREADABLE_MESSAGE = "its connection cannot be read any more"


class PendingRequests:
    """Decodes, admits and rejects requests; each gets exactly one response, in `answers`.

    Queries are decoded when they were read, and admitted later, see `DelayedAdmission`.
    `on_answered` is called after each response of the routing policy, and when one holds more.
    """

    def __init__(self, server: ConnectionServer, on_answered: Callable[[], None]) -> None:
        self.answers: deque[PendingAnswer] = deque()  # in the order of their requests
        self.unadmitted_since = 0.0  # s: since when queries await admission
        self._server = server
        self._on_answered: Callable[[], None] | None = on_answered

    @property
    def held_bytes(self) -> int:
        """Bytes held for the requests and for their responses that were not written."""
        return sum(answer.held_bytes for answer in self.answers)

    @property
    def open_queries(self) -> list[Query]:
        """The admitted queries that were not answered, as the lifecycle records them."""
        return [one.query.lifecycle_query for one in self.answers if one.query is not None]

    # --- decoding ---------------------------------------------------------------------

    def add(self, request: ParsedRequest, arrived_at: float) -> bool:
        """Decode a request that arrived at that time (s); return whether it awaits admission.

        A status request and one that cannot be decoded are answered immediately.
        """
        answer = PendingAnswer(request.keeps_alive, arrived_at=arrived_at)
        is_first = not any(other.unadmitted is not None for other in self.answers)
        self.answers.append(answer)
        self._reject_on_error(answer, lambda: self._decode(request, answer))
        if answer.unadmitted is None:
            return False
        if is_first:
            self.unadmitted_since = self._server.now
        return True

    def _decode(self, request: ParsedRequest, answer: PendingAnswer) -> None:
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
        settings = self._server.settings
        query = codec.decode_query(
            path,
            url.query or b"",
            request.headers,
            request.body,
            settings.classes,
            settings.module.shards,
        )
        if not self._server.is_admitting:
            raise RequestRejectedError(503, SHUTDOWN_MESSAGE)
        answer.unadmitted = query

    def _process_status(self, method: bytes, path: bytes) -> Response:
        if method not in (b"GET", b"HEAD"):
            raise RequestRejectedError(405, "GET")
        status = 200 if path == HEALTHY_PATH or self._server.ready else 503
        return Response(status, b"" if method == b"HEAD" else b"{}")

    # --- admission --------------------------------------------------------------------

    def admit(self) -> None:
        """Admit the queries that await admission."""
        for answer in [answer for answer in self.answers if answer.unadmitted is not None]:
            self._admit_query(answer)

    def _admit_query(self, answer: PendingAnswer) -> None:
        request, answer.unadmitted = answer.unadmitted, None
        coordinator = self._server.coordinator

        def on_response(response: Response) -> None:
            answer.response, answer.query = response, None
            if self._on_answered is not None:
                self._on_answered()

        def on_value() -> None:
            if self._on_answered is not None:
                self._on_answered()

        def accept() -> None:
            if not coordinator.has_room(request):
                self._server.disconnect_monitor.check_now()
            # Time that the request spent unread counts against its deadline.
            waited_ms = (self._server.now - answer.arrived_at) * 1000
            answer.query = coordinator.accept(request, on_response, waited_ms, on_value)

        self._reject_on_error(answer, accept)

    # --- rejection --------------------------------------------------------------------

    def _reject_on_error(self, answer: PendingAnswer, step: Callable[[], None]) -> None:
        """Run a step of a request that was not accepted yet; an error is the request's answer.

        Without an answer it would hold its connection, and all answers behind it, for good.
        """
        try:
            step()
        except RequestRejectedError as rejection:
            self._reject(answer, rejection)
        except Exception as error:  # a fault of the router; other requests must not fail too
            self._server.log("query_admission_failed", error=repr(error), traceback=True)
            self._reject(answer, RequestRejectedError(503, "it could not be taken"))

    def _reject(self, answer: PendingAnswer, rejection: RequestRejectedError) -> None:
        self._server.on_request_rejected(str(rejection))
        retry_after_ms = self._server.retry_after if rejection.status == 503 else 0.0
        answer.unadmitted = None
        answer.response = codec.error_response(rejection.status, str(rejection), retry_after_ms)

    def reject_unadmitted(self, message: str) -> None:
        """Reject the queries that await admission with 503 and this message."""
        for answer in self.answers:
            if answer.unadmitted is not None:
                self._reject(answer, RequestRejectedError(503, message))

    def reject_all(self) -> None:
        """Reject or fail all requests without a response, as their connection is not read.

        A disconnect of the client would go undetected.
        """
        for answer in list(self.answers):
            if answer.query is not None:
                self._server.coordinator.reject(answer.query, FailureReason.UNREADABLE)
            elif answer.response is None:
                self._reject(answer, RequestRejectedError(503, UNREADABLE_MESSAGE))

    def abandon_all(self) -> None:
        """Cancel the queries of a client that has disconnected."""
        for answer in self.answers:
            if answer.query is not None:
                self._server.coordinator.abandon(answer.query)
        self.answers.clear()

    def close(self) -> None:
        """Cancel all queries and release the connection, which has closed."""
        self.abandon_all()
        self._on_answered = None
