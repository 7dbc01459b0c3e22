"""Numbers of clients and data nodes that are out of the range of their type.

Guards against a number of a few characters, or of many digits, whose conversion holds the event
loop for minutes: other clients got no answer (statements with 1e9999999).
"""

import struct

import pytest
from test_planner import CONFIG

from tansycrank.merge.rows import scalar
from tansycrank.merge.values import add, evaluate
from tansycrank.postgres import types
from tansycrank.postgres.errors import OUT_OF_RANGE, PgError
from tansycrank.sql.plan import Scalar
from tansycrank.sql.planner import Planner
from tansycrank.sql.shards import canonical_value

# Small enough for a conversion to end, so that the test fails without the bound instead of hanging.
HUGE = "1e200000"
NEGLIGIBLE = "1e-200000"
DIGITS = "7" * 140_000
DRIVER_IDS = CONFIG.distributions["driver"]
LARGEST_INT8 = 2**63 - 1


def binary_array(element_oid, elements):
    body = b"".join(struct.pack("!i", len(element)) + element for element in elements)
    return struct.pack("!iiIii", 1, 0, element_oid, len(elements), 1) + body


def bind(sql, *values, oids=()):
    (prepared,) = Planner(CONFIG).plan_statements(sql, oids)
    return prepared.bind(values)


@pytest.mark.parametrize("number", [HUGE, NEGLIGIBLE, DIGITS])
@pytest.mark.parametrize(
    "sql",
    [
        "SELECT * FROM drivers WHERE id = {}",
        "SELECT * FROM drivers WHERE id IN (1, {})",
        "SELECT * FROM drivers WHERE id = ANY (ARRAY[1, {}])",
        "UPDATE drivers SET name = 'x' WHERE id = {}",
        "DELETE FROM drivers WHERE id = 1 AND id = {}",
        "INSERT INTO drivers (id, name) VALUES ({}, 'x')",
        "SELECT {}",
        "SELECT name FROM drivers LIMIT {}",
        "SELECT name FROM drivers ORDER BY name OFFSET {}",
        "SELECT count(*) FROM drivers HAVING count(*) > {}",
    ],
)
def test_a_number_out_of_the_range_of_numeric_is_an_error_before_it_is_computed_with(sql, number):
    """Guards against a literal whose digits are written out on the event loop."""
    with pytest.raises(PgError) as raised:
        bind(sql.format(number))
    assert raised.value.state == OUT_OF_RANGE
    assert len(raised.value.message) < 200


@pytest.mark.parametrize("number", [HUGE, "1e30", "9223372036854775808", "-9223372036854775809"])
def test_a_key_that_no_row_can_have_selects_one_shard(number):
    """Guards against a comparison that is refused, or converted, though no row can meet it."""
    for value in (number, types.Decimal(number)):
        if number == HUGE and isinstance(value, str):
            continue  # text is not in the range of numeric either
        assert canonical_value(DRIVER_IDS, value) is None
    assert len(bind("SELECT * FROM drivers WHERE id = 1e30").shard_requests) == 1


def test_keys_at_the_ends_of_the_range_and_whole_decimals_select_their_shard():
    for number in (LARGEST_INT8, -(2**63), 0):
        assert canonical_value(DRIVER_IDS, number) == number
    assert canonical_value(DRIVER_IDS, types.Decimal("12.000")) == 12
    assert canonical_value(DRIVER_IDS, types.Decimal("1.2e1")) == 12
    assert canonical_value(DRIVER_IDS, 12.0) == 12
    assert canonical_value(DRIVER_IDS, "0012") == 12
    for number in (types.Decimal("12.5"), 12.5, float("inf"), types.Decimal("NaN")):
        assert canonical_value(DRIVER_IDS, number) is None


def test_an_insert_of_a_key_out_of_range_is_an_error():
    for number in ("1e30", "9223372036854775808"):
        with pytest.raises(PgError) as raised:
            bind(f"INSERT INTO drivers (id, name) VALUES ({number}, 'x')")
        assert raised.value.state == OUT_OF_RANGE


@pytest.mark.parametrize("text", [HUGE, NEGLIGIBLE, DIGITS])
@pytest.mark.parametrize("oid", [types.NUMERIC, types.INT2, types.INT4, types.INT8, types.OID])
def test_a_parameter_out_of_range_is_an_error(oid, text):
    """Guards against a parameter whose digits are written out when it is bound or sent."""
    with pytest.raises(PgError) as raised:
        types.decode(oid, 0, text.encode())
    is_exponent = "e" in text and oid != types.NUMERIC
    assert raised.value.state == ("22P02" if is_exponent else OUT_OF_RANGE)


