"""Hostile statements, answers and lines beside usual clients, on real router processes.

Guards against one client, data node or line of discovery that ends a router, holds its usual
clients for more than a second, or makes it serve a wrong value.
"""

import time
from types import SimpleNamespace

import psycopg
import pytest

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import QUERY_REJECTED
from tansycrank.testbed.fuzz.inputs import SPOILINGS, Input, Target
from tansycrank.testbed.fuzz.oracles import MAX_WAIT_SECONDS, Watch, judge
from tansycrank.testbed.fuzz.parameter_inputs import (
    BINARY,
    TEXT,
    Parameter,
    array_value,
    numeric_value,
)
from tansycrank.testbed.fuzz.platform_site import PlatformSite
from tansycrank.testbed.fuzz.run import fuzz, play_input
from tansycrank.testbed.fuzz.sql_site import SqlSite, ask_until_answered
from tansycrank.testbed.node.journal import Journal
from tansycrank.testbed.node.session import NodeSession

SEED = 1
SECONDS = 20.0
STATEMENTS = {
    "a key with a huge exponent": "SELECT name FROM drivers WHERE id = 1e9999999",
    "a key of many digits": "SELECT name FROM drivers WHERE id = " + "7" * 200_000,
    "a quoted key of many digits": "SELECT name FROM drivers WHERE id = '" + "7" * 200_000 + "'",
    "an inserted key": "INSERT INTO drivers (id, name) VALUES (1e9999999, 'x')",
    "spaces before a semicolon": "SELECT 1" + " " * 250_000 + ";SELECT 2",
    "words before a semicolon": "SELECT " + "a " * 120_000 + ";SELECT 2",
    "a high parameter": "SELECT name FROM drivers WHERE name = $70000",
    "an absurd parameter": "SELECT name FROM drivers WHERE name = $100000000",
    "parameter zero": "SELECT name FROM drivers WHERE name = $0",
    "a long sum": "SELECT " + "+".join(["1"] * 125_000),
    "casts": "SELECT 1" + "::int4" * 40_000,
    "groups": "SELECT count(*) FROM drivers GROUP BY " + ",".join(["name"] * 20_000),
    "a list": "SELECT name FROM drivers WHERE id IN (" + ",".join(map(str, range(35_000))) + ")",
    "rows": "INSERT INTO drivers (id) VALUES " + ",".join(["(1)"] * 24_000),
    "statements": ";".join(["SELECT 1"] * 25_000),
    "sort keys": "SELECT id+0 FROM trips ORDER BY " + ",".join(["id+0"] * 1000),
    "different sort keys": "SELECT id FROM trips ORDER BY "
    + ",".join(f"id+{number}" for number in range(300)),
    "outputs of a group": "SELECT started"
    + ",coalesce(sum(fare),0)" * 800
    + " FROM trips GROUP BY started",
    "a group column many times": "SELECT "
    + "started," * 1600
    + "count(*) FROM trips GROUP BY started",
    "conditions of groups": "SELECT started FROM trips GROUP BY started HAVING count(*) > 9"
    + " AND sum(fare) > 9" * 1000,
    "conditions": "SELECT name FROM drivers WHERE " + " OR ".join(["id=1"] * 20_000),
}


@pytest.fixture(scope="module")
def sql_site():
    site = SqlSite()
    yield site
    site.close()


@pytest.fixture(scope="module")
def platform_site():
    site = PlatformSite()
    yield site
    site.close()


@pytest.mark.parametrize("target", [Target.QUERY, Target.PARSE])
@pytest.mark.parametrize("name", STATEMENTS)
def test_a_hostile_statement_holds_nobody_and_is_answered(sql_site, name, target):
    """Guards against the statements of the second review and their like."""
    verdict = play_input(sql_site, Input(target, STATEMENTS[name]))
    assert not verdict.problems, verdict


@pytest.mark.parametrize("amount", [1, 3])
@pytest.mark.parametrize("spoiling", SPOILINGS)
def test_no_spoilt_answer_is_served(platform_site, spoiling, amount):
    """Guards against a value that no data node made."""
    verdict = play_input(platform_site, Input(Target.ANSWER, spoiling, amount))
    assert not verdict.problems, verdict


LINES = {
    "escaped quotes": '{"' + '\\"' * 200_000,
    "brackets": "[" * 4_000_000,
    "empty strings": '""' * 2_000_000,
    "strings": '{"x": [' + '"a",' * 999_000,
    "line feeds": "\n" * 1_000_000,
    "a line for each bracket": "{\n" + "[\n" * 400_000,
}


