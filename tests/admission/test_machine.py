"""No order of events loses or doubles a query, passes a bound, or starves a tenant with a share."""

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


class Door(RuleBasedStateMachine):
    """All that can happen, in any order; each query's one fate is written down."""

    def __init__(self):
        super().__init__()
        self.policy = Policy(BOUNDS)
        self.now, self.ids = 0.0, 0
        self.open, self.inside, self.fate, self.marks = {}, set(), {}, {}

    def play(self, *events):
        for action in self.policy.step(self.now, events):
            match action:
                case Admit(number):
                    assert number in self.open and number not in self.inside
                    self.inside.add(number)
                case Reject(number, wait):
                    assert number in self.open and wait >= 0
                    assert number not in self.inside
                    del self.open[number]
                    self.fate[number] = "refused"
                case SetTimer(at):
                    assert at >= self.now or self.policy.queue.queries

    @rule(
        tenant=st.sampled_from("abcdefgh"),
        client=st.sampled_from("xy"),
        query_class=st.integers(0, 1),
        shard_requests=st.integers(1, 9),
        left=st.floats(1, 3000),
        size=st.integers(0, 1500),
        fingerprint=st.integers(0, 30),
        repeat=st.booleans(),
        share=st.sampled_from([0.0, 0.0, 0.2]),
    )
    def arrives(
        self, tenant, client, query_class, shard_requests, left, size, fingerprint, repeat, share
    ):
        self.ids += 1
        self.open[self.ids] = tenant
        self.play(
            QueryArrived(
                self.ids, tenant, client, query_class, shard_requests, left, fingerprint % 5,
                fingerprint, size, repeat,
                Limits(min_share=share),
            )
        )  # fmt: skip

    @precondition(lambda self: self.inside)
    @rule(
        data=st.data(),
        kind=st.sampled_from(["answered", "answered", "refused", "failed", "cancelled"]),
    )
    def ends(self, data, kind):
        number = data.draw(st.sampled_from(sorted(self.inside)))
        self.inside.discard(number)
        if kind != "refused":
            del self.open[number]
            self.fate[number] = kind
        self.play(QueryEnded(number, kind, data.draw(st.floats(0, 5000)), 50.0))
        assert number in self.fate

    @precondition(lambda self: self.policy.queue.queries)
    @rule(data=st.data())
    def leaves(self, data):
        number = data.draw(st.sampled_from(sorted(self.policy.queue.queries)))
        del self.open[number]
        self.fate[number] = "left"
        self.play(QueryCancelled(number))

    @rule(after=st.floats(0, 4000), late=st.sampled_from([0.0, 0.0, 5.0, 2000.0]))
    def time_goes_by(self, after, late):
        self.now += after
        self.play(PeriodicTick(late))

    @rule(tenant=st.sampled_from("abcd"), weight=st.floats(0.01, 100), most=st.floats(0.05, 1))
    def limits_change(self, tenant, weight, most):
        self.play(LimitsChanged(tenant, Limits(weight, 0.0, most, 100.0)))

    @invariant()
    def every_query_is_somewhere_once(self):
        waiting = set(self.policy.queue.queries)
        assert waiting | self.inside == set(self.open) and not waiting & self.inside
        assert set(self.policy.in_flight.queries) == self.inside

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
    def lines_add_up(self):
        for tenant in self.policy.tenants.values():
            mine = [t for t in self.policy.queue.queries.values() if t.tenant == tenant.key]
            assert tenant.queue.size == len(mine)
            assert tenant.shard_requests_in_flight == sum(
                t.shard_requests
                for t in self.policy.in_flight.queries.values()
                if t.tenant == tenant.key
            )

    @invariant()
    def nobody_waits_beside_room(self):
        policy = self.policy
        able = [t for t in policy.tenants.values() if t.queue and not t.is_parked]
        assert not able or policy.in_flight.shard_requests >= policy.limit.shard_requests

    @invariant()
    def nobody_waits_past_his_time(self):
        assert all(t.latest_start > self.now for t in self.policy.queue.queries.values())

    def teardown(self):
        """Whatever came before: once all inside has ended and time has passed, everyone has an
        answer.
        """
        while self.inside:
            number = min(self.inside)
            self.inside.discard(number)
            del self.open[number]
            self.fate[number] = "answered"
            self.play(QueryEnded(number, "answered", 10.0))
        self.now += 10_000
        self.play(PeriodicTick())
        while self.inside:
            number = min(self.inside)
            self.inside.discard(number)
            del self.open[number]
            self.fate[number] = "answered"
            self.play(QueryEnded(number, "answered", 10.0))
        assert not self.open and not self.policy.queue.queries and len(self.fate) == self.ids


TestDoor = Door.TestCase
TestDoor.settings = settings(max_examples=60, stateful_step_count=60, deadline=None)
