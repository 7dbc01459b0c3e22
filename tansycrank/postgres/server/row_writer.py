"""Sends the rows of a result with back-pressure: it pauses while the client reads nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from tansycrank.merge.rows import Result
from tansycrank.postgres.errors import PgError, cancelled
from tansycrank.postgres.server.context import SessionConnection

CHUNK_BYTES = 65_536  # rows written before back-pressure is checked again


@dataclass(slots=True)
class RowTransfer:
    """Rows on their way to the client.

    `on_finished` is called once with the number of rows sent and the error of a stream, if any.
    """

    result: Result
    on_finished: Callable[[int, PgError | None], None]
    header: bytes = b""
    max_rows: int | None = None  # None for all
    position: int = 0
    convert_row: Callable[[bytes], bytes] | None = None
    rows_sent: int = 0

    @property
    def rows_left(self) -> int | None:
        """How many rows may still be sent, None for all."""
        return None if self.max_rows is None else self.max_rows - self.rows_sent


class RowBatch(NamedTuple):
    """Frames to write next. `error` is that of a stream which ended early."""

    frames: list[bytes]
    row_count: int
    is_last: bool
    error: PgError | None = None


class RowWriter:
    """Writes one transfer at a time."""

    def __init__(self, connection: SessionConnection) -> None:
        self._connection = connection
        self._transfer: RowTransfer | None = None

    @property
    def is_active(self) -> bool:
        """Whether a transfer is not finished."""
        return self._transfer is not None

    def start(self, transfer: RowTransfer) -> None:
        """Begin to write the rows of a result."""
        self._transfer = transfer
        self.write_available()

    def write_available(self) -> None:
        """Write rows until none are available, the client stops reading, or all are written."""
        transfer = self._transfer
        while transfer is not None and self._connection.may_write_rows:
            if transfer.header:
                self._connection.write(transfer.header)
                transfer.header = b""
            batch = self._next_batch(transfer)
            if batch.frames:
                self._write_batch(transfer, batch)
            if batch.is_last:
                self._transfer = None
                transfer.on_finished(transfer.rows_sent, batch.error)
                self._connection.process_messages()
                return
            if not batch.frames:
                return  # the stream calls `on_ready` when it has more

    def cancel(self) -> None:
        """End a streamed transfer with 57014; rows already merged are sent to the end."""
        if self._transfer is not None and self._transfer.result.stream is not None:
            self._transfer.result.stream.abort(cancelled())

    def discard(self) -> Result | None:
        """Drop the transfer of a lost connection; returns its result, to be released."""
        transfer, self._transfer = self._transfer, None
        return transfer.result if transfer is not None else None

    def _write_batch(self, transfer: RowTransfer, batch: RowBatch) -> None:
        transfer.rows_sent += batch.row_count
        frames = batch.frames
        if transfer.convert_row is not None:
            frames = map(transfer.convert_row, frames)
        self._connection.write(b"".join(frames))

    def _next_batch(self, transfer: RowTransfer) -> RowBatch:
        if transfer.result.stream is not None:
            return self._from_stream(transfer)
        rows = transfer.result.rows
        start, end, size = transfer.position, len(rows), 0
        if transfer.rows_left is not None:
            end = min(end, start + transfer.rows_left)
        position = start
        while position < end and size < CHUNK_BYTES:
            size += len(rows[position])
            position += 1
        transfer.position = position
        return RowBatch(list(rows[start:position]), position - start, position >= end)

    def _from_stream(self, transfer: RowTransfer) -> RowBatch:
        stream, rows_left = transfer.result.stream, transfer.rows_left
        stream.on_ready = self.write_available
        if rows_left is None and transfer.convert_row is None:  # whole blocks need no cutting
            block = stream.take_block()
            frames, row_count = ([], 0) if block is None else ([block[0]], block[1])
        else:
            frames = stream.take(rows_left)
            row_count = len(frames)
        is_last = stream.ended or (rows_left is not None and row_count >= rows_left)
        return RowBatch(frames, row_count, is_last, stream.error if stream.ended else None)
