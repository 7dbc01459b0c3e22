"""Sessions of clients: the protocol in order, its limits, its cancels."""

import pytest
from harness import Front, error_of
from test_planner import TEXT

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import QUERY_REJECTED, PgError

ONE = "SELECT id FROM trips WHERE district = 'a'"
INSERT = "INSERT INTO trips (id, district) VALUES (1, 'a')"


def close(kind, name):
    return pg.frame(b"C", kind.encode() + name.encode() + b"\0")


def named_parse(name, sql, oids=()):
    return pg.parse(sql, oids, name)


def bind(portal="", statement="", values=()):
    body = portal.encode() + b"\0" + statement.encode() + b"\0\0\0" + pg.INT16.pack(len(values))
    for value in values:
        body += b"\xff\xff\xff\xff" if value is None else pg.INT32.pack(len(value)) + value
    return pg.frame(b"B", body + b"\0\0")


def execute(portal="", limit=0):
    return pg.frame(b"E", portal.encode() + b"\0" + pg.INT32.pack(limit))


@pytest.fixture
def front():
    made = Front(TEXT)
    made.log_in()
    return made


def test_encryption_is_declined_and_the_startup_follows():
    front = Front(TEXT)
    front.session.dataReceived(pg.INT32.pack(8) + pg.INT32.pack(pg.SSL_REQUEST_CODE))
    assert front.transport.value() == b"N"
    front.transport.clear()
    kinds = [kind for kind, _ in front.log_in()]
    assert kinds[0] == "R" and kinds[-2:] == ["K", "Z"] and kinds.count("S") == 13


@pytest.mark.parametrize(
    "packet, state",
    [
        (pg.INT32.pack(8) + pg.INT32.pack(2 << 16), "0A000"),
        (pg.INT32.pack(20000), "08P01"),
        (pg.INT32.pack(4), "08P01"),
        (pg.startup({"database": "x"}), "28000"),
        (pg.startup({"user": "x", "client_encoding": "LATIN1"}), "22023"),
        (pg.startup({"user": "x", "nonsense": "1"}), "42704"),
    ],
)
def test_bad_startups_end_with_a_clear_error(packet, state):
    front = Front(TEXT)
    front.session.dataReceived(packet)
    problem = error_of(front.heard())
    assert problem.state == state and problem.is_fatal and front.transport.disconnecting


def test_options_of_the_startup_are_settings():
    front = Front(TEXT)
    front.log_in(options="-c statement_timeout=5s -ctansycrank.class=lookup")
    assert front.session.settings["statement_timeout"] == "5000"
    assert front.session.settings["tansycrank.class"] == "lookup"


def test_a_client_that_never_logs_in_is_let_go():
    front = Front(TEXT, login_timeout_ms=500)
    front.clock.advance(0.6)
    assert front.transport.disconnecting


def test_the_number_of_sessions_is_bounded():
    front = Front(TEXT, max_sessions=2)
    front.log_in()
    for wanted in ("Z", "E"):
        session, transport = front.connect()
        session.dataReceived(pg.startup({"user": "x"}))
        kinds = [chr(k) for k, _ in pg.MessageSplitter(1 << 20).feed(transport.value())]
        assert kinds[-1] == wanted


def test_the_extended_protocol_answers_in_order(front):
    got = front.kinds(pg.parse(ONE, ()), bind(), pg.describe("P"), execute(), pg.SYNC_FRAME)
    assert got == "12TDDDCZ"


@pytest.fixture
def overloaded(front, monkeypatch):
    """A front that rejects whatever it can before planning; the parameters that it saw."""
    seen = []

    def rejected(sql, caller, settings, values=()):
        seen.append((sql, values))
        return PgError(QUERY_REJECTED, "too far off")

    monkeypatch.setattr(front.core, "reject_early", rejected)
    return seen


def test_an_extended_statement_is_rejected_before_it_is_planned(front, overloaded, monkeypatch):
    """Guards against a flood that takes all of the router's time for planning."""
    monkeypatch.setattr(front.core, "prepare", lambda *_: pytest.fail("planned"))
    sql = "SELECT id FROM trips WHERE district = $1"
    messages = front.send(pg.parse(sql, ()), bind(values=[b"a"]), execute(), pg.SYNC_FRAME)
    assert error_of(messages).state == QUERY_REJECTED
    assert [kind for kind, _ in messages] == ["E", "Z"]
    assert overloaded == [(sql, (b"a",))]  # a reservation is kept for these parameters


