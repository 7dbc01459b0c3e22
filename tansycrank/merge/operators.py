"""Operators over streams of rows: pulled, each within a bound, none waiting inside.

An operator is a generator. It yields blocks `(bytes of DataRow frames, rows)`, `GO_ON` where it has
worked for a while and has more to do, or None where it can't go on until more input has come.
Memory beyond its room goes to runs on disk. Ties: by part, then by arrival.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from itertools import pairwise
from operator import itemgetter

import xxhash

from tansycrank.merge.blocks import PIECE, Memory, ShardRowStream, frames_of
from tansycrank.merge.spill import Run
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import HEADER, INT16, INT32, Field, read_row
from tansycrank.sql.plan import SortKey

Block = tuple[bytes, int]
Pulled = Iterator[Block | None]
GO_ON: Block = (b"", 0)
OUT = 64 * 1024  # bytes of a block on its way out
STRETCH = 128  # rows worked on before others get their turn
SORTED_AT_ONCE = 4096  # rows sorted in one go
PARTITIONS = 32  # files of a hash table that outgrew its room
DEPTH = 3  # times a partition may be divided again
FAN_IN = 64  # runs merged at once
ROW_COST = 160  # bytes a row in Python takes beside its frame, its key included


class Reverse:
    """The other way round."""

    __slots__ = ("value",)

    def __init__(self, value: object) -> None:
        self.value = value

    def __lt__(self, other: Reverse) -> bool:
        return other.value < self.value

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Reverse) and self.value == other.value


def cell(frame: bytes, column: int) -> bytes | None:
    """One value of a row, without the others."""
    at, unpack = 7, INT32.unpack_from
    for _ in range(column):
        size = unpack(frame, at)[0]
        at += 4 + size if size > 0 else 4
    size = unpack(frame, at)[0]
    return None if size < 0 else frame[at + 4 : at + 4 + size]


def key_maker(keys: Sequence[SortKey], fields: Sequence[Field]) -> Callable[[bytes], object]:
    """A function from a frame to what it sorts by, ascending, as PostgreSQL orders it."""
    shard_results = [_shard_key(key, fields) for key in keys]
    if len(shard_results) == 1:
        return shard_results[0]
    return lambda frame: tuple([shard_result(frame) for shard_result in shard_results])


def _shard_key(key: SortKey, fields: Sequence[Field]) -> Callable[[bytes], object]:
    column = key.column if key.column >= 0 else len(fields) + key.column
    oid, code = fields[column].oid, fields[column].format
    order, descending = types.order_key(oid, code), key.descending
    if oid in types.INTEGER_TYPES:  # plain numbers, NULL beyond all of them
        null = float("-inf") if key.nulls_first else float("inf")
        sign = -1 if descending else 1

        def number(frame: bytes) -> float | int:
            raw = cell(frame, column)
            return null if raw is None else sign * order(raw)

        return number
    rank = 0 if key.nulls_first else 2

    def other(frame: bytes) -> tuple:
        raw = cell(frame, column)
        if raw is None:
            return (rank,)
        return (1, Reverse(order(raw))) if descending else (1, order(raw))

    return other


def cutter(hidden: int, width: int) -> Callable[[bytes], bytes] | None:
    """A function that takes the hidden columns off a row's end; None where there are none."""
    if not hidden:
        return None
    keep = width - hidden
    count = INT16.pack(keep)

    def cut(frame: bytes) -> bytes:
        at, unpack = 7, INT32.unpack_from
        for _ in range(keep):
            size = unpack(frame, at)[0]
            at += 4 + size if size > 0 else 4
        return HEADER.pack(b"D", at - 1) + count + frame[7:at]

    return cut


# --- sources ------------------------------------------------------------------------


