"""The base class of the sources of an endpoint list."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.config import Config
from tansycrank.discovery.endpoint_view import EndpointView
from tansycrank.discovery.view_messages import Action, PublishUpdate, RemoveEndpoint, SetAddress
from tansycrank.log_rate import LogRateLimiter
from tansycrank.routing import EndpointListUpdate

UpdateCallback = Callable[[EndpointListUpdate], None]

MAX_PROBLEMS_PER_SECOND = 5  # that are logged: a feed may write what cannot be read without end


class EndpointSource:
    """Carries out the view's actions that do not depend on where the list comes from."""

    def __init__(self, reactor, config: Config, pools, publish: UpdateCallback, log=None) -> None:
        """`pools` receives the addresses, `publish` the updates."""
        section = config.roster
        self.reactor, self.pools, self.publish, self.log = reactor, pools, publish, log
        self._problem_rate = LogRateLimiter(MAX_PROBLEMS_PER_SECOND)
        self.view = EndpointView(
            config.zones, config.store.cells, section.silence_ms, section.max_nodes
        )

    def now_ms(self) -> float:
        """Return milliseconds of the reactor's clock."""
        return self.reactor.seconds() * 1000

    def carry_out(self, action: Action) -> None:
        """Publish an update or pass on an address; ignore other actions."""
        match action:
            case PublishUpdate(update):
                self.publish(update)
            case SetAddress(endpoint, host, port):
                self.pools.set_address(endpoint, host, port)
            case RemoveEndpoint(endpoint):
                self.pools.remove_endpoint(endpoint)

    def read_available(self) -> None:
        """Handle changes that have arrived; a polled source has none pending."""

    def log_problem(self, text: str) -> None:
        """Log something unexpected about the list, and how many lines of it were left out."""
        if self.log and self._problem_rate.allows("problem", self.reactor.seconds()):
            left_out = self._problem_rate.take_denied()
            self.log.warning("endpoint_list_problem_seen", odd=text, left_out=left_out)
