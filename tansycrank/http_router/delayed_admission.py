"""Delays the admission of requests until the reactor had a chance to see that their client left."""

from __future__ import annotations

from tansycrank.http_router.interfaces import AdmissibleConnection

# Turns of the reactor between reading a request and admitting it. A request and the end of its
# connection may be pending in the system together, and the reactor reads them in two turns.
POLLS_BEFORE_ADMISSION = 2


class DelayedAdmission:
    """The connections whose requests were read and not admitted, with the polls still due."""

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._polls_due: dict[AdmissibleConnection, int] = {}
        self._timer = None

    def __len__(self) -> int:
        return len(self._polls_due)

    def schedule(self, connection: AdmissibleConnection) -> None:
        """Admit the requests of a connection once all sockets were polled often enough."""
        self._polls_due[connection] = POLLS_BEFORE_ADMISSION
        self._start_timer()

    def postpone(self, connection: AdmissibleConnection) -> None:
        """Start anew for a connection that received more: its end may be behind that."""
        if connection in self._polls_due:
            self._polls_due[connection] = POLLS_BEFORE_ADMISSION

    def cancel(self, connection: AdmissibleConnection) -> None:
        """Forget a connection that has ended."""
        self._polls_due.pop(connection, None)

    def _start_timer(self) -> None:
        if self._timer is None:
            self._timer = self._reactor.callLater(0, self._on_polled)

    def _on_polled(self) -> None:
        self._timer = None
        for connection in list(self._polls_due):
            if connection not in self._polls_due:  # ended while another one was admitted
                continue
            self._polls_due[connection] -= 1
            if not self._polls_due[connection]:
                del self._polls_due[connection]
                connection.admit()
        if self._polls_due:
            self._start_timer()
