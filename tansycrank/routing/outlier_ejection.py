"""Ejection of failing or unresponsive endpoints, and their readmission."""

from __future__ import annotations

from tansycrank.routing.endpoint import NEVER, Endpoint
from tansycrank.routing.events import Outcome
from tansycrank.routing.query import Attempt

INITIAL_EJECTION_SHARE = 0.5  # of the shortest objective
MAX_EJECTION_SHARE = 4.0  # of the shortest objective; each further ejection doubles, up to this
# Minimum ejection, in mean intervals between this router's requests to the endpoint: with a shorter
# one, every request to a failing endpoint would be a readmission attempt.
MIN_EJECTION_INTERVALS = 2.0
FAILURES = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST, Outcome.ERROR)


class OutlierEjection:
    """Ejects failing endpoints; afterwards they get one readmission attempt at a time."""

    def __init__(self, shortest_objective_ms: float) -> None:
        self._initial_ms = INITIAL_EJECTION_SHARE * shortest_objective_ms

    def is_failure(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether an outcome other than a response counts as a failure of the endpoint.

        True for errors and connection failures, and for any end of an overdue attempt if the
        endpoint has not responded at all since it was sent. A slow endpoint that still responds is
        not ejected, but avoided while it has an overdue attempt (`Endpoint.is_avoided`).
        """
        endpoint = attempt.endpoint
        is_silent = attempt.hedge_timer_fired and endpoint.last_response_at < attempt.sent_at
        return is_silent or outcome in FAILURES

    def eject(self, endpoint: Endpoint, interval_ms: float, now: float) -> None:
        """Eject an endpoint; `interval_ms`: mean time between this router's requests to it."""
        initial_ms = max(self._initial_ms, MIN_EJECTION_INTERVALS * interval_ms)
        max_ms = MAX_EJECTION_SHARE * initial_ms / INITIAL_EJECTION_SHARE
        endpoint.ejection_ms = min(max(2 * endpoint.ejection_ms, initial_ms), max_ms)
        endpoint.ejected_until = now + endpoint.ejection_ms

    def on_response(self, endpoint: Endpoint) -> None:
        """Readmit it; a long ejection is only halved, as failing endpoints sometimes respond."""
        is_long = endpoint.ejection_ms > 2 * self._initial_ms
        endpoint.ejection_ms = endpoint.ejection_ms / 2 if is_long else 0.0
        endpoint.ejected_until = NEVER
