"""Bytes of a data node that belong to no result, in front of or behind one."""

import pytest
from test_sql_node_connection import LOGIN_RESPONSE, ROW_RESPONSE, PoolHarness, logged_in

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.routing import Outcome
from tansycrank.sql_router.node_messages import ConnectionState

RESULT = ROW_RESPONSE + pg.ready_for_query("I")
OTHER_RESULT = RESULT.replace(pg.data_row([b"1"]), pg.data_row([b"9"]))
NOTICE = pg.notice_response(PgError("00000", "a notice", severity="NOTICE"))


def test_a_copy_of_a_result_is_never_the_answer_to_the_next_statement():
    """Guards against results behind a result, served to a statement that waited for its turn."""
    harness, first = logged_in(max_links=2)
    harness.send()
    second = harness.accept(log_in=False)
    harness.reactor.advance(0)
    first.dataReceived(RESULT + OTHER_RESULT)
    assert harness.outcomes == [Outcome.SUCCEEDED] and harness.streams[0].rows == 1
    assert first.transport.aborted and harness.streams[1].rows == 0
    second.dataReceived(LOGIN_RESPONSE)
    second.dataReceived(RESULT)
    assert harness.outcomes == [Outcome.SUCCEEDED, Outcome.SUCCEEDED]


@pytest.mark.parametrize("stray", [b"9ab", b"N\0\0\0\x64", b"D"])
def test_a_connection_with_bytes_behind_a_result_serves_no_other_statement(stray):
    """Guards against a next result that is misread after bytes left in the buffer."""
    harness, connection = logged_in()
    connection.dataReceived(RESULT + stray)
    assert harness.outcomes == [Outcome.SUCCEEDED] and connection.transport.aborted
    harness.send()
    assert len(harness.reactor.tcpClients) == 2


def test_a_row_whose_length_is_too_small_fails_its_attempt():
    harness, connection = logged_in()
    cut = pg.data_row([b"0123456789"])
    size = pg.INT32.pack(pg.INT32.unpack_from(cut, 1)[0] - 3)
    connection.dataReceived(
        pg.row_description((pg.Field("a", 25),))
        + cut[:1]
        + size
        + cut[5:]
        + pg.command_complete("SELECT 1")
        + pg.ready_for_query("I")
    )
    assert harness.outcomes == [Outcome.CONNECTION_LOST] and connection.transport.aborted


@pytest.mark.parametrize("kind", [b"y", b"\0", b"R", b"K"])
def test_a_message_that_has_no_place_in_a_result_fails_its_attempt(kind):
    harness, connection = logged_in()
    connection.dataReceived(ROW_RESPONSE + pg.frame(kind, b"\0" * 8) + pg.ready_for_query("I"))
    assert harness.outcomes == [Outcome.CONNECTION_LOST] and connection.transport.aborted


def test_notices_and_settings_may_arrive_at_any_time():
    harness, connection = logged_in()
    asynchronous = NOTICE + pg.parameter_status("TimeZone", "UTC")
    connection.dataReceived(asynchronous + ROW_RESPONSE + asynchronous + pg.ready_for_query("I"))
    connection.dataReceived(asynchronous)
    assert harness.outcomes == [Outcome.SUCCEEDED] and not connection.transport.aborted
    assert connection.state is ConnectionState.IDLE


def test_the_connection_of_a_cancel_request_ends_though_its_node_never_closes_it():
    """Guards against descriptors that a node holds for good."""
    harness, _connection = logged_in(cancel_grace_ms=500.0)
    harness.send(timeout_ms=100.0)
    other = harness.accept()
    other.dataReceived(pg.notice_response(PgError("00000", "x")))
    harness.reactor.advance(0.2)
    cancel = PoolHarness.accept(harness, log_in=False)
    assert cancel.transport.value() and not cancel.transport.aborted
    harness.reactor.advance(0.6)
    assert cancel.transport.aborted
