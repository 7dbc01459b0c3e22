"""SQL planner: shard pruning, shard statements, merge plans and rejected constructs."""

import pytest

from tansycrank import config
from tansycrank.postgres.errors import PgError
from tansycrank.sql.planner import Planner, explain_lines, split_leading_comment
from tansycrank.sql.shards import shard_of

CONFIG_TEXT = """
[store]
shards = 4
cells = 4
reach = 3
[roster]
file = nodes.ini
[class lookup]
aim_ms = 1000
give_up_ms = 2000
[distribution district]
method = list
type = text
values = 0: a, b; 1: c; 2: d; 3: e
[distribution driver]
method = hash
type = int8
[table trips]
kind = distributed
distribution = district
column = district
columns = id int8, district text, cab_id int8, fare numeric, started timestamptz, note text
[table cabs]
kind = distributed
distribution = district
column = district
columns = id int8, district text, plate text
[table drivers]
kind = distributed
distribution = driver
column = id
columns = id int8, name text
[table zones]
kind = reference
columns = id int4, name text
"""
CONFIG = config.parse(CONFIG_TEXT)


@pytest.fixture
def planner():
    return Planner(CONFIG)


def bind(planner, sql, *values):
    (prepared,) = planner.plan_statements(sql)
    return prepared.bind(values)


def shards_of(planner, sql, *values):
    return [p.shard for p in bind(planner, sql, *values).shard_requests]


@pytest.mark.parametrize(
    "where, values, expected",
    [
        ("district = 'a'", (), [0]),
        ("'c' = t.district AND id > 3", (), [1]),
        ("district IN ('a', 'b')", (), [0]),
        ("district IN ('a', 'c', $1)", ("d",), [0, 1, 2]),
        ("district = ANY($1)", (["a", "e"],), [0, 3]),
        ("district = ANY(ARRAY['c', 'd'])", (), [1, 2]),
        ("district = $1", ("d",), [2]),
        ("district = 'a' OR district = 'c'", (), [0, 1]),
        ("district = 'a' OR id = 3", (), [0, 1, 2, 3]),
        ("district IN ('a', 'c') AND district IN ('c', 'd')", (), [1]),
        ("NOT district = 'a'", (), [0, 1, 2, 3]),
        ("district LIKE 'a%'", (), [0, 1, 2, 3]),
        ("lower(district) = 'a'", (), [0, 1, 2, 3]),
        ("district IS NULL", (), [0, 1, 2, 3]),
    ],
)
def test_shard_pruning_by_where_clause(planner, where, values, expected):
    assert shards_of(planner, f"SELECT id FROM trips t WHERE {where}", *values) == expected


def test_unsatisfiable_filter_queries_one_shard(planner):
    assert (
        len(shards_of(planner, "SELECT id FROM trips WHERE district = 'a' AND district = 'c'")) == 1
    )
    assert len(shards_of(planner, "SELECT id FROM trips WHERE district = NULL")) == 1
    assert len(shards_of(planner, "SELECT count(*) FROM trips WHERE district = 'unknown'")) == 1


def test_hash_shard_is_equal_for_equal_literals_of_different_types(planner):
    expected = [shard_of(CONFIG.distributions["driver"], 77, 4)]
    for value in ("77", "77.0", "'77'", "'77'::int8"):
        assert shards_of(planner, f"SELECT name FROM drivers WHERE id = {value}") == expected
    assert len(shards_of(planner, "SELECT name FROM drivers WHERE id = 77.5")) == 1


def test_single_shard_statement_keeps_its_text(planner):
    sql = "SELECT  /* ố */ 'Hồ' AS x, t.* , sum(fare) OVER () FROM public.trips t, zones WHERE t.district='a'"
    (shard_request,) = bind(planner, sql).shard_requests
    assert shard_request.sql == sql.replace("public.trips", "s0000.trips").replace(
        ", zones", ", s0000.zones"
    )


def test_second_statement_after_non_ascii_text_is_sliced_correctly(planner):
    _first, second = planner.plan_statements(
        "SELECT 'ữ' FROM zones; SELECT id FROM trips WHERE district = 'c'"
    )
    assert (
        second.bind(()).shard_requests[0].sql.strip()
        == "SELECT id FROM s0001.trips WHERE district = 'c'"
    )


def test_literal_equal_to_the_schema_placeholder_is_not_replaced(planner):
    bound = bind(planner, "SELECT id, 'tansycrank_shard_0.x' FROM trips ORDER BY 1")
    assert all("'tansycrank_shard_0.x'" in p.sql for p in bound.shard_requests)


def test_limit_pushed_to_shards_includes_the_offset(planner):
    bound = bind(planner, "SELECT id FROM trips ORDER BY fare DESC, id LIMIT 5 OFFSET 10")
    assert "LIMIT 15" in bound.shard_requests[0].sql and "OFFSET" not in bound.shard_requests[0].sql
    assert bound.merge.hidden_columns == 1 and [k.column for k in bound.merge.sort] == [-1, 0]


