"""Ejection of endpoints that fail or stay silent, and their readmission."""

from __future__ import annotations

from tansycrank.routing.endpoint import NEVER, Endpoint
from tansycrank.routing.events import Outcome
from tansycrank.routing.query import Attempt

FIRST_EJECTION_SHARE = 0.5  # of the shortest objective
LAST_EJECTION_SHARE = 4.0  # of the shortest objective; ejections double up to it
MIN_EJECTION_INTERVALS = 2.0  # times between two of our requests there: else each is a readmission
FAILURES = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.ERROR)


class OutlierEjection:
    """Ejects endpoints that fail; then one readmission attempt at a time is sent."""

    def __init__(self, shortest_objective_ms: float) -> None:
        self._first_ms = FIRST_EJECTION_SHARE * shortest_objective_ms

    def is_failure(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether an outcome other than a response speaks against the endpoint.

        True for errors and failed connections, and for any end of an overdue attempt if the
        endpoint has sent no response at all since. A slow endpoint that goes on responding is not
        ejected; while an attempt there is overdue it is avoided (`Endpoint.is_avoided`).
        """
        endpoint = attempt.endpoint
        is_silent = attempt.hedge_timer_fired and endpoint.last_response_at < attempt.sent_at
        return is_silent or outcome in FAILURES

    def eject(self, endpoint: Endpoint, interval_ms: float, now: float) -> None:
        """Eject an endpoint; `interval_ms` is the mean time between two of our requests there."""
        first_ms = max(self._first_ms, MIN_EJECTION_INTERVALS * interval_ms)
        longest_ms = LAST_EJECTION_SHARE * first_ms / FIRST_EJECTION_SHARE
        endpoint.ejection_ms = min(max(2 * endpoint.ejection_ms, first_ms), longest_ms)
        endpoint.ejected_until = now + endpoint.ejection_ms

    def on_response(self, endpoint: Endpoint) -> None:
        """Readmit it; a long ejection is only halved, as failing endpoints respond at times."""
        is_long = endpoint.ejection_ms > 2 * self._first_ms
        endpoint.ejection_ms = endpoint.ejection_ms / 2 if is_long else 0.0
        endpoint.ejected_until = NEVER
