"""Responses whose rows are streamed to the client."""

from helpers import PolicyHarness, of_type, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_a_started_response_counts_as_answer_and_is_neither_hedged_nor_cancelled():
    harness = PolicyHarness(settings())
    harness.run_traffic()
    query, (one, two), _ = harness.query(shard_requests=2)
    first = harness.attempts[one][0][1]
    assert not of_type(
        routing.Answer, harness.step(routing.ResponseStarted(one, 0, first, 50.0), after=50.0)
    )
    actions = harness.end(two, after=50.0)
    assert of_type(routing.Answer, actions) == [routing.Answer(query, True)]
    assert not of_type(routing.Cancel, actions)  # its rows are being sent to the client
    harness.run(3000)
    assert len(harness.attempts[one]) == 1


def test_a_stream_leaves_the_window_at_once_and_its_length_is_not_recorded():
    harness = PolicyHarness(settings(), endpoints=(1,))
    harness.run_traffic()
    endpoint = harness.policy.endpoints[1]
    window, count = endpoint.window, endpoint.latencies.count(harness.now)
    _, (shard_request,), _ = harness.query()
    harness.step(routing.ResponseStarted(shard_request, 0, 1, 100.0), after=100.0)
    assert endpoint.in_flight == 0 and endpoint.latencies.count(harness.now) == count + 1
    harness.run(30_000)
    harness.end(shard_request, 0)
    assert endpoint.in_flight == 0 and endpoint.overdue == 0 and endpoint.window >= window


def test_a_lost_stream_ejects_its_endpoint_and_is_not_retried():
    harness = PolicyHarness(settings())
    harness.run_traffic()
    _, (shard_request,), _ = harness.query()
    endpoint = harness.attempts[shard_request][0][1]
    harness.step(routing.ResponseStarted(shard_request, 0, endpoint, 50.0), after=50.0)
    harness.end(shard_request, 0, Outcome.CONNECTION_LOST, after=500.0)
    harness.run(900)
    assert len(harness.attempts[shard_request]) == 1 and harness.policy.endpoints[
        endpoint
    ].is_avoided(harness.now)


def test_the_other_attempt_of_a_stream_is_cancelled():
    harness = PolicyHarness(settings())
    harness.run_traffic(queries=60)
    _, (shard_request,), _ = harness.query()
    harness.run(400)
    assert len(harness.attempts[shard_request]) == 2
    actions = harness.step(
        routing.ResponseStarted(shard_request, 1, harness.attempts[shard_request][1][1], 100.0)
    )
    assert of_type(routing.Cancel, actions) == [routing.Cancel(shard_request, 0)]
