"""Recorded streams of the routing policy: settings, seed, and the events and actions of each step.

A stream contains no names of types or fields, so that renames in the code do not invalidate it: an
event is [index of its type, *fields], and an enum member is its index. Replaying a stream shows
whether the policy still makes exactly the same decisions.

`python tests/recorded_streams.py` records the streams again. Do so only in a commit that changes
decisions on purpose and states that.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator
from enum import Enum
from functools import cache
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, get_args, get_origin, get_type_hints

import msgspec
import zstandard

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

from tansycrank import routing
from tansycrank.routing.policy import RoutingPolicy

FOLDER = Path(__file__).parent / "streams"
SUFFIX = ".stream"
COMPRESSION_LEVEL = 19
MAX_STREAM_BYTES = 1 << 28

EVENTS = (
    routing.EndpointListUpdate,
    routing.QueryArrived,
    routing.ShardRequestArrived,
    routing.AttemptEnded,
    routing.ResponseStarted,
    routing.QueryCancelled,
    routing.TimerExpired,
    routing.HealthCheckEnded,
    routing.GossipReceived,
)
ACTIONS = (
    routing.Send,
    routing.Cancel,
    routing.Answer,
    routing.Reject,
    routing.Fail,
    routing.SetTimer,
    routing.WatchEndpoints,
    routing.PollEndpoints,
    routing.CheckHealth,
    routing.CloseIdleConnections,
    routing.SendGossip,
    routing.LogMessage,
)


class Step(msgspec.Struct, array_like=True):
    """One step: its time in ms, its events, and the encoded actions that the policy took."""

    now: float
    events: list[list]
    actions: bytes


class Stream(msgspec.Struct, array_like=True):
    """The steps of one router; `settings` holds the fields of `Settings` in order."""

    settings: list
    seed: int
    steps: list[Step]

    def write(self, path: Path) -> None:
        """Write the stream to a file."""
        data = msgspec.msgpack.encode(self)
        path.write_bytes(zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(data))

    @classmethod
    def read(cls, path: Path) -> Stream:
        """Read a stream from a file."""
        data = zstandard.ZstdDecompressor().decompress(
            path.read_bytes(), max_output_size=MAX_STREAM_BYTES
        )
        return msgspec.msgpack.decode(data, type=cls)

    def new_router(self) -> RoutingPolicy:
        """Create a router with the recorded settings and seed."""
        return RoutingPolicy(to_record(routing.Settings, self.settings), self.seed)

    def replay(self) -> Iterator[tuple[Step, list]]:
        """Yield each step with the actions that the current code takes."""
        router = self.new_router()
        for step in self.steps:
            events = [to_record(EVENTS[number], fields) for number, *fields in step.events]
            yield step, router.step(step.now, events)


def encode(records: list, kinds: tuple[type, ...]) -> bytes:
    """Encode events or actions to bytes."""
    return msgspec.msgpack.encode(to_positions(records, kinds))


def to_positions(records: list, kinds: tuple[type, ...]) -> list[list]:
    """Convert events or actions to lists [index of the type, *fields]."""
    return [[kinds.index(type(record)), *plain(record)] for record in records]


def plain(value: Any) -> Any:
    """Convert a record to the list of its fields, and an enum member to its index."""
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, tuple | list):
        return [plain(item) for item in value]
    return value


def to_record(kind: type, fields: list) -> Any:
    """Inverse of `plain` for a record of type `kind`."""
    return kind(*(_restore(hint, value) for hint, value in zip(_hints(kind), fields, strict=True)))


@cache
def _hints(kind: type) -> tuple:
    hints = get_type_hints(kind)
    return tuple(hints[field.name] for field in dataclasses.fields(kind))


def _restore(hint: Any, value: Any) -> Any:
    if isinstance(hint, UnionType):
        [hint] = [arg for arg in get_args(hint) if arg is not NoneType]
        return None if value is None else _restore(hint, value)
    if get_origin(hint) is tuple:
        return tuple(_restore(get_args(hint)[0], item) for item in value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return list(hint)[value]
    if dataclasses.is_dataclass(hint):
        return to_record(hint, value)
    return value


class Recorder:
    """Wraps a router and records its events and actions."""

    def __init__(self, settings: routing.Settings, seed: int) -> None:
        self.stream = Stream(plain(settings), seed, [])
        self._router = RoutingPolicy(settings, seed)

    def step(self, now_ms: float, events) -> list:
        """Run and record one step, and return its actions."""
        events = list(events)
        actions = self._router.step(now_ms, events)
        step = Step(now_ms, to_positions(events, EVENTS), encode(actions, ACTIONS))
        self.stream.steps.append(step)
        return actions


def record_fleet(routers: tuple[int, ...] = (0, 1)) -> list[Stream]:
    """Record routers of a simulated fleet: endpoints restart, polls fail, and a router restarts."""
    from tansycrank.testbed import fleet as simulation

    classes = (
        routing.QueryClass(500.0, 1600.0, 5.0),
        routing.QueryClass(500.0, 1600.0, 1.0, 0.1),
        routing.QueryClass(500.0, 2000.0, 1.0, 0.1, routing.Idempotency.NOT_IDEMPOTENT),
    )
    settings = routing.Settings(
        classes,
        0,
        12,
        0,
        3,
        1.0,
        36,
        12,
        4,
        16,
        9.0,
        3,
        True,
        True,
        False,
        False,
        True,
        500.0,
        False,
        1000,
        True,
        False,
        10_000.0,
        0.0,
        500.0,
        2.0,
        3000.0,
        0.15,
        18_000.0,
        5.0,
        0.2,
        5000.0,
        0.05,
        0.08,
    )
    fleet = simulation.Fleet(settings, 5, 25.0)
    recorders = []
    simulation.RoutingPolicy = lambda *arguments: (
        recorders.append(Recorder(*arguments)) or recorders[-1]
    )
    fleet.start(range(12))
    fleet.traffic(range(12), 9000.0, 160.0, 12)
    fleet.run(2500.0)
    restarted = [1, 2, 3, 6, 9]
    fleet.restart(restarted)
    fleet.tell(restarted)
    for number in range(12):
        fleet.handle(number, routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
    fleet.run(6000.0)
    fleet.start([1])
    fleet.run(11_000.0)
    return [recorders[number].stream for number in (*routers, 12)]


def record_cancelled_shard_request() -> Stream:
    """Record a host that cancels one shard request of a query, but not the query."""
    recorder = Recorder(
        routing.Settings(
            (
                routing.QueryClass(
                    1000.0, 4000.0, 1.0, 0.0, routing.Idempotency.IDEMPOTENT, 0.0, 0.5
                ),
            )
        ),
        1,
    )
    recorder.step(
        0.0,
        [
            routing.EndpointListUpdate(
                routing.EndpointListKind.SNAPSHOT,
                (routing.EndpointEntry(1, 0, 0, routing.EndpointStatus.IN_SERVICE),),
            )
        ],
    )
    shard_requests = [routing.ShardRequestArrived(number, 1, 0, 0.5) for number in (11, 12)]
    recorder.step(1.0, [routing.QueryArrived(10, 1, 0, 4000.0, 2), *shard_requests])
    recorder.step(2.0, [routing.QueryCancelled(11)])
    recorder.step(30.0, [routing.AttemptEnded(12, 0, 1, routing.Outcome.SUCCEEDED, 29.0)])
    recorder.step(31.0, [routing.ResponseStarted(99, 0, 1, 1.0)])
    for time, started_at in ((100.0, 90.0), (110.0, 50.0)):
        entry = routing.EndpointEntry(1, 0, 0, routing.EndpointStatus.IN_SERVICE, started_at)
        recorder.step(time, [routing.EndpointListUpdate(routing.EndpointListKind.DELTA, (entry,))])
    recorder.step(900.0, [routing.TimerExpired(1)])
    return recorder.stream


def record_hedge_beyond_max_attempts() -> Stream:
    """Record a hedge timer that fires when one attempt per shard request is allowed."""
    settings = routing.Settings((routing.QueryClass(1000.0, 4000.0, 1.0),), max_attempts=1)
    recorder = Recorder(settings, 2)
    endpoints = tuple(
        routing.EndpointEntry(number, 0, 0, routing.EndpointStatus.IN_SERVICE) for number in (1, 2)
    )
    recorder.step(0.0, [routing.EndpointListUpdate(routing.EndpointListKind.SNAPSHOT, endpoints)])
    recorder.step(
        1.0, [routing.QueryArrived(10, 1, 0, 4000.0, 1), routing.ShardRequestArrived(11, 1, 0, 1.0)]
    )
    for time in range(10, 1100, 90):
        recorder.step(float(time), [routing.TimerExpired(1)])
    return recorder.stream


def record_expired_dedup_window() -> Stream:
    """Record a shard request with a key that stays queued beyond its deduplication window."""
    classes = (
        routing.QueryClass(1000.0, 8000.0, 1.0, 0.5, routing.Idempotency.WITH_KEY, 300.0),
        routing.QueryClass(1000.0, 8000.0, 1.0, 0.5, routing.Idempotency.NOT_IDEMPOTENT),
    )
    recorder = Recorder(routing.Settings(classes, routers=6), 3)
    recorder.step(
        0.0,
        [
            routing.EndpointListUpdate(
                routing.EndpointListKind.SNAPSHOT,
                (routing.EndpointEntry(1, 0, 0, routing.EndpointStatus.IN_SERVICE),),
            )
        ],
    )
    recorder.step(
        1.0, [routing.QueryArrived(10, 1, 0, 8000.0, 1), routing.ShardRequestArrived(11, 1, 0, 1.0)]
    )
    for number in range(2, 9):
        query = routing.QueryArrived(10 * number, number, 1, 8000.0, 1)
        recorder.step(
            float(number), [query, routing.ShardRequestArrived(10 * number + 1, number, 0, 1.0)]
        )
    recorder.step(100.0, [routing.AttemptEnded(11, 0, 1, routing.Outcome.TIMED_OUT, 99.0)])
    for time in range(150, 3000, 50):
        recorder.step(float(time), [routing.TimerExpired(1)])
    return recorder.stream


def main() -> None:
    """Record the streams of the fleet and of the single scenarios again."""
    for number, stream in enumerate(record_fleet()):
        stream.write(FOLDER / f"fleet-{number}{SUFFIX}")
    record_cancelled_shard_request().write(FOLDER / f"part-given-up-alone{SUFFIX}")
    record_hedge_beyond_max_attempts().write(FOLDER / f"hedge-beyond-the-attempts{SUFFIX}")
    record_expired_dedup_window().write(FOLDER / f"repeat-window-passes-in-line{SUFFIX}")


if __name__ == "__main__":
    main()
