"""Reads the fields of a message body."""

from __future__ import annotations

from tansycrank.postgres.errors import ProtocolError
from tansycrank.postgres.messages.framing import INT16, INT32


class Reader:
    """Reads the fields of one message body; running off its end is a ProtocolError, never an
    IndexError.
    """

    def __init__(self, body: bytes, at: int = 0) -> None:
        self.body, self.at = body, at

    def take(self, size: int) -> bytes:
        """The next bytes."""
        if size < 0 or self.at + size > len(self.body):
            raise ProtocolError("message ends inside a field")
        self.at += size
        return self.body[self.at - size : self.at]

    def int32(self) -> int:
        """A signed 32-bit number."""
        return INT32.unpack(self.take(4))[0]

    def uint32(self) -> int:
        """An unsigned 32-bit number (an OID)."""
        return self.int32() & 0xFFFFFFFF

    def int16(self) -> int:
        """A signed 16-bit number."""
        return INT16.unpack(self.take(2))[0]

    def count(self) -> int:
        """A 16-bit count: never negative (drivers send more than 32767 as unsigned)."""
        return self.int16() & 0xFFFF

    def text(self) -> str:
        """A zero-ended string, UTF-8."""
        end = self.body.find(b"\0", self.at)
        if end < 0:
            raise ProtocolError("string without its ending zero")
        raw = self.body[self.at : end]
        self.at = end + 1
        try:
            return raw.decode()
        except UnicodeDecodeError:
            raise ProtocolError("string is not UTF-8", "22021") from None

    def end(self) -> None:
        """Nothing may follow."""
        if self.at != len(self.body):
            raise ProtocolError(
                f"{len(self.body) - self.at} bytes too many at the end of a message"
            )
