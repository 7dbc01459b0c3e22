"""Loads and validates the configuration: environment variables and the `NODE_CONFIG` file.

Shutdown times and connection limits are derived from it. The `settings` object of the file uses the
simulator's names and is read by `operator_settings.parse_settings`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import msgspec

from tansycrank import routing
from tansycrank.json_input import JsonInputError, decode_json
from tansycrank.operator_settings import parse_settings

# ms: the platform counts longer deadlines as this when it computes the time for a restart
MAX_COUNTED_DEADLINE = 3_000.0
KILL_DELAY = 700.0  # ms: SIGKILL follows SIGTERM no sooner than the longest deadline plus this
KILL_MARGIN = 150.0  # ms before SIGKILL at which open queries are rejected or failed
# ms from SIGTERM: new connections, with requests in transit, keep arriving for 400 ms
MIN_DRAIN_DELAY = 500.0
RESERVED_DESCRIPTORS = 64  # descriptors not used for client or data node connections
# share of the descriptors for idle client connections; a third is for clients with requests
IDLE_CLIENT_SHARE = 1 / 6
# share of the descriptors for client connections; the rest is for connections to data nodes
CLIENT_SHARE = 0.5

# share of the memory limit for bytes that all client connections hold, and for those that all
# connections to data nodes hold; the objects made of them take several times as much for a moment
HELD_BYTES_SHARE = 1 / 8
BYTES_PER_MB = 1024 * 1024
RECENT_REQUESTS_SHARE = 1 / 32  # share of the memory limit for ids of ended requests
RECENT_REQUEST_BYTES = 220  # of one such id

MAX_HOST_LENGTH = 255  # characters
PORT = re.compile(r"[0-9]{1,5}")


class ConfigError(ValueError):
    """An invalid configuration; the message names the field and the problem."""


class EndpointDocument(msgspec.Struct, frozen=True):
    """A data node in the format of discovery."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class EndpointListDocument(msgspec.Struct, frozen=True):
    """An endpoint list in the format of discovery: a snapshot if `full`, otherwise a delta."""

    version: int
    servers: list[EndpointDocument]
    full: bool = False


PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class _ResourceLimits(msgspec.Struct):
    cores: PositiveFloat = 1.0
    memory_mb: PositiveFloat = 192
    sockets: int = 256


class _ConfigFile(msgspec.Struct):
    settings: msgspec.Raw
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: _ResourceLimits = msgspec.field(default_factory=_ResourceLimits)
    known: EndpointListDocument = EndpointListDocument(0, [], True)


class _ServiceClass(msgspec.Struct):
    name: str


class _Capabilities(msgspec.Struct, rename="camel"):
    streams_per_conn: Annotated[int, msgspec.Meta(ge=0)] = 1
    connect_timeout: PositiveFloat = 250.0
    conn_idle: PositiveFloat = 15_000.0


class _ConnectionSettings(msgspec.Struct):
    services: list[_ServiceClass]
    localities: list[str]
    caps: _Capabilities


_CONFIG_FILE_DECODER = msgspec.json.Decoder(_ConfigFile)
_CONNECTION_SETTINGS_DECODER = msgspec.json.Decoder(_ConnectionSettings)


