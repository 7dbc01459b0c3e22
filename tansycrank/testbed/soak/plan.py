"""A site and its faults, drawn from a seed. The same seed gives the same plan."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from tansycrank.testbed.interposer import CallFailure
from tansycrank.testbed.neighbours.hostile import KINDS

HOSTILE_KINDS = tuple(KINDS)  # a fault's value is an index of these

SHARDS = 6  # as many as the fewest data nodes, so that each shard has its three replicas
ZONES = ("a", "b", "c")
EFFECTS = {"look": "read_like", "book": "non_idempotent", "move": "idempotency_key"}
HOUR = 3600.0
STEPS = (-HOUR, HOUR, -20.0, 20.0, -3.0, 3.0)  # s by which a wall clock is stepped
QUIET_START, QUIET_END = 1.5, 3.0  # s without faults at the start and at the end of a run


class FaultKind(Enum):
    """What may happen to the parties of a soak."""

    WALL_CLOCK = "wall clock of a router stepped"
    ROUTER_PAUSE = "router held up"
    ROUTER_RESTART = "router restarted (SIGTERM)"
    ROUTER_CRASH = "router killed"
    ROUTER_CALLS = "system calls of a router fail"
    RECONFIGURE = "new configurations (SIGHUP)"
    NODE_HANG = "data node hangs"
    NODE_CRASH = "data node dies and comes back cold"
    NODE_DRAIN = "data node drains and leaves"
    NODE_RESET = "connections of a data node reset"
    NODE_SLOW = "data node slow"
    NODE_ERRORS = "data node answers errors"
    NODE_BUSY = "data node turns away"
    NODE_SPOILT = "data node answers noise"
    WATCH_RESET = "open watches reset"
    DISCOVERY_HANG = "discovery silent"
    DISCOVERY_CRASH = "discovery killed and restarted"
    DISCOVERY_CROWDED = "discovery turns calls away"
    BURST = "clients ask without a pause"
    ROUTER_STOP = "router stopped for long (SIGSTOP)"
    ROUTER_SIGNALS = "signals in series"
    CROWD = "idle clients fill the descriptors of a router"
    HOSTILE = "hostile clients of one kind beside the usual ones"


class SignalSeries(Enum):
    """Signals that follow each other at one router."""

    TERMINATE_WHILE_RELOADING = 0
    RELOAD_WHILE_LEAVING = 1
    TERMINATE_TWICE = 2
    RELOAD_OFTEN = 3
    TERMINATE_BEFORE_READY = 4


WEIGHTS = {
    FaultKind.WALL_CLOCK: 4,
    FaultKind.ROUTER_PAUSE: 2,
    FaultKind.ROUTER_RESTART: 2,
    FaultKind.ROUTER_CRASH: 1,
    FaultKind.ROUTER_CALLS: 4,
    FaultKind.RECONFIGURE: 2,
    FaultKind.NODE_HANG: 2,
    FaultKind.NODE_CRASH: 2,
    FaultKind.NODE_DRAIN: 3,
    FaultKind.NODE_RESET: 2,
    FaultKind.NODE_SLOW: 1,
    FaultKind.NODE_ERRORS: 1,
    FaultKind.NODE_BUSY: 1,
    FaultKind.NODE_SPOILT: 1,
    FaultKind.WATCH_RESET: 2,
    FaultKind.DISCOVERY_HANG: 1,
    FaultKind.DISCOVERY_CRASH: 1,
    FaultKind.DISCOVERY_CROWDED: 1,
    FaultKind.BURST: 2,
}
DURATIONS = {  # s; others have no duration
    FaultKind.ROUTER_PAUSE: (0.02, 0.15),
    FaultKind.ROUTER_CALLS: (0.3, 2.0),
    FaultKind.NODE_HANG: (0.3, 3.0),
    FaultKind.NODE_CRASH: (0.5, 2.0),
    FaultKind.NODE_DRAIN: (1.0, 4.0),
    FaultKind.NODE_SLOW: (1.0, 4.0),
    FaultKind.NODE_ERRORS: (1.0, 3.0),
    FaultKind.NODE_BUSY: (1.0, 3.0),
    FaultKind.NODE_SPOILT: (1.0, 3.0),
    FaultKind.DISCOVERY_HANG: (1.0, 5.0),
    FaultKind.DISCOVERY_CRASH: (0.2, 2.0),
    FaultKind.DISCOVERY_CROWDED: (0.5, 3.0),
    FaultKind.BURST: (0.5, 2.0),
    FaultKind.ROUTER_STOP: (0.2, 1.5),
    FaultKind.ROUTER_SIGNALS: (0.0, 0.3),
    FaultKind.CROWD: (1.0, 3.0),
    FaultKind.HOSTILE: (1.5, 4.0),
}
# Drawn by a generator of their own, beside the others: how often in `seconds` of a run.
FURTHER_KINDS = {FaultKind.ROUTER_STOP: 0.25, FaultKind.ROUTER_SIGNALS: 0.12, FaultKind.CROWD: 0.04}
HOSTILE_RATE = 0.25  # a second, at routers with many descriptors
MEMORY_LIMITS = (64, 128)  # MB of a router
DESCRIPTOR_LIMITS = (256, 1024)  # of a router
MANY_DESCRIPTORS = 1024
CORE_SHARES = (1.0, 0.7)  # of a router that is beside hostile clients
CALL_FAILURE_SHARES = (0.01, 0.5)  # of the calls of a kind, while it fails
MOST_CALL_KINDS = 4  # that fail at once


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when (s from the start), at whom (an index, as far as its kind has a target), how
    long.
    """

    at: float
    kind: FaultKind
    target: int = 0
    duration: float = 0.0
    value: float = 0.0
    calls: tuple[CallFailure, ...] = ()  # which kinds of calls fail


