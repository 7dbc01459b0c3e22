"""How queries end, and that no state is left behind."""

from helpers import PolicyHarness, of_type, settings

from tansycrank import routing
from tansycrank.routing import Outcome
from tansycrank.routing.policy import RoutingPolicy


def test_a_query_past_its_objective_is_rejected_at_once_if_late_answers_have_no_weight():
    query_class = routing.QueryClass(
        latency_objective=1000.0, deadline=4000.0, priority_weight=1.0, late_weight=0.0
    )
    harness = PolicyHarness(settings(query_class))
    query, _, _ = harness.query()
    actions = harness.run(1000)
    assert [a.query for a in of_type(routing.Reject, actions)] == [query]


def test_unknown_ids_and_cancelled_queries_leave_no_state():
    harness = PolicyHarness(settings())
    assert not harness.step(
        routing.QueryCancelled(5),
        routing.ShardRequestArrived(6, 77, 0, 1.0),
        routing.HealthCheckEnded(9, Outcome.SUCCEEDED, 1.0),
        routing.GossipReceived(1, b"x"),
        routing.AttemptEnded(6, 0, 1, Outcome.SUCCEEDED, 1.0),
    )
    query, (shard_request,), _ = harness.query()
    assert routing.Cancel(shard_request, 0) in harness.step(routing.QueryCancelled(query))
    harness.end(shard_request, 0, Outcome.CANCELLED)
    harness.run(5000)
    policy = harness.policy
    assert not (
        policy.queries.by_id
        or policy.queries.by_number
        or policy.queries.shard_requests
        or policy.queries.attempts_in_flight
        or policy.queue
        or policy.hedging.awaiting_token
    )
    assert not policy.timers


def test_same_events_and_seed_give_the_same_actions():
    def run():
        harness = PolicyHarness(settings(price_crossing=0.1), seed=11)
        for index in range(40):
            _, (shard_request,), _ = harness.query()
            harness.run(30)
            # An endpoint that failed gets one request at a time.
            if shard_request in harness.attempts:
                harness.end(
                    shard_request, 0, Outcome.ERROR if index % 7 == 3 else Outcome.SUCCEEDED
                )
        return [actions for _, actions in harness.steps]

    assert run() == run()


def test_a_step_without_events_is_allowed():
    assert RoutingPolicy(settings(), 1).step(0.0, []) == []
