"""Buffers for the rows of shard requests, as blocks of complete DataRow frames.

A `ShardRowStream` buffers rows between a node connection, which adds blocks as they arrive, and a
merge, which takes them. The governor decides whether rows are kept in memory, spilled to disk or
left at the data node by backpressure; `QueryMemory` applies its decisions for one query,
`MemoryReservations` for all queries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from tansycrank.merge import governor as gov
from tansycrank.merge.spill import Run, SpillSpace
from tansycrank.postgres.errors import OUT_OF_MEMORY, PgError
from tansycrank.postgres.messages import INT32, Field

SPILL_BLOCK_BYTES = 256 * 1024  # target size of a block on disk
# growth after which a query reports its memory to the governor again
REPORT_INTERVAL_BYTES = 64 * 1024


def frames_of(block: bytes) -> list[bytes]:
    """Split a block into its DataRow frames."""
    frames, position, size, unpack = [], 0, len(block), INT32.unpack_from
    while position < size:
        end = position + 1 + unpack(block, position + 1)[0]
        frames.append(block[position:end])
        position = end
    return frames


class ShardRowStream:
    """Rows of one attempt of a shard request. `state`: open, complete, failed, or closed."""

    def __init__(self, memory: QueryMemory, shard: int = 0) -> None:
        self.memory, self.shard = memory, shard
        self.fields: tuple[Field, ...] | None = None
        self.tag, self.state = "", "open"
        self.error: PgError | None = None
        self.rows = self.size = self.buffered_bytes = 0
        self.blocks: deque[bytes] = deque()
        self.run: Run | None = None
        self.committed = False  # its rows may be sent to the client before it is complete
        # set by the connection: stops (True) or resumes (False) reading from the data node
        self.pause_reading: Callable[[bool], None] = lambda pause: None
        self.on_data: Callable[[], None] = lambda: None
        self.on_close: Callable[[], None] = lambda: None
        self.is_paused = False  # whether its node's rows are not read, since it holds enough
        # ms: when it got rows, or began to read them again, most recently
        self.last_progress_ms = memory.memory_reservations.now()
        memory.streams.append(self)

    # --- for the node connection ----------------------------------------------------------------

    def add(self, block: bytes, rows: int) -> None:
        """Add a block with `rows` rows. Raises PgError where they can't be buffered."""
        if self.state != "open":
            return
        self.last_progress_ms = self.memory.memory_reservations.now()
        self.blocks.append(block)
        self.rows += rows
        self.size += len(block)
        self.buffered_bytes += len(block)
        self.memory.record_buffered(self, len(block))
        self.on_data()

    def finish(self, error: PgError | None = None) -> None:
        """Mark the end of the rows: complete, or failed with `error`."""
        if self.state == "open":
            self.state, self.error = ("failed", error) if error is not None else ("complete", None)
            self.on_data()

    # --- for the merge ---------------------------------------------------------------

    @property
    def empty(self) -> bool:
        """Whether no block is available now."""
        return not self.blocks and (self.run is None or not self.run.left)

    @property
    def done(self) -> bool:
        """Whether all rows have been taken."""
        return self.state == "complete" and self.empty

    def take(self) -> bytes | None:
        """The next block, None if none is available. Raises the error of a failed shard request."""
        if self.state == "failed":
            raise self.error
        if self.run is not None and self.run.left:
            return self.run.read()
        if not self.blocks:
            return None
        block = self.blocks.popleft()
        self.buffered_bytes -= len(block)
        self.memory.release_buffered(len(block))
        if self.is_paused and not self.memory.over_limit(self):
            self.set_paused(False)
        return block

    def set_paused(self, pause: bool) -> None:
        """Pause or resume reading from the data node; TCP flow control makes the node wait."""
        if pause != self.is_paused and self.state == "open":
            self.is_paused = pause
            self.last_progress_ms = self.memory.memory_reservations.now()
            self.pause_reading(pause)

    def spill(self) -> None:
        """Write all buffered rows to disk, after those that are there already."""
        if not self.blocks:
            return
        if self.run is None:
            self.run = self.memory.memory_reservations.space.create_run()
        spill_blocks, size = [], 0
        while self.blocks:
            block = self.blocks.popleft()
            self.buffered_bytes -= len(block)
            self.memory.release_buffered(len(block))
            spill_blocks.append(block)
            size += len(block)
            if size >= SPILL_BLOCK_BYTES or not self.blocks:
                self.run.append(b"".join(spill_blocks))
                self.memory.spilled += size
                spill_blocks, size = [], 0

    def close(self) -> None:
        """Discard all rows; cancels the attempt if it is still running."""
        if self.state == "closed":
            return
        previous_state, self.state = self.state, "closed"
        self.memory.release_buffered(self.buffered_bytes)
        self.blocks.clear()
        self.buffered_bytes = 0
        if self.run is not None:
            self.run.close()
        if self in self.memory.streams:
            self.memory.streams.remove(self)
        if previous_state == "open":
            self.on_close()


