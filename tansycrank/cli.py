"""The operators' command line."""

from __future__ import annotations

import json
import signal
import sys
import time
from pathlib import Path

import click
import msgspec

from tansycrank import config as settings

CONFIG = click.Path(exists=False, dir_okay=False)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option("0.2.0", prog_name="tansycrank")
def main() -> None:
    """A query router for sharded, replicated stores that speak the PostgreSQL wire.

    \b
    tansycrank demo                      see it work, with stand-in nodes
    tansycrank config check router.ini   check a settings file
    tansycrank serve --config router.ini run a router
    tansycrank run                       run a router of the operators' platform
    tansycrank sql "SELECT 1"            ask a router
    """


def _load(path: str) -> settings.Config:
    try:
        return settings.load(path)
    except settings.ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(2)


@main.command()
@click.option("--config", "path", required=True, type=CONFIG, help="The settings file (INI).")
@click.option("--announce", is_flag=True, help="Print one JSON line with the port once it listens.")
def serve(path: str, announce: bool) -> None:
    """Run one router until SIGTERM.

    SIGTERM and SIGINT stop taking new sessions, let queries in flight finish within [router]
    stop_within_ms, and leave. A second one leaves at once.
    """
    from tansycrank import daemon

    sys.exit(daemon.run(_load(path), announce))


@main.command()
def run() -> None:
    """Run one router of the operators' platform, as the environment and NODE_CONFIG tell, until
    SIGTERM.
    """
    from tansycrank.http_router import daemon

    sys.exit(daemon.main())


@main.group()
def config() -> None:
    """Check and show settings files."""


@config.command("check")
@click.argument("path", type=CONFIG)
def config_check(path: str) -> None:
    """Check a settings file; prints what is wrong and where. Exit code 2 if it can't be used."""
    found = _load(path)
    click.echo(
        f"{path}: good; {len(found.classes)} classes, {len(found.tables)} tables, "
        f"{found.store.shards} shards"
    )


@config.command("show")
@click.argument("path", type=CONFIG)
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def config_show(path: str, as_json: bool) -> None:
    """Show all settings with their defaults filled in."""
    found = _load(path)
    sections = {
        name: msgspec.to_builtins(getattr(found, name)) for name in settings.SINGLE_SECTIONS
    }
    for one in found.classes:
        sections[f"class {one.name}"] = msgspec.to_builtins(one.section)
    if as_json:
        click.echo(json.dumps(sections, indent=2))
        return
    for name, keys in sections.items():
        click.echo(f"[{name}]")
        for key, value in keys.items():
            click.echo(f"{key} = {'' if value is None else value}")
        click.echo()


@main.command()
@click.argument("statement")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=6432, show_default=True, type=int)
@click.option("--user", default="operator", show_default=True)
@click.option("--class", "query_class", default="", help="The class of the query.")
@click.option("--deadline", default=0, help="Milliseconds until the answer is of no use.")
@click.option("--json", "as_json", is_flag=True, help="Rows as JSON, one a line.")
def sql(
    statement: str, host: str, port: int, user: str, query_class: str, deadline: int, as_json: bool
) -> None:
    """Ask a router one statement and print the answer. Exit code 1 on an error of the query."""
    import psycopg

    try:
        with psycopg.connect(
            host=host, port=port, user=user, dbname="tansycrank", autocommit=True
        ) as link:
            if query_class:
                link.execute(f"SET tansycrank.class = '{query_class.replace(chr(39), '')}'")
            if deadline:
                link.execute(f"SET tansycrank.deadline = {deadline}")
            cursor = link.execute(statement)
            if cursor.description is None:
                click.echo(cursor.statusmessage)
                return
            names, rows = [c.name for c in cursor.description], cursor.fetchall()
    except psycopg.Error as problem:
        click.echo(f"{problem.sqlstate or 'connection'}: {str(problem).strip()}", err=True)
        sys.exit(1)
    if as_json:
        for row in rows:
            click.echo(
                json.dumps(dict(zip(names, row, strict=True)), default=str, ensure_ascii=False)
            )
        return
    shown = [["" if v is None else str(v) for v in row] for row in rows]
    widths = [max([len(n), *(len(r[i]) for r in shown)]) for i, n in enumerate(names)]
    click.echo(" | ".join(n.ljust(w) for n, w in zip(names, widths, strict=True)))
    click.echo("-+-".join("-" * w for w in widths))
    for row in shown:
        click.echo(" | ".join(v.ljust(w) for v, w in zip(row, widths, strict=True)))
    click.echo(f"({len(rows)} row{'' if len(rows) == 1 else 's'})")


