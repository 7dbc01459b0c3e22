"""Delays admission of requests until the reactor could detect that the client disconnected."""

from __future__ import annotations

from tansycrank.http_router.interfaces import AdmissibleConnection

# Reactor iterations between reading a request and admitting it. A request and the close of its
# connection may both be pending in the kernel; the reactor reads them in two iterations.
POLLS_BEFORE_ADMISSION = 2


class DelayedAdmission:
    """Connections with requests that await admission, and the number of polls still required."""

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._polls_due: dict[AdmissibleConnection, int] = {}
        self._timer = None

    def __len__(self) -> int:
        return len(self._polls_due)

    def schedule(self, connection: AdmissibleConnection) -> None:
        """Admit a connection's requests after `POLLS_BEFORE_ADMISSION` polls of all sockets."""
        self._polls_due[connection] = POLLS_BEFORE_ADMISSION
        self._start_timer()

    def postpone(self, connection: AdmissibleConnection) -> None:
        """Restart the delay for a connection that received more data: a close may follow it."""
        if connection in self._polls_due:
            self._polls_due[connection] = POLLS_BEFORE_ADMISSION

    def cancel(self, connection: AdmissibleConnection) -> None:
        """Remove a connection that has closed."""
        self._polls_due.pop(connection, None)

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(0, self._on_polled)

    def _on_polled(self) -> None:
        self._timer = None
        for connection in list(self._polls_due):
            if connection not in self._polls_due:  # closed while another connection was admitted
                continue
            self._polls_due[connection] -= 1
            if not self._polls_due[connection]:
                del self._polls_due[connection]
                connection.admit()
        if self._polls_due:
            self._start_timer()
