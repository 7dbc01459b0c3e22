"""Errors as PostgreSQL clients see them, and the SQLSTATEs this program gives.

The states are those of the PostgreSQL manual, appendix A, but for two of our own: `REFUSED` and
`FAILED`.
"""

from __future__ import annotations

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

REFUSED = "53T01"  # ours: the router refused the query; trying again is harmless
FAILED = "58T01"  # ours: the router gave the query up; it may or may not have had an effect

BROKE_OFF = "58T02"  # ours: an answer ended after rows of it had left; they are not the whole

QUERYS_OWN_FAULT = ("0A", "21", "22", "23", "42", "P0")  # classes: the node is healthy
REFUSED_BEFORE_RUN = ("53300", "57P03")


class PgError(Exception):
    """An error for a client: SQLSTATE, message, and the optional fields of ErrorResponse."""

    def __init__(
        self, state: str, message: str, detail: str = "", hint: str = "", severity: str = "ERROR"
    ):
        super().__init__(message)
        self.state, self.message, self.detail, self.hint = state, message, detail, hint
        self.severity = severity

    @property
    def fatal(self) -> bool:
        """Whether the session ends with it."""
        return self.severity in ("FATAL", "PANIC")

    @property
    def querys_own_fault(self) -> bool:
        """Whether the statement, not the node, is to blame (the table on the operators' page)."""
        return self.state[:2] in QUERYS_OWN_FAULT


def cancelled() -> PgError:
    """The end of a statement that its client cancelled, in PostgreSQL's words."""
    return PgError(QUERY_CANCELED, "canceling statement due to user request")


def retry_after(detail: str) -> float:
    """The ms that a refusal's DETAIL tells to wait; 0 where it tells none."""
    found = detail.partition("retry_after_ms=")[2].split(" ")[0]
    return float(found or 0)


def unsupported(construct: str, hint: str = "") -> PgError:
    """The refusal of a statement whose parts can't be merged exactly; it names the construct."""
    return PgError(
        FEATURE_NOT_SUPPORTED, f"not supported over several shards: {construct}", hint=hint
    )


class ProtocolError(PgError):
    """A message that breaks the protocol. The session ends."""

    def __init__(self, message: str, state: str = PROTOCOL_VIOLATION):
        super().__init__(state, message, severity="FATAL")
