"""Results of data nodes in which a wrong length hides a message within another one.

Guards against rows that are lost without a word: what is left looks like a smaller result, which
was given to the client as whole.
"""

from dataclasses import replace

import pytest
from test_sql_node_connection import STATEMENT, PoolHarness

from tansycrank.postgres import messages as pg
from tansycrank.routing import Outcome

COLUMNS = pg.row_description((pg.Field("a", 25),))
ROWS = [pg.data_row([b"first"]), pg.data_row([b"second"]), pg.data_row([b"third"])]
SELECTED = pg.command_complete("SELECT 3")
READY = pg.ready_for_query("I")
PARAMETERS = pg.parameter_description((25,))
WITH_KEY = replace(STATEMENT, key="k")
DESCRIBE = replace(STATEMENT, describe=True)


def swallowing(message, swallowed):
    """A row that states the length of both, and whose value does so too."""
    value = pg.read_row(message)[0]
    return pg.data_row([value + swallowed])


def stating(message, extra):
    """A message whose own length is too large by so many bytes."""
    size = pg.INT32.unpack_from(message, 1)[0] + extra
    return message[:1] + pg.INT32.pack(size) + message[5:]


def outcome_of(statement, *messages):
    harness = PoolHarness()
    harness.send(statement)
    connection = harness.accept()
    connection.dataReceived(b"".join(messages))
    assert connection.transport.aborted is (harness.outcomes != [Outcome.SUCCEEDED])
    return harness.outcomes


WRONG = {
    "a value holds the next row": (COLUMNS, swallowing(ROWS[0], ROWS[1]), ROWS[2], SELECTED),
    "a row holds the next one": (COLUMNS, stating(ROWS[0], len(ROWS[1])), *ROWS[1:], SELECTED),
    "a value holds the end of the command": (*[COLUMNS, *ROWS[:2]], swallowing(ROWS[2], SELECTED)),
    "the columns hold a row": (stating(COLUMNS, len(ROWS[0])), *ROWS, SELECTED),
    "rows are missing": (COLUMNS, *ROWS[:2], SELECTED),
    "two results": (COLUMNS, *ROWS, SELECTED, SELECTED),
    "no description": (*ROWS, SELECTED),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_result_that_is_not_whole_fails_its_attempt(name):
    assert outcome_of(STATEMENT, *WRONG[name], READY) == [Outcome.CONNECTION_LOST]


def test_the_end_of_a_setting_is_not_that_of_the_statement_behind_it():
    """Guards against a keyed write whose own end is hidden, taken for done."""
    setting = pg.command_complete("SET")
    assert outcome_of(WITH_KEY, setting, READY) == [Outcome.CONNECTION_LOST]
    written = setting, pg.command_complete("INSERT 0 1")
    assert outcome_of(WITH_KEY, *written, READY) == [Outcome.SUCCEEDED]
    assert outcome_of(WITH_KEY, *written, *written, READY) == [Outcome.CONNECTION_LOST]


@pytest.mark.parametrize("messages", [(PARAMETERS,), (COLUMNS,), (pg.NO_DATA,), ()])
def test_a_description_in_part_fails_its_attempt(messages):
    assert outcome_of(DESCRIBE, *messages, READY) == [Outcome.CONNECTION_LOST]


@pytest.mark.parametrize(
    ("statement", "messages"),
    [
        (STATEMENT, (COLUMNS, *ROWS, SELECTED)),
        (STATEMENT, (COLUMNS, pg.command_complete("SELECT 0"))),
        (STATEMENT, (COLUMNS, ROWS[0], pg.command_complete("UPDATE 2"))),
        (STATEMENT, (pg.NO_DATA, pg.command_complete("DELETE 7"))),
        (STATEMENT, (COLUMNS, ROWS[0], pg.command_complete("EXPLAIN"))),
        (DESCRIBE, (PARAMETERS, COLUMNS)),
        (DESCRIBE, (PARAMETERS, pg.NO_DATA)),
    ],
)
def test_a_whole_result_is_taken(statement, messages):
    assert outcome_of(statement, *messages, READY) == [Outcome.SUCCEEDED]
