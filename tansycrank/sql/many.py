"""Plans a SELECT over several shards: the statement for each shard and an exact merge plan.

A construct that has no exact merge is rejected by name (SQLSTATE 0A000).
"""

from __future__ import annotations

from contextlib import suppress
from copy import copy
from typing import NamedTuple

from pglast import ast
from pglast.enums import LimitOption, SetOperation, SortByDir, SortByNulls
from pglast.stream import RawStream
from pglast.visitors import Continue, Visitor

from tansycrank.config import Config
from tansycrank.postgres import types
from tansycrank.postgres.errors import TOO_COMPLEX, PgError, unsupported
from tansycrank.sql.names import (
    AGGREGATES,
    IMMUTABLE_FUNCTIONS,
    PARTIAL_AGGREGATES,
    VALUE_AGGREGATES,
)
from tansycrank.sql.plan import Aggregate, MergePlan, Output, Scalar, SortKey
from tansycrank.sql.scope import Scope, build_scope
from tansycrank.sql.tree import (
    NotConstantError,
    column_name,
    constant,
    contains,
    function_name,
    is_aggregate,
    operator,
    type_oid,
    walk,
)

MAX_RENDERED_CHARACTERS = 150_000  # of SQL text, over all expressions of a statement
UNCOLLATED_AGGREGATES = ("count", "sum", "avg", "bool_and", "bool_or", "every")


class HiddenColumn(NamedTuple):
    """A column that shards add for a sort expression, and that clients don't get."""

    number: int  # from 1, in the order in which they are added
    expression: ast.Node


def to_sql(node: ast.Node) -> str:
    """Returns the SQL text of a syntax tree."""
    _set_ancestors((node,))
    stream = RawStream()
    stream.print_node(node)
    return stream.getvalue()


def _set_ancestors(nodes: tuple[ast.Node, ...]) -> None:
    """Sets the ancestors of all nodes, which the printer needs.

    `pglast.visitors.populate_ancestors` defines a class at each call, which takes longer than
    printing a short expression.
    """
    visitor = Visitor()
    visitor.root = nodes
    visits = visitor.iterate(nodes)
    with suppress(StopIteration):
        ancestors, node = next(visits)
        while True:
            node.ancestors = ancestors
            ancestors, node = visits.send(Continue)


def plan_multi_shard(config: Config, stmt: ast.SelectStmt) -> tuple[ast.SelectStmt, MergePlan]:
    """Returns the statement for each shard (tables not yet schema-qualified) and the merge plan."""
    return _MultiShardPlanner(config, stmt).plan()