def test_equal_sort_expressions_are_one_column_and_one_key(planner):
    """Guards against a shard's row that grows with each repetition of a sort expression."""
    bound = bind(planner, "SELECT id FROM trips ORDER BY fare + 1, fare + 1 DESC, id, fare + 2, 1")
    assert bound.merge.hidden_columns == 2
    assert [key.column for key in bound.merge.sort] == [-2, 0, -1]
    assert bound.shard_requests[0].sql.count("fare + 1") == 2  # selected, and sorted by


def test_text_sort_keys_use_collation_c_on_data_nodes(planner):
    bound = bind(planner, "SELECT id, note FROM trips ORDER BY note LIMIT 5")
    assert 'ORDER BY note COLLATE "C" ASC NULLS LAST' in bound.shard_requests[0].sql
    computed = bind(planner, "SELECT id FROM trips ORDER BY note || 'x' LIMIT 5")
    # the type of the sort key is unknown to the planner
    assert "LIMIT" not in computed.shard_requests[0].sql


def test_avg_is_merged_from_sum_and_count(planner):
    bound = bind(planner, "SELECT note, avg(fare) FROM trips GROUP BY note HAVING avg(fare) > 3")
    assert (
        "sum(fare)" in bound.shard_requests[0].sql and "count(fare)" in bound.shard_requests[0].sql
    )
    assert "HAVING" not in bound.shard_requests[0].sql and len(bound.merge.aggregates) == 1


def test_single_count_distinct_is_deduplicated_on_data_nodes_first(planner):
    bound = bind(planner, "SELECT note, count(DISTINCT cab_id) FROM trips GROUP BY note")
    assert bound.merge.distinct_first
    assert bound.shard_requests[0].sql.startswith("SELECT DISTINCT note AS c0, cab_id AS c1")
    mixed = bind(planner, "SELECT count(DISTINCT cab_id), sum(fare) FROM trips")
    assert not mixed.merge.distinct_first and "sum" not in mixed.shard_requests[0].sql


def test_grouping_by_distribution_column_runs_entirely_on_shards(planner):
    bound = bind(
        planner,
        "SELECT district, count(DISTINCT cab_id), string_agg(note, ',') FROM trips "
        "GROUP BY district HAVING count(*) > 3 ORDER BY 2",
    )
    assert bound.merge.kind == "sorted" and "HAVING" in bound.shard_requests[0].sql


def test_grouping_by_distribution_column_nullable_by_outer_join_is_not_local_to_a_shard(planner):
    with pytest.raises(PgError):
        bind(
            planner,
            "SELECT c.district, corr(t.id, t.fare) FROM trips t LEFT JOIN cabs c "
            "ON c.district = t.district AND c.id = t.cab_id GROUP BY c.district",
        )


@pytest.mark.parametrize(
    "sql, construct",
    [
        ("SELECT id FROM trips UNION ALL SELECT id FROM cabs", "UNION"),
        ("WITH x AS (SELECT 1) SELECT id FROM trips", "WITH"),
        ("SELECT id FROM trips FOR UPDATE", "FOR UPDATE"),
        ("SELECT DISTINCT ON (note) id FROM trips", "DISTINCT ON"),
        ("SELECT note, count(*) FROM trips GROUP BY ROLLUP (note)", "ROLLUP"),
        ("SELECT id FROM trips WHERE started > now()", "now()"),
        ("SELECT id FROM trips WHERE started > current_date", "CURRENT_DATE"),
        ("SELECT id FROM trips WHERE started > 'today'::timestamptz", "today"),
        ("SELECT random() FROM trips", "random()"),
        ("SELECT my_function(id) FROM trips", "my_function()"),
        ("SELECT id FROM trips ORDER BY id FETCH FIRST 3 ROWS WITH TIES", "WITH TIES"),
        ("SELECT id FROM trips ORDER BY id, id USING <", "USING"),
        ("SELECT corr(fare, id) FROM trips", "corr"),
        (
            "SELECT percentile_cont(cab_id) WITHIN GROUP (ORDER BY fare) FROM trips",
            "percentile_cont",
        ),
        ("SELECT array_agg(DISTINCT note ORDER BY id) FROM trips", "array_agg(DISTINCT"),
        ("SELECT sum(fare) / count(*) FROM trips", "expression"),
        ("SELECT t.id FROM trips t JOIN drivers d ON d.id = t.cab_id", "join"),
        ("SELECT t.id FROM zones z LEFT JOIN trips t ON t.cab_id = z.id", "outer join"),
        ("SELECT t.id FROM trips t LEFT JOIN cabs c ON c.id = t.cab_id", "outer join"),
        ("SELECT id FROM trips t NATURAL JOIN cabs c", "NATURAL"),
        ("SELECT id FROM trips WHERE EXISTS (SELECT 1 FROM cabs)", "subquery"),
        ("SELECT id FROM trips TABLESAMPLE system (10)", "TABLESAMPLE"),
        ("SELECT t.id FROM trips t TABLESAMPLE system (10) WHERE district = 'a'", "TABLESAMPLE"),
        ("SELECT id FROM trips LIMIT 1 + 1", "LIMIT"),
        ("SELECT id FROM trips, generate_series(1, 3)", "RangeFunction"),
        ("UPDATE trips SET fare = 0", "UPDATE"),
        ("DELETE FROM trips WHERE id = 1", "DELETE"),
        ("UPDATE trips SET district = 'c' WHERE district = 'a'", "distribution column"),
        ("INSERT INTO trips (id, district) SELECT id, district FROM trips", "INSERT"),
        ("INSERT INTO trips (id, district) VALUES (1, lower('A'))", "distribution column"),
        ("INSERT INTO zones VALUES (1, 'x')", "reference table"),
        ("CREATE TABLE x (a int)", "Create"),
        ("TRUNCATE trips", "Truncate"),
        ("COPY trips FROM STDIN", "Copy"),
        ("SELECT now(), id INTO x FROM trips", "SELECT INTO"),
    ],
)
def test_unsupported_construct_is_named_in_the_error(planner, sql, construct):
    with pytest.raises(PgError) as raised:
        bind(planner, sql)
    assert raised.value.state == "0A000" and construct.lower() in str(raised.value).lower()


