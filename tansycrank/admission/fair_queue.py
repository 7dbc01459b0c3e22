"""Start-time fair queuing, in levels: tenants, then clients of a tenant, then classes of a client.

Each level keeps a virtual time, the start tag of what it served last. A child that becomes busy
starts at that time (or earlier, by its burst), never at the end of a line; serving it moves its tag
by cost / weight. So over any span two busy children get service by weight, within one query's cost
each, and a child that was idle is owed nothing but its burst. The time also moves by what is
served, as in WF2Q+, so that no stream of newcomers can hold back who waits. Sources: P. Goyal, H.
Vin, H. Cheng, "Start-time Fair Queueing", 1996; J. Bennett, H. Zhang, "Hierarchical Packet Fair
Queueing Algorithms", 1996.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

REMEMBER = 256  # services over which children that became busy are remembered
SPARE = 64  # empty children a level may hold beside the busy ones before it is tidied


@dataclass(slots=True, eq=False)
class Ticket:
    """A query at the door. Times are ms; `charge` is in parts of average work; `size` is bytes
    held.
    """

    id: int
    tenant: str
    client: str
    query_class: int
    statement: int
    parts: int
    charge: float
    size: int
    leave_by: float  # the last moment at which its turn would still be of use
    mark: int = 0  # what tells this query from others of its client
    session: int = 0
    returning: bool = False  # it was told to come back, and did
    light: bool = False  # it was let past the line
    began: float = 0.0


class Lane:
    """The line of one class of one client: first come, first served."""

    __slots__ = ("burst", "debt", "finish", "line", "queued", "start", "weight")

    def __init__(self, weight: float = 1.0) -> None:
        self.weight, self.start, self.finish, self.burst, self.debt = weight, 0.0, 0.0, 0.0, 0.0
        self.queued = False
        self.line: OrderedDict[int, Ticket] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self.line)

    def add(self, ticket: Ticket) -> None:
        """Put a query in the line."""
        self.line[ticket.id] = ticket

    def take(self) -> Ticket:
        """The first query; the line is not empty."""
        return self.line.popitem(last=False)[1]

    def last(self) -> Ticket:
        """The query that came last."""
        return self.line[next(reversed(self.line))]


class Level:
    """Children served by weight. A child is a `Lane` or another level; it is kept while it is busy."""

    def __init__(self, weight: float = 1.0) -> None:
        self.weight, self.start, self.finish, self.burst, self.debt = weight, 0.0, 0.0, 0.0, 0.0
        self.queued = False  # in its parent's heap
        self.now = 0.0  # virtual time
        self.entered = 1.0  # weight of children that became busy of late
        self.children: dict[object, Level | Lane] = {}
        self._heap: list[tuple[float, int, object, Level | Lane]] = []
        self._count = 0
        self.size = 0  # queries in all lines below

    def __bool__(self) -> bool:
        return self.size > 0

    def enter(self, key: object, child: Level | Lane) -> None:
        """A child has become busy, or stays so: it takes its place by its start tag."""
        self.children[key] = child
        if not child.queued:
            child.start = self._settled(child)
            self.entered += child.weight
            self._push(key, child)

    def _settled(self, child: Level | Lane) -> float:
        """Where a child that was idle begins; what its queries cost beside their guesses is paid."""
        child.finish += child.debt
        child.debt = 0.0
        return max(self.now - child.burst, child.finish)

    def pass_by(self, child: Level | Lane, cost: float) -> None:
        """A child is served while nobody waits: its tag moves, and so does the time."""
        start = self._settled(child)
        child.finish = start + cost / child.weight
        self.now = max(self.now, start)

    def _push(self, key: object, child: Level | Lane) -> None:
        child.queued = True
        self._count += 1
        heapq.heappush(self._heap, (child.start, self._count, key, child))

    def first(self) -> tuple[object, Level | Lane] | None:
        """The child whose turn it is; empty ones are forgotten on the way."""
        while self._heap:
            _, _, key, child = self._heap[0]
            if child:
                return key, child
            heapq.heappop(self._heap)
            self._forget(key, child)
        return None

    def _forget(self, key: object, child: Level | Lane) -> None:
        child.queued = False
        if self.children.get(key) is child:
            del self.children[key]

    def serve(self, cost: float) -> None:
        """The first child has been served: its tag moves, and so does the time."""
        start, _, key, child = heapq.heappop(self._heap)
        # danger: by start tags alone, a stream of children that are always new would hold the time
        # back, and
        # who waits with a later tag would wait for ever; so it moves by what is served, too, but no
        # faster
        # than if all that came of late were still here
        self.entered = max(self.entered * (1.0 - 1.0 / REMEMBER), child.weight)
        self.now = max(self.now + cost / (self.entered + child.weight), start)
        child.finish = max(start + cost / child.weight + child.debt, start)
        child.debt = 0.0
        child.queued = False
        if child:
            child.start = child.finish
            self._push(key, child)
        else:
            self._forget(key, child)

    def park(self) -> None:
        """Take the first child out of the line without service; `enter` brings it back to its old
        place.
        """
        _, _, _, child = heapq.heappop(self._heap)
        child.queued = False
        child.finish = max(child.finish, child.start)

    def tidy(self) -> None:
        """Forget empty children once they outnumber the busy ones: those who came and left at once."""
        if len(self._heap) > 2 * self.size + SPARE:
            kept = []
            for entry in self._heap:
                if entry[3]:
                    kept.append(entry)
                else:
                    self._forget(entry[2], entry[3])
            heapq.heapify(kept)
            self._heap = kept


class Clients(Level):
    """What waits of one tenant: those who come back as told first, then clients by turns."""

    def __init__(self, weight: float, class_weights: tuple[float, ...]) -> None:
        super().__init__(weight)
        self.class_weights = class_weights
        self.returning = Lane()
        self.charge = 0.0  # of all that wait
        self.returning_charge = 0.0

    def add(self, ticket: Ticket) -> None:
        """A query waits."""
        self.size += 1
        self.charge += ticket.charge
        if ticket.returning:
            self.returning.add(ticket)
            self.returning_charge += ticket.charge
            return
        client = self.children.get(ticket.client)
        if client is None:
            client = Level()
        lane = client.children.get(ticket.query_class)
        if lane is None:
            lane = Lane(self.class_weights[ticket.query_class])
        lane.add(ticket)
        client.size += 1
        client.enter(ticket.query_class, lane)
        self.enter(ticket.client, client)

    def _gone(self, ticket: Ticket) -> None:
        self.size -= 1
        self.charge = max(self.charge - ticket.charge, 0.0) if self.size else 0.0
        if ticket.returning:
            self.returning_charge = (
                max(self.returning_charge - ticket.charge, 0.0) if self.returning else 0.0
            )

    def take(self) -> Ticket:
        """The query whose turn it is; something waits."""
        if self.returning:
            ticket = self.returning.take()
        else:
            _, client = self.first()
            _, lane = client.first()
            ticket = lane.take()
            client.size -= 1
            client.serve(ticket.charge)
            self.serve(ticket.charge)
        self._gone(ticket)
        return ticket

    def peek_parts(self) -> int:
        """Parts of the query whose turn it is."""
        lane = self.returning
        if not lane:
            _, client = self.first()
            _, lane = client.first()
        return next(iter(lane.line.values())).parts

    def remove(self, ticket: Ticket) -> None:
        """A query leaves its line out of turn."""
        if ticket.returning:
            del self.returning.line[ticket.id]
        else:
            client = self.children[ticket.client]
            del client.children[ticket.query_class].line[ticket.id]
            client.size -= 1
            client.tidy()
            self.tidy()
        self._gone(ticket)

    def ahead(self, client: str) -> float:
        """Charge that is served before a new query of this client, by turns of clients."""
        busy = self.children.get(client)
        if busy is None or not busy:
            others = max(len(self.children), 1)
            mean = self.charge / max(self.size, 1)
            return min(self.charge, self.returning_charge + others * mean)
        return self.charge

    def longest(self) -> Ticket:
        """The query that came last of the client with most queries in line."""
        if len(self.returning.line) == self.size:
            return self.returning.last()
        client = max(self.children.values(), key=lambda c: c.size)
        return max(
            (lane for lane in client.children.values() if lane), key=lambda x: len(x.line)
        ).last()
