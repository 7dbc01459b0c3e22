"""Gives connections with unparsed input their turns, within a time limit a reactor turn."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

TURN_SECONDS = 0.002  # for parsing in turns, and as much for small reads, in one reactor turn
# s for parsing in turns, if the rest of the reactor turn took as long: half of the time at most
MAX_TURN_SECONDS = 0.005
QUANTUM_SECONDS = 0.0005  # for one connection until the next has its turn
LONG_INPUT_SECONDS = 0.002  # from which on an input counts as long


class InputClass(Enum):
    """The kinds of input, each with a queue of its own."""

    KEPT = "of a connection that has had a request before"
    SMALL = "of a new connection, as small as usual requests"
    LARGE = "of a new connection, larger"
    LONG = "that has taken much time already"


# The queues are asked in these orders in turn, so that each has a quarter of the time at least.
ORDERS = (
    (InputClass.KEPT, InputClass.SMALL, InputClass.LARGE, InputClass.LONG),
    (InputClass.SMALL, InputClass.KEPT, InputClass.LARGE, InputClass.LONG),
    (InputClass.LARGE, InputClass.KEPT, InputClass.SMALL, InputClass.LONG),
    (InputClass.LONG, InputClass.KEPT, InputClass.SMALL, InputClass.LARGE),
)


class ScheduledInput(Protocol):
    """The unparsed input of a connection."""

    def parse(self, until: float) -> bool:
        """Parse until the time `until` (s); return whether some is left."""


class InputScheduler:
    """Serves the queues of all input classes, and the inputs of each, in turn.

    Usual requests, on kept connections or new ones, do not wait behind a crowd of large inputs.
    """

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        # with the seconds taken so far, the next one first
        self._queues: dict[InputClass, dict[ScheduledInput, float]] = {
            input_class: {} for input_class in InputClass
        }
        self._quanta = 0
        self.total_seconds = 0.0  # taken by all parsing
        self._immediate_seconds = 0.0  # taken by small reads in this reactor turn
        self._turn = None  # the timer of the next turn
        self._turn_requested_at = 0.0  # s

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    @property
    def has_time(self) -> bool:
        """Whether a small read may be parsed immediately in this reactor turn."""
        return self._immediate_seconds < TURN_SECONDS

    def record_immediate(self, seconds: float) -> None:
        """Count the time that an immediate parse has taken."""
        self._immediate_seconds += seconds
        self.total_seconds += seconds
        self._request_turn()

    def submit(self, input: ScheduledInput, input_class: InputClass) -> None:
        """Parse an input from the next reactor turn on, until none of it is left."""
        if not any(input in queue for queue in self._queues.values()):
            self._queues[input_class][input] = 0.0
            self._request_turn()

    def cancel(self, input: ScheduledInput) -> None:
        """Drop an input."""
        for queue in self._queues.values():
            queue.pop(input, None)

    def _request_turn(self) -> None:
        if self._turn is None:
            self._turn_requested_at = self._reactor.seconds()
            self._turn = self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._turn, self._immediate_seconds = None, 0.0
        started = self._reactor.seconds()
        rest_of_turn = started - self._turn_requested_at
        until = started + min(max(TURN_SECONDS, rest_of_turn), MAX_TURN_SECONDS)
        while len(self):
            self._run_quantum(until)
            if self._reactor.seconds() >= until:
                break
        if len(self):
            self._request_turn()

    def _run_quantum(self, turn_end: float) -> None:
        self._quanta += 1
        order = ORDERS[self._quanta % len(ORDERS)]
        queue = next(self._queues[one] for one in order if self._queues[one])
        input = next(iter(queue))
        taken = queue.pop(input)
        started = self._reactor.seconds()
        is_left = input.parse(min(started + QUANTUM_SECONDS, turn_end))
        spent = self._reactor.seconds() - started
        taken += spent
        self.total_seconds += spent
        if is_left:
            is_short = taken < LONG_INPUT_SECONDS
            target = queue if is_short else self._queues[InputClass.LONG]
            target[input] = taken
