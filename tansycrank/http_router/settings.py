"""What the platform tells a router: environment and `NODE_CONFIG`, checked.

Also the times of a shutdown and the shares of the descriptors.

The `settings` object of the configuration has the simulator's names and is read by
`operator_settings.parse_settings`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated

import msgspec

from tansycrank import routing
from tansycrank.operator_settings import parse_settings

# Times of a shutdown, and shares of the descriptors.
LONGEST = 3_000.0  # ms: a longer deadline counts as this where the platform times a restart
KILL_AFTER = 700.0  # ms from SIGTERM, on top of the longest deadline: SIGKILL comes no sooner
KILL_MARGIN = 150.0  # ms before that: what is still open then is given up
# ms from SIGTERM: new connections keep coming for 400, and those have a request on its way
NEW_UNTIL = 500.0
RESERVE = 64  # descriptors for everything but clients and links
SHARE_UNUSED = (
    1 / 6
)  # of the descriptors, for clients' unused connections: clients hold a third for requests
SHARE_CLIENTS = 0.5  # of the descriptors, for clients; the rest is for links to nodes


class ConfigError(ValueError):
    """A configuration that cannot be used; says what and where."""


class EndpointDocument(msgspec.Struct, frozen=True):
    """One data node as discovery writes it."""

    id: str
    state: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


class EndpointListDocument(msgspec.Struct, frozen=True):
    """One list or change of discovery."""

    version: int
    servers: list[EndpointDocument]
    full: bool = False


Above0 = Annotated[float, msgspec.Meta(gt=0)]


class _Limits(msgspec.Struct):
    cores: Above0 = 1.0
    memory_mb: Above0 = 192
    sockets: int = 256


class _File(msgspec.Struct):
    settings: msgspec.Raw
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: EndpointListDocument = EndpointListDocument(0, [], True)


class _Class(msgspec.Struct):
    name: str


class _Caps(msgspec.Struct, rename="camel"):
    streams_per_conn: Annotated[int, msgspec.Meta(ge=0)] = 1
    connect_timeout: Above0 = 250.0
    conn_idle: Above0 = 15_000.0


class _Sockets(msgspec.Struct):
    services: list[_Class]
    localities: list[str]
    caps: _Caps


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything a router of the platform is told. `connect_timeout` and `idle` are ms."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    memory_mb: float
    sockets: int
    known: EndpointListDocument
    module: routing.Settings
    classes: dict[str, int]
    zones: tuple[str, ...]
    streams: int
    connect_timeout: float
    idle: float

    @property
    def max_client_connections(self) -> int:
        """Connections of clients held at most."""
        return int(self.sockets * SHARE_CLIENTS)

    @property
    def max_idle_client_connections(self) -> int:
        """Connections of clients kept that were used for a query and are not now."""
        return int(self.sockets * SHARE_UNUSED)

    @property
    def max_node_connections(self) -> int:
        """Connections to nodes held at most."""
        return max(self.sockets - self.max_client_connections - RESERVE, 8)

    @property
    def shutdown_timeout(self) -> float:
        """ms from SIGTERM within which everything is answered."""
        longest = max(cls.deadline for cls in self.module.classes)
        return min(longest, LONGEST) + KILL_AFTER - KILL_MARGIN

    @property
    def drain_delay(self) -> float:
        """ms from SIGTERM for which connections go on: a query can still meet its objective."""
        longest = max(cls.latency_objective for cls in self.module.classes)
        return max(self.shutdown_timeout - min(longest, LONGEST), NEW_UNTIL)


def address(text: str, what: str) -> tuple[str, int]:
    """`host:port`; ConfigError names what it was for."""
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{what}: an address host:port is needed, got {text!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str]) -> Settings:
    """Read the configuration file that `NODE_CONFIG` names; the variables stand in for what it
    lacks.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: not set; it names the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"NODE_CONFIG: {problem}") from problem
    return parse(raw, environ)


def parse(raw: bytes, environ: Mapping[str, str]) -> Settings:
    """Check a configuration; every fault is a ConfigError that names its place."""
    try:
        file = msgspec.json.decode(raw, type=_File)
        module = parse_settings(bytes(file.settings).decode())
    except (ValueError, TypeError) as problem:
        raise ConfigError(f"NODE_CONFIG: {problem}") from problem
    try:
        sockets = msgspec.json.decode(file.settings, type=_Sockets)
    except ValueError as problem:  # msgspec's faults name the place, from $ on
        raise ConfigError(f"NODE_CONFIG: {problem}".replace("`$", "`settings")) from problem
    names = [cls.name for cls in sockets.services]
    if len(set(names)) < len(names):
        raise ConfigError(f"settings.services[].name: a name stands twice in {names}")
    if any(cls.follow_up for cls in module.classes):
        raise ConfigError(
            "settings.familyInfo.followUp: the platform's protocol has no second step"
        )
    if file.limits.sockets < 96:
        raise ConfigError(f"limits.sockets: {file.limits.sockets} are too few, 96 are needed")
    try:
        seed = int(file.seed, 16)
    except ValueError as problem:
        raise ConfigError(f"seed: hex digits are needed, got {file.seed!r}") from problem
    return Settings(
        name=file.name or environ.get("NODE_NAME", ""),
        listen=address(file.listen or environ.get("NODE_LISTEN", ""), "listen"),
        discovery=address(file.discovery or environ.get("NODE_DISCOVERY", ""), "discovery"),
        seed=seed,
        cores=file.limits.cores,
        memory_mb=file.limits.memory_mb,
        sockets=file.limits.sockets,
        known=file.known,
        module=replace(module, watches_discovery=True),
        classes={name: index for index, name in enumerate(names)},
        zones=tuple(sockets.localities),
        streams=max(sockets.caps.streams_per_conn, 1),
        connect_timeout=sockets.caps.connect_timeout,
        idle=sockets.caps.conn_idle,
    )
