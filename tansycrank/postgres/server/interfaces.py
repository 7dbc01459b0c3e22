"""What a client session needs of the factory that made it."""

from __future__ import annotations

from typing import Protocol

from tansycrank.admission.reader_scheduler import ReaderScheduler
from tansycrank.config import ListenSection
from tansycrank.postgres.errors import PgError
from tansycrank.sql_router.service import Service


class SessionOwner(Protocol):
    """The owner of all sessions of a listening socket, as one session sees it."""

    service: Service
    limits: ListenSection
    reactor: object
    log: object
    stopping: bool
    turns: ReaderScheduler

    def opened(self, session: object) -> None:
        """Count an accepted connection; close it if there are too many."""

    def closed(self, session: object) -> None:
        """Forget a connection that ended."""

    def admission(self, session: object) -> PgError | None:
        """Return why this client cannot log in now, or None if it can."""

    def key(self, session: object) -> tuple[int, int]:
        """Return a new cancel key: (pid, secret)."""

    def cancel(self, pid: int, secret: int) -> None:
        """Cancel the statement of the session with this key, if there is one."""

    def watch_cursors(self) -> None:
        """Check for unused cursors until none is left."""
