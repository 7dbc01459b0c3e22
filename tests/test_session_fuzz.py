"""Malformed messages in every state: the session ends with an error or keeps working."""

from harness import SessionHarness, first_error
from hypothesis import given, settings
from hypothesis import strategies as st
from test_planner import CONFIG_TEXT
from test_session import INSERT, SELECT_ONE_SHARD, bind, close, execute, named_parse

from tansycrank.postgres import messages as pg
from tansycrank.postgres.server.session import SessionState

STARTUP = pg.startup({"user": "x"})
VALID_FRAMES = [
    pg.query(SELECT_ONE_SHARD),
    pg.query("SELECT 1"),
    pg.query(""),
    pg.query("BEGIN"),
    pg.query("ROLLBACK"),
    pg.query(INSERT),
    pg.query("SET tansycrank.class = 'lookup'"),
    pg.query("SELECT 1; SELECT 2"),
    pg.parse(SELECT_ONE_SHARD, ()),
    pg.parse(INSERT, ()),
    named_parse("s", "SELECT id FROM trips WHERE district = $1"),
    pg.parse("", ()),
    bind(),
    bind("p", "s", (b"a",)),
    pg.describe("P"),
    pg.describe("S"),
    execute(),
    execute("p", 1),
    close("S", "s"),
    close("P", "p"),
    pg.FLUSH_FRAME,
    pg.SYNC_FRAME,
    pg.SYNC_FRAME,
    pg.frame(b"d", b"junk"),
]
MALFORMED_FRAMES = st.one_of(
    st.binary(max_size=40),
    st.builds(
        lambda kind, body: pg.frame(bytes([kind]), body),
        st.integers(0, 255),
        st.binary(max_size=60),
    ),
    st.builds(
        lambda kind, size: bytes([kind]) + pg.INT32.pack(size),
        st.sampled_from(list(b"QPBDEC")),
        st.integers(-(2**31), 2**31 - 1),
    ),
    st.builds(
        lambda frame, position: frame[: position % (len(frame) + 1)],
        st.sampled_from(VALID_FRAMES),
        st.integers(0, 200),
    ),
    st.builds(
        lambda frame, position, value: (
            frame[: position % len(frame)] + bytes([value]) + frame[position % len(frame) + 1 :]
        ),
        st.sampled_from(VALID_FRAMES),
        st.integers(0, 200),
        st.integers(0, 255),
    ),
)


def check_session(harness):
    """Check that the session has ended with a fatal error or still responds."""
    harness.service.responds_immediately = True
    while harness.service.pending:
        done, result = harness.service.pending.pop(0)
        done(result)
    messages = harness.take_messages()
    if harness.transport.disconnecting:
        error = first_error(reversed(messages))
        assert error is None or error.is_fatal or messages[-1][0] != "E"
        return
    if harness.session.state is SessionState.STARTUP or harness.session._frames.buffered_bytes:
        return  # the session waits for the rest of a message
    assert harness.kinds(pg.SYNC_FRAME)[-1:] == "Z"
    assert harness.kinds(pg.query("ROLLBACK"), pg.query("SELECT 1"))[-4:] == "TDCZ"


@settings(max_examples=1500, deadline=None)
@given(
    st.lists(st.one_of(st.sampled_from(VALID_FRAMES), MALFORMED_FRAMES), max_size=12),
    st.integers(1, 400),
    st.booleans(),
)
def test_malformed_messages_neither_block_a_session_nor_stop_the_daemon(
    frames, chunk_size, responds_immediately
):
    harness = SessionHarness(CONFIG_TEXT)
    harness.log_in()
    harness.service.responds_immediately = responds_immediately
    data = b"".join(frames)
    for position in range(0, len(data), chunk_size):
        if not harness.transport.disconnecting:
            harness.session.dataReceived(data[position : position + chunk_size])
    check_session(harness)


@settings(max_examples=600, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        st.builds(lambda d: pg.INT32.pack(len(d) + 4) + d, st.binary(max_size=60)),
        st.builds(
            lambda position, v: STARTUP[:position] + bytes([v]) + STARTUP[position + 1 :],
            st.integers(0, len(STARTUP) - 1),
            st.integers(0, 255),
        ),
    )
)
def test_malformed_startup_packets_neither_block_a_session_nor_stop_the_daemon(data):
    harness = SessionHarness(CONFIG_TEXT)
    harness.session.dataReceived(data)
    if not harness.transport.disconnecting:
        harness.clock.advance(11)
        assert harness.transport.disconnecting or harness.session.state is SessionState.READY


@settings(max_examples=500, deadline=None)
@given(st.lists(st.sampled_from(VALID_FRAMES), max_size=14), st.integers(1, 60))
def test_responses_do_not_depend_on_how_the_stream_is_split(frames, chunk_size):
    whole, pieces = SessionHarness(CONFIG_TEXT), SessionHarness(CONFIG_TEXT)
    whole.log_in(), pieces.log_in()
    data = b"".join(frames)
    answer = whole.send(data)
    for position in range(0, len(data), chunk_size):
        pieces.session.dataReceived(data[position : position + chunk_size])
    assert pieces.take_messages() == answer
