"""Decodes frontend messages, which clients send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tansycrank.postgres.errors import ProtocolError
from tansycrank.postgres.messages.framing import HEADER_BYTES
from tansycrank.postgres.messages.reader import Reader

PROTOCOL_3 = 196608
CANCEL_REQUEST_CODE = 80877102
SSL_REQUEST_CODE = 80877103
GSSENC_REQUEST_CODE = 80877104
FRONTEND_TYPES = frozenset(b"BCDEFHPQSXcdfp")


@dataclass(frozen=True, slots=True)
class Startup:
    """StartupMessage: starts a session with the given parameters."""

    parameters: dict[str, str]


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """CancelRequest: cancels the query of the session identified by this key."""

    pid: int
    secret: int


@dataclass(frozen=True, slots=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest; the response is a single byte."""


@dataclass(frozen=True, slots=True)
class Query:
    """Simple query: one or more statements."""

    sql: str


@dataclass(frozen=True, slots=True)
class Parse:
    """Prepares a statement; a parameter OID of 0 leaves the type unspecified."""

    name: str
    sql: str
    oids: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Bind:
    """Creates a portal from a prepared statement.

    A value of None is NULL. Format codes are 0 for text and 1 for binary.
    """

    portal: str
    statement: str
    formats: tuple[int, ...]
    values: tuple[bytes | None, ...]
    result_formats: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Describe:
    """Requests the description of a statement ('S') or a portal ('P')."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Executes a portal; a row limit of 0 returns all rows."""

    portal: str
    limit: int


@dataclass(frozen=True, slots=True)
class Close:
    """Closes a statement ('S') or a portal ('P')."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Flush:
    """Requests delivery of pending responses."""


@dataclass(frozen=True, slots=True)
class Sync:
    """Ends an extended-query batch; after an error, messages are skipped up to Sync."""


@dataclass(frozen=True, slots=True)
class Terminate:
    """The client ends the session."""


@dataclass(frozen=True, slots=True)
class Unexpected:
    """A known message type that is not supported (COPY data, passwords, function calls)."""

    kind: str


FrontendMessage = (
    Query | Parse | Bind | Describe | Execute | Close | Flush | Sync | Terminate | Unexpected
)


def read_startup(body: bytes) -> Startup | CancelRequest | EncryptionRequest:
    """Decodes the first packet of a connection, without its length field. Raises ProtocolError."""
    reader = Reader(body)
    code = reader.int32()
    if code in (SSL_REQUEST_CODE, GSSENC_REQUEST_CODE):
        reader.end()
        return EncryptionRequest()
    if code == CANCEL_REQUEST_CODE:
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


def read_frontend(kind: int, frame: bytes) -> FrontendMessage:
    """Decodes a client message that follows the startup packet. Raises ProtocolError."""
    reader = Reader(frame, HEADER_BYTES)
    letter = chr(kind)
    read_body = BODY_READERS.get(letter)
    if read_body is None:
        return Unexpected(letter)
    message = read_body(reader)
    reader.end()
    return message


def _read_parse(reader: Reader) -> Parse:
    name, sql = reader.text(), reader.text()
    return Parse(name, sql, tuple(reader.uint32() for _ in range(reader.count())))


def _read_bind(reader: Reader) -> Bind:
    portal, statement, formats = reader.text(), reader.text(), _formats(reader)
    values = tuple(_parameter(reader) for _ in range(reader.count()))
    if len(formats) not in (0, 1, len(values)):
        raise ProtocolError(f"{len(formats)} formats for {len(values)} parameters")
    return Bind(portal, statement, formats, values, _formats(reader))


def _parameter(reader: Reader) -> bytes | None:
    size = reader.int32()
    if size < -1:
        raise ProtocolError(f"parameter of {size} bytes")
    return None if size < 0 else reader.take(size)


def _read_target(reader: Reader) -> tuple[str, str]:
    """Reads kind ('S' statement, 'P' portal) and name of the target of Describe or Close."""
    kind = reader.take(1).decode("latin-1")
    if kind not in "SP":
        raise ProtocolError(f"neither statement nor portal: {kind!r}")
    return kind, reader.text()


def _read_execute(reader: Reader) -> Execute:
    message = Execute(reader.text(), reader.int32())
    if message.limit < 0:
        raise ProtocolError(f"row limit of {message.limit}")
    return message


BODY_READERS: dict[str, Callable[[Reader], FrontendMessage]] = {
    "Q": lambda reader: Query(reader.text()),
    "P": _read_parse,
    "B": _read_bind,
    "D": lambda reader: Describe(*_read_target(reader)),
    "C": lambda reader: Close(*_read_target(reader)),
    "E": _read_execute,
    "H": lambda reader: Flush(),
    "S": lambda reader: Sync(),
    "X": lambda reader: Terminate(),
}
