"""Between the step loop and the SQL router's sockets: what happened becomes events, actions are
carried out.

Nothing is decided here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank import routing
from tansycrank.lifecycle import (
    AnswerKind,
    Attempt,
    AttemptDeniedError,
    Lifecycle,
    Query,
    Violation,
)
from tansycrank.merge.blocks import Memory, MemoryReservations, ShardRowStream
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.postgres.errors import (
    INTERNAL,
    QUERY_FAILED,
    QUERY_REJECTED,
    RESULT_INCOMPLETE,
    PgError,
    cancelled,
)
from tansycrank.routing import FailureReason
from tansycrank.sql_router.connection_pool import ConnectionPool, OutgoingCall
from tansycrank.sql_router.node_connection import AttemptResult, ShardStatement


@dataclass(slots=True, eq=False)
class ShardRequest:
    """A shard request and its attempts."""

    id: int
    request: ShardStatement
    attempts: list[OutgoingCall] = field(default_factory=list)
    lifecycle_attempts: list[Attempt | None] = field(
        default_factory=list
    )  # of the attempts; None for one never made
    sent_at: list[float] = field(default_factory=list)
    answer: ShardRowStream | None = None  # the attempt whose rows count, whole or begun
    oids: tuple[int, ...] = ()


@dataclass(slots=True, eq=False)
class RoutedQuery:
    """A query that the routing policy routes.

    `done` is called exactly once: with the shard requests in order, or with an error.
    """

    id: int
    number: int
    query_class: int
    shard_requests: list[ShardRequest]
    memory: Memory
    done: Callable[[list[ShardRequest] | PgError], None]
    began: float
    lifecycle_request: Query
    attempt_history: list[tuple] = field(default_factory=list)  # (shard, endpoint, outcome, ms)
    given_up: FailureReason | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.lifecycle_request.is_open


class Coordinator:
    """Between the module and the sockets. Times in milliseconds of the reactor's clock."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        pools: ConnectionPool,
        memory_reservations: MemoryReservations,
        on_watch: Callable[[bool], None],
        on_broken: Callable[[BaseException], None],
    ) -> None:
        self.reactor, self.pools, self.memory_reservations, self.settings = (
            reactor,
            pools,
            memory_reservations,
            settings,
        )
        self.on_violation: Callable[[Violation], None] = lambda violation: None  # for the log
        self.lifecycle = Lifecycle(settings, lambda violation: self.on_violation(violation))
        self.on_watch, self.on_broken = on_watch, on_broken
        self.queries: dict[int, RoutedQuery] = {}
        self._shard_requests: dict[int, tuple[RoutedQuery, ShardRequest]] = {}
        self._ids = 0
        self.counts = {
            "taken": 0,
            "answered": 0,
            "refused": 0,
            "failed": 0,
            "cancelled": 0,
            "sends": 0,
        }
        self.given_up: Counter[FailureReason] = Counter()
        acts = {
            routing.Send: self._send,
            routing.Cancel: self._cancel,
            routing.Answer: self._answer,
            routing.Reject: self._reject,
            routing.Fail: self._fail,
            routing.CloseIdleConnections: self._close_idle,
            routing.WatchEndpoints: lambda action: self.on_watch(action.on),
        }
        self.loop = PolicyEventLoop(reactor, settings, seed, acts, self._broken)

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.loop.now

    @property
    def steps(self) -> int:
        """Number of steps taken."""
        return self.loop.steps

    def start(self) -> None:
        """Start: the policy asks for the endpoint list."""
        self.loop.enqueue()

    def stop(self) -> None:
        """No more steps; open queries have been answered before."""
        self.loop.stop()

    # --- in ---------------------------------------------------------------------------

    def submit(
        self,
        query_class: int,
        remaining: float,
        requests: Sequence[ShardStatement],
        done: Callable[[list[ShardRequest] | PgError], None],
        repeat: bool = False,
        streams: bool = False,
    ) -> RoutedQuery:
        """Take a query. `remaining` is what its client will wait, in ms.

        `streams` tells that its rows may leave before its parts are whole.
        """
        self._ids += 1
        query_id = number = self._ids
        shard_requests = []
        self.loop.enqueue(
            routing.QueryArrived(
                query_id, number, query_class, remaining, len(requests), is_retry=repeat
            )
        )
        cls, now = self.settings.classes[query_class], self.now
        lifecycle_request = self.lifecycle.accept(
            str(query_id), cls.idempotency, cls.dedup_window, now + remaining, len(requests), now
        )
        query = RoutedQuery(
            query_id,
            number,
            query_class,
            shard_requests,
            self.memory_reservations.open(streams),
            done,
            now,
            lifecycle_request,
        )
        query.memory.on_refused = lambda problem: self._no_memory(query, problem)
        query.memory.on_began = lambda stream: self._began(query, stream)
        for request in requests:
            self._ids += 1
            shard_request = ShardRequest(self._ids, request)
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
        """The client disconnected or cancelled; `error` is its answer if it still reads one."""
        if query.ended:
            return
        self.counts["cancelled"] += 1
        self.loop.enqueue(routing.QueryCancelled(query.id))
        self.lifecycle.abandon(query.lifecycle_request, self.now)
        self._forget(query, error or cancelled())

    def handle_endpoint_list(self, event: routing.EndpointListUpdate) -> None:
        """Apply an endpoint list: nothing starts any more at an endpoint that is not in service."""
        self.lifecycle.update_endpoints(event)
        self.loop.enqueue(event)

    def _broken(self, error: Exception) -> None:
        """The policy raised an error: answer all open queries."""
        for query in list(self.queries.values()):
            self._end(query, PgError(INTERNAL, "the router's decision module failed"))
        self.on_broken(error)

    # --- out --------------------------------------------------------------------------

    def _send(self, action: routing.Send) -> None:
        query, shard_request = self._shard_requests[action.shard_request]
        number = len(shard_request.attempts)
        now = self.now
        shard_request.sent_at.append(now)
        self.counts["sends"] += 1
        try:
            lifecycle_attempt = self.lifecycle.prepare_attempt(
                query.lifecycle_request,
                shard_request.id,
                action.endpoint,
                action.timeout,
                action.write_timeout,
                now,
            )
        except AttemptDeniedError:
            self._never_sent(action, shard_request, number)
            return
        shard_request.lifecycle_attempts.append(lifecycle_attempt)
        stream = ShardRowStream(query.memory, shard_request.request.shard)

        def ended(result: AttemptResult) -> None:
            self._ended(query, shard_request, number, action.endpoint, result)

        call = self.pools.send(
            action.endpoint,
            shard_request.request,
            stream,
            lifecycle_attempt.deadline - now,
            ended,
            lifecycle_attempt,
            action.connect_timeout,
        )
        stream.on_close = lambda: self.pools.cancel(call)
        shard_request.attempts.append(call)

    def _never_sent(self, action: routing.Send, shard_request: ShardRequest, number: int) -> None:
        """End a send that was not allowed; the policy counts it among the attempts of its part."""
        shard_request.lifecycle_attempts.append(None)
        shard_request.attempts.append(OutgoingCall.never(action.endpoint, shard_request.request))
        self.loop.enqueue(
            routing.AttemptEnded(
                shard_request.id, number, action.endpoint, routing.Outcome.NOT_SENT, 0.0
            )
        )

    def _began(self, query: RoutedQuery, stream: ShardRowStream) -> None:
        """Rows of this attempt are to leave as they come: the module hears that it has begun."""
        for shard_request in query.shard_requests:
            for number, call in enumerate(shard_request.attempts):
                if (
                    call.stream is stream
                    and shard_request.answer is None
                    and not query.ended
                    and not call.ended
                ):
                    shard_request.answer, stream.committed = stream, True
                    call.untimed()
                    latency = self.now - shard_request.sent_at[number]
                    self.loop.enqueue(
                        routing.ResponseStarted(shard_request.id, number, call.endpoint, latency)
                    )

    def _ended(
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
            (shard_request.request.shard, endpoint, result.outcome.value, round(latency, 1))
        )
        answered = result.outcome is routing.Outcome.SUCCEEDED
        if stream is not None and stream.committed:
            self._stream_ended(query, stream, result)
        elif answered and not query.ended and shard_request.answer is None:
            if result.error is not None:  # the query's own fault: its client hears it at once
                self.loop.enqueue(routing.QueryCancelled(query.id))
                self._end(query, result.error)
            else:
                shard_request.answer, shard_request.oids = stream, result.oids
                stream.finish()
        elif stream is not None:
            stream.close()
        if query.ended and all(s.ended for s in shard_request.attempts):
            self._shard_requests.pop(shard_request.id, None)

    def _stream_ended(
        self, query: RoutedQuery, stream: ShardRowStream, result: AttemptResult
    ) -> None:
        """End an attempt whose rows may have been sent: complete or an error, never a retry."""
        if result.outcome is routing.Outcome.SUCCEEDED:
            stream.finish(result.error)
            return
        problem = PgError(
            RESULT_INCOMPLETE,
            "the answer broke off: the rows before this error are not the whole",
            hint="ask again; a replica was lost while its rows were on their way",
        )
        stream.finish(problem)
        if not query.ended:
            self.loop.enqueue(routing.QueryCancelled(query.id))
            self._end(query, problem)

    def _no_memory(self, query: RoutedQuery, problem: PgError) -> None:
        if not query.ended:
            self.loop.enqueue(routing.QueryCancelled(query.id))
            self._end(query, problem)
        else:  # its rows are on their way out
            for shard_request in query.shard_requests:
                for call in shard_request.attempts:
                    if call.stream is not None:
                        call.stream.finish(problem)
                        self.pools.cancel(call)

    def _cancel(self, action: routing.Cancel) -> None:
        if action.shard_request in self._shard_requests:
            _, shard_request = self._shard_requests[action.shard_request]
            self.pools.cancel(shard_request.attempts[action.attempt])

    def _answer(self, action: routing.Answer) -> None:
        query = self.queries.get(action.query)
        if query is None:
            return
        if not action.complete:
            # No front asks for answers in part yet.
            self._fail(routing.Fail(action.query, FailureReason.INCOMPLETE))
            return
        missing = sum(shard_request.answer is None for shard_request in query.shard_requests)
        allowed = self.lifecycle.answer(
            query.lifecycle_request, AnswerKind.COMPLETE, self.now, missing
        )
        if allowed is AnswerKind.COMPLETE:
            self.counts["answered"] += 1
            self._forget(query, query.shard_requests)
        elif allowed is AnswerKind.FAILED:
            self.counts["failed"] += 1
            self._forget(query, given_up())

    def _reject(self, action: routing.Reject) -> None:
        query = self.queries.get(action.query)
        if query is not None:
            refused = PgError(
                QUERY_REJECTED,
                "refused: not answerable in time now; trying again is harmless",
                detail=f"retry_after_ms={action.retry_after:.0f}",
                hint="come back after the time in the detail field",
            )
            self._give_up(query, action.reason)
            allowed = self.lifecycle.answer(query.lifecycle_request, AnswerKind.REJECTED, self.now)
            self.counts["refused" if allowed is AnswerKind.REJECTED else "failed"] += 1
            self._forget(query, refused if allowed is AnswerKind.REJECTED else given_up())

    def _fail(self, action: routing.Fail) -> None:
        query = self.queries.get(action.query)
        if query is not None:
            self.counts["failed"] += 1
            self._give_up(query, action.reason)
            self._end(query, given_up())

    def _give_up(self, query: RoutedQuery, reason: FailureReason) -> None:
        """Record the reason for counters and for the query log."""
        query.given_up = reason
        self.given_up[reason] += 1

    def _end(self, query: RoutedQuery, problem: PgError) -> None:
        """The one final answer of a query that has failed."""
        if self.lifecycle.answer(query.lifecycle_request, AnswerKind.FAILED, self.now) is not None:
            self._forget(query, problem)

    def _forget(self, query: RoutedQuery, answer: list[ShardRequest] | PgError) -> None:
        """A query has been answered or abandoned."""
        self.queries.pop(query.id, None)
        for shard_request in query.shard_requests:
            if all(s.ended for s in shard_request.attempts):
                self._shard_requests.pop(shard_request.id, None)
        if isinstance(answer, PgError):
            query.memory.close()
        query.done(answer)

    def _close_idle(self, action: routing.CloseIdleConnections) -> None:
        self.pools.close_idle(action.endpoint)


def given_up() -> PgError:
    """The answer to a query that may or may not have run."""
    return PgError(
        QUERY_FAILED,
        "given up: it may or may not have taken effect",
        hint="look whether it did before you try again",
    )
