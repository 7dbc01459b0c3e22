"""Row streams, merge operators, spill files and the memory governor.

Results must be exact, memory bounded, and all memory and disk space released at the end.
"""

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansycrank.merge import governor as gov
from tansycrank.merge import operators as op
from tansycrank.merge.blocks import MemoryReservations, ShardRowStream, frames_of
from tansycrank.merge.pipeline import build
from tansycrank.merge.sort_keys import sort_key_function
from tansycrank.merge.spill import SpillSpace
from tansycrank.merge.work import MergeScheduler, RowStream
from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import Field, RowBlockSplitter, data_row, frame, read_row
from tansycrank.sql.plan import Aggregate, MergePlan, Output, Scalar, SortKey

MIB = 1 << 20
FIELDS = (Field("k", types.INT8), Field("t", types.TEXT))
ROWS = st.lists(
    st.tuples(st.one_of(st.none(), st.integers(-5, 5)), st.text("abä", max_size=3)), max_size=40
)


def row(*values):
    return data_row([None if v is None else str(v).encode() for v in values])


def texts(block):
    return [tuple(None if v is None else v.decode() for v in read_row(f)) for f in frames_of(block)]


@pytest.fixture
def space(tmp_path):
    return SpillSpace(str(tmp_path), 64 * MIB)


@pytest.fixture
def memory_reservations(space):
    return MemoryReservations(16 * MIB, 8 * MIB, space, lambda: 0.0)


def with_operator_limit(memory, limit=1500):
    """Give operators a memory limit so small that every operator that can spill does."""
    memory.__class__ = type("LimitedQueryMemory", (memory.__class__,), {"operator_limit": limit})
    return memory


def shard_result(memory, rows, fields=FIELDS, cut=7):
    stream = ShardRowStream(memory)
    stream.fields = fields
    for start in range(0, len(rows), cut):
        some = rows[start : start + cut]
        stream.add(b"".join(row(*r) for r in some), len(some))
    stream.finish()
    return stream


def drain(blocks):
    return [t for block in blocks if block is not None for t in texts(block[0])]


def pg_key(values):
    return (values[0] is None, values[0] or 0, values[1].encode())


@given(st.lists(ROWS, min_size=1, max_size=4), st.booleans())
def test_external_sort_is_exact_with_any_memory_limit(tmp_path_factory, split, small_limit):
    space = SpillSpace(str(tmp_path_factory.mktemp("spill")), 64 * MIB)
    memory_reservations = MemoryReservations(16 * MIB, 8 * MIB, space, lambda: 0.0)
    memory = (
        with_operator_limit(memory_reservations.open(False), 700)
        if small_limit
        else memory_reservations.open(False)
    )
    key = sort_key_function((SortKey(0), SortKey(1)), FIELDS)
    got = drain(
        op.external_sort(op.concat([shard_result(memory, rows) for rows in split]), key, memory)
    )
    expected = sorted((r for rows in split for r in rows), key=pg_key)
    assert got == [(None if a is None else str(a), b) for a, b in expected]
    memory.close()
    assert space.used == 0 and memory_reservations.total == 0


@given(st.lists(ROWS, min_size=1, max_size=5), st.booleans(), st.booleans())
def test_k_way_merge_of_sorted_shard_results(tmp_path_factory, split, descending, nulls_first):
    memory_reservations = MemoryReservations(
        16 * MIB, 8 * MIB, SpillSpace(str(tmp_path_factory.mktemp("s")), 0), lambda: 0.0
    )
    memory = memory_reservations.open(True)
    key = sort_key_function((SortKey(0, descending, nulls_first),), FIELDS)

    def rank(values):
        null = values[0] is None
        return (not null if nulls_first else null), -(values[0] or 0) if descending else values[
            0
        ] or 0

    shard_results = [sorted(rows, key=rank) for rows in split]
    got = drain(
        op.merge_sorted(
            [op.shard_source(shard_result(memory, rows), key) for rows in shard_results]
        )
    )
    expected = sorted(
        (r for rows in shard_results for r in rows), key=rank
    )  # stable: equal keys by shard, then by arrival
    assert got == [(None if a is None else str(a), b) for a, b in expected]


