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
from tansycrank.testbed.site import Layout, Site

# the data of `conftest.reference`
LAYOUT = Layout(nodes=6, shards=6, scale=0.25, nature={"work_ms": 1.0})


@pytest.fixture(scope="module")
def site():
    """A site of its own: other tests write to theirs."""
    with Site(LAYOUT) as running:
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


def condition(chance):
    kinds = [
        lambda: f"fare {chance.choice(['<', '>', '<=', '>='])} {chance.randint(10, 900)}",
        lambda: f"stars = {chance.randint(0, 6)}",
        lambda: (
            f"note {chance.choice(['IS NULL', 'IS NOT NULL', '> ' + chr(39) + 'Ghi chú 3' + chr(39)])}"
        ),
        lambda: (
            f"district IN ({', '.join(repr(d) for d in chance.sample(DISTRICTS, chance.randint(1, 5)))})"
        ),
        lambda: f"district = '{chance.choice(DISTRICTS)}'",
        lambda: f"id BETWEEN {chance.randint(0, 3000)} AND {chance.randint(3000, 6000)}",
        lambda: f"(paid OR stars < {chance.randint(1, 5)})",
        lambda: "NOT paid",
        lambda: f"day > '2026-01-{chance.randint(10, 28)}'",
    ]
    terms = [chance.choice(kinds)() for _ in range(chance.randint(0, 3))]
    return f" WHERE {' AND '.join(terms)}" if terms else ""


def direction(chance):
    return chance.choice(["", " DESC", " NULLS FIRST", " DESC NULLS LAST", " ASC"])


def bounds(chance):
    limit = f" LIMIT {chance.randint(0, 40)}" if chance.random() < 0.6 else ""
    return limit + (f" OFFSET {chance.randint(0, 15)}" if chance.random() < 0.4 else "")


def statement(seed):
    """(sql, whether the order of its rows is full)."""
    chance = random.Random(seed)
    where, kind = condition(chance), chance.choice(["rows", "groups", "whole", "distinct", "join"])
    if kind == "rows":
        columns = chance.sample(ORDERED, chance.randint(1, 4))
        keys = chance.sample(ORDERED, chance.randint(0, 2))
        order = ", ".join(
            [k + direction(chance) for k in keys] + ["id" + chance.choice(["", " DESC"])]
        )
        return (
            f"SELECT {', '.join(columns)} FROM trips{where} ORDER BY {order}{bounds(chance)}",
            True,
        )
    if kind == "whole":
        return (
            f"SELECT {', '.join(chance.sample(AGGREGATES, chance.randint(1, 4)))} FROM trips{where}",
            True,
        )
    if kind == "groups":
        by = chance.sample(["stars", "note", "paid", "day", "district"], chance.randint(1, 2))
        wanted = chance.sample(AGGREGATES, chance.randint(1, 3))
        having = f" HAVING count(*) > {chance.randint(1, 30)}" if chance.random() < 0.4 else ""
        order = ", ".join(f"{n + 1}{direction(chance)}" for n in range(len(by)))
        return (
            f"SELECT {', '.join(by + wanted)} FROM trips{where} GROUP BY {', '.join(by)}{having} "
            f"ORDER BY {order}{bounds(chance)}"
        ), True
    if kind == "distinct":
        columns = chance.sample(["stars", "note", "paid", "day", "district"], chance.randint(1, 3))
        order = ", ".join(f"{n + 1}{direction(chance)}" for n in range(len(columns)))
        text = f"SELECT DISTINCT {', '.join(columns)} FROM trips{where}"
        return f"{text} ORDER BY {order}{bounds(chance)}", True
    side = chance.choice(["JOIN", "LEFT JOIN"])
    return (
        f"SELECT t.id, c.plate, z.base_fare FROM trips t {side} cabs c ON c.district = t.district AND "
        f"c.id = t.cab_id JOIN zones z ON z.district = t.district ORDER BY t.id{bounds(chance)}"
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
