"""Tenants at the doors of simulated routers: open loads, floods, patient and impatient clients,
faults.

Load is open: arrivals don't wait for answers, so nothing is omitted when the router is slow. A
client that is turned away comes back when told (patient), at once (pushy), or never. For those that
never do, a shadow asks the door at the promised moment how long one of them would still have
waited.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field, replace

from tansycrank import routing
from tansycrank.admission.identity import CallerIdentity
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings
from tansycrank.postgres.errors import QUERY_REJECTED, PgError, retry_after
from tansycrank.testbed.simulated import SimClock, SimNode, SimRouter

TRIES = 6  # times a patient client comes back for one query
AIM = 1000.0
GIVE_UP = 2000.0


@dataclass
class Load:
    """One tenant: queries a second (over all routers), what its clients do when turned away."""

    name: str
    rate: float
    manner: str = "patient"  # patient, pushy, never
    shard_requests: int = 1
    clients: int = 3
    limits: Limits = field(default_factory=Limits)
    begins: float = 0.0
    ends: float = 1e9
    remaining: float = GIVE_UP


@dataclass
class Tally:
    """What happened to a tenant's queries, counted once a query."""

    asked: int = 0
    answered: int = 0
    in_aim: int = 0
    given_up: int = 0
    refusals: int = 0
    cost: float = 0.0
    latency: list[float] = field(default_factory=list)


@dataclass
class Promise:
    """A first refusal: what was promised, when it would have been let in, whether at the first
    return.
    """

    at: float
    tenant: str
    wait: float
    took: float = -1.0
    first: bool = False
    shadow: bool = False


@dataclass
class Scene:
    """A site, its tenants and faults. `faults`: (second, "die" or "back", share of the nodes)."""

    loads: list[Load]
    seconds: float = 10.0
    routers: int = 1
    nodes: int = 12
    shards: int = 12
    slots: int = 4
    replica_span: int = 3
    work_ms: float = 40.0
    seed: int = 1
    door: bool = True
    bounds: Settings = field(
        default_factory=lambda: Settings(class_weights=(1.0,), useful_times=(AIM,))
    )
    faults: tuple[tuple[float, str, float], ...] = ()

    @property
    def capacity(self) -> float:
        """Parts a second all nodes can do."""
        return self.nodes * self.slots / self.work_ms * 1000


