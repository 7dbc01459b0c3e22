"""The wire format of an endpoint feed, and the meaning of its status words."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from tansycrank.routing import EndpointStatus

STATUSES = {
    "ready": EndpointStatus.IN_SERVICE,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}


class LineKind(StrEnum):
    """The kind of a line of the feed."""

    SNAPSHOT = "full"
    DELTA = "changes"
    HEARTBEAT = "beat"


class Operation(StrEnum):
    """A request to the feed."""

    WATCH = "watch"  # deltas since a version
    LIST = "list"  # a snapshot


class NodeLine(msgspec.Struct, frozen=True):
    """One node as the feed names it; `started` is Unix time in ms, 0 for a start long ago."""

    id: int
    host: str
    port: int
    cell: int
    zone: str
    status: str = "ready"
    started: float = 0.0

    @property
    def is_removed(self) -> bool:
        """Whether the node is no longer there."""
        return STATUSES.get(self.status) is EndpointStatus.REMOVED


class FeedLine(msgspec.Struct, frozen=True):
    """One line of a feed; `kind` is the value of a `LineKind`."""

    kind: str
    version: int
    epoch: int = 0
    nodes: tuple[NodeLine, ...] = ()
