"""Errors with which the SQL router answers queries that it accepted."""

from __future__ import annotations

from tansycrank import routing
from tansycrank.postgres.errors import (
    QUERY_FAILED,
    RESULT_INCOMPLETE,
    PgError,
    unexpected_error,
)
from tansycrank.sql_router.routed_query import RoutedQuery


def error_of_failed_action(query: RoutedQuery, error: Exception) -> PgError:
    """Return the error for a query whose action raised an exception in the router."""
    lifecycle_query = query.lifecycle_query
    is_idempotent = lifecycle_query.idempotency is routing.Idempotency.IDEMPOTENT
    if lifecycle_query.may_have_run and not is_idempotent:
        return outcome_unknown_error()
    return error if isinstance(error, PgError) else unexpected_error(error)


def broken_off_error(query: RoutedQuery, shard: int, outcome: routing.Outcome) -> PgError:
    """Return the error for a query of which rows have left, and others will not come."""
    if outcome is routing.Outcome.TIMED_OUT:
        detail = f"shard {shard} gave no row for {query.row_wait_ms:.0f} ms"
        hint = "ask again; the bound is [store] row_wait_ms, else the time of the statement"
    else:
        detail = f"shard {shard} was lost"
        hint = "ask again; a replica was lost while its rows were on their way"
    return PgError(
        RESULT_INCOMPLETE,
        "the answer broke off: the rows before this error are not the whole",
        detail,
        hint,
    )


def outcome_unknown_error() -> PgError:
    """Return the error for a query that may or may not have been executed."""
    return PgError(
        QUERY_FAILED,
        "given up: it may or may not have taken effect",
        hint="look whether it did before you try again",
    )
