"""The simple query protocol: one message with one or several statements."""

from __future__ import annotations

from collections.abc import Iterator

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import FEATURE_NOT_SUPPORTED, PgError
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.session_commands import SessionCommands
from tansycrank.postgres.server.sqlstates import UNDEFINED_PARAMETER
from tansycrank.postgres.server.statement_execution import LONG_COMMANDS, StatementExecution
from tansycrank.sql.plan import Prepared


class SimpleQuery:
    """Answers Query messages; an error ends the message that it occurs in."""

    def __init__(
        self, context: SessionContext, commands: SessionCommands, execution: StatementExecution
    ) -> None:
        self._context = context
        self._commands = commands
        self._execution = execution

    def handle(self, sql: str) -> None:
        """Run the statements of a Query message one after the other."""
        if self._context.transaction.is_idle:
            self._context.release_portals_and_cursors()
        try:
            comment, statements = self._prepare(sql)
        except PgError as error:
            self._fail(error)
            return
        if not statements:
            self._context.connection.write(pg.EMPTY_QUERY + self._ready_message())
            return
        self._run_next(iter(statements), comment)

    def _prepare(self, sql: str) -> tuple[str, tuple[Prepared, ...]]:
        """(leading comment, statements). Raises PgError."""
        context = self._context
        comment, rest = context.split_statement(sql)
        rejection = context.service.reject_early(rest, context.caller, context.settings)
        if rejection is not None:
            raise rejection
        statements = context.service.prepare(rest)
        if len(statements) > 1 and any(s.writes or s.volatile for s in statements):
            raise PgError(
                FEATURE_NOT_SUPPORTED,
                "a write beside other statements in one simple query",
                hint="they would not be one transaction here; send them one by one",
            )
        return comment, statements

    def _run_next(self, remaining: Iterator[Prepared], comment: str) -> None:
        """Run statements until one must be waited for, or all are done."""
        for prepared in remaining:
            try:
                if self._run_at_once(prepared):
                    continue
                self._start(prepared, remaining, comment)
            except PgError as error:
                self._fail(error)
            return
        self._context.connection.write(self._ready_message())

    def _run_at_once(self, prepared: Prepared) -> bool:
        """Answer a session command; False for a statement that has to be waited for."""
        self._context.transaction.check_statement(prepared)
        if prepared.oids:
            raise PgError(UNDEFINED_PARAMETER, "there is no parameter $1")
        if prepared.local is None or prepared.local.command in LONG_COMMANDS:
            return False
        fields = self._commands.fields(prepared)
        header = [pg.row_description(fields)] if fields is not None else []
        self._context.connection.write(b"".join(header + self._commands.run(prepared.local)))
        return True

    def _start(self, prepared: Prepared, remaining: Iterator[Prepared], comment: str) -> None:
        def on_finished(tag: str | None, error: PgError | None) -> None:
            if error is not None:
                self._fail(error)
                return
            self._context.connection.write(pg.command_complete(tag))
            self._run_next(remaining, comment)

        self._execution.answer(self._context.request(prepared, comment), True, on_finished)

    def _fail(self, error: PgError) -> None:
        self._context.transaction.fail()
        self._context.connection.write(pg.error_response(error) + self._ready_message())

    def _ready_message(self) -> bytes:
        return pg.ready_for_query(self._context.transaction.status.value)
