"""Connects the routing policy to client and data node connections.

Requests and attempt outcomes are passed to the policy as events; the actions it returns are
executed immediately. Routing decisions are made by the policy alone.
"""

from __future__ import annotations

from collections.abc import Callable

from tansycrank import routing
from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.acceptance import AcceptanceChecks
from tansycrank.http_router.active_query import ActiveQuery, ActiveShardRequest
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.failure_log import FailureLog
from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.http_router.recent_requests import RecentRequests
from tansycrank.http_router.request_codec import QueryRequest, RequestRejectedError, Response
from tansycrank.lifecycle import AnswerKind, AttemptDeniedError, Lifecycle, Violation
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.routing import FailureReason

LARGE_VALUE = 1024  # characters from which on a value counts as held as soon as it arrives


class Coordinator:
    """Tracks the queries in flight: at most `max_in_flight` queries and shard requests in total."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        pool: ConnectionPool,
        log: Callable[..., None],
        set_watch: Callable[[bool], None],
        poll_endpoints: Callable[[], None],
        recent_requests: RecentRequests,
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.log = log
        self.lifecycle = Lifecycle(settings, self._on_violation)
        self.queries: dict[bytes, ActiveQuery] = {}  # by X-Request-Id
        self._queries_by_id: dict[int, ActiveQuery] = {}
        self._shard_requests: dict[int, tuple[ActiveQuery, ActiveShardRequest]] = {}
        self._last_id = 0
        self.in_flight = 0  # number of queries and shard requests in flight
        self.shutdown_deadline = float("inf")  # ms: latest time for any answer
        self.counts = dict.fromkeys(
            (
                "taken",
                "answered",
                "refused",
                "failed",
                "left",
                "turned_away",
                "repeated_ids",
                "sends",
                "cancels",
            ),
            0,
        )
        self.acceptance = AcceptanceChecks(settings, recent_requests, self.counts)
        self.failure_log = FailureLog(log)
        self.outcomes = dict.fromkeys((outcome.value for outcome in routing.Outcome), 0)
        actions = {
            routing.Send: self._send,
            routing.Cancel: self._cancel,
            routing.Answer: self._answer,
            routing.Reject: self._reject,
            routing.Fail: self._fail,
            routing.CloseIdleConnections: lambda action: pool.close_idle(action.endpoint),
            routing.WatchEndpoints: lambda action: set_watch(action.on),
            routing.PollEndpoints: lambda action: poll_endpoints(),
            routing.LogMessage: lambda action: log("policy_message_logged", text=action.text),
        }
        self.loop = PolicyEventLoop(
            reactor,
            settings,
            seed,
            actions,
            self._on_policy_failed,
            self._on_action_failed,
            pool.flush,
        )

    # --- queries ----------------------------------------------------------------------

    def has_room(self, request: QueryRequest) -> bool:
        """Whether the limit on queries and shard requests in flight allows another query."""
        return self.acceptance.has_room(request, self.in_flight)

    def accept(
        self,
        request: QueryRequest,
        on_response: Callable[[Response], None],
        waited: float = 0.0,
        on_value: Callable[[], None] = lambda: None,
    ) -> ActiveQuery:
        """Start processing a query that arrived `waited` ms ago.

        `on_response` is called with the answer, `on_value` when a large value is held. Raises
        RequestRejectedError if the query cannot be accepted.
        """
        now = self.loop.now
        if request.id in self.queries:
            raise RequestRejectedError(409, "X-Request-Id: a request of that id is open")
        self.acceptance.check(request, len(self.queries), self.in_flight, now)
        remaining = self.acceptance.remaining_time(request, waited, self.shutdown_deadline - now)
        self._last_id += 1
        query_class = self.settings.classes[request.query_class]
        lifecycle_query = self.lifecycle.accept(
            request.id.decode(),
            query_class.idempotency,
            query_class.dedup_window,
            now + remaining,
            len(request.shard_requests),
            now,
        )
        query = ActiveQuery(self._last_id, request, on_response, lifecycle_query, on_value)
        events = [self._query_arrived(query, remaining), *self._add_shard_requests(query)]
        self.queries[request.id] = self._queries_by_id[query.id] = query
        self.in_flight += query.size
        self.counts["taken"] += 1
        self.loop.enqueue(*events)
        return query

    @staticmethod
    def _query_arrived(query: ActiveQuery, remaining: float) -> routing.QueryArrived:
        request = query.request
        return routing.QueryArrived(
            query.id,
            query.id,
            request.query_class,
            remaining,
            len(request.shard_requests),
            request.key,
            request.is_retry,
        )

    def _add_shard_requests(self, query: ActiveQuery) -> list[routing.Event]:
        events: list[routing.Event] = []
        for spec in query.request.shard_requests:
            self._last_id += 1
            name = b"%b.%d" % (query.request.id, spec.shard)
            shard_request = ActiveShardRequest(self._last_id, name, spec.shard)
            query.shard_requests.append(shard_request)
            self._shard_requests[shard_request.id] = query, shard_request
            events.append(
                routing.ShardRequestArrived(
                    shard_request.id, query.id, spec.shard, spec.weight, spec.key
                )
            )
        return events

    def abandon(self, query: ActiveQuery) -> None:
        """Cancel a query whose client has disconnected."""
        if not query.has_ended:
            self.counts["left"] += 1
            self.lifecycle.abandon(query.lifecycle_query, self.loop.now)
            self._end(query)
            self.loop.enqueue(routing.QueryCancelled(query.id))

    def reject(self, query: ActiveQuery, reason: FailureReason) -> None:
        """Answer a query without a decision of the policy.

        The query is rejected with the maximum Retry-After if a retry is safe, otherwise failed.
        """
        if (
            query.lifecycle_query.idempotency is routing.Idempotency.IDEMPOTENT
            or not query.lifecycle_query.may_have_run
        ):
            retry_after = self.settings.max_retry_after if self.settings.can_retry_after else 0.0
            self._reject(routing.Reject(query.id, retry_after, reason))
        else:
            self._fail(routing.Fail(query.id, reason))
        self.loop.enqueue(routing.QueryCancelled(query.id))

    def reject_all(self, reason: FailureReason) -> None:
        """Reject or fail all queries in flight."""
        for query in list(self.queries.values()):
            self.reject(query, reason)

    def _on_policy_failed(self, error: Exception) -> None:
        self.log("policy_failed", error=repr(error), traceback=True)
        self.reject_all(FailureReason.FAULT)

    def _on_action_failed(self, action: routing.Action, error: Exception) -> None:
        """Fail the query of an action that raised an exception."""
        self.log("action_failed", action=type(action).__name__, error=repr(error), traceback=True)
        query, shard_request = self._shard_requests.get(
            getattr(action, "shard_request", 0), (None, None)
        )
        query = query or self._queries_by_id.get(getattr(action, "query", 0))
        if isinstance(action, routing.Send):  # the policy expects AttemptEnded for each Send
            self._end_unsent_attempt(action, shard_request)
        if query is not None and not query.has_ended:
            self.reject(query, FailureReason.FAULT)

    # --- actions ----------------------------------------------------------------------

    def _send(self, action: routing.Send) -> None:
        query, shard_request = self._shard_requests[action.shard_request]
        number, started_at = len(shard_request.attempts), self.loop.now
        self.counts["sends"] += 1
        try:
            attempt = self.lifecycle.prepare_attempt(
                query.lifecycle_query,
                shard_request.shard,
                action.endpoint,
                action.timeout,
                action.write_timeout,
                started_at,
            )
        except AttemptDeniedError as denied:
            self.log(
                "attempt_not_allowed",
                request=query.lifecycle_query.name,
                reason=denied.reason.value,
            )
            self._end_unsent_attempt(action, shard_request)
            return

        def on_ended(outcome: routing.Outcome, value: str, load: tuple[float, ...]) -> None:
            attempt.end(outcome, self.loop.now)
            latency = self.loop.now - started_at
            self._on_attempt_ended(
                query,
                shard_request,
                value,
                routing.AttemptEnded(
                    shard_request.id,
                    number,
                    action.endpoint,
                    outcome,
                    latency,
                    query.has_ended,
                    load,
                ),
            )

        time_out = attempt.deadline - started_at
        shard_request.attempts.append(
            self.pool.send(
                shard_request.name,
                action.endpoint,
                shard_request.shard,
                query.request.text,
                time_out,
                on_ended,
                attempt,
                action.connect_timeout,
                query.request.idempotency_key,
                action.write_timeout,
            )
        )

    def _on_attempt_ended(
        self,
        query: ActiveQuery,
        shard_request: ActiveShardRequest,
        value: str,
        event: routing.AttemptEnded,
    ) -> None:
        self.outcomes[event.outcome.value] += 1
        if event.outcome is routing.Outcome.SUCCEEDED and shard_request.value is None:
            shard_request.value = value
            self._revoke_unsent(shard_request)
            if len(value) >= LARGE_VALUE:
                self.loop.reactor.callLater(0, query.on_value)
        self.loop.enqueue(event)
        if query.has_ended:
            self._forget(shard_request)

    def _end_unsent_attempt(
        self, action: routing.Send, shard_request: ActiveShardRequest | None
    ) -> None:
        """Report to the policy that an attempt was not sent; it counts like any other attempt."""
        number = 0
        if shard_request is not None:
            number = len(shard_request.attempts)
            shard_request.attempts.append(
                OutgoingCall.never_sent(shard_request.name, shard_request.shard)
            )
        self.outcomes[routing.Outcome.NOT_SENT.value] += 1
        self.loop.enqueue(
            routing.AttemptEnded(
                action.shard_request,
                number,
                action.endpoint,
                routing.Outcome.NOT_SENT,
                0.0,
                False,
                (),
            )
        )

    def _cancel(self, action: routing.Cancel) -> None:
        if action.shard_request in self._shard_requests:
            self.counts["cancels"] += 1
            self.pool.cancel(self._shard_requests[action.shard_request][1].attempts[action.attempt])

    def _answer(self, action: routing.Answer) -> None:
        query = self._queries_by_id.get(action.query)
        if query is None:
            return
        query_class = self.settings.classes[query.request.query_class]
        needs_all = action.complete and query_class.complete_coverage >= 1
        missing = len(query.shard_requests) - len(query.values) if needs_all else 0
        kind = AnswerKind.COMPLETE if action.complete else AnswerKind.PARTIAL
        self._complete(query, kind, missing=missing)

    def _reject(self, action: routing.Reject) -> None:
        if query := self._queries_by_id.get(action.query):
            self._complete(
                query, AnswerKind.REJECTED, retry_after=action.retry_after, reason=action.reason
            )

    def _fail(self, action: routing.Fail) -> None:
        if query := self._queries_by_id.get(action.query):
            self._complete(query, AnswerKind.FAILED, reason=action.reason)

    def _complete(
        self,
        query: ActiveQuery,
        kind: AnswerKind,
        missing: int = 0,
        retry_after: float = 0.0,
        reason: FailureReason = FailureReason.FAULT,
    ) -> None:
        """Send the final answer of a query.

        The lifecycle may downgrade `kind` or forbid the answer. `reason` is recorded if the query
        is rejected or failed.
        """
        allowed_kind = self.lifecycle.answer(query.lifecycle_query, kind, self.loop.now, missing)
        if allowed_kind is None:
            return
        self._end(query)
        if allowed_kind in (AnswerKind.REJECTED, AnswerKind.FAILED):
            self.failure_log.record(query.lifecycle_query, allowed_kind, reason, self.loop.now)
        query.on_response(self._response(query, allowed_kind, retry_after))

    def _response(self, query: ActiveQuery, kind: AnswerKind, retry_after: float) -> Response:
        if kind is AnswerKind.REJECTED:
            self.counts["refused"] += 1
            message = "not answerable in time now; asking again is harmless"
            return codec.error_response(503, message, retry_after)
        if kind is AnswerKind.FAILED:
            self.counts["failed"] += 1
            return codec.error_response(504, "given up: it may or may not have taken effect")
        self.counts["answered"] += 1
        return codec.query_answer(kind is AnswerKind.COMPLETE, query.values)

    # --- endpoints and the end of queries ---------------------------------------------

    def handle_endpoint_list(self, event: routing.EndpointListUpdate) -> None:
        """Apply an endpoint list and revoke unsent attempts to draining endpoints."""
        self.lifecycle.update_endpoints(event)
        for entry in event.entries:
            if entry.status is routing.EndpointStatus.DRAINING:
                self.pool.revoke_unsent(entry.endpoint)
        self.loop.enqueue(event)

    def _on_violation(self, violation: Violation) -> None:
        self.log(
            "invariant_violated",
            invariant=violation.invariant.value,
            detail=violation.detail,
            request=violation.request,
            history=violation.history,
        )

    def _end(self, query: ActiveQuery) -> None:
        del self.queries[query.request.id], self._queries_by_id[query.id]
        self.acceptance.recent_requests.record(
            query.request.id, query.lifecycle_query, self.loop.now
        )
        self.in_flight -= query.size
        for shard_request in query.shard_requests:
            self._revoke_unsent(shard_request)
            self._forget(shard_request)

    def _revoke_unsent(self, shard_request: ActiveShardRequest) -> None:
        """Revoke attempts that were not sent yet; data nodes may not support cancelling later."""
        for attempt in shard_request.attempts:
            self.pool.revoke(attempt)

    def _forget(self, shard_request: ActiveShardRequest) -> None:
        if shard_request.has_ended:
            self._shard_requests.pop(shard_request.id, None)
