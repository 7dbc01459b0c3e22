"""Statements that are too deep or too large to be planned.

Guards against a statement within `max_statement` that ends the process by a signal, or whose
planning keeps all other clients waiting for seconds.
"""

import subprocess
import sys
import time

import pytest
from harness import SessionHarness, first_error
from test_linear_scans import assert_linear
from test_planner import CONFIG, CONFIG_TEXT
from test_session import SELECT_ONE_SHARD, named_parse

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.sql.planner import Planner
from tansycrank.sql.statement_limits import MAX_DEPTH, check_statement

MAX_STATEMENT = CONFIG.listen.max_statement
MAX_TOKENS = CONFIG.listen.max_tokens
DEEP = {
    "a sum": lambda n: "SELECT " + "+".join(["1"] * n),
    "a sum beside a key": lambda n: "SELECT * FROM drivers WHERE id = " + "+".join(["1"] * n),
    "casts": lambda n: "SELECT 1" + "::int4" * n,
    "concatenations": lambda n: "SELECT " + "||".join(["name"] * n) + " FROM drivers",
    "powers": lambda n: "SELECT " + "^".join(["2"] * n),
    "negations": lambda n: "SELECT " + "NOT " * n + "true",
    "signs": lambda n: "SELECT " + "- " * n + "1",
    "parentheses": lambda n: "SELECT " + "(" * n + "1" + ")" * n,
    "calls": lambda n: "SELECT " + "abs(" * n + "1" + ")" * n,
    "cases": lambda n: "SELECT " + "CASE WHEN true THEN " * n + "1" + " END" * n,
    "arrays": lambda n: "SELECT ARRAY" + "[" * n + "1" + "]" * n,
    "unions": lambda n: "SELECT 1" + " UNION SELECT 1" * n,
    "joins": lambda n: "SELECT 1 FROM zones" + " CROSS JOIN zones" * n,
    "time zones": lambda n: "SELECT now()" + " AT TIME ZONE 'UTC'" * n,
    "null tests": lambda n: "SELECT 1" + " IS NULL" * n,
    "subqueries": lambda n: "SELECT " + "(SELECT " * n + "1" + ")" * n,
    "lists": lambda n: "SELECT 1" + " IN (1)" * n,
    "operators by name": lambda n: "SELECT 1" + " OPERATOR(pg_catalog.+) 1" * n,
}
LARGE = {
    "a list": lambda n: "SELECT * FROM drivers WHERE id IN (" + ",".join(["1"] * n) + ")",
    "rows": lambda n: "INSERT INTO drivers (id) VALUES " + ",".join(["(1)"] * n),
    "conditions": lambda n: "SELECT * FROM drivers WHERE " + " OR ".join(["id=1"] * n),
    "statements": lambda n: ";".join(["SELECT 1"] * n),
    "groups": lambda n: "SELECT count(*) FROM drivers GROUP BY " + ",".join(["name"] * n),
    "columns": lambda n: "SELECT " + ",".join(["1"] * n),
}
COLUMNS = {
    "sort keys": lambda n: (
        "SELECT id FROM trips ORDER BY " + ",".join(f"fare + {i}" for i in range(n))
    ),
    "sort keys of outputs": lambda n: (
        "SELECT "
        + ",".join(f"id + {i}" for i in range(n))
        + " FROM trips ORDER BY "
        + ",".join(f"id + {i}" for i in range(n))
    ),
    "groups": lambda n: (
        "SELECT count(*) FROM trips GROUP BY " + ",".join(f"fare + {i}" for i in range(n))
    ),
    "sums": lambda n: "SELECT " + ",".join(f"sum(fare + {i})" for i in range(n)) + " FROM trips",
    "schema names": lambda n: (
        "SELECT id FROM trips WHERE note IN ("
        + ",".join(f"'tansycrank_shard_{i}'" for i in range(n))
        + ") ORDER BY note"
    ),
    "conditions": lambda n: (
        "SELECT id FROM drivers WHERE " + " OR ".join(f"id = {i}" for i in range(n))
    ),
}
PLAN = """
import sys
sys.path.insert(0, "tests")
from test_statement_limits import DEEP, error_of, MAX_STATEMENT
make = DEEP[sys.argv[1]]
size = 1000
while len(make(2 * size)) < MAX_STATEMENT:
    size *= 2
print(error_of(make(size)))
"""


def error_of(sql):
    """Return the SQLSTATE with which a statement is refused, "" if it is planned and bound."""
    try:
        for prepared in Planner(CONFIG).plan_statements(sql):
            if prepared.local is None:
                prepared.bind([])
    except PgError as error:
        return error.state
    return ""


@pytest.mark.parametrize("name", DEEP)
def test_no_statement_of_the_largest_length_ends_the_process(name):
    """Guards against a signal 11 of the parser for a long sum and its like."""
    ended = subprocess.run(
        [sys.executable, "-c", PLAN, name], capture_output=True, text=True, timeout=120, check=False
    )
    assert ended.returncode == 0, ended.stderr[-500:]
    assert ended.stdout.strip() in ("54000", "54001")


@pytest.mark.parametrize("name", DEEP)
def test_a_statement_that_is_too_deep_is_refused_before_it_is_parsed(name):
    """Guards against depth that is not counted, so that the parser meets it."""
    sql = DEEP[name](MAX_DEPTH + 2)
    with pytest.raises(PgError) as raised:
        check_statement(sql, max_tokens=1_000_000)
    assert raised.value.state == "54001"


