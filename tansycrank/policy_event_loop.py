"""Event loop of a `RoutingPolicy`: queues events, runs one step per reactor turn, runs the actions.

It is the only owner of the policy. It is independent of any protocol and makes no decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tansycrank import routing
from tansycrank.routing.policy import RoutingPolicy

# s: if the last poll of the sockets is older than this, they are polled again before the step
MAX_POLL_AGE = 0.05


class PolicyEventLoop:
    """Runs the steps of a policy; times are milliseconds of the reactor's monotonic clock.

    `action_handlers` maps each type of action to the function that carries it out. `after_step` is
    called once the actions of a step were carried out. `on_policy_failure` is called with an
    exception that the policy raised; it has to answer the open queries. `on_action_failure` is
    called with an action and the exception that carrying it out raised, which concerns its query
    alone: the other actions of the step are carried out.
    """

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        action_handlers: Mapping[type, Callable],
        on_policy_failure: Callable[[Exception], None],
        on_action_failure: Callable[[routing.Action, Exception], None],
        after_step: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the policy; `reactor.seconds_since_poll`, if any, is called before each step."""
        self.reactor = reactor
        self.on_policy_failure = on_policy_failure
        self.on_action_failure = on_action_failure
        self.after_step = after_step
        self.policy = RoutingPolicy(settings, seed)
        self.steps = 0
        self.max_timer_lateness = 0.0  # ms; the reader resets it
        self._action_handlers = {**action_handlers, routing.SetTimer: self._set_timer}
        self._events: list[routing.Event] = []
        self._pending_step = self._timer = None
        self._seconds_since_poll = getattr(reactor, "seconds_since_poll", lambda: 0.0)
        self._is_postponed = False  # whether the pending step waits for another poll

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.reactor.seconds() * 1000

    def enqueue(self, *events: routing.Event) -> None:
        """Queue events for the step of the next reactor turn, which is run even without events."""
        self._events.extend(events)
        if self._pending_step is None:
            self._pending_step = self.reactor.callLater(0, self._step)

    def stop(self) -> None:
        """Cancel the pending step and timer; open queries have to be answered before."""
        for call in (self._pending_step, self._timer):
            if call is not None and call.active():
                call.cancel()
        self._pending_step = self._timer = None

    def _step(self) -> None:
        if self._seconds_since_poll() > MAX_POLL_AGE and not self._is_postponed:
            # The process was suspended: first read what its peers have sent in the meantime.
            self._is_postponed = True
            self._pending_step = self.reactor.callLater(0, self._step)
            return
        self._pending_step, self._is_postponed = None, False
        events, self._events = self._events, []
        self.steps += 1
        try:
            for action in self.policy.step(self.now, events):
                self._carry_out(action)
        except Exception as error:
            self.on_policy_failure(error)
        self.after_step()

    def _carry_out(self, action: routing.Action) -> None:
        handler = self._action_handlers.get(type(action))
        if handler is None:
            return
        try:
            handler(action)
        except Exception as error:
            self.on_action_failure(action, error)

    def _set_timer(self, action: routing.SetTimer) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due = self.now + action.after
        self._timer = self.reactor.callLater(action.after / 1000, self._on_timer, action.token, due)

    def _on_timer(self, token: int, due: float) -> None:
        self._timer = None
        self.max_timer_lateness = max(self.max_timer_lateness, self.now - due)
        self.enqueue(routing.TimerExpired(token))
