"""Runs the router as a process on loopback sockets, between peers that tests control.

The peers delay connections, reads and answers until a test continues them. `Program.suspend` sends
SIGSTOP to the process: what its peers send meanwhile is pending in the kernel when it resumes.
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
PEER_TIMEOUT = 30  # s until a wait for a peer or the program fails; no test measures the wait
SYN_SENT = "02"
STOP_POINTS = ROOT / "tests" / "stop_points.py"


def wait_until(condition, description):
    """Poll until the condition is true, for what cannot be waited on; returns its value."""
    for _ in range(PEER_TIMEOUT * 200):
        if value := condition():
            return value
        time.sleep(0.005)
    raise AssertionError(f"timed out waiting for: {description}")


def close_connection(connection, how):
    """Close a peer's connection by FIN or RST."""
    with contextlib.suppress(OSError):  # ends a read that blocks in a thread
        connection.shutdown(socket.SHUT_RD)
    if how == "RST":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Node:
    """A data node that records each complete frame and, if `serves`, answers each shard request.

    It reads once `read_enabled` is set and accepts connections once `accept_enabled` is set.
    """

    def __init__(self, serves=True, reads=True, small_buffers=False, accepts_connections=True):
        self.listening = socket.socket()
        if small_buffers:  # its kernel buffers little that it has not read
            self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            self.listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(64 if accepts_connections else 0)
        self.port = self.listening.getsockname()[1]
        self.serves, self.read_enabled, self.accept_enabled = (
            serves,
            threading.Event(),
            threading.Event(),
        )
        if reads:
            self.read_enabled.set()
        # `shard_requests` holds (connection, id); `cancelled` holds ids.
        self.shard_requests, self.cancelled, self.connections = [], [], []
        self.frames_begun = 0
        self.wait_ms = {}  # remaining time that the router stated, ms, by id
        self.changed = threading.Condition()
        if accepts_connections:
            self.accept_enabled.set()
        else:  # one connection fills the backlog: others are established once it is accepted
            self.filler = socket.create_connection(("127.0.0.1", self.port))
        self._thread(self._accept)

    def _thread(self, target, *args):
        threading.Thread(target=target, args=args, daemon=True).start()

    def _accept(self):
        self.accept_enabled.wait()
        with contextlib.suppress(OSError):  # closed
            while True:
                connection, _ = self.listening.accept()
                self.connections.append(connection)
                self._thread(self._read, connection)

    def _read(self, connection):
        self.read_enabled.wait()
        stream = connection.makefile("rb")
        with contextlib.suppress(OSError):  # reset
            while len(header := stream.read(4)) == 4:
                size = int.from_bytes(header, "little")
                self.frames_begun += 1
                frame = stream.read(size)
                if len(frame) < size:
                    return
                with self.changed:
                    self._record_frame(connection, frame[:1], frame[1:])
                    self.changed.notify_all()

    def _record_frame(self, connection, kind, payload):
        if kind == b"X":
            self.cancelled.append(payload.decode())
            return
        for id, _, wait, text in parse_shard_requests(payload):
            self.shard_requests.append((connection, id))
            self.wait_ms[id] = wait
            if self.serves:
                connection.sendall(answer(id, value=text.decode()[:16]))

    @property
    def ids(self):
        return [id for _, id in self.shard_requests]

    def wait_for_shard_request(self, id):
        """Wait for a shard request; returns the connection that it came on."""
        with self.changed:
            assert self.changed.wait_for(lambda: id in self.ids, PEER_TIMEOUT), (
                f"{id} was not received"
            )
            return next(connection for connection, one in self.shard_requests if one == id)

    @property
    def connecting(self):
        """Whether a connection to this node is being established (SYN sent, no answer)."""
        return any(state == SYN_SENT for state, _ in self._sockets())

    @property
    def has_unsent_bytes(self):
        """Whether bytes for this node are unsent in the kernel of its callers."""
        return any(int(unsent, 16) for _, unsent in self._sockets())

    def _sockets(self):
        """(state, unsent bytes) of the TCP sockets connected to this node, both in hex."""
        lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
        return [(f[3], f[4].partition(":")[0]) for f in lines if f[2].endswith(f":{self.port:04X}")]


