"""The admission queue, its rejections, and the windows behind it."""

from helpers import Bench, of, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_shard_requests_queue_when_all_windows_are_full_and_the_oldest_go_first():
    bench = Bench(settings(), endpoints=(1,))
    shard_requests = [bench.query()[1][0] for _ in range(12)]
    assert set(bench.attempts) == set(shard_requests[:6])
    bench.end(shard_requests[0], after=50)
    assert shard_requests[6] in bench.attempts and shard_requests[7] not in bench.attempts


def test_a_query_that_could_not_start_is_rejected_early_with_retry_after():
    bench = Bench(settings(can_retry_after=True, max_retry_after=100.0), endpoints=(1,))
    for _ in range(6):
        bench.query()
    late, _, _ = bench.query()
    acted = bench.run(500)
    assert routing.Reject(late, 100.0) in acted


def test_a_busy_endpoint_is_refilled_several_requests_at_a_time_where_calls_cost_work():
    bench = Bench(settings(call_work=50.0, call_batch_size=8), endpoints=(1,))
    shard_requests = [bench.query()[1][0] for _ in range(20)]
    calls = [
        len(of(routing.Send, bench.end(shard_request, after=5)))
        for shard_request in shard_requests[:7]
    ]
    assert calls == [3, 0, 0, 3, 0, 0, 3]


def test_attempts_cancelled_late_narrow_the_window_without_any_response():
    """If all attempts end at the objective, no response shows that the queues are too long."""
    cls = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
    bench = Bench(settings(cls, allows_hedging=False), endpoints=(1,))
    bench.teach(latency=60.0, answers=30)
    before = bench.router.endpoints[1].window
    shard_requests = [bench.query()[1][0] for _ in range(5)]
    bench.end(shard_requests[0], after=50)
    bench.run(1000)
    for shard_request in shard_requests[1:]:
        bench.end(shard_request, 0, Outcome.CANCELLED)
    assert bench.router.endpoints[1].window < before


def test_a_long_queue_does_not_raise_the_bound_for_slow_responses():
    bench = Bench(settings(), endpoints=(1,))
    bench.teach(latency=60.0, answers=40)
    bar = bench.router.latency.slow_threshold_ms
    bench.teach(latency=900.0, answers=60)
    assert bench.router.latency.slow_threshold_ms == bar


def test_queries_of_high_priority_go_ahead_in_the_queue():
    cheap = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
    dear = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=5.0)
    bench = Bench(settings(cheap, dear), endpoints=(1,))
    bench.query(query_class=1)
    held = [bench.query(query_class=0)[1][0] for _ in range(6)]
    _, (first,), _ = bench.query(query_class=1)
    bench.end(held[0], after=50)
    assert first in bench.attempts and held[5] not in bench.attempts


def test_the_queue_is_ordered_by_the_latest_start_not_by_age():
    long = routing.QueryClass(latency_objective=4000.0, deadline=8000.0, priority_weight=1.0)
    short = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
    bench = Bench(settings(long, short), endpoints=(1,))
    held = [bench.query(query_class=0, remaining=8000.0)[1][0] for _ in range(8)]
    bench.run(50)
    _, (fresh,), _ = bench.query(query_class=1)
    bench.end(held[0], after=10)
    assert fresh in bench.attempts and held[7] not in bench.attempts


def test_windows_start_at_one_routers_share_of_an_endpoint():
    first = [Bench(settings(routers=n)).router.endpoints[1].window for n in (1, 3, 40)]
    assert first[0] > first[1] > first[2] >= 1.0
