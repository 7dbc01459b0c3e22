"""The admission queue, rejections, and the concurrency windows."""

from helpers import PolicyHarness, of_type, settings

from tansycrank import routing
from tansycrank.routing import Outcome


def test_shard_requests_queue_when_all_windows_are_full_and_the_oldest_go_first():
    harness = PolicyHarness(settings(), endpoints=(1,))
    shard_requests = [harness.query()[1][0] for _ in range(12)]
    assert set(harness.attempts) == set(shard_requests[:6])
    harness.end(shard_requests[0], after=50)
    assert shard_requests[6] in harness.attempts and shard_requests[7] not in harness.attempts


def test_a_query_that_could_not_start_is_rejected_early_with_retry_after():
    harness = PolicyHarness(settings(can_retry_after=True, max_retry_after=100.0), endpoints=(1,))
    for _ in range(6):
        harness.query()
    late, _, _ = harness.query()
    actions = harness.run(500)
    assert routing.Reject(late, 100.0) in actions


def test_a_busy_endpoint_is_refilled_several_requests_at_a_time_where_calls_cost_work():
    harness = PolicyHarness(settings(call_work=50.0, call_batch_size=8), endpoints=(1,))
    shard_requests = [harness.query()[1][0] for _ in range(20)]
    calls = [
        len(of_type(routing.Send, harness.end(shard_request, after=5)))
        for shard_request in shard_requests[:7]
    ]
    assert calls == [3, 0, 0, 3, 0, 0, 3]


def test_late_cancellations_decrease_the_window_without_any_response():
    """If all attempts are cancelled at the objective, no response shows that queues are long."""
    query_class = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
    harness = PolicyHarness(settings(query_class, allows_hedging=False), endpoints=(1,))
    harness.run_traffic(latency=60.0, queries=30)
    before = harness.policy.endpoints[1].window
    shard_requests = [harness.query()[1][0] for _ in range(5)]
    harness.end(shard_requests[0], after=50)
    harness.run(1000)
    for shard_request in shard_requests[1:]:
        harness.end(shard_request, 0, Outcome.CANCELLED)
    assert harness.policy.endpoints[1].window < before


def test_a_long_queue_does_not_raise_the_bound_for_slow_responses():
    harness = PolicyHarness(settings(), endpoints=(1,))
    harness.run_traffic(latency=60.0, queries=40)
    threshold = harness.policy.latency.slow_threshold_ms
    harness.run_traffic(latency=900.0, queries=60)
    assert harness.policy.latency.slow_threshold_ms == threshold


def test_queries_of_high_priority_are_sent_first():
    low_priority = routing.QueryClass(
        latency_objective=1000.0, deadline=4000.0, priority_weight=1.0
    )
    high_priority = routing.QueryClass(
        latency_objective=1000.0, deadline=4000.0, priority_weight=5.0
    )
    harness = PolicyHarness(settings(low_priority, high_priority), endpoints=(1,))
    harness.query(query_class=1)
    held = [harness.query(query_class=0)[1][0] for _ in range(6)]
    _, (first,), _ = harness.query(query_class=1)
    harness.end(held[0], after=50)
    assert first in harness.attempts and held[5] not in harness.attempts


def test_the_queue_is_ordered_by_the_latest_start_not_by_age():
    long = routing.QueryClass(latency_objective=4000.0, deadline=8000.0, priority_weight=1.0)
    short = routing.QueryClass(latency_objective=1000.0, deadline=4000.0, priority_weight=1.0)
    harness = PolicyHarness(settings(long, short), endpoints=(1,))
    held = [harness.query(query_class=0, remaining=8000.0)[1][0] for _ in range(8)]
    harness.run(50)
    _, (fresh,), _ = harness.query(query_class=1)
    harness.end(held[0], after=10)
    assert fresh in harness.attempts and held[7] not in harness.attempts


def test_windows_start_at_one_routers_share_of_an_endpoint():
    windows = [PolicyHarness(settings(routers=n)).policy.endpoints[1].window for n in (1, 3, 40)]
    assert windows[0] > windows[1] > windows[2] >= 1.0
