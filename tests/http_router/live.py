"""Test harness: an HTTP router on an in-memory clock and transports.

The tests act as clients, data nodes and discovery.
"""

import json

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from tansycrank.http_router import settings as configuration
from tansycrank.http_router.daemon import Daemon

START = 1_700_000_000.0  # s; start times of nodes use the same clock

OPERATOR_SETTINGS = {
    "caps": {
        "attemptsCap": 3,
        "cancel": True,
        "maxRetryAfter": 500.0,
        "mayProbe": False,
        "openCap": 60,
        "peers": False,
        "retryAfter": True,
        "secondCopies": True,
        "streamsPerConn": 8,
        "connectTimeout": 250.0,
        "connIdle": 10_000.0,
    },
    "clients": {"marksRetry": True},
    "discovery": "ask",
    "workload": "fanout",
    "familyInfo": {
        "bundleMax": 4,
        "followUp": [0, 0],
        "inARow": 3,
        "minShare": [1.0, 1.0],
        "perCallWork": 0.0,
        "positions": 3,
        "shortWorth": [0.0, 0.0],
        "slabs": 9,
        "wholeAt": [1.0, 1.0],
    },
    "localities": ["a", "b", "c"],
    "me": 0,
    "replicasOfMe": 2,
    "step": 5.0,
    "zone": 0,
    "prices": {"crossZone": 0.0, "lateFail": 0.0, "probe": 0.0, "waste": 0.0},
    "rules": {
        "askEvery": 10_000.0,
        "cold": 10_000.0,
        "coldFrom": 0.2,
        "fall": 1000.0,
        "graceToAnswer": 20.0,
        "overloadFactor": 2.0,
        "stopSendingWithin": 500.0,
    },
    "services": [
        {
            "aim": 1000.0,
            "effect": "read_like",
            "giveUp": 2000.0,
            "lateWorth": 0.5,
            "name": "look",
            "points": 1.0,
            "window": 0.0,
        },
        {
            "aim": 1000.0,
            "effect": "non_idempotent",
            "giveUp": 2000.0,
            "lateWorth": 0.5,
            "name": "book",
            "points": 1.0,
            "window": 0.0,
        },
    ],
}


def entry(number, state="in_service", **more):
    return {
        "id": f"s-{number}",
        "addr": f"127.0.0.{number}:7070",
        "zone": "abc"[number % 3],
        "kind": "k",
        "cell": number % 3,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    } | more


def config(servers=(1, 2, 3), **more):
    """An encoded configuration file; `more` replaces top-level keys."""
    document = {
        "name": "n0",
        "listen": "127.0.0.1:7000",
        "discovery": "127.0.0.9:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 128},
        "known": {"version": 4, "full": True, "servers": [entry(n) for n in servers]},
        "settings": OPERATOR_SETTINGS,
    }
    return json.dumps(document | more).encode()


class SocketWithoutOptions:
    """A socket on which getsockopt fails."""

    def getsockopt(self, *what):
        raise OSError


class Transport(StringTransport):
    """An in-memory transport that notifies its protocol when the connection closes."""

    def __init__(self, protocol=None):
        super().__init__()
        self.protocol, self.over, self.half_closed = protocol, False, False

    stuck = False  # whether the kernel accepts no more bytes
    unsent_bytes = (
        0  # of written bytes; the kernel accepts all at once unless a test says otherwise
    )
    unread_bytes = 0  # that the kernel has received
    has_peer_closed = False
    may_hide_disconnect = False

    def setTcpNoDelay(self, enabled):
        pass

    def doRead(self):
        """Do nothing: sent data is delivered immediately, so none is ever pending."""

    def getHandle(self):
        return SocketWithoutOptions()

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        if not streaming:
            producer.resumeProducing()

    def write(self, data):
        super().write(data)
        if self.producer is not None and not self.streaming and not self.stuck:
            self.producer.resumeProducing()

    def loseWriteConnection(self):
        self.half_closed = True

    def loseConnection(self):
        self.end()

    def abortConnection(self):
        self.end()

    def end(self):
        if not self.over:
            self.over = True
            self.protocol.connectionLost(Failure(ConnectionDone()))

    def take(self):
        """Return and clear the bytes written since the last call."""
        written = self.value()
        self.clear()
        return written


