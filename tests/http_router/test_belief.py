"""What the module believes against what passes on the links; and that nothing is kept of what is
gone.
"""

import random

from live import RouterHarness, answer, entry, post
from test_discovery import HEAD, line


def out(live):
    """Parts out by node: as the module believes, and as the links have them."""
    believed = {
        s.id: s.in_flight
        for s in live.daemon.coordinator.loop.policy.endpoints.values()
        if s.in_flight
    }
    pools = live.daemon.pool
    held = {
        n.endpoint: sum(connection.load for connection in n.connections)
        for n in pools.endpoints.values()
    }
    return believed, {server: load for server, load in held.items() if load}


def test_parts_out_and_times_agree_with_the_links():
    live, rng = RouterHarness(), random.Random(5)
    live.discovery[0].refuse()
    open_parts, sent_at = [], {}
    for n in range(300):
        if rng.random() < 0.6:
            live.send_request(
                post(id=f"r{n}", shards=((n % 9, 0.5), ((n + 1) % 9, 0.5)), deadline=1900)
            )
        for peer, id, _ in live.take_shard_requests():
            open_parts.append((peer, id))
            sent_at[id] = live.reactor.seconds()
        believed, held = out(live)
        assert believed == held
        if open_parts and rng.random() < 0.8:
            peer, id = open_parts.pop(rng.randrange(len(open_parts)))
            if not peer.transport.over:
                kind = rng.random()
                peer.transport.end() if kind < 0.05 else peer.send(
                    answer(id, "err" if kind < 0.1 else "ok")
                )
        live.run(0.005)
    live.run(3)
    assert out(live) == ({}, {})
    coordinator = live.daemon.coordinator
    assert sum(coordinator.outcomes.values()) == coordinator.counts["sends"] > 100


def test_took_is_the_time_between_write_and_answer():
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


def test_nothing_is_kept_of_thousands_of_clients_queries_and_nodes():
    live = RouterHarness()
    watch = live.discovery[0].accept()
    watch.send(HEAD)
    for n in range(1500):
        client = live.client()
        live.send_request(post(id=f"r{n}", shards=((n % 9, 1.0),)), client)
        for peer, id, _ in live.take_shard_requests():
            peer.send(answer(id))
        live.run(0)
        client[1].end()
        live.nodes = [peer for peer in live.nodes if not peer.transport.over]
        if n % 10 == 0:
            old, new = n // 10 + 1, n // 10 + 4
            replaced = entry(new, addr=f"127.0.1.{new % 250 + 1}:7070")
            watch.send(line(5 + n, replaced, entry(old, "terminated")))
            live.run(1.0)
            watch.send(b"1\r\n\n\r\n")
    live.run(3)
    coordinator, router = live.daemon.coordinator, live.daemon.coordinator.loop.policy
    assert coordinator.counts["taken"] == 1500
    assert (
        not coordinator.queries
        and not coordinator._shard_requests
        and not coordinator._queries_by_id
    )
    assert (
        not router.queries.by_id
        and not router.queries.by_number
        and not router.queries.shard_requests
        and not router.queries.attempts_in_flight
    )
    assert not live.daemon.server.connections and not live.daemon.server.idle_after_query
    assert len(router.endpoints) <= 6 and len(live.daemon.endpoint_directory) < 100
    assert len(live.daemon.pool.endpoints) == 3 and live.daemon.pool.connection_count <= 6
    assert len(router.timers) < 100 and len(router._budget._accepted._entries) < 100
