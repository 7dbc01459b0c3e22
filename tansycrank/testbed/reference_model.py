"""How a stand-in node behaves around its engine: cores, queue, warm-up, falling over, faults. No
I/O.

Work is milliseconds of one warm core. A cold node does only part of its capacity and falls over
when it is sent more than `multiple` times what it can do at that moment, over a window.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Nature:
    """A node's figures."""

    cores: int = 2
    work_ms: float = 4.0  # median work of a part
    spread: float = 0.3  # sigma of its logarithm
    queue: int = 400
    cold_from: float = 0.2
    cold_ms: float = 8000.0
    multiple: float = 2.0
    window_ms: float = 1500.0
    cancel_stops: bool = True
    one_way_ms: float = 0.0  # network delay to the router, one way
    cached: bool = False  # answers of repeated reads are kept, so that the engine costs nothing


@dataclass(slots=True)
class Faults:
    """What ails the node now."""

    slow: float = 1.0
    hang: bool = False  # takes statements, answers none
    vanish: bool = False  # reads nothing, not even new connections' first bytes
    errors: float = 0.0  # share of statements that fail at once
    reset_rows: float = 0.0  # share of answers cut after half of their rows
    lose: float = 0.0  # share of answers that never leave, though the statement ran
    reset_before: float = 0.0  # share of statements whose connection breaks before they run
    reset_after: float = (
        0.0  # share of statements that run and whose connection breaks before any answer
    )
    deaf_to: str = ""  # statements of the router with this application name get no answer
    pause_until: float = 0.0


@dataclass(slots=True, eq=False)
class Job:
    """A batch of a connection: it waits, runs, ends."""

    work: float
    finish: object  # called when its service time is over
    started: float = -1.0
    dropped: bool = False
    timer: object = None


@dataclass
class ServiceModel:
    """Queue and cores. The node's plumbing asks what begins, and how long it takes."""

    nature: Nature
    seed: int
    started_at: float = 0.0  # ms; 0 for long ago
    faults: Faults = field(default_factory=Faults)
    waiting: deque = field(default_factory=deque)
    running: set = field(default_factory=set)
    sent: deque = field(default_factory=deque)
    sent_sum: float = 0.0
    peak: float = 0.0  # the most of its limit that it was sent while cold
    fallen: bool = False

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def capacity(self, now: float) -> float:
        """Share of its warm capacity."""
        if not self.started_at:
            return 1.0
        age = max(now - self.started_at, 0.0) / self.nature.cold_ms
        return min(self.nature.cold_from + (1 - self.nature.cold_from) * age, 1.0)

    def draw_work(self, weight: float = 1.0) -> float:
        """The work of one statement."""
        if not self.nature.work_ms:
            return 0.0
        return self.nature.work_ms * weight * self.rng.lognormvariate(0.0, self.nature.spread)

    def arrived(self, now: float, work: float) -> None:
        """Count what a cold node is sent; it falls over beyond its limit."""
        capacity = self.capacity(now)
        if capacity >= 1.0:
            self.sent.clear()
            self.sent_sum = 0.0
            return
        self.sent.append((now, work))
        self.sent_sum += work
        while self.sent[0][0] <= now - self.nature.window_ms:
            self.sent_sum -= self.sent.popleft()[1]
        limit = self.nature.multiple * capacity * self.nature.cores * self.nature.window_ms
        self.peak = max(self.peak, self.sent_sum / limit)
        if self.sent_sum > limit:
            self.fallen = True

    def next(self, now: float) -> tuple[Job, float] | None:
        """The next job to begin and its service time in ms, if a core is free."""
        while self.waiting and self.waiting[0].dropped:
            self.waiting.popleft()
        if not self.waiting or len(self.running) >= self.nature.cores or self.faults.hang:
            return None
        job = self.waiting.popleft()
        job.started = now
        self.running.add(job)
        took = job.work * self.faults.slow / self.capacity(now)
        return job, took + max(self.faults.pause_until - now, 0.0)

    def happens(self, share: float) -> bool:
        """Whether a fault of this share strikes now."""
        return share > 0 and self.rng.random() < share