class Source:
    """Sorted rows of one part, run or list: a block at a time, its keys decoded together."""

    __slots__ = ("at", "frames", "key", "keys", "last", "name", "over", "read")

    def __init__(
        self, read: Callable[[], bytes | None], over: Callable[[], bool], key, name: str
    ) -> None:
        self.read, self.over, self.key, self.name = read, over, key, name
        self.frames: list[bytes] = []
        self.keys: list = []
        self.at, self.last = 0, None

    def fill(self) -> bool | None:
        """Whether a row is at hand: False at the end, None while none has come. Checks order."""
        if self.at < len(self.keys):
            return True
        while True:
            block = self.read()
            if block is None:
                return False if self.over() else None
            self.frames = frames_of(block)
            self.keys, self.at = list(map(self.key, self.frames)), 0
            if not self.keys:
                continue
            wrong = self.last is not None and self.keys[0] < self.last
            if wrong or any(b < a for a, b in pairwise(self.keys)):
                raise PgError(
                    "XX000",
                    f"{self.name} gives its rows in another order than it was asked for",
                    hint='the store must compare text by collation "C"',
                )
            self.last = self.keys[-1]
            return True


def shard_source(stream: ShardRowStream, key) -> Source:
    """The rows of a part that its node has sorted."""
    return Source(stream.take, lambda: stream.done, key, f"shard {stream.shard}")


def run_source(run: Run, key) -> Source:
    """The rows of a sorted run."""
    return Source(
        lambda: run.read() if run.left else None, lambda: not run.left, key, "a spilled run"
    )


def list_source(pairs: list[tuple]) -> Source:
    """Rows sorted in memory, with their keys."""
    source = Source(lambda: None, lambda: True, None, "a list")
    source.keys, source.frames = [k for k, _ in pairs], [f for _, f in pairs]
    return source


def merge_sorted(sources: Sequence[Source]) -> Pulled:
    """K-way merge. Runs of rows from one source go out together."""
    heads: list[tuple] = []
    for index, source in enumerate(sources):
        while (there := source.fill()) is None:
            yield None
        if there:
            heads.append((source.keys[source.at], index))
    heapq.heapify(heads)
    out, size = [], 0
    while heads:
        _, index = heads[0]
        source = sources[index]
        at = source.at
        if len(heads) == 1:
            end = len(source.keys)
        else:
            rival, other = min(heads[1:3])  # the next smallest is a child of the root
            find = bisect_right if index < other else bisect_left  # ties: the lower part first
            end = max(find(source.keys, rival, at), at + 1)
        if end == at + 1:
            out.append(source.frames[at])
            size += len(out[-1])
        else:
            out += source.frames[at:end]
            size += sum(map(len, source.frames[at:end]))
        source.at = end
        if end < len(source.keys):
            heapq.heapreplace(heads, (source.keys[end], index))
        else:
            if out:  # a block is decoded next: that is a stretch of work
                yield b"".join(out), len(out)
                out, size = [], 0
            while (there := source.fill()) is None:
                yield None
            if there:
                heapq.heapreplace(heads, (source.keys[source.at], index))
            else:
                heapq.heappop(heads)
        if size >= OUT:
            yield b"".join(out), len(out)
            out, size = [], 0
    if out:
        yield b"".join(out), len(out)


# --- operators ----------------------------------------------------------------------


def concat(shard_results: Sequence[ShardRowStream]) -> Pulled:
    """All rows, part by part, as the bytes they came in."""
    for shard_result in shard_results:
        while not shard_result.done:
            block = shard_result.take()
            yield None if block is None else (block, -1)


def stretches(pulled: Pulled) -> Iterator[list[bytes] | None]:
    """Rows of the input in lists that are short enough for one turn."""
    for block in pulled:
        if block is None:
            yield None
            continue
        frames = frames_of(block[0])
        for start in range(0, len(frames), STRETCH):
            yield frames[start : start + STRETCH]


def shaped(pulled: Pulled, cut: Callable[[bytes], bytes] | None) -> Pulled:
    """Blocks without their hidden columns."""
    if cut is None:
        yield from pulled
        return
    for frames in stretches(pulled):
        yield None if frames is None else (b"".join(map(cut, frames)), len(frames))


