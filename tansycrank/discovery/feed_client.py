"""The roster's plumbing: a line feed over TCP (JSON a line), or a file for small sites."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from pathlib import Path

import msgspec
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

from tansycrank import routing
from tansycrank.config import Config
from tansycrank.discovery import endpoint_view

FILE_POLL = 1.0  # seconds between two looks at a roster file


class _FeedProtocol(LineOnlyReceiver):
    delimiter = b"\n"

    def __init__(self, feed: FeedClient, limit: int) -> None:
        self.feed, self.MAX_LENGTH = feed, limit

    def connectionMade(self) -> None:
        self.feed.protocol = self
        self.feed.play(endpoint_view.Connected())

    def lineReceived(self, line: bytes) -> None:
        try:
            heard = msgspec.json.decode(line, type=endpoint_view.FeedLine)
        except msgspec.MsgspecError:
            heard = None
        self.feed.play(endpoint_view.Heard(heard))

    def connectionLost(self, reason=None) -> None:
        if self.feed.protocol is self:
            self.feed.protocol = None
            self.feed.play(endpoint_view.Lost())


class _FeedFactory(ClientFactory):
    noisy = False

    def __init__(self, feed: FeedClient, limit: int) -> None:
        self.feed, self.limit = feed, limit

    def buildProtocol(self, addr) -> _FeedProtocol:
        return _FeedProtocol(self.feed, self.limit)

    def clientConnectionFailed(self, connector, reason) -> None:
        self.feed.play(endpoint_view.Lost())


class _EndpointSource:
    """Carries out what the view decides of a list, wherever the list comes from."""

    def __init__(
        self,
        reactor,
        config: Config,
        pools,
        tell: Callable[[routing.EndpointListUpdate], None],
        log=None,
    ) -> None:
        section = config.roster
        self.reactor, self.pools, self.tell, self.log = reactor, pools, tell, log
        self.view = endpoint_view.EndpointView(
            config.zones, config.store.cells, section.silence_ms, section.max_nodes
        )

    def carry_out(self, action: object) -> None:
        """A list, or where its nodes are; other actions are passed over."""
        match action:
            case endpoint_view.Tell(told):
                self.tell(told)
            case endpoint_view.Place(endpoint, host, port):
                self.pools.place(endpoint, host, port)
            case endpoint_view.Forget(endpoint):
                self.pools.forget(endpoint)


class FeedClient(_EndpointSource):
    """A feed over TCP."""

    def __init__(
        self,
        reactor,
        config: Config,
        pools,
        tell: Callable[[routing.EndpointListUpdate], None],
        log=None,
    ) -> None:
        super().__init__(reactor, config, pools, tell, log)
        section = config.roster
        self.host, _, port = section.feed.partition(":")
        self.port, self.limit = int(port), section.max_line
        self.protocol: _FeedProtocol | None = None
        self._tick = None

    def watch(self, on: bool) -> None:
        """The module's word."""
        if on:
            self.play(endpoint_view.Asked())

    def stop(self) -> None:
        """Close the feed."""
        if self._tick is not None and self._tick.active():
            self._tick.cancel()
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.transport.abortConnection()

    def play(self, event: object) -> None:
        """One event, and what follows from it."""
        for action in self.view.step(self.reactor.seconds() * 1000, [event]):
            self.carry_out(action)
            match action:
                case endpoint_view.Connect():
                    self.reactor.connectTCP(
                        self.host, self.port, _FeedFactory(self, self.limit), timeout=2
                    )
                case endpoint_view.Drop():
                    protocol, self.protocol = self.protocol, None
                    if protocol is not None:
                        protocol.transport.abortConnection()
                case endpoint_view.Say(op, version, epoch):
                    if self.protocol is not None:
                        line = msgspec.json.encode({"op": op, "version": version, "epoch": epoch})
                        self.protocol.sendLine(line)
                case endpoint_view.Tell(told):
                    if self.log and told.kind is not routing.EndpointListKind.DELTA:
                        self.log.info(
                            "endpoint_list_received", kind=told.kind.value, nodes=len(told.entries)
                        )
                case endpoint_view.WakeAfter(ms):
                    self._tick = self.reactor.callLater(ms / 1000, self.play, endpoint_view.Tick())
                case endpoint_view.Odd(text):
                    if self.log:
                        self.log.warning("endpoint_list_problem_seen", odd=text)


class EndpointFile(_EndpointSource):
    """A file of `[node ID]` sections (host, port, cell, zone, status), read again when it changes."""

    def __init__(
        self,
        reactor,
        config: Config,
        pools,
        tell: Callable[[routing.EndpointListUpdate], None],
        log=None,
    ) -> None:
        super().__init__(reactor, config, pools, tell, log)
        self.path = Path(config.roster.file)
        self._stamp, self._version, self._poll = None, 0, None

    def watch(self, on: bool) -> None:
        """The module's word: the file is looked at from now on."""
        if on and self._poll is None:
            self._look()

    def stop(self) -> None:
        """Look no more."""
        if self._poll is not None and self._poll.active():
            self._poll.cancel()

    def _look(self) -> None:
        self._poll = self.reactor.callLater(FILE_POLL, self._look)
        try:
            stamp = self.path.stat().st_mtime_ns
            if stamp == self._stamp:
                return
            nodes = read_nodes(self.path)
        except (OSError, ValueError, configparser.Error) as problem:
            if self.log:
                self.log.warning(
                    "endpoint_list_problem_seen", odd=f"{self.path}: {problem}; the last list stays"
                )
            if self._stamp is None:
                self.tell(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
                self._poll.cancel()
                self._poll = None  # the module asks again
            return
        self._stamp, self._version = stamp, self._version + 1
        line = endpoint_view.FeedLine("full", self._version, 1, nodes)
        for action in self.view.step(self.reactor.seconds() * 1000, [endpoint_view.Heard(line)]):
            self.carry_out(action)


def read_nodes(path: Path) -> tuple[endpoint_view.NodeLine, ...]:
    """The nodes of a roster file. Raises ValueError naming section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"), str(path))
    nodes = []
    for section in parser.sections():
        word, _, number = section.partition(" ")
        if word != "node":
            raise ValueError(f"[{section}]: only sections [node ID] are allowed")
        try:
            nodes.append(
                msgspec.convert(
                    dict(parser[section]) | {"id": number}, endpoint_view.NodeLine, strict=False
                )
            )
        except msgspec.ValidationError as error:
            raise ValueError(f"[{section}]: {error}") from None
    return tuple(nodes)
