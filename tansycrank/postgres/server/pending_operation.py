"""The asynchronous operation of a session; at most one is pending."""

from __future__ import annotations

from collections.abc import Callable

from tansycrank.merge.rows import Result
from tansycrank.postgres.server.context import SessionConnection
from tansycrank.sql_router.service import RunningStatement, Service


class PendingOperation:
    """Starts a service operation, delivers its outcome once and cancels it on request."""

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
        """Call `begin` with a completion callback; `on_outcome` is not called after the end."""
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
            try:
                on_outcome(outcome)
            except Exception as error:  # the caller of `finish` serves other sessions too
                self._connection.fail_statement(error)
            self._connection.process_messages()

        running = begin(finish)
        if not has_finished:
            self._running = running

    def reset(self) -> None:
        """Forget an operation whose start or outcome raised an exception."""
        self.is_active, self._running = False, None

    def cancel(self) -> bool:
        """Cancel the operation for a CancelRequest; return False if none is running."""
        if self._running is None:
            return False
        self._service.cancel(self._running)
        return True

    def abandon(self) -> None:
        """Cancel the operation because the session ends."""
        if self._running is not None:
            running, self._running = self._running, None
            self._service.cancel(running, left=True)
