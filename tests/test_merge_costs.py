"""What a merge computes at once is bounded by the values of the result, not by the shards' rows.

Guards against a grouped statement that names its few columns a thousand times: some kilobytes of
rows were merged into megabytes in one turn of the event loop.
"""

import pytest
from test_planner import CONFIG

from tansycrank.merge import rows
from tansycrank.merge.pipeline import INLINE_MAX_VALUES, is_small
from tansycrank.merge.rows import VALUES_AT_ONCE, GroupTable
from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.sql.planner import Planner

GROUPS = 500
FIELDS = (pg.Field("c0", types.INT8), pg.Field("c1", types.INT8))


def plan_of(sql, oids=()):
    (prepared,) = Planner(CONFIG).plan_statements(sql, oids)
    return prepared.bind([None] * len(prepared.oids)).merge


def table_of(sql, params=(), oids=(), groups=GROUPS):
    table = GroupTable(plan_of(sql, oids), FIELDS, params, oids, (), None)
    for number in range(groups):
        table.add(*table.key_and_row(pg.data_row([b"%d" % number, b"1"])))
    return table


WIDE = {
    "columns": "SELECT " + "cab_id," * 1600 + "count(*) FROM trips GROUP BY cab_id",
    "expressions": "SELECT cab_id" + ",coalesce(count(*),0)" * 500 + " FROM trips GROUP BY cab_id",
    "conditions": "SELECT cab_id, count(*) FROM trips GROUP BY cab_id HAVING count(*) = 1"
    + " AND count(*) > 0" * 900,
}


@pytest.mark.parametrize("name", WIDE)
def test_the_rows_of_a_result_leave_after_a_bounded_number_of_values(name):
    table = table_of(WIDE[name])
    batches = list(table.result())
    assert sum(map(len, batches)) == GROUPS
    most = max(VALUES_AT_ONCE // table.plan.values_per_row, 1)
    assert max(map(len, batches)) <= most


def test_groups_that_having_leaves_out_give_others_their_turn():
    """Guards against a condition that no group meets, evaluated for all of them at once."""
    table = table_of(
        "SELECT cab_id, count(*) FROM trips GROUP BY cab_id HAVING count(*) < 0"
        + " AND count(*) < 0" * 900
    )
    batches = list(table.result())
    assert not any(batches) and len(batches) > GROUPS // 10


def test_large_values_of_a_result_leave_in_small_batches():
    """Guards against 200 rows that each hold a parameter of megabytes, made at once."""
    text = "x" * rows.BYTES_AT_ONCE
    sql = 'SELECT cab_id, coalesce(max(note COLLATE "C"), $1) FROM trips GROUP BY cab_id'
    plan = plan_of(sql, (types.TEXT,))
    fields = (pg.Field("c0", types.INT8), pg.Field("c1", types.TEXT))
    table = GroupTable(plan, fields, (text,), (types.TEXT,), (), None)
    for number in range(GROUPS):
        table.add(*table.key_and_row(pg.data_row([b"%d" % number, None])))
    assert [len(batch) for batch in table.result()] == [*([1] * GROUPS), 0]


def test_a_row_that_names_a_large_parameter_many_times_is_an_error(monkeypatch):
    """Guards against gigabytes for one row."""
    monkeypatch.setattr(rows, "MAX_ROW_BYTES", 10_000)
    sql = (
        "SELECT cab_id"
        + ',coalesce(max(note COLLATE "C"), $1)' * 50
        + " FROM trips GROUP BY cab_id"
    )
    fields = (pg.Field("c0", types.INT8), pg.Field("c1", types.TEXT))
    table = GroupTable(plan_of(sql, (types.TEXT,)), fields, ("x" * 1000,), (types.TEXT,), (), None)
    table.add(*table.key_and_row(pg.data_row([b"1", None])))
    with pytest.raises(PgError) as raised:
        list(table.result())
    assert raised.value.state == TOO_LARGE


class ShardResult:
    """A complete result of a shard in memory."""

    state, run = "complete", None

    def __init__(self, number):
        self.rows, self.size = number, 20 * number


DIFFERENT_KEYS = ",".join(f"fare+{number}" for number in range(100))
SMALL = "SELECT cab_id, count(*) FROM trips GROUP BY cab_id"


@pytest.mark.parametrize(
    ("sql", "number", "request_bytes", "expected"),
    [
        (SMALL, 1000, 100, True),
        (SMALL, 1000, 1_000_000, False),
        (SMALL, 100_000, 100, False),
        (WIDE["columns"], 5, 100, True),
        (WIDE["columns"], 1000, 100, False),
        (WIDE["conditions"], 1000, 100, False),
        ("SELECT id FROM trips ORDER BY " + "fare," * 1000 + "id", 1000, 100, True),
        (f"SELECT id FROM trips ORDER BY {DIFFERENT_KEYS}", 1000, 100, False),
    ],
)
def test_a_result_is_merged_at_once_only_if_few_values_are_computed(
    sql, number, request_bytes, expected
):
    plan = plan_of(sql)
    assert is_small(plan, [ShardResult(number)], request_bytes) is expected
    if expected:
        assert number * plan.values_per_row <= INLINE_MAX_VALUES


def test_rows_that_are_passed_on_are_small_by_their_bytes_alone():
    assert is_small(None, [ShardResult(1000)], 4_000_000)
    assert not is_small(None, [ShardResult(100_000)], 0)
