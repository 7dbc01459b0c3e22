"""Carries out what the door decides: holds queries that wait, starts those let in, answers the
others.

It decides nothing. Queries of fronts come in through `enter`; the module's own refusals pass back
through it, so that the time to come back that a client hears is the door's.
"""

from __future__ import annotations

import math
from collections.abc import Callable
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
from tansycrank.admission.identity import Asker
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits
from tansycrank.postgres.errors import (
    FAILED,
    QUERY_CANCELED,
    REFUSED,
    PgError,
    cancelled,
    retry_after,
)

BEAT = 0.05  # seconds between two looks while anything is open
TOLD = 1000  # tenants counted between two log lines
WHY = {
    "line": "its turn would come too late",
    "late": "its turn did not come in time",
    "full": "the line is full",
    "pushed": "the line is full and its tenant holds most of it",
    "module": "not answerable in time now",
    "early": "it came back before the time it was told",
}


def refusal(wait: float, reason: str, corrected: bool = False) -> PgError:
    """The one answer to a query that is turned away: it never ran, and may come back."""
    later = ", and an earlier time could not be held" if corrected else ""
    return PgError(
        REFUSED,
        f"refused: {WHY[reason]}{later}; trying again is harmless",
        detail=f"retry_after_ms={math.ceil(max(wait, 0))} reason={reason} corrected={int(corrected)}",
        hint="come back after the time in the detail field: a place is kept then",
    )


@dataclass(slots=True, eq=False)
class Entry:
    """A query at the door or inside. `start(time left in ms, done)` runs it and returns what
    cancels it.
    """

    id: int
    asker: Asker
    deadline: float  # ms of the clock
    start: Callable[[float, Callable[[Any], None]], Any]
    done: Callable[[Any], None]
    is_admitted: bool = False
    began: float = 0.0
    running: Any = None
    ended: bool = False


