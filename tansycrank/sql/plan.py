"""What the planner hands on: parts, how they merge, and what a statement does. Plain records."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tansycrank.postgres.messages import Field

# ("group", i) | ("agg", i) | ("const", value) | ("param", n) | ("op", sign, left, right) | ...
Expression = tuple


@dataclass(frozen=True, slots=True)
class SortKey:
    """A column to sort by: its index from the start; negative, from the end, where it is hidden."""

    column: int
    descending: bool = False
    nulls_first: bool = False


@dataclass(frozen=True, slots=True)
class Scalar:
    """LIMIT or OFFSET: a number, or the parameter that holds it (from 1)."""

    value: int | None = None
    param: int = 0


@dataclass(frozen=True, slots=True)
class Aggregate:
    """One aggregate over all shards. `columns` holds its partial results in a shard's row."""

    kind: str  # count, sum, min, max, avg, bool_and, bool_or
    columns: tuple[int, ...]
    collated: bool = True  # min and max: whether nodes compared text by collation "C"
    raw: bool = False  # the columns hold values, not partial results
    distinct: bool = False
    filter: int = -1  # the column that tells which rows count, -1 for all
    order: tuple[SortKey, ...] = ()  # of the values
    constant: object = None  # delimiter of string_agg, fraction of a percentile


@dataclass(frozen=True, slots=True)
class Output:
    """One column of a grouped answer."""

    name: str
    expression: Expression


@dataclass(frozen=True, slots=True)
class MergePlan:
    """How parts' rows become one answer.

    kind: "concat", "sorted" (concat where `sort` is empty) or "grouped". `hidden` columns at the
    end of a part's row serve the sort alone. A grouped part's row holds the groups first, then
    partial results.
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
    distinct_first: bool = False  # rows are made distinct over all parts before they are counted
    pushed_limit: bool = False
    presorted: bool = False  # nodes deliver their rows in the order of `sort`

    def explain(self) -> list[str]:
        """Lines for EXPLAIN."""
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
                shown = f"${scalar.param}" if scalar.param else scalar.value
                lines.append(
                    f"  {label}: {shown}"
                    f"{' (pushed down)' if label == 'Limit' and self.pushed_limit else ''}"
                )
        return lines


@dataclass(frozen=True, slots=True)
class ShardSql:
    """The statement of one shard."""

    shard: int
    sql: str


@dataclass(frozen=True, slots=True)
class BoundStatement:
    """A bound statement: a statement a shard, and how their rows merge (None: passed on)."""

    shard_requests: tuple[ShardSql, ...]
    merge: MergePlan | None


@dataclass(frozen=True, slots=True)
class LocalCommand:
    """Answered by the router itself: rows of text values, or a session command."""

    # "rows", "set", "reset", "show", "begin", "commit", "rollback", "nothing", "deallocate", ...
    command: str
    tag: str = ""
    fields: tuple[Field, ...] = ()
    rows: tuple[tuple[bytes | None, ...], ...] = ()
    name: str = ""
    value: str | None = None
    count: int = 0  # rows of FETCH, -1 for all


@dataclass(slots=True)
class Prepared:
    """A statement that was understood. `bind` gives its parts for the values of its parameters.

    `oids` are the parameters' types as declared or inferred, 0 where only the store can tell.
    `writes` tells whether it changes data, `volatile` names a function whose repetition may have an
    effect.
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
    inner: Prepared | None = None  # the query of DECLARE or COPY
    options: tuple[tuple[str, object], ...] = ()  # of COPY
    bind: Callable[[Sequence[object]], BoundStatement] | None = None
    compute_local: Callable[[Sequence[object]], LocalCommand] | None = (
        None  # a local answer that depends on parameters
    )
    describe_sql: Callable[[], ShardSql] | None = None
    fields: tuple[Field, ...] | None = field(default=None)  # once known: columns, for Describe
