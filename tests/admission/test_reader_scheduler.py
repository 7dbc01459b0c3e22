"""The router's own time is shared by tenants."""

from collections import Counter

from tansycrank.admission.reader_scheduler import SLICE_SECONDS, ReaderScheduler


class Reactor:
    """Calls for the next turn, and that turn."""

    def __init__(self):
        self.rightNow, self.calls = 0.0, []

    def seconds(self):
        return self.rightNow

    def turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Reader:
    """A session whose every look takes a while."""

    def __init__(self, number, clock, looks, takes=0.001, name=""):
        self.id, self.clock, self.looks, self.takes, self.name = number, clock, looks, takes, name
        self.seen = 0

    def read_pending(self):
        self.clock.rightNow += self.takes
        self.seen += 1
        self.looks.append(self.name)
        return False


def test_with_time_left_in_the_turn_a_session_is_looked_at_at_once():
    clock, looks = Reactor(), []
    turns = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    reader = Reader(1, clock, looks)
    turns.wake(reader, "a")
    assert reader.seen == 1


def test_a_turn_is_bounded_and_nobody_is_forgotten():
    clock, looks = Reactor(), []
    turns = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    readers = [Reader(n, clock, looks) for n in range(100)]
    for reader in readers:
        turns.wake(reader, "a")
    assert len(looks) <= SLICE_SECONDS / 0.001 + 1
    rounds = 0
    while any(not r.seen for r in readers):
        before = len(looks)
        clock.turn()
        assert len(looks) - before <= SLICE_SECONDS / 0.001 + 1
        rounds += 1
        assert rounds < 100
    assert all(r.seen == 1 for r in readers)


def test_tenants_share_the_time_however_many_sessions_they_have():
    clock, looks = Reactor(), []
    turns = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    many = [Reader(n, clock, looks, name="many") for n in range(200)]
    few = [Reader(1000 + n, clock, looks, name="few") for n in range(3)]
    for _ in range(200):
        for reader in many:
            turns.wake(reader, "many")
        for reader in few:
            turns.wake(reader, "few")
        clock.turn()
    counts = Counter(looks)
    assert counts["few"] > 0.4 * counts["many"]


def test_a_session_that_ended_is_not_looked_at_again():
    clock, looks = Reactor(), []
    turns = ReaderScheduler(lambda f: clock.calls.append(f), clock.seconds)
    readers = [Reader(n, clock, looks) for n in range(20)]
    for reader in readers:
        turns.wake(reader, "a")
    last = readers[-1]
    turns.remove(last, "a")
    for _ in range(30):
        clock.turn()
    assert last.seen == 0 and all(r.seen for r in readers[:-1])
    assert not turns._scheduler.children
