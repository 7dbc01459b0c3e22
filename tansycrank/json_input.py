"""Decoding of JSON that comes from outside this process, with one error for all that may be wrong.

A decoder raises RecursionError, which is no ValueError, for brackets that are nested too deep.
"""

from __future__ import annotations

from typing import Any

import msgspec

from tansycrank.errors import TansycrankError


class JsonInputError(TansycrankError):
    """The bytes cannot be decoded; the message names the place where the decoder knows it.

    `is_truncated` is whether they may be the beginning of a valid document.
    """

    def __init__(self, message: str, is_truncated: bool = False) -> None:
        super().__init__(message)
        self.is_truncated = is_truncated


def decode_json(decoder: msgspec.json.Decoder, data: bytes | bytearray) -> Any:
    """Decode a document to the type of the decoder; raise JsonInputError, and no other error."""
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise JsonInputError("the JSON document is nested too deep") from error
    except ValueError as error:
        raise JsonInputError(str(error), _is_truncated(error)) from error


def _is_truncated(error: ValueError) -> bool:
    is_syntax_error = isinstance(error, msgspec.DecodeError) and not isinstance(
        error, msgspec.ValidationError
    )
    return is_syntax_error and "truncated" in str(error)
