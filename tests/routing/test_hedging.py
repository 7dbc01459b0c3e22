"""Hedge delay, hedge tokens, and which hedges are sent."""

import pytest
from helpers import Bench, endpoint_entry, of, settings

from tansycrank import routing


def test_the_hedge_delay_is_assumed_at_first_then_learnt():
    bench = Bench(settings())
    assert not of(routing.Send, bench.query()[2][1:])
    shard_request = next(iter(bench.attempts))
    bench.run(330)
    assert len(bench.attempts[shard_request]) == 1
    bench.run(20)  # a third of the aim
    assert len(bench.attempts[shard_request]) == 2
    bench = Bench(settings())
    bench.teach(latency=60.0, answers=100)
    _, (shard_request,), _ = bench.query()
    bench.run(50)
    assert len(bench.attempts[shard_request]) == 1
    bench.run(20)
    assert len(bench.attempts[shard_request]) == 2


def test_hedges_stay_near_a_tenth_of_shard_requests():
    bench = Bench(settings(), endpoints=range(1, 9))
    for _ in range(200):
        _, (shard_request,), _ = bench.query()
        bench.run(400)  # every part is slow
        bench.end(shard_request, 0)
    copies = sum(len(sends) - 1 for sends in bench.attempts.values())
    assert 5 <= copies <= 200 * 0.1 + 85 * 0.1 + 2


def test_hedge_tokens_never_exceed_a_configured_budget():
    bench = Bench(settings(budget_floor=0.0, budget_share=0.0, budget_window=1000.0))
    _, (shard_request,), _ = bench.query()
    bench.run(900)
    assert len(bench.attempts[shard_request]) == 1


def test_a_hedge_goes_elsewhere_the_first_response_wins_the_other_is_cancelled():
    bench = Bench(settings())
    query, (shard_request,), _ = bench.query()
    bench.run(400)
    (_, first), (_, second) = bench.attempts[shard_request]
    assert first != second
    acted = bench.end(shard_request, 1)
    assert routing.Answer(query, True) in acted and routing.Cancel(shard_request, 0) in acted
    assert not of(routing.Answer, bench.end(shard_request, 0))  # a late twin changes nothing
    assert (
        not bench.router.queries.attempts_in_flight
        and not bench.router.queries.shard_requests
        and not bench.router.queries.by_id
    )


def test_a_slow_endpoints_own_quantile_does_not_delay_its_hedge():
    bench = Bench(settings(), endpoints=(1, 2))
    for _ in range(60):
        _, (shard_request,), _ = bench.query()
        bench.end(shard_request, after=900 if bench.attempts[shard_request][0][1] == 1 else 50)
    timer = bench.router.latency.hedge_delay_ms(
        bench.router.settings.classes[0], bench.router.endpoints[1], bench.now
    )
    assert timer <= 1000 / 3 + 1


def test_the_token_bucket_keeps_what_the_largest_query_earns():
    """With rare wide queries, a bucket of one second of refill is empty for each of them."""
    bench = Bench(
        settings(shards=40, cells=40), endpoints=[endpoint_entry(s, cell=s // 2) for s in range(80)]
    )
    bench.query(shard_requests=40, shards=range(40))
    bench.run(60_000)
    assert bench.router.hedging.tokens == 4.0


def test_the_floor_of_a_configured_budget_counts_for_the_token_bucket():
    unsafe = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        idempotency=routing.Idempotency.NOT_IDEMPOTENT,
    )  # spends no token
    tokens = []
    for floor in (0.0, 5.0):
        bench = Bench(settings(unsafe, budget_floor=floor, budget_share=0.05, budget_window=2000.0))
        for _ in range(80):
            _, (shard_request,), _ = bench.query()
            bench.end(shard_request, after=20.0)
        bench.run(5000)
        tokens.append(bench.router.hedging.tokens)
    assert tokens[0] < tokens[1]


def test_a_hedge_waits_for_the_objective_where_wasted_work_has_a_price():
    for price, first in ((0.0, 50.0), (0.08, 700.0)):
        bench = Bench(settings(price_waste=price, tick=5.0))
        for _ in range(40):  # every answer takes 50 ms
            _, [shard_request], _ = bench.query()
            bench.end(shard_request, after=50.0)
        born = bench.now
        _, [shard_request], _ = bench.query()
        bench.run(900.0)
        copies = [when - born for when, _ in bench.attempts[shard_request][1:]]
        assert copies and first <= copies[0] <= first + 60.0


def three_parts_late():
    """A thin router's first query, of 32 parts: all but three, at three servers, are in."""
    bench = Bench(
        settings(shards=32, cells=32, replica_span=4, routers=200),
        endpoints=[endpoint_entry(endpoint, cell=endpoint % 32) for endpoint in range(1, 65)],
    )
    _, shard_requests, _ = bench.query(shard_requests=32, shards=list(range(32)))
    for shard_request in shard_requests[::8]:
        bench.end(shard_request, after=5.0)
    late = shard_requests[1:4]  # at three servers
    for shard_request in set(shard_requests) - set(shard_requests[::8]) - set(late):
        bench.end(shard_request)
    bench.run(600)
    return bench, late


def test_the_first_wide_query_has_the_tokens_that_its_shard_requests_earn():
    """A router that gets few wide queries must be able to hedge the first one."""
    bench, late = three_parts_late()
    assert all(len(bench.attempts[shard_request]) == 2 for shard_request in late)


def test_tokens_suffice_for_the_rest_once_the_first_hedge_is_sent():
    """If one of three missing responses is hedged and the others are not, the query is lost."""
    bench, late = three_parts_late()
    assert (
        len({bench.attempts[shard_request][1][0] for shard_request in late}) == 1
    )  # all in one step, of 3.2 tokens


def test_a_send_waits_for_its_connection_no_longer_than_its_hedge_delay():
    bench = Bench(settings())
    bench.teach(latency=60.0)
    [send] = of(routing.Send, bench.query()[2])
    assert send.connect_timeout == pytest.approx(60.0, rel=0.05) and send.timeout > 900.0
