"""Discovery: watches, polls, the endpoint directory; and the parsing of the configuration."""

import json

import msgspec
import pytest
from live import OPERATOR_SETTINGS, START, RouterHarness, answer, config, entry, post, status
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from tansycrank import routing
from tansycrank.http_router import settings as configuration
from tansycrank.http_router.endpoint_directory import REMOVED_RETENTION_MS, EndpointDirectory
from tansycrank.http_router.settings import EndpointDocument, EndpointListDocument

CHUNKED_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def endpoint_list_chunk(version, *servers, full=False):
    return chunk(
        json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"
    )


@pytest.fixture
def live():
    live = RouterHarness()
    live.watch = live.discovery[0].accept()
    return live


def states(live):
    return {
        endpoint: state.status
        for endpoint, state in live.daemon.coordinator.loop.policy.endpoints.items()
    }


def test_the_watch_starts_from_the_version_known(live):
    assert live.watch.transport.take().startswith(
        b"GET /api/targets?watch=1&after=4 HTTP/1.1\r\nHost: "
    )


def test_changes_reach_the_policy_and_draining_nodes_get_no_requests(live):
    live.watch.send(
        CHUNKED_RESPONSE_HEAD
        + endpoint_list_chunk(5, entry(1, "terminating"), entry(2, "terminated"))
    )
    live.run(0)
    assert states(live) == {
        1: routing.EndpointStatus.DRAINING,
        3: routing.EndpointStatus.IN_SERVICE,
    }
    for n in range(6):
        live.send_request(post(id=f"r{n}"))
    assert {peer.host for peer, _, _ in live.take_shard_requests()} == {"127.0.0.3"}


def test_a_snapshot_removes_unlisted_nodes_and_may_arrive_in_small_chunks(live):
    data = CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(9, entry(2), entry(4), full=True)
    for start in range(0, len(data), 7):
        live.watch.send(data[start : start + 7])
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }


def test_an_older_list_does_not_restore_removed_nodes(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(9, entry(1, "terminated")))
    live.watch.send(endpoint_list_chunk(7, entry(1), entry(2), entry(3), full=True))
    live.run(0)
    assert sorted(states(live)) == [2, 3]


@pytest.mark.parametrize("failure", ["refused", "reset", "503", "malformed", "silent"])
def test_a_failed_watch_is_reopened(failure):
    live = RouterHarness()
    watch = live.discovery[0]
    if failure == "refused":
        watch.refuse()
    else:
        watch.accept()
        if failure == "reset":
            watch.send(CHUNKED_RESPONSE_HEAD)
            watch.transport.end()
        elif failure == "503":
            watch.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif failure == "malformed":
            watch.send(CHUNKED_RESPONSE_HEAD + chunk(b"{no json\n"))
        else:
            live.run(2.5)
    live.run(0.5)
    assert len(live.discovery) == 2


def test_the_document_of_a_poll_may_span_several_lines(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    poll = live.discovery[1].accept()
    assert poll.transport.take().startswith(b"GET /api/targets HTTP/1.1\r\n")
    document = {"version": 9, "full": True, "servers": [entry(2), entry(4)]}
    text = json.dumps(document, indent=1).encode() + b"\n"
    poll.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }
    assert len(live.discovery) == 2 and live.daemon.discovery.poll is None


def test_heartbeats_keep_a_watch_open(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD)
    for _ in range(6):
        live.run(2.0)
        live.watch.send(chunk(b"\n"))
    assert len(live.discovery) == 1


def test_a_query_is_served_while_discovery_is_down():
    live = RouterHarness()
    live.discovery[0].refuse()
    transport = live.send_request(post())
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    assert status(transport.take()) == 200


def test_a_node_with_an_invalid_address_does_not_affect_others(live):
    live.watch.send(
        CHUNKED_RESPONSE_HEAD
        + endpoint_list_chunk(5, entry(1, addr="nowhere"), entry(3, addr="127.0.0.33:7070"))
    )
    live.run(0)
    live.send_request(post(shards=((0, 0.5), (2, 0.5))))
    assert live.take_shard_requests()


def test_a_removed_node_keeps_its_number_for_the_retention_time():
    directory = EndpointDirectory(("a", "b"))

    def apply_delta(now, *entries):
        document = msgspec.convert({"version": 1, "servers": list(entries)}, EndpointListDocument)
        return directory.apply(document, routing.EndpointListKind.DELTA, now)

    apply_delta(0, entry(1), entry(2))
    apply_delta(10, entry(1, "terminated"))
    event, addresses = apply_delta(20, entry(1))
    assert event.entries[0].endpoint == 1 and addresses == {1: "127.0.0.1:7070"}
    apply_delta(30, entry(1, "terminated"))
    for n in range(3, 2000):
        apply_delta(30 + REMOVED_RETENTION_MS * n, entry(n))
        apply_delta(40 + REMOVED_RETENTION_MS * n, entry(n, "terminated"))
    assert len(directory) <= 3
    event, _ = apply_delta(REMOVED_RETENTION_MS * 3000, entry(1))
    assert event.entries[0].endpoint > 1


