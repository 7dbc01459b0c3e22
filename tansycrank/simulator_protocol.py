"""Codec of the simulator's protocol: frames and settings to and from the types of `routing`."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from tansycrank import routing

HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
EVENT_BYTES = 56
ACTION_BYTES = 24
ENTRY = struct.Struct("<HfIBBdH")
EVERY_PEER = 0xFFFFFFFF
MAX_FRAME = 1 << 30

ATTACH, VIEW, CRASH_NOW, FIRST, REQ, FROM_PEER, DIRECTORY, RING, DONE, ABORTED, PROBE_RESULT = (
    range(1, 12)
)
EVENTS = {
    ATTACH: struct.Struct("<xHQII"),
    VIEW: struct.Struct("<xHBIB"),
    CRASH_NOW: struct.Struct("<xH"),
    FIRST: struct.Struct("<xHQBId"),
    REQ: struct.Struct("<xHQfdHfHQdBf"),
    FROM_PEER: struct.Struct("<xHHII"),
    DIRECTORY: struct.Struct("<xBII"),
    RING: struct.Struct("<xHQ"),
    DONE: struct.Struct("<xHQBIBdBB4f"),
    ABORTED: struct.Struct("<xHQ"),
    PROBE_RESULT: struct.Struct("<xHBIdB4f"),
}
(
    DROP_ATTEMPT,
    SIGNAL,
    SHED,
    CONCLUDE,
    REPORT_FAILURE,
    NOTE_DOWN,
    BROKEN,
    SAMPLE,
    RELOAD,
    OBSERVE,
    CLOSE_IDLE,
    WAKE_ME,
    SUBMIT_TO,
) = range(65, 78)
OUTCOMES = {
    10: routing.Outcome.SUCCEEDED,
    20: routing.Outcome.ERROR,
    30: routing.Outcome.REJECTED,
    40: routing.Outcome.TIMED_OUT,
    50: routing.Outcome.CONNECT_FAILED,
    60: routing.Outcome.CONNECTION_LOST,
    70: routing.Outcome.CANCELLED,
    80: routing.Outcome.NOT_SENT,
}
STATUSES = {
    0: routing.EndpointStatus.REMOVED,
    1: routing.EndpointStatus.DRAINING,
    2: routing.EndpointStatus.IN_SERVICE,
}
LIST_KINDS = {
    0: routing.EndpointListKind.SNAPSHOT,
    1: routing.EndpointListKind.FAILED,
    2: routing.EndpointListKind.DELTA,
    3: routing.EndpointListKind.CACHED,
}
EFFECTS = {
    "read_like": routing.Idempotency.IDEMPOTENT,
    "idempotency_key": routing.Idempotency.WITH_KEY,
    "non_idempotent": routing.Idempotency.NOT_IDEMPOTENT,
}
REPEAT_BIT = 2


class FrameError(ValueError):
    """A frame that can't be read, with the place of the fault."""


@dataclass(frozen=True, slots=True)
class Attached:
    """A fresh instance, with its seed and the text of its settings."""

    seed: int
    info: str


@dataclass(frozen=True, slots=True)
class Killed:
    """The instance is no more."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The decision code of an instance has failed."""

    text: str


