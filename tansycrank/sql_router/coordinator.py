"""Passes queries and outcomes to the routing policy as events, and carries out its actions.

All routing decisions are made by the policy.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from tansycrank import routing
from tansycrank.lifecycle import (
    AnswerKind,
    AttemptDeniedError,
    Lifecycle,
    Violation,
)
from tansycrank.merge.blocks import MemoryReservations, ShardRowStream
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.postgres.errors import (
    INTERNAL,
    QUERY_REJECTED,
    PgError,
    cancelled,
)
from tansycrank.routing import FailureReason
from tansycrank.sql_router.connection_pool import ConnectionPool, OutgoingCall
from tansycrank.sql_router.query_errors import (
    broken_off_error,
    error_of_failed_action,
    outcome_unknown_error,
)
from tansycrank.sql_router.routed_query import RoutedQuery, ShardRequest
from tansycrank.sql_router.shard_statement import AttemptResult, ShardStatement


class Coordinator:
    """Connects the routing policy to the sockets. Times are ms of the reactor's clock."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        pools: ConnectionPool,
        memory_reservations: MemoryReservations,
        on_watch: Callable[[bool], None],
        on_policy_error: Callable[[BaseException], None],
    ) -> None:
        self.reactor, self.pools, self.memory_reservations, self.settings = (
            reactor,
            pools,
            memory_reservations,
            settings,
        )
        self.on_violation: Callable[[Violation], None] = lambda violation: None  # for the log
        # called with what failed, to log it
        self.on_fault: Callable[[str, Exception], None] = lambda what, error: None
        self.lifecycle = Lifecycle(settings, lambda violation: self.on_violation(violation))
        self.on_watch, self.on_policy_error = on_watch, on_policy_error
        self.queries: dict[int, RoutedQuery] = {}
        self._shard_requests: dict[int, tuple[RoutedQuery, ShardRequest]] = {}
        self._last_id = 0
        self.counts = {
            "taken": 0,
            "answered": 0,
            "refused": 0,
            "failed": 0,
            "cancelled": 0,
            "sends": 0,
        }
        self.given_up: Counter[FailureReason] = Counter()
        handlers = {
            routing.Send: self._send,
            routing.Cancel: self._cancel,
            routing.Answer: self._answer,
            routing.Reject: self._reject,
            routing.Fail: self._fail,
            routing.CloseIdleConnections: self._close_idle,
            routing.WatchEndpoints: lambda action: self.on_watch(action.on),
        }
        self.loop = PolicyEventLoop(
            reactor, settings, seed, handlers, self._on_policy_error, self._on_action_failed
        )

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.loop.now

    @property
    def steps(self) -> int:
        """Number of steps of the policy so far."""
        return self.loop.steps

    def start(self) -> None:
        """Run the first step, in which the policy requests the endpoint list."""
        self.loop.enqueue()

    def stop(self) -> None:
        """Run no more steps; open queries must have been answered before."""
        self.loop.stop()

    # --- events ---------------------------------------------------------------------------

    def submit(
        self,
        query_class: int,
        remaining: float,
        requests: Sequence[ShardStatement],
        done: Callable[[list[ShardRequest] | PgError], None],
        is_retry: bool = False,
        streams_rows: bool = False,
        row_wait_ms: float = 0.0,
    ) -> RoutedQuery:
        """Accept a query. `remaining` is the time until its deadline, in ms.

        With `streams_rows`, rows may be sent to the client before its shard requests are complete;
        from then on no data node may let it wait for longer than `row_wait_ms` for its next row.
        0 stands for `remaining`.
        """
        self._last_id += 1
        query_id = number = self._last_id
        shard_requests = []
        self.loop.enqueue(
            routing.QueryArrived(
                query_id, number, query_class, remaining, len(requests), is_retry=is_retry
            )
        )
        cls, now = self.settings.classes[query_class], self.now
        lifecycle_query = self.lifecycle.accept(
            str(query_id), cls.idempotency, cls.dedup_window, now + remaining, len(requests), now
        )
        query = RoutedQuery(
            query_id,
            number,
            query_class,
            shard_requests,
            self.memory_reservations.open(streams_rows),
            done,
            now,
            lifecycle_query,
            row_wait_ms or remaining,
        )
        query.memory.on_rejected = lambda problem: self._on_memory_rejected(query, problem)
        query.memory.on_streaming = lambda stream: self._on_streaming_started(query, stream)
        for request in requests:
            self._last_id += 1
            shard_request = ShardRequest(self._last_id, request)
            shard_requests.append(shard_request)
            self._shard_requests[shard_request.id] = query, shard_request
            self.loop.enqueue(
                routing.ShardRequestArrived(
                    shard_request.id, number, request.shard, 1 / len(requests)
                )
            )
        self.queries[query_id] = query
        self.counts["taken"] += 1
        return query

    def abandon(self, query: RoutedQuery, error: PgError | None = None) -> None:
        """End a query whose client disconnected or cancelled; `error` is the answer to send."""
        if query.ended:
            return
        self.counts["cancelled"] += 1
        self.loop.enqueue(routing.QueryCancelled(query.id))
        self.lifecycle.abandon(query.lifecycle_query, self.now)
        self._close_query(query, error or cancelled())

    def handle_endpoint_list(self, event: routing.EndpointListUpdate) -> None:
        """Apply an endpoint list; no attempt starts at an endpoint that is not in service."""
        self.lifecycle.update_endpoints(event)
        self.loop.enqueue(event)

    def _on_policy_error(self, error: Exception) -> None:
        """Fail all open queries after the policy raised an error."""
        for query in list(self.queries.values()):
            self._fail_query(query, PgError(INTERNAL, "the router's decision module failed"))
        self.on_policy_error(error)

    def _on_action_failed(self, action: routing.Action, error: Exception) -> None:
        """Fail the query of an action that raised an exception; all others go on."""
        self.on_fault(type(action).__name__, error)
        query, shard_request = self._shard_requests.get(
            getattr(action, "shard_request", 0), (None, None)
        )
        query = query or self.queries.get(getattr(action, "query", 0))
        if isinstance(action, routing.Send):  # the policy expects AttemptEnded for each Send
            self._end_failed_send(action, shard_request)
        if query is not None and not query.ended:
            self.loop.enqueue(routing.QueryCancelled(query.id))
            self._fail_query(query, error_of_failed_action(query, error))

    def _end_failed_send(self, action: routing.Send, shard_request: ShardRequest | None) -> None:
        """Report an attempt that could not be sent; it may have run if it had been started."""
        number, outcome = 0, routing.Outcome.NOT_SENT
        if shard_request is not None:
            number = len(shard_request.attempts)
            call = OutgoingCall.denied(action.endpoint, shard_request.statement)
            shard_request.attempts.append(call)
            attempt = shard_request.pad_attempts(self.now)
            if attempt is not None and attempt.started_at is not None:
                outcome = routing.Outcome.CONNECTION_LOST
            if attempt is not None:
                attempt.end(outcome, self.now)
        self.loop.enqueue(
            routing.AttemptEnded(action.shard_request, number, action.endpoint, outcome, 0.0)
        )

    # --- actions --------------------------------------------------------------------------

    def _send(self, action: routing.Send) -> None:
        query, shard_request = self._shard_requests[action.shard_request]
        number = len(shard_request.attempts)
        now = self.now
        shard_request.sent_at.append(now)
        self.counts["sends"] += 1
        try:
            lifecycle_attempt = self.lifecycle.prepare_attempt(
                query.lifecycle_query,
                shard_request.id,
                action.endpoint,
                action.timeout,
                action.write_timeout,
                now,
            )
        except AttemptDeniedError:
            self._on_attempt_denied(action, shard_request, number)
            return
        shard_request.lifecycle_attempts.append(lifecycle_attempt)
        stream = ShardRowStream(query.memory, shard_request.statement.shard)

        def ended(result: AttemptResult) -> None:
            self._on_attempt_ended(query, shard_request, number, action.endpoint, result)

        call = self.pools.send(
            action.endpoint,
            shard_request.statement,
            stream,
            lifecycle_attempt.deadline - now,
            ended,
            lifecycle_attempt,
            action.connect_timeout,
        )
        stream.on_close = lambda: self.pools.cancel(call)
        shard_request.attempts.append(call)

    def _on_attempt_denied(
        self, action: routing.Send, shard_request: ShardRequest, number: int
    ) -> None:
        """Report a denied attempt as not sent; the policy counts it among the attempts."""
        shard_request.lifecycle_attempts.append(None)
        shard_request.attempts.append(OutgoingCall.denied(action.endpoint, shard_request.statement))
        self.loop.enqueue(
            routing.AttemptEnded(
                shard_request.id, number, action.endpoint, routing.Outcome.NOT_SENT, 0.0
            )
        )

    def _on_streaming_started(self, query: RoutedQuery, stream: ShardRowStream) -> None:
        """Commit to the attempt whose rows are about to be streamed, and notify the policy."""
        for shard_request in query.shard_requests:
            for number, call in enumerate(shard_request.attempts):
                if (
                    call.stream is stream
                    and shard_request.answer is None
                    and not query.ended
                    and not call.ended
                ):
                    shard_request.answer, stream.committed = stream, True
                    self.pools.limit_row_wait(call, query.row_wait_ms)
                    latency = self.now - shard_request.sent_at[number]
                    self.loop.enqueue(
                        routing.ResponseStarted(shard_request.id, number, call.endpoint, latency)
                    )

    def _on_attempt_ended(
        self,
        query: RoutedQuery,
        shard_request: ShardRequest,
        number: int,
        endpoint: int,
        result: AttemptResult,
    ) -> None:
        latency = self.now - shard_request.sent_at[number]
        shard_request.lifecycle_attempts[number].end(result.outcome, self.now)
        stream = (
            shard_request.attempts[number].stream if number < len(shard_request.attempts) else None
        )
        self.loop.enqueue(
            routing.AttemptEnded(shard_request.id, number, endpoint, result.outcome, latency)
        )
        query.attempt_history.append(
            (shard_request.statement.shard, endpoint, result.outcome.value, round(latency, 1))
        )
        succeeded = result.outcome is routing.Outcome.SUCCEEDED
        if stream is not None and stream.committed:
            self._on_streamed_attempt_ended(query, stream, result)
        elif succeeded and not query.ended and shard_request.answer is None:
            if result.error is not None:  # an error in the query itself, so not retried
                self.loop.enqueue(routing.QueryCancelled(query.id))
                self._fail_query(query, result.error)
            else:
                shard_request.answer, shard_request.oids = stream, result.oids
                stream.finish()
        elif stream is not None:
            stream.close()
        if query.ended and all(s.ended for s in shard_request.attempts):
            self._shard_requests.pop(shard_request.id, None)

    def _on_streamed_attempt_ended(
        self, query: RoutedQuery, stream: ShardRowStream, result: AttemptResult
    ) -> None:
        """End an attempt whose rows may have reached the client: complete or failed, no retry."""
        if result.outcome is routing.Outcome.SUCCEEDED:
            stream.finish(result.error)
            return
        if stream.state != "open":  # it was ended with the others of its query
            return
        problem = broken_off_error(query, stream.shard, result.outcome)
        self._end_streams(query, problem)
        if not query.ended:
            self.loop.enqueue(routing.QueryCancelled(query.id))
            self._fail_query(query, problem)

    def _end_streams(self, query: RoutedQuery, problem: PgError) -> None:
        """End the streamed rows of a query with an error, and what its data nodes still run."""
        calls = [
            call
            for shard_request in query.shard_requests
            for call in shard_request.attempts
            if call.stream is not None
        ]
        for call in calls:
            call.stream.finish(problem)
        for call in calls:
            self.pools.cancel(call)

    def _on_memory_rejected(self, query: RoutedQuery, problem: PgError) -> None:
        if not query.ended:
            self.loop.enqueue(routing.QueryCancelled(query.id))
            self._fail_query(query, problem)
        else:  # its rows are being streamed to the client
            self._end_streams(query, problem)

    def _cancel(self, action: routing.Cancel) -> None:
        if action.shard_request in self._shard_requests:
            _, shard_request = self._shard_requests[action.shard_request]
            self.pools.cancel(shard_request.attempts[action.attempt])

    def _answer(self, action: routing.Answer) -> None:
        query = self.queries.get(action.query)
        if query is None:
            return
        if not action.complete:
            # No client interface supports partial answers yet.
            self._fail(routing.Fail(action.query, FailureReason.INCOMPLETE))
            return
        missing = sum(shard_request.answer is None for shard_request in query.shard_requests)
        allowed = self.lifecycle.answer(
            query.lifecycle_query, AnswerKind.COMPLETE, self.now, missing
        )
        if allowed is AnswerKind.COMPLETE:
            self.counts["answered"] += 1
            self._close_query(query, query.shard_requests)
        elif allowed is AnswerKind.FAILED:
            self.counts["failed"] += 1
            self._close_query(query, outcome_unknown_error())

    def _reject(self, action: routing.Reject) -> None:
        query = self.queries.get(action.query)
        if query is not None:
            rejection = PgError(
                QUERY_REJECTED,
                "refused: not answerable in time now; trying again is harmless",
                detail=f"retry_after_ms={action.retry_after:.0f}",
                hint="come back after the time in the detail field",
            )
            self._record_failure_reason(query, action.reason)
            allowed = self.lifecycle.answer(query.lifecycle_query, AnswerKind.REJECTED, self.now)
            self.counts["refused" if allowed is AnswerKind.REJECTED else "failed"] += 1
            self._close_query(
                query, rejection if allowed is AnswerKind.REJECTED else outcome_unknown_error()
            )

    def _fail(self, action: routing.Fail) -> None:
        query = self.queries.get(action.query)
        if query is not None:
            self.counts["failed"] += 1
            self._record_failure_reason(query, action.reason)
            self._fail_query(query, outcome_unknown_error())

    def _record_failure_reason(self, query: RoutedQuery, reason: FailureReason) -> None:
        """Record why a query failed, for the counters and the query log."""
        query.given_up = reason
        self.given_up[reason] += 1

    def _fail_query(self, query: RoutedQuery, problem: PgError) -> None:
        """Answer a query with an error, unless it has its final answer."""
        if self.lifecycle.answer(query.lifecycle_query, AnswerKind.FAILED, self.now) is not None:
            self._close_query(query, problem)

    def _close_query(self, query: RoutedQuery, answer: list[ShardRequest] | PgError) -> None:
        """Remove a query that has been answered or abandoned, and report its answer."""
        self.queries.pop(query.id, None)
        for shard_request in query.shard_requests:
            if all(s.ended for s in shard_request.attempts):
                self._shard_requests.pop(shard_request.id, None)
        if isinstance(answer, PgError):
            query.memory.close()
        try:
            query.done(answer)
        except Exception as error:  # whoever closes it may have other queries to close
            self.on_fault("answer", error)

    def _close_idle(self, action: routing.CloseIdleConnections) -> None:
        self.pools.close_idle(action.endpoint)
