"""Decoding of statement parameters, and hashes of statements with and without parameters."""

from __future__ import annotations

import re

import xxhash

from tansycrank.admission.identity import CallerIdentity
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.sql.plan import Prepared

LITERAL = re.compile(r"'(?:[^']|'')*'|\b\d+\b")


def decode_parameters(prepared: Prepared, values, formats) -> list[object]:
    """Decode the parameters of a statement. Raises PgError 08P01, 22P02, 22P03."""
    if len(values) != len(prepared.oids):
        raise PgError(
            "08P01",
            f"the statement needs {len(prepared.oids)} parameters, the client gave {len(values)}",
        )
    codes = formats * len(values) if len(formats) == 1 else formats or (0,) * len(values)
    decoded = []
    for oid, code, value in zip(prepared.oids, codes, values, strict=True):
        if value is None:
            decoded.append(None)
        elif oid == 0 and code == 1:
            decoded.append(value)  # only the data node knows its type
        else:
            decoded.append(types.decode(oid or types.TEXT, code, value))
    return decoded


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