@dataclass(frozen=True, slots=True)
class RouterLimits:
    """Limits of each router; `cores` below 1 is enforced beside hostile clients alone."""

    memory_mb: int = 128
    sockets: int = 256
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole run."""

    seed: int
    seconds: float
    routers: int
    nodes: int
    client_processes: int
    clients: int  # of each process
    wrong_from_the_start: tuple[float, ...]  # s by router: how wrong its wall clock is at its start
    give_up: float  # ms: the longest deadline
    dedup_window: float  # ms
    drain_grace: float  # ms
    pushed: bool  # whether lists are pushed; else asked for
    faults: tuple[Fault, ...] = field(default=())
    limits: RouterLimits = RouterLimits()

    @property
    def processes(self) -> int:
        """Number of processes that run at once."""
        return self.routers + self.nodes + self.client_processes + 1

    @property
    def settings(self) -> dict:
        """The `settings` object of a router's configuration."""
        count = len(EFFECTS)
        return {
            "caps": {
                "attemptsCap": 3,
                "cancel": True,
                "maxRetryAfter": 500.0,
                "mayProbe": False,
                "openCap": 200,
                "peers": False,
                "retryAfter": True,
                "secondCopies": True,
                "streamsPerConn": 8,
                "connectTimeout": 250.0,
                "connIdle": 4_000.0,
            },
            "clients": {"marksRetry": True},
            "discovery": "push" if self.pushed else "ask",
            "workload": "fanout",
            "familyInfo": {
                "bundleMax": 4,
                "followUp": [0] * count,
                "inARow": 3,
                "minShare": [1.0] * count,
                "perCallWork": 0.0,
                "positions": SHARDS,
                "shortWorth": [0.0] * count,
                "slabs": SHARDS,
                "wholeAt": [1.0] * count,
            },
            "localities": list(ZONES),
            "me": 0,
            "replicasOfMe": self.routers,
            "step": 5.0,
            "zone": 0,
            "prices": {"crossZone": 0.0, "lateFail": 0.0, "probe": 0.0, "waste": 0.0},
            "rules": {
                "askEvery": 8_000.0,
                "cold": 4_000.0,
                "coldFrom": 0.3,
                "fall": 1_000.0,
                "graceToAnswer": 20.0,
                "overloadFactor": 2.0,
                "stopSendingWithin": self.drain_grace,
                "extraFloor": 10.0,
                "repeatRatio": 0.2,
                "countedOver": 2_000.0,
            },
            "services": [
                {
                    "aim": self.give_up / 2,
                    "effect": effect,
                    "giveUp": self.give_up,
                    "lateWorth": 0.5,
                    "name": name,
                    "points": 1.0,
                    "window": self.dedup_window,
                }
                for name, effect in EFFECTS.items()
            ],
        }


