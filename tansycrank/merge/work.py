"""Cooperative scheduling of large merges: bounded slices of each reactor turn, shared fairly."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from tansycrank.merge.blocks import QueryMemory, ShardRowStream, frames_of
from tansycrank.merge.operators import Pulled
from tansycrank.postgres.errors import INTERNAL, PgError
from tansycrank.postgres.messages import Field

SLICE = 0.002  # seconds of a reactor turn that all merges together may take
STEPS = 200  # blocks of a turn at most, however short they are
HIGH = 128 * 1024  # bytes of an answer ready to leave, past which its merge rests


class RowStream:
    """An answer on its way: rows are made as they are taken. `count` is what has been taken."""

    def __init__(
        self,
        fields: tuple[Field, ...],
        source: Pulled,
        shard_results: Sequence[ShardRowStream],
        memory: QueryMemory,
        worker: MergeScheduler,
    ) -> None:
        self.fields, self.shard_results, self.memory, self.worker = (
            fields,
            shard_results,
            memory,
            worker,
        )
        self.on_ready: Callable[[], None] = lambda: None
        self.error: PgError | None = None
        self.finished = self.closed = False
        self.count = 0
        self._source = source
        self._out: deque[bytes] = deque()
        self._size = 0
        for shard_result in shard_results:
            shard_result.on_data = self.wake
        worker.wake(self)

    def wake(self) -> None:
        """Input has come, or room."""
        if not self.closed and not self.finished and self._size < HIGH:
            self.worker.wake(self)

    def step(self) -> bool:
        """One block of work; tells whether there is more to do now."""
        if self.closed or self.finished or self._size >= HIGH:
            return False
        try:
            block = next(self._source)
        except StopIteration:
            self.finished = True
            self.on_ready()
            return False
        except PgError as problem:
            self._fail(problem)
            return False
        except Exception as problem:  # a fault of an operator ends this query alone
            self._fail(
                PgError(INTERNAL, f"merging the parts failed: {type(problem).__name__}: {problem}")
            )
            return False
        if block is None:
            return False
        if not block[0]:
            return True
        self._out.append(block[0])
        self._size += len(block[0])
        self.memory.table(len(block[0]))
        self.on_ready()
        return self._size < HIGH

    def _fail(self, problem: PgError) -> None:
        self.error, self.finished = problem, True
        self.on_ready()

    @property
    def ended(self) -> bool:
        """Whether nothing is left to take: all rows were taken, or it failed."""
        return self.finished and not self._out

    def take(self, most: int | None = None) -> list[bytes]:
        """Frames that are ready, at most so many rows; none where there is nothing yet."""
        taken: list[bytes] = []
        while self._out and (most is None or len(taken) < most):
            block = self._out.popleft()
            self._size -= len(block)
            self.memory.table(-len(block))
            frames = frames_of(block)
            if most is not None and len(taken) + len(frames) > most:
                keep = most - len(taken)
                rest = b"".join(frames[keep:])
                self._out.appendleft(rest)
                self._size += len(rest)
                self.memory.table(len(rest))
                frames = frames[:keep]
            taken += frames
        self.count += len(taken)
        self.wake()
        return taken

    def take_block(self) -> tuple[bytes, int] | None:
        """A whole block and its rows, uncut."""
        if not self._out:
            return None
        block = self._out.popleft()
        self._size -= len(block)
        self.memory.table(-len(block))
        rows = _rows(block)
        self.count += rows
        self.wake()
        return block, rows

    def abort(self, problem: PgError) -> None:
        """End it with an error: what is ready is not sent any more."""
        if self.closed or self.ended:
            return
        self.memory.table(-self._size)
        self._out.clear()
        self._size = 0
        self._fail(problem)

    def close(self) -> None:
        """The answer is out, or nobody wants it: nodes, disk and memory are free."""
        if self.closed:
            return
        self.closed = True
        self.worker.forget(self)
        self._source.close()
        self._out.clear()
        self.memory.table(-self._size)
        self._size = 0
        for shard_result in self.shard_results:
            shard_result.on_data = lambda: None
        self.memory.close()


def _rows(block: bytes) -> int:
    at, size, rows, unpack = 0, len(block), 0, int.from_bytes
    while at < size:
        at += 1 + unpack(block[at + 1 : at + 5], "big")
        rows += 1
    return rows


class Task(Protocol):
    """Large work in the line: a merge, or a link with bytes of a large part."""

    def step(self) -> bool:
        """Do a piece; tells whether there is more to do now."""


class MergeScheduler:
    """Runs all large work by turns. `soon(f)` calls f in the next reactor turn, `clock()` tells
    seconds.

    While `pressing()` tells that queries wait for their nodes, a turn holds one piece of it.
    """

    def __init__(
        self,
        soon: Callable[[Callable[[], None]], object],
        clock: Callable[[], float],
        pressing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._soon, self._clock, self._pressing = soon, clock, pressing
        self._line: deque[Task] = deque()
        self._queued: set[Task] = set()
        self._call: object = None

    def wake(self, stream: Task) -> None:
        """Put it in the line."""
        if stream not in self._queued:
            self._queued.add(stream)
            self._line.append(stream)
            if self._call is None:
                self._call = self._soon(self._turn)

    def forget(self, stream: Task) -> None:
        """It is closed."""
        if stream in self._queued:
            self._queued.discard(stream)
            self._line.remove(stream)

    def _turn(self) -> None:
        self._call = None
        end = self._clock() + SLICE
        for _ in range(1 if self._pressing() else STEPS):
            if not self._line or self._clock() >= end:
                break
            stream = self._line.popleft()
            self._queued.discard(stream)
            if stream.step():
                self.wake(stream)
        if self._line and self._call is None:
            self._call = self._soon(self._turn)