@dataclass(frozen=True, slots=True)
class Settings:
    """The validated configuration. `connect_timeout` and `idle_timeout` are in ms."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    memory_mb: float
    sockets: int
    cached_endpoint_list: EndpointListDocument
    module: routing.Settings
    classes: dict[str, int]
    zones: tuple[str, ...]
    streams_per_connection: int
    connect_timeout: float
    idle_timeout: float

    @property
    def max_client_connections(self) -> int:
        """Maximum number of client connections."""
        return int(self.sockets * CLIENT_SHARE)

    @property
    def max_idle_client_connections(self) -> int:
        """Maximum number of client connections that are idle after a query."""
        return int(self.sockets * IDLE_CLIENT_SHARE)

    @property
    def max_node_connections(self) -> int:
        """Maximum number of connections to data nodes."""
        return max(self.sockets - self.max_client_connections - RESERVED_DESCRIPTORS, 8)

    @property
    def max_client_bytes(self) -> int:
        """Maximum number of bytes that all client connections hold together."""
        return int(self.memory_mb * BYTES_PER_MB * HELD_BYTES_SHARE)

    @property
    def max_reserved_bytes(self) -> int:
        """Maximum number of bytes reserved for large request bodies that are being read."""
        return self.max_client_bytes // 2

    @property
    def max_node_bytes(self) -> int:
        """Maximum number of bytes that all connections to data nodes hold together."""
        return self.max_client_bytes

    @property
    def max_recent_requests(self) -> int:
        """Maximum number of ended requests whose ids are known, idempotent ones and others."""
        share = self.memory_mb * BYTES_PER_MB * RECENT_REQUESTS_SHARE
        return max(int(share / RECENT_REQUEST_BYTES / 2), 2 * self.module.max_in_flight)

    @property
    def shutdown_timeout(self) -> float:
        """Milliseconds from SIGTERM until every query is answered."""
        longest = max(cls.deadline for cls in self.module.classes)
        return min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY - KILL_MARGIN

    @property
    def drain_delay(self) -> float:
        """Milliseconds from SIGTERM to draining; new queries can still meet their objective."""
        longest = max(cls.latency_objective for cls in self.module.classes)
        return max(self.shutdown_timeout - min(longest, MAX_COUNTED_DEADLINE), MIN_DRAIN_DELAY)


def parse_address(text: str, what: str) -> tuple[str, int]:
    """Parse `host:port`; `what` names the setting in the ConfigError."""
    host, _, port = text.rpartition(":")
    # Not `isdigit`: it accepts digits that `int` does not, and numbers too long for it.
    is_address = 0 < len(host) <= MAX_HOST_LENGTH and PORT.fullmatch(port)
    if not (is_address and 0 < int(port) < 65536):
        shown = text[: MAX_HOST_LENGTH + 6]
        raise ConfigError(f"{what}: an address host:port is needed, got {shown!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str]) -> Settings:
    """Load the configuration file named by `NODE_CONFIG`.

    Environment variables supply values that the file does not contain.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set; must be the path of the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"NODE_CONFIG: {problem}") from problem
    return parse(raw, environ)


def parse(raw: bytes, environ: Mapping[str, str]) -> Settings:
    """Parse and validate a configuration; a ConfigError names the invalid field."""
    try:
        file = decode_json(_CONFIG_FILE_DECODER, raw)
        module = parse_settings(bytes(file.settings).decode())
    except (JsonInputError, ValueError, TypeError) as problem:
        raise ConfigError(f"NODE_CONFIG: {problem}") from problem
    try:
        connections = decode_json(_CONNECTION_SETTINGS_DECODER, file.settings)
    except JsonInputError as problem:  # the message contains the path, starting with $
        raise ConfigError(f"NODE_CONFIG: {problem}".replace("`$", "`settings")) from problem
    names = [cls.name for cls in connections.services]
    if len(set(names)) < len(names):
        raise ConfigError(f"settings.services[].name: duplicate name in {names}")
    if any(cls.follow_up for cls in module.classes):
        raise ConfigError("settings.familyInfo.followUp: not supported by the platform's protocol")
    if file.limits.sockets < 96:
        raise ConfigError(f"limits.sockets: must be at least 96, got {file.limits.sockets}")
    try:
        seed = int(file.seed, 16)
    except ValueError as problem:
        raise ConfigError(f"seed: must be hexadecimal digits, got {file.seed!r}") from problem
    return Settings(
        name=file.name or environ.get("NODE_NAME", ""),
        listen=parse_address(file.listen or environ.get("NODE_LISTEN", ""), "listen"),
        discovery=parse_address(file.discovery or environ.get("NODE_DISCOVERY", ""), "discovery"),
        seed=seed,
        cores=file.limits.cores,
        memory_mb=file.limits.memory_mb,
        sockets=file.limits.sockets,
        cached_endpoint_list=file.known,
        module=replace(module, watches_discovery=True),
        classes={name: index for index, name in enumerate(names)},
        zones=tuple(connections.localities),
        streams_per_connection=max(connections.caps.streams_per_conn, 1),
        connect_timeout=connections.caps.connect_timeout,
        idle_timeout=connections.caps.conn_idle,
    )
