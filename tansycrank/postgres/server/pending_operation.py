"""The one asynchronous operation that a session may wait for."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.merge.rows import Result
from tansycrank.postgres.server.context import SessionConnection
from tansycrank.sql_router.service import RunningStatement, Service


class PendingOperation:
    """Starts an operation of the service, delivers its outcome once, cancels it on request."""

    def __init__(self, service: Service, connection: SessionConnection) -> None:
        self._service = service
        self._connection = connection
        self._running: RunningStatement | None = None
        self.is_active = False

    def start(
        self,
        begin: Callable[[Callable[[object], None]], RunningStatement | None],
        on_outcome: Callable[[object], None],
    ) -> None:
        """Call `begin` with a completion callback. An ended session gets no `on_outcome`."""
        self.is_active = True
        has_finished = False

        def finish(outcome: object) -> None:
            nonlocal has_finished
            has_finished = True
            self._running = None
            if not self._connection.is_ready:
                if isinstance(outcome, Result):
                    self._service.release(outcome)
                return
            self.is_active = False
            on_outcome(outcome)
            self._connection.process_messages()

        running = begin(finish)
        if not has_finished:
            self._running = running

    def cancel(self) -> bool:
        """Cancel for a CancelRequest; False where nothing runs."""
        if self._running is None:
            return False
        self._service.cancel(self._running)
        return True

    def abandon(self) -> None:
        """Cancel because the session ends; the outcome goes to nobody."""
        if self._running is not None:
            running, self._running = self._running, None
            self._service.cancel(running, left=True)