@given(ROWS, st.booleans())
def test_a_key_of_columns_counted_from_either_end(rows, descending):
    repeated = (SortKey(-1, descending), SortKey(1), SortKey(0), SortKey(-2, True))
    once = (SortKey(1, descending), SortKey(0))
    frames = [row(*values) for values in rows]
    by_repeated, by_once = (sort_key_function(keys, FIELDS) for keys in (repeated, once))
    assert sorted(frames, key=by_repeated) == sorted(frames, key=by_once)


def test_unsorted_shard_result_is_an_error(memory_reservations):
    key = sort_key_function((SortKey(0),), FIELDS)
    stream = shard_result(memory_reservations.open(True), [(n, "x") for n in (1, 2, 5, 4)], cut=2)
    with pytest.raises(PgError) as problem:
        drain(op.merge_sorted([op.shard_source(stream, key)]))
    assert "another order" in str(problem.value)


@given(st.lists(ROWS, min_size=1, max_size=4), st.integers(0, 9), st.integers(0, 9))
def test_top_limit_and_offset(tmp_path_factory, split, limit, offset):
    memory_reservations = MemoryReservations(
        16 * MIB, 8 * MIB, SpillSpace(str(tmp_path_factory.mktemp("s")), 0), lambda: 0.0
    )
    memory = memory_reservations.open(False)
    key = sort_key_function((SortKey(0), SortKey(1)), FIELDS)
    rows = op.top(
        op.concat([shard_result(memory, rows) for rows in split]), key, limit + offset, memory
    )
    got = drain(op.apply_limit(rows, limit, offset))
    expected = sorted((r for rows in split for r in rows), key=pg_key)[offset : offset + limit]
    assert got == [(None if a is None else str(a), b) for a, b in expected]


PAIRS = st.lists(st.tuples(st.integers(0, 60), st.integers(-9, 9)), max_size=60)


@given(st.lists(PAIRS, min_size=1, max_size=3), st.sampled_from([600, 4000, 10**6]))
def test_hash_aggregation_that_spills_is_exact(tmp_path_factory, split, limit):
    space = SpillSpace(str(tmp_path_factory.mktemp("spill")), 64 * MIB)
    memory_reservations = MemoryReservations(16 * MIB, 8 * MIB, space, lambda: 0.0)
    memory = with_operator_limit(memory_reservations.open(False), limit)
    fields = (Field("k", types.INT8), Field("s", types.INT8))
    plan = MergePlan(
        "grouped",
        groups=1,
        aggregates=(Aggregate("sum", (1,)), Aggregate("max", (1,))),
        outputs=(Output("k", ("group", 0)), Output("s", ("agg", 0)), Output("m", ("agg", 1))),
    )
    shard_results = [shard_result(memory, rows, fields) for rows in split]
    try:
        _, blocks = build(plan, shard_results, (), (), (), None, memory)
        got = {int(k): (int(s), int(m)) for k, s, m in drain(blocks)}
    except PgError as problem:
        # groups that exceed the limit at maximum depth raise an error; rows are never lost
        assert problem.state == "53200" and limit == 600
        return
    finally:
        memory.close()
    expected: dict = {}
    for k, v in (r for rows in split for r in rows):
        s, m = expected.get(k, (0, -99))
        expected[k] = s + v, max(m, v)
    assert got == expected and space.used == 0


def test_distinct_merges_equal_numerics_and_nulls(memory_reservations):
    fields = (Field("n", types.NUMERIC),)
    memory = with_operator_limit(memory_reservations.open(False), 300)
    shard_results = [
        shard_result(memory, [("1.0",), (None,), ("2",)], fields),
        shard_result(memory, [("1.00",), (None,)], fields),
    ]
    _, blocks = build(MergePlan(distinct=True), shard_results, (), (), (), None, memory)
    assert sorted(drain(blocks), key=str) == [("1.0",), ("2",), (None,)]


def test_limit_closes_shard_streams_no_longer_needed(memory_reservations):
    memory, closed = memory_reservations.open(True), []
    streams = [ShardRowStream(memory) for _ in range(2)]
    for stream in streams:
        stream.fields = FIELDS
        stream.on_close = lambda stream=stream: closed.append(stream)
        stream.add(b"".join(row(n, "x") for n in range(50)), 50)
    calls = []
    worker = MergeScheduler(calls.append, lambda: 0.0)
    plan = MergePlan(limit=Scalar(10))
    fields, source = build(plan, streams, (), (), (), None, memory)
    rows = RowStream(fields, source, streams, memory, worker)
    while calls:
        calls.pop()()
    assert len(rows.take()) == 10 and rows.ended
    rows.close()
    assert closed == streams and memory_reservations.total == 0


