"""Which replica gets the next attempt."""

from helpers import Bench, endpoint_entry, settings

from tansycrank.routing import Outcome


def test_shard_requests_go_round_robin():
    bench = Bench(settings())
    endpoints = []
    for _ in range(6):
        _, (shard_request,), _ = bench.query()
        endpoints.append(bench.attempts[shard_request][0][1])
        bench.end(shard_request, after=50)
    assert endpoints[:3] == endpoints[3:] and len(set(endpoints[:3])) == 3


def test_an_endpoint_with_an_overdue_attempt_is_skipped_unless_all_have_one():
    bench = Bench(settings(allows_hedging=False))
    bench.teach()
    _, (slow,), _ = bench.query()
    sick = bench.attempts[slow][0][1]
    bench.run(300)
    for _ in range(6):
        _, (shard_request,), _ = bench.query()
        assert bench.attempts[shard_request][0][1] != sick
        bench.end(shard_request, after=20)
    shard_requests = [bench.query()[1][0] for _ in range(2)]
    bench.run(300)
    assert len({bench.attempts[p][0][1] for p in shard_requests} | {sick}) == 3
    _, (shard_request,), _ = bench.query()
    assert shard_request in bench.attempts


def test_the_local_zone_gets_more_positions_only_where_crossing_is_priced():
    for price, most in ((0.04, 40), (0.0, 20)):
        bench = Bench(
            settings(price_crossing=price, zones=3),
            endpoints=[endpoint_entry(s, zone=s - 1) for s in (1, 2, 3)],
        )
        near = 0
        for _ in range(60):
            bench.router.endpoints[1].window = 1.0  # no spare room: the turns decide
            _, (shard_request,), _ = bench.query()
            near += bench.attempts[shard_request][0][1] == 1
            bench.end(shard_request, after=50)
        assert near == most


def test_a_failed_endpoint_is_skipped_even_if_all_others_are_late():
    bench = Bench(settings(allows_hedging=False), endpoints=(1, 2))
    bench.teach(gap=0.0)
    _, (shard_request,), _ = bench.query()
    dead = bench.attempts[shard_request][0][1]
    bench.end(shard_request, 0, Outcome.CONNECT_FAILED)
    bench.run(300)
    later = [bench.query()[1][0] for _ in range(4)]
    assert all(bench.attempts[p][0][1] != dead for p in later)


def test_a_local_replica_with_spare_room_goes_first_where_crossing_costs():
    endpoints = (endpoint_entry(1, zone=0), endpoint_entry(2, zone=1), endpoint_entry(3, zone=2))
    bench = Bench(settings(price_crossing=0.04), endpoints=endpoints)
    bench.router.endpoints[1].window = 8.0
    chosen = []
    for _ in range(8):
        _, [shard_request], _ = bench.query()
        chosen.append(bench.attempts[shard_request][0][1])
    assert chosen[:4] == [1, 1, 1, 1] and set(chosen[4:]) > {
        1
    }  # beyond half its window the turns decide


def test_a_request_rejected_by_its_only_replica_is_retried_there_after_a_pause():
    """At once, all attempts would be spent at one full queue; never, its later room is lost."""
    cold = [endpoint_entry(endpoint, started_at=100_000.0) for endpoint in (2, 3, 4)]
    for endpoints in ([endpoint_entry(1)], [endpoint_entry(1), *cold]):
        bench = Bench(settings(routers=1000, slow_start_window=3000.0), endpoints=endpoints)
        for endpoint in bench.router.endpoints.values():
            endpoint.slow_start_draw_until = bench.now + 60_000.0  # the cold ones have no lot
        bench.teach(latency=60.0)
        _, [shard_request], _ = bench.query()
        bench.end(shard_request, outcome=Outcome.REJECTED, after=1.0)
        bench.run(50)
        assert len(bench.attempts[shard_request]) == 1
        bench.run(50)
        assert [endpoint for _, endpoint in bench.attempts[shard_request]] == [1, 1]
