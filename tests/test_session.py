"""Client sessions: message order, limits, cancellation and shutdown."""

import pytest
from harness import SessionHarness, first_error
from test_planner import CONFIG_TEXT

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import QUERY_REJECTED, PgError

SELECT_ONE_SHARD = "SELECT id FROM trips WHERE district = 'a'"
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
def harness():
    new_harness = SessionHarness(CONFIG_TEXT)
    new_harness.log_in()
    return new_harness


def test_encryption_is_declined_and_the_startup_follows():
    harness = SessionHarness(CONFIG_TEXT)
    harness.session.dataReceived(pg.INT32.pack(8) + pg.INT32.pack(pg.SSL_REQUEST_CODE))
    assert harness.transport.value() == b"N"
    harness.transport.clear()
    kinds = [kind for kind, _ in harness.log_in()]
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
def test_invalid_startup_packets_end_with_a_fatal_error(packet, state):
    harness = SessionHarness(CONFIG_TEXT)
    harness.session.dataReceived(packet)
    error = first_error(harness.take_messages())
    assert error.state == state and error.is_fatal and harness.transport.disconnecting


def test_options_in_the_startup_packet_are_settings():
    harness = SessionHarness(CONFIG_TEXT)
    harness.log_in(options="-c statement_timeout=5s -ctansycrank.class=lookup")
    assert harness.session.settings["statement_timeout"] == "5000"
    assert harness.session.settings["tansycrank.class"] == "lookup"


def test_a_client_that_never_logs_in_is_disconnected():
    harness = SessionHarness(CONFIG_TEXT, login_timeout_ms=500)
    harness.clock.advance(0.6)
    assert harness.transport.disconnecting


def test_the_number_of_sessions_is_bounded():
    harness = SessionHarness(CONFIG_TEXT, max_sessions=2)
    harness.log_in()
    for expected in ("Z", "E"):
        session, transport = harness.connect()
        session.dataReceived(pg.startup({"user": "x"}))
        kinds = [chr(k) for k, _ in pg.MessageSplitter(1 << 20).feed(transport.value())]
        assert kinds[-1] == expected


def test_the_extended_protocol_answers_in_order(harness):
    received = harness.kinds(
        pg.parse(SELECT_ONE_SHARD, ()), bind(), pg.describe("P"), execute(), pg.SYNC_FRAME
    )
    assert received == "12TDDDCZ"


@pytest.fixture
def rejected_early(harness, monkeypatch):
    """Makes early rejection reject each statement; returns the (sql, values) it was given."""
    rejected_statements = []

    def reject(sql, caller, settings, values=()):
        rejected_statements.append((sql, values))
        return PgError(QUERY_REJECTED, "too far off")

    monkeypatch.setattr(harness.service, "reject_early", reject)
    return rejected_statements


def test_an_extended_statement_is_rejected_before_it_is_planned(
    harness, rejected_early, monkeypatch
):
    """Guards against a flood of statements that uses up the router's CPU time for planning."""
    monkeypatch.setattr(harness.service, "prepare", lambda *_: pytest.fail("planned"))
    sql = "SELECT id FROM trips WHERE district = $1"
    messages = harness.send(pg.parse(sql, ()), bind(values=[b"a"]), execute(), pg.SYNC_FRAME)
    assert first_error(messages).state == QUERY_REJECTED
    assert [kind for kind, _ in messages] == ["E", "Z"]
    assert rejected_early == [(sql, (b"a",))]  # a reservation is kept for these parameters


def test_a_statement_without_a_matching_bind_is_planned(harness, rejected_early):
    assert harness.kinds(pg.parse(SELECT_ONE_SHARD, ()), pg.SYNC_FRAME) == "1Z"
    assert harness.kinds(named_parse("s", SELECT_ONE_SHARD), bind(), pg.SYNC_FRAME) != ""
    assert not rejected_early


def test_a_portal_is_described_separately_if_no_execute_follows(harness):
    assert (
        harness.kinds(pg.parse(SELECT_ONE_SHARD, ()), bind(), pg.describe("P"), pg.SYNC_FRAME)
        == "12TZ"
    )


def test_row_limits_suspend_and_resume_a_portal(harness):
    harness.service.rows = 5
    received = harness.kinds(
        pg.parse(SELECT_ONE_SHARD, ()), bind(), *[execute(limit=2)] * 3, pg.SYNC_FRAME
    )
    assert received == "12DDsDDsDCZ"
    assert len(harness.service.requests) == 1


