"""Decisions about the list of nodes: what to believe of a feed, late, cut, repeated, reordered or
new.

No I/O and no clock: `step(now, events) -> actions`. The module decides when to ask (its
`WatchEndpoints`); this decides what an answer is worth. A feed's versions count within its epoch
(one life of the roster).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from tansycrank import routing
from tansycrank.routing.start_times import Start, StartTimes

STATUSES = {  # the feed's words
    "ready": routing.EndpointStatus.IN_SERVICE,
    "draining": routing.EndpointStatus.DRAINING,
    "gone": routing.EndpointStatus.REMOVED,
}
SILENT_ASKS = (
    2  # beats of the silence bound: at half of it the feed is asked, at the whole it is given up
)


class NodeLine(msgspec.Struct, frozen=True):
    """One node as the feed names it; `started` is Unix time in ms, 0 for long ago."""

    id: int
    host: str
    port: int
    cell: int
    zone: str
    status: str = "ready"
    started: float = 0.0


class FeedLine(msgspec.Struct, frozen=True):
    """One line of a feed: "full", "changes" or "beat"."""

    kind: str
    version: int
    epoch: int = 0
    nodes: tuple[NodeLine, ...] = ()


# events


@dataclass(frozen=True, slots=True)
class Asked:
    """The module wants to hear of changes from now on."""


@dataclass(frozen=True, slots=True)
class Connected:
    """The connection to the feed stands."""


@dataclass(frozen=True, slots=True)
class Lost:
    """It broke, or could not be made."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A line came; None where it could not be read."""

    line: FeedLine | None


@dataclass(frozen=True, slots=True)
class Tick:
    """A wake-up that was asked for."""


# actions


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to the feed."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Close the connection to the feed."""


@dataclass(frozen=True, slots=True)
class Say:
    """Send a request: "watch" (changes since a version) or "list" (the whole list)."""

    op: str
    version: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell the module."""

    event: routing.EndpointListUpdate


@dataclass(frozen=True, slots=True)
class Place:
    """Where a node is to be reached."""

    id: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Forget:
    """A node is gone."""

    id: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Wake this again after so many ms."""

    ms: float


@dataclass(frozen=True, slots=True)
class Odd:
    """Something for the log."""

    text: str


