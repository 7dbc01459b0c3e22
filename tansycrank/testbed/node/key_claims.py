"""Idempotency keys that all nodes of a store share: a file for each key, in a common folder."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import xxhash

CLAIMED_AT = struct.Struct("=d")  # ms of the monotonic clock, which all nodes of a machine share


class KeyClaims:
    """Claims keys for a time. Replication alone could arrive after the retry of a write."""

    def __init__(self, folder: str, window_ms: float) -> None:
        self._folder = folder
        self._window_ms = window_ms

    def claim(self, key: str, now_ms: float) -> bool:
        """Whether no replica has claimed this key within the window; claims it if so."""
        if not self._folder:
            return True
        path = Path(self._folder) / f"key-{xxhash.xxh3_64_hexdigest(key.encode())}"
        try:
            file = os.open(path, os.O_CREAT | os.O_EXCL | os.O_RDWR)
        except FileExistsError:
            file = os.open(path, os.O_RDWR)
            if self._is_claimed(file, now_ms):
                os.close(file)
                return False
        os.pwrite(file, CLAIMED_AT.pack(now_ms), 0)
        os.close(file)
        return True

    def _is_claimed(self, file: int, now_ms: float) -> bool:
        claimed = os.pread(file, CLAIMED_AT.size, 0)
        if len(claimed) < CLAIMED_AT.size:  # another node is writing it at this moment
            return True
        return now_ms - CLAIMED_AT.unpack(claimed)[0] < self._window_ms