@main.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=6432, show_default=True)
@click.option(
    "--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 60), help="Seconds."
)
@click.option("--times", default=0, help="How many times; 0 until interrupted.")
@click.option("--rows", default=20, show_default=True, type=click.IntRange(1, 200))
def top(host: str, port: int, every: float, times: int, rows: int) -> None:
    """Who is at the door: the router's limit and line, and the tenants with most in line first."""
    import psycopg

    shown = (
        "tenant",
        "queued",
        "inside_parts",
        "rate",
        "weight",
        "refused",
        "corrected",
        "promised",
        "last_wait_ms",
    )
    try:
        with psycopg.connect(
            host=host, port=port, user="top", dbname="tansycrank", autocommit=True
        ) as link:
            turn = 0
            while not times or turn < times:
                turn += 1
                door = dict(link.execute("SHOW tansycrank.admission").fetchall())
                cursor = link.execute("SHOW tansycrank.tenants")
                names = [c.name for c in cursor.description]
                found = [dict(zip(names, row, strict=True)) for row in cursor.fetchmany(rows)]
                if sys.stdout.isatty():
                    click.clear()
                figures = ("limit_parts", "inside_parts", "queued")
                told = {name: door.get(name) or "-" for name in figures}
                drains = door.get("drain_parts_a_second") or "-"
                told["drains a second"] = drains
                click.echo("  ".join(f"{name} {value}" for name, value in told.items()))
                table = [shown, *(tuple(row[name] for name in shown) for row in found)]
                widths = [max(len(row[i]) for row in table) for i in range(len(shown))]
                for row in table:
                    click.echo(
                        "  ".join(v.ljust(w) for v, w in zip(row, widths, strict=True)).rstrip()
                    )
                if turn != times:
                    time.sleep(every)
    except KeyboardInterrupt:
        pass
    except psycopg.Error as problem:
        click.echo(f"{problem.sqlstate or 'connection'}: {str(problem).strip()}", err=True)
        sys.exit(1)


@main.command()
@click.option("--seconds", default=0, help="How long to stay up afterwards; 0 ends at once.")
@click.option("--nodes", default=12, show_default=True, type=click.IntRange(3, 24))
def demo(seconds: int, nodes: int) -> None:
    """Run three zones of stand-in nodes and a router; one node is killed under load."""
    from tansycrank.testbed.demo import run

    sys.exit(run(nodes, seconds))


def _experiment(
    group: str, name: str, as_json: bool, seed: int, quick: bool, out: str | None
) -> None:
    from tansycrank.testbed import fault_scenarios, measure_admission, measure_merge, measures
    from tansycrank.testbed.neighbours.run import neighbours

    known = {
        "drill": fault_scenarios.DRILLS,
        "measure": measures.MEASURES
        | {"merge": measure_merge.merge, "neighbours": neighbours}
        | measure_admission.MEASURES,
    }[group]
    if name not in known:
        raise click.BadParameter(f"{name!r}; there are: {', '.join(known)}")
    report = known[name](seed=seed, quick=quick, say=(lambda text: None) if as_json else click.echo)
    text = json.dumps(report, indent=2, default=str)
    if out:
        Path(out).write_text(text + "\n", encoding="utf-8")
        plots = {
            "merge": measure_merge.plot,
            "door-memory": measure_admission.plot,
            "door-honesty": measure_admission.plot,
        }
        if name in plots:
            plots[name](report, str(Path(out).with_suffix(".png")))
    click.echo(text)
    sys.exit(0 if report["held"] else 1)


def _options(command):
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print the report alone, as JSON."),
        click.option("--seed", default=1, show_default=True, help="The seed of load and faults."),
        click.option("--quick", is_flag=True, help="Smaller, under 40 seconds."),
        click.option(
            "--out",
            default=None,
            type=click.Path(dir_okay=False),
            help="Write the report to a file too.",
        ),
    ):
        command = option(command)
    return command