def test_a_binary_numeric_is_read_in_time_that_grows_with_its_length():
    """Guards against digits that are multiplied up one by one, and against 22P03 for long ones."""
    groups = [1234] * 32_000
    data = struct.pack(f"!hhHh{len(groups)}h", len(groups), 31_999, 0, 0, *groups)
    assert str(types.decode(types.NUMERIC, 1, data)) == "1234" * 32_000
    small = struct.pack("!hhHh3h", 3, 0, 0x4000, 2, 12, 3456, 7800)
    assert str(types.decode(types.NUMERIC, 1, small)) == "-12.34"
    for damaged in (
        struct.pack("!hhHh1h", 1, 0, 0, 0, 10_000),
        struct.pack("!hhHh1h", 1, 0, 0, -1, 1),
        struct.pack("!hhHh", -1, 0, 0, 0),
    ):
        with pytest.raises(PgError):
            types.decode(types.NUMERIC, 1, damaged)


def test_a_binary_numeric_with_a_huge_weight_is_out_of_range():
    data = struct.pack("!hhHh1h", 1, 32_767, 0, 0, 9999)
    assert len(str(types.decode(types.NUMERIC, 1, data))) <= 131_072
    with pytest.raises(PgError) as raised:
        types.decode(types.NUMERIC, 1, struct.pack("!hhHh1h", 1, 0, 0, 16_384, 1))
    assert raised.value.state == OUT_OF_RANGE


LARGEST_WEIGHT = struct.pack("!hhHh1h", 1, 32_767, 0, 0, 1)
LARGEST_WEIGHT_AND_SCALE = struct.pack("!hhHh1h", 1, 32_767, 0, 16_383, 1)


@pytest.mark.parametrize("data", [LARGEST_WEIGHT, LARGEST_WEIGHT_AND_SCALE])
def test_a_binary_numeric_has_no_digits_but_those_of_its_message(data):
    """Guards against ten bytes that become 131,072 digits, and an array of them that holds all."""
    value = types.decode(types.NUMERIC, 1, data)
    assert value == types.Decimal("1e131068") and len(value.as_tuple().digits) <= 4
    array = binary_array(types.NUMERIC, [data] * 1000)
    decoded = types.decode(1231, 1, array)
    assert sum(len(element.as_tuple().digits) for element in decoded) <= len(array)
    assert types.encode(types.NUMERIC, 0, value) == b"1" + b"0" * 131_068


def test_a_binary_numeric_keeps_a_scale_of_usual_size():
    for text in ("2.00", "0.00", "1000000.0", "-12.340", "5", "70000", "1" + "0" * 20 + ".00"):
        value = types.Decimal(text)
        decoded = types.decode(types.NUMERIC, 1, types.encode(types.NUMERIC, 1, value))
        assert types.encode(types.NUMERIC, 0, decoded).decode() == text


@pytest.mark.parametrize("sign", ["", "-", " +"])
@pytest.mark.parametrize("number", ["1e" + "9" * 100, "1.5E-" + "9" * 100, ".5e+" + "9" * 100])
def test_an_exponent_that_no_number_of_python_has_is_out_of_range(sign, number):
    """Guards against XX000 for a literal whose exponent Decimal refuses."""
    for convert in (types.parse_numeric, lambda text: canonical_value(DRIVER_IDS, text)):
        with pytest.raises(PgError) as raised:
            convert(sign + number)
        assert raised.value.state == OUT_OF_RANGE


@pytest.mark.parametrize("value", [types.Decimal(HUGE), float("inf"), "1" * 30, 2**63])
def test_a_row_count_out_of_range_is_an_error(value):
    """Guards against a LIMIT or OFFSET parameter that is converted whatever its size."""
    with pytest.raises(PgError) as raised:
        scalar(Scalar(param=1), [value], "LIMIT")
    assert raised.value.state == OUT_OF_RANGE


def test_numbers_of_data_nodes_are_held_against_their_range():
    """Guards against a value of a data node that is written out for the client."""
    with pytest.raises(PgError) as raised:
        types.decoder(types.NUMERIC, 0)(HUGE.encode())
    assert raised.value.state == OUT_OF_RANGE


def test_a_sum_of_long_numerics_keeps_every_digit():
    """Guards against a sum that is rounded to 20,000 digits and given as exact."""
    left, right = types.Decimal("1e30000"), types.Decimal("0.5")
    assert str(add(left, right)) == "1" + "0" * 30_000 + ".5"


def test_rounding_to_an_absurd_number_of_digits_is_bounded():
    group = (types.NUMERIC, types.Decimal("1.25"))
    assert evaluate(("round", ("group", 0), 99_999_999), [group], [], [])[1] == group[1]
    assert evaluate(("round", ("group", 0), -99_999_999), [group], [], [])[1] == 0


