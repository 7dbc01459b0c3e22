"""What the parties of a soak record: one JSON line each. Times are ms of the monotonic clock."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import TypeVar

import msgspec

Record = TypeVar("Record")


class NodeEventKind(Enum):
    """What a data node notes."""

    CALL = "call"  # a sub-request came whole
    BUSY = "busy"  # it was turned away: it never ran
    GIVE_UP = "give_up"  # the router no longer waits for it
    FELL = "fell"  # the node was pushed over while it was cold


class NodeEvent(msgspec.Struct, omit_defaults=True):
    """One event at a data node."""

    at: float
    node: str
    kind: NodeEventKind
    request: str = ""
    shard: int = -1
    wait: float = 0.0  # ms that the router said it will wait
    key: str = ""
    share: float = 0.0  # of what the cold node may get


class Ending(Enum):
    """How a client's request ended."""

    ANSWERED = "answered"  # 200, whole
    PARTIAL = "partial"  # 200, not whole
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    NO_ANSWER = "no answer"  # the connection ended, or nothing came long after the deadline
    CROSSED = "crossed"  # a kept connection ended before any byte of an answer
    UNREACHABLE = "unreachable"  # no connection
    LEFT = "left"  # the client closed before its answer


class ClientRecord(msgspec.Struct, omit_defaults=True):
    """One request of a client. `sent` is when its last byte was written, `ended` when the client
    knew.
    """

    request: str
    router: int
    effect: str
    shards: tuple[int, ...]
    sent: float
    deadline: float  # ms from `sent`
    ended: float
    ending: Ending
    detail: str = ""
    seen_open: float = 0.0  # when its connection was last seen open by the client's kernel


class HalfRequest(msgspec.Struct):
    """A client that stopped in the middle of a request and stayed."""

    router: int
    sent: float
    ended: float
    ended_by_router: bool


class Told(msgspec.Struct):
    """Discovery wrote these states to a router."""

    at: float
    router: int
    version: int
    states: dict[str, str]
    full: bool = False


class FaultRecord(msgspec.Struct):
    """One fault that was carried out; `until` is when its effect ended."""

    at: float
    kind: str
    target: str
    until: float
    value: float = 0.0


def write(path: Path, records: Iterable[msgspec.Struct]) -> None:
    """Write records to a file."""
    path.write_bytes(b"".join(msgspec.json.encode(record) + b"\n" for record in records))


def read(path: Path, kind: type[Record]) -> list[Record]:
    """Read the records of a file; a last line that a kill cut short is left out."""
    if not path.exists():
        return []
    found = []
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            found.append(msgspec.json.decode(line, type=kind))
    return found
