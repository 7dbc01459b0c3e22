"""The platform's router as a process, with spoiling data nodes, discovery and usual clients."""

from __future__ import annotations

import http.client
import json
import os
import queue
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from itertools import count
from pathlib import Path

from tansycrank.testbed.fuzz.inputs import Input, Target
from tansycrank.testbed.fuzz.oracles import GIVE_UP_SECONDS, USUAL_CLIENTS, UsualClient
from tansycrank.testbed.ports import ReservedPort
from tansycrank.testbed.soak.plan import SHARDS, draw

ROOT = Path(__file__).resolve().parents[3]
NODES = 6
PART = re.compile(rb"([0-9A-Za-z_-]+\.[0-9]+) ([0-9]+) \S+ ([0-9]+)\n")
SPOILT_TEXT = "spoilt"  # requests with this text get a spoilt answer first
READY_SECONDS = 30.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
HEARTBEAT_SECONDS = 1.0


class DataNode:
    """Answers each part with a value that names it; one part may get a spoilt answer."""

    def __init__(self, spoiling: queue.SimpleQueue) -> None:
        self._spoiling = spoiling
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        with suppress(OSError):
            while len(header := stream.read(4)) == 4:
                frame = stream.read(int.from_bytes(header, "little"))
                if frame[:1] == b"Q":
                    self._answer(connection, frame[1:])

    def _answer(self, connection: socket.socket, rest: bytes) -> None:
        while match := PART.match(rest):
            size = int(match[3])
            text, rest = rest[match.end() : match.end() + size], rest[match.end() + size :]
            answer = answer_frame(match[1], text)
            if text.decode() == SPOILT_TEXT:
                with suppress(queue.Empty):
                    answer = spoil(answer, self._spoiling.get_nowait())
            connection.sendall(answer)

    def close(self) -> None:
        """Accept no more."""
        self._listening.close()


def value_of(part: str, text: str) -> str:
    """The value that a data node makes for a part."""
    return f"value-of-{part}-{text}"


def answer_frame(id: bytes, text: bytes) -> bytes:
    """A good answer."""
    body = b"A%b ok 1 -\n%b" % (id, value_of(id.decode(), text.decode()).encode())
    return len(body).to_bytes(4, "little") + body


def spoil(answer: bytes, one: Input) -> bytes:
    """The bytes that are written in place of a good answer."""
    size = int.from_bytes(answer[:4], "little")
    short = (size - one.amount).to_bytes(4, "little") + answer[4:]
    long = (size + one.amount).to_bytes(4, "little") + answer[4:]
    return {
        "short": short,
        "short, copy": short + answer,
        "short, empty frame": short + bytes(4),
        "long": long,
        "long, copy": long + answer,
        "copy": answer + answer,
        "noise": answer + b"\x91\xfe\x07" * one.amount,
    }[one.data]


class Discovery:
    """Serves a watch without changes; a line can be sent on it."""

    def __init__(self) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                with suppress(OSError):
                    if b"watch=1" in connection.recv(4096):
                        connection.sendall(HEAD + HEARTBEAT)
                        self._connections.append(connection)
                    else:
                        connection.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    def _beat(self) -> None:
        while self._listening.fileno() >= 0:
            self._write(HEARTBEAT)
            time.sleep(HEARTBEAT_SECONDS)

    def _write(self, data: bytes) -> None:
        for connection in self._connections[-1:]:
            with suppress(OSError):
                connection.sendall(data)

    def send_line(self, line: bytes) -> None:
        """Send a line as one chunk."""
        self._write(b"%x\r\n%b\n\r\n" % (len(line) + 1, line))

    def close(self) -> None:
        """Accept no more."""
        self._listening.close()


class PlatformSite:
    """Data nodes, discovery and one router."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="tansycrank-fuzz-")
        self._spoiling: queue.SimpleQueue = queue.SimpleQueue()
        self.nodes = [DataNode(self._spoiling) for _ in range(NODES)]
        self.discovery = Discovery()
        self._reserved = ReservedPort()
        self._ids = count()
        self.process = self._start(Path(self._folder.name))
        self._wait_until_ready()
        self.usual = [UsualClient(lambda: self._ask_usual) for _ in range(USUAL_CLIENTS)]

    def _start(self, folder: Path) -> subprocess.Popen:
        settings = draw(1).settings
        servers = [
            {
                "id": f"s-{number}",
                "addr": f"127.0.0.1:{node.port}",
                "zone": "a",
                "cell": number % SHARDS,
                "state": "in_service",
            }
            for number, node in enumerate(self.nodes)
        ]
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{self._reserved.number}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(document))
        variables = os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        with (folder / "router.log").open("ab") as log:
            command = [sys.executable, "-m", "tansycrank", "run"]
            return subprocess.Popen(command, cwd=folder, env=variables, stderr=log)

    def _wait_until_ready(self) -> None:
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            with suppress(OSError, ValueError):
                self._ask_usual()
                return
            time.sleep(0.05)
        raise RuntimeError((Path(self._folder.name) / "router.log").read_text()[-1500:])

    def _ask(self, text: str) -> str:
        """Ask for one part; return "right", "wrong: ..." or the status."""
        number = next(self._ids)
        id, shard = f"q{number}", number % SHARDS
        body = json.dumps({"shards": [{"shard": shard, "weight": 1.0}], "q": text})
        headers = {"X-Request-Id": id, "X-Deadline-Ms": "1400"}
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._reserved.number, timeout=GIVE_UP_SECONDS
        )
        try:
            connection.request("POST", "/look?obj=0000000000000001", body, headers)
            response = connection.getresponse()
            answer = json.loads(response.read())
        finally:
            connection.close()
        if response.status != 200:
            return str(response.status)
        wanted = [{"shard": shard, "doc": value_of(f"{id}.{shard}", text)}]
        return "right" if answer["hits"] == wanted else f"wrong: {answer}"

    def _ask_usual(self) -> None:
        told = self._ask("usual")
        if told not in ("right", "503"):
            raise ValueError(told)

    def play(self, one: Input) -> str:
        """Play an answer or a line; return what the request beside it got."""
        if one.target is Target.LINE:
            self.discovery.send_line(one.data.encode())
            return self._ask("after a line")
        self._spoiling.put(one)
        try:
            return self._ask(SPOILT_TEXT)
        except OSError as error:
            return f"{type(error).__name__}: {error}"

    @staticmethod
    def is_expected(told: str) -> bool:
        """Whether a request got its value or an honest error."""
        return told in ("right", "503", "504")

    @staticmethod
    def ended_stand_ins() -> list[str]:
        """Return none: the stand-ins are threads of this process."""
        return []

    def close(self) -> None:
        """End clients and processes."""
        for client in self.usual:
            client.close()
        self.process.kill()
        self.process.wait()
        for party in (*self.nodes, self.discovery):
            party.close()
        self._reserved.release()
        self._folder.cleanup()
