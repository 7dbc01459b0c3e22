"""Whole routers in simulated time: the real door, coordinator and module over nodes that are
arithmetic.

A clock with the reactor's two calls, nodes with slots and a line, and pools that send to them. What
a router decides is the product's own code; only sockets, planning and merging are left out. Nothing
sleeps.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tansycrank import routing
from tansycrank.admission.controller import AdmissionController
from tansycrank.admission.policy import Policy
from tansycrank.lifecycle import Attempt
from tansycrank.merge.blocks import MemoryReservations
from tansycrank.merge.spill import SpillSpace
from tansycrank.sql_router.coordinator import Coordinator
from tansycrank.sql_router.shard_statement import AttemptResult, ShardStatement


class Call:
    """A call that is to come."""

    __slots__ = ("args", "at", "what")

    def __init__(self, at: float, what: Callable, args: tuple) -> None:
        self.at, self.what, self.args = at, what, args

    def active(self) -> bool:
        """Whether it is still to come."""
        return self.what is not None

    def cancel(self) -> None:
        """Don't call."""
        self.what = None

    def getTime(self) -> float:
        """Seconds at which it is due."""
        return self.at


class SimClock:
    """Simulated seconds; `callLater` as the reactor has it."""

    def __init__(self) -> None:
        self._now, self._count = 0.0, 0
        self._heap: list[tuple[float, int, Call]] = []

    def seconds(self) -> float:
        """Now."""
        return self._now

    def callLater(self, delay: float, what: Callable, *args: Any) -> Call:
        """Call after so many seconds, in the order of time, then of asking."""
        call = Call(self._now + delay, what, args)
        self._count += 1
        heapq.heappush(self._heap, (call.at, self._count, call))
        return call

    def run(self, until: float) -> None:
        """Make all calls up to this second."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            at, _, call = heapq.heappop(heap)
            if call.what is not None:
                self._now = max(self._now, at)
                what, call.what = call.what, None
                what(*call.args)
        self._now = until


class SimNode:
    """A node with so many slots; parts wait in its line. Work is exponential around `work_ms`."""

    def __init__(self, clock: SimClock, number: int, slots: int, rng: random.Random) -> None:
        self.clock, self.number, self.slots, self.rng = clock, number, slots, rng
        self.alive, self.free = True, slots
        self.queue: deque[SimSending] = deque()
        self.running: dict[
            SimSending, None
        ] = {}  # in the order they began: a set's would differ by run
        self.done_work = 0.0

    def take(self, sending: SimSending) -> None:
        """A part has come."""
        if not self.alive:
            self.clock.callLater(
                0.001, sending.finish, AttemptResult(routing.Outcome.CONNECT_FAILED)
            )
            return
        self.queue.append(sending)
        self._start()

    def _start(self) -> None:
        while self.free and self.queue:
            sending = self.queue.popleft()
            if sending.ended:
                continue
            self.free -= 1
            self.running[sending] = None
            work = self.rng.expovariate(1.0) * sending.work_ms
            self.clock.callLater(work / 1000, self._over, sending, work)

    def _over(self, sending: SimSending, work: float) -> None:
        if sending in self.running:
            del self.running[sending]
            self.free += 1
            self.done_work += work
            sending.finish(AttemptResult(routing.Outcome.SUCCEEDED))
            self._start()

    def die(self) -> None:
        """Everything at it breaks off, and nobody can connect."""
        self.alive = False
        lost = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self.free = self.slots
        for sending in lost:
            self.clock.callLater(
                0.001, sending.finish, AttemptResult(routing.Outcome.CONNECTION_LOST)
            )

    def come_back(self) -> None:
        """It serves again."""
        self.alive = True


@dataclass(slots=True, eq=False)
class SimSending:
    """One send, with what the coordinator looks at."""

    endpoint: int
    stream: Any
    done: Callable[[AttemptResult], None]
    work_ms: float
    ended: bool = False
    timer: Call | None = None

    def cancel_timeout(self) -> None:
        """No time-out runs any more."""
        if self.timer is not None:
            self.timer.cancel()

    def finish(self, ended: AttemptResult) -> None:
        """Report, once."""
        if not self.ended:
            self.ended = True
            self.cancel_timeout()
            self.done(ended)


class SimPools:
    """Sends of one router to simulated nodes. The work of a part stands in its request's text."""

    def __init__(self, clock: SimClock, nodes: dict[int, SimNode]) -> None:
        self.clock, self.nodes, self.defer_read = clock, nodes, None

    def send(
        self,
        endpoint: int,
        request: ShardStatement,
        stream,
        timeout_ms: float,
        done: Callable[[AttemptResult], None],
        attempt: Attempt,
        connect_wait_ms: float = 0.0,
    ) -> SimSending:
        """As `ConnectionPool.send`; connections are always there."""
        if attempt.start(self.clock.seconds() * 1000) is not None:
            sending = SimSending(endpoint, stream, done, 0.0)
            self.clock.callLater(0, sending.finish, AttemptResult(routing.Outcome.NOT_SENT))
            return sending
        sending = SimSending(endpoint, stream, done, float(request.sql))
        if timeout_ms > 0:
            sending.timer = self.clock.callLater(
                timeout_ms / 1000, sending.finish, AttemptResult(routing.Outcome.TIMED_OUT)
            )
        self.clock.callLater(0.0002, self.nodes[endpoint].take, sending)
        return sending

    def cancel(self, sending: SimSending) -> None:
        """Stop waiting; the node drops what has not begun."""
        sending.finish(AttemptResult(routing.Outcome.CANCELLED))

    def close_idle(self, endpoint: int) -> None:
        """There are no links."""


