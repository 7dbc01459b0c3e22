"""Statements whose handling raises another error than PgError: each client gets an answer."""

import pytest
from harness import SessionHarness, first_error
from test_planner import CONFIG_TEXT
from test_session import SELECT_ONE_SHARD, named_parse

from tansycrank.config import ConfigError
from tansycrank.config import parse as parse_config
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import retry_after

DEEP_STATEMENTS = {
    "a sum": "SELECT " + "+".join(["1"] * 3000),
    "conditions": "SELECT id FROM trips WHERE " + "NOT " * 3000 + "id = 1",
    "cases": "SELECT " + "CASE WHEN true THEN " * 1000 + "1" + " END" * 1000,
    "brackets": "SELECT " + "(" * 3000 + "1" + ")" * 3000,
}
ODD_NUMBERS = ["\u00b2", "9" * 5000, "\u0663"]


@pytest.fixture
def harness():
    new_harness = SessionHarness(CONFIG_TEXT)
    new_harness.log_in()
    return new_harness


@pytest.mark.parametrize("name", DEEP_STATEMENTS)
def test_a_deep_statement_gets_rows_or_an_error_and_the_session_goes_on(harness, name):
    """Guards against connections that end, or hang, without an error message."""
    sql = DEEP_STATEMENTS[name]
    for frames in ([pg.query(sql)], [named_parse("s", sql), pg.SYNC_FRAME]):
        messages = harness.send(*frames)
        error = first_error(messages)
        assert error is None or error.state in ("54001", "42601")
        assert messages[-1][0] == "Z" and not harness.transport.disconnecting
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=["superscript", "long", "arabic"])
@pytest.mark.parametrize("setting", ["statement_timeout", "tansycrank.deadline"])
def test_a_setting_that_only_looks_like_a_number_gets_an_error(harness, setting, number):
    messages = harness.send(pg.query(f"SET {setting} = '{number}'"))
    assert first_error(messages).state == "22023" and messages[-1][0] == "Z"


def fail(*_, **__):
    raise RuntimeError("injected fault")


@pytest.mark.parametrize("method", ["prepare", "run", "describe"])
def test_a_fault_of_the_router_is_the_answer_to_its_statement(harness, monkeypatch, method):
    service = harness.service
    monkeypatch.setattr(service, method, fail)
    if method == "describe":
        frames = [named_parse("s", SELECT_ONE_SHARD), pg.frame(b"D", b"Ss\0"), pg.SYNC_FRAME]
    else:
        frames = [pg.query(SELECT_ONE_SHARD)]
    messages = harness.send(*frames)
    assert first_error(messages).state == "XX000" and messages[-1][0] == "Z"
    monkeypatch.undo()
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


def test_a_fault_while_an_outcome_is_written_is_the_answer(harness, monkeypatch):
    """Guards against a session that waits for good, and others with it in the same callback."""
    harness.service.responds_immediately = False
    harness.send(pg.query(SELECT_ONE_SHARD))
    [(done, result)] = harness.service.pending
    monkeypatch.setattr(pg, "row_description", fail)
    done(result)
    monkeypatch.undo()
    messages = harness.take_messages()
    assert first_error(messages).state == "XX000" and messages[-1][0] == "Z"


def test_a_malformed_row_of_a_data_node_ends_a_copy_with_an_error(harness):
    harness.service.responds_immediately = False
    harness.send(pg.query(f"COPY ({SELECT_ONE_SHARD}) TO STDOUT"))
    [(done, result)] = harness.service.pending
    result.rows = [pg.frame(b"D", b"\0\1\0\0\0\x0912")]  # says 9 bytes and has two
    done(result)
    messages = harness.take_messages()
    assert first_error(messages).state == "08P01" and messages[-1][0] == "Z"
    harness.service.responds_immediately = True
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


@pytest.mark.parametrize(
    "detail", ["retry_after_ms=soon", "retry_after_ms=", "retry_after_ms=1e9x"]
)
def test_a_time_that_is_no_number_in_the_detail_of_a_node_counts_as_none(detail):
    assert retry_after(detail) == 0.0


def test_a_time_in_the_detail_of_a_node_is_read():
    assert retry_after("retry_after_ms=250 reason=module") == 250.0


@pytest.mark.parametrize("number", ODD_NUMBERS, ids=["superscript", "long", "arabic"])
def test_a_shard_that_is_no_number_is_a_settings_error(number):
    text = f"[distribution d]\nmethod = list\ntype = text\nvalues = {number}: a\n"
    with pytest.raises(ConfigError):
        parse_config(CONFIG_TEXT + "\n" + text)