def limited(source: Pulled, limit: int | None, offset: int) -> Pulled:
    """LIMIT and OFFSET; the source is closed as soon as no more is needed."""
    skip, left = offset, limit
    if left != 0:
        for block in source:
            if block is None or not block[0] or (not skip and left is None):
                yield block
                continue
            frames = frames_of(block[0])
            if skip:
                gone = min(skip, len(frames))
                frames, skip = frames[gone:], skip - gone
            if left is not None:
                frames = frames[:left]
                left -= len(frames)
            yield b"".join(frames), len(frames)
            if left == 0:
                break
    source.close()


def external_sort(pulled: Pulled, key, memory: Memory) -> Pulled:
    """Sort any number of rows: short sorted lists, merged to runs on disk, merged again. Stable."""
    runs: list[Run] = []
    lists: list[list[tuple]] = []
    held: list[tuple] = []
    size = 0
    first = itemgetter(0)
    try:
        for frames in stretches(pulled):
            if frames is None:
                yield None
                continue
            held += [(key(frame), frame) for frame in frames]
            grown = sum(map(len, frames)) + ROW_COST * len(frames)
            size += grown
            memory.table(grown)
            if len(held) >= SORTED_AT_ONCE:
                held.sort(key=first)
                lists.append(held)
                held = []
            if size >= memory.room:
                held.sort(key=first)
                yield from _spilled(
                    runs, merge_sorted([list_source(one) for one in [*lists, held]]), memory
                )
                memory.table(-size)
                lists, held, size = [], [], 0
                if len(runs) >= FAN_IN:
                    old = runs[:]
                    yield from _spilled(
                        runs, merge_sorted([run_source(run, key) for run in old]), memory
                    )
                    for run in old:
                        run.close()
                    del runs[: len(old)]
            yield GO_ON
        held.sort(key=first)
        tail = [list_source(one) for one in [*lists, held]]
        yield from merge_sorted([*(run_source(run, key) for run in runs), *tail])
    finally:
        memory.table(-size)
        for run in runs:
            run.close()


def _spilled(runs: list[Run], pulled: Pulled, memory: Memory) -> Pulled:
    """Write sorted rows to a new run, a block a turn."""
    run = memory.memory_reservations.space.run()
    runs.append(run)
    for block in pulled:
        if block is not None and block[0]:
            run.append(block[0])
            memory.spilled += len(block[0])
        yield GO_ON


def top(pulled: Pulled, key, count: int, memory: Memory) -> Pulled:
    """The first `count` rows in order, holding at most twice as many."""
    held: list[tuple] = []
    size, worst, full = 0, None, False
    first = itemgetter(0)
    try:
        for frames in stretches(pulled):
            if frames is None:
                yield None
                continue
            pairs = [(key(frame), frame) for frame in frames]
            held += [pair for pair in pairs if pair[0] < worst] if full else pairs
            if len(held) >= 2 * count + STRETCH:
                held.sort(key=first)
                del held[count:]
                full, worst = bool(held), held[-1][0] if held else None
                now = sum(len(f) for _, f in held) + ROW_COST * len(held)
                memory.table(now - size)
                size = now
            yield GO_ON
        held.sort(key=first)
        frames = [frame for _, frame in held[:count]]
        yield b"".join(frames), len(frames)
    finally:
        memory.table(-size)


