"""What the router believes of a roster: late, cut, repeated, reordered, reborn, false."""

from tansycrank import routing
from tansycrank.discovery import endpoint_view
from tansycrank.discovery.endpoint_view import EndpointView, FeedLine, NodeLine


def node(number, status="ready", started=0.0, cell=0, port=5000):
    return NodeLine(number, "127.0.0.1", port + number, cell, "a", status, started)


class Feed:
    def __init__(self):
        self.view, self.now = EndpointView(("a", "b"), 4, 4000.0, 100), 0.0
        self.play(endpoint_view.Asked())
        self.play(endpoint_view.Connected())

    def play(self, event, after=0.0):
        self.now += after
        return self.view.step(self.now, [event])

    def handle(self, kind, version, *nodes, epoch=1):
        return self.play(endpoint_view.Heard(FeedLine(kind, version, epoch, nodes)))


def told(actions):
    return [a.event for a in actions if isinstance(a, endpoint_view.Tell)]


def says(actions):
    return [a.op for a in actions if isinstance(a, endpoint_view.Say)]


def test_a_whole_list_places_nodes_and_tells_the_module():
    feed = Feed()
    actions = feed.handle("full", 1, node(1), node(2))
    assert [a.id for a in actions if isinstance(a, endpoint_view.Place)] == [1, 2]
    assert (
        told(actions)[0].kind is routing.EndpointListKind.SNAPSHOT
        and len(told(actions)[0].entries) == 2
    )


def test_an_old_whole_list_brings_no_dead_back():
    feed = Feed()
    feed.handle("full", 5, node(1))
    assert not told(feed.handle("full", 4, node(1), node(2)))


def test_repeated_and_reordered_changes_are_passed_over():
    feed = Feed()
    feed.handle("full", 5, node(1), node(2))
    assert told(feed.handle("changes", 6, node(2, "draining")))
    assert not told(feed.handle("changes", 6, node(2, "ready")))
    assert not told(feed.handle("changes", 3, node(2, "ready")))


def test_a_gap_asks_for_the_whole_list_once_and_still_hears_a_drain():
    feed = Feed()
    feed.handle("full", 5, node(1), node(2))
    actions = feed.handle("changes", 9, node(2, "draining"))
    assert (
        says(actions) == ["list"]
        and told(actions)[0].entries[0].status is routing.EndpointStatus.DRAINING
    )
    assert says(feed.handle("changes", 11, node(1, "draining"))) == []
    assert told(feed.handle("full", 11, node(1, "draining")))


def test_a_beat_ahead_of_us_tells_of_a_lost_change():
    feed = Feed()
    feed.handle("full", 5, node(1))
    assert says(feed.handle("beat", 5)) == []
    assert says(feed.handle("beat", 6)) == ["list"]


def test_a_reborn_roster_is_believed_from_its_whole_list_on():
    feed = Feed()
    feed.handle("full", 50, node(1), node(2))
    assert says(feed.handle("changes", 2, node(1, "gone"), epoch=2)) == ["list"]
    assert 1 in feed.view.nodes
    assert told(feed.handle("full", 2, node(2), epoch=2))
    assert set(feed.view.nodes) == {2}


def test_silence_is_asked_about_and_then_taken_for_a_failure():
    feed = Feed()
    feed.handle("full", 1, node(1))
    assert says(feed.play(endpoint_view.Tick(), after=2100.0)) == ["list"]
    actions = feed.play(endpoint_view.Tick(), after=2100.0)
    assert told(actions)[0].kind is routing.EndpointListKind.FAILED
    assert any(isinstance(a, endpoint_view.Drop) for a in actions)
    assert feed.view.nodes  # the last list stays
    assert any(isinstance(a, endpoint_view.Connect) for a in feed.play(endpoint_view.Asked()))


def test_a_lost_feed_is_told_once():
    feed = Feed()
    assert told(feed.play(endpoint_view.Lost()))[0].kind is routing.EndpointListKind.FAILED
    assert not told(feed.play(endpoint_view.Lost()))


def test_nodes_that_cant_be_are_left_out_and_named():
    feed = Feed()
    bad = [node(1, cell=9), node(2, "asleep"), node(3, port=70000), node(4)]
    actions = feed.handle("full", 1, *bad)
    assert set(feed.view.nodes) == {4}
    assert sum(isinstance(a, endpoint_view.Odd) for a in actions) == 3


def test_a_start_before_the_last_start_is_a_restart_that_has_just_happened():
    """A node's own clock may have been set back before it started again."""
    feed = Feed()
    [before] = told(feed.handle("full", 1, node(1, started=7_200_000.0)))[0].entries
    feed.now += 60_000.0
    feed.play(endpoint_view.Heard(FeedLine("beat", 1, 1)))
    [after] = told(feed.handle("changes", 2, node(1, started=3_600_000.0)))[0].entries
    assert after.incarnation > before.incarnation
    assert after.started_at == feed.now


def test_an_unreadable_line_asks_for_the_whole_list():
    feed = Feed()
    feed.handle("full", 1, node(1))
    assert says(feed.play(endpoint_view.Heard(None))) == ["list"]


def test_the_number_of_nodes_is_bounded():
    feed = Feed()
    feed.handle("full", 1, *(node(n) for n in range(150)))
    assert len(feed.view.nodes) == 100
