"""Answers of the running router against the same SQL on one unsharded database."""

import math

import psycopg
import pytest

STATEMENTS = [
    "SELECT count(*), sum(fare), min(note), max(fare), count(fare) FROM trips",
    "SELECT id, fare, note FROM trips ORDER BY fare DESC NULLS LAST, id LIMIT 20 OFFSET 7",
    "SELECT id, note FROM trips WHERE stars = 3 ORDER BY note NULLS FIRST, id DESC LIMIT 50",
    "SELECT district, count(*), sum(distance) FROM trips GROUP BY district ORDER BY 1",
    "SELECT note, count(*) AS n, sum(fare) FROM trips GROUP BY note HAVING count(*) > 30 ORDER BY n DESC, 1",
    "SELECT stars, bool_and(paid), bool_or(paid) FROM trips GROUP BY stars ORDER BY stars NULLS FIRST",
    "SELECT DISTINCT stars, paid FROM trips ORDER BY stars, paid",
    "SELECT DISTINCT note FROM trips ORDER BY note LIMIT 10",
    "SELECT t.id, c.plate FROM trips t JOIN cabs c ON c.district = t.district AND c.id = t.cab_id "
    "ORDER BY t.id LIMIT 30",
    "SELECT z.centre, count(*) FROM trips t JOIN zones z ON z.district = t.district GROUP BY 1 ORDER BY 1",
    "SELECT count(*) FROM trips WHERE district IN ('Quan 1', 'Quan 3', 'nowhere')",
    "SELECT count(*) FROM trips WHERE district = 'nowhere'",
    "SELECT day, max(started), count(*) FROM trips WHERE district = 'San Bay' GROUP BY day ORDER BY day",
    "SELECT count(DISTINCT cab_id) FROM trips WHERE district = 'Quan 7'",
    "SELECT district, count(DISTINCT cab_id) FROM trips GROUP BY district ORDER BY 1",
    "SELECT count(DISTINCT cab_id) FROM trips",
    "SELECT stars, count(DISTINCT cab_id) FROM trips GROUP BY stars ORDER BY 1",
    "SELECT count(DISTINCT stars), sum(DISTINCT stars), count(*), sum(fare), max(note) FROM trips",
    "SELECT stars, percentile_disc(0.25) WITHIN GROUP (ORDER BY fare) FROM trips GROUP BY stars ORDER BY 1",
    "SELECT percentile_cont(0.9) WITHIN GROUP (ORDER BY distance) FROM trips WHERE stars = 3",
    "SELECT paid, string_agg(note, ';' ORDER BY note, id) FROM trips WHERE id < 300 GROUP BY paid ORDER BY 1",
    "SELECT array_agg(id ORDER BY fare DESC NULLS LAST, id) FROM trips WHERE id < 100",
    "SELECT stars, count(*) FILTER (WHERE paid), count(DISTINCT note) FILTER (WHERE paid) FROM trips "
    "GROUP BY 1 ORDER BY 1",
    "SELECT stars, stddev(distance), var_pop(fare), variance(id) FROM trips GROUP BY stars ORDER BY 1",
    "SELECT count(DISTINCT note), array_agg(id) FROM trips WHERE id < 0",
    "SELECT id, name, joined, rating FROM drivers WHERE id = 77",
    "SELECT id, ref, tags FROM trips ORDER BY ref LIMIT 5",
]


def same(got, wanted):
    if isinstance(wanted, float) or isinstance(got, float):
        return math.isclose(float(got), float(wanted), rel_tol=1e-9)
    return got == wanted


@pytest.mark.parametrize("sql", STATEMENTS)
def test_an_answer_is_that_of_the_unsharded_table(site, reference, sql):
    wanted = reference.db.execute(sql).fetchall()
    for binary in (False, True):
        with psycopg.connect(site.dsn(), autocommit=True) as link:
            got = link.execute(sql, binary=binary).fetchall()
        assert len(got) == len(wanted)
        for mine, theirs in zip(got, wanted, strict=True):
            assert all(same(a, b) for a, b in zip(mine, theirs, strict=True)), (mine, theirs)


@pytest.mark.parametrize(
    "sql, construct",
    [
        ("SELECT id, sum(fare) OVER () FROM trips", "window function"),
        ("SELECT now() FROM trips", "now()"),
        ("SELECT t.id FROM trips t JOIN cabs c ON t.cab_id = c.id", "join"),
        ("SELECT corr(fare, distance) FROM trips", "corr"),
        ("SELECT string_agg(note, note) FROM trips", "string_agg"),
        ("SELECT id FROM trips UNION SELECT id FROM cabs", "UNION"),
        ("SELECT id FROM trips ORDER BY tags", "text[]"),
        ('SELECT note FROM trips ORDER BY note COLLATE "de_DE"', "de_DE"),
        ("UPDATE trips SET fare = 1", "UPDATE"),
        ("INSERT INTO trips (id, district) VALUES (1, 'Quan 1'), (2, 'Quan 3')", "INSERT"),
        ("SELECT id FROM trips WHERE id IN (SELECT id FROM cabs)", "subquery"),
    ],
)
def test_what_cant_be_merged_exactly_is_refused_by_name(site, sql, construct):
    with (
        psycopg.connect(site.dsn(), autocommit=True) as link,
        pytest.raises(psycopg.errors.FeatureNotSupported) as refusal,
    ):
        link.execute(sql).fetchall()
    assert construct in str(refusal.value)
