"""Errors reported to PostgreSQL clients, and the SQLSTATE codes that the router uses.

The codes are those of the PostgreSQL manual, appendix A, except for three specific to the router.
"""

from __future__ import annotations

import re

from tansycrank.errors import TansycrankError

PROTOCOL_VIOLATION = "08P01"
FEATURE_NOT_SUPPORTED = "0A000"
UNDEFINED_OBJECT = "42704"
UNDEFINED_TABLE = "42P01"
UNDEFINED_PARAMETER = "42P02"
INDETERMINATE_DATATYPE = "42P18"
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
TOO_COMPLEX = "54001"
TOO_MANY_COLUMNS = "54011"
OUT_OF_MEMORY = "53200"
QUERY_CANCELED = "57014"
SHUTTING_DOWN = "57P01"
CANNOT_CONNECT_NOW = "57P03"
INTERNAL = "XX000"

QUERY_REJECTED = "53T01"  # router-specific: rejected before it ran; safe to retry
QUERY_FAILED = "58T01"  # router-specific: ended by the router; it may have taken effect
RESULT_INCOMPLETE = "58T02"  # router-specific: failed after some rows had been sent

# SQLSTATE classes of errors in the statement; the data node that reports them is healthy.
QUERY_FAULT_CLASSES = ("0A", "21", "22", "23", "42", "P0")
# SQLSTATEs with which a data node reports that it did not start the query.
REJECTED_BEFORE_RUN = (TOO_MANY_CONNECTIONS, CANNOT_CONNECT_NOW)

RETRY_AFTER = re.compile(r"retry_after_ms=([0-9]{1,15}(?:\.[0-9]{1,9})?)(?= |$)")


class PgError(TansycrankError):
    """An error reported to a client: SQLSTATE, message and optional ErrorResponse fields."""

    def __init__(
        self, state: str, message: str, detail: str = "", hint: str = "", severity: str = "ERROR"
    ):
        super().__init__(message)
        self.state, self.message, self.detail, self.hint = state, message, detail, hint
        self.severity = severity

    @property
    def is_fatal(self) -> bool:
        """Whether the error ends the session."""
        return self.severity in ("FATAL", "PANIC")

    @property
    def is_query_fault(self) -> bool:
        """Whether the statement, rather than the data node, caused the error.

        The operators' page documents the SQLSTATE classes.
        """
        return self.state[:2] in QUERY_FAULT_CLASSES


def cancelled() -> PgError:
    """Returns the error of a statement cancelled by its client, worded as in PostgreSQL."""
    return PgError(QUERY_CANCELED, "canceling statement due to user request")


def retry_after(detail: str) -> float:
    """Returns the retry delay in ms from the DETAIL of a rejection, or 0 if it has none."""
    found = RETRY_AFTER.search(detail)
    return float(found[1]) if found is not None else 0.0


def unsupported(construct: str, hint: str = "") -> PgError:
    """Returns the error for a construct whose shard results cannot be merged exactly."""
    return PgError(
        FEATURE_NOT_SUPPORTED, f"not supported over several shards: {construct}", hint=hint
    )


def unexpected_error(error: Exception) -> PgError:
    """Returns the error for a statement that ended in an exception which is no PgError."""
    if isinstance(error, RecursionError):
        return PgError(TOO_COMPLEX, "the statement is nested too deep")
    return PgError(INTERNAL, f"the statement failed in the router: {type(error).__name__}")


class ProtocolError(PgError):
    """A violation of the protocol by the peer; it ends the session."""

    def __init__(self, message: str, state: str = PROTOCOL_VIOLATION):
        super().__init__(state, message, severity="FATAL")
