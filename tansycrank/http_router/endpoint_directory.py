"""Names of data nodes and zones to the module's integers, and discovery's lists to its events."""

from __future__ import annotations

from dataclasses import replace

from tansycrank import routing
from tansycrank.http_router.settings import Entry, Listing
from tansycrank.routing.start_times import FIRST, LONG_AGO, Start, StartTimes

STATES = {
    "in_service": routing.EndpointStatus.IN_SERVICE,
    "terminating": routing.EndpointStatus.DRAINING,
    "terminated": routing.EndpointStatus.REMOVED,
}
UNKNOWN = (
    routing.EndpointStatus.DRAINING
)  # a state that the protocol does not name: it may not want anything new
NO_START = Start(LONG_AGO, FIRST)  # of a node that is gone: it gets nothing
FORGET = (
    60_000.0  # ms a node that is gone keeps its number, so that one that comes back is the same
)


class EndpointDirectory:
    """Numbers are never used twice. It holds the nodes listed, and those gone for less than
    `FORGET`.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._zones = {zone: index for index, zone in enumerate(zones)}
        self._numbers: dict[str, int] = {}
        self._gone: dict[str, float] = {}  # when it went, ms
        self._listed: dict[str, routing.EndpointEntry] = {}  # as last told to the policy
        self._last = 0
        self._starts = StartTimes()
        self.version = -1

    def __len__(self) -> int:
        return len(self._numbers)

    def _dated(self, id: str, start: Start) -> routing.EndpointEntry:
        """A node that was not told of now, with a start that is known better."""
        self._listed[id] = replace(self._listed[id], started_at=start.at)
        return self._listed[id]

    def unchanged(self, now: float) -> None:
        """Discovery says on its watch that nothing changed; `now` is ms of the reactor's clock."""
        self._starts.heard(now)

    def oddities(self, listing: Listing) -> dict[str, str]:
        """What a listing holds that the protocol does not foresee: how often, and an example each."""
        seen: set[str] = set()
        twice = [entry.id for entry in listing.servers if entry.id in seen or seen.add(entry.id)]
        unknown = [entry.state for entry in listing.servers if entry.state not in STATES]
        found: dict[str, str] = {}
        if unknown:
            found["unknown_states"] = f"{len(unknown)}, {unknown[0][:40]!r}"
        if twice:
            found["named_twice"] = f"{len(twice)}, {twice[0][:40]!r}"
        return found

    def heard(
        self, listing: Listing, kind: routing.EndpointListKind, now: float
    ) -> tuple[routing.EndpointListUpdate, dict[int, str]]:
        """The event for the module, and the addresses told, "" for a node that is gone."""
        entries = list(
            {entry.id: entry for entry in listing.servers}.values()
        )  # the last of a name counts
        if kind is not routing.EndpointListKind.DELTA:
            standing = {entry.id for entry in entries}
            entries += [Entry(id, "terminated") for id in self._numbers if id not in standing]
        started = {entry.id: entry.started_ms for entry in entries if entry.state != "terminated"}
        starts = self._starts.listed(started, now, cached=kind is routing.EndpointListKind.CACHED)
        places = {}
        listed = [
            self._dated(id, start)
            for id, start in starts.items()
            if id not in started and id not in self._gone
        ]
        for entry in entries:
            status = STATES.get(entry.state, UNKNOWN)
            if entry.id not in self._numbers:
                if status is routing.EndpointStatus.REMOVED:
                    continue
                self._last += 1
                self._numbers[entry.id] = self._last
            number = self._numbers[entry.id]
            if status is routing.EndpointStatus.REMOVED:
                self._gone.setdefault(entry.id, now)
                places[number] = ""
            else:
                self._gone.pop(entry.id, None)
                places[number] = entry.addr
            zone = self._zones.get(entry.zone, len(self._zones))
            start = starts.get(entry.id, NO_START)
            told = routing.EndpointEntry(
                number, entry.cell, zone, status, start.at, entry.weight, start.incarnation
            )
            self._listed[entry.id] = told
            listed.append(told)
        forgotten = [id for id, went in self._gone.items() if now - went >= FORGET]
        for id in forgotten:
            del self._gone[id], self._numbers[id], self._listed[id]
        self._starts.forget(forgotten)
        self.version = listing.version
        return routing.EndpointListUpdate(kind, tuple(listed)), places
