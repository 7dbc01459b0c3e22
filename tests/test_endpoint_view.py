"""The endpoint view, given feed lines that are late, cut, repeated, reordered or wrong."""

from tansycrank import routing
from tansycrank.discovery import view_messages
from tansycrank.discovery.endpoint_view import EndpointView, FeedLine, NodeLine


def node(number, status="ready", started=0.0, cell=0, port=5000):
    return NodeLine(number, "127.0.0.1", port + number, cell, "a", status, started)


class FeedHarness:
    def __init__(self):
        self.view, self.now = EndpointView(("a", "b"), 4, 4000.0, 100), 0.0
        self.step(view_messages.WatchRequested())
        self.step(view_messages.ConnectionEstablished())

    def step(self, event, after=0.0):
        self.now += after
        return self.view.step(self.now, [event])

    def receive(self, kind, version, *nodes, epoch=1):
        return self.step(view_messages.LineReceived(FeedLine(kind, version, epoch, nodes)))


def published_updates(actions):
    return [a.update for a in actions if isinstance(a, view_messages.PublishUpdate)]


def requested_operations(actions):
    return [a.operation for a in actions if isinstance(a, view_messages.SendRequest)]


def test_a_snapshot_sets_addresses_and_publishes_an_update():
    feed = FeedHarness()
    actions = feed.receive("full", 1, node(1), node(2))
    assert [a.endpoint for a in actions if isinstance(a, view_messages.SetAddress)] == [1, 2]
    assert (
        published_updates(actions)[0].kind is routing.EndpointListKind.SNAPSHOT
        and len(published_updates(actions)[0].entries) == 2
    )


def test_an_older_snapshot_restores_no_removed_endpoint():
    feed = FeedHarness()
    feed.receive("full", 5, node(1))
    assert not published_updates(feed.receive("full", 4, node(1), node(2)))


def test_repeated_and_reordered_deltas_are_ignored():
    feed = FeedHarness()
    feed.receive("full", 5, node(1), node(2))
    assert published_updates(feed.receive("changes", 6, node(2, "draining")))
    assert not published_updates(feed.receive("changes", 6, node(2, "ready")))
    assert not published_updates(feed.receive("changes", 3, node(2, "ready")))


def test_a_version_gap_requests_one_snapshot_and_still_publishes_a_drain():
    feed = FeedHarness()
    feed.receive("full", 5, node(1), node(2))
    actions = feed.receive("changes", 9, node(2, "draining"))
    assert (
        requested_operations(actions) == ["list"]
        and published_updates(actions)[0].entries[0].status is routing.EndpointStatus.DRAINING
    )
    assert requested_operations(feed.receive("changes", 11, node(1, "draining"))) == []
    assert published_updates(feed.receive("full", 11, node(1, "draining")))


def test_a_heartbeat_of_a_newer_version_requests_a_snapshot():
    feed = FeedHarness()
    feed.receive("full", 5, node(1))
    assert requested_operations(feed.receive("beat", 5)) == []
    assert requested_operations(feed.receive("beat", 6)) == ["list"]


def test_a_new_epoch_counts_from_its_snapshot_on():
    feed = FeedHarness()
    feed.receive("full", 50, node(1), node(2))
    assert requested_operations(feed.receive("changes", 2, node(1, "gone"), epoch=2)) == ["list"]
    assert 1 in feed.view.nodes
    assert published_updates(feed.receive("full", 2, node(2), epoch=2))
    assert set(feed.view.nodes) == {2}


def test_silence_causes_a_poll_and_then_a_failure():
    feed = FeedHarness()
    feed.receive("full", 1, node(1))
    assert requested_operations(feed.step(view_messages.TimerExpired(), after=2100.0)) == ["list"]
    actions = feed.step(view_messages.TimerExpired(), after=2100.0)
    assert published_updates(actions)[0].kind is routing.EndpointListKind.FAILED
    assert any(isinstance(a, view_messages.Disconnect) for a in actions)
    assert feed.view.nodes  # the last list is kept
    assert any(
        isinstance(a, view_messages.Connect) for a in feed.step(view_messages.WatchRequested())
    )


def test_a_lost_connection_is_published_once():
    feed = FeedHarness()
    assert (
        published_updates(feed.step(view_messages.ConnectionLost()))[0].kind
        is routing.EndpointListKind.FAILED
    )
    assert not published_updates(feed.step(view_messages.ConnectionLost()))


def test_invalid_nodes_are_left_out_and_logged():
    feed = FeedHarness()
    nodes = [node(1, cell=9), node(2, "asleep"), node(3, port=70000), node(4)]
    actions = feed.receive("full", 1, *nodes)
    assert set(feed.view.nodes) == {4}
    assert sum(isinstance(a, view_messages.LogProblem) for a in actions) == 3


def test_a_start_before_the_last_start_is_a_restart_that_has_just_happened():
    """The node's clock may have been set back before the restart."""
    feed = FeedHarness()
    [before] = published_updates(feed.receive("full", 1, node(1, started=7_200_000.0)))[0].entries
    feed.now += 60_000.0
    feed.step(view_messages.LineReceived(FeedLine("beat", 1, 1)))
    [after] = published_updates(feed.receive("changes", 2, node(1, started=3_600_000.0)))[0].entries
    assert after.incarnation > before.incarnation
    assert after.started_at == feed.now


def test_an_unreadable_line_requests_a_snapshot():
    feed = FeedHarness()
    feed.receive("full", 1, node(1))
    assert requested_operations(feed.step(view_messages.LineReceived(None))) == ["list"]


def test_the_number_of_nodes_is_bounded():
    feed = FeedHarness()
    feed.receive("full", 1, *(node(n) for n in range(150)))
    assert len(feed.view.nodes) == 100
