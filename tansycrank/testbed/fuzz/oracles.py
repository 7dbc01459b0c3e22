"""What usual clients and the process have to show beside each hostile input."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank.testbed.memory import anonymous_memory_mb

USUAL_CLIENTS = 3
PAUSE_SECONDS = 0.1  # of a usual client between an answer and its next request
MAX_WAIT_SECONDS = 1.0  # of a usual client
MAX_MEMORY_MB = 200.0
GIVE_UP_SECONDS = 15.0  # in which the sender of an input has to hear of it


@dataclass
class Watch:
    """What usual clients saw since the last `take`."""

    longest: float = 0.0  # s, of answered and open requests
    answered: int = 0
    problems: list[str] = field(default_factory=list)


class UsualClient:
    """Asks for the same again and again in a thread of its own.

    `connect` returns a function that asks once, and raises for a lost session or a wrong answer.
    """

    def __init__(self, connect: Callable[[], Callable[[], None]]) -> None:
        self._connect, self._ask = connect, connect()
        self._lock = threading.Lock()
        self._since: float | None = None
        self._watch = Watch()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._work, daemon=True)
        self._thread.start()

    def _work(self) -> None:
        while not self._is_over.wait(PAUSE_SECONDS):
            began = time.monotonic()
            self._since = began
            problem = self._ask_once()
            with self._lock:
                self._since = None
                self._watch.longest = max(self._watch.longest, time.monotonic() - began)
                self._watch.answered += not problem
                if problem:
                    self._watch.problems.append(problem)

    def _ask_once(self) -> str:
        try:
            self._ask()
        except Exception as error:
            self._reconnect()
            return f"{type(error).__name__}: {error}"
        return ""

    def _reconnect(self) -> None:
        try:
            self._ask = self._connect()
        except Exception:  # the process may have ended; the next request shows it
            return

    def take(self) -> Watch:
        """Return what was seen since the last call."""
        with self._lock:
            taken, self._watch = self._watch, Watch()
            if self._since is not None:
                taken.longest = max(taken.longest, time.monotonic() - self._since)
            return taken

    def close(self) -> None:
        """End the thread after its request."""
        self._is_over.set()
        self._thread.join(GIVE_UP_SECONDS)


@dataclass(frozen=True)
class Verdict:
    """How an input ended: seconds, MB and what was wrong."""

    told: str  # what its sender heard
    longest: float
    memory: float
    problems: tuple[str, ...]


def judge(
    process,
    usual: list[UsualClient],
    told: str,
    expected: Callable[[str], bool],
    ended_stand_ins: Sequence[str] = (),
) -> Verdict:
    """Judge what happened since the last input was judged.

    `ended_stand_ins` names the stand-ins that have ended, so that what follows from their end is
    not taken for a fault of the router.
    """
    problems = [f"{stand_in} has ended" for stand_in in ended_stand_ins]
    longest, memory = 0.0, 0.0
    if process.poll() is not None:
        problems.append(f"the process has ended, status {process.returncode}")
    else:
        memory = anonymous_memory_mb(process.pid)
        if memory > MAX_MEMORY_MB:
            problems.append(f"{memory:.0f} MB of {MAX_MEMORY_MB:.0f}")
    for client in usual:
        seen = client.take()
        longest = max(longest, seen.longest)
        problems += [f"a usual client: {problem}" for problem in seen.problems]
    if longest > MAX_WAIT_SECONDS:
        problems.append(f"a usual client waited {longest:.1f} s")
    if not expected(told):
        problems.append(f"its sender heard {told!r}")
    return Verdict(told, longest, memory, tuple(problems))