def test_a_block_keeps_portals_over_a_sync(harness):
    harness.service.rows = 3
    harness.kinds(pg.query("BEGIN"))
    assert (
        harness.kinds(pg.parse(SELECT_ONE_SHARD, ()), bind("p"), execute("p", 2), pg.SYNC_FRAME)
        == "12DDsZ"
    )
    assert harness.kinds(execute("p", 2), pg.SYNC_FRAME) == "DCZ"
    harness.kinds(pg.query("COMMIT"))
    assert first_error(harness.send(execute("p"), pg.SYNC_FRAME)).state == "34000"


def test_an_error_skips_to_the_sync(harness):
    bad = pg.parse("SELECT x FROM none", ())
    received = harness.send(bad, bind(), execute(), pg.SYNC_FRAME, pg.query("SELECT 1"))
    assert "".join(k for k, _ in received) == "EZTDCZ"


def test_messages_after_a_running_statement_are_queued_in_order(harness):
    harness.service.responds_immediately = False
    assert (
        harness.kinds(
            pg.parse(SELECT_ONE_SHARD, ()), bind(), execute(), pg.SYNC_FRAME, pg.query("SELECT 1")
        )
        == "12"
    )
    done, result = harness.service.pending.pop()
    done(result)
    assert "".join(k for k, _ in harness.take_messages()) == "DDDCZTDCZ"


def test_a_cancel_with_the_right_key_reaches_the_statement_and_no_other_does(harness):
    harness.service.responds_immediately = False
    harness.send(pg.query(SELECT_ONE_SHARD))
    pid, secret = harness.session.pid, harness.session.secret
    for number, key in ((0, secret ^ 1), (1, secret)):
        session, _ = harness.connect()
        session.dataReceived(pg.cancel_request(pid, key))
        assert len(harness.service.cancelled) == number


def test_a_lost_connection_cancels_the_statement_and_its_late_result_is_released(harness):
    harness.service.responds_immediately = False
    harness.send(pg.query(SELECT_ONE_SHARD))
    harness.session.connectionLost()
    assert harness.service.cancelled == [True] and not harness.factory.sessions
    done, result = harness.service.pending.pop()
    done(result)
    assert harness.service.released == 1 and not harness.take_messages()


def test_a_client_that_does_not_read_pauses_writing_and_reading(harness):
    harness.service.rows = 50_000
    harness.session.pauseProducing()
    harness.send(pg.query(SELECT_ONE_SHARD), pg.query(SELECT_ONE_SHARD))
    assert not harness.service.requests and harness.transport.producerState == "paused"
    harness.session.resumeProducing()
    assert len(harness.service.requests) == 2 and len(harness.take_messages()) == 2 * 50_003


def test_rows_stop_while_the_client_does_not_read(harness):
    harness.service.rows = 50_000
    original_write = harness.transport.write

    def write(data):
        original_write(data)
        if len(harness.transport.value()) > 200_000:
            harness.session.pauseProducing()

    harness.transport.write = write
    harness.session.dataReceived(pg.query(SELECT_ONE_SHARD))
    assert 200_000 < len(harness.transport.value()) < 300_000
    harness.transport.write = original_write
    harness.session.resumeProducing()
    kinds = [k for k, _ in harness.take_messages()]
    assert kinds.count("D") == 50_000 and kinds[-2:] == ["C", "Z"]


def test_a_full_message_queue_pauses_reading_from_the_socket():
    harness = SessionHarness(CONFIG_TEXT, max_pending=2000)
    harness.log_in()
    harness.service.responds_immediately = False
    for _ in range(60):
        harness.send(pg.query(SELECT_ONE_SHARD))
    assert harness.transport.producerState == "paused"


def test_a_write_runs_only_before_its_sync(harness):
    assert (
        harness.kinds(pg.parse(INSERT, ()), bind(), execute()) == "12"
        and not harness.service.requests
    )
    assert harness.kinds(pg.SYNC_FRAME) == "CZ" and len(harness.service.requests) == 1
    received = harness.send(
        pg.parse(INSERT, ()), bind(), execute(), pg.parse(SELECT_ONE_SHARD, ()), pg.SYNC_FRAME
    )
    assert first_error(received).state == "0A000" and len(harness.service.requests) == 1


