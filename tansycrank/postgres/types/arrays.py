"""Array codec for text and binary format; the caller supplies the element codec."""

from __future__ import annotations

import math
import re
import struct
from collections.abc import Callable

MAX_DIMENSIONS = 6
NULL_ELEMENT = b"\xff\xff\xff\xff"
NEEDS_QUOTES = re.compile(r'[{}",\\\s]')


class ArrayTextParser:
    """Parses `{...}` with nested arrays, quoted elements and NULL. Raises ValueError."""

    def __init__(self, decode_element: Callable[[bytes], object]) -> None:
        self._decode_element = decode_element
        self._stack: list[list] = [[]]
        self._element: list[str] = []
        self._is_quoted = False  # inside quotes
        self._was_quoted = False  # the element has quotes, so it is not NULL

    def parse(self, text: str) -> list:
        """Returns the elements, nested arrays as lists.

        Raises ValueError, or IndexError if the text ends in an incomplete escape sequence.
        """
        if text.startswith("["):  # explicit bounds
            text = text.split("=", 1)[1]
        position = 0
        while position < len(text):
            char = text[position]
            if self._is_quoted and char == "\\":
                position += 1
                self._element.append(text[position])
            elif self._is_quoted:
                self._read_quoted(char)
            else:
                self._read_plain(char)
            position += 1
        if len(self._stack) != 1 or len(self._stack[0]) != 1 or self._is_quoted:
            raise ValueError("unbalanced braces")
        return self._stack[0][0]

    def _read_quoted(self, char: str) -> None:
        if char == '"':
            self._is_quoted = False
        else:
            self._element.append(char)

    def _read_plain(self, char: str) -> None:
        if char == '"':
            self._is_quoted = self._was_quoted = True
        elif char == "{":
            self._stack.append([])
        elif char in ",}":
            self._end_element()
            if char == "}":
                self._end_array()
        elif not char.isspace() or self._element:
            self._element.append(char)

    def _end_element(self) -> None:
        raw = "".join(self._element)
        if raw or self._was_quoted:
            is_null = not self._was_quoted and raw.upper() == "NULL"
            self._stack[-1].append(None if is_null else self._decode_element(raw.encode()))
        self._element.clear()
        self._was_quoted = False

    def _end_array(self) -> None:
        if len(self._stack) < 2:
            raise ValueError("unbalanced braces")
        array = self._stack.pop()
        self._stack[-1].append(array)


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


def decode_array(data: bytes, decode_element: Callable[[int, bytes], object]) -> list:
    """Decodes an array in binary format.

    `decode_element` receives the element type OID and the bytes. Raises ValueError or struct.error.
    """
    dimensions, _, element_oid = struct.unpack_from("!iiI", data)
    sizes = [struct.unpack_from("!ii", data, 12 + 8 * i)[0] for i in range(dimensions)]
    position = 12 + 8 * dimensions
    if dimensions > MAX_DIMENSIONS or math.prod(sizes or [0]) > len(data):
        raise ValueError("more elements than bytes")

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
            values.append(None if size < 0 else decode_element(element_oid, raw))
            position += max(size, 0)
        return values

    return read_level(0) if dimensions else []


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
    head = struct.pack("!iiI", len(sizes), int(None in flat), element_oid)
    body = [struct.pack("!ii", size, 1) for size in sizes]
    for value in flat:
        raw = None if value is None else encode_element(value)
        body.append(NULL_ELEMENT if raw is None else struct.pack("!i", len(raw)) + raw)
    return head + b"".join(body)
