"""The control connection of a node: one JSON order a line, each with one line of answer."""

from __future__ import annotations

import os

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from tansycrank.postgres.errors import PgError
from tansycrank.testbed.node.node import Node

EXIT_ORDERED = 5


class Control(LineOnlyReceiver):
    """Orders: {"faults": {...}}, {"pause_ms": n}, {"apply": write}, {"log": true}, {"stats": true}
    and {"die": true}.
    """

    delimiter = b"\n"
    MAX_LENGTH = 16 * 1024 * 1024

    def __init__(self, node: Node) -> None:
        self._node = node

    def lineReceived(self, line: bytes) -> None:
        """Carry out one order and answer it."""
        order = msgspec.json.decode(line)
        self.sendLine(msgspec.json.encode(self._answer(order)))

    def _answer(self, order: dict) -> dict:
        if "faults" in order:
            self._set_faults(order["faults"])
        elif "pause_ms" in order:
            self._node.model.faults.pause_until = self._node.now_ms() + order["pause_ms"]
        elif "apply" in order:
            return self._apply(order["apply"])
        elif "log" in order:
            return {"writes": self._node.write_store.writes}
        elif "stats" in order:
            return self._stats()
        elif "die" in order:
            os._exit(EXIT_ORDERED)
        return {"ok": True}

    def _set_faults(self, changes: dict) -> None:
        faults = self._node.model.faults
        had_vanished = faults.vanish
        for name, value in changes.items():
            setattr(faults, name, value)
        if had_vanished and not faults.vanish:  # a node that reappears has lost its connections
            for session in list(self._node.sessions.values()):
                session.transport.abortConnection()
        self._node.start_waiting()

    def _apply(self, write: dict) -> dict:
        """Apply a write that another replica sends."""
        try:
            self._node.write_store.apply(write)
        except PgError as error:
            return {"error": error.message}
        return {"ok": True}

    def _stats(self) -> dict:
        model = self._node.model
        return {
            "id": self._node.spec.id,
            "sessions": len(self._node.sessions),
            "running": len(model.running),
            "waiting": len(model.waiting),
            "peak": model.peak,
            **self._node.counts,
            "capacity": model.capacity(self._node.now_ms()),
        }
