"""How old data nodes are held to be, with this router's clock and the nodes' clock driven apart."""

import pytest

from tansycrank.routing.start_times import StartTimes

WARM_UP = 10_000.0  # ms
HOUR = 3_600_000.0
UNIX = 1_700_000_000_000.0  # ms: the nodes' clock when the router's monotonic clock reads 0


class World:
    """True time, the nodes' clock `apart` from the one that a router might guess, and what it
    believes.
    """

    def __init__(self, apart=0.0, began=50_000.0):
        self.now, self.apart = began, apart
        self.starts = StartTimes()
        self.born = {}  # by node: ms of true time of its last start

    def start(self, node):
        self.born[node] = self.now

    def told(self, node):
        return UNIX + self.apart + self.born[node] if self.born[node] is not None else 0.0

    def list(self, *nodes, cached=False):
        found = self.starts.update({node: self.told(node) for node in nodes}, self.now, cached)
        return {
            node: self.now - start.started_at if start.started_at else float("inf")
            for node, start in found.items()
        }

    def age(self, node):
        return self.now - self.born[node]


APART = [0.0, HOUR, -HOUR, 7_000.0, -7_000.0]


@pytest.mark.parametrize("apart", APART)
def test_a_node_first_seen_in_a_change_is_as_young_as_it_is(apart):
    world = World(apart)
    world.born["old"] = None
    world.list("old")
    world.now += HOUR
    world.starts.confirm_unchanged(world.now)
    world.start("new")
    world.now += 300.0
    assert world.list("new")["new"] <= world.age("new")


@pytest.mark.parametrize("apart", APART)
def test_in_a_first_list_none_is_held_to_be_older_than_it_is(apart):
    world = World(apart)
    for node in range(8):
        world.start(node)
        world.now += 3_000.0
    ages = world.list(*range(8))
    assert all(ages[node] <= world.age(node) for node in range(8))
    assert ages[0] - ages[6] == pytest.approx(
        world.age(0) - world.age(6)
    )  # their differences are known


@pytest.mark.parametrize("apart", APART)
def test_a_warm_node_is_cold_for_one_warm_up_time_at_most(apart):
    world = World(apart)
    world.start("warm")
    world.now += 100 * HOUR
    world.list("warm")
    world.now += WARM_UP
    assert world.list("warm")["warm"] >= WARM_UP


@pytest.mark.parametrize("moved", [-HOUR, -1_000.0, 1_000.0, HOUR])
def test_a_restart_is_a_changed_start_also_where_the_nodes_own_clock_was_stepped(moved):
    world = World()
    world.start("node")
    world.now += HOUR
    before = world.starts.update({"node": world.told("node")}, world.now)["node"]
    world.now += 30_000.0
    world.starts.confirm_unchanged(world.now)
    world.start("node")
    after = world.starts.update({"node": world.told("node") + moved}, world.now)["node"]
    assert after.incarnation > before.incarnation
    assert after.started_at == world.now


def test_the_nodes_clock_stepped_between_lists_makes_no_known_node_younger_or_older():
    world = World()
    world.start("node")
    world.now += 2_000.0
    first = world.starts.update({"node": world.told("node")}, world.now)["node"]
    world.now += 5_000.0
    world.starts.update({"other": UNIX + world.now + HOUR}, world.now)  # its clock is an hour ahead
    again = world.starts.update({"node": world.told("node")}, world.now)["node"]
    assert again == first


def test_a_node_whose_clock_is_ahead_makes_no_later_start_look_old():
    world = World()
    world.starts.update({"ahead": UNIX + world.now + HOUR}, world.now)
    world.now += 60_000.0
    world.starts.confirm_unchanged(world.now)
    world.start("new")
    assert world.list("new")["new"] == 0.0


def test_what_started_while_discovery_was_away_is_no_older_than_its_last_word():
    world = World()
    world.start("a")
    world.list("a")
    world.now += 4_000.0
    world.start("b")  # while nobody tells
    world.now += 30_000.0
    assert 0.0 <= world.list("a", "b")["b"] <= world.age("b")


def test_a_cached_list_proves_nothing_of_when_its_nodes_were_there():
    world = World()
    world.start("a")
    world.now += HOUR
    assert world.list("a", cached=True)["a"] == 0.0  # the youngest that is known
    world.start("b")
    world.start("c")
    ages = world.list("a", "b", "c")
    assert ages["a"] == pytest.approx(HOUR)
    assert ages["b"] == ages["c"] == 0.0


def test_a_start_that_is_no_longer_told_is_long_ago_and_no_restart():
    starts = StartTimes()
    before = starts.update({"node": UNIX}, 1_000.0)["node"]
    after = starts.update({"node": 0.0}, 2_000.0)["node"]
    assert after.incarnation == before.incarnation and after.started_at == 0.0


def test_a_forgotten_node_that_returns_is_young():
    starts = StartTimes()
    starts.update({"node": UNIX}, 1_000.0)
    starts.forget(["node"])
    starts.confirm_unchanged(90_000.0)
    assert starts.update({"node": UNIX}, 90_500.0)["node"].started_at >= 90_000.0


@pytest.mark.parametrize("apart", APART)
def test_a_first_list_is_dated_anew_as_younger_starts_are_told(apart):
    world = World(apart)
    for node in ("a", "b", "c"):
        world.start(node)
    world.now += 8_000.0
    assert world.list("a", "b", "c") == {"a": 0.0, "b": 0.0, "c": 0.0}  # as young as they may be
    world.now += 1_000.0
    world.start("d")
    world.start("e")
    world.now += 200.0
    ages = world.list("d", "e")
    assert (
        ages["a"] == ages["b"] == pytest.approx(9_000.0)
    )  # of 9,200: too young by the delay of the news
    assert all(ages[node] <= world.age(node) for node in ages)


def test_one_node_whose_clock_is_ahead_dates_no_other_anew():
    world = World()
    for node in ("a", "b"):
        world.start(node)
    world.now += 500.0
    world.list("a", "b")
    starts = world.starts.update({"ahead": UNIX + world.now + HOUR}, world.now)
    assert set(starts) == {"ahead"}


def test_a_restart_is_never_dated_back_before_the_last_word_on_the_old_life():
    world = World()
    world.start("a")
    world.list("a")
    world.now += 60_000.0
    world.starts.confirm_unchanged(world.now)
    seen = world.now
    world.start("a")
    world.list("a")
    for ahead in ("x", "y"):  # two nodes whose clocks agree, and are both wrong
        world.starts.update({ahead: UNIX + world.now + HOUR}, world.now)
    assert world.now - world.list("a")["a"] >= seen
