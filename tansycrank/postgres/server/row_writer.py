"""Sends result rows with back-pressure: pauses while the client does not read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from tansycrank.merge.rows import Result
from tansycrank.postgres.errors import PgError, cancelled, unexpected_error
from tansycrank.postgres.server.context import SessionConnection

CHUNK_BYTES = 65_536  # size of rows written between two checks of back-pressure


@dataclass(slots=True)
class RowTransfer:
    """A result being sent to the client, and how far it has been sent.

    `on_finished` is called once with the number of rows sent and the error of the stream, if any.
    """

    result: Result
    on_finished: Callable[[int, PgError | None], None]
    header: bytes = b""
    max_rows: int | None = None  # None if unlimited
    position: int = 0
    convert_row: Callable[[bytes], bytes] | None = None
    rows_sent: int = 0

    @property
    def rows_left(self) -> int | None:
        """How many more rows may be sent; None if unlimited."""
        return None if self.max_rows is None else self.max_rows - self.rows_sent


class RowBatch(NamedTuple):
    """DataRow frames to write next; `error` is set if the stream ended early."""

    frames: list[bytes]
    row_count: int
    is_last: bool
    error: PgError | None = None


class RowWriter:
    """Writes the rows of one transfer at a time."""

    def __init__(self, connection: SessionConnection) -> None:
        self._connection = connection
        self._transfer: RowTransfer | None = None

    @property
    def is_active(self) -> bool:
        """Whether a transfer is in progress."""
        return self._transfer is not None

    def start(self, transfer: RowTransfer) -> None:
        """Start to write the rows of a result."""
        self._transfer = transfer
        self.write_available()

    def write_available(self) -> None:
        """Write rows until all are written, none is available or the client stops reading."""
        try:
            self._write_available()
        except Exception as error:  # such as a row of a data node that cannot be converted
            self._end_with(error)

    def _end_with(self, error: Exception) -> None:
        """End the transfer with an error; its rows so far have been sent."""
        transfer, self._transfer = self._transfer, None
        if transfer is None:
            self._connection.fail_statement(error)
            return
        problem = error if isinstance(error, PgError) else unexpected_error(error)
        problem.severity = "ERROR"  # the session goes on
        transfer.on_finished(transfer.rows_sent, problem)
        self._connection.process_messages()

    def _write_available(self) -> None:
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
                return  # the stream calls `on_ready` when more rows are available

    def cancel(self) -> None:
        """End a streamed transfer with 57014; a fully merged result is still sent completely."""
        if self._transfer is not None and self._transfer.result.stream is not None:
            self._transfer.result.stream.abort(cancelled())

    def discard(self) -> Result | None:
        """Discard the transfer of a lost connection; return its result for release."""
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
        if rows_left is None and transfer.convert_row is None:  # whole blocks can be sent unsplit
            block = stream.take_block()
            frames, row_count = ([], 0) if block is None else ([block[0]], block[1])
        else:
            frames = stream.take(rows_left)
            row_count = len(frames)
        is_last = stream.ended or (rows_left is not None and row_count >= rows_left)
        return RowBatch(frames, row_count, is_last, stream.error if stream.ended else None)