class Decoder:
    """Turns frames into (clock, [(instance, record)]); remembers the numbered lists."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[routing.EndpointEntry, ...]] = {}

    def decode(self, frame: bytes) -> tuple[float, list[tuple[int, object]]]:
        """Read one whole frame, header included."""
        if len(frame) < HEADER.size:
            raise FrameError(
                f"frame of {len(frame)} bytes is shorter than its header ({HEADER.size})"
            )
        size, clock, count = HEADER.unpack_from(frame)
        if size != len(frame):
            raise FrameError(f"byte 0: frame says {size} bytes but has {len(frame)}")
        tail_at = HEADER.size + count * EVENT_BYTES
        if tail_at > size:
            raise FrameError(
                f"byte 12: {count} records need {tail_at} bytes but the frame has {size}"
            )
        tail = frame[tail_at:]
        records = []
        for index in range(count):
            at = HEADER.size + index * EVENT_BYTES
            where = f"record {index} at byte {at}"
            layout = EVENTS.get(frame[at])
            if layout is None:
                raise FrameError(f"{where}: unknown event code {frame[at]}")
            fields = layout.unpack_from(frame, at)
            if frame[at] == DIRECTORY:
                number, offset, length = fields
                self._lists[number] = self._entries(tail, offset, length, where)
            else:
                records.append((fields[0], self._record(frame[at], fields[1:], tail, where)))
        return clock, records

    def _record(self, code: int, fields: tuple, tail: bytes, where: str) -> object:
        if code == REQ:
            return _request(fields)
        if code == DONE:
            shard_request, attempt, endpoint, ended, latency, closed, count, *load = fields
            return routing.AttemptEnded(
                shard_request,
                attempt,
                endpoint,
                _known(OUTCOMES, ended, "disposition", where),
                latency,
                bool(closed),
                tuple(load[:count]),
            )
        if code == RING:
            return routing.TimerExpired(*fields)
        if code == ABORTED:
            return routing.QueryCancelled(*fields)
        if code == VIEW:
            scope, _version, number = fields
            kind = _known(LIST_KINDS, scope, "scope", where)
            if kind is routing.EndpointListKind.FAILED:
                return routing.EndpointListUpdate(kind)
            return routing.EndpointListUpdate(kind, _known(self._lists, number, "buffer", where))
        if code == ATTACH:
            seed, offset, length = fields
            try:
                return Attached(seed, _slice(tail, offset, length, where).decode("utf-8"))
            except UnicodeDecodeError as error:
                raise FrameError(f"{where}: info is not UTF-8: {error}") from error
        if code == CRASH_NOW:
            return Killed()
        if code == PROBE_RESULT:
            ended, endpoint, latency, count, *load = fields
            return routing.HealthCheckEnded(
                endpoint,
                _known(OUTCOMES, ended, "disposition", where),
                latency,
                tuple(load[:count]),
            )
        if code == FROM_PEER:
            peer, offset, length = fields
            return routing.GossipReceived(peer, _slice(tail, offset, length, where))
        return routing.ResponseStarted(*fields)

    @staticmethod
    def _entries(
        tail: bytes, offset: int, count: int, where: str
    ) -> tuple[routing.EndpointEntry, ...]:
        raw = _slice(tail, offset, count * ENTRY.size, where)
        return tuple(
            routing.EndpointEntry(
                endpoint, cell, zone, _known(STATUSES, status, "status", where), came_up, hint
            )
            for _shape, hint, endpoint, zone, status, came_up, cell in ENTRY.iter_unpack(raw)
        )


def _request(fields: tuple) -> object:
    job, measure, _work, _customer, number, query_class, key, left, options, shard = fields
    if shard < 0:
        return routing.QueryArrived(
            job, int(number), query_class, left, int(measure), key, bool(options & REPEAT_BIT)
        )
    return routing.ShardRequestArrived(job, int(number), int(shard), measure, key)


def _slice(tail: bytes, offset: int, length: int, where: str) -> bytes:
    if offset + length > len(tail):
        raise FrameError(
            f"{where}: bytes {offset} to {offset + length} lie beyond the tail of {len(tail)} bytes"
        )
    return tail[offset : offset + length]


def _known(table: dict, value: int, field: str, where: str) -> object:
    if value not in table:
        raise FrameError(f"{where}: unknown {field} {value}")
    return table[value]


def encode(actions: Iterable[tuple[int, object]]) -> bytes:
    """Write one reply from (instance, action) pairs."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, action in actions:
        records.append(_encode(instance, action, tail).ljust(ACTION_BYTES, b"\0"))
    body = b"".join(records) + bytes(tail)
    return REPLY_HEADER.pack(REPLY_HEADER.size + len(body), len(records)) + body


def _encode(instance: int, action: object, tail: bytearray) -> bytes:
    if isinstance(action, routing.SendGossip):
        return _encode_gossip(instance, action, tail)
    if isinstance(action, routing.LogMessage):
        return _text(NOTE_DOWN, instance, action.text, tail)
    if isinstance(action, Broken):
        return _text(BROKEN, instance, action.text, tail)
    if type(action) not in _ACTIONS:
        raise TypeError(f"not an action: {action!r}")
    code, layout, fields = _ACTIONS[type(action)]
    return layout.pack(code, instance, *(getattr(action, field) for field in fields))


