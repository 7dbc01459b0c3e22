"""The state of the routing policy agrees with the connections, and ended state is released."""

import random

from live import RouterHarness, answer, entry, post
from test_discovery import CHUNKED_RESPONSE_HEAD, endpoint_list_chunk


def calls_in_flight(live):
    """Return the shard requests in flight by endpoint, as counted by policy and connections."""
    by_policy = {
        endpoint.id: endpoint.in_flight
        for endpoint in live.daemon.coordinator.loop.policy.endpoints.values()
        if endpoint.in_flight
    }
    pool = live.daemon.pool
    by_connections = {
        endpoint.endpoint: sum(connection.load for connection in endpoint.connections)
        for endpoint in pool.endpoints.values()
    }
    return by_policy, {endpoint: load for endpoint, load in by_connections.items() if load}


def test_in_flight_counts_of_policy_and_connections_agree():
    live, rng = RouterHarness(), random.Random(5)
    live.discovery[0].refuse()
    pending, sent_at = [], {}
    for n in range(300):
        if rng.random() < 0.6:
            live.send_request(
                post(id=f"r{n}", shards=((n % 9, 0.5), ((n + 1) % 9, 0.5)), deadline=1900)
            )
        for peer, id, _ in live.take_shard_requests():
            pending.append((peer, id))
            sent_at[id] = live.reactor.seconds()
        by_policy, by_connections = calls_in_flight(live)
        assert by_policy == by_connections
        if pending and rng.random() < 0.8:
            peer, id = pending.pop(rng.randrange(len(pending)))
            if not peer.transport.over:
                choice = rng.random()
                peer.transport.end() if choice < 0.05 else peer.send(
                    answer(id, "err" if choice < 0.1 else "ok")
                )
        live.run(0.005)
    live.run(3)
    assert calls_in_flight(live) == ({}, {})
    coordinator = live.daemon.coordinator
    assert sum(coordinator.outcomes.values()) == coordinator.counts["sends"] > 100


def test_latency_is_measured_from_write_to_answer():
    live = RouterHarness()
    live.send_request(post())
    [(peer, id, _)] = live.take_shard_requests()
    live.run(0.03)
    peer.send(answer(id))
    live.run(0)
    assert (
        25.0
        <= live.daemon.coordinator.loop.policy.latency.overall.read(
            live.daemon.coordinator.loop.now
        )[0]
        <= 40.0
    )


def test_no_state_remains_of_ended_queries_clients_and_nodes():
    live = RouterHarness()
    watch = live.discovery[0].accept()
    watch.send(CHUNKED_RESPONSE_HEAD)
    for n in range(1500):
        client = live.client()
        live.send_request(post(id=f"r{n}", shards=((n % 9, 1.0),)), client)
        for peer, id, _ in live.take_shard_requests():
            peer.send(answer(id))
        live.run(0)
        client[1].end()
        live.nodes = [peer for peer in live.nodes if not peer.transport.over]
        if n % 10 == 0:
            removed, added = n // 10 + 1, n // 10 + 4
            replaced = entry(added, addr=f"127.0.1.{added % 250 + 1}:7070")
            watch.send(endpoint_list_chunk(5 + n, replaced, entry(removed, "terminated")))
            live.run(1.0)
            watch.send(b"1\r\n\n\r\n")
    live.run(3)
    coordinator, policy = live.daemon.coordinator, live.daemon.coordinator.loop.policy
    assert coordinator.counts["taken"] == 1500
    assert (
        not coordinator.queries
        and not coordinator._shard_requests
        and not coordinator._queries_by_id
    )
    assert (
        not policy.queries.by_id
        and not policy.queries.by_number
        and not policy.queries.shard_requests
        and not policy.queries.attempts_in_flight
    )
    server = live.daemon.server
    assert not server.connections and not server.delayed_admission and not server.input_scheduler
    assert not server.eviction.idle_after_query and not server.eviction.lingering
    assert not server.held_bytes.held_bytes and not server.body_reservations.reserved_bytes
    assert not server.disconnect_monitor._paused_since and not server.body_reservations.waiting
    assert len(policy.endpoints) <= 6 and len(live.daemon.endpoint_directory) < 100
    assert len(live.daemon.pool.endpoints) == 3 and live.daemon.pool.connection_count <= 6
    assert len(policy.timers) < 100 and len(policy._budget._accepted._entries) < 100
