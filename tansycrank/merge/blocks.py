"""Rows of parts as blocks of whole DataRow frames: in memory, on disk, or held back at the node.

`ShardRowStream` is the line between a link, which adds blocks as they come, and a merge, which
takes them. What is held where is the governor's to say; `Memory` carries it out for one query,
`MemoryReservations` for all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from tansycrank.merge import governor as gov
from tansycrank.merge.spill import Run, SpillSpace
from tansycrank.postgres.errors import OUT_OF_MEMORY, PgError
from tansycrank.postgres.messages import INT32, Field

PIECE = 256 * 1024  # bytes of a block on disk
REPORT = 64 * 1024  # bytes between two reports of a query to the governor


def frames_of(block: bytes) -> list[bytes]:
    """The DataRow frames of a block."""
    frames, at, size, unpack = [], 0, len(block), INT32.unpack_from
    while at < size:
        end = at + 1 + unpack(block, at + 1)[0]
        frames.append(block[at:end])
        at = end
    return frames


class ShardRowStream:
    """Rows of one attempt of a part. `state`: open, whole, failed, or closed."""

    def __init__(self, memory: Memory, shard: int = 0) -> None:
        self.memory, self.shard = memory, shard
        self.fields: tuple[Field, ...] | None = None
        self.tag, self.state = "", "open"
        self.error: PgError | None = None
        self.rows = self.size = self.held = 0
        self.blocks: deque[bytes] = deque()
        self.run: Run | None = None
        self.committed = False  # its rows may leave before it is whole
        self.hold: Callable[[bool], None] = lambda stop: None  # the link: stop or go on reading
        self.on_data: Callable[[], None] = lambda: None
        self.on_close: Callable[[], None] = lambda: None
        self._held_back = False
        memory.streams.append(self)

    # --- the link's side ----------------------------------------------------------------

    def add(self, block: bytes, rows: int) -> None:
        """Rows have come. Raises PgError where they can't be held."""
        if self.state != "open":
            return
        self.blocks.append(block)
        self.rows += rows
        self.size += len(block)
        self.held += len(block)
        self.memory.grew(self, len(block))
        self.on_data()

    def finish(self, error: PgError | None = None) -> None:
        """No more rows come: the part is whole, or it failed."""
        if self.state == "open":
            self.state, self.error = ("failed", error) if error is not None else ("whole", None)
            self.on_data()

    # --- the merge's side ---------------------------------------------------------------

    @property
    def empty(self) -> bool:
        """Whether nothing can be taken now."""
        return not self.blocks and (self.run is None or not self.run.left)

    @property
    def done(self) -> bool:
        """Whether all rows have been taken."""
        return self.state == "whole" and self.empty

    def take(self) -> bytes | None:
        """The next block, None while none is there. Raises the error of a part that failed."""
        if self.state == "failed":
            raise self.error
        if self.run is not None and self.run.left:
            return self.run.read()
        if not self.blocks:
            return None
        block = self.blocks.popleft()
        self.held -= len(block)
        self.memory.shrank(len(block))
        if self._held_back and not self.memory.over(self):
            self.set_paused(False)
        return block

    def set_paused(self, stop: bool) -> None:
        """Let the node wait, through TCP, or go on."""
        if stop != self._held_back and self.state == "open":
            self._held_back = stop
            self.hold(stop)

    def spill(self) -> None:
        """All rows held go to disk, behind what is there already."""
        if not self.blocks:
            return
        if self.run is None:
            self.run = self.memory.memory_reservations.space.run()
        pieces, size = [], 0
        while self.blocks:
            block = self.blocks.popleft()
            self.held -= len(block)
            self.memory.shrank(len(block))
            pieces.append(block)
            size += len(block)
            if size >= PIECE or not self.blocks:
                self.run.append(b"".join(pieces))
                self.memory.spilled += size
                pieces, size = [], 0

    def close(self) -> None:
        """Nobody wants its rows any more."""
        if self.state == "closed":
            return
        was, self.state = self.state, "closed"
        self.memory.shrank(self.held)
        self.blocks.clear()
        self.held = 0
        if self.run is not None:
            self.run.close()
        if self in self.memory.streams:
            self.memory.streams.remove(self)
        if was == "open":
            self.on_close()


