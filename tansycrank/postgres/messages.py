"""PostgreSQL protocol 3.0 as a codec: bytes in, messages out, and back. No I/O.

Source: the PostgreSQL manual, "Message Formats". Lengths on the wire are big-endian and count
themselves but not the type byte.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import lru_cache

from tansycrank.postgres.errors import PgError, ProtocolError

PROTOCOL_3 = 196608
CANCEL_CODE, SSL_CODE, GSS_CODE = 80877102, 80877103, 80877104
INT, SHORT, HEAD = struct.Struct("!i"), struct.Struct("!h"), struct.Struct("!ci")
SYNC_FRAME, FLUSH_FRAME, TERMINATE_FRAME = (
    b"S\x00\x00\x00\x04",
    b"H\x00\x00\x00\x04",
    b"X\x00\x00\x00\x04",
)
FRONTEND_TYPES = frozenset(b"BCDEFHPQSXcdfp")


class Frames:
    """Cuts a byte stream into messages. A message longer than the limit is refused before it is
    stored.
    """

    def __init__(self, limit: int, types: frozenset[int] | None = None) -> None:
        self._limit, self._types = limit, types
        self._partial, self._need = bytearray(), 0

    @property
    def held(self) -> int:
        """Bytes of an unfinished message."""
        return len(self._partial)

    def feed(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Yield (type byte, whole frame). The frame holds type and length; the body starts at byte
        5.
        """
        if self._partial:  # danger: joining at each piece would copy a long message again and again
            self._partial += data
            if len(self._partial) < self._need:
                return
            data, self._partial = bytes(self._partial), bytearray()
        at, size = 0, len(data)
        while size - at >= 5:
            kind, length = data[at], INT.unpack_from(data, at + 1)[0]
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
            self._need = 1 + INT.unpack_from(data, at + 1)[0] if size - at >= 5 else 5


class RowFrames:
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
        at, size, unpack = 0, len(data), INT.unpack_from
        while size - at >= 5:
            if data[at] == 0x44:
                start, rows = at, 0
                while size - at >= 5 and data[at] == 0x44:
                    end = at + 1 + unpack(data, at + 1)[0]
                    if end > size or end < at + 7:
                        break
                    at = end
                    rows += 1
                if rows:
                    yield 0x44, data[start:at] if at - start < size else data, rows
                    continue
            length = unpack(data, at + 1)[0]
            if length < 4 or length > self._limit or (data[at] == 0x44 and length < 6):
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
            self._need = 1 + unpack(data, at + 1)[0] if size - at >= 5 else 5


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
        return INT.unpack(self.take(4))[0]

    def uint32(self) -> int:
        """An unsigned 32-bit number (an OID)."""
        return self.int32() & 0xFFFFFFFF

    def int16(self) -> int:
        """A signed 16-bit number."""
        return SHORT.unpack(self.take(2))[0]

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


# --- from clients ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Startup:
    """Start of a session, with its parameters."""

    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """A cancel for the session of this key."""

    pid: int
    secret: int


