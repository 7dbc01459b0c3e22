"""Listening sockets that lose no connection when file descriptors or memory run out.

Where `accept` fails with EMFILE, Twisted accepts all waiting connections with a reserve descriptor
and closes them; requests that they carry are lost. Here they stay in the system's queue, and
the port stops accepting for a moment.
"""

from __future__ import annotations

import errno
import os
import socket
import struct

from twisted.internet import tcp

ACCEPT_RETRY_SECONDS = 0.02
NO_CONNECTION_WAITING = (errno.EAGAIN, errno.EWOULDBLOCK)
TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED = struct.Struct("=52xI")  # ms, in Linux's `struct tcp_info`


def seconds_since_data(connection: socket.socket) -> float:
    """Return how long ago the system received data on a connection; 0 where it does not tell."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    return LAST_DATA_RECEIVED.unpack_from(info)[0] / 1000


class ListeningSocket(socket.socket):
    """A listening socket that remembers whether its last `accept` failed."""

    failed = False  # whether the last `accept` failed though a connection may wait
    times_drained = 0  # how often an `accept` found no connection waiting

    def accept(self) -> tuple[socket.socket, object]:
        """Accept a connection; raise OSError, with ENFILE in place of EMFILE.

        Twisted closes all waiting connections at EMFILE and leaves them alone at ENFILE.
        """
        self.failed = False
        try:
            return super().accept()
        except OSError as problem:
            self.failed = problem.errno not in NO_CONNECTION_WAITING
            self.times_drained += not self.failed
            if problem.errno == errno.EMFILE:
                raise OSError(errno.ENFILE, os.strerror(errno.EMFILE)) from problem
            raise


class PausingPort(tcp.Port):
    """A listening port of the reactor that pauses after a failed `accept`."""

    @property
    def accept_failed(self) -> bool:
        """Whether a connection may wait that the system did not let this process accept."""
        return self.socket.failed

    _waiting_since: float | None = None  # s
    _times_drained = 0  # of the socket, when connections began to wait

    @property
    def waiting_since(self) -> float | None:
        """Since when a connection that is accepted now may have waited; seconds.

        None once the system's queue was emptied.
        """
        if self.socket.times_drained > self._times_drained:
            self._waiting_since = None
        return self._waiting_since

    def record_waiting(self, since: float) -> None:
        """Note that connections wait in the system's queue, unless that is known."""
        if self.waiting_since is None:
            self._waiting_since, self._times_drained = since, self.socket.times_drained

    def createInternetSocket(self) -> ListeningSocket:
        """Return the socket, before it is bound."""
        created = super().createInternetSocket()
        # Its kind is told, not asked of the system: not every layer below a process can say it.
        return ListeningSocket(created.family, created.type, created.proto, fileno=created.detach())

    def doRead(self) -> None:
        """Accept the waiting connections; pause if the system refuses one."""
        super().doRead()
        if self.connected and self.accept_failed:
            self.record_waiting(self.reactor.seconds())
            self.stopReading()
            self.reactor.callLater(ACCEPT_RETRY_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.connected:
            self.startReading()
