"""Watches the resident memory of the process: the last line behind all bounds on what is held."""

from __future__ import annotations

import ctypes
import os
from collections.abc import Callable
from enum import Enum
from pathlib import Path

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# shares of the memory between the start of the process and its limit
HIGH_SHARE = 0.6  # above that memory is short
LOW_SHARE = 0.45  # below that it is no longer
MIN_ROOM_BYTES = 4 * 1024 * 1024  # a smaller limit is not guarded: there is nothing to shed


class MemoryState(Enum):
    """Whether memory is short."""

    NORMAL = "normal"
    SHORT = "short"


def anonymous_bytes() -> int:
    """Return the anonymous resident memory of this process; 0 if the system does not tell it."""
    try:
        _, resident, shared, *_ = STATM.read_bytes().split()
    except (OSError, ValueError):
        return 0
    return (int(resident) - int(shared)) * PAGE_BYTES


def return_free_memory() -> None:
    """Return freed memory of the C heap to the system, where its library can do that."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryMonitor:
    """Compares the memory of the process with its limit, with hysteresis.

    `start` takes the memory that the process has without any request as the base.
    """

    def __init__(self, limit_bytes: int, read: Callable[[], int] = anonymous_bytes) -> None:
        self.limit_bytes = limit_bytes
        self.state = MemoryState.NORMAL
        self.used_bytes = self.max_used_bytes = 0  # when it was checked
        self._read = read
        self._base_bytes = 0

    def start(self) -> None:
        """Record the memory of the idle process."""
        self._base_bytes = self._read()

    def check(self) -> bool:
        """Read the memory; return whether the state has changed."""
        self.used_bytes = self._read()
        self.max_used_bytes = max(self.max_used_bytes, self.used_bytes)
        room = self.limit_bytes - self._base_bytes
        if not self.used_bytes or room < MIN_ROOM_BYTES:
            return False
        share = (self.used_bytes - self._base_bytes) / room
        before = self.state
        if share > HIGH_SHARE:
            self.state = MemoryState.SHORT
        elif share < LOW_SHARE:
            self.state = MemoryState.NORMAL
        return self.state is not before