@main.command()
@click.argument("name")
@_options
def drill(name: str, as_json: bool, seed: int, quick: bool, out: str | None) -> None:
    """Play a scripted trouble through a router and judge the six rules. Exit code 1 if one was
    broken.

    Drills: bad-day, and one a rule broken on purpose (seeded-1 ... seeded-6), which must be caught.
    """
    _experiment("drill", name, as_json, seed, quick, out)


@main.command()
@click.argument("name")
@_options
def measure(name: str, as_json: bool, seed: int, quick: bool, out: str | None) -> None:
    """Measure a router beside a direct connection. Exit code 1 if what it states did not hold.

    Measures: overhead (what the router adds to small queries), merge (large answers; with --out
    also a plot), neighbours (usual clients of the platform's router beside hostile ones),
    fairness (a flood beside other tenants), door-memory, door-honesty and door-size
    (the last two simulated).
    """
    _experiment("measure", name, as_json, seed, quick, out)


@main.command()
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), help="May be repeated.")
@click.option("--seconds", default=30.0, show_default=True, help="How long each seed runs.")
@click.option("--router", type=click.Choice(["sql", "platform"]), help="One of them; else both.")
@click.option("--form", help="One form of the input alone, such as numbers, bind or answers.")
def fuzz(seeds: tuple[int, ...], seconds: float, router: str | None, form: str | None) -> None:
    """Play hostile input beside usual clients; exit code 1 if a check fails.

    Statements, parameters and text on the feed for the SQL router; answers of data nodes and lines
    of discovery for the platform's.
    Checked after each input: the process is alive and under 200 MB, usual clients are answered
    rightly within a second, the sender gets rows, an SQLSTATE or a status. Needs the developers'
    packages.
    """
    from tansycrank.testbed.fuzz import run

    routers = [one for one in run.ROUTERS if router in (None, one)]
    routers = [one for one in routers if form is None or form in run.FORMS[one]]
    if not routers:
        raise click.BadParameter(f"{form!r}; there are: {run.FORMS}", param_hint="--form")
    reports = [run.fuzz(one, seed, seconds, click.echo, form) for seed in seeds for one in routers]
    sys.exit(0 if all(report.passed for report in reports) else 1)


@main.command()
@click.option(
    "--seed", "seeds", multiple=True, type=int, help="A seed to play; may be given many times."
)
@click.option(
    "--seeds", "count", default=1, show_default=True, help="Without --seed: the seeds 1 to this."
)
@click.option("--seconds", default=20.0, show_default=True, help="How long each runs.")
@click.option(
    "--processes", default=40, show_default=True, type=click.IntRange(10, 40), help="At most."
)
@click.option(
    "--folder", default=None, type=click.Path(file_okay=False), help="Keep the records there."
)
@click.option("--bug", default="", help="Give the routers a seeded bug, which must be caught.")
@click.option(
    "--out", default=None, type=click.Path(dir_okay=False), help="Write the totals there as JSON."
)
def soak(
    seeds: tuple[int, ...],
    count: int,
    seconds: float,
    processes: int,
    folder: str | None,
    bug: str,
    out: str | None,
) -> None:
    """Play random overlapping faults on real processes; exit code 1 if an invariant was broken.

    Routers of the platform, with wall clocks of their own, beside stand-in nodes, discovery and
    clients on loopback. A seed that fails prints its first violation with the whole history of its
    request.
    """
    from tansycrank.testbed.soak import run as soaks
    from tansycrank.testbed.soak.seeded_bugs import BUGS

    if bug and bug not in BUGS:
        raise click.BadParameter(f"{bug!r}; there are: {', '.join(BUGS)}", param_hint="--bug")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that its processes end with it
    reports = []
    for seed in seeds or range(1, count + 1):
        kept = Path(folder) / str(seed) if folder else None
        report = soaks.soak(seed, seconds, processes, kept, bug)
        click.echo(report.summary)
        for line in report.details():
            click.echo(line)
        reports.append(report)
    total = soaks.totals(reports)
    click.echo(json.dumps(total, indent=2))
    if out:
        Path(out).write_text(json.dumps(total, indent=2) + "\n", encoding="utf-8")
    sys.exit(0 if all(report.passed for report in reports) else 1)