def test_settings_provide_addresses_and_connection_limits():
    parsed = configuration.parse(config(), {})
    assert parsed.listen == ("127.0.0.1", 7000) and parsed.discovery == ("127.0.0.9", 8500)
    assert (
        parsed.classes == {"look": 0, "book": 1}
        and parsed.streams_per_connection == 8
        and parsed.idle_timeout == 10_000.0
    )
    assert parsed.max_client_connections + parsed.max_node_connections < parsed.sockets
    assert parsed.seed == 0x8C1F30D27A5BE964


def test_the_environment_provides_addresses_missing_from_the_file():
    parsed = configuration.parse(
        config(listen="", discovery=""),
        {"NODE_LISTEN": "127.0.0.5:7171", "NODE_DISCOVERY": "127.0.0.6:8181"},
    )
    assert parsed.listen == ("127.0.0.5", 7171) and parsed.discovery == ("127.0.0.6", 8181)


@pytest.mark.parametrize(
    "raw, expected_text",
    [
        (b"{", "NODE_CONFIG"),
        (config(listen="nowhere"), "listen"),
        (config(seed="zz"), "seed"),
        (config(limits={"sockets": 9}), "sockets"),
        (config(settings={"services": []}), "NODE_CONFIG"),
        (config(discovery="127.0.0.1:99999"), "discovery"),
    ],
)
def test_an_invalid_configuration_is_reported_with_its_key(raw, expected_text):
    with pytest.raises(configuration.ConfigError, match=expected_text):
        configuration.parse(raw, {})


def with_value(raw, path, value):
    """Return the configuration with the value at a path replaced, or removed if it is `...`."""
    config_document = json.loads(raw)
    parent = config_document
    for key in path[:-1]:
        parent = parent[key]
    if value is ...:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return json.dumps(config_document).encode()


def number_paths(node, path=()):
    """Yield the paths of all numbers in a configuration."""
    for key, value in node.items() if isinstance(node, dict) else enumerate(node):
        if isinstance(value, dict | list):
            yield from number_paths(value, (*path, key))
        elif isinstance(value, int | float) and not isinstance(value, bool):
            yield *path, key


RETRY_BUDGET = {"extraFloor": 5, "repeatRatio": 0.05, "countedOver": 2000.0}
COMPLETE_CONFIG = config(
    settings=OPERATOR_SETTINGS | {"rules": OPERATOR_SETTINGS["rules"] | RETRY_BUDGET}
)


@pytest.mark.parametrize(
    "path",
    [
        *number_paths({"settings": json.loads(COMPLETE_CONFIG)["settings"]}),
        ("settings", "discovery"),
        ("settings", "rules"),
        ("settings", "services", 0, "effect"),
        ("settings", "services"),
        ("settings", "caps", "cancel"),
    ],
    ids=lambda path: ".".join(map(str, path)),
)
def test_an_invalid_value_in_the_settings_is_reported_with_its_path(path):
    """Otherwise the error shows up later, or without its path."""
    reported_path = (
        path[:-1] if isinstance(path[-1], int) else path
    )  # a list that is too short is reported with its own path
    reported_text = ".".join(map(str, reported_path)).replace(".0", "[0]").replace(".1", "[1]")
    is_optional = path[-1] in ("streamsPerConn", "connectTimeout", "connIdle")
    for invalid in ("x", None, [], -1, *([] if is_optional else [...])):
        with pytest.raises(configuration.ConfigError) as raised:
            configuration.parse(with_value(COMPLETE_CONFIG, path, invalid), {})
        assert reported_text in str(raised.value)


def test_an_incomplete_retry_budget_or_a_duplicate_name_is_rejected():
    for key in RETRY_BUDGET:
        with pytest.raises(configuration.ConfigError, match=key):
            configuration.parse(with_value(COMPLETE_CONFIG, ("settings", "rules", key), ...), {})
    with pytest.raises(configuration.ConfigError, match="name"):
        configuration.parse(
            with_value(COMPLETE_CONFIG, ("settings", "services", 1, "name"), "look"), {}
        )


def test_a_missing_configuration_file_is_reported():
    with pytest.raises(configuration.ConfigError, match="NODE_CONFIG"):
        configuration.load({"NODE_CONFIG": "/nowhere/at/all.json"})


