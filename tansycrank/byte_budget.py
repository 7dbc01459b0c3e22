"""A bound on the bytes that all connections of a kind hold together."""

from __future__ import annotations

from typing import Protocol


class ByteHolder(Protocol):
    """A connection that buffers what its peer sends, or what its peer does not read."""

    @property
    def held_bytes(self) -> int:
        """Number of bytes that it holds now."""

    def release_bytes(self) -> None:
        """Give up what it holds: all connections together hold too much, and it the most."""


class ByteBudget:
    """Keeps the sum of all holders under `limit_bytes` by releasing the largest ones.

    Limits of each connection alone would not do: their number times the limit may be more than the
    memory of the process.
    """

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0  # as last reported; holders may have released bytes since
        self.releases = 0  # how many holders had to give up what they held
        self._sizes: dict[ByteHolder, int] = {}
        self._is_enforcing = False
        self._updates = 0  # since the sizes of all holders were read last

    def set_limit(self, limit_bytes: float) -> None:
        """Change the limit; release the largest holders if the sum is above it."""
        self.limit_bytes = limit_bytes
        self._updates = len(self._sizes)
        self._release_excess()

    def update(self, holder: ByteHolder) -> None:
        """Record what a holder holds now; release the largest holders if the sum is too large."""
        self._updates += 1
        self._record(holder, holder.held_bytes)
        self._release_excess()

    def remove(self, holder: ByteHolder) -> None:
        """Forget a holder that has closed."""
        self._record(holder, 0)

    def _record(self, holder: ByteHolder, size: int) -> None:
        self.held_bytes += size - self._sizes.pop(holder, 0)
        if size:
            self._sizes[holder] = size

    def _release_excess(self) -> None:
        if self.held_bytes > self.limit_bytes and not self._is_enforcing:
            self._is_enforcing = True
            try:
                self._enforce()
            finally:
                self._is_enforcing = False

    def _enforce(self) -> None:
        # Reading all sizes at each update would cost the square of the number of holders.
        if self._updates >= len(self._sizes):
            self._updates = 0
            for holder in list(self._sizes):
                self._record(holder, holder.held_bytes)
        while self.held_bytes > self.limit_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self._record(largest, largest.held_bytes)
            if self.held_bytes <= self.limit_bytes:
                return
            self.remove(largest)
            self.releases += 1
            largest.release_bytes()
