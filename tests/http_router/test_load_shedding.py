"""The last line behind all bounds: what the router does while its memory is short."""

import pytest
from live import RouterHarness, answer, config, post, status
from test_held_bytes import large_request

from tansycrank.byte_budget import ByteBudget
from tansycrank.memory_monitor import MemoryMonitor, MemoryState, anonymous_bytes

MB = 1024 * 1024
BASE, LIMIT = 24 * MB, 64 * MB


class Memory:
    """The memory of a process, as a test sets it."""

    def __init__(self):
        self.used = BASE

    def __call__(self):
        return self.used


@pytest.fixture
def memory():
    return Memory()


@pytest.fixture
def harness(memory):
    harness = RouterHarness()
    monitor = harness.daemon.memory
    monitor._read = memory
    monitor.start()
    return harness


def test_memory_is_short_well_below_its_limit_and_no_longer_once_it_has_fallen(memory):
    monitor = MemoryMonitor(LIMIT, memory)
    monitor.start()
    memory.used = 44 * MB
    assert not monitor.check() and monitor.state is MemoryState.NORMAL
    memory.used = 49 * MB
    assert monitor.check() and monitor.state is MemoryState.SHORT
    memory.used = 44 * MB
    assert not monitor.check()
    memory.used = 40 * MB
    assert monitor.check() and monitor.state is MemoryState.NORMAL
    assert monitor.max_used_bytes == 49 * MB


def test_memory_that_the_system_does_not_tell_is_never_short():
    monitor = MemoryMonitor(LIMIT, lambda: 0)
    monitor.start()
    assert not monitor.check() and monitor.state is MemoryState.NORMAL


def test_the_memory_of_this_process_is_read():
    before = anonymous_bytes()
    block = bytearray(64 * MB)
    assert anonymous_bytes() - before > 60 * MB and len(block)


def test_the_largest_holders_are_rejected_while_memory_is_short(memory):
    """Guards against a router that goes on reading until it is killed for its memory."""
    limits = {"cores": 1.0, "memory_mb": 16, "sockets": 128}
    harness = RouterHarness(config(limits=limits))
    monitor, budget = harness.daemon.memory, harness.daemon.server.held_bytes
    monitor._read, monitor.limit_bytes = memory, LIMIT
    monitor.start()
    large = [harness.send_request(large_request(f"large{n}")) for n in range(10)]
    small = harness.send_request(post(id="small"))
    calls = harness.take_shard_requests()
    assert budget.held_bytes > harness.daemon.settings.max_client_bytes / 4
    memory.used = 60 * MB
    harness.run(0.25)
    assert 503 in {status(transport.take()) for transport in large}
    assert budget.held_bytes <= harness.daemon.settings.max_client_bytes / 4
    [(peer, id)] = [(peer, id) for peer, id, _ in calls if id == "small.0"]
    peer.send(answer(id))
    harness.run(0)
    assert status(small.take()) == 200


def test_small_requests_are_served_while_memory_is_short_and_limits_come_back(harness, memory):
    settings, server = harness.daemon.settings, harness.daemon.server
    memory.used = 60 * MB
    harness.run(0.25)
    assert server.held_bytes.limit_bytes == settings.max_client_bytes / 4
    transport = harness.send_request(post(id="small"))
    [(peer, id, _)] = harness.take_shard_requests()
    peer.send(answer(id))
    harness.run(0)
    assert status(transport.take()) == 200
    memory.used = BASE
    harness.run(0.25)
    assert server.held_bytes.limit_bytes == settings.max_client_bytes
    assert server.body_reservations.limit_bytes == settings.max_reserved_bytes


def test_large_requests_are_rejected_before_they_are_read_while_memory_is_short(harness, memory):
    memory.used = 60 * MB
    harness.run(0.25)
    harness.daemon.server.body_reservations.limit_bytes = 1
    harness.client()[0].dataReceived(large_request("first")[:8_000])  # one is always read
    protocol, transport = harness.client()
    protocol.dataReceived(large_request("second")[:8_000])
    harness.run(0.01)
    assert status(transport.take()) == 503


class Holder:
    """A holder of bytes that counts how often it is asked."""

    def __init__(self, size):
        self.size, self.asked, self.is_released = size, 0, False

    @property
    def held_bytes(self):
        self.asked += 1
        return self.size

    def release_bytes(self):
        self.is_released, self.size = True, 0


def test_a_lower_limit_releases_the_largest_holders():
    budget, holders = ByteBudget(1000), [Holder(size) for size in (100, 300, 200)]
    for holder in holders:
        budget.update(holder)
    budget.set_limit(350)
    assert [holder.is_released for holder in holders] == [False, True, False]


def test_updates_above_the_limit_do_not_look_at_all_holders_each_time():
    """Guards against a cost of the square of the connections while the limit is reached."""
    budget, holders = ByteBudget(1000), [Holder(1) for _ in range(500)]
    for holder in holders:
        budget.update(holder)
        holder.asked = 0
    for _ in range(100):
        budget.update(Holder(2000))
    assert sum(holder.asked for holder in holders) <= 2 * len(holders)
