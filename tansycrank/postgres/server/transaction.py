"""Transaction block of a session; read-only because shards have no common rollback."""

from __future__ import annotations

from enum import Enum

from tansycrank.postgres.errors import IN_FAILED_TRANSACTION, LIMIT_EXCEEDED, READ_ONLY, PgError
from tansycrank.postgres.server.sqlstates import INVALID_SAVEPOINT, NO_ACTIVE_TRANSACTION
from tansycrank.sql.plan import LocalCommand, Prepared

MAX_SAVEPOINTS = 100  # per transaction block
ALLOWED_IN_FAILED_BLOCK = ("commit", "rollback", "rollback_to")


class TransactionStatus(Enum):
    """Transaction status as reported in ReadyForQuery."""

    IDLE = "I"
    IN_BLOCK = "T"
    FAILED = "E"


class TransactionBlock:
    """Status and savepoint names of a transaction block."""

    def __init__(self) -> None:
        self.status = TransactionStatus.IDLE
        self._savepoints: list[str] = []

    @property
    def is_idle(self) -> bool:
        """Whether no block is open."""
        return self.status is TransactionStatus.IDLE

    @property
    def is_open(self) -> bool:
        """Whether a block is open and has not failed."""
        return self.status is TransactionStatus.IN_BLOCK

    @property
    def has_failed(self) -> bool:
        """Whether an error has aborted the block."""
        return self.status is TransactionStatus.FAILED

    def begin(self) -> None:
        """Open a transaction block (BEGIN)."""
        self.status = TransactionStatus.IN_BLOCK

    def fail(self) -> None:
        """Mark an open block as failed; no effect outside a block."""
        if self.is_open:
            self.status = TransactionStatus.FAILED

    def end(self) -> None:
        """Close the block (COMMIT or ROLLBACK)."""
        self._savepoints.clear()
        self.status = TransactionStatus.IDLE

    def check_statement(self, prepared: Prepared) -> None:
        """Raise PgError 25P02 or 25006 if a statement is not allowed in this block."""
        command = prepared.local.command if prepared.local else ""
        if self.has_failed and command not in ALLOWED_IN_FAILED_BLOCK:
            raise PgError(
                IN_FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            )
        if self.is_open and (prepared.writes or prepared.volatile_function):
            what = prepared.tag if prepared.writes else f"{prepared.volatile_function}()"
            raise PgError(
                READ_ONLY,
                f"cannot execute {what} in a transaction block of the router",
                hint="blocks are read-only here; write in autocommit mode, one shard a statement",
            )

    def change_savepoints(self, command: LocalCommand) -> None:
        """Run SAVEPOINT, RELEASE or ROLLBACK TO, which also recovers a failed block."""
        if self.is_idle:
            raise PgError(
                NO_ACTIVE_TRANSACTION, f"{command.tag} can only be used in transaction blocks"
            )
        if command.command == "savepoint":
            self._add_savepoint(command.name)
            return
        position = self._find_savepoint(command.name)
        if command.command == "release":
            del self._savepoints[position:]
        else:
            del self._savepoints[position + 1 :]
            self.status = TransactionStatus.IN_BLOCK

    def _add_savepoint(self, name: str) -> None:
        if len(self._savepoints) >= MAX_SAVEPOINTS:
            raise PgError(LIMIT_EXCEEDED, f"more than {MAX_SAVEPOINTS} savepoints in a block")
        self._savepoints.append(name)

    def _find_savepoint(self, name: str) -> int:
        """Return the index of the newest savepoint of this name."""
        if name not in self._savepoints:
            raise PgError(INVALID_SAVEPOINT, f"savepoint {name!r} does not exist")
        return len(self._savepoints) - 1 - self._savepoints[::-1].index(name)