@pytest.mark.parametrize("forms", [DEEP, LARGE], ids=["deep", "large"])
def test_a_refused_statement_leaves_its_session_as_it_was(forms):
    """Guards against a refusal that ends the session, or that no message tells."""
    harness = SessionHarness(CONFIG_TEXT)
    harness.log_in()
    for make in forms.values():
        sql = make(MAX_TOKENS + 1)[:MAX_STATEMENT]
        for frames in ([pg.query(sql)], [named_parse("s", sql), pg.SYNC_FRAME]):
            messages = harness.send(*frames)
            assert first_error(messages).state in ("54000", "54001", "42601")
            assert messages[-1][0] == "Z"
    assert harness.kinds(pg.query(SELECT_ONE_SHARD)) == "TDDDCZ"


NEGATIONS = " AND ".join("NOT " * 300 + f"count(*) > {number}" for number in range(20))


@pytest.mark.parametrize(
    ("sql", "state"),
    [
        (f"SELECT count(*) FROM trips HAVING {NEGATIONS}", ""),
        (f"SELECT count(*) FROM trips GROUP BY fare HAVING {NEGATIONS}", "54001"),
    ],
    ids=["one group", "groups"],
)
def test_nested_conditions_of_groups_cost_no_square_of_their_depth(sql, state):
    """Guards against a statement of 25 KB that holds the router for 12 s while it is planned."""
    began = time.process_time()
    assert error_of(sql) == state
    assert time.process_time() - began < 1.0


def test_usual_statements_of_some_thousand_values_are_planned():
    for make in (LARGE["a list"], LARGE["rows"], LARGE["conditions"]):
        assert error_of(make(2000)) == ""
    nested = "SELECT * FROM drivers WHERE " + "(" * 200 + "id = 1" + ")" * 200
    assert error_of(nested + " " * 5000) == ""


def test_more_columns_than_postgresql_allows_are_an_error():
    """Guards against XX000 for a GROUP BY of more columns than a row can have."""
    for name in ("groups", "columns"):
        assert error_of(LARGE[name](1665)) == "54011"
        assert error_of(LARGE[name](1664)) == ""
    assert error_of("SELECT id FROM trips ORDER BY " + ",".join(["note"] * 1665)) == "54011"


ARRAYS = {
    "columns": "SELECT {}",
    "conditions": "SELECT id FROM trips WHERE note = ANY({})",
    "several shards": "SELECT id, {} FROM trips ORDER BY id",
    "written values": "INSERT INTO drivers (id, name) VALUES (1, {})",
    "changed values": "UPDATE drivers SET name = {} WHERE id = 1",
    "conditions of a delete": "DELETE FROM drivers WHERE id = 1 AND name = ANY({})",
}


def nested_array(dimensions):
    return "ARRAY" + "[" * dimensions + "1" + "]" * dimensions


@pytest.mark.parametrize("sql", ARRAYS.values(), ids=ARRAYS)
def test_an_array_in_more_dimensions_than_postgresql_allows_is_an_error(sql):
    """Guards against arrays of hundreds of dimensions that stop data nodes for seconds."""
    for dimensions in (7, 650):
        assert error_of(sql.format(nested_array(dimensions))) == "54000"
    assert error_of(sql.format("ARRAY[" * 7 + "1" + "]" * 7)) == "54000"
    assert error_of(sql.format("ARRAY[" * 7 + "1" + "]::int[]" * 7)) == "54000"
    assert error_of(sql.format(f"ARRAY[1, {nested_array(6)}]")) == "54000"
    assert error_of(sql.format(nested_array(6))) == ""
    assert error_of(sql.format(f"ARRAY[{','.join([nested_array(2)] * 300)}]")) == ""


@pytest.mark.parametrize("name", COLUMNS)
def test_planning_takes_time_that_grows_with_the_length_of_the_statement(name):
    """Guards against 1,000 sort keys that are each compared with each output column."""
    assert_linear(error_of, COLUMNS[name], 250)


SCANS = {
    "nested comments": lambda n: "/*" * n,
    "comments in a statement": lambda n: "SELECT 1 /*" + "/*" * n,
    "a long operator": lambda n: "SELECT " + "+" * (2 * n),
    "many long operators": lambda n: "SELECT " + ("+" * 120 + " a ") * (n // 60),
    "columns not in ASCII": lambda n: "SELECT " + "\u00e9," * n + "1",
    "statements not in ASCII": lambda n: "SELECT '\u00e9';" * (n // 5),
    "columns before a long text": lambda n: "SELECT " + "1," * (n // 4) + "'" + "\u1edd" * n + "'",
    "conditions before a long text": lambda n: (
        "SELECT id FROM drivers WHERE " + "id = 1 OR " * (n // 8) + "name = '" + "\u1edd" * n + "'"
    ),
}


@pytest.mark.parametrize("name", SCANS)
def test_the_scanner_and_the_parser_take_no_quadratic_time(name):
    """Guards against comments, operators and letters with accents that hold the loop for a minute.

    The parser counts characters that are not ASCII from the end of the text for each location.
    """
    assert_linear(error_of, SCANS[name], 15_000)


def test_usual_statements_with_accents_and_banners_are_planned():
    """Guards against limits that refuse what people write."""
    rows = ",".join("(1,'\u0111\u01b0\u1eddng ph\u1ed1 H\u00e0 N\u1ed9i')" for _ in range(1000))
    assert error_of(f"INSERT INTO drivers (id, name) VALUES {rows}") == ""
    banner = "/" + "*" * 3000 + "/\n" + "-" * 3000 + "\n"
    assert error_of(banner + "SELECT * FROM drivers WHERE id = 1") == ""
    long_text = "\u1edd" * 100_000
    assert error_of(f"SELECT id FROM drivers WHERE id = 1 AND name = '{long_text}'") == ""
