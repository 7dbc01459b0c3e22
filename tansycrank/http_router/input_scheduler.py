"""Gives connections with much unparsed input their turns, within a time limit a reactor turn."""

from __future__ import annotations

from typing import Protocol

TURN_SECONDS = 0.002  # for parsing in one reactor turn, beside reads of few bytes
QUANTUM_SECONDS = 0.0005  # for one connection until the next has its turn
LONG_INPUT_SECONDS = 0.002  # from which on an input counts as long
LONG_INPUT_SHARE = 4  # one of so many quanta is for long inputs while short ones wait


class ScheduledInput(Protocol):
    """The unparsed input of a connection."""

    def parse(self, until: float) -> bool:
        """Parse until the time `until` (s); return whether some is left."""


class InputScheduler:
    """Two queues, served in turn: inputs that have taken little time so far go first."""

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._short: dict[ScheduledInput, float] = {}  # with seconds taken so far, next one first
        self._long: dict[ScheduledInput, float] = {}
        self._quanta = 0
        self._turn = None  # the timer of the next turn

    def __len__(self) -> int:
        return len(self._short) + len(self._long)

    def submit(self, input: ScheduledInput) -> None:
        """Parse an input from the next reactor turn on, until none of it is left."""
        if input not in self._short and input not in self._long:
            self._short[input] = 0.0
            self._start_turn()

    def cancel(self, input: ScheduledInput) -> None:
        """Drop an input."""
        self._short.pop(input, None)
        self._long.pop(input, None)

    def _start_turn(self) -> None:
        if self._turn is None and len(self):
            self._turn = self._reactor.callLater(0, self._run)

    def _run(self) -> None:
        self._turn = None
        until = self._reactor.seconds() + TURN_SECONDS
        while len(self):
            self._run_quantum(until)
            if self._reactor.seconds() >= until:
                break
        self._start_turn()

    def _run_quantum(self, turn_end: float) -> None:
        queue = self._next_queue()
        input = next(iter(queue))
        taken = queue.pop(input)
        started = self._reactor.seconds()
        if input.parse(min(started + QUANTUM_SECONDS, turn_end)):
            taken += self._reactor.seconds() - started
            target = self._short if taken < LONG_INPUT_SECONDS else self._long
            target[input] = taken

    def _next_queue(self) -> dict[ScheduledInput, float]:
        self._quanta += 1
        is_turn_of_long = self._quanta % LONG_INPUT_SHARE == 0
        if self._long and (is_turn_of_long or not self._short):
            return self._long
        return self._short