class AdmissionController:
    """The door of one router on its reactor. With `policy` None it is off: everyone goes straight
    in.
    """

    def __init__(self, reactor, policy: Policy | None, log=None) -> None:
        self.reactor, self.policy, self.log = reactor, policy, log
        self.entries: dict[int, Entry] = {}
        self.told: dict[str, dict[str, int]] = {}  # tenant: reasons, since the last line of the log
        self._ids = 0
        self._beat = self._wake = None
        self._beat_due = self._logged = 0.0

    @property
    def now(self) -> float:
        """Milliseconds of the reactor's clock."""
        return self.reactor.seconds() * 1000

    # --- for the service ------------------------------------------------------------------

    def enter(
        self,
        asker: Asker,
        query_class: int,
        shard_requests: int,
        remaining: float,
        start: Callable[[float, Callable[[Any], None]], Any],
        done: Callable[[Any], None],
        statement: int = 0,
        mark: int = 0,
        size: int = 0,
        repeat: bool = False,
        session: int = 0,
    ) -> Entry:
        """A query asks to be let in; `done` hears its one answer, perhaps before this returns."""
        self._ids += 1
        now = self.now
        entry = self.entries[self._ids] = Entry(self._ids, asker, now + remaining, start, done)
        if self.policy is None:
            self._admit(entry, now)
            return entry
        self._play(
            QueryArrived(
                entry.id, asker.tenant, asker.client, query_class, shard_requests, remaining, statement, mark, size,
                repeat, asker.limits, session,
            )
        )  # fmt: skip
        self._keep_beat()
        return entry

    def pressed(self, tenant: str) -> bool:
        """Whether a tenant may have to wait."""
        return self.policy is not None and self.policy.may_reject(tenant)

    def glance(
        self,
        asker: Asker,
        query_class: int,
        remaining: float,
        mark: int,
        repeat: bool,
        session: int = 0,
    ) -> PgError | None:
        """The refusal of a query whose turn is too far off whatever it is, None where it may not
        be.
        """
        number, who = self._ids + 1, (asker.tenant, asker.client)
        event = QueryArrived(
            number, *who, query_class, 1, remaining, 0, mark, 0, repeat, asker.limits, session
        )
        if not self.policy.would_reject(self.now, event):
            return None
        self._ids += 1
        told: list[PgError] = []
        entry = Entry(event.id, asker, self.now + remaining, lambda left, done: None, told.append)
        self.entries[entry.id] = entry
        self._play(event)
        self._keep_beat()
        if not told:  # it could have waited after all: it is to be looked at
            self._play(QueryCancelled(entry.id))
            entry.ended = True
            self.entries.pop(entry.id, None)
        return told[0] if told else None

    def _count_told(self, tenant: str, reason: str) -> None:
        reasons = self.told.setdefault(tenant, {}) if len(self.told) < TOLD else {}
        reasons[reason] = reasons.get(reason, 0) + 1

    def leave(self, entry: Entry, cancel: Callable[[Any], None]) -> None:
        """Its client cancels or has gone: out of the line, or `cancel(what start returned)`."""
        if entry.ended:
            return
        if entry.is_admitted:
            cancel(entry.running)
            return
        self._play(QueryCancelled(entry.id))
        self._finish(entry, cancelled())

    def change(self, tenant: str, limits: Limits) -> None:
        """An operator gives a tenant other limits."""
        if self.policy is not None:
            self._play(LimitsChanged(tenant, limits))
        if self.log:
            self.log.info("tenant_limits_changed", tenant=tenant, weight=limits.weight, min_share=limits.min_share,
                          max_share=limits.max_share, burst_ms=limits.burst)  # fmt: skip

    def close(self, problem: PgError) -> None:
        """The router ends: who waits hears so at once."""
        for call in (self._beat, self._wake):
            if call is not None and call.active():
                call.cancel()
        self._beat = self._wake = None
        for entry in list(self.entries.values()):
            if not entry.is_admitted:
                self._finish(entry, problem)

    # --- carrying out -----------------------------------------------------------------------

    def _play(self, event: object) -> None:
        now = self.now
        for action in self.policy.step(now, [event]):
            match action:
                case Admit(number):
                    if number in self.entries:
                        self._admit(self.entries[number], now)
                case Reject(number, wait, reason, corrected):
                    self._refuse(number, wait, reason, corrected)
                case SetTimer(at):
                    self._wake_at(at)

    def _admit(self, entry: Entry, now: float) -> None:
        entry.is_admitted, entry.began = True, now
        left = max(entry.deadline - now, 1.0)
        entry.running = entry.start(left, lambda outcome: self._ended(entry, outcome))

    def _refuse(self, number: int, wait: float, reason: str, corrected: bool) -> None:
        entry = self.entries.get(number)
        if entry is None:
            return
        self._count_told(entry.asker.tenant, reason)
        self._finish(entry, refusal(wait, reason, corrected))

    def _ended(self, entry: Entry, outcome: Any) -> None:
        """The answer of a query that was let in."""
        if entry.ended:
            return
        if self.policy is None:
            self._finish(entry, outcome)
            return
        kind, retry_after_ms = "answered", 0.0
        if isinstance(outcome, PgError):
            kind = {REFUSED: "refused", FAILED: "failed", QUERY_CANCELED: "cancelled"}.get(
                outcome.state, "failed"
            )
            if kind == "refused":
                retry_after_ms = retry_after(outcome.detail)
        self._play(QueryEnded(entry.id, kind, self.now - entry.began, retry_after_ms))
        self._finish(entry, outcome)  # where it was refused it has been answered by now

    def _finish(self, entry: Entry, outcome: Any) -> None:
        if not entry.ended:
            entry.ended = True
            self.entries.pop(entry.id, None)
            entry.done(outcome)

    # --- time ---------------------------------------------------------------------------------

    def _wake_at(self, at: float) -> None:
        if self._wake is not None and self._wake.active():
            if self._wake.getTime() * 1000 <= at + 1:
                return
            self._wake.cancel()
        self._wake = self.reactor.callLater(max(at - self.now, 0) / 1000 + 0.0005, self._woken)

    def _woken(self) -> None:
        self._wake = None
        self._play(PeriodicTick())

    def _keep_beat(self) -> None:
        if self._beat is None:
            self._beat_due = self.now + BEAT * 1000
            self._beat = self.reactor.callLater(BEAT, self._on_beat)

    def _on_beat(self) -> None:
        self._beat = None
        self._play(PeriodicTick(max(self.now - self._beat_due, 0.0)))
        self._log_told()
        if self.entries or self.told:
            self._keep_beat()

    def _log_told(self) -> None:
        """Who was held back and why: one line a second."""
        if not self.told or self.now - self._logged < 1000:
            return
        self._logged, told = self.now, self.told
        self.told = {}
        if self.log:
            most = sorted(told.items(), key=lambda item: -sum(item[1].values()))[:10]
            limit = round(self.policy.limit.shard_requests)
            self.log.info(
                "queries_rejected_by_admission", tenants=len(told), most=dict(most), limit=limit
            )