class EndpointView:
    """What a router holds of the roster."""

    def __init__(self, zones: tuple[str, ...], cells: int, silence: float, max_nodes: int) -> None:
        self._zones, self._cells, self._silence, self._most = zones, cells, silence, max_nodes
        self.nodes: dict[int, NodeLine] = {}
        self.version, self.epoch = -1, None
        self._state = "off"  # off, connecting, on
        self._starts = StartTimes()
        self._heard_at = 0.0
        self._whole_wanted = (
            False  # a gap was seen: changes are not believed until a whole list came
        )
        self._asked = False
        self._ticking = False

    def step(self, now: float, events: Iterable[object]) -> list[object]:
        """Hear what happened, say what to do."""
        actions: list[object] = []
        for event in events:
            match event:
                case Asked():
                    self._ask(now, actions)
                case Connected():
                    self._state, self._heard_at = "on", now
                    actions.append(self._watch())
                case Lost():
                    self._fail(actions)
                case Heard(None):
                    actions.append(Odd("a line of the feed can't be read"))
                    self._want_whole(actions)
                case Heard(line):
                    self._heard_at = now
                    self._hear(now, line, actions)
                case Tick():
                    self._ticking = False
        if self._state == "on":
            self._check_silence(now, actions)
        return actions

    def _watch(self) -> Say:
        return Say("watch", max(self.version, 0) if self.epoch is not None else 0, self.epoch or 0)

    def _ask(self, now: float, actions: list) -> None:
        if self._state == "off":
            self._state = "connecting"
            actions.append(Connect())
        elif self._state == "on":
            actions.append(self._watch())

    def _fail(self, actions: list) -> None:
        """The last list stays; the module is told and asks again when it thinks fit."""
        if self._state != "off":
            self._state = "off"
            actions.append(Tell(routing.EndpointListUpdate(routing.EndpointListKind.FAILED)))

    def _check_silence(self, now: float, actions: list) -> None:
        silent = now - self._heard_at
        if silent >= self._silence:
            actions += [Odd(f"the feed is silent for {silent:.0f} ms"), Drop()]
            self._fail(actions)
            return
        if silent >= self._silence / SILENT_ASKS and not self._asked:
            self._asked = True
            actions.append(Say("list"))
        if not self._ticking:
            self._ticking = True
            actions.append(WakeAfter(self._silence / SILENT_ASKS / 2))

    def _want_whole(self, actions: list) -> None:
        if not self._whole_wanted:
            self._whole_wanted = True
            actions.append(Say("list"))

    def _hear(self, now: float, line: FeedLine, actions: list) -> None:
        self._asked = False
        same = line.epoch == self.epoch
        if line.kind == "full":
            if (
                same and line.version < self.version
            ):  # danger: an old list would bring the dead back
                actions.append(
                    Odd(f"whole list of version {line.version} is older than {self.version}")
                )
                return
            nodes = {n.id: n for n in self._believed(line.nodes, actions)}
            gone = [i for i in self.nodes if i not in nodes]
            self.nodes, self.version, self.epoch, self._whole_wanted = (
                nodes,
                line.version,
                line.epoch,
                False,
            )
            actions += [Place(n.id, n.host, n.port) for n in nodes.values()]
            actions += [Forget(i) for i in gone]
            self._starts.forget(gone)
            actions.append(Tell(self._list(routing.EndpointListKind.SNAPSHOT, nodes.values(), now)))
        elif line.kind == "changes":
            if not same or line.version > self.version + 1:
                self._want_whole(actions)
            if not same or line.version <= self.version:
                return
            changed = self._believed(line.nodes, actions)
            if line.version == self.version + 1:
                self.version = line.version
            for node in changed:
                if node.status == "gone":
                    self.nodes.pop(node.id, None)
                    actions.append(Forget(node.id))
                else:
                    self.nodes[node.id] = node
                    actions.append(Place(node.id, node.host, node.port))
            # told even over a gap: a drain must be heard at once, whatever was missed before
            actions.append(Tell(self._list(routing.EndpointListKind.DELTA, changed, now)))
            self._starts.forget(node.id for node in changed if node.status == "gone")
        elif line.kind == "beat":
            if (same and line.version > self.version) or not same:
                self._want_whole(actions)
            else:
                self._starts.heard(now)
        else:
            actions.append(Odd(f"unknown kind of line {line.kind!r}"))

    def _believed(self, nodes: tuple[NodeLine, ...], actions: list) -> list[NodeLine]:
        good = []
        for node in nodes[: self._most]:
            if node.status not in STATUSES:
                actions.append(Odd(f"node {node.id}: unknown status {node.status!r}"))
            elif not (
                0 <= node.cell < self._cells and 0 < node.port < 65536 and 0 <= node.id < 2**32
            ):
                actions.append(
                    Odd(f"node {node.id}: cell {node.cell}, port {node.port} out of range")
                )
            else:
                good.append(node)
        if len(nodes) > self._most:
            actions.append(Odd(f"{len(nodes)} nodes told; the bound is {self._most}"))
        return good

    def _list(
        self, kind: routing.EndpointListKind, nodes: Iterable[NodeLine], now: float
    ) -> routing.EndpointListUpdate:
        nodes = list(nodes)
        starts = self._starts.listed({node.id: node.started for node in nodes}, now)
        told = {node.id for node in nodes}
        known_better = [self.nodes[id] for id in starts if id not in told and id in self.nodes]
        listed = [self._listed(node, starts[node.id]) for node in (*known_better, *nodes)]
        return routing.EndpointListUpdate(kind, tuple(listed))

    def _listed(self, node: NodeLine, start: Start) -> routing.EndpointEntry:
        zone = self._zones.index(node.zone) if node.zone in self._zones else len(self._zones)
        status = STATUSES[node.status]
        return routing.EndpointEntry(
            node.id, node.cell, zone, status, start.at, reported_incarnation=start.incarnation
        )
