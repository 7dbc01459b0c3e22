"""The computed ages of data nodes when this router's clock and the nodes' clock differ."""

import pytest

from tansycrank.routing.start_times import StartTimes

SLOW_START_DURATION = 10_000.0  # ms
HOUR = 3_600_000.0
UNIX_OFFSET = 1_700_000_000_000.0  # ms; the nodes' clock when the router's monotonic clock is 0


class StartTimesHarness:
    """Monotonic time, the starts of nodes on a clock with a further offset, and `StartTimes`."""

    def __init__(self, clock_offset=0.0, start_at=50_000.0):
        self.now, self.clock_offset = start_at, clock_offset
        self.start_times = StartTimes()
        self.started_at = {}  # by node: ms of monotonic time of its last start, None for long ago

    def start(self, node):
        self.started_at[node] = self.now

    def reported_start(self, node):
        return (
            UNIX_OFFSET + self.clock_offset + self.started_at[node]
            if self.started_at[node] is not None
            else 0.0
        )

    def report(self, *nodes, cached=False):
        found = self.start_times.update(
            {node: self.reported_start(node) for node in nodes}, self.now, cached
        )
        return {
            node: self.now - start.started_at if start.started_at else float("inf")
            for node, start in found.items()
        }

    def age(self, node):
        return self.now - self.started_at[node]


OFFSETS = [0.0, HOUR, -HOUR, 7_000.0, -7_000.0]


@pytest.mark.parametrize("clock_offset", OFFSETS)
def test_a_node_first_seen_in_a_delta_is_not_older_than_it_is(clock_offset):
    harness = StartTimesHarness(clock_offset)
    harness.started_at["old"] = None
    harness.report("old")
    harness.now += HOUR
    harness.start_times.confirm_unchanged(harness.now)
    harness.start("new")
    harness.now += 300.0
    assert harness.report("new")["new"] <= harness.age("new")


@pytest.mark.parametrize("clock_offset", OFFSETS)
def test_in_a_first_list_no_node_is_older_than_it_is(clock_offset):
    harness = StartTimesHarness(clock_offset)
    for node in range(8):
        harness.start(node)
        harness.now += 3_000.0
    ages = harness.report(*range(8))
    assert all(ages[node] <= harness.age(node) for node in range(8))
    # The differences between starts are known.
    assert ages[0] - ages[6] == pytest.approx(harness.age(0) - harness.age(6))


@pytest.mark.parametrize("clock_offset", OFFSETS)
def test_a_warm_node_is_taken_for_cold_for_at_most_one_slow_start_duration(clock_offset):
    harness = StartTimesHarness(clock_offset)
    harness.start("warm")
    harness.now += 100 * HOUR
    harness.report("warm")
    harness.now += SLOW_START_DURATION
    assert harness.report("warm")["warm"] >= SLOW_START_DURATION


@pytest.mark.parametrize("clock_step", [-HOUR, -1_000.0, 1_000.0, HOUR])
def test_a_changed_start_is_a_restart_even_if_the_clock_of_the_node_was_stepped(clock_step):
    harness = StartTimesHarness()
    harness.start("node")
    harness.now += HOUR
    before = harness.start_times.update({"node": harness.reported_start("node")}, harness.now)[
        "node"
    ]
    harness.now += 30_000.0
    harness.start_times.confirm_unchanged(harness.now)
    harness.start("node")
    after = harness.start_times.update(
        {"node": harness.reported_start("node") + clock_step}, harness.now
    )["node"]
    assert after.incarnation > before.incarnation
    assert after.started_at == harness.now


def test_a_wrong_clock_of_a_later_node_does_not_change_the_age_of_known_nodes():
    harness = StartTimesHarness()
    harness.start("node")
    harness.now += 2_000.0
    first = harness.start_times.update({"node": harness.reported_start("node")}, harness.now)[
        "node"
    ]
    harness.now += 5_000.0
    # Its clock is an hour ahead.
    harness.start_times.update({"other": UNIX_OFFSET + harness.now + HOUR}, harness.now)
    again = harness.start_times.update({"node": harness.reported_start("node")}, harness.now)[
        "node"
    ]
    assert again == first


