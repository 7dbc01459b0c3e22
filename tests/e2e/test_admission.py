"""The door over the wire: views, limits changed at run time, refusals, floods, restarts."""

import re
import subprocess
import sys
import threading
import time

import psycopg
import pytest

from tansycrank.testbed.local_cluster import TENANT_RULES as RULES
from tansycrank.testbed.local_cluster import Layout, LocalCluster

NATURE = {"cores": 1, "work_ms": 60.0, "cached": True}
DISTRICT = "Quan 1"


@pytest.fixture(scope="module")
def slow():
    """A site that does about fifty parts a second."""
    with LocalCluster(Layout(nodes=3, shards=3, nature=NATURE, rules_more=RULES)) as running:
        running.wait_ready()
        yield running


def connect(site, user="t_one"):
    return psycopg.connect(
        f"host=127.0.0.1 port={site.ports[0]} user={user} dbname=x", autocommit=True
    )


def flood(site, user, sessions, seconds, heard, manner="pushy"):
    """Sessions that ask again at once, whatever they are told."""
    until = time.monotonic() + seconds

    def one(number):
        with connect(site, user) as link:
            count = 0
            while time.monotonic() < until:
                count += 1
                began = time.monotonic()
                try:
                    link.execute(
                        f"SELECT count(*) FROM trips WHERE id > {number * 1000 + count}"
                    ).fetchall()
                    heard.append(("answered", time.monotonic() - began, ""))
                except psycopg.Error as problem:
                    detail = problem.diag.message_detail or ""
                    heard.append((problem.sqlstate, time.monotonic() - began, detail))

    threads = [threading.Thread(target=one, args=(n,)) for n in range(sessions)]
    for thread in threads:
        thread.start()
    return threads


def test_views_show_tenants_and_the_door(slow):
    with connect(slow, "t_views") as link:
        link.execute("SELECT count(*) FROM trips").fetchall()
        cursor = link.execute("SHOW tansycrank.tenants")
        names = [c.name for c in cursor.description]
        rows = {row[0]: dict(zip(names, row, strict=True)) for row in cursor.fetchall()}
        assert int(rows["views"]["answered"]) >= 1
        door = dict(link.execute("SHOW tansycrank.admission").fetchall())
        assert door["enabled"] == "on" and float(door["limit_parts"]) > 0
        with link.cursor(binary=True) as cursor:  # and through the extended protocol
            assert (
                dict(cursor.execute("SHOW tansycrank.admission", prepare=True).fetchall())[
                    "enabled"
                ]
                == "on"
            )


def test_limits_are_changed_by_a_checked_call(slow):
    with connect(slow, "t_limits") as link:
        link.execute("SELECT count(*) FROM trips").fetchall()
        link.execute("SET tansycrank.limits = 'limits weight=3 max_share=0.5'")
        rows = {row[0]: row for row in link.execute("SHOW tansycrank.tenants").fetchall()}
        assert rows["limits"][4] == "3" and rows["limits"][6] == "0.5"
        for text in (
            "limits",
            "limits weight=0",
            "limits speed=1",
            "limits min_share=0.7 max_share=0.2",
            "",
        ):
            with pytest.raises(psycopg.errors.InvalidParameterValue):
                link.execute(f"SET tansycrank.limits = '{text}'")
        rows = {row[0]: row for row in link.execute("SHOW tansycrank.tenants").fetchall()}
        assert rows["limits"][4] == "3"


def test_top_prints_the_tenants(slow):
    command = [
        sys.executable,
        "-m",
        "tansycrank",
        "top",
        "--port",
        str(slow.ports[0]),
        "--times",
        "1",
    ]
    told = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert told.returncode == 0 and "limit_parts" in told.stdout and "tenant" in told.stdout


def test_a_flood_is_refused_at_once_with_a_wait_and_leaves_others_alone(slow):
    heard, mine = [], []
    threads = flood(slow, "t_flood", 60, 5.0, heard)
    time.sleep(2.0)
    with connect(slow, "t_small") as link:
        for number in range(10):
            began = time.monotonic()
            try:
                where = f"district = '{DISTRICT}' AND id < {number}"
                link.execute(f"SELECT id FROM trips WHERE {where}").fetchall()
                mine.append(time.monotonic() - began)
            except psycopg.Error as problem:
                mine.append(problem.sqlstate)
            time.sleep(0.1)
    for thread in threads:
        thread.join()
    refused = [(took, detail) for state, took, detail in heard if state == "53T01"]
    assert refused and any(state == "answered" for state, _, _ in heard)
    assert all(
        re.match(r"retry_after_ms=\d+ reason=\w+ corrected=[01]$", detail) for _, detail in refused
    )
    assert sum(isinstance(one, float) for one in mine) >= 8


def test_a_client_that_leaves_the_line_leaves_nothing(slow):
    links = [connect(slow, "t_leaver") for _ in range(30)]
    for number, link in enumerate(links):
        link.pgconn.send_query(f"SELECT count(*) FROM trips WHERE id <> {number}".encode())
    time.sleep(0.1)
    for link in links:
        link.close()
    time.sleep(0.5)
    with connect(slow, "t_after") as link:
        door = dict(link.execute("SHOW tansycrank.admission").fetchall())
        assert int(door["queued"]) == 0 and int(door["inside_parts"]) == 0


def test_a_cancel_takes_a_query_out_of_the_line(slow):
    links = [connect(slow, "t_crowd") for _ in range(25)]
    for number, link in enumerate(links):
        link.pgconn.send_query(
            f"SELECT count(*), sum(fare) FROM trips WHERE id <> {number}".encode()
        )
    with connect(slow, "t_crowd") as link:
        over = threading.Event()

        def cancel():  # again and again: one that comes between two statements hits none
            while not over.wait(0.03):
                link.cancel()

        canceller = threading.Thread(target=cancel)
        canceller.start()
        with pytest.raises((psycopg.errors.QueryCanceled, psycopg.Error)) as problem:
            for number in range(20):
                link.execute(f"SELECT count(*) FROM trips WHERE id <> {1000 + number}")
        over.set()
        canceller.join()
        assert problem.value.sqlstate in ("57014", "53T01")
    for link in links:
        link.close()


def test_networks_that_may_not_enter_hear_so():
    with LocalCluster(Layout(nodes=3, shards=3, rules_more="[door]\ndeny = 127.0.0.0/8\n")) as site:
        with pytest.raises(psycopg.OperationalError) as problem:
            connect(site)
        assert "no entry for 127.0.0.1" in str(problem.value)


def test_others_than_operators_see_and_change_nothing():
    with LocalCluster(
        Layout(nodes=3, shards=3, rules_more="[door]\noperators = 10.0.0.0/8\n")
    ) as site:
        site.wait_ready()
        with connect(site) as link:
            for sql in ("SHOW tansycrank.tenants", "SET tansycrank.limits = 'a weight=2'"):
                with pytest.raises(psycopg.errors.InsufficientPrivilege):
                    link.execute(sql)


def test_a_restart_with_a_full_line_answers_everyone():
    with LocalCluster(Layout(nodes=3, shards=3, nature=NATURE, rules_more=RULES)) as site:
        site.wait_ready()
        heard = []
        threads = flood(site, "t_flood", 30, 2.0, heard)
        time.sleep(1.0)
        site.routers[0].terminate()
        for thread in threads:
            thread.join(timeout=20)
        assert not any(thread.is_alive() for thread in threads)
        assert site.routers[0].wait(timeout=15) == 0
        states = {state for state, _, _ in heard}
        assert states <= {"answered", "53T01", "57P01", "58T01", None}
