"""Frames between routers and data nodes: bytes in, records out, and back. No sockets, no clock."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from tansycrank.http_router.settings import MAX_LINE, MAX_VALUE
from tansycrank.routing import Outcome

MAX_FRAME = 1 + MAX_LINE + MAX_VALUE
ENDS = {b"ok": Outcome.SUCCEEDED, b"err": Outcome.ERROR, b"busy": Outcome.REJECTED}
LINE = re.compile(rb"([0-9A-Za-z_-]+\.[0-9]+) (ok|err|busy) (\S+) (\S*)")
MAX_FIGURES = 4  # of a load report, as the settings list them


class FrameError(ValueError):
    """Bytes that are no frame; the stream is out of step from here on."""


@dataclass(frozen=True, slots=True)
class Answer:
    """How one part ended. `value` counts for ANSWERED alone."""

    id: bytes
    outcome: Outcome
    value: str
    load: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Unusable:
    """The node could not use the frame before and closes."""

    words: str


def _frame(letter: bytes, rest: bytes) -> bytes:
    return (len(rest) + 1).to_bytes(4, "little") + letter + rest


def call(shard_requests: Iterable[tuple[bytes, int, int, bytes, bytes]]) -> bytes:
    """One call of (id, shard, ms that will be waited, text, the client's Idempotency-Key or b"")
    each.
    """
    return _frame(
        b"Q",
        b"".join(
            b"%b %d d=%d%b %d\n%b"
            % (id, shard, wait, b",k=" + once if once else b"", len(text), text)
            for id, shard, wait, text, once in shard_requests
        ),
    )


def give_up(id: bytes) -> bytes:
    """Word that a part is no longer waited for."""
    return _frame(b"X", id)


class Reader:
    """Cuts a stream into records."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether bytes of an unfinished frame are held."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterable[Answer | Unusable]:
        """Yield each whole frame as it is read; FrameError at the first that is none.

        Records before the fault have been yielded by then. At most one frame's bytes are kept.
        """
        self._buffer += data
        while len(self._buffer) >= 5:
            size = int.from_bytes(self._buffer[:4], "little")
            letter = bytes(self._buffer[4:5])
            if not 1 <= size <= MAX_FRAME:
                raise FrameError(f"a frame of {size} bytes")
            if letter not in b"AE":
                raise FrameError(f"unknown letter {letter!r}")
            if len(self._buffer) < 4 + size:
                if (
                    letter == b"A"
                    and len(self._buffer) > 5 + MAX_LINE
                    and b"\n" not in self._buffer[5:]
                ):
                    raise FrameError("a line without an end")
                return
            rest = bytes(self._buffer[5 : 4 + size])
            del self._buffer[: 4 + size]
            yield (
                _answer(rest) if letter == b"A" else Unusable(rest[:200].decode("utf-8", "replace"))
            )


def _answer(rest: bytes) -> Answer:
    line, end, value = rest.partition(b"\n")
    found = LINE.fullmatch(line) if end and len(line) <= MAX_LINE else None
    if found is None:
        raise FrameError(f"an answer that begins {line[:60]!r}")
    id, ended, _score, report = found.groups()
    try:
        text = value.decode()
    except UnicodeDecodeError as problem:
        raise FrameError("a value that is no text") from problem
    return Answer(id, ENDS[ended], text, _load(report))


def _load(report: bytes) -> tuple[float, ...]:
    """A load report that cannot be read is none: the answer it came with is good all the same."""
    try:
        return tuple(
            float(figure.partition(b"=")[2]) for figure in report.split(b",")[:MAX_FIGURES]
        )
    except ValueError:
        return ()
