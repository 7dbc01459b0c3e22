"""What the router believes of a roster: late, cut, repeated, reordered, reborn, false."""

from tansycrank import routing
from tansycrank.discovery import view_messages
from tansycrank.discovery.endpoint_view import EndpointView, FeedLine, NodeLine


def node(number, status="ready", started=0.0, cell=0, port=5000):
    return NodeLine(number, "127.0.0.1", port + number, cell, "a", status, started)


class Feed:
    def __init__(self):
        self.view, self.now = EndpointView(("a", "b"), 4, 4000.0, 100), 0.0
        self.play(view_messages.WatchRequested())
        self.play(view_messages.ConnectionEstablished())

    def play(self, event, after=0.0):
        self.now += after
        return self.view.step(self.now, [event])

    def handle(self, kind, version, *nodes, epoch=1):
        return self.play(view_messages.LineReceived(FeedLine(kind, version, epoch, nodes)))


def told(actions):
    return [a.update for a in actions if isinstance(a, view_messages.PublishUpdate)]


def says(actions):
    return [a.operation for a in actions if isinstance(a, view_messages.SendRequest)]


def test_a_snapshot_sets_addresses_and_publishes_an_update():
    feed = Feed()
    actions = feed.handle("full", 1, node(1), node(2))
    assert [a.endpoint for a in actions if isinstance(a, view_messages.SetAddress)] == [1, 2]
    assert (
        told(actions)[0].kind is routing.EndpointListKind.SNAPSHOT
        and len(told(actions)[0].entries) == 2
    )


def test_an_older_snapshot_restores_no_removed_endpoint():
    feed = Feed()
    feed.handle("full", 5, node(1))
    assert not told(feed.handle("full", 4, node(1), node(2)))


def test_repeated_and_reordered_deltas_are_ignored():
    feed = Feed()
    feed.handle("full", 5, node(1), node(2))
    assert told(feed.handle("changes", 6, node(2, "draining")))
    assert not told(feed.handle("changes", 6, node(2, "ready")))
    assert not told(feed.handle("changes", 3, node(2, "ready")))


def test_a_version_gap_requests_one_snapshot_and_still_publishes_a_drain():
    feed = Feed()
    feed.handle("full", 5, node(1), node(2))
    actions = feed.handle("changes", 9, node(2, "draining"))
    assert (
        says(actions) == ["list"]
        and told(actions)[0].entries[0].status is routing.EndpointStatus.DRAINING
    )
    assert says(feed.handle("changes", 11, node(1, "draining"))) == []
    assert told(feed.handle("full", 11, node(1, "draining")))


def test_a_heartbeat_of_a_newer_version_requests_a_snapshot():
    feed = Feed()
    feed.handle("full", 5, node(1))
    assert says(feed.handle("beat", 5)) == []
    assert says(feed.handle("beat", 6)) == ["list"]


def test_a_new_epoch_counts_from_its_snapshot_on():
    feed = Feed()
    feed.handle("full", 50, node(1), node(2))
    assert says(feed.handle("changes", 2, node(1, "gone"), epoch=2)) == ["list"]
    assert 1 in feed.view.nodes
    assert told(feed.handle("full", 2, node(2), epoch=2))
    assert set(feed.view.nodes) == {2}


def test_silence_causes_a_poll_and_then_a_failure():
    feed = Feed()
    feed.handle("full", 1, node(1))
    assert says(feed.play(view_messages.TimerExpired(), after=2100.0)) == ["list"]
    actions = feed.play(view_messages.TimerExpired(), after=2100.0)
    assert told(actions)[0].kind is routing.EndpointListKind.FAILED
    assert any(isinstance(a, view_messages.Disconnect) for a in actions)
    assert feed.view.nodes  # the last list stays
    assert any(
        isinstance(a, view_messages.Connect) for a in feed.play(view_messages.WatchRequested())
    )


def test_a_lost_connection_is_published_once():
    feed = Feed()
    assert (
        told(feed.play(view_messages.ConnectionLost()))[0].kind is routing.EndpointListKind.FAILED
    )
    assert not told(feed.play(view_messages.ConnectionLost()))


def test_invalid_nodes_are_left_out_and_logged():
    feed = Feed()
    bad = [node(1, cell=9), node(2, "asleep"), node(3, port=70000), node(4)]
    actions = feed.handle("full", 1, *bad)
    assert set(feed.view.nodes) == {4}
    assert sum(isinstance(a, view_messages.LogProblem) for a in actions) == 3


def test_a_start_before_the_last_start_is_a_restart_that_has_just_happened():
    """A node's own clock may have been set back before it started again."""
    feed = Feed()
    [before] = told(feed.handle("full", 1, node(1, started=7_200_000.0)))[0].entries
    feed.now += 60_000.0
    feed.play(view_messages.LineReceived(FeedLine("beat", 1, 1)))
    [after] = told(feed.handle("changes", 2, node(1, started=3_600_000.0)))[0].entries
    assert after.incarnation > before.incarnation
    assert after.started_at == feed.now


def test_an_unreadable_line_requests_a_snapshot():
    feed = Feed()
    feed.handle("full", 1, node(1))
    assert says(feed.play(view_messages.LineReceived(None))) == ["list"]


def test_the_number_of_nodes_is_bounded():
    feed = Feed()
    feed.handle("full", 1, *(node(n) for n in range(150)))
    assert len(feed.view.nodes) == 100
