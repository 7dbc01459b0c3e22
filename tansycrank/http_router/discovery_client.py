"""The client of service discovery: a watch for changes, and polls of the whole endpoint list."""

from __future__ import annotations

from typing import Protocol

from tansycrank.http_router.discovery_exchange import (
    EXCHANGE_TIMEOUT_SECONDS,
    DiscoveryExchange,
    ExchangeKind,
)
from tansycrank.http_router.settings import EndpointListDocument
from tansycrank.pending_notifications import read_available
from tansycrank.single_connection import SingleConnectionFactory

POLL_PATH = "/api/targets"
WATCH_PATH = "/api/targets?watch=1&after="


class DiscoveryListener(Protocol):
    """The interface through which the client reports results."""

    @property
    def known_version(self) -> int:
        """The version of the current endpoint list, after which a watch starts."""

    def on_endpoint_list(self, document: EndpointListDocument) -> None:
        """Handle an endpoint list, a snapshot or a delta."""

    def on_unchanged(self) -> None:
        """Handle a heartbeat: the watch reported no change."""

    def on_discovery_failure(self) -> None:
        """Handle a failed poll or the unexpected end of the watch."""


class DiscoveryClient:
    """Runs at most one watch and one poll at a time, as requested by the routing policy."""

    def __init__(self, reactor, host: str, port: int, listener: DiscoveryListener) -> None:
        self.host, self.port = host, port
        self.poll: DiscoveryExchange | None = None
        self.watch: DiscoveryExchange | None = None
        self._watch_wanted = False  # may be True while no watch is open, after a failure
        self._reactor, self._listener = reactor, listener

    def set_watch(self, on: bool) -> None:
        """Open a watch after the known version unless one is open, or close the open one."""
        self._watch_wanted = on
        if not on and self.watch is not None:
            watch, self.watch = self.watch, None
            watch.end(False)
        if on and self.watch is None:
            self.watch = self._start(ExchangeKind.WATCH)

    def poll_once(self) -> None:
        """Request the whole endpoint list unless a poll is in flight."""
        if self.poll is None:
            self.poll = self._start(ExchangeKind.POLL)

    def set_address(self, host: str, port: int) -> None:
        """Change the address of discovery and restart a poll in flight and a requested watch there.

        Otherwise a watch that has failed at the old address would reopen only after its backoff.
        """
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self._end_poll():
            self.poll_once()
        if self._watch_wanted:
            self.set_watch(False)
            self.set_watch(True)

    def stop(self) -> None:
        """End the poll and the watch without reporting a failure."""
        poll, self.poll = self.poll, None
        self.set_watch(False)
        if poll is not None:
            poll.end(False)

    def read_available(self) -> None:
        """Read the data that has arrived on the watch and the poll."""
        for exchange in (self.watch, self.poll):
            if exchange is not None:
                read_available(exchange, self._reactor.seconds)

    # --- ExchangeListener -----------------------------------------------------------------

    def on_endpoint_list(self, exchange: DiscoveryExchange, document: EndpointListDocument) -> None:
        """Pass on an endpoint list; a poll that delivered its list no longer blocks another."""
        if not self._is_current(exchange):
            return
        if exchange is self.poll:
            self.poll = None
        self._listener.on_endpoint_list(document)

    def on_heartbeat(self, exchange: DiscoveryExchange) -> None:
        """Report a heartbeat of the watch to the listener."""
        if exchange is self.watch:
            self._listener.on_unchanged()

    def on_end(self, exchange: DiscoveryExchange, succeeded: bool) -> None:
        """Report the end of a current exchange as a failure unless it succeeded."""
        was_current = self._is_current(exchange)
        if exchange is self.poll:
            self.poll = None
        if exchange is self.watch:
            self.watch = None
        if was_current and not succeeded:
            self._listener.on_discovery_failure()

    # --- exchanges ------------------------------------------------------------------------

    def _is_current(self, exchange: DiscoveryExchange) -> bool:
        return exchange is self.watch or exchange is self.poll

    def _end_poll(self) -> bool:
        """End the poll in flight without reporting a failure; return whether there was one."""
        poll, self.poll = self.poll, None
        if poll is not None:
            poll.end(False)
        return poll is not None

    def _start(self, kind: ExchangeKind) -> DiscoveryExchange:
        exchange = DiscoveryExchange(self._reactor, kind, self._request(kind), self)
        factory = SingleConnectionFactory(exchange, exchange.connectionLost)
        exchange.connector = self._reactor.connectTCP(
            self.host, self.port, factory, timeout=EXCHANGE_TIMEOUT_SECONDS
        )
        return exchange

    def _request(self, kind: ExchangeKind) -> bytes:
        is_watch = kind is ExchangeKind.WATCH
        path = f"{WATCH_PATH}{self._listener.known_version}" if is_watch else POLL_PATH
        request = f"GET {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        request += "\r\n" if is_watch else "Connection: close\r\n\r\n"
        return request.encode()