def parse_shard_requests(call):
    """The shard requests of a frame, as a data node parses them: (id, shard, ms, text)."""
    shard_requests = []
    while call:
        line, _, call = call.partition(b"\n")
        id, shard, options, length = line.decode().split()
        max_wait = options.partition(",")[0].removeprefix("d=")
        shard_requests.append((id, int(shard), int(max_wait), call[: int(length)]))
        call = call[int(length) :]
    return shard_requests


class Peer:
    """The remote end of a connection opened by the router."""

    def __init__(self, host, port, factory):
        self.host, self.port, self.factory = host, port, factory
        self.protocol = self.transport = None

    def accept(self, stuck=False):
        """Establish the connection; `stuck` if the kernel accepts no bytes for it."""
        self.protocol = self.factory.buildProtocol(None)
        self.transport = Transport(self.protocol)
        self.transport.stuck = stuck
        self.protocol.makeConnection(self.transport)
        return self

    def refuse(self):
        self.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def take_shard_requests(self):
        """Return the shard requests received since the last call: (id, shard, ms, text)."""
        data, shard_requests = self.transport.take(), []
        self.cancelled_ids = []
        while data:
            size = int.from_bytes(data[:4], "little")
            letter, rest, data = data[4:5], data[5 : 4 + size], data[4 + size :]
            if letter == b"X":
                self.cancelled_ids.append(rest.decode())
                continue
            shard_requests += parse_shard_requests(rest)
        return shard_requests

    def send(self, data):
        self.protocol.dataReceived(data)


def frame(letter, rest):
    return (len(rest) + 1).to_bytes(4, "little") + letter + rest


def answer(id, end="ok", value="0123456789abcdef", report="-"):
    value = value if end == "ok" else ""
    return frame(b"A", f"{id} {end} 17 {report}\n{value}".encode())


def post(
    id="q1", path="/look?obj=7f3a9c21e0b4d655", shards=((0, 1.0),), deadline=900, body=None, more=""
):
    if body is None:
        body = json.dumps({"shards": [{"shard": s, "weight": w} for s, w in shards], "q": "c41e"})
    return (
        f"POST {path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\n"
        f"X-Deadline-Ms: {deadline}\r\n"
        f"{more}Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


class Port:
    """The part of the listening port that the HTTP server uses."""

    closed_unread = 0

    reading = True
    accept_failed = False
    waiting_since = None

    def record_waiting(self, since):
        self.waiting_since = since

    def stopReading(self):
        self.reading = False

    def startReading(self):
        self.reading = True

    def stopListening(self):
        self.reading = False

    def doRead(self):
        pass


class RouterHarness:
    """The daemon and the remote ends of its connections."""

    def __init__(self, raw=None, environ=None):
        self.reactor = MemoryReactorClock()
        self.reactor.running = True
        self.reactor.rightNow = START
        self.daemon = Daemon(self.reactor, configuration.parse(raw or config(), {}), environ or {})
        self.daemon.start()
        self.port = Port()
        self.use_port()
        self.seen = 0
        self.discovery, self.nodes = [], []
        self.run(0)

    def run(self, seconds):
        """Advance time in steps of 5 ms, then sort new connections into discovery and nodes."""
        for _ in range(max(round(seconds / 0.005), 3)):
            self.reactor.advance(0.005 if seconds else 0)
        for host, port, factory, *_ in self.reactor.tcpClients[self.seen :]:
            (self.discovery if port >= 8000 else self.nodes).append(Peer(host, port, factory))
        self.seen = len(self.reactor.tcpClients)

    def use_port(self):
        """Replace the port of a listening router by one that records pausing."""
        if self.daemon.server.port is not None:
            self.daemon.server.port = self.port

    def client(self):
        self.use_port()
        protocol = self.daemon.server.buildProtocol(None)
        transport = Transport(protocol)
        protocol.makeConnection(transport)
        return protocol, transport

    def send_request(self, data, client=None):
        """Send data as a client; returns its transport."""
        protocol, transport = client or self.client()
        protocol.dataReceived(data)
        self.run(0)
        return transport

    def take_shard_requests(self):
        """Return the shard requests sent to nodes since the last call: (peer, id, shard)."""
        self.run(0)
        for peer in self.nodes:
            if peer.transport is None:
                peer.accept()
        return [
            (peer, id, shard)
            for peer in self.nodes
            for id, shard, _, _ in peer.take_shard_requests()
        ]


def status(written):
    return int(written.split(b" ", 2)[1]) if written else None


def body(written):
    return json.loads(written.partition(b"\r\n\r\n")[2])
