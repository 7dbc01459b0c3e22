"""Probe requests and partial answers."""

from helpers import PolicyHarness, endpoint_entry, of_type, settings

from tansycrank import routing


def test_probe_requests_are_sent_first_without_recent_responses():
    """A router with one query at a time may overload queues that it cannot observe."""
    harness = PolicyHarness(
        settings(shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    assert len(harness.attempts) == 2
    for shard_request in shard_requests[:2]:
        harness.end(shard_request, after=50.0)
    assert len(harness.attempts) == 16
    for shard_request in shard_requests[2:]:
        harness.end(shard_request)
    # Timely responses: a single probe, then the rest.
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    assert len(harness.attempts) == 17
    harness.end(shard_requests[0], after=50.0)
    assert len(harness.attempts) == 32
    harness.run(2000)
    late, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    actions = harness.run(900)  # no probe was answered while the rest could still be in time
    assert len(harness.attempts) == 34 and late in [
        a.query for a in of_type(routing.Reject, actions)
    ]


def test_a_query_with_partial_answers_probes_with_its_heaviest_requests():
    query_class = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        minimum_coverage=0.5,
        partial_weight=0.9,
    )
    harness = PolicyHarness(
        settings(query_class, shards=16, cells=16),
        endpoints=[endpoint_entry(s, cell=s) for s in range(16)],
    )
    weights = [0.02] * 14 + [0.4, 0.32]
    query, shard_requests, _ = harness.query(shard_requests=16, shards=range(16), weights=weights)
    assert set(harness.attempts) == {shard_requests[14], shard_requests[15]}
    harness.run(300)
    harness.end(shard_requests[14], 0)
    actions = harness.end(shard_requests[15], 0)
    assert (
        of_type(routing.Answer, actions) == [routing.Answer(query, False)]
        and len(harness.attempts) == 2
    )


def test_one_unanswered_probe_request_does_not_block_a_query():
    """One paused endpoint must not block a query while the others are idle."""
    harness = PolicyHarness(
        settings(shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    harness.end(shard_requests[0], after=50.0)
    assert len(harness.attempts) == 16


def test_a_second_step_has_a_third_of_the_objective_and_no_probe():
    """A second step that starts late or waits for a probe makes the answer late."""
    query_class = routing.QueryClass(
        latency_objective=900.0,
        deadline=4000.0,
        priority_weight=1.0,
        minimum_coverage=0.5,
        partial_weight=0.9,
        follow_up=3,
    )
    harness = PolicyHarness(
        settings(query_class, shards=16, cells=16),
        endpoints=[endpoint_entry(s, cell=s) for s in range(16)],
    )
    query, shard_requests, _ = harness.query(
        shard_requests=16, shards=range(16), weights=[0.55, 0.03] + [0.03] * 14
    )
    harness.end(shard_requests[0], after=10.0)
    actions = harness.run(620)
    assert (
        of_type(routing.Answer, actions) == [routing.Answer(query, False)]
        and harness.now <= 100_000.0 + 900.0 * 2 / 3 + 50
    )
    actions = harness.step(*(routing.ShardRequestArrived(9000 + i, 1, i, 1 / 3) for i in range(3)))
    assert len(of_type(routing.Send, actions)) == 3


def test_a_probe_is_hedged_in_time_where_wasted_work_has_a_price():
    """A hedge near the objective is too late: without its probe the query is rejected earlier."""
    harness = PolicyHarness(
        settings(price_waste=0.08, shards=16, cells=16, replica_span=2),
        endpoints=[endpoint_entry(s, cell=s % 16) for s in range(32)],
    )
    for number in range(40):
        _, [shard_request], _ = harness.query(shards=[number % 16])
        harness.end(shard_request, after=50.0)
    harness.run(2000)  # no recent response: the next large query probes
    arrived_at = harness.now
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    probes = [
        shard_request for shard_request in shard_requests if shard_request in harness.attempts
    ]
    harness.run(200)
    assert len(probes) == 2
    hedges = [
        harness.attempts[shard_request][1][0] - arrived_at
        for shard_request in probes
        if len(harness.attempts[shard_request]) == 2
    ]
    assert hedges and min(hedges) < 100.0


def test_probes_without_any_response_are_hedged_before_their_query_is_rejected():
    """The delay assumed before the first response exceeds the time until the rejection."""
    harness = PolicyHarness(
        settings(price_waste=0.08, shards=16, cells=16, replica_span=2),
        endpoints=[endpoint_entry(s, cell=s % 16) for s in range(32)],
    )
    _, shard_requests, _ = harness.query(shard_requests=16, shards=range(16))
    probes = [
        shard_request for shard_request in shard_requests if shard_request in harness.attempts
    ]
    harness.run(200)
    assert len(probes) == 2 and any(
        len(harness.attempts[shard_request]) == 2 for shard_request in probes
    )
