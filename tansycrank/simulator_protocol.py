"""Codec of the simulator's protocol: decodes event frames, encodes replies with actions.

A frame is a header, records of a fixed size, and a tail with data of variable length, to which
records refer by offset and length. All integers are little-endian.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass

from tansycrank import routing

HEADER = struct.Struct("<IdI")  # size of the frame, clock in ms, number of records
REPLY_HEADER = struct.Struct("<II")  # size of the frame, number of records
EVENT_BYTES = 56  # size of an event record, padded
ACTION_BYTES = 24  # size of an action record, padded
ENTRY_LAYOUT = struct.Struct("<HfIBBdH")
ALL_PEERS = 0xFFFFFFFF  # instead of the number of a peer
MAX_FRAME_BYTES = 1 << 30

# Codes of events and actions, with the names of the protocol.
ATTACH, VIEW, CRASH_NOW, FIRST, REQ, FROM_PEER, DIRECTORY, RING, DONE, ABORTED, PROBE_RESULT = (
    range(1, 12)
)
EVENT_LAYOUTS = {
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
RETRY_FLAG = 2  # in the options of REQ


class FrameError(ValueError):
    """A frame that cannot be decoded; the message gives the position of the error."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """A router instance is started, or restarted, with a seed and settings."""

    seed: int
    settings_json: str


@dataclass(frozen=True, slots=True)
class InstanceKilled:
    """A router instance was killed."""


@dataclass(frozen=True, slots=True)
class InstanceFailed:
    """The routing policy of an instance raised an exception, or could not be created."""

    text: str


class Decoder:
    """Decodes frames; keeps the numbered endpoint lists, to which later frames refer."""

    def __init__(self) -> None:
        self._endpoint_lists: dict[int, tuple[routing.EndpointEntry, ...]] = {}

    def decode(self, frame: bytes) -> tuple[float, list[tuple[int, object]]]:
        """Decode a complete frame; return the clock in ms and (instance, record) pairs."""
        if len(frame) < HEADER.size:
            raise FrameError(
                f"frame of {len(frame)} bytes is shorter than its header ({HEADER.size})"
            )
        size, clock, count = HEADER.unpack_from(frame)
        if size != len(frame):
            raise FrameError(f"byte 0: frame size is {size} but {len(frame)} bytes were received")
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
            layout = EVENT_LAYOUTS.get(frame[at])
            if layout is None:
                raise FrameError(f"{where}: unknown event code {frame[at]}")
            fields = layout.unpack_from(frame, at)
            if frame[at] == DIRECTORY:
                number, offset, length = fields
                self._endpoint_lists[number] = self._decode_entries(tail, offset, length, where)
            else:
                records.append((fields[0], self._decode_record(frame[at], fields[1:], tail, where)))
        return clock, records

    def _decode_record(self, code: int, fields: tuple, tail: bytes, where: str) -> object:
        if code == REQ:
            return _decode_request(fields)
        if code == DONE:
            shard_request, attempt, endpoint, outcome, latency, ended, count, *load = fields
            return routing.AttemptEnded(
                shard_request,
                attempt,
                endpoint,
                _look_up(OUTCOMES, outcome, "disposition", where),
                latency,
                bool(ended),
                tuple(load[:count]),
            )
        if code == RING:
            return routing.TimerExpired(*fields)
        if code == ABORTED:
            return routing.QueryCancelled(*fields)
        if code == VIEW:
            scope, _version, number = fields
            kind = _look_up(LIST_KINDS, scope, "scope", where)
            if kind is routing.EndpointListKind.FAILED:
                return routing.EndpointListUpdate(kind)
            return routing.EndpointListUpdate(
                kind, _look_up(self._endpoint_lists, number, "buffer", where)
            )
        if code == ATTACH:
            seed, offset, length = fields
            try:
                return InstanceStarted(
                    seed, _slice_of_tail(tail, offset, length, where).decode("utf-8")
                )
            except UnicodeDecodeError as error:
                raise FrameError(f"{where}: info is not UTF-8: {error}") from error
        if code == CRASH_NOW:
            return InstanceKilled()
        if code == PROBE_RESULT:
            outcome, endpoint, latency, count, *load = fields
            return routing.HealthCheckEnded(
                endpoint,
                _look_up(OUTCOMES, outcome, "disposition", where),
                latency,
                tuple(load[:count]),
            )
        if code == FROM_PEER:
            peer, offset, length = fields
            return routing.GossipReceived(peer, _slice_of_tail(tail, offset, length, where))
        return routing.ResponseStarted(*fields)

    @staticmethod
    def _decode_entries(
        tail: bytes, offset: int, count: int, where: str
    ) -> tuple[routing.EndpointEntry, ...]:
        raw = _slice_of_tail(tail, offset, count * ENTRY_LAYOUT.size, where)
        return tuple(
            routing.EndpointEntry(
                endpoint, cell, zone, _look_up(STATUSES, status, "status", where), started_at, hint
            )
            for _shape, hint, endpoint, zone, status, started_at, cell in ENTRY_LAYOUT.iter_unpack(
                raw
            )
        )


def _decode_request(fields: tuple) -> object:
    """Decode REQ: a query if its shard is negative, else a shard request.

    `measure` is the number of shard requests of a query, or the weight of a shard request.
    """
    id, measure, _work, _customer, number, query_class, key, remaining, options, shard = fields
    if shard < 0:
        return routing.QueryArrived(
            id, int(number), query_class, remaining, int(measure), key, bool(options & RETRY_FLAG)
        )
    return routing.ShardRequestArrived(id, int(number), int(shard), measure, key)


def _slice_of_tail(tail: bytes, offset: int, length: int, where: str) -> bytes:
    if offset + length > len(tail):
        raise FrameError(
            f"{where}: bytes {offset} to {offset + length} are beyond the tail of {len(tail)} bytes"
        )
    return tail[offset : offset + length]


def _look_up(table: dict, value: int, field: str, where: str) -> object:
    if value not in table:
        raise FrameError(f"{where}: unknown {field} {value}")
    return table[value]


def encode(actions: Iterable[tuple[int, object]]) -> bytes:
    """Encode a reply from (instance, action) pairs."""
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
        return _encode_text(NOTE_DOWN, instance, action.text, tail)
    if isinstance(action, InstanceFailed):
        return _encode_text(BROKEN, instance, action.text, tail)
    if type(action) not in _ACTION_LAYOUTS:
        raise TypeError(f"not an action: {action!r}")
    code, layout, fields = _ACTION_LAYOUTS[type(action)]
    return layout.pack(code, instance, *(getattr(action, field) for field in fields))


def _encode_gossip(instance: int, action: routing.SendGossip, tail: bytearray) -> bytes:
    peer = ALL_PEERS if action.peer is None else action.peer
    record = struct.pack("<BHIII", SIGNAL, instance, peer, len(tail), len(action.data))
    tail += action.data
    return record


# For each type of action: its code, the layout of its record, and the fields that it holds.
_ACTION_LAYOUTS = {
    routing.Send: (
        SUBMIT_TO,
        struct.Struct("<BHQId"),
        ("shard_request", "endpoint", "timeout"),
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


def _encode_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode("utf-8", "replace")
    record = struct.pack("<BHII", code, instance, len(tail), len(raw))
    tail += raw
    return record
