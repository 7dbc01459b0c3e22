"""A router of a large fleet: 1,024 nodes in its list, 1,024 routers in its settings; lists that are
odd.
"""

import copy
import json
import tracemalloc

import pytest
from live import OPERATOR_SETTINGS, RouterHarness, answer, config, entry, post, status
from test_discovery import HEAD, line

from tansycrank import routing
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.daemon import Daemon

SIZE = 1024


def node(n, state="in_service", **more):
    return entry(n, state, addr=f"127.1.{n // 250}.{n % 250 + 1}:7070", cell=n % SIZE, **more)


def large(nodes=SIZE, **more):
    told = copy.deepcopy(OPERATOR_SETTINGS)
    told["replicasOfMe"] = SIZE
    told["caps"]["openCap"] = 200
    told["familyInfo"] |= {"positions": SIZE, "slabs": 3 * SIZE}
    known = {"version": 4, "full": True, "servers": [node(n) for n in range(nodes)]}
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 640}
    return config(settings=told, known=known, limits=limits, **more)


def served(live, id, shards):
    transport = live.send_request(
        post(id=id, shards=[(shard, 1 / len(shards)) for shard in shards])
    )
    for _ in range(3):
        for peer, shard_request, _ in live.take_shard_requests():
            peer.send(answer(shard_request))
        live.run(0)
    return status(transport.take())


@pytest.fixture
def live():
    live = RouterHarness(large())
    live.watch = live.discovery[0].accept()
    live.watch.send(HEAD)
    return live


def logged(capture):
    return [json.loads(record.getMessage()) for record in capture.records]


def test_it_serves_with_as_many_nodes_and_routers(live):
    assert (
        len(live.daemon.endpoint_directory) == SIZE and live.daemon.settings.module.routers == SIZE
    )
    assert served(live, "q1", range(0, 3 * SIZE, 97)) == 200


def test_a_whole_list_of_as_many_new_nodes_is_taken(live):
    live.watch.send(line(5, *(node(n) for n in range(SIZE, 2 * SIZE)), full=True))
    live.run(0)
    router = live.daemon.coordinator.loop.policy
    assert (
        sum(
            server.status is routing.EndpointStatus.IN_SERVICE
            for server in router.endpoints.values()
        )
        == SIZE
    )
    assert served(live, "q1", range(0, 3 * SIZE, 97)) == 200


def test_memory_of_a_node_before_any_answer():
    """Danger: limits of 32 MB; 1,024 nodes may take a small part of that. 6 KiB a node, list and
    all.
    """
    small, big = (configuration.parse(large(nodes), {}) for nodes in (1, SIZE))
    taken = []
    for found in (small, big):
        tracemalloc.start()
        live = RouterHarness()
        daemon = Daemon(live.reactor, found, {})
        daemon._take(found.known, routing.EndpointListKind.CACHED)
        live.run(0)
        taken.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    assert (taken[1] - taken[0]) / SIZE < 6 * 1024


def test_odd_entries_are_told_in_one_line_and_harm_no_other(live, caplog):
    caplog.set_level("INFO", "tansycrank")
    odd = [node(n, "on_holiday") for n in range(0, 300)]
    twice = [node(n) for n in range(300, 600)] * 2
    lost = [node(n) | {"addr": "nowhere"} for n in range(600, 700)]
    live.watch.send(line(9, *odd, *twice, *lost))
    live.run(0)
    told = [one for one in logged(caplog) if "list" in one["event"] or "address" in one["event"]]
    assert [one["event"] for one in told] == [
        "unknown_endpoint_list_content_received",
        "endpoint_addresses_rejected",
    ]
    assert told[0]["unknown_states"].startswith("300, 'on_holiday'")
    assert told[0]["named_twice"].startswith("300")
    assert told[1]["nodes"] == 100
    states = [one.status for one in live.daemon.coordinator.loop.policy.endpoints.values()]
    assert states.count(routing.EndpointStatus.DRAINING) == 300  # it may not want anything new
    assert served(live, "q1", range(300, SIZE, 31)) == 200


def test_a_version_that_jumps_or_falls_loses_no_node(live):
    live.watch.send(line(900, node(3, "terminating")))
    live.watch.send(line(17, *(node(n, "terminated") for n in range(SIZE)), full=True))
    live.run(0)
    states = [one.status for one in live.daemon.coordinator.loop.policy.endpoints.values()]
    assert (
        states.count(routing.EndpointStatus.IN_SERVICE) == SIZE - 1
        and states.count(routing.EndpointStatus.DRAINING) == 1
    )


def test_a_list_of_nobody_is_believed_when_it_comes_again(live, caplog):
    """Danger: a fault of discovery that ends all service in one line; and nodes that are truly
    gone.
    """
    caplog.set_level("INFO", "tansycrank")
    live.watch.send(line(9, full=True))
    live.run(0)
    assert served(live, "q1", range(0, 3 * SIZE, 97)) == 200
    assert [one["event"] for one in logged(caplog)].count("empty_endpoint_list_received") == 1
    again = live.discovery[1].accept()
    assert again.transport.take().startswith(b"GET /api/targets HTTP/1.1")
    data = json.dumps({"version": 9, "full": True, "servers": []}).encode()
    again.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data))
    live.run(0)
    states = [one.status for one in live.daemon.coordinator.loop.policy.endpoints.values()]
    assert routing.EndpointStatus.IN_SERVICE not in states
