"""Statements nested so deep that planning may fail, from a real client of the running router."""

import contextlib

import psycopg
import pytest

DEEP_STATEMENTS = {
    "a sum": "SELECT count(*) FROM trips WHERE id = " + "+".join(["1"] * 3000),
    "a sum without a table": "SELECT " + "+".join(["1"] * 3000),
    "conditions": "SELECT count(*) FROM trips WHERE " + "NOT " * 3000 + "id = 1",
    "cases": "SELECT " + "CASE WHEN true THEN " * 300 + "1" + " END" * 300,
}


@pytest.mark.parametrize("prepare", [False, True], ids=["simple", "prepared"])
@pytest.mark.parametrize("name", DEEP_STATEMENTS)
def test_a_deep_statement_gets_rows_or_an_error_and_its_session_goes_on(site, name, prepare):
    """Guards against connections that were closed with no error message."""
    with psycopg.connect(site.dsn(), autocommit=True) as connection:
        with contextlib.suppress(psycopg.errors.StatementTooComplex, psycopg.errors.SyntaxError):
            connection.execute(DEEP_STATEMENTS[name], prepare=prepare)
        assert connection.execute("SELECT count(*) FROM trips").fetchone()[0] > 0