def test_a_node_whose_clock_is_ahead_does_not_make_later_starts_look_old():
    harness = StartTimesHarness()
    harness.start_times.update({"ahead": UNIX_OFFSET + harness.now + HOUR}, harness.now)
    harness.now += 60_000.0
    harness.start_times.confirm_unchanged(harness.now)
    harness.start("new")
    assert harness.report("new")["new"] == 0.0


def test_a_node_that_started_during_an_outage_of_discovery_is_not_older_than_its_last_report():
    harness = StartTimesHarness()
    harness.start("a")
    harness.report("a")
    harness.now += 4_000.0
    harness.start("b")  # during an outage of discovery
    harness.now += 30_000.0
    assert 0.0 <= harness.report("a", "b")["b"] <= harness.age("b")


def test_a_cached_list_does_not_show_when_its_nodes_existed():
    harness = StartTimesHarness()
    harness.start("a")
    harness.now += HOUR
    assert harness.report("a", cached=True)["a"] == 0.0  # the latest known start
    harness.start("b")
    harness.start("c")
    ages = harness.report("a", "b", "c")
    assert ages["a"] == pytest.approx(HOUR)
    assert ages["b"] == ages["c"] == 0.0


def test_a_start_that_is_no_longer_reported_is_long_ago_and_no_restart():
    start_times = StartTimes()
    before = start_times.update({"node": UNIX_OFFSET}, 1_000.0)["node"]
    after = start_times.update({"node": 0.0}, 2_000.0)["node"]
    assert after.incarnation == before.incarnation and after.started_at == 0.0


def test_a_removed_node_that_returns_is_young():
    start_times = StartTimes()
    start_times.update({"node": UNIX_OFFSET}, 1_000.0)
    start_times.forget(["node"])
    start_times.confirm_unchanged(90_000.0)
    assert start_times.update({"node": UNIX_OFFSET}, 90_500.0)["node"].started_at >= 90_000.0


@pytest.mark.parametrize("clock_offset", OFFSETS)
def test_the_starts_of_a_first_list_are_corrected_as_later_starts_are_reported(clock_offset):
    harness = StartTimesHarness(clock_offset)
    for node in ("a", "b", "c"):
        harness.start(node)
    harness.now += 8_000.0
    # The youngest possible ages.
    assert harness.report("a", "b", "c") == {
        "a": 0.0,
        "b": 0.0,
        "c": 0.0,
    }
    harness.now += 1_000.0
    harness.start("d")
    harness.start("e")
    harness.now += 200.0
    ages = harness.report("d", "e")
    # Of 9,200: too young by the delay of the report.
    assert ages["a"] == ages["b"] == pytest.approx(9_000.0)
    assert all(ages[node] <= harness.age(node) for node in ages)


def test_one_node_whose_clock_is_ahead_does_not_correct_other_starts():
    harness = StartTimesHarness()
    for node in ("a", "b"):
        harness.start(node)
    harness.now += 500.0
    harness.report("a", "b")
    starts = harness.start_times.update({"ahead": UNIX_OFFSET + harness.now + HOUR}, harness.now)
    assert set(starts) == {"ahead"}


def test_a_restart_is_never_corrected_to_before_the_last_report_of_the_previous_incarnation():
    harness = StartTimesHarness()
    harness.start("a")
    harness.report("a")
    harness.now += 60_000.0
    harness.start_times.confirm_unchanged(harness.now)
    reported_at = harness.now
    harness.start("a")
    harness.report("a")
    for ahead in ("x", "y"):  # two wrong clocks that agree
        harness.start_times.update({ahead: UNIX_OFFSET + harness.now + HOUR}, harness.now)
    assert harness.now - harness.report("a")["a"] >= reported_at
