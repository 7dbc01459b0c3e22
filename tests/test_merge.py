"""Merging of shard results in memory: exact arithmetic and ordering as in PostgreSQL."""

from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansycrank.merge.rows import ShardRows, merge
from tansycrank.merge.values import divide, evaluate, numeric_deviation
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import Field, data_row, read_row
from tansycrank.sql.plan import Aggregate, MergePlan, Output, Scalar, SortKey


def rows(fields, *values):
    frames = [data_row([None if v is None else str(v).encode() for v in row]) for row in values]
    return ShardRows(fields, frames)


def texts(result):
    return [
        tuple(None if v is None else v.decode() for v in read_row(frame)) for frame in result.rows
    ]


INTS = (Field("a", types.INT4), Field("b", types.INT4))


@pytest.mark.parametrize(
    "total, number, expected",
    [  # as PostgreSQL 15 prints sum / count
        ("1", 3, "0.33333333333333333333"),
        ("10815797.94", 23384, "462.5298469038658912"),
        ("0", 7, "0.00000000000000000000"),
        ("100", 4, "25.0000000000000000"),
        ("1.5", 2, "0.75000000000000000000"),
        ("123456789012345678901234567890", 7, "17636684144620811271604938270"),
        ("-7", 2, "-3.5000000000000000"),
    ],
)
def test_numeric_division_has_the_scale_of_postgresql(total, number, expected):
    assert format(divide(Decimal(total), number), "f") == expected


def test_rows_with_equal_keys_are_ordered_by_shard():
    plan = MergePlan("sorted", sort=(SortKey(0),))
    first, second = rows(INTS, (1, 10), (2, 11)), rows(INTS, (1, 20), (2, 21))
    expected = [("1", "10"), ("1", "20"), ("2", "11"), ("2", "21")]
    assert texts(merge(plan, [first, second], (), (), ())) == expected


@given(
    st.lists(
        st.lists(
            st.tuples(st.one_of(st.none(), st.integers(-3, 3)), st.integers(0, 9)), max_size=12
        ),
        min_size=1,
        max_size=5,
    ),
    st.booleans(),
    st.booleans(),
    st.integers(0, 12),
    st.one_of(st.none(), st.integers(0, 12)),
)
def test_sorted_merge_equals_sort_of_all_rows(split, descending, nulls_first, offset, limit):
    plan = MergePlan(
        "sorted",
        sort=(SortKey(0, descending, nulls_first), SortKey(1)),
        limit=Scalar(limit),
        offset=Scalar(offset),
    )
    got = texts(merge(plan, [rows(INTS, *shard_result) for shard_result in split], (), (), ()))

    def key(row):
        value = row[0]
        rank = (0 if nulls_first else 2) if value is None else 1
        return rank, -(value or 0) if descending else (value or 0), row[1]

    expected = sorted((row for shard_result in split for row in shard_result), key=key)[offset:]
    expected = expected if limit is None else expected[:limit]
    assert got == [tuple(None if v is None else str(v) for v in row) for row in expected]


@given(
    st.lists(
        st.lists(
            st.tuples(
                st.one_of(st.none(), st.sampled_from(["1.0", "1.00", "2", "NaN"])),
                st.one_of(st.none(), st.integers(-(2**31), 2**31 - 1)),
            ),
            max_size=10,
        ),
        min_size=1,
        max_size=4,
    )
)
def test_grouping_partial_results_equals_grouping_all_rows(split):
    fields = (Field("k", types.NUMERIC), Field("s", types.INT8), Field("n", types.INT8))
    shard_results = []
    for shard_result in split:
        sums: dict = {}
        for key, value in shard_result:
            name = "1.0" if key == "1.00" else key
            total, number = sums.get(name, (None, 0))
            sums[name] = (
                total if value is None else (total or 0) + value,
                number + (value is not None),
            )
        shard_results.append(rows(fields, *((k, s, n) for k, (s, n) in sums.items())))
    plan = MergePlan(
        "grouped",
        sort=(SortKey(0),),
        groups=1,
        aggregates=(Aggregate("sum", (1,)), Aggregate("avg", (1, 2))),
        outputs=(Output("k", ("group", 0)), Output("s", ("agg", 0)), Output("a", ("agg", 1))),
    )
    got = texts(merge(plan, shard_results, (), (), ()))
    expected: dict = {}
    for shard_result in split:
        for key, value in shard_result:
            expected.setdefault("1.0" if key == "1.00" else key, []).append(value)
    assert len(got) == len(expected)
    for key, total, mean in got:
        values = [v for v in expected[key] if v is not None]
        assert total == (str(sum(values)) if values else None)
        assert (mean is None) == (not values)
        if values:
            exact = Decimal(sum(values)) / len(values)
            assert abs(Decimal(mean) - exact) <= abs(exact) * Decimal("1e-15")


