"""Errors as PostgreSQL clients see them, and the SQLSTATEs that the router reports.

The states are those of the PostgreSQL manual, appendix A, but for three of the router's own.
"""

from __future__ import annotations

from tansycrank.errors import TansycrankError

PROTOCOL_VIOLATION = "08P01"
FEATURE_NOT_SUPPORTED = "0A000"
UNDEFINED_OBJECT = "42704"
UNDEFINED_TABLE = "42P01"
SYNTAX_ERROR = "42601"
INVALID_PARAMETER = "22023"
INVALID_TEXT = "22P02"
INVALID_BINARY = "22P03"
OUT_OF_RANGE = "22003"
NO_SHARD = "23514"
READ_ONLY = "25006"
IN_FAILED_TRANSACTION = "25P02"
NO_SUCH_STATEMENT = "26000"
NO_SUCH_PORTAL = "34000"
DUPLICATE_STATEMENT = "42P05"
DUPLICATE_PORTAL = "42P03"
TOO_MANY_CONNECTIONS = "53300"
LIMIT_EXCEEDED = "53400"
TOO_LARGE = "54000"
OUT_OF_MEMORY = "53200"
QUERY_CANCELED = "57014"
SHUTTING_DOWN = "57P01"
CANNOT_CONNECT_NOW = "57P03"
INTERNAL = "XX000"

QUERY_REJECTED = "53T01"  # own: the router rejected the query before it ran; a retry is harmless
QUERY_FAILED = "58T01"  # own: the router ended the query; it may or may not have had an effect
RESULT_INCOMPLETE = "58T02"  # own: an answer ended after some of its rows were sent

QUERY_FAULT_CLASSES = ("0A", "21", "22", "23", "42", "P0")  # SQLSTATE classes: the node is healthy
REJECTED_BEFORE_RUN = (TOO_MANY_CONNECTIONS, CANNOT_CONNECT_NOW)  # a node did not start the query


class PgError(TansycrankError):
    """An error for a client: SQLSTATE, message, and the optional fields of ErrorResponse."""

    def __init__(
        self, state: str, message: str, detail: str = "", hint: str = "", severity: str = "ERROR"
    ):
        super().__init__(message)
        self.state, self.message, self.detail, self.hint = state, message, detail, hint
        self.severity = severity

    @property
    def is_fatal(self) -> bool:
        """Whether it ends the session."""
        return self.severity in ("FATAL", "PANIC")

    @property
    def is_query_fault(self) -> bool:
        """Whether the statement, not the node, is to blame (the table on the operators' page)."""
        return self.state[:2] in QUERY_FAULT_CLASSES


def cancelled() -> PgError:
    """The error of a statement that its client cancelled, in PostgreSQL's wording."""
    return PgError(QUERY_CANCELED, "canceling statement due to user request")


def retry_after(detail: str) -> float:
    """Milliseconds to wait, from the DETAIL of a rejection; 0 where it names none."""
    found = detail.partition("retry_after_ms=")[2].split(" ")[0]
    return float(found or 0)


def unsupported(construct: str, hint: str = "") -> PgError:
    """The error of a statement whose shard results can't be merged exactly; names the construct."""
    return PgError(
        FEATURE_NOT_SUPPORTED, f"not supported over several shards: {construct}", hint=hint
    )


class ProtocolError(PgError):
    """A message that breaks the protocol. The session ends."""

    def __init__(self, message: str, state: str = PROTOCOL_VIOLATION):
        super().__init__(state, message, severity="FATAL")
