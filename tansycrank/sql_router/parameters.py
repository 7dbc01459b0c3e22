"""Decoding of statement parameters, and hashes of statements with and without parameters."""

from __future__ import annotations

import re
from collections.abc import Sequence

import xxhash

from tansycrank.admission.identity import CallerIdentity
from tansycrank.postgres import types
from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.postgres.types.arrays import MAX_ELEMENTS
from tansycrank.sql.plan import Prepared

LITERAL = re.compile(r"'(?:[^']|'')*'|\b\d+\b")


class DecodedParameters(Sequence[object]):
    """The parameters of a statement, each decoded when it is first read, and once.

    The router needs those that select shards, limit rows or stand in a merged result; the others
    are for data nodes alone.
    """

    def __init__(
        self, oids: Sequence[int], codes: Sequence[int], values: Sequence[bytes | None]
    ) -> None:
        self._encoded = list(zip(oids, codes, values, strict=True))
        self._decoded: dict[int, object] = {}
        self._elements = 0  # of arrays, as far as they are read one by one

    def __len__(self) -> int:
        return len(self._encoded)

    def __getitem__(self, index: int) -> object:
        """Return a decoded value. Raises PgError 22P02, 22P03, 22003 or 54000."""
        if index not in self._decoded:
            self._decoded[index] = self._decode(*self._encoded[index])
        return self._decoded[index]

    def _decode(self, oid: int, code: int, value: bytes | None) -> object:
        if value is None or (oid == 0 and code == 1):  # only the data node knows its type
            return value
        decoded = types.decode(oid or types.TEXT, code, value)
        if isinstance(decoded, list):
            self._elements += _slow_elements(oid, decoded)
            if self._elements > MAX_ELEMENTS:
                raise PgError(TOO_LARGE, f"arrays of over {MAX_ELEMENTS} elements in all")
        return decoded


def _slow_elements(oid: int, array: list) -> int:
    """Return how many elements of an array were read one by one, not all at once."""
    is_flat = not any(isinstance(element, list) for element in array[:1])
    is_read_at_once = types.ARRAY_ELEMENTS[oid] in types.INTEGER_TYPES and is_flat
    if is_read_at_once and None not in array:
        return 0
    return _count_elements(array)


def _count_elements(array: list) -> int:
    if not any(isinstance(element, list) for element in array[:1]):
        return len(array)
    return sum(_count_elements(inner) for inner in array if isinstance(inner, list))


def decode_parameters(prepared: Prepared, values, formats) -> DecodedParameters:
    """Return the parameters of a statement. Raises PgError 08P01 for another number of them."""
    if len(values) != len(prepared.oids):
        raise PgError(
            "08P01",
            f"the statement needs {len(prepared.oids)} parameters, the client gave {len(values)}",
        )
    codes = formats * len(values) if len(formats) == 1 else formats or (0,) * len(values)
    return DecodedParameters(prepared.oids, codes, values)


def query_hash(caller_id: CallerIdentity, sql: str, values: tuple[bytes | None, ...]) -> int:
    """Return a hash that identifies a query among those of its client; never 0."""
    digest = xxhash.xxh3_64(f"{caller_id.tenant}|{caller_id.client}|{sql.rstrip('; ')}".encode())
    for value in values:
        digest.update(b"-" if value is None else b"+" + value)
    return digest.intdigest() | 1


def statement_hash(sql: str) -> int:
    """Return a hash of a statement without its literals.

    Statements with the same hash are assumed to have similar costs.
    """
    return xxhash.xxh3_64_intdigest(LITERAL.sub("?", sql).encode())
