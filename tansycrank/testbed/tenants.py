"""Open-loop tenants on real sockets: `python -m tansycrank.testbed.tenants SPEC`. Bounded in count
and time.

Queries come when they come (Poisson), whether or not earlier ones were answered; times count from
the moment a query was due, so that a slow router omits nothing. Prints counts, histograms and
promises as JSON.
"""

from __future__ import annotations

import heapq
import random
import selectors
import socket
import sys
import time
from collections import deque
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from tansycrank.testbed.load_generator import READY, dial

BACKLOG = 5000  # queries of a tenant that wait for a free connection; more are given up
TRIES = 6


class TenantSpec(msgspec.Struct):
    """One tenant: its user name, queries a second, connections, what it does when turned away."""

    user: str
    rate: float
    connections: int = 8
    manner: str = "patient"  # patient, pushy, never
    begins: float = 0.0


class TenantsSpec(msgspec.Struct):
    """What to play. `districts` are values of the column that finds the shard."""

    port: int
    tenants: tuple[TenantSpec, ...]
    districts: tuple[str, ...]
    seconds: float = 8.0
    aim_ms: float = 1000.0
    seed: int = 1


@dataclass(slots=True, eq=False)
class Query:
    """A query of a tenant, over all its tries."""

    sql: bytes
    due: float  # seconds, of this try
    tries: int = 0
    first: float = 0.0  # ms: when it was first turned away
    wait: float = -1.0  # what it was promised then


@dataclass(eq=False)
class Tenant:
    """What a tenant has asked and heard."""

    spec: TenantSpec
    idle: list[socket.socket] = field(default_factory=list)
    backlog: deque[Query] = field(default_factory=deque)
    asked: int = 0
    answered: int = 0
    in_aim: int = 0
    refused: int = 0
    given_up: int = 0
    errors: int = 0
    promises: list[tuple[float, float, float, bool]] = field(default_factory=list)
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 2))


class Player:
    """Plays a spec in one thread."""

    def __init__(self, spec: TenantsSpec) -> None:
        self.spec, self.rng = spec, random.Random(spec.seed)
        self.tenants = [Tenant(one) for one in spec.tenants]
        self.busy: dict[int, tuple[socket.socket, Tenant, Query | None, bytes]] = {}
        self.selector = selectors.DefaultSelector()
        self.events: list[tuple[float, int, Tenant, Query | None]] = []
        self._count = 0

    def _at(self, when: float, tenant: Tenant, query: Query | None) -> None:
        self._count += 1
        heapq.heappush(self.events, (when, self._count, tenant, query))

    def run(self) -> dict:
        """Play; what each tenant got."""
        for tenant in self.tenants:
            for _ in range(tenant.spec.connections):
                link = dial(self.spec.port, tenant.spec.user)
                link.setblocking(False)
                self.selector.register(link, selectors.EVENT_READ)
                tenant.idle.append(link)
        start = time.perf_counter()
        self.start, end = start, start + self.spec.seconds
        for tenant in self.tenants:
            first = start + tenant.spec.begins + self.rng.expovariate(tenant.spec.rate)
            self._at(first, tenant, None)
        while (now := time.perf_counter()) < end:
            while self.events and self.events[0][0] <= now:
                when, _, tenant, query = heapq.heappop(self.events)
                if query is None:
                    self._at(when + self.rng.expovariate(tenant.spec.rate), tenant, None)
                    query = self._new(tenant, when)
                self._ask(tenant, query)
            pause = min(self.events[0][0] - now if self.events else 0.05, 0.05, end - now)
            for key, _ in self.selector.select(max(pause, 0)):
                self._read(key.fd)
        return {t.spec.user: self._told(t) for t in self.tenants}

    def _new(self, tenant: Tenant, when: float) -> Query:
        tenant.asked += 1
        district = self.rng.choice(self.spec.districts)
        sql = f"SELECT id, fare FROM trips WHERE district = '{district}' AND id < {self._count} LIMIT 3"
        frame = b"Q" + (len(sql) + 5).to_bytes(4, "big") + sql.encode() + b"\0"
        return Query(frame, when)

    def _ask(self, tenant: Tenant, query: Query) -> None:
        if not tenant.idle:
            if len(tenant.backlog) < BACKLOG:
                tenant.backlog.append(query)
            else:
                tenant.given_up += 1
            return
        link = tenant.idle.pop()
        self.busy[link.fileno()] = link, tenant, query, b""
        link.send(query.sql)

    def _read(self, number: int) -> None:
        if number not in self.busy:
            return
        link, tenant, query, data = self.busy[number]
        more = link.recv(1 << 16)
        if not more:
            raise ConnectionError(f"the router closed a session of {tenant.spec.user}")
        data += more
        if data[-6:-1] != READY:
            self.busy[number] = link, tenant, query, data
            return
        del self.busy[number]
        tenant.idle.append(link)
        self._heard(tenant, query, data)
        if tenant.backlog:
            self._ask(tenant, tenant.backlog.popleft())

    def _heard(self, tenant: Tenant, query: Query, data: bytes) -> None:
        now = time.perf_counter()
        if data[:1] != b"E":
            took = (now - query.due) * 1000
            tenant.answered += 1
            tenant.in_aim += took <= self.spec.aim_ms
            tenant.histogram.record_value(max(int(took * 1000), 1))
            if query.wait >= 0:
                at = (now - self.start) * 1000
                tenant.promises.append(
                    (query.first, query.wait, at - query.first, query.tries == 1)
                )
            return
        _, mark, rest = data.partition(b"retry_after_ms=")
        if not mark:
            tenant.errors += 1
            return
        wait = float(rest.split(b" ", 1)[0].split(b"\0", 1)[0])
        tenant.refused += 1
        if query.wait < 0:
            query.first, query.wait = (now - self.start) * 1000, wait
        query.tries += 1
        if tenant.spec.manner == "never" or query.tries > TRIES:
            tenant.given_up += 1
            if query.tries > TRIES:
                tenant.promises.append((query.first, query.wait, -1.0, False))
            return
        query.due = now + (wait if tenant.spec.manner == "patient" else 20.0) / 1000
        self._at(query.due, tenant, query)

    @staticmethod
    def _told(tenant: Tenant) -> dict:
        h = tenant.histogram
        return {
            "asked": tenant.asked,
            "answered": tenant.answered,
            "in_aim": tenant.in_aim,
            "refused": tenant.refused,
            "given_up": tenant.given_up,
            "errors": tenant.errors,
            "p50_ms": h.get_value_at_percentile(50) / 1000,
            "p99_ms": h.get_value_at_percentile(99) / 1000,
            "promises": tenant.promises,
        }


def main() -> None:
    """Play a spec and print what came of it."""
    spec = msgspec.json.decode(sys.argv[1], type=TenantsSpec)
    print(msgspec.json.encode(Player(spec).run()).decode())


if __name__ == "__main__":
    main()
