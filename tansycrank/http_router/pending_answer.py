"""A request of a client whose answer has not been written yet."""

from __future__ import annotations

from dataclasses import dataclass

from tansycrank.http_router.active_query import ActiveQuery
from tansycrank.http_router.request_codec import QueryRequest, Response

REQUEST_OVERHEAD_BYTES = 1024  # held for a request beside its text


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """One request of a connection; queued in request order."""

    keeps_alive: bool  # whether the client may send further requests on this connection
    response: Response | None = None
    query: ActiveQuery | None = None
    is_query: bool = False  # not a status request; set for rejected queries too
    unadmitted: QueryRequest | None = None  # parsed, awaiting admission
    arrived_at: float = 0.0  # s: when the request became readable

    @property
    def held_bytes(self) -> int:
        """Bytes held for it: its text, once more for each frame, and values; or its response."""
        if self.response is not None:
            return REQUEST_OVERHEAD_BYTES + len(self.response.body)
        if self.query is not None:
            request = self.query.request
            text_bytes = len(request.text) * (1 + len(request.shard_requests))
            return REQUEST_OVERHEAD_BYTES + text_bytes + self.query.value_bytes
        text = self.unadmitted.text if self.unadmitted is not None else b""
        return REQUEST_OVERHEAD_BYTES + len(text)