@dataclass
class SimRouter:
    """One router: its door and its coordinator."""

    clock: SimClock
    settings: routing.Settings
    seed: int
    nodes: dict[int, SimNode]
    policy: Policy | None
    gate: AdmissionController = field(init=False)
    coordinator: Coordinator = field(init=False)

    def __post_init__(self) -> None:
        memory_reservations = MemoryReservations(
            1 << 30, 1 << 28, SpillSpace("", 0), lambda: self.clock.seconds() * 1000
        )
        self.coordinator = Coordinator(
            self.clock,
            self.settings,
            self.seed,
            SimPools(self.clock, self.nodes),
            memory_reservations,
            lambda on: None,
            self._broken,
        )
        self.gate = AdmissionController(self.clock, self.policy)
        self.coordinator.start()

    def _broken(self, problem: BaseException) -> None:
        raise problem

    def list_nodes(self, cells: int, zones: int) -> None:
        """The roster speaks: all nodes that live."""
        entries = tuple(
            routing.EndpointEntry(
                n.number,
                (n.number - 1) % cells,
                (n.number - 1) % zones,
                routing.EndpointStatus.IN_SERVICE,
            )
            for n in self.nodes.values()
            if n.alive
        )
        self.coordinator.handle_endpoint_list(
            routing.EndpointListUpdate(routing.EndpointListKind.SNAPSHOT, entries)
        )

    def ask(
        self, asker, query_class: int, shards: list[int], work_ms: float, remaining: float, done,
        statement: int = 0, mark: int = 0, repeat: bool = False,
    ):  # fmt: skip
        """A query of parts at these shards; `done` hears "answered" or the error."""

        def start(left: float, ended):
            def finished(answer) -> None:
                ended(answer if isinstance(answer, Exception) else "answered")
                job.memory.close()

            requests = [ShardStatement(shard, str(work_ms)) for shard in shards]
            job = self.coordinator.submit(query_class, left, requests, finished, repeat)
            return job

        return self.gate.submit(
            asker, query_class, len(shards), remaining, start, done, statement, mark, 100, repeat
        )
