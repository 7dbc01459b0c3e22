"""Maps values of a distribution column to shards. No I/O."""

from __future__ import annotations

from decimal import Decimal

import xxhash

from tansycrank.config import Distribution
from tansycrank.postgres import types


class NoShardError(ValueError):
    """No shard is configured for this value (list distribution)."""


def canonical_value(distribution: Distribution, value: object) -> int | str | bytes | None:
    """Converts a value to the type of the distribution column.

    Returns None if no row can have this value (a fraction for an integer column). Raises
    ValueError, ArithmeticError or PgError if the value cannot be interpreted.
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
    """Returns the shard of a value that `canonical_value` returned.

    Raises NoShardError if a list distribution does not name the value.
    Hash distribution: XXH3 (64 bits) of the UTF-8 text, of the 16 bytes of a uuid or of an integer
    as 8 bytes big-endian, modulo `shards`.
    """
    if distribution.method == "list":
        text = (
            types.encode(types.UUID, 0, value).decode() if isinstance(value, bytes) else str(value)
        )
        if text not in distribution.shard_by_value:
            raise NoShardError(text)
        return distribution.shard_by_value[text]
    if isinstance(value, int):
        encoded = (value & (2**64 - 1)).to_bytes(8, "big")
    else:
        encoded = value.encode() if isinstance(value, str) else value
    return xxhash.xxh3_64_intdigest(encoded) % shards
