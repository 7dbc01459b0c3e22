"""The clocks of a process: the one module that reads them.

Every span of time (deadlines, time-outs, windows, back-offs, ages) is measured on the system's
monotonic clock. Twisted's stock reactor counts on the wall clock, which administrators and time
services step: after a step back none of its timers comes due until the wall clock has caught up.
"""

from __future__ import annotations

import select
import sys
import time
from collections.abc import Callable

from twisted.internet import epollreactor
from twisted.internet.main import installReactor

from tansycrank.listening import PausingPort
from tansycrank.outgoing_transport import CheckedConnector

REACTOR_MODULE = "twisted.internet.reactor"  # where Twisted keeps the process's reactor
STALL_SECONDS = 0.05  # a poll that ends later than due by this shows that the process stalled
POLLS_AFTER_STALL = 3  # with data that arrived during it: an interrupted one, an accept, a read
STEP_TOLERANCE_SECONDS = 0.2  # a smaller change against the monotonic clock is slewing


class _ReadsFirstPoller:
    """An epoll object that reports what can be read before what can be written.

    What peers have sent, and that they have left, is known then before anything leaves for others.
    """

    def __init__(self, poller: select.epoll, seconds: Callable[[], float]) -> None:
        self.polled_at = seconds()
        self._poller, self._seconds = poller, seconds

    def __getattr__(self, name: str) -> object:
        return getattr(self._poller, name)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Wait for events, `timeout` seconds at most."""
        began = self._seconds()
        events = self._poller.poll(timeout, max_events)
        ended = self._seconds()
        # A poll that a stop interrupted past its end returns nothing, whatever came meanwhile.
        was_interrupted = not events and ended - began > timeout + STALL_SECONDS
        self.polled_at = began if was_interrupted else ended
        events.sort(key=_is_writable)
        return events


def _is_writable(event: tuple[int, int]) -> bool:
    return bool(event[1] & select.EPOLLOUT)


class MonotonicReactor(epollreactor.EPollReactor):
    """The epoll reactor, with its own time and all its delayed calls on the monotonic clock."""

    seconds = staticmethod(time.monotonic)
    _due = float("inf")  # seconds: when the current poll has to end
    _stalled_since = float("inf")  # seconds: when the poll had to end that ended late
    # called with the seconds by which a poll came late
    on_late_poll: Callable[[float], None] | None = None
    _polls_after = 0  # polls that may still bring data from before the last stall ended

    def __init__(self) -> None:
        super().__init__()
        self._poller = _ReadsFirstPoller(self._poller, self.seconds)

    def doPoll(self, timeout: float | None) -> None:
        """Poll all sockets, for `timeout` seconds at most, and handle their events."""
        now = self.seconds()
        if self.on_late_poll is not None and now > self._due:
            self.on_late_poll(now - self._due)
        if now - self._due > STALL_SECONDS:
            # An interrupted poll has no events; data of an accepted connection is read one later.
            self._stalled_since, self._polls_after = self._due, POLLS_AFTER_STALL
        elif self._polls_after:
            self._polls_after -= 1
        self._due = float("inf") if timeout is None else now + timeout
        super().doPoll(timeout)

    doIteration = doPoll

    def unread_seconds(self) -> float:
        """Return the seconds for which data read now may have waited while this process stalled.

        The result may be too large, by the time that was left to the first timer at that moment.
        """
        since = min(self._due, self._stalled_since) if self._polls_after else self._due
        return max(self.seconds() - since, 0.0)

    def runUntilCurrent(self) -> None:
        """Run the timers that are due; after a stall, once what came meanwhile was read."""
        if self.since_poll() > STALL_SECONDS:
            self.doPoll(0)
        super().runUntilCurrent()

    def since_poll(self) -> float:
        """Return the seconds since the sockets were polled last."""
        return self.seconds() - self._poller.polled_at

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None) -> CheckedConnector:
        """Connect; a protocol that is a `WriteChecker` is asked when its bytes leave."""
        connector = CheckedConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface="") -> PausingPort:
        """Listen on a `PausingPort`, which loses no connection while descriptors are missing.

        Raise CannotListenError where the address is taken.
        """
        created = PausingPort(port, factory, backlog, interface, self)
        created.startListening()
        return created


def install_reactor() -> MonotonicReactor:
    """Install the process's reactor, once, and return it.

    Raise RuntimeError if another kind of reactor is installed already.
    """
    if REACTOR_MODULE not in sys.modules:
        installReactor(MonotonicReactor())
    reactor = sys.modules[REACTOR_MODULE]
    if not isinstance(reactor, MonotonicReactor):
        raise RuntimeError(
            f"{type(reactor).__name__} is installed already; its timers follow the wall clock"
        )
    return reactor


def monotonic_ms() -> float:
    """Return milliseconds of the monotonic clock, which all processes of one machine share."""
    return time.monotonic() * 1000


def unix_ms() -> float:
    """Return ms since 1970 by the wall clock, to be shown or sent; no span is measured by it."""
    return time.time() * 1000


class WallClockMonitor:
    """Detects steps of the wall clock, for the log only."""

    def __init__(self) -> None:
        self._difference = self._measure()

    def detect_step(self) -> float:
        """Return the seconds of a step since the last call; 0 for none."""
        before, self._difference = self._difference, self._measure()
        change = self._difference - before
        return change if abs(change) >= STEP_TOLERANCE_SECONDS else 0.0

    @staticmethod
    def _measure() -> float:
        return time.time() - time.monotonic()
