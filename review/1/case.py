"""An answer whose length is a few bytes too small, while other parts wait on its connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

REQUESTS = 40
PAUSE_SECONDS = 0.25  # between two requests
SPOILT_EVERY = 10  # one call of several parts in so many has a spoilt answer
MISSING_BYTES = 3  # by which the length of a spoilt answer is too small

calls_of_several_parts = 0


async def spoil_some(
    node: harness.DataNode, writer: asyncio.StreamWriter, parts: list[harness.Part]
) -> bool:
    """Answer a call; now and then with a length that does not fit, and then no more."""
    global calls_of_several_parts
    calls_of_several_parts += len(parts) > 1
    is_spoilt = len(parts) > 1 and calls_of_several_parts % SPOILT_EVERY == 1
    if not (is_spoilt and harness.has_trouble()):
        return await harness.answer_all(node, writer, parts)
    await asyncio.sleep(harness.WORK_SECONDS)
    writer.write(harness.frame(harness.answer_body(parts[0]), MISSING_BYTES))
    node.record.note(
        f"node {node.number} answers {parts[0].id}: {harness.value_of(parts[0].id)}, with a length"
        f" {MISSING_BYTES} too small; {' '.join(p.id for p in parts[1:])} still wait"
    )
    return False


async def case() -> int:
    """Ask for several shards each time; each value has to be the one that a data node made."""
    async with harness.Platform(FOLDER, spoil_some) as platform:
        record, asked = platform.record, []
        for number in range(REQUESTS):
            first = 3 * number % 33
            request = harness.Request(f"{number:016x}", [first, first + 1, first + 2], 4000)
            asked.append(
                asyncio.ensure_future(
                    harness.ask(platform.router.port, request, "trip-search", record)
                )
            )
            await asyncio.sleep(PAUSE_SECONDS)
        requests = await asyncio.gather(*asked)
        wrong = [request for request in requests if request.wrong_values]
        for request in wrong:
            record.say(f"WRONG: {request.id} was served {'; '.join(request.wrong_values)}")
        statuses = sorted({request.status for request in requests})
        counts = {status: sum(r.status == status for r in requests) for status in statuses}
        record.say(f"{len(requests)} requests, answers by status {counts}; {len(wrong)} wrong")
        if not all(request.status == 200 for request in requests) and not harness.has_trouble():
            return harness.NOT_RUN
        return harness.BROKEN if wrong else harness.PASSED


if __name__ == "__main__":
    harness.run_case(case)
