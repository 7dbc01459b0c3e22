"""Lines of a peer that writes faster than they are handled leave their turns to all others."""

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from tansycrank import config
from tansycrank.discovery import endpoint_source, feed_client
from tansycrank.http_router.discovery_exchange import DiscoveryExchange, ExchangeKind
from tansycrank.paced_lines import TURN_SECONDS, PacedLines
from tansycrank.pending_notifications import (
    MAX_READ_SECONDS,
    MIN_CHUNKS,
    MIN_LINES,
    READ_BYTES,
    PendingNotifications,
    read_available,
)

LINE_SECONDS = TURN_SECONDS / 2  # that each line takes


def run_turn(reactor):
    """Run the delayed calls that are due, as one turn of the reactor does, but no new ones."""
    due = [call for call in reactor.calls if call.getTime() <= reactor.seconds()]
    for call in due:
        reactor.calls.remove(call)
        call.called = 1
        call.func(*call.args, **call.kw)


class SlowLines:
    """Lines of which each takes some time."""

    def __init__(self):
        self.reactor, self.transport = MemoryReactorClock(), StringTransport()
        self.handled = []
        self.paced = PacedLines(self.reactor, self.handle)

    def handle(self, line):
        self.reactor.rightNow += LINE_SECONDS
        self.handled.append(line)

    def receive(self, data):
        self.paced.feed(data)
        self.paced.handle_for_turn(self.transport)


def test_lines_that_take_long_are_handled_in_turns_while_their_connection_is_not_read():
    """Guards against one peer whose lines hold the event loop until the last is handled."""
    lines = SlowLines()
    lines.receive(b"".join(b"%d\n" % number for number in range(100)) + b"rest")
    assert 1 <= len(lines.handled) <= 3 and lines.transport.producerState == "paused"
    turns = 0
    while lines.paced.has_waiting:
        before = len(lines.handled)
        run_turn(lines.reactor)
        turns += 1
        assert len(lines.handled) - before <= 3
    assert turns >= 30 and lines.transport.producerState == "producing"
    assert lines.handled == [b"%d" % number for number in range(100)]
    assert lines.paced.unfinished_bytes == len(b"rest")


def test_few_lines_are_handled_at_once():
    lines = SlowLines()
    lines.receive(b"1\n")
    assert lines.handled == [b"1"] and lines.transport.producerState == "producing"
    assert not lines.reactor.getDelayedCalls()


def test_lines_of_a_connection_that_has_ended_are_handled_or_dropped_as_its_owner_says():
    lines = SlowLines()
    lines.receive(b"x\n" * 10)
    lines.paced.handle_all()
    assert len(lines.handled) == 10
    lines.receive(b"x\n" * 10)
    handled = len(lines.handled)
    lines.paced.close()
    lines.reactor.advance(1)
    assert len(lines.handled) == handled and not lines.reactor.getDelayedCalls()


class Flood:
    """A receiver on a connection on which lines arrive without end, or up to a number of chunks."""

    def __init__(self, chunks=None, chunk=b"x\n" * 10, line_seconds=LINE_SECONDS, read_seconds=0.0):
        self.lines = PacedLines(MemoryReactorClock(), self.handle)
        self.reactor, self.transport, self.connected = self.lines._reactor, self, True
        self.chunks, self.chunk = chunks, chunk
        self.line_seconds, self.read_seconds = line_seconds, read_seconds
        self.chunks_received = self.handled = 0

    def handle(self, line):
        self.reactor.rightNow += self.line_seconds
        self.handled += 1

    def doRead(self):
        self.reactor.rightNow += self.read_seconds
        if self.chunks is None or self.chunks_received < self.chunks:
            self.chunks_received += 1
            self.lines.feed(self.chunk)

    def read(self):
        began = self.reactor.seconds()
        read_available(self, self.reactor.seconds)
        return self.reactor.seconds() - began


def test_a_request_does_not_wait_for_a_peer_that_writes_without_end():
    """Guards against requests that wait until discovery, which floods, has been read to its end."""
    flood = Flood()
    assert flood.read() < MAX_READ_SECONDS + (MIN_LINES + 10) * LINE_SECONDS
    endless_line = Flood(chunk=b"x" * READ_BYTES, read_seconds=MAX_READ_SECONDS)
    assert endless_line.read() <= (MIN_CHUNKS + 1) * MAX_READ_SECONDS


