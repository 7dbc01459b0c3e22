"""Temporary files for spilled rows: compressed, checksummed and limited by a quota.

A run is a file of blocks: raw length, stored length, XXH3 of the raw bytes, zstandard data. The
file is unlinked as soon as it is open, so that even `kill -9` leaves nothing behind. A file that
remains because the process died between opening and unlinking is removed at the next start.
"""

from __future__ import annotations

import os
import struct
import tempfile
from pathlib import Path

import xxhash
import zstandard

from tansycrank.postgres.errors import PgError

BLOCK_HEADER = struct.Struct("!IIQ")
ZSTD_LEVEL = (
    1  # rows compress well at the fastest level; a slower one would cost more than it saves
)
DISK_FULL, IO_ERROR = "53100", "58030"
FILE_PREFIX = "tansycrank-run-"


class SpillSpace:
    """The spill directory and its quota in bytes, which covers the runs of this process.

    Processes may share the directory: the names of the files carry the process ID.
    """

    def __init__(self, directory: str, quota: int) -> None:
        self.quota, self.used, self.peak, self.total, self.runs = quota, 0, 0, 0, 0
        self._directory = (
            Path(directory)
            if directory
            else Path(tempfile.gettempdir()) / f"tansycrank-{os.getuid()}"
        )
        self._ready = False

    def remove_leftover_files(self) -> int:
        """Create the directory and remove files of dead processes; returns how many."""
        removed = 0
        self._directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        for path in self._directory.glob(f"{FILE_PREFIX}*"):
            pid = path.name.removeprefix(FILE_PREFIX).split("-")[0]
            if pid.isdigit() and not Path(f"/proc/{pid}").exists():
                path.unlink(missing_ok=True)
                removed += 1
        self._ready = True
        return removed

    def create_run(self) -> Run:
        """Create a run. Raises PgError 58030 if the directory can't be used."""
        try:
            if not self._ready:
                self.remove_leftover_files()
            handle, name = tempfile.mkstemp(
                prefix=f"{FILE_PREFIX}{os.getpid()}-", dir=self._directory
            )
            Path(name).unlink()
        except OSError as problem:
            raise PgError(IO_ERROR, f"can't spill: {problem.strerror}") from None
        self.runs += 1
        return Run(self, handle)

    def reserve(self, size: int) -> None:
        """Reserve bytes of the quota before a write. Raises PgError 53100 if it is exceeded."""
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
    """A spill file: blocks are appended, then read once in order. `size` is in bytes on disk."""

    def __init__(self, space: SpillSpace, handle: int) -> None:
        self.space, self.size, self.raw = space, 0, 0
        self._handle, self._read_at, self._open = handle, 0, True
        self._packer, self._unpacker = (
            zstandard.ZstdCompressor(level=ZSTD_LEVEL),
            zstandard.ZstdDecompressor(),
        )

    def append(self, block: bytes) -> None:
        """Write a block. Raises PgError 53100 on a failure; the caller must then close the run."""
        packed = self._packer.compress(block)
        record = (
            BLOCK_HEADER.pack(len(block), len(packed), xxhash.xxh3_64_intdigest(block)) + packed
        )
        self.space.reserve(len(record))
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
        """Whether blocks remain to be read."""
        return self._read_at < self.size

    def read(self) -> bytes:
        """Read the next block. Raises PgError 58030 if it is truncated or its checksum differs."""
        header = os.pread(self._handle, BLOCK_HEADER.size, self._read_at)
        if len(header) < BLOCK_HEADER.size:
            raise PgError(IO_ERROR, "a spilled run ends early")
        raw, packed, check = BLOCK_HEADER.unpack(header)
        data = os.pread(self._handle, packed, self._read_at + BLOCK_HEADER.size)
        try:
            block = self._unpacker.decompress(data, max_output_size=raw)
        except zstandard.ZstdError:
            raise PgError(IO_ERROR, "a spilled block can't be unpacked") from None
        if len(block) != raw or xxhash.xxh3_64_intdigest(block) != check:
            raise PgError(IO_ERROR, "a spilled block is not what was written")
        self._read_at += BLOCK_HEADER.size + packed
        return block

    def close(self) -> None:
        """Close the file and release its disk space."""
        if self._open:
            self._open = False
            self.space.used -= self.size
            os.close(self._handle)
