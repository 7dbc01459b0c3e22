"""The program on loopback sockets, between peers that hold each crossing open and let it go on
purpose.

`Program.halt` stops the process itself: what its peers do meanwhile lies in the system when it goes
on.
"""

import contextlib
import json
import os
import queue
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

from live import OPERATOR_SETTINGS, answer, config, entry, parse_shard_requests

from tansycrank.testbed.ports import ReservedPort

ROOT = Path(__file__).parent.parent.parent
PATIENCE = 30  # s until a peer that waits for something fails; nothing asserts how long it took
SYN_SENT = "02"
STOP_POINTS = ROOT / "tests" / "stop_points.py"


def until(found, what):
    """Wait for what cannot be waited on."""
    for _ in range(PATIENCE * 200):
        if value := found():
            return value
        time.sleep(0.005)
    raise AssertionError(f"never seen: {what}")


def leave(connection, how):
    """A peer goes: FIN, or RST."""
    with contextlib.suppress(OSError):  # who reads it in a thread lets go of it
        connection.shutdown(socket.SHUT_RD)
    if how == "RST":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Node:
    """A data node. It records each whole frame and, if `serves`, answers each part, once `wakes` is
    set.
    """

    def __init__(self, serves=True, reads=True, narrow=False, comes_up=True):
        self.listening = socket.socket()
        if narrow:  # the far system takes little that is not read
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(64 if comes_up else 0)
        self.port = self.listening.getsockname()[1]
        self.serves, self.wakes, self.accepts = serves, threading.Event(), threading.Event()
        if reads:
            self.wakes.set()
        self.shard_requests, self.given_up, self.connections = [], [], []  # parts: (connection, id)
        self.frames_begun = 0
        self.waits = {}  # ms that the router said it waits, by id
        self.changed = threading.Condition()
        if comes_up:
            self.accepts.set()
        else:  # one connection fills the queue: further ones come up once it is accepted
            self.filler = socket.create_connection(("127.0.0.1", self.port))
        self._thread(self._accept)

    def _thread(self, target, *args):
        threading.Thread(target=target, args=args, daemon=True).start()

    def _accept(self):
        self.accepts.wait()
        with contextlib.suppress(OSError):  # closed
            while True:
                connection, _ = self.listening.accept()
                self.connections.append(connection)
                self._thread(self._read, connection)

    def _read(self, connection):
        self.wakes.wait()
        stream = connection.makefile("rb")
        with contextlib.suppress(OSError):  # reset
            while len(header := stream.read(4)) == 4:
                size = int.from_bytes(header, "little")
                self.frames_begun += 1
                frame = stream.read(size)
                if len(frame) < size:
                    return
                with self.changed:
                    self._note(connection, frame[:1], frame[1:])
                    self.changed.notify_all()

    def _note(self, connection, letter, rest):
        if letter == b"X":
            self.given_up.append(rest.decode())
            return
        for id, _, wait, text in parse_shard_requests(rest):
            self.shard_requests.append((connection, id))
            self.waits[id] = wait
            if self.serves:
                connection.sendall(answer(id, value=text.decode()[:16]))

    @property
    def ids(self):
        return [id for _, id in self.shard_requests]

    def got(self, id):
        """Wait for a part; the connection that brought it."""
        with self.changed:
            assert self.changed.wait_for(lambda: id in self.ids, PATIENCE), f"{id} never came"
            return next(connection for connection, one in self.shard_requests if one == id)

    @property
    def called(self):
        """Whether somebody tries to connect and the connection does not come up."""
        return any(state == SYN_SENT for state, _ in self._sockets())

    @property
    def blocked(self):
        """Whether bytes for this node wait in its callers' system."""
        return any(int(unsent, 16) for _, unsent in self._sockets())

    def _sockets(self):
        """(state, bytes unsent) of those that lead here."""
        lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return [(f[3], f[4].partition(":")[0]) for f in lines if f[2].endswith(f":{self.port:04X}")]


