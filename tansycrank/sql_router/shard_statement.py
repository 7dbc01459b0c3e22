"""A statement for one shard, as it is sent to a data node, and how an attempt of it ended."""

from __future__ import annotations

from dataclasses import dataclass

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import TOO_LARGE, PgError
from tansycrank.routing import Outcome

REQUEST_KEY_SETTING = "tansycrank.request_key"


@dataclass(frozen=True, slots=True)
class ShardStatement:
    """A statement that a data node runs, or only describes if `describe` is set.

    `oids` and `formats` are the types and formats of the parameters, `results` the formats of the
    result columns, `key` the idempotency key.
    """

    shard: int
    sql: str
    oids: tuple[int, ...] = ()
    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()
    results: tuple[int, ...] = ()
    key: str = ""
    describe: bool = False

    def check_encodable(self) -> None:
        """Raise PgError 54000 if a number of its messages does not fit into its field."""
        for what, values in (
            ("parameter types", self.oids),
            ("parameters", self.values),
            ("parameter formats", self.formats),
            ("result formats", self.results),
        ):
            if len(values) > pg.MAX_COUNT:
                message = f"{len(values)} {what}; a message holds {pg.MAX_COUNT}"
                raise PgError(TOO_LARGE, message)

    def encode(self) -> bytes:
        """Return the protocol messages, up to and including Sync."""
        if self.describe:
            return pg.parse(self.sql, self.oids) + pg.describe("S") + pg.SYNC_FRAME
        set_key = b""
        if self.key:
            # In the transaction of the statement; within the deduplication window the store
            # executes only the first statement with the same key.
            literal = self.key.replace("'", "''")
            set_key = (
                pg.parse(f"SET LOCAL {REQUEST_KEY_SETTING} = '{literal}'", ())
                + pg.bind((), (), ())
                + pg.execute()
            )
        return b"".join(
            (
                set_key,
                pg.parse(self.sql, self.oids),
                pg.bind(self.values, self.formats, self.results),
                pg.describe("P"),
                pg.execute(),
                pg.SYNC_FRAME,
            )
        )


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    With the outcome `SUCCEEDED`, `error` is an error in the statement itself. The rows are in
    the stream that was passed to `ConnectionPool.send`.
    """

    outcome: Outcome
    error: PgError | None = None
    oids: tuple[int, ...] = ()
