"""Scans of texts from outside take time that grows with their length, not with its square.

Guards against an input that holds the event loop, and with it all other clients, by its form alone.
"""

import time
from contextlib import suppress

import pytest
from harness import Transport
from test_feed_faults import RecordingFeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tansycrank.discovery import feed_client
from tansycrank.http_router import frames
from tansycrank.http_router.discovery_exchange import DiscoveryExchange, ExchangeKind
from tansycrank.http_router.document_reader import DocumentError, DocumentReader
from tansycrank.merge.sort_keys import sort_key_function
from tansycrank.postgres import types
from tansycrank.postgres.messages import Field, data_row
from tansycrank.sql.plan import SortKey
from tansycrank.sql_router.parameters import statement_hash
from tansycrank.sql_router.service import is_single_data_statement

GROWTH = 4  # the second input is so many times as long as the first
MAX_RATIO = 9  # of the times taken; linear work gives about 4, work that grows with the square 16
LEAST_SECONDS = 0.002  # times below are noise
PLAYS = 3


def seconds_of(function, argument):
    """Return the least processor time of some calls."""
    best = float("inf")
    for _ in range(PLAYS):
        began = time.process_time()
        function(argument)
        best = min(best, time.process_time() - began)
    return best


def assert_linear(function, make, size):
    """Assert that the time of a call does not grow with the square of the size of its input."""
    shorter = max(seconds_of(function, make(size)), LEAST_SECONDS)
    longer = seconds_of(function, make(GROWTH * size))
    assert longer / shorter < MAX_RATIO, (shorter, longer)


STATEMENTS = {
    "spaces before a semicolon": lambda n: f"SELECT 1{' ' * n};SELECT 2",
    "line ends before a semicolon": lambda n: "SELECT 1" + "\n" * n + ";SELECT 2",
    "text and spaces in turn": lambda n: "SELECT " + "a \t" * (n // 3) + ";SELECT 2",
    "spaces behind a semicolon": lambda n: f"SELECT 1;{' ' * n}x",
    "spaces in front": lambda n: " " * n + "x",
    "semicolons": lambda n: "SELECT 1" + ";" * n,
    "quotes": lambda n: "SELECT " + "'" * (n | 1),
    "an open string": lambda n: "SELECT '" + "a''" * (n // 3),
    "digits": lambda n: "SELECT " + "1" * n + "a",
}


@pytest.mark.parametrize("name", STATEMENTS)
@pytest.mark.parametrize("scan", [is_single_data_statement, statement_hash])
def test_statements_are_scanned_in_linear_time(scan, name):
    """Guards against a pattern that goes back from each space before a semicolon."""
    assert_linear(scan, STATEMENTS[name], 8000)


@pytest.mark.parametrize(
    ("sql", "is_single"),
    [
        ("SELECT 1", True),
        ("  insert into t values (1) ;  \n", True),
        ("SELECT 1;SELECT 2", False),
        ("SELECT 1;;", False),
        ("SELECT ';'", False),
        ("SET a = 1", False),
        ("selection", False),
        ("", False),
    ],
)
def test_a_text_of_one_data_statement_is_recognized(sql, is_single):
    assert is_single_data_statement(sql) is is_single


LINES = {
    "an open string of escaped quotes": lambda n: b'{"' + b'\\"' * (n // 2),
    "an open string": lambda n: b'{"' + b"a" * n,
    "a string that ends with an escape": lambda n: b'{"' + b"a" * n + b"\\",
    "quotes": lambda n: b"{" + b'"' * (n | 1),
    "escapes outside of strings": lambda n: b"{" + b"\\" * n,
    "brackets": lambda n: b"[" * n,
}


def read_document_line(line):
    with suppress(DocumentError):
        DocumentReader().feed(line)


@pytest.mark.parametrize("name", LINES)
def test_lines_of_a_watch_are_scanned_in_linear_time(name):
    """Guards against a line of 80 KB of a discovery watch that holds the event loop for 40 s."""
    assert_linear(read_document_line, LINES[name], 4000)


class Listener:
    """Ignores what an exchange reports."""

    def on_endpoint_list(self, exchange, document):
        pass

    on_heartbeat = on_end = on_endpoint_list


def read_watch_in_pieces(size):
    exchange = DiscoveryExchange(Clock(), ExchangeKind.WATCH, b"", Listener())
    exchange.makeConnection(Transport())
    exchange.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(size // 16):
        exchange.on_body(b" " * 16)
    assert not exchange.ended


def read_feed_in_pieces(size):
    feed = RecordingFeed()
    protocol = feed_client._FeedProtocol(feed, 4 * size)
    protocol.makeConnection(StringTransport())
    for _ in range(size // 16):
        protocol.dataReceived(b" " * 16)
    protocol.dataReceived(b"\n")
    assert len(feed.events) == 2  # the connection and the line


def read_frame_in_pieces(size):
    reader = frames.FrameReader()
    list(reader.feed((size + 100).to_bytes(4, "little") + b"Aa.1 ok 1 -\n"))
    for _ in range(size):
        list(reader.feed(b"v"))


def test_a_long_line_of_a_watch_in_tiny_pieces_is_read_in_linear_time():
    """Guards against a buffer that is searched from its beginning for each piece."""
    assert_linear(read_watch_in_pieces, lambda n: n, 250_000)


def test_a_long_line_of_the_feed_in_tiny_pieces_is_read_in_linear_time():
    """Guards against a buffer that is copied for each piece."""
    assert_linear(read_feed_in_pieces, lambda n: n, 250_000)


def test_a_long_answer_in_single_bytes_is_read_in_linear_time():
    """Guards against a buffer that is copied for each byte."""
    assert_linear(read_frame_in_pieces, lambda n: n, 15_000)


ROWS = 10


def sort_keys_of_rows(columns):
    """Build the keys of some rows that are sorted by each of their columns."""
    key = sort_key_function(
        [SortKey(column) for column in range(columns)], [Field("n", types.INT8)] * columns
    )
    row = data_row([b"1"] * columns)
    for _ in range(ROWS):
        key(row)


def test_a_row_is_scanned_once_for_all_its_sort_keys():
    """Guards against ORDER BY of hundreds of expressions that holds the event loop while rows are
    merged.
    """
    assert_linear(sort_keys_of_rows, lambda columns: columns, 300)
