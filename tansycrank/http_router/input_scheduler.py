"""Gives connections with unparsed input their turns, within a time limit a reactor turn."""

from __future__ import annotations

from typing import Protocol

TURN_SECONDS = 0.002  # for parsing in turns, and as much for small reads, in one reactor turn
QUANTUM_SECONDS = 0.0005  # for one connection until the next has its turn
LONG_INPUT_SECONDS = 0.002  # from which on an input counts as long


class ScheduledInput(Protocol):
    """The unparsed input of a connection."""

    def parse(self, until: float) -> bool:
        """Parse until the time `until` (s); return whether some is left."""


class InputScheduler:
    """Three queues, each served in turn: of kept connections, of new ones, and of long inputs.

    Inputs of kept connections, which have had a request before, go first half of the time: a crowd
    of new connections does not delay them. Inputs that have taken long go a quarter of the time.
    """

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        # with the seconds taken so far, the next one first
        self._kept: dict[ScheduledInput, float] = {}
        self._new: dict[ScheduledInput, float] = {}
        self._long: dict[ScheduledInput, float] = {}
        self._orders = (
            (self._kept, self._new, self._long),
            (self._new, self._kept, self._long),
            (self._kept, self._new, self._long),
            (self._long, self._kept, self._new),
        )
        self._quanta = 0
        self.total_seconds = 0.0  # taken by all parsing
        self._immediate_seconds = 0.0  # taken by small reads in this reactor turn
        self._turn = None  # the timer of the next turn

    def __len__(self) -> int:
        return len(self._kept) + len(self._new) + len(self._long)

    @property
    def has_time(self) -> bool:
        """Whether a small read may be parsed immediately in this reactor turn."""
        return self._immediate_seconds < TURN_SECONDS

    def record_immediate(self, seconds: float) -> None:
        """Count the time that an immediate parse has taken."""
        self._immediate_seconds += seconds
        self.total_seconds += seconds
        self._start_turn()

    def submit(self, input: ScheduledInput, is_kept: bool) -> None:
        """Parse an input from the next reactor turn on, until none of it is left."""
        if not any(input in queue for queue in self._orders[0]):
            queue = self._kept if is_kept else self._new
            queue[input] = 0.0
            self._start_turn()

    def cancel(self, input: ScheduledInput) -> None:
        """Drop an input."""
        for queue in self._orders[0]:
            queue.pop(input, None)

    def _start_turn(self) -> None:
        if self._turn is None:
            self._turn = self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._turn, self._immediate_seconds = None, 0.0
        until = self._reactor.seconds() + TURN_SECONDS
        while len(self):
            self._run_quantum(until)
            if self._reactor.seconds() >= until:
                break
        if len(self):
            self._start_turn()

    def _run_quantum(self, turn_end: float) -> None:
        self._quanta += 1
        order = self._orders[self._quanta % len(self._orders)]
        queue = next(queue for queue in order if queue)
        input = next(iter(queue))
        taken = queue.pop(input)
        started = self._reactor.seconds()
        is_left = input.parse(min(started + QUANTUM_SECONDS, turn_end))
        spent = self._reactor.seconds() - started
        taken += spent
        self.total_seconds += spent
        if is_left:
            target = queue if taken < LONG_INPUT_SECONDS else self._long
            target[input] = taken
