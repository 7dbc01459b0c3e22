"""Discovery: the watch, its lines, its silence; names and their numbers; the configuration."""

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

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def line(version, *servers, full=False):
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
        server: one.status for server, one in live.daemon.coordinator.loop.policy.endpoints.items()
    }


def test_the_watch_starts_from_the_version_known(live):
    assert live.watch.transport.take().startswith(
        b"GET /api/targets?watch=1&after=4 HTTP/1.1\r\nHost: "
    )


def test_changes_reach_the_module_and_drained_nodes_get_nothing(live):
    live.watch.send(HEAD + line(5, entry(1, "terminating"), entry(2, "terminated")))
    live.run(0)
    assert states(live) == {
        1: routing.EndpointStatus.DRAINING,
        3: routing.EndpointStatus.IN_SERVICE,
    }
    for n in range(6):
        live.send_request(post(id=f"r{n}"))
    assert {peer.host for peer, _, _ in live.take_shard_requests()} == {"127.0.0.3"}


def test_a_whole_list_says_who_is_gone_and_one_cut_anywhere_is_read(live):
    data = HEAD + line(9, entry(2), entry(4), full=True)
    for at in range(0, len(data), 7):
        live.watch.send(data[at : at + 7])
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }


def test_an_older_list_brings_nobody_back(live):
    live.watch.send(HEAD + line(9, entry(1, "terminated")))
    live.watch.send(line(7, entry(1), entry(2), entry(3), full=True))
    live.run(0)
    assert sorted(states(live)) == [2, 3]


@pytest.mark.parametrize("end", ["refused", "reset", "503", "noise", "silent"])
def test_a_watch_that_fails_is_asked_for_again(end):
    live = RouterHarness()
    watch = live.discovery[0]
    if end == "refused":
        watch.refuse()
    else:
        watch.accept()
        if end == "reset":
            watch.send(HEAD)
            watch.transport.end()
        elif end == "503":
            watch.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        elif end == "noise":
            watch.send(HEAD + chunk(b"{no json\n"))
        else:
            live.run(2.5)
    live.run(0.5)
    assert len(live.discovery) == 2


def test_the_whole_list_once_may_be_written_over_several_lines(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    call = live.discovery[1].accept()
    assert call.transport.take().startswith(b"GET /api/targets HTTP/1.1\r\n")
    told = {"version": 9, "full": True, "servers": [entry(2), entry(4)]}
    text = json.dumps(told, indent=1).encode() + b"\n"
    call.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }
    assert len(live.discovery) == 2 and live.daemon.discovery.poll is None


def test_beats_keep_a_watch(live):
    live.watch.send(HEAD)
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


def test_a_node_without_a_usable_address_harms_no_other(live):
    live.watch.send(HEAD + line(5, entry(1, addr="nowhere"), entry(3, addr="127.0.0.33:7070")))
    live.run(0)
    live.send_request(post(shards=((0, 0.5), (2, 0.5))))
    assert live.take_shard_requests()


def test_numbers_are_kept_while_a_node_may_come_back_and_forgotten_after():
    names = EndpointDirectory(("a", "b"))

    def heard(now, *entries):
        document = msgspec.convert({"version": 1, "servers": list(entries)}, EndpointListDocument)
        return names.apply(document, routing.EndpointListKind.DELTA, now)

    heard(0, entry(1), entry(2))
    heard(10, entry(1, "terminated"))
    event, places = heard(20, entry(1))
    assert event.entries[0].endpoint == 1 and places == {1: "127.0.0.1:7070"}
    heard(30, entry(1, "terminated"))
    for n in range(3, 2000):
        heard(30 + REMOVED_RETENTION_MS * n, entry(n))
        heard(40 + REMOVED_RETENTION_MS * n, entry(n, "terminated"))
    assert len(names) <= 3
    event, _ = heard(REMOVED_RETENTION_MS * 3000, entry(1))
    assert event.entries[0].endpoint > 1


def test_settings_hold_what_the_sockets_need():
    found = configuration.parse(config(), {})
    assert found.listen == ("127.0.0.1", 7000) and found.discovery == ("127.0.0.9", 8500)
    assert found.classes == {"look": 0, "book": 1} and found.streams == 8 and found.idle == 10_000.0
    assert found.max_client_connections + found.max_node_connections < found.sockets
    assert found.seed == 0x8C1F30D27A5BE964


