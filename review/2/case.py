"""Bad clients that send bodies of 60 MB: in chunks, with trailer fields that never end."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "6"))
BODY_BYTES = 60_000_000  # at most, of each bad client
FIELD_VALUE = b"v" * 2000
PIECE_BYTES = 65_536  # written at a time
BAD_CLIENTS_AT = 2.0  # s after the first request of the usual clients
PLAY_SECONDS = 8.0
PAUSE_SECONDS = 0.1  # between two requests of usual clients
CHECK_SECONDS = 0.01  # between two looks at the router's memory
OWED_WITHIN = 6.0  # s: a client with 60 MB to send is owed an error or a close in this time
HEAD = (
    b"POST /trip-search?obj=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\n"
    b"X-Request-Id: %016x\r\nX-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n"
)


def trailer_pieces() -> list[bytes]:
    """Return the trailer fields of a body, in pieces."""
    pieces, piece, size = [], bytearray(), 0
    number = 0
    while size < BODY_BYTES:
        line = b"%x:%b\r\n" % (number, FIELD_VALUE)
        number += 1
        size += len(line)
        piece += line
        if len(piece) >= PIECE_BYTES:
            pieces.append(bytes(piece))
            piece.clear()
    return pieces


def send_bad_request(number: int, port: int, pieces: list[bytes], record: harness.Record) -> None:
    """Send at full speed until an error, a close or the end of the body."""
    began, sent, heard = time.monotonic(), 0, b""
    with socket.create_connection((harness.LOOPBACK, port)) as connection:
        try:
            connection.settimeout(OWED_WITHIN)
            connection.sendall(HEAD % (0xBAD000 + number))
            for piece in pieces:
                connection.sendall(piece)
                sent += len(piece)
            heard = connection.recv(4096)
        except OSError as problem:
            heard = repr(problem).encode()
    took = time.monotonic() - began
    record.note(f"bad client {number}: {sent / 1e6:.1f} MB in {took:.2f} s, heard {heard[:80]!r}")


class MemoryLimit:
    """The platform's memory limit: over it the router is killed."""

    def __init__(self, platform: harness.Platform) -> None:
        self.platform, self.peak_mb, self.has_killed = platform, 0.0, False

    async def watch(self) -> None:
        """Look at the router's memory until it is over the limit or has ended."""
        router = self.platform.router
        while router.is_running:
            used_mb = router.memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > harness.MEMORY_MB:
                self.has_killed = True
                self.platform.record.say(
                    f"the router uses {used_mb:.0f} MB of {harness.MEMORY_MB}: it is killed"
                )
                router.kill()
            await asyncio.sleep(CHECK_SECONDS)


async def case() -> int:
    """Usual clients ask throughout; the router has to stay under its memory limit."""
    pieces = trailer_pieces()
    async with harness.Platform(FOLDER) as platform:
        record, router, limit = platform.record, platform.router, MemoryLimit(platform)
        watching = asyncio.ensure_future(limit.watch())
        began, asked, bad = time.monotonic(), [], []
        while time.monotonic() - began < PLAY_SECONDS:
            request = harness.Request(f"{len(asked):016x}", [3 * len(asked) % 36], 4000)
            asked.append(
                asyncio.ensure_future(harness.ask(router.port, request, "book-cab", record))
            )
            if harness.has_trouble() and not bad and time.monotonic() - began > BAD_CLIENTS_AT:
                record.note(
                    f"{BAD_CLIENTS} bad clients begin; router at {router.memory_mb():.0f} MB"
                )
                bad = [
                    asyncio.ensure_future(
                        asyncio.to_thread(send_bad_request, number, router.port, pieces, record)
                    )
                    for number in range(BAD_CLIENTS)
                ]
            await asyncio.sleep(PAUSE_SECONDS)
        requests = await asyncio.gather(*asked)
        await asyncio.gather(*bad)
        lost = sum(request.is_lost for request in requests)
        ended = not router.is_running
        record.say(
            f"peak {limit.peak_mb:.0f} MB of {harness.MEMORY_MB}; router ended: {ended};"
            f" {lost} of {len(requests)} requests without an answer"
        )
        watching.cancel()
        return harness.BROKEN if ended or limit.has_killed else harness.PASSED


if __name__ == "__main__":
    harness.run_case(case)
