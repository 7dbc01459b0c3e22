"""The extended query protocol: Parse, Bind, Describe, Execute, Close, Sync.

Two kinds of messages are deferred until the next message is known. Describe of a portal is answered
together with its rows if Execute follows, which saves a round trip to the store. A write runs only
if Sync follows, because a batch is not one transaction here.
"""

from __future__ import annotations

from tansycrank.merge.rows import Result
from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    PROTOCOL_VIOLATION,
    SYNTAX_ERROR,
    PgError,
    ProtocolError,
)
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.message_queue import MessageQueue
from tansycrank.postgres.server.prepared import Portal, Statement
from tansycrank.postgres.server.result_formats import (
    apply_formats,
    convert_rows,
    description,
)
from tansycrank.postgres.server.row_writer import RowTransfer, RowWriter
from tansycrank.postgres.server.session_commands import SessionCommands
from tansycrank.postgres.server.statement_execution import (
    ASYNC_COMMANDS,
    StatementExecution,
    command_tag,
)
from tansycrank.sql.plan import Prepared
from tansycrank.sql_router.service import Request

STATEMENT_KIND = "S"
PLAN_BYTES_PER_CHARACTER = 40  # memory of a planned statement by the length of its text
BYTES_PER_PARAMETER_TYPE = 40  # in a planned statement
COPY_DATA_KINDS = "dcf"  # CopyData, CopyDone, CopyFail: ignored outside COPY


