"""Framing: cuts byte streams into messages and gives messages their type and length.

Source: the PostgreSQL manual, "Message Formats". Lengths on the wire are big-endian and count
themselves but not the type byte.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from tansycrank.postgres.errors import ProtocolError

INT32 = struct.Struct("!i")
INT16 = struct.Struct("!h")
HEADER = struct.Struct("!ci")  # type and length
HEADER_BYTES = 5
DATA_ROW_TYPE = 0x44  # b"D"


def frame(kind: bytes, body: bytes = b"") -> bytes:
    """A message with its type and length."""
    return HEADER.pack(kind, len(body) + 4) + body


def null_terminated(text: str) -> bytes:
    """A string field: UTF-8 without inner zeros, ended by one."""
    return text.replace("\0", "").encode() + b"\0"


class MessageSplitter:
    """Cuts a byte stream into messages. A message longer than the limit is refused before it is
    stored.
    """

    def __init__(self, limit: int, types: frozenset[int] | None = None) -> None:
        self._limit, self._types = limit, types
        self._partial, self._need = bytearray(), 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an unfinished message."""
        return len(self._partial)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Yield (type byte, whole frame). The frame holds type and length; the body starts at byte
        5.
        """
        if self._partial:  # joining at each call would copy a long message many times
            self._partial += data
            if len(self._partial) < self._need:
                return
            data, self._partial = bytes(self._partial), bytearray()
        at, size = 0, len(data)
        while size - at >= HEADER_BYTES:
            kind, length = data[at], INT32.unpack_from(data, at + 1)[0]
            if self._types is not None and kind not in self._types:
                raise ProtocolError(f"unknown message type {bytes([kind])!r}")
            if length < 4 or length > self._limit:
                raise ProtocolError(
                    f"message of type {chr(kind)!r} says {length} bytes; allowed 4 to {self._limit}"
                )
            end = at + 1 + length
            if end > size:
                break
            yield kind, data[at:end]
            at = end
        if at < size:
            self._partial = bytearray(data[at:])
            self._need = (
                1 + INT32.unpack_from(data, at + 1)[0]
                if size - at >= HEADER_BYTES
                else HEADER_BYTES
            )


class RowBlockSplitter:
    """Cuts what a node sends: runs of whole DataRow messages stay together as one block.

    Only the unfinished message at the end of the data is copied, once it is whole, however long it
    is.
    """

    def __init__(self, limit: int) -> None:
        self._limit, self._partial, self._need = limit, bytearray(), 0

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes, int]]:
        """Yield (type byte, bytes, messages): rows by the block, all others one by one."""
        if self._partial:
            self._partial += data
            if len(self._partial) < self._need:
                return
            data = bytes(self._partial)
            self._partial = bytearray()
        at, size, unpack = 0, len(data), INT32.unpack_from
        while size - at >= HEADER_BYTES:
            if data[at] == DATA_ROW_TYPE:
                start, rows = at, 0
                while size - at >= HEADER_BYTES and data[at] == DATA_ROW_TYPE:
                    end = at + 1 + unpack(data, at + 1)[0]
                    if end > size or end < at + 7:
                        break
                    at = end
                    rows += 1
                if rows:
                    yield DATA_ROW_TYPE, data[start:at] if at - start < size else data, rows
                    continue
            length = unpack(data, at + 1)[0]
            if length < 4 or length > self._limit or (data[at] == DATA_ROW_TYPE and length < 6):
                raise ProtocolError(
                    f"message of type {chr(data[at])!r} says {length} bytes", "54000"
                )
            end = at + 1 + length
            if end > size:
                break
            yield data[at], data[at:end], 1
            at = end
        if at < size:
            self._partial = bytearray(data[at:])
            self._need = 1 + unpack(data, at + 1)[0] if size - at >= HEADER_BYTES else HEADER_BYTES
