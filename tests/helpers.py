"""Harnesses that drive a routing policy or a lifecycle on a simulated clock."""

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


class PolicyHarness:
    """Feeds events to one routing policy and records its actions.

    `steps` has the time and the actions of each step, `attempts` the time and the endpoint of each
    attempt by shard request id.
    """

    def __init__(self, config, endpoints=(1, 2, 3), seed=7, start=100_000.0):
        self.policy, self.now, self.tick = RoutingPolicy(config, seed), start, config.tick
        self.last_id, self.last_number, self.attempts = 1000, 0, {}
        self.steps = []
        entries = tuple(
            s if isinstance(s, routing.EndpointEntry) else endpoint_entry(s) for s in endpoints
        )
        self.step(routing.EndpointListUpdate(routing.EndpointListKind.CACHED, entries))

    def step(self, *events, after=0.0):
        self.now += after
        actions = self.policy.step(self.now, list(events))
        self.steps.append((self.now, actions))
        for action in actions:
            if isinstance(action, routing.Send):
                self.attempts.setdefault(action.shard_request, []).append(
                    (self.now, action.endpoint)
                )
        return actions

    def run(self, ms):
        """Advance time by `ms`, one timer event per tick; returns all actions."""
        actions = []
        for _ in range(int(ms / self.tick)):
            actions += self.step(routing.TimerExpired(1), after=self.tick)
        return actions

    def query(
        self,
        shard_requests=1,
        query_class=0,
        remaining=4000.0,
        shards=None,
        weights=None,
        is_retry=False,
    ):
        """A query arrives; returns its id, the ids of its shard requests, and the actions."""
        self.last_number += 1
        query = self.last_id = self.last_id + 1
        events = [
            routing.QueryArrived(
                query, self.last_number, query_class, remaining, shard_requests, is_retry=is_retry
            )
        ]
        ids = []
        for index in range(shard_requests):
            self.last_id += 1
            ids.append(self.last_id)
            events.append(
                routing.ShardRequestArrived(
                    self.last_id,
                    self.last_number,
                    shards[index] if shards else 0,
                    weights[index] if weights else 1 / shard_requests,
                )
            )
        return query, ids, self.step(*events)

    def end(self, shard_request, attempt=None, outcome=routing.Outcome.SUCCEEDED, after=0.0):
        """End an attempt of a shard request, by default its last one."""
        number = len(self.attempts[shard_request]) - 1 if attempt is None else attempt
        sent, endpoint = self.attempts[shard_request][number]
        return self.step(
            routing.AttemptEnded(
                shard_request, number, endpoint, outcome, max(self.now + after - sent, 1.0)
            ),
            after=after,
        )

    def run_traffic(self, latency=100.0, queries=30, gap=50.0):
        """Run queries one after the other, each with a response of that latency."""
        for _ in range(queries):
            _, (shard_request,), _ = self.query()
            self.end(shard_request, after=latency)
            self.run(gap)


def of_type(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


class LifecycleHarness:
    """Creates attempts for tests of connections, each for a request of its own."""

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
        """A new attempt; `now` is ms on the clock of the connections."""
        request = self.lifecycle.accept(
            name, routing.Idempotency.IDEMPOTENT, 0.0, now + 60_000.0, 1, now
        )
        return self.lifecycle.prepare_attempt(request, 0, endpoint, time_out, start_within, now)
