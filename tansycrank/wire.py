"""Frames of the simulator's wire, to and from the terms of `interface.py`. Translation only."""

from __future__ import annotations

import json
import math
import struct
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from tansycrank import interface as io

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
    10: io.Outcome.ANSWERED,
    20: io.Outcome.ERROR,
    30: io.Outcome.REJECTED,
    40: io.Outcome.TIMED_OUT,
    50: io.Outcome.UNCONNECTED,
    60: io.Outcome.BROKEN_OFF,
    70: io.Outcome.CANCELLED,
    80: io.Outcome.NOT_SENT,
}
STATUSES = {0: io.Status.GONE, 1: io.Status.DRAINING, 2: io.Status.READY}
LIST_KINDS = {
    0: io.ListKind.FULL,
    1: io.ListKind.FAILED,
    2: io.ListKind.CHANGES,
    3: io.ListKind.CACHED,
}
EFFECTS = {
    "read_like": io.Effect.SAFE,
    "idempotency_key": io.Effect.KEYED,
    "non_idempotent": io.Effect.UNSAFE,
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
        self._lists: dict[int, tuple[io.Listed, ...]] = {}

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
            part, attempt, server, ended, took, closed, count, *load = fields
            return io.AttemptEnded(
                part,
                attempt,
                server,
                _known(OUTCOMES, ended, "disposition", where),
                took,
                bool(closed),
                tuple(load[:count]),
            )
        if code == RING:
            return io.Woken(*fields)
        if code == ABORTED:
            return io.QueryGone(*fields)
        if code == VIEW:
            scope, _version, number = fields
            kind = _known(LIST_KINDS, scope, "scope", where)
            if kind is io.ListKind.FAILED:
                return io.ServerList(kind)
            return io.ServerList(kind, _known(self._lists, number, "buffer", where))
        if code == ATTACH:
            seed, offset, length = fields
            try:
                return Attached(seed, _slice(tail, offset, length, where).decode("utf-8"))
            except UnicodeDecodeError as error:
                raise FrameError(f"{where}: info is not UTF-8: {error}") from error
        if code == CRASH_NOW:
            return Killed()
        if code == PROBE_RESULT:
            ended, server, took, count, *load = fields
            return io.ProbeEnded(
                server, _known(OUTCOMES, ended, "disposition", where), took, tuple(load[:count])
            )
        if code == FROM_PEER:
            peer, offset, length = fields
            return io.PeerSaid(peer, _slice(tail, offset, length, where))
        return io.AnswerBegan(*fields)

    @staticmethod
    def _entries(tail: bytes, offset: int, count: int, where: str) -> tuple[io.Listed, ...]:
        raw = _slice(tail, offset, count * ENTRY.size, where)
        return tuple(
            io.Listed(server, cell, zone, _known(STATUSES, status, "status", where), came_up, hint)
            for _shape, hint, server, zone, status, came_up, cell in ENTRY.iter_unpack(raw)
        )


def _request(fields: tuple) -> object:
    job, measure, _work, _customer, number, query_class, key, left, options, shard = fields
    if shard < 0:
        return io.QueryArrived(
            job, int(number), query_class, left, int(measure), key, bool(options & REPEAT_BIT)
        )
    return io.PartArrived(job, int(number), int(shard), measure, key)


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
    match action:
        case io.Send(part, server, time_out):
            return struct.pack("<BHQId", SUBMIT_TO, instance, part, server, time_out)
        case io.Wake(after, token):
            return struct.pack("<BHdQ", WAKE_ME, instance, after, token)
        case io.Cancel(part, attempt):
            return struct.pack("<BHQB", DROP_ATTEMPT, instance, part, attempt)
        case io.Answer(query, whole):
            return struct.pack("<BHQB", CONCLUDE, instance, query, whole)
        case io.Shed(query, hold_off):
            return struct.pack("<BHQd", SHED, instance, query, hold_off)
        case io.Fail(query):
            return struct.pack("<BHQ", REPORT_FAILURE, instance, query)
        case io.Watch(on):
            return struct.pack("<BHB", OBSERVE, instance, on)
        case io.FetchList():
            return struct.pack("<BH", RELOAD, instance)
        case io.Probe(server):
            return struct.pack("<BHI", SAMPLE, instance, server)
        case io.CloseIdle(server):
            return struct.pack("<BHI", CLOSE_IDLE, instance, server)
        case io.TellPeer(peer, data):
            code = struct.pack(
                "<BHIII",
                SIGNAL,
                instance,
                EVERY_PEER if peer is None else peer,
                len(tail),
                len(data),
            )
            tail += data
            return code
        case io.Note(text):
            return _text(NOTE_DOWN, instance, text, tail)
        case Broken(text):
            return _text(BROKEN, instance, text, tail)
    raise TypeError(f"not an action: {action!r}")


def _text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode("utf-8", "replace")
    record = struct.pack("<BHII", code, instance, len(tail), len(raw))
    tail += raw
    return record


_FIELDS = (  # of `interface.Settings`: the group of the settings object, the key there, what it is
    ("me", "", "me", "count"),
    ("routers", "", "replicasOfMe", "count"),
    ("zone", "", "zone", "count"),
    ("tick", "", "step", "number"),
    ("shards", "familyInfo", "slabs", "count"),
    ("cells", "familyInfo", "positions", "count"),
    ("reach", "familyInfo", "inARow", "count"),
    ("call_parts", "familyInfo", "bundleMax", "count"),
    ("call_work", "familyInfo", "perCallWork", "number"),
    ("attempts_cap", "caps", "attemptsCap", "count"),
    ("second_copies", "caps", "secondCopies", "flag"),
    ("can_cancel", "caps", "cancel", "flag"),
    ("can_probe", "caps", "mayProbe", "flag"),
    ("can_tell_peers", "caps", "peers", "flag"),
    ("can_hold_off", "caps", "retryAfter", "flag"),
    ("hold_off_max", "caps", "maxRetryAfter", "number"),
    ("open_cap", "caps", "openCap", "count"),
    ("marks_repeats", "clients", "marksRetry", "flag"),
    ("ask_every", "rules", "askEvery", "number"),
    ("answer_grace", "rules", "graceToAnswer", "number"),
    ("drain_grace", "rules", "stopSendingWithin", "number"),
    ("cold_multiple", "rules", "overloadFactor", "number"),
    ("cold_window", "rules", "fall", "number"),
    ("cold_from", "rules", "coldFrom", "number"),
    ("cold_time", "rules", "cold", "number"),
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
    ("aim", "aim"),
    ("give_up", "giveUp"),
    ("worth", "points"),
    ("late_worth", "lateWorth"),
    ("dedup_window", "window"),
)
_CLASS_SHARES = (
    ("floor", "minShare"),
    ("whole_at", "wholeAt"),
    ("short_worth", "shortWorth"),
    ("follow_up", "followUp"),
)


def settings_from(info: str) -> io.Settings:
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
    must_ask = root.word("discovery", ("ask", "push")) == "ask"
    zones = len(root.listed("localities"))
    return _made(io.Settings, places, classes=classes, zones=zones, must_ask=must_ask, **told)


def _class(family: _Node, node: _Node, index: int) -> io.QueryClass:
    told: dict[str, object] = {name: node.number(key) for name, key in _CLASS_FIELDS}
    places = {name: f"{node.path}.{key}" for name, key in _CLASS_FIELDS}
    for name, key in _CLASS_SHARES:
        values, places[name] = family.listed(key), f"{family.path}.{key}[{index}]"
        if index >= len(values):
            raise ValueError(f"{places[name]}: no figure for class {index}")
        told[name] = _number(values[index], places[name])
    _count(told["follow_up"], places["follow_up"])
    return _made(io.QueryClass, places, effect=EFFECTS[node.word("effect", EFFECTS)], **told)


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