class _MultiShardPlanner:
    def __init__(self, config: Config, stmt: ast.SelectStmt) -> None:
        self.config, self.stmt = config, stmt
        self._reject_unsupported_constructs()
        self.scope: Scope = build_scope(
            config, stmt.fromClause or (), stmt.whereClause, strict=True
        )
        if not self.scope.colocated():
            raise unsupported("join of distributed tables not on their distribution columns")
        self.targets: list[ast.ResTarget] = list(stmt.targetList or ())
        self.star = any(contains(t.val, ast.A_Star) for t in self.targets)
        self._target_indexes: dict[str, int] | None = None  # by SQL text, once needed
        # nodes and their SQL text by the id of the node, which lives as long as its entry
        self._rendered: dict[int, tuple[ast.Node, str]] = {}
        self._rendered_characters = 0
        self._targets_by_name = {t.name: t.val for t in reversed(self.targets) if t.name}

    def _sql(self, node: ast.Node) -> str:
        """Returns the SQL text of a node, rendered once. Raises PgError 54001 for too much text.

        Rendering a node renders all nodes below it, so that nested expressions cost the square of
        their depth.
        """
        if id(node) not in self._rendered:
            text = to_sql(node)
            self._rendered[id(node)] = node, text
            self._rendered_characters += len(text)
            if self._rendered_characters > MAX_RENDERED_CHARACTERS:
                raise PgError(TOO_COMPLEX, "the expressions over groups are nested too deep")
        return self._rendered[id(node)][1]

    def _reject_unsupported_constructs(self) -> None:
        stmt, tables = self.stmt, self.config.tables
        if stmt.op != SetOperation.SETOP_NONE:
            raise unsupported(stmt.op.name.removeprefix("SETOP_"))
        if stmt.withClause:
            raise unsupported("WITH")
        if stmt.valuesLists:
            raise unsupported("VALUES")
        if stmt.lockingClause:
            raise unsupported("FOR UPDATE or FOR SHARE")
        if stmt.intoClause:
            raise unsupported("SELECT INTO")
        if stmt.windowClause:
            raise unsupported("window functions")
        if stmt.distinctClause and stmt.distinctClause != (None,):
            raise unsupported("DISTINCT ON")
        if stmt.limitOption == LimitOption.LIMIT_OPTION_WITH_TIES:
            raise unsupported("FETCH FIRST ... WITH TIES")
        for node in walk(stmt):
            if isinstance(node, ast.SelectStmt) and node is not stmt:
                for table in walk(node):
                    if (
                        isinstance(table, ast.RangeVar)
                        and table.relname in tables
                        and tables[table.relname].distribution
                    ):
                        raise unsupported(f"subquery on distributed table {table.relname}")
            elif isinstance(node, ast.SQLValueFunction):
                raise unsupported(
                    f"{node.op.name.removeprefix('SVFOP_')}", "give the value as a parameter"
                )
            elif isinstance(node, ast.GroupingSet | ast.GroupingFunc):
                raise unsupported("GROUPING SETS, ROLLUP or CUBE")
            elif isinstance(node, ast.RangeTableSample):
                raise unsupported("TABLESAMPLE")
            elif isinstance(node, ast.CollateClause) and node.collname[-1].sval not in (
                "C",
                "POSIX",
                "ucs_basic",
            ):
                raise unsupported(
                    f"collation {node.collname[-1].sval}", 'collation "C" is supported'
                )
            elif isinstance(node, ast.FuncCall):
                name = function_name(node)
                if node.over is not None:
                    raise unsupported(f"window function {name}()")
                if name not in IMMUTABLE_FUNCTIONS | AGGREGATES:
                    raise unsupported(
                        f"function {name}()", "its result may differ from node to node"
                    )
            elif (
                isinstance(node, ast.TypeCast)
                and isinstance(node.arg, ast.A_Const)
                and not node.arg.isnull
                and isinstance(node.arg.val, ast.String)
                and node.arg.val.sval.strip().lower() in ("now", "today", "tomorrow", "yesterday")
            ):
                raise unsupported(
                    f"the moving literal {node.arg.val.sval!r}", "give the value as a parameter"
                )

    # --- choice of the merge ------------------------------------------------------------

    def plan(self) -> tuple[ast.SelectStmt, MergePlan]:
        groups = [self._resolve_reference(item, "GROUP BY") for item in self.stmt.groupClause or ()]
        aggregated = any(
            is_aggregate(n)
            for n in walk((self.targets, self.stmt.havingClause, self.stmt.sortClause))
        )
        if not groups and not aggregated and self.stmt.havingClause is None:
            return self._plan_rows()
        grouped_by_shard_key = any(
            (alias := self.scope.distribution_alias(g)) and alias not in self.scope.nullable
            for g in groups
        )
        if groups and grouped_by_shard_key:  # every group lies entirely on one shard
            return self._plan_rows()
        return self._plan_grouped(groups)

    def _resolve_reference(self, node: ast.Node, where: str) -> ast.Node:
        """Replaces an ordinal or an output name by its expression.

        As in PostgreSQL, GROUP BY prefers input columns and ORDER BY prefers output names.
        """
        if isinstance(node, ast.A_Const) and not node.isnull and isinstance(node.val, ast.Integer):
            if self.star:
                raise unsupported(f"{where} position beside *")
            if not 1 <= node.val.ival <= len(self.targets):
                raise PgError("42P10", f"{where} position {node.val.ival} is not in select list")
            return self.targets[node.val.ival - 1].val
        name = column_name(node)
        if name and not name[0]:
            is_column = any(name[1] in t.columns for t in self.scope.tables.values())
            prefers_output = where == "ORDER BY" or not is_column
            if prefers_output and name[1] in self._targets_by_name:
                return self._targets_by_name[name[1]]
        return node

    def _row_count(self, node: ast.Node | None, what: str) -> Scalar:
        if node is None:
            return Scalar()
        if isinstance(node, ast.TypeCast) and isinstance(node.arg, ast.ParamRef):
            node = node.arg
        if isinstance(node, ast.ParamRef):
            return Scalar(param=node.number)
        try:
            value = constant(node)
        except NotConstantError:
            raise unsupported(f"an expression in {what}") from None
        if value is None:
            return Scalar()
        if isinstance(value, types.Decimal):
            value = types.whole_number(types.INT8, value)
        if not isinstance(value, int):
            raise unsupported(f"an expression in {what}")
        if value < 0:
            raise PgError("2201W" if what == "LIMIT" else "2201X", f"{what} must not be negative")
        return Scalar(value)

    # --- rows without aggregation at the router -----------------------------------------

    def _plan_rows(self) -> tuple[ast.SelectStmt, MergePlan]:
        shard_request, stmt = copy(self.stmt), self.stmt
        distinct = bool(stmt.distinctClause)
        limit, offset = (
            self._row_count(stmt.limitCount, "LIMIT"),
            self._row_count(stmt.limitOffset, "OFFSET"),
        )
        hidden: dict[str, HiddenColumn] = {}  # by SQL text
        keys, sort_types_known, shard_sort = {}, True, []
        for item in stmt.sortClause or ():
            column, node = self._sort_column(item.node, hidden, distinct)
            descending, first = _sort_direction(item)
            if column in keys:  # a later key of the same column decides nothing
                continue
            keys[column] = descending, first
            oid = self._type_of(node)
            sort_types_known = sort_types_known and bool(oid)
            shard_sort.append(_shard_sort_by(node, oid, descending, first))
        hidden_count = len(hidden)
        # _sort_column returns -i for the i-th hidden column; counted from the end of a row of any
        # width, its index is i - hidden_count - 1
        sort = tuple(
            SortKey(column if column >= 0 else -column - hidden_count - 1, *direction)
            for column, direction in keys.items()
        )
        hidden_targets = [
            ast.ResTarget(name=f"tansycrank_sort_{one.number - 1}", val=one.expression)
            for one in hidden.values()
        ]
        shard_request.targetList = (*self.targets, *hidden_targets)
        push_limit = (limit.param or limit.value is not None) and sort_types_known
        presorted = bool(sort) and sort_types_known and not distinct
        shard_request.limitCount = shard_request.limitOffset = shard_request.sortClause = None
        shard_request.limitOption = LimitOption.LIMIT_OPTION_DEFAULT
        if distinct and any(isinstance(s.node, ast.CollateClause) for s in shard_sort):
            # SELECT DISTINCT accepts only output columns as sort keys, and these without COLLATE
            push_limit = False
        if presorted or push_limit:
            shard_request.sortClause = tuple(shard_sort) or None
        if push_limit:
            shard_request.limitOption = LimitOption.LIMIT_OPTION_COUNT
            shard_request.limitCount = _limit_plus_offset(
                stmt.limitCount, stmt.limitOffset, limit, offset
            )
        kind = "sorted" if sort else "concat"
        return shard_request, MergePlan(
            kind,
            hidden_count,
            sort,
            distinct,
            limit,
            offset,
            limit_pushed_down=bool(push_limit),
            presorted=presorted,
        )

    def _sort_column(
        self, node: ast.Node, hidden: dict[str, HiddenColumn], distinct: bool
    ) -> tuple[int, ast.Node]:
        """Returns the sort column's index in a shard's row, or -i for the i-th hidden column."""
        if isinstance(node, ast.A_Const) and not node.isnull and isinstance(node.val, ast.Integer):
            if self.star:
                raise unsupported("ORDER BY position beside *")
            return node.val.ival - 1, self._resolve_reference(node, "ORDER BY")
        expression = self._resolve_reference(node, "ORDER BY")
        if contains(expression, ast.SubLink):
            raise unsupported("a subquery in ORDER BY")
        if not self.star:
            index = self._target_index(self._sql(expression))
            if index is not None:
                return index, expression
        if distinct and not self.star:
            raise PgError(
                "42P10", "for SELECT DISTINCT, ORDER BY expressions must appear in select list"
            )
        if distinct:
            raise unsupported("SELECT DISTINCT * with ORDER BY")
        column = hidden.setdefault(self._sql(expression), HiddenColumn(len(hidden) + 1, expression))
        return -column.number, expression

    def _target_index(self, text: str) -> int | None:
        """Returns the index of the first output column with this SQL text."""
        if self._target_indexes is None:
            texts = [self._sql(target.val) for target in self.targets]
            self._target_indexes = {text: i for i, text in reversed(list(enumerate(texts)))}
        return self._target_indexes.get(text)

    def _type_of(self, node: ast.Node) -> int:
        """Returns a type OID that tells whether the expression is text, 0 if unknown."""
        if isinstance(node, ast.TypeCast):
            return type_oid(node.typeName)
        if isinstance(node, ast.CollateClause):
            return types.TEXT
        if isinstance(node, ast.FuncCall) and function_name(node) in UNCOLLATED_AGGREGATES:
            return types.NUMERIC
        if isinstance(node, ast.FuncCall) and function_name(node) in ("min", "max") and node.args:
            return self._type_of(node.args[0])
        if isinstance(node, ast.A_Expr) and operator(node) in "+-*/%" and node.lexpr is not None:
            left, right = self._type_of(node.lexpr), self._type_of(node.rexpr)
            return (
                types.NUMERIC
                if {left, right} <= types.INTEGER_TYPES | {types.NUMERIC, types.FLOAT8}
                else 0
            )
        if (
            isinstance(node, ast.A_Const)
            and not node.isnull
            and isinstance(node.val, ast.Integer | ast.Float)
        ):
            return types.NUMERIC
        return self.scope.type_of(node)

    # --- groups ---------------------------------------------------------------------

    def _plan_grouped(self, groups: list[ast.Node]) -> tuple[ast.SelectStmt, MergePlan]:
        stmt = self.stmt
        if self.star:
            raise PgError(
                "42803", "* must appear in the GROUP BY clause or be used in an aggregate function"
            )
        if stmt.distinctClause:
            raise unsupported("SELECT DISTINCT with aggregates")
        texts = [self._sql(group) for group in groups]
        self.group_indexes = {text: i for i, text in reversed(list(enumerate(texts)))}
        self.columns: list[ast.Node] = list(groups)
        self.column_indexes: dict[str, int] = {}
        self.aggregates: list[Aggregate] = []
        self.aggregate_indexes: dict[str, int] = {}
        calls = [
            n for n in walk((self.targets, stmt.havingClause, stmt.sortClause)) if is_aggregate(n)
        ]
        self.needs_values = any(
            call.agg_distinct or function_name(call) in VALUE_AGGREGATES for call in calls
        )
        outputs = tuple(Output(_output_name(t), self._expression(t.val)) for t in self.targets)
        having = self._expression(stmt.havingClause) if stmt.havingClause is not None else None
        sort, sort_outputs = [], []
        output_indexes = {o.expression: i for i, o in reversed(list(enumerate(outputs)))}
        for item in stmt.sortClause or ():
            node = item.node
            if (
                isinstance(node, ast.A_Const)
                and not node.isnull
                and isinstance(node.val, ast.Integer)
            ):
                self._resolve_reference(node, "ORDER BY")
                column = node.val.ival - 1
            else:
                expression = self._expression(self._resolve_reference(node, "ORDER BY"))
                column = output_indexes.get(expression, -1)
                if column < 0:
                    sort_outputs.append(Output("", expression))
                    column = len(outputs) + len(sort_outputs) - 1
            sort.append(SortKey(column, *_sort_direction(item)))
        shard_request = copy(stmt)
        shard_request.targetList = tuple(
            ast.ResTarget(name=f"c{i}", val=node) for i, node in enumerate(self.columns)
        )
        shard_request.groupClause = tuple(groups) or None
        distinct_first = False
        if self.needs_values:
            shard_request.groupClause = None
            one_value_column = len(self.columns) == len(groups) + 1
            distinct_first = one_value_column and all(
                a.kind == "count" and a.distinct and a.filter < 0 for a in self.aggregates
            )
            shard_request.distinctClause = (None,) if distinct_first else None
        shard_request.havingClause = shard_request.sortClause = shard_request.limitCount = (
            shard_request.limitOffset
        ) = None
        shard_request.limitOption = LimitOption.LIMIT_OPTION_DEFAULT
        plan = MergePlan(
            "grouped",
            len(sort_outputs),
            tuple(sort),
            False,
            self._row_count(stmt.limitCount, "LIMIT"),
            self._row_count(stmt.limitOffset, "OFFSET"),
            len(groups),
            tuple(self.aggregates),
            outputs + tuple(sort_outputs),
            having,
            distinct_first,
        )
        return shard_request, plan

    def _shard_column(self, call: ast.Node) -> int:
        """Returns the index of this expression in a shard's row, adding the column if needed."""
        text = self._sql(call)
        if text not in self.column_indexes:
            self.column_indexes[text] = len(self.columns)
            self.columns.append(call)
        return self.column_indexes[text]

    def _value_aggregate(self, call: ast.FuncCall) -> tuple:
        """Plans an aggregate that the router computes from the input values of all shards."""
        name, text = function_name(call), self._sql(call)
        if contains(call.args, ast.SubLink) or any(is_aggregate(n) for n in walk(call.args or ())):
            raise unsupported(f"a subquery or aggregate inside {name}()")
        if name not in PARTIAL_AGGREGATES | VALUE_AGGREGATES:
            raise unsupported(
                f"aggregate {name}()", "group by the distribution column, or ask for one shard"
            )
        order_by, constant_argument, args = list(call.agg_order or ()), None, list(call.args or ())
        if call.agg_distinct and order_by:
            raise unsupported(f"{name}(DISTINCT ... ORDER BY ...)")
        if name in ("string_agg", "percentile_cont", "percentile_disc"):
            try:
                constant_argument = constant(args[1 if name == "string_agg" else 0])
            except (NotConstantError, IndexError):
                raise unsupported(f"{name}() with a computed argument") from None
            args = args[:1] if name == "string_agg" else [order_by[0].node]
        if text not in self.aggregate_indexes:
            order = tuple(
                SortKey(self._shard_column(item.node), *_sort_direction(item)) for item in order_by
            )
            columns = tuple(self._shard_column(arg) for arg in args)
            filter_column = -1 if call.agg_filter is None else self._shard_column(call.agg_filter)
            kind = "bool_and" if name == "every" else name
            self.aggregate_indexes[text] = len(self.aggregates)
            self.aggregates.append(
                Aggregate(
                    kind,
                    columns,
                    True,
                    True,
                    bool(call.agg_distinct),
                    filter_column,
                    order,
                    constant_argument,
                )
            )
        return ("agg", self.aggregate_indexes[text])

    def _aggregate(self, call: ast.FuncCall) -> tuple:
        name = function_name(call)
        if self.needs_values:
            return self._value_aggregate(call)
        if name not in PARTIAL_AGGREGATES:
            raise unsupported(
                f"aggregate {name}()", "group by the distribution column, or ask for one shard"
            )
        if call.agg_distinct:
            raise unsupported(
                f"{name}(DISTINCT ...)", "group by the distribution column, or ask for one shard"
            )
        if call.agg_order or call.agg_within_group:
            raise unsupported(f"{name}(... ORDER BY ...)")
        if contains(call.args, ast.SubLink) or any(is_aggregate(n) for n in walk(call.args or ())):
            raise unsupported(f"a subquery or aggregate inside {name}()")
        text = self._sql(call)
        if text not in self.aggregate_indexes:
            collated = True
            if name == "avg":
                sum_call, count_call = copy(call), copy(call)
                sum_call.funcname, count_call.funcname = (
                    (ast.String(sval="sum"),),
                    (ast.String(sval="count"),),
                )
                columns = self._shard_column(sum_call), self._shard_column(count_call)
            elif name in ("min", "max"):
                oid = self._type_of(call.args[0])
                collated = bool(oid)
                if (
                    oid in types.TEXT_TYPES
                    and oid
                    and not isinstance(call.args[0], ast.CollateClause)
                ):
                    call = copy(call)
                    call.args = (
                        ast.CollateClause(arg=call.args[0], collname=(ast.String(sval="C"),)),
                    )
                columns = (self._shard_column(call),)
            else:
                columns = (self._shard_column(call),)
            self.aggregate_indexes[text] = len(self.aggregates)
            self.aggregates.append(
                Aggregate("bool_and" if name == "every" else name, columns, collated)
            )
        return ("agg", self.aggregate_indexes[text])

    def _expression(self, node: ast.Node) -> tuple:
        """Translates an expression over groups and aggregates that the router evaluates exactly."""
        if self.group_indexes and self._sql(node) in self.group_indexes:
            return ("group", self.group_indexes[self._sql(node)])
        if isinstance(node, ast.FuncCall):
            if is_aggregate(node):
                return self._aggregate(node)
            name = function_name(node)
            if name == "round" and 1 <= len(node.args or ()) <= 2:
                try:
                    digits = constant(node.args[1]) if len(node.args) == 2 else 0
                except NotConstantError:
                    raise unsupported(
                        "round() to a computed number of digits over aggregates"
                    ) from None
                return ("round", self._expression(node.args[0]), digits)
            raise unsupported(f"function {name}() over aggregates")
        if isinstance(node, ast.ParamRef):
            return ("param", node.number)
        if isinstance(node, ast.A_Const):
            return ("const", constant(node))
        if isinstance(node, ast.CoalesceExpr):
            return ("coalesce", *(self._expression(arg) for arg in node.args))
        if isinstance(node, ast.BoolExpr):
            names = {0: "and", 1: "or", 2: "not"}
            return (names[int(node.boolop)], *(self._expression(arg) for arg in node.args))
        if isinstance(node, ast.NullTest):
            return ("isnull", self._expression(node.arg), int(node.nulltesttype) == 0)
        if (
            isinstance(node, ast.A_Expr)
            and int(node.kind) == 0
            and node.lexpr is not None
            and operator(node) in ("=", "<>", "!=", "<", ">", "<=", ">=")
        ):
            comparison = "<>" if operator(node) == "!=" else operator(node)
            return ("op", comparison, self._expression(node.lexpr), self._expression(node.rexpr))
        if isinstance(node, ast.ColumnRef):
            raise PgError(
                "42803",
                f"column {self._sql(node)} must appear in the GROUP BY clause "
                "or be used in an aggregate function",
            )
        raise unsupported(f"the expression {self._sql(node)[:60]} over aggregates")


