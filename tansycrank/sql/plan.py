"""Records that the planner produces: shard statements, merge plans and statement properties."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank.postgres.messages import Field

# Expression tree evaluated by the router over the columns of a grouped result:
# ("group", i) | ("agg", i) | ("const", value) | ("param", n) | ("op", operator, left, right) | ...
Expression = tuple


def expression_size(expression: Expression) -> int:
    """Returns the number of nodes of an expression."""
    size, pending = 0, [expression]
    while pending:
        size += 1
        pending += [part for part in pending.pop() if isinstance(part, tuple)]
    return size


@dataclass(frozen=True, slots=True)
class SortKey:
    """One sort column. A negative index counts from the end of the row (hidden columns)."""

    column: int
    descending: bool = False
    nulls_first: bool = False


@dataclass(frozen=True, slots=True)
class Scalar:
    """LIMIT or OFFSET: a constant, or the 1-based number of the parameter that holds it.

    Neither is set (`value` None, `param` 0) when the clause is absent or NULL.
    """

    value: int | None = None
    param: int = 0


@dataclass(frozen=True, slots=True)
class Aggregate:
    """One aggregate over all shards. `columns` are its input columns in a shard's rows."""

    kind: str  # name of the aggregate function; "every" is stored as "bool_and"
    columns: tuple[int, ...]
    collated: bool = True  # min, max: whether data nodes compared text by collation "C"
    raw: bool = False  # the columns hold input values instead of partial results
    distinct: bool = False
    filter: int = -1  # index of the FILTER condition column, -1 for none
    order: tuple[SortKey, ...] = ()  # ORDER BY of the input values
    constant: object = None  # string_agg delimiter or percentile fraction


@dataclass(frozen=True, slots=True)
class Output:
    """One output column of a grouped result."""

    name: str
    expression: Expression


@dataclass(frozen=True, slots=True)
class MergePlan:
    """How the rows of the shards are merged into one result.

    `kind` is "concat", "sorted" (used only with sort keys) or "grouped". The last
    `hidden_columns` columns of a row are used only for sorting and are not returned. In a grouped
    plan a shard's row holds the `groups` grouping columns first, then the aggregate inputs.
    """

    kind: str = "concat"
    hidden_columns: int = 0
    sort: tuple[SortKey, ...] = ()
    distinct: bool = False
    limit: Scalar = Scalar()
    offset: Scalar = Scalar()
    groups: int = 0
    aggregates: tuple[Aggregate, ...] = ()
    outputs: tuple[Output, ...] = ()
    having: Expression | None = None
    distinct_first: bool = False  # rows are deduplicated across shards before they are counted
    limit_pushed_down: bool = False
    presorted: bool = False  # data nodes return their rows in the order of `sort`

    @property
    def values_per_row(self) -> int:
        """How many values a merge computes for a row of the result, sort keys among them."""
        expressions = [output.expression for output in self.outputs]
        if self.having is not None:
            expressions.append(self.having)
        return sum(map(expression_size, expressions)) + len(self.sort)

    def explain(self) -> list[str]:
        """Returns the lines that EXPLAIN shows for this plan."""
        lines = [
            {"concat": "Append", "sorted": "Merge Sort", "grouped": "Merge Aggregate"}[self.kind]
        ]
        if self.sort:
            keys = ", ".join(
                f"column {k.column}{' DESC' if k.descending else ''}"
                f"{' NULLS FIRST' if k.nulls_first else ' NULLS LAST'}"
                for k in self.sort
            )
            lines.append(f"  Sort Key: {keys}")
        if self.kind == "grouped":
            lines.append(
                f"  Group Columns: {self.groups}; "
                f"Aggregates: {', '.join(a.kind for a in self.aggregates)}"
            )
            if self.having is not None:
                lines.append("  Having: evaluated at the router")
        if self.distinct:
            lines.append("  Distinct: all visible columns")
        for label, scalar in (("Limit", self.limit), ("Offset", self.offset)):
            if scalar.param or scalar.value is not None:
                displayed = f"${scalar.param}" if scalar.param else scalar.value
                lines.append(
                    f"  {label}: {displayed}"
                    f"{' (pushed down)' if label == 'Limit' and self.limit_pushed_down else ''}"
                )
        return lines


@dataclass(frozen=True, slots=True)
class ShardSql:
    """The SQL text to run on one shard."""

    shard: int
    sql: str


@dataclass(frozen=True, slots=True)
class BoundStatement:
    """A statement with its parameter values applied: one SQL text per shard and the merge plan.

    `merge` is None if a single shard answers and its rows are passed through unchanged.
    """

    shard_requests: tuple[ShardSql, ...]
    merge: MergePlan | None


@dataclass(frozen=True, slots=True)
class LocalCommand:
    """A statement that the router executes itself: fixed rows or a session command."""

    # "rows", "set", "reset", "show", "begin", "commit", "rollback", "nothing", "deallocate", ...
    command: str
    tag: str = ""
    fields: tuple[Field, ...] = ()
    rows: tuple[tuple[bytes | None, ...], ...] = ()
    name: str = ""
    value: str | None = None
    count: int = 0  # row count of FETCH, -1 for ALL


@dataclass(slots=True)
class Prepared:
    """A planned statement. `bind` returns its shard statements for given parameter values.

    `oids` are the declared or inferred parameter types, 0 where only a data node can determine
    them. `writes` is true for statements that change data. `volatile_function` names a called
    function that may have side effects, so that running it twice is not safe; empty for none.
    """

    sql: str
    tag: str
    oids: tuple[int, ...] = ()
    local: LocalCommand | None = None
    writes: bool = False
    volatile_function: str = ""
    tables: tuple[str, ...] = ()
    returns_rows: bool = True
    explain: Prepared | None = None
    inner: Prepared | None = None  # the query of DECLARE CURSOR or COPY
    options: tuple[tuple[str, object], ...] = ()  # (name, value) pairs of COPY
    bind: Callable[[Sequence[object]], BoundStatement] | None = None
    # computes a local result that depends on parameter values
    compute_local: Callable[[Sequence[object]], LocalCommand] | None = None
    describe_sql: Callable[[], ShardSql] | None = None
    # result columns for Describe, None until known
    fields: tuple[Field, ...] | None = field(default=None)