def test_the_policy_uses_the_clock_of_the_reactor(live):
    assert live.daemon.coordinator.loop.now >= START * 1000


def indented_document(version, *servers, full=False):
    document = {"version": version, "full": full, "servers": servers}
    return json.dumps(document, indent=2).encode() + b"\n"


@pytest.mark.parametrize("length", [1, 7, 10_000])
@pytest.mark.parametrize("framing", ["chunked", "until the end"])
def test_documents_of_several_lines_are_read_on_a_watch(live, framing, length):
    """The first line of an indented document must not be taken for a malformed one."""
    body = (
        indented_document(5, entry(1, "terminating"))
        + b"\n"
        + indented_document(6, entry(2), entry(4), full=True)
    )
    chunks = [body[start : start + length] for start in range(0, len(body), length)]
    live.watch.send(CHUNKED_RESPONSE_HEAD if framing == "chunked" else b"HTTP/1.1 200 OK\r\n\r\n")
    for data in chunks:
        live.watch.send(chunk(data) if framing == "chunked" else data)
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }
    assert len(live.discovery) == 1 and not live.watch.transport.over


@pytest.mark.parametrize(
    "malformed",
    [
        b"{no json\n",
        b'{"version": "x",\n',
        b"]\n",
        b'{"version": 5,\n\n',
        b"[[[[\n\n",
    ],
)
def test_a_malformed_document_ends_the_watch(live, malformed):
    live.watch.send(CHUNKED_RESPONSE_HEAD + chunk(malformed))
    live.run(0.5)
    assert len(live.discovery) == 2


def test_the_size_of_an_unfinished_document_is_bounded(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD + chunk(b'{"version": 5, "full": true, "servers": [\n'))
    for _ in range(70):
        if not live.watch.transport.over:
            live.watch.send(chunk(b" " * 70 + b"0" * 60_000 + b",\n"))
    live.run(0.5)
    assert len(live.discovery) == 2


def test_bytes_without_an_end_of_line_do_not_keep_a_watch_open(live):
    """Bytes without an end of line do not count as a heartbeat."""
    live.watch.send(CHUNKED_RESPONSE_HEAD)
    for _ in range(14):
        live.run(0.25)
        if live.watch.protocol.ended:
            break
        live.watch.send(chunk(b" "))
    assert live.watch.protocol.ended
    live.run(0.3)
    assert len(live.discovery) == 2


def test_an_empty_list_from_a_poll_is_confirmed_by_a_second_poll(live):
    """The poll that brought the list no longer counts as open."""
    live.daemon.discovery.poll_once()
    live.run(0)
    empty_list = b'{"version":9,"full":true,"servers":[]}'
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(empty_list) + empty_list
    live.discovery[1].accept().send(response)
    live.run(0)
    assert len(live.discovery) == 3 and len(states(live)) == 3
    live.discovery[2].accept().send(response)
    live.run(0)
    assert not states(live)


def test_a_new_discovery_address_is_used_at_once_during_backoff(tmp_path):
    """The backoff for the old address must not delay the first request to the new one."""
    path = tmp_path / "config.json"
    live = RouterHarness(environ={"NODE_CONFIG": str(path)})
    for index in range(5):
        live.discovery[index].refuse()
        live.run(0.2 * 2**index)
    connections_before = len(live.discovery)
    live.discovery[-1].refuse()
    live.run(0)
    path.write_bytes(config(discovery="127.0.0.9:8600"))
    live.daemon.reload()
    live.run(0)
    assert [peer.port for peer in live.discovery[connections_before:]] == [8600]
    watch = live.discovery[-1].accept()
    watch.send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(5, entry(1, "terminated")))
    live.run(2.9)  # the expired backoff of the old address opens no second watch
    assert len(live.discovery) == connections_before + 1 and 1 not in states(live)


def test_a_poll_restarts_at_a_new_address_and_its_late_response_is_ignored(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    old_poll = live.discovery[1].accept()
    live.daemon.discovery.set_address("127.0.0.9", 8600)
    live.run(0)
    assert [peer.port for peer in live.discovery] == [8500, 8500, 8600, 8600]
    empty_list = b'{"version":9,"full":true,"servers":[]}'
    old_poll.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(empty_list) + empty_list)
    live.run(0)
    assert len(states(live)) == 3