class Partitions:
    """Rows put aside by the hash of their key, on disk."""

    def __init__(self, memory: Memory, salt: int) -> None:
        self.memory, self.salt = memory, salt
        self.runs: list[Run | None] = [None] * PARTITIONS
        self.pending: list[list[bytes]] = [[] for _ in range(PARTITIONS)]
        self.sizes = [0] * PARTITIONS

    def put(self, key: object, frame: bytes) -> None:
        """Put a row aside."""
        index = xxhash.xxh3_64_intdigest(repr(key).encode(), self.salt) % PARTITIONS
        self.pending[index].append(frame)
        self.sizes[index] += len(frame)
        if self.sizes[index] >= PIECE // 8:
            self._flush(index)

    def _flush(self, index: int) -> None:
        if self.runs[index] is None:
            self.runs[index] = self.memory.memory_reservations.space.run()
        data = b"".join(self.pending[index])
        self.runs[index].append(data)
        self.memory.spilled += len(data)
        self.pending[index], self.sizes[index] = [], 0

    def finish(self) -> list[Run]:
        """All that was put aside, partition by partition."""
        for index in range(PARTITIONS):
            if self.pending[index]:
                self._flush(index)
        return [run for run in self.runs if run is not None]

    def close(self) -> None:
        """Give the disk back."""
        for run in self.runs:
            if run is not None:
                run.close()


def hashed(pulled: Pulled, table, memory: Memory, depth: int = 0) -> Pulled:
    """Hybrid hashing: groups that fit are kept, rows of other keys go to partitions, each done
    after.

    `table` has `groups`, `split(frame) -> (key, row)`, `add(key, row)`, `cost(frame)`, `result()`,
    `fresh()`, and where its groups grow by the row (`retains`) `measured()`.
    """
    aside: Partitions | None = None
    size = counted = 0
    groups, split, add = table.groups, table.split, table.add
    retains = table.retains  # each row makes its group larger: no partition of it would help
    try:
        for frames in stretches(pulled):
            if frames is None:
                yield None
                continue
            for frame in frames:
                name, row = split(frame)
                if name in groups:
                    add(name, row)
                    if retains:
                        size += len(frame) + ROW_COST
                elif aside is None:
                    add(name, row)
                    size += table.cost(frame)
                else:
                    aside.put(name, frame)
            if (
                retains and size >= memory.room
            ):  # values seen before cost nothing: count what is really held
                size = table.measured()
            memory.table(size - counted)
            counted = size
            if (aside is None and size >= memory.room) or (retains and size >= 2 * memory.room):
                if depth >= DEPTH or aside is not None:
                    raise PgError(
                        "53200",
                        "the groups of the answer are larger than its share of memory",
                        hint="the bound is [merge] query_bytes",
                    )
                aside = Partitions(memory, depth)
            yield GO_ON
        for rows in table.result():
            yield b"".join(rows), len(rows)
        groups.clear()
        memory.table(-counted)
        counted = 0
        if aside is not None:
            for run in aside.finish():
                inner = ((run.read(), -1) for _ in iter(lambda run=run: run.left, False))
                yield from hashed(inner, table.fresh(), memory, depth + 1)
                run.close()
    finally:
        memory.table(-counted)
        if aside is not None:
            aside.close()


class Distinct:
    """A table that keeps the first row of each key."""

    retains = False

    def __init__(self, fields: Sequence[Field]) -> None:
        self.fields = fields
        self.orders = [types.order_key(f.oid, f.format) for f in fields]
        self.groups: dict = {}

    def fresh(self) -> Distinct:
        """An empty table of the same kind."""
        return Distinct(self.fields)

    def split(self, frame: bytes) -> tuple[tuple, bytes]:
        """(what tells the row apart, the row)."""
        row = read_row(frame)
        return tuple(
            [None if v is None else o(v) for o, v in zip(self.orders, row, strict=True)]
        ), frame

    def add(self, key: tuple, frame: bytes) -> None:
        """A row of this key."""
        if key not in self.groups:
            self.groups[key] = frame

    @staticmethod
    def cost(frame: bytes) -> int:
        """Bytes a new key takes, about."""
        return 2 * len(frame) + 2 * ROW_COST

    def result(self) -> Iterator[list[bytes]]:
        """The rows kept, in the order they came."""
        frames = list(self.groups.values())
        for start in range(0, len(frames), 1000):
            yield frames[start : start + 1000]
