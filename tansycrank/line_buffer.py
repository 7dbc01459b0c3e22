"""Splits a byte stream into lines. No I/O."""

from __future__ import annotations


class LineBuffer:
    """Buffers an unfinished line; the work is linear in the bytes, however small the pieces are."""

    def __init__(self) -> None:
        self._partial = bytearray()

    def __len__(self) -> int:
        return len(self._partial)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that these bytes complete, without their line feeds."""
        if b"\n" not in data:  # the bytes before them hold no line feed either
            self._partial += data
            return []
        first, *lines, rest = data.split(b"\n")
        self._partial += first
        lines.insert(0, bytes(self._partial))
        self._partial = bytearray(rest)
        return lines
