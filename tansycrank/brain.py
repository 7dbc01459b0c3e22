"""All decisions of a query router; what it hears and does is defined in `tansycrank/interface.py`.

The ordinary path is adaptive hedging of parts: turns, a percentile timer, a token bucket, first
answer wins.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from tansycrank import interface as io
from tansycrank.interface import Effect, GiveUpReason, ListKind, Outcome, Status
from tansycrank.state import Attempt, LatencyWindow, Part, Query, Server, SlidingSum

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


class Router:
    """The decisions of one router, without clock or I/O: `step` is called once a round."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.cfg = settings
        self.rng = random.Random(seed)
        self.now, self.token_at, self.began, self.actions = 0.0, 0.0, None, []
        self.servers: dict[int, Server] = {}
        self.standing = 0  # servers that are ready
        self.queries, self.numbers, self.parts = {}, {}, {}  # by id, by number, by id
        self.out: dict[tuple[int, int], Attempt] = {}
        self.waiting: list[Part] = []  # parts with no attempt out, oldest query first
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
        self.ask_backoff, self.shortest_aim = ASK_BACKOFF, min(cls.aim for cls in settings.classes)
        self.usual = float("inf")  # ms: the least median, the pace of a cold server's work
        self.trial = (
            TRIAL_FIRST * self.shortest_aim
        )  # ms until a silent server is first tried again
        self.quickest, self.target = (
            float("inf"),
            self.shortest_aim,
        )  # ms: an answer later than that is slow
        self.hear = {
            io.AttemptEnded: self._ended,
            io.QueryArrived: self._query_arrived,
            io.PartArrived: self._part_came,
            io.QueryGone: self._gone,
            io.ServerList: self._listed,
            io.AnswerBegan: self._began,
        }

    def step(self, now_ms: float, events: Iterable[io.Event]) -> list[io.Action]:
        """Hear one round's events and return what to do, in order."""
        self.now, self.actions = now_ms, []
        if self.began is None:
            self.began = self.token_at = now_ms
            self._watch(None)
        due = self.agenda[0][0] if self.agenda else now_ms
        self.stalled = now_ms - due > STALL * self.cfg.tick  # danger: taken for late servers
        for event in events:
            if type(event) in self.hear:
                self.hear[type(event)](event)
        while self.agenda and self.agenda[0][0] <= now_ms:
            _, _, function, argument = heapq.heappop(self.agenda)
            function(argument)
        self._send_waiting()
        self._send_copies()
        if self.agenda and (self.agenda[0][0] < self.woken_for or self.woken_for <= now_ms):
            self.woken_for = self.agenda[0][0]
            self.actions.append(io.Wake(max(self.woken_for - now_ms, 0.0), 1))
        return self.actions

    def _at(self, time: float, function, argument) -> None:
        self.order += 1
        heapq.heappush(self.agenda, (time, self.order, function, argument))

    def _watch(self, _: None) -> None:
        if self.cfg.must_ask or self.cfg.must_watch:
            self.actions.append(io.Watch(True))

    def _listed(self, event: io.ServerList) -> None:
        if (
            event.kind is ListKind.FAILED
        ):  # ask again, later each time: discovery has little capacity
            # Danger: hundreds of routers whose watches ended in one moment, asking again in one
            # moment.
            # Danger: where lists are pushed, what the agent says at its return counts at once.
            most = ASK_BACKOFF_LAST if self.cfg.must_ask else PUSH_BACKOFF * self.cfg.drain_grace
            wait = min(self.ask_backoff, most) * self.rng.uniform(ASK_JITTER, 1.0)
            self._at(self.now + wait, self._watch, None)
            self.ask_backoff = min(2 * self.ask_backoff, ASK_BACKOFF_LAST)
            return
        self.ask_backoff = ASK_BACKOFF
        if event.kind is not ListKind.CHANGES:
            for server in self.servers.values():  # the list names all that stand
                server.status = Status.GONE
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if (
                server is None or entry.life > server.life
            ):  # new or restarted: the old record is void
                span = max(self.cfg.cold_window, self.cfg.cold_time) + self.cfg.tick
                new = Server(
                    entry.server,
                    entry.cell,
                    entry.zone,
                    entry.status,
                    entry.came_up,
                    max(WINDOW_ALL / self.cfg.routers, WINDOW_LEAST),
                    LatencyWindow(*WINDOW),
                    SlidingSum(span),
                    entry.life,
                )
                if server:  # rule 4
                    new.sends, new.lot, new.lot_until = server.sends, server.lot, server.lot_until
                self.servers[entry.server] = server = new
            elif entry.life == server.life:  # the same start may be known better by now
                server.came_up = entry.came_up
            server.status, server.cell, server.zone = entry.status, entry.cell, entry.zone
        for server in [s for s in self.servers.values() if s.status is Status.GONE and not s.out]:
            if not server.sends.within(
                self.now, self.cfg.cold_window
            ):  # rule 4: till then it is the same
                del self.servers[server.id]  # danger: nodes replaced under new ids for days
        self.standing = sum(server.status is Status.READY for server in self.servers.values())
        self.rings = {}

    def _ring(self, cell: int) -> list[Server]:
        if cell not in self.rings:
            near = {(cell + j) % self.cfg.cells for j in range(self.cfg.reach)}
            ring = sorted(
                (s for s in self.servers.values() if s.cell in near and s.status is Status.READY),
                key=lambda s: (s.zone != self.cfg.zone, s.id),
            )
            if self.cfg.price_crossing:  # replicas of our own zone get more of the turns
                ring = [s for s in ring if s.zone == self.cfg.zone] * (NEAR_TURNS - 1) + ring
            self.rings[cell] = ring
        return self.rings[cell]

    def _warmth(self, server: Server, before: float = 0.0) -> float:
        """The least share of its capacity that a server may have now, or had so many ms before."""
        if not server.came_up or not self.cfg.cold_time:
            return 1.0
        age = max(self.now - before - server.came_up, 0.0) / self.cfg.cold_time
        return min(self.cfg.cold_from + (1 - self.cfg.cold_from) * age, 1.0)

    def _query_arrived(self, event: io.QueryArrived) -> None:
        cls = self.cfg.classes[event.query_class]
        longest = self.longest.get(event.query_class, 0.0)
        if not event.repeat and event.time_left > longest:
            self.longest[event.query_class] = longest = event.time_left
        gone = (
            cls.give_up - event.time_left if event.repeat and event.time_left < longest - 1 else 0.0
        )
        query = Query(
            event.query,
            event.number,
            cls,
            self.now,
            self.now + cls.aim - gone,
            self.now + event.time_left - 2 * self.cfg.tick,
            event.repeat,
        )
        self.queries[query.id] = self.numbers[query.number] = query
        self.taken.add(self.now)
        grown = max(
            TOKEN_SHARE * event.parts - self.bucket, 0.0
        )  # danger: a first wide query without copies
        self.bucket, self.tokens = self.bucket + grown, self.tokens + grown
        prompt = self.lateness < max(START_SHARE, PILOT_LATE / event.parts)
        prompt = prompt and self.now < self.last_answer + cls.aim
        roomy = event.parts >= PILOT and cls.aim >= PILOT_ROOM * self.all.read(self.now)[1]
        query.careful, query.prompt = prompt and roomy or self.now < self.wary_until, prompt
        query.proven = event.parts <= PILOT_LATE or prompt and not query.careful
        density = cls.worth / (event.parts + cls.follow_up)
        self.densest = max(self.densest, density)
        start_by = self._start_by(query)
        query.rank = start_by + WORTH_LAG * cls.aim * (1 - density / self.densest)
        for time in (
            start_by,
            self._answer_by(query),
            query.aim_at - 2 * self.cfg.tick,
            query.dead_at,
        ):
            self._at(min(time, query.dead_at), self._review, query)

    def _part_came(self, event: io.PartArrived) -> None:
        if not (query := self.numbers.get(event.number)):
            return
        self.taken.add(self.now)
        part = Part(event.part, query, event.shard % self.cfg.cells, event.weight)
        part.pilot = len(query.parts) % PILOT == 0 and not (query.careful and query.parts)
        query.parts.append(part)
        self.parts[part.id] = part
        if query.step == 1 and query.cls.floor < query.cls.whole_at:  # light parts yield under load
            query.parts.sort(key=lambda p: -p.weight)
            total = 0.0
            for one in query.parts:
                one.spare, total = total > query.cls.floor + 0.05, total + one.weight
                one.pilot = one is query.parts[0] if query.careful else not one.spare
        self.waiting.append(part)

    def _gone(self, event: io.QueryGone) -> None:
        if event.query in self.queries:
            self._end(self.queries[event.query])
        elif part := self.parts.get(event.query):  # a part given up alone
            self._drop(part)
            self._review(part.query)

    def _end(self, query: Query, *final: io.Action) -> None:
        query.ended = True
        del self.queries[query.id]
        self.numbers.pop(query.number, None)
        self.actions.extend(final)
        self._drop(*query.parts)

    def _drop(self, *parts: Part) -> None:
        """Parts that are no longer needed leave the line, and what is out for them is cancelled."""
        for part in parts:
            part.dropped = True
            self.parts.pop(part.id, None)
            for attempt in part.attempts:
                self._cancel(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        if (
            attempt.outcome is None
            and not attempt.cancelled
            and not attempt.streamed
            and self.cfg.can_cancel
        ):
            attempt.cancelled = True
            self.actions.append(io.Cancel(attempt.part.id, attempt.number))

    def _start_by(self, query: Query) -> float:
        """Until when it is worth while to wait for a start; a refusal lets its client come back in
        time.
        """
        return query.born + START_SHARE * query.cls.aim

    def _answer_by(self, query: Query) -> float:
        """When a partial answer goes out: at the aim, with time left for a second step."""
        second = max(SECOND_STEP * self.all.read(self.now)[1], BLIND_TIMER * query.cls.aim)
        return (
            query.aim_at
            - 3 * self.cfg.tick
            - (second if query.step == 1 and query.cls.follow_up else 0.0)
        )

    def _conclude(self, query: Query, whole: bool) -> None:
        if query.step == 1 and query.cls.follow_up:
            self.actions.append(io.Answer(query.id, whole))
            query.whole_so_far, query.step, query.proven = (
                whole,
                2,
                True,
            )  # danger: a pilot of a second step
            self._drop(*query.parts)
            query.parts = []
        else:
            self._end(query, io.Answer(query.id, whole and query.whole_so_far))

    def _give_up(self, query: Query, reason: GiveUpReason) -> None:
        """At once, and as a refusal wherever no effect may have happened."""
        ran = any(a.may_have_run for part in query.parts for a in part.attempts)
        hold = (
            min(HOLD_OFF * query.cls.aim, self.cfg.hold_off_max) if self.cfg.can_hold_off else 0.0
        )
        harmless = not ran or query.cls.effect is Effect.SAFE
        self._end(query, io.Shed(query.id, hold, reason) if harmless else io.Fail(query.id, reason))

    def _review(self, query: Query) -> None:
        """Answer if it is time, or give up if nothing more can be earned."""
        between_steps = not query.parts and self.now < query.dead_at
        if query.ended or between_steps:
            return None
        cls, share = query.cls, sum(part.weight for part in query.parts if part.answered)
        need = cls.whole_at if query.step == 1 else 1.0
        if share >= need - 1e-5 and (need < 1 or all(part.answered for part in query.parts)):
            return self._conclude(query, True)
        floor = cls.floor if cls.floor < cls.whole_at else need
        if floor < need and self.now >= self._start_by(query):
            for part in query.parts:
                if part.spare and not part.attempts:
                    part.dropped = True
        open_parts = [p for p in query.parts if not p.answered and not p.dropped]
        reachable = share + sum(p.weight for p in open_parts)
        if (
            floor < need
            and share >= floor
            and (not open_parts or self.now >= self._answer_by(query))
        ):
            return self._conclude(query, False)
        unsent = sum(not p.attempts for p in open_parts)
        if self._suspect(query) and len(query.broke) > 1 and not any(p.out for p in open_parts):
            return self._give_up(query, GiveUpReason.HARMFUL)
        held = unsent and not (query.started and query.proven)
        start_by = self._start_by(query)
        if (
            query.started and floor < need
        ):  # danger: an answer in part thrown away for a pilot one turn late
            start_by = self._answer_by(query)
        elif (
            query.started and not query.proven
        ):  # danger: one late pilot is no proof of long queues
            rest = self.all.read(self.now)[1] * len(query.parts) / PILOT_REST
            start_by = max(start_by, query.aim_at - rest)
        if reachable < floor - 1e-5:
            return self._give_up(query, GiveUpReason.TOO_FEW_SHARDS)
        if self.now >= query.dead_at:
            return self._give_up(query, GiveUpReason.DEADLINE_PASSED)
        if held and self.now >= start_by:
            return self._give_up(
                query, GiveUpReason.PROBE_LATE if query.started else GiveUpReason.NO_START
            )
        if held and query.started and not query.waits:
            query.waits = True
            self._at(start_by, self._review, query)
        if self.now >= query.aim_at - 2 * self.cfg.tick:
            if cls.late_worth <= 0 or unsent or self.waiting:
                return self._give_up(query, GiveUpReason.TARGET_PASSED)
            self._at(min(self.now + RECHECK, query.dead_at), self._review, query)

    def _ledger_allows(self, hedge: bool) -> bool:
        """Rule 6: hedges and retries of any window, together, within the told budget."""
        if self.cfg.budget_window is None:
            return True
        allowed = self.cfg.budget_floor + self.cfg.budget_share * self.taken.total(self.now)
        return self.extras.total(self.now) + 1 <= (HEDGE_LEDGER * allowed if hedge else allowed)

    def _may_send(self, part: Part, server: Server, hedge: bool) -> bool:
        """Every send passes here: the rules that bind it, in one place."""
        query = part.query
        if query.ended or part.answered or part.dropped or self.now >= query.dead_at:  # rule 1
            return False
        if (
            server.status is not Status.READY or len(part.attempts) >= self.cfg.attempts_cap
        ):  # rule 3
            return False
        if not self._may_repeat(part, hedge):  # rule 2
            return False
        if part.attempts and not self._ledger_allows(hedge):  # rule 6
            return False
        return self._cold_room(server)  # rule 4

    def _may_repeat(self, part: Part, hedge: bool = False) -> bool:
        """Rule 2: unless safe, only if no attempt may have run, or keyed and in the window of the
        first.
        """
        within = self._repeat_within(part)
        return within is None or within > 0 and not hedge

    def _repeat_within(self, part: Part) -> float | None:
        """Milliseconds in which a further attempt has to leave; None where it may at any time."""
        cls, ran = part.query.cls, [a for a in part.attempts if a.may_have_run]
        if cls.effect is Effect.SAFE or not ran:
            return None
        window = cls.dedup_window if cls.effect is Effect.KEYED else 0.0
        return ran[0].sent + window - 2 * self.cfg.tick - self.now

    def _cold_room(self, server: Server) -> bool:
        """Rule 4: a warm server, or this router's share of what a cold one takes in a window has
        room.

        The share is drawn by lot below one part.

        Danger: dozens of routers each sending "just one" to a server that has come back.
        `COLD_CORES` at the pace of the median answer are assumed. A lot is drawn when a part first
        wants it, and no other for the span that the share is counted over: whatever the routers ask
        for, they get their shares of any span.
        """
        if self._warmth(server) >= 1.0:
            return True
        pace = min(self.usual, BLIND_TIMER * self.shortest_aim) / COLD_CORES
        span = self.cfg.cold_window
        warmth = self._warmth(server, span / 2)  # mean of the window that is counted
        share = COLD_PART * self.cfg.cold_multiple * warmth * span / pace / self.cfg.routers
        # Danger: a thin router meets each server seldom, and a fifth of all shares was used. It
        # counts its
        # share over the time between its parts there, less for a rush, up to the parts that it
        # brings.
        kept = (
            min(
                self._met() / COLD_RUSH,
                self.now - self.began,
                self.cfg.cold_time,
                span * COLD_CALL / max(share, 1e-9),
            )
            / span
        )
        share, span = share * max(kept, 1.0), span * max(kept, 1.0)
        if self.now >= server.lot_until:
            server.lot, server.lot_until = self.rng.random(), self.now + span + self.cfg.tick
        return server.sends.within(self.now, span + self.cfg.tick) + 1 <= int(share + server.lot)

    def _met(self) -> float:
        """Milliseconds between two parts of ours at one server."""
        return self.standing * (self.now - self.began) / max(self.parts_sent, 1)

    def _pick(self, part: Part, mates: list[Server], hedge: bool = False) -> Server | None:
        """The next replica in turn that is not overdue; if all are, the next in turn."""
        ring = self._ring(part.cell)
        tried = {attempt.server for attempt in part.attempts}
        if all(server in tried or not self._cold_room(server) for server in ring):
            if hedge:
                return None
            # Danger: turned away three times within 3 ms by the one warm replica; or never sent
            # there again.
            rest = self.all.read(self.now)[1]
            tried = {a.server for a in part.attempts if self.now < a.sent + rest}
        for server in mates:
            if (
                server in ring
                and server not in tried
                and self._has_room(server, part.spare)
                and self._may_send(part, server, hedge)
            ):
                return server
        turn = self.turns.setdefault(part.cell, self.rng.randrange(1 << 16))
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
        for following, server in order:
            if self._has_room(server, part.spare or hedge, not hedge) and self._may_send(
                part, server, hedge
            ):
                self.turns[part.cell] = following
                return server
        return None

    def _has_room(self, server: Server, spare: bool, new_call: bool = False) -> bool:
        window = (
            1 if server.backoff else int(server.window * (SPARE_ROOM if spare else 1.0))
        )  # one trial
        if new_call and self.cfg.call_work and server.out:  # wait for room for several
            window -= min(REFILL, window // 2)
        return server.out < window

    def _send_waiting(self) -> None:
        """First tries and retries, oldest query first; what finds no room stays in line."""
        keep, called, full = [], [], set()
        self.waiting.sort(key=lambda p: (p.spare, p.query.rank, p.query.number, -p.weight))
        for part in self.waiting:
            query = part.query
            if part.dropped or part.answered or query.ended:
                continue
            piloting = not query.proven and not part.pilot
            held = not part.attempts and (
                part.cell in full or piloting
            )  # danger: unseen queues (i6691d2)
            held = held or self._suspect(query) and any(p.out for p in query.parts)
            server = None if held else self._pick(part, called)
            if server is not None:
                called += [server] if self.cfg.call_work and server not in called else []
                self._send(part, server)
                continue
            keep.append(part)
            if not part.attempts and not piloting:
                full.add(part.cell)
        self.waiting = keep

    def _send(self, part: Part, server: Server) -> None:
        query = part.query
        if part.attempts:
            self.extras.add(self.now)
        timer = self._timer(query.cls, server)
        if not query.proven:  # danger: refused for want of a pilot whose own timer never fired
            timer = min(timer, PILOT_TIMER * START_SHARE * query.cls.aim)
        leave_within = (
            self._repeat_within(part) or 0.0
        )  # danger: written once its connection is up, too late
        attempt = Attempt(part, len(part.attempts), server, self.now, timer)
        part.attempts.append(attempt)
        query.started = True
        self.out[part.id, attempt.number] = attempt
        attempt.idle = 0.0 if server.out else self.now - server.used
        if self.idle_trust <= attempt.idle < float("inf") and self.now < self.idle_until:
            self.actions.append(
                io.CloseIdle(server.id)
            )  # danger: a part lost on a connection dropped unseen
            attempt.idle = 0.0
        server.used = self.now
        server.out += 1
        server.sends.add(self.now)
        self.parts_sent += len(part.attempts) == 1
        late_pays = query.cls.late_worth > 0 and self.lateness < START_SHARE
        useful = query.dead_at if late_pays or self.now >= query.aim_at else query.aim_at
        time_out = max(min(useful, query.dead_at) - self.now, MIN_TIMER)
        self.actions.append(io.Send(part.id, server.id, time_out, timer, leave_within))
        self._at(self.now + attempt.timer, self._timer_fired, attempt)

    def _timer(self, cls: io.QueryClass, server: Server) -> float:
        """That server's p90, or the aggregator's; bounded by the aggregator's."""
        overall = self.all.read(self.now)[1]
        own = (
            server.sketch.read(self.now)[1] if server.sketch.count(self.now) >= ENOUGH else overall
        )
        return max(
            min(own, FLEET_TIMER * overall, BLIND_TIMER * cls.aim) or BLIND_TIMER * cls.aim,
            MIN_TIMER,
        )

    def _timer_fired(self, attempt: Attempt) -> None:
        if attempt.outcome is not None or attempt.streamed:
            return
        attempt.fired, attempt.server.overdue = True, attempt.server.overdue + 1
        query = attempt.part.query
        query.proven = query.proven or query.careful and query.prompt and not self._suspect(query)
        if not query.ended and query.cls.effect is Effect.SAFE:
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
            a.part.query: sum(not p.answered for p in a.part.query.parts) for a in self.hungry
        }
        bare = {query: sum(not p.answered and p.out < 2 for p in query.parts) for query in missing}
        self.hungry.sort(key=lambda a: (missing[a.part.query], -a.part.query.cls.worth, a.sent))
        for attempt in self.hungry[:]:
            part = attempt.part
            lost = self.now + self.all.read(self.now)[0] > part.query.aim_at
            # Danger: copies that make none whole. Those that are out are paid for.
            enough = min(bare[part.query], self.bucket)
            short = self.tokens < max(1.0, enough)
            if short or lost or part.out > self.cfg.second_copies:
                continue
            server = self._pick(part, [], hedge=True)
            if server is not None and not server.flagged(self.now):
                self.tokens -= 1.0
                bare[part.query] -= 1
                self.hungry.remove(attempt)
                self._send(part, server)

    def _ended(self, event: io.AttemptEnded) -> None:
        if not (attempt := self.out.pop((event.part, event.attempt), None)):
            return
        server, part, query = attempt.server, attempt.part, attempt.part.query
        attempt.outcome = event.outcome
        server.out -= not attempt.streamed
        server.overdue -= attempt.fired
        at_once = event.took < min(IDLE_RESET * min(self.quickest, self.shortest_aim), attempt.idle)
        reaped = at_once and event.outcome is Outcome.BROKEN_OFF and attempt.idle < float("inf")
        if reaped:
            self.idle_trust = min(self.idle_trust, IDLE_MARGIN * attempt.idle)
            self.idle_until = self.now + ROTATE
        if event.outcome is Outcome.ANSWERED and not attempt.streamed:
            self._answered(attempt, event.took)
        if event.outcome is Outcome.ANSWERED:
            server.used = self.now
            return
        silent = attempt.fired and server.last_answer < attempt.sent
        sick = silent or event.outcome in (Outcome.UNCONNECTED, Outcome.BROKEN_OFF, Outcome.ERROR)
        if sick and not reaped:  # that an unused connection was dropped says nothing of its server
            first = max(self.trial, TRIAL_TURNS * self._met())
            server.backoff = min(max(2 * server.backoff, first), TRIAL_LAST * first / TRIAL_FIRST)
            server.flag_until = self.now + server.backoff
        elif event.outcome is Outcome.REJECTED or event.took > self.target and not attempt.streamed:
            self._cut(server)  # if all is given up at its aim, no answer ever tells of long queues
        if event.outcome is Outcome.BROKEN_OFF:
            query.broke.add(server.id)
            if (
                self._suspect(query) and len(query.broke) > 1 and not reaped
            ):  # its client will ask again
                self.wary_until = self.now + ROTATE
        if part.answered or part.dropped or query.ended or part.out:
            return
        part.dropped = len(part.attempts) >= self.cfg.attempts_cap or not self._may_repeat(part)
        if not part.dropped:
            self.waiting.append(part)
            self._at(attempt.sent + self.all.read(self.now)[1], self._review, query)
        self._review(query)

    def _answered(self, attempt: Attempt, took: float) -> None:
        """The first answer of a part wins."""
        part, query = attempt.part, attempt.part.query
        self._learn(attempt, took)
        query.vouched = True
        if not part.answered and not part.dropped and not query.ended:
            part.answered = True
            pilots = [p.answered for p in query.parts if p.pilot]
            enough = sum(pilots) >= len(pilots) - max(len(pilots) // 4, 1)  # one sick must not veto
            query.proven = query.proven or query.careful or enough
            for twin in part.attempts:
                self._cancel(twin)
            self._review(query)

    def _began(self, event: io.AnswerBegan) -> None:
        """Rows leave for the client as they come: no other attempt can take this one's place any
        more.

        Danger: how long it takes from here on is the client's pace; neither window nor sketch may
        hear of it.
        """
        attempt = self.out.get((event.part, event.attempt))
        if attempt and attempt.wanted and not attempt.streamed:
            attempt.streamed = True
            attempt.server.out -= 1
            attempt.server.overdue -= attempt.fired
            attempt.fired = False
            self._answered(attempt, event.took)

    def _suspect(self, query: Query) -> bool:
        """A query none of whose parts was answered, and one broke off a connection, may have done
        it itself.

        Danger: a poisonous query takes down each server that begins a part of it, and every further
        attempt takes down the next. An answered part clears it; until one does, one part at a time
        goes on.
        """
        return bool(query.broke) and not query.vouched

    def _learn(self, attempt: Attempt, took: float) -> None:
        server = attempt.server
        self.last_answer = server.last_answer = self.now
        # Danger: a clock that stands still makes 0 the quickest answer ever, and the pace of cold
        # servers.
        if self.stalled or took <= 0:
            return
        self.lateness += ((took > self.target) - self.lateness) / ENOUGH
        server.sketch.add(self.now, took)
        self.all.add(self.now, took)
        server.backoff = server.backoff / 2 if server.backoff > 2 * self.trial else 0.0
        server.flag_until = float("-inf")
        if self.all.count(self.now) >= ENOUGH:  # the quickest ever: a queue must not raise its bar
            self.quickest = min(self.quickest, self.all.read(self.now)[0])
            self.usual = min(self.usual, self.all.read(self.now)[2])
            self.target = max(SLOW_SHARE * self.shortest_aim, SLOW_FACTOR * self.quickest)
        if took > self.target:
            self._cut(server)
        elif server.out + 1 >= int(server.window):
            server.window += 1.0 / server.window

    def _cut(self, server: Server) -> None:
        if self.now - server.last_cut >= SLOW_SHARE * self.shortest_aim:
            server.window, server.last_cut = max(server.window * WINDOW_CUT, 1.0), self.now
