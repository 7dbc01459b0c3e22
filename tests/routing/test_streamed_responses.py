"""Responses whose rows go to the client as they come."""

from helpers import Bench, of, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_a_started_response_counts_and_is_neither_hedged_nor_cancelled():
    bench = Bench(settings())
    bench.teach()
    query, (one, two), _ = bench.query(shard_requests=2)
    first = bench.attempts[one][0][1]
    assert not of(
        routing.Answer, bench.step(routing.ResponseStarted(one, 0, first, 50.0), after=50.0)
    )
    actions = bench.end(two, after=50.0)
    assert of(routing.Answer, actions) == [routing.Answer(query, True)]
    assert not of(routing.Cancel, actions)  # its rows are on their way to the client
    bench.run(3000)
    assert len(bench.attempts[one]) == 1


def test_a_stream_leaves_the_window_at_once_and_its_length_is_not_recorded():
    bench = Bench(settings(), endpoints=(1,))
    bench.teach()
    endpoint = bench.router.endpoints[1]
    window, count = endpoint.window, endpoint.latencies.count(bench.now)
    _, (shard_request,), _ = bench.query()
    bench.step(routing.ResponseStarted(shard_request, 0, 1, 100.0), after=100.0)
    assert endpoint.in_flight == 0 and endpoint.latencies.count(bench.now) == count + 1
    bench.run(30_000)
    bench.end(shard_request, 0)
    assert endpoint.in_flight == 0 and endpoint.overdue == 0 and endpoint.window >= window


def test_a_stream_that_is_lost_ejects_its_endpoint_and_is_not_sent_again():
    bench = Bench(settings())
    bench.teach()
    _, (shard_request,), _ = bench.query()
    endpoint = bench.attempts[shard_request][0][1]
    bench.step(routing.ResponseStarted(shard_request, 0, endpoint, 50.0), after=50.0)
    bench.end(shard_request, 0, Outcome.CONNECTION_LOST, after=500.0)
    bench.run(900)
    assert len(bench.attempts[shard_request]) == 1 and bench.router.endpoints[endpoint].is_avoided(
        bench.now
    )


def test_the_other_attempt_of_a_stream_is_cancelled():
    bench = Bench(settings())
    bench.teach(answers=60)
    _, (shard_request,), _ = bench.query()
    bench.run(400)
    assert len(bench.attempts[shard_request]) == 2
    actions = bench.step(
        routing.ResponseStarted(shard_request, 1, bench.attempts[shard_request][1][1], 100.0)
    )
    assert of(routing.Cancel, actions) == [routing.Cancel(shard_request, 0)]
