"""Admission control, coordinator and routing policy together in deterministic simulated time."""

from tansycrank.admission.settings import Limits
from tansycrank.testbed.admission_emulator import Load, Play, Scene, jain
from tansycrank.testbed.simulated import SimClock

CLUSTER = {"nodes": 6, "shards": 6, "slots": 2, "seed": 3}
NAMES = [f"t{n}" for n in range(6)]


def test_an_overloading_tenant_leaves_the_others_their_service():
    calm = Play(Scene([Load(n, 25) for n in NAMES], seconds=4, **CLUSTER)).run()
    flood = Load("big", 1500, "never", clients=20)
    mixed = Play(Scene([*(Load(n, 25) for n in NAMES), flood], seconds=4, **CLUSTER)).run()
    assert mixed.service(NAMES) >= 0.95 * calm.service(NAMES)
    assert mixed.tallies["big"].answered > 100  # it gets the remaining capacity


def test_retry_after_is_accurate_in_steady_overload():
    loads = [Load(n, 80, limits=Limits(1 + i % 2)) for i, n in enumerate(NAMES)]
    play = Play(Scene(loads, seconds=8, **CLUSTER))
    found = play.run().honesty(since=2.0)
    assert found["promises"] > 200
    assert (
        found["median error"] < 0.2
        and found["nine in ten"] <= 0.5
        and found["let in on return"] >= 0.9
    )
    assert play.jain(NAMES) > 0.95


def test_no_query_is_lost_while_half_the_nodes_fail_and_return():
    faults = ((2.0, "die", 0.5), (5.5, "back", 0.5))
    play = Play(Scene([Load(n, 45) for n in NAMES], seconds=12, faults=faults, **CLUSTER)).run()
    limits = {round(second, 1): limit for second, limit, _ in play.limits}
    drains = {round(second, 1): drain_rate for second, _, drain_rate in play.limits}
    assert drains[5.4] < 0.8 * drains[1.9] and limits[5.4] < limits[1.9]
    # The routing policy probes returned nodes after half a latency objective; the limit follows.
    assert drains[9.3] > 1.2 * drains[5.4] and limits[9.3] > limits[6.5]
    gate = play.routers[0].gate
    assert len(gate.entries) == len(gate.policy.queue.queries) + len(gate.policy.in_flight.queries)


def test_a_simulation_is_deterministic():
    scene = Scene([Load(n, 60) for n in NAMES], seconds=2, faults=((0.8, "die", 0.5),), **CLUSTER)
    one, two = Play(scene).run(), Play(scene).run()
    assert [t.answered for t in one.tallies.values()] == [t.answered for t in two.tallies.values()]
    assert [p.wait for p in one.promises] == [p.wait for p in two.promises]


def test_the_clock_calls_in_order_and_skips_cancelled_calls():
    clock, called = SimClock(), []
    late = clock.callLater(2, called.append, "late")
    clock.callLater(1, called.append, "early")
    clock.callLater(1, called.append, "second")
    cancelled = clock.callLater(1.5, called.append, "cancelled")
    cancelled.cancel()
    clock.run(1.7)
    assert called == ["early", "second"] and late.active() and clock.seconds() == 1.7


def test_jains_index():
    assert jain([1, 1, 1]) == 1.0 and jain([1, 0, 0, 0]) == 0.25 and jain([]) == 0.0
