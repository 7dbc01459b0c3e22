"""Makes system calls of a running router fail with the errors that Linux documents.

Every request must still get exactly one answer, in time.
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

DEADLINE = 1500  # ms, of each request
SLACK = 0.5  # s after the deadline within which a late answer is allowed; it only earns nothing


@pytest.fixture
def start(tmp_path):
    """Start a router with these nodes and system calls that fail on demand; returns both."""
    started = []

    def make(*nodes, **more):
        calls = FailingCalls(tmp_path, seed=7)
        started.append(Program(tmp_path, nodes, environment=calls.environment, **more))
        return started[-1], calls

    yield make
    for program in started:
        program.kill()


def send_all(program, ids):
    """Send these requests concurrently, each on its own connection; returns (status, s) by id."""
    found = {}

    def send(id):
        began = time.monotonic()
        with contextlib.closing(program.client(post(id=id, deadline=DEADLINE))) as connection:
            connection.settimeout(DEADLINE / 1000 + 3.0)
            found[id] = read_answer(connection)[0], time.monotonic() - began

    threads = [threading.Thread(target=send, args=(id,)) for id in ids]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def unanswered_in_time(found):
    """The requests without an answer in time."""
    return {
        id: (status, took)
        for id, (status, took) in found.items()
        if status is None or took > DEADLINE / 1000 + SLACK
    }


@pytest.mark.parametrize("kind", list(CallFailure), ids=lambda kind: kind.name)
@pytest.mark.parametrize("share", [0.2, 0.8])
def test_requests_are_answered_while_calls_fail_and_succeed_again_afterwards(start, kind, share):
    program, calls = start(Node(), Node(), Node(), cells=[0, 0, 0])
    calls.set({kind: share})
    for _ in range(20):  # each writes a line to the log
        program.signal(signal.SIGHUP)
        time.sleep(0.01)
    found = send_all(program, [f"during-{number}" for number in range(30)])
    injected = calls.injected[kind]
    calls.set({})
    assert not unanswered_in_time(found)
    assert injected
    time.sleep(1.0)  # ejected nodes are retried
    after = send_all(program, [f"after-{number}" for number in range(10)])
    assert not unanswered_in_time(after) and 200 in [status for status, _ in after.values()]


def test_a_router_without_descriptors_closes_no_waiting_connection(start):
    """Connections that the kernel has accepted must be answered.

    They wait until a file descriptor is available again.
    """
    program, _ = start(Node())
    assert read_answer(program.client(post(id="first")))[0] == 200
    pid = program.process.pid
    used = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, limits[1]))
    found = {}
    sender = threading.Thread(
        target=lambda: found.update(send_all(program, [f"q{n}" for n in range(8)]))
    )
    sender.start()
    time.sleep(0.4)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    sender.join()
    assert not unanswered_in_time(found)
    assert [status for status, _ in found.values()] == [200] * 8


def test_a_router_without_descriptors_answers_accepted_clients_during_shutdown(start):
    """Clients connect shortly before the router closes its port.

    A descriptor is available again shortly after that.
    """
    program, _ = start(Node())
    pid = program.process.pid
    used = len(list(Path(f"/proc/{pid}/fd").iterdir()))
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    drain_delay = configuration.parse(config(), {}).drain_delay / 1000
    program.signal(signal.SIGTERM)
    time.sleep(drain_delay - 0.4)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (used, limits[1]))
    found = {}
    sender = threading.Thread(
        target=lambda: found.update(send_all(program, [f"q{n}" for n in range(4)]))
    )
    sender.start()
    time.sleep(0.7)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    sender.join()
    assert not unanswered_in_time(found)