def test_shard_failure_mid_stream_fails_the_result(memory_reservations):
    memory = memory_reservations.open(True)
    stream = ShardRowStream(memory)
    stream.fields = FIELDS
    stream.add(row(1, "x"), 1)
    calls = []
    rows = RowStream(
        FIELDS, op.concat([stream]), [stream], memory, MergeScheduler(calls.append, lambda: 0.0)
    )
    calls.pop()()
    assert len(rows.take()) == 1 and not rows.ended
    stream.finish(PgError("58T02", "broke off"))
    while calls:
        calls.pop()()
    assert rows.ended and rows.error.state == "58T02"


def test_taking_few_rows_at_a_time_returns_all_rows(memory_reservations):
    memory = memory_reservations.open(True)
    stream, calls = shard_result(memory, [(n, "x") for n in range(100)]), []
    rows = RowStream(
        FIELDS, op.concat([stream]), [stream], memory, MergeScheduler(calls.append, lambda: 0.0)
    )
    got = []
    while not rows.ended:
        while calls:
            calls.pop()()
        got += rows.take(3)
    assert b"".join(got) == b"".join(row(n, "x") for n in range(100)) and rows.count == 100


# --- row streams with the governor ----------------------------------------------------------


def big(size):
    return frame(b"D", b"\x00\x01" + (size - 11).to_bytes(4, "big") + b"x" * (size - 11))


def test_large_streaming_query_pauses_and_resumes_its_nodes(memory_reservations):
    memory, held = memory_reservations.open(True), []
    stream = ShardRowStream(memory)
    stream.pause_reading = held.append
    memory.on_streaming = lambda s: setattr(s, "committed", True)
    while not held:
        stream.add(big(100_000), 1)
        assert memory.buffered_bytes < 8 * MIB
    assert (
        stream.committed
        and held == [True]
        and memory.buffered_bytes <= memory.buffer_limit + 100_000
    )
    while held[-1]:
        assert stream.take() is not None
    assert held == [True, False]


def test_large_collecting_query_spills_and_reads_back_in_order(memory_reservations, space):
    memory = memory_reservations.open(False)
    stream = ShardRowStream(memory)
    blocks = [row(n, "x" * 50_000) for n in range(200)]
    for block in blocks:
        stream.add(block, 1)
    stream.finish()
    assert space.used > 0 and memory.buffered_bytes <= memory.buffer_limit
    got = []
    while not stream.done:
        got.append(stream.take())
    assert b"".join(got) == b"".join(blocks)
    memory.close()
    assert space.used == 0 and memory_reservations.total == 0


def test_exceeded_spill_quota_fails_the_query(tmp_path):
    space = SpillSpace(str(tmp_path), 1000)
    memory_reservations = MemoryReservations(16 * MIB, 8 * MIB, space, lambda: 0.0)
    memory = memory_reservations.open(False)
    with pytest.raises(PgError) as problem:
        stream = ShardRowStream(memory)
        for _ in range(400):
            stream.add(data_row([os.urandom(50_000)]), 1)
    assert problem.value.state == "53100"
    memory.close()
    assert memory_reservations.total == 0


def test_runs_leave_no_file_and_detect_corruption(tmp_path):
    space = SpillSpace(str(tmp_path), MIB)
    run = space.create_run()
    run.append(b"first block" * 100)
    assert not list(
        tmp_path.iterdir()
    )  # unlinked at once, so that even a killed process leaves no file
    os.pwrite(run._handle, b"\xff", run.size - 3)
    with pytest.raises(PgError) as problem:
        run.read()
    assert problem.value.state == "58030"
    run.close()
    run.close()
    assert space.used == 0


def test_leftover_files_of_dead_processes_alone_are_removed(tmp_path):
    dead, alive = (
        tmp_path / "tansycrank-run-999999999-a",
        tmp_path / f"tansycrank-run-{os.getpid()}-b",
    )
    dead.write_text("x")
    alive.write_text("x")
    assert SpillSpace(str(tmp_path), MIB).remove_leftover_files() == 1
    assert not dead.exists() and alive.exists()


def test_unusable_spill_directory_is_an_error():
    space = SpillSpace("/proc/nowhere", MIB)
    with pytest.raises((PgError, OSError)):
        space.create_run()