@pytest.mark.parametrize("reason, is_accepted", [(ConnectionDone, True), (ConnectionLost, False)])
def test_a_body_without_a_length_is_complete_only_after_an_orderly_close(live, reason, is_accepted):
    live.daemon.discovery.poll_once()
    live.run(0)
    poll = live.discovery[1].accept()
    poll.send(
        b'HTTP/1.1 200 OK\r\n\r\n{"version":9,"full":true,"servers":[]}'.replace(
            b"[]", json.dumps([entry(2)]).encode()
        )
    )
    assert len(states(live)) == 3
    poll.protocol.connectionLost(Failure(reason()))
    live.run(0)
    assert (states(live) == {2: routing.EndpointStatus.IN_SERVICE}) == is_accepted


def test_a_body_shorter_than_its_content_length_is_ignored(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    poll = live.discovery[1].accept()
    poll.send(
        b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"version":9,"full":true,"servers":[]}'
    )
    poll.transport.end()
    live.run(0)
    assert len(states(live)) == 3 and live.daemon.discovery.poll is None


@pytest.mark.parametrize("clock_offset", [0.0, 3_600_000.0, -3_600_000.0])
def test_start_times_and_restarts_are_determined_without_the_wall_clock(clock_offset):
    """`clock_offset` is the difference in ms between the clocks of the nodes and the router."""
    directory, nodes_clock = EndpointDirectory(("a", "b")), 1_700_000_000_000.0 + clock_offset

    def apply_list(kind, now, version, **starts):
        servers = [
            EndpointDocument(id, "in_service", "10.0.0.1:70", started_ms=start)
            for id, start in starts.items()
        ]
        event, _ = directory.apply(EndpointListDocument(version, servers), kind, now)
        return {entry.endpoint: entry for entry in event.entries}

    first = apply_list(
        routing.EndpointListKind.SNAPSHOT,
        50_000.0,
        1,
        old=0.0,
        one=nodes_clock + 30_000,
        two=nodes_clock + 49_000,
    )
    assert first[1].started_at == 0.0 and first[2].started_at == first[3].started_at == 50_000.0
    directory.confirm_unchanged(60_000.0)
    second = apply_list(
        routing.EndpointListKind.DELTA,
        60_500.0,
        2,
        three=nodes_clock + 60_400,
        four=nodes_clock + 60_300,
    )
    assert second[4].started_at >= 60_000.0 and second[5].started_at >= 60_000.0
    assert second[2].started_at == pytest.approx(
        30_200.0
    )  # corrected; exactly 30,000 by the nodes' clock
    assert second[2].incarnation == first[2].incarnation
    third = apply_list(
        routing.EndpointListKind.DELTA, 61_000.0, 3, one=nodes_clock - 500_000
    )  # the clock of this node was set back
    assert third[2].incarnation > second[2].incarnation and third[2].started_at >= 60_500.0


def answer_poll(live, version, *servers):
    """Send a heartbeat on the watch and answer the pending poll, if there is one."""
    live.watch.send(chunk(b"\n"))
    for peer in live.discovery[1:]:
        if peer.transport is None:
            body = json.dumps({"version": version, "full": True, "servers": servers}).encode()
            peer.accept().send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def test_a_version_reset_of_discovery_is_confirmed_after_several_seconds(live):
    """Otherwise a router would use an outdated list forever after discovery lost its versions."""
    live.watch.send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(40, entry(1), entry(2), full=True))
    live.watch.send(endpoint_list_chunk(3, entry(2), entry(3), full=True))
    for _ in range(9):  # 4.5 s, less than the confirmation time
        live.run(0.5)
        answer_poll(live, 3, entry(2), entry(3))
    assert live.daemon.endpoint_directory.version == 40
    for _ in range(4):
        live.run(0.5)
        answer_poll(live, 3, entry(2), entry(3))
    assert live.daemon.endpoint_directory.version == 3
    live.watch.send(endpoint_list_chunk(4, entry(2, "terminating")))  # later changes are applied
    assert live.daemon.endpoint_directory.version == 4
    polls = len(live.discovery)
    live.run(2.0)
    assert len(live.discovery) == polls


def test_an_outdated_list_among_newer_ones_is_ignored(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(40, entry(1), entry(2), full=True))
    for version in range(41, 51):
        live.watch.send(endpoint_list_chunk(3, entry(3), full=True))
        live.run(1.0)
        answer_poll(live, version, entry(1), entry(2))
    assert live.daemon.endpoint_directory.version == 50


def test_older_deltas_never_confirm_a_version_reset(live):
    live.watch.send(CHUNKED_RESPONSE_HEAD + endpoint_list_chunk(40, entry(1), entry(2), full=True))
    for _ in range(10):
        live.watch.send(endpoint_list_chunk(3, entry(1, "terminating")))
        live.run(1.0)
    assert live.daemon.endpoint_directory.version == 40
    assert states(live)[1] is routing.EndpointStatus.IN_SERVICE
