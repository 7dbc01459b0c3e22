"""Runs a router that suspends itself (SIGSTOP) once, at a given point of its event loop.

`python stop_points.py POINT FILE ARGUMENTS...` runs `tansycrank ARGUMENTS`, which suspends itself
when it reaches the point after FILE was created. What its peers send while it is suspended is
pending in the kernel when it resumes.
"""

import os
import select
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tansycrank import clock
from tansycrank.__main__ import _main
from tansycrank.policy_event_loop import PolicyEventLoop
from tansycrank.routing import QueryArrived

POINTS = ("before step", "after step", "polled")


class SuspendingPoller:
    """Suspends the process when a poll returns a writable socket, before events are handled."""

    def __init__(self, poller, suspend):
        self.poller, self.suspend = poller, suspend

    def __getattr__(self, name):
        return getattr(self.poller, name)

    def poll(self, *arguments):
        events = self.poller.poll(*arguments)
        if any(event & select.EPOLLOUT for _, event in events):
            self.suspend()
        return events


def install(point, trigger):
    def suspend():
        if trigger.exists():
            trigger.unlink()
            os.kill(os.getpid(), signal.SIGSTOP)

    if point == "polled":
        reactor = clock.install_reactor()
        reactor._poller = SuspendingPoller(reactor._poller, suspend)
        return
    step = PolicyEventLoop._step

    def suspending_step(loop):
        has_query = any(isinstance(event, QueryArrived) for event in loop._events)
        if has_query and point == "before step":
            suspend()
        step(loop)
        if has_query and point == "after step":
            suspend()

    PolicyEventLoop._step = suspending_step


if __name__ == "__main__":
    point, trigger, *arguments = sys.argv[1:]
    assert point in POINTS
    install(point, Path(trigger))
    sys.argv = ["tansycrank", *arguments]
    sys.exit(_main())
