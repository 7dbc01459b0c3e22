"""The simple query protocol: one message with one or more statements."""

from __future__ import annotations

from collections.abc import Iterator

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import FEATURE_NOT_SUPPORTED, UNDEFINED_PARAMETER, PgError
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.session_commands import SessionCommands
from tansycrank.postgres.server.statement_execution import ASYNC_COMMANDS, StatementExecution
from tansycrank.sql.plan import Prepared


class SimpleQuery:
    """Handles Query messages; an error skips the remaining statements of the message."""

    def __init__(
        self, context: SessionContext, commands: SessionCommands, execution: StatementExecution
    ) -> None:
        self._context = context
        self._commands = commands
        self._execution = execution

    def handle(self, sql: str) -> None:
        """Run the statements of a Query message in order."""
        if self._context.transaction.is_idle:
            self._context.release_portals_and_cursors()
        try:
            comment, statements = self._prepare(sql)
        except PgError as error:
            self.fail(error)
            return
        if not statements:
            self._context.connection.write(pg.EMPTY_QUERY + self._ready_message())
            return
        self._run_next(iter(statements), comment)

    def _prepare(self, sql: str) -> tuple[str, tuple[Prepared, ...]]:
        """Parse and plan a message to (leading comment, statements). Raises PgError."""
        context = self._context
        comment, rest = context.split_statement(sql)
        rejection = context.service.reject_early(rest, context.caller, context.settings)
        if rejection is not None:
            raise rejection
        statements = context.service.prepare(rest)
        if len(statements) > 1 and any(s.writes or s.volatile_function for s in statements):
            raise PgError(
                FEATURE_NOT_SUPPORTED,
                "a write beside other statements in one simple query",
                hint="they would not be one transaction here; send them one by one",
            )
        return comment, statements

    def _run_next(self, remaining: Iterator[Prepared], comment: str) -> None:
        """Run statements until one is asynchronous or all are done."""
        for prepared in remaining:
            try:
                if self._run_synchronously(prepared):
                    continue
                self._start_execution(prepared, remaining, comment)
            except PgError as error:
                self.fail(error)
            return
        self._context.connection.write(self._ready_message())

    def _run_synchronously(self, prepared: Prepared) -> bool:
        """Run a synchronous session command; return False for any other statement."""
        self._context.transaction.check_statement(prepared)
        if prepared.oids:
            raise PgError(UNDEFINED_PARAMETER, "there is no parameter $1")
        if prepared.local is None or prepared.local.command in ASYNC_COMMANDS:
            return False
        fields = self._commands.fields(prepared)
        header = [pg.row_description(fields)] if fields is not None else []
        self._context.connection.write(b"".join(header + self._commands.run(prepared.local)))
        return True

    def _start_execution(
        self, prepared: Prepared, remaining: Iterator[Prepared], comment: str
    ) -> None:
        def on_finished(tag: str | None, error: PgError | None) -> None:
            if error is not None:
                self.fail(error)
                return
            self._context.connection.write(pg.command_complete(tag))
            self._run_next(remaining, comment)

        self._execution.execute(self._context.make_request(prepared, comment), True, on_finished)

    def fail(self, error: PgError) -> None:
        """End the message with an error and ReadyForQuery."""
        self._context.transaction.fail()
        self._context.connection.write(pg.error_response(error) + self._ready_message())

    def _ready_message(self) -> bytes:
        return pg.ready_for_query(self._context.transaction.status.value)
