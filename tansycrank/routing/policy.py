"""All decisions of a query router; what it hears and does is defined in
`tansycrank/routing/interface.py`.

The ordinary path is adaptive hedging of parts: turns, a percentile timer, a token bucket, first
answer wins.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from tansycrank import routing
from tansycrank.routing import EndpointListKind, EndpointStatus, FailureReason, Idempotency, Outcome
from tansycrank.routing.state import (
    Attempt,
    Endpoint,
    LatencyWindow,
    Query,
    ShardRequest,
    SlidingSum,
)

# Figures of the design.
ROTATE = 30_000.0  # ms a sketch is filled before the pair rotates
TIMER_QUANTILE = 0.9  # of a server's answers: the hedge timer
MIN_TIMER = 1.0  # ms
ENOUGH = 20  # answers in a server's window before its own percentile is believed
BLIND_TIMER = 1 / 3  # of the aim, before there is any answer at all
TOKEN_SHARE = 0.10  # copies per part sent, the refill of the bucket
# Figures of the exceptions.
FLEET_TIMER = (
    1.5  # a server's timer is at most so many overall p90s: a slow server's own p90 is slow too
)
QUICK_QUANTILE = 0.25  # of all answers: what an answer takes where no queue stands
SKETCH_REFRESH = (
    250.0  # ms a merged percentile is kept; merging on every send costs CPU for nothing
)
WINDOW = (ROTATE, SKETCH_REFRESH, (QUICK_QUANTILE, TIMER_QUANTILE, 0.5))
WINDOW_ALL, WINDOW_LEAST = 18.0, 3.0  # parts out at a server at first: of all routers, of each
WINDOW_CUT = 0.8  # multiplicative decrease, at most once in a target time
SLOW_SHARE = (
    0.2  # of the shortest aim: an answer later than this says that the server's queue is too long
)
SLOW_FACTOR = 2.5  # or later than so many quick quartiles, where the aim is short beside the work
START_SHARE = (
    0.25  # of the aim: what could not start by then is refused while a repeat can still pay
)
# one in so many of a query's parts goes ahead where no recent answer tells how long the queues are
PILOT = 8
PILOT_REST = (
    4.0  # parts that take one p90 together; a pilot is waited for while the rest can be in time
)
PILOT_TIMER = (
    0.5  # of the time until its query is refused for want of it: the latest that its timer fires
)
PILOT_ROOM = 4.0  # p90s in an aim that leaves room for a pilot of every query
PILOT_LATE = (
    2.0  # parts of a query expected late, by the last answers, from which on it sends a pilot
)
WORTH_LAG = 0.25  # of the aim: how far a query of little worth a part falls back in the line
REFILL = (
    2  # more parts of room than one before a busy server gets another call, where calls cost work
)
SECOND_STEP = 1.5  # timers kept for a second step when a first one is answered in part
SPARE_ROOM = (
    0.5  # of a server's window is open to them, and to copies: under load a copy robs a first try
)
TRIAL_TURNS = (
    2.0  # times between our parts at one server: a sooner trial at size would be every part
)
TRIAL_FIRST, TRIAL_LAST = (
    0.5,
    4.0,
)  # of the shortest aim, until a silent server is tried again, doubling
IDLE_RESET = (
    0.5  # of the quickest answers: a part reset sooner met a dead connection, not a dying server
)
IDLE_MARGIN = 0.8  # of the shortest time unused after which a connection was reset
COLD_PART = 0.8  # of what the cold rule allows; half of the parts may meet warm keys and be light
COLD_RUSH = 1.5  # times its usual traffic that a router may get in the window that rule 4 counts
COLD_CALL = (
    2.0  # parts of a query for one server: its own by turns, and one that no mate of it can take
)
COLD_CORES = (
    2  # of every server at least, as the operators' pages draw them; none tells its own number
)
HEDGE_LEDGER = (
    0.6  # of the told budget may go to hedges; the rest is kept for retries after a crash
)
HOLD_OFF = 0.15  # of the aim: when a client that was turned away should come back
NEAR_TURNS = (
    4  # turns of a replica in our own zone for each of one elsewhere, where crossing has a price
)
# p90s before the aim from which on a copy is sent, where work without an answer has a price
COPY_LEAD = 6.0
ASK_BACKOFF, ASK_BACKOFF_LAST = 200.0, 3_000.0  # ms between calls to discovery after a failure
PUSH_BACKOFF = 0.25  # of the drain grace: the most between calls where lists are pushed
ASK_JITTER = 0.5  # of a wait: the least of it, by chance, so that a fleet's calls spread
STALL = 20  # ticks: a wake-up later than that tells that this router stood still itself
RECHECK = 100.0  # ms between looks at a query that is past its aim


class RoutingPolicy:
    """The decisions of one router, without clock or I/O: `step` is called once a round."""

    def __init__(self, settings: routing.Settings, seed: int) -> None:
        self.cfg = settings
        self.rng = random.Random(seed)
        self.now, self.token_at, self.began, self.actions = 0.0, 0.0, None, []
        self.endpoints: dict[int, Endpoint] = {}
        self.standing = 0  # servers that are ready
        self.queries, self.numbers, self.shard_requests = {}, {}, {}  # by id, by number, by id
        self.out: dict[tuple[int, int], Attempt] = {}
        self.waiting: list[ShardRequest] = []  # parts with no attempt out, oldest query first
        self.hungry: list[Attempt] = []  # fired timers that want a token
        self.agenda, self.order, self.woken_for = (
            [],
            0,
            float("inf"),
        )  # (time, order, function, argument)
        self.turns, self.rings, self.all = (
            {},
            {},
            LatencyWindow(*WINDOW),
        )  # by cell: the turn, the replicas
        self.densest = 0.0  # the most worth a part of any query yet
        self.parts_sent, self.tokens, self.last_answer = 0, 1.0, float("-inf")
        self.bucket = (
            1.0  # tokens it holds: what the largest query's parts earn, however seldom one comes
        )
        self.stalled = False
        self.wary_until = float("-inf")  # a query took down servers not long ago
        self.idle_trust, self.idle_until = (
            float("inf"),
            float("-inf"),
        )  # ms a connection lives unused
        self.lateness = 0.0  # share of late ones among the last answers
        span = (
            settings.budget_window or 0.0
        )  # the ledger of rule 6: requests taken, attempts beyond a first
        self.taken, self.extras = SlidingSum(span), SlidingSum(span + settings.tick)
        self.longest: dict[int, float] = {}  # by class: the longest time a first try was given
        self.ask_backoff, self.shortest_aim = (
            ASK_BACKOFF,
            min(cls.latency_objective for cls in settings.classes),
        )
        self.usual = float("inf")  # ms: the least median, the pace of a cold server's work
        self.trial = (
            TRIAL_FIRST * self.shortest_aim
        )  # ms until a silent server is first tried again
        self.quickest, self.target = (
            float("inf"),
            self.shortest_aim,
        )  # ms: an answer later than that is slow
        self.handle = {
            routing.AttemptEnded: self._ended,
            routing.QueryArrived: self._query_arrived,
            routing.ShardRequestArrived: self._part_came,
            routing.QueryCancelled: self._gone,
            routing.EndpointListUpdate: self._listed,
            routing.ResponseStarted: self._began,
        }

    def step(self, now_ms: float, events: Iterable[routing.Event]) -> list[routing.Action]:
        """Hear one round's events and return what to do, in order."""
        self.now, self.actions = now_ms, []
        if self.began is None:
            self.began = self.token_at = now_ms
            self._watch(None)
        due = self.agenda[0][0] if self.agenda else now_ms
        self.stalled = now_ms - due > STALL * self.cfg.tick  # danger: taken for late servers
        for event in events:
            if type(event) in self.handle:
                self.handle[type(event)](event)
        while self.agenda and self.agenda[0][0] <= now_ms:
            _, _, function, argument = heapq.heappop(self.agenda)
            function(argument)
        self._send_waiting()
        self._send_copies()
        if self.agenda and (self.agenda[0][0] < self.woken_for or self.woken_for <= now_ms):
            self.woken_for = self.agenda[0][0]
            self.actions.append(routing.SetTimer(max(self.woken_for - now_ms, 0.0), 1))
        return self.actions

    def _at(self, time: float, function, argument) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (time, self.order, function, argument))

    def _watch(self, _: None) -> None:
        if self.cfg.polls_discovery or self.cfg.watches_discovery:
            self.actions.append(routing.WatchEndpoints(True))

    def _listed(self, event: routing.EndpointListUpdate) -> None:
        if (
            event.kind is EndpointListKind.FAILED
        ):  # ask again, later each time: discovery has little capacity
            # Danger: hundreds of routers whose watches ended in one moment, asking again in one
            # moment.
            # Danger: where lists are pushed, what the agent says at its return counts at once.
            most = (
                ASK_BACKOFF_LAST
                if self.cfg.polls_discovery
                else PUSH_BACKOFF * self.cfg.drain_grace
            )
            wait = min(self.ask_backoff, most) * self.rng.uniform(ASK_JITTER, 1.0)
            self._at(self.now + wait, self._watch, None)
            self.ask_backoff = min(2 * self.ask_backoff, ASK_BACKOFF_LAST)
            return
        self.ask_backoff = ASK_BACKOFF
        if event.kind is not EndpointListKind.DELTA:
            for endpoint in self.endpoints.values():  # the list names all that stand
                endpoint.status = EndpointStatus.REMOVED
        for entry in event.entries:
            endpoint = self.endpoints.get(entry.endpoint)
            if (
                endpoint is None or entry.incarnation > endpoint.incarnation
            ):  # new or restarted: the old record is void
                span = max(self.cfg.slow_start_window, self.cfg.slow_start_duration) + self.cfg.tick
                new = Endpoint(
                    entry.endpoint,
                    entry.cell,
                    entry.zone,
                    entry.status,
                    entry.started_at,
                    max(WINDOW_ALL / self.cfg.routers, WINDOW_LEAST),
                    LatencyWindow(*WINDOW),
                    SlidingSum(span),
                    entry.incarnation,
                )
                if endpoint:  # rule 4
                    new.sends, new.lot, new.lot_until = (
                        endpoint.sends,
                        endpoint.lot,
                        endpoint.lot_until,
                    )
                self.endpoints[entry.endpoint] = endpoint = new
            elif (
                entry.incarnation == endpoint.incarnation
            ):  # the same start may be known better by now
                endpoint.started_at = entry.started_at
            endpoint.status, endpoint.cell, endpoint.zone = entry.status, entry.cell, entry.zone
        for endpoint in [
            s for s in self.endpoints.values() if s.status is EndpointStatus.REMOVED and not s.out
        ]:
            if not endpoint.sends.within(
                self.now, self.cfg.slow_start_window
            ):  # rule 4: till then it is the same
                del self.endpoints[endpoint.id]  # danger: nodes replaced under new ids for days
        self.standing = sum(
            endpoint.status is EndpointStatus.IN_SERVICE for endpoint in self.endpoints.values()
        )
        self.rings = {}

    def _ring(self, cell: int) -> list[Endpoint]:
        if cell not in self.rings:
            near = {(cell + j) % self.cfg.cells for j in range(self.cfg.replica_span)}
            ring = sorted(
                (
                    s
                    for s in self.endpoints.values()
                    if s.cell in near and s.status is EndpointStatus.IN_SERVICE
                ),
                key=lambda s: (s.zone != self.cfg.zone, s.id),
            )
            if self.cfg.price_crossing:  # replicas of our own zone get more of the turns
                ring = [s for s in ring if s.zone == self.cfg.zone] * (NEAR_TURNS - 1) + ring
            self.rings[cell] = ring
        return self.rings[cell]

    def _warmth(self, endpoint: Endpoint, before: float = 0.0) -> float:
        """The least share of its capacity that a server may have now, or had so many ms before."""
        if not endpoint.started_at or not self.cfg.slow_start_duration:
            return 1.0
        age = max(self.now - before - endpoint.started_at, 0.0) / self.cfg.slow_start_duration
        return min(
            self.cfg.slow_start_initial_share + (1 - self.cfg.slow_start_initial_share) * age, 1.0
        )

    def _query_arrived(self, event: routing.QueryArrived) -> None:
        cls = self.cfg.classes[event.query_class]
        longest = self.longest.get(event.query_class, 0.0)
        if not event.repeat and event.remaining > longest:
            self.longest[event.query_class] = longest = event.remaining
        gone = (
            cls.deadline - event.remaining
            if event.repeat and event.remaining < longest - 1
            else 0.0
        )
        query = Query(
            event.query,
            event.number,
            cls,
            self.now,
            self.now + cls.latency_objective - gone,
            self.now + event.remaining - 2 * self.cfg.tick,
            event.repeat,
        )
        self.queries[query.id] = self.numbers[query.number] = query
        self.taken.add(self.now)
        grown = max(
            TOKEN_SHARE * event.shard_requests - self.bucket, 0.0
        )  # danger: a first wide query without copies
        self.bucket, self.tokens = self.bucket + grown, self.tokens + grown
        prompt = self.lateness < max(START_SHARE, PILOT_LATE / event.shard_requests)
        prompt = prompt and self.now < self.last_answer + cls.latency_objective
        roomy = (
            event.shard_requests >= PILOT
            and cls.latency_objective >= PILOT_ROOM * self.all.read(self.now)[1]
        )
        query.careful, query.prompt = (prompt and roomy) or self.now < self.wary_until, prompt
        query.proven = event.shard_requests <= PILOT_LATE or (prompt and not query.careful)
        density = cls.priority_weight / (event.shard_requests + cls.follow_up)
        self.densest = max(self.densest, density)
        start_by = self._start_by(query)
        query.rank = start_by + WORTH_LAG * cls.latency_objective * (1 - density / self.densest)
        for time in (
            start_by,
            self._answer_by(query),
            query.aim_at - 2 * self.cfg.tick,
            query.dead_at,
        ):
            self._at(min(time, query.dead_at), self._review, query)

    def _part_came(self, event: routing.ShardRequestArrived) -> None:
        if not (query := self.numbers.get(event.number)):
            return
        self.taken.add(self.now)
        shard_request = ShardRequest(
            event.shard_request, query, event.shard % self.cfg.cells, event.weight
        )
        shard_request.pilot = len(query.shard_requests) % PILOT == 0 and not (
            query.careful and query.shard_requests
        )
        query.shard_requests.append(shard_request)
        self.shard_requests[shard_request.id] = shard_request
        if (
            query.step == 1 and query.cls.minimum_coverage < query.cls.complete_coverage
        ):  # light parts yield under load
            query.shard_requests.sort(key=lambda p: -p.weight)
            total = 0.0
            for one in query.shard_requests:
                one.spare, total = total > query.cls.minimum_coverage + 0.05, total + one.weight
                one.pilot = one is query.shard_requests[0] if query.careful else not one.spare
        self.waiting.append(shard_request)

    def _gone(self, event: routing.QueryCancelled) -> None:
        if event.query in self.queries:
            self._end(self.queries[event.query])
        elif shard_request := self.shard_requests.get(event.query):  # a part given up alone
            self._drop(shard_request)
            self._review(shard_request.query)

    def _end(self, query: Query, *final: routing.Action) -> None:
        query.ended = True
        del self.queries[query.id]
        self.numbers.pop(query.number, None)
        self.actions.extend(final)
        self._drop(*query.shard_requests)

    def _drop(self, *shard_requests: ShardRequest) -> None:
        """Parts that are no longer needed leave the line, and what is out for them is cancelled."""
        for shard_request in shard_requests:
            shard_request.dropped = True
            self.shard_requests.pop(shard_request.id, None)
            for attempt in shard_request.attempts:
                self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        if (
            attempt.outcome is None
            and not attempt.cancelled
            and not attempt.streamed
            and self.cfg.can_cancel
        ):
            attempt.cancelled = True
            self.actions.append(routing.Cancel(attempt.shard_request.id, attempt.number))

    def _start_by(self, query: Query) -> float:
        """Until when it is worth while to wait for a start; a refusal lets its client come back in
        time.
        """
        return query.born + START_SHARE * query.cls.latency_objective

    def _answer_by(self, query: Query) -> float:
        """When a partial answer goes out: at the aim, with time left for a second step."""
        second = max(
            SECOND_STEP * self.all.read(self.now)[1], BLIND_TIMER * query.cls.latency_objective
        )
        return (
            query.aim_at
            - 3 * self.cfg.tick
            - (second if query.step == 1 and query.cls.follow_up else 0.0)
        )

    def _complete(self, query: Query, complete: bool) -> None:
        if query.step == 1 and query.cls.follow_up:
            self.actions.append(routing.Answer(query.id, complete))
            query.whole_so_far, query.step, query.proven = (
                complete,
                2,
                True,
            )  # danger: a pilot of a second step
            self._drop(*query.shard_requests)
            query.shard_requests = []
        else:
            self._end(query, routing.Answer(query.id, complete and query.whole_so_far))

    def _give_up(self, query: Query, reason: FailureReason) -> None:
        """At once, and as a refusal wherever no effect may have happened."""
        ran = any(
            a.may_have_run for shard_request in query.shard_requests for a in shard_request.attempts
        )
        hold = (
            min(HOLD_OFF * query.cls.latency_objective, self.cfg.max_retry_after)
            if self.cfg.can_retry_after
            else 0.0
        )
        harmless = not ran or query.cls.idempotency is Idempotency.IDEMPOTENT
        self._end(
            query,
            routing.Reject(query.id, hold, reason) if harmless else routing.Fail(query.id, reason),
        )

    def _review(self, query: Query) -> None:
        """Answer if it is time, or give up if nothing more can be earned."""
        between_steps = not query.shard_requests and self.now < query.dead_at
        if query.ended or between_steps:
            return None
        cls, share = (
            query.cls,
            sum(
                shard_request.weight
                for shard_request in query.shard_requests
                if shard_request.answered
            ),
        )
        need = cls.complete_coverage if query.step == 1 else 1.0
        if share >= need - 1e-5 and (
            need < 1 or all(shard_request.answered for shard_request in query.shard_requests)
        ):
            return self._complete(query, True)
        floor = cls.minimum_coverage if cls.minimum_coverage < cls.complete_coverage else need
        if floor < need and self.now >= self._start_by(query):
            for shard_request in query.shard_requests:
                if shard_request.spare and not shard_request.attempts:
                    shard_request.dropped = True
        open_parts = [p for p in query.shard_requests if not p.answered and not p.dropped]
        reachable = share + sum(p.weight for p in open_parts)
        if (
            floor < need
            and share >= floor
            and (not open_parts or self.now >= self._answer_by(query))
        ):
            return self._complete(query, False)
        unsent = sum(not p.attempts for p in open_parts)
        if self._suspect(query) and len(query.broke) > 1 and not any(p.out for p in open_parts):
            return self._give_up(query, FailureReason.HARMFUL)
        held = unsent and not (query.started and query.proven)
        start_by = self._start_by(query)
        if (
            query.started and floor < need
        ):  # danger: an answer in part thrown away for a pilot one turn late
            start_by = self._answer_by(query)
        elif (
            query.started and not query.proven
        ):  # danger: one late pilot is no proof of long queues
            rest = self.all.read(self.now)[1] * len(query.shard_requests) / PILOT_REST
            start_by = max(start_by, query.aim_at - rest)
        if reachable < floor - 1e-5:
            return self._give_up(query, FailureReason.TOO_FEW_SHARDS)
        if self.now >= query.dead_at:
            return self._give_up(query, FailureReason.DEADLINE_PASSED)
        if held and self.now >= start_by:
            return self._give_up(
                query, FailureReason.PROBE_LATE if query.started else FailureReason.NO_START
            )
        if held and query.started and not query.waits:
            query.waits = True
            self._at(start_by, self._review, query)
        if self.now >= query.aim_at - 2 * self.cfg.tick:
            if cls.late_weight <= 0 or unsent or self.waiting:
                return self._give_up(query, FailureReason.TARGET_PASSED)
            self._at(min(self.now + RECHECK, query.dead_at), self._review, query)

    def _ledger_allows(self, hedge: bool) -> bool:
        """Rule 6: hedges and retries of any window, together, within the told budget."""
        if self.cfg.budget_window is None:
            return True
        allowed = self.cfg.budget_floor + self.cfg.budget_share * self.taken.total(self.now)
        return self.extras.total(self.now) + 1 <= (HEDGE_LEDGER * allowed if hedge else allowed)

    def _may_send(self, shard_request: ShardRequest, endpoint: Endpoint, hedge: bool) -> bool:
        """Every send passes here: the rules that bind it, in one place."""
        query = shard_request.query
        if (
            query.ended
            or shard_request.answered
            or shard_request.dropped
            or self.now >= query.dead_at
        ):  # rule 1
            return False
        if (
            endpoint.status is not EndpointStatus.IN_SERVICE
            or len(shard_request.attempts) >= self.cfg.max_attempts
        ):  # rule 3
            return False
        if not self._may_repeat(shard_request, hedge):  # rule 2
            return False
        if shard_request.attempts and not self._ledger_allows(hedge):  # rule 6
            return False
        return self._cold_room(endpoint)  # rule 4

    def _may_repeat(self, shard_request: ShardRequest, hedge: bool = False) -> bool:
        """Rule 2: unless safe, only if no attempt may have run, or keyed and in the window of the
        first.
        """
        within = self._repeat_within(shard_request)
        return within is None or (within > 0 and not hedge)

    def _repeat_within(self, shard_request: ShardRequest) -> float | None:
        """Milliseconds in which a further attempt has to leave; None where it may at any time."""
        cls, ran = shard_request.query.cls, [a for a in shard_request.attempts if a.may_have_run]
        if cls.idempotency is Idempotency.IDEMPOTENT or not ran:
            return None
        window = cls.dedup_window if cls.idempotency is Idempotency.WITH_KEY else 0.0
        return ran[0].sent + window - 2 * self.cfg.tick - self.now

    def _cold_room(self, endpoint: Endpoint) -> bool:
        """Rule 4: a warm server, or this router's share of what a cold one takes in a window has
        room.

        The share is drawn by lot below one part.

        Danger: dozens of routers each sending "just one" to a server that has come back.
        `COLD_CORES` at the pace of the median answer are assumed. A lot is drawn when a part first
        wants it, and no other for the span that the share is counted over: whatever the routers ask
        for, they get their shares of any span.
        """
        if self._warmth(endpoint) >= 1.0:
            return True
        pace = min(self.usual, BLIND_TIMER * self.shortest_aim) / COLD_CORES
        span = self.cfg.slow_start_window
        warmth = self._warmth(endpoint, span / 2)  # mean of the window that is counted
        share = (
            COLD_PART
            * self.cfg.slow_start_overload_factor
            * warmth
            * span
            / pace
            / self.cfg.routers
        )
        # Danger: a thin router meets each server seldom, and a fifth of all shares was used. It
        # counts its
        # share over the time between its parts there, less for a rush, up to the parts that it
        # brings.
        kept = (
            min(
                self._met() / COLD_RUSH,
                self.now - self.began,
                self.cfg.slow_start_duration,
                span * COLD_CALL / max(share, 1e-9),
            )
            / span
        )
        share, span = share * max(kept, 1.0), span * max(kept, 1.0)
        if self.now >= endpoint.lot_until:
            endpoint.lot, endpoint.lot_until = self.rng.random(), self.now + span + self.cfg.tick
        return endpoint.sends.within(self.now, span + self.cfg.tick) + 1 <= int(
            share + endpoint.lot
        )

    def _met(self) -> float:
        """Milliseconds between two parts of ours at one server."""
        return self.standing * (self.now - self.began) / max(self.parts_sent, 1)

    def _pick(
        self, shard_request: ShardRequest, mates: list[Endpoint], hedge: bool = False
    ) -> Endpoint | None:
        """The next replica in turn that is not overdue; if all are, the next in turn."""
        ring = self._ring(shard_request.cell)
        tried = {attempt.endpoint for attempt in shard_request.attempts}
        if all(endpoint in tried or not self._cold_room(endpoint) for endpoint in ring):
            if hedge:
                return None
            # Danger: turned away three times within 3 ms by the one warm replica; or never sent
            # there again.
            rest = self.all.read(self.now)[1]
            tried = {a.endpoint for a in shard_request.attempts if self.now < a.sent + rest}
        for endpoint in mates:
            if (
                endpoint in ring
                and endpoint not in tried
                and self._has_room(endpoint, shard_request.spare)
                and self._may_send(shard_request, endpoint, hedge)
            ):
                return endpoint
        turn = self.turns.setdefault(shard_request.cell, self.rng.randrange(1 << 16))
        order = [(turn + i + 1, ring[(turn + i) % len(ring)]) for i in range(len(ring))]
        order = [pair for pair in order if pair[1] not in tried]
        # Danger: a part waits for lots of cold servers beside one that was set aside and could take
        # it.
        order = [pair for pair in order if self._cold_room(pair[1])]
        order = [
            pair for pair in order if self.now >= pair[1].flag_until
        ] or order  # late beats silent
        order = [pair for pair in order if not pair[1].flagged(self.now)] or order
        if self.cfg.price_crossing:  # a replica of our own zone that has spare room goes first
            order.sort(
                key=lambda pair: pair[1].zone != self.cfg.zone or not self._has_room(pair[1], True)
            )
        order.sort(key=lambda pair: self._warmth(pair[1]) < self.rng.random())  # the cold last
        for following, endpoint in order:
            if self._has_room(endpoint, shard_request.spare or hedge, not hedge) and self._may_send(
                shard_request, endpoint, hedge
            ):
                self.turns[shard_request.cell] = following
                return endpoint
        return None

    def _has_room(self, endpoint: Endpoint, spare: bool, new_call: bool = False) -> bool:
        window = (
            1 if endpoint.backoff else int(endpoint.window * (SPARE_ROOM if spare else 1.0))
        )  # one trial
        if new_call and self.cfg.call_work and endpoint.out:  # wait for room for several
            window -= min(REFILL, window // 2)
        return endpoint.out < window

    def _send_waiting(self) -> None:
        """First tries and retries, oldest query first; what finds no room stays in line."""
        keep, called, full = [], [], set()
        self.waiting.sort(key=lambda p: (p.spare, p.query.rank, p.query.number, -p.weight))
        for shard_request in self.waiting:
            query = shard_request.query
            if shard_request.dropped or shard_request.answered or query.ended:
                continue
            piloting = not query.proven and not shard_request.pilot
            held = not shard_request.attempts and (
                shard_request.cell in full or piloting
            )  # danger: unseen queues (i6691d2)
            held = held or (self._suspect(query) and any(p.out for p in query.shard_requests))
            endpoint = None if held else self._pick(shard_request, called)
            if endpoint is not None:
                called += [endpoint] if self.cfg.call_work and endpoint not in called else []
                self._send(shard_request, endpoint)
                continue
            keep.append(shard_request)
            if not shard_request.attempts and not piloting:
                full.add(shard_request.cell)
        self.waiting = keep

    def _send(self, shard_request: ShardRequest, endpoint: Endpoint) -> None:
        query = shard_request.query
        if shard_request.attempts:
            self.extras.add(self.now)
        timer = self._timer(query.cls, endpoint)
        if not query.proven:  # danger: refused for want of a pilot whose own timer never fired
            timer = min(timer, PILOT_TIMER * START_SHARE * query.cls.latency_objective)
        leave_within = (
            self._repeat_within(shard_request) or 0.0
        )  # danger: written once its connection is up, too late
        attempt = Attempt(shard_request, len(shard_request.attempts), endpoint, self.now, timer)
        shard_request.attempts.append(attempt)
        query.started = True
        self.out[shard_request.id, attempt.number] = attempt
        attempt.idle = 0.0 if endpoint.out else self.now - endpoint.used
        if self.idle_trust <= attempt.idle < float("inf") and self.now < self.idle_until:
            self.actions.append(
                routing.CloseIdleConnections(endpoint.id)
            )  # danger: a part lost on a connection dropped unseen
            attempt.idle = 0.0
        endpoint.used = self.now
        endpoint.out += 1
        endpoint.sends.add(self.now)
        self.parts_sent += len(shard_request.attempts) == 1
        late_pays = query.cls.late_weight > 0 and self.lateness < START_SHARE
        useful = query.dead_at if late_pays or self.now >= query.aim_at else query.aim_at
        time_out = max(min(useful, query.dead_at) - self.now, MIN_TIMER)
        self.actions.append(
            routing.Send(shard_request.id, endpoint.id, time_out, timer, leave_within)
        )
        self._at(self.now + attempt.timer, self._timer_fired, attempt)

    def _timer(self, cls: routing.QueryClass, endpoint: Endpoint) -> float:
        """That server's p90, or the aggregator's; bounded by the aggregator's."""
        overall = self.all.read(self.now)[1]
        own = (
            endpoint.sketch.read(self.now)[1]
            if endpoint.sketch.count(self.now) >= ENOUGH
            else overall
        )
        return max(
            min(own, FLEET_TIMER * overall, BLIND_TIMER * cls.latency_objective)
            or BLIND_TIMER * cls.latency_objective,
            MIN_TIMER,
        )

    def _timer_fired(self, attempt: Attempt) -> None:
        if attempt.outcome is not None or attempt.streamed:
            return
        attempt.fired, attempt.endpoint.overdue = True, attempt.endpoint.overdue + 1
        query = attempt.shard_request.query
        query.proven = query.proven or (query.careful and query.prompt and not self._suspect(query))
        if not query.ended and query.cls.idempotency is Idempotency.IDEMPOTENT:
            # Before that a copy earns nothing; without its pilot a query is given up long before
            # its aim.
            by = query.aim_at if query.proven else self._start_by(query)
            due = by - (
                COPY_LEAD * self.all.read(self.now)[1] or by
            )  # at once before there is any answer
            self._at(due if self.cfg.price_waste else self.now, self._want_copy, attempt)

    def _want_copy(self, attempt: Attempt) -> None:
        self.hungry.append(attempt)

    def _send_copies(self) -> None:
        """Tokens go first to the query nearest to being whole; one that is lost gets none."""
        rate = max(self.parts_sent / max((self.now - self.began) / 1000.0, 1.0), 1.0)
        refill, cfg = rate * TOKEN_SHARE, self.cfg
        if cfg.budget_window is not None:
            refill = min(
                refill, 1000.0 * cfg.budget_floor / cfg.budget_window + rate * cfg.budget_share
            )
        earned = refill * (self.now - self.token_at) / 1000.0
        self.tokens = min(self.tokens + earned, max(refill, self.bucket))
        self.token_at = self.now
        self.hungry = [a for a in self.hungry if a.wanted]
        missing = {
            a.shard_request.query: sum(not p.answered for p in a.shard_request.query.shard_requests)
            for a in self.hungry
        }
        bare = {
            query: sum(not p.answered and p.out < 2 for p in query.shard_requests)
            for query in missing
        }
        self.hungry.sort(
            key=lambda a: (
                missing[a.shard_request.query],
                -a.shard_request.query.cls.priority_weight,
                a.sent,
            )
        )
        for attempt in self.hungry[:]:
            shard_request = attempt.shard_request
            lost = self.now + self.all.read(self.now)[0] > shard_request.query.aim_at
            # Danger: copies that make none whole. Those that are out are paid for.
            enough = min(bare[shard_request.query], self.bucket)
            short = self.tokens < max(1.0, enough)
            if short or lost or shard_request.out > self.cfg.allows_hedging:
                continue
            endpoint = self._pick(shard_request, [], hedge=True)
            if endpoint is not None and not endpoint.flagged(self.now):
                self.tokens -= 1.0
                bare[shard_request.query] -= 1
                self.hungry.remove(attempt)
                self._send(shard_request, endpoint)

    def _ended(self, event: routing.AttemptEnded) -> None:
        if not (attempt := self.out.pop((event.shard_request, event.attempt), None)):
            return
        endpoint, shard_request, query = (
            attempt.endpoint,
            attempt.shard_request,
            attempt.shard_request.query,
        )
        attempt.outcome = event.outcome
        endpoint.out -= not attempt.streamed
        endpoint.overdue -= attempt.fired
        at_once = event.latency < min(
            IDLE_RESET * min(self.quickest, self.shortest_aim), attempt.idle
        )
        reaped = (
            at_once and event.outcome is Outcome.CONNECTION_LOST and attempt.idle < float("inf")
        )
        if reaped:
            self.idle_trust = min(self.idle_trust, IDLE_MARGIN * attempt.idle)
            self.idle_until = self.now + ROTATE
        if event.outcome is Outcome.SUCCEEDED and not attempt.streamed:
            self._answered(attempt, event.latency)
        if event.outcome is Outcome.SUCCEEDED:
            endpoint.used = self.now
            return
        silent = attempt.fired and endpoint.last_answer < attempt.sent
        sick = silent or event.outcome in (
            Outcome.CONNECT_FAILED,
            Outcome.CONNECTION_LOST,
            Outcome.ERROR,
        )
        if sick and not reaped:  # that an unused connection was dropped says nothing of its server
            first = max(self.trial, TRIAL_TURNS * self._met())
            endpoint.backoff = min(
                max(2 * endpoint.backoff, first), TRIAL_LAST * first / TRIAL_FIRST
            )
            endpoint.flag_until = self.now + endpoint.backoff
        elif event.outcome is Outcome.REJECTED or (
            event.latency > self.target and not attempt.streamed
        ):
            self._cut(
                endpoint
            )  # if all is given up at its aim, no answer ever tells of long queues
        if event.outcome is Outcome.CONNECTION_LOST:
            query.broke.add(endpoint.id)
            if (
                self._suspect(query) and len(query.broke) > 1 and not reaped
            ):  # its client will ask again
                self.wary_until = self.now + ROTATE
        if shard_request.answered or shard_request.dropped or query.ended or shard_request.out:
            return
        shard_request.dropped = len(
            shard_request.attempts
        ) >= self.cfg.max_attempts or not self._may_repeat(shard_request)
        if not shard_request.dropped:
            self.waiting.append(shard_request)
            self._at(attempt.sent + self.all.read(self.now)[1], self._review, query)
        self._review(query)

    def _answered(self, attempt: Attempt, latency: float) -> None:
        """The first answer of a part wins."""
        shard_request, query = attempt.shard_request, attempt.shard_request.query
        self._learn(attempt, latency)
        query.vouched = True
        if not shard_request.answered and not shard_request.dropped and not query.ended:
            shard_request.answered = True
            pilots = [p.answered for p in query.shard_requests if p.pilot]
            enough = sum(pilots) >= len(pilots) - max(len(pilots) // 4, 1)  # one sick must not veto
            query.proven = query.proven or query.careful or enough
            for twin in shard_request.attempts:
                self._cancel(twin)
            self._review(query)

    def _began(self, event: routing.ResponseStarted) -> None:
        """Rows leave for the client as they come: no other attempt can take this one's place any
        more.

        Danger: how long it takes from here on is the client's pace; neither window nor sketch may
        hear of it.
        """
        attempt = self.out.get((event.shard_request, event.attempt))
        if attempt and attempt.wanted and not attempt.streamed:
            attempt.streamed = True
            attempt.endpoint.out -= 1
            attempt.endpoint.overdue -= attempt.fired
            attempt.fired = False
            self._answered(attempt, event.latency)

    def _suspect(self, query: Query) -> bool:
        """A query none of whose parts was answered, and one broke off a connection, may have done
        it itself.

        Danger: a poisonous query takes down each server that begins a part of it, and every further
        attempt takes down the next. An answered part clears it; until one does, one part at a time
        goes on.
        """
        return bool(query.broke) and not query.vouched

    def _learn(self, attempt: Attempt, latency: float) -> None:
        endpoint = attempt.endpoint
        self.last_answer = endpoint.last_answer = self.now
        # Danger: a clock that stands still makes 0 the quickest answer ever, and the pace of cold
        # servers.
        if self.stalled or latency <= 0:
            return
        self.lateness += ((latency > self.target) - self.lateness) / ENOUGH
        endpoint.sketch.add(self.now, latency)
        self.all.add(self.now, latency)
        endpoint.backoff = endpoint.backoff / 2 if endpoint.backoff > 2 * self.trial else 0.0
        endpoint.flag_until = float("-inf")
        if self.all.count(self.now) >= ENOUGH:  # the quickest ever: a queue must not raise its bar
            self.quickest = min(self.quickest, self.all.read(self.now)[0])
            self.usual = min(self.usual, self.all.read(self.now)[2])
            self.target = max(SLOW_SHARE * self.shortest_aim, SLOW_FACTOR * self.quickest)
        if latency > self.target:
            self._cut(endpoint)
        elif endpoint.out + 1 >= int(endpoint.window):
            endpoint.window += 1.0 / endpoint.window

    def _cut(self, endpoint: Endpoint) -> None:
        if self.now - endpoint.last_cut >= SLOW_SHARE * self.shortest_aim:
            endpoint.window, endpoint.last_cut = max(endpoint.window * WINDOW_CUT, 1.0), self.now
