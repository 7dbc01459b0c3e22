"""The bytes that all sessions of the SQL router hold together."""

import pytest
from harness import SessionHarness, first_error
from test_planner import CONFIG_TEXT
from test_session import SELECT_ONE_SHARD, bind, named_parse

from tansycrank.postgres import messages as pg
from tansycrank.postgres.messages import store_responses
from tansycrank.sql.planner import MAX_CACHED_CHARACTERS

MAX_HELD = 1_048_576


class Sessions(SessionHarness):
    """Several sessions of one factory; the harness's own session is the usual client."""

    def __init__(self, **listen):
        super().__init__(CONFIG_TEXT, max_held=MAX_HELD, **listen)
        self.log_in()

    def open(self):
        session, transport = self.connect()
        session.dataReceived(pg.startup({"user": "other"}))
        transport.clear()
        return session, transport


def unfinished_messages(session, transport):
    session.dataReceived(b"Q" + pg.INT32.pack(400_000) + b"x" * 300_000)


def prepared_statements(session, transport):
    for n in range(10):
        sql = f"SELECT id FROM trips WHERE district = 'a' AND note = '{'x' * 1000}'"
        session.dataReceived(named_parse(f"s{n}", sql) + pg.SYNC_FRAME)


def parameters(session, transport):
    session.dataReceived(named_parse("s", "SELECT id FROM trips WHERE district = $1", (25,)))
    for n in range(10):
        session.dataReceived(bind(f"p{n}", "s", (b"x" * 40_000,)))


def queued_messages(session, transport):
    session.pauseProducing()
    session.dataReceived(pg.SYNC_FRAME * 2000)


@pytest.mark.parametrize(
    "load", [unfinished_messages, prepared_statements, parameters, queued_messages]
)
def test_what_all_sessions_hold_is_bounded_and_the_largest_session_ends(load):
    """Guards against limits of each session whose sum is above the memory of the process."""
    harness = Sessions()
    others = [harness.open() for _ in range(10)]
    for session, transport in others:
        load(session, transport)
    budget = harness.factory.held_bytes
    assert budget.held_bytes <= MAX_HELD
    ended = [transport for _, transport in others if transport.disconnecting]
    assert 0 < len(ended) < len(others)
    errors = [
        first_error(
            [(chr(kind), frame) for kind, frame in pg.MessageSplitter(1 << 26).feed(t.value())]
        )
        for t in ended
    ]
    assert {error.state for error in errors} == {"53200"}
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


def test_nothing_is_counted_of_sessions_that_have_ended():
    harness = Sessions()
    session, transport = harness.open()
    prepared_statements(session, transport)
    assert harness.factory.held_bytes.held_bytes > 0
    session.connectionLost()
    harness.send(pg.SYNC_FRAME)
    assert harness.factory.held_bytes.held_bytes == 0


def test_small_messages_count_with_the_memory_that_they_take():
    """Guards against a million messages of five bytes in a queue for a megabyte."""
    harness = Sessions(max_pending=100_000)
    harness.session.pauseProducing()
    harness.session.dataReceived(pg.SYNC_FRAME * 1000)
    assert harness.transport.producerState == "paused"
    assert harness.session._queue.size_bytes > 100_000


def test_the_texts_of_cached_plans_are_bounded():
    """Guards against a cache that counts plans and not their size."""
    planner = SessionHarness(CONFIG_TEXT).service.planner
    for n in range(100):
        planner.plan_statements(f"SELECT id FROM trips WHERE district = '{n}{'x' * 16_000}'")
    texts = [text for text, _ in planner._cache]
    assert sum(map(len, texts)) <= MAX_CACHED_CHARACTERS and len(texts) > 50


def test_long_row_descriptions_are_not_cached():
    store_responses._read_cached_description.cache_clear()
    fields = tuple(pg.Field(f"column{n}" * 5, 25) for n in range(200))
    assert len(pg.read_row_description(pg.row_description(fields))) == 200
    assert store_responses._read_cached_description.cache_info().currsize == 0
    assert len(pg.read_row_description(pg.row_description(fields[:2]))) == 2
    assert store_responses._read_cached_description.cache_info().currsize == 1
