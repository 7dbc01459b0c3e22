"""Runs a `RoutingPolicy`: gathers events, takes one step a reactor turn, carries out the actions.

It is the only holder of the policy, knows no protocol, and decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tansycrank import routing
from tansycrank.routing.policy import RoutingPolicy

# s between a poll of the sockets and a step after which they are polled again before the step
MAX_SINCE_POLL = 0.05


class PolicyEventLoop:
    """Times are milliseconds of the reactor's clock, which is monotonic.

    `acts` carries out one kind of action each; `after` is called once a step's actions were carried
    out. `on_broken` gets whatever the policy raised: open queries have to be answered then.
    """

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        acts: Mapping[type, Callable],
        on_broken: Callable[[Exception], None],
        after: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the policy; a reactor that has `since_poll` is asked for it before each step."""
        self.reactor = reactor
        self.on_broken = on_broken
        self.after = after
        self.policy = RoutingPolicy(settings, seed)
        self.steps = 0
        self.max_timer_lateness = 0.0  # ms: largest lateness of a timer since this was last read
        self._acts = {**acts, routing.SetTimer: self._set_timer}
        self._events: list[routing.Event] = []
        self._pending_step = self._timer = None
        self._since_poll = getattr(reactor, "since_poll", lambda: 0.0)
        self._is_postponed = False  # the pending step waits for a poll

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.reactor.seconds() * 1000

    def enqueue(self, *events: routing.Event) -> None:
        """Queue events for the step that the next reactor turn takes."""
        self._events.extend(events)
        if self._pending_step is None:
            self._pending_step = self.reactor.callLater(0, self._step)

    def stop(self) -> None:
        """Take no more steps; open queries have been answered before."""
        for call in (self._pending_step, self._timer):
            if call is not None and call.active():
                call.cancel()
        self._pending_step = self._timer = None

    def _step(self) -> None:
        if self._since_poll() > MAX_SINCE_POLL and not self._is_postponed:
            # The process was stopped: what its peers have sent meanwhile is read first.
            self._is_postponed = True
            self._pending_step = self.reactor.callLater(0, self._step)
            return
        self._pending_step, self._is_postponed = None, False
        events, self._events = self._events, []
        self.steps += 1
        try:
            for action in self.policy.step(self.now, events):
                act = self._acts.get(type(action))
                if act is not None:
                    act(action)
        except Exception as error:
            self.on_broken(error)
        self.after()

    def _set_timer(self, action: routing.SetTimer) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due = self.now + action.after
        self._timer = self.reactor.callLater(action.after / 1000, self._on_timer, action.token, due)

    def _on_timer(self, token: int, due: float) -> None:
        self._timer = None
        self.max_timer_lateness = max(self.max_timer_lateness, self.now - due)
        self.enqueue(routing.TimerExpired(token))
