"""Decisions of the admission policy in single overload and fault situations, without I/O."""

import random

import pytest

from tansycrank.admission.actions import Admit, Reject
from tansycrank.admission.events import (
    LimitsChanged,
    PeriodicTick,
    QueryArrived,
    QueryCancelled,
    QueryEnded,
)
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings


class PolicySimulation:
    """A policy and `slots` servers that take `service_time` ms per query."""

    def __init__(self, slots=8, service_time=20.0, **bounds):
        self.policy = Policy(Settings(**bounds))
        self.slots, self.service_time = slots, service_time
        self.now, self.ids = 0.0, 0
        self.admitted_at, self.running, self.queue = {}, {}, []
        self.admitted, self.rejected, self.ended = [], {}, set()
        self.shard_requests, self.tenant_of = {}, {}

    def step(self, *events):
        for action in self.policy.step(self.now, events):
            match action:
                case Admit(query_id):
                    self.admitted.append(query_id)
                    self.admitted_at[query_id] = self.now
                    self.queue.append(query_id)
                case Reject(query_id):
                    assert query_id not in self.rejected
                    self.rejected[query_id] = action
        self._start()
        return self

    def _start(self):
        while self.queue and len(self.running) < self.slots:
            self.running[self.queue.pop(0)] = self.now + self.service_time

    def submit(
        self, tenant="a", client="c", shard_requests=1, remaining=1000.0, fingerprint=0, **more
    ):
        self.ids += 1
        query_id = self.ids
        self.shard_requests[query_id], self.tenant_of[query_id] = shard_requests, tenant
        self.step(
            QueryArrived(
                query_id,
                tenant,
                client,
                0,
                shard_requests,
                remaining,
                fingerprint=fingerprint,
                **more,
            )
        )
        return query_id

    def run(self, until, interval=5.0):
        while self.now < until:
            self.now += interval
            for query_id in [n for n, end in self.running.items() if end <= self.now]:
                del self.running[query_id]
                self.step(QueryEnded(query_id, "answered", self.now - self.admitted_at[query_id]))
            self.step(PeriodicTick())
        return self

    def load(self, seconds, rates, seed=1, **more):
        """Submit an open load: `rates` are queries per second by tenant."""
        rng, began = random.Random(seed), self.now
        while self.now < began + seconds * 1000:
            for tenant, rate in rates.items():
                for _ in range(int(rate * 0.01) + (rng.random() < rate * 0.01 % 1)):
                    self.submit(tenant, **more)
            self.run(self.now + 10)
        return self

    def admitted_count(self, tenant):
        return sum(self.tenant_of[n] == tenant for n in self.admitted)


def test_queries_are_admitted_at_once_below_the_limit():
    sim = PolicySimulation()
    ids = [sim.submit(f"t{i}") for i in range(8)]
    assert sim.admitted == ids and not sim.rejected


def test_the_limit_grows_until_queries_are_queued_at_the_nodes():
    sim = PolicySimulation(slots=20).load(8, {"a": 1500})
    assert 15 <= sim.policy.limit.shard_requests <= 60
    assert 0.7 < sim.policy.drain_rate <= 1.1  # shard requests per ms: 20 slots of 20 ms


def test_a_hundredfold_overload_by_one_tenant_leaves_the_others_their_demand():
    sim = PolicySimulation().load(6, {"big": 4000, "a": 40, "b": 40})
    for tenant in "ab":
        submitted = sum(t == tenant for t in sim.tenant_of.values())
        assert sim.admitted_count(tenant) > 0.93 * submitted


def test_shares_follow_weights():
    sim = PolicySimulation()
    rng = random.Random(2)
    while sim.now < 8000:
        for tenant, weight in (("a", 1.0), ("b", 3.0)):
            for _ in range(rng.randrange(10)):
                sim.submit(tenant, limits=Limits(weight=weight))
        sim.run(sim.now + 10)
    assert sim.admitted_count("b") / sim.admitted_count("a") == pytest.approx(3.0, rel=0.2)


def test_changed_weights_apply_under_load():
    sim = PolicySimulation().load(3, {"a": 600, "b": 600})
    assert sim.admitted_count("a") / sim.admitted_count("b") == pytest.approx(1.0, rel=0.2)
    before = sim.admitted_count("a"), sim.admitted_count("b")
    sim.step(LimitsChanged("a", Limits(weight=4.0)))
    sim.load(5, {"a": 600, "b": 600})
    gained = sim.admitted_count("a") - before[0], sim.admitted_count("b") - before[1]
    assert gained[0] / gained[1] == pytest.approx(4.0, rel=0.35)


