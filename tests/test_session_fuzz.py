"""Malformed messages in every state: the session ends with an error, or it goes on."""

from harness import Front, error_of
from hypothesis import given, settings
from hypothesis import strategies as st
from test_planner import TEXT
from test_session import INSERT, ONE, bind, close, execute, named_parse

from tansycrank.postgres import messages as pg
from tansycrank.postgres.server.session import SessionState

STARTUP = pg.startup({"user": "x"})
GOOD = [
    pg.query(ONE),
    pg.query("SELECT 1"),
    pg.query(""),
    pg.query("BEGIN"),
    pg.query("ROLLBACK"),
    pg.query(INSERT),
    pg.query("SET tansycrank.class = 'lookup'"),
    pg.query("SELECT 1; SELECT 2"),
    pg.parse(ONE, ()),
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
JUNK = st.one_of(
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
        lambda frame, at: frame[: at % (len(frame) + 1)], st.sampled_from(GOOD), st.integers(0, 200)
    ),
    st.builds(
        lambda frame, at, value: (
            frame[: at % len(frame)] + bytes([value]) + frame[at % len(frame) + 1 :]
        ),
        st.sampled_from(GOOD),
        st.integers(0, 200),
        st.integers(0, 255),
    ),
)


def judge(front):
    """It is closed after a fatal error, or it answers still."""
    front.core.at_once = True
    while front.core.held:
        done, result = front.core.held.pop(0)
        done(result)
    heard = front.heard()
    if front.transport.disconnecting:
        problem = error_of(reversed(heard))
        assert problem is None or problem.is_fatal or heard[-1][0] != "E"
        return
    if front.session.state is SessionState.STARTUP or front.session._frames.buffered_bytes:
        return  # it waits for the rest of a message
    assert front.kinds(pg.SYNC_FRAME)[-1:] == "Z"
    assert front.kinds(pg.query("ROLLBACK"), pg.query("SELECT 1"))[-4:] == "TDCZ"


@settings(max_examples=1500, deadline=None)
@given(
    st.lists(st.one_of(st.sampled_from(GOOD), JUNK), max_size=12),
    st.integers(1, 400),
    st.booleans(),
)
def test_no_message_leaves_a_session_stuck_or_kills_the_daemon(frames, cut, at_once):
    front = Front(TEXT)
    front.log_in()
    front.core.at_once = at_once
    data = b"".join(frames)
    for at in range(0, len(data), cut):
        if not front.transport.disconnecting:
            front.session.dataReceived(data[at : at + cut])
    judge(front)


@settings(max_examples=600, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=60),
        st.builds(lambda d: pg.INT32.pack(len(d) + 4) + d, st.binary(max_size=60)),
        st.builds(
            lambda at, v: STARTUP[:at] + bytes([v]) + STARTUP[at + 1 :],
            st.integers(0, len(STARTUP) - 1),
            st.integers(0, 255),
        ),
    )
)
def test_no_startup_does(data):
    front = Front(TEXT)
    front.session.dataReceived(data)
    if not front.transport.disconnecting:
        front.clock.advance(11)
        assert front.transport.disconnecting or front.session.state is SessionState.READY


@settings(max_examples=500, deadline=None)
@given(st.lists(st.sampled_from(GOOD), max_size=14), st.integers(1, 60))
def test_the_cutting_of_the_stream_changes_no_answer(frames, cut):
    whole, pieces = Front(TEXT), Front(TEXT)
    whole.log_in(), pieces.log_in()
    data = b"".join(frames)
    answer = whole.send(data)
    for at in range(0, len(data), cut):
        pieces.session.dataReceived(data[at : at + cut])
    assert pieces.heard() == answer
