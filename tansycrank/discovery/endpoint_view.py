"""Decisions about an endpoint feed whose lines may be late, cut, repeated, reordered or wrong.

No I/O and no clock: `step(now, events) -> actions`. A feed's versions count within its epoch, which
changes when the feed restarts.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from tansycrank.discovery.feed_lines import STATUSES, FeedLine, LineKind, NodeLine, Operation
from tansycrank.discovery.view_messages import (
    Action,
    Connect,
    ConnectionEstablished,
    ConnectionLost,
    Disconnect,
    Event,
    LineReceived,
    LogProblem,
    PublishUpdate,
    RemoveEndpoint,
    SendRequest,
    SetAddress,
    SetTimer,
    TimerExpired,
    WatchRequested,
)
from tansycrank.routing import EndpointEntry, EndpointListKind, EndpointListUpdate
from tansycrank.routing.start_times import Start, StartTimes

POLL_AFTER_FRACTION = 1 / 2  # of the silence limit; a feed silent for longer is polled
CHECK_INTERVAL_FRACTION = 1 / 4  # of the silence limit, between two checks
MAX_PORT = 65535
MAX_ENDPOINT_ID = 2**32 - 1


class FeedState(Enum):
    """The connection to the feed."""

    DISCONNECTED = auto()
    CONNECTING = auto()
    CONNECTED = auto()


class EndpointView:
    """The endpoints of a feed, as far as the router knows them."""

    def __init__(
        self, zones: tuple[str, ...], cells: int, silence_limit_ms: float, max_nodes: int
    ) -> None:
        """The connection counts as failed after `silence_limit_ms` without a line."""
        self.nodes: dict[int, NodeLine] = {}
        self.version = -1
        self.epoch: int | None = None
        self._zones, self._cells = zones, cells
        self._silence_limit_ms, self._max_nodes = silence_limit_ms, max_nodes
        self._state = FeedState.DISCONNECTED
        self._starts = StartTimes()
        self._last_received = 0.0
        self._awaits_snapshot = False  # after a gap in the versions
        self._polled_on_silence = False
        self._timer_is_set = False

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Handle events at `now` (ms) and return the actions to carry out, in order."""
        actions: list[Action] = []
        for event in events:
            self._handle(now, event, actions)
        if self._state is FeedState.CONNECTED:
            self._check_silence(now, actions)
        return actions

    def _handle(self, now: float, event: Event, actions: list[Action]) -> None:
        match event:
            case WatchRequested():
                self._on_watch_requested(actions)
            case ConnectionEstablished():
                self._state, self._last_received = FeedState.CONNECTED, now
                actions.append(self._watch_request())
            case ConnectionLost():
                self._on_feed_lost(actions)
            case LineReceived(None):
                actions.append(LogProblem("a feed line could not be decoded"))
                self._request_snapshot(actions)
            case LineReceived(line):
                self._last_received = now
                self._on_line(now, line, actions)
            case TimerExpired():
                self._timer_is_set = False

    # --- the connection -------------------------------------------------------------------

    def _watch_request(self) -> SendRequest:
        version = max(self.version, 0) if self.epoch is not None else 0
        return SendRequest(Operation.WATCH, version, self.epoch or 0)

    def _on_watch_requested(self, actions: list[Action]) -> None:
        if self._state is FeedState.DISCONNECTED:
            self._state = FeedState.CONNECTING
            actions.append(Connect())
        elif self._state is FeedState.CONNECTED:
            actions.append(self._watch_request())

    def _on_feed_lost(self, actions: list[Action]) -> None:
        """Keep the last list; the policy decides when to request a watch again."""
        if self._state is not FeedState.DISCONNECTED:
            self._state = FeedState.DISCONNECTED
            actions.append(PublishUpdate(EndpointListUpdate(EndpointListKind.FAILED)))

    def _check_silence(self, now: float, actions: list[Action]) -> None:
        silence_ms = now - self._last_received
        if silence_ms >= self._silence_limit_ms:
            actions += [
                LogProblem(
                    f"no line from the feed for {silence_ms:.0f} ms; closing the connection"
                ),
                Disconnect(),
            ]
            self._on_feed_lost(actions)
            return
        if (
            silence_ms >= self._silence_limit_ms * POLL_AFTER_FRACTION
            and not self._polled_on_silence
        ):
            self._polled_on_silence = True
            actions.append(SendRequest(Operation.LIST))
        if not self._timer_is_set:
            self._timer_is_set = True
            actions.append(SetTimer(self._silence_limit_ms * CHECK_INTERVAL_FRACTION))

    def _request_snapshot(self, actions: list[Action]) -> None:
        if not self._awaits_snapshot:
            self._awaits_snapshot = True
            actions.append(SendRequest(Operation.LIST))

    # --- lines ----------------------------------------------------------------------------

    def _on_line(self, now: float, line: FeedLine, actions: list[Action]) -> None:
        self._polled_on_silence = False
        if line.kind == LineKind.SNAPSHOT:
            self._on_snapshot(now, line, actions)
        elif line.kind == LineKind.DELTA:
            self._on_delta(now, line, actions)
        elif line.kind == LineKind.HEARTBEAT:
            self._on_heartbeat(now, line, actions)
        else:
            actions.append(LogProblem(f"feed line of unknown kind {line.kind!r}"))

    def _on_snapshot(self, now: float, line: FeedLine, actions: list[Action]) -> None:
        if line.epoch == self.epoch and line.version < self.version:
            # An older snapshot would restore removed endpoints.
            text = f"ignored snapshot of version {line.version}, older than {self.version}"
            actions.append(LogProblem(text))
            return
        nodes = {node.id: node for node in self._valid_nodes(line.nodes, actions)}
        removed = [id for id in self.nodes if id not in nodes]
        self.nodes, self.version, self.epoch = nodes, line.version, line.epoch
        self._awaits_snapshot = False
        actions += [SetAddress(node.id, node.host, node.port) for node in nodes.values()]
        actions += [RemoveEndpoint(id) for id in removed]
        self._starts.forget(removed)
        update = self._update(EndpointListKind.SNAPSHOT, list(nodes.values()), now)
        actions.append(PublishUpdate(update))

    def _on_delta(self, now: float, line: FeedLine, actions: list[Action]) -> None:
        is_same_epoch = line.epoch == self.epoch
        if not is_same_epoch or line.version > self.version + 1:
            self._request_snapshot(actions)
        if not is_same_epoch or line.version <= self.version:
            return
        changed = self._within_limit(self._valid_nodes(line.nodes, actions), actions)
        if line.version == self.version + 1:
            self.version = line.version
        for node in changed:
            actions.append(self._apply(node))
        # Published even after a gap: calls must not start at an endpoint that drains.
        actions.append(PublishUpdate(self._update(EndpointListKind.DELTA, changed, now)))
        self._starts.forget(node.id for node in changed if node.is_removed)

    def _within_limit(self, changed: list[NodeLine], actions: list[Action]) -> list[NodeLine]:
        """Return the changes without those that would list more than `max_nodes` nodes."""
        new_ids = list(
            dict.fromkeys(
                node.id for node in changed if node.id not in self.nodes and not node.is_removed
            )
        )
        excess = set(new_ids[max(self._max_nodes - len(self.nodes), 0) :])
        if excess:
            text = f"{len(excess)} nodes more than the {self._max_nodes} allowed; they are not used"
            actions.append(LogProblem(text))
        return [node for node in changed if node.id not in excess]

    def _apply(self, node: NodeLine) -> Action:
        if node.is_removed:
            self.nodes.pop(node.id, None)
            return RemoveEndpoint(node.id)
        self.nodes[node.id] = node
        return SetAddress(node.id, node.host, node.port)

    def _on_heartbeat(self, now: float, line: FeedLine, actions: list[Action]) -> None:
        if line.epoch != self.epoch or line.version > self.version:
            self._request_snapshot(actions)
        else:
            self._starts.confirm_unchanged(now)

    # --- nodes ----------------------------------------------------------------------------

    def _valid_nodes(self, nodes: tuple[NodeLine, ...], actions: list[Action]) -> list[NodeLine]:
        """Return the nodes that can be used; log the others."""
        valid = []
        for node in nodes[: self._max_nodes]:
            problem = self._validation_error(node)
            if problem is None:
                valid.append(node)
            else:
                actions.append(LogProblem(f"node {node.id}: {problem}"))
        if len(nodes) > self._max_nodes:
            actions.append(
                LogProblem(f"{len(nodes)} nodes listed; only the first {self._max_nodes} are used")
            )
        return valid

    def _validation_error(self, node: NodeLine) -> str | None:
        if node.status not in STATUSES:
            return f"unknown status {node.status!r}"
        has_valid_cell = 0 <= node.cell < self._cells
        if has_valid_cell and 0 < node.port <= MAX_PORT and 0 <= node.id <= MAX_ENDPOINT_ID:
            return None
        return f"cell {node.cell}, port {node.port} out of range"

    def _update(
        self, kind: EndpointListKind, nodes: list[NodeLine], now: float
    ) -> EndpointListUpdate:
        """Return an update of these nodes and of others whose start time was corrected."""
        starts = self._starts.update({node.id: node.started for node in nodes}, now)
        listed = {node.id for node in nodes}
        corrected = [self.nodes[id] for id in starts if id not in listed and id in self.nodes]
        entries = [self._to_entry(node, starts[node.id]) for node in (*corrected, *nodes)]
        return EndpointListUpdate(kind, tuple(entries))

    def _to_entry(self, node: NodeLine, start: Start) -> EndpointEntry:
        zone = self._zones.index(node.zone) if node.zone in self._zones else len(self._zones)
        return EndpointEntry(
            node.id,
            node.cell,
            zone,
            STATUSES[node.status],
            start.started_at,
            reported_incarnation=start.incarnation,
        )
