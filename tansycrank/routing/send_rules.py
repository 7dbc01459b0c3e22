"""The rules that every send must satisfy."""

from __future__ import annotations

from tansycrank.routing.endpoint import Endpoint
from tansycrank.routing.events import EndpointStatus
from tansycrank.routing.query import ShardRequest
from tansycrank.routing.retry import RetryBudget, may_attempt_again
from tansycrank.routing.settings import Settings
from tansycrank.routing.slow_start import SlowStart


class SendRules:
    """Checked before each send, independently of replica selection."""

    def __init__(self, settings: Settings, budget: RetryBudget, slow_start: SlowStart) -> None:
        self._settings = settings
        self._budget = budget
        self._slow_start = slow_start

    def may_send(
        self, shard_request: ShardRequest, endpoint: Endpoint, is_hedge: bool, now: float
    ) -> bool:
        """Whether the shard request may be sent to this endpoint now."""
        query = shard_request.query
        if query.has_ended or shard_request.is_answered or shard_request.is_discarded:
            return False
        if now >= query.deadline_at:
            return False
        if endpoint.status is not EndpointStatus.IN_SERVICE:
            return False
        if len(shard_request.attempts) >= self._settings.max_attempts:
            return False
        if not may_attempt_again(shard_request, self._settings.tick, now, is_hedge):
            return False
        if shard_request.attempts and not self._budget.allows(is_hedge, now):
            return False
        return self._slow_start.has_allowance(endpoint, now)
