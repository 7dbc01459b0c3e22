"""Ejection and readmission of endpoints."""

from helpers import Bench, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_an_ejected_endpoint_gets_one_readmission_attempt_at_a_time():
    bench = Bench(settings(), endpoints=(1, 2))
    bench.teach(gap=0.0)
    _, (shard_request,), _ = bench.query()
    down = bench.attempts[shard_request][0][1]
    bench.end(shard_request, 0, Outcome.CONNECT_FAILED)
    bench.end(shard_request)
    bench.run(1100)
    shard_requests = [bench.query()[1][0] for _ in range(9)]
    tried = [
        bench.attempts[shard_request][0][1]
        for shard_request in shard_requests
        if shard_request in bench.attempts
    ]
    assert tried.count(down) == 1 and len(tried) > 4


def test_a_late_attempt_at_a_responding_endpoint_ejects_nothing():
    bench = Bench(settings(), endpoints=(1, 2))
    bench.teach(gap=0.0)
    _, (late,), _ = bench.query()
    busy = bench.attempts[late][0][1]
    others = [bench.query()[1][0] for _ in range(3)]
    bench.end(next(p for p in others if bench.attempts[p][0][1] == busy), after=20)
    bench.run(300)
    bench.step(routing.QueryCancelled(late - 1))
    bench.end(late, 0, Outcome.CANCELLED)
    assert not bench.router.endpoints[busy].ejection_ms


def test_an_endpoint_that_gets_few_requests_is_ejected_for_longer():
    """After a short ejection, each of few requests would be a readmission attempt."""
    bench = Bench(settings(), endpoints=range(1, 61))
    bench.run(30_000)
    for _ in range(10):
        _, (shard_request,), _ = bench.query()
        bench.run(500)
        bench.end(shard_request)
    _, (shard_request,), _ = bench.query()
    down = bench.router.endpoints[bench.attempts[shard_request][0][1]]
    bench.end(shard_request, 0, Outcome.CONNECTION_LOST)
    met = 60 * 35_000.0 / 11
    assert down.ejected_until - bench.now > met