class QueryMemory:
    """Memory of one query, kept within its limit. `mode`: small, stream, spill or wait."""

    def __init__(self, memory_reservations: MemoryReservations, number: int, streams: bool) -> None:
        self.memory_reservations, self.number = memory_reservations, number
        self.streams: list[ShardRowStream] = []
        self.mode, self.limit, self.buffered_bytes, self.peak, self.spilled = (
            "small",
            gov.SMALL_QUERY_BYTES,
            0,
            0,
            0,
        )
        self.operator_bytes = 0  # hash tables, runs being sorted, and output not yet sent
        self.rejection: PgError | None = None
        self.on_streaming: Callable[[ShardRowStream], None] = lambda stream: None
        self.on_rejected: Callable[[PgError], None] = lambda problem: None
        self.closed = False
        self._reported = 0
        memory_reservations.handle_event(gov.QueryStarted(number, streams))

    def record_buffered(self, stream: ShardRowStream, size: int) -> None:
        """Count `size` bytes of new rows; report to the governor and apply the mode."""
        self.buffered_bytes += size
        self.peak = max(self.peak, self.buffered_bytes + self.operator_bytes)
        self.memory_reservations.total += size
        self.memory_reservations.peak = max(
            self.memory_reservations.peak, self.memory_reservations.total
        )
        if self.buffered_bytes + self.operator_bytes - self._reported >= REPORT_INTERVAL_BYTES:
            self._reported = self.buffered_bytes + self.operator_bytes
            self.memory_reservations.handle_event(gov.MemoryUsed(self.number, self._reported))
        if self.memory_reservations.total > self.memory_reservations.governor.process:
            self.memory_reservations.handle_event(gov.LimitExceeded(self.number))
        self.apply_mode(stream)

    def apply_mode(self, stream: ShardRowStream | None = None) -> None:
        """Apply the mode: start streaming, pause or resume nodes, or spill the largest buffers."""
        for each in [stream] if stream is not None else list(self.streams):
            if (
                self.mode == "stream"
                and each.buffered_bytes
                and not each.committed
                and each.state in ("open", "complete")
            ):
                self.on_streaming(each)
            if self.mode in ("stream", "wait") and self.over_limit(each):
                each.set_paused(True)
            elif self.mode != "wait" and not self.over_limit(each):
                each.set_paused(False)
        if self.mode == "spill":
            while self.buffered_bytes > self.buffer_limit:
                largest = max(self.streams, key=lambda s: s.buffered_bytes, default=None)
                if largest is None or not largest.buffered_bytes:
                    break
                largest.spill()

    @property
    def buffer_limit(self) -> int:
        """Bytes of rows it may buffer; the rest of its limit is for the operators."""
        return int(self.limit * gov.BUFFERED_ROWS_FRACTION)

    def over_limit(self, stream: ShardRowStream) -> bool:
        """Whether a stream buffers more than it may, so that its node must wait."""
        if self.mode == "wait":
            return True
        return self.mode == "stream" and stream.buffered_bytes > self.buffer_limit // max(
            len(self.streams), 1
        )

    def release_buffered(self, size: int) -> None:
        """Count `size` bytes of rows taken, spilled or discarded."""
        self.buffered_bytes -= size
        self.memory_reservations.total -= size
        self._reported = min(self._reported, self.buffered_bytes + self.operator_bytes)

    def record_operator_bytes(self, size: int) -> None:
        """Count `size` bytes allocated by operators (negative: released)."""
        self.operator_bytes += size
        self.memory_reservations.total += size
        if (
            not self.closed
            and self.buffered_bytes + self.operator_bytes - self._reported >= REPORT_INTERVAL_BYTES
        ):
            self._reported = self.buffered_bytes + self.operator_bytes
            self.memory_reservations.handle_event(gov.MemoryUsed(self.number, self._reported))
        self.peak = max(self.peak, self.buffered_bytes + self.operator_bytes)
        self.memory_reservations.peak = max(
            self.memory_reservations.peak, self.memory_reservations.total
        )

    @property
    def operator_limit(self) -> int:
        """Bytes that operators may allocate before they spill."""
        return max(int(self.limit * (1 - gov.BUFFERED_ROWS_FRACTION)), gov.SMALL_QUERY_BYTES)

    def close(self) -> None:
        """Release everything when the query has ended."""
        if self.closed:
            return
        self.closed = True
        for stream in list(self.streams):
            stream.close()
        self.record_operator_bytes(-self.operator_bytes)
        self.memory_reservations.remove(self)


class MemoryReservations:
    """Memory of all queries: passes events to the governor and applies its actions."""

    def __init__(
        self, process: int, query: int, space: SpillSpace, now: Callable[[], float]
    ) -> None:
        self.governor, self.space, self.now = gov.Governor(process, query), space, now
        self.total = self.peak = 0
        self.queries: dict[int, QueryMemory] = {}
        self._last_query_number = 0

    def open(self, streams: bool) -> QueryMemory:
        """Register a new query. `streams`: its rows may be sent before its shards are complete."""
        self._last_query_number += 1
        memory = self.queries[self._last_query_number] = QueryMemory(
            self, self._last_query_number, streams
        )
        return memory

    def remove(self, memory: QueryMemory) -> None:
        """Unregister a query that has ended."""
        if self.queries.pop(memory.number, None) is not None:
            self.handle_event(gov.QueryEnded(memory.number))

    def handle_event(self, event: object) -> None:
        """Pass one event to the governor and apply the resulting actions."""
        for action in self.governor.step(self.now(), [event]):
            memory = self.queries.get(action.query)
            if memory is None or memory.rejection is not None:
                continue
            match action:
                case gov.SetLimit(_, limit):
                    memory.limit = limit
                    if memory.mode != "small":
                        memory.apply_mode()
                case gov.Stream():
                    memory.mode = "stream"
                    memory.apply_mode()
                case gov.Spill():
                    memory.mode = "spill"
                case gov.PauseReads():
                    memory.mode = "wait"
                    memory.apply_mode()
                case gov.Reject(_, retry_after_ms):
                    memory.rejection = PgError(
                        OUT_OF_MEMORY,
                        "no memory for the rows of this query now",
                        f"retry_after_ms={retry_after_ms:.0f}",
                        "come back after the time in the detail field; "
                        "the bound is [merge] process_bytes",
                    )
                    memory.on_rejected(memory.rejection)
