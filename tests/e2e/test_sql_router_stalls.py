"""The SQL router, stopped at several instants, sends nothing to a node that drained meanwhile.

The feed has told it before the router goes on, and the grace of the drain has passed.
"""

import os
import signal
import threading
import time

import psycopg
import pytest
from stop_points import POINTS

from tansycrank.clock import monotonic_ms
from tansycrank.testbed.local_cluster import Layout, LocalCluster

STALLS = [0.8, 1.6]  # s; the grace of a drain is half a second
STOPS_WITHIN = 10.0  # s


@pytest.fixture
def stopping(tmp_path):
    """Start a site whose router stops at a point; its trigger file."""
    sites = []

    def make(point):
        site = LocalCluster(Layout(nodes=1, shards=1, reach=1, scale=0.05))
        sites.append(site)
        trigger = tmp_path / "stop"
        site.serve = ("tests.stop_points", point, str(trigger), "serve")
        site.start()
        site.wait_ready()
        return site, trigger

    yield make
    for site in sites:
        site.close()


def ask(link, answers):
    try:
        answers.append(link.execute("SELECT count(*) FROM trips WHERE id > 77").fetchall())
    except psycopg.Error as problem:
        answers.append(problem.sqlstate)


def stop_at_point(process, trigger):
    """Wait until the router has stopped itself."""
    until = time.monotonic() + STOPS_WITHIN
    while trigger.exists():
        assert time.monotonic() < until, "the router never came to its point"
        time.sleep(0.005)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)


@pytest.mark.parametrize("stall", STALLS)
@pytest.mark.parametrize("point", POINTS)
def test_no_statement_goes_to_a_node_that_drained_while_the_router_was_stopped_at(
    stopping, point, stall
):
    site, trigger = stopping(point)
    router = site.routers[0]
    with psycopg.connect(site.dsn(), autocommit=True) as link:
        link.execute("SELECT count(*) FROM trips").fetchall()  # a connection to the node is there
        answers = []
        asking = threading.Thread(target=ask, args=(link, answers))
        trigger.touch()
        asking.start()
        stop_at_point(router, trigger)
        at = monotonic_ms()
        site.tell(1, "draining")
        time.sleep(stall)
        router.send_signal(signal.SIGCONT)
        asking.join()
    late = [e for e in site.journal() if e["t"] >= at and "77" in e.get("sql", "")]
    assert not late
    assert answers == ["53T01"]
