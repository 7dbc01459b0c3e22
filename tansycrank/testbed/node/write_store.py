"""Writes of a node: applied once for each idempotency key, and replicated to other nodes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

from tansycrank.postgres import types
from tansycrank.testbed.engine import Engine, to_engine
from tansycrank.testbed.node.key_claims import KeyClaims
from tansycrank.testbed.node.spec import Spec
from tansycrank.testbed.process import reactor


class WriteStore:
    """Applied writes, in order, and the keys that they carried."""

    def __init__(self, spec: Spec, engine: Engine, clock_ms: Callable[[], float]) -> None:
        self.writes: list[dict] = []
        self._spec = spec
        self._engine = engine
        self._clock_ms = clock_ms
        self._tags_by_key: dict[str, tuple[float, str]] = {}  # when applied, command tag
        self._claims = KeyClaims(spec.claims, spec.dedup_ms)

    def apply(self, write: dict, from_client: bool = False) -> str:
        """Run a write, or nothing for a key repeated in its window. Returns the command tag."""
        key = write["key"]
        if key:
            known = self._tags_by_key.get(key)
            if known is not None and self._clock_ms() - known[0] < self._spec.dedup_ms:
                return known[1]
            if from_client and not self._claims.claim(key, self._clock_ms()):
                is_insert = write["sql"].lstrip().upper().startswith("INSERT")
                return "INSERT 0 1" if is_insert else "UPDATE 1"
        values = [
            to_engine(oid, types.decode(oid, 0, text.encode()) if text is not None else None)
            for oid, text in zip(write["oids"], write["values"], strict=True)
        ]
        rows = self._engine.run(write["sql"], values, ())
        if key:
            self._tags_by_key[key] = self._clock_ms(), rows.tag
        self.writes.append(write)
        return rows.tag

    def replicate(self, write: dict) -> None:
        """Send a write to the other replicas of its shard."""
        line = msgspec.json.encode({"apply": write})
        for port in self._spec.peers.get(write["shard"], ()):
            reactor.connectTCP("127.0.0.1", port, _LineSender(line), timeout=1)


class _LineSender(ClientFactory):
    """Sends one line on a connection of its own."""

    noisy = False

    def __init__(self, line: bytes) -> None:
        self._line = line

    def buildProtocol(self, addr):
        protocol = LineOnlyReceiver()
        protocol.delimiter = b"\n"
        protocol.connectionMade = lambda: (
            protocol.sendLine(self._line),
            protocol.transport.loseConnection(),
        )
        protocol.lineReceived = lambda line: None
        return protocol
