"""The CPU time of the router is shared fairly by tenants."""

from collections import Counter

from tansycrank.admission.reader_scheduler import SLICE_SECONDS, ReaderScheduler


class Reactor:
    """Collects calls for the next reactor turn, and runs that turn."""

    def __init__(self):
        self.rightNow, self.calls = 0.0, []

    def seconds(self):
        return self.rightNow

    def run_turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Reader:
    """A session whose reads take `read_seconds` each."""

    def __init__(self, number, clock, reads, read_seconds=0.001, name=""):
        self.id, self.clock, self.reads, self.read_seconds, self.name = (
            number,
            clock,
            reads,
            read_seconds,
            name,
        )
        self.read_count = 0

    def read_pending(self):
        self.clock.rightNow += self.read_seconds
        self.read_count += 1
        self.reads.append(self.name)
        return False


def test_with_time_left_in_the_turn_a_session_is_read_at_once():
    clock, reads = Reactor(), []
    scheduler = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    reader = Reader(1, clock, reads)
    scheduler.wake(reader, "a")
    assert reader.read_count == 1


def test_a_turn_is_bounded_and_each_session_is_read():
    clock, reads = Reactor(), []
    scheduler = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    readers = [Reader(n, clock, reads) for n in range(100)]
    for reader in readers:
        scheduler.wake(reader, "a")
    assert len(reads) <= SLICE_SECONDS / 0.001 + 1
    rounds = 0
    while any(not r.read_count for r in readers):
        before = len(reads)
        clock.run_turn()
        assert len(reads) - before <= SLICE_SECONDS / 0.001 + 1
        rounds += 1
        assert rounds < 100
    assert all(r.read_count == 1 for r in readers)


def test_tenants_share_the_time_regardless_of_their_sessions():
    clock, reads = Reactor(), []
    scheduler = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    many = [Reader(n, clock, reads, name="many") for n in range(200)]
    few = [Reader(1000 + n, clock, reads, name="few") for n in range(3)]
    for _ in range(200):
        for reader in many:
            scheduler.wake(reader, "many")
        for reader in few:
            scheduler.wake(reader, "few")
        clock.run_turn()
    counts = Counter(reads)
    assert counts["few"] > 0.4 * counts["many"]


def test_a_removed_session_is_not_read_again():
    clock, reads = Reactor(), []
    scheduler = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    readers = [Reader(n, clock, reads) for n in range(20)]
    for reader in readers:
        scheduler.wake(reader, "a")
    last = readers[-1]
    scheduler.remove(last, "a")
    for _ in range(30):
        clock.run_turn()
    assert last.read_count == 0 and all(r.read_count for r in readers[:-1])
    assert not scheduler._scheduler.children
