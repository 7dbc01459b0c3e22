"""Large answers whose data node falls silent after rows of it have left, on real processes.

Guards against clients that wait without end for rows that will never come.
"""

import signal
import threading
import time

import psycopg
import pytest

from tansycrank.testbed.bulk_cluster import BulkCluster, BulkLayout

TIME_LIMIT_MS = 1500  # of a statement
SLACK_SECONDS = 0.5  # for an answer behind its time
PAUSE_SECONDS = 3.0  # of a client that reads on afterwards
END_OF_SILENCE_SECONDS = 15.0  # until the nodes of a router that waits without end are killed
ROWS = [50_000, 40_000, 40_000]
PAD = 300  # bytes of a row, so that a shard is more than the buffers of its connection
ROWS_BEFORE = 2000
STATEMENTS = {
    "rows as they come": "SELECT id, g, pad FROM bulk",
    "sorted rows": "SELECT id, g, pad FROM bulk ORDER BY id",
    "rows of one shard": "SELECT id, g, pad FROM bulk WHERE id IN (1000000000)",
}


@pytest.fixture
def cluster():
    with BulkCluster(BulkLayout(rows=ROWS, groups=1000, pad=PAD)) as running:
        watchdog = threading.Timer(END_OF_SILENCE_SECONDS, kill_data_nodes, [running])
        watchdog.start()
        yield running
        watchdog.cancel()


@pytest.fixture
def connection(cluster):
    with psycopg.connect(
        host="127.0.0.1", port=cluster.port, user="x", dbname="x", autocommit=True
    ) as connected:
        connected.execute(f"SET statement_timeout = {TIME_LIMIT_MS}")
        yield connected


def data_nodes(cluster):
    return [process for process in cluster.processes if process is not cluster.router]


def stop_data_nodes(cluster):
    """Let all data nodes fall silent, with their connections open."""
    for process in data_nodes(cluster):
        process.send_signal(signal.SIGSTOP)


def kill_data_nodes(cluster):
    for process in data_nodes(cluster):
        process.kill()


def rows_until_silence(cluster, rows):
    """Count rows; all data nodes fall silent behind the first of them."""
    for count, _ in enumerate(rows, 1):
        if count == ROWS_BEFORE:
            stop_data_nodes(cluster)
        cluster.last_row_at = time.monotonic()


def assert_ends_in_time(cluster, error):
    """Assert that the client was told in time that its rows are not the whole.

    What lay in the buffers of all connections comes before, as fast as the client reads it.
    """
    assert error.value.sqlstate == "58T02", error.value
    assert "gave no row for 1500 ms" in error.value.diag.message_detail
    assert time.monotonic() - cluster.last_row_at < TIME_LIMIT_MS / 1000 + SLACK_SECONDS


@pytest.mark.parametrize("sql", STATEMENTS.values(), ids=STATEMENTS)
def test_an_answer_whose_node_falls_silent_ends_with_an_error(cluster, connection, sql):
    with pytest.raises(psycopg.Error) as error:
        rows_until_silence(cluster, connection.cursor().stream(sql))
    assert_ends_in_time(cluster, error)
    assert connection.execute("SELECT 1").fetchone() == (1,)  # the session goes on


def test_an_export_whose_node_falls_silent_ends_with_an_error(cluster, connection):
    with (
        pytest.raises(psycopg.Error) as error,
        connection.cursor().copy("COPY (SELECT id, g, pad FROM bulk) TO STDOUT") as copy,
    ):
        rows_until_silence(cluster, copy)
    assert_ends_in_time(cluster, error)


def test_a_client_that_reads_slowly_gets_its_whole_answer(cluster, connection):
    """Guards against slow clients that are taken for silent data nodes."""
    rows = connection.cursor().stream(STATEMENTS["rows as they come"])
    received = [next(rows) for _ in range(ROWS_BEFORE)]
    time.sleep(PAUSE_SECONDS)
    received += rows
    assert len({row[0] for row in received}) == len(received) == sum(ROWS)


def test_a_router_that_was_stopped_reads_what_arrived_meanwhile(cluster, connection):
    """Guards against data nodes that are taken for silent after a stop of the router."""
    rows = connection.cursor().stream(STATEMENTS["sorted rows"])
    received = [next(rows) for _ in range(ROWS_BEFORE)]
    cluster.router.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_SECONDS)
    cluster.router.send_signal(signal.SIGCONT)
    received += rows
    assert len({row[0] for row in received}) == len(received) == sum(ROWS)
