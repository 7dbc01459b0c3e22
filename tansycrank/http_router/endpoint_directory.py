"""Maps discovery's ids, states and lists to the routing policy's numbers and events. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from tansycrank.http_router.settings import EndpointDocument, EndpointListDocument
from tansycrank.routing import (
    EndpointEntry,
    EndpointListKind,
    EndpointListUpdate,
    EndpointStatus,
)
from tansycrank.routing.start_times import FIRST_INCARNATION, LONG_AGO, Start, StartTimes

TERMINATED = "terminated"
STATUSES = {
    "in_service": EndpointStatus.IN_SERVICE,
    "terminating": EndpointStatus.DRAINING,
    TERMINATED: EndpointStatus.REMOVED,
}
STATUS_OF_UNKNOWN_STATE = EndpointStatus.DRAINING  # it may not accept new requests
START_OF_REMOVED = Start(LONG_AGO, FIRST_INCARNATION)
REMOVED_RETENTION_MS = 60_000.0  # within which a returning node keeps its number
# Nodes that are known at most, those removed recently included: several times the largest fleet.
MAX_NODES = 10_000
MAX_ID_LENGTH = 256  # characters of a node's id
MAX_EXAMPLE_LENGTH = 40  # characters of a value shown in the log


class DirectoryUpdate(NamedTuple):
    """The event for the policy, and addresses by endpoint number, "" for a removed one."""

    event: EndpointListUpdate
    addresses: dict[int, str]


@dataclass(slots=True)
class _NodeRecord:
    """The number of a data node, its last entry, and when it was removed (ms)."""

    number: int
    entry: EndpointEntry | None = None
    removed_at: float | None = None

    @property
    def is_removed(self) -> bool:
        """Whether it was removed from the endpoint list."""
        return self.removed_at is not None

    def has_expired(self, now: float) -> bool:
        """Whether it was removed so long ago that its record can be deleted."""
        return self.is_removed and now - self.removed_at >= REMOVED_RETENTION_MS


class EndpointDirectory:
    """Holds the listed data nodes and those removed less than `REMOVED_RETENTION_MS` ago.

    A number is never assigned to a second node. Times are in ms of the reactor's clock.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.version = -1
        self._zones = {zone: index for index, zone in enumerate(zones)}
        self._nodes: dict[str, _NodeRecord] = {}
        self._last_number = 0
        self._starts = StartTimes()

    def __len__(self) -> int:
        return len(self._nodes)

    def confirm_unchanged(self, now: float) -> None:
        """Record that discovery reported no change on its watch."""
        self._starts.confirm_unchanged(now)

    def find_problems(self, document: EndpointListDocument) -> dict[str, str]:
        """Return unknown states and duplicate ids in a list, each with a count and an example."""
        seen: set[str] = set()
        duplicates = [
            entry.id for entry in document.servers if entry.id in seen or seen.add(entry.id)
        ]
        unknown_states = [entry.state for entry in document.servers if entry.state not in STATUSES]
        problems: dict[str, str] = {}
        if unknown_states:
            problems["unknown_states"] = _count_and_example(unknown_states)
        if duplicates:
            problems["named_twice"] = _count_and_example(duplicates)
        new_ids = [id for id in seen if id not in self._nodes]
        if above_limit := self._above_limit(new_ids):
            problems["above_limit"] = _count_and_example(above_limit)
        return problems

    def _above_limit(self, new_ids: list[str]) -> list[str]:
        """Return the ids of new nodes that are not added: too long, or above `MAX_NODES`."""
        short_ids = [id for id in new_ids if len(id) <= MAX_ID_LENGTH]
        accepted = set(short_ids[: max(MAX_NODES - len(self._nodes), 0)])
        return [id for id in new_ids if id not in accepted]

    def apply(
        self, document: EndpointListDocument, kind: EndpointListKind, now: float
    ) -> DirectoryUpdate:
        """Apply an endpoint list and return the resulting update for the policy."""
        entries = self._complete_entries(document, kind)
        started = {entry.id: entry.started_ms for entry in entries if entry.state != TERMINATED}
        is_cached = kind is EndpointListKind.CACHED
        starts = self._starts.update(started, now, cached=is_cached)
        updated = self._update_unlisted_start_times(starts, started)
        addresses: dict[int, str] = {}
        for entry in entries:
            node = self._update_node(entry, now)
            if node is None:
                continue
            node.entry = self._to_endpoint_entry(entry, node.number, starts)
            addresses[node.number] = "" if node.is_removed else entry.addr
            updated.append(node.entry)
        self._forget_expired(now)
        self.version = document.version
        return DirectoryUpdate(EndpointListUpdate(kind, tuple(updated)), addresses)

    def _complete_entries(
        self, document: EndpointListDocument, kind: EndpointListKind
    ) -> list[EndpointDocument]:
        """Return the last entry of each id, and removals of unlisted nodes unless it is a delta.

        New nodes above the limits are left out.
        """
        by_id = {entry.id: entry for entry in document.servers}
        for id in self._above_limit([id for id in by_id if id not in self._nodes]):
            del by_id[id]
        entries = list(by_id.values())
        if kind is not EndpointListKind.DELTA:
            entries += [EndpointDocument(id, TERMINATED) for id in self._nodes if id not in by_id]
        return entries

    def _update_unlisted_start_times(
        self, starts: Mapping[str, Start], listed: Mapping[str, float]
    ) -> list[EndpointEntry]:
        """Return the entries of unlisted nodes whose estimated start time has been corrected."""
        updated = []
        for id, start in starts.items():
            if id in listed or (id in self._nodes and self._nodes[id].is_removed):
                continue
            node = self._nodes[id]
            node.entry = replace(node.entry, started_at=start.started_at)
            updated.append(node.entry)
        return updated

    def _update_node(self, entry: EndpointDocument, now: float) -> _NodeRecord | None:
        """Return the updated record of a node; None for an unknown node that is removed."""
        is_removed = _status(entry) is EndpointStatus.REMOVED
        node = self._nodes.get(entry.id)
        if node is None:
            if is_removed:
                return None
            self._last_number += 1
            node = self._nodes[entry.id] = _NodeRecord(self._last_number)
        if not is_removed:
            node.removed_at = None
        elif not node.is_removed:
            node.removed_at = now
        return node

    def _to_endpoint_entry(
        self, entry: EndpointDocument, number: int, starts: Mapping[str, Start]
    ) -> EndpointEntry:
        zone = self._zones.get(entry.zone, len(self._zones))
        start = starts.get(entry.id, START_OF_REMOVED)
        return EndpointEntry(
            number,
            entry.cell,
            zone,
            _status(entry),
            start.started_at,
            entry.weight,
            start.incarnation,
        )

    def _forget_expired(self, now: float) -> None:
        expired = [id for id, node in self._nodes.items() if node.has_expired(now)]
        for id in expired:
            del self._nodes[id]
        self._starts.forget(expired)


def _status(entry: EndpointDocument) -> EndpointStatus:
    return STATUSES.get(entry.state, STATUS_OF_UNKNOWN_STATE)


def _count_and_example(values: list[str]) -> str:
    return f"{len(values)}, {values[0][:MAX_EXAMPLE_LENGTH]!r}"
