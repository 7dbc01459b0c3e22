"""The router process on loopback sockets, with a data node and discovery served by threads."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest
from live import answer, config, entry

from tansycrank.testbed.ports import ReservedPort

ROOT = Path(__file__).parent.parent.parent


def listener():
    listening_socket = socket.create_server(("127.0.0.1", 0))
    return listening_socket, listening_socket.getsockname()[1]


def serve(listening, handle):
    """Handle each connection in its own thread until the listener closes."""

    def accept():
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            threading.Thread(target=handle, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def node(connection):
    """Answer each shard request with a value that contains its shard."""
    stream = connection.makefile("rb")
    while header := stream.read(4):
        frame = stream.read(int.from_bytes(header, "little"))
        rest = frame[1:] if frame[:1] == b"Q" else b""
        while rest:
            line, _, rest = rest.partition(b"\n")
            id, shard, _, length = line.decode().split()
            rest = rest[int(length) :]
            connection.sendall(answer(id, value=f"value of {shard}"))


class DiscoveryServer:
    def __init__(self):
        self.listening, self.port = listener()
        self.requested = threading.Event()
        serve(self.listening, self.handle)

    def handle(self, connection):
        self.request = connection.recv(4096)
        self.requested.set()
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        with contextlib.suppress(OSError):  # the router disconnected
            while True:
                time.sleep(0.5)
                connection.sendall(b"1\r\n\n\r\n")


@pytest.fixture
def program(tmp_path):
    nodes, node_port = listener()
    serve(nodes, node)
    first = DiscoveryServer()
    reserved = ReservedPort()
    port = reserved.number
    path = tmp_path / "config.json"
    servers = [entry(n, addr=f"127.0.0.1:{node_port}") for n in range(3)]
    known = {"version": 4, "full": True, "servers": servers}

    def write(discovery):
        path.write_bytes(
            config(listen=f"127.0.0.1:{port}", discovery=f"127.0.0.1:{discovery.port}", known=known)
        )

    write(first)
    environ = os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    process = subprocess.Popen(
        [sys.executable, "-m", "tansycrank", "run"],
        cwd=tmp_path,
        env=environ,
        stderr=subprocess.PIPE,
    )
    process.base, process.write, process.first = f"http://127.0.0.1:{port}", write, first
    for _ in range(200):
        try:
            urllib.request.urlopen(process.base + "/-/ready", timeout=5).close()
            break
        except OSError:
            time.sleep(0.05)
    yield process
    process.kill()
    process.communicate()
    reserved.release()
    nodes.close()


def send_query(program, body, **headers):
    all_headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "1900"} | headers
    request = urllib.request.Request(program.base + "/look", body, all_headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as found:
            return found.status, json.loads(found.read())
    except urllib.error.HTTPError as problem:
        return problem.code, json.loads(problem.read())


VALID_BODY = b'{"shards":[{"shard":1,"weight":0.5},{"shard":5,"weight":0.5}],"q":"x"}'


def test_serves_reloads_and_shuts_down(program):
    status, found = send_query(program, VALID_BODY)
    assert status == 200 and found["complete"] is True
    assert {hit["shard"]: hit["doc"] for hit in found["hits"]} == {1: "value of 1", 5: "value of 5"}
    assert send_query(program, b"{}")[0] == 400 and send_query(program, b"x" * 200_000)[0] == 413
    second = DiscoveryServer()
    program.write(second)
    program.send_signal(signal.SIGHUP)
    assert second.requested.wait(10) and second.request.startswith(
        b"GET /api/targets?watch=1&after=4 "
    )
    program.send_signal(signal.SIGTERM)
    assert send_query(program, VALID_BODY)[0] == 200  # still served until draining starts
    assert program.wait(10) == 0


def test_invalid_configuration_exits_with_the_reason(tmp_path):
    path = tmp_path / "config.json"
    path.write_bytes(config(listen="nowhere"))
    environ = os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    found = subprocess.run(
        [sys.executable, "-m", "tansycrank", "run"], env=environ, capture_output=True, timeout=60
    )
    assert found.returncode == 2 and b"listen: an address host:port is needed" in found.stderr


def test_imports_no_modules_of_the_sql_router():
    names = (
        "pglast",
        "duckdb",
        "numpy",
        "click",
        "structlog",
        "tansycrank.postgres",
        "tansycrank.sql",
    )
    code = (
        "import sys, tansycrank.http_router.daemon; "
        f"print([n for n in {names} if n in sys.modules])"
    )
    found = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, timeout=60)
    assert found.stdout.strip() == b"[]", found.stderr
