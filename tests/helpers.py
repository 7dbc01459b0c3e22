"""Time driven by hand: a router, its settings and a clock that tests move."""

from tansycrank import interface as io
from tansycrank.brain import Router
from tansycrank.lifecycle import Lifecycle

SAFE = io.QueryClass(aim=1000.0, give_up=4000.0, worth=1.0, late_worth=0.5)


def settings(*classes, **changes):
    base = dict(
        classes=classes or (SAFE,),
        routers=3,
        tick=5.0,
        shards=1,
        cells=1,
        reach=1,
        attempts_cap=3,
        answer_grace=20.0,
        drain_grace=500.0,
        cold_multiple=2.0,
        cold_window=1000.0,
        cold_from=0.2,
        cold_time=10_000.0,
    )
    return io.Settings(**(base | changes))


def listed(server, cell=0, zone=0, status=io.Status.READY, came_up=0.0):
    return io.Listed(server, cell, zone, status, came_up)


class Bench:
    """Plays events to one router and keeps what it did."""

    def __init__(self, cfg, servers=(1, 2, 3), seed=7, start=100_000.0):
        self.router, self.now, self.tick = Router(cfg, seed), start, cfg.tick
        self.ids, self.numbers, self.attempts = 1000, 0, {}
        self.done = []
        entries = tuple(s if isinstance(s, io.Listed) else listed(s) for s in servers)
        self.step(io.ServerList(io.ListKind.CACHED, entries))

    def step(self, *events, after=0.0):
        self.now += after
        actions = self.router.step(self.now, list(events))
        self.done.append((self.now, actions))
        for action in actions:
            if isinstance(action, io.Send):
                self.attempts.setdefault(action.part, []).append((self.now, action.server))
        return actions

    def run(self, ms):
        """Pass time in ticks, waking the router each time."""
        acted = []
        for _ in range(int(ms / self.tick)):
            acted += self.step(io.Woken(1), after=self.tick)
        return acted

    def query(
        self, parts=1, query_class=0, time_left=4000.0, shards=None, weights=None, repeat=False
    ):
        """A query arrives; returns (query id, part ids, actions)."""
        self.numbers += 1
        query = self.ids = self.ids + 1
        events = [
            io.QueryArrived(query, self.numbers, query_class, time_left, parts, repeat=repeat)
        ]
        ids = []
        for index in range(parts):
            self.ids += 1
            ids.append(self.ids)
            events.append(
                io.PartArrived(
                    self.ids,
                    self.numbers,
                    shards[index] if shards else 0,
                    weights[index] if weights else 1 / parts,
                )
            )
        return query, ids, self.step(*events)

    def end(self, part, attempt=None, outcome=io.Outcome.ANSWERED, after=0.0):
        """The last (or the numbered) attempt of a part ends."""
        number = len(self.attempts[part]) - 1 if attempt is None else attempt
        sent, server = self.attempts[part][number]
        return self.step(
            io.AttemptEnded(part, number, server, outcome, max(self.now + after - sent, 1.0)),
            after=after,
        )

    def teach(self, took=100.0, answers=30, gap=50.0):
        """Ordinary traffic: so many answers in this time, by turns."""
        for _ in range(answers):
            _, (part,), _ = self.query()
            self.end(part, after=took)
            self.run(gap)


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


class Lives:
    """Attempts for tests of connections: each the only one of a request of its own."""

    def __init__(self, servers=range(1, 10)):
        settings = io.Settings(classes=(io.QueryClass(aim=1000.0, give_up=2000.0, worth=1.0),))
        self.violations = []
        self.lifecycle = Lifecycle(settings, self.violations.append)
        self.lifecycle.listed(io.ServerList(io.ListKind.FULL, tuple(map(listed, servers))))

    def attempt(self, now, server=1, time_out=1000.0, start_within=0.0, name="q"):
        """`now` is ms of the clock of the connections."""
        request = self.lifecycle.take(name, io.Effect.SAFE, 0.0, now + 60_000.0, 1, now)
        return self.lifecycle.choose(request, 0, server, time_out, start_within, now)
