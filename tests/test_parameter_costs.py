"""What the parameters of a statement cost: each is read once, however often it is named.

Guards against one client that names a parameter of megabytes in a thousand conditions, or binds
65,000 arrays: the event loop was held for seconds, or without an end that was seen.
"""

import struct

import pytest
from test_planner import CONFIG

from tansycrank.merge.values import ParameterText, TypedParameters, evaluate
from tansycrank.postgres import types
from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.postgres.types.arrays import MAX_ELEMENTS
from tansycrank.sql.planner import Planner
from tansycrank.sql.shards import ParameterShards, shard_of, shards_of_values
from tansycrank.sql_router.parameters import DecodedParameters

TIMES = 200  # that a statement names its parameter
MOST_READS = 5
TEXT_ARRAY, INT8_ARRAY, NUMERIC_ARRAY = 1009, 1016, 1231
DRIVER_IDS = CONFIG.distributions["driver"]
SHARDS = CONFIG.store.shards


class CountedList(list):
    """A list that counts how often it is read."""

    reads = 0

    def __iter__(self):
        self.reads += 1
        return super().__iter__()


def of_some_shards(count):
    """Integers of all shards but one, so that none of them ends the search."""
    return [n for n in range(2 * count) if shard_of(DRIVER_IDS, n, SHARDS) != 0][:count]


def bind(sql, *values, oids=()):
    (prepared,) = Planner(CONFIG).plan_statements(sql, oids)
    return prepared.bind(values)


REPEATED = {
    "AND": "SELECT * FROM drivers WHERE " + " AND ".join(["id = ANY ($1)"] * TIMES),
    "OR": "SELECT * FROM drivers WHERE " + " OR ".join(["id = ANY ($1)"] * TIMES),
    "sub-selects": "SELECT 1 FROM drivers WHERE id = ANY ($1)"
    + " AND EXISTS (SELECT 1 FROM drivers WHERE id = ANY ($1))" * 50,
    "a write": "UPDATE drivers SET name = 'x' WHERE " + " AND ".join(["id = ANY ($1)"] * TIMES),
}


@pytest.mark.parametrize("name", REPEATED)
def test_an_array_that_is_named_in_many_conditions_is_read_once(name):
    """Guards against the product of conditions and elements on the event loop."""
    values = CountedList(of_some_shards(50))
    try:
        bound = bind(REPEATED[name], values, oids=(INT8_ARRAY,))
    except PgError as error:  # a write to several shards
        assert error.state == "0A000"
    else:
        assert len(bound.shard_requests) == SHARDS - 1
    assert 0 < values.reads <= MOST_READS


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT * FROM drivers WHERE id IN (" + ",".join(["$1"] * TIMES) + ")",
        "SELECT * FROM drivers WHERE " + " AND ".join(["id = $1"] * TIMES),
        "INSERT INTO drivers (id) VALUES " + ",".join(["($1)"] * TIMES),
    ],
)
def test_a_text_that_is_named_often_is_converted_once(sql, monkeypatch):
    """Guards against a text of megabytes that is read as a number for each place of it."""
    converted = []
    parse = types.parse_numeric
    monkeypatch.setattr(types, "parse_numeric", lambda text: converted.append(text) or parse(text))
    bound = bind(sql, "000000012", oids=(types.TEXT,))
    assert len(bound.shard_requests) == 1 and len(converted) <= 2


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], set()),
        ([None], set()),
        ([5, None, 6], {5, 6}),
        ([5, 2**63, -(2**63) - 1], {5}),
        (["5", 6.0, types.Decimal("7.00")], {5, 6, 7}),
        ([5.5], set()),
        (list(range(-2000, 2000)), set(range(-2000, 2000))),
    ],
)
def test_shards_of_many_values_are_those_of_each(values, expected):
    found = shards_of_values(DRIVER_IDS, values, SHARDS)
    assert found == {shard_of(DRIVER_IDS, value, SHARDS) for value in expected}


@pytest.mark.parametrize("values", [["x"], [True], [[1]], [1, "x"]])
def test_a_value_that_cannot_be_interpreted_selects_all_shards(values):
    assert shards_of_values(DRIVER_IDS, values, SHARDS) is None
    assert ParameterShards([values], SHARDS).of(DRIVER_IDS, 1, is_array=True) is None


def test_arrays_that_are_null_or_no_array():
    shards = ParameterShards([None, 5], SHARDS)
    assert shards.of(DRIVER_IDS, 1, is_array=True) == set()
    assert shards.of(DRIVER_IDS, 2, is_array=True) is None


def decoded(oid, *values, code=0):
    return DecodedParameters([oid] * len(values), [code] * len(values), values)


def test_a_parameter_is_decoded_when_it_is_read_and_once(monkeypatch):
    """Guards against 65,000 parameters that are decoded though data nodes alone need them."""
    decodes = []
    decode = types.decode
    monkeypatch.setattr(types, "decode", lambda *what: decodes.append(what) or decode(*what))
    parameters = decoded(types.INT8, b"1", b"no number", None)
    assert len(parameters) == 3 and not decodes
    assert [parameters[0], parameters[0], parameters[2]] == [1, 1, None] and len(decodes) == 1
    with pytest.raises(PgError) as raised:
        parameters[1]
    assert raised.value.state == "22P02"


def text_array(elements):
    return b"{" + b",".join([b'"a"'] * elements) + b"}"


def binary_nulls(elements):
    head = struct.pack("!iiIii", 1, 1, types.INT8, elements, 1)
    return head + b"\xff" * 4 * elements


@pytest.mark.parametrize(
    ("oid", "code", "array"),
    [
        (TEXT_ARRAY, 0, text_array(MAX_ELEMENTS // 2)),
        (INT8_ARRAY, 1, binary_nulls(MAX_ELEMENTS // 2)),
        (INT8_ARRAY, 0, b"{" + b",".join([b"{1}"] * (MAX_ELEMENTS // 2)) + b"}"),
    ],
)
def test_the_elements_of_all_arrays_of_a_statement_are_bounded_together(oid, code, array):
    """Guards against many arrays that are each within the limit and hold the event loop."""
    parameters = decoded(oid, array, array, array, code=code)
    assert parameters[0] and parameters[1]
    with pytest.raises(PgError) as raised:
        parameters[2]
    assert raised.value.state == TOO_LARGE


def test_arrays_of_integers_that_are_read_at_once_are_not_bounded_together():
    array = b"{" + b",".join([b"1"] * MAX_ELEMENTS) + b"}"
    parameters = decoded(INT8_ARRAY, array, array, array)
    assert sum(len(parameters[index]) for index in range(3)) == 3 * MAX_ELEMENTS


def test_the_text_of_a_parameter_is_cast_once_for_all_groups(monkeypatch):
    """Guards against a text of megabytes that is read as a number for each group of a result."""
    decodes = []
    decode = types.decode
    monkeypatch.setattr(types, "decode", lambda *what: decodes.append(what) or decode(*what))
    parameters = TypedParameters((0,), ["0" * 100 + "7"])
    having = ">", ("agg", 0), ("param", 0 + 1)
    counts = [
        evaluate(("compare", *having), [], [(types.INT8, count)], parameters)
        for count in range(TIMES)
    ]
    assert sum(truth for _, truth in counts) == TIMES - 8 and len(decodes) == 1
    assert isinstance(parameters[0][1], ParameterText)
