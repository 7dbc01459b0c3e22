"""Judges a soak by what clients, data nodes and discovery recorded. No word of a router about
itself is used.

Pure: records in, violations out. Times are ms of the monotonic clock, which all processes share.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from tansycrank.testbed.neighbours.hostile import UNSAFE_KINDS
from tansycrank.testbed.soak.plan import FaultKind, Plan
from tansycrank.testbed.soak.records import (
    ClientRecord,
    Ending,
    FaultRecord,
    HalfRequest,
    NodeEvent,
    NodeEventKind,
    Told,
)

LATE = 500.0  # ms after its deadline from which on an answer counts as lost
AFTER_END = 100.0  # ms after the end of its request in which an attempt may still arrive
CROSSING = 50.0  # ms in which the close of a connection may cross a request
READING = 200.0  # ms that a party of a busy machine may take to note what happened
WAIT_SLACK = 150.0  # ms by which a node may be told a longer wait than the client has left
TOLD_LATEST = 6_000.0  # ms after which a change counts as told, if discovery could be reached
HALF_WITHIN = 3_000.0  # ms in which a request that does not go on gets its error or close
SAFE, UNSAFE, KEYED = "read_like", "non_idempotent", "idempotency_key"


class Invariant(Enum):
    """What holds under all faults."""

    ANSWERED = "each request gets one final answer in its time"
    NOTHING_AFTER_END = "nothing arrives for a request that has ended"
    NO_DOUBLE_EFFECT = "no sub-request may take effect twice"
    HARMLESS_REFUSAL = "what is refused never ran"
    NOTHING_TO_DRAINING = "nothing arrives at a node after the grace of its drain"
    SLOW_START = "no cold node is pushed over"
    HONEST_VALUES = "an answer holds the values of its own request, all if it says so"
    BUDGET = "hedges and retries stay within their budget in any window"
    DEADLINE_PASSED_ON = "a node is told no longer wait than the client has left"
    HALF_REQUESTS = "a client that stops halfway hears an error or a close"


@dataclass(slots=True)
class Violation:
    """One breach, and all that was recorded of its request."""

    invariant: Invariant
    text: str
    history: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Verdict:
    """What was found, and how often each invariant was put to the test."""

    violations: list[Violation] = field(default_factory=list)
    exercised: Counter[Invariant] = field(default_factory=Counter)
    endings: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Evidence:
    """All records of a run. `lives` are the starts of routers' processes, with the list each began
    with.
    """

    plan: Plan
    asked: list[ClientRecord]
    halves: list[HalfRequest]
    node_events: list[NodeEvent]
    told: list[Told]
    changes: list[tuple[float, str, str]]  # when, node, state: what discovery was ordered to tell
    lives: list[Told]
    faults: list[FaultRecord]


class Oracle:
    """Judges one run."""

    def __init__(self, evidence: Evidence) -> None:
        self.evidence, self.plan = evidence, evidence.plan
        self.verdict = Verdict()
        self.events: dict[str, list[NodeEvent]] = defaultdict(list)
        for event in sorted(evidence.node_events, key=lambda event: event.at):
            self.events[event.request].append(event)
        self.hangs = self._spans(FaultKind.NODE_HANG)
        self.stops = self._spans(FaultKind.ROUTER_STOP)
        self.crashes = self._spans(FaultKind.ROUTER_CRASH)
        self.crowds = self._spans(FaultKind.CROWD)

    def judge(self) -> Verdict:
        """All invariants."""
        for record in self.evidence.asked:
            self.verdict.endings[record.ending.value] += 1
            self._answered(record)
            self._nothing_after_end(record)
            self._effects(record)
            self._values(record)
            self._deadline(record)
        self._draining()
        self._slow_start()
        self._budget()
        self._halves()
        self._hostile_effects()
        return self.verdict

    # --- helpers ----------------------------------------------------------------------

    def _spans(self, kind: FaultKind) -> dict[str, list[FaultRecord]]:
        found: dict[str, list[FaultRecord]] = defaultdict(list)
        for fault in self.evidence.faults:
            if fault.kind == kind.name:
                found[fault.target].append(fault)
        return found

    def _hung(self, event: NodeEvent) -> bool:
        """Whether its node read this late: it may have come while the node hung."""
        return any(
            fault.at - READING <= event.at <= fault.until + READING
            for fault in self.hangs[event.node]
        )

    def _router_killed(self, router: int, start: float, end: float) -> bool:
        return any(
            start - READING <= fault.at <= end + READING for fault in self.crashes[str(router)]
        )

    def _stopped_for(self, record: ClientRecord | HalfRequest) -> float:
        """How long its router stood still after it had come: nobody can answer in that time."""
        return sum(
            max(min(stop.until, record.ended) - max(stop.at, record.sent), 0.0)
            for stop in self.stops[str(record.router)]
        )

    def _calls(self, request: str) -> list[NodeEvent]:
        return [event for event in self.events[request] if event.kind is NodeEventKind.CALL]

    def _violate(self, invariant: Invariant, text: str, request: str = "") -> None:
        self.verdict.violations.append(Violation(invariant, text, self.history(request)))

    def history(self, request: str) -> list[str]:
        """All that was recorded of a request, oldest first."""
        if not request:
            return []
        lines = [
            (
                event.at,
                f"node {event.node}: {event.kind.value} shard {event.shard} wait {event.wait:.0f}",
            )
            for event in self.events[request]
        ]
        for record in self.evidence.asked:
            if record.request == request:
                deadline = f"{record.effect}, {record.deadline:.0f} ms, shards {record.shards}"
                lines.append((record.sent, f"client: sent to router {record.router}, {deadline}"))
                lines.append((record.ended, f"client: {record.ending.value} {record.detail[:120]}"))
        return [f"{at:.1f} {text}" for at, text in sorted(lines)]

    # --- requests ---------------------------------------------------------------------

    def _answered(self, record: ClientRecord) -> None:
        if record.ending is Ending.LEFT or self._router_killed(
            record.router, record.sent, record.ended
        ):
            return
        self.verdict.exercised[Invariant.ANSWERED] += 1
        if record.ending is Ending.CROSSED:
            if self._calls(record.request):
                text = (
                    f"{record.request}: read and forwarded, its connection closed without an answer"
                )
                self._violate(Invariant.ANSWERED, text, record.request)
            elif self._was_closed_unread(record):
                text = f"{record.request}: its connection ended unread long after it was sent"
                self._violate(Invariant.ANSWERED, text, record.request)
        elif record.ending is Ending.NO_ANSWER:
            text = (
                f"{record.request}: no answer within {record.ended - record.sent:.0f} ms: "
                f"{record.detail}"
            )
            self._violate(Invariant.ANSWERED, text, record.request)
        elif record.ended - record.sent > record.deadline + LATE + self._stopped_for(record):
            text = f"{record.request}: answered after {record.ended - record.sent:.0f} ms"
            self._violate(Invariant.ANSWERED, f"{text} of {record.deadline:.0f}", record.request)

    def _was_closed_unread(self, record: ClientRecord) -> bool:
        """Whether a kept connection ended so late that its close had not crossed the request.

        While a crowd fills the descriptors, connections may be shut unread. `ended` may be noted
        late on a busy machine; `seen_open` is not.
        """
        stopped = self._stopped_for(record)
        waited = record.ended - record.sent - stopped
        was_open_for = record.seen_open - record.sent - stopped
        is_crowded = any(
            crowd.at <= record.ended and record.sent <= crowd.until
            for crowd in self.crowds[str(record.router)]
        )
        is_long = waited > CROSSING + READING or was_open_for > CROSSING
        return is_long and not is_crowded

    def _nothing_after_end(self, record: ClientRecord) -> None:
        if record.ending is Ending.CROSSED:
            return
        for event in self._calls(record.request):
            self.verdict.exercised[Invariant.NOTHING_AFTER_END] += 1
            late = event.at - record.ended
            if late > AFTER_END + READING and not self._hung(event):
                text = (
                    f"{record.request}: reached node {event.node} {late:.0f} ms after it had ended"
                )
                self._violate(
                    Invariant.NOTHING_AFTER_END, f"{text} ({record.ending.value})", record.request
                )

    def _effects(self, record: ClientRecord) -> None:
        if record.effect == SAFE:
            return
        ran = self._ran(record.request)
        for shard, calls in ran.items():
            if len(calls) > 1 or record.effect == KEYED:
                self.verdict.exercised[Invariant.NO_DOUBLE_EFFECT] += 1
            late = calls[-1].at - calls[0].at - self.plan.dedup_window
            if record.effect == UNSAFE and len(calls) > 1:
                nodes = [call.node for call in calls]
                text = (
                    f"{record.request}: shard {shard} reached nodes {nodes}, which may run it twice"
                )
                self._violate(Invariant.NO_DOUBLE_EFFECT, text, record.request)
            if record.effect == KEYED and late > READING and not self._hung(calls[-1]):
                text = f"{record.request}: shard {shard} repeated {late:.0f} ms after its window"
                self._violate(Invariant.NO_DOUBLE_EFFECT, text, record.request)
        if record.ending is Ending.REFUSED:
            self.verdict.exercised[Invariant.HARMLESS_REFUSAL] += 1
            if ran:
                text = f"{record.request}: refused, but shards {sorted(ran)} reached nodes"
                self._violate(Invariant.HARMLESS_REFUSAL, text, record.request)

    def _ran(self, request: str) -> dict[int, list[NodeEvent]]:
        """By shard: calls that were not turned away."""
        calls: dict[tuple[int, str], list[NodeEvent]] = defaultdict(list)
        for event in self.events[request]:
            place = event.shard, event.node
            if event.kind is NodeEventKind.CALL:
                calls[place].append(event)
            elif event.kind is NodeEventKind.BUSY and calls[place]:
                calls[place].pop()
        found: dict[int, list[NodeEvent]] = defaultdict(list)
        for (shard, _), events in calls.items():
            found[shard] += events
        return {
            shard: sorted(events, key=lambda event: event.at)
            for shard, events in found.items()
            if events
        }

    def _values(self, record: ClientRecord) -> None:
        if record.ending in (Ending.ANSWERED, Ending.PARTIAL):
            self.verdict.exercised[Invariant.HONEST_VALUES] += 1
            if record.detail:
                text = f"{record.request}: {record.detail}"
                self._violate(Invariant.HONEST_VALUES, text, record.request)

    def _deadline(self, record: ClientRecord) -> None:
        for event in self._calls(record.request):
            self.verdict.exercised[Invariant.DEADLINE_PASSED_ON] += 1
            left = record.sent + record.deadline - event.at
            if event.wait > left + WAIT_SLACK + READING and not self._hung(event):
                text = f"{record.request}: node {event.node} was told {event.wait:.0f} ms"
                self._violate(
                    Invariant.DEADLINE_PASSED_ON, f"{text}, {left:.0f} were left", record.request
                )

    def _hostile_effects(self) -> None:
        """No id of hostile clients that are not idempotent ran twice, though it came again."""
        for request in [one for one in self.events if one.startswith(UNSAFE_KINDS)]:
            self.verdict.exercised[Invariant.NO_DOUBLE_EFFECT] += 1
            for shard, calls in self._ran(request).items():
                if len(calls) > 1:
                    nodes = [call.node for call in calls]
                    text = f"{request}: shard {shard} reached nodes {nodes}, its id came again"
                    self._violate(Invariant.NO_DOUBLE_EFFECT, text, request)

    # --- draining ---------------------------------------------------------------------

    def _draining(self) -> None:
        owners = {record.request: record.router for record in self.evidence.asked}
        spans = {router: self._closed_spans(router) for router in range(self.plan.routers)}
        told = sum(len(closed) for nodes in spans.values() for closed in nodes.values())
        self.verdict.exercised[Invariant.NOTHING_TO_DRAINING] += told
        for request, events in self.events.items():
            if request not in owners:
                continue
            for event in events:
                if event.kind is NodeEventKind.CALL:
                    self._check_drain(event, spans[owners[request]].get(event.node, ()))

    def _check_drain(self, event: NodeEvent, spans: Iterable[tuple[float, float]]) -> None:
        for start, end in spans:
            if start < event.at < end:
                late = event.at - start - self.plan.drain_grace
                if late > READING and not self._hung(event):
                    text = (
                        f"{event.request}: reached node {event.node} {late:.0f} ms after the grace"
                    )
                    self._violate(Invariant.NOTHING_TO_DRAINING, text, event.request)

    def _closed_spans(self, router: int) -> dict[str, list[tuple[float, float]]]:
        """By node: when this router had been told that it drains or is gone."""
        words: list[tuple[float, str, bool]] = []  # when, node, whether it is in service
        known: set[str] = set()
        for told in sorted(
            [one for one in (*self.evidence.told, *self.evidence.lives) if one.router == router],
            key=lambda one: one.at,
        ):
            words += [(told.at, node, state == "in_service") for node, state in told.states.items()]
            if told.full:
                words += [(told.at, node, False) for node in known - told.states.keys()]
            known |= told.states.keys()
        for at, node, state in self.evidence.changes:
            due = self._told_latest(at)
            written = any(at < when <= due and about == node for when, about, _ in words)
            if state != "in_service" and not written:
                words.append((due, node, False))
        spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for at, node, in_service in sorted(words):
            is_open = bool(spans[node]) and spans[node][-1][1] == float("inf")
            if in_service and is_open:
                spans[node][-1] = spans[node][-1][0], at
            elif not in_service and not is_open:
                spans[node].append((at, float("inf")))
        return spans

    def _told_latest(self, at: float) -> float:
        """When a change counts as told, whoever it was written to: discovery stood for so long on
        end.
        """
        due = at + TOLD_LATEST
        away = sorted(
            (fault.at, fault.until)
            for fault in self.evidence.faults
            if fault.kind in (FaultKind.DISCOVERY_HANG.name, FaultKind.DISCOVERY_CRASH.name)
        )
        for start, end in away:
            if start < due and end > due - TOLD_LATEST:
                due = end + TOLD_LATEST
        return due

    # --- the whole run ----------------------------------------------------------------

    def _slow_start(self) -> None:
        for event in self.evidence.node_events:
            if event.kind is NodeEventKind.FELL:
                text = f"node {event.node} got {event.share:.2f} of its limit and fell"
                self._violate(Invariant.SLOW_START, text)
        starts = len(self._spans(FaultKind.NODE_CRASH)) + len(self._spans(FaultKind.NODE_DRAIN))
        self.verdict.exercised[Invariant.SLOW_START] += starts

    def _budget(self) -> None:
        rules = self.plan.settings["rules"]
        floor, share, window = rules["extraFloor"], rules["repeatRatio"], rules["countedOver"]
        taken: dict[int, list[tuple[float, int]]] = defaultdict(list)
        repeats: dict[int, list[float]] = defaultdict(list)
        for record in self.evidence.asked:
            taken[record.router].append((record.sent, 1 + len(record.shards)))
            tried: set[int] = set()
            for event in self._calls(record.request):
                if event.shard in tried and not self._hung(event):
                    repeats[record.router].append(event.at)
                tried.add(event.shard)
        for router, times in repeats.items():
            times.sort()
            first = 0
            for index, at in enumerate(times):
                while times[first] <= at - window + READING:  # a narrower window for what arrived
                    first += 1
                self.verdict.exercised[Invariant.BUDGET] += 1
                around = sum(
                    n for t, n in taken[router] if at - window - READING < t <= at + READING
                )
                if index - first + 1 > floor + share * around:
                    text = f"router {router}: {index - first + 1} repeats in {window:.0f} ms"
                    self._violate(Invariant.BUDGET, f"{text}, {floor + share * around:.1f} allowed")
                    break

    def _halves(self) -> None:
        for half in self.evidence.halves:
            if self._router_killed(half.router, half.sent, half.ended):
                continue
            self.verdict.exercised[Invariant.HALF_REQUESTS] += 1
            stopped = self._stopped_for(half)
            is_late = half.ended - half.sent > HALF_WITHIN + READING + stopped
            if is_late or not (half.ended_by_router or stopped):
                text = (
                    f"router {half.router}: a half request stood for "
                    f"{half.ended - half.sent:.0f} ms"
                )
                self._violate(Invariant.HALF_REQUESTS, text)
