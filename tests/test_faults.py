"""Troubles seen at the later deployments, each as a small case without the bench."""

from helpers import Bench, endpoint_entry, of, settings

from tansycrank import routing
from tansycrank.routing import Outcome
from tansycrank.routing.outlier_ejection import FIRST_EJECTION_SHARE

NO_LATE_WORTH = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
IN_PART = routing.QueryClass(
    latency_objective=1000.0,
    deadline=4000.0,
    priority_weight=1.0,
    minimum_coverage=0.5,
    partial_weight=0.9,
)


def spread(count, *classes, **changes):
    """One server a shard and its next one, so that no two parts of a query need the same."""
    cfg = settings(*classes, shards=count, cells=count, replica_span=2, **changes)
    bench = Bench(cfg, endpoints=[endpoint_entry(s, cell=s) for s in range(count)])
    for _ in range(30):
        _, (shard_request,), _ = bench.query(shards=[bench.numbers % count])
        bench.end(shard_request, after=80.0)
        bench.run(50)
    return bench


def test_a_query_that_breaks_two_servers_and_is_answered_by_none_is_given_up():
    """A harmful query takes down every endpoint that begins one of its shard requests."""
    bench = spread(8)
    query, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    assert all(len(bench.attempts[shard_request]) == 1 for shard_request in shard_requests)
    for shard_request in shard_requests[:-1]:
        assert not of(routing.Send, bench.end(shard_request, outcome=Outcome.CONNECTION_LOST))
    acted = bench.end(shard_requests[-1], outcome=Outcome.CONNECTION_LOST)
    assert [a.query for a in of(routing.Reject, acted)] == [query] and not of(routing.Send, acted)


def test_an_answered_part_clears_its_query():
    """The other side: in a crash of servers a query with a part answered goes on at once."""
    bench = spread(8)
    _, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    bench.end(shard_requests[0])
    assert len(of(routing.Send, bench.end(shard_requests[1], outcome=Outcome.CONNECTION_LOST))) == 1


def test_an_attempt_times_out_when_its_answer_stops_being_of_use():
    """Where cancelling frees nothing, endpoints would go on working for queries that ended."""
    bench = spread(4, NO_LATE_WORTH)
    bench.query(shards=[0])
    send = of(routing.Send, bench.query(shards=[1])[2])[0]
    assert send.timeout == 1000.0


def test_a_time_out_alone_does_not_set_a_server_aside():
    """Otherwise a late query would eject all its endpoints at its objective."""
    bench = spread(4, NO_LATE_WORTH)
    _, (shard_request,), _ = bench.query(shards=[0])
    endpoint = bench.router.endpoints[bench.attempts[shard_request][0][1]]
    bench.end(shard_request, outcome=Outcome.TIMED_OUT, after=50.0)
    assert not endpoint.ejection_ms


def test_small_queries_send_a_pilot_where_most_answers_are_late():
    """Under overload, small queries sent at once lengthen the queues."""
    bench = spread(8)
    for _ in range(40):
        _, (shard_request,), _ = bench.query(shards=[bench.numbers % 8])
        bench.run(900)
        bench.end(shard_request, 0)
    _, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    assert sum(shard_request in bench.attempts for shard_request in shard_requests) == 1


def test_a_started_query_is_kept_for_its_answer_in_part():
    """Most of the weight is lost if a late probe ends the query before its partial answer."""
    bench = Bench(
        settings(IN_PART, shards=8, cells=8),
        endpoints=[endpoint_entry(s, cell=s) for s in range(8)],
    )
    query, shard_requests, _ = bench.query(shard_requests=8, shards=range(8))
    bench.run(500)
    sent = [shard_request for shard_request in shard_requests if shard_request in bench.attempts]
    acted = [
        action for shard_request in sent for action in bench.end(shard_request, 0)
    ] + bench.run(600)
    assert [a.query for a in of(routing.Answer, acted)] == [query]


def test_a_long_query_sends_one_part_ahead_where_its_aim_has_room():
    """A harmful query sent at once takes down all its endpoints together."""
    bench = spread(16)
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    assert [
        shard_request for shard_request in shard_requests if shard_request in bench.attempts
    ] == shard_requests[:1]
    bench.end(shard_requests[0], after=50.0)
    assert all(shard_request in bench.attempts for shard_request in shard_requests)


def test_a_late_pilot_frees_the_rest_unless_a_connection_broke():
    """One paused endpoint must not hold up every wide query of a quiet system."""
    bench = spread(16)
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    bench.run(400)
    assert all(shard_request in bench.attempts for shard_request in shard_requests)


def test_after_a_poisonous_query_every_query_sends_one_part_ahead():
    """Its client retries, and the same endpoints would be lost again."""
    bench = spread(8)
    _, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    bench.run(60)
    for shard_request in shard_requests:
        bench.end(shard_request, outcome=Outcome.CONNECTION_LOST)
    bench.step(
        routing.EndpointListUpdate(
            routing.EndpointListKind.SNAPSHOT, tuple(endpoint_entry(s, cell=s) for s in range(8))
        )
    )
    _, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    bench.run(60)
    assert sum(shard_request in bench.attempts for shard_request in shard_requests) == 1


def test_a_reset_on_an_unused_connection_says_nothing_of_its_server_and_is_not_met_twice():
    """Connections closed while idle must neither eject endpoints nor fail requests."""
    bench = spread(4)
    bench.run(3000)
    _, (shard_request,), _ = bench.query(shards=[0])
    endpoint = bench.attempts[shard_request][0][1]
    bench.end(shard_request, outcome=Outcome.CONNECTION_LOST, after=5.0)
    assert not bench.router.endpoints[endpoint].ejection_ms
    bench.run(3000)
    acted = bench.query(shards=[2])[2]
    send = of(routing.Send, acted)[0]
    assert of(routing.CloseIdleConnections, acted) == [routing.CloseIdleConnections(send.endpoint)]
    assert acted.index(routing.CloseIdleConnections(send.endpoint)) < acted.index(send)


