"""A SQL router that was stopped (SIGSTOP) sends no statement to a node that drained meanwhile.

When the router resumes, the drain is in its receive buffer and the drain's grace has passed; a
router that sends before reading would start a statement at a draining node.
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

STALL_SECONDS = [0.8, 1.6]  # the grace of a drain is half a second
STOP_TIMEOUT_SECONDS = 10.0


@pytest.fixture
def start_cluster(tmp_path):
    """Return a function that starts a cluster whose router stops at a point.

    It returns the cluster and the trigger file of the stop.
    """
    clusters = []

    def make(point):
        cluster = LocalCluster(Layout(nodes=1, shards=1, reach=1, scale=0.05))
        clusters.append(cluster)
        trigger = tmp_path / "stop"
        cluster.serve = ("tests.stop_points", point, str(trigger), "serve")
        cluster.start()
        cluster.wait_ready()
        return cluster, trigger

    yield make
    for cluster in clusters:
        cluster.close()


def run_query(connection, answers):
    try:
        answers.append(connection.execute("SELECT count(*) FROM trips WHERE id > 77").fetchall())
    except psycopg.Error as problem:
        answers.append(problem.sqlstate)


def stop_at_point(process, trigger):
    """Wait until the router has stopped itself."""
    give_up_at = time.monotonic() + STOP_TIMEOUT_SECONDS
    while trigger.exists():
        assert time.monotonic() < give_up_at, "the router did not reach its stop point"
        time.sleep(0.005)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)


@pytest.mark.parametrize("stall", STALL_SECONDS)
@pytest.mark.parametrize("point", POINTS)
def test_no_statement_goes_to_a_node_that_drained_while_the_router_was_stopped_at(
    start_cluster, point, stall
):
    cluster, trigger = start_cluster(point)
    router = cluster.routers[0]
    with psycopg.connect(cluster.dsn(), autocommit=True) as connection:
        # Opens a connection to the node.
        connection.execute("SELECT count(*) FROM trips").fetchall()
        answers = []
        query_thread = threading.Thread(target=run_query, args=(connection, answers))
        trigger.touch()
        query_thread.start()
        stop_at_point(router, trigger)
        stopped_at = monotonic_ms()
        cluster.tell(1, "draining")
        time.sleep(stall)
        router.send_signal(signal.SIGCONT)
        query_thread.join()
    sent_late = [e for e in cluster.journal() if e["t"] >= stopped_at and "77" in e.get("sql", "")]
    assert not sent_late
    assert answers == ["53T01"]