def test_the_environment_stands_in_for_what_the_file_lacks():
    found = configuration.parse(
        config(listen="", discovery=""),
        {"NODE_LISTEN": "127.0.0.5:7171", "NODE_DISCOVERY": "127.0.0.6:8181"},
    )
    assert found.listen == ("127.0.0.5", 7171) and found.discovery == ("127.0.0.6", 8181)


@pytest.mark.parametrize(
    "raw, said",
    [
        (b"{", "NODE_CONFIG"),
        (config(listen="nowhere"), "listen"),
        (config(seed="zz"), "seed"),
        (config(limits={"sockets": 9}), "sockets"),
        (config(settings={"services": []}), "NODE_CONFIG"),
        (config(discovery="127.0.0.1:99999"), "discovery"),
    ],
)
def test_a_configuration_that_cannot_be_used_says_where(raw, said):
    with pytest.raises(configuration.ConfigError, match=said):
        configuration.parse(raw, {})


def changed(raw, path, value):
    """The configuration with one value replaced; ... takes it out."""
    complete = json.loads(raw)
    at = complete
    for key in path[:-1]:
        at = at[key]
    if value is ...:
        del at[path[-1]]
    else:
        at[path[-1]] = value
    return json.dumps(complete).encode()


def figures(node, path=()):
    """The places of all numbers in a configuration."""
    for key, value in node.items() if isinstance(node, dict) else enumerate(node):
        if isinstance(value, dict | list):
            yield from figures(value, (*path, key))
        elif isinstance(value, int | float) and not isinstance(value, bool):
            yield *path, key


BUDGET = {"extraFloor": 5, "repeatRatio": 0.05, "countedOver": 2000.0}
WHOLE = config(settings=OPERATOR_SETTINGS | {"rules": OPERATOR_SETTINGS["rules"] | BUDGET})


@pytest.mark.parametrize(
    "path",
    [
        *figures({"settings": json.loads(WHOLE)["settings"]}),
        ("settings", "discovery"),
        ("settings", "rules"),
        ("settings", "services", 0, "effect"),
        ("settings", "services"),
        ("settings", "caps", "cancel"),
    ],
    ids=lambda path: ".".join(map(str, path)),
)
def test_an_absurd_value_anywhere_in_the_settings_is_named_with_its_place(path):
    """Otherwise the fault shows later, or without its place."""
    named = (
        path[:-1] if isinstance(path[-1], int) else path
    )  # of a list that is too short its end is told
    place = ".".join(map(str, named)).replace(".0", "[0]").replace(".1", "[1]")
    optional = path[-1] in ("streamsPerConn", "connectTimeout", "connIdle")
    for absurd in ("x", None, [], -1, *([] if optional else [...])):
        with pytest.raises(configuration.ConfigError) as raised:
            configuration.parse(changed(WHOLE, path, absurd), {})
        assert place in str(raised.value)


def test_half_a_budget_or_a_name_given_twice_is_no_setting():
    for key in BUDGET:
        with pytest.raises(configuration.ConfigError, match=key):
            configuration.parse(changed(WHOLE, ("settings", "rules", key), ...), {})
    with pytest.raises(configuration.ConfigError, match="name"):
        configuration.parse(changed(WHOLE, ("settings", "services", 1, "name"), "look"), {})


def test_a_missing_file_is_told():
    with pytest.raises(configuration.ConfigError, match="NODE_CONFIG"):
        configuration.load({"NODE_CONFIG": "/nowhere/at/all.json"})


def test_the_policys_clock_is_the_reactors(live):
    assert live.daemon.coordinator.loop.now >= START * 1000


def indented(version, *servers, full=False):
    told = {"version": version, "full": full, "servers": servers}
    return json.dumps(told, indent=2).encode() + b"\n"