def _encode_gossip(instance: int, action: routing.SendGossip, tail: bytearray) -> bytes:
    peer = EVERY_PEER if action.peer is None else action.peer
    record = struct.pack("<BHIII", SIGNAL, instance, peer, len(tail), len(action.data))
    tail += action.data
    return record


# By action: its code on the wire, the layout of its record, and the fields in it.
_ACTIONS = {
    routing.Send: (
        SUBMIT_TO,
        struct.Struct("<BHQId"),
        ("shard_request", "endpoint", "time_out"),
    ),
    routing.SetTimer: (WAKE_ME, struct.Struct("<BHdQ"), ("after", "token")),
    routing.Cancel: (DROP_ATTEMPT, struct.Struct("<BHQB"), ("shard_request", "attempt")),
    routing.Answer: (CONCLUDE, struct.Struct("<BHQB"), ("query", "complete")),
    routing.Reject: (SHED, struct.Struct("<BHQd"), ("query", "retry_after")),
    routing.Fail: (REPORT_FAILURE, struct.Struct("<BHQ"), ("query",)),
    routing.WatchEndpoints: (OBSERVE, struct.Struct("<BHB"), ("on",)),
    routing.PollEndpoints: (RELOAD, struct.Struct("<BH"), ()),
    routing.CheckHealth: (SAMPLE, struct.Struct("<BHI"), ("endpoint",)),
    routing.CloseIdleConnections: (CLOSE_IDLE, struct.Struct("<BHI"), ("endpoint",)),
}


def _text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode("utf-8", "replace")
    record = struct.pack("<BHII", code, instance, len(tail), len(raw))
    tail += raw
    return record


_FIELDS = (  # of `interface.Settings`: the group of the settings object, the key there, what it is
    ("router_index", "", "me", "count"),
    ("routers", "", "replicasOfMe", "count"),
    ("zone", "", "zone", "count"),
    ("tick", "", "step", "number"),
    ("shards", "familyInfo", "slabs", "count"),
    ("cells", "familyInfo", "positions", "count"),
    ("replica_span", "familyInfo", "inARow", "count"),
    ("call_batch_size", "familyInfo", "bundleMax", "count"),
    ("call_work", "familyInfo", "perCallWork", "number"),
    ("max_attempts", "caps", "attemptsCap", "count"),
    ("allows_hedging", "caps", "secondCopies", "flag"),
    ("can_cancel", "caps", "cancel", "flag"),
    ("can_check_health", "caps", "mayProbe", "flag"),
    ("can_gossip", "caps", "peers", "flag"),
    ("can_retry_after", "caps", "retryAfter", "flag"),
    ("max_retry_after", "caps", "maxRetryAfter", "number"),
    ("max_in_flight", "caps", "openCap", "count"),
    ("marks_retries", "clients", "marksRetry", "flag"),
    ("poll_interval", "rules", "askEvery", "number"),
    ("answer_grace", "rules", "graceToAnswer", "number"),
    ("drain_grace", "rules", "stopSendingWithin", "number"),
    ("slow_start_overload_factor", "rules", "overloadFactor", "number"),
    ("slow_start_window", "rules", "fall", "number"),
    ("slow_start_initial_share", "rules", "coldFrom", "number"),
    ("slow_start_duration", "rules", "cold", "number"),
    ("price_crossing", "prices", "crossZone", "number"),
    ("price_waste", "prices", "waste", "number"),
    ("price_probe", "prices", "probe", "number"),
    ("price_late_fail", "prices", "lateFail", "number"),
)
_BUDGET = (
    ("budget_floor", "rules", "extraFloor", "number"),
    ("budget_share", "rules", "repeatRatio", "number"),
    ("budget_window", "rules", "countedOver", "number"),
)
_CLASS_FIELDS = (
    ("latency_objective", "aim"),
    ("deadline", "giveUp"),
    ("priority_weight", "points"),
    ("late_weight", "lateWorth"),
    ("dedup_window", "window"),
)
_CLASS_SHARES = (
    ("minimum_coverage", "minShare"),
    ("complete_coverage", "wholeAt"),
    ("partial_weight", "shortWorth"),
    ("follow_up", "followUp"),
)


