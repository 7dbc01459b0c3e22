"""System calls of a running router fail as Linux documents; every request keeps its one answer in
time.
"""

import contextlib
import resource
import signal
import threading
import time
from pathlib import Path

import pytest
from live import config, post
from real import Node, Program, read_answer

from tansycrank.http_router import settings as configuration
from tansycrank.testbed.interposer import CallFailure, FailingCalls

DEADLINE = 1500  # ms that a client waits
SLACK = 0.5  # s after its time in which a late answer only earns nothing


@pytest.fixture
def start(tmp_path):
    """Start a router before these nodes, with system calls that fail on demand; returns both."""
    started = []

    def make(*nodes, **more):
        calls = FailingCalls(tmp_path, seed=7)
        started.append(Program(tmp_path, nodes, environment=calls.environment, **more))
        return started[-1], calls

    yield make
    for program in started:
        program.ended()


def ask_all(program, ids):
    """Ask on a connection each, at once; the status of each and the seconds until it was known."""
    found = {}

    def ask(id):
        began = time.monotonic()
        with contextlib.closing(program.client(post(id=id, deadline=DEADLINE))) as connection:
            connection.settimeout(DEADLINE / 1000 + 3.0)
            found[id] = read_answer(connection)[0], time.monotonic() - began

    threads = [threading.Thread(target=ask, args=(id,)) for id in ids]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def lost(found):
    """Those without an answer in time."""
    return {
        id: (status, took)
        for id, (status, took) in found.items()
        if status is None or took > DEADLINE / 1000 + SLACK
    }


@pytest.mark.parametrize("kind", list(CallFailure), ids=lambda kind: kind.name)
@pytest.mark.parametrize("share", [0.2, 0.8])
def test_requests_are_answered_while_calls_fail_and_as_before_once_they_do_not(start, kind, share):
    program, calls = start(Node(), Node(), Node(), cells=[0, 0, 0])
    calls.set({kind: share})
    for _ in range(20):  # each writes a line to the log
        program.signal(signal.SIGHUP)
        time.sleep(0.01)
    found = ask_all(program, [f"during-{number}" for number in range(30)])
    injected = calls.injected[kind]
    calls.set({})
    assert not lost(found)
    assert injected
    time.sleep(1.0)  # nodes that were set aside are tried again
    after = ask_all(program, [f"after-{number}" for number in range(10)])
    assert not lost(after) and 200 in [status for status, _ in after.values()]


def test_a_router_without_descriptors_closes_no_connection_that_waits(start):
    """What the system has accepted is owed an answer; it waits until there is a descriptor
    again.
    """
    program, _ = start(Node())
    assert read_answer(program.client(post(id="first")))[0] == 200
    pid = program.process.pid
    used = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, limits[1]))
    found = {}
    asking = threading.Thread(
        target=lambda: found.update(ask_all(program, [f"q{n}" for n in range(8)]))
    )
    asking.start()
    time.sleep(0.4)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    asking.join()
    assert not lost(found)
    assert [status for status, _ in found.values()] == [200] * 8


def test_a_leaving_router_without_descriptors_still_answers_who_was_accepted(start):
    """They come shortly before it closes its port, and there is a descriptor again shortly after
    that.
    """
    program, _ = start(Node())
    pid = program.process.pid
    used = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    taking = configuration.parse(config(), {}).drain_delay / 1000
    program.signal(signal.SIGTERM)
    time.sleep(taking - 0.4)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, limits[1]))
    found = {}
    asking = threading.Thread(
        target=lambda: found.update(ask_all(program, [f"q{n}" for n in range(4)]))
    )
    asking.start()
    time.sleep(0.7)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    asking.join()
    assert not lost(found)