@pytest.mark.parametrize("length", [1, 7, 10_000])
@pytest.mark.parametrize("framing", ["chunked", "until the end"])
def test_objects_over_several_lines_are_read_on_a_watch(live, framing, length):
    """The first line of an indented list is no malformed object."""
    body = indented(5, entry(1, "terminating")) + b"\n" + indented(6, entry(2), entry(4), full=True)
    pieces = [body[at : at + length] for at in range(0, len(body), length)]
    live.watch.send(HEAD if framing == "chunked" else b"HTTP/1.1 200 OK\r\n\r\n")
    for piece in pieces:
        live.watch.send(chunk(piece) if framing == "chunked" else piece)
    live.run(0)
    assert states(live) == {
        2: routing.EndpointStatus.IN_SERVICE,
        4: routing.EndpointStatus.IN_SERVICE,
    }
    assert len(live.discovery) == 1 and not live.watch.transport.over


@pytest.mark.parametrize(
    "noise",
    [
        b"{no json\n",
        b'{"version": "x",\n',
        b"]\n",
        b'{"version": 5,\n\n',
        b"[[[[\n\n",
    ],
)
def test_what_cannot_become_a_list_ends_the_watch(live, noise):
    live.watch.send(HEAD + chunk(noise))
    live.run(0.5)
    assert len(live.discovery) == 2


def test_an_object_without_an_end_is_bounded(live):
    live.watch.send(HEAD + chunk(b'{"version": 5, "full": true, "servers": [\n'))
    for _ in range(70):
        if not live.watch.transport.over:
            live.watch.send(chunk(b" " * 70 + b"0" * 60_000 + b",\n"))
    live.run(0.5)
    assert len(live.discovery) == 2


def test_a_trickle_that_ends_no_line_is_silence(live):
    """Bytes without an end of line do not count as a heartbeat."""
    live.watch.send(HEAD)
    for _ in range(14):
        live.run(0.25)
        if live.watch.protocol.ended:
            break
        live.watch.send(chunk(b" "))
    assert live.watch.protocol.ended
    live.run(0.3)
    assert len(live.discovery) == 2


def test_a_whole_list_of_nobody_that_was_asked_for_is_asked_for_again(live):
    """The poll that brought the list no longer counts as open."""
    live.daemon.discovery.poll_once()
    live.run(0)
    nobody = b'{"version":9,"full":true,"servers":[]}'
    complete = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(nobody) + nobody
    live.discovery[1].accept().send(complete)
    live.run(0)
    assert len(live.discovery) == 3 and len(states(live)) == 3
    live.discovery[2].accept().send(complete)
    live.run(0)
    assert not states(live)


def test_a_new_address_is_asked_at_once_while_the_old_one_is_waited_for(tmp_path):
    """The backoff of the old address does not delay the first request to the new one."""
    path = tmp_path / "config.json"
    live = RouterHarness(environ={"NODE_CONFIG": str(path)})
    for at in range(5):
        live.discovery[at].refuse()
        live.run(0.2 * 2**at)
    asked = len(live.discovery)
    live.discovery[-1].refuse()
    live.run(0)
    path.write_bytes(config(discovery="127.0.0.9:8600"))
    live.daemon.reload()
    live.run(0)
    assert [peer.port for peer in live.discovery[asked:]] == [8600]
    watch = live.discovery[-1].accept()
    watch.send(HEAD + line(5, entry(1, "terminated")))
    live.run(2.9)  # the lapsed wait for the old address opens no second watch
    assert len(live.discovery) == asked + 1 and 1 not in states(live)


def test_a_call_to_the_old_address_is_asked_at_the_new_one_and_its_late_answer_is_nobodys(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    old = live.discovery[1].accept()
    live.daemon.discovery.set_address("127.0.0.9", 8600)
    live.run(0)
    assert [peer.port for peer in live.discovery] == [8500, 8500, 8600, 8600]
    late = b'{"version":9,"full":true,"servers":[]}'
    old.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(late) + late)
    live.run(0)
    assert len(states(live)) == 3


@pytest.mark.parametrize("end, believed", [(ConnectionDone, True), (ConnectionLost, False)])
def test_a_whole_list_without_a_length_counts_at_its_end_and_a_reset_is_no_end(live, end, believed):
    live.daemon.discovery.poll_once()
    live.run(0)
    call = live.discovery[1].accept()
    call.send(
        b'HTTP/1.1 200 OK\r\n\r\n{"version":9,"full":true,"servers":[]}'.replace(
            b"[]", json.dumps([entry(2)]).encode()
        )
    )
    assert len(states(live)) == 3
    call.protocol.connectionLost(Failure(end()))
    live.run(0)
    assert (states(live) == {2: routing.EndpointStatus.IN_SERVICE}) == believed


