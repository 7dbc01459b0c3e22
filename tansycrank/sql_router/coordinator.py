"""Between the step loop and the SQL router's sockets: what happened becomes events, actions are
carried out.

Nothing is decided here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank import routing
from tansycrank.lifecycle import AnswerKind, Attempt, Lifecycle, NotAllowed, Request, Violation
from tansycrank.merge.blocks import Keeper, Memory, ShardRowStream
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.postgres.errors import BROKE_OFF, FAILED, INTERNAL, REFUSED, PgError, cancelled
from tansycrank.routing import FailureReason
from tansycrank.sql_router.connection_pool import ConnectionPool, OutgoingCall
from tansycrank.sql_router.node_connection import AttemptResult, ShardStatement


@dataclass(slots=True, eq=False)
class ShardRequest:
    """A part and its attempts."""

    id: int
    request: ShardStatement
    attempts: list[OutgoingCall] = field(default_factory=list)
    lives: list[Attempt | None] = field(
        default_factory=list
    )  # of the attempts; None for one never made
    sent_at: list[float] = field(default_factory=list)
    answer: ShardRowStream | None = None  # the attempt whose rows count, whole or begun
    oids: tuple[int, ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """A query in the module's hands. `done` hears exactly one answer: parts' rows in order, or an
    error.
    """

    id: int
    number: int
    query_class: int
    shard_requests: list[ShardRequest]
    memory: Memory
    done: Callable[[list[ShardRequest] | PgError], None]
    began: float
    life: Request
    story: list[tuple] = field(default_factory=list)  # (part, server, outcome, ms) for the log
    given_up: FailureReason | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.life.open


class Coordinator:
    """Between the module and the sockets. Times in milliseconds of the reactor's clock."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        pools: ConnectionPool,
        keeper: Keeper,
        on_watch: Callable[[bool], None],
        on_broken: Callable[[BaseException], None],
    ) -> None:
        self.reactor, self.pools, self.keeper, self.settings = reactor, pools, keeper, settings
        self.on_violation: Callable[[Violation], None] = lambda violation: None  # for the log
        self.lifecycle = Lifecycle(settings, lambda violation: self.on_violation(violation))
        self.on_watch, self.on_broken = on_watch, on_broken
        self.jobs: dict[int, Job] = {}
        self._parts: dict[int, tuple[Job, ShardRequest]] = {}
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
        """First step: the module asks for the list."""
        self.loop.handle()

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
    ) -> Job:
        """Take a query. `remaining` is what its client will wait, in ms.

        `streams` tells that its rows may leave before its parts are whole.
        """
        self._ids += 1
        query = number = self._ids
        shard_requests = []
        self.loop.handle(
            routing.QueryArrived(
                query, number, query_class, remaining, len(requests), repeat=repeat
            )
        )
        cls, now = self.settings.classes[query_class], self.now
        life = self.lifecycle.take(
            str(query), cls.idempotency, cls.dedup_window, now + remaining, len(requests), now
        )
        job = Job(
            query, number, query_class, shard_requests, self.keeper.open(streams), done, now, life
        )
        job.memory.on_refused = lambda problem: self._no_memory(job, problem)
        job.memory.on_began = lambda stream: self._began(job, stream)
        for request in requests:
            self._ids += 1
            shard_request = ShardRequest(self._ids, request)
            shard_requests.append(shard_request)
            self._parts[shard_request.id] = job, shard_request
            self.loop.handle(
                routing.ShardRequestArrived(
                    shard_request.id, number, request.shard, 1 / len(requests)
                )
            )
        self.jobs[query] = job
        self.counts["taken"] += 1
        return job

    def abandon(self, job: Job, error: PgError | None = None) -> None:
        """The client left or cancelled: its answer, if it still hears one, is `error`."""
        if job.ended:
            return
        self.counts["cancelled"] += 1
        self.loop.handle(routing.QueryCancelled(job.id))
        self.lifecycle.abandon(job.life, self.now)
        self._forget(job, error or cancelled())

    def handle_endpoint_list(self, event: routing.EndpointListUpdate) -> None:
        """The roster spoke: nothing starts any more at an endpoint that is not in service."""
        self.lifecycle.listed(event)
        self.loop.handle(event)

    def _broken(self, error: Exception) -> None:
        """The module broke: nobody may be left without an answer."""
        for job in list(self.jobs.values()):
            self._end(job, PgError(INTERNAL, "the router's decision module failed"))
        self.on_broken(error)

    # --- out --------------------------------------------------------------------------

    def _send(self, action: routing.Send) -> None:
        job, shard_request = self._parts[action.shard_request]
        number = len(shard_request.attempts)
        now = self.now
        shard_request.sent_at.append(now)
        self.counts["sends"] += 1
        try:
            life = self.lifecycle.choose(
                job.life,
                shard_request.id,
                action.endpoint,
                action.time_out,
                action.leave_within,
                now,
            )
        except NotAllowed:
            self._never_sent(action, shard_request, number)
            return
        shard_request.lives.append(life)
        stream = ShardRowStream(job.memory, shard_request.request.shard)

        def ended(result: AttemptResult) -> None:
            self._ended(job, shard_request, number, action.endpoint, result)

        sending = self.pools.send(
            action.endpoint, shard_request.request, stream, life.deadline - now, ended, life
        )
        stream.on_close = lambda: self.pools.cancel(sending)
        shard_request.attempts.append(sending)

    def _never_sent(self, action: routing.Send, shard_request: ShardRequest, number: int) -> None:
        """End a send that was not allowed; the policy counts it among the attempts of its part."""
        shard_request.lives.append(None)
        shard_request.attempts.append(OutgoingCall.never(action.endpoint, shard_request.request))
        self.loop.handle(
            routing.AttemptEnded(
                shard_request.id, number, action.endpoint, routing.Outcome.NOT_SENT, 0.0
            )
        )

    def _began(self, job: Job, stream: ShardRowStream) -> None:
        """Rows of this attempt are to leave as they come: the module hears that it has begun."""
        for shard_request in job.shard_requests:
            for number, sending in enumerate(shard_request.attempts):
                if (
                    sending.stream is stream
                    and shard_request.answer is None
                    and not job.ended
                    and not sending.ended
                ):
                    shard_request.answer, stream.committed = stream, True
                    sending.untimed()
                    latency = self.now - shard_request.sent_at[number]
                    self.loop.handle(
                        routing.ResponseStarted(shard_request.id, number, sending.endpoint, latency)
                    )

    def _ended(
        self,
        job: Job,
        shard_request: ShardRequest,
        number: int,
        endpoint: int,
        result: AttemptResult,
    ) -> None:
        latency = self.now - shard_request.sent_at[number]
        shard_request.lives[number].end(result.outcome, self.now)
        stream = (
            shard_request.attempts[number].stream if number < len(shard_request.attempts) else None
        )
        self.loop.handle(
            routing.AttemptEnded(shard_request.id, number, endpoint, result.outcome, latency)
        )
        job.story.append(
            (shard_request.request.shard, endpoint, result.outcome.value, round(latency, 1))
        )
        answered = result.outcome is routing.Outcome.SUCCEEDED
        if stream is not None and stream.committed:
            self._stream_ended(job, stream, result)
        elif answered and not job.ended and shard_request.answer is None:
            if result.error is not None:  # the query's own fault: its client hears it at once
                self.loop.handle(routing.QueryCancelled(job.id))
                self._end(job, result.error)
            else:
                shard_request.answer, shard_request.oids = stream, result.oids
                stream.finish()
        elif stream is not None:
            stream.close()
        if job.ended and all(s.ended for s in shard_request.attempts):
            self._parts.pop(shard_request.id, None)

    def _stream_ended(self, job: Job, stream: ShardRowStream, result: AttemptResult) -> None:
        """The end of an attempt whose rows may have left: whole, or an honest error, never a retry."""
        if result.outcome is routing.Outcome.SUCCEEDED:
            stream.finish(result.error)
            return
        problem = PgError(
            BROKE_OFF,
            "the answer broke off: the rows before this error are not the whole",
            hint="ask again; a replica was lost while its rows were on their way",
        )
        stream.finish(problem)
        if not job.ended:
            self.loop.handle(routing.QueryCancelled(job.id))
            self._end(job, problem)

    def _no_memory(self, job: Job, problem: PgError) -> None:
        if not job.ended:
            self.loop.handle(routing.QueryCancelled(job.id))
            self._end(job, problem)
        else:  # its rows are on their way out
            for shard_request in job.shard_requests:
                for sending in shard_request.attempts:
                    if sending.stream is not None:
                        sending.stream.finish(problem)
                        self.pools.cancel(sending)

    def _cancel(self, action: routing.Cancel) -> None:
        if action.shard_request in self._parts:
            _, shard_request = self._parts[action.shard_request]
            self.pools.cancel(shard_request.attempts[action.attempt])

    def _answer(self, action: routing.Answer) -> None:
        job = self.jobs.get(action.query)
        if job is None:
            return
        if not action.complete:
            # No front asks for answers in part yet.
            self._fail(routing.Fail(action.query, FailureReason.INCOMPLETE))
            return
        missing = sum(shard_request.answer is None for shard_request in job.shard_requests)
        allowed = self.lifecycle.answer(job.life, AnswerKind.COMPLETE, self.now, missing)
        if allowed is AnswerKind.COMPLETE:
            self.counts["answered"] += 1
            self._forget(job, job.shard_requests)
        elif allowed is AnswerKind.FAILED:
            self.counts["failed"] += 1
            self._forget(job, given_up())

    def _reject(self, action: routing.Reject) -> None:
        job = self.jobs.get(action.query)
        if job is not None:
            refused = PgError(
                REFUSED,
                "refused: not answerable in time now; trying again is harmless",
                detail=f"retry_after_ms={action.retry_after:.0f}",
                hint="come back after the time in the detail field",
            )
            self._give_up(job, action.reason)
            allowed = self.lifecycle.answer(job.life, AnswerKind.REJECTED, self.now)
            self.counts["refused" if allowed is AnswerKind.REJECTED else "failed"] += 1
            self._forget(job, refused if allowed is AnswerKind.REJECTED else given_up())

    def _fail(self, action: routing.Fail) -> None:
        job = self.jobs.get(action.query)
        if job is not None:
            self.counts["failed"] += 1
            self._give_up(job, action.reason)
            self._end(job, given_up())

    def _give_up(self, job: Job, reason: FailureReason) -> None:
        """Keep why, for counters and for the log of queries."""
        job.given_up = reason
        self.given_up[reason] += 1

    def _end(self, job: Job, problem: PgError) -> None:
        """The one final answer of a query that has failed."""
        if self.lifecycle.answer(job.life, AnswerKind.FAILED, self.now) is not None:
            self._forget(job, problem)

    def _forget(self, job: Job, answer: list[ShardRequest] | PgError) -> None:
        """A query has its answer, or nobody waits for one any more."""
        self.jobs.pop(job.id, None)
        for shard_request in job.shard_requests:
            if all(s.ended for s in shard_request.attempts):
                self._parts.pop(shard_request.id, None)
        if isinstance(answer, PgError):
            job.memory.close()
        job.done(answer)

    def _close_idle(self, action: routing.CloseIdleConnections) -> None:
        self.pools.close_idle(action.endpoint)


def given_up() -> PgError:
    """The answer to a query that may or may not have run."""
    return PgError(
        FAILED,
        "given up: it may or may not have taken effect",
        hint="look whether it did before you try again",
    )
