"""Decides from the bytes behind an answer whether its stated length was right. No I/O, no clock.

A length that is too small cuts the value, and its rest lies behind the answer. Noise behind a whole
value looks alike unless it cannot be text, as values are UTF-8.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from tansycrank.http_router import frames

MAX_CHARACTER_BYTES = 4  # of a character in UTF-8


class AnswerEnding(Enum):
    """What the bytes behind an answer tell about its value."""

    WHOLE = auto()  # no byte behind it can belong to its value
    UNDECIDED = auto()  # further bytes may tell
    DOUBTFUL = auto()  # the value may be cut, or have bytes too many


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """An answer that was read, and whether other calls waited on its connection then."""

    answer: frames.Answer
    others_waited: bool


def ending_of(
    received: ReceivedAnswer, reader: frames.FrameReader, is_known: Callable[[bytes], bool]
) -> AnswerEnding:
    """Judge the last answer that the reader yielded by the bytes that the reader still holds.

    `is_known` tells whether an id belongs to a call of the connection. While other calls wait,
    noise is no explanation for bytes that begin no further answer.
    """
    if not reader.has_partial_frame:
        return AnswerEnding.WHOLE
    if is_known(reader.partial_answer_id):
        return AnswerEnding.WHOLE
    if received.others_waited:
        return AnswerEnding.UNDECIDED
    following = reader.buffered
    if _holds_misplaced_copy(received.answer.id, following):
        return AnswerEnding.DOUBTFUL
    if not _may_begin_text(following):
        return AnswerEnding.WHOLE
    return AnswerEnding.UNDECIDED if reader.may_begin_frame else AnswerEnding.DOUBTFUL


def ending_before_malformed(received: ReceivedAnswer, reader: frames.FrameReader) -> AnswerEnding:
    """Judge the last answer that the reader yielded before the rest proved to be no frame."""
    following = reader.buffered
    if received.others_waited or _holds_misplaced_copy(received.answer.id, following):
        return AnswerEnding.DOUBTFUL
    return AnswerEnding.DOUBTFUL if _may_begin_text(following) else AnswerEnding.WHOLE


def _holds_misplaced_copy(id: bytes, following: bytes) -> bool:
    """Whether a copy of the answer begins before these bytes: its length was too large."""
    start = frames.answer_start(id)
    return following.find(start, 0, frames.LENGTH_BYTES + len(start) - 1) >= 0


def _may_begin_text(following: bytes) -> bool:
    """Whether the bytes may continue a value, that is, begin with a character in UTF-8."""
    try:
        following[:MAX_CHARACTER_BYTES].decode()
    except UnicodeDecodeError as error:
        return error.start > 0 or error.reason == "unexpected end of data"
    return True
