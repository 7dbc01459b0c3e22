"""Selection of the replica for an attempt."""

from helpers import PolicyHarness, endpoint_entry, settings

from tansycrank.routing import Outcome


def test_shard_requests_go_round_robin():
    harness = PolicyHarness(settings())
    endpoints = []
    for _ in range(6):
        _, (shard_request,), _ = harness.query()
        endpoints.append(harness.attempts[shard_request][0][1])
        harness.end(shard_request, after=50)
    assert endpoints[:3] == endpoints[3:] and len(set(endpoints[:3])) == 3


def test_an_endpoint_with_an_overdue_attempt_is_skipped_unless_all_have_one():
    harness = PolicyHarness(settings(allows_hedging=False))
    harness.run_traffic()
    _, (slow,), _ = harness.query()
    slow_endpoint = harness.attempts[slow][0][1]
    harness.run(300)
    for _ in range(6):
        _, (shard_request,), _ = harness.query()
        assert harness.attempts[shard_request][0][1] != slow_endpoint
        harness.end(shard_request, after=20)
    shard_requests = [harness.query()[1][0] for _ in range(2)]
    harness.run(300)
    assert len({harness.attempts[p][0][1] for p in shard_requests} | {slow_endpoint}) == 3
    _, (shard_request,), _ = harness.query()
    assert shard_request in harness.attempts


def test_the_local_zone_gets_more_positions_only_where_crossing_is_priced():
    for price, expected in ((0.04, 40), (0.0, 20)):
        harness = PolicyHarness(
            settings(price_crossing=price, zones=3),
            endpoints=[endpoint_entry(s, zone=s - 1) for s in (1, 2, 3)],
        )
        local = 0
        for _ in range(60):
            harness.policy.endpoints[
                1
            ].window = 1.0  # no spare capacity, so that the round-robin position decides
            _, (shard_request,), _ = harness.query()
            local += harness.attempts[shard_request][0][1] == 1
            harness.end(shard_request, after=50)
        assert local == expected


def test_a_failed_endpoint_is_skipped_even_if_all_others_are_late():
    harness = PolicyHarness(settings(allows_hedging=False), endpoints=(1, 2))
    harness.run_traffic(gap=0.0)
    _, (shard_request,), _ = harness.query()
    failed_endpoint = harness.attempts[shard_request][0][1]
    harness.end(shard_request, 0, Outcome.CONNECT_FAILED)
    harness.run(300)
    later = [harness.query()[1][0] for _ in range(4)]
    assert all(harness.attempts[p][0][1] != failed_endpoint for p in later)


def test_a_local_replica_with_spare_capacity_is_preferred_where_crossing_is_priced():
    endpoints = (endpoint_entry(1, zone=0), endpoint_entry(2, zone=1), endpoint_entry(3, zone=2))
    harness = PolicyHarness(settings(price_crossing=0.04), endpoints=endpoints)
    harness.policy.endpoints[1].window = 8.0
    chosen = []
    for _ in range(8):
        _, [shard_request], _ = harness.query()
        chosen.append(harness.attempts[shard_request][0][1])
    # Beyond half its window, round robin.
    assert chosen[:4] == [1, 1, 1, 1] and set(chosen[4:]) > {1}


def test_a_request_rejected_by_its_only_replica_is_retried_there_after_a_pause():
    """Without a pause, one full queue takes all attempts; without a retry, the request fails."""
    cold = [endpoint_entry(endpoint, started_at=100_000.0) for endpoint in (2, 3, 4)]
    for endpoints in ([endpoint_entry(1)], [endpoint_entry(1), *cold]):
        harness = PolicyHarness(
            settings(routers=1000, slow_start_window=3000.0), endpoints=endpoints
        )
        for endpoint in harness.policy.endpoints.values():
            # No allowance for the cold endpoints.
            endpoint.slow_start_draw_until = harness.now + 60_000.0
        harness.run_traffic(latency=60.0)
        _, [shard_request], _ = harness.query()
        harness.end(shard_request, outcome=Outcome.REJECTED, after=1.0)
        harness.run(50)
        assert len(harness.attempts[shard_request]) == 1
        harness.run(50)
        assert [endpoint for _, endpoint in harness.attempts[shard_request]] == [1, 1]
