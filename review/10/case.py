"""Case 10: an answer of a data node states a length that is too small."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from platform_site import HttpClient, Part, PlatformSite
from runner import Case, run

QUERIES = 40
SPOILT_EVERY = 10  # the part of each tenth query, whichever data node gets it
MISSING_BYTES = 3


async def play(case: Case) -> None:
    """Ask for one part at a time; some answers state a length that is too small."""
    first_runs: set[str] = set()

    def reply(part: Part, frame: bytes) -> bytes:
        number = int(part.text.rpartition("-")[2])
        is_first, _ = part.id not in first_runs, first_runs.add(part.id)
        if not case.has_trouble or number % SPOILT_EVERY or not is_first:
            return frame
        size = int.from_bytes(frame[:4], "little") - MISSING_BYTES
        case.record.note(f"node {part.node} states {MISSING_BYTES} bytes too few for {part.id}")
        return size.to_bytes(4, "little") + frame[4:]

    site = PlatformSite(case, reply)
    await site.start()
    client = HttpClient(case, site.port)
    for number in range(QUERIES):
        id, shard, text = f"q{number:04d}", number % 36, f"text-{number}"
        answer = await client.ask("trip-search", id, [shard], text)
        if answer.status == 0:
            case.broken(f"{id}: its connection was closed without an answer")
        if answer.status == 200:
            wanted = [{"shard": shard, "doc": Part(0, f"{id}.{shard}", shard, text).value}]
            if answer.body["hits"] != wanted:
                case.broken(f"{id} got {answer.body}, its value is {wanted[0]['doc']}")
        elif not case.has_trouble:
            raise RuntimeError(f"{id} was not served without trouble: {answer}")
    client.close()


run(Path(__file__).resolve().with_name("record.txt"), play)
