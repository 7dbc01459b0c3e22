"""Cooperative round-robin scheduling of large merges, in bounded slices of each reactor turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Protocol

from tansycrank.merge.blocks import QueryMemory, ShardRowStream, frames_of
from tansycrank.merge.operators import BlockIterator
from tansycrank.postgres.errors import INTERNAL, PgError, unexpected_error
from tansycrank.postgres.messages import Field

TIME_SLICE_S = 0.002  # time per reactor turn for all merges together
MAX_STEPS_PER_TURN = 200  # limit for steps that are very short
HIGH_WATER_BYTES = 128 * 1024  # output not yet sent above which a merge pauses


class RowStream:
    """A streamed result, merged as its rows are taken. `count` is the number of rows taken."""

    def __init__(
        self,
        fields: tuple[Field, ...],
        source: BlockIterator,
        shard_results: Sequence[ShardRowStream],
        memory: QueryMemory,
        scheduler: MergeScheduler,
    ) -> None:
        self.fields, self.shard_results, self.memory, self.scheduler = (
            fields,
            shard_results,
            memory,
            scheduler,
        )
        self.on_ready: Callable[[], None] = lambda: None
        self.error: PgError | None = None
        self.finished = self.closed = False
        self.count = 0
        self._source = source
        self._output: deque[bytes] = deque()
        self._size = 0
        for shard_result in shard_results:
            shard_result.on_data = self.wake
        scheduler.wake(self)

    def wake(self) -> None:
        """Schedule the merge after new input or a drop of unsent output, if it can run."""
        if not self.closed and not self.finished and self._size < HIGH_WATER_BYTES:
            self.scheduler.wake(self)

    def step(self) -> bool:
        """Produce at most one block; returns whether the merge can continue at once."""
        if self.closed or self.finished or self._size >= HIGH_WATER_BYTES:
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
        except Exception as problem:  # a bug in an operator must end this query only
            self._fail(
                PgError(INTERNAL, f"merging the parts failed: {type(problem).__name__}: {problem}")
            )
            return False
        if block is None:
            return False
        if not block[0]:
            return True
        self._output.append(block[0])
        self._size += len(block[0])
        self.memory.record_operator_bytes(len(block[0]))
        self.on_ready()
        return self._size < HIGH_WATER_BYTES

    def end_after_fault(self, error: Exception) -> None:
        """End with an error after an exception while its rows were merged or passed on.

        Its client is told, unless that raises an exception too.
        """
        with suppress(Exception):
            self._fail(unexpected_error(error))

    def _fail(self, problem: PgError) -> None:
        self.error, self.finished = problem, True
        self.on_ready()

    @property
    def ended(self) -> bool:
        """Whether no rows remain to be taken, at the end or after a failure."""
        return self.finished and not self._output

    def take(self, max_rows: int | None = None) -> list[bytes]:
        """Row frames that are ready, at most `max_rows`; empty if there are none yet."""
        taken: list[bytes] = []
        while self._output and (max_rows is None or len(taken) < max_rows):
            block = self._output.popleft()
            self._size -= len(block)
            self.memory.record_operator_bytes(-len(block))
            frames = frames_of(block)
            if max_rows is not None and len(taken) + len(frames) > max_rows:
                keep = max_rows - len(taken)
                rest = b"".join(frames[keep:])
                self._output.appendleft(rest)
                self._size += len(rest)
                self.memory.record_operator_bytes(len(rest))
                frames = frames[:keep]
            taken += frames
        self.count += len(taken)
        self.wake()
        return taken

    def take_block(self) -> tuple[bytes, int] | None:
        """The next block and its number of rows; None if none is ready."""
        if not self._output:
            return None
        block = self._output.popleft()
        self._size -= len(block)
        self.memory.record_operator_bytes(-len(block))
        rows = _count_rows(block)
        self.count += rows
        self.wake()
        return block, rows

    def abort(self, problem: PgError) -> None:
        """End the stream with an error and discard the output that is ready."""
        if self.closed or self.ended:
            return
        self.memory.record_operator_bytes(-self._size)
        self._output.clear()
        self._size = 0
        self._fail(problem)

    def close(self) -> None:
        """Release nodes, disk and memory, after the result was sent or is no longer needed."""
        if self.closed:
            return
        self.closed = True
        self.scheduler.remove(self)
        self._source.close()
        self._output.clear()
        self.memory.record_operator_bytes(-self._size)
        self._size = 0
        for shard_result in self.shard_results:
            shard_result.on_data = lambda: None
        self.memory.close()


def _count_rows(block: bytes) -> int:
    at, size, rows, unpack = 0, len(block), 0, int.from_bytes
    while at < size:
        at += 1 + unpack(block[at + 1 : at + 5], "big")
        rows += 1
    return rows


class Task(Protocol):
    """A schedulable task: a merge, or a connection with unread data of a large shard result."""

    def step(self) -> bool:
        """Do a bounded amount of work; returns whether more can be done at once."""

    def end_after_fault(self, error: Exception) -> None:
        """End after a step that raised an exception."""


class MergeScheduler:
    """Runs the tasks of large queries round-robin.

    `call_later(f)` must call f in the next reactor turn, `clock()` return seconds. While
    `queries_waiting()` is true, that is, queries wait for their nodes, a reactor turn runs one step
    only.
    """

    def __init__(
        self,
        call_later: Callable[[Callable[[], None]], object],
        clock: Callable[[], float],
        queries_waiting: Callable[[], bool] = lambda: False,
    ) -> None:
        self._call_later, self._clock, self._queries_waiting = call_later, clock, queries_waiting
        self._run_queue: deque[Task] = deque()
        self._queued: set[Task] = set()
        self._scheduled_call: object = None

    def wake(self, task: Task) -> None:
        """Append a task to the run queue unless it is queued already."""
        if task not in self._queued:
            self._queued.add(task)
            self._run_queue.append(task)
            if self._scheduled_call is None:
                self._scheduled_call = self._call_later(self._turn)

    def remove(self, task: Task) -> None:
        """Remove a closed task from the run queue."""
        if task in self._queued:
            self._queued.discard(task)
            self._run_queue.remove(task)

    @staticmethod
    def _step(task: Task) -> bool:
        """Run a step of a task; an exception ends that task and no other."""
        try:
            return task.step()
        except Exception as error:
            task.end_after_fault(error)
            return False

    def _turn(self) -> None:
        self._scheduled_call = None
        end = self._clock() + TIME_SLICE_S
        for _ in range(1 if self._queries_waiting() else MAX_STEPS_PER_TURN):
            if not self._run_queue or self._clock() >= end:
                break
            task = self._run_queue.popleft()
            self._queued.discard(task)
            if self._step(task):
                self.wake(task)
        if self._run_queue and self._scheduled_call is None:
            self._scheduled_call = self._call_later(self._turn)
