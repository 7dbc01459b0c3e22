"""Clients with a mix of queries: `python -m tansycrank.testbed.load SPEC`. Bounded in count and
time.

Each client notes what it sent and heard (JSON a line). Answers are compared with the unsharded
reference.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import re
import sys
from dataclasses import dataclass

import msgspec
import psycopg

from tansycrank import clock, config
from tansycrank.testbed.engine import DISTRICTS, Engine

WRITE_IDS = 1_000_000_000  # ids of rows that loads write; readers look below
REPORTERS = 2  # clients that ask for all trips, again and again: a large report beside the rest
RETRY = re.compile(r"retry_after_ms=(\d+)")


class LoadSpec(msgspec.Struct):
    """What to play."""

    dsns: tuple[str, ...]
    config: str
    out: str
    clients: int = 40
    seconds: float = 10.0
    seed: int = 1
    scale: float = 1.0
    think_ms: float = 60.0
    deadline_ms: float = 1500.0
    writes: float = 0.06
    keyed: float = 0.04
    leavers: float = 0.02
    excuse_lost: bool = False


@dataclass(frozen=True, slots=True)
class Question:
    """A read with its right answer; `ordered` tells whether the order counts."""

    sql: str
    rows: tuple
    parts: int
    ordered: bool = True


def questions(reference: Engine, shards: int) -> list[Question]:
    """Reads over one, some and all shards; the last is a large report."""
    below = f"id < {WRITE_IDS}"
    found = []
    for district in DISTRICTS[::3]:
        found.append(
            (
                f"SELECT id, fare, note FROM trips WHERE district = '{district}' AND {below} "
                "ORDER BY fare DESC NULLS LAST, id LIMIT 5",
                1,
            )
        )
        found.append(
            (
                f"SELECT id, plate, lat FROM cabs WHERE district = '{district}' AND free ORDER BY id LIMIT 8",
                1,
            )
        )
    for a, b, c in zip(DISTRICTS[::5], DISTRICTS[1::5], DISTRICTS[2::5], strict=False):
        names = f"'{a}', '{b}', '{c}'"
        found.append(
            (
                f"SELECT id, started FROM trips WHERE district IN ({names}) AND {below} "
                "ORDER BY started, id LIMIT 10",
                3,
            )
        )
    found.append((f"SELECT count(*), sum(fare), max(started) FROM trips WHERE {below}", shards))
    found.append(
        (
            f"SELECT stars, count(*) AS n, min(note) FROM trips WHERE {below} GROUP BY stars ORDER BY 1",
            shards,
        )
    )
    found.append(
        (
            f"SELECT note, count(*) FROM trips WHERE {below} GROUP BY note HAVING count(*) > 3 "
            "ORDER BY 2 DESC, 1 LIMIT 7",
            shards,
        )
    )
    found.append(
        (f"SELECT id, district, fare, note, ref FROM trips WHERE {below} ORDER BY id", shards)
    )
    return [
        Question(sql, tuple(reference.db.execute(sql).fetchall()), parts) for sql, parts in found
    ]


def same_rows(got: list, wanted: tuple) -> bool:
    """Equal but for the last digits of floats."""
    if len(got) != len(wanted):
        return False
    return all(
        math.isclose(a, b, rel_tol=1e-9)
        if isinstance(a, float) and isinstance(b, float)
        else a == b
        for mine, theirs in zip(got, wanted, strict=True)
        for a, b in zip(mine, theirs, strict=True)
    )


def now() -> float:
    """Milliseconds, the same clock as the nodes'."""
    return clock.monotonic_ms()


