"""Between the step loop and the platform's sockets: requests become events, actions are carried out
at once.

Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tansycrank import routing
from tansycrank.http_router import request_codec as codec
from tansycrank.http_router.connection_pool import ConnectionPool
from tansycrank.http_router.failure_log import FailureLog
from tansycrank.http_router.outgoing_call import OutgoingCall
from tansycrank.http_router.request_codec import QueryRequest, Refused
from tansycrank.lifecycle import AnswerKind, Lifecycle, NotAllowed, Request, Violation
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.routing import FailureReason

Reply = Callable[[int, bytes, tuple[bytes, ...]], None]  # status, body, header lines


@dataclass(slots=True, eq=False)
class ShardRequest:
    """A part and its attempts; `value` is the first answer's."""

    id: int
    name: bytes
    shard: int
    attempts: list[OutgoingCall] = field(default_factory=list)
    value: str | None = None


@dataclass(slots=True, eq=False)
class Query:
    """A query in the module's hands. `reply` is called exactly once, unless its client has left."""

    id: int
    request: QueryRequest
    reply: Reply
    life: Request
    shard_requests: list[ShardRequest] = field(default_factory=list)

    @property
    def ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.life.open


class Coordinator:
    """Holds at most the queries and parts that the settings' open_cap allows."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        pool: ConnectionPool,
        log: Callable[..., None],
        on_watch: Callable[[bool], None],
        on_fetch: Callable[[], None],
    ) -> None:
        self.settings, self.pool, self.log = settings, pool, log
        self.lifecycle = Lifecycle(settings, self._violated)
        self.queries: dict[bytes, Query] = {}  # by the client's id
        self._by_number: dict[int, Query] = {}
        self._parts: dict[int, tuple[Query, ShardRequest]] = {}
        self._ids = 0
        self.held = 0  # queries and parts open
        self.until = float(
            "inf"
        )  # ms: this router ends then; what it takes has to be answered before
        self.counts = dict.fromkeys(
            ("taken", "answered", "refused", "failed", "left", "turned_away", "sends", "cancels"), 0
        )
        self.given_up = FailureLog(log)
        self.outcomes = dict.fromkeys((outcome.value for outcome in routing.Outcome), 0)
        acts = {
            routing.Send: self._send,
            routing.Cancel: self._cancel,
            routing.Answer: self._answer,
            routing.Reject: self._reject,
            routing.Fail: self._fail,
            routing.CloseIdleConnections: lambda action: pool.close_idle(action.endpoint),
            routing.WatchEndpoints: lambda action: on_watch(action.on),
            routing.PollEndpoints: lambda action: on_fetch(),
            routing.LogMessage: lambda action: log("policy_message_logged", text=action.text),
        }
        guarded = {kind: partial(self._act, act) for kind, act in acts.items()}
        self.loop = PolicyEventLoop(reactor, settings, seed, guarded, self._broken, pool.flush)

    # --- in ---------------------------------------------------------------------------

    def take(self, request: QueryRequest, reply: Reply, waited: float = 0.0) -> Query:
        """Take a query that was read `waited` ms ago.

        Refused where its id is open already, or as many are held as may be.
        """
        if request.id in self.queries:
            raise Refused(409, "X-Request-Id: a request of that id is open")
        if self.held + 1 + len(request.shard_requests) > self.settings.max_in_flight:
            self.counts["turned_away"] += 1
            raise Refused(503, "too many requests are open")
        cls = self.settings.classes[request.query_class]
        if cls.idempotency is routing.Idempotency.WITH_KEY and not request.once:
            raise Refused(
                400, "Idempotency-Key: this class needs one, by which nodes know a repeat"
            )
        give_up = cls.deadline
        late = waited if waited > self.settings.tick else 0.0  # less is within what the clock tells
        remaining = min(request.deadline - late, give_up - late, self.until - self.loop.now)
        if remaining <= 0:
            raise Refused(503, "no time is left to answer it")
        self._ids += 1
        now = self.loop.now
        life = self.lifecycle.take(
            request.id.decode(),
            cls.idempotency,
            cls.dedup_window,
            now + remaining,
            len(request.shard_requests),
            now,
        )
        query = Query(self._ids, request, reply, life)
        events: list[routing.Event] = [
            routing.QueryArrived(
                query.id,
                query.id,
                request.query_class,
                remaining,
                len(request.shard_requests),
                request.key,
                request.repeat,
            )
        ]
        for shard, weight, key in request.shard_requests:
            self._ids += 1
            shard_request = ShardRequest(self._ids, b"%b.%d" % (request.id, shard), shard)
            query.shard_requests.append(shard_request)
            self._parts[shard_request.id] = query, shard_request
            events.append(
                routing.ShardRequestArrived(shard_request.id, query.id, shard, weight, key)
            )
        self.queries[request.id] = self._by_number[query.id] = query
        self.held += 1 + len(query.shard_requests)
        self.counts["taken"] += 1
        self.loop.handle(*events)
        return query

    def abandon(self, query: Query) -> None:
        """The client has left."""
        if not query.ended:
            self.counts["left"] += 1
            self.lifecycle.abandon(query.life, self.loop.now)
            self._end(query)
            self.loop.handle(routing.QueryCancelled(query.id))

    def reject(self, query: Query, reason: FailureReason) -> None:
        """Answer a query that the module does not end: refused where no attempt may have run, else
        failed.
        """
        if query.life.idempotency is routing.Idempotency.IDEMPOTENT or not query.life.may_have_run:
            retry_after = self.settings.max_retry_after if self.settings.can_retry_after else 0.0
            self._reject(routing.Reject(query.id, retry_after, reason))
        else:
            self._fail(routing.Fail(query.id, reason))
        self.loop.handle(routing.QueryCancelled(query.id))

    def reject_all(self, reason: FailureReason) -> None:
        """Answer whatever is open."""
        for query in list(self.queries.values()):
            self.reject(query, reason)

    def _broken(self, error: Exception) -> None:
        self.log("policy_failed", error=repr(error), traceback=True)
        self.reject_all(FailureReason.FAULT)

    def _act(self, act: Callable[[routing.Action], None], action: routing.Action) -> None:
        """Carry out one action. Danger: one query's fault, and the answers behind it are lost."""
        try:
            act(action)
        except Exception as error:
            self.log(
                "action_failed", action=type(action).__name__, error=repr(error), traceback=True
            )
            query, shard_request = self._parts.get(
                getattr(action, "shard_request", 0), (None, None)
            )
            query = query or self._by_number.get(getattr(action, "query", 0))
            if isinstance(action, routing.Send):  # the module waits for its end
                self._never_sent(action, shard_request)
            if query is not None and not query.ended:
                self.reject(query, FailureReason.FAULT)

    # --- out --------------------------------------------------------------------------

    def _send(self, action: routing.Send) -> None:
        query, shard_request = self._parts[action.shard_request]
        number, began = len(shard_request.attempts), self.loop.now
        self.counts["sends"] += 1
        try:
            attempt = self.lifecycle.choose(
                query.life,
                shard_request.shard,
                action.endpoint,
                action.time_out,
                action.leave_within,
                began,
            )
        except NotAllowed as refused:
            self.log("attempt_not_allowed", request=query.life.name, reason=refused.reason.value)
            self._never_sent(action, shard_request)
            return

        def ended(outcome: routing.Outcome, value: str, load: tuple[float, ...]) -> None:
            self.outcomes[outcome.value] += 1
            attempt.end(outcome, self.loop.now)
            if outcome is routing.Outcome.SUCCEEDED and shard_request.value is None:
                shard_request.value = value
                self._withdraw(shard_request)
            latency = self.loop.now - began
            self.loop.handle(
                routing.AttemptEnded(
                    shard_request.id, number, action.endpoint, outcome, latency, query.ended, load
                )
            )
            if query.ended:
                self._forget(shard_request)

        time_out = attempt.deadline - began
        shard_request.attempts.append(
            self.pool.send(
                shard_request.name,
                action.endpoint,
                shard_request.shard,
                query.request.text,
                time_out,
                ended,
                attempt,
                action.connect_within,
                query.request.once,
                action.leave_within,
            )
        )

    def _never_sent(self, action: routing.Send, shard_request: ShardRequest | None) -> None:
        """End a send that never was one; the policy counts it among the attempts of its part."""
        number = 0
        if shard_request is not None:
            number = len(shard_request.attempts)
            shard_request.attempts.append(
                OutgoingCall.never(shard_request.name, shard_request.shard)
            )
        self.outcomes[routing.Outcome.NOT_SENT.value] += 1
        self.loop.handle(
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
        if action.shard_request in self._parts:
            self.counts["cancels"] += 1
            self.pool.cancel(self._parts[action.shard_request][1].attempts[action.attempt])

    def _answer(self, action: routing.Answer) -> None:
        query = self._by_number.get(action.query)
        if query is None:
            return
        needs_all = (
            action.complete
            and self.settings.classes[query.request.query_class].complete_coverage >= 1
        )
        missing = (
            sum(shard_request.value is None for shard_request in query.shard_requests)
            if needs_all
            else 0
        )
        self._complete(
            query, AnswerKind.COMPLETE if action.complete else AnswerKind.PARTIAL, missing=missing
        )

    def _reject(self, action: routing.Reject) -> None:
        if query := self._by_number.get(action.query):
            self._complete(
                query, AnswerKind.REJECTED, retry_after=action.retry_after, reason=action.reason
            )

    def _fail(self, action: routing.Fail) -> None:
        if query := self._by_number.get(action.query):
            self._complete(query, AnswerKind.FAILED, reason=action.reason)

    def _complete(
        self,
        query: Query,
        kind: AnswerKind,
        missing: int = 0,
        retry_after: float = 0.0,
        reason: FailureReason = FailureReason.FAULT,
    ) -> None:
        """The one final answer of a query, as far as its life allows it; `reason` is why it is
        given up.
        """
        allowed = self.lifecycle.answer(query.life, kind, self.loop.now, missing)
        if allowed is None:
            return
        self._end(query)
        if allowed in (AnswerKind.REJECTED, AnswerKind.FAILED):
            self.given_up.note(query.life, allowed, reason, self.loop.now)
        if allowed is AnswerKind.REJECTED:
            self.counts["refused"] += 1
            refusal = codec.words("not answerable in time now; asking again is harmless")
            query.reply(503, refusal, codec.wait(retry_after))
        elif allowed is AnswerKind.FAILED:
            self.counts["failed"] += 1
            query.reply(504, codec.words("given up: it may or may not have taken effect"), ())
        else:
            self.counts["answered"] += 1
            values = [
                (shard_request.shard, shard_request.value)
                for shard_request in query.shard_requests
                if shard_request.value is not None
            ]
            query.reply(200, codec.hits(allowed is AnswerKind.COMPLETE, values), ())

    def handle_endpoint_list(self, event: routing.EndpointListUpdate) -> None:
        """Service discovery spoke: nothing starts any more at an endpoint that is not in service."""
        self.lifecycle.listed(event)
        for entry in event.entries:
            if entry.status is routing.EndpointStatus.DRAINING:
                self.pool.revoke_unsent(entry.endpoint)
        self.loop.handle(event)

    def _violated(self, violation: Violation) -> None:
        self.log(
            "invariant_violated",
            invariant=violation.invariant.value,
            detail=violation.detail,
            request=violation.request,
            history=violation.history,
        )

    def _end(self, query: Query) -> None:
        del self.queries[query.request.id], self._by_number[query.id]
        self.held -= 1 + len(query.shard_requests)
        for shard_request in query.shard_requests:
            self._withdraw(shard_request)
            self._forget(shard_request)

    def _withdraw(self, shard_request: ShardRequest) -> None:
        """Danger: a part that starts after its query's end, where nodes take no cancels."""
        for sending in shard_request.attempts:
            self.pool.revoke(sending)

    def _forget(self, shard_request: ShardRequest) -> None:
        if all(sending.ended for sending in shard_request.attempts):
            self._parts.pop(shard_request.id, None)
