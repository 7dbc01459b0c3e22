"""Startup packets: framing and the settings in them."""

from __future__ import annotations

from collections.abc import Iterator

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import ProtocolError

MIN_PACKET_BYTES = 8
MAX_PACKET_BYTES = 10_000  # PostgreSQL's own limit
LENGTH_BYTES = 4
NON_SETTING_PARAMETERS = ("user", "database", "options", "replication")
PROTOCOL_OPTION_PREFIX = "_pq_."

StartupPacket = pg.Startup | pg.CancelRequest | pg.EncryptionRequest


class StartupReader:
    """Splits the first bytes of a connection into packets, which have no type byte."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    def next_packet(self) -> StartupPacket | None:
        """Return the next complete packet, None if more bytes are needed. Raises ProtocolError."""
        if len(self._buffer) < LENGTH_BYTES:
            return None
        size = pg.INT32.unpack_from(self._buffer)[0]
        if not MIN_PACKET_BYTES <= size <= MAX_PACKET_BYTES:
            allowed = f"allowed {MIN_PACKET_BYTES} to {MAX_PACKET_BYTES}"
            raise ProtocolError(f"startup packet says {size} bytes; {allowed}")
        if len(self._buffer) < size:
            return None
        body, self._buffer = self._buffer[LENGTH_BYTES:size], self._buffer[size:]
        return pg.read_startup(body)

    def take_remaining(self) -> bytes:
        """Return the bytes after the last packet: the first messages of the session."""
        remaining, self._buffer = self._buffer, b""
        return remaining


def startup_settings(parameters: dict[str, str]) -> Iterator[tuple[str, str]]:
    """Yield (name, value) of all settings in a startup packet, those of `options` first."""
    yield from _command_line_settings(parameters.get("options", ""))
    for name, value in parameters.items():
        if name not in NON_SETTING_PARAMETERS and not name.startswith(PROTOCOL_OPTION_PREFIX):
            yield name, value


def _command_line_settings(options: str) -> Iterator[tuple[str, str]]:
    """Yield settings in the forms `-c name=value`, `-cname=value` and `--name=value`."""
    words = options.replace("\\ ", " ").split()
    for index, word in enumerate(words):
        if word == "-c" and index + 1 < len(words):
            continue
        setting = word
        if word.startswith(("--", "-c")):
            setting = word[2:]
        name, equals, value = setting.partition("=")
        if equals:
            yield name.replace("-", "_"), value
