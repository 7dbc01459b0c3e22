"""State that the message handlers of a session share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tansycrank.admission.identity import Caller
from tansycrank.config import ListenSection
from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.postgres.server.cursors import CursorTable
from tansycrank.postgres.server.prepared import PortalTable, StatementTable
from tansycrank.postgres.server.session_settings import SessionSettings
from tansycrank.postgres.server.transaction import TransactionBlock
from tansycrank.sql.plan import Prepared
from tansycrank.sql.planner import split_leading_comment
from tansycrank.sql_router.service import UNKNOWN_CALLER, Request, Service


class SessionConnection(Protocol):
    """The part of a client connection that message handlers use."""

    @property
    def is_ready(self) -> bool:
        """Whether the session is logged in and not about to end."""

    @property
    def may_write_rows(self) -> bool:
        """Whether the client is connected and reading its responses."""

    def write(self, data: bytes) -> None:
        """Send encoded messages to the client."""

    def process_messages(self) -> None:
        """Continue with queued messages after a response is complete."""

    def fail_statement(self, error: Exception) -> None:
        """Answer the running statement with an error, after an exception."""


@dataclass(slots=True)
class SessionContext:
    """Identity, settings, transaction and named objects of a session."""

    service: Service
    limits: ListenSection
    connection: SessionConnection
    settings: SessionSettings
    transaction: TransactionBlock
    statements: StatementTable
    portals: PortalTable
    cursors: CursorTable
    caller: Caller = UNKNOWN_CALLER

    def release_portals_and_cursors(self) -> None:
        """Release all portals and cursors, as at the end of a transaction."""
        self.portals.release_all()
        self.cursors.release_all()

    def split_statement(self, sql: str) -> tuple[str, str]:
        """Return (leading comment, statements). Raises PgError 54000 if the text is too long."""
        if len(sql) > self.limits.max_statement:
            raise PgError(
                TOO_LARGE,
                f"the statement has {len(sql)} characters; allowed {self.limits.max_statement}",
            )
        return split_leading_comment(sql)

    def make_request(self, prepared: Prepared, comment: str) -> Request:
        """Build a request without parameters and with results in text format."""
        return Request(
            prepared, comment=comment, settings=self.settings.snapshot(), caller=self.caller
        )
