"""Steps the wall clock of a running router; its time limits must follow the monotonic clock."""

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
DEADLINE = 1500  # ms, of each request
SLACK = 0.5  # s after the deadline within which a late answer is allowed; it only earns nothing
REOPENED_WITHIN = 6.0  # s after the last data on a watch


@pytest.fixture
def start(tmp_path):
    """Start a router with its own wall clock; returns both."""
    started = []

    def make(*nodes, offset=0.0, **more):
        clock = WallClock(tmp_path, offset=offset)
        started.append(Program(tmp_path, nodes, environment=clock.environment, **more))
        return started[0], clock

    yield make
    for program in started:
        program.kill()


def step(clock, steps):
    for seconds in steps:
        clock.step(seconds)
        time.sleep(0.3)  # several reactor iterations between two steps


class ClientThread(threading.Thread):
    """A client that sends one request and measures how long its answer took."""

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
    silent = Node(serves=False)  # requests wait for it, then in the queue
    program, clock = start(silent, offset=HOUR)
    step(clock, steps)
    client_threads = [ClientThread(program, f"q{number}") for number in range(12)]
    for thread in client_threads:
        thread.start()
    for thread in client_threads:
        thread.join()
    late = [
        (thread.id, thread.status, thread.took)
        for thread in client_threads
        if thread.status is None or thread.took > DEADLINE / 1000 + SLACK
    ]
    assert not late


@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_a_silent_watch_is_reopened_in_time_after_the_wall_clock_was_stepped(start, steps):
    program, clock = start(Node())
    first = program.discovery.connection
    step(clock, steps)
    began = time.monotonic()  # the watch receives nothing from here on
    program.discovery.listening.settimeout(REOPENED_WITHIN + 4)
    program.discovery.accept_watch()
    assert time.monotonic() - began < REOPENED_WITHIN
    first.close()


@pytest.mark.parametrize("steps", STEPS.values(), ids=STEPS)
def test_the_policy_does_not_fail_when_cold_nodes_join_after_the_wall_clock_was_stepped(
    start, steps
):
    """Answers measured as taking no time caused a division by zero once a cold node was listed."""
    program, clock = start(Node(), Node(), listed=[1], cells=[0, 0])
    step(clock, steps)
    for number in range(30):  # enough samples for the policy to use its median
        assert read_answer(program.client(post(id=f"warm{number}")))[0] == 200
    time.sleep(0.3)
    joined = entry(
        2, addr=f"127.0.0.1:{program.nodes[1].port}", cell=0, started_ms=time.time() * 1000
    )
    program.discovery.send_update(6, joined)
    answers = [read_answer(program.client(post(id=f"cold{number}")))[0] for number in range(30)]
    assert answers == [200] * 30
    program.process.kill()
    assert program.count_logged("policy_failed") == 0
