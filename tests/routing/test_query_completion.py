"""How queries end, and that nothing of them is kept."""

from helpers import Bench, of, settings

from tansycrank import routing
from tansycrank.routing import Outcome
from tansycrank.routing.policy import RoutingPolicy


def test_a_query_past_its_objective_is_rejected_at_once_if_late_weighs_nothing():
    cls = routing.QueryClass(
        latency_objective=1000.0, deadline=4000.0, priority_weight=1.0, late_weight=0.0
    )
    bench = Bench(settings(cls))
    query, _, _ = bench.query()
    acted = bench.run(1000)
    assert [a.query for a in of(routing.Reject, acted)] == [query]


def test_unknown_ids_and_cancelled_queries_leave_nothing_behind():
    bench = Bench(settings())
    assert not bench.step(
        routing.QueryCancelled(5),
        routing.ShardRequestArrived(6, 77, 0, 1.0),
        routing.HealthCheckEnded(9, Outcome.SUCCEEDED, 1.0),
        routing.GossipReceived(1, b"x"),
        routing.AttemptEnded(6, 0, 1, Outcome.SUCCEEDED, 1.0),
    )
    query, (shard_request,), _ = bench.query()
    assert routing.Cancel(shard_request, 0) in bench.step(routing.QueryCancelled(query))
    bench.end(shard_request, 0, Outcome.CANCELLED)
    bench.run(5000)
    router = bench.router
    assert not (
        router.queries.by_id
        or router.queries.by_number
        or router.queries.shard_requests
        or router.queries.attempts_in_flight
        or router.queue
        or router.hedging.awaiting_token
    )
    assert not router.timers


def test_same_events_and_seed_give_the_same_actions():
    def play():
        bench = Bench(settings(price_crossing=0.1), seed=11)
        for index in range(40):
            _, (shard_request,), _ = bench.query()
            bench.run(30)
            if shard_request in bench.attempts:  # one part at a time goes to a server that failed
                bench.end(shard_request, 0, Outcome.ERROR if index % 7 == 3 else Outcome.SUCCEEDED)
        return [actions for _, actions in bench.done]

    assert play() == play()


def test_a_step_without_events_is_allowed():
    assert RoutingPolicy(settings(), 1).step(0.0, []) == []
