"""Carries out the actions of the admission policy: holds, starts and rejects queries.

Queries enter through `submit`. Rejections by the routing policy pass back through the admission
policy, so that clients get the Retry-After of admission control.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from tansycrank.admission.actions import Admit, Reject, SetTimer
from tansycrank.admission.events import (
    LimitsChanged,
    PeriodicTick,
    QueryArrived,
    QueryCancelled,
    QueryEnded,
)
from tansycrank.admission.identity import CallerIdentity
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits
from tansycrank.postgres.errors import (
    QUERY_CANCELED,
    QUERY_FAILED,
    QUERY_REJECTED,
    PgError,
    cancelled,
    retry_after,
    unexpected_error,
)

TICK_INTERVAL_SECONDS = 0.05  # interval of the periodic tick while any query is open
MAX_LOGGED_TENANTS = 1000  # tenants counted between two log lines
REASON_TEXTS = {
    "line": "its turn would come too late",
    "late": "its turn did not come in time",
    "full": "the line is full",
    "pushed": "the line is full and its tenant holds most of it",
    "module": "not answerable in time now",
    "early": "it came back before the time it was told",
}


def rejection_error(wait: float, reason: str, corrected: bool = False) -> PgError:
    """The error of a rejected query, which was never executed."""
    later = ", and an earlier time could not be held" if corrected else ""
    return PgError(
        QUERY_REJECTED,
        f"refused: {REASON_TEXTS[reason]}{later}; trying again is harmless",
        detail=f"retry_after_ms={math.ceil(max(wait, 0))} reason={reason}"
        f" corrected={int(corrected)}",
        hint="come back after the time in the detail field: a place is kept then",
    )


@dataclass(slots=True, eq=False)
class AdmissionEntry:
    """A query that is queued or in flight.

    `start(remaining, done)` runs it with the remaining ms and returns the handle to cancel it.
    """

    id: int
    caller: CallerIdentity
    deadline: float  # ms of the reactor's clock
    start: Callable[[float, Callable[[Any], None]], Any]
    done: Callable[[Any], None]
    is_admitted: bool = False
    admitted_at: float = 0.0
    handle: Any = None
    is_ended: bool = False


class AdmissionController:
    """Admission control of one router; with `policy` None each query is admitted at once."""

    def __init__(self, reactor, policy: Policy | None, log=None) -> None:
        self.reactor, self.policy, self.log = reactor, policy, log
        self.entries: dict[int, AdmissionEntry] = {}
        # Rejections by tenant and reason since the last log line.
        self.rejected_by_tenant: dict[str, dict[str, int]] = {}
        self._ids = 0
        self._tick_call = self._timer = None
        self._tick_due_ms = self._logged_at_ms = 0.0

    @property
    def now(self) -> float:
        """The reactor's clock in ms."""
        return self.reactor.seconds() * 1000

    # --- queries --------------------------------------------------------------------------

    def submit(
        self,
        caller: CallerIdentity,
        query_class: int,
        shard_requests: int,
        remaining: float,
        start: Callable[[float, Callable[[Any], None]], Any],
        done: Callable[[Any], None],
        statement: int = 0,
        fingerprint: int = 0,
        size: int = 0,
        is_retry: bool = False,
        session: int = 0,
    ) -> AdmissionEntry:
        """Admit, queue or reject a query; `done` is called once with its outcome, maybe at once."""
        self._ids += 1
        now = self.now
        entry = self.entries[self._ids] = AdmissionEntry(
            self._ids, caller, now + remaining, start, done
        )
        if self.policy is None:
            self._admit(entry, now)
            return entry
        self._step(
            QueryArrived(
                entry.id, caller.tenant, caller.client, query_class, shard_requests, remaining,
                statement, fingerprint, size, is_retry, caller.limits, session,
            )
        )  # fmt: skip
        self._schedule_tick()
        return entry

    def may_reject(self, tenant: str) -> bool:
        """Whether a new query of this tenant may be rejected."""
        return self.policy is not None and self.policy.may_reject(tenant)

    def reject_early(
        self,
        caller: CallerIdentity,
        query_class: int,
        remaining: float,
        fingerprint: int,
        is_retry: bool,
        session: int = 0,
    ) -> PgError | None:
        """Reject a query before planning, if it would be rejected even with one shard request.

        None if it has to be planned first.
        """
        number, tenant_and_client = self._ids + 1, (caller.tenant, caller.client)
        event = QueryArrived(
            number,
            *tenant_and_client,
            query_class,
            1,
            remaining,
            0,
            fingerprint,
            0,
            is_retry,
            caller.limits,
            session,
        )
        if not self.policy.would_reject(self.now, event):
            return None
        self._ids += 1
        errors: list[PgError] = []
        entry = AdmissionEntry(
            event.id, caller, self.now + remaining, lambda remaining, done: None, errors.append
        )
        self.entries[entry.id] = entry
        self._step(event)
        self._schedule_tick()
        if not errors:  # it was queued or admitted instead, and has to be planned
            self._step(QueryCancelled(entry.id))
            entry.is_ended = True
            self.entries.pop(entry.id, None)
        return errors[0] if errors else None

    def _count_rejection(self, tenant: str, reason: str) -> None:
        reasons = (
            self.rejected_by_tenant.setdefault(tenant, {})
            if len(self.rejected_by_tenant) < MAX_LOGGED_TENANTS
            else {}
        )
        reasons[reason] = reasons.get(reason, 0) + 1

    def cancel(self, entry: AdmissionEntry, cancel_run: Callable[[Any], None]) -> None:
        """Remove a query from the queue, or cancel it if it runs, for a client that gave it up."""
        if entry.is_ended:
            return
        if entry.is_admitted:
            cancel_run(entry.handle)
            return
        self._step(QueryCancelled(entry.id))
        self._finish(entry, cancelled())

    def change_limits(self, tenant: str, limits: Limits) -> None:
        """Change the limits of a tenant until the router restarts."""
        if self.policy is not None:
            self._step(LimitsChanged(tenant, limits))
        if self.log:
            self.log.info(
                "tenant_limits_changed",
                tenant=tenant,
                weight=limits.weight,
                min_share=limits.min_share,
                max_share=limits.max_share,
                burst_ms=limits.burst,
            )

    def close(self, error: PgError) -> None:
        """Answer all queued queries with this error, since the router shuts down."""
        for call in (self._tick_call, self._timer):
            if call is not None and call.active():
                call.cancel()
        self._tick_call = self._timer = None
        for entry in list(self.entries.values()):
            if not entry.is_admitted:
                self._finish(entry, error)

    # --- actions ----------------------------------------------------------------------------

    def _step(self, event: object) -> None:
        now = self.now
        for action in self.policy.step(now, [event]):
            match action:
                case Admit(number):
                    if number in self.entries:
                        self._admit(self.entries[number], now)
                case Reject(number, wait, reason, corrected):
                    self._reject(number, wait, reason, corrected)
                case SetTimer(at):
                    self._set_timer(at)

    def _admit(self, entry: AdmissionEntry, now: float) -> None:
        entry.is_admitted, entry.admitted_at = True, now
        remaining = max(entry.deadline - now, 1.0)
        try:
            entry.handle = entry.start(remaining, lambda outcome: self._ended(entry, outcome))
        except Exception as error:  # the step that admits it may belong to another query
            self._log_fault(error)
            self._ended(entry, unexpected_error(error))

    def _reject(self, number: int, wait: float, reason: str, corrected: bool) -> None:
        entry = self.entries.get(number)
        if entry is None:
            return
        self._count_rejection(entry.caller.tenant, reason)
        self._finish(entry, rejection_error(wait, reason, corrected))

    def _ended(self, entry: AdmissionEntry, outcome: Any) -> None:
        """Pass the outcome of an admitted query to the policy and to its client."""
        if entry.is_ended:
            return
        if self.policy is None:
            self._finish(entry, outcome)
            return
        kind, retry_after_ms = "answered", 0.0
        if isinstance(outcome, PgError):
            kind = {
                QUERY_REJECTED: "refused",
                QUERY_FAILED: "failed",
                QUERY_CANCELED: "cancelled",
            }.get(outcome.state, "failed")
            if kind == "refused":
                retry_after_ms = retry_after(outcome.detail)
        self._step(QueryEnded(entry.id, kind, self.now - entry.admitted_at, retry_after_ms))
        self._finish(entry, outcome)  # a rejected query has been answered by the step

    def _finish(self, entry: AdmissionEntry, outcome: Any) -> None:
        if not entry.is_ended:
            entry.is_ended = True
            self.entries.pop(entry.id, None)
            self._report(entry, outcome)

    def _report(self, entry: AdmissionEntry, outcome: Any) -> None:
        """Pass its outcome to the client of a query; an exception concerns that client alone."""
        try:
            entry.done(outcome)
        except Exception as error:
            self._log_fault(error)
            with suppress(Exception):  # it has been told already, or cannot be told
                entry.done(unexpected_error(error))

    def _log_fault(self, error: Exception) -> None:
        if self.log:
            self.log.error("action_failed", action="admission", error=repr(error))

    # --- timers -------------------------------------------------------------------------------

    def _set_timer(self, at: float) -> None:
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() * 1000 <= at + 1:
                return
            self._timer.cancel()
        self._timer = self.reactor.callLater(max(at - self.now, 0) / 1000 + 0.0005, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._step(PeriodicTick())

    def _schedule_tick(self) -> None:
        if self._tick_call is None:
            self._tick_due_ms = self.now + TICK_INTERVAL_SECONDS * 1000
            self._tick_call = self.reactor.callLater(TICK_INTERVAL_SECONDS, self._on_tick)

    def _on_tick(self) -> None:
        self._tick_call = None
        self._step(PeriodicTick(max(self.now - self._tick_due_ms, 0.0)))
        self._log_rejections()
        if self.entries or self.rejected_by_tenant:
            self._schedule_tick()

    def _log_rejections(self) -> None:
        """Log the rejections by tenant and reason, at most once a second."""
        if not self.rejected_by_tenant or self.now - self._logged_at_ms < 1000:
            return
        self._logged_at_ms, rejected_by_tenant = self.now, self.rejected_by_tenant
        self.rejected_by_tenant = {}
        if self.log:
            most = sorted(rejected_by_tenant.items(), key=lambda item: -sum(item[1].values()))[:10]
            limit = round(self.policy.limit.shard_requests)
            self.log.info(
                "queries_rejected_by_admission",
                tenants=len(rejected_by_tenant),
                most=dict(most),
                limit=limit,
            )
