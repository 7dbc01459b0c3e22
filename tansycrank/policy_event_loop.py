"""The step loop around a `RoutingPolicy`: events gathered, one `step` a reactor turn, actions
carried out in order.

It alone holds the decision module, knows no protocol, and decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from tansycrank import routing
from tansycrank.routing.policy import RoutingPolicy


class PolicyEventLoop:
    """Times are milliseconds of the reactor's clock, which is monotonic."""

    def __init__(
        self,
        reactor,
        settings: routing.Settings,
        seed: int,
        acts: Mapping[type, Callable],
        on_broken: Callable[[Exception], None],
        after: Callable[[], None] = lambda: None,
    ) -> None:
        """`acts` carries out one action each; `after` is called once a step's actions were carried
        out.

        `on_broken` hears whatever the module raised: nobody may be left without an answer then.
        """
        self.reactor, self.on_broken, self.after = reactor, on_broken, after
        self.policy = RoutingPolicy(settings, seed)
        self.steps = 0
        self.latest = 0.0  # ms: the most that a wake-up came too late since this was last read
        self._acts = {**acts, routing.SetTimer: self._set_wake}
        self._events: list[routing.Event] = []
        self._turn = self._wake = None

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.reactor.seconds() * 1000

    def handle(self, *events: routing.Event) -> None:
        """Something happened: the next reactor turn takes a step."""
        self._events.extend(events)
        if self._turn is None:
            self._turn = self.reactor.callLater(0, self._step)

    def stop(self) -> None:
        """No more steps; open queries have been answered before."""
        for call in (self._turn, self._wake):
            if call is not None and call.active():
                call.cancel()
        self._turn = self._wake = None

    def _step(self) -> None:
        self._turn = None
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

    def _set_wake(self, action: routing.SetTimer) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        due = self.now + action.after
        self._wake = self.reactor.callLater(action.after / 1000, self._woken, action.token, due)

    def _woken(self, token: int, due: float) -> None:
        self._wake = None
        self.latest = max(self.latest, self.now - due)
        self.handle(routing.TimerExpired(token))
