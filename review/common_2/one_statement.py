"""What the cases of one client's statement share: usual clients beside it, and the check.

Usual clients ask for one trip each, one statement after another. One more client sends a single
statement. The rule is checked for the usual clients alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from postgres_client import Answer, PostgresClient
from runner import Case
from sql_site import ANSWER_SLACK_SECONDS, GIVE_UP_SECONDS, SqlSite

USUAL_CLIENTS = 6
ANSWERS_BEFORE = 100  # of the usual clients, before the statement
START_SECONDS = 30.0  # in which they have to come
PAUSE_SECONDS = 0.1  # of a usual client between an answer and its next statement
WATCHED_SECONDS = 20.0  # after the statement


class UsualClient:
    """A client with one statement after another; `waiting_since` is set while one is open."""

    def __init__(self, case: Case, number: int) -> None:
        self.client = PostgresClient(f"console-{number}", case.record)
        self.waiting_since: float | None = None
        self.answered = 0
        self.lost: list[str] = []
        self._number = number

    async def work(self, port: int) -> None:
        """Ask until cancelled, or until the session has ended."""
        await self.client.connect(port)
        try:
            await self._ask_on()
        finally:
            self.client.close()

    async def _ask_on(self) -> None:
        now = asyncio.get_running_loop().time
        trip = 1000 * self._number
        while True:
            trip += 1
            self.waiting_since = sent_at = now()
            answer = await self.client.ask(f"SELECT id, note FROM trips WHERE id = {trip}")
            self.waiting_since = None
            took = now() - sent_at
            if answer.final.startswith("connection closed"):
                self.lost.append(f"{answer.final} without an answer, after {took:.1f} s")
            if "connection closed" in answer.final:
                return
            if took > GIVE_UP_SECONDS + ANSWER_SLACK_SECONDS:
                self.lost.append(f"final answer after {took:.1f} s: {answer.final}")
            if answer.final.startswith("answered") and answer.rows[0][0] != str(trip):
                self.lost.append(f"the row of trip {answer.rows[0][0]} for trip {trip}")
            self.answered += 1
            await asyncio.sleep(PAUSE_SECONDS)


async def play_statement(case: Case, statement: str, shown: str) -> None:
    """One client asks this beside the usual clients; the record has `shown` of it."""
    case.record.note(f"the statement has {len(statement)} characters")
    await play_beside_usual(case, lambda client: client.ask(statement, shown))


async def play_beside_usual(
    case: Case, act: Callable[[PostgresClient], Coroutine[None, None, Answer]]
) -> None:
    """Let usual clients work and one more client act, and check the usual clients' answers."""
    site = SqlSite(case)
    await site.start()
    usual = [UsualClient(case, number) for number in range(1, USUAL_CLIENTS + 1)]
    for one in usual:
        case.background(one.work(site.port))
    await asyncio.wait_for(_until_answered(usual), START_SECONDS)
    if any(one.lost or not one.answered for one in usual):
        raise RuntimeError("usual clients are not answered before the statement is sent")
    other = PostgresClient("one-client", case.record)
    await other.connect(site.port)
    now = asyncio.get_running_loop().time
    asked = asyncio.ensure_future(act(other))
    await asyncio.wait([asked], timeout=WATCHED_SECONDS)
    await asyncio.sleep(WATCHED_SECONDS / 4)
    if site.router.returncode is not None:
        case.broken(f"the router has ended, exit status {site.router.returncode}")
    bound = GIVE_UP_SECONDS + ANSWER_SLACK_SECONDS
    for one in usual:
        if one.waiting_since is not None and now() - one.waiting_since > bound:
            one.lost.append(f"no final answer {now() - one.waiting_since:.1f} s after the send")
        for problem in one.lost:
            case.broken(f"{one.client.name}: {problem}")
    case.record.note(f"usual clients were answered {sum(one.answered for one in usual)} times")
    asked.cancel()
    other.close()


async def _until_answered(usual: list[UsualClient]) -> None:
    while sum(one.answered for one in usual) < ANSWERS_BEFORE:
        await asyncio.sleep(0.05)
