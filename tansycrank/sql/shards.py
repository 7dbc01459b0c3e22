"""Which shard a value of a distribution column belongs to. No I/O."""

from __future__ import annotations

from decimal import Decimal

import xxhash

from tansycrank.config import Distribution
from tansycrank.postgres import types


class NoShardError(ValueError):
    """No shard holds rows of this value."""


def canonical(distribution: Distribution, value: object) -> int | str | bytes | None:
    """The value in the distribution's type; None if no row can equal it; ValueError if that is
    unclear.
    """
    if distribution.type_oid in types.INTEGER_TYPES:
        if isinstance(value, bool):
            raise ValueError(value)
        if isinstance(value, str):
            value = Decimal(value)
        if isinstance(value, int | float | Decimal):
            return int(value) if value == int(value) else None
    elif distribution.type_oid == types.UUID:
        if isinstance(value, str):
            return types.decode(types.UUID, 0, value.encode())
        if isinstance(value, bytes) and len(value) == 16:
            return value
    elif isinstance(value, str):
        return value
    raise ValueError(value)


def shard_of(distribution: Distribution, value: int | str | bytes, shards: int) -> int:
    """The shard of a canonical value. Raises NoPlace for a value that no list names.

    Hashing: XXH3 (64 bits) of the UTF-8 text, the 16 bytes of a uuid, or 8 bytes big-endian, modulo
    `shards`.
    """
    if distribution.method == "list":
        text = (
            types.encode(types.UUID, 0, value).decode() if isinstance(value, bytes) else str(value)
        )
        if text not in distribution.shard_by_value:
            raise NoShardError(text)
        return distribution.shard_by_value[text]
    if isinstance(value, int):
        raw = (value & (2**64 - 1)).to_bytes(8, "big")
    else:
        raw = value.encode() if isinstance(value, str) else value
    return xxhash.xxh3_64_intdigest(raw) % shards