def test_writes_in_a_block_are_rejected_and_the_block_fails(harness):
    harness.send(pg.query("BEGIN"))
    received = harness.send(pg.query(INSERT))
    assert first_error(received).state == "25006" and received[-1][1][-1:] == b"E"
    assert first_error(harness.send(pg.query(SELECT_ONE_SHARD))).state == "25P02"
    assert harness.send(pg.query("COMMIT"))[0][1][5:-1] == b"ROLLBACK"


def test_rollback_to_a_savepoint_recovers_a_failed_block(harness):
    harness.send(pg.query("BEGIN; SAVEPOINT a"))
    harness.send(pg.query("SELECT nothing FROM none"))
    assert harness.send(pg.query("ROLLBACK TO a"))[-1][1][-1:] == b"T"
    assert first_error(harness.send(pg.query("RELEASE b"))).state == "3B001"


@pytest.mark.parametrize(
    "listen, frames, state",
    [
        ({"max_statement": 64}, [pg.query("SELECT 1 -- " + "x" * 80)], "54000"),
        ({"max_prepared": 2}, [named_parse(f"s{i}", SELECT_ONE_SHARD) for i in range(3)], "53400"),
        (
            {"max_portals": 2},
            [pg.parse(SELECT_ONE_SHARD, ()), *(bind(f"p{i}") for i in range(3))],
            "53400",
        ),
        ({}, [named_parse("s", SELECT_ONE_SHARD), named_parse("s", SELECT_ONE_SHARD)], "42P05"),
        ({}, [pg.parse(SELECT_ONE_SHARD, ()), bind("p"), bind("p")], "42P03"),
        ({}, [bind("", "none")], "26000"),
        ({}, [execute("none")], "34000"),
        ({}, [pg.parse(SELECT_ONE_SHARD, ()), bind("", "", (b"1",))], "08P01"),
        ({}, [pg.parse("SELECT 1; SELECT 2", ())], "42601"),
        ({}, [pg.query("SET tansycrank.class = 'none'")], "22023"),
        ({}, [pg.query("SET tansycrank.nonsense = 1")], "42704"),
        ({}, [pg.query("SET statement_timeout = 'soon'")], "22023"),
        ({}, [pg.query("SET timezone = 'Asia/Saigon'")], "22023"),
        ({}, [pg.query("SHOW nonsense")], "42704"),
        ({}, [pg.query("SAVEPOINT a")], "25P01"),
    ],
)
def test_limits_and_errors_have_their_sqlstate_and_the_session_continues(listen, frames, state):
    harness = SessionHarness(CONFIG_TEXT, **listen)
    harness.log_in()
    assert first_error(harness.send(*frames, pg.SYNC_FRAME)).state == state
    assert harness.kinds(pg.query("SELECT 1")) == "TDCZ"


def test_a_message_over_the_limit_ends_the_session_before_it_is_stored():
    harness = SessionHarness(CONFIG_TEXT, max_message=2048)
    harness.log_in()
    error = first_error(harness.send(b"Q" + pg.INT32.pack(1 << 30) + b"x" * 100))
    assert error.state == "08P01" and error.is_fatal and harness.transport.disconnecting


def test_settings_are_shown_and_reset(harness):
    harness.send(pg.query("SET tansycrank.class = 'lookup'; SET application_name = 'x'"))
    assert b"lookup" in harness.send(pg.query("SHOW tansycrank.class"))[1][1]
    harness.send(pg.query("RESET ALL"))
    assert b"lookup" not in harness.send(pg.query("SHOW tansycrank.class"))[1][1]


def test_draining_ends_idle_sessions_and_lets_busy_ones_finish(harness):
    idle, transport = harness.connect()
    idle.dataReceived(pg.startup({"user": "x"}))
    harness.service.responds_immediately = False
    harness.send(pg.query(SELECT_ONE_SHARD))
    harness.factory.drain_sessions()
    assert transport.disconnecting and not harness.transport.disconnecting
    done, result = harness.service.pending.pop()
    done(result)
    received = harness.take_messages()
    assert "".join(k for k, _ in received) == "TDDDCZE" and first_error(received).state == "57P01"


def test_the_reset_statements_of_connection_poolers(harness):
    sql = "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL;"
    assert harness.kinds(pg.query(sql)) == "TDCCCCZ"
    assert harness.kinds(pg.query("DISCARD ALL")) == "CZ"
    assert harness.kinds(pg.query("")) == "IZ"
