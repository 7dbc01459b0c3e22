"""Client sessions on a fake service, with an in-memory clock and transport."""

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from tansycrank import config
from tansycrank.merge.rows import Result
from tansycrank.postgres import messages as pg
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.server import PostgresServerFactory
from tansycrank.sql.planner import Planner
from tansycrank.sql_router.service import RunningStatement, Service


class FakeService(Service):
    """Plans with the real planner; returns generated rows immediately or when the test says so."""

    def __init__(self, parsed_config):
        self.config, self.planner = parsed_config, Planner(parsed_config)
        self._class_index = {c.name: i for i, c in enumerate(parsed_config.classes)}
        self.pending, self.requests, self.cancelled, self.answers, self.released = [], [], [], [], 0
        self.responds_immediately, self.rows, self.log = True, 3, None
        self.start_admission(Clock())

    def run(self, request, done):
        if request.prepared.local is None:
            try:
                request.prepared.bind(
                    self.decode_values(request.prepared, request.values, request.formats)
                )
            except PgError as error:  # others are raised, as by the service
                done(error)
                return None
        self.requests.append(request)
        fields = (pg.Field("id", 20),) if request.prepared.returns_rows else None
        frames = [pg.data_row([str(i).encode()]) for i in range(self.rows)] if fields else []
        result = Result(fields, frames, f"SELECT {len(frames)}" if fields else "INSERT 0 1")
        self.answers.append(result)
        if self.responds_immediately:
            done(result)
            return None
        self.pending.append((done, result))
        return RunningStatement(len(self.pending) - 1)

    def describe(self, prepared, settings, done, caller=None):
        done((prepared.oids, (pg.Field("id", 20),) if prepared.returns_rows else None))

    def cancel(self, running, left=False):
        self.cancelled.append(left)

    def release(self, result):
        self.released += 1


class SessionHarness:
    """A server factory with one client session; `listen` overrides settings of [listen]."""

    def __init__(self, text, **listen):
        listen_lines = "\n".join(f"{k} = {v}" for k, v in listen.items())
        parsed_config = config.parse(f"{text}\n[listen]\n{listen_lines}\n")
        self.clock, self.service = Clock(), FakeService(parsed_config)
        self.factory = PostgresServerFactory(self.service, parsed_config.listen, self.clock, 1)
        self.session, self.transport = self.connect()

    def connect(self):
        session = self.factory.buildProtocol(None)
        transport = Transport()
        session.makeConnection(transport)
        return session, transport

    def log_in(self, **parameters):
        self.session.dataReceived(pg.startup({"user": "test", **parameters}))
        return self.take_messages()

    def send(self, *frames):
        self.session.dataReceived(b"".join(frames))
        return self.take_messages()

    def take_messages(self):
        """Return (type, frame) of all messages written since the last call."""
        data = self.transport.value()
        self.transport.clear()
        return [(chr(kind), frame) for kind, frame in pg.MessageSplitter(1 << 26).feed(data)]

    def kinds(self, *frames):
        return "".join(kind for kind, _ in self.send(*frames))


class Transport(StringTransport):
    """Completes loseConnection immediately, as with a client that reads all data."""

    aborted = False
    unsent_bytes = 0  # the client reads all data at once
    unread_bytes = 0

    def setTcpNoDelay(self, on):
        pass

    def abortConnection(self):
        self.aborted = True
        self.loseConnection()

    def pauseProducing(self):
        self.producerState = "paused"

    def resumeProducing(self):
        self.producerState = "producing"


def first_error(messages):
    """Return the first error among messages, or None."""
    return next((pg.read_error(frame) for kind, frame in messages if kind == "E"), None)
