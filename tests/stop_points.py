"""Runs a router that stops itself (SIGSTOP), once, at a named point of its event loop.

`python stop_points.py POINT FILE ARGUMENTS...`: `tansycrank ARGUMENTS`, which stops when the point
is reached after FILE was made. What its peers do then lies in the system when it goes on.
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


class StoppingPoller:
    """Stops when a socket can be written and what it is given has not been handled yet."""

    def __init__(self, poller, stop):
        self.poller, self.stop = poller, stop

    def __getattr__(self, name):
        return getattr(self.poller, name)

    def poll(self, *limits):
        events = self.poller.poll(*limits)
        if any(event & select.EPOLLOUT for _, event in events):
            self.stop()
        return events


def install(point, trigger):
    def stop():
        if trigger.exists():
            trigger.unlink()
            os.kill(os.getpid(), signal.SIGSTOP)

    if point == "polled":
        reactor = clock.install_reactor()
        reactor._poller = StoppingPoller(reactor._poller, stop)
        return
    step = PolicyEventLoop._step

    def stopping_step(loop):
        is_wanted = any(isinstance(event, QueryArrived) for event in loop._events)
        if is_wanted and point == "before step":
            stop()
        step(loop)
        if is_wanted and point == "after step":
            stop()

    PolicyEventLoop._step = stopping_step


if __name__ == "__main__":
    point, trigger, *arguments = sys.argv[1:]
    assert point in POINTS
    install(point, Path(trigger))
    sys.argv = ["tansycrank", *arguments]
    sys.exit(_main())
