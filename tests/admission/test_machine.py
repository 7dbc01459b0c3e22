"""In any order of events each query gets one outcome, bounds hold and free capacity is used."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansycrank.admission.actions import Admit, Reject, SetTimer
from tansycrank.admission.events import (
    LimitsChanged,
    PeriodicTick,
    QueryArrived,
    QueryCancelled,
    QueryEnded,
)
from tansycrank.admission.policy import Policy
from tansycrank.admission.settings import Limits, Settings

BOUNDS = Settings(
    class_weights=(1.0, 3.0),
    useful_times=(500.0, 900.0),
    max_queries=12,
    max_bytes=4000,
    max_tenants=4,
    max_reservations=10,
)


class AdmissionMachine(RuleBasedStateMachine):
    """Random events in any order; records the one outcome of each query."""

    def __init__(self):
        super().__init__()
        self.policy = Policy(BOUNDS)
        self.now, self.ids = 0.0, 0
        self.open, self.in_flight_ids, self.outcomes, self.unused_marks = {}, set(), {}, {}

    def step(self, *events):
        for action in self.policy.step(self.now, events):
            match action:
                case Admit(number):
                    assert number in self.open and number not in self.in_flight_ids
                    self.in_flight_ids.add(number)
                case Reject(number, wait):
                    assert number in self.open and wait >= 0
                    assert number not in self.in_flight_ids
                    del self.open[number]
                    self.outcomes[number] = "refused"
                case SetTimer(at):
                    assert at >= self.now or self.policy.queue.queries

    @rule(
        tenant=st.sampled_from("abcdefgh"),
        client=st.sampled_from("xy"),
        query_class=st.integers(0, 1),
        shard_requests=st.integers(1, 9),
        remaining=st.floats(1, 3000),
        size=st.integers(0, 1500),
        fingerprint=st.integers(0, 30),
        is_retry=st.booleans(),
        share=st.sampled_from([0.0, 0.0, 0.2]),
    )
    def query_arrives(
        self,
        tenant,
        client,
        query_class,
        shard_requests,
        remaining,
        size,
        fingerprint,
        is_retry,
        share,
    ):
        self.ids += 1
        self.open[self.ids] = tenant
        self.step(
            QueryArrived(
                self.ids, tenant, client, query_class, shard_requests, remaining, fingerprint % 5,
                fingerprint, size, is_retry,
                Limits(min_share=share),
            )
        )  # fmt: skip

    @precondition(lambda self: self.in_flight_ids)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["answered", "answered", "refused", "failed", "cancelled"]),
    )
    def query_ends(self, data, kind):
        number = data.draw(st.sampled_from(sorted(self.in_flight_ids)))
        self.in_flight_ids.discard(number)
        if kind != "refused":
            del self.open[number]
            self.outcomes[number] = kind
        self.step(QueryEnded(number, kind, data.draw(st.floats(0, 5000)), 50.0))
        assert number in self.outcomes

    @precondition(lambda self: self.policy.queue.queries)
    @rule(data=st.data())
    def query_cancelled(self, data):
        number = data.draw(st.sampled_from(sorted(self.policy.queue.queries)))
        del self.open[number]
        self.outcomes[number] = "cancelled in the queue"
        self.step(QueryCancelled(number))

    @rule(elapsed=st.floats(0, 4000), timer_lag=st.sampled_from([0.0, 0.0, 5.0, 2000.0]))
    def time_passes(self, elapsed, timer_lag):
        self.now += elapsed
        self.step(PeriodicTick(timer_lag))

    @rule(tenant=st.sampled_from("abcd"), weight=st.floats(0.01, 100), max_share=st.floats(0.05, 1))
    def limits_changed(self, tenant, weight, max_share):
        self.step(LimitsChanged(tenant, Limits(weight, 0.0, max_share, 100.0)))

    @invariant()
    def each_open_query_is_queued_or_in_flight(self):
        queued = set(self.policy.queue.queries)
        assert queued | self.in_flight_ids == set(self.open) and not queued & self.in_flight_ids
        assert set(self.policy.in_flight.queries) == self.in_flight_ids

    @invariant()
    def bounds_hold(self):
        policy = self.policy
        assert policy.queue.scheduler.size == len(policy.queue.queries) <= BOUNDS.max_queries
        assert (
            policy.queue.bytes
            == sum(t.size for t in policy.queue.queries.values())
            <= BOUNDS.max_bytes
        )
        assert policy.in_flight.shard_requests == sum(
            t.shard_requests for t in policy.in_flight.queries.values()
        )
        assert 0 <= policy.reservations.count <= BOUNDS.max_reservations
        assert policy.reservations.count == sum(
            t.reservations.count for t in policy.tenants.values()
        )
        for tenant in policy.tenants.values():
            assert tenant.reservations.count == sum(
                map(len, tenant.reservations.by_fingerprint.values())
            )

    @invariant()
    def totals_per_tenant_are_consistent(self):
        for tenant in self.policy.tenants.values():
            queued = [t for t in self.policy.queue.queries.values() if t.tenant == tenant.key]
            assert tenant.queue.size == len(queued)
            assert tenant.shard_requests_in_flight == sum(
                t.shard_requests
                for t in self.policy.in_flight.queries.values()
                if t.tenant == tenant.key
            )

    @invariant()
    def no_query_is_queued_beside_free_capacity(self):
        policy = self.policy
        schedulable = [t for t in policy.tenants.values() if t.queue and not t.is_parked]
        assert not schedulable or policy.in_flight.shard_requests >= policy.limit.shard_requests

    @invariant()
    def no_query_is_queued_past_its_latest_start(self):
        assert all(t.latest_start > self.now for t in self.policy.queue.queries.values())

    def teardown(self):
        """After any events, once the queries in flight have ended and all deadlines have passed,
        each query has an outcome.
        """
        while self.in_flight_ids:
            number = min(self.in_flight_ids)
            self.in_flight_ids.discard(number)
            del self.open[number]
            self.outcomes[number] = "answered"
            self.step(QueryEnded(number, "answered", 10.0))
        self.now += 10_000
        self.step(PeriodicTick())
        while self.in_flight_ids:
            number = min(self.in_flight_ids)
            self.in_flight_ids.discard(number)
            del self.open[number]
            self.outcomes[number] = "answered"
            self.step(QueryEnded(number, "answered", 10.0))
        assert not self.open and not self.policy.queue.queries and len(self.outcomes) == self.ids


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
