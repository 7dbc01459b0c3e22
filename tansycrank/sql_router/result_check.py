"""Checks that a data node's messages make up one whole result. No I/O.

A length that is wrong may hide a message within another one: a row, or the end of the command. What
is left may look like a smaller result.
"""

from __future__ import annotations

import re
from collections import defaultdict
from enum import Enum, auto

from tansycrank.merge.blocks import ShardRowStream
from tansycrank.postgres.errors import ProtocolError
from tansycrank.sql_router.node_messages import (
    COMMAND_COMPLETE,
    NO_DATA,
    PARAMETER_DESCRIPTION,
    ROW_DESCRIPTION,
)
from tansycrank.sql_router.shard_statement import ShardStatement

SELECT_TAG = re.compile(r"SELECT ([0-9]{1,20})")


class ExpectedResult(Enum):
    """What a request asks a data node for."""

    DESCRIPTION = auto()  # types of the parameters, and of the columns if there are any
    COMMAND = auto()  # one command, with or without rows
    COMMAND_WITH_KEY = auto()  # a setting before it


MAX_COMMANDS = {ExpectedResult.COMMAND: 1, ExpectedResult.COMMAND_WITH_KEY: 2}


class ResultCheck:
    """The messages of one result, up to ReadyForQuery."""

    def __init__(self, request: ShardStatement) -> None:
        self._expected = _expected_result(request)
        self._messages: defaultdict[int, int] = defaultdict(int)  # by type

    def add(self, kind: int) -> None:
        """Count a message of this type."""
        self._messages[kind] += 1

    def check_whole(self, stream: ShardRowStream) -> None:
        """Raise ProtocolError unless the result is whole; `stream` has its rows and its tag."""
        if self._expected is ExpectedResult.DESCRIPTION:
            self._check_description()
            return
        commands = self._messages[COMMAND_COMPLETE]
        is_setting_alone = self._expected is ExpectedResult.COMMAND_WITH_KEY and stream.tag == "SET"
        if not 1 <= commands <= MAX_COMMANDS[self._expected] or is_setting_alone:
            raise ProtocolError(f"the node completed {commands} commands, the last {stream.tag!r}")
        if stream.rows and stream.fields is None:
            raise ProtocolError("the node sent rows without a description")
        _check_row_count(stream)

    def _check_description(self) -> None:
        columns = self._messages[ROW_DESCRIPTION] + self._messages[NO_DATA]
        if self._messages[PARAMETER_DESCRIPTION] != 1 or columns != 1:
            raise ProtocolError("the node described a statement only in part")


def _expected_result(request: ShardStatement) -> ExpectedResult:
    if request.describe:
        return ExpectedResult.DESCRIPTION
    return ExpectedResult.COMMAND_WITH_KEY if request.key else ExpectedResult.COMMAND


def _check_row_count(stream: ShardRowStream) -> None:
    """Raise ProtocolError if rows are missing; a count that is smaller than the rows loses none."""
    tag = SELECT_TAG.fullmatch(stream.tag)
    if tag is not None and stream.state == "open" and int(tag[1]) > stream.rows:
        raise ProtocolError(f"the node sent {stream.rows} rows of {tag[1]}")
