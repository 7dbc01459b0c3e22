"""The HTTP server: valid and invalid requests, connection limits, readiness and shutdown."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from live import OPERATOR_SETTINGS, RouterHarness, answer, body, config, post, status
from twisted.internet.error import CannotListenError
from twisted.internet.testing import MemoryReactorClock

from tansycrank.http_router import client_connection, http_server


@pytest.fixture
def harness():
    return RouterHarness()


def test_query_is_answered_with_the_value_of_each_shard_request(harness):
    client = harness.send_request(post(shards=((3, 0.5), (7, 0.5))))
    sent = harness.take_shard_requests()
    assert sorted((id, shard) for _, id, shard in sent) == [("q1.3", 3), ("q1.7", 7)]
    for peer, id, shard in sent:
        peer.send(answer(id, value=f"value-{shard}"))
    harness.run(0)
    written = client.take()
    assert status(written) == 200
    found = body(written)
    assert found["complete"] is True
    assert sorted((hit["shard"], hit["doc"]) for hit in found["hits"]) == [
        (3, "value-3"),
        (7, "value-7"),
    ]


INVALID = {
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


@pytest.mark.parametrize("name", INVALID)
def test_invalid_query_is_rejected_and_the_connection_stays_open(harness, name):
    client = harness.client()
    transport = harness.send_request(INVALID[name], client)
    assert 400 <= status(transport.take()) < 500
    assert not transport.over and not harness.take_shard_requests()
    harness.send_request(post(id="good"), client)
    assert [id for _, id, _ in harness.take_shard_requests()] == ["good.0"]


MALFORMED = {
    "garbage": b"\x16\x03\x01\x02\x00\x01\x00\x01",
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


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_gets_an_error_and_closes_the_connection(harness, name):
    protocol, transport = client = harness.client()
    harness.send_request(MALFORMED[name], client)
    assert 400 <= status(transport.take()) < 500
    # further input is discarded
    assert transport.half_closed and transport.producerState == "producing"
    for _ in range(5):
        protocol.dataReceived(b"x" * 65_536)
    assert transport.producerState == "paused" and not transport.take()
    harness.run(0.5)
    assert transport.over and not harness.take_shard_requests()


def test_request_smuggled_in_the_body_of_another_is_not_forwarded(harness):
    hidden = post(id="hidden")
    outer = (
        b"POST /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: outer\r\nX-Deadline-Ms: 900\r\n"
        b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(hidden) + 5)
    ) + hidden
    transport = harness.send_request(outer)
    assert status(transport.take()) == 400 and not harness.take_shard_requests()


@given(st.binary(max_size=400), st.lists(st.integers(1, 90), max_size=12), st.integers(0, 180))
def test_arbitrary_bytes_in_any_split_neither_raise_nor_are_answered(garbage, cuts, at):
    harness = RouterHarness()
    protocol, transport = harness.client()
    complete = post()
    data = complete[:at] + garbage
    for cut in [*cuts, len(data)]:
        if data and not transport.over:
            protocol.dataReceived(data[:cut])
        data = data[cut:]
    assert status(transport.take()) != 200


@given(st.lists(st.integers(1, 60), max_size=12))
def test_request_is_parsed_the_same_in_any_split(cuts):
    harness = RouterHarness()
    protocol, _ = harness.client()
    data = post(shards=((3, 0.5), (7, 0.5)))
    for cut in [*cuts, len(data)]:
        if data:
            protocol.dataReceived(data[:cut])
        data = data[cut:]
    assert sorted(id for _, id, _ in harness.take_shard_requests()) == ["q1.3", "q1.7"]


def test_chunked_request_may_arrive_byte_by_byte(harness):
    text = b'{"shards":[{"shard":1,"weight":1}],"q":"x"}'
    complete = (
        b"POST /look HTTP/1.1\r\nHost: a\r\nX-Request-Id: c1\r\nX-Deadline-Ms: 900\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(text), text)
    )
    protocol, _ = harness.client()
    for byte in complete:
        protocol.dataReceived(bytes([byte]))
    assert [id for _, id, _ in harness.take_shard_requests()] == ["c1.1"]


def test_duplicate_request_id_is_rejected_and_the_first_query_answered(harness):
    first = harness.send_request(post(id="one"))
    second = harness.send_request(post(id="one"))
    assert status(second.take()) == 409
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(first.take()) == 200


def test_pipelined_answers_keep_request_order(harness):
    transport = harness.send_request(post(id="one") + post(id="two", shards=((1, 1.0),)))
    sent = {id: peer for peer, id, _ in harness.take_shard_requests()}
    sent["two.1"].send(answer("two.1", value="2"))
    harness.run(0)
    assert transport.take() == b""
    sent["one.0"].send(answer("one.0", value="1"))
    harness.run(0)
    written = transport.take()
    assert written.index(b'"doc":"1"') < written.index(b'"doc":"2"')


def test_input_after_a_malformed_request_is_discarded_while_earlier_answers_are_pending(harness):
    protocol, transport = client = harness.client()
    harness.send_request(post(id="good") + b"\x16\x03\x01\r\n\r\n", client)
    assert len(protocol.pending) == 2
    protocol.resumeProducing()  # the client reads again: more input may be parsed
    for _ in range(50):
        protocol.dataReceived(b"\x16\x03\x01\r\n\r\n")
    assert len(protocol.pending) == 2
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    written = transport.take()
    assert written.count(b"HTTP/1.1 ") == 2 and written.startswith(b"HTTP/1.1 200")
    assert transport.half_closed  # further input causes no reset that would lose the answers
    harness.run(client_connection.LINGER_TIME + 0.05)
    assert transport.over and not transport.take()


def test_pipelined_requests_are_limited(harness):
    transport = harness.send_request(b"".join(post(id=f"r{n}") for n in range(300)))
    assert len(harness.daemon.coordinator.queries) <= client_connection.MAX_PIPELINE
    harness.run(2.5)
    assert transport.over and not harness.daemon.coordinator.queries


def test_query_above_the_in_flight_limit_is_rejected_with_retry_after(harness):
    for n in range(30):  # two entries each: a query and its shard request
        harness.send_request(post(id=f"r{n}"))
    written = harness.send_request(post(id="more")).take()
    assert status(written) == 503 and b"Retry-After: 0." in written
    assert harness.daemon.coordinator.in_flight <= 60


def test_silent_connection_is_closed_within_three_seconds(harness):
    _protocol, transport = harness.client()
    half, half_transport = harness.client()
    half.dataReceived(post()[:60])
    harness.run(2.5)
    assert transport.over and transport.take() == b""
    assert status(half_transport.take()) == 408 and half_transport.over


def test_silent_connections_are_evicted_at_the_limit_after_a_grace(harness):
    client = harness.client()
    harness.send_request(post(id="busy"), client)
    new_clients = [
        harness.client() for _ in range(harness.daemon.settings.max_client_connections - 1)
    ]
    assert not harness.port.reading  # full: further connections wait in the accept queue
    assert not any(transport.over for _, transport in new_clients)
    harness.run(http_server.FIRST_REQUEST_GRACE + 0.05)
    assert (
        harness.port.reading and [transport.over for _, transport in new_clients].count(True) == 1
    )
    for _ in range(20):
        harness.client()
    assert len(harness.daemon.server.connections) <= harness.daemon.settings.max_client_connections
    assert not client[1].over
    peer, id, _ = harness.take_shard_requests()[0]  # a hedge may have been sent by now
    peer.send(answer(id))
    harness.run(0)
    assert status(client[1].take()) == 200


def test_idle_connections_after_a_query_are_limited_and_the_longest_idle_closed(harness):
    """Guards against clients that keep idle connections open until others get none."""
    bound, transports = harness.daemon.settings.max_idle_client_connections, []
    held = harness.client()
    harness.send_request(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", held)
    for n in range(bound + 3):
        transports.append(harness.send_request(post(id=f"r{n}")))
        for peer, id, _ in harness.take_shard_requests():
            peer.send(answer(id))
        harness.run(0)
    assert [transport.over for transport in transports] == [True] * 3 + [False] * bound
    assert all(status(transport.take()) == 200 for transport in transports)
    assert not held[1].over  # readiness checks do not count as queries


def test_connection_in_use_again_is_not_counted_as_idle(harness):
    client = harness.client()
    for n in range(harness.daemon.settings.max_idle_client_connections + 2):
        other = harness.send_request(post(id=f"r{n}"))
        [(peer, id, _)] = harness.take_shard_requests()
        peer.send(answer(id))
        harness.run(0)
        harness.send_request(post(id=f"again{n}"), client)
        [(peer, id, _)] = harness.take_shard_requests()
        peer.send(answer(id))
        harness.run(0)
        assert not client[1].over and status(other.take()) == 200


def test_connection_whose_client_does_not_read_is_closed(harness):
    protocol, transport = harness.client()
    protocol.pauseProducing()
    harness.run(client_connection.UNREAD_TIMEOUT + 0.5)
    assert transport.over


def test_client_disconnect_cancels_its_query_and_shard_requests(harness):
    _, transport = client = harness.client()
    harness.send_request(post(), client)
    [(peer, id, _)] = harness.take_shard_requests()
    transport.end()
    harness.run(0)
    peer.take_shard_requests()
    assert peer.cancelled_ids == [id]
    assert not harness.daemon.coordinator.queries and not harness.daemon.coordinator._shard_requests


def test_ready_only_after_discovery_has_answered_or_failed(harness):
    ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    assert status(harness.send_request(ready).take()) == 503
    harness.discovery[0].refuse()
    assert status(harness.send_request(ready).take()) == 200


def test_query_past_its_deadline_is_rejected_with_retry_after(harness):
    transport = harness.send_request(post(deadline=400))
    [(_peer, _id, _)] = harness.take_shard_requests()
    harness.run(0.5)
    written = transport.take()
    assert status(written) == 503 and b"Retry-After: " in written


def test_non_idempotent_query_that_may_have_run_is_failed_not_rejected(harness):
    transport = harness.send_request(post(path="/book"))
    [(peer, _id, _)] = harness.take_shard_requests()
    peer.transport.end()
    harness.run(0)
    assert status(transport.take()) == 504 and not harness.take_shard_requests()


def test_non_idempotent_shard_request_is_retried_after_a_failed_connect(harness):
    transport = harness.send_request(post(path="/book"))
    harness.nodes[0].refuse()
    harness.nodes.clear()
    harness.run(0.01)
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200


def test_sigterm_answers_queries_on_open_connections_and_then_stops():
    harness = RouterHarness()
    held = harness.client()
    harness.daemon.terminate()
    assert status(harness.send_request(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").take()) == 503
    harness.send_request(post(id="after"), held)
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    written = held[1].take()
    assert status(written) == 200 and b"Connection: close" not in written
    harness.run(harness.daemon.settings.drain_delay / 1000 + 0.2)
    assert held[1].over and harness.reactor.hasStopped


@pytest.mark.parametrize("before_exit", [0.0701, 0.0101, 0.0001])  # s
def test_request_completed_just_before_the_exit_is_answered(before_exit):
    """Guards against a request that is read just before the exit and never answered."""
    harness = RouterHarness()
    harness.daemon.terminate()
    harness.run(harness.daemon.settings.drain_delay / 1000 - 0.1)
    protocol, transport = harness.client()
    data = post(id="last")
    protocol.dataReceived(data[:50])
    exit_at = harness.daemon.coordinator.shutdown_deadline / 1000 + 0.08
    while (left := exit_at - before_exit - harness.reactor.seconds()) > 0:
        harness.reactor.advance(min(left, 0.001))
    read = not transport.over
    protocol.dataReceived(data[50:])
    answers = []  # written by the time the process ended
    harness.reactor.stop = lambda: answers.append(transport.take())
    for _ in range(40):
        harness.reactor.advance(0.0049)
    assert not harness.daemon.coordinator.lifecycle.violated
    assert not read or status(answers[0]) == 503


def test_sigterm_answers_every_query_before_sigkill():
    harness = RouterHarness()
    harness.daemon.terminate()
    harness.run(1.0)
    transport = harness.send_request(post(path="/book", deadline=2000))
    harness.take_shard_requests()
    harness.run(harness.daemon.settings.shutdown_timeout / 1000 - 1.0 + 0.1)
    assert status(transport.take()) in (503, 504)
    harness.run(0.2)
    assert harness.reactor.hasStopped


def test_sighup_changes_the_watched_address_and_ignores_an_invalid_file(tmp_path):
    path = tmp_path / "config.json"
    harness = RouterHarness(environ={"NODE_CONFIG": str(path)})
    path.write_bytes(b"{")
    harness.daemon.reload()
    harness.run(0)
    assert len(harness.discovery) == 1
    path.write_bytes(config(discovery="127.0.0.9:8600"))
    harness.daemon.reload()
    harness.run(0)
    assert harness.discovery[1].port == 8600
    transport = harness.discovery[1].accept().transport
    assert transport.take().startswith(b"GET /api/targets?watch=1&after=4 HTTP/1.1\r\n")


@pytest.mark.parametrize("shard_requests", [3, 23, 44, 57])
def test_weights_rounded_to_six_decimals_give_a_complete_answer(shard_requests):
    """Guards against rounding: 44 times 0.022727 is 0.999988, less than complete coverage.

    All queries with 44 shard requests were then given up at their first answer.
    """
    settings = OPERATOR_SETTINGS | {"familyInfo": OPERATOR_SETTINGS["familyInfo"] | {"slabs": 99}}
    harness = RouterHarness(config(settings=settings))
    harness.discovery[0].refuse()
    weight = float(f"{1 / shard_requests:.6f}")
    transport = harness.send_request(
        post(shards=[(shard, weight) for shard in range(shard_requests)])
    )
    for _ in range(2 * shard_requests):
        for peer, id, _ in harness.take_shard_requests():
            peer.send(answer(id))
    harness.run(0)
    written = transport.take()
    assert status(written) == 200
    assert body(written)["complete"] and len(body(written)["hits"]) == shard_requests


@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("end", ["left", "given up"])
def test_shard_requests_of_an_ended_query_are_not_sent_once_a_connection_is_established(
    end, can_cancel
):
    """Guards against sending a shard request that waited for its connection after its query ended.

    This happened where data nodes do not support cancelling.
    """
    caps = OPERATOR_SETTINGS["caps"] | {"cancel": can_cancel, "connectTimeout": 3000.0}
    harness = RouterHarness(config(settings=OPERATOR_SETTINGS | {"caps": caps}))
    harness.discovery[0].refuse()
    _, transport = client = harness.client()
    harness.send_request(post(deadline=300), client)
    assert harness.nodes
    if end == "left":
        transport.end()
    else:
        harness.run(0.29)
        assert status(transport.take()) == 503
    assert not harness.take_shard_requests() and not harness.daemon.coordinator._shard_requests


SERVICES_WITH_KEY = [
    OPERATOR_SETTINGS["services"][0],
    OPERATOR_SETTINGS["services"][1] | {"effect": "idempotency_key", "window": 5000.0},
]


def test_idempotency_key_is_sent_with_every_attempt():
    """Guards against a retry that takes effect twice because its node cannot recognize it."""
    harness = RouterHarness(config(settings=OPERATOR_SETTINGS | {"services": SERVICES_WITH_KEY}))
    harness.discovery[0].refuse()
    more = "Idempotency-Key: 69df97975326601f\r\n"
    transport = harness.send_request(post(path="/book", more=more))
    for _ in range(2):
        harness.run(0.02)
        peer = harness.nodes.pop().accept()
        assert peer.transport.value().endswith(b",k=69df97975326601f 4\nc41e")
        peer.transport.end()  # it may have run: the key allows a retry within the window
    assert not transport.take()


@pytest.mark.parametrize("more", ["", "Idempotency-Key: a,d=9\r\n", "Idempotency-Key: a b\r\n"])
def test_query_without_a_valid_idempotency_key_is_rejected(more):
    harness = RouterHarness(config(settings=OPERATOR_SETTINGS | {"services": SERVICES_WITH_KEY}))
    assert (
        status(harness.send_request(post(path="/book", more=more)).take()) == 400
        and not harness.take_shard_requests()
    )


def test_with_pushed_lists_a_router_is_ready_only_after_the_first_list():
    """Guards against serving from an outdated list of the configuration.

    The list of the agent is binding from the start of the process.
    """
    harness = RouterHarness(config(settings=OPERATOR_SETTINGS | {"discovery": "push"}))
    ready = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    assert not harness.reactor.tcpServers  # a client unaware of the restart would send
    # polled again within a quarter of the drain grace: the first list after its return is binding
    for polls in range(1, 20):
        harness.discovery[-1].refuse()
        harness.run(0.13)
        assert not harness.reactor.tcpServers and len(harness.discovery) == polls + 1
    harness.discovery[-1].accept().send(
        b'HTTP/1.1 200 OK\r\n\r\n{"version":4,"full":false,"servers":[]}\n'
    )
    assert len(harness.reactor.tcpServers) == 1
    assert status(harness.send_request(ready).take()) == 200


def test_shutdown_rejects_unsent_queries_with_retry_after():
    harness = RouterHarness(
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
    unsent = harness.send_request(post(path="/book", deadline=9000))
    harness.daemon.terminate()
    sent = harness.send_request(post(id="out", path="/book", deadline=9000))
    harness.nodes[-1].accept()
    harness.run(harness.daemon.settings.shutdown_timeout / 1000 + 0.1)
    written = unsent.take()
    assert status(written) == 503 and b"Retry-After: " in written
    assert status(sent.take()) in (503, 504) and harness.reactor.hasStopped


def test_requests_after_the_last_answer_of_a_connection_are_not_accepted(harness):
    """Guards against a pipelined query that is sent to nodes but can no longer be answered."""
    harness.daemon.server.draining = True
    probe = b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n"
    for behind in (post(id="behind"), b"\x16\x03\x01\r\n\r\n"):
        transport = harness.send_request(probe + behind)
        assert transport.over and transport.take().count(b"HTTP/1.1 ") == 1
    assert not harness.take_shard_requests() and not harness.daemon.coordinator.counts["taken"]


def test_exception_while_accepting_a_query_affects_only_that_query(harness, monkeypatch):
    accept = harness.daemon.coordinator.accept

    def faulty(request, *more):
        if request.id == b"bad":
            raise RuntimeError("injected fault")
        return accept(request, *more)

    monkeypatch.setattr(harness.daemon.coordinator, "accept", faulty)
    bad, good = harness.client(), harness.client()
    bad[0].dataReceived(post(id="bad"))
    good[0].dataReceived(post(id="good"))
    harness.run(0)
    assert status(bad[1].take()) == 503 and not bad[1].over
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(good[1].take()) == 200


def test_after_a_process_stall_pending_input_is_read_before_time_outs_apply(harness):
    """Guards against timers that fire before sockets are read, so that a pending first request is
    never answered.
    """
    protocol, transport = harness.client()
    node = harness.send_request(post(id="first"))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id)[:-3])
    harness.reactor.advance(2.5)  # a single reactor iteration
    assert not transport.over and not peer.transport.over
    peer.send(answer(id)[-3:])
    harness.send_request(post(id="second"), (protocol, transport))
    assert [id for _, id, _ in harness.take_shard_requests()] == ["second.0"]
    assert status(node.take()) in (200, 503)


def test_silent_connection_is_closed_even_if_every_maintenance_is_late(harness):
    _, transport = harness.client()
    for _ in range(8):
        harness.reactor.advance(0.4)
    assert transport.over


def test_bind_is_retried_while_another_process_holds_the_address(monkeypatch):
    """Guards against a new process that never listens after the old one held its address."""
    listen, failures_left = MemoryReactorClock.listenTCP, [1, 1, 1]

    def failing_listen(self, port, *more, **named):
        if failures_left:
            failures_left.pop()
            raise CannotListenError("127.0.0.1", port, OSError(98, "in use"))
        return listen(self, port, *more, **named)

    monkeypatch.setattr(MemoryReactorClock, "listenTCP", failing_listen)
    harness = RouterHarness()
    harness.discovery[0].refuse()
    harness.run(0.25)
    assert not harness.daemon.server.ready
    harness.run(0.1)
    assert harness.daemon.server.ready and len(harness.reactor.tcpServers) == 1
