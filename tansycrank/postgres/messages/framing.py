"""Message framing: splits byte streams into messages and adds type and length to message bodies.

Source: the PostgreSQL manual, "Message Formats". Lengths on the wire are big-endian and include
the length field itself but not the type byte.
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
MAX_COUNT = 0xFFFF  # of parameters, formats or types in a message: their count has 16 bits


def frame(kind: bytes, body: bytes = b"") -> bytes:
    """Returns a message body with type and length prepended."""
    return HEADER.pack(kind, len(body) + 4) + body


def null_terminated(text: str) -> bytes:
    """Encodes a string field as null-terminated UTF-8 and removes embedded null characters."""
    return text.replace("\0", "").encode() + b"\0"


class MessageSplitter:
    """Splits a byte stream into messages.

    A message longer than `limit` bytes is rejected before it is buffered.
    """

    def __init__(self, limit: int, types: frozenset[int] | None = None) -> None:
        self._limit, self._types = limit, types
        self._partial, self._needed_bytes = bytearray(), 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered of an incomplete message."""
        return len(self._partial)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Yields (type byte, complete frame).

        The frame includes type and length; its body starts at byte 5.
        """
        if self._partial:  # appending avoids a full copy of a long message at each call
            self._partial += data
            if len(self._partial) < self._needed_bytes:
                return
            data, self._partial = bytes(self._partial), bytearray()
        offset, size = 0, len(data)
        while size - offset >= HEADER_BYTES:
            kind, length = data[offset], INT32.unpack_from(data, offset + 1)[0]
            if self._types is not None and kind not in self._types:
                raise ProtocolError(f"unknown message type {bytes([kind])!r}")
            if length < 4 or length > self._limit:
                raise ProtocolError(
                    f"message of type {chr(kind)!r} says {length} bytes; allowed 4 to {self._limit}"
                )
            end = offset + 1 + length
            if end > size:
                break
            yield kind, data[offset:end]
            offset = end
        if offset < size:
            self._partial = bytearray(data[offset:])
            self._needed_bytes = (
                1 + INT32.unpack_from(data, offset + 1)[0]
                if size - offset >= HEADER_BYTES
                else HEADER_BYTES
            )


class RowBlockSplitter:
    """Splits the byte stream of a data node; consecutive complete DataRow messages form one block.

    Only the incomplete message at the end of the data is buffered. It is copied once, when it is
    complete, regardless of its length.
    """

    def __init__(self, limit: int) -> None:
        self._limit, self._partial, self._needed_bytes = limit, bytearray(), 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered of an incomplete message."""
        return len(self._partial)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes, int]]:
        """Yields (type byte, bytes, number of messages): rows in blocks, other messages singly."""
        if self._partial:
            self._partial += data
            if len(self._partial) < self._needed_bytes:
                return
            data = bytes(self._partial)
            self._partial = bytearray()
        offset, size, unpack = 0, len(data), INT32.unpack_from
        while size - offset >= HEADER_BYTES:
            if data[offset] == DATA_ROW_TYPE:
                start, rows = offset, 0
                while size - offset >= HEADER_BYTES and data[offset] == DATA_ROW_TYPE:
                    end = offset + 1 + unpack(data, offset + 1)[0]
                    if end > size or end < offset + 7:
                        break
                    offset = end
                    rows += 1
                if rows:
                    yield DATA_ROW_TYPE, data[start:offset] if offset - start < size else data, rows
                    continue
            length = unpack(data, offset + 1)[0]
            if length < 4 or length > self._limit or (data[offset] == DATA_ROW_TYPE and length < 6):
                raise ProtocolError(
                    f"message of type {chr(data[offset])!r} says {length} bytes", "54000"
                )
            end = offset + 1 + length
            if end > size:
                break
            yield data[offset], data[offset:end], 1
            offset = end
        if offset < size:
            self._partial = bytearray(data[offset:])
            self._needed_bytes = (
                1 + unpack(data, offset + 1)[0] if size - offset >= HEADER_BYTES else HEADER_BYTES
            )
