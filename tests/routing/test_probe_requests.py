"""Probe requests and partial answers."""

from helpers import Bench, endpoint_entry, of, settings

from tansycrank import routing


def test_probe_requests_go_ahead_without_recent_responses():
    """A router with one query at a time fills queues that it cannot see."""
    bench = Bench(
        settings(shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    assert len(bench.attempts) == 2
    for shard_request in shard_requests[:2]:
        bench.end(shard_request, after=50.0)
    assert len(bench.attempts) == 16
    for shard_request in shard_requests[2:]:
        bench.end(shard_request)
    _, shard_requests, _ = bench.query(
        shard_requests=16, shards=range(16)
    )  # quick answers: one part, then all at once
    assert len(bench.attempts) == 17
    bench.end(shard_requests[0], after=50.0)
    assert len(bench.attempts) == 32
    bench.run(2000)
    late, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    acted = bench.run(900)  # the pilot is unanswered when the rest could not be in time any more
    assert len(bench.attempts) == 34 and late in [a.query for a in of(routing.Reject, acted)]


def test_a_query_with_partial_answers_probes_with_its_heaviest_requests():
    cls = routing.QueryClass(
        latency_objective=1000.0,
        deadline=4000.0,
        priority_weight=1.0,
        minimum_coverage=0.5,
        partial_weight=0.9,
    )
    bench = Bench(
        settings(cls, shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    weights = [0.02] * 14 + [0.4, 0.32]
    query, shard_requests, _ = bench.query(shard_requests=16, shards=range(16), weights=weights)
    assert set(bench.attempts) == {shard_requests[14], shard_requests[15]}
    bench.run(300)
    bench.end(shard_requests[14], 0)
    acted = bench.end(shard_requests[15], 0)
    assert of(routing.Answer, acted) == [routing.Answer(query, False)] and len(bench.attempts) == 2


def test_one_unanswered_probe_request_does_not_block_a_query():
    """One paused endpoint must not block a query of a quiet system."""
    bench = Bench(
        settings(shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    bench.end(shard_requests[0], after=50.0)
    assert len(bench.attempts) == 16


def test_a_second_step_has_a_third_of_the_objective_and_no_probe():
    """A second step that starts late, or waits for a probe, makes the whole answer late."""
    cls = routing.QueryClass(
        latency_objective=900.0,
        deadline=4000.0,
        priority_weight=1.0,
        minimum_coverage=0.5,
        partial_weight=0.9,
        follow_up=3,
    )
    bench = Bench(
        settings(cls, shards=16, cells=16), endpoints=[endpoint_entry(s, cell=s) for s in range(16)]
    )
    query, shard_requests, _ = bench.query(
        shard_requests=16, shards=range(16), weights=[0.55, 0.03] + [0.03] * 14
    )
    bench.end(shard_requests[0], after=10.0)
    acted = bench.run(620)
    assert (
        of(routing.Answer, acted) == [routing.Answer(query, False)]
        and bench.now <= 100_000.0 + 900.0 * 2 / 3 + 50
    )
    seconds = bench.step(*(routing.ShardRequestArrived(9000 + i, 1, i, 1 / 3) for i in range(3)))
    assert len(of(routing.Send, seconds)) == 3


def test_a_probe_is_hedged_in_time_where_wasted_work_has_a_price():
    """A hedge sent near the objective comes after the query was rejected for want of its probe."""
    bench = Bench(
        settings(price_waste=0.08, shards=16, cells=16, replica_span=2),
        endpoints=[endpoint_entry(s, cell=s % 16) for s in range(32)],
    )
    for number in range(40):
        _, [shard_request], _ = bench.query(shards=[number % 16])
        bench.end(shard_request, after=50.0)
    bench.run(2000)  # no recent answer: the next wide query sends pilots
    born = bench.now
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    pilots = [shard_request for shard_request in shard_requests if shard_request in bench.attempts]
    bench.run(200)
    assert len(pilots) == 2
    copies = [
        bench.attempts[shard_request][1][0] - born
        for shard_request in pilots
        if len(bench.attempts[shard_request]) == 2
    ]
    assert copies and min(copies) < 100.0


def test_probes_without_any_response_are_hedged_before_their_query_is_rejected():
    """The delay assumed before any response is longer than the time until the rejection."""
    bench = Bench(
        settings(price_waste=0.08, shards=16, cells=16, replica_span=2),
        endpoints=[endpoint_entry(s, cell=s % 16) for s in range(32)],
    )
    _, shard_requests, _ = bench.query(shard_requests=16, shards=range(16))
    pilots = [shard_request for shard_request in shard_requests if shard_request in bench.attempts]
    bench.run(200)
    assert len(pilots) == 2 and any(
        len(bench.attempts[shard_request]) == 2 for shard_request in pilots
    )