def test_what_arrived_while_the_process_stood_still_is_read_although_it_takes_longer():
    """Guards against a drain that is read after requests were sent to the node."""
    suspended = Flood(chunks=MIN_CHUNKS, line_seconds=MAX_READ_SECONDS)
    suspended.read()
    assert suspended.handled == 10 * MIN_CHUNKS


def test_half_of_the_time_is_left_for_requests_beside_a_peer_that_writes_without_end():
    flood = Flood(line_seconds=MAX_READ_SECONDS / 100)
    notifications = PendingNotifications(flood.reactor, flood.read)
    began = flood.reactor.seconds()
    reading = 0.0
    while flood.reactor.seconds() < began + 1.0:
        before = flood.reactor.seconds()
        notifications.ensure_read()
        reading += flood.reactor.seconds() - before
        flood.reactor.rightNow += 0.001
    assert reading < 0.6


class Listener:
    """Notes what an exchange reports."""

    def __init__(self, reactor):
        self.reactor, self.heard = reactor, []

    def on_heartbeat(self, exchange):
        self.reactor.rightNow += LINE_SECONDS
        self.heard.append("heartbeat")

    def on_endpoint_list(self, exchange, document):
        self.heard.append(document.version)

    def on_end(self, exchange, succeeded):
        self.heard.append("end")


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        pass


def watch():
    reactor = MemoryReactorClock()
    listener = Listener(reactor)
    exchange = DiscoveryExchange(reactor, ExchangeKind.WATCH, b"", listener)
    exchange.makeConnection(Transport())
    exchange.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    return exchange, listener


def test_heartbeats_without_end_on_a_watch_are_handled_in_turns():
    """Guards against a megabyte of line feeds that holds the platform's router for a second."""
    exchange, listener = watch()
    exchange.dataReceived(b"%x\r\n%b\r\n" % (1000, b"\n" * 1000))
    assert len(listener.heard) <= 3 and exchange.transport.producerState == "paused"
    for _ in range(1000):
        run_turn(listener.reactor)
    assert listener.heard == ["heartbeat"] * 1000 and not exchange.ended


LIST = b'{"version": 7, "servers": []}\n'


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"no chunk\r\n"], ids=["end", "no HTTP"])
def test_a_list_behind_lines_that_wait_is_heard_though_the_watch_ends(end):
    """Guards against a drain that is lost since its connection ends while lines wait."""
    exchange, listener = watch()
    data = b"\n" * 100 + LIST
    exchange.dataReceived(b"%x\r\n%b\r\n" % (len(data), data) + end)
    assert listener.heard == ["heartbeat"] * 100 + [7, "end"]


class RecordingLog:
    def __init__(self):
        self.lines = []

    def warning(self, event, **fields):
        self.lines.append(fields)


SETTINGS = """
[router]
[store]
shards = 1
[roster]
feed = 127.0.0.1:1
[class a]
aim_ms = 100
give_up_ms = 200
"""


def feed():
    settings = config.parse(SETTINGS)
    client = feed_client.FeedClient(
        MemoryReactorClock(), settings, None, lambda update: None, RecordingLog()
    )
    protocol = feed_client._FeedProtocol(client, settings.roster.max_line)
    protocol.makeConnection(StringTransport())
    return client, protocol


def test_lines_of_a_feed_that_cannot_be_read_are_few_in_the_log():
    """Guards against a log line for each of a million bad lines, which holds the SQL router."""
    client, protocol = feed()
    protocol.dataReceived(b"no json\n" * 10_000)
    assert len(client.log.lines) == endpoint_source.MAX_PROBLEMS_PER_SECOND
    client.reactor.advance(1.5)
    protocol.dataReceived(b"no json\n")
    assert client.log.lines[-1]["left_out"] == 10_000 - endpoint_source.MAX_PROBLEMS_PER_SECOND


def test_a_line_that_raises_in_a_later_turn_ends_its_connection():
    """Guards against a feed that stays paused for good after an exception of one line."""
    lines = SlowLines()
    lines.paced.feed(b"\n" * 5)
    lines.paced.handle_for_turn(lines.transport)
    assert lines.transport.producerState == "paused"

    def fail(line):
        raise ValueError(line)

    lines.paced._handle = fail
    with pytest.raises(ValueError):
        run_turn(lines.reactor)
    assert lines.transport.disconnected or lines.transport.disconnecting
    assert not lines.paced.has_waiting