DEEP_ARRAY = b"{" * 100_000 + b"1" + b"}" * 100_000
BILLION = 10**6


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!iiI", 6, 0, types.INT8) + struct.pack("!ii", BILLION, 1) * 3 + bytes(24),
        struct.pack("!iiIiiii", 2, 0, types.INT8, -5, 1, -5, 1) + bytes(100),
        struct.pack("!iiI", 2_000_000_000, 0, types.INT8),
        struct.pack("!iiI", -1, 0, types.INT8),
    ],
    ids=["sizes with a zero", "negative sizes", "dimensions", "negative dimensions"],
)
def test_sizes_of_a_binary_array_make_nothing_of_their_own(data):
    """Guards against gigabytes, and a process that hangs, for an array of 60 bytes."""
    try:
        assert types.decode(1016, 1, data) == []
    except PgError as error:
        assert error.state == "22P03"


@pytest.mark.parametrize("oid", [1016, 1009, 1231])
def test_a_text_array_that_is_too_deep_is_an_error(oid):
    with pytest.raises(PgError) as raised:
        types.decode(oid, 0, DEEP_ARRAY)
    assert raised.value.state == "22P02"


def test_a_text_array_of_very_many_elements_is_an_error_unless_it_is_read_at_once():
    """Guards against an array parameter whose elements are read one by one for seconds."""
    numbers = ",".join(map(str, range(300_000)))
    assert len(types.decode(1016, 0, f"{{{numbers}}}".encode())) == 300_000
    for oid, element in ((1009, '"a"'), (1009, "a"), (1231, "1.5"), (1016, "{1}")):
        text = "{" + ",".join([element] * 100_001) + "}"
        with pytest.raises(PgError) as raised:
            types.decode(oid, 0, text.encode())
        assert raised.value.state == "54000"


@pytest.mark.parametrize(
    "oid, element_oid, element",
    [
        (1009, types.TEXT, b""),
        (1231, types.NUMERIC, struct.pack("!hhHh", 0, 0, 0, 0)),
        (1115, types.TIMESTAMP, bytes(8)),
    ],
)
def test_a_binary_array_of_very_many_elements_is_an_error(oid, element_oid, element):
    """Guards against an array of a million elements that are read one by one for seconds."""
    with pytest.raises(PgError) as raised:
        types.decode(oid, 1, binary_array(element_oid, [element] * 100_001))
    assert raised.value.state == "54000"
    few = types.decode(oid, 1, binary_array(element_oid, [element] * 100_000))
    assert len(few) == 100_000


@pytest.mark.parametrize(
    "oid, element_oid, form", [(1005, 21, "!h"), (1007, 23, "!i"), (1016, 20, "!q")]
)
def test_a_binary_array_of_integers_may_have_any_number_of_elements(oid, element_oid, form):
    numbers = [number % 65_536 - 32_768 for number in range(150_000)]
    data = binary_array(element_oid, [struct.pack(form, number) for number in numbers])
    assert types.decode(oid, 1, data) == numbers
    for damaged in (data[:-1], data[:20] + struct.pack("!i", 1) + data[24:]):
        with pytest.raises(PgError):
            types.decode(oid, 1, damaged)
    with_null = struct.pack("!iiIii", 1, 1, element_oid, 2, 1) + b"\xff" * 4 + data[20:]
    assert types.decode(oid, 1, with_null) == [None, numbers[0]]


@pytest.mark.parametrize("size", [0, 15, 17, 100_000])
def test_a_binary_uuid_of_another_length_is_an_error(size):
    """Guards against bytes that are passed to data nodes as a uuid, which they cannot be."""
    with pytest.raises(PgError) as raised:
        types.decode(types.UUID, 1, bytes(size))
    assert raised.value.state == "22P03"


def test_an_array_is_no_element_of_a_binary_array():
    """Guards against XX000 for arrays in arrays, as deep as a message is long."""
    nested = b""
    for _ in range(5000):
        nested = binary_array(1231, [nested])
    for oid, data in ((1231, nested), (1016, binary_array(types.INT4, [bytes(4)]))):
        with pytest.raises(PgError) as raised:
            types.decode(oid, 1, data)
        assert raised.value.state == "22P03"


@pytest.mark.parametrize(
    ("text", "elements"),
    [
        (r"{}", []),
        (r"{1,2,NULL}", ["1", "2", None]),
        (r'{"a b", c d ,null, "NULL"}', ["a b", "c d ", None, "NULL"]),
        (r"{{1,2},{3,NULL}}", [["1", "2"], ["3", None]]),
        (r"[0:1]={1,2}", ["1", "2"]),
        (r'{"a\\b","c\"d","\e",""}', ["a\\b", 'c"d', "e", ""]),
    ],
)
def test_text_arrays_keep_their_meaning(text, elements):
    assert types.decode(1009, 0, text.encode()) == elements


@pytest.mark.parametrize("text", ["1", "{", "{1}}", '{"a}', "{1}{2}", "}", ""])
def test_text_that_is_no_array_is_an_error(text):
    with pytest.raises(PgError) as raised:
        types.decode(1009, 0, text.encode())
    assert raised.value.state == "22P02"