@pytest.mark.parametrize("name", LINES)
def test_lines_of_a_watch_hold_nobody(platform_site, name):
    """Guards against lines of discovery that hold the event loop until all of them are read."""
    verdict = play_input(platform_site, Input(Target.LINE, LINES[name]))
    assert not verdict.problems, verdict


@pytest.mark.parametrize("line", ["", "{}", "[[[", "no json"])
def test_lines_of_the_feed_hold_nobody(sql_site, line):
    """Guards against lines of the feed that hold the event loop, or fill the log."""
    verdict = play_input(sql_site, Input(Target.FEED, line + "\n", 400_000))
    assert not verdict.problems, verdict


TEN_BYTES = numeric_value(1, 32_767, 0)
PARAMETERS = {
    "numerics of the largest weight": Parameter(
        1231, BINARY, array_value(1700, TEN_BYTES, 20_000, 20_000)
    ),
    "numerics of the largest scale": Parameter(
        1231, BINARY, array_value(1700, numeric_value(1, 0, 16_383), 20_000, 20_000)
    ),
    "empty texts": Parameter(1009, BINARY, array_value(25, b"", 900_000, 900_000)),
    "arrays in an array": Parameter(1231, BINARY, array_value(1231, b"x" * 100, 100, 100)),
    "a long exponent": Parameter(1700, TEXT, b"1e" + b"9" * 200_000),
}


@pytest.mark.parametrize("statement", ["id = ANY ($1)", "name = $1"])
@pytest.mark.parametrize("name", PARAMETERS)
def test_a_hostile_parameter_holds_nobody_and_is_answered(sql_site, name, statement):
    """Guards against a parameter of some bytes an element that costs thousands of times them."""
    sql = f"SELECT name FROM drivers WHERE {statement}"
    verdict = play_input(sql_site, Input(Target.BIND, sql, parameter=PARAMETERS[name]))
    assert not verdict.problems, verdict


@pytest.mark.parametrize("router", ["sql", "platform"])
def test_some_seconds_of_the_fuzzer_find_nothing(router):
    report = fuzz(router, SEED, SECONDS)
    assert report.passed, report.failure
    assert report.inputs > 20


def test_a_large_parameter_many_times_ends_no_stand_in(tmp_path, monkeypatch):
    """Guards against a journal that its bound ends, so that no client is served any more."""
    monkeypatch.setattr("os._exit", lambda status: pytest.fail(f"ended with status {status}"))
    journal = Journal(str(tmp_path / "journal"), 1, time.monotonic)
    session = NodeSession(SimpleNamespace(journal=journal))
    bind = pg.Bind("", "", (BINARY,), (PARAMETERS["empty texts"].value,), ())
    for _ in range(10):
        session._record_statement([bind], "SELECT name FROM drivers WHERE name = $1", True)
    assert (tmp_path / "journal").stat().st_size < 100_000


class Rejection(psycopg.Error):
    """A rejection that names a time."""

    sqlstate = QUERY_REJECTED
    diag = SimpleNamespace(message_detail="retry_after_ms=300 reason=module corrected=0")


def test_a_usual_client_that_is_rejected_again_and_again_is_a_problem():
    """Guards against usual clients that are only ever told to come back."""
    asked_at = []

    def reject(*_):
        asked_at.append(time.monotonic())
        raise Rejection

    with pytest.raises(Rejection):
        ask_until_answered(SimpleNamespace(execute=reject), 1)
    assert len(asked_at) == 4
    assert asked_at[-1] - asked_at[0] < MAX_WAIT_SECONDS


class Process:
    """A process that has ended."""

    returncode = -11

    def poll(self):
        return self.returncode


class Usual:
    """A usual client that saw this."""

    def __init__(self, watch):
        self.watch = watch

    def take(self):
        return self.watch


def test_the_checks_see_an_end_a_wait_a_wrong_answer_and_an_unanswered_sender():
    """Guards against a fuzzer that finds nothing since it looks at nothing."""
    usual = [Usual(Watch(longest=1.5)), Usual(Watch(problems=["ValueError: wrong"]))]
    verdict = judge(Process(), usual, "nothing in time", SqlSite.is_expected)
    assert len(verdict.problems) == 4, verdict
    assert judge(Process(), [], "rows", SqlSite.is_expected, ["data node 1"]).problems[0] == (
        "data node 1 has ended"
    )
    assert SqlSite.is_expected("54000") and not SqlSite.is_expected("XX000")
    assert PlatformSite.is_expected("504") and not PlatformSite.is_expected("wrong: 1")
