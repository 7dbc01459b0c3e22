"""Case 6: a data node goes silent while it streams a large answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from postgres_client import PostgresClient
from runner import Case, run
from sql_site import ANSWER_SLACK_SECONDS, GIVE_UP_SECONDS, SqlSite

STATEMENT = "SELECT id, note FROM history WHERE id = 7"
BYTES_BEFORE_SILENCE = 1_000_000  # of the answer, which has some 3.7 MB
SILENT_SECONDS = 20.0  # of 8.3 to 30 s
NOTICE_SECONDS = 10.0  # of 7.6 to 13 s, until discovery takes a silent node for gone
STREAM_SECONDS = 30.0


async def play(case: Case) -> None:
    """Ask for a large answer; stop the node that streams it; wait for the final answer."""
    site = SqlSite(case)
    await site.start()
    client = PostgresClient("console", case.record, keeps_rows=False)
    await client.connect(site.port)
    now = asyncio.get_running_loop().time
    sent_at = now()
    asked = asyncio.ensure_future(client.ask(STATEMENT))
    silenced = None
    while not asked.done():
        await asyncio.sleep(0.005)
        if now() - sent_at > STREAM_SECONDS:
            break
        if case.has_trouble and client.answer.byte_count >= BYTES_BEFORE_SILENCE:
            silenced = streaming_node(site)
            if silenced is not None:
                break
    if silenced is not None:
        silent_at = now()
        site.nodes[silenced].process.send_signal(signal.SIGSTOP)
        case.record.note(f"node {silenced} goes silent, after {client.answer.byte_count} bytes")
        case.background(tell_gone(site, silenced))
        await asyncio.wait([asked], timeout=SILENT_SECONDS)
        waited = now() - client.last_received_at
        case.record.note(f"{waited:.1f} s after the last byte; answered: {asked.done()}")
        bound = GIVE_UP_SECONDS + ANSWER_SLACK_SECONDS
        if not asked.done() and waited > bound and now() - sent_at > bound:
            case.broken(
                f"no final answer {now() - sent_at:.1f} s after the query was sent, which is"
                f" given up at {GIVE_UP_SECONDS} s, and {waited:.1f} s after its last byte"
            )
        case.record.note(f"node {silenced} comes back, after {now() - silent_at:.1f} s")
        await site.restart_node(silenced)
        await asyncio.wait([asked], timeout=10.0)
    if not asked.done():
        asked.cancel()
        if silenced is None:
            case.broken(f"no final answer within {STREAM_SECONDS} s")
        return
    answer = asked.result()
    if silenced is None and case.has_trouble:
        raise RuntimeError("the answer was over before its node could go silent")
    if silenced is None and not answer.final.startswith("answered"):
        raise RuntimeError(f"not answered without trouble: {answer.final}")


def streaming_node(site: SqlSite) -> int | None:
    """The only node whose statement on the history has begun and not ended; None beside a hedge."""
    running = {}
    for event in site.events:
        key = event["node"], event.get("session")
        if event["event"] == "statement" and "history" in event["sql"]:
            running[key] = event["node"]
        elif event["event"] in ("done", "cancelled"):
            running.pop(key, None)
    nodes = set(running.values())
    return nodes.pop() if len(nodes) == 1 else None


async def tell_gone(site: SqlSite, node: int) -> None:
    """Discovery takes a silent node for gone after some time."""
    await asyncio.sleep(NOTICE_SECONDS)
    site.feed.tell(site.entry(node, "gone"))


run(Path(__file__).resolve().with_name("record.txt"), play)
