"""Regression tests for faults seen in larger deployments, each reduced to a single policy."""

from helpers import PolicyHarness, endpoint_entry, of_type, settings

from tansycrank import routing
from tansycrank.routing import Outcome
from tansycrank.routing.outlier_ejection import INITIAL_EJECTION_SHARE

NO_LATE_WEIGHT = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
PARTIAL = routing.QueryClass(
    latency_objective=1000.0,
    deadline=4000.0,
    priority_weight=1.0,
    minimum_coverage=0.5,
    partial_weight=0.9,
)


def harness_with_traffic(count, *classes, **changes):
    """One endpoint per cell and shards replicated in the next cell, after some ordinary traffic.

    Queries for every second shard thus use different endpoints.
    """
    policy_settings = settings(*classes, shards=count, cells=count, replica_span=2, **changes)
    harness = PolicyHarness(
        policy_settings, endpoints=[endpoint_entry(s, cell=s) for s in range(count)]
    )
    for _ in range(30):
        _, (shard_request,), _ = harness.query(shards=[harness.last_number % count])
        harness.end(shard_request, after=80.0)
        harness.run(50)
    return harness


def test_a_query_that_crashes_two_endpoints_and_is_answered_by_none_is_rejected():
    """A harmful query crashes every endpoint that executes one of its shard requests."""
    harness = harness_with_traffic(8)
    query, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    assert all(len(harness.attempts[shard_request]) == 1 for shard_request in shard_requests)
    for shard_request in shard_requests[:-1]:
        assert not of_type(
            routing.Send, harness.end(shard_request, outcome=Outcome.CONNECTION_LOST)
        )
    actions = harness.end(shard_requests[-1], outcome=Outcome.CONNECTION_LOST)
    assert [a.query for a in of_type(routing.Reject, actions)] == [query] and not of_type(
        routing.Send, actions
    )


def test_a_query_with_a_response_is_not_harmful():
    """Counterpart: a query with a response is retried at once if other endpoints crash."""
    harness = harness_with_traffic(8)
    _, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    harness.end(shard_requests[0])
    assert (
        len(of_type(routing.Send, harness.end(shard_requests[1], outcome=Outcome.CONNECTION_LOST)))
        == 1
    )


def test_an_attempt_times_out_once_its_response_has_no_use():
    """Where cancelling does not stop the work, endpoints would keep working for ended queries."""
    harness = harness_with_traffic(4, NO_LATE_WEIGHT)
    harness.query(shards=[0])
    send = of_type(routing.Send, harness.query(shards=[1])[2])[0]
    assert send.timeout == 1000.0


def test_a_timeout_alone_does_not_eject_an_endpoint():
    """Otherwise a late query would eject all of its endpoints at the objective."""
    harness = harness_with_traffic(4, NO_LATE_WEIGHT)
    _, (shard_request,), _ = harness.query(shards=[0])
    endpoint = harness.policy.endpoints[harness.attempts[shard_request][0][1]]
    harness.end(shard_request, outcome=Outcome.TIMED_OUT, after=50.0)
    assert not endpoint.ejection_ms


def test_small_queries_send_a_probe_if_most_responses_are_late():
    """Under overload, small queries that do not probe lengthen the queues."""
    harness = harness_with_traffic(8)
    for _ in range(40):
        _, (shard_request,), _ = harness.query(shards=[harness.last_number % 8])
        harness.run(900)
        harness.end(shard_request, 0)
    _, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    assert sum(shard_request in harness.attempts for shard_request in shard_requests) == 1


def test_a_started_query_is_kept_for_a_partial_answer():
    """If a late probe ended the query before its partial answer, most weight would be lost."""
    harness = PolicyHarness(
        settings(PARTIAL, shards=8, cells=8),
        endpoints=[endpoint_entry(s, cell=s) for s in range(8)],
    )
    query, shard_requests, _ = harness.query(shard_requests=8, shards=range(8))
    harness.run(500)
    sent = [shard_request for shard_request in shard_requests if shard_request in harness.attempts]
    actions = [
        action for shard_request in sent for action in harness.end(shard_request, 0)
    ] + harness.run(600)
    assert [a.query for a in of_type(routing.Answer, actions)] == [query]


