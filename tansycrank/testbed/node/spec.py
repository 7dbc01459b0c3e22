"""What a node is started with."""

from __future__ import annotations

import msgspec


class Spec(msgspec.Struct):
    """How to start a node; it is passed as JSON on the command line."""

    id: int
    config: str
    shards: tuple[int, ...]
    seed: int = 1
    port: int = 0
    control: int = 0
    journal: str = ""
    started_at: float = 0.0  # ms of the monotonic clock; 0 for long ago
    scale: float = 1.0
    nature: dict = {}
    peers: dict[int, list[int]] = {}  # by shard: control ports of the other replicas
    dedup_ms: float = 5000.0
    claims: str = ""  # a folder that all nodes share: the idempotency keys that the store remembers