class Play:
    """One run of a scene."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.clock = scene, SimClock()
        self.rng = random.Random(scene.seed)
        self.nodes = {
            n: SimNode(self.clock, n, scene.slots, random.Random(scene.seed * 1000 + n))
            for n in range(1, scene.nodes + 1)
        }
        settings = routing.Settings(
            classes=(
                routing.QueryClass(latency_objective=AIM, deadline=GIVE_UP, priority_weight=1.0),
            ),
            routers=scene.routers,
            shards=scene.shards,
            cells=scene.nodes,
            replica_span=scene.replica_span,
            zones=1,
            can_retry_after=True,
            max_retry_after=5000.0,
            polls_discovery=False,
            answer_grace=50.0,
            tick=1.0,
        )
        self.routers = []
        for me in range(scene.routers):
            policy = Policy(scene.bounds) if scene.door else None
            mine = replace(settings, router_index=me)
            self.routers.append(SimRouter(self.clock, mine, scene.seed + me, self.nodes, policy))
        self.tallies = {load.name: Tally() for load in scene.loads}
        self.promises: list[Promise] = []
        self.limits: list[
            tuple[float, float, float]
        ] = []  # second, limit, drain of the first router
        self._marks = 0
        self.wall = 0.0

    def run(self) -> Play:
        """Play it all; refusals still open at the end don't count."""
        began = time.perf_counter()
        for router in self.routers:
            router.list_nodes(self.scene.nodes, 1)
        for load in self.scene.loads:
            self.clock.callLater(load.begins + self.rng.expovariate(load.rate), self._next, load)
        for second, what, share in self.scene.faults:
            self.clock.callLater(second, self._fault, what, share)
        if self.scene.door:
            self.clock.callLater(0.1, self._note)
        self.clock.run(self.scene.seconds)
        self.wall = time.perf_counter() - began
        return self

    def _note(self) -> None:
        policy = self.routers[0].policy
        self.limits.append(
            (self.clock.seconds(), policy.limit.shard_requests, policy.drain_rate * 1000)
        )
        self.clock.callLater(0.1, self._note)

    def _fault(self, what: str, share: float) -> None:
        for number in range(1, int(self.scene.nodes * share) + 1):
            node = self.nodes[number * 2 % self.scene.nodes + (share > 0.5) or self.scene.nodes]
            node.die() if what == "die" else node.come_back()
        for router in self.routers:
            router.list_nodes(self.scene.nodes, 1)

    def _next(self, load: Load) -> None:
        now = self.clock.seconds()
        if now >= min(load.ends, self.scene.seconds):
            return
        self.clock.callLater(self.rng.expovariate(load.rate), self._next, load)
        tally = self.tallies[load.name]
        tally.asked += 1
        self._marks += 1
        router = self.routers[self.rng.randrange(len(self.routers))]
        asker = CallerIdentity(
            load.name, f"{load.name}/{self.rng.randrange(load.clients)}", load.limits
        )
        self._ask(load, router, asker, self._marks, None, 0)

    def _ask(self, load, router, asker, mark: int, promise: Promise | None, tries: int) -> None:
        scene, sent = self.scene, self.clock.seconds()
        tally = self.tallies[load.name]
        start = self.rng.randrange(scene.shards)
        shards = [(start + i) % scene.shards for i in range(load.shard_requests)]

        def done(outcome) -> None:
            now = self.clock.seconds()
            if outcome == "answered":
                tally.answered += 1
                tally.in_aim += (now - sent) * 1000 <= AIM
                tally.cost += load.shard_requests
                tally.latency.append((now - sent) * 1000)
            elif isinstance(outcome, PgError) and outcome.state == QUERY_REJECTED:
                wait = retry_after(outcome.detail)
                self._turned_away(load, router, asker, mark, promise, tries, wait)
                return
            else:
                tally.given_up += 1
            self._settle(promise, entered, tries)

        entered: list = []
        entry = router.ask(asker, 0, shards, scene.work_ms, load.remaining, done, mark=mark)
        entered.append(entry)
        if entry.is_ended and not entry.is_admitted:
            entered.clear()

    def _settle(self, promise: Promise | None, entered: list, tries: int) -> None:
        if promise is not None and entered and promise.took < 0:
            promise.took = entered[0].admitted_at - promise.at
            promise.first = tries == 1

    def _turned_away(self, load, router, asker, mark, promise, tries, wait) -> None:
        now = self.clock.seconds()
        self.tallies[load.name].refusals += 1
        if promise is None and self.scene.door:
            promise = Promise(now * 1000, load.name, wait)
            self.promises.append(promise)
        if load.manner == "never" or tries >= TRIES:
            if promise is not None and load.manner == "never":
                promise.shadow = True
                self.clock.callLater(wait / 1000, self._shadow, load, router, promise)
            self.tallies[load.name].given_up += 1
            return
        delay = wait if load.manner == "patient" else 0.02
        again = (load, router, asker, mark, promise, tries + 1)
        self.clock.callLater(delay / 1000, self._ask, *again)

    def _shadow(self, load: Load, router: SimRouter, promise: Promise) -> None:
        left = router.policy.expected_wait_on_return(
            self.clock.seconds() * 1000, load.name, load.shard_requests
        )
        promise.took, promise.first = promise.wait + left, left < load.remaining

    # --- figures ------------------------------------------------------------------------

    def honesty(self, since: float = 0.0, until: float = 1e9, manners=("patient", "never")) -> dict:
        """Errors of promises made in a span (seconds), as shares of the time really taken."""
        known = {load.name: load.manner for load in self.scene.loads}
        made = [
            p for p in self.promises
            if since <= p.at / 1000 < until and known[p.tenant] in manners
            and p.at + p.wait < (self.scene.seconds - 1.0) * 1000
        ]  # fmt: skip
        settled = [p for p in made if p.took >= 0]
        errors = sorted(abs(p.took - p.wait) / max(p.took, 1.0) for p in settled)
        if not errors:
            return {"promises": 0}
        return {
            "promises": len(made),
            "shadows": sum(p.shadow for p in made),
            "median wait ms": round(sorted(p.wait for p in made)[len(made) // 2]),
            "median error": round(errors[len(errors) // 2], 3),
            "nine in ten": round(errors[int(len(errors) * 0.9)], 3),
            "let in on return": round(sum(p.first for p in made) / len(made), 3),
        }

    def service(self, names: list[str]) -> float:
        """Share of these tenants' queries answered within the aim."""
        asked = sum(self.tallies[n].asked for n in names)
        return sum(self.tallies[n].in_aim for n in names) / max(asked, 1)

    def goodput(self) -> float:
        """Parts a second answered."""
        return sum(t.cost for t in self.tallies.values()) / self.scene.seconds

    def jain(self, names: list[str]) -> float:
        """Jain's index over service by weight, of tenants that asked for more than they got."""
        weights = {load.name: load.limits.weight for load in self.scene.loads}
        return jain([self.tallies[n].cost / weights[n] for n in names])


def jain(got: list[float]) -> float:
    """Jain's index: 1 where all got the same, 1/n where one got all."""
    total, squares = sum(got), sum(x * x for x in got)
    return total * total / (len(got) * squares) if squares else 0.0
