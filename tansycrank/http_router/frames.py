"""Encoding and decoding of the frames between routers and data nodes. No I/O, no clock."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from tansycrank.errors import TansycrankError
from tansycrank.routing import Outcome

MAX_VALUE_BYTES = 64 * 1024  # of the value in an answer
MAX_LINE_BYTES = 1024  # of the first line of an answer
MAX_FRAME_BYTES = 1 + MAX_LINE_BYTES + MAX_VALUE_BYTES
MAX_LOAD_VALUES = 4  # of a load report
LENGTH_BYTES = 4
HEADER_BYTES = LENGTH_BYTES + 1  # length, type

OUTCOMES = {b"ok": Outcome.SUCCEEDED, b"err": Outcome.ERROR, b"busy": Outcome.REJECTED}
ANSWER_LINE = re.compile(rb"([0-9A-Za-z_-]+\.[0-9]+) (ok|err|busy) (\S+) (\S*)")
# The beginning of an answer within a value, behind the last byte of its length, which is 0.
EMBEDDED_ANSWER = re.compile(rb"\0A[0-9A-Za-z_-]++\.[0-9]++ (?:ok|err|busy) ")


class FrameError(TansycrankError):
    """The bytes are not a valid frame; the rest of the stream cannot be decoded."""


class ShardCall(NamedTuple):
    """One shard request of a call frame; an empty `idempotency_key` means none."""

    id: bytes
    shard: int
    remaining_ms: int
    text: bytes
    idempotency_key: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one shard request; `value` is meaningful for SUCCEEDED only."""

    id: bytes
    outcome: Outcome
    value: str
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class FrameRejected:
    """The node rejected the last frame and closes the connection; `reason` is its message."""

    reason: str


def encode_call(shard_calls: Iterable[ShardCall]) -> bytes:
    """Encode one frame that carries these shard requests."""
    return _encode_frame(
        b"Q", b"".join(_encode_shard_call(*shard_call) for shard_call in shard_calls)
    )


def encode_cancel(id: bytes) -> bytes:
    """Encode the frame that cancels a shard request."""
    return _encode_frame(b"X", id)


def answer_start(id: bytes) -> bytes:
    """Return the bytes with which an answer to this id begins, behind its length."""
    return b"A" + id + b" "


class FrameReader:
    """Decodes a byte stream into records, buffering at most the unfinished frame."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether bytes of an unfinished frame are buffered."""
        return bool(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of an unfinished frame."""
        return len(self._buffer)

    @property
    def buffered(self) -> bytes:
        """The bytes behind the last record."""
        return bytes(self._buffer)

    @property
    def may_begin_frame(self) -> bool:
        """Whether the buffered bytes, less than a header, may be the beginning of a frame."""
        missing = bytes(LENGTH_BYTES - len(self._buffer[:LENGTH_BYTES]))
        least_size = int.from_bytes(self._buffer[:LENGTH_BYTES] + missing, "little")
        return least_size <= MAX_FRAME_BYTES

    @property
    def partial_answer_id(self) -> bytes:
        """The id in an unfinished answer; empty if it has not arrived completely."""
        if self._buffer[LENGTH_BYTES:HEADER_BYTES] != b"A":
            return b""
        line_start = bytes(self._buffer[HEADER_BYTES : HEADER_BYTES + MAX_LINE_BYTES])
        id, space, _ = line_start.partition(b" ")
        return id if space else b""

    def feed(self, data: bytes) -> Iterator[Answer | FrameRejected]:
        """Yield the record of each complete frame; raise FrameError at the first malformed one."""
        self._buffer += data
        while len(self._buffer) >= HEADER_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "little")
            frame_type = bytes(self._buffer[LENGTH_BYTES:HEADER_BYTES])
            self._check_header(size, frame_type)
            end = LENGTH_BYTES + size
            if len(self._buffer) < end:
                self._check_line_length(frame_type)
                return
            body = bytes(self._buffer[HEADER_BYTES:end])
            if frame_type == b"A":
                record = _decode_answer(body)
            else:
                record = FrameRejected(body[:200].decode("utf-8", "replace"))
            del self._buffer[:end]
            yield record

    @staticmethod
    def _check_header(size: int, frame_type: bytes) -> None:
        if not 1 <= size <= MAX_FRAME_BYTES:
            raise FrameError(f"invalid frame length: {size} bytes")
        if frame_type not in b"AE":
            raise FrameError(f"unknown frame type {frame_type!r}")

    def _check_line_length(self, frame_type: bytes) -> None:
        """Reject an unfinished answer whose first line is already too long."""
        line_limit = HEADER_BYTES + MAX_LINE_BYTES
        if frame_type != b"A" or len(self._buffer) <= line_limit:
            return
        if self._buffer.find(b"\n", HEADER_BYTES, line_limit + 1) < 0:
            raise FrameError("first line of an answer too long")


def _encode_frame(frame_type: bytes, body: bytes) -> bytes:
    return (len(body) + 1).to_bytes(LENGTH_BYTES, "little") + frame_type + body


def _encode_shard_call(
    id: bytes, shard: int, remaining_ms: int, text: bytes, idempotency_key: bytes
) -> bytes:
    key = b",k=" + idempotency_key if idempotency_key else b""
    return b"%b %d d=%d%b %d\n%b" % (id, shard, remaining_ms, key, len(text), text)


def _decode_answer(body: bytes) -> Answer:
    line, newline, value = body.partition(b"\n")
    is_complete = newline and len(line) <= MAX_LINE_BYTES
    match = ANSWER_LINE.fullmatch(line) if is_complete else None
    if match is None:
        raise FrameError(f"malformed answer line {line[:60]!r}")
    id, status, _score, load_report = match.groups()
    if EMBEDDED_ANSWER.search(value):
        raise FrameError("an answer whose length includes another one")
    try:
        text = value.decode()
    except UnicodeDecodeError as error:
        raise FrameError("answer value is not valid UTF-8") from error
    return Answer(id, OUTCOMES[status], text, _decode_load(load_report))


def _decode_load(load_report: bytes) -> tuple[float, ...]:
    """Return the values of a load report, empty if it is malformed."""
    fields = load_report.split(b",")[:MAX_LOAD_VALUES]
    try:
        return tuple(float(field.partition(b"=")[2]) for field in fields)
    except ValueError:
        return ()