def settings_from(info: str) -> routing.Settings:
    """Read the settings text of an instance; ValueError names the place of what is missing or
    absurd.
    """
    try:
        raw = json.loads(info)
    except json.JSONDecodeError as error:
        raise ValueError(f"settings: not JSON: {error}") from error
    root = _Node(raw, "settings")
    groups = {
        name: root.node(name) for name in ("familyInfo", "caps", "clients", "rules", "prices")
    }
    groups[""] = root
    budget = any(
        key in groups["rules"].raw for _, _, key, _ in _BUDGET
    )  # danger: half of one taken for none
    fields = _FIELDS + (_BUDGET if budget else ())
    told = {name: getattr(groups[group], kind)(key) for name, group, key, kind in fields}
    places = {name: f"{groups[group].path}.{key}" for name, group, key, _ in fields}
    classes = tuple(
        _class(groups["familyInfo"], node, index)
        for index, node in enumerate(root.items("services"))
    )
    places |= {"classes": "settings.services", "zones": "settings.localities"}
    polls_discovery = root.word("discovery", ("ask", "push")) == "ask"
    zones = len(root.listed("localities"))
    return _made(
        routing.Settings,
        places,
        classes=classes,
        zones=zones,
        polls_discovery=polls_discovery,
        **told,
    )


def _class(family: _Node, node: _Node, index: int) -> routing.QueryClass:
    told: dict[str, object] = {name: node.number(key) for name, key in _CLASS_FIELDS}
    places = {name: f"{node.path}.{key}" for name, key in _CLASS_FIELDS}
    for name, key in _CLASS_SHARES:
        values, places[name] = family.listed(key), f"{family.path}.{key}[{index}]"
        if index >= len(values):
            raise ValueError(f"{places[name]}: no figure for class {index}")
        told[name] = _number(values[index], places[name])
    _count(told["follow_up"], places["follow_up"])
    return _made(
        routing.QueryClass, places, idempotency=EFFECTS[node.word("effect", EFFECTS)], **told
    )


def _made(kind: type, places: Mapping[str, str], **told: object):
    """A record of these values; what it does not take is told with the place that it came from."""
    try:
        return kind(**told)
    except ValueError as problem:
        name, colon, rest = str(problem).partition(":")
        raise ValueError(f"{places.get(name, name)}{colon}{rest}") from problem


def _number(value: object, path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{path}: a number is needed, got {value!r:.40}")
    return value


def _count(value: object, path: str) -> int:
    number = _number(value, path)
    if number != int(number):
        raise ValueError(f"{path}: a whole number is needed, got {number}")
    return int(number)


class _Node:
    """A JSON object that knows its own path, so that a fault can name it."""

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ValueError(f"{path}: an object is needed, got {type(raw).__name__}")
        self.raw = raw
        self.path = path

    def __getitem__(self, key: str) -> object:
        if key not in self.raw:
            raise ValueError(f"{self.path}.{key}: required key is missing")
        return self.raw[key]

    def node(self, key: str) -> _Node:
        """The object under this key."""
        return _Node(self[key], f"{self.path}.{key}")

    def number(self, key: str) -> float:
        """A finite number."""
        return _number(self[key], f"{self.path}.{key}")

    def count(self, key: str) -> int:
        """A whole number."""
        return _count(self[key], f"{self.path}.{key}")

    def flag(self, key: str) -> bool:
        """True or false, or 1 or 0."""
        if self[key] not in (True, False):
            raise ValueError(f"{self.path}.{key}: true or false is needed, got {self[key]!r:.40}")
        return bool(self[key])

    def word(self, key: str, known: Container[str]) -> str:
        """One of the words that are known."""
        if not isinstance(self[key], str) or self[key] not in known:
            raise ValueError(f"{self.path}.{key}: unknown word {self[key]!r:.40}")
        return self[key]

    def listed(self, key: str) -> list:
        """A list."""
        if not isinstance(self[key], list):
            raise ValueError(f"{self.path}.{key}: a list is needed, got {self[key]!r:.40}")
        return self[key]

    def items(self, key: str) -> list[_Node]:
        """The objects of a list."""
        return [
            _Node(value, f"{self.path}.{key}[{index}]")
            for index, value in enumerate(self.listed(key))
        ]
