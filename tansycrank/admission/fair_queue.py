"""Hierarchical start-time fair queueing: tenants, their clients, and classes of a client.

Each scheduler keeps a virtual time, the start tag of what it served last. A child that becomes busy
starts at that time, or earlier by its burst; serving it moves its tag by cost / weight. So over any
span two busy children are served by weight, within the cost of one query each, and an idle child
earns no credit but its burst. Virtual time also advances by what is served, as in WF2Q+, so that a
stream of new children can't starve those that wait. Sources: P. Goyal, H. Vin, H. Cheng,
"Start-time Fair Queueing", 1996; J. Bennett, H. Zhang, "Hierarchical Packet Fair Queueing
Algorithms", 1996.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

WEIGHT_MEMORY_SERVICES = 256  # services over which children that became busy are remembered
SPARE_EMPTY_CHILDREN = (
    64  # empty children a level may hold beside the busy ones before it is tidied
)


@dataclass(slots=True, eq=False)
class QueuedQuery:
    """A query at the door. Times are ms; `charge` is in parts of average work; `size` is bytes
    held.
    """

    id: int
    tenant: str
    client: str
    query_class: int
    statement: int
    shard_requests: int
    cost: float
    size: int
    latest_start: float  # the last moment at which its turn would still be of use
    fingerprint: int = 0  # what tells this query from others of its client
    session: int = 0
    is_returning: bool = False  # it was told to come back, and did
    is_light: bool = False  # it was let past the line
    admitted_at: float = 0.0


class FifoQueue:
    """Queries of one class of one client, first in, first out."""

    __slots__ = (
        "burst",
        "cost_correction",
        "finish_tag",
        "is_scheduled",
        "items",
        "start_tag",
        "weight",
    )

    def __init__(self, weight: float = 1.0) -> None:
        self.weight, self.start_tag, self.finish_tag, self.burst, self.cost_correction = (
            weight,
            0.0,
            0.0,
            0.0,
            0.0,
        )
        self.is_scheduled = False
        self.items: OrderedDict[int, QueuedQuery] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self.items)

    def add(self, query: QueuedQuery) -> None:
        """Append a query."""
        self.items[query.id] = query

    def take(self) -> QueuedQuery:
        """Remove the first query; the queue is not empty."""
        return self.items.popitem(last=False)[1]

    def last(self) -> QueuedQuery:
        """The newest query."""
        return self.items[next(reversed(self.items))]


class FairScheduler:
    """Children served by weight: queues or schedulers, which are kept while they are busy."""

    def __init__(self, weight: float = 1.0) -> None:
        self.weight, self.start_tag, self.finish_tag, self.burst, self.cost_correction = (
            weight,
            0.0,
            0.0,
            0.0,
            0.0,
        )
        self.is_scheduled = False  # in its parent's heap
        self.virtual_time = 0.0
        self.recent_weight = 1.0  # weight of children that became busy of late
        self.children: dict[object, FairScheduler | FifoQueue] = {}
        self._heap: list[tuple[float, int, object, FairScheduler | FifoQueue]] = []
        self._count = 0
        self.size = 0  # queries in all queues below

    def __bool__(self) -> bool:
        return self.size > 0

    def schedule(self, key: object, child: FairScheduler | FifoQueue) -> None:
        """Schedule a child that is busy by its start tag."""
        self.children[key] = child
        if not child.is_scheduled:
            child.start_tag = self._resumed_start_tag(child)
            self.recent_weight += child.weight
            self._push(key, child)

    def _resumed_start_tag(self, child: FairScheduler | FifoQueue) -> float:
        """The start tag of a child that was idle, after correction of estimated costs."""
        child.finish_tag += child.cost_correction
        child.cost_correction = 0.0
        return max(self.virtual_time - child.burst, child.finish_tag)

    def serve_unqueued(self, child: FairScheduler | FifoQueue, cost: float) -> None:
        """Account for a query of this child that is served without being queued."""
        start_tag = self._resumed_start_tag(child)
        child.finish_tag = start_tag + cost / child.weight
        self.virtual_time = max(self.virtual_time, start_tag)

    def _push(self, key: object, child: FairScheduler | FifoQueue) -> None:
        child.is_scheduled = True
        self._count += 1
        heapq.heappush(self._heap, (child.start_tag, self._count, key, child))

    def first(self) -> tuple[object, FairScheduler | FifoQueue] | None:
        """The child that is served next, None if all are empty; empty ones are dropped."""
        while self._heap:
            _, _, key, child = self._heap[0]
            if child:
                return key, child
            heapq.heappop(self._heap)
            self._forget(key, child)
        return None

    def _forget(self, key: object, child: FairScheduler | FifoQueue) -> None:
        child.is_scheduled = False
        if self.children.get(key) is child:
            del self.children[key]

    def serve(self, cost: float) -> None:
        """Account for a query of the first child."""
        start_tag, _, key, child = heapq.heappop(self._heap)
        # By start tags alone, a stream of new children would hold virtual time back and starve
        # children with later tags. So it also advances by what is served, but no faster than if all
        # children that became busy recently were still busy.
        self.recent_weight = max(
            self.recent_weight * (1.0 - 1.0 / WEIGHT_MEMORY_SERVICES), child.weight
        )
        self.virtual_time = max(
            self.virtual_time + cost / (self.recent_weight + child.weight), start_tag
        )
        child.finish_tag = max(start_tag + cost / child.weight + child.cost_correction, start_tag)
        child.cost_correction = 0.0
        child.is_scheduled = False
        if child:
            child.start_tag = child.finish_tag
            self._push(key, child)
        else:
            self._forget(key, child)

    def park(self) -> None:
        """Take the first child out without serving it; `schedule` restores its start tag."""
        _, _, _, child = heapq.heappop(self._heap)
        child.is_scheduled = False
        child.finish_tag = max(child.finish_tag, child.start_tag)

    def compact(self) -> None:
        """Drop empty children once they outnumber the busy ones."""
        if len(self._heap) > 2 * self.size + SPARE_EMPTY_CHILDREN:
            kept = []
            for entry in self._heap:
                if entry[3]:
                    kept.append(entry)
                else:
                    self._forget(entry[2], entry[3])
            heapq.heapify(kept)
            self._heap = kept


class TenantQueue(FairScheduler):
    """Queued queries of one tenant: returning ones first, then fairly by client and class."""

    def __init__(self, weight: float, class_weights: tuple[float, ...]) -> None:
        super().__init__(weight)
        self.class_weights = class_weights
        self.returning = FifoQueue()
        self.cost = 0.0  # of all queued queries
        self.returning_cost = 0.0

    def add(self, query: QueuedQuery) -> None:
        """Queue a query."""
        self.size += 1
        self.cost += query.cost
        if query.is_returning:
            self.returning.add(query)
            self.returning_cost += query.cost
            return
        client = self.children.get(query.client)
        if client is None:
            client = FairScheduler()
        class_queue = client.children.get(query.query_class)
        if class_queue is None:
            class_queue = FifoQueue(self.class_weights[query.query_class])
        class_queue.add(query)
        client.size += 1
        client.schedule(query.query_class, class_queue)
        self.schedule(query.client, client)

    def _removed(self, query: QueuedQuery) -> None:
        self.size -= 1
        self.cost = max(self.cost - query.cost, 0.0) if self.size else 0.0
        if query.is_returning:
            self.returning_cost = (
                max(self.returning_cost - query.cost, 0.0) if self.returning else 0.0
            )

    def take(self) -> QueuedQuery:
        """Take the next query; the queue is not empty."""
        if self.returning:
            query = self.returning.take()
        else:
            _, client = self.first()
            _, class_queue = client.first()
            query = class_queue.take()
            client.size -= 1
            client.serve(query.cost)
            self.serve(query.cost)
        self._removed(query)
        return query

    def next_shard_requests(self) -> int:
        """The number of shard requests of the next query."""
        class_queue = self.returning
        if not class_queue:
            _, client = self.first()
            _, class_queue = client.first()
        return next(iter(class_queue.items.values())).shard_requests

    def remove(self, query: QueuedQuery) -> None:
        """Remove a query, not in the order of service."""
        if query.is_returning:
            del self.returning.items[query.id]
        else:
            client = self.children[query.client]
            del client.children[query.query_class].items[query.id]
            client.size -= 1
            client.compact()
            self.compact()
        self._removed(query)

    def cost_ahead(self, client: str) -> float:
        """The cost that is served before a new query of this client."""
        busy = self.children.get(client)
        if busy is None or not busy:
            others = max(len(self.children), 1)
            mean = self.cost / max(self.size, 1)
            return min(self.cost, self.returning_cost + others * mean)
        return self.cost

    def newest_of_largest_client(self) -> QueuedQuery:
        """The newest query of the client with most queued queries."""
        if len(self.returning.items) == self.size:
            return self.returning.last()
        client = max(self.children.values(), key=lambda c: c.size)
        return max(
            (class_queue for class_queue in client.children.values() if class_queue),
            key=lambda x: len(x.items),
        ).last()
