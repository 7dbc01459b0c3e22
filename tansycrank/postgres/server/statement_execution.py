"""Execution of statements, shared by the simple and the extended query protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from tansycrank.merge.rows import Result
from tansycrank.postgres import messages as pg
from tansycrank.postgres.copy import CopyFormat, parse_copy_options
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.pending_operation import PendingOperation
from tansycrank.postgres.server.row_writer import RowTransfer, RowWriter
from tansycrank.sql.plan import LocalCommand, Prepared
from tansycrank.sql_router.service import Request

ASYNC_COMMANDS = ("declare", "fetch", "copy")  # session commands that run a query or write rows

OnFinished = Callable[[str | None, PgError | None], None]  # command tag, or the error


class StatementExecution:
    """Executes one statement at a time; calls `on_cursor_declared` after each DECLARE."""

    def __init__(
        self,
        context: SessionContext,
        operation: PendingOperation,
        row_writer: RowWriter,
        on_cursor_declared: Callable[[], None],
    ) -> None:
        self._context = context
        self._operation = operation
        self._row_writer = row_writer
        self._on_cursor_declared = on_cursor_declared

    def run(self, request: Request, on_outcome: Callable[[Result | PgError], None]) -> None:
        """Run a statement; `on_outcome` is called at most once."""
        service = self._context.service
        self._operation.start(lambda finish: service.run(request, finish), on_outcome)

    def describe(self, prepared: Prepared, on_outcome: Callable[[tuple | PgError], None]) -> None:
        """Fetch (parameter types, columns) of a statement; calls `on_outcome` at most once."""
        context = self._context
        settings = context.settings.snapshot()
        self._operation.start(
            lambda finish: context.service.describe(prepared, settings, finish, context.caller),
            on_outcome,
        )

    def execute(self, request: Request, with_description: bool, on_finished: OnFinished) -> None:
        """Run a statement and write its rows, then call `on_finished`. Raises PgError."""
        prepared = request.prepared
        command = prepared.local.command if prepared.local is not None else ""
        if command == "fetch":
            self._fetch(prepared.local, with_description, on_finished)
        elif command == "declare":
            self._declare(request, on_finished)
        else:
            copy_format = parse_copy_options(prepared.options) if command == "copy" else None
            self._execute_query(request, copy_format, with_description, on_finished)

    def _declare(self, request: Request, on_finished: OnFinished) -> None:
        context = self._context
        name = request.prepared.local.name
        context.cursors.check_declaration(name, context.transaction.is_open)

        def on_outcome(outcome: Result | PgError) -> None:
            if isinstance(outcome, PgError):
                on_finished(None, outcome)
                return
            context.cursors.declare(name, outcome)
            self._on_cursor_declared()
            on_finished("DECLARE CURSOR", None)

        self.run(_wrapped_request(request, request.results), on_outcome)

    def _fetch(
        self, command: LocalCommand, with_description: bool, on_finished: OnFinished
    ) -> None:
        cursors = self._context.cursors
        cursor = cursors.get(command.name)
        cursors.mark_used(cursor)
        header = pg.row_description(cursor.result.fields) if with_description else b""

        def on_rows_written(row_count: int, error: PgError | None) -> None:
            cursor.position += row_count
            cursors.mark_used(cursor)
            on_finished(f"FETCH {row_count}", error)

        max_rows = None if command.count < 0 else command.count
        self._row_writer.start(
            RowTransfer(cursor.result, on_rows_written, header, max_rows, cursor.position)
        )

    def _execute_query(
        self,
        request: Request,
        copy_format: CopyFormat | None,
        with_description: bool,
        on_finished: OnFinished,
    ) -> None:
        results = copy_format.result_formats if copy_format is not None else request.results

        def on_outcome(outcome: Result | PgError) -> None:
            if isinstance(outcome, PgError):
                on_finished(None, outcome)
            elif copy_format is not None:
                self._write_copy(outcome, copy_format, on_finished)
            else:
                self._write_result(outcome, with_description, on_finished)

        self.run(_wrapped_request(request, results), on_outcome)

    def _write_copy(self, result: Result, copy_format: CopyFormat, on_finished: OnFinished) -> None:
        def on_rows_written(row_count: int, error: PgError | None) -> None:
            self._context.service.release(result)
            if error is None:
                self._context.connection.write(copy_format.end())
            on_finished(f"COPY {row_count}", error)

        header = copy_format.begin(result.fields)
        self._row_writer.start(
            RowTransfer(result, on_rows_written, header, convert_row=copy_format.row)
        )

    def _write_result(
        self, result: Result, with_description: bool, on_finished: OnFinished
    ) -> None:
        def on_rows_written(row_count: int, error: PgError | None) -> None:
            self._context.service.release(result)
            on_finished(command_tag(result, row_count), error)

        header = b""
        if with_description and result.fields is not None:
            header = pg.row_description(result.fields)
        self._row_writer.start(RowTransfer(result, on_rows_written, header))


def command_tag(result: Result, row_count: int) -> str:
    """Return the command tag: SELECT with the rows sent, otherwise the tag of the store."""
    return f"SELECT {row_count}" if result.tag.startswith("SELECT") else result.tag


def _wrapped_request(request: Request, results: tuple[int, ...]) -> Request:
    """Return the request for the query in DECLARE or COPY; other requests unchanged."""
    if request.prepared.inner is None:
        return request
    return replace(request, prepared=request.prepared.inner, results=results)
