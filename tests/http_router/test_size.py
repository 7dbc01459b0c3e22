"""A router in a large deployment (1,024 nodes, 1,024 routers), and unusual endpoint lists."""

import copy
import json
import tracemalloc

import pytest
from live import OPERATOR_SETTINGS, RouterHarness, answer, config, entry, post, status
from test_discovery import CHUNKED_RESPONSE_HEAD, endpoint_list_chunk

from tansycrank import routing
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.daemon import Daemon

SIZE = 1024


def node(n, state="in_service", **more):
    return entry(n, state, addr=f"127.1.{n // 250}.{n % 250 + 1}:7070", cell=n % SIZE, **more)


def large(nodes=SIZE, **more):
    settings = copy.deepcopy(OPERATOR_SETTINGS)
    settings["replicasOfMe"] = SIZE
    settings["caps"]["openCap"] = 200
    settings["familyInfo"] |= {"positions": SIZE, "slabs": 3 * SIZE}
    known = {"version": 4, "full": True, "servers": [node(n) for n in range(nodes)]}
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 640}
    return config(settings=settings, known=known, limits=limits, **more)


def query_status(harness, id, shards):
    transport = harness.send_request(
        post(id=id, shards=[(shard, 1 / len(shards)) for shard in shards])
    )
    for _ in range(3):
        for peer, shard_request, _ in harness.take_shard_requests():
            peer.send(answer(shard_request))
        harness.run(0)
    return status(transport.take())


@pytest.fixture
def harness():
    harness = RouterHarness(large())
    harness.watch = harness.discovery[0].accept()
    harness.watch.send(CHUNKED_RESPONSE_HEAD)
    return harness


def logged_events(capture):
    return [json.loads(record.getMessage()) for record in capture.records]


def test_serves_queries_with_1024_nodes_and_routers(harness):
    assert (
        len(harness.daemon.endpoint_directory) == SIZE
        and harness.daemon.settings.module.routers == SIZE
    )
    assert query_status(harness, "q1", range(0, 3 * SIZE, 97)) == 200


def test_applies_a_snapshot_with_1024_new_nodes(harness):
    harness.watch.send(endpoint_list_chunk(5, *(node(n) for n in range(SIZE, 2 * SIZE)), full=True))
    harness.run(0)
    router = harness.daemon.coordinator.loop.policy
    assert (
        sum(
            server.status is routing.EndpointStatus.IN_SERVICE
            for server in router.endpoints.values()
        )
        == SIZE
    )
    assert query_status(harness, "q1", range(0, 3 * SIZE, 97)) == 200


def test_memory_per_node_before_any_answer():
    """Guards against exceeding a memory limit of 32 MB, of which 1,024 nodes may take a small part.

    The bound is 6 KiB per node, including its entry in the endpoint list.
    """
    small, big = (configuration.parse(large(nodes), {}) for nodes in (1, SIZE))
    taken = []
    for found in (small, big):
        tracemalloc.start()
        harness = RouterHarness()
        daemon = Daemon(harness.reactor, found, {})
        daemon._apply_endpoint_list(found.cached_endpoint_list, routing.EndpointListKind.CACHED)
        harness.run(0)
        taken.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    assert (taken[1] - taken[0]) / SIZE < 6 * 1024


def test_invalid_entries_are_logged_in_one_line_and_do_not_affect_others(harness, caplog):
    caplog.set_level("INFO", "tansycrank")
    odd = [node(n, "on_holiday") for n in range(0, 300)]
    twice = [node(n) for n in range(300, 600)] * 2
    lost = [node(n) | {"addr": "nowhere"} for n in range(600, 700)]
    harness.watch.send(endpoint_list_chunk(9, *odd, *twice, *lost))
    harness.run(0)
    events = [
        one for one in logged_events(caplog) if "list" in one["event"] or "address" in one["event"]
    ]
    assert [one["event"] for one in events] == [
        "unknown_endpoint_list_content_received",
        "endpoint_addresses_rejected",
    ]
    assert events[0]["unknown_states"].startswith("300, 'on_holiday'")
    assert events[0]["named_twice"].startswith("300")
    assert events[1]["nodes"] == 100
    states = [one.status for one in harness.daemon.coordinator.loop.policy.endpoints.values()]
    # in an unknown state a node may not want new requests
    assert states.count(routing.EndpointStatus.DRAINING) == 300
    assert query_status(harness, "q1", range(300, SIZE, 31)) == 200


def test_version_jump_or_decrease_loses_no_node(harness):
    harness.watch.send(endpoint_list_chunk(900, node(3, "terminating")))
    harness.watch.send(
        endpoint_list_chunk(17, *(node(n, "terminated") for n in range(SIZE)), full=True)
    )
    harness.run(0)
    states = [one.status for one in harness.daemon.coordinator.loop.policy.endpoints.values()]
    assert (
        states.count(routing.EndpointStatus.IN_SERVICE) == SIZE - 1
        and states.count(routing.EndpointStatus.DRAINING) == 1
    )


def test_empty_list_is_applied_only_after_confirmation(harness, caplog):
    """Guards against a discovery fault whose empty list ends all service, and against ignoring an
    empty list when all nodes have really been removed.
    """
    caplog.set_level("INFO", "tansycrank")
    harness.watch.send(endpoint_list_chunk(9, full=True))
    harness.run(0)
    assert query_status(harness, "q1", range(0, 3 * SIZE, 97)) == 200
    assert [one["event"] for one in logged_events(caplog)].count(
        "empty_endpoint_list_received"
    ) == 1
    again = harness.discovery[1].accept()
    assert again.transport.take().startswith(b"GET /api/targets HTTP/1.1")
    data = json.dumps({"version": 9, "full": True, "servers": []}).encode()
    again.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
    harness.run(0)
    states = [one.status for one in harness.daemon.coordinator.loop.policy.endpoints.values()]
    assert routing.EndpointStatus.IN_SERVICE not in states