class DiscoveryClient:
    """Accepts watches and says what it is told to."""

    def __init__(self):
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(PATIENCE)
        self.port = self.listening.getsockname()[1]

    def poll(self):
        """Accept a poll; answer it by `answer_poll`."""
        self.polling, _ = self.listening.accept()
        self.polling.recv(4096)

    def answer_poll(self, version, *servers):
        body = json.dumps({"version": version, "full": True, "servers": servers}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.polling.sendall(head + body)

    def watch(self):
        self.connection, _ = self.listening.accept()
        self.asked = self.connection.recv(4096)
        self.connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def say(self, version, *servers, full=False, indent=None):
        told = {"version": version, "full": full, "servers": servers}
        body = json.dumps(told, indent=indent).encode() + b"\n"
        self.connection.sendall(b"%x\r\n%b\r\n" % (len(body), body))


class Program:
    """One router as a process, its nodes listed under 1, 2, ... `told` replaces settings, by
    group.
    """

    def __init__(
        self,
        folder,
        nodes,
        told=None,
        listed=None,
        cells=None,
        limits=None,
        ready=True,
        environment=None,
        stops_at=None,
    ):
        """`stops_at` is a point of `stop_points`, for `stop_at_point`."""
        self.nodes, self.discovery, self.cells = nodes, DiscoveryClient(), cells
        self.reserved = ReservedPort()
        self.port = self.reserved.number
        settings = json.loads(json.dumps(OPERATOR_SETTINGS))
        for group, more in (told or {}).items():
            if group == "services":
                for service in settings["services"]:
                    service.update(more)
            elif isinstance(more, dict):
                settings[group].update(more)
            else:
                settings[group] = more
        listed = range(1, len(nodes) + 1) if listed is None else listed
        known = {"version": 4, "full": True, "servers": [self.entry(n) for n in listed]}
        path = folder / "config.json"
        path.write_bytes(
            config(
                listen=f"127.0.0.1:{self.port}",
                discovery=f"127.0.0.1:{self.discovery.port}",
                known=known,
                settings=settings,
                **({"limits": limits} if limits else {}),
            )
        )
        environ = (
            os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)} | (environment or {})
        )
        self.trigger = folder / "stop"
        command = (
            ["-m", "tansycrank"] if stops_at is None else [STOP_POINTS, stops_at, self.trigger]
        )
        self.process = subprocess.Popen(
            [sys.executable, *command, "run"],
            cwd=folder,
            env=environ,
            stderr=subprocess.PIPE,
        )
        self.log, self.lines = queue.Queue(), []
        self.reading = threading.Thread(target=self._read_log, daemon=True)
        self.reading.start()
        if ready:
            self.discovery.watch()
            self.discovery.say(5)
            self.logged("became_ready")

    def _read_log(self):
        for line in self.process.stderr:
            self.log.put(line)

    def logged(self, event):
        """Wait for a line of the log."""
        last = time.monotonic() + PATIENCE
        while True:
            line = self.log.get(timeout=max(last - time.monotonic(), 0.0))
            self.lines.append(line)
            if f'"event":"{event}"'.encode() in line:
                return

    def said(self, event):
        """How often the program logged this, from its start to its end."""
        self.reading.join(PATIENCE)
        self.lines += list(self.log.queue)
        return sum(f'"event":"{event}"'.encode() in line for line in self.lines)

    def entry(self, number, state="in_service"):
        cell = {"cell": self.cells[number - 1]} if self.cells else {}
        return entry(number, state, addr=f"127.0.0.1:{self.nodes[number - 1].port}", **cell)

    def signal(self, number):
        self.process.send_signal(number)

    def halt(self):
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def stop_at_point(self, *data):
        """Send this to the program, which stops itself at its point; the client."""
        self.trigger.touch()
        client = self.client(*data)
        until(lambda: not self.trigger.exists(), "the program at its point")
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        return client

    def go_on(self):
        self.signal(signal.SIGCONT)

    def client(self, *data):
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=PATIENCE)
        for one in data:
            connection.sendall(one)
        return connection

    def turned(self):
        """All that was sent to the program before this has been read, and taken or refused."""
        for _ in range(6):
            with self.client(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n") as probe:
                assert read_answer(probe)[0] == 200

    def ended(self):
        """End the program; all that it has sent has come by then: the ids that reached each
        node.
        """
        self.process.kill()
        self.process.wait()
        self.reserved.release()
        for node in self.nodes:
            node.accepts.set()
            node.wakes.set()
            node.listening.close()
        for node in self.nodes:
            for connection in node.connections:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_WR)
        return [node.ids for node in self.nodes]


def read_answer(connection):
    """Status and body of the next answer; (None, b"") where the connection ends without one."""
    with contextlib.suppress(OSError):
        stream = connection.makefile("rb")
        if first := stream.readline():
            length = 0
            while (line := stream.readline().strip()) != b"":
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            return int(first.split()[1]), stream.read(length)
    return None, b""