@given(st.lists(st.binary(max_size=300), max_size=30), st.integers(1, 200))
def test_rows_split_across_reads_are_reassembled(values, cut):
    data = b"".join(data_row([v]) for v in values) + frame(b"C", b"SELECT\0") + frame(b"Z", b"I")
    frames, rows, others = RowBlockSplitter(1 << 20), [], []
    for at in range(0, len(data), cut):
        for kind, block, count in frames.feed(data[at : at + cut]):
            if kind == 0x44:
                found = frames_of(block)
                assert len(found) == count
                rows += found
            else:
                others.append(kind)
    assert rows == [data_row([v]) for v in values] and others == [0x43, 0x5A]


# --- the governor ------------------------------------------------------------------------


def governor(process=64 * MIB, query=32 * MIB):
    return gov.Governor(process, query)


def open_large(policy, number, streams=False, now=0.0):
    policy.step(now, [gov.QueryStarted(number, streams)])
    return policy.step(now, [gov.MemoryUsed(number, gov.SMALL_QUERY_BYTES + 1)])


def kinds(actions):
    return [type(a).__name__ for a in actions]


def test_small_queries_need_no_admission():
    policy = governor()
    for number in range(200):
        policy.step(0.0, [gov.QueryStarted(number, False)])
        assert kinds(policy.step(0.0, [gov.MemoryUsed(number, gov.SMALL_QUERY_BYTES)])) == [
            "SetLimit"
        ]
    assert not policy.large


def test_large_queries_get_equal_shares():
    policy = governor()
    assert kinds(open_large(policy, 1, True)) == ["SetLimit", "Stream"]
    assert policy.share == 32 * MIB
    actions = open_large(policy, 2)
    assert kinds(actions)[-1] == "Spill"
    shares = {a.query: a.limit for a in actions if isinstance(a, gov.SetLimit)}
    assert shares == {1: 24 * MIB, 2: 24 * MIB}


def test_queries_without_a_minimum_share_wait_in_order():
    policy = governor()
    query_count = int(64 * MIB * (1 - gov.SMALL_QUERY_RESERVE)) // gov.MIN_SHARE_BYTES
    for number in range(query_count):
        open_large(policy, number)
    assert kinds(open_large(policy, 100)) == kinds(open_large(policy, 101)) == ["PauseReads"]
    actions = policy.step(500.0, [gov.QueryEnded(3)])
    assert [a.query for a in actions if isinstance(a, gov.Spill)] == [100]


def test_queries_beyond_the_queue_are_rejected_with_a_measured_retry_time():
    policy = governor()
    for number in range(12 + gov.MAX_WAITING_QUERIES):
        open_large(policy, number)
    policy.step(3000.0, [gov.QueryEnded(0)])
    open_large(policy, 900, now=3000.0)
    (rejection,) = open_large(policy, 901, now=3000.0)
    assert isinstance(rejection, gov.Reject)
    assert rejection.retry_after_ms == pytest.approx(
        3000.0 * (len(policy.waiting_queries) + 1) / len(policy.large)
    )


def test_exceeded_process_limit_ends_the_last_admitted_query():
    policy = governor()
    open_large(policy, 1)
    open_large(policy, 2)
    policy.step(0.0, [gov.QueryStarted(3, False)])
    assert [a.query for a in policy.step(0.0, [gov.LimitExceeded(3)])] == [2]
    assert [a.query for a in governor().step(0.0, [gov.LimitExceeded(7)])] == [7]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["open", "used", "close"]),
            st.integers(0, 12),
            st.integers(0, 40 * MIB),
            st.booleans(),
        ),
        max_size=80,
    )
)
def test_any_event_order_keeps_the_limit_and_no_query_waits_needlessly(script):
    policy = governor(process=32 * MIB, query=16 * MIB)
    for kind, number, size, streams in script:
        if kind == "open" and number not in policy.queries:
            policy.step(0.0, [gov.QueryStarted(number, streams)])
        elif kind == "used":
            policy.step(
                0.0,
                [gov.MemoryUsed(number, min(size, gov.SMALL_QUERY_BYTES) if size % 2 else size)],
            )
        elif kind == "close":
            policy.step(0.0, [gov.QueryEnded(number)])
        assert len(policy.large) * policy.share <= 32 * MIB
        assert set(policy.large) <= set(policy.queries) and set(policy.waiting_queries) <= set(
            policy.queries
        )
        assert not set(policy.large) & set(policy.waiting_queries)
        assert (
            not policy.waiting_queries or policy.large
        )  # a query waits only while another one is running
