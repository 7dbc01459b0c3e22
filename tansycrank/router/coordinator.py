"""Between the step loop and the SQL router's sockets: what happened becomes events, actions are
carried out.

Nothing is decided here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank import interface as io
from tansycrank.interface import GiveUpReason
from tansycrank.lifecycle import Answer, Attempt, Lifecycle, NotAllowed, Request, Violation
from tansycrank.merge.blocks import Keeper, Memory, PartStream
from tansycrank.pg.errors import BROKE_OFF, FAILED, INTERNAL, REFUSED, PgError, cancelled
from tansycrank.router.links import Ended, PartRequest
from tansycrank.router.pool import Pools, Sending
from tansycrank.router.steps import StepLoop


@dataclass(slots=True, eq=False)
class PartState:
    """A part and its attempts."""

    id: int
    request: PartRequest
    attempts: list[Sending] = field(default_factory=list)
    lives: list[Attempt | None] = field(
        default_factory=list
    )  # of the attempts; None for one never made
    sent_at: list[float] = field(default_factory=list)
    answer: PartStream | None = None  # the attempt whose rows count, whole or begun
    oids: tuple[int, ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """A query in the module's hands. `done` hears exactly one answer: parts' rows in order, or an
    error.
    """

    id: int
    number: int
    query_class: int
    parts: list[PartState]
    memory: Memory
    done: Callable[[list[PartState] | PgError], None]
    began: float
    life: Request
    story: list[tuple] = field(default_factory=list)  # (part, server, outcome, ms) for the log
    given_up: GiveUpReason | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing is owed to its client any more."""
        return not self.life.open


