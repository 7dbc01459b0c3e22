"""Events into and actions out of `EndpointView`."""

from __future__ import annotations

from dataclasses import dataclass

from tansycrank.discovery.feed_lines import FeedLine, Operation
from tansycrank.routing import EndpointListUpdate

# --- events -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class WatchRequested:
    """The routing policy wants to be notified of changes from now on."""


@dataclass(frozen=True, slots=True)
class ConnectionEstablished:
    """The connection to the feed is up."""


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the feed broke, or could not be made."""


@dataclass(frozen=True, slots=True)
class LineReceived:
    """A line arrived; None where it could not be decoded."""

    line: FeedLine | None


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """The timer of a `SetTimer` expired."""


Event = WatchRequested | ConnectionEstablished | ConnectionLost | LineReceived | TimerExpired

# --- actions ------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to the feed."""


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to the feed."""


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Send a request to the feed."""

    operation: Operation
    version: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class PublishUpdate:
    """Pass an update to the routing policy."""

    update: EndpointListUpdate


@dataclass(frozen=True, slots=True)
class SetAddress:
    """Set the address of an endpoint."""

    endpoint: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class RemoveEndpoint:
    """Remove the address of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerExpired` after so many ms."""

    after_ms: float


@dataclass(frozen=True, slots=True)
class LogProblem:
    """Log something unexpected."""

    text: str


Action = (
    Connect
    | Disconnect
    | SendRequest
    | PublishUpdate
    | SetAddress
    | RemoveEndpoint
    | SetTimer
    | LogProblem
)
