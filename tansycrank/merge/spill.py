"""Rows on disk: compressed, checked, within a quota, and gone when their query or this process is.

A run is a file of blocks: raw length, stored length, XXH3 of the raw bytes, zstandard data. It is
unlinked as soon as it is open, so that not even a `kill -9` leaves it behind; what a crash left
between the two is removed at the start.
"""

from __future__ import annotations

import os
import struct
import tempfile
from pathlib import Path

import xxhash
import zstandard

from tansycrank.postgres.errors import PgError

HEAD = struct.Struct("!IIQ")
LEVEL = 1  # of zstandard: rows compress well at once, and a spill must not cost more than it saves
DISK_FULL, IO_ERROR = "53100", "58030"
PREFIX = "tansycrank-run-"


class SpillSpace:
    """One directory with a quota in bytes. All files of it are this process's own."""

    def __init__(self, directory: str, quota: int) -> None:
        self.quota, self.used, self.peak, self.total, self.runs = quota, 0, 0, 0, 0
        self._directory = (
            Path(directory)
            if directory
            else Path(tempfile.gettempdir()) / f"tansycrank-{os.getuid()}"
        )
        self._ready = False

    def remove_leftover_files(self) -> int:
        """Make the directory, remove what a crash left; returns how many files went."""
        gone = 0
        self._directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        for path in self._directory.glob(f"{PREFIX}*"):
            pid = path.name.removeprefix(PREFIX).split("-")[0]
            if pid.isdigit() and not Path(f"/proc/{pid}").exists():
                path.unlink(missing_ok=True)
                gone += 1
        self._ready = True
        return gone

    def create_run(self) -> Run:
        """A new run. Raises PgError 58030 where the directory can't be used."""
        try:
            if not self._ready:
                self.remove_leftover_files()
            handle, name = tempfile.mkstemp(prefix=f"{PREFIX}{os.getpid()}-", dir=self._directory)
            Path(name).unlink()
        except OSError as problem:
            raise PgError(IO_ERROR, f"can't spill: {problem.strerror}") from None
        self.runs += 1
        return Run(self, handle)

    def take(self, size: int) -> None:
        """Count bytes about to be written. Raises PgError 53100 past the quota."""
        if self.used + size > self.quota:
            raise PgError(
                DISK_FULL,
                f"spilled rows of all queries exceed {self.quota} bytes",
                hint="try again later, or ask for less; the bound is [merge] spill_quota",
            )
        self.used += size
        self.total += size
        self.peak = max(self.peak, self.used)


class Run:
    """One file: blocks are appended, then read in order, once. `size` is what it takes on disk."""

    def __init__(self, space: SpillSpace, handle: int) -> None:
        self.space, self.size, self.raw = space, 0, 0
        self._handle, self._read_at, self._open = handle, 0, True
        self._packer, self._unpacker = (
            zstandard.ZstdCompressor(level=LEVEL),
            zstandard.ZstdDecompressor(),
        )

    def append(self, block: bytes) -> None:
        """Write a block. Raises PgError 53100 or 58030; the run is to be closed then."""
        packed = self._packer.compress(block)
        record = HEAD.pack(len(block), len(packed), xxhash.xxh3_64_intdigest(block)) + packed
        self.space.take(len(record))
        try:
            written = 0
            while written < len(record):
                written += os.pwrite(self._handle, record[written:], self.size + written)
        except OSError as problem:
            self.space.used -= len(record)
            raise PgError(DISK_FULL, f"can't spill: {problem.strerror}") from None
        self.size += len(record)
        self.raw += len(block)

    @property
    def left(self) -> bool:
        """Whether a block is still to be read."""
        return self._read_at < self.size

    def read(self) -> bytes:
        """The next block. Raises PgError 58030 if what comes back is not what was written."""
        head = os.pread(self._handle, HEAD.size, self._read_at)
        if len(head) < HEAD.size:
            raise PgError(IO_ERROR, "a spilled run ends early")
        raw, packed, check = HEAD.unpack(head)
        data = os.pread(self._handle, packed, self._read_at + HEAD.size)
        try:
            block = self._unpacker.decompress(data, max_output_size=raw)
        except zstandard.ZstdError:
            raise PgError(IO_ERROR, "a spilled block can't be unpacked") from None
        if len(block) != raw or xxhash.xxh3_64_intdigest(block) != check:
            raise PgError(IO_ERROR, "a spilled block is not what was written")
        self._read_at += HEAD.size + packed
        return block

    def close(self) -> None:
        """Give the disk back."""
        if self._open:
            self._open = False
            self.space.used -= self.size
            os.close(self._handle)