def test_a_large_query_sends_a_single_probe_if_its_objective_leaves_time():
    """A harmful query whose requests are sent together crashes all of their endpoints."""
    harness = harness_with_traffic(16)
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    assert [
        shard_request for shard_request in shard_requests if shard_request in harness.attempts
    ] == shard_requests[:1]
    harness.end(shard_requests[0], after=50.0)
    assert all(shard_request in harness.attempts for shard_request in shard_requests)


def test_a_late_probe_admits_the_rest_unless_a_connection_was_lost():
    """One paused endpoint must not delay every large query while the others are idle."""
    harness = harness_with_traffic(16)
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    harness.run(400)
    assert all(shard_request in harness.attempts for shard_request in shard_requests)


def test_after_a_harmful_query_every_query_sends_a_single_probe():
    """Its client retries, which would crash the same endpoints again."""
    harness = harness_with_traffic(8)
    _, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    harness.run(60)
    for shard_request in shard_requests:
        harness.end(shard_request, outcome=Outcome.CONNECTION_LOST)
    harness.step(
        routing.EndpointListUpdate(
            routing.EndpointListKind.SNAPSHOT, tuple(endpoint_entry(s, cell=s) for s in range(8))
        )
    )
    _, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    harness.run(60)
    assert sum(shard_request in harness.attempts for shard_request in shard_requests) == 1


def test_a_reset_of_an_idle_connection_does_not_eject_and_is_prevented_the_next_time():
    """Connections closed while idle must neither eject endpoints nor fail later requests."""
    harness = harness_with_traffic(4)
    harness.run(3000)
    _, (shard_request,), _ = harness.query(shards=[0])
    endpoint = harness.attempts[shard_request][0][1]
    harness.end(shard_request, outcome=Outcome.CONNECTION_LOST, after=5.0)
    assert not harness.policy.endpoints[endpoint].ejection_ms
    harness.run(3000)
    actions = harness.query(shards=[2])[2]
    send = of_type(routing.Send, actions)[0]
    assert of_type(routing.CloseIdleConnections, actions) == [
        routing.CloseIdleConnections(send.endpoint)
    ]
    assert actions.index(routing.CloseIdleConnections(send.endpoint)) < actions.index(send)


def test_a_connection_lost_during_an_attempt_ejects_its_endpoint():
    """Counterpart: a crash during an attempt is not taken for a connection closed while idle."""
    harness = harness_with_traffic(4)
    harness.run(3000)
    _, (shard_request,), _ = harness.query(shards=[0])
    endpoint = harness.attempts[shard_request][0][1]
    harness.end(shard_request, outcome=Outcome.CONNECTION_LOST, after=200.0)
    assert harness.policy.endpoints[endpoint].ejection_ms


def test_a_small_query_waits_for_its_probe_while_the_rest_can_be_in_time():
    """One late probe must not reject small queries if all endpoints are healthy."""
    harness = harness_with_traffic(8)
    for _ in range(40):
        _, (shard_request,), _ = harness.query(shards=[harness.last_number % 8])
        harness.run(300)
        harness.end(shard_request, 0)
    _, shard_requests, _ = harness.query(shard_requests=4, shards=[0, 2, 4, 6])
    (probe,) = [
        shard_request for shard_request in shard_requests if shard_request in harness.attempts
    ]
    assert not of_type(routing.Reject, harness.run(400))
    harness.end(probe, 0)
    assert all(shard_request in harness.attempts for shard_request in shard_requests)


def test_an_endpoint_that_fails_quickly_is_ejected():
    """Quick errors leave room in the window of an endpoint and attract more requests."""
    harness = harness_with_traffic(2, routers=1)
    _, (shard_request,), _ = harness.query(shards=[0])
    failing = harness.attempts[shard_request][0][1]
    harness.end(shard_request, outcome=Outcome.ERROR, after=5.0)
    for _ in range(6):
        _, (shard_request,), _ = harness.query(shards=[0])
        assert harness.attempts[shard_request][0][1] != failing
        harness.end(shard_request, after=80.0)


