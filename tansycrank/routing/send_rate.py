"""The rate at which this router sends shard requests, in total and per endpoint."""

from __future__ import annotations


class SendRate:
    """Counts first attempts since the router started."""

    def __init__(self) -> None:
        self.started_at: float | None = None  # ms; None before the first step
        self.shard_requests_sent = 0

    def per_second(self, now: float) -> float:
        """Mean shard requests per second since the start, at least one."""
        seconds = max((now - self.started_at) / 1000.0, 1.0)
        return max(self.shard_requests_sent / seconds, 1.0)

    def interval_per_endpoint_ms(self, endpoints_in_service: int, now: float) -> float:
        """Mean time between two shard requests from this router to one endpoint."""
        return endpoints_in_service * (now - self.started_at) / max(self.shard_requests_sent, 1)
