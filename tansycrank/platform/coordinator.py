"""Between the step loop and the platform's sockets: requests become events, actions are carried out
at once.

Nothing is decided here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tansycrank import interface as io
from tansycrank.interface import GiveUpReason
from tansycrank.lifecycle import Answer, Lifecycle, NotAllowed, Request, Violation
from tansycrank.platform import request as codec
from tansycrank.platform.connection_pool import ConnectionPool
from tansycrank.platform.given_up_log import GivenUpLog
from tansycrank.platform.request import QueryRequest, Refused
from tansycrank.platform.sending import Sending
from tansycrank.router.steps import StepLoop

Reply = Callable[[int, bytes, tuple[bytes, ...]], None]  # status, body, header lines


@dataclass(slots=True, eq=False)
class Part:
    """A part and its attempts; `value` is the first answer's."""

    id: int
    name: bytes
    shard: int
    attempts: list[Sending] = field(default_factory=list)
    value: str | None = None


@dataclass(slots=True, eq=False)
class Query:
    """A query in the module's hands. `reply` is called exactly once, unless its client has left."""

    id: int
    request: QueryRequest
    reply: Reply
    life: Request
    parts: list[Part] = field(default_factory=list)

    @property
    def ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.life.open


class Coordinator:
    """Holds at most the queries and parts that the settings' open_cap allows."""

    def __init__(
        self,
        reactor,
        settings: io.Settings,
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
        self._parts: dict[int, tuple[Query, Part]] = {}
        self._ids = 0
        self.held = 0  # queries and parts open
        self.until = float(
            "inf"
        )  # ms: this router ends then; what it takes has to be answered before
        self.counts = dict.fromkeys(
            ("taken", "answered", "refused", "failed", "left", "turned_away", "sends", "cancels"), 0
        )
        self.given_up = GivenUpLog(log)
        self.outcomes = dict.fromkeys((outcome.value for outcome in io.Outcome), 0)
        acts = {
            io.Send: self._send,
            io.Cancel: self._cancel,
            io.Answer: self._answer,
            io.Shed: self._shed,
            io.Fail: self._fail,
            io.CloseIdle: lambda action: pool.close_idle(action.server),
            io.Watch: lambda action: on_watch(action.on),
            io.FetchList: lambda action: on_fetch(),
            io.Note: lambda action: log("note", text=action.text),
        }
        guarded = {kind: partial(self._act, act) for kind, act in acts.items()}
        self.loop = StepLoop(reactor, settings, seed, guarded, self._broken, pool.flush)

    # --- in ---------------------------------------------------------------------------

    def take(self, request: QueryRequest, reply: Reply, waited: float = 0.0) -> Query:
        """Take a query that was read `waited` ms ago.

        Refused where its id is open already, or as many are held as may be.
        """
        if request.id in self.queries:
            raise Refused(409, "X-Request-Id: a request of that id is open")
        if self.held + 1 + len(request.parts) > self.settings.open_cap:
            self.counts["turned_away"] += 1
            raise Refused(503, "too many requests are open")
        cls = self.settings.classes[request.query_class]
        if cls.effect is io.Effect.KEYED and not request.once:
            raise Refused(
                400, "Idempotency-Key: this class needs one, by which nodes know a repeat"
            )
        give_up = cls.give_up
        late = waited if waited > self.settings.tick else 0.0  # less is within what the clock tells
        time_left = min(request.deadline - late, give_up - late, self.until - self.loop.now)
        if time_left <= 0:
            raise Refused(503, "no time is left to answer it")
        self._ids += 1
        now = self.loop.now
        life = self.lifecycle.take(
            request.id.decode(),
            cls.effect,
            cls.dedup_window,
            now + time_left,
            len(request.parts),
            now,
        )
        query = Query(self._ids, request, reply, life)
        events: list[io.Event] = [
            io.QueryArrived(
                query.id,
                query.id,
                request.query_class,
                time_left,
                len(request.parts),
                request.key,
                request.repeat,
            )
        ]
        for shard, weight, key in request.parts:
            self._ids += 1
            part = Part(self._ids, b"%b.%d" % (request.id, shard), shard)
            query.parts.append(part)
            self._parts[part.id] = query, part
            events.append(io.PartArrived(part.id, query.id, shard, weight, key))
        self.queries[request.id] = self._by_number[query.id] = query
        self.held += 1 + len(query.parts)
        self.counts["taken"] += 1
        self.loop.hear(*events)
        return query

    def abandon(self, query: Query) -> None:
        """The client has left."""
        if not query.ended:
            self.counts["left"] += 1
            self.lifecycle.abandon(query.life, self.loop.now)
            self._end(query)
            self.loop.hear(io.QueryGone(query.id))

    def give_back(self, query: Query, reason: GiveUpReason) -> None:
        """Answer a query that the module does not end: refused where no attempt may have run, else
        failed.
        """
        if query.life.effect is io.Effect.SAFE or not query.life.may_have_run:
            hold_off = self.settings.hold_off_max if self.settings.can_hold_off else 0.0
            self._shed(io.Shed(query.id, hold_off, reason))
        else:
            self._fail(io.Fail(query.id, reason))
        self.loop.hear(io.QueryGone(query.id))

    def give_back_all(self, reason: GiveUpReason) -> None:
        """Answer whatever is open."""
        for query in list(self.queries.values()):
            self.give_back(query, reason)

    def _broken(self, error: Exception) -> None:
        self.log("the decision module failed", error=repr(error), traceback=True)
        self.give_back_all(GiveUpReason.FAULT)

    def _act(self, act: Callable[[io.Action], None], action: io.Action) -> None:
        """Carry out one action. Danger: one query's fault, and the answers behind it are lost."""
        try:
            act(action)
        except Exception as error:
            self.log(
                "an action failed", action=type(action).__name__, error=repr(error), traceback=True
            )
            query, part = self._parts.get(getattr(action, "part", 0), (None, None))
            query = query or self._by_number.get(getattr(action, "query", 0))
            if isinstance(action, io.Send):  # the module waits for its end
                self._never_sent(action, part)
            if query is not None and not query.ended:
                self.give_back(query, GiveUpReason.FAULT)

    # --- out --------------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        query, part = self._parts[action.part]
        number, began = len(part.attempts), self.loop.now
        self.counts["sends"] += 1
        try:
            attempt = self.lifecycle.choose(
                query.life, part.shard, action.server, action.time_out, action.leave_within, began
            )
        except NotAllowed as refused:
            self.log("a send is not allowed", request=query.life.name, reason=refused.reason.value)
            self._never_sent(action, part)
            return

        def ended(outcome: io.Outcome, value: str, load: tuple[float, ...]) -> None:
            self.outcomes[outcome.value] += 1
            attempt.end(outcome, self.loop.now)
            if outcome is io.Outcome.ANSWERED and part.value is None:
                part.value = value
                self._withdraw(part)
            took = self.loop.now - began
            self.loop.hear(
                io.AttemptEnded(part.id, number, action.server, outcome, took, query.ended, load)
            )
            if query.ended:
                self._forget(part)

        time_out = attempt.deadline - began
        part.attempts.append(
            self.pool.send(
                part.name,
                action.server,
                part.shard,
                query.request.text,
                time_out,
                ended,
                attempt,
                action.connect_within,
                query.request.once,
                action.leave_within,
            )
        )

    def _never_sent(self, action: io.Send, part: Part | None) -> None:
        """End a send that never was one; the policy counts it among the attempts of its part."""
        number = 0
        if part is not None:
            number = len(part.attempts)
            part.attempts.append(Sending.never(part.name, part.shard))
        self.outcomes[io.Outcome.NOT_SENT.value] += 1
        self.loop.hear(
            io.AttemptEnded(action.part, number, action.server, io.Outcome.NOT_SENT, 0.0, False, ())
        )

    def _cancel(self, action: io.Cancel) -> None:
        if action.part in self._parts:
            self.counts["cancels"] += 1
            self.pool.cancel(self._parts[action.part][1].attempts[action.attempt])

    def _answer(self, action: io.Answer) -> None:
        query = self._by_number.get(action.query)
        if query is None:
            return
        needs_all = action.whole and self.settings.classes[query.request.query_class].whole_at >= 1
        missing = sum(part.value is None for part in query.parts) if needs_all else 0
        self._conclude(query, Answer.WHOLE if action.whole else Answer.PARTIAL, missing=missing)

    def _shed(self, action: io.Shed) -> None:
        if query := self._by_number.get(action.query):
            self._conclude(query, Answer.REFUSED, hold_off=action.hold_off, reason=action.reason)

    def _fail(self, action: io.Fail) -> None:
        if query := self._by_number.get(action.query):
            self._conclude(query, Answer.FAILED, reason=action.reason)

    def _conclude(
        self,
        query: Query,
        kind: Answer,
        missing: int = 0,
        hold_off: float = 0.0,
        reason: GiveUpReason = GiveUpReason.FAULT,
    ) -> None:
        """The one final answer of a query, as far as its life allows it; `reason` is why it is
        given up.
        """
        allowed = self.lifecycle.answer(query.life, kind, self.loop.now, missing)
        if allowed is None:
            return
        self._end(query)
        if allowed in (Answer.REFUSED, Answer.FAILED):
            self.given_up.note(query.life, allowed, reason, self.loop.now)
        if allowed is Answer.REFUSED:
            self.counts["refused"] += 1
            refusal = codec.words("not answerable in time now; asking again is harmless")
            query.reply(503, refusal, codec.wait(hold_off))
        elif allowed is Answer.FAILED:
            self.counts["failed"] += 1
            query.reply(504, codec.words("given up: it may or may not have taken effect"), ())
        else:
            self.counts["answered"] += 1
            values = [(part.shard, part.value) for part in query.parts if part.value is not None]
            query.reply(200, codec.hits(allowed is Answer.WHOLE, values), ())

    def heard_list(self, event: io.ServerList) -> None:
        """Service discovery spoke: nothing starts any more at an endpoint that is not in service."""
        self.lifecycle.listed(event)
        for entry in event.entries:
            if entry.status is io.Status.DRAINING:
                self.pool.hold_back(entry.server)
        self.loop.hear(event)

    def _violated(self, violation: Violation) -> None:
        self.log(
            "invariant violated",
            invariant=violation.invariant.value,
            detail=violation.detail,
            request=violation.request,
            history=violation.history,
        )

    def _end(self, query: Query) -> None:
        del self.queries[query.request.id], self._by_number[query.id]
        self.held -= 1 + len(query.parts)
        for part in query.parts:
            self._withdraw(part)
            self._forget(part)

    def _withdraw(self, part: Part) -> None:
        """Danger: a part that starts after its query's end, where nodes take no cancels."""
        for sending in part.attempts:
            self.pool.withdraw(sending)

    def _forget(self, part: Part) -> None:
        if all(sending.ended for sending in part.attempts):
            self._parts.pop(part.id, None)
