"""Type codec: round trips in text and binary format, and PostgreSQL's sort order."""

import datetime as dt
import math
import struct
from decimal import Decimal

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError

VALUES = {
    types.BOOL: st.booleans(),
    types.INT2: st.integers(-(2**15), 2**15 - 1),
    types.INT4: st.integers(-(2**31), 2**31 - 1),
    types.INT8: st.integers(-(2**63), 2**63 - 1),
    types.FLOAT8: st.floats(allow_nan=False),
    types.NUMERIC: st.decimals(allow_nan=False, allow_infinity=False, places=7),
    types.TEXT: st.text(st.characters(blacklist_categories=("Cs",), blacklist_characters="\0")),
    types.BYTEA: st.binary(),
    types.UUID: st.binary(min_size=16, max_size=16),
    types.DATE: st.integers(-700_000, 2_900_000),
    types.TIMESTAMP: st.integers(-(10**16), 10**17),
    types.TIMESTAMPTZ: st.integers(-(10**16), 10**17),
}


@pytest.mark.parametrize("oid", VALUES)
@pytest.mark.parametrize("code", [0, 1])
@given(data=st.data())
def test_values_survive_a_round_trip(oid, code, data):
    value = data.draw(VALUES[oid])
    assert types.decode(oid, code, types.encode(oid, code, value)) == value


@given(st.lists(st.one_of(st.none(), VALUES[types.TEXT]), min_size=1), st.sampled_from([0, 1]))
def test_arrays_survive_a_round_trip(values, code):
    assert types.decode(1009, code, types.encode(1009, code, values)) == values


def test_nested_and_empty_arrays():
    for text, value in (
        ("{}", []),
        ("{{1,2},{3,4}}", [[1, 2], [3, 4]]),
        ("[0:1]={5,NULL}", [5, None]),
    ):
        assert types.decode(1007, 0, text.encode()) == value
    assert types.decode(1007, 1, types.encode(1007, 1, [[1, 2], [3, 4]])) == [[1, 2], [3, 4]]


def test_numeric_binary_encoding():
    # numeric_send of 12345.678: 3 digits, weight 1, scale 3
    raw = struct.pack("!hhHhhhh", 3, 1, 0, 3, 1, 2345, 6780)
    assert types.encode(types.NUMERIC, 1, Decimal("12345.678")) == raw
    assert types.decode(types.NUMERIC, 1, raw) == Decimal("12345.678")
    assert types.encode(types.NUMERIC, 1, Decimal("0.00")) == struct.pack("!hhHh", 0, 0, 0, 2)


def test_timestamps_use_the_text_format_of_postgresql():
    moment = dt.datetime(2026, 1, 2, 3, 4, 5, 60_000) - dt.datetime(2000, 1, 1)
    micros = moment // dt.timedelta(microseconds=1)
    assert types.encode(types.TIMESTAMPTZ, 0, micros) == b"2026-01-02 03:04:05.06+00"
    assert types.decode(types.TIMESTAMPTZ, 0, b"2026-01-02 10:04:05.06+07") == micros
    assert types.decode(types.DATE, 0, b"infinity") == math.inf


def test_text_sorts_by_bytes():
    key = types.order_key(types.TEXT, 0)
    words = ["zebra", "Ä", "a", "B", "ạ"]
    assert sorted((w.encode() for w in words), key=key) == [
        w.encode() for w in ("B", "a", "zebra", "Ä", "ạ")
    ]


def test_nan_equals_nan_and_sorts_last_and_negative_zero_equals_zero():
    for oid in (types.FLOAT8, types.NUMERIC):
        key = types.order_key(oid, 0)
        assert key(b"NaN") == key(b"NaN") > key(b"Infinity") > key(b"1e300")
    key = types.order_key(types.FLOAT8, 0)
    assert key(b"-0") == key(b"0") and hash(key(b"-0")) == hash(key(b"0"))
    numeric = types.order_key(types.NUMERIC, 0)
    assert numeric(b"1.50") == numeric(b"1.5")


@pytest.mark.parametrize("oid", [types.JSON, 600, types.BPCHAR, 1009])
def test_types_without_a_defined_order_are_rejected(oid):
    with pytest.raises(PgError) as raised:
        types.order_key(oid, 0)
    assert raised.value.state == "0A000"


@pytest.mark.parametrize("oid", list(VALUES))
@given(raw=st.binary(max_size=20), code=st.sampled_from([0, 1]))
def test_invalid_bytes_raise_only_invalid_representation_errors(oid, raw, code):
    try:
        types.decode(oid, code, raw)
    except PgError as error:
        assert error.state in ("22P02", "22P03")