def test_a_connection_that_breaks_under_work_sets_its_server_aside():
    """The other side: a server that dies with a part begun is not taken for an idle connection."""
    bench = spread(4)
    bench.run(3000)
    _, (shard_request,), _ = bench.query(shards=[0])
    endpoint = bench.attempts[shard_request][0][1]
    bench.end(shard_request, outcome=Outcome.CONNECTION_LOST, after=200.0)
    assert bench.router.endpoints[endpoint].ejection_ms


def test_a_small_query_waits_for_its_pilot_while_the_rest_can_be_in_time():
    """One late probe of a sound system must not reject small queries."""
    bench = spread(8)
    for _ in range(40):
        _, (shard_request,), _ = bench.query(shards=[bench.numbers % 8])
        bench.run(300)
        bench.end(shard_request, 0)
    _, shard_requests, _ = bench.query(shard_requests=4, shards=[0, 2, 4, 6])
    (pilot,) = [
        shard_request for shard_request in shard_requests if shard_request in bench.attempts
    ]
    assert not of(routing.Reject, bench.run(400))
    bench.end(pilot, 0)
    assert all(shard_request in bench.attempts for shard_request in shard_requests)


def test_a_server_that_fails_quickly_is_set_aside():
    """Quick errors keep the window of an endpoint free and attract more requests."""
    bench = spread(2, routers=1)
    _, (shard_request,), _ = bench.query(shards=[0])
    failing = bench.attempts[shard_request][0][1]
    bench.end(shard_request, outcome=Outcome.ERROR, after=5.0)
    for _ in range(6):
        _, (shard_request,), _ = bench.query(shards=[0])
        assert bench.attempts[shard_request][0][1] != failing
        bench.end(shard_request, after=80.0)


def test_tokens_are_kept_for_queries_that_they_can_make_whole():
    """Hedges for a query that misses many responses leave none for one that misses its last."""
    bench = spread(16)
    bench.router.hedging.tokens, bench.router.hedging.largest_query_tokens = 1.0, 5.0
    _, many, _ = bench.query(shard_requests=6, shards=range(0, 12, 2))
    bench.run(300)
    assert all(len(bench.attempts[shard_request]) == 1 for shard_request in many)
    for shard_request in many[1:]:
        bench.end(shard_request)
    bench.run(10)
    assert len(bench.attempts[many[0]]) == 2


def test_answers_after_this_router_stood_still_teach_nothing():
    """A stall of this router must not be taken for slow endpoints."""
    bench = spread(2)
    _, (shard_request,), _ = bench.query(shards=[0])
    endpoint, lateness = (
        bench.router.endpoints[bench.attempts[shard_request][0][1]],
        bench.router.latency.slow_share,
    )
    window = endpoint.window
    bench.end(shard_request, after=900.0)  # no wake-up came meanwhile
    assert (endpoint.window, bench.router.latency.slow_share) == (window, lateness)


def test_a_keyed_part_past_its_window_is_settled_at_once():
    """A request that may not be retried would wait in the queue until the objective."""
    keyed = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        idempotency=routing.Idempotency.WITH_KEY,
        dedup_window=200.0,
    )
    bench = spread(2, keyed)
    query, (shard_request,), _ = bench.query(shards=[0])
    bench.run(300)
    acted = bench.end(shard_request, outcome=Outcome.ERROR)
    assert of(routing.Fail, acted) == [routing.Fail(query)]


def test_after_a_stall_due_final_answers_come_and_nothing_is_sent_for_them():
    """After a stall, nothing may be sent for a query whose client has left."""
    bench = Bench(settings(), endpoints=(1,))
    queries = [bench.query(remaining=900.0) for _ in range(30)]
    waiting = [
        (query, shard_requests[0])
        for query, shard_requests, _ in queries
        if shard_requests[0] not in bench.attempts
    ]
    out = [
        shard_requests[0] for _, shard_requests, _ in queries if shard_requests[0] in bench.attempts
    ]
    assert waiting and out
    ends = [
        routing.AttemptEnded(shard_request, 0, 1, Outcome.SUCCEEDED, 100.0) for shard_request in out
    ]
    drain = routing.EndpointListUpdate(
        routing.EndpointListKind.DELTA, (endpoint_entry(1, status=routing.EndpointStatus.DRAINING),)
    )
    acted = bench.step(*ends, drain, after=1500.0)
    assert not of(routing.Send, acted)
    ended = [
        a.query
        for a in of(routing.Answer, acted) + of(routing.Reject, acted) + of(routing.Fail, acted)
    ]
    assert sorted(ended) == sorted(query for query, _, _ in queries)


def test_a_silent_server_is_tried_again_after_a_time_that_follows_the_aim():
    """A fixed ejection would be too long for short objectives."""
    for aim in (400.0, 4000.0):
        bench = spread(
            2,
            routing.QueryClass(latency_objective=aim, deadline=4 * aim, priority_weight=1.0),
            routers=1,
        )
        for _ in range(300):
            _, (shard_request,), _ = bench.query(shards=[0])
            bench.end(shard_request, after=5.0)
        _, (shard_request,), _ = bench.query(shards=[0])
        endpoint = bench.router.endpoints[bench.attempts[shard_request][0][1]]
        bench.end(shard_request, outcome=Outcome.CONNECT_FAILED, after=20.0)
        assert endpoint.ejected_until - bench.now == FIRST_EJECTION_SHARE * aim