def test_minimum_and_maximum_shares_hold_against_many_tenants():
    rates = {f"t{i}": 100 for i in range(12)}
    sim = PolicySimulation().load(1, rates)
    sim.step(
        LimitsChanged("gold", Limits(min_share=0.4)), LimitsChanged("iron", Limits(max_share=0.1))
    )
    sim.load(6, rates | {"gold": 400, "iron": 400})
    total = sum(sim.admitted_count(t) for t in (*rates, "gold", "iron"))
    assert sim.admitted_count("gold") / total > 0.28
    assert sim.admitted_count("iron") / total < 0.16


def test_clients_of_a_tenant_share_fairly_regardless_of_their_load():
    sim = PolicySimulation().load(1, {"a": 500})
    counts = {"few": 0, "many": 0}
    before = len(sim.admitted)
    rng, client_of = random.Random(3), {}
    while sim.now < 7000:
        for _ in range(rng.randrange(3)):
            client_of[sim.submit("a", client="few")] = "few"
        for i in range(8):
            client_of[sim.submit("a", client="many", fingerprint=sim.ids * 100 + i)] = "many"
        sim.run(sim.now + 10)
    for query_id in sim.admitted[before:]:
        if query_id in client_of:
            counts[client_of[query_id]] += 1
    assert counts["few"] > 0.85 * sum(w == "few" for w in client_of.values())


