"""The journal of a node: one JSON line for each event, read by checkers."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import msgspec

MAX_BYTES = 64 * 1024 * 1024  # a longer journal ends the node
EXIT_JOURNAL_FULL = 3
MAX_VALUE_BYTES = 300  # of a value in an event


def shortened(value: bytes | None) -> str | None:
    """Return the start of a value of a statement, for an event."""
    return None if value is None else value[:MAX_VALUE_BYTES].decode("utf-8", "replace")


class JournalSession(Protocol):
    """What identifies a connection in the journal."""

    pid: int
    application_name: str


class Journal:
    """Appends events unbuffered, so that a killed node has written all of them."""

    def __init__(self, path: str, node_id: int, clock_ms: Callable[[], float]) -> None:
        self._node_id = node_id
        self._clock_ms = clock_ms
        self._size_bytes = 0
        self._file = Path(path).open("ab", buffering=0) if path else None

    def record(self, event: str, session: JournalSession | None, **fields: object) -> None:
        """Write one event."""
        if self._file is None:
            return
        head = {
            "t": round(self._clock_ms(), 3),
            "node": self._node_id,
            "ev": event,
            "conn": session.pid if session else 0,
            "app": session.application_name if session else "",
        }
        line = msgspec.json.encode(head | fields) + b"\n"
        self._size_bytes += len(line)
        self._file.write(line)
        if self._size_bytes > MAX_BYTES:
            os._exit(EXIT_JOURNAL_FULL)