class Memory:
    """What one query holds, under its share. `mode`: small, stream, spill or wait."""

    def __init__(self, memory_reservations: MemoryReservations, number: int, streams: bool) -> None:
        self.memory_reservations, self.number = memory_reservations, number
        self.streams: list[ShardRowStream] = []
        self.mode, self.limit, self.held, self.peak, self.spilled = "small", gov.SMALL, 0, 0, 0
        self.tables = 0  # bytes of hash tables and runs being sorted
        self.refusal: PgError | None = None
        self.on_began: Callable[[ShardRowStream], None] = lambda stream: None
        self.on_refused: Callable[[PgError], None] = lambda problem: None
        self.closed = False
        self._reported = 0
        memory_reservations.play(gov.Opened(number, streams))

    def grew(self, stream: ShardRowStream, size: int) -> None:
        """Bytes have come in; see what that means."""
        self.held += size
        self.peak = max(self.peak, self.held + self.tables)
        self.memory_reservations.total += size
        self.memory_reservations.peak = max(
            self.memory_reservations.peak, self.memory_reservations.total
        )
        if self.held + self.tables - self._reported >= REPORT:
            self._reported = self.held + self.tables
            self.memory_reservations.play(gov.Holds(self.number, self._reported))
        if self.memory_reservations.total > self.memory_reservations.governor.process:
            self.memory_reservations.play(gov.Full(self.number))
        self.settle(stream)

    def settle(self, stream: ShardRowStream | None = None) -> None:
        """Carry the mode out: commit, hold back, or spill."""
        for one in [stream] if stream is not None else list(self.streams):
            if (
                self.mode == "stream"
                and one.held
                and not one.committed
                and one.state in ("open", "whole")
            ):
                self.on_began(one)
            if self.mode in ("stream", "wait") and self.over(one):
                one.set_paused(True)
            elif self.mode != "wait" and not self.over(one):
                one.set_paused(False)
        if self.mode == "spill":
            while self.held > self.working:
                largest = max(self.streams, key=lambda s: s.held, default=None)
                if largest is None or not largest.held:
                    break
                largest.spill()

    @property
    def working(self) -> int:
        """Bytes of rows it may hold; the rest of its share is for what the merge builds."""
        return int(self.limit * gov.WORKING)

    def over(self, stream: ShardRowStream) -> bool:
        """Whether a part is ahead of what it may hold."""
        if self.mode == "wait":
            return True
        return self.mode == "stream" and stream.held > self.working // max(len(self.streams), 1)

    def shrank(self, size: int) -> None:
        """Bytes have gone."""
        self.held -= size
        self.memory_reservations.total -= size
        self._reported = min(self._reported, self.held + self.tables)

    def table(self, size: int) -> None:
        """Bytes that the merge builds (negative: gives back)."""
        self.tables += size
        self.memory_reservations.total += size
        if not self.closed and self.held + self.tables - self._reported >= REPORT:
            self._reported = self.held + self.tables
            self.memory_reservations.play(gov.Holds(self.number, self._reported))
        self.peak = max(self.peak, self.held + self.tables)
        self.memory_reservations.peak = max(
            self.memory_reservations.peak, self.memory_reservations.total
        )

    @property
    def room(self) -> int:
        """Bytes the merge may build before it spills."""
        return max(int(self.limit * (1 - gov.WORKING)), gov.SMALL)

    def close(self) -> None:
        """The query has ended."""
        if self.closed:
            return
        self.closed = True
        for stream in list(self.streams):
            stream.close()
        self.table(-self.tables)
        self.memory_reservations.forget(self)


class MemoryReservations:
    """All queries' memory: hears the governor and carries out what it says."""

    def __init__(
        self, process: int, query: int, space: SpillSpace, now: Callable[[], float]
    ) -> None:
        self.governor, self.space, self.now = gov.Governor(process, query), space, now
        self.total = self.peak = 0
        self.queries: dict[int, Memory] = {}
        self._numbers = 0

    def open(self, streams: bool) -> Memory:
        """A query begins."""
        self._numbers += 1
        memory = self.queries[self._numbers] = Memory(self, self._numbers, streams)
        return memory

    def forget(self, memory: Memory) -> None:
        """A query has ended."""
        if self.queries.pop(memory.number, None) is not None:
            self.play(gov.Closed(memory.number))

    def play(self, event: object) -> None:
        """One event, and what follows."""
        for action in self.governor.step(self.now(), [event]):
            memory = self.queries.get(action.query)
            if memory is None or memory.refusal is not None:
                continue
            match action:
                case gov.Share(_, limit):
                    memory.limit = limit
                    if memory.mode != "small":
                        memory.settle()
                case gov.Stream():
                    memory.mode = "stream"
                    memory.settle()
                case gov.Spill():
                    memory.mode = "spill"
                case gov.Wait():
                    memory.mode = "wait"
                    memory.settle()
                case gov.Refuse(_, after):
                    memory.refusal = PgError(
                        OUT_OF_MEMORY,
                        "no memory for the rows of this query now",
                        f"retry_after_ms={after:.0f}",
                        "come back after the time in the detail field; "
                        "the bound is [merge] process_bytes",
                    )
                    memory.on_refused(memory.refusal)