class DiscoveryClient:
    """A discovery server that accepts watches and polls and sends what a test gives it."""

    def __init__(self):
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.settimeout(PEER_TIMEOUT)
        self.port = self.listening.getsockname()[1]

    def accept_poll(self):
        """Accept a poll and read its request; `answer_poll` answers it."""
        self.poll_connection, _ = self.listening.accept()
        self.poll_connection.recv(4096)

    def answer_poll(self, version, *servers):
        body = json.dumps({"version": version, "full": True, "servers": servers}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.poll_connection.sendall(head + body)

    def accept_watch(self):
        self.connection, _ = self.listening.accept()
        self.watch_request = self.connection.recv(4096)
        self.connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_update(self, version, *servers, full=False, indent=None):
        update = {"version": version, "full": full, "servers": servers}
        body = json.dumps(update, indent=indent).encode() + b"\n"
        self.connection.sendall(b"%x\r\n%b\r\n" % (len(body), body))


class Program:
    """A router process and its peers; its nodes are listed as 1, 2, ...

    `overrides` replaces settings of the operator, by group.
    """

    def __init__(
        self,
        folder,
        nodes,
        overrides=None,
        listed=None,
        cells=None,
        limits=None,
        ready=True,
        environment=None,
        stop_point=None,
    ):
        """`stop_point` is one of `stop_points.POINTS`, for `suspend_at_point`."""
        self.nodes, self.discovery, self.cells = nodes, DiscoveryClient(), cells
        self.reserved = ReservedPort()
        self.port = self.reserved.number
        settings = json.loads(json.dumps(OPERATOR_SETTINGS))
        for group, more in (overrides or {}).items():
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
        process_environment = (
            os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)} | (environment or {})
        )
        self.trigger = folder / "stop"
        command = (
            ["-m", "tansycrank"] if stop_point is None else [STOP_POINTS, stop_point, self.trigger]
        )
        self.process = subprocess.Popen(
            [sys.executable, *command, "run"],
            cwd=folder,
            env=process_environment,
            stderr=subprocess.PIPE,
        )
        self.log, self.lines = queue.Queue(), []
        self.log_reader = threading.Thread(target=self._read_log, daemon=True)
        self.log_reader.start()
        if ready:
            self.discovery.accept_watch()
            self.discovery.send_update(5)
            self.wait_for_log("became_ready")

    def _read_log(self):
        for line in self.process.stderr:
            self.log.put(line)

    def wait_for_log(self, event):
        """Wait for the next log line of this event."""
        deadline = time.monotonic() + PEER_TIMEOUT
        while True:
            line = self.log.get(timeout=max(deadline - time.monotonic(), 0.0))
            self.lines.append(line)
            if f'"event":"{event}"'.encode() in line:
                return

    def count_logged(self, event):
        """How often the program logged this event, from its start to its exit."""
        self.log_reader.join(PEER_TIMEOUT)
        self.lines += list(self.log.queue)
        return sum(f'"event":"{event}"'.encode() in line for line in self.lines)

    def entry(self, number, state="in_service"):
        cell = {"cell": self.cells[number - 1]} if self.cells else {}
        return entry(number, state, addr=f"127.0.0.1:{self.nodes[number - 1].port}", **cell)

    def signal(self, number):
        self.process.send_signal(number)

    def suspend(self):
        self.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)

    def suspend_at_point(self, *data):
        """Send this to the program and wait until it suspends itself; returns the client."""
        self.trigger.touch()
        client = self.client(*data)
        wait_until(lambda: not self.trigger.exists(), "the program to reach its stop point")
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WNOWAIT)
        return client

    def resume(self):
        self.signal(signal.SIGCONT)

    def client(self, *data):
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=PEER_TIMEOUT)
        for part in data:
            connection.sendall(part)
        return connection

    def wait_for_event_loop(self):
        """Wait until all that was sent to the program so far is read and accepted or rejected."""
        for _ in range(6):
            with self.client(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n") as probe:
                assert read_answer(probe)[0] == 200

    def kill(self):
        """Kill the program; returns the ids received by each node.

        All that the program has sent has been delivered by then.
        """
        self.process.kill()
        self.process.wait()
        self.reserved.release()
        for node in self.nodes:
            node.accept_enabled.set()
            node.read_enabled.set()
            node.listening.close()
        for node in self.nodes:
            for connection in node.connections:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_WR)
        return [node.ids for node in self.nodes]


def read_answer(connection):
    """Status and body of the next answer; (None, b"") if the connection ends without one."""
    with contextlib.suppress(OSError):
        stream = connection.makefile("rb")
        if first := stream.readline():
            length = 0
            while (line := stream.readline().strip()) != b"":
                name, _, value = line.partition(b":")
                length = int(value) if name.lower() == b"content-length" else length
            return int(first.split()[1]), stream.read(length)
    return None, b""