def test_tokens_are_kept_for_queries_that_they_can_complete():
    """Hedges for a query with many missing responses would use up the tokens of others."""
    harness = harness_with_traffic(16)
    harness.policy.hedging.tokens, harness.policy.hedging.largest_query_tokens = 1.0, 5.0
    _, unanswered, _ = harness.query(shard_requests=6, shards=range(0, 12, 2))
    harness.run(300)
    assert all(len(harness.attempts[shard_request]) == 1 for shard_request in unanswered)
    for shard_request in unanswered[1:]:
        harness.end(shard_request)
    harness.run(10)
    assert len(harness.attempts[unanswered[0]]) == 2


def test_responses_after_a_stall_of_this_router_are_not_recorded():
    """A stall of this router must not be taken for slow endpoints."""
    harness = harness_with_traffic(2)
    _, (shard_request,), _ = harness.query(shards=[0])
    endpoint, slow_share = (
        harness.policy.endpoints[harness.attempts[shard_request][0][1]],
        harness.policy.latency.slow_share,
    )
    window = endpoint.window
    harness.end(shard_request, after=900.0)  # no timer event came meanwhile
    assert (endpoint.window, harness.policy.latency.slow_share) == (window, slow_share)


def test_a_request_with_key_past_its_deduplication_window_fails_at_once():
    """Otherwise a request that must not be retried would wait in the queue until the objective."""
    with_key = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        idempotency=routing.Idempotency.WITH_KEY,
        dedup_window=200.0,
    )
    harness = harness_with_traffic(2, with_key)
    query, (shard_request,), _ = harness.query(shards=[0])
    harness.run(300)
    actions = harness.end(shard_request, outcome=Outcome.ERROR)
    assert of_type(routing.Fail, actions) == [routing.Fail(query)]


def test_after_a_stall_overdue_queries_end_and_nothing_is_sent_for_them():
    """After a stall, nothing may be sent for a query whose client has gone."""
    harness = PolicyHarness(settings(), endpoints=(1,))
    queries = [harness.query(remaining=900.0) for _ in range(30)]
    waiting = [
        (query, shard_requests[0])
        for query, shard_requests, _ in queries
        if shard_requests[0] not in harness.attempts
    ]
    in_flight = [
        shard_requests[0]
        for _, shard_requests, _ in queries
        if shard_requests[0] in harness.attempts
    ]
    assert waiting and in_flight
    ends = [
        routing.AttemptEnded(shard_request, 0, 1, Outcome.SUCCEEDED, 100.0)
        for shard_request in in_flight
    ]
    drain = routing.EndpointListUpdate(
        routing.EndpointListKind.DELTA, (endpoint_entry(1, status=routing.EndpointStatus.DRAINING),)
    )
    actions = harness.step(*ends, drain, after=1500.0)
    assert not of_type(routing.Send, actions)
    ended = [
        a.query
        for a in of_type(routing.Answer, actions)
        + of_type(routing.Reject, actions)
        + of_type(routing.Fail, actions)
    ]
    assert sorted(ended) == sorted(query for query, _, _ in queries)


def test_the_first_ejection_is_proportional_to_the_objective():
    """A fixed ejection time would be too long for short objectives."""
    for objective in (400.0, 4000.0):
        harness = harness_with_traffic(
            2,
            routing.QueryClass(
                latency_objective=objective, deadline=4 * objective, priority_weight=1.0
            ),
            routers=1,
        )
        for _ in range(300):
            _, (shard_request,), _ = harness.query(shards=[0])
            harness.end(shard_request, after=5.0)
        _, (shard_request,), _ = harness.query(shards=[0])
        endpoint = harness.policy.endpoints[harness.attempts[shard_request][0][1]]
        harness.end(shard_request, outcome=Outcome.CONNECT_FAILED, after=20.0)
        assert endpoint.ejected_until - harness.now == INITIAL_EJECTION_SHARE * objective
