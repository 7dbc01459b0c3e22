"""Discovery calls and endpoint list updates."""

from helpers import Bench, endpoint_entry, of, settings

from tansycrank import routing


def test_discovery_is_called_at_start_and_again_after_a_failure():
    bench = Bench(settings(polls_discovery=True))
    assert routing.WatchEndpoints(True) in bench.done[0][1]
    bench.step(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
    assert not of(routing.WatchEndpoints, bench.done[-1][1])
    assert of(routing.WatchEndpoints, bench.run(400))


def test_a_restarted_endpoint_loses_its_latencies():
    bench = Bench(settings(), endpoints=(1,))
    bench.teach()
    bench.step(
        routing.EndpointListUpdate(
            routing.EndpointListKind.DELTA, (endpoint_entry(1, started_at=bench.now),)
        )
    )
    assert bench.router.endpoints[1].latencies.count(bench.now) == 0


def test_removed_endpoints_are_forgotten_once_nothing_refers_to_them():
    """Endpoints replaced under new ids must not add up; slow start still counts recent sends."""
    bench = Bench(settings(), endpoints=(1, 2))
    _, [shard_request], _ = bench.query()
    endpoint = bench.attempts[shard_request][0][1]
    gone = routing.EndpointListUpdate(
        routing.EndpointListKind.DELTA,
        (endpoint_entry(endpoint, status=routing.EndpointStatus.REMOVED),),
    )
    bench.step(gone)
    assert endpoint in bench.router.endpoints  # a part of ours is out there
    bench.end(shard_request, after=20.0)
    bench.step(gone)
    assert endpoint in bench.router.endpoints  # its cold window still counts that part
    bench.step(gone, after=bench.router.settings.slow_start_window + 2 * bench.tick)
    assert endpoint not in bench.router.endpoints
    for fresh in range(10, 200):
        bench.step(
            routing.EndpointListUpdate(routing.EndpointListKind.DELTA, (endpoint_entry(fresh),))
        )
        bench.step(
            routing.EndpointListUpdate(
                routing.EndpointListKind.DELTA,
                (endpoint_entry(fresh, status=routing.EndpointStatus.REMOVED),),
            )
        )
    assert len(bench.router.endpoints) == 1
