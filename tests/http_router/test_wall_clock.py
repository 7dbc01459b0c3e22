"""The wall clock of a running router is stepped; what it owes is measured on the monotonic
clock.
"""

import contextlib
import threading
import time

import pytest
from live import entry, post
from real import Node, Program, read_answer

from tansycrank.testbed.interposer import WallClock

HOUR = 3600.0
STEPS = {
    "an hour back": [-HOUR],
    "an hour forward": [HOUR],
    "seconds back": [-20.0],
    "forward and back": [HOUR, -HOUR],
    "wrong from the start, then back": [-7.0],
}
DEADLINE = 1500  # ms that a client waits
SLACK = 0.5  # s after its time in which a late answer only earns nothing
REOPENED_WITHIN = 6.0  # s after a watch has fallen silent, at the latest


@pytest.fixture
def start(tmp_path):
    """Start a router with a wall clock of its own; returns both."""
    started = []

    def make(*nodes, offset=0.0, **more):
        clock = WallClock(tmp_path, offset=offset)
        started.append(Program(tmp_path, nodes, environment=clock.environment, **more))
        return started[0], clock

    yield make
    for program in started:
        program.ended()


def step(clock, steps):
    for seconds in steps:
        clock.step(seconds)
        time.sleep(0.3)  # a few turns of the reactor between two steps


class Asking(threading.Thread):
    """A client with one request, and how long its answer took."""

    def __init__(self, program, id):
        super().__init__(daemon=True)
        self.program, self.id = program, id
        self.status, self.took = None, None

    def run(self):
        began = time.monotonic()
        with contextlib.closing(
            self.program.client(post(id=self.id, deadline=DEADLINE))
        ) as connection:
            connection.settimeout(DEADLINE / 1000 + 3.0)
            self.status, _ = read_answer(connection)
        self.took = time.monotonic() - began


@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_each_request_gets_its_answer_in_time_after_the_wall_clock_was_stepped(start, steps):
    silent = Node(serves=False)  # requests wait for it, then behind each other
    program, clock = start(silent, offset=HOUR)
    step(clock, steps)
    asking = [Asking(program, f"q{number}") for number in range(12)]
    for one in asking:
        one.start()
    for one in asking:
        one.join()
    late = [
        (one.id, one.status, one.took)
        for one in asking
        if one.status is None or one.took > DEADLINE / 1000 + SLACK
    ]
    assert not late


@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_a_silent_watch_is_opened_anew_in_time_after_the_wall_clock_was_stepped(start, steps):
    program, clock = start(Node())
    first = program.discovery.connection
    step(clock, steps)
    began = time.monotonic()  # nothing comes on the watch from here on
    program.discovery.listening.settimeout(REOPENED_WITHIN + 4)
    program.discovery.watch()
    assert time.monotonic() - began < REOPENED_WITHIN
    first.close()


@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_the_policy_goes_on_when_cold_nodes_join_after_the_wall_clock_was_stepped(start, steps):
    """Answers that seem to take no time made it divide by zero once a cold node was listed."""
    program, clock = start(Node(), Node(), listed=[1], cells=[0, 0])
    step(clock, steps)
    for number in range(30):  # enough answers for the policy to believe its median
        assert read_answer(program.client(post(id=f"warm{number}")))[0] == 200
    time.sleep(0.3)
    joined = entry(
        2, addr=f"127.0.0.1:{program.nodes[1].port}", cell=0, started_ms=time.time() * 1000
    )
    program.discovery.say(6, joined)
    answers = [read_answer(program.client(post(id=f"cold{number}")))[0] for number in range(30)]
    assert answers == [200] * 30
    program.process.kill()
    assert program.said("policy_failed") == 0
