"""Maps values of a distribution column to shards. No I/O."""

from __future__ import annotations

import struct
from collections.abc import Collection, Iterable, Iterator, Sequence
from decimal import Decimal
from itertools import islice

import xxhash

from tansycrank.config import Distribution
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError

INTEGER_KEY = struct.Struct(">q")  # an integer as it is hashed
KEYS_AT_ONCE = 1024  # between two checks whether all shards have been found


class NoShardError(ValueError):
    """No shard is configured for this value (list distribution)."""


def canonical_value(distribution: Distribution, value: object) -> int | str | bytes | None:
    """Converts a value to the type of the distribution column.

    Returns None if no row can have this value: for an integer column a fraction, or a number that
    is out of range. Raises ValueError or PgError if the value cannot be interpreted.
    """
    if distribution.type_oid in types.INTEGER_TYPES:
        if isinstance(value, bool):
            raise ValueError(value)
        if isinstance(value, str):
            value = types.parse_numeric(value)
        if isinstance(value, int | float | Decimal):
            return types.whole_number(distribution.type_oid, value)
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


def shards_of_values(
    distribution: Distribution, values: Collection[object], shards: int
) -> set[int] | None:
    """Returns the shards that may hold rows with one of these values of the distribution column.

    NULL and values that no row can have give none. None means that a value cannot be interpreted.
    """
    if _are_hashed_integers(distribution, values):
        return _shards_of_integers(distribution, values, shards)
    found: set[int] = set()
    for value in _distinct(values):
        if len(found) == shards:
            break
        if value is None:
            continue
        try:
            key_value = canonical_value(distribution, value)
            if key_value is not None:
                found.add(shard_of(distribution, key_value, shards))
        except NoShardError:
            continue
        except (ValueError, PgError):
            return None
    return found


def _are_hashed_integers(distribution: Distribution, values: Collection[object]) -> bool:
    if distribution.method != "hash" or distribution.type_oid not in types.INTEGER_TYPES:
        return False
    return bool(values) and set(map(type, values)) == {int}


def _shards_of_integers(
    distribution: Distribution, values: Collection[int], shards: int
) -> set[int]:
    """Returns the shards of many integers; one that is out of the column's range is in none."""
    found: set[int] = set()
    in_range = types.INTEGER_RANGES[distribution.type_oid]
    hash_key, pack = xxhash.xxh3_64_intdigest, INTEGER_KEY.pack
    for chunk in _chunks(values):
        found.update({hash_key(pack(value)) % shards for value in chunk if value in in_range})
        if len(found) == shards:
            break
    return found


def _chunks(values: Iterable[int]) -> Iterator[list[int]]:
    remaining = iter(values)
    while chunk := list(islice(remaining, KEYS_AT_ONCE)):
        yield chunk


def _distinct(values: Collection[object]) -> Collection[object]:
    """Returns the values without repeats; as they are if some cannot be compared."""
    try:
        return dict.fromkeys(values)
    except TypeError:  # nested arrays
        return values


class ParameterShards:
    """The shards of the parameters of one execution; each is computed once, as it is needed.

    A statement may name a parameter thousands of times, and a parameter have megabytes.
    """

    def __init__(self, values: Sequence[object], shards: int) -> None:
        self.shards = shards
        self._values = values
        self._found: dict[tuple[int, int, bool], set[int] | None] = {}

    def of(self, distribution: Distribution, number: int, is_array: bool) -> set[int] | None:
        """Returns the shards of the parameter with this number, or of the elements of its array.

        None means all shards.
        """
        key = id(distribution), number, is_array
        if key not in self._found:
            value = self._values[number - 1]
            self._found[key] = self._shards_of(distribution, value, is_array)
        return self._found[key]

    def _shards_of(
        self, distribution: Distribution, value: object, is_array: bool
    ) -> set[int] | None:
        if not is_array:
            return shards_of_values(distribution, (value,), self.shards)
        if value is None:
            return set()
        if not isinstance(value, list):
            return None
        return shards_of_values(distribution, value, self.shards)