def test_a_statement_that_is_prepared_alone_is_planned(front, overloaded):
    assert front.kinds(pg.parse(ONE, ()), pg.SYNC_FRAME) == "1Z"
    assert front.kinds(named_parse("s", ONE), bind(), pg.SYNC_FRAME) != ""
    assert not overloaded


def test_a_portal_is_described_alone_where_no_execute_follows(front):
    assert front.kinds(pg.parse(ONE, ()), bind(), pg.describe("P"), pg.SYNC_FRAME) == "12TZ"


def test_row_limits_suspend_and_resume_a_portal(front):
    front.core.rows = 5
    got = front.kinds(pg.parse(ONE, ()), bind(), *[execute(limit=2)] * 3, pg.SYNC_FRAME)
    assert got == "12DDsDDsDCZ"
    assert len(front.core.asked) == 1


def test_a_block_keeps_portals_over_a_sync(front):
    front.core.rows = 3
    front.kinds(pg.query("BEGIN"))
    assert front.kinds(pg.parse(ONE, ()), bind("p"), execute("p", 2), pg.SYNC_FRAME) == "12DDsZ"
    assert front.kinds(execute("p", 2), pg.SYNC_FRAME) == "DCZ"
    front.kinds(pg.query("COMMIT"))
    assert error_of(front.send(execute("p"), pg.SYNC_FRAME)).state == "34000"


def test_an_error_skips_to_the_sync(front):
    bad = pg.parse("SELECT x FROM none", ())
    got = front.send(bad, bind(), execute(), pg.SYNC_FRAME, pg.query("SELECT 1"))
    assert "".join(k for k, _ in got) == "EZTDCZ"


def test_messages_behind_a_running_statement_wait_in_order(front):
    front.core.at_once = False
    assert (
        front.kinds(pg.parse(ONE, ()), bind(), execute(), pg.SYNC_FRAME, pg.query("SELECT 1"))
        == "12"
    )
    done, result = front.core.held.pop()
    done(result)
    assert "".join(k for k, _ in front.heard()) == "DDDCZTDCZ"


def test_a_cancel_with_the_right_key_reaches_the_statement_and_no_other_does(front):
    front.core.at_once = False
    front.send(pg.query(ONE))
    pid, secret = front.session.pid, front.session.secret
    for number, key in ((0, secret ^ 1), (1, secret)):
        session, _ = front.connect()
        session.dataReceived(pg.cancel_request(pid, key))
        assert len(front.core.cancelled) == number


def test_a_client_that_leaves_cancels_and_its_late_answer_goes_nowhere(front):
    front.core.at_once = False
    front.send(pg.query(ONE))
    front.session.connectionLost()
    assert front.core.cancelled == [True] and not front.factory.sessions
    done, result = front.core.held.pop()
    done(result)
    assert front.core.released == 1 and not front.heard()


def test_a_client_that_does_not_read_gets_no_more_and_sends_no_more(front):
    front.core.rows = 50_000
    front.session.pauseProducing()
    front.send(pg.query(ONE), pg.query(ONE))
    assert not front.core.asked and front.transport.producerState == "paused"
    front.session.resumeProducing()
    assert len(front.core.asked) == 2 and len(front.heard()) == 2 * 50_003


def test_rows_stop_while_the_client_does_not_read(front):
    front.core.rows = 50_000
    written = front.transport.write

    def write(data):
        written(data)
        if len(front.transport.value()) > 200_000:
            front.session.pauseProducing()

    front.transport.write = write
    front.session.dataReceived(pg.query(ONE))
    assert 200_000 < len(front.transport.value()) < 300_000
    front.transport.write = written
    front.session.resumeProducing()
    kinds = [k for k, _ in front.heard()]
    assert kinds.count("D") == 50_000 and kinds[-2:] == ["C", "Z"]


def test_the_line_of_messages_is_bounded_by_the_clients_own_socket():
    front = Front(TEXT, max_pending=2000)
    front.log_in()
    front.core.at_once = False
    for _ in range(60):
        front.send(pg.query(ONE))
    assert front.transport.producerState == "paused"


