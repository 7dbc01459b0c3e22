"""Cursors of one session (DECLARE, FETCH, CLOSE): materialized results and read positions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tansycrank.merge.rows import Result
from tansycrank.postgres.errors import DUPLICATE_PORTAL, LIMIT_EXCEEDED, NO_SUCH_PORTAL, PgError
from tansycrank.postgres.server.sqlstates import NO_ACTIVE_TRANSACTION
from tansycrank.sql_router.service import Service


@dataclass(slots=True)
class Cursor:
    """A declared cursor: result, index of the next row, time of the last use (seconds)."""

    result: Result
    position: int = 0
    last_used: float = 0.0


class CursorTable:
    """Cursors by name; releases the result of each removed one. `clock()` returns seconds."""

    def __init__(self, service: Service, clock: Callable[[], float]) -> None:
        self._service = service
        self._clock = clock
        self._cursors: dict[str, Cursor] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._cursors

    def check_declaration(self, name: str, in_block: bool) -> None:
        """Raise PgError if DECLARE is not allowed for this name."""
        if not in_block:
            raise PgError(
                NO_ACTIVE_TRANSACTION, "DECLARE CURSOR can only be used in transaction blocks"
            )
        if name in self._cursors:
            raise PgError(DUPLICATE_PORTAL, f"cursor {name!r} already exists")
        max_cursors = self._service.config.merge.max_cursors
        if len(self._cursors) >= max_cursors:
            raise PgError(LIMIT_EXCEEDED, f"more than {max_cursors} cursors in a session")

    def declare(self, name: str, result: Result) -> None:
        """Add a cursor at the first row of a result."""
        self._cursors[name] = Cursor(result, last_used=self._clock())

    def get(self, name: str) -> Cursor:
        """Return the cursor of this name. Raises PgError 34000."""
        if name not in self._cursors:
            raise PgError(
                NO_SUCH_PORTAL, f"cursor {name!r} does not exist, or was idle for too long"
            )
        return self._cursors[name]

    def mark_used(self, cursor: Cursor) -> None:
        """Restart the idle timeout of a cursor."""
        cursor.last_used = self._clock()

    def close(self, name: str) -> None:
        """Remove a cursor. Raises PgError 34000."""
        self.get(name)
        self._service.release(self._cursors.pop(name).result)

    def close_all(self) -> None:
        """Remove all cursors on CLOSE ALL."""
        for name in list(self._cursors):
            self.close(name)

    def release_all(self) -> None:
        """Remove all cursors at the end of the transaction block or session."""
        for cursor in self._cursors.values():
            self._service.release(cursor.result)
        self._cursors.clear()

    def close_unused_since(self, last_used: float) -> None:
        """Remove cursors whose last use was before this time (seconds)."""
        idle = [name for name, cursor in self._cursors.items() if cursor.last_used < last_used]
        for name in idle:
            self.close(name)

    def __bool__(self) -> bool:
        return bool(self._cursors)
