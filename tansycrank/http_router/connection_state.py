"""The states of a client connection."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """How received bytes are handled, and how far the connection has closed."""

    OPEN = "open"  # requests are read and answered
    DISCARDING = "discarding"  # the stream is malformed; earlier requests await answers
    LINGERING = "lingering"  # the error was written; input is discarded until the close
    CLOSING = "closing"  # closes once written data was sent
    CLOSED = "closed"


CLOSING_STATES = (ConnectionState.LINGERING, ConnectionState.CLOSING, ConnectionState.CLOSED)
