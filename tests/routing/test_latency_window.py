"""Sliding windows of latencies and sliding sums."""

import pytest

from tansycrank.routing.latency_window import LatencyWindow
from tansycrank.routing.sliding_sum import SlidingSum


def test_two_sketches_rotate_and_are_merged_on_read():
    window = LatencyWindow(1000.0, 0.0, (0.5,))
    for t in range(10):
        window.add(float(t), 100.0)
    window.add(1100.0, 10.0)
    assert window.count(1100.0) == 11
    assert window.read(1100.0)[0] == pytest.approx(100.0, rel=0.02)
    assert window.count(2200.0) == 1
    assert window.read(2200.0)[0] == pytest.approx(10.0, rel=0.02)
    assert window.count(9000.0) == 0


def test_a_sliding_sum_drops_entries_older_than_its_span():
    total = SlidingSum(100.0)
    total.add(0.0)
    total.add(60.0, 2)
    assert (total.total(99.0), total.total(100.0), total.total(200.0)) == (3, 2, 0)


def test_a_sliding_sum_drops_expired_entries_even_if_it_is_rarely_read():
    sends = SlidingSum(100.0)
    for now in range(10_000):
        sends.add(float(now))
    assert sends.total(9_999.0) == len(sends._entries) == 100