def test_a_tenfold_error_of_estimated_cost_is_corrected():
    sim = PolicySimulation(slots=10, service_time=10.0)
    rng = random.Random(4)
    slow = {}
    original_start = sim._start

    def start():
        while sim.queue and len(sim.running) < sim.slots:
            query_id = sim.queue.pop(0)
            sim.running[query_id] = sim.now + (100.0 if slow.get(query_id) else 10.0)

    sim._start = start
    assert original_start
    while sim.now < 8000:
        for tenant in "ab":
            for _ in range(rng.randrange(12)):
                sim.ids_next = sim.ids + 1
                slow[sim.ids_next] = tenant == "b"
                sim.submit(tenant, statement=ord(tenant))
        sim.run(sim.now + 10)
    late = [n for n in sim.admitted if n > sim.ids // 2]
    a = sum(sim.tenant_of[n] == "a" for n in late)
    b = sum(sim.tenant_of[n] == "b" for n in late)
    assert 4 < a / b < 16  # equal service time each: ten times as many short queries


def submit_until_rejected(sim, fingerprint):
    """Submit queries until one is rejected; returns its fingerprint and Retry-After."""
    while True:
        query_id = sim.submit("a", fingerprint=fingerprint)
        if query_id in sim.rejected:
            return fingerprint, sim.rejected[query_id].wait
        fingerprint += 1


def test_a_query_that_returns_when_due_is_admitted_before_new_ones():
    sim = PolicySimulation().load(3, {"a": 900})
    fingerprint, wait = submit_until_rejected(sim, 10_000)
    assert wait > 0
    sim.load(wait / 1000, {"a": 900})
    again = sim.submit("a", fingerprint=fingerprint)
    sim.run(sim.now + 700)
    assert again in sim.admitted
    assert sim.policy.counts["returned"] == 1


def test_an_early_return_gets_the_same_due_time_and_is_counted_once():
    sim = PolicySimulation().load(3, {"a": 900})
    fingerprint, wait = submit_until_rejected(sim, 10_000)
    due = sim.now + wait
    tenant = sim.policy.tenants["a"]
    arrived, reserved_cost = tenant.arrived, tenant.reservations.reserved_cost
    for _ in range(20):
        sim.step(PeriodicTick())
        again = sim.submit("a", fingerprint=fingerprint)
        assert sim.rejected[again].reason == "early"
        assert sim.now + sim.rejected[again].wait == pytest.approx(due)
    assert (tenant.arrived, tenant.reservations.reserved_cost) == (arrived, reserved_cost)


def test_the_same_text_in_another_session_is_another_query():
    sim = PolicySimulation().load(3, {"a": 900})
    fingerprint, wait = submit_until_rejected(sim, 10_000)
    early, other = (
        sim.submit("a", fingerprint=fingerprint),
        sim.submit("a", fingerprint=fingerprint, session=2),
    )
    assert sim.rejected[early].reason == "early"
    assert other not in sim.rejected or sim.rejected[other].reason != "early"
    sim.load(wait / 1000, {"a": 900})
    again = sim.submit(
        "a", fingerprint=fingerprint, session=3
    )  # a connection pool uses another session: the reservation is valid
    sim.run(sim.now + 700)
    assert again in sim.admitted and sim.policy.counts["returned"] >= 1


def test_declared_retries_do_not_count_as_demand():
    sim = PolicySimulation().load(2, {"a": 900})
    tenant = sim.policy.tenants["a"]
    arrived = tenant.arrived
    sim.submit("a", is_retry=True)
    assert tenant.arrived == arrived


def test_return_times_of_simultaneous_rejections_are_spread_out():
    sim = PolicySimulation().load(3, {"a": 300, "b": 300})
    waits = []
    for i in range(400):
        query_id = sim.submit(f"n{i}", fingerprint=1000 + i, remaining=1.0)
        if query_id in sim.rejected:
            waits.append(sim.rejected[query_id].wait)
    assert len(waits) > 300
    spans = [0] * 200
    for wait in waits:
        spans[min(int(wait / 50), 199)] += 1
    assert max(spans) <= 2 + sim.policy.drain_rate * 50  # no span is booked beyond the drain rate


def test_a_hundred_thousand_tenants_stay_within_the_bounds():
    sim = PolicySimulation(max_tenants=512, max_queries=200, max_reservations=1000)
    for i in range(100_000):
        sim.submit(f"tenant-{i}", fingerprint=i + 1)
        if i % 10 == 0:
            sim.run(sim.now + 5)
    policy = sim.policy
    assert len(policy.tenants) <= 512 + 64 and policy.queue.scheduler.size <= 200
    assert (
        policy.reservations.count <= 1000
        and len(policy.reservations._expiry_heap) <= 2 * 1000 + 1024 + 1
    )
    assert len(policy.queue._deadlines) <= 2 * 200 + 1024 + 1
    assert len(policy.queue.scheduler.children) <= 3 * 200 + 64


def test_a_new_tenant_per_query_leaves_known_tenants_their_share():
    sim = PolicySimulation(max_tenants=64, max_queries=300)
    rng = random.Random(5)
    while sim.now < 6000:
        for i in range(20):
            sim.submit(f"made-up-{sim.ids}-{i}")
        if rng.random() < 0.4:
            sim.submit("honest", limits=Limits(min_share=0.3))
        sim.run(sim.now + 10)
    submitted = sum(t == "honest" for t in sim.tenant_of.values())
    assert sim.admitted_count("honest") > 0.6 * submitted


def test_an_evicted_tenant_resumes_at_its_finish_tag():
    policy = Policy(Settings(max_tenants=64))
    tenant = policy._tenant("x", Limits())
    tenant.queue.finish_tag = 500.0
    for i in range(200):
        policy._tenant(f"y{i}", Limits())
    assert "x" not in policy.tenants
    assert policy._tenant("x", Limits()).queue.finish_tag >= 500.0


def test_a_full_queue_displaces_queries_of_the_largest_tenant():
    sim = PolicySimulation(slots=1, service_time=1000.0, max_queries=10)
    for _ in range(30):
        sim.submit("big", remaining=1e9)
    assert sim.policy.queue.scheduler.size == 10
    query_id = sim.submit("small", remaining=1e9)
    assert query_id not in sim.rejected
    assert any(r.reason == "pushed" for r in sim.rejected.values())


def test_queued_bytes_are_bounded():
    sim = PolicySimulation(slots=1, service_time=1000.0, max_bytes=1000)
    for _ in range(40):
        sim.submit("a", remaining=1e9, size=300)
    assert sim.policy.queue.bytes <= 1000
    assert any(r.reason == "full" for r in sim.rejected.values())


def test_queries_past_their_latest_start_are_rejected_at_once():
    sim = PolicySimulation(slots=1, service_time=5000.0)
    for _ in range(12):
        sim.submit("a", remaining=300.0)
    queued = set(sim.policy.queue.queries)
    assert queued
    sim.now = 300.0
    sim.step()
    assert queued <= set(sim.rejected) and not sim.policy.queue.queries
    assert all(sim.rejected[n].reason == "late" for n in queued)


def test_cancelled_queries_leave_the_queue():
    sim = PolicySimulation(slots=1, service_time=1000.0)
    ids = [sim.submit("a", remaining=1e9) for _ in range(20)]
    queued = [n for n in ids if n in sim.policy.queue.queries]
    for query_id in queued:
        sim.step(QueryCancelled(query_id))
    assert (
        not sim.policy.queue.queries
        and sim.policy.queue.scheduler.size == 0
        and sim.policy.queue.bytes == 0
    )
    assert not set(queued) & set(sim.rejected)


def test_with_fewer_servers_the_limit_falls_and_broken_reservations_are_marked_corrected():
    sim = PolicySimulation(slots=20).load(6, {"a": 1500})
    before, drain_rate = sim.policy.limit.shard_requests, sim.policy.drain_rate
    returns = []
    for i in range(300):
        query_id = sim.submit("a", fingerprint=10_000 + i)
        if query_id in sim.rejected:
            returns.append((10_000 + i, sim.now + sim.rejected[query_id].wait))
    assert len(returns) > 200
    sim.slots = 5
    corrected, served = 0, 0
    returns.sort(key=lambda m: m[1])
    while sim.now < 13_000:
        while returns and returns[0][1] <= sim.now:
            query_id = sim.submit("a", fingerprint=returns.pop(0)[0], remaining=400.0)
            if query_id in sim.rejected:
                assert sim.rejected[query_id].corrected
                corrected += 1
            else:
                served += 1
        sim.load(0.01, {"a": 1000})
    assert sim.policy.limit.shard_requests < before and sim.policy.drain_rate < 0.6 * drain_rate
    assert corrected + served > 100


def test_a_rejection_by_the_routing_policy_is_reserved_no_earlier_than_its_retry_after():
    sim = PolicySimulation()
    query_id = sim.submit("a", fingerprint=5)
    sim.queue.clear()
    sim.running.clear()
    sim.step(QueryEnded(query_id, "refused", 3.0, retry_after_ms=700.0))
    assert sim.rejected[query_id].reason == "module" and sim.rejected[query_id].wait >= 700.0
    assert sim.policy.tenants["a"].reservations.count == 1


def test_a_stall_of_the_event_loop_does_not_lower_the_limit():
    sim = PolicySimulation(slots=20).load(5, {"a": 1500})
    before = sim.policy.limit.shard_requests
    sim.now += 2000
    sim.step(PeriodicTick(timer_lag=2000.0))
    sim.load(0.5, {"a": 1500})
    assert sim.policy.limit.shard_requests > before / 2


def test_rejections_for_one_dead_shard_do_not_throttle_other_tenants():
    sim = PolicySimulation(slots=20).load(3, {"a": 500})
    for _ in range(400):
        query_id = sim.submit("b", remaining=1000.0)
        if query_id in sim.admitted:
            sim.queue = [n for n in sim.queue if n != query_id]
            sim.running.pop(query_id, None)
            sim.step(QueryEnded(query_id, "refused", 1.0, retry_after_ms=100.0))
        sim.load(0.01, {"a": 500})
    submitted = sum(t == "a" for t in sim.tenant_of.values())
    assert sim.admitted_count("a") > 0.9 * submitted


def test_a_repeated_query_queued_past_the_due_time_of_the_first_gets_a_later_one():
    """A session sends the same query twice, and the second is queued until the due time of the
    first has passed. Its rejection must not repeat that time: Retry-After would be negative.
    """
    policy, query_id = Policy(Settings()), 0
    while not policy.queue.queries:  # until the limit is reached
        query_id += 1
        policy.step(
            0.0, [QueryArrived(query_id, "b", "c", 0, 9, 900.0, fingerprint=100 + query_id)]
        )
    reservations = policy.tenants["b"].reservations
    policy.reservations.add(
        reservations, "b", 100 + query_id, 0, 0.0, 400.0, 9.0
    )  # the first got a Retry-After of 400 ms
    rejected = [one for one in policy.step(900.0, [PeriodicTick()]) if isinstance(one, Reject)]
    assert [one.id for one in rejected] == [query_id] and rejected[0].wait >= 0.0
    assert (
        policy.reservations.count
        == reservations.count
        == sum(map(len, reservations.by_fingerprint.values()))
    )
