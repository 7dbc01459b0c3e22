"""Random statements over random shards against the same SQL on one unsharded database.

`TANSYCRANK_STATEMENTS=3000 python -m pytest tests/e2e/test_random_statements.py` plays more; a seed
that fails is printed and belongs into `FAILED`.
"""

import math
import os
import random

import psycopg
import pytest

from tansycrank.testbed.engine import DISTRICTS
from tansycrank.testbed.local_cluster import Layout, LocalCluster

# the data of `conftest.reference`
LAYOUT = Layout(nodes=6, shards=6, scale=0.25, nature={"work_ms": 1.0})


@pytest.fixture(scope="module")
def site():
    """A site of its own: other tests write to theirs."""
    with LocalCluster(LAYOUT) as running:
        running.wait_ready()
        yield running


COUNT = int(os.environ.get("TANSYCRANK_STATEMENTS", "240"))
FAILED: list[int] = []  # seeds that once failed
NUMBERS = ["id", "cab_id", "fare", "stars", "driver_id"]
ORDERED = [*NUMBERS, "note", "started", "day", "paid", "district", "ref"]
AGGREGATES = [
    "count(*)",
    "count(stars)",
    "sum(fare)",
    "sum(stars)",
    "min(note)",
    "max(note)",
    "min(started)",
    "max(fare)",
    "avg(fare)",
    "avg(stars)",
    "bool_and(paid)",
    "bool_or(paid)",
    "min(day)",
    "sum(fare) FILTER (WHERE paid)",
    "count(*) FILTER (WHERE stars > 2)",
]


def condition(rng):
    kinds = [
        lambda: f"fare {rng.choice(['<', '>', '<=', '>='])} {rng.randint(10, 900)}",
        lambda: f"stars = {rng.randint(0, 6)}",
        lambda: (
            f"note {rng.choice(['IS NULL', 'IS NOT NULL', '> ' + chr(39) + 'Ghi chú 3' + chr(39)])}"
        ),
        lambda: (
            f"district IN ({', '.join(repr(d) for d in rng.sample(DISTRICTS, rng.randint(1, 5)))})"
        ),
        lambda: f"district = '{rng.choice(DISTRICTS)}'",
        lambda: f"id BETWEEN {rng.randint(0, 3000)} AND {rng.randint(3000, 6000)}",
        lambda: f"(paid OR stars < {rng.randint(1, 5)})",
        lambda: "NOT paid",
        lambda: f"day > '2026-01-{rng.randint(10, 28)}'",
    ]
    terms = [rng.choice(kinds)() for _ in range(rng.randint(0, 3))]
    return f" WHERE {' AND '.join(terms)}" if terms else ""


def direction(rng):
    return rng.choice(["", " DESC", " NULLS FIRST", " DESC NULLS LAST", " ASC"])


def bounds(rng):
    limit = f" LIMIT {rng.randint(0, 40)}" if rng.random() < 0.6 else ""
    return limit + (f" OFFSET {rng.randint(0, 15)}" if rng.random() < 0.4 else "")


def statement(seed):
    """(sql, whether the order of its rows is full)."""
    rng = random.Random(seed)
    where, kind = condition(rng), rng.choice(["rows", "groups", "whole", "distinct", "join"])
    if kind == "rows":
        columns = rng.sample(ORDERED, rng.randint(1, 4))
        keys = rng.sample(ORDERED, rng.randint(0, 2))
        order = ", ".join([k + direction(rng) for k in keys] + ["id" + rng.choice(["", " DESC"])])
        return f"SELECT {', '.join(columns)} FROM trips{where} ORDER BY {order}{bounds(rng)}", True
    if kind == "whole":
        return (
            f"SELECT {', '.join(rng.sample(AGGREGATES, rng.randint(1, 4)))} FROM trips{where}",
            True,
        )
    if kind == "groups":
        by = rng.sample(["stars", "note", "paid", "day", "district"], rng.randint(1, 2))
        wanted = rng.sample(AGGREGATES, rng.randint(1, 3))
        having = f" HAVING count(*) > {rng.randint(1, 30)}" if rng.random() < 0.4 else ""
        order = ", ".join(f"{n + 1}{direction(rng)}" for n in range(len(by)))
        return (
            f"SELECT {', '.join(by + wanted)} FROM trips{where} GROUP BY {', '.join(by)}{having} "
            f"ORDER BY {order}{bounds(rng)}"
        ), True
    if kind == "distinct":
        columns = rng.sample(["stars", "note", "paid", "day", "district"], rng.randint(1, 3))
        order = ", ".join(f"{n + 1}{direction(rng)}" for n in range(len(columns)))
        text = f"SELECT DISTINCT {', '.join(columns)} FROM trips{where}"
        return f"{text} ORDER BY {order}{bounds(rng)}", True
    side = rng.choice(["JOIN", "LEFT JOIN"])
    return (
        f"SELECT t.id, c.plate, z.base_fare FROM trips t {side} cabs c ON c.district = t.district AND "
        f"c.id = t.cab_id JOIN zones z ON z.district = t.district ORDER BY t.id{bounds(rng)}"
    ), True


def same(a, b):
    if isinstance(a, float) or isinstance(b, float):
        return a is not None and b is not None and math.isclose(float(a), float(b), rel_tol=1e-9)
    return a == b


def test_random_statements_are_answered_as_by_one_database(site, reference):
    refused = 0
    with psycopg.connect(site.dsn(), autocommit=True) as link:
        for seed in [*FAILED, *range(COUNT)]:
            sql, _ = statement(seed)
            wanted = reference.db.execute(sql).fetchall()
            try:
                got = link.execute(sql, binary=seed % 2 == 0).fetchall()
            except psycopg.Error as problem:
                assert problem.sqlstate == "53T01", (seed, sql, str(problem))
                refused += 1
                continue
            assert len(got) == len(wanted), (seed, sql)
            for mine, theirs in zip(got, wanted, strict=True):
                assert all(map(same, mine, theirs)), (seed, sql, mine, theirs)
    assert refused < COUNT / 10


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_seed_decides_the_statement(seed):
    assert statement(seed) == statement(seed)
