"""Commands that the router executes itself: SET, SHOW, BEGIN, SAVEPOINT, CLOSE, DEALLOCATE."""

from __future__ import annotations

from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.server.context import SessionContext
from tansycrank.postgres.server.result_formats import apply_formats
from tansycrank.postgres.server.sqlstates import ACTIVE_TRANSACTION, NO_ACTIVE_TRANSACTION
from tansycrank.sql.plan import LocalCommand, Prepared

BLOCK_END_COMMANDS = ("commit", "rollback")


class SessionCommands:
    """Runs the session commands that complete synchronously."""

    def __init__(self, context: SessionContext) -> None:
        self._context = context
        self._handlers = {
            "rows": self._rows,
            "show": self._show,
            "set": self._set,
            "reset": self._reset,
            "close": self._close_cursors,
            "deallocate": self._deallocate,
            "begin": self._begin,
            "savepoint": self._savepoint,
            "release": self._savepoint,
            "rollback_to": self._savepoint,
            "commit": self._end_block,
            "rollback": self._end_block,
        }

    def run(self, command: LocalCommand) -> list[bytes]:
        """Run a command; return its response without RowDescription. Raises PgError."""
        tag = command.tag
        if command.command in BLOCK_END_COMMANDS and self._context.transaction.has_failed:
            tag = "ROLLBACK"
        handler = self._handlers.get(command.command)  # other commands only return a command tag
        messages = handler(command) if handler is not None else []
        return [*messages, pg.command_complete(tag)]

    def fields(
        self, prepared: Prepared, result_formats: tuple[int, ...] = ()
    ) -> tuple[pg.Field, ...] | None:
        """Return the result columns of a command, or None without a result. Raises PgError."""
        local = prepared.local
        if local.command == "show":
            return self._show_fields(local)
        if local.command == "fetch":
            return self._context.cursors.get(local.name).result.fields
        if local.command == "rows" and prepared.returns_rows:
            return apply_formats(local.fields, result_formats)
        return None

    def _show_fields(self, command: LocalCommand) -> tuple[pg.Field, ...]:
        view = self._context.service.view(command.name.lower(), self._context.caller)
        if view is None:
            return (pg.Field(command.name, types.TEXT),)
        return tuple(pg.Field(name, types.TEXT) for name in view[0])

    @staticmethod
    def _rows(command: LocalCommand) -> list[bytes]:
        return [pg.data_row(row) for row in command.rows]

    def _show(self, command: LocalCommand) -> list[bytes]:
        view = self._context.service.view(command.name.lower(), self._context.caller)
        rows = view[1] if view is not None else [(self._context.settings.show_value(command.name),)]
        return [pg.data_row([value.encode() for value in row]) for row in rows]

    def _set(self, command: LocalCommand) -> list[bytes]:
        context = self._context
        return context.settings.assign(command.name, command.value, context.caller)

    def _reset(self, command: LocalCommand) -> list[bytes]:
        self._context.settings.reset()
        if command.tag == "DISCARD ALL":
            self._context.statements.clear()
        return []

    def _close_cursors(self, command: LocalCommand) -> list[bytes]:
        if command.name:
            self._context.cursors.close(command.name)
        else:
            self._context.cursors.close_all()
        return []

    def _deallocate(self, command: LocalCommand) -> list[bytes]:
        if command.name:
            self._context.statements.deallocate(command.name)
        else:
            self._context.statements.clear()
        return []

    def _begin(self, command: LocalCommand) -> list[bytes]:
        if not self._context.transaction.is_idle:
            return [_warning(ACTIVE_TRANSACTION, "there is already a transaction in progress")]
        self._context.transaction.begin()
        return []

    def _savepoint(self, command: LocalCommand) -> list[bytes]:
        self._context.transaction.change_savepoints(command)
        return []

    def _end_block(self, command: LocalCommand) -> list[bytes]:
        was_idle = self._context.transaction.is_idle
        self._context.transaction.end()
        self._context.release_portals_and_cursors()
        if was_idle:
            return [_warning(NO_ACTIVE_TRANSACTION, "there is no transaction in progress")]
        return []


def _warning(state: str, message: str) -> bytes:
    return pg.notice_response(PgError(state, message, severity="WARNING"))
