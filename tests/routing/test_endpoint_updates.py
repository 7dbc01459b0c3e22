"""Discovery calls and endpoint list updates."""

from helpers import PolicyHarness, endpoint_entry, of_type, settings

from tansycrank import routing


def test_discovery_is_called_at_start_and_again_after_a_failure():
    harness = PolicyHarness(settings(polls_discovery=True))
    assert routing.WatchEndpoints(True) in harness.steps[0][1]
    harness.step(routing.EndpointListUpdate(routing.EndpointListKind.FAILED))
    assert not of_type(routing.WatchEndpoints, harness.steps[-1][1])
    assert of_type(routing.WatchEndpoints, harness.run(400))


def test_the_latencies_of_a_restarted_endpoint_are_dropped():
    harness = PolicyHarness(settings(), endpoints=(1,))
    harness.run_traffic()
    harness.step(
        routing.EndpointListUpdate(
            routing.EndpointListKind.DELTA, (endpoint_entry(1, started_at=harness.now),)
        )
    )
    assert harness.policy.endpoints[1].latencies.count(harness.now) == 0


def test_removed_endpoints_are_dropped_once_nothing_refers_to_them():
    """Endpoints replaced under new ids must not accumulate; slow start still counts sends."""
    harness = PolicyHarness(settings(), endpoints=(1, 2))
    _, [shard_request], _ = harness.query()
    endpoint = harness.attempts[shard_request][0][1]
    removal = routing.EndpointListUpdate(
        routing.EndpointListKind.DELTA,
        (endpoint_entry(endpoint, status=routing.EndpointStatus.REMOVED),),
    )
    harness.step(removal)
    assert endpoint in harness.policy.endpoints  # an attempt is in flight
    harness.end(shard_request, after=20.0)
    harness.step(removal)
    assert endpoint in harness.policy.endpoints  # slow start still counts that send
    harness.step(removal, after=harness.policy.settings.slow_start_window + 2 * harness.tick)
    assert endpoint not in harness.policy.endpoints
    for new_endpoint in range(10, 200):
        harness.step(
            routing.EndpointListUpdate(
                routing.EndpointListKind.DELTA, (endpoint_entry(new_endpoint),)
            )
        )
        harness.step(
            routing.EndpointListUpdate(
                routing.EndpointListKind.DELTA,
                (endpoint_entry(new_endpoint, status=routing.EndpointStatus.REMOVED),),
            )
        )
    assert len(harness.policy.endpoints) == 1