class ExtendedQuery:
    """Handles the messages of extended-query batches; after an error, skips to the next Sync."""

    def __init__(
        self,
        context: SessionContext,
        commands: SessionCommands,
        execution: StatementExecution,
        row_writer: RowWriter,
    ) -> None:
        self._context = context
        self._connection = context.connection
        self._commands = commands
        self._execution = execution
        self._row_writer = row_writer
        self._deferred_description: str | None = None  # name of a portal
        self._deferred_write: pg.Execute | None = None
        self.is_skipping_to_sync = False  # until the next Sync

    def sync(self) -> None:
        """Handle Sync: end the batch and send ReadyForQuery."""
        self.is_skipping_to_sync = False
        if self._context.transaction.is_idle:
            self._context.release_portals_and_cursors()
        self._connection.write(pg.ready_for_query(self._context.transaction.status.value))

    def resume_deferred(self, queue: MessageQueue) -> bool:
        """Handle a deferred message; return False if there is none. Raises PgError."""
        if not queue:
            return False
        if self._deferred_write is not None:
            self._resume_write(queue)
            return True
        if self._deferred_description is None:
            return False
        following = queue.peek()
        portal_name = self._deferred_description
        if isinstance(following, pg.Execute) and following.portal == portal_name:
            return False
        self._deferred_description = None
        self._describe_portal(portal_name)
        return True

    def handle(self, message: object, queue: MessageQueue) -> None:
        """Handle one message of a batch; `queue` holds the following ones. Raises PgError."""
        match message:
            case pg.Parse():
                self._reject_early(message, queue)
                self._parse(message)
            case pg.Bind():
                self._bind(message)
            case pg.Describe():
                self._describe(message)
            case pg.Execute():
                self._execute(message)
            case pg.Close(kind, name):
                self._close(kind, name)
            case pg.Unexpected(kind) if kind not in COPY_DATA_KINDS:
                raise ProtocolError(f"message of type {kind!r} has no place here")

    def fail(self, error: PgError) -> None:
        """Send an error and skip to the next Sync."""
        self._deferred_description = None
        self.is_skipping_to_sync = True
        self._context.transaction.fail()
        self._connection.write(pg.error_response(error))

    # --- Parse, Bind, Close

    def _reject_early(self, message: pg.Parse, queue: MessageQueue) -> None:
        """Apply early rejection before planning if Bind, with the parameter values, follows."""
        following = queue.peek() if queue else None
        if not isinstance(following, pg.Bind) or following.statement != message.name:
            return
        context = self._context
        _, sql = context.split_statement(message.sql)
        rejection = context.service.reject_early(
            sql, context.caller, context.settings, following.values
        )
        if rejection is not None:
            raise rejection

    def _parse(self, message: pg.Parse) -> None:
        context = self._context
        context.statements.check_name(message.name)
        comment, rest = context.split_statement(message.sql)
        statements = context.service.prepare(rest, message.oids)
        if len(statements) > 1:
            raise PgError(SYNTAX_ERROR, "cannot insert multiple commands into a prepared statement")
        prepared = statements[0] if statements else None
        if prepared is not None and context.transaction.has_failed:
            context.transaction.check_statement(prepared)
        held_bytes = PLAN_BYTES_PER_CHARACTER * len(message.sql)
        if prepared is not None:
            held_bytes += BYTES_PER_PARAMETER_TYPE * len(prepared.oids)
        context.statements.add(message.name, Statement(prepared, comment, held_bytes))
        self._connection.write(pg.PARSE_COMPLETE)

    def _bind(self, message: pg.Bind) -> None:
        context = self._context
        statement = context.statements.get(message.statement)
        context.portals.check_name(message.portal)
        expected = len(statement.prepared.oids) if statement.prepared else 0
        if len(message.values) != expected:
            raise PgError(
                PROTOCOL_VIOLATION,
                f"bind message supplies {len(message.values)} parameters, but prepared statement "
                f"{message.statement!r} requires {expected}",
            )
        if statement.prepared is not None:
            context.transaction.check_statement(statement.prepared)
        context.portals.add(message.portal, Portal(statement, message))
        self._connection.write(pg.BIND_COMPLETE)

    def _close(self, kind: str, name: str) -> None:
        if kind == STATEMENT_KIND:
            self._context.statements.discard(name)
        else:
            self._context.portals.release(name)
        self._connection.write(pg.CLOSE_COMPLETE)

    # --- Describe

    def _describe(self, message: pg.Describe) -> None:
        name = message.name
        if message.kind == STATEMENT_KIND:
            self._describe_statement(name)
        elif name and name in self._context.cursors:
            fields = self._context.cursors.get(name).result.fields
            self._connection.write(pg.row_description(fields))
        else:
            self._context.portals.get(name)
            self._deferred_description = name

    def _describe_statement(self, name: str) -> None:
        prepared = self._context.statements.get(name).prepared
        if prepared is None:
            self._connection.write(pg.parameter_description(()) + pg.NO_DATA)
            return
        if prepared.local is not None:
            fields = self._commands.fields(prepared)
            header = pg.parameter_description(prepared.oids)
            self._connection.write(header + description(fields))
            return

        def on_outcome(outcome: tuple | PgError) -> None:
            if isinstance(outcome, PgError):
                self.fail(outcome)
                return
            oids, fields = outcome
            formatted = None if fields is None else apply_formats(fields, ())
            row_description = description(formatted)
            header = pg.parameter_description([oid or types.TEXT for oid in oids])
            self._connection.write(header + row_description)

        self._execution.describe(prepared, on_outcome)

    def _describe_portal(self, name: str) -> None:
        portal = self._context.portals.get(name)
        prepared, result_formats = portal.statement.prepared, portal.bind.result_formats
        if prepared is None:
            self._connection.write(pg.NO_DATA)
        elif prepared.local is not None:
            self._connection.write(description(self._commands.fields(prepared, result_formats)))
        elif portal.result is not None:
            self._connection.write(description(portal.result.fields))
        else:
            self._fetch_description(prepared, result_formats)

    def _fetch_description(self, prepared: Prepared, result_formats: tuple[int, ...]) -> None:
        def on_outcome(outcome: tuple | PgError) -> None:
            if isinstance(outcome, PgError):
                self.fail(outcome)
                return
            fields = outcome[1]
            formatted = None if fields is None else apply_formats(fields, result_formats)
            self._connection.write(description(formatted))

        self._execution.describe(prepared, on_outcome)

    # --- Execute

    def _execute(self, message: pg.Execute) -> None:
        portal = self._context.portals.get(message.portal)
        with_description = self._deferred_description == message.portal
        self._deferred_description = None
        prepared = portal.statement.prepared
        if prepared is None:
            header = pg.NO_DATA if with_description else b""
            self._connection.write(header + pg.EMPTY_QUERY)
            return
        self._context.transaction.check_statement(prepared)
        if prepared.local is not None and prepared.local.command in ASYNC_COMMANDS:
            self._execute_async_command(portal, with_description)
        elif prepared.local is not None:
            self._execute_sync_command(portal, with_description)
        elif portal.result is not None:
            self._write_portal(portal, message.limit, with_description)
        elif (prepared.writes or prepared.volatile_function) and self._deferred_write is None:
            self._deferred_write = message
            self._deferred_description = message.portal if with_description else None
        else:
            self._run_portal(portal, message.limit, with_description)

    def _execute_async_command(self, portal: Portal, with_description: bool) -> None:
        is_fetch = portal.statement.prepared.local.command == "fetch"

        def on_finished(tag: str | None, error: PgError | None) -> None:
            if error is not None:
                self.fail(error)
            else:
                self._connection.write(pg.command_complete(tag))

        if with_description and not is_fetch:
            self._connection.write(pg.NO_DATA)
        self._execution.execute(self._request(portal), with_description and is_fetch, on_finished)

    def _execute_sync_command(self, portal: Portal, with_description: bool) -> None:
        prepared, bind = portal.statement.prepared, portal.bind
        fields = self._commands.fields(prepared, bind.result_formats)
        local = prepared.local
        if prepared.compute_local is not None:
            values = self._context.service.decode_values(prepared, bind.values, bind.formats)
            local = prepared.compute_local(values)
        header = description(fields) if with_description else b""
        answer = self._commands.run(local)
        if fields is not None and any(field.format for field in fields):
            answer = convert_rows(fields, answer)
        self._connection.write(header + b"".join(answer))

    def _run_portal(self, portal: Portal, row_limit: int, with_description: bool) -> None:
        def on_outcome(outcome: Result | PgError) -> None:
            if isinstance(outcome, PgError):
                self.fail(outcome)
                return
            portal.result = outcome
            self._write_portal(portal, row_limit, with_description)

        self._execution.run(self._request(portal), on_outcome)

    def _write_portal(self, portal: Portal, row_limit: int, with_description: bool) -> None:
        result = portal.result
        header = description(result.fields) if with_description else b""

        def on_rows_written(row_count: int, error: PgError | None) -> None:
            portal.position += row_count
            if error is not None:
                self.fail(error)
            elif row_limit and row_count == row_limit and not portal.is_exhausted:
                self._connection.write(pg.PORTAL_SUSPENDED)
            else:
                self._connection.write(pg.command_complete(command_tag(result, row_count)))

        self._row_writer.start(
            RowTransfer(result, on_rows_written, header, row_limit or None, portal.position)
        )

    def _resume_write(self, queue: MessageQueue) -> None:
        """Run a deferred write if Sync follows; any message but Flush or Sync is an error."""
        message = self._deferred_write
        following = queue.peek()
        if isinstance(following, pg.Flush):
            queue.pop()
            return
        if not isinstance(following, pg.Sync):
            self._deferred_write = None
            self.fail(
                PgError(
                    FEATURE_NOT_SUPPORTED,
                    "a write must be the last of its batch",
                    hint="batches are not one transaction here; send Sync after each write",
                )
            )
            return
        try:
            self._execute(message)
        except PgError as error:
            self.fail(error)
        finally:
            self._deferred_write = None

    def _request(self, portal: Portal) -> Request:
        bind, statement = portal.bind, portal.statement
        return Request(
            statement.prepared,
            bind.values,
            bind.formats,
            bind.result_formats,
            statement.comment,
            self._context.settings.snapshot(),
            self._context.caller,
        )