def test_a_list_of_a_stated_length_that_ends_too_soon_is_none(live):
    live.daemon.discovery.poll_once()
    live.run(0)
    call = live.discovery[1].accept()
    call.send(
        b'HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{"version":9,"full":true,"servers":[]}'
    )
    call.transport.end()
    live.run(0)
    assert len(states(live)) == 3 and live.daemon.discovery.poll is None


@pytest.mark.parametrize("apart", [0.0, 3_600_000.0, -3_600_000.0])
def test_cold_nodes_stay_cold_and_a_restart_is_a_changed_start_whatever_the_wall_clock_says(apart):
    """`apart`: ms by which the nodes' clock differs from anything this process could read."""
    names, nodes_clock = EndpointDirectory(("a", "b")), 1_700_000_000_000.0 + apart

    def told(kind, now, version, **starts):
        servers = [
            EndpointDocument(id, "in_service", "10.0.0.1:70", started_ms=start)
            for id, start in starts.items()
        ]
        event, _ = names.apply(EndpointListDocument(version, servers), kind, now)
        return {entry.endpoint: entry for entry in event.entries}

    first = told(
        routing.EndpointListKind.SNAPSHOT,
        50_000.0,
        1,
        old=0.0,
        one=nodes_clock + 30_000,
        two=nodes_clock + 49_000,
    )
    assert first[1].started_at == 0.0 and first[2].started_at == first[3].started_at == 50_000.0
    names.confirm_unchanged(60_000.0)
    second = told(
        routing.EndpointListKind.DELTA,
        60_500.0,
        2,
        three=nodes_clock + 60_400,
        four=nodes_clock + 60_300,
    )
    assert second[4].started_at >= 60_000.0 and second[5].started_at >= 60_000.0
    assert second[2].started_at == pytest.approx(
        30_200.0
    )  # known better: 30,000 by the nodes' clock
    assert second[2].incarnation == first[2].incarnation
    third = told(
        routing.EndpointListKind.DELTA, 61_000.0, 3, one=nodes_clock - 500_000
    )  # its own clock was set back
    assert third[2].incarnation > second[2].incarnation and third[2].started_at >= 60_500.0


def answer_poll(live, version, *servers):
    """Answer the open poll, if there is one, while the watch stays alive."""
    live.watch.send(chunk(b"\n"))
    for peer in live.discovery[1:]:
        if peer.transport is None:
            body = json.dumps({"version": version, "full": True, "servers": servers}).encode()
            peer.accept().send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def test_the_list_of_a_discovery_that_lost_its_versions_is_believed_after_a_while(live):
    """Guards against routers that serve from a list of the past for good."""
    live.watch.send(HEAD + line(40, entry(1), entry(2), full=True))
    live.watch.send(line(3, entry(2), entry(3), full=True))
    for _ in range(9):  # each half a second
        live.run(0.5)
        answer_poll(live, 3, entry(2), entry(3))
    assert live.daemon.endpoint_directory.version == 40
    for _ in range(4):
        live.run(0.5)
        answer_poll(live, 3, entry(2), entry(3))
    assert live.daemon.endpoint_directory.version == 3
    live.watch.send(line(4, entry(2, "terminating")))  # and its changes are heard
    assert live.daemon.endpoint_directory.version == 4
    polls = len(live.discovery)
    live.run(2.0)
    assert len(live.discovery) == polls


def test_an_outdated_list_among_newer_ones_is_not_believed(live):
    live.watch.send(HEAD + line(40, entry(1), entry(2), full=True))
    for version in range(41, 51):
        live.watch.send(line(3, entry(3), full=True))
        live.run(1.0)
        answer_poll(live, version, entry(1), entry(2))
    assert live.daemon.endpoint_directory.version == 50


def test_an_older_change_alone_is_never_believed(live):
    live.watch.send(HEAD + line(40, entry(1), entry(2), full=True))
    for _ in range(10):
        live.watch.send(line(3, entry(1, "terminating")))
        live.run(1.0)
    assert live.daemon.endpoint_directory.version == 40
    assert states(live)[1] is routing.EndpointStatus.IN_SERVICE
