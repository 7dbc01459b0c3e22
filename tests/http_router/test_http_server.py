"""Clients of the platform: requests that can be used and those that cannot."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from live import OPERATOR_SETTINGS, RouterHarness, answer, body, config, post, status
from twisted.internet.error import CannotListenError
from twisted.internet.testing import MemoryReactorClock

from tansycrank.http_router import client_connection, http_server


@pytest.fixture
def live():
    return RouterHarness()


def test_a_query_is_served_with_each_parts_value(live):
    client = live.send_request(post(shards=((3, 0.5), (7, 0.5))))
    sent = live.take_shard_requests()
    assert sorted((id, shard) for _, id, shard in sent) == [("q1.3", 3), ("q1.7", 7)]
    for peer, id, shard in sent:
        peer.send(answer(id, value=f"value-{shard}"))
    live.run(0)
    written = client.take()
    assert status(written) == 200
    found = body(written)
    assert found["complete"] is True
    assert sorted((hit["shard"], hit["doc"]) for hit in found["hits"]) == [
        (3, "value-3"),
        (7, "value-7"),
    ]


BAD = {
    "class": post(path="/nothing"),
    "no id": post(id=""),
    "id with a blank": post(id="a b"),
    "deadline in words": post(deadline="soon"),
    "deadline 0": post(deadline=0),
    "deadline below 0": post(deadline=-5),
    "no such shard": post(shards=((9, 1.0),)),
    "shard below 0": post(shards=((-1, 1.0),)),
    "shard twice": post(shards=((1, 0.5), (1, 0.5))),
    "weight below 0": post(shards=((1, -0.5), (2, 1.5))),
    "weights of too little": post(shards=((1, 0.3), (2, 0.3))),
    "no shards": post(shards=()),
    "no json": post(body="{"),
    "no text": post(body='{"shards":[{"shard":1,"weight":1}]}'),
    "key": post(body='{"shards":[{"shard":1,"weight":1,"key":"zz"}],"q":"x"}'),
    "cost": post(body='{"shards":[{"shard":1,"weight":1,"cost":-1}],"q":"x"}'),
    "half a surrogate": post(body='{"shards":[{"shard":1,"weight":1}],"q":"\\ud800"}'),
    "retry": post(more="X-Retry: maybe\r\n"),
    "method": post().replace(b"POST", b"GET", 1),
}


@pytest.mark.parametrize("name", BAD)
def test_what_cannot_be_used_is_refused_and_the_connection_goes_on(live, name):
    client = live.client()
    transport = live.send_request(BAD[name], client)
    assert 400 <= status(transport.take()) < 500
    assert not transport.over and not live.take_shard_requests()
    live.send_request(post(id="good"), client)
    assert [id for _, id, _ in live.take_shard_requests()] == ["good.0"]


UNREADABLE = {
    "noise": b"\x16\x03\x01\x02\x00\x01\x00\x01",
    "length below 0": post().replace(b"Content-Length: ", b"Content-Length: -"),
    "length of 60 MB": post().replace(b"Content-Length: ", b"Content-Length: 62914560\r\nX-Was: "),
    "two lengths": post(more="Content-Length: 3\r\n"),
    "both framings": post(more="Transfer-Encoding: chunked\r\n"),
    "two keys of a repeat": post(more="Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
    "two ids": post(more="X-Request-Id: other\r\n"),
    "no host": post().replace(b"Host:", b"Hust:"),
    "head without end": b"POST /look HTTP/1.1\r\n" + b"X-A: " + b"a" * 20_000,
    "chunks without end": b"POST /look HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"".join(b"4000\r\n" + b"a" * 0x4000 + b"\r\n" for _ in range(5)),
}


@pytest.mark.parametrize("name", UNREADABLE)
def test_what_cannot_be_read_gets_an_error_and_a_close(live, name):
    protocol, transport = client = live.client()
    live.send_request(UNREADABLE[name], client)
    assert 400 <= status(transport.take()) < 500
    assert (
        transport.half_closed and transport.producerState == "producing"
    )  # what still comes is dropped
    for _ in range(5):
        protocol.dataReceived(b"x" * 65_536)
    assert transport.producerState == "paused" and not transport.take()
    live.run(0.5)
    assert transport.over and not live.take_shard_requests()


def test_a_request_hidden_in_the_body_of_another_is_never_passed_on(live):
    hidden = post(id="hidden")
    outer = (
        b"POST /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: outer\r\nX-Deadline-Ms: 900\r\n"
        b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(hidden) + 5)
    ) + hidden
    transport = live.send_request(outer)
    assert status(transport.take()) == 400 and not live.take_shard_requests()


@given(st.binary(max_size=400), st.lists(st.integers(1, 90), max_size=12), st.integers(0, 180))
def test_no_bytes_in_no_split_raise_or_are_served(noise, cuts, at):
    live = RouterHarness()
    protocol, transport = live.client()
    complete = post()
    data = complete[:at] + noise
    for cut in [*cuts, len(data)]:
        if data and not transport.over:
            protocol.dataReceived(data[:cut])
        data = data[cut:]
    assert status(transport.take()) != 200


@given(st.lists(st.integers(1, 60), max_size=12))
def test_any_split_of_a_request_is_the_same_request(cuts):
    live = RouterHarness()
    protocol, _ = live.client()
    data = post(shards=((3, 0.5), (7, 0.5)))
    for cut in [*cuts, len(data)]:
        if data:
            protocol.dataReceived(data[:cut])
        data = data[cut:]
    assert sorted(id for _, id, _ in live.take_shard_requests()) == ["q1.3", "q1.7"]


def test_a_request_may_come_in_chunks_and_byte_by_byte(live):
    text = b'{"shards":[{"shard":1,"weight":1}],"q":"x"}'
    complete = (
        b"POST /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: c1\r\nX-Deadline-Ms: 900\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(text), text)
    )
    protocol, _ = live.client()
    for byte in complete:
        protocol.dataReceived(bytes([byte]))
    assert [id for _, id, _ in live.take_shard_requests()] == ["c1.1"]


def test_an_id_that_is_open_is_refused_and_its_owner_still_served(live):
    first = live.send_request(post(id="one"))
    second = live.send_request(post(id="one"))
    assert status(second.take()) == 409
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    assert status(first.take()) == 200


def test_answers_keep_the_order_of_their_requests(live):
    transport = live.send_request(post(id="one") + post(id="two", shards=((1, 1.0),)))
    sent = {id: peer for peer, id, _ in live.take_shard_requests()}
    sent["two.1"].send(answer("two.1", value="2"))
    live.run(0)
    assert transport.take() == b""
    sent["one.0"].send(answer("one.0", value="1"))
    live.run(0)
    written = transport.take()
    assert written.index(b'"doc":"1"') < written.index(b'"doc":"2"')


def test_what_follows_an_unreadable_request_is_dropped_while_answers_before_it_are_owed(live):
    protocol, transport = client = live.client()
    live.send_request(post(id="good") + b"\x16\x03\x01\r\n\r\n", client)
    assert len(protocol.pending) == 2
    protocol.resumeProducing()  # its answers are read again: more may come
    for _ in range(50):
        protocol.dataReceived(b"\x16\x03\x01\r\n\r\n")
    assert len(protocol.pending) == 2
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    written = transport.take()
    assert written.count(b"HTTP/1.1 ") == 2 and written.startswith(b"HTTP/1.1 200")
    assert transport.half_closed  # the answers are not lost to a reset by what still comes
    live.run(client_connection.LINGER + 0.05)
    assert transport.over and not transport.take()


def test_hundreds_of_requests_at_once_stay_bounded(live):
    transport = live.send_request(b"".join(post(id=f"r{n}") for n in range(300)))
    assert len(live.daemon.coordinator.queries) <= client_connection.MAX_PIPELINE
    live.run(2.5)
    assert transport.over and not live.daemon.coordinator.queries


def test_beyond_the_open_cap_a_query_is_turned_away_at_once_with_a_time(live):
    for n in range(30):  # two entries each: a query and its part
        live.send_request(post(id=f"r{n}"))
    written = live.send_request(post(id="more")).take()
    assert status(written) == 503 and b"Retry-After: 0." in written
    assert live.daemon.coordinator.in_flight <= 60


def test_who_says_nothing_is_closed_within_three_seconds(live):
    _protocol, transport = live.client()
    half, half_transport = live.client()
    half.dataReceived(post()[:60])
    live.run(2.5)
    assert transport.over and transport.take() == b""
    assert status(half_transport.take()) == 408 and half_transport.over


def test_silent_connections_give_way_at_the_bound_once_they_were_silent_for_a_while(live):
    client = live.client()
    live.send_request(post(id="busy"), client)
    young = [live.client() for _ in range(live.daemon.settings.max_client_connections - 1)]
    assert not live.port.reading  # full: the next ones wait in the system's queue
    assert not any(transport.over for _, transport in young)
    live.run(http_server.MIN_SILENCE_OF_NEW + 0.05)
    assert live.port.reading and [transport.over for _, transport in young].count(True) == 1
    for _ in range(20):
        live.client()
    assert len(live.daemon.server.connections) <= live.daemon.settings.max_client_connections
    assert not client[1].over
    peer, id, _ = live.take_shard_requests()[0]  # a copy may be out by now
    peer.send(answer(id))
    live.run(0)
    assert status(client[1].take()) == 200


def test_connections_unused_after_a_query_are_bounded_and_the_longest_unused_close(live):
    """Danger: clients that ask once and hold their connection, until no other can get one."""
    bound, transports = live.daemon.settings.max_idle_client_connections, []
    held = live.client()
    live.send_request(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", held)
    for n in range(bound + 3):
        transports.append(live.send_request(post(id=f"r{n}")))
        for peer, id, _ in live.take_shard_requests():
            peer.send(answer(id))
        live.run(0)
    assert [transport.over for transport in transports] == [True] * 3 + [False] * bound
    assert all(status(transport.take()) == 200 for transport in transports)
    assert not held[1].over  # who only asks whether it is ready takes no place of theirs


def test_a_connection_in_use_again_is_not_among_the_unused(live):
    client = live.client()
    for n in range(live.daemon.settings.max_idle_client_connections + 2):
        other = live.send_request(post(id=f"r{n}"))
        [(peer, id, _)] = live.take_shard_requests()
        peer.send(answer(id))
        live.run(0)
        live.send_request(post(id=f"again{n}"), client)
        [(peer, id, _)] = live.take_shard_requests()
        peer.send(answer(id))
        live.run(0)
        assert not client[1].over and status(other.take()) == 200


def test_a_client_that_does_not_read_is_cut_off(live):
    protocol, transport = live.client()
    protocol.pauseProducing()
    live.run(client_connection.UNREAD + 0.5)
    assert transport.over


def test_a_client_that_leaves_ends_its_query_and_its_parts(live):
    _, transport = client = live.client()
    live.send_request(post(), client)
    [(peer, id, _)] = live.take_shard_requests()
    transport.end()
    live.run(0)
    peer.take_shard_requests()
    assert peer.cancelled_ids == [id]
    assert not live.daemon.coordinator.queries and not live.daemon.coordinator._shard_requests


def test_ready_only_once_discovery_has_spoken_or_failed(live):
    ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    assert status(live.send_request(ready).take()) == 503
    live.discovery[0].refuse()
    assert status(live.send_request(ready).take()) == 200


def test_what_is_given_up_is_refused_at_once_with_a_time_to_come_back(live):
    transport = live.send_request(post(deadline=400))
    [(_peer, _id, _)] = live.take_shard_requests()
    live.run(0.5)
    written = transport.take()
    assert status(written) == 503 and b"Retry-After: " in written


def test_an_unsafe_query_that_may_have_run_is_failed_not_refused(live):
    transport = live.send_request(post(path="/book"))
    [(peer, _id, _)] = live.take_shard_requests()
    peer.transport.end()
    live.run(0)
    assert status(transport.take()) == 504 and not live.take_shard_requests()


def test_an_unsafe_part_goes_on_to_the_next_node_where_the_first_never_came_up(live):
    transport = live.send_request(post(path="/book"))
    live.nodes[0].refuse()
    live.nodes.clear()
    live.run(0.01)
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    assert status(transport.take()) == 200


def test_sigterm_serves_what_is_held_and_then_leaves():
    live = RouterHarness()
    held = live.client()
    live.daemon.terminate()
    assert status(live.send_request(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").take()) == 503
    live.send_request(post(id="after"), held)
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    written = held[1].take()
    assert status(written) == 200 and b"Connection: close" not in written
    live.run(live.daemon.settings.drain_delay / 1000 + 0.2)
    assert held[1].over and live.reactor.hasStopped


@pytest.mark.parametrize("before_exit", [0.0701, 0.0101, 0.0001])  # s
def test_a_request_that_is_complete_just_before_the_exit_is_answered(before_exit):
    """Guards against a request that is read in the last moment and dies with the process."""
    live = RouterHarness()
    live.daemon.terminate()
    live.run(live.daemon.settings.drain_delay / 1000 - 0.1)
    protocol, transport = live.client()
    data = post(id="last")
    protocol.dataReceived(data[:50])
    exit_at = live.daemon.coordinator.shutdown_deadline / 1000 + 0.08
    while (left := exit_at - before_exit - live.reactor.seconds()) > 0:
        live.reactor.advance(min(left, 0.001))
    read = not transport.over
    protocol.dataReceived(data[50:])
    answers = []  # what had been written when the process ended
    live.reactor.stop = lambda: answers.append(transport.take())
    for _ in range(40):
        live.reactor.advance(0.0049)
    assert not live.daemon.coordinator.lifecycle.violated
    assert not read or status(answers[0]) == 503


def test_sigterm_leaves_nothing_unanswered_by_the_kill():
    live = RouterHarness()
    live.daemon.terminate()
    live.run(1.0)
    transport = live.send_request(post(path="/book", deadline=2000))
    live.take_shard_requests()
    live.run(live.daemon.settings.shutdown_timeout / 1000 - 1.0 + 0.1)
    assert status(transport.take()) in (503, 504)
    live.run(0.2)
    assert live.reactor.hasStopped


def test_sighup_moves_the_watch_and_a_bad_file_changes_nothing(tmp_path):
    path = tmp_path / "config.json"
    live = RouterHarness(environ={"NODE_CONFIG": str(path)})
    path.write_bytes(b"{")
    live.daemon.reload()
    live.run(0)
    assert len(live.discovery) == 1
    path.write_bytes(config(discovery="127.0.0.9:8600"))
    live.daemon.reload()
    live.run(0)
    assert live.discovery[1].port == 8600
    transport = live.discovery[1].accept().transport
    assert transport.take().startswith(b"GET /api/targets?watch=1&after=4 HTTP/1.1\r\n")


@pytest.mark.parametrize("shard_requests", [3, 23, 44, 57])
def test_weights_of_six_decimals_make_a_whole_answer_whatever_their_number(shard_requests):
    """Danger: 44 times 0.022727 is 0.999988: a class of 44 parts given up at its first answer."""
    told = OPERATOR_SETTINGS | {"familyInfo": OPERATOR_SETTINGS["familyInfo"] | {"slabs": 99}}
    live = RouterHarness(config(settings=told))
    live.discovery[0].refuse()
    weight = float(f"{1 / shard_requests:.6f}")
    transport = live.send_request(post(shards=[(shard, weight) for shard in range(shard_requests)]))
    for _ in range(2 * shard_requests):
        for peer, id, _ in live.take_shard_requests():
            peer.send(answer(id))
    live.run(0)
    written = transport.take()
    assert status(written) == 200
    assert body(written)["complete"] and len(body(written)["hits"]) == shard_requests


@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("end", ["left", "given up"])
def test_nothing_of_an_ended_query_goes_out_when_a_connection_comes_up(end, can_cancel):
    """Danger: where nodes take no cancels, a part that waited for its connection started after the
    end.
    """
    caps = OPERATOR_SETTINGS["caps"] | {"cancel": can_cancel, "connectTimeout": 3000.0}
    live = RouterHarness(config(settings=OPERATOR_SETTINGS | {"caps": caps}))
    live.discovery[0].refuse()
    _, transport = client = live.client()
    live.send_request(post(deadline=300), client)
    assert live.nodes
    if end == "left":
        transport.end()
    else:
        live.run(0.29)
        assert status(transport.take()) == 503
    assert not live.take_shard_requests() and not live.daemon.coordinator._shard_requests


KEYED = [
    OPERATOR_SETTINGS["services"][0],
    OPERATOR_SETTINGS["services"][1] | {"effect": "idempotency_key", "window": 5000.0},
]


def test_the_key_of_a_keyed_query_goes_with_every_part_and_every_attempt():
    """Danger: a repeat that its node cannot know as one takes effect twice."""
    live = RouterHarness(config(settings=OPERATOR_SETTINGS | {"services": KEYED}))
    live.discovery[0].refuse()
    more = "Idempotency-Key: 69df97975326601f\r\n"
    transport = live.send_request(post(path="/book", more=more))
    for _ in range(2):
        live.run(0.02)
        peer = live.nodes.pop().accept()
        assert peer.transport.value().endswith(b",k=69df97975326601f 4\nc41e")
        peer.transport.end()  # it may have run: with its key it goes on, within the window
    assert not transport.take()


@pytest.mark.parametrize("more", ["", "Idempotency-Key: a,d=9\r\n", "Idempotency-Key: a b\r\n"])
def test_a_keyed_query_without_a_usable_key_is_refused(more):
    live = RouterHarness(config(settings=OPERATOR_SETTINGS | {"services": KEYED}))
    assert (
        status(live.send_request(post(path="/book", more=more)).take()) == 400
        and not live.take_shard_requests()
    )


def test_where_lists_are_pushed_a_router_is_ready_only_with_a_list():
    """Danger: what the agent has counts as told from the first moment on; the known list may be
    old.
    """
    live = RouterHarness(config(settings=OPERATOR_SETTINGS | {"discovery": "push"}))
    ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    assert not live.reactor.tcpServers  # a front that missed the last process's death sends at once
    for asked in range(
        1, 20
    ):  # again within a quarter of the drain grace: what it says at its return counts
        live.discovery[-1].refuse()
        live.run(0.13)
        assert not live.reactor.tcpServers and len(live.discovery) == asked + 1
    live.discovery[-1].accept().send(
        b'HTTP/1.1 200 OK\r\n\r\n{"version":4,"full":false,"servers":[]}\n'
    )
    assert len(live.reactor.tcpServers) == 1
    assert status(live.send_request(ready).take()) == 200


def test_a_leaving_router_refuses_what_never_ran_with_a_time_to_come_back():
    live = RouterHarness(
        config(
            settings=OPERATOR_SETTINGS
            | {
                "caps": OPERATOR_SETTINGS["caps"] | {"connectTimeout": 9000.0},
                "services": [
                    one | {"aim": 6000.0, "giveUp": 9000.0} for one in OPERATOR_SETTINGS["services"]
                ],
            }
        )
    )
    unsent = live.send_request(post(path="/book", deadline=9000))
    live.daemon.terminate()
    sent = live.send_request(post(id="out", path="/book", deadline=9000))
    live.nodes[-1].accept()
    live.run(live.daemon.settings.shutdown_timeout / 1000 + 0.1)
    written = unsent.take()
    assert status(written) == 503 and b"Retry-After: " in written
    assert status(sent.take()) in (503, 504) and live.reactor.hasStopped


def test_nothing_behind_the_last_answer_of_a_connection_is_taken_or_answered(live):
    """Danger: read with the request before it, sent on, and its answer cannot leave any more."""
    live.daemon.server.draining = True
    probe = b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n"
    for behind in (post(id="behind"), b"\x16\x03\x01\r\n\r\n"):
        transport = live.send_request(probe + behind)
        assert transport.over and transport.take().count(b"HTTP/1.1 ") == 1
    assert not live.take_shard_requests() and not live.daemon.coordinator.counts["taken"]


def test_a_fault_in_taking_one_query_costs_that_one_alone(live, monkeypatch):
    accept = live.daemon.coordinator.accept

    def faulty(told, *more):
        if told.id == b"bad":
            raise RuntimeError("a fault of ours")
        return accept(told, *more)

    monkeypatch.setattr(live.daemon.coordinator, "accept", faulty)
    bad, good = live.client(), live.client()
    bad[0].dataReceived(post(id="bad"))
    good[0].dataReceived(post(id="good"))
    live.run(0)
    assert status(bad[1].take()) == 503 and not bad[1].over
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id))
    live.run(0)
    assert status(good[1].take()) == 200


def test_who_seems_silent_because_this_process_stood_still_is_read_first(live):
    """Danger: timers fire before sockets are read, and a first request in the system goes
    unanswered.
    """
    protocol, transport = live.client()
    node = live.send_request(post(id="first"))
    [(peer, id, _)] = live.take_shard_requests()
    peer.send(answer(id)[:-3])
    live.reactor.advance(2.5)  # one turn that late
    assert not transport.over and not peer.transport.over
    peer.send(answer(id)[-3:])
    live.send_request(post(id="second"), (protocol, transport))
    assert [id for _, id, _ in live.take_shard_requests()] == ["second.0"]
    assert status(node.take()) in (200, 503)


def test_who_is_silent_is_closed_though_every_look_comes_late(live):
    _, transport = live.client()
    for _ in range(8):
        live.reactor.advance(0.4)
    assert transport.over


def test_an_address_that_another_process_still_holds_is_tried_again(monkeypatch):
    """Danger: a restart while the old process is closing: deaf for good, and never ready."""
    listen, refusals = MemoryReactorClock.listenTCP, [1, 1, 1]

    def busy(self, port, *more, **named):
        if refusals:
            refusals.pop()
            raise CannotListenError("127.0.0.1", port, OSError(98, "in use"))
        return listen(self, port, *more, **named)

    monkeypatch.setattr(MemoryReactorClock, "listenTCP", busy)
    live = RouterHarness()
    live.discovery[0].refuse()
    live.run(0.25)
    assert not live.daemon.server.ready
    live.run(0.1)
    assert live.daemon.server.ready and len(live.reactor.tcpServers) == 1
