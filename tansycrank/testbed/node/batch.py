"""Runs the messages of one batch (a simple query, or all up to a Sync) on the engine."""

from __future__ import annotations

from typing import NamedTuple

import pglast

from tansycrank.postgres import messages as pg
from tansycrank.postgres import types
from tansycrank.postgres.errors import SYNTAX_ERROR, PgError
from tansycrank.sql.infer import parameter_types
from tansycrank.sql.planner import split_leading_comment
from tansycrank.sql_router.shard_statement import REQUEST_KEY_SETTING
from tansycrank.testbed.engine import Rows, to_engine
from tansycrank.testbed.node.interfaces import JournaledSession
from tansycrank.testbed.node.journal import shortened
from tansycrank.testbed.node.node import Node

DATA_EXCEPTION = "22000"
MAX_CACHED_ANSWERS = 1000
WRITE_VERBS = ("INSERT", "UPDATE", "DELETE")
SET_KEY_PREFIX = f"SET LOCAL {REQUEST_KEY_SETTING} = "
JOURNAL_SQL_CHARACTERS = 300
JOURNAL_VALUES = 9
MAX_DECODED_BYTES = 128 * 1024  # of the values of a batch; more would hold the node for long


class BatchAnswer(NamedTuple):
    """Messages of an answer; the tag is the SQLSTATE of an error."""

    data: bytes
    row_count: int
    tag: str


def answer(node: Node, session: JournaledSession, batch: list) -> BatchAnswer:
    """The answer to a batch, from the cache where the node has one."""
    if not node.model.nature.cached:
        return BatchExecution(node, session).run(batch)
    cache, key = node.cached_answers, repr(batch)
    if key not in cache:
        if len(cache) >= MAX_CACHED_ANSWERS:
            cache.clear()
        cache[key] = BatchExecution(node, session).run(batch)
    return cache[key]


class BatchExecution:
    """State of one batch: its statement, parameters and the messages of its answer."""

    def __init__(self, node: Node, session: JournaledSession) -> None:
        self._node = node
        self._session = session
        self._messages: list[bytes | None] = []  # None: a description that Execute fills in
        self._row_count = 0
        self._tag = ""
        self._key = ""
        self._sql = ""
        self._oids: tuple[int, ...] = ()
        self._bind: pg.Bind | None = None

    def run(self, batch: list) -> BatchAnswer:
        """Handle all messages; an error ends the batch."""
        try:
            for message in batch:
                self._handle(message)
        except PgError as error:
            self._messages.append(pg.error_response(error))
            self._tag = error.state
        data = b"".join(message for message in self._messages if message is not None)
        return BatchAnswer(data + pg.ready_for_query("I"), self._row_count, self._tag)

    def _handle(self, message: object) -> None:
        match message:
            case pg.Query(sql):
                result = self._execute(sql, (), None, "")
                if result.fields is not None:
                    self._messages.append(pg.row_description(result.fields))
                self._add_result(result)
            case pg.Parse(_, sql, oids):
                self._sql = sql
                self._oids = oids if sql.startswith("SET") else self._parameter_types(sql, oids)
                self._messages.append(pg.PARSE_COMPLETE)
            case pg.Bind():
                self._bind = message
                self._messages.append(pg.BIND_COMPLETE)
            case pg.Describe("S", _):
                self._describe_statement()
            case pg.Describe():
                self._messages.append(None)
            case pg.Execute():
                self._execute_bound()

    def _describe_statement(self) -> None:
        fields = self._node.engine.describe(self._sql, self._oids)
        oids = [oid or types.TEXT for oid in self._oids]
        self._messages.append(pg.parameter_description(oids))
        self._messages.append(pg.NO_DATA if fields is None else pg.row_description(fields))

    def _execute_bound(self) -> None:
        if self._sql.startswith(SET_KEY_PREFIX):
            self._key = self._sql.split(" = ", 1)[1].strip("'").replace("''", "'")
            self._messages.append(pg.command_complete("SET"))
            return
        result = self._execute(self._sql, self._oids, self._bind, self._key)
        has_fields = result.fields is not None
        if self._messages and self._messages[-1] is None:
            self._messages[-1] = pg.row_description(result.fields) if has_fields else pg.NO_DATA
        self._add_result(result)

    def _add_result(self, result: Rows) -> None:
        self._messages += [*result.frames, pg.command_complete(result.tag)]
        self._row_count += len(result.frames)
        self._tag = result.tag

    def _parameter_types(self, sql: str, oids: tuple[int, ...]) -> tuple[int, ...]:
        if "$" not in sql or (oids and all(oids)):
            return oids
        try:
            (raw,) = pglast.parse_sql(sql)
            return parameter_types(raw.stmt, self._node.config.tables, oids)
        except pglast.parser.ParseError as error:
            raise PgError(SYNTAX_ERROR, str(error.args[0])) from None

    def _execute(self, sql: str, oids: tuple[int, ...], bind: pg.Bind | None, key: str) -> Rows:
        values = [] if bind is None else _decoded(bind, oids)
        verb = split_leading_comment(sql)[1].split(None, 1)[0].upper()
        if verb in WRITE_VERBS:
            return self._execute_write(sql, oids, values, key)
        try:
            parameters = [
                to_engine(oid or types.TEXT, value) for oid, value in zip(oids, values, strict=True)
            ]
        except (ValueError, OverflowError) as error:
            raise PgError("22003", f"a value that the engine does not hold: {error}") from None
        return self._node.engine.run(
            sql, parameters, bind.result_formats if bind is not None else ()
        )

    def _execute_write(self, sql: str, oids: tuple[int, ...], values: list, key: str) -> Rows:
        store = self._node.write_store
        encoded = [
            None if value is None else types.encode(oid or types.TEXT, 0, value)
            for oid, value in zip(oids, values, strict=True)
        ]
        write = {
            "shard": self._node.shard_of_sql(sql),
            "sql": sql,
            "key": key,
            "values": [None if value is None else value.decode() for value in encoded],
            "oids": [oid or types.TEXT for oid in oids],
        }
        count_before = len(store.writes)
        tag = store.apply(write, from_client=True)
        is_applied = len(store.writes) > count_before
        self._node.counts["writes"] += len(store.writes) - count_before
        self._node.journal.record(
            "write",
            self._session,
            key=key,
            applied=is_applied,
            sql=sql[:JOURNAL_SQL_CHARACTERS],
            values=[shortened(value) for value in encoded[:JOURNAL_VALUES]],
        )
        if is_applied:
            store.replicate(write)
        return Rows(None, [], tag)


def _decoded(bind: pg.Bind, oids: tuple[int, ...]) -> list:
    """The values of bound parameters. Raises PgError 22000 if they are too large to decode."""
    size = sum(len(value) for value in bind.values if value is not None)
    if size > MAX_DECODED_BYTES:
        raise PgError(DATA_EXCEPTION, f"stand-in: {size} bytes of values, over {MAX_DECODED_BYTES}")
    codes = bind.formats * len(bind.values) if len(bind.formats) == 1 else bind.formats
    codes = codes or (0,) * len(bind.values)
    return [
        None if value is None else types.decode(oid or types.TEXT, code, value)
        for oid, code, value in zip(oids, codes, bind.values, strict=True)
    ]
