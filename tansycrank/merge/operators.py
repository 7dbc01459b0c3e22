"""Pull-based merge operators over row streams, with bounded memory and without blocking.

An operator is a generator. It yields blocks `(bytes of DataRow frames, number of rows or -1)`,
`CONTINUE` to let other tasks run although it has more to do, or None if it needs more input. Data
beyond its memory limit is spilled to runs on disk. Rows with equal keys are ordered by shard, then
by arrival.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from itertools import pairwise
from operator import itemgetter

import xxhash

from tansycrank.merge.blocks import SPILL_BLOCK_BYTES, QueryMemory, ShardRowStream, frames_of
from tansycrank.merge.spill import Run
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import HEADER, INT16, INT32, Field, read_row

Block = tuple[bytes, int]
BlockIterator = Iterator[Block | None]
CONTINUE: Block = (b"", 0)
OUTPUT_BLOCK_BYTES = 64 * 1024  # target size of an output block
ROWS_PER_STEP = 128  # rows processed before an operator yields, or fewer of many columns
VALUES_PER_STEP = 4096  # in these rows
COLUMN_COUNT_AT = 5  # offset in a DataRow frame
SORT_BATCH_ROWS = 4096  # rows per in-memory sort
PARTITIONS = 32  # spill files of a hash table that exceeds its limit
MAX_PARTITION_DEPTH = 3  # how often a partition may be partitioned again
MERGE_FAN_IN = 64  # runs merged at once
ROW_OVERHEAD_BYTES = 160  # Python objects per row beside its frame, with its key


def hidden_column_remover(hidden: int, width: int) -> Callable[[bytes], bytes] | None:
    """A function that removes the trailing hidden columns of a row; None if there are none."""
    if not hidden:
        return None
    keep = width - hidden
    count = INT16.pack(keep)

    def cut(frame: bytes) -> bytes:
        offset, unpack = 7, INT32.unpack_from
        for _ in range(keep):
            size = unpack(frame, offset)[0]
            offset += 4 + size if size > 0 else 4
        return HEADER.pack(b"D", offset - 1) + count + frame[7:offset]

    return cut


# --- sources ------------------------------------------------------------------------


class SortedSource:
    """Sorted rows of one shard, run or list, read and decoded one block at a time."""

    __slots__ = ("exhausted", "frames", "key", "keys", "last", "name", "position", "read")

    def __init__(
        self, read: Callable[[], bytes | None], exhausted: Callable[[], bool], key, name: str
    ) -> None:
        self.read, self.exhausted, self.key, self.name = read, exhausted, key, name
        self.frames: list[bytes] = []
        self.keys: list = []
        self.position, self.last = 0, None

    def fill(self) -> bool | None:
        """Whether a row is available: False at the end, None if input is needed. Checks order."""
        if self.position < len(self.keys):
            return True
        while True:
            block = self.read()
            if block is None:
                return False if self.exhausted() else None
            self.frames = frames_of(block)
            self.keys, self.position = list(map(self.key, self.frames)), 0
            if not self.keys:
                continue
            out_of_order = self.last is not None and self.keys[0] < self.last
            if out_of_order or any(b < a for a, b in pairwise(self.keys)):
                raise PgError(
                    "XX000",
                    f"{self.name} gives its rows in another order than it was asked for",
                    hint='the store must compare text by collation "C"',
                )
            self.last = self.keys[-1]
            return True


def shard_source(stream: ShardRowStream, key) -> SortedSource:
    """The rows of a shard, sorted by its data node."""
    return SortedSource(stream.take, lambda: stream.done, key, f"shard {stream.shard}")


def run_source(run: Run, key) -> SortedSource:
    """The rows of a sorted run."""
    return SortedSource(
        lambda: run.read() if run.left else None, lambda: not run.left, key, "a spilled run"
    )


def list_source(pairs: list[tuple]) -> SortedSource:
    """Rows sorted in memory; `pairs` holds (key, frame)."""
    source = SortedSource(lambda: None, lambda: True, None, "a list")
    source.keys, source.frames = [k for k, _ in pairs], [f for _, f in pairs]
    return source


def merge_sorted(sources: Sequence[SortedSource]) -> BlockIterator:
    """K-way merge by a heap; consecutive rows of one source are copied together."""
    heads: list[tuple] = []
    for index, source in enumerate(sources):
        while (available := source.fill()) is None:
            yield None
        if available:
            heads.append((source.keys[source.position], index))
    heapq.heapify(heads)
    out, size = [], 0
    while heads:
        _, index = heads[0]
        source = sources[index]
        position = source.position
        if len(heads) == 1:
            end = len(source.keys)
        else:
            next_key, other = min(heads[1:3])  # the second smallest is a child of the root
            # ties: the lower source index first
            find = bisect_right if index < other else bisect_left
            end = max(find(source.keys, next_key, position), position + 1)
        if end == position + 1:
            out.append(source.frames[position])
            size += len(out[-1])
        else:
            out += source.frames[position:end]
            size += sum(map(len, source.frames[position:end]))
        source.position = end
        if end < len(source.keys):
            heapq.heapreplace(heads, (source.keys[end], index))
        else:
            if out:  # decoding the next block takes a while: yield first
                yield b"".join(out), len(out)
                out, size = [], 0
            while (available := source.fill()) is None:
                yield None
            if available:
                heapq.heapreplace(heads, (source.keys[source.position], index))
            else:
                heapq.heappop(heads)
        if size >= OUTPUT_BLOCK_BYTES:
            yield b"".join(out), len(out)
            out, size = [], 0
    if out:
        yield b"".join(out), len(out)


# --- operators ----------------------------------------------------------------------


def concat(shard_results: Sequence[ShardRowStream]) -> BlockIterator:
    """All rows, shard by shard, in blocks as they arrived."""
    for shard_result in shard_results:
        while not shard_result.done:
            block = shard_result.take()
            yield None if block is None else (block, -1)


def row_batches(blocks: BlockIterator) -> Iterator[list[bytes] | None]:
    """Split the input into lists of at most `ROWS_PER_STEP` row frames, fewer of wide ones."""
    for block in blocks:
        if block is None:
            yield None
            continue
        frames = frames_of(block[0])
        step = rows_per_step(frames[0]) if frames else ROWS_PER_STEP
        for start in range(0, len(frames), step):
            yield frames[start : start + step]


def rows_per_step(frame: bytes) -> int:
    """How many rows of as many columns as this one has are processed before an operator yields."""
    columns = INT16.unpack_from(frame, COLUMN_COUNT_AT)[0]
    return max(1, min(ROWS_PER_STEP, VALUES_PER_STEP // max(columns, 1)))


def drop_hidden_columns(
    blocks: BlockIterator, cut: Callable[[bytes], bytes] | None
) -> BlockIterator:
    """Remove the hidden columns from each row."""
    if cut is None:
        yield from blocks
        return
    for frames in row_batches(blocks):
        yield None if frames is None else (b"".join(map(cut, frames)), len(frames))


def apply_limit(source: BlockIterator, limit: int | None, offset: int) -> BlockIterator:
    """Apply LIMIT and OFFSET; closes the source as soon as no more rows are needed."""
    skip, left = offset, limit
    if left != 0:
        for block in source:
            if block is None or not block[0] or (not skip and left is None):
                yield block
                continue
            frames = frames_of(block[0])
            if skip:
                skipped = min(skip, len(frames))
                frames, skip = frames[skipped:], skip - skipped
            if left is not None:
                frames = frames[:left]
                left -= len(frames)
            yield b"".join(frames), len(frames)
            if left == 0:
                break
    source.close()


def external_sort(blocks: BlockIterator, key, memory: QueryMemory) -> BlockIterator:
    """Stable external merge sort: sorted batches are merged to runs on disk, runs to the result."""
    runs: list[Run] = []
    lists: list[list[tuple]] = []
    held: list[tuple] = []
    size = 0
    first = itemgetter(0)
    try:
        for frames in row_batches(blocks):
            if frames is None:
                yield None
                continue
            held += [(key(frame), frame) for frame in frames]
            added_bytes = sum(map(len, frames)) + ROW_OVERHEAD_BYTES * len(frames)
            size += added_bytes
            memory.record_operator_bytes(added_bytes)
            if len(held) >= SORT_BATCH_ROWS:
                held.sort(key=first)
                lists.append(held)
                held = []
            if size >= memory.operator_limit:
                held.sort(key=first)
                yield from _spill(
                    runs, merge_sorted([list_source(one) for one in [*lists, held]]), memory
                )
                memory.record_operator_bytes(-size)
                lists, held, size = [], [], 0
                if len(runs) >= MERGE_FAN_IN:
                    old = runs[:]
                    yield from _spill(
                        runs, merge_sorted([run_source(run, key) for run in old]), memory
                    )
                    for run in old:
                        run.close()
                    del runs[: len(old)]
            yield CONTINUE
        held.sort(key=first)
        tail = [list_source(one) for one in [*lists, held]]
        yield from merge_sorted([*(run_source(run, key) for run in runs), *tail])
    finally:
        memory.record_operator_bytes(-size)
        for run in runs:
            run.close()


def _spill(runs: list[Run], blocks: BlockIterator, memory: QueryMemory) -> BlockIterator:
    """Write sorted rows to a new run, one block per step."""
    run = memory.memory_reservations.space.create_run()
    runs.append(run)
    for block in blocks:
        if block is not None and block[0]:
            run.append(block[0])
            memory.spilled += len(block[0])
        yield CONTINUE


def top(blocks: BlockIterator, key, count: int, memory: QueryMemory) -> BlockIterator:
    """The first `count` rows in order, with about twice as many in memory at most."""
    held: list[tuple] = []
    size, last_key, full = 0, None, False
    first = itemgetter(0)
    try:
        for frames in row_batches(blocks):
            if frames is None:
                yield None
                continue
            pairs = [(key(frame), frame) for frame in frames]
            held += [pair for pair in pairs if pair[0] < last_key] if full else pairs
            if len(held) >= 2 * count + ROWS_PER_STEP:
                held.sort(key=first)
                del held[count:]
                full, last_key = bool(held), held[-1][0] if held else None
                held_bytes = sum(len(f) for _, f in held) + ROW_OVERHEAD_BYTES * len(held)
                memory.record_operator_bytes(held_bytes - size)
                size = held_bytes
            yield CONTINUE
        held.sort(key=first)
        frames = [frame for _, frame in held[:count]]
        yield b"".join(frames), len(frames)
    finally:
        memory.record_operator_bytes(-size)


class SpillPartitions:
    """Rows spilled to partitions on disk by the hash of their key."""

    def __init__(self, memory: QueryMemory, salt: int) -> None:
        self.memory, self.salt = memory, salt
        self.runs: list[Run | None] = [None] * PARTITIONS
        self.pending: list[list[bytes]] = [[] for _ in range(PARTITIONS)]
        self.sizes = [0] * PARTITIONS

    def add(self, key: object, frame: bytes) -> None:
        """Add a row to the partition of its key."""
        index = xxhash.xxh3_64_intdigest(repr(key).encode(), self.salt) % PARTITIONS
        self.pending[index].append(frame)
        self.sizes[index] += len(frame)
        if self.sizes[index] >= SPILL_BLOCK_BYTES // 8:
            self._flush(index)

    def _flush(self, index: int) -> None:
        if self.runs[index] is None:
            self.runs[index] = self.memory.memory_reservations.space.create_run()
        data = b"".join(self.pending[index])
        self.runs[index].append(data)
        self.memory.spilled += len(data)
        self.pending[index], self.sizes[index] = [], 0

    def finish(self) -> list[Run]:
        """Flush all rows and return one run per non-empty partition."""
        for index in range(PARTITIONS):
            if self.pending[index]:
                self._flush(index)
        return [run for run in self.runs if run is not None]

    def close(self) -> None:
        """Close the runs and release their disk space."""
        for run in self.runs:
            if run is not None:
                run.close()


def hybrid_hash(blocks: BlockIterator, table, memory: QueryMemory, depth: int = 0) -> BlockIterator:
    """Hybrid hash aggregation: groups that fit stay in memory, rows of other keys are partitioned.

    The partitions on disk are processed one after the other, after the groups in memory. `table`
    has `groups`, `key_and_row(frame) -> (key, row)`, `add(key, row)`, `estimate_bytes(frame)`,
    `result()`, `empty_copy()` and, where its groups grow with each row (`grows_per_row`),
    `measure_bytes()`.
    """
    partitions: SpillPartitions | None = None
    size = recorded_bytes = 0
    groups, key_and_row, add = table.groups, table.key_and_row, table.add
    # if each row enlarges its group, partitioning by key would not help
    grows_per_row = table.grows_per_row
    try:
        for frames in row_batches(blocks):
            if frames is None:
                yield None
                continue
            for frame in frames:
                key, row = key_and_row(frame)
                if key in groups:
                    add(key, row)
                    if grows_per_row:
                        size += len(frame) + ROW_OVERHEAD_BYTES
                elif partitions is None:
                    add(key, row)
                    size += table.estimate_bytes(frame)
                else:
                    partitions.add(key, frame)
            if (
                grows_per_row and size >= memory.operator_limit
            ):  # repeated DISTINCT values take no memory: measure the actual size
                size = table.measure_bytes()
            memory.record_operator_bytes(size - recorded_bytes)
            recorded_bytes = size
            if (partitions is None and size >= memory.operator_limit) or (
                grows_per_row and size >= 2 * memory.operator_limit
            ):
                if depth >= MAX_PARTITION_DEPTH or partitions is not None:
                    raise PgError(
                        "53200",
                        "the groups of the answer are larger than its share of memory",
                        hint="the bound is [merge] query_bytes",
                    )
                partitions = SpillPartitions(memory, depth)
            yield CONTINUE
        for rows in table.result():
            yield b"".join(rows), len(rows)
        groups.clear()
        memory.record_operator_bytes(-recorded_bytes)
        recorded_bytes = 0
        if partitions is not None:
            for run in partitions.finish():
                inner = ((run.read(), -1) for _ in iter(lambda run=run: run.left, False))
                yield from hybrid_hash(inner, table.empty_copy(), memory, depth + 1)
                run.close()
    finally:
        memory.record_operator_bytes(-recorded_bytes)
        if partitions is not None:
            partitions.close()


class Distinct:
    """Hash table for `hybrid_hash` that keeps the first row of each key."""

    grows_per_row = False

    def __init__(self, fields: Sequence[Field]) -> None:
        self.fields = fields
        self.orders = [types.order_key(f.oid, f.format) for f in fields]
        self.groups: dict = {}

    def empty_copy(self) -> Distinct:
        """An empty table with the same columns."""
        return Distinct(self.fields)

    def key_and_row(self, frame: bytes) -> tuple[tuple, bytes]:
        """(key of all columns, row frame)."""
        row = read_row(frame)
        return tuple(
            [None if v is None else o(v) for o, v in zip(self.orders, row, strict=True)]
        ), frame

    def add(self, key: tuple, frame: bytes) -> None:
        """Keep the row if it is the first one with this key."""
        if key not in self.groups:
            self.groups[key] = frame

    @staticmethod
    def estimate_bytes(frame: bytes) -> int:
        """Estimated memory of a new key in bytes."""
        return 2 * len(frame) + 2 * ROW_OVERHEAD_BYTES

    def result(self) -> Iterator[list[bytes]]:
        """The rows kept, in order of arrival, in lists of at most 1000."""
        frames = list(self.groups.values())
        for start in range(0, len(frames), 1000):
            yield frames[start : start + 1000]