@pytest.mark.parametrize(
    "sql, state",
    [
        ("SELEC 1", "42601"),
        ("SELECT id FROM nothing", "42P01"),
        ("SELECT id FROM other.trips", "42P01"),
        ("INSERT INTO trips (id) VALUES (1)", "23502"),
        ("INSERT INTO trips (id, district) VALUES (1, 'nowhere')", "23514"),
        ("INSERT INTO trips (id, district) VALUES (1, NULL)", "23502"),
        ("SELECT id FROM trips ORDER BY 7", "42P10"),
        ("SELECT DISTINCT id FROM trips ORDER BY fare", "42P10"),
        ("SELECT note, id, count(*) FROM trips GROUP BY note", "42803"),
    ],
)
def test_invalid_statements_get_postgres_error_codes(planner, sql, state):
    with pytest.raises(PgError) as raised:
        bind(planner, sql)
    assert raised.value.state == state


def test_parameter_types_are_inferred_from_table_columns(planner):
    (prepared,) = planner.plan_statements(
        "SELECT id FROM trips WHERE fare > $1 AND district = ANY($2) LIMIT $3"
    )
    assert prepared.oids == (1700, 1009, 20)
    (insert,) = planner.plan_statements(
        "INSERT INTO trips (id, district, started) VALUES ($1, $2, $3)"
    )
    assert insert.oids == (20, 25, 1184)


def test_declared_parameter_types_are_kept(planner):
    (prepared,) = planner.plan_statements("SELECT id FROM trips WHERE fare > $1", (21,))
    assert prepared.oids == (21,)


def test_explain_shows_shard_statements_and_merge_plan(planner):
    (prepared,) = planner.plan_statements(
        "EXPLAIN SELECT note, count(*) FROM trips GROUP BY note LIMIT 3"
    )
    text = "\n".join(explain_lines(prepared.explain, (), "lookup (safe)"))
    assert "Merge Aggregate" in text and text.count("->  Shard") == 4 and "Limit: 3" in text


def test_leading_comment_is_split_off_up_to_the_length_limit():
    assert split_leading_comment("/*q1*/ SELECT 1") == ("/*q1*/", " SELECT 1")
    assert split_leading_comment("/*" + "x" * 600 + "*/ SELECT 1")[0] == ""
    assert split_leading_comment("/* a /* nested */ */ SELECT 1")[0] == ""


def test_plan_cache_size_is_limited(planner):
    from tansycrank.sql import planner as planner_module

    for number in range(planner_module.MAX_CACHED_TEXTS + 50):
        planner.plan_statements(f"SHOW a{number}")
    assert len(planner._cache) == planner_module.MAX_CACHED_TEXTS


@pytest.mark.parametrize(
    "text",
    [
        "tansycrank_shard_0",
        "tansycrank_shard_01",
        "tansycrank_shard_0 tansycrank_shard_10",
        "tansycrank_shard_0_",
        "tansycrank_shard_00_ tansycrank_shard_0_ tansycrank_shard_1_",
    ],
)
def test_a_literal_that_looks_like_a_placeholder_keeps_its_text(planner, text):
    """Guards against a literal in which a schema name is put for the beginning of its text."""
    sql = f"SELECT id FROM trips WHERE note = '{text}' ORDER BY id"
    (prepared,) = planner.plan_statements(sql)
    for shard_request in prepared.bind([]).shard_requests:
        assert f"'{text}'" in shard_request.sql
