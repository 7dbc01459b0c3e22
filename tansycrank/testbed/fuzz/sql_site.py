"""The SQL router as a process, with usual clients and a client that sends hostile statements."""

from __future__ import annotations

import re
import socket
import struct
import time

import psycopg

from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import QUERY_REJECTED, retry_after
from tansycrank.testbed.fuzz.inputs import Input, Target
from tansycrank.testbed.fuzz.oracles import (
    GIVE_UP_SECONDS,
    MAX_WAIT_SECONDS,
    USUAL_CLIENTS,
    UsualClient,
)
from tansycrank.testbed.local_cluster import Layout, LocalCluster, control

SQLSTATE = re.compile(r"[0-9A-Z]{5}")
UNEXPECTED = "XX000"
DESCRIBE_PORTAL = pg.frame(b"D", b"P\0")
LAYOUT = Layout(nodes=3, shards=6, reach=2, scale=0.05, log_queries=False)
# Hostile statements insert rows of the id 1.
FIRST_ROWS = "SELECT id, name FROM drivers WHERE id > 1 ORDER BY id LIMIT 50"
AFTER_FEED = Input(Target.QUERY, "SELECT count(*) FROM zones")
USUAL_STATEMENT = "SELECT id, name FROM drivers WHERE id = %s"


class SqlSite:
    """A cluster of stand-ins with one router."""

    def __init__(self) -> None:
        self.cluster = LocalCluster(LAYOUT)
        self.cluster.start()
        self.cluster.wait_ready()
        with psycopg.connect(self.cluster.dsn(), autocommit=True) as connection:
            found = connection.execute(FIRST_ROWS)
            self._rows = found.fetchall()
        self.process = self.cluster.routers[0]
        self.usual = [UsualClient(self._connect) for _ in range(USUAL_CLIENTS)]

    def _connect(self):
        connection = psycopg.connect(self.cluster.dsn(), autocommit=True, connect_timeout=5)
        rows = iter(self._rows * 100_000)

        def ask() -> None:
            row = next(rows)
            answer = ask_until_answered(connection, row[0])
            if answer != [row]:
                raise ValueError(f"{answer} for {row}")

        return ask

    def play(self, one: Input) -> str:
        """Send a statement; return the SQLSTATE, "rows", or how the session ended.

        Text on the feed is followed by a statement.
        """
        if one.target is Target.FEED:
            control(self.cluster.roster_control, {"raw": one.data, "times": one.amount})
            one = AFTER_FEED
        address = ("127.0.0.1", self.cluster.ports[0])
        try:
            with socket.create_connection(address, timeout=GIVE_UP_SECONDS) as connection:
                connection.sendall(pg.startup({"user": "demo", "database": "tansycrank"}))
                _read_until_ready(connection)
                connection.sendall(_encode(one))
                return _read_until_ready(connection)
        except (OSError, struct.error) as error:
            return f"{type(error).__name__}: {error}"

    @staticmethod
    def is_expected(told: str) -> bool:
        """Whether the sender heard of rows or an error of its statement."""
        return told == "rows" or bool(SQLSTATE.fullmatch(told) and told != UNEXPECTED)

    def ended_stand_ins(self) -> list[str]:
        """Return the data nodes whose processes have ended."""
        return [
            f"data node {node.id}, status {node.process.returncode},"
            for node in self.cluster.nodes.values()
            if node.process.poll() is not None
        ]

    def close(self) -> None:
        """End clients and processes."""
        for client in self.usual:
            client.close()
        self.cluster.close()


def ask_until_answered(connection: psycopg.Connection, key: int) -> list[tuple]:
    """Ask for a row; after a rejection ask again when told to, within the time of usual clients."""
    give_up_at = time.monotonic() + MAX_WAIT_SECONDS
    while True:
        try:
            return connection.execute(USUAL_STATEMENT, (key,)).fetchall()
        except psycopg.Error as error:
            pause = retry_after(error.diag.message_detail or "") / 1000
            if error.sqlstate != QUERY_REJECTED or time.monotonic() + pause >= give_up_at:
                raise
        time.sleep(pause)


def _encode(one: Input) -> bytes:
    if one.target is Target.QUERY:
        return pg.query(one.data)
    if one.parameter is None:
        parse, bind = pg.parse(one.data, ()), pg.bind((), (), ())
    else:
        parameter = one.parameter
        parse = pg.parse(one.data, (parameter.oid,))
        bind = pg.bind((parameter.value,), (parameter.format,), ())
    return parse + bind + DESCRIBE_PORTAL + pg.execute() + pg.SYNC_FRAME


def _read_until_ready(connection: socket.socket) -> str:
    splitter, told = pg.MessageSplitter(1 << 26), "rows"
    give_up_at = time.monotonic() + GIVE_UP_SECONDS
    while time.monotonic() < give_up_at:
        data = connection.recv(65_536)
        if not data:
            return "connection closed"
        for kind, message in splitter.feed(data):
            if kind == ord("E"):
                told = pg.read_error(message).state
            elif kind == ord("Z"):
                return told
    return "nothing in time"
