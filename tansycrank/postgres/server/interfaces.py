"""Interface of the session factory that a client session uses."""

from __future__ import annotations

from typing import Protocol

from tansycrank.admission.reader_scheduler import ReaderScheduler
from tansycrank.byte_budget import ByteBudget
from tansycrank.config import ListenSection
from tansycrank.postgres.errors import PgError
from tansycrank.sql_router.service import Service


class SessionOwner(Protocol):
    """The factory that tracks all sessions of a listening socket."""

    service: Service
    limits: ListenSection
    reactor: object
    held_bytes: ByteBudget  # of all its sessions
    log: object
    stopping: bool
    reader_scheduler: ReaderScheduler

    def add_session(self, session: object) -> None:
        """Track an accepted connection; abort it if there are too many."""

    def remove_session(self, session: object) -> None:
        """Remove a session whose connection has ended."""

    def login_error(self, session: object) -> PgError | None:
        """Return the error that prevents a login now, or None."""

    def assign_cancel_key(self, session: object) -> tuple[int, int]:
        """Register a session that logs in; return its cancel key (pid, secret)."""

    def cancel(self, pid: int, secret: int) -> None:
        """Cancel the statement of the session with this key, if there is one."""

    def schedule_cursor_check(self) -> None:
        """Start periodic checks for idle cursors; they stop when no cursor is left."""