def test_a_write_runs_only_before_its_sync(front):
    assert front.kinds(pg.parse(INSERT, ()), bind(), execute()) == "12" and not front.core.asked
    assert front.kinds(pg.SYNC_FRAME) == "CZ" and len(front.core.asked) == 1
    got = front.send(pg.parse(INSERT, ()), bind(), execute(), pg.parse(ONE, ()), pg.SYNC_FRAME)
    assert error_of(got).state == "0A000" and len(front.core.asked) == 1


def test_writes_in_a_block_are_refused_and_the_block_fails(front):
    front.send(pg.query("BEGIN"))
    got = front.send(pg.query(INSERT))
    assert error_of(got).state == "25006" and got[-1][1][-1:] == b"E"
    assert error_of(front.send(pg.query(ONE))).state == "25P02"
    assert front.send(pg.query("COMMIT"))[0][1][5:-1] == b"ROLLBACK"


def test_savepoints_lead_out_of_a_failed_block(front):
    front.send(pg.query("BEGIN; SAVEPOINT a"))
    front.send(pg.query("SELECT nothing FROM none"))
    assert front.send(pg.query("ROLLBACK TO a"))[-1][1][-1:] == b"T"
    assert error_of(front.send(pg.query("RELEASE b"))).state == "3B001"


@pytest.mark.parametrize(
    "listen, frames, state",
    [
        ({"max_statement": 64}, [pg.query("SELECT 1 -- " + "x" * 80)], "54000"),
        ({"max_prepared": 2}, [named_parse(f"s{i}", ONE) for i in range(3)], "53400"),
        ({"max_portals": 2}, [pg.parse(ONE, ()), *(bind(f"p{i}") for i in range(3))], "53400"),
        ({}, [named_parse("s", ONE), named_parse("s", ONE)], "42P05"),
        ({}, [pg.parse(ONE, ()), bind("p"), bind("p")], "42P03"),
        ({}, [bind("", "none")], "26000"),
        ({}, [execute("none")], "34000"),
        ({}, [pg.parse(ONE, ()), bind("", "", (b"1",))], "08P01"),
        ({}, [pg.parse("SELECT 1; SELECT 2", ())], "42601"),
        ({}, [pg.query("SET tansycrank.class = 'none'")], "22023"),
        ({}, [pg.query("SET tansycrank.nonsense = 1")], "42704"),
        ({}, [pg.query("SET statement_timeout = 'soon'")], "22023"),
        ({}, [pg.query("SET timezone = 'Asia/Saigon'")], "22023"),
        ({}, [pg.query("SHOW nonsense")], "42704"),
        ({}, [pg.query("SAVEPOINT a")], "25P01"),
    ],
)
def test_limits_and_errors_are_clear_and_the_session_goes_on(listen, frames, state):
    front = Front(TEXT, **listen)
    front.log_in()
    assert error_of(front.send(*frames, pg.SYNC_FRAME)).state == state
    assert front.kinds(pg.query("SELECT 1")) == "TDCZ"


def test_a_message_over_the_limit_ends_the_session_before_it_is_stored():
    front = Front(TEXT, max_message=2048)
    front.log_in()
    problem = error_of(front.send(b"Q" + pg.INT32.pack(1 << 30) + b"x" * 100))
    assert problem.state == "08P01" and problem.is_fatal and front.transport.disconnecting


def test_settings_are_shown_and_reset(front):
    front.send(pg.query("SET tansycrank.class = 'lookup'; SET application_name = 'x'"))
    assert b"lookup" in front.send(pg.query("SHOW tansycrank.class"))[1][1]
    front.send(pg.query("RESET ALL"))
    assert b"lookup" not in front.send(pg.query("SHOW tansycrank.class"))[1][1]


def test_a_router_that_stops_ends_idle_sessions_and_lets_busy_ones_finish(front):
    idle, transport = front.connect()
    idle.dataReceived(pg.startup({"user": "x"}))
    front.core.at_once = False
    front.send(pg.query(ONE))
    front.factory.stop_taking()
    assert transport.disconnecting and not front.transport.disconnecting
    done, result = front.core.held.pop()
    done(result)
    got = front.heard()
    assert "".join(k for k, _ in got) == "TDDDCZE" and error_of(got).state == "57P01"


def test_a_pooler_resetting_its_session(front):
    sql = "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;"
    assert front.kinds(pg.query(sql)) == "TDCCCCZ"
    assert front.kinds(pg.query("DISCARD ALL")) == "CZ"
    assert front.kinds(pg.query("")) == "IZ"
