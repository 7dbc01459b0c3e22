"""Sequential reader for the fields of a message body."""

from __future__ import annotations

from tansycrank.postgres.errors import ProtocolError
from tansycrank.postgres.messages.framing import INT16, INT32


class Reader:
    """Reads the fields of one message body in sequence.

    Reading past the end raises ProtocolError, never IndexError.
    """

    def __init__(self, body: bytes, position: int = 0) -> None:
        self.body, self.position = body, position

    def take(self, size: int) -> bytes:
        """Reads the next `size` bytes."""
        if size < 0 or self.position + size > len(self.body):
            raise ProtocolError("message ends inside a field")
        self.position += size
        return self.body[self.position - size : self.position]

    def int32(self) -> int:
        """Reads a signed 32-bit integer."""
        return INT32.unpack(self.take(4))[0]

    def uint32(self) -> int:
        """Reads an unsigned 32-bit integer, such as an OID."""
        return self.int32() & 0xFFFFFFFF

    def int16(self) -> int:
        """Reads a signed 16-bit integer."""
        return INT16.unpack(self.take(2))[0]

    def count(self) -> int:
        """Reads a 16-bit count as unsigned, because drivers send counts above 32767."""
        return self.int16() & 0xFFFF

    def text(self) -> str:
        """Reads a null-terminated UTF-8 string."""
        end = self.body.find(b"\0", self.position)
        if end < 0:
            raise ProtocolError("string without its ending zero")
        raw = self.body[self.position : end]
        self.position = end + 1
        try:
            return raw.decode()
        except UnicodeDecodeError:
            raise ProtocolError("string is not UTF-8", "22021") from None

    def end(self) -> None:
        """Raises ProtocolError if any bytes remain."""
        if self.position != len(self.body):
            raise ProtocolError(
                f"{len(self.body) - self.position} bytes too many at the end of a message"
            )