@dataclass(frozen=True, slots=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest: answered by one byte."""


@dataclass(frozen=True, slots=True)
class Query:
    """Simple query: one or several statements."""

    sql: str


@dataclass(frozen=True, slots=True)
class Parse:
    """Prepare a statement; an OID of 0 leaves the type open."""

    name: str
    sql: str
    oids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bind:
    """Make a portal of a statement. A parameter of None is NULL; formats 0 text, 1 binary."""

    portal: str
    statement: str
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    results: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Describe:
    """Describe a statement ('S') or a portal ('P')."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a portal; a limit of 0 means all rows."""

    portal: str
    limit: int


@dataclass(frozen=True, slots=True)
class Close:
    """Drop a statement ('S') or a portal ('P')."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Flush:
    """Send what is pending."""


@dataclass(frozen=True, slots=True)
class Sync:
    """End of an extended batch; errors are skipped up to here."""


@dataclass(frozen=True, slots=True)
class Terminate:
    """The client leaves."""


@dataclass(frozen=True, slots=True)
class Unexpected:
    """A message that is known but has no place here (copy data, passwords, function calls)."""

    kind: str


def read_startup(body: bytes) -> Startup | CancelRequest | EncryptionRequest:
    """The first packet of a connection, without its length."""
    reader = Reader(body)
    code = reader.int32()
    if code in (SSL_CODE, GSS_CODE):
        reader.end()
        return EncryptionRequest()
    if code == CANCEL_CODE:
        cancel = CancelRequest(reader.int32(), reader.int32())
        reader.end()
        return cancel
    if code >> 16 != 3:
        raise ProtocolError(
            f"protocol {code >> 16}.{code & 0xFFFF} is not supported; 3.0 is", "0A000"
        )
    parameters = {}
    while True:
        name = reader.text()
        if not name:
            break
        parameters[name] = reader.text()
    reader.end()
    if "user" not in parameters:
        raise ProtocolError("no user in the startup packet", "28000")
    return Startup(parameters)


def _formats(reader: Reader) -> tuple[int, ...]:
    formats = tuple(reader.int16() for _ in range(reader.count()))
    if any(f not in (0, 1) for f in formats):
        raise ProtocolError(f"unknown format code in {formats}")
    return formats


def read_frontend(kind: int, frame: bytes):
    """One message of a client after the startup."""
    reader = Reader(frame, 5)
    match chr(kind):
        case "Q":
            message = Query(reader.text())
        case "P":
            name, sql = reader.text(), reader.text()
            message = Parse(name, sql, tuple(reader.uint32() for _ in range(reader.count())))
        case "B":
            portal, statement, formats = reader.text(), reader.text(), _formats(reader)
            values = []
            for _ in range(reader.count()):
                size = reader.int32()
                if size < -1:
                    raise ProtocolError(f"parameter of {size} bytes")
                values.append(None if size < 0 else reader.take(size))
            if len(formats) not in (0, 1, len(values)):
                raise ProtocolError(f"{len(formats)} formats for {len(values)} parameters")
            message = Bind(portal, statement, formats, tuple(values), _formats(reader))
        case "D" | "C" as letter:
            which = reader.take(1).decode("latin-1")
            if which not in "SP":
                raise ProtocolError(f"neither statement nor portal: {which!r}")
            message = (Describe if letter == "D" else Close)(which, reader.text())
        case "E":
            message = Execute(reader.text(), reader.int32())
            if message.limit < 0:
                raise ProtocolError(f"row limit of {message.limit}")
        case "H":
            message = Flush()
        case "S":
            message = Sync()
        case "X":
            message = Terminate()
        case other:
            return Unexpected(other)
    reader.end()
    return message


# --- to clients -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Field:
    """One column of a RowDescription. Its size is -1 where it varies, its format 0 text or 1
    binary.
    """

    name: str
    oid: int
    size: int = -1
    modifier: int = -1
    format: int = 0
    table: int = 0
    column: int = 0


def frame(kind: bytes, body: bytes = b"") -> bytes:
    """A message with its type and length."""
    return HEAD.pack(kind, len(body) + 4) + body


def _z(text: str) -> bytes:
    return text.replace("\0", "").encode() + b"\0"


AUTHENTICATION_OK = frame(b"R", INT.pack(0))
PARSE_COMPLETE, BIND_COMPLETE, CLOSE_COMPLETE = frame(b"1"), frame(b"2"), frame(b"3")
NO_DATA, EMPTY_QUERY, PORTAL_SUSPENDED = frame(b"n"), frame(b"I"), frame(b"s")


def ready(status: str) -> bytes:
    """ReadyForQuery: 'I' idle, 'T' in a block, 'E' in a failed block."""
    return frame(b"Z", status.encode())


def parameter_status(name: str, value: str) -> bytes:
    """A setting that clients keep a copy of."""
    return frame(b"S", _z(name) + _z(value))


def backend_key(pid: int, secret: int) -> bytes:
    """The key for CancelRequest."""
    return frame(b"K", INT.pack(pid) + struct.pack("!I", secret & 0xFFFFFFFF))


def row_description(fields: Sequence[Field]) -> bytes:
    """The columns of an answer."""
    body = [SHORT.pack(len(fields))]
    for f in fields:
        body.append(
            _z(f.name)
            + struct.pack("!IhIhih", f.table, f.column, f.oid, f.size, f.modifier, f.format)
        )
    return frame(b"T", b"".join(body))


def parameter_description(oids: Sequence[int]) -> bytes:
    """Types of a statement's parameters."""
    return frame(b"t", struct.pack(f"!H{len(oids)}I", len(oids), *oids))


def data_row(values: Sequence[bytes | None]) -> bytes:
    """One row."""
    body = [SHORT.pack(len(values))]
    for value in values:
        body.append(b"\xff\xff\xff\xff" if value is None else INT.pack(len(value)) + value)
    return frame(b"D", b"".join(body))


def command_complete(tag: str) -> bytes:
    """End of one statement."""
    return frame(b"C", _z(tag))


def error_response(error: PgError) -> bytes:
    """ErrorResponse with severity, state, message, detail and hint."""
    return frame(b"E", _error_fields(error))


def notice_response(error: PgError) -> bytes:
    """NoticeResponse: a warning that ends nothing."""
    return frame(b"N", _error_fields(error))


def _error_fields(error: PgError) -> bytes:
    fields = {
        "S": error.severity,
        "V": error.severity,
        "C": error.state,
        "M": error.message or "error",
        "D": error.detail,
        "H": error.hint,
    }
    return b"".join(code.encode() + _z(text) for code, text in fields.items() if text) + b"\0"


# --- the other side: what a link to a node writes and reads ---------------------


def startup(parameters: dict[str, str]) -> bytes:
    """A StartupMessage."""
    body = INT.pack(PROTOCOL_3) + b"".join(_z(k) + _z(v) for k, v in parameters.items()) + b"\0"
    return INT.pack(len(body) + 4) + body


def cancel_request(pid: int, secret: int) -> bytes:
    """A CancelRequest, to be sent on a connection of its own."""
    return (
        INT.pack(16)
        + INT.pack(CANCEL_CODE)
        + INT.pack(pid)
        + struct.pack("!I", secret & 0xFFFFFFFF)
    )


def query(sql: str) -> bytes:
    """A simple Query."""
    return frame(b"Q", _z(sql))


def parse(sql: str, oids: Sequence[int], name: str = "") -> bytes:
    """Parse."""
    return frame(b"P", _z(name) + _z(sql) + struct.pack(f"!H{len(oids)}I", len(oids), *oids))


def bind(values: Sequence[bytes | None], formats: Sequence[int], results: Sequence[int]) -> bytes:
    """Bind of the unnamed statement to the unnamed portal."""
    parts = [
        b"\0\0",
        struct.pack(f"!H{len(formats)}h", len(formats), *formats),
        struct.pack("!H", len(values)),
    ]
    for value in values:
        parts.append(b"\xff\xff\xff\xff" if value is None else INT.pack(len(value)) + value)
    parts.append(struct.pack(f"!H{len(results)}h", len(results), *results))
    return frame(b"B", b"".join(parts))


def describe(kind: str) -> bytes:
    """Describe of the unnamed statement ('S') or portal ('P')."""
    return frame(b"D", kind.encode() + b"\0")


def execute(limit: int = 0) -> bytes:
    """Execute of the unnamed portal."""
    return frame(b"E", b"\0" + INT.pack(limit))


def read_error(message: bytes) -> PgError:
    """An ErrorResponse or NoticeResponse of a node."""
    reader, fields = Reader(message, 5), {}
    while (code := reader.take(1)) != b"\0":
        fields[code.decode("latin-1")] = reader.text()
    return PgError(
        fields.get("C", "XX000"),
        fields.get("M", ""),
        fields.get("D", ""),
        fields.get("H", ""),
        fields.get("V") or fields.get("S", "ERROR"),
    )


@lru_cache(maxsize=1024)  # nodes describe the same columns for each part
def read_row_description(message: bytes) -> tuple[Field, ...]:
    """The columns a node announces."""
    reader, fields = Reader(message, 5), []
    for _ in range(reader.count()):
        name = reader.text()
        table, column, oid = reader.uint32(), reader.int16(), reader.uint32()
        size, modifier, code = reader.int16(), reader.int32(), reader.int16()
        fields.append(Field(name, oid, size, modifier, code, table, column))
    return tuple(fields)


def read_parameter_description(message: bytes) -> tuple[int, ...]:
    """The parameter types a node inferred."""
    reader = Reader(message, 5)
    return tuple(reader.uint32() for _ in range(reader.count()))


def read_row(message: bytes) -> list[bytes | None]:
    """The values of a DataRow."""
    count, at, values = SHORT.unpack_from(message, 5)[0], 7, []
    unpack = INT.unpack_from
    try:
        for _ in range(count):
            size = unpack(message, at)[0]
            at += 4
            if size < 0:
                values.append(None)
            else:
                values.append(message[at : at + size])
                at += size
    except struct.error:
        raise ProtocolError("row ends inside a field") from None
    if at != len(message):
        raise ProtocolError("row is longer or shorter than its fields")
    return values
