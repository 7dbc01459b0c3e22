"""The clocks of a process; no other module reads them.

All durations (deadlines, timeouts, windows, backoffs, ages) are measured on the system's monotonic
clock. Twisted's default reactor uses the wall clock, which administrators and time services step:
after a step backwards none of its timers fires until the wall clock has caught up.
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

REACTOR_MODULE = "twisted.internet.reactor"  # under which Twisted keeps the installed reactor
STALL_SECONDS = 0.05  # the process stalled if a poll ends later than due by more than this
# Polls after a stall that may return data which arrived during it: one that was interrupted, one
# that accepts a connection, and one that reads from it
POLLS_AFTER_STALL = 3
STEP_TOLERANCE_SECONDS = 0.2  # a smaller change against the monotonic clock counts as slewing


class _ReadableFirstPoller:
    """An epoll object that returns readable sockets before writable ones.

    Messages and disconnections of peers are thus handled before anything is sent to other peers.
    """

    def __init__(self, poller: select.epoll, seconds: Callable[[], float]) -> None:
        self.polled_at = seconds()
        self._poller, self._seconds = poller, seconds

    def __getattr__(self, name: str) -> object:
        return getattr(self._poller, name)

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Wait up to `timeout` seconds for events."""
        started = self._seconds()
        events = self._poller.poll(timeout, max_events)
        ended = self._seconds()
        # A poll that was interrupted by SIGSTOP beyond its timeout returns no events, even if data
        # arrived in the meantime.
        was_interrupted = not events and ended - started > timeout + STALL_SECONDS
        self.polled_at = started if was_interrupted else ended
        events.sort(key=_is_writable)
        return events


def _is_writable(event: tuple[int, int]) -> bool:
    return bool(event[1] & select.EPOLLOUT)


class MonotonicReactor(epollreactor.EPollReactor):
    """The epoll reactor, with its time and its delayed calls on the monotonic clock."""

    seconds = staticmethod(time.monotonic)
    _poll_due = float("inf")  # s: when the current poll should end
    _stalled_since = float("inf")  # s: when the last poll that ended late should have ended
    # called with the seconds by which a poll was late
    on_late_poll: Callable[[float], None] | None = None
    _polls_after_stall = 0  # how many more polls may return data that arrived during the last stall

    def __init__(self) -> None:
        super().__init__()
        self._poller = _ReadableFirstPoller(self._poller, self.seconds)

    def doPoll(self, timeout: float | None) -> None:
        """Poll all sockets for up to `timeout` seconds, and handle their events."""
        now = self.seconds()
        if self.on_late_poll is not None and now > self._poll_due:
            self.on_late_poll(now - self._poll_due)
        if now - self._poll_due > STALL_SECONDS:
            # An interrupted poll returns no events; an accepted connection is read one poll later.
            self._stalled_since, self._polls_after_stall = self._poll_due, POLLS_AFTER_STALL
        elif self._polls_after_stall:
            self._polls_after_stall -= 1
        self._poll_due = float("inf") if timeout is None else now + timeout
        super().doPoll(timeout)

    doIteration = doPoll

    def unread_seconds(self) -> float:
        """Return for how long data read now may have lain unread because the process stalled.

        It is counted from the time when the poll should have ended, which is up to the time left
        until the next timer after the stall began.
        """
        since = (
            min(self._poll_due, self._stalled_since) if self._polls_after_stall else self._poll_due
        )
        return max(self.seconds() - since, 0.0)

    def runUntilCurrent(self) -> None:
        """Run the timers that are due; after a stall, read what arrived in the meantime first."""
        if self.seconds_since_poll() > STALL_SECONDS:
            self.doPoll(0)
        super().runUntilCurrent()

    def seconds_since_poll(self) -> float:
        """Return the seconds since the last poll of the sockets."""
        return self.seconds() - self._poller.polled_at

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None) -> CheckedConnector:
        """Connect; a protocol that is a `WriteChecker` is consulted when its bytes are sent."""
        connector = CheckedConnector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface="") -> PausingPort:
        """Listen on a `PausingPort`, which loses no connection when file descriptors run out.

        Raise CannotListenError if the address is in use.
        """
        listening_port = PausingPort(port, factory, backlog, interface, self)
        listening_port.startListening()
        return listening_port


def install_reactor() -> MonotonicReactor:
    """Return the process's reactor; install it on the first call.

    Raise RuntimeError if a reactor of another type is already installed.
    """
    if REACTOR_MODULE not in sys.modules:
        installReactor(MonotonicReactor())
    reactor = sys.modules[REACTOR_MODULE]
    if not isinstance(reactor, MonotonicReactor):
        raise RuntimeError(
            f"{type(reactor).__name__} is already installed; its timers follow the wall clock"
        )
    return reactor


def monotonic_ms() -> float:
    """Return milliseconds of the monotonic clock, which all processes of a machine share."""
    return time.monotonic() * 1000


def unix_ms() -> float:
    """Return milliseconds since 1970 by the wall clock, for output only, never for durations."""
    return time.time() * 1000


class WallClockMonitor:
    """Detects steps of the wall clock; its results are only logged."""

    def __init__(self) -> None:
        self._offset = self._measure_offset()

    def detect_step(self) -> float:
        """Return the size in seconds of a step since the last call; 0 for none."""
        before, self._offset = self._offset, self._measure_offset()
        change = self._offset - before
        return change if abs(change) >= STEP_TOLERANCE_SECONDS else 0.0

    @staticmethod
    def _measure_offset() -> float:
        return time.time() - time.monotonic()
