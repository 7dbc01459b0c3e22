"""Requests whose id comes again: after its client left, after its answer, or after a refusal."""

import json

import pytest
from live import OPERATOR_SETTINGS, RouterHarness, answer, body, config, post, status

from tansycrank import routing
from tansycrank.http_router.recent_requests import RETENTION_MS, RecentRequests
from tansycrank.lifecycle import Attempt, Query

EFFECTS = {"look": "read_like", "book": "non_idempotent"}


@pytest.fixture
def harness():
    return RouterHarness()


def send_and_leave(harness, name):
    """A request that reaches a data node and whose client then disconnects."""
    transport = harness.send_request(post(id="again", path=f"/{name}"))
    assert len(harness.take_shard_requests()) == 1
    transport.end()


def send_again(harness, name):
    """The status that the same id gets, and whether it reached a data node."""
    transport = harness.send_request(post(id="again", path=f"/{name}"))
    sent = harness.take_shard_requests()
    return status(transport.take()), bool(sent)


@pytest.mark.parametrize("name", EFFECTS)
def test_an_id_whose_client_left_does_not_run_again_while_its_attempt_may_run(harness, name):
    """Guards against ids that run twice since their client has left in between."""
    send_and_leave(harness, name)
    harness.run(0.05)
    assert send_again(harness, name) == (409, False)
    assert send_again(harness, name) == (409, False)


@pytest.mark.parametrize("name", EFFECTS)
def test_an_id_whose_client_left_does_not_run_again_long_after(harness, name):
    send_and_leave(harness, name)
    harness.run(5.0)
    assert send_again(harness, name) == (409, False)


@pytest.mark.parametrize("name, sent_again", [("book", False), ("look", True)])
def test_an_answered_id_runs_again_only_if_it_is_idempotent(harness, name, sent_again):
    transport = harness.send_request(post(id="again", path=f"/{name}"))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200
    assert send_again(harness, name)[1] is sent_again


def test_an_id_that_is_known_no_more_never_gets_the_answer_of_its_first_use(harness):
    harness.daemon.coordinator.acceptance.recent_requests = RecentRequests(max_entries=1)
    first = harness.send_request(post(id="again"))
    [(early, id, _)] = harness.take_shard_requests()
    first.end()
    other = harness.send_request(post(id="other"))
    assert harness.take_shard_requests()
    other.end()  # the only place is taken by its id now
    second = harness.send_request(post(id="again"))
    [(late, _, _)] = harness.take_shard_requests()
    early.send(answer(id, value="of the first one"))
    late.send(answer(id, value="of the second"))
    harness.run(0)
    written = second.take()
    assert status(written) == 200 and body(written)["hits"][0]["doc"] == "of the second"


def test_an_id_that_never_ran_may_come_again(harness):
    transport = harness.send_request(post(id="again", path="/book"))
    transport.end()  # before a connection to its data node is up
    harness.run(0.05)
    assert send_again(harness, "book")[1]


def test_a_keyed_id_whose_client_left_does_not_run_again_after_its_window():
    settings = json.loads(json.dumps(OPERATOR_SETTINGS))
    settings["services"][1].update(effect="idempotency_key", window=500.0)
    harness = RouterHarness(config(settings=settings))
    data = post(id="again", path="/book", more="Idempotency-Key: k1\r\n")
    transport = harness.send_request(data)
    assert len(harness.take_shard_requests()) == 1
    transport.end()
    harness.run(1.5)
    transport = harness.send_request(data)
    assert not harness.take_shard_requests() and status(transport.take()) == 409


def ended_query(deadline):
    """A query that is not idempotent and has run."""
    query = Query("q", routing.Idempotency.NOT_IDEMPOTENT, 0.0, deadline)
    query.attempts[1] = [Attempt(None, query, 1, 1, deadline, deadline, started_at=0.0)]
    return query


def test_ids_are_bounded_and_none_is_forgotten_before_its_deadline():
    recent = RecentRequests(max_entries=10)
    for number in range(10):
        recent.record(b"%d" % number, ended_query(1000.0), 0.0)
    assert not recent.has_room(open_queries=0, now=999.0)
    assert recent.has_room(open_queries=0, now=1000.0) and not recent.contains(b"0", 1000.0)
    recent.record(b"10", ended_query(2000.0), 1000.0)
    assert len(recent) == 10 and all(recent.contains(b"%d" % n, 1000.0) for n in range(1, 11))
    assert not recent.contains(b"9", RETENTION_MS)


def test_queries_in_flight_count_against_the_room_for_ids():
    recent = RecentRequests(max_entries=10)
    recent.record(b"1", ended_query(1000.0), 0.0)
    assert recent.has_room(open_queries=8, now=0.0)
    assert not recent.has_room(open_queries=9, now=0.0)


def test_idempotent_ids_take_no_places_of_others():
    recent = RecentRequests(max_entries=10)
    query = ended_query(1000.0)
    query.idempotency = routing.Idempotency.IDEMPOTENT
    recent.record(b"book", ended_query(1000.0), 0.0)
    for number in range(100):
        recent.record(b"%d" % number, query, 0.0)
    assert len(recent) == 11 and recent.contains(b"book", 0.0)


def test_a_request_that_could_not_be_remembered_is_refused_before_it_runs(harness):
    harness.daemon.coordinator.acceptance.recent_requests = RecentRequests(max_entries=1)
    send_and_leave(harness, "book")
    transport = harness.send_request(post(id="other", path="/book"))
    assert not harness.take_shard_requests() and status(transport.take()) == 503
    transport = harness.send_request(post(id="third", path="/look"))
    assert harness.take_shard_requests()
