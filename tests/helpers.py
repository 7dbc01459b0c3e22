"""Time driven by hand: a router, its settings and a clock that tests move."""

from tansycrank import routing
from tansycrank.lifecycle import Lifecycle
from tansycrank.routing.policy import RoutingPolicy

SAFE = routing.QueryClass(
    latency_objective=1000.0, deadline=4000.0, priority_weight=1.0, late_weight=0.5
)


def settings(*classes, **changes):
    base = {
        "classes": classes or (SAFE,),
        "routers": 3,
        "tick": 5.0,
        "shards": 1,
        "cells": 1,
        "replica_span": 1,
        "max_attempts": 3,
        "answer_grace": 20.0,
        "drain_grace": 500.0,
        "slow_start_overload_factor": 2.0,
        "slow_start_window": 1000.0,
        "slow_start_initial_share": 0.2,
        "slow_start_duration": 10_000.0,
    }
    return routing.Settings(**(base | changes))


def endpoint_entry(
    endpoint, cell=0, zone=0, status=routing.EndpointStatus.IN_SERVICE, started_at=0.0
):
    return routing.EndpointEntry(endpoint, cell, zone, status, started_at)


class Bench:
    """Plays events to one router and keeps what it did."""

    def __init__(self, cfg, endpoints=(1, 2, 3), seed=7, start=100_000.0):
        self.router, self.now, self.tick = RoutingPolicy(cfg, seed), start, cfg.tick
        self.ids, self.numbers, self.attempts = 1000, 0, {}
        self.done = []
        entries = tuple(
            s if isinstance(s, routing.EndpointEntry) else endpoint_entry(s) for s in endpoints
        )
        self.step(routing.EndpointListUpdate(routing.EndpointListKind.CACHED, entries))

    def step(self, *events, after=0.0):
        self.now += after
        actions = self.router.step(self.now, list(events))
        self.done.append((self.now, actions))
        for action in actions:
            if isinstance(action, routing.Send):
                self.attempts.setdefault(action.shard_request, []).append(
                    (self.now, action.endpoint)
                )
        return actions

    def run(self, ms):
        """Pass time in ticks, waking the router each time."""
        acted = []
        for _ in range(int(ms / self.tick)):
            acted += self.step(routing.TimerExpired(1), after=self.tick)
        return acted

    def query(
        self,
        shard_requests=1,
        query_class=0,
        remaining=4000.0,
        shards=None,
        weights=None,
        is_retry=False,
    ):
        """A query arrives; returns (query id, part ids, actions)."""
        self.numbers += 1
        query = self.ids = self.ids + 1
        events = [
            routing.QueryArrived(
                query, self.numbers, query_class, remaining, shard_requests, is_retry=is_retry
            )
        ]
        ids = []
        for index in range(shard_requests):
            self.ids += 1
            ids.append(self.ids)
            events.append(
                routing.ShardRequestArrived(
                    self.ids,
                    self.numbers,
                    shards[index] if shards else 0,
                    weights[index] if weights else 1 / shard_requests,
                )
            )
        return query, ids, self.step(*events)

    def end(self, shard_request, attempt=None, outcome=routing.Outcome.SUCCEEDED, after=0.0):
        """The last (or the numbered) attempt of a part ends."""
        number = len(self.attempts[shard_request]) - 1 if attempt is None else attempt
        sent, endpoint = self.attempts[shard_request][number]
        return self.step(
            routing.AttemptEnded(
                shard_request, number, endpoint, outcome, max(self.now + after - sent, 1.0)
            ),
            after=after,
        )

    def teach(self, latency=100.0, answers=30, gap=50.0):
        """Ordinary traffic: so many answers in this time, by turns."""
        for _ in range(answers):
            _, (shard_request,), _ = self.query()
            self.end(shard_request, after=latency)
            self.run(gap)


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


class LifecycleHarness:
    """Attempts for tests of connections: each the only one of a request of its own."""

    def __init__(self, endpoints=range(1, 10)):
        settings = routing.Settings(
            classes=(
                routing.QueryClass(latency_objective=1000.0, deadline=2000.0, priority_weight=1.0),
            )
        )
        self.violations = []
        self.lifecycle = Lifecycle(settings, self.violations.append)
        self.lifecycle.update_endpoints(
            routing.EndpointListUpdate(
                routing.EndpointListKind.SNAPSHOT, tuple(map(endpoint_entry, endpoints))
            )
        )

    def attempt(self, now, endpoint=1, time_out=1000.0, start_within=0.0, name="q"):
        """`now` is ms of the clock of the connections."""
        request = self.lifecycle.accept(
            name, routing.Idempotency.IDEMPOTENT, 0.0, now + 60_000.0, 1, now
        )
        return self.lifecycle.prepare_attempt(request, 0, endpoint, time_out, start_within, now)
