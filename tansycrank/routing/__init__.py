"""The routing policy, without I/O or clock, and the events and actions it exchanges with its host.

Events, actions and settings are importable from here; the policy itself is
`tansycrank.routing.policy.RoutingPolicy`.
"""

from tansycrank.routing.actions import (
    Action,
    Answer,
    Cancel,
    CheckHealth,
    CloseIdleConnections,
    Fail,
    FailureReason,
    LogMessage,
    PollEndpoints,
    Reject,
    Send,
    SendGossip,
    SetTimer,
    WatchEndpoints,
)
from tansycrank.routing.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListKind,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    GossipReceived,
    HealthCheckEnded,
    Outcome,
    QueryArrived,
    QueryCancelled,
    ResponseStarted,
    ShardRequestArrived,
    TimerExpired,
)
from tansycrank.routing.settings import (
    Idempotency,
    QueryClass,
    Settings,
)

__all__ = [
    "Action",
    "Answer",
    "AttemptEnded",
    "Cancel",
    "CheckHealth",
    "CloseIdleConnections",
    "EndpointEntry",
    "EndpointListKind",
    "EndpointListUpdate",
    "EndpointStatus",
    "Event",
    "Fail",
    "FailureReason",
    "GossipReceived",
    "HealthCheckEnded",
    "Idempotency",
    "LogMessage",
    "Outcome",
    "PollEndpoints",
    "QueryArrived",
    "QueryCancelled",
    "QueryClass",
    "Reject",
    "ResponseStarted",
    "Send",
    "SendGossip",
    "SetTimer",
    "Settings",
    "ShardRequestArrived",
    "TimerExpired",
    "WatchEndpoints",
]
