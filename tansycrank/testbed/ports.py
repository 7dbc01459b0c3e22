"""Ports of loopback for processes that are told where to listen."""

from __future__ import annotations

import socket


class ReservedPort:
    """A port that the system hands to nobody else until `release`.

    A port that is merely looked up may become somebody's outgoing connection, or another process's
    listener, before the process that it is meant for listens on it, and again between two lives of
    that process. The reservation is a bound socket that does not listen: a listener that sets
    SO_REUSEADDR, as servers do, can take the port beside it.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.number: int = self._socket.getsockname()[1]

    def release(self) -> None:
        """Give it back to the system."""
        self._socket.close()
