"""Prepared statements and portals of one session, by name."""

from __future__ import annotations

from dataclasses import dataclass

from tansycrank.merge.rows import Result
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import (
    DUPLICATE_PORTAL,
    DUPLICATE_STATEMENT,
    LIMIT_EXCEEDED,
    NO_SUCH_PORTAL,
    NO_SUCH_STATEMENT,
    PgError,
)
from tansycrank.sql.plan import Prepared
from tansycrank.sql_router.service import Service

VALUE_OVERHEAD_BYTES = 48  # of a parameter value beside its bytes


@dataclass(slots=True)
class Statement:
    """A prepared statement; `prepared` is None for an empty query string."""

    prepared: Prepared | None
    comment: str
    held_bytes: int = 0


@dataclass(slots=True)
class Portal:
    """A bound statement; after it has run, its result and the index of the next row to send."""

    statement: Statement
    bind: pg.Bind
    result: Result | None = None
    position: int = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of its parameter values."""
        values = self.bind.values
        return VALUE_OVERHEAD_BYTES * len(values) + sum(map(len, filter(None, values)))

    @property
    def is_exhausted(self) -> bool:
        """Whether all rows of the result have been sent."""
        stream = self.result.stream
        return stream.ended if stream is not None else self.position >= len(self.result.rows)


class StatementTable:
    """Prepared statements by name; the unnamed one may be replaced."""

    def __init__(self, max_statements: int) -> None:
        self._max_statements = max_statements
        self._statements: dict[str, Statement] = {}
        self.held_bytes = 0

    def check_name(self, name: str) -> None:
        """Raise PgError if a statement of this name cannot be added."""
        if name and name in self._statements:
            raise PgError(DUPLICATE_STATEMENT, f"prepared statement {name!r} already exists")
        if name not in self._statements and len(self._statements) >= self._max_statements:
            raise PgError(
                LIMIT_EXCEEDED, f"more than {self._max_statements} prepared statements in a session"
            )

    def add(self, name: str, statement: Statement) -> None:
        """Add or replace a statement."""
        self.discard(name)
        self._statements[name] = statement
        self.held_bytes += statement.held_bytes

    def get(self, name: str) -> Statement:
        """Return the statement of this name. Raises PgError 26000."""
        if name not in self._statements:
            raise PgError(NO_SUCH_STATEMENT, f"prepared statement {name!r} does not exist")
        return self._statements[name]

    def discard(self, name: str) -> None:
        """Remove a statement if it exists (Close message)."""
        statement = self._statements.pop(name, None)
        if statement is not None:
            self.held_bytes -= statement.held_bytes

    def deallocate(self, name: str) -> None:
        """Remove a statement (DEALLOCATE). Raises PgError 26000."""
        self.get(name)
        self.discard(name)

    def clear(self) -> None:
        """Remove all statements."""
        self._statements.clear()
        self.held_bytes = 0


class PortalTable:
    """Portals by name; releases the result of each removed one."""

    def __init__(self, service: Service, max_portals: int) -> None:
        self._service = service
        self._max_portals = max_portals
        self._portals: dict[str, Portal] = {}
        self.held_bytes = 0

    def check_name(self, name: str) -> None:
        """Raise PgError if a portal of this name cannot be added."""
        if name and name in self._portals:
            raise PgError(DUPLICATE_PORTAL, f"portal {name!r} already exists")
        if len(self._portals) >= self._max_portals and name not in self._portals:
            raise PgError(LIMIT_EXCEEDED, f"more than {self._max_portals} portals in a session")

    def add(self, name: str, portal: Portal) -> None:
        """Add a portal; the unnamed one replaces the previous one."""
        self.release(name)
        self._portals[name] = portal
        self.held_bytes += portal.held_bytes

    def get(self, name: str) -> Portal:
        """Return the portal of this name. Raises PgError 34000."""
        if name not in self._portals:
            raise PgError(NO_SUCH_PORTAL, f"portal {name!r} does not exist")
        return self._portals[name]

    def release(self, name: str) -> None:
        """Remove a portal if it exists."""
        portal = self._portals.pop(name, None)
        if portal is None:
            return
        self.held_bytes -= portal.held_bytes
        if portal.result is not None:
            self._service.release(portal.result)

    def release_all(self) -> None:
        """Remove all portals."""
        for portal in self._portals.values():
            if portal.result is not None:
                self._service.release(portal.result)
        self._portals.clear()
        self.held_bytes = 0
