"""The demo: three zones of stand-in nodes, a roster and a router; queries, and a node killed under
them.
"""

from __future__ import annotations

import threading
import time

import click
import psycopg

from tansycrank.testbed.local_cluster import Layout, LocalCluster

QUERIES = (
    (
        "one district: one part",
        "SELECT id, fare, note FROM trips WHERE district = 'San Bay' ORDER BY fare DESC NULLS LAST LIMIT 3",
    ),
    (
        "all districts, ranked",
        "SELECT district, count(*) AS trips, sum(fare) AS fares FROM trips GROUP BY district "
        "ORDER BY fares DESC LIMIT 3",
    ),
    (
        "a join that goes down to the shards",
        "SELECT c.plate, count(*) AS n FROM trips t JOIN cabs c ON "
        "c.district = t.district AND c.id = t.cab_id GROUP BY c.plate ORDER BY n DESC, 1 LIMIT 3",
    ),
    (
        "a write to one shard",
        "INSERT INTO trips (id, district, fare) VALUES (900001, 'San Bay', 55.50)",
    ),
    (
        "what can't be merged exactly is refused",
        "SELECT id, rank() OVER (ORDER BY fare) FROM trips",
    ),
    ("EXPLAIN", "EXPLAIN SELECT avg(fare) FROM trips WHERE district IN ('San Bay', 'Thu Duc')"),
)


def run(nodes: int, seconds: float) -> int:
    """Show it; 0 if every query under the killed node got its answer."""
    began = time.monotonic()
    layout = Layout(nodes=nodes, shards=nodes, seed=7, nature={"work_ms": 5.0, "one_way_ms": 0.5})
    with LocalCluster(layout) as site:
        site.wait_ready()
        click.echo(
            f"{nodes} nodes in {len(layout.zones)} zones, "
            f"{layout.shards} shards on {layout.reach} nodes each, a "
            f"roster and a router: up after {time.monotonic() - began:.1f} s. Connect with any client:"
        )
        click.echo(f"    psql 'host=127.0.0.1 port={site.ports[0]} user=you dbname=tansycrank'")
        click.echo(f'    python -m tansycrank sql --port {site.ports[0]} "SELECT * FROM zones"\n')
        with psycopg.connect(site.dsn(), autocommit=True) as link:
            for what, sql in QUERIES:
                _show(link, what, sql)
        good = _kill_one(site)
        if seconds:
            click.echo(f"staying up for {seconds} s ...")
            time.sleep(seconds)
    return 0 if good else 1


def _show(link: psycopg.Connection, what: str, sql: str) -> None:
    click.echo(f"-- {what}\n{sql}")
    began = time.perf_counter()
    try:
        cursor = link.execute(sql)
        rows = cursor.fetchall() if cursor.description else [(cursor.statusmessage,)]
        for row in rows[:8]:
            click.echo("   " + " | ".join("" if v is None else str(v)[:90] for v in row))
        click.echo(f"   ({(time.perf_counter() - began) * 1000:.1f} ms)\n")
    except psycopg.Error as problem:
        click.echo(f"   {problem.sqlstate}: {problem.diag.message_primary}\n")


def _kill_one(site: LocalCluster) -> bool:
    """Eight clients ask for four seconds; a node dies after one, and the roster is a second
    late.
    """
    click.echo(
        "-- eight clients ask; node 2 is killed after a second, the roster learns of it a second later"
    )
    took, failed, until = [], [], time.monotonic() + 4

    def ask() -> None:
        with psycopg.connect(site.dsn(), autocommit=True) as link:
            while time.monotonic() < until:
                began = time.perf_counter()
                try:
                    link.execute("SELECT count(*), sum(fare) FROM trips").fetchall()
                    took.append((time.perf_counter() - began) * 1000)
                except psycopg.Error as problem:
                    failed.append(problem.sqlstate)

    threads = [threading.Thread(target=ask) for _ in range(8)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    site.kill(2, told_after_ms=1000)
    for thread in threads:
        thread.join()
    took.sort()
    click.echo(
        f"   {len(took)} answers, p50 {took[len(took) // 2]:.1f} ms, p99 {took[int(len(took) * 0.99)]:.1f}, "
        f"slowest {took[-1]:.1f} ms; {len(failed)} refused {sorted(set(failed)) or ''}\n"
    )
    return len(took) > 20 and not failed
