"""Each checker catches the break it is for, and passes a run without one."""

import pytest

from tansycrank.testbed.checkers import Figures, Told, judge

FIGURES = Figures(budget=(1.0, 0.0, 1000.0))


def query(tag="q1", effect="safe", outcome="answered", sent=0.0, done=100.0, **more):
    return {
        "tag": tag,
        "effect": effect,
        "outcome": outcome,
        "sent": sent,
        "done": done,
        "deadline": 1000.0,
        "router": 0,
        "parts": 1,
        "note": "",
        **more,
    }


def send(tag="q1", at=10.0, node=1, shard=0, ev="stmt", **more):
    sql = f"/*{tag}*/ x FROM s{shard:04}.t"
    return {"ev": ev, "t": at, "node": node, "app": "tansycrank-0", "sql": sql, **more}


def broken(queries, journal, told=()):
    return {
        rule for rule, found in judge(queries, journal, list(told), FIGURES).breaks.items() if found
    }


def test_a_run_without_a_break_passes():
    queries = [query(), query("q2", "unsafe"), query("q3", outcome="53T01", retry_after=100)]
    assert broken(queries, [send(), send("q2", node=2)]) == set()


@pytest.mark.parametrize(
    "rule, queries, journal, told",
    [
        (1, [query(outcome="lost")], [], ()),
        (1, [query(outcome="many")], [], ()),
        (1, [query(done=2000.0)], [], ()),
        (1, [query(outcome="53T01", retry_after=None)], [], ()),
        (1, [query()], [send(at=700.0)], ()),
        (2, [query(effect="unsafe")], [send(), send(node=2, shard=0)], ()),
        (2, [query(effect="unsafe", outcome="53T01", retry_after=1)], [send()], ()),
        (2, [query(effect="keyed", done=5000.0, deadline=9000.0)], [send(), send(at=4000.0)], ()),
        (2, [query(effect="keyed")], [send(ev="write", applied=True, node=n) for n in (1, 2)], ()),
        (
            3,
            [query(done=2000.0, deadline=3000.0)],
            [send(at=1800.0, node=7)],
            [Told(7, "draining", 100.0)],
        ),
        (4, [query()], [{"ev": "fell", "t": 1.0, "node": 3, "peak": 1.2}], ()),
        (5, [query(outcome="wrong")], [], ()),
        (6, [query()], [send(), send(at=20.0, node=2), send(at=30.0, node=3)], ()),
    ],
)
def test_a_break_is_caught(rule, queries, journal, told):
    assert rule in broken(queries, journal, told)


def test_a_node_that_is_back_may_be_sent_to():
    told = [Told(7, "draining", 0.0), Told(7, "ready", 1000.0)]
    assert broken([query(done=2000.0, deadline=3000.0)], [send(at=1800.0, node=7)], told) == set()
