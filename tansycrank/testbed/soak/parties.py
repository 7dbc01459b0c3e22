"""The processes of a soak as its fleet holds them: routers, data nodes, and orders to stand-ins."""

from __future__ import annotations

import contextlib
import json
import os
import selectors
import socket
import subprocess
import sys
import threading
import time
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from tansycrank import clock
from tansycrank.testbed.interposer import FailingCalls, WallClock, environment
from tansycrank.testbed.memory import anonymous_memory_mb
from tansycrank.testbed.ports import ReservedPort
from tansycrank.testbed.soak.node import NodeSpec
from tansycrank.testbed.soak.plan import SHARDS, ZONES
from tansycrank.testbed.soak.records import Told

if TYPE_CHECKING:
    from tansycrank.testbed.soak.fleet import Fleet

ROOT = Path(__file__).parents[3]
STARTS_WITHIN = 30.0  # s for a process to say that it stands


class StartFailedError(RuntimeError):
    """A process of the soak did not come up."""


class ControlLine:
    """Orders to a stand-in, never waited for: it may be stopped just then."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), timeout=STARTS_WITHIN)
        self._socket.setblocking(False)

    def order(self, **order: object) -> None:
        """Send one; it is lost if the other side is gone."""
        with contextlib.suppress(OSError):
            self._socket.sendall(msgspec.json.encode(order) + b"\n")

    def close(self) -> None:
        """Let go of it."""
        self._socket.close()


def start_module(module: str, spec: msgspec.Struct) -> tuple[subprocess.Popen, dict]:
    """A stand-in process, and what it announced."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            f"tansycrank.testbed.soak.{module}",
            msgspec.json.encode(spec).decode(),
        ],
        stdout=subprocess.PIPE,
        cwd=ROOT,
    )
    return process, announced(process, module)


def announced(process: subprocess.Popen, what: str) -> dict:
    """The line of JSON that a process prints once it stands. Raises StartFailedError."""
    with selectors.DefaultSelector() as selector:
        selector.register(process.stdout, selectors.EVENT_READ)
        line = process.stdout.readline() if selector.select(STARTS_WITHIN) else b""
    if not line:
        raise StartFailedError(f"{what} did not come up")
    return msgspec.json.decode(line)


class RouterProcess:
    """One router under test, with a wall clock of its own."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number = fleet, number
        self.reserved = ReservedPort()
        self.port = self.reserved.number
        self.wall_clock = WallClock(
            fleet.folder, f"router-{number}", fleet.plan.wrong_from_the_start[number]
        )
        self.failing_calls = FailingCalls(
            fleet.folder, f"router-{number}", fleet.plan.seed * 100 + number
        )
        self.calls_busy = threading.Lock()  # one fault of its system calls at a time
        self.config = fleet.folder / f"router-{number}.json"
        self.log = fleet.folder / f"router-{number}.log"
        self.discovery_at = 0  # which of its two ports of discovery it is configured for
        self.process: subprocess.Popen | None = None
        self.busy = threading.Lock()  # one fault at a time that ends its process
        self.peak_memory = 0.0  # MB

    def write_config(self) -> None:
        """Its configuration file, with the list that discovery holds now."""
        fleet, settings = self.fleet, dict(self.fleet.plan.settings)
        settings["zone"] = self.number % len(ZONES)
        known = {"version": fleet.version, "full": True, "servers": list(fleet.entries.values())}
        ports = fleet.discovery_ports[self.number]
        self.config.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": f"127.0.0.1:{ports[self.discovery_at]}",
                    "seed": f"{fleet.plan.seed + 1:016x}",
                    "limits": asdict(fleet.plan.limits),
                    "known": known,
                    "settings": settings,
                }
            )
        )

    def start(self) -> None:
        """Start its process and wait until it is ready. Raises StartFailedError."""
        self.launch()
        until = time.monotonic() + STARTS_WITHIN
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise StartFailedError(f"router {self.number}: {self.log.read_text()[-1500:]}")
            time.sleep(0.02)

    def launch(self) -> None:
        """Start its process."""
        self.write_config()
        states = {id: entry["state"] for id, entry in self.fleet.entries.items()}
        self.fleet.lives.append(
            Told(clock.monotonic_ms(), self.number, self.fleet.version, states, True)
        )
        variables = os.environ | {"NODE_CONFIG": str(self.config), "PYTHONPATH": str(ROOT)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *self.fleet.program],
                cwd=self.fleet.folder,
                stderr=log,
                env=variables | environment(self.wall_clock, self.failing_calls),
            )

    def is_ready(self) -> bool:
        """Whether it says so."""
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=1.0) as probe:
                probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                return b" 200 " in probe.recv(200)
        except OSError:
            return False

    def has_completed_shutdown(self) -> bool:
        """Whether its process has said that nothing is owed any more, as its last word."""
        lines = self.log.read_bytes().splitlines()
        return bool(lines) and b"shutdown_completed" in lines[-1]

    def exceeds_memory(self) -> bool:
        """Whether its process takes more memory than its limit now; record the most it took."""
        try:
            used = anonymous_memory_mb(self.process.pid)
        except (OSError, TypeError, AttributeError):  # it has ended
            return False
        self.peak_memory = max(self.peak_memory, used)
        return used > self.fleet.plan.limits.memory_mb

    def signal(self, number: int) -> None:
        """Signal its process, if there is one."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class NodeProcess:
    """One data node."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"s-{number}"
        self.reserved = ReservedPort()  # it comes back on the same port after a crash
        self.process, self.line, self.started_ms = None, None, 0.0
        self.port = self.reserved.number
        self.journal = fleet.folder / f"node-{number}.jsonl"
        self.busy = threading.Lock()  # one fault at a time that ends its process

    def start(self, cold: bool) -> None:
        """Start its process, on the port it had."""
        spec = NodeSpec(
            self.name,
            str(self.journal),
            self.fleet.plan.seed * 100 + self.number,
            self.port,
            clock.monotonic_ms() if cold else 0.0,
        )
        self.process, told = start_module("node", spec)
        self.line = ControlLine(told["control"])
        self.started_ms = clock.unix_ms() if cold else 0.0

    def entry(self, state: str) -> dict:
        """As discovery lists it."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": ZONES[self.number % len(ZONES)],
            "kind": "k",
            "cell": self.number % SHARDS,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }
