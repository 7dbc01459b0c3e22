"""How many shard requests this router sends, and how often it meets one endpoint."""

from __future__ import annotations


class SendRate:
    """Counts first attempts since the start of the router."""

    def __init__(self) -> None:
        self.started_at: float | None = None  # ms; None before the first step
        self.shard_requests_sent = 0

    def per_second(self, now: float) -> float:
        """Shard requests per second so far, at least one."""
        seconds = max((now - self.started_at) / 1000.0, 1.0)
        return max(self.shard_requests_sent / seconds, 1.0)

    def interval_per_endpoint_ms(self, endpoints_in_service: int, now: float) -> float:
        """Mean time between two shard requests of this router at one endpoint."""
        return endpoints_in_service * (now - self.started_at) / max(self.shard_requests_sent, 1)
