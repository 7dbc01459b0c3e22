"""Usual clients: `python -m tansycrank.testbed.neighbours.usual SPEC`, SPEC in JSON.

Some keep their connections, others open one for each request. A request that crosses the close of a
kept connection is sent once more on a new one. The samples are printed as JSON at the end; times
are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

import msgspec

from tansycrank.testbed.neighbours.hostile import request

DEADLINE_MS = 900  # as `request` states it
LATE_SECONDS = 0.5  # after its deadline from which on an answer counts as lost
KEPT_CLIENTS = 20
KEPT_THINK_SECONDS = 0.1  # mean pause of a client that keeps its connection
NEW_PER_SECOND = 18.0  # requests on connections of their own
CROSSING_SECONDS = 0.02  # in which a client learns that its connection had ended before it sent


class UsualSpec(msgspec.Struct):
    """How long they ask, and with which name their ids begin."""

    port: int
    seconds: float
    name: str = "usual"


class Sample(msgspec.Struct):
    """One request: `status` is 0 if its connection ended or no answer came in time."""

    sent: float
    seconds: float
    status: int
    is_kept: bool
    detail: str = ""


class UsualClients:
    """All usual clients of one process."""

    def __init__(self, spec: UsualSpec) -> None:
        self._spec, self._rng = spec, random.Random(spec.name)
        self._until = time.monotonic() + spec.seconds
        self._number = 0
        self.samples: list[Sample] = []

    async def run(self) -> None:
        """Ask until the time is over."""
        kept = [self._keep() for _ in range(KEPT_CLIENTS)]
        await asyncio.gather(self._open_new(), *kept)

    @property
    def _is_over(self) -> bool:
        return time.monotonic() >= self._until

    async def _keep(self) -> None:
        streams = None
        while not self._is_over:
            await asyncio.sleep(self._rng.expovariate(1 / KEPT_THINK_SECONDS))
            if streams is not None and streams[0].at_eof():
                streams[1].close()
                streams = None
            is_kept = streams is not None
            streams = streams or await self._connect()
            if streams is not None and not await self._ask(*streams, is_kept):
                streams[1].close()
                streams = None
                if is_kept and self._has_crossed():
                    await self._ask_once()

    def _has_crossed(self) -> bool:
        """Whether the last request met a connection that had ended; if so, it is not counted."""
        last = self.samples[-1]
        if last.status or last.seconds > CROSSING_SECONDS:
            return False
        self.samples.pop()
        return True

    async def _open_new(self) -> None:
        tasks = []
        while not self._is_over:
            await asyncio.sleep(self._rng.expovariate(NEW_PER_SECOND))
            tasks.append(asyncio.ensure_future(self._ask_once()))
        await asyncio.gather(*tasks)

    async def _ask_once(self) -> None:
        if streams := await self._connect():
            await self._ask(*streams, is_kept=False)
            streams[1].close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            return await asyncio.open_connection("127.0.0.1", self._spec.port)
        except OSError:
            return None

    async def _ask(self, reader, writer, is_kept: bool) -> bool:
        """Send one request and record its answer; whether the connection goes on."""
        self._number += 1
        data = request(f"{self._spec.name}-{self._number}")
        sent = time.monotonic()
        status, goes_on, detail = 0, False, ""
        try:
            writer.write(data)
            limit = DEADLINE_MS / 1000 + LATE_SECONDS
            status, goes_on = await asyncio.wait_for(self._read_answer(reader), limit)
        except (OSError, EOFError, TimeoutError) as problem:
            detail = repr(problem)
        seconds = time.monotonic() - sent
        self.samples.append(Sample(sent, seconds, status, is_kept, detail))
        return goes_on

    @staticmethod
    async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        return int(head.split(b" ", 2)[1]), fields.get(b"connection") != b"close"


def main() -> None:
    """Ask, then print the samples."""
    clients = UsualClients(msgspec.json.decode(sys.argv[1], type=UsualSpec))
    asyncio.run(clients.run())
    sys.stdout.buffer.write(msgspec.json.encode(clients.samples) + b"\n")


if __name__ == "__main__":
    main()
