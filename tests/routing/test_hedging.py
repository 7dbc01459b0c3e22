"""Hedge delay, hedge tokens, and which hedges are sent."""

import pytest
from helpers import PolicyHarness, endpoint_entry, of_type, settings

from tansycrank import routing


def test_the_hedge_delay_is_assumed_at_first_and_measured_later():
    harness = PolicyHarness(settings())
    assert not of_type(routing.Send, harness.query()[2][1:])
    shard_request = next(iter(harness.attempts))
    harness.run(330)
    assert len(harness.attempts[shard_request]) == 1
    harness.run(20)  # the assumed delay is a third of the objective
    assert len(harness.attempts[shard_request]) == 2
    harness = PolicyHarness(settings())
    harness.run_traffic(latency=60.0, queries=100)
    _, (shard_request,), _ = harness.query()
    harness.run(50)
    assert len(harness.attempts[shard_request]) == 1
    harness.run(20)
    assert len(harness.attempts[shard_request]) == 2


def test_hedges_stay_near_a_tenth_of_shard_requests():
    harness = PolicyHarness(settings(), endpoints=range(1, 9))
    for _ in range(200):
        _, (shard_request,), _ = harness.query()
        harness.run(400)  # every response is slow
        harness.end(shard_request, 0)
    hedges = sum(len(sends) - 1 for sends in harness.attempts.values())
    assert 5 <= hedges <= 200 * 0.1 + 85 * 0.1 + 2


def test_hedge_tokens_never_exceed_a_configured_budget():
    harness = PolicyHarness(settings(budget_floor=0.0, budget_share=0.0, budget_window=1000.0))
    _, (shard_request,), _ = harness.query()
    harness.run(900)
    assert len(harness.attempts[shard_request]) == 1


def test_a_hedge_uses_another_endpoint_and_the_slower_attempt_is_cancelled():
    harness = PolicyHarness(settings())
    query, (shard_request,), _ = harness.query()
    harness.run(400)
    (_, first), (_, second) = harness.attempts[shard_request]
    assert first != second
    actions = harness.end(shard_request, 1)
    assert routing.Answer(query, True) in actions and routing.Cancel(shard_request, 0) in actions
    # The later response has no effect.
    assert not of_type(routing.Answer, harness.end(shard_request, 0))
    assert (
        not harness.policy.queries.attempts_in_flight
        and not harness.policy.queries.shard_requests
        and not harness.policy.queries.by_id
    )


def test_a_slow_endpoints_own_quantile_does_not_delay_its_hedge():
    harness = PolicyHarness(settings(), endpoints=(1, 2))
    for _ in range(60):
        _, (shard_request,), _ = harness.query()
        harness.end(shard_request, after=900 if harness.attempts[shard_request][0][1] == 1 else 50)
    hedge_delay_ms = harness.policy.latency.hedge_delay_ms(
        harness.policy.settings.classes[0], harness.policy.endpoints[1], harness.now
    )
    assert hedge_delay_ms <= 1000 / 3 + 1


def test_the_token_bucket_keeps_what_the_largest_query_earns():
    """With rare large queries, a bucket of one second of refill is always too small for them."""
    harness = PolicyHarness(
        settings(shards=40, cells=40), endpoints=[endpoint_entry(s, cell=s // 2) for s in range(80)]
    )
    harness.query(shard_requests=40, shards=range(40))
    harness.run(60_000)
    assert harness.policy.hedging.tokens == 4.0


def test_the_floor_of_a_configured_budget_counts_for_the_token_bucket():
    # Never hedged, so it spends no tokens.
    not_idempotent = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        idempotency=routing.Idempotency.NOT_IDEMPOTENT,
    )
    tokens = []
    for floor in (0.0, 5.0):
        harness = PolicyHarness(
            settings(not_idempotent, budget_floor=floor, budget_share=0.05, budget_window=2000.0)
        )
        for _ in range(80):
            _, (shard_request,), _ = harness.query()
            harness.end(shard_request, after=20.0)
        harness.run(5000)
        tokens.append(harness.policy.hedging.tokens)
    assert tokens[0] < tokens[1]


def test_a_hedge_waits_for_the_objective_where_wasted_work_has_a_price():
    for price, expected_delay in ((0.0, 50.0), (0.08, 700.0)):
        harness = PolicyHarness(settings(price_waste=price, tick=5.0))
        for _ in range(40):  # every response takes 50 ms
            _, [shard_request], _ = harness.query()
            harness.end(shard_request, after=50.0)
        arrived_at = harness.now
        _, [shard_request], _ = harness.query()
        harness.run(900.0)
        hedges = [when - arrived_at for when, _ in harness.attempts[shard_request][1:]]
        assert hedges and expected_delay <= hedges[0] <= expected_delay + 60.0


def three_missing_responses():
    """A first query of 32 shard requests of which three, at three endpoints, are unanswered."""
    harness = PolicyHarness(
        settings(shards=32, cells=32, replica_span=4, routers=200),
        endpoints=[endpoint_entry(endpoint, cell=endpoint % 32) for endpoint in range(1, 65)],
    )
    _, shard_requests, _ = harness.query(shard_requests=32, shards=list(range(32)))
    for shard_request in shard_requests[::8]:
        harness.end(shard_request, after=5.0)
    late = shard_requests[1:4]  # at three endpoints
    for shard_request in set(shard_requests) - set(shard_requests[::8]) - set(late):
        harness.end(shard_request)
    harness.run(600)
    return harness, late


def test_the_first_large_query_has_the_tokens_that_its_shard_requests_earn():
    """A router that rarely gets large queries must be able to hedge the first one."""
    harness, late = three_missing_responses()
    assert all(len(harness.attempts[shard_request]) == 2 for shard_request in late)


def test_all_missing_responses_of_a_query_are_hedged_in_one_step():
    """Hedging only one of three missing responses cannot complete the query in time."""
    harness, late = three_missing_responses()
    # All in one step, from 3.2 tokens.
    assert len({harness.attempts[shard_request][1][0] for shard_request in late}) == 1


def test_a_send_waits_for_its_connection_no_longer_than_its_hedge_delay():
    harness = PolicyHarness(settings())
    harness.run_traffic(latency=60.0)
    [send] = of_type(routing.Send, harness.query()[2])
    assert send.connect_timeout == pytest.approx(60.0, rel=0.05) and send.timeout > 900.0
