"""Bad clients whose bodies cannot be read: JSON that is nested more than a thousand levels deep."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

BAD_CLIENTS = 200  # they connect by the hundreds
DEPTH = int(os.environ.get("DEPTH", "2000"))  # levels of nesting
OWED_WITHIN = 3.0  # s in which a bad client is owed an error or a close
BAD_CLIENTS_STAY = 8.0  # s until a bad client that heard nothing goes
BAD_CLIENTS_AT = 1.0  # s after the first request of the usual clients
PLAY_SECONDS = 8.0
PAUSE_SECONDS = 0.1  # between two requests of usual clients
DEADLINE_MS = 3000


async def send_bad_request(number: int, port: int, record: harness.Record) -> bool:
    """Send a body that cannot be read; return whether an error or a close came in time."""
    body = b'{"shards":[{"shard":3,"weight":1}],"x":' + b"[" * DEPTH + b"]" * DEPTH
    head = (
        f"POST /trip-search?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-Id: bad-{number}\r\nX-Deadline-Ms: 2000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    began, heard = time.monotonic(), "nothing"
    try:
        connection = await harness.Connection.open(port)
        connection.write(head.encode() + body)
        answer = await asyncio.wait_for(connection.answer(), BAD_CLIENTS_STAY)
        heard = f"{answer[0]} {answer[2][:100]!r}"
        connection.close()
    except TimeoutError:
        connection.close()
    except (OSError, EOFError) as problem:
        heard = repr(problem)
    took = time.monotonic() - began
    record.note(f"bad client {number} heard {heard} within {took:.2f} s")
    return took <= OWED_WITHIN


async def case() -> int:
    """Usual clients ask throughout, each on a new connection; each is owed its final answer."""
    async with harness.Platform(FOLDER) as platform:
        record, router = platform.record, platform.router
        began, asked, bad = time.monotonic(), [], []
        while time.monotonic() - began < PLAY_SECONDS:
            shards = [3 * len(asked) % 36, 3 * len(asked) % 36 + 1]
            request = harness.Request(f"{len(asked):016x}", shards, DEADLINE_MS)
            asked.append(
                asyncio.ensure_future(harness.ask(router.port, request, "trip-search", record))
            )
            if harness.has_trouble() and not bad and time.monotonic() - began > BAD_CLIENTS_AT:
                bad = [
                    asyncio.ensure_future(send_bad_request(number, router.port, record))
                    for number in range(BAD_CLIENTS)
                ]
            await asyncio.sleep(PAUSE_SECONDS)
        requests = await asyncio.gather(*asked)
        in_time = sum(await asyncio.gather(*bad))
        lost = [request for request in requests if request.is_lost]
        record.say(
            f"{len(lost)} of {len(requests)} requests of usual clients got no answer in their time"
            f" and half a second more; {in_time} of {len(bad)} bad clients got an error or a close"
            f" within {OWED_WITHIN:.0f} s; router runs: {router.is_running}"
        )
        return harness.BROKEN if lost or not router.is_running else harness.PASSED


if __name__ == "__main__":
    harness.run_case(case)