def test_int8_sum_out_of_range_is_an_error():
    fields = (Field("s", types.INT8),)
    plan = MergePlan(
        "grouped", aggregates=(Aggregate("sum", (0,)),), outputs=(Output("s", ("agg", 0)),)
    )
    with pytest.raises(PgError) as problem:
        merge(plan, [rows(fields, (2**63 - 1,)), rows(fields, (1,))], (), (), ())
    assert problem.value.state == "22003"


def test_numeric_sums_are_exact_with_many_digits():
    fields = (Field("s", types.NUMERIC),)
    plan = MergePlan(
        "grouped", aggregates=(Aggregate("sum", (0,)),), outputs=(Output("s", ("agg", 0)),)
    )
    got = merge(
        plan, [rows(fields, ("9" * 60,)), rows(fields, ("0." + "0" * 50 + "1",))], (), (), ()
    )
    assert texts(got) == [("9" * 60 + "." + "0" * 50 + "1",)]


def test_shard_results_with_different_columns_are_rejected():
    with pytest.raises(PgError):
        merge(
            MergePlan(), [rows(INTS, (1, 2)), rows((Field("a", types.TEXT),), ("x",))], (), (), ()
        )


def test_max_of_text_without_known_collation_is_rejected():
    fields = (Field("m", types.TEXT),)
    plan = MergePlan(
        "grouped",
        aggregates=(Aggregate("max", (0,), collated=False),),
        outputs=(Output("m", ("agg", 0)),),
    )
    with pytest.raises(PgError) as error:
        merge(plan, [rows(fields, ("a",)), rows(fields, ("b",))], (), (), ())
    assert error.value.state == "0A000"


@pytest.mark.parametrize(
    "expression, expected",
    [
        (("op", "=", ("const", None), ("const", 1)), None),
        (("and", ("const", False), ("const", None)), False),
        (("or", ("const", None), ("const", True)), True),
        (("not", ("const", None)), None),
        (("isnull", ("const", None), True), True),
        (("op", "<", ("const", "a"), ("const", "Z")), False),
        (("op", ">", ("agg", 0), ("const", "1.5")), True),
        (("op", "=", ("coalesce", ("agg", 1), ("const", 0)), ("const", 0)), True),
    ],
)
def test_three_valued_logic(expression, expected):
    aggregates = [(types.NUMERIC, Decimal(2)), (types.NUMERIC, None)]
    assert evaluate(expression, [], aggregates, [])[1] is expected


@pytest.mark.parametrize(
    "kind, values, expected",
    [  # as PostgreSQL 15 prints them
        ("variance", [1, 2, 3, 4], "1.6666666666666667"),
        ("stddev", [1, 2, 3, 4], "1.2909944487358056"),
        ("var_pop", [1, 2, 3, 4], "1.2500000000000000"),
        ("stddev_pop", [5], "0"),
        ("stddev", [5], None),
    ],
)
def test_numeric_deviations_have_the_digits_of_postgresql(kind, values, expected):
    found = numeric_deviation(
        kind, len(values), Decimal(sum(values)), Decimal(sum(v * v for v in values))
    )
    assert (None if found is None else format(found, "f")) == expected
