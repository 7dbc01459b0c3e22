"""Grammar of hostile statement parameters, in text and binary format."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from hypothesis import strategies as st

from tansycrank.postgres import types

TEXT, BINARY = 0, 1
MAX_ELEMENTS = 20_000  # of an array: data nodes read it as well
MAX_TEXT = 300_000  # bytes of a parameter
ARRAYS = {element: array for array, element in types.ARRAY_ELEMENTS.items()}

STATEMENTS = (
    "SELECT name FROM drivers WHERE id = $1",
    "SELECT name FROM drivers WHERE id = ANY ($1)",
    "SELECT name FROM drivers WHERE name = $1",
    "SELECT name FROM drivers ORDER BY id LIMIT $1",
    "SELECT name FROM drivers ORDER BY id OFFSET $1",
    "SELECT count(*) FROM drivers HAVING count(*) > $1",
    "INSERT INTO drivers (id, name) VALUES ($1, 'x')",
)


@dataclass(frozen=True)
class Parameter:
    """A parameter of a statement as its client sends it; `oid` 0 leaves the type open."""

    oid: int
    format: int
    value: bytes

    def __repr__(self) -> str:
        """The parameter for a report, cut."""
        return f"oid {self.oid}, format {self.format}, {len(self.value)} bytes {self.value[:40]!r}"


def numeric_value(groups: int, weight: int, scale: int, stated_groups: int | None = None) -> bytes:
    """A numeric in binary format; `stated_groups` of its digits, if not those that it has."""
    stated = groups if stated_groups is None else stated_groups
    return struct.pack(f"!hhHh{groups}h", stated, weight, 0, scale, *[1234] * groups)


def array_value(element_oid: int, element: bytes | None, stated: int, count: int) -> bytes:
    """An array of equal elements in binary format, None for NULL."""
    head = struct.pack("!iiIii", 1, int(element is None), element_oid, stated, 1)
    one = b"\xff" * 4 if element is None else struct.pack("!i", len(element)) + element
    return head + one * count


_INT16 = st.integers(-(2**15), 2**15 - 1)
_VALID_NUMERICS = st.builds(numeric_value, st.integers(0, 3), _INT16, st.integers(0, 16_383))
_NUMERICS = st.one_of(
    _VALID_NUMERICS,
    st.builds(numeric_value, st.integers(0, 3), _INT16, _INT16, _INT16),
    st.builds(numeric_value, st.integers(3, 32_767), _INT16, st.integers(0, 16_383)),
)
_TEXTS = st.builds(
    lambda head, part, size, tail: (head + part * (size // len(part)) + tail).encode(),
    st.sampled_from(["", "{", "1", "-", "0x", "[1:9]={", '{"', "2026-01-01 "]),
    st.sampled_from(["9", "1,", "{", " ", "1e131071,", '\\"', "\\\\", "NULL,", "a", "é", "0"]),
    st.one_of(st.integers(0, 100), st.integers(100, MAX_TEXT)),
    st.sampled_from(["", "}", "1e99999999", '"}', "1}", "e" + "9" * 30]),
)
_VALID_ELEMENTS: dict[int, st.SearchStrategy[bytes]] = {
    types.INT2: st.binary(min_size=2, max_size=2),
    types.INT8: st.binary(min_size=8, max_size=8),
    types.NUMERIC: _VALID_NUMERICS,
    types.FLOAT8: st.binary(min_size=8, max_size=8),
    types.TEXT: st.sampled_from([b"", b"a", "é".encode()]),
    types.UUID: st.binary(min_size=16, max_size=16),
    types.DATE: st.binary(min_size=4, max_size=4),
    types.TIMESTAMPTZ: st.binary(min_size=8, max_size=8),
    types.BOOL: st.sampled_from([b"\0", b"\1"]),
}
# Numerics are drawn more often: a few bytes of them may name the most.
_OIDS = st.sampled_from([*_VALID_ELEMENTS, types.BYTEA, types.JSON, types.NUMERIC, types.NUMERIC])


def _elements(oid: int) -> st.SearchStrategy[bytes | None]:
    valid = _VALID_ELEMENTS.get(oid, st.just(b""))
    return st.one_of(valid, valid, st.none(), st.binary(max_size=16))


def _binary_arrays(element_oid: int) -> st.SearchStrategy[bytes]:
    counts = st.one_of(st.integers(0, 10), st.integers(10, MAX_ELEMENTS), st.just(MAX_ELEMENTS))
    honest = st.builds(
        lambda element, count: array_value(element_oid, element, count, count),
        _elements(element_oid),
        counts,
    )
    other_oids = st.sampled_from([element_oid, ARRAYS.get(element_oid, 0), 0])
    sizes = st.integers(-(2**31), 2**31 - 1)
    wrong = st.builds(array_value, other_oids, _elements(element_oid), sizes, counts)
    return st.one_of(honest, honest, wrong)


def _values(oid: int) -> st.SearchStrategy[Parameter]:
    element_oid = types.ARRAY_ELEMENTS.get(oid)
    if element_oid is not None:
        binary = _binary_arrays(element_oid)
    else:
        binary = st.one_of(_NUMERICS, st.binary(max_size=20), _TEXTS)
    return st.one_of(
        st.builds(Parameter, st.just(oid), st.just(BINARY), binary),
        st.builds(Parameter, st.just(oid), st.just(TEXT), _TEXTS),
    )


def parameters() -> st.SearchStrategy[Parameter]:
    """Parameters of simple types, of arrays of them, and of no declared type."""
    arrays = _OIDS.map(lambda oid: ARRAYS.get(oid, oid))
    return st.one_of(_OIDS, arrays, st.just(0)).flatmap(_values)