def _shard_sort_by(node: ast.Node, oid: int, descending: bool, nulls_first: bool) -> ast.SortBy:
    """Returns the sort clause of a shard, whose order of texts is that of the router."""
    if oid in types.TEXT_TYPES and oid and not isinstance(node, ast.CollateClause):
        node = ast.CollateClause(arg=node, collname=(ast.String(sval="C"),))
    return ast.SortBy(
        node=node,
        sortby_dir=SortByDir.SORTBY_DESC if descending else SortByDir.SORTBY_ASC,
        sortby_nulls=SortByNulls.SORTBY_NULLS_FIRST
        if nulls_first
        else SortByNulls.SORTBY_NULLS_LAST,
    )


def _sort_direction(item: ast.SortBy) -> tuple[bool, bool]:
    if item.sortby_dir == SortByDir.SORTBY_USING:
        raise unsupported("ORDER BY ... USING")
    if isinstance(item.node, ast.CollateClause) and item.node.collname[-1].sval not in (
        "C",
        "POSIX",
    ):
        raise unsupported(f"collation {item.node.collname[-1].sval}")
    descending = item.sortby_dir == SortByDir.SORTBY_DESC
    if item.sortby_nulls == SortByNulls.SORTBY_NULLS_DEFAULT:
        return descending, descending
    return descending, item.sortby_nulls == SortByNulls.SORTBY_NULLS_FIRST


def _limit_plus_offset(
    count: ast.Node, offset: ast.Node | None, limit_value: Scalar, offset_value: Scalar
) -> ast.Node:
    if offset_value.value is None and not offset_value.param:
        return count
    if limit_value.value is not None and offset_value.value is not None:
        return ast.A_Const(
            isnull=False, val=ast.Float(fval=str(limit_value.value + offset_value.value))
        )
    bigint = ast.TypeName(names=(ast.String(sval="int8"),), typemod=-1)
    return ast.A_Expr(
        kind=0,
        name=(ast.String(sval="+"),),
        lexpr=ast.TypeCast(arg=count, typeName=bigint),
        rexpr=ast.TypeCast(arg=offset, typeName=bigint),
    )


def _output_name(target: ast.ResTarget) -> str:
    if target.name:
        return target.name
    node = target.val
    while isinstance(node, ast.TypeCast):
        node = node.arg
    if isinstance(node, ast.FuncCall):
        return function_name(node)
    if isinstance(node, ast.CoalesceExpr):
        return "coalesce"
    name = column_name(node)
    return name[1] if name else "?column?"
