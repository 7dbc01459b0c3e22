"""The routing policy: events to handlers, due timers, and the actions that follow.

The rules themselves stand in the modules beside this one; each is a small class that owns its
state.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from tansycrank import routing
from tansycrank.routing import EndpointListKind, FailureReason, Idempotency, Outcome
from tansycrank.routing.admission import Admission, AdmissionQueue
from tansycrank.routing.completion import CONTINUE, AnswerKind, Completion
from tansycrank.routing.concurrency import ConcurrencyLimiter
from tansycrank.routing.discovery import DiscoveryBackoff
from tansycrank.routing.endpoint import Endpoint, EndpointTable
from tansycrank.routing.hedging import Hedging
from tansycrank.routing.idle_connections import IdleConnections
from tansycrank.routing.latency import MANY_LATE_SHARE, MIN_HEDGE_DELAY_MS, LatencyTracker
from tansycrank.routing.outlier_ejection import OutlierEjection
from tansycrank.routing.probing import Probing
from tansycrank.routing.query import Attempt, OpenQueries, Query, ShardRequest
from tansycrank.routing.replica_selection import ReplicaSelector
from tansycrank.routing.retry import RetryBudget, may_attempt_again, retry_window_ms
from tansycrank.routing.send_rate import SendRate
from tansycrank.routing.send_rules import SendRules
from tansycrank.routing.slow_start import SlowStart
from tansycrank.routing.timer_queue import TimerQueue

STALL_TICKS = 20  # a step so late after its timer means that this router itself was stalled
TIMER_TOKEN = 1


class RoutingPolicy:
    """The decisions of one router, without clock or I/O: `step` is called once a round."""

    def __init__(self, settings: routing.Settings, seed: int) -> None:
        rng = random.Random(seed)
        self.settings = settings
        self.timers = TimerQueue()
        self.queries = OpenQueries()
        self.queue = AdmissionQueue()
        self.latency = LatencyTracker(settings)
        self.hedging = Hedging(settings, self.latency)
        self._endpoint_table = EndpointTable(settings)
        self._send_rate = SendRate()
        self._budget = RetryBudget(settings)
        self._admission = Admission(settings)
        self._probing = Probing(self.latency)
        self._completion = Completion(settings, self.latency, self._probing)
        self._discovery = DiscoveryBackoff(settings, rng)
        self._idle_connections = IdleConnections()
        self._ejection = OutlierEjection(self.latency.shortest_objective_ms)
        self._limiter = ConcurrencyLimiter(
            self.latency.shortest_objective_ms, calls_cost_work=bool(settings.call_work)
        )
        slow_start = SlowStart(settings, rng, self.latency, self._send_rate, self._endpoint_table)
        self.send_rules = SendRules(settings, self._budget, slow_start)
        self._selector = ReplicaSelector(
            settings,
            rng,
            self._endpoint_table,
            self.latency,
            self._limiter,
            slow_start,
            self.send_rules,
        )
        self._actions: list[routing.Action] = []
        self._handlers = {
            routing.AttemptEnded: self._on_attempt_ended,
            routing.QueryArrived: self._on_query_arrived,
            routing.ShardRequestArrived: self._on_shard_request_arrived,
            routing.QueryCancelled: self._on_query_cancelled,
            routing.EndpointListUpdate: self._on_endpoint_list,
            routing.ResponseStarted: self._on_response_started,
        }

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """All known endpoints by id."""
        return self._endpoint_table.by_id

    def step(self, now_ms: float, events: Iterable[routing.Event]) -> list[routing.Action]:
        """Handle one round's events and return the actions to take, in order."""
        self._actions = []
        if self._send_rate.started_at is None:
            self._send_rate.started_at = now_ms
            self.hedging.start(now_ms)
            self._watch_endpoints(None, now_ms)
        overdue_ms = self.timers.overdue_ms(now_ms)
        self.latency.router_stalled = overdue_ms > STALL_TICKS * self.settings.tick
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event, now_ms)
        self.timers.run_due(now_ms)
        self._send_queued(now_ms)
        self._send_hedges(now_ms)
        host_timer_ms = self.timers.next_host_timer_ms(now_ms)
        if host_timer_ms is not None:
            self._actions.append(routing.SetTimer(host_timer_ms, TIMER_TOKEN))
        return self._actions

    # Discovery

    def _watch_endpoints(self, _: None, _now: float) -> None:
        if self.settings.polls_discovery or self.settings.watches_discovery:
            self._actions.append(routing.WatchEndpoints(True))

    def _on_endpoint_list(self, event: routing.EndpointListUpdate, now: float) -> None:
        if event.kind is EndpointListKind.FAILED:
            retry_at = now + self._discovery.next_delay_ms()
            self.timers.schedule(retry_at, self._watch_endpoints, None)
            return
        self._discovery.reset()
        self._endpoint_table.apply(event, now)
        self._selector.on_endpoints_changed()

    # Queries

    def _on_query_arrived(self, event: routing.QueryArrived, now: float) -> None:
        query = self._admission.open_query(event, now)
        self.queries.add(query)
        self._budget.record_accepted(now)
        self.hedging.grow_for(event.shard_requests)
        self._probing.plan(query, event.shard_requests, now)
        self._admission.set_queue_position(query, event.shard_requests)
        for time in self._completion.check_times(query, now):
            self.timers.schedule(time, self._reevaluate, query)

    def _on_shard_request_arrived(self, event: routing.ShardRequestArrived, now: float) -> None:
        query = self.queries.by_number.get(event.number)
        if query is None:
            return
        self._budget.record_accepted(now)
        cell = event.shard % self.settings.cells
        shard_request = ShardRequest(event.shard_request, query, cell, event.weight)
        self.queries.add_shard_request(shard_request)
        self._probing.assign(shard_request)
        self.queue.append(shard_request)

    def _on_query_cancelled(self, event: routing.QueryCancelled, now: float) -> None:
        """The id is that of a query, or of a shard request that is given up alone."""
        if event.query in self.queries.by_id:
            self._end(self.queries.by_id[event.query])
        elif shard_request := self.queries.shard_requests.get(event.query):
            self._discard(shard_request)
            self._reevaluate(shard_request.query, now)

    def _reevaluate(self, query: Query, now: float) -> None:
        if query.has_ended:  # its timers outlive it
            return
        evaluation = self._completion.evaluate(query, len(self.queue) > 0, now)
        if evaluation is CONTINUE:
            return
        for time in evaluation.check_again_at:
            self.timers.schedule(time, self._reevaluate, query)
        decision = evaluation.decision
        if isinstance(decision, AnswerKind):
            self._answer(query, decision is AnswerKind.COMPLETE)
        elif isinstance(decision, FailureReason):
            self._end(query, self._admission.final_action(query, decision))

    def _answer(self, query: Query, is_complete: bool) -> None:
        if query.step == 1 and query.query_class.follow_up:
            self._actions.append(routing.Answer(query.id, is_complete))
            query.first_step_was_complete = is_complete
            query.step = 2
            query.admitted_by_probe = True  # a second step that had to probe would be late
            self._discard(*query.shard_requests)
            query.shard_requests = []
        else:
            is_complete = is_complete and query.first_step_was_complete
            self._end(query, routing.Answer(query.id, is_complete))

    def _end(self, query: Query, *final_actions: routing.Action) -> None:
        self.queries.end(query)
        self._actions.extend(final_actions)
        self._discard(*query.shard_requests)

    def _discard(self, *shard_requests: ShardRequest) -> None:
        """Take shard requests that are not needed from the queue; cancel their attempts."""
        for shard_request in shard_requests:
            shard_request.is_discarded = True
            self.queries.shard_requests.pop(shard_request.id, None)
            self._cancel_attempts(shard_request)

    def _cancel_attempts(self, shard_request: ShardRequest) -> None:
        for attempt in shard_request.attempts:
            is_final = attempt.outcome is not None or attempt.is_cancelled or attempt.is_streaming
            if not is_final and self.settings.can_cancel:
                attempt.is_cancelled = True
                self._actions.append(routing.Cancel(shard_request.id, attempt.number))

    # Sends

    def _send_queued(self, now: float) -> None:
        """First attempts and retries, in the order of the queue; what finds no room stays in it."""
        waiting: list[ShardRequest] = []
        called: list[Endpoint] = []
        full_cells: set[int] = set()
        for shard_request in self.queue.in_order():
            query = shard_request.query
            if shard_request.is_discarded or shard_request.is_answered or query.has_ended:
                continue
            awaits_probe = not query.admitted_by_probe and not shard_request.is_probe
            is_first = not shard_request.attempts
            is_held = is_first and (awaits_probe or shard_request.cell in full_cells)
            is_held = is_held or (query.may_be_harmful and query.has_request_in_flight)
            endpoint = None if is_held else self._selector.select(shard_request, called, now)
            if endpoint is not None:
                if self.settings.call_work and endpoint not in called:
                    called.append(endpoint)
                self._send(shard_request, endpoint, now)
                continue
            waiting.append(shard_request)
            if is_first and not awaits_probe:
                full_cells.add(shard_request.cell)
        self.queue.replace(waiting)

    def _send_hedges(self, now: float) -> None:
        self.hedging.refill(self._send_rate.per_second(now), now)
        for attempt in self.hedging.by_priority():
            if not self.hedging.may_hedge(attempt, now):
                continue
            endpoint = self._selector.select(attempt.shard_request, (), now, is_hedge=True)
            if endpoint is not None and not endpoint.is_avoided(now):
                self.hedging.spend_token(attempt)
                self._send(attempt.shard_request, endpoint, now)

    def _send(self, shard_request: ShardRequest, endpoint: Endpoint, now: float) -> None:
        query = shard_request.query
        if shard_request.attempts:
            self._budget.record_extra_attempt(now)
        else:
            self._send_rate.shard_requests_sent += 1
        hedge_delay_ms = self.latency.hedge_delay_ms(query.query_class, endpoint, now)
        hedge_delay_ms = self._probing.limit_hedge_delay_ms(query, hedge_delay_ms)
        write_timeout_ms = retry_window_ms(shard_request, self.settings.tick, now) or 0.0
        number = len(shard_request.attempts)
        attempt = Attempt(shard_request, number, endpoint, now, hedge_delay_ms)
        self.queries.add_attempt(attempt)
        attempt.connection_idle_ms = 0.0 if endpoint.in_flight else now - endpoint.last_used_at
        if self._idle_connections.must_close(attempt.connection_idle_ms, now):
            self._actions.append(routing.CloseIdleConnections(endpoint.id))
            attempt.connection_idle_ms = 0.0
        endpoint.last_used_at = now
        endpoint.in_flight += 1
        endpoint.sends.add(now)
        timeout_ms = self._timeout_ms(query, now)
        self._actions.append(
            routing.Send(
                shard_request.id,
                endpoint.id,
                timeout=timeout_ms,
                connect_timeout=hedge_delay_ms,
                write_timeout=write_timeout_ms,
            )
        )
        self.timers.schedule(now + hedge_delay_ms, self._on_hedge_timer, attempt)

    def _timeout_ms(self, query: Query, now: float) -> float:
        """Until the objective while a late response would be of no use, else until the deadline."""
        late_pays = query.query_class.late_weight > 0 and self.latency.slow_share < MANY_LATE_SHARE
        is_late = now >= query.objective_at
        useful_until = query.deadline_at if late_pays or is_late else query.objective_at
        return max(min(useful_until, query.deadline_at) - now, MIN_HEDGE_DELAY_MS)

    # Attempts

    def _on_hedge_timer(self, attempt: Attempt, now: float) -> None:
        if attempt.outcome is not None or attempt.is_streaming:
            return
        attempt.hedge_timer_fired = True
        attempt.endpoint.overdue += 1
        query = attempt.shard_request.query
        self._probing.on_hedge_timer(query)
        if not query.has_ended and query.query_class.idempotency is Idempotency.IDEMPOTENT:
            due_at = self.hedging.due_at(query, now)
            self.timers.schedule(due_at, self.hedging.request_token, attempt)

    def _on_response_started(self, event: routing.ResponseStarted, now: float) -> None:
        """Rows go to the client as they come: no other attempt can take the place of this one.

        How long the rest takes is up to the client, so the attempt leaves the window of its
        endpoint and its end is not recorded as a latency.
        """
        attempt = self.queries.attempts_in_flight.get((event.shard_request, event.attempt))
        if attempt and attempt.is_wanted and not attempt.is_streaming:
            attempt.is_streaming = True
            attempt.endpoint.in_flight -= 1
            attempt.endpoint.overdue -= attempt.hedge_timer_fired
            attempt.hedge_timer_fired = False
            self._on_response(attempt, event.latency, now)

    def _on_attempt_ended(self, event: routing.AttemptEnded, now: float) -> None:
        key = (event.shard_request, event.attempt)
        attempt = self.queries.attempts_in_flight.pop(key, None)
        if attempt is None:
            return
        endpoint = attempt.endpoint
        attempt.outcome = event.outcome
        endpoint.in_flight -= not attempt.is_streaming
        endpoint.overdue -= attempt.hedge_timer_fired
        if event.outcome is Outcome.SUCCEEDED:
            if not attempt.is_streaming:
                self._on_response(attempt, event.latency, now)
            endpoint.last_used_at = now
            return
        self._on_failure(attempt, event, now)
        self._retry_or_discard(attempt, now)

    def _on_response(self, attempt: Attempt, latency: float, now: float) -> None:
        """The first response to a shard request wins."""
        endpoint = attempt.endpoint
        if self.latency.record(endpoint, latency, now):
            self._ejection.on_response(endpoint)
            if latency > self.latency.slow_from_ms:
                self._limiter.on_overload(endpoint, now)
            else:
                self._limiter.on_timely_response(endpoint)
        shard_request = attempt.shard_request
        query = shard_request.query
        query.is_confirmed = True
        if shard_request.is_answered or shard_request.is_discarded or query.has_ended:
            return
        shard_request.is_answered = True
        self._probing.on_response(query)
        self._cancel_attempts(shard_request)
        self._reevaluate(query, now)

    def _on_failure(self, attempt: Attempt, event: routing.AttemptEnded, now: float) -> None:
        """What an attempt that brought no response says of its endpoint and of its query."""
        endpoint, query = attempt.endpoint, attempt.shard_request.query
        quickest_ms = min(self.latency.quickest_ms, self.latency.shortest_objective_ms)
        closed_while_idle = self._idle_connections.closed_while_idle(
            attempt, event.outcome, event.latency, quickest_ms, now
        )
        is_slow = event.latency > self.latency.slow_from_ms and not attempt.is_streaming
        if self._ejection.is_failure(attempt, event.outcome) and not closed_while_idle:
            in_service = self._endpoint_table.in_service
            interval_ms = self._send_rate.interval_per_endpoint_ms(in_service, now)
            self._ejection.eject(endpoint, interval_ms, now)
        elif event.outcome is Outcome.REJECTED or is_slow:
            self._limiter.on_overload(endpoint, now)
        if event.outcome is Outcome.CONNECTION_LOST:
            query.lost_endpoints.add(endpoint.id)
            several = len(query.lost_endpoints) > 1
            if query.may_be_harmful and several and not closed_while_idle:
                self._probing.on_harmful_query(now)

    def _retry_or_discard(self, attempt: Attempt, now: float) -> None:
        shard_request = attempt.shard_request
        query = shard_request.query
        if shard_request.is_answered or shard_request.is_discarded or query.has_ended:
            return
        if shard_request.attempts_in_flight:
            return
        may_retry = len(shard_request.attempts) < self.settings.max_attempts
        may_retry = may_retry and may_attempt_again(shard_request, self.settings.tick, now)
        if may_retry:
            self.queue.append(shard_request)
            check_at = attempt.sent_at + self.latency.overall.p90_ms(now)
            self.timers.schedule(check_at, self._reevaluate, query)
        else:
            shard_request.is_discarded = True
        self._reevaluate(query, now)