def draw(seed: int, seconds: float = 20.0, most_processes: int = 40) -> Plan:
    """The plan of a seed: 10 to `most_processes` processes, faults that overlap in time."""
    rng = random.Random(seed)
    routers = rng.randint(2, 6)
    client_processes = rng.randint(1, 3)
    room = most_processes - routers - client_processes - 1
    nodes = rng.randint(6, max(min(24, room), 6))
    wrong = tuple(rng.choice((0.0, 0.0, *STEPS)) for _ in range(routers))
    faults = []
    at = QUIET_START
    while at < seconds - QUIET_END:
        faults.append(_fault(rng, at, routers, nodes))
        at += rng.expovariate(1 / rng.choice((0.2, 0.5, 1.0)))
    limits = _limits(seed)
    further = _further_faults(seed, seconds, routers) + _hostile_faults(
        seed, seconds, routers, limits
    )
    return Plan(
        seed,
        seconds,
        routers,
        nodes,
        client_processes,
        clients=rng.randint(4, 12),
        wrong_from_the_start=wrong,
        give_up=rng.choice((800.0, 1_500.0, 2_000.0)),
        dedup_window=rng.choice((150.0, 400.0, 1_000.0)),
        drain_grace=rng.choice((250.0, 500.0)),
        pushed=rng.random() < 0.5,
        faults=tuple(sorted([*faults, *further], key=_starts_at)),
        limits=limits,
    )


def _limits(seed: int) -> RouterLimits:
    rng = random.Random(f"limits {seed}")
    return RouterLimits(
        rng.choice(MEMORY_LIMITS), rng.choice(DESCRIPTOR_LIMITS), rng.choice(CORE_SHARES)
    )


def _hostile_faults(seed: int, seconds: float, routers: int, limits: RouterLimits) -> list[Fault]:
    """Hostile clients of a seed, of which a crowd alone has more than few descriptors allow."""
    if limits.sockets < MANY_DESCRIPTORS:
        return []
    rng = random.Random(f"hostile {seed}")
    faults = []
    at = QUIET_START + rng.expovariate(HOSTILE_RATE)
    while at < seconds - QUIET_END:
        duration = rng.uniform(*DURATIONS[FaultKind.HOSTILE])
        kind = float(rng.randrange(len(HOSTILE_KINDS)))
        faults.append(Fault(at, FaultKind.HOSTILE, rng.randrange(routers), duration, kind))
        at += duration + rng.expovariate(HOSTILE_RATE)
    return faults


def _starts_at(fault: Fault) -> float:
    return fault.at


def _further_faults(seed: int, seconds: float, routers: int) -> list[Fault]:
    """Stops, series of signals and crowds of a seed."""
    rng = random.Random(f"further {seed}")
    faults = []
    for kind, rate in FURTHER_KINDS.items():
        at = QUIET_START + rng.expovariate(rate)
        while at < seconds - QUIET_END:
            duration = rng.uniform(*DURATIONS[kind])
            value = float(rng.choice(list(SignalSeries)).value)
            faults.append(Fault(at, kind, rng.randrange(routers), duration, value))
            at += duration + rng.expovariate(rate)
    return faults


def _fault(rng: random.Random, at: float, routers: int, nodes: int) -> Fault:
    kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    is_router = kind in (
        FaultKind.WALL_CLOCK,
        FaultKind.ROUTER_PAUSE,
        FaultKind.ROUTER_RESTART,
        FaultKind.ROUTER_CRASH,
        FaultKind.ROUTER_CALLS,
    )
    target = rng.randrange(routers if is_router else nodes)
    duration = rng.uniform(*DURATIONS[kind]) if kind in DURATIONS else 0.0
    value = 0.0
    if kind is FaultKind.WALL_CLOCK:
        value = rng.choice(STEPS)
    elif kind is FaultKind.RECONFIGURE:
        value = float(rng.randint(1, 4))
    elif kind is FaultKind.NODE_SLOW:
        value = rng.uniform(3.0, 20.0)
    elif kind in (FaultKind.NODE_ERRORS, FaultKind.NODE_BUSY, FaultKind.NODE_SPOILT):
        value = rng.uniform(0.05, 0.5)
    elif kind is FaultKind.ROUTER_CALLS:
        value = rng.uniform(*CALL_FAILURE_SHARES)
        calls = rng.sample(list(CallFailure), rng.randint(1, MOST_CALL_KINDS))
        return Fault(at, kind, target, duration, value, tuple(calls))
    return Fault(at, kind, target, duration, value)
