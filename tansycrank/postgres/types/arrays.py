"""Array codec for text and binary format; the caller supplies the element codec."""

from __future__ import annotations

import math
import re
import struct
from collections.abc import Callable

from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.postgres.types.oids import INT2, INT4, INT8

MAX_DIMENSIONS = 6
MAX_ELEMENTS = 100_000  # of an array that is read one by one
NULL_ELEMENT = b"\xff\xff\xff\xff"
HEADER = struct.Struct("!iiI")  # number of dimensions, whether there are NULLs, element type
DIMENSION = struct.Struct("!ii")  # size, lower bound
LENGTH_BYTES = 4  # of the length before each element
INTEGER_ELEMENTS = {  # by type: length and value of an element in binary format
    INT2: struct.Struct("!ih"),
    INT4: struct.Struct("!ii"),
    INT8: struct.Struct("!iq"),
}
# A quoted string, a brace, a comma, or the text between them; nothing is tried twice.
TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[{},]|[^{},"]++', re.S)
NEEDS_PARSING = re.compile(r'[{}"\\]')
NEEDS_QUOTES = re.compile(r'[{}",\\\s]')


class ArrayTextParser:
    """Parses `{...}` with nested arrays, quoted elements and NULL.

    `parse_element` reads the text of an element, `parse_many` those of many at once, if given: then
    a flat array may have any number of elements.
    """

    def __init__(
        self,
        parse_element: Callable[[str], object],
        parse_many: Callable[[list[str]], list] | None = None,
    ) -> None:
        self._parse_element, self._parse_many = parse_element, parse_many
        self._stack: list[list] = [[]]
        self._element: list[str] = []
        self._was_quoted = False  # the element has quotes, so it is not NULL

    def parse(self, text: str) -> list:
        """Returns the elements, nested arrays as lists.

        Raises ValueError, or PgError 54000 for more than `MAX_ELEMENTS`.
        """
        if text.startswith("["):  # explicit bounds
            text = text.partition("=")[2]
        if not text.startswith("{"):
            raise ValueError("an array begins with a brace")
        if not NEEDS_PARSING.search(text, 1, len(text) - 1) and text.endswith("}"):
            return self._parse_plain(text[1:-1])
        _check_count(text.count(",") + text.count("{"))
        for token in TOKEN.findall(text):
            self._read(token)
        if len(self._stack) != 1 or len(self._stack[0]) != 1 or self._element:
            raise ValueError("unbalanced braces")
        return self._stack[0][0]

    def _parse_plain(self, elements: str) -> list:
        """Parses an array without quotes, escapes and nested arrays."""
        found = list(filter(None, map(str.strip, elements.split(","))))
        if self._parse_many is not None and "null" not in elements.lower():
            return self._parse_many(found)
        _check_count(len(found))
        return [self._parse(element) for element in found]

    def _read(self, token: str) -> None:
        if token == "{":
            if len(self._stack) > MAX_DIMENSIONS:
                raise ValueError(f"more than {MAX_DIMENSIONS} dimensions")
            self._stack.append([])
        elif token in (",", "}"):
            self._end_element()
            if token == "}":
                self._end_array()
        elif token.startswith('"'):
            if len(token) < 2 or not token.endswith('"'):
                raise ValueError("unbalanced quotes")
            self._was_quoted = True
            self._element.append(_without_escapes(token[1:-1]))
        elif self._element or not token.isspace():
            self._element.append(token if self._element else token.lstrip())

    def _end_element(self) -> None:
        raw = "".join(self._element)
        if self._was_quoted:
            self._stack[-1].append(self._parse_element(raw))
        elif raw:
            self._stack[-1].append(self._parse(raw))
        self._element.clear()
        self._was_quoted = False

    def _parse(self, raw: str) -> object:
        return None if raw.upper() == "NULL" else self._parse_element(raw)

    def _end_array(self) -> None:
        if len(self._stack) < 2:
            raise ValueError("unbalanced braces")
        array = self._stack.pop()
        self._stack[-1].append(array)


def _check_count(count: int) -> None:
    if count > MAX_ELEMENTS:
        raise PgError(TOO_LARGE, f"an array of over {MAX_ELEMENTS} elements")


def _without_escapes(text: str) -> str:
    """Returns a quoted text in which a backslash stands for what follows it."""
    return "\\".join(part.replace("\\", "") for part in text.split("\\\\"))


def format_array(values: list, encode_element: Callable[[object], bytes]) -> str:
    """Encodes an array in text format."""
    parts = []
    for value in values:
        if value is None:
            parts.append("NULL")
        elif isinstance(value, list):
            parts.append(format_array(value, encode_element))
        else:
            parts.append(_quoted(encode_element(value).decode()))
    return "{" + ",".join(parts) + "}"


def _quoted(text: str) -> str:
    if text and text.upper() != "NULL" and not NEEDS_QUOTES.search(text):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def decode_array(data: bytes, element_oid: int, decode_element: Callable[[bytes], object]) -> list:
    """Decodes an array with elements of this type in binary format.

    A flat array of integers may have any number of elements. Raises ValueError, struct.error, or
    PgError 54000 for more than `MAX_ELEMENTS`.
    """
    dimensions, _, stated_oid = HEADER.unpack_from(data)
    if not 0 <= dimensions <= MAX_DIMENSIONS:
        raise ValueError(f"{dimensions} dimensions; allowed {MAX_DIMENSIONS}")
    if stated_oid != element_oid:  # also keeps arrays from being elements, at any depth
        raise ValueError(f"elements of type {stated_oid}; expected {element_oid}")
    sizes = [
        DIMENSION.unpack_from(data, HEADER.size + DIMENSION.size * i)[0] for i in range(dimensions)
    ]
    position = HEADER.size + DIMENSION.size * dimensions
    if min(sizes, default=0) < 0 or math.prod(sizes) > len(data):
        raise ValueError("more elements than bytes")
    if 0 in sizes:
        return []
    if dimensions == 1 and element_oid in INTEGER_ELEMENTS:
        integers = _decode_integers(INTEGER_ELEMENTS[element_oid], data, position, sizes[0])
        if integers is not None:
            return integers
    _check_count(math.prod(sizes))

    def read_level(depth: int) -> list:
        nonlocal position
        values = []
        for _ in range(sizes[depth]):
            if depth + 1 < dimensions:
                values.append(read_level(depth + 1))
                continue
            size = struct.unpack_from("!i", data, position)[0]
            position += 4
            raw = data[position : position + size]
            values.append(None if size < 0 else decode_element(raw))
            position += max(size, 0)
        return values

    return read_level(0) if dimensions else []


def _decode_integers(
    element: struct.Struct, data: bytes, position: int, count: int
) -> list[int] | None:
    """Decodes a flat array of integers at once; None if one is NULL or has another length."""
    end = position + count * element.size
    if end > len(data):
        return None
    length = element.size - LENGTH_BYTES
    values = []
    for size, value in element.iter_unpack(memoryview(data)[position:end]):
        if size != length:
            return None
        values.append(value)
    return values


def encode_array(
    values: list, element_oid: int, encode_element: Callable[[object], bytes]
) -> bytes:
    """Encodes an array in binary format."""
    sizes, nested = [], values
    while isinstance(nested, list) and nested:
        sizes.append(len(nested))
        nested = nested[0]
    flat = values
    for _ in sizes[1:]:
        flat = [value for inner in flat for value in inner]
    head = HEADER.pack(len(sizes), int(None in flat), element_oid)
    body = [DIMENSION.pack(size, 1) for size in sizes]
    for value in flat:
        raw = None if value is None else encode_element(value)
        body.append(NULL_ELEMENT if raw is None else struct.pack("!i", len(raw)) + raw)
    return head + b"".join(body)
