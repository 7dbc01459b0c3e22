"""Ejection and readmission of endpoints."""

from helpers import PolicyHarness, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_an_ejected_endpoint_gets_one_readmission_attempt_at_a_time():
    harness = PolicyHarness(settings(), endpoints=(1, 2))
    harness.run_traffic(gap=0.0)
    _, (shard_request,), _ = harness.query()
    failed_endpoint = harness.attempts[shard_request][0][1]
    harness.end(shard_request, 0, Outcome.CONNECT_FAILED)
    harness.end(shard_request)
    harness.run(1100)
    shard_requests = [harness.query()[1][0] for _ in range(9)]
    attempted = [
        harness.attempts[shard_request][0][1]
        for shard_request in shard_requests
        if shard_request in harness.attempts
    ]
    assert attempted.count(failed_endpoint) == 1 and len(attempted) > 4


def test_a_late_attempt_at_a_responding_endpoint_ejects_nothing():
    harness = PolicyHarness(settings(), endpoints=(1, 2))
    harness.run_traffic(gap=0.0)
    _, (late,), _ = harness.query()
    busy = harness.attempts[late][0][1]
    others = [harness.query()[1][0] for _ in range(3)]
    harness.end(next(p for p in others if harness.attempts[p][0][1] == busy), after=20)
    harness.run(300)
    harness.step(routing.QueryCancelled(late - 1))
    harness.end(late, 0, Outcome.CANCELLED)
    assert not harness.policy.endpoints[busy].ejection_ms


def test_an_endpoint_that_gets_few_requests_is_ejected_for_longer():
    """After a short ejection, each of its rare requests would be a readmission attempt."""
    harness = PolicyHarness(settings(), endpoints=range(1, 61))
    harness.run(30_000)
    for _ in range(10):
        _, (shard_request,), _ = harness.query()
        harness.run(500)
        harness.end(shard_request)
    _, (shard_request,), _ = harness.query()
    failed_endpoint = harness.policy.endpoints[harness.attempts[shard_request][0][1]]
    harness.end(shard_request, 0, Outcome.CONNECTION_LOST)
    interval_ms = 60 * 35_000.0 / 11
    assert failed_endpoint.ejected_until - harness.now > interval_ms
