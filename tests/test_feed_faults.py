"""Lines of an endpoint feed that cannot be decoded, or that add nodes without end."""

import msgspec
from test_endpoint_view import FeedHarness, node, published_updates
from twisted.internet.testing import MemoryReactorClock, StringTransport

from tansycrank.discovery import feed_client, view_messages

NESTED_LINE = b'{"kind":"full","version":1,"x":' + b"[" * 5000 + b"]" * 5000 + b"}"


class RecordingFeed:
    """The part of a `FeedClient` that its connection uses."""

    def __init__(self):
        self.protocol, self.events, self.problems = None, [], []
        self.reactor = MemoryReactorClock()

    def handle(self, event):
        self.events.append(event)

    def log_problem(self, text):
        self.problems.append(text)


class AbortableTransport(StringTransport):
    """A transport that notes its abort."""

    aborted = False

    def abortConnection(self):
        self.aborted = True


def test_a_line_nested_too_deep_counts_as_one_that_cannot_be_decoded():
    """Guards against a decoder's error that was not caught, which ended the connection."""
    feed = RecordingFeed()
    protocol = feed_client._FeedProtocol(feed, 1_048_576)
    protocol.makeConnection(StringTransport())
    protocol.dataReceived(NESTED_LINE + b"\n" + b"no json\n")
    good = msgspec.json.encode({"kind": "beat", "version": 3})
    protocol.dataReceived(good + b"\n")
    lines = [e.line for e in feed.events if isinstance(e, view_messages.LineReceived)]
    assert [line and line.version for line in lines] == [None, None, 3]


def test_a_line_that_is_too_long_ends_the_connection_whole_or_not():
    """Guards against a feed whose line grows without end."""
    for data in (b"x" * 2000, b"x" * 2000 + b"\n{}\n"):
        feed, transport = RecordingFeed(), AbortableTransport()
        protocol = feed_client._FeedProtocol(feed, 1000)
        protocol.makeConnection(transport)
        protocol.dataReceived(data)
        assert transport.aborted and feed.problems


def test_the_nodes_of_all_deltas_together_are_bounded():
    """Guards against deltas that each add nodes, without end."""
    feed = FeedHarness()  # at most 100 nodes
    feed.receive("full", 1, *(node(n) for n in range(60)))
    for version in range(2, 8):
        first = 60 * version
        feed.receive("changes", version, *(node(n) for n in range(first, first + 60)))
    assert len(feed.view.nodes) == 100
    [update] = published_updates(feed.receive("changes", 8, node(1, "draining"), node(9999)))
    assert [entry.endpoint for entry in update.entries] == [1] and feed.view.version == 8
