"""Builds the operators of a merge plan."""

from __future__ import annotations

from collections.abc import Sequence

from tansycrank.merge import operators as op
from tansycrank.merge.blocks import QueryMemory, ShardRowStream
from tansycrank.merge.rows import GroupTable, scalar
from tansycrank.merge.sort_keys import sort_key_function
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import Field
from tansycrank.sql.plan import MergePlan

# Limits up to which a result is merged at once instead of in cooperative slices.
INLINE_MAX_BYTES = 192 * 1024  # of the shards' rows
INLINE_MAX_VALUES = 16_384  # that the merge computes
INLINE_MAX_OUTPUT_BYTES = 8 * 1024 * 1024  # if each row of the result named the whole request
TOP = 10_000  # largest LIMIT plus OFFSET for which the first rows are kept in memory


def build(
    plan: MergePlan | None,
    shard_results: Sequence[ShardRowStream],
    params: Sequence[object],
    oids: Sequence[int],
    result_formats: tuple[int, ...],
    described: tuple[Field, ...] | None,
    memory: QueryMemory,
) -> tuple[tuple[Field, ...], op.BlockIterator]:
    """The columns and the row blocks of the result.

    Every shard must have reported its columns. `described` are the columns announced to the client.
    """
    fields = shard_results[0].fields or ()
    if plan is None:
        return fields, op.concat(shard_results)
    shapes = {
        tuple((f.oid, f.format) for f in shard_result.fields or ())
        for shard_result in shard_results
    }
    if len(shapes) != 1:
        raise PgError(
            "XX000", "shards answer with different columns", hint="are their tables alike?"
        )
    limit, offset = scalar(plan.limit, params, "LIMIT"), scalar(plan.offset, params, "OFFSET") or 0
    rows = op.concat(shard_results)
    if plan.kind == "grouped":
        table = GroupTable(plan, fields, params, oids, result_formats, described)
        if plan.distinct_first:
            rows = op.hybrid_hash(rows, op.Distinct(fields), memory)
        rows, fields = op.hybrid_hash(rows, table, memory), table.fields
    elif plan.distinct:
        rows = op.hybrid_hash(rows, op.Distinct(fields), memory)
    if plan.sort:
        by = sort_key_function(plan.sort, fields)
        if plan.presorted:
            rows = op.merge_sorted(
                [op.shard_source(shard_result, by) for shard_result in shard_results]
            )
        elif limit is not None and limit + offset <= TOP:
            rows = op.top(rows, by, limit + offset, memory)
        else:
            rows = op.external_sort(rows, by, memory)
    visible = fields[: len(fields) - plan.hidden_columns] if plan.hidden_columns else fields
    return visible, op.apply_limit(
        op.drop_hidden_columns(rows, op.hidden_column_remover(plan.hidden_columns, len(fields))),
        limit,
        offset,
    )


def is_small(
    plan: MergePlan | None, shard_results: Sequence[ShardRowStream], request_bytes: int
) -> bool:
    """Whether a result may be merged at once; `request_bytes` of statement and parameters."""
    is_in_memory = all(one.state == "complete" and one.run is None for one in shard_results)
    if not is_in_memory or sum(one.size for one in shard_results) > INLINE_MAX_BYTES:
        return False
    if plan is None:
        return True
    rows = sum(one.rows for one in shard_results)
    is_cheap = rows * plan.values_per_row <= INLINE_MAX_VALUES
    return is_cheap and rows * request_bytes <= INLINE_MAX_OUTPUT_BYTES


def streams(plan: MergePlan | None) -> bool:
    """Whether rows may be sent to the client before all shard results are complete."""
    return plan is None or (
        plan.kind != "grouped" and not plan.distinct and (not plan.sort or plan.presorted)
    )


def explain(plan: MergePlan | None, memory_share: int, quota: int) -> list[str]:
    """Lines for EXPLAIN: the operators, their memory limits and whether they spill."""
    share = f"memory at most {memory_share // 1024} kB"
    if plan is None:
        return ["Pass On: rows as they come, held back at the node"]
    lines = []
    limit = plan.limit.value is not None or plan.limit.param
    if limit:
        lines.append("Limit: stops the parts early")
    if plan.sort and plan.presorted:
        lines.append("Merge Sorted Parts: a block a part in memory; parts ahead are held back")
    elif (
        plan.sort
        and plan.limit.value is not None
        and plan.limit.value + (plan.offset.value or 0) <= TOP
    ):
        lines.append(f"Top {plan.limit.value + (plan.offset.value or 0)}: {share}, no spill")
    elif plan.sort:
        lines.append(f"External Sort: {share}, runs to disk (quota {quota // 2**20} MB)")
    if plan.kind == "grouped":
        lines.append(f"Hash Aggregate: {share}, then {op.PARTITIONS} partitions on disk")
    elif plan.distinct:
        lines.append(f"Hash Distinct: {share}, then {op.PARTITIONS} partitions on disk")
    if not streams(plan):
        lines.append("Gather: parts are read whole first, to disk beyond the share")
    elif not plan.sort:
        lines.append("Append: rows as they come, part by part")
    return lines