class Client:
    """One client of one router."""

    def __init__(
        self, spec: LoadSpec, number: int, asked: list[Question], notes: list[dict]
    ) -> None:
        self.spec, self.number, self.notes = spec, number, notes
        self.asked = asked[-1:] if number < REPORTERS else asked[:-1]
        self.rng = random.Random(spec.seed * 10_000 + number)
        self.router = number % len(spec.dsns)
        self.link: psycopg.AsyncConnection | None = None
        self.sequence = 0

    async def connect(self) -> bool:
        """A session with its deadline set; False while the router is away."""
        try:
            self.link = await psycopg.AsyncConnection.connect(
                self.spec.dsns[self.router], autocommit=True
            )
            self.link.prepare_threshold = None if self.number % 2 else 2
            await self.link.execute(f"SET tansycrank.deadline = {self.spec.deadline_ms:.0f}")
            return True
        except (psycopg.Error, OSError):
            await self.close()
            return False

    async def close(self) -> None:
        """Leave."""
        link, self.link = self.link, None
        if link is not None:
            await link.close()

    async def run(self, until: float) -> None:
        """Ask until the time is over."""
        await asyncio.sleep(self.rng.random() * self.spec.think_ms / 1000)
        while now() < until:
            is_closed = self.link is None or self.link.closed
            if is_closed and not await self.connect():
                await asyncio.sleep(0.1)
                continue
            await self.ask()
            await asyncio.sleep(self.rng.expovariate(1.0) * self.spec.think_ms / 1000)
        await self.close()

    async def ask(self) -> None:
        """One query, noted."""
        self.sequence += 1
        tag = f"q{self.spec.seed}-{self.number}-{self.sequence}"
        draw, spec = self.rng.random(), self.spec
        effect, question, values, key = "safe", None, None, ""
        if draw < spec.writes + spec.keyed:
            effect = "unsafe" if draw < spec.writes else "keyed"
            key = tag if effect == "keyed" else ""
            values = (
                WRITE_IDS + self.number * 100_000 + self.sequence,
                self.rng.choice(DISTRICTS),
                self.number,
            )
            sql = "INSERT INTO trips (id, district, cab_id) VALUES (%s, %s, %s)"
        else:
            question = self.rng.choice(self.asked)
            sql = question.sql
        note = {
            "tag": tag,
            "effect": effect,
            "router": self.router,
            "deadline": spec.deadline_ms,
            "key": key,
            "parts": question.parts if question else 1,
            "note": sql[:120],
        }
        leaves = question is not None and self.rng.random() < spec.leavers
        try:
            if effect == "keyed":
                await self.link.execute(f"SET tansycrank.request_key = '{key}'")
            note["sent"] = now()
            if leaves:
                await self._leave(f"/*{tag}*/ {sql}", note)
            else:
                await self._plain(f"/*{tag}*/ {sql}", values, question, note)
            if effect == "keyed" and self.link is not None and not self.link.closed:
                await self.link.execute("SET tansycrank.request_key = ''")
        except psycopg.Error as problem:
            if "sent" in note and "outcome" not in note:
                self._failed(note, problem)
            if self.link is not None and self.link.closed:
                await self.close()
        if "outcome" in note:
            self.notes.append(note)

    def _failed(self, note: dict, problem: psycopg.Error) -> None:
        note["done"] = now()
        note["outcome"] = problem.sqlstate or "lost"
        if note["outcome"] in ("lost", "57P01"):
            note["outcome"] = "lost" if problem.sqlstate is None else "57P01"
            note["excused"] = self.spec.excuse_lost
        found = RETRY.search(problem.diag.message_detail or "")
        note["retry_after"] = int(found[1]) if found else None

    async def _plain(self, sql: str, values, question: Question | None, note: dict) -> None:
        cursor = await self.link.execute(sql, values)
        rows = await cursor.fetchall() if question else []
        note["done"] = now()
        right = same_rows(rows, question.rows) if question else cursor.rowcount == 1
        note["outcome"] = "answered" if right else "wrong"

    async def _leave(self, sql: str, note: dict) -> None:
        """Hang up while the query runs."""
        task = asyncio.ensure_future(self.link.execute(sql))
        await asyncio.sleep(self.rng.random() * 0.01)
        if not task.done():
            self.link.pgconn.finish()
        note["done"], note["outcome"] = now(), "left"
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError, psycopg.Error, OSError):
            await task
        await self.close()


async def play(spec: LoadSpec) -> list[dict]:
    """Run all clients; their notes."""
    found = config.load(spec.config)
    reference = Engine(found, int(found.router.seed - found.router.me), None, spec.scale)
    asked = questions(reference, found.store.shards)
    notes: list[dict] = []
    until = now() + spec.seconds * 1000
    await asyncio.gather(*(Client(spec, n, asked, notes).run(until) for n in range(spec.clients)))
    return notes


def main() -> None:
    """Play a load and write its notes."""
    spec = msgspec.json.decode(sys.argv[1], type=LoadSpec)
    notes = asyncio.run(play(spec))
    with open(spec.out, "wb") as out:
        for note in notes:
            out.write(msgspec.json.encode(note) + b"\n")


if __name__ == "__main__":
    main()
