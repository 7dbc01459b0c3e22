"""The clocks of a process.

Every span of time (deadlines, time-outs, windows, back-offs, ages) is measured on the system's
monotonic clock. Twisted's stock reactor counts on the wall clock, which administrators and time
services step: after a step back none of its timers comes due until the wall clock has caught up.
"""

from __future__ import annotations

import sys
import time

from twisted.internet import epollreactor
from twisted.internet.main import installReactor

from tansycrank.listening import Port

INSTALLED = "twisted.internet.reactor"  # where Twisted keeps the process's reactor
STOOD_STILL = 0.05  # s by which a poll that ends late shows that this process stood still
POLLS_AFTER = (
    3  # that bring what came meanwhile: an interrupted one, one that accepts, one that reads
)
STEP_TOLERANCE = 0.2  # s: a smaller change against the monotonic clock is slewing, not a step


class MonotonicReactor(epollreactor.EPollReactor):
    """The epoll reactor, with its own time and all its delayed calls on the monotonic clock."""

    seconds = staticmethod(time.monotonic)
    _due = float("inf")  # s: when the poll that goes on was to end at the latest
    _stood_since = float("inf")  # s: the same of one that ended long after that
    _polls_after = 0  # polls that may still bring what came while the process stood still

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Poll all sockets, for `timeout` seconds at most, and handle what came."""
        now = self.seconds()
        if now - self._due > STOOD_STILL:
            # A poll that a signal interrupts brings nothing; what one accepts is read in the next.
            self._stood_since, self._polls_after = self._due, POLLS_AFTER
        elif self._polls_after:
            self._polls_after -= 1
        self._due = float("inf") if timeout is None else now + timeout
        super().doPoll(timeout)

    doIteration = doPoll  # noqa: N815

    def overslept(self) -> float:
        """Seconds for which what is read now may have lain unread: this process stood still, or was
        busy.

        It may be more, by the time that was left to the first timer when the process began to stand
        still.
        """
        since = min(self._due, self._stood_since) if self._polls_after else self._due
        return max(self.seconds() - since, 0.0)

    def listenTCP(self, port, factory, backlog=50, interface="") -> Port:
        """Listen, on a port that loses nobody while descriptors are missing. Raises
        CannotListenError.
        """
        made = Port(port, factory, backlog, interface, self)
        made.startListening()
        return made


def install_reactor() -> MonotonicReactor:
    """Install the process's reactor, once, and return it. Raises RuntimeError if another stands
    already.
    """
    if INSTALLED not in sys.modules:
        installReactor(MonotonicReactor())
    reactor = sys.modules[INSTALLED]
    if not isinstance(reactor, MonotonicReactor):
        raise RuntimeError(
            f"{type(reactor).__name__} is installed already; its timers follow the wall clock"
        )
    return reactor


def monotonic_ms() -> float:
    """Milliseconds of the monotonic clock, which all processes of one machine share."""
    return time.monotonic() * 1000


def unix_ms() -> float:
    """Milliseconds since 1970 by the wall clock. For what is shown or told; no span is measured by
    it.
    """
    return time.time() * 1000


class WallClockMonitor:
    """Notices that the wall clock was stepped, for the log. Nothing is decided by it."""

    def __init__(self) -> None:
        self._difference = self._measure()

    def step(self) -> float:
        """Seconds by which the wall clock was stepped since the last call; 0 if it was not."""
        before, self._difference = self._difference, self._measure()
        moved = self._difference - before
        return moved if abs(moved) >= STEP_TOLERANCE else 0.0

    @staticmethod
    def _measure() -> float:
        return time.time() - time.monotonic()