class Coordinator:
    """Between the module and the sockets. Times in milliseconds of the reactor's clock."""

    def __init__(
        self,
        reactor,
        settings: io.Settings,
        seed: int,
        pools: Pools,
        keeper: Keeper,
        on_watch: Callable[[bool], None],
        on_broken: Callable[[BaseException], None],
    ) -> None:
        self.reactor, self.pools, self.keeper, self.settings = reactor, pools, keeper, settings
        self.on_violation: Callable[[Violation], None] = lambda violation: None  # for the log
        self.lifecycle = Lifecycle(settings, lambda violation: self.on_violation(violation))
        self.on_watch, self.on_broken = on_watch, on_broken
        self.jobs: dict[int, Job] = {}
        self._parts: dict[int, tuple[Job, PartState]] = {}
        self._ids = 0
        self.counts = {
            "taken": 0,
            "answered": 0,
            "refused": 0,
            "failed": 0,
            "cancelled": 0,
            "sends": 0,
        }
        self.given_up: Counter[GiveUpReason] = Counter()
        acts = {
            io.Send: self._send,
            io.Cancel: self._cancel,
            io.Answer: self._answer,
            io.Shed: self._shed,
            io.Fail: self._fail,
            io.CloseIdle: self._close_idle,
            io.Watch: lambda action: self.on_watch(action.on),
        }
        self.loop = StepLoop(reactor, settings, seed, acts, self._broken)

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
        self.loop.hear()

    def stop(self) -> None:
        """No more steps; open queries have been answered before."""
        self.loop.stop()

    # --- in ---------------------------------------------------------------------------

    def submit(
        self,
        query_class: int,
        time_left: float,
        requests: Sequence[PartRequest],
        done: Callable[[list[PartState] | PgError], None],
        repeat: bool = False,
        streams: bool = False,
    ) -> Job:
        """Take a query. `time_left` is what its client will wait, in ms.

        `streams` tells that its rows may leave before its parts are whole.
        """
        self._ids += 1
        query = number = self._ids
        parts = []
        self.loop.hear(
            io.QueryArrived(query, number, query_class, time_left, len(requests), repeat=repeat)
        )
        cls, now = self.settings.classes[query_class], self.now
        life = self.lifecycle.take(
            str(query), cls.effect, cls.dedup_window, now + time_left, len(requests), now
        )
        job = Job(query, number, query_class, parts, self.keeper.open(streams), done, now, life)
        job.memory.on_refused = lambda problem: self._no_memory(job, problem)
        job.memory.on_began = lambda stream: self._began(job, stream)
        for request in requests:
            self._ids += 1
            part = PartState(self._ids, request)
            parts.append(part)
            self._parts[part.id] = job, part
            self.loop.hear(io.PartArrived(part.id, number, request.shard, 1 / len(requests)))
        self.jobs[query] = job
        self.counts["taken"] += 1
        return job

    def abandon(self, job: Job, error: PgError | None = None) -> None:
        """The client left or cancelled: its answer, if it still hears one, is `error`."""
        if job.ended:
            return
        self.counts["cancelled"] += 1
        self.loop.hear(io.QueryGone(job.id))
        self.lifecycle.abandon(job.life, self.now)
        self._forget(job, error or cancelled())

    def heard_list(self, event: io.ServerList) -> None:
        """The roster spoke: nothing starts any more at an endpoint that is not in service."""
        self.lifecycle.listed(event)
        self.loop.hear(event)

    def _broken(self, error: Exception) -> None:
        """The module broke: nobody may be left without an answer."""
        for job in list(self.jobs.values()):
            self._end(job, PgError(INTERNAL, "the router's decision module failed"))
        self.on_broken(error)

    # --- out --------------------------------------------------------------------------

    def _send(self, action: io.Send) -> None:
        job, part = self._parts[action.part]
        number = len(part.attempts)
        now = self.now
        part.sent_at.append(now)
        self.counts["sends"] += 1
        try:
            life = self.lifecycle.choose(
                job.life, part.id, action.server, action.time_out, action.leave_within, now
            )
        except NotAllowed:
            self._never_sent(action, part, number)
            return
        part.lives.append(life)
        stream = PartStream(job.memory, part.request.shard)

        def ended(result: Ended) -> None:
            self._ended(job, part, number, action.server, result)

        sending = self.pools.send(
            action.server, part.request, stream, life.deadline - now, ended, life
        )
        stream.on_close = lambda: self.pools.cancel(sending)
        part.attempts.append(sending)

    def _never_sent(self, action: io.Send, part: PartState, number: int) -> None:
        """End a send that was not allowed; the policy counts it among the attempts of its part."""
        part.lives.append(None)
        part.attempts.append(Sending.never(action.server, part.request))
        self.loop.hear(io.AttemptEnded(part.id, number, action.server, io.Outcome.NOT_SENT, 0.0))

    def _began(self, job: Job, stream: PartStream) -> None:
        """Rows of this attempt are to leave as they come: the module hears that it has begun."""
        for part in job.parts:
            for number, sending in enumerate(part.attempts):
                if (
                    sending.stream is stream
                    and part.answer is None
                    and not job.ended
                    and not sending.ended
                ):
                    part.answer, stream.committed = stream, True
                    sending.untimed()
                    took = self.now - part.sent_at[number]
                    self.loop.hear(io.AnswerBegan(part.id, number, sending.server, took))

    def _ended(self, job: Job, part: PartState, number: int, server: int, result: Ended) -> None:
        took = self.now - part.sent_at[number]
        part.lives[number].end(result.outcome, self.now)
        stream = part.attempts[number].stream if number < len(part.attempts) else None
        self.loop.hear(io.AttemptEnded(part.id, number, server, result.outcome, took))
        job.story.append((part.request.shard, server, result.outcome.value, round(took, 1)))
        answered = result.outcome is io.Outcome.ANSWERED
        if stream is not None and stream.committed:
            self._stream_ended(job, stream, result)
        elif answered and not job.ended and part.answer is None:
            if result.error is not None:  # the query's own fault: its client hears it at once
                self.loop.hear(io.QueryGone(job.id))
                self._end(job, result.error)
            else:
                part.answer, part.oids = stream, result.oids
                stream.finish()
        elif stream is not None:
            stream.close()
        if job.ended and all(s.ended for s in part.attempts):
            self._parts.pop(part.id, None)

    def _stream_ended(self, job: Job, stream: PartStream, result: Ended) -> None:
        """The end of an attempt whose rows may have left: whole, or an honest error, never a retry."""
        if result.outcome is io.Outcome.ANSWERED:
            stream.finish(result.error)
            return
        problem = PgError(
            BROKE_OFF,
            "the answer broke off: the rows before this error are not the whole",
            hint="ask again; a replica was lost while its rows were on their way",
        )
        stream.finish(problem)
        if not job.ended:
            self.loop.hear(io.QueryGone(job.id))
            self._end(job, problem)

    def _no_memory(self, job: Job, problem: PgError) -> None:
        if not job.ended:
            self.loop.hear(io.QueryGone(job.id))
            self._end(job, problem)
        else:  # its rows are on their way out
            for part in job.parts:
                for sending in part.attempts:
                    if sending.stream is not None:
                        sending.stream.finish(problem)
                        self.pools.cancel(sending)

    def _cancel(self, action: io.Cancel) -> None:
        if action.part in self._parts:
            _, part = self._parts[action.part]
            self.pools.cancel(part.attempts[action.attempt])

    def _answer(self, action: io.Answer) -> None:
        job = self.jobs.get(action.query)
        if job is None:
            return
        if not action.whole:
            # No front asks for answers in part yet.
            self._fail(io.Fail(action.query, GiveUpReason.NOT_WHOLE))
            return
        missing = sum(part.answer is None for part in job.parts)
        allowed = self.lifecycle.answer(job.life, Answer.WHOLE, self.now, missing)
        if allowed is Answer.WHOLE:
            self.counts["answered"] += 1
            self._forget(job, job.parts)
        elif allowed is Answer.FAILED:
            self.counts["failed"] += 1
            self._forget(job, given_up())

    def _shed(self, action: io.Shed) -> None:
        job = self.jobs.get(action.query)
        if job is not None:
            refused = PgError(
                REFUSED,
                "refused: not answerable in time now; trying again is harmless",
                detail=f"retry_after_ms={action.hold_off:.0f}",
                hint="come back after the time in the detail field",
            )
            self._give_up(job, action.reason)
            allowed = self.lifecycle.answer(job.life, Answer.REFUSED, self.now)
            self.counts["refused" if allowed is Answer.REFUSED else "failed"] += 1
            self._forget(job, refused if allowed is Answer.REFUSED else given_up())

    def _fail(self, action: io.Fail) -> None:
        job = self.jobs.get(action.query)
        if job is not None:
            self.counts["failed"] += 1
            self._give_up(job, action.reason)
            self._end(job, given_up())

    def _give_up(self, job: Job, reason: GiveUpReason) -> None:
        """Keep why, for counters and for the log of queries."""
        job.given_up = reason
        self.given_up[reason] += 1

    def _end(self, job: Job, problem: PgError) -> None:
        """The one final answer of a query that has failed."""
        if self.lifecycle.answer(job.life, Answer.FAILED, self.now) is not None:
            self._forget(job, problem)

    def _forget(self, job: Job, answer: list[PartState] | PgError) -> None:
        """A query has its answer, or nobody waits for one any more."""
        self.jobs.pop(job.id, None)
        for part in job.parts:
            if all(s.ended for s in part.attempts):
                self._parts.pop(part.id, None)
        if isinstance(answer, PgError):
            job.memory.close()
        job.done(answer)

    def _close_idle(self, action: io.CloseIdle) -> None:
        self.pools.close_idle(action.server)


def given_up() -> PgError:
    """The answer to a query that may or may not have run."""
    return PgError(
        FAILED,
        "given up: it may or may not have taken effect",
        hint="look whether it did before you try again",
    )
