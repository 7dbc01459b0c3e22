"""Listening sockets that lose nobody when a descriptor, or the memory for one, is missing.

Where `accept` fails with EMFILE, Twisted accepts all waiting connections with a descriptor kept for
that and closes them: a request that one of them has already brought is lost. Here they stay in the
system's queue, and the port rests for a moment instead of being told of them again at once.
"""

from __future__ import annotations

import errno
import os
import socket

from twisted.internet import tcp

REST = 0.02  # s until a port whose `accept` failed is looked at again
NO_MORE = (errno.EAGAIN, errno.EWOULDBLOCK)  # nobody waits: no failure


class ListeningSocket(socket.socket):
    """A listening socket that remembers whether its last `accept` failed."""

    failed = False  # whether the last `accept` did, other than for want of anybody

    def accept(self) -> tuple[socket.socket, object]:
        """As of any socket; raises OSError, EMFILE under the name of its neighbour ENFILE."""
        self.failed = False
        try:
            return super().accept()
        except OSError as problem:
            self.failed = problem.errno not in NO_MORE
            if problem.errno == errno.EMFILE:
                raise OSError(errno.ENFILE, os.strerror(errno.EMFILE)) from problem
            raise


class Port(tcp.Port):
    """A listening port of the reactor."""

    @property
    def starved(self) -> bool:
        """Whether somebody may wait whom the system would not let this process accept."""
        return self.socket.failed

    def createInternetSocket(self) -> ListeningSocket:
        """The socket, before it is bound."""
        made = super().createInternetSocket()
        # Its kind is told, not asked of the system: not every layer below a process can say it.
        return ListeningSocket(made.family, made.type, made.proto, fileno=made.detach())

    def doRead(self) -> None:
        """Accept who waits."""
        super().doRead()
        if self.connected and self.starved:
            self.stopReading()
            self.reactor.callLater(REST, self._look_again)

    def _look_again(self) -> None:
        if self.connected:
            self.startReading()
