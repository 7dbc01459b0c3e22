"""Closed-loop clients that cost little themselves: `python -m tansycrank.testbed.load_generator
SPEC`. Bounded in time.

Each connection sends prepared bytes and waits for ReadyForQuery. Prints counts and latencies as
JSON.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

import msgspec

from tansycrank.postgres import messages as pg

READY = b"Z\x00\x00\x00\x05"


class HammerSpec(msgspec.Struct):
    """What to send, and where."""

    port: int
    statements: tuple[str, ...]
    connections: int = 16
    seconds: float = 3.0


def dial(port: int, user: str = "hammer") -> socket.socket:
    """A session, logged in."""
    link = socket.create_connection(("127.0.0.1", port))
    link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    link.sendall(pg.startup({"user": user, "database": "tansycrank"}))
    data = b""
    while data[-6:-1] != READY:
        more = link.recv(65536)
        if not more:
            raise ConnectionError("refused")
        data += more
    return link


def hammer(spec: HammerSpec) -> dict:
    """Run; counts of answers and errors, and latencies in ms."""
    frames = [pg.query(sql) for sql in spec.statements]
    chooser = selectors.DefaultSelector()
    state: dict[int, list] = {}
    for index in range(spec.connections):
        link = dial(spec.port)
        link.setblocking(False)
        state[link.fileno()] = [link, index, b"", 0.0]
        chooser.register(link, selectors.EVENT_READ)
    took, errors, until = [], 0, time.perf_counter() + spec.seconds
    for entry in state.values():
        entry[3] = time.perf_counter()
        entry[0].send(frames[entry[1] % len(frames)])
    while time.perf_counter() < until:
        for key, _ in chooser.select(0.1):
            entry = state[key.fd]
            data = entry[0].recv(1 << 20)
            if not data:
                raise ConnectionError("closed")
            entry[2] += data
            if entry[2][-6:-1] == READY:
                at = time.perf_counter()
                took.append((at - entry[3]) * 1000)
                errors += entry[2][:1] == b"E"
                entry[1], entry[2], entry[3] = entry[1] + 1, b"", at
                entry[0].send(frames[entry[1] % len(frames)])
    for entry in state.values():
        entry[0].close()
    return {"answers": len(took) - errors, "errors": errors, "seconds": spec.seconds, "took": took}


def main() -> None:
    """Run and print."""
    report = hammer(msgspec.json.decode(sys.argv[1], type=HammerSpec))
    took = sorted(report.pop("took"))
    report["p50"], report["p99"] = took[len(took) // 2], took[int(len(took) * 0.99)]
    print(msgspec.json.encode(report).decode())


if __name__ == "__main__":
    main()
