"""Whole fleets of the decision module in simulated time: many routers, thin traffic, arithmetic for
nodes.

Only `RoutingPolicy` is the product's own; sockets, clients' repeats and crossing times are left
out. A run depends on its seed alone. Times are ms.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from tansycrank import RoutingPolicy, routing

TRIP = 1.0  # ms to a node and back


@dataclass(slots=True, eq=False)
class Node:
    """A data node: `cores` parts run at a time, each for `work` over its warmth; the others wait in
    line.
    """

    id: int
    cell: int
    cores: int
    started_at: float = 0.0
    free: int = 0
    line: deque = field(default_factory=deque)
    asked: list[float] = field(default_factory=list)  # when each part came


@dataclass(slots=True, eq=False)
class Asked:
    """One query: who has it, when it came and how it ended."""

    router: int
    query_class: int
    born: float
    ended: list[tuple[float, routing.Action]] = field(default_factory=list)


class Fleet:
    """Routers 0 to `settings.routers` - 1 and one node a cell; node numbers are cells plus one."""

    def __init__(self, settings: routing.Settings, seed: int, work: float, cores: int = 2) -> None:
        self.settings, self.work, self.now = settings, work, 0.0
        self.rng = random.Random(seed)
        self.nodes = {
            cell + 1: Node(cell + 1, cell, cores, free=cores) for cell in range(settings.cells)
        }
        self.routers: dict[int, RoutingPolicy] = {}
        self.asked: list[Asked] = []
        self.watches: list[tuple[float, int]] = []  # when each router asked discovery for its watch
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._order = self._ids = 0
        self._open: dict[tuple[int, int], Asked] = {}
        self._out: dict[tuple[int, int, int], tuple[int, float]] = {}
        self._sent: dict[tuple[int, int], int] = defaultdict(int)  # attempts, by router and part

    def at(self, time: float, what: Callable, *args: Any) -> None:
        """Call at this time."""
        self._order += 1
        heapq.heappush(self._heap, (time, self._order, what, args))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self._heap)
            what(*args)
        self.now = until

    # --- routers ----------------------------------------------------------------------

    def start(self, numbers: Iterable[int]) -> None:
        """Start routers, or start them again from nothing: what they held is gone with them."""
        for number in numbers:
            for key in [key for key in self._open if key[0] == number]:
                del self._open[key]
            for key in [key for key in self._out if key[0] == number]:
                del self._out[key]
            self.routers[number] = RoutingPolicy(self.settings, self.rng.getrandbits(32))
            self.handle(
                number,
                routing.EndpointListUpdate(
                    routing.EndpointListKind.CACHED, tuple(self.listed(self.nodes))
                ),
            )

    def listed(self, ids: Iterable[int]) -> list[routing.EndpointEntry]:
        """Nodes as discovery names them."""
        zones = self.settings.zones
        return [
            routing.EndpointEntry(
                node.id,
                node.cell,
                node.cell % zones,
                routing.EndpointStatus.IN_SERVICE,
                node.started_at,
            )
            for node in (self.nodes[id] for id in ids)
        ]

    def tell(self, ids: Iterable[int]) -> None:
        """Discovery's word of these nodes reaches all routers."""
        event = routing.EndpointListUpdate(routing.EndpointListKind.DELTA, tuple(self.listed(ids)))
        for number in self.routers:
            self.handle(number, event)

    def handle(self, number: int, *events: routing.Event) -> None:
        """One step of a router; its actions are carried out."""
        for action in self.routers[number].step(self.now, events):
            if isinstance(action, routing.Send):
                self._send(number, action)
            elif isinstance(action, routing.Cancel):
                self._end(number, action.shard_request, action.attempt, routing.Outcome.CANCELLED)
            elif isinstance(action, routing.SetTimer):
                self.at(self.now + action.after, self._wake, number, self.routers[number])
            elif isinstance(action, routing.WatchEndpoints):
                self.watches.append((self.now, number))
            elif isinstance(action, routing.Answer | routing.Reject | routing.Fail):
                self._open.pop((number, action.query)).ended.append((self.now, action))

    def _wake(self, number: int, router: RoutingPolicy) -> None:
        if self.routers[number] is router:
            self.handle(number, routing.TimerExpired(1))

    # --- queries ----------------------------------------------------------------------

    def ask(self, number: int, query_class: int, shard_requests: int, remaining: float) -> None:
        """A client sends a query of so many shards in a row."""
        self._ids += 1
        query, first = self._ids, self.rng.randrange(self.settings.shards)
        events: list[routing.Event] = [
            routing.QueryArrived(query, query, query_class, remaining, shard_requests)
        ]
        for index in range(shard_requests):
            self._ids += 1
            events.append(
                routing.ShardRequestArrived(
                    self._ids, query, (first + index) % self.settings.shards, 1 / shard_requests
                )
            )
        self._open[number, query] = asked = Asked(number, query_class, self.now)
        self.asked.append(asked)
        self.handle(number, *events)

    def traffic(self, numbers: Iterable[int], until: float, every: float, wide: int) -> None:
        """Each of these routers gets a query every so many ms, by chance: a tenth of `wide` parts
        (class 0), six tenths of half as many (class 1), the rest of one (class 2).
        """
        for number in numbers:
            time = self.now + self.rng.expovariate(1 / every)
            while time < until:
                kind = self.rng.choices((0, 1, 2), (1, 6, 3))[0]
                shard_requests = (wide, wide // 2, 1)[kind]
                give_up = self.settings.classes[kind].deadline
                self.at(time, self.ask, number, kind, shard_requests, give_up)
                time += self.rng.expovariate(1 / every)

    def served(self, query_class: int, since: float = 0.0) -> float:
        """The share of a class's queries, of those asked since, that were answered by their aim."""
        aim = self.settings.classes[query_class].latency_objective
        found = [one for one in self.asked if one.query_class == query_class and one.born >= since]
        good = [
            one
            for one in found
            if one.ended
            and isinstance(one.ended[0][1], routing.Answer)
            and one.ended[0][0] <= one.born + aim
        ]
        return len(good) / len(found)

    # --- nodes ------------------------------------------------------------------------

    def restart(self, ids: Iterable[int]) -> None:
        """Nodes come up cold, with nothing in line. Nobody is told yet."""
        for id in ids:
            node = self.nodes[id]
            node.started_at, node.free, node.asked = self.now, node.cores, []
            node.line.clear()
            for key in [key for key, (endpoint, _) in self._out.items() if endpoint == id]:
                self.at(self.now, self._end, *key, routing.Outcome.CONNECTION_LOST)

    def warmth(self, node: Node, at: float) -> float:
        """The share of its capacity that a node has."""
        if not node.started_at:
            return 1.0
        cfg = self.settings
        return min(
            cfg.slow_start_initial_share
            + (1 - cfg.slow_start_initial_share)
            * max(at - node.started_at, 0.0)
            / cfg.slow_start_duration,
            1.0,
        )

    def load_of_rule_4(self, node: Node, end: float) -> float:
        """Parts sent in the window that ends then, as a share of what rule 4 lets all routers send
        in it.
        """
        window = self.settings.slow_start_window
        sent = sum(end - window < time <= end for time in node.asked)
        warmth = self.warmth(node, max(end - window / 2, node.started_at))
        return sent / (
            self.settings.slow_start_overload_factor * warmth * node.cores * window / self.work
        )

    def _send(self, number: int, action: routing.Send) -> None:
        key = number, action.shard_request, self._sent[number, action.shard_request]
        self._sent[number, action.shard_request] += 1
        self._out[key] = action.endpoint, self.now
        node = self.nodes[action.endpoint]
        node.asked.append(self.now)
        self.at(self.now + action.timeout, self._end, *key, routing.Outcome.TIMED_OUT)
        node.line.append(key)
        self._begin(node)

    def _begin(self, node: Node) -> None:
        while node.free and node.line:
            key = node.line.popleft()
            if key in self._out:
                node.free -= 1
                work = self.work * self.rng.uniform(0.7, 1.3) / self.warmth(node, self.now)
                self.at(self.now + work, self._done, node, node.started_at, key)

    def _done(self, node: Node, started_at: float, key: tuple[int, int, int]) -> None:
        if node.started_at == started_at:
            node.free += 1
            self.at(self.now + TRIP, self._end, *key, routing.Outcome.SUCCEEDED)
            self._begin(node)

    def _end(self, number: int, shard_request: int, attempt: int, outcome: routing.Outcome) -> None:
        if found := self._out.pop((number, shard_request, attempt), None):
            endpoint, sent = found
            self.handle(
                number,
                routing.AttemptEnded(shard_request, attempt, endpoint, outcome, self.now - sent),
            )
