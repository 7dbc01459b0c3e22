"""Infers parameter types from the expressions that use them and the configured tables."""

from __future__ import annotations

from collections.abc import Mapping

from pglast import ast
from pglast.enums import A_Expr_Kind

from tansycrank.config import Table
from tansycrank.postgres import types
from tansycrank.postgres.errors import INDETERMINATE_DATATYPE, UNDEFINED_PARAMETER, PgError
from tansycrank.postgres.messages import MAX_COUNT as MAX_PARAMETERS
from tansycrank.sql.tree import FlatTree, column_name, type_oid, walk

COMPARISON_KINDS = (
    A_Expr_Kind.AEXPR_OP,
    A_Expr_Kind.AEXPR_DISTINCT,
    A_Expr_Kind.AEXPR_NOT_DISTINCT,
)
IN_AND_BETWEEN_KINDS = (
    A_Expr_Kind.AEXPR_IN,
    A_Expr_Kind.AEXPR_BETWEEN,
    A_Expr_Kind.AEXPR_NOT_BETWEEN,
)
ANY_AND_ALL_KINDS = (A_Expr_Kind.AEXPR_OP_ANY, A_Expr_Kind.AEXPR_OP_ALL)
LIKE_KINDS = (A_Expr_Kind.AEXPR_LIKE, A_Expr_Kind.AEXPR_ILIKE)


def parameter_types(
    stmt: FlatTree, tables: Mapping[str, Table], declared: tuple[int, ...] = ()
) -> tuple[int, ...]:
    """Returns the type OIDs of $1, $2, ...

    Declared types are kept and the others inferred; 0 means that a data node must determine it.
    Raises PgError 42P02 or 42P18 for a number that no parameter can have.
    """
    count = _parameter_count(stmt, len(declared))
    inferred = dict.fromkeys(range(1, count + 1), 0)
    inferred.update({i + 1: oid for i, oid in enumerate(declared) if oid not in (0, types.UNKNOWN)})
    columns = _column_types(stmt, tables)

    def record_type(node: object, oid: int) -> None:
        if isinstance(node, ast.ParamRef) and oid and not inferred[node.number]:
            inferred[node.number] = oid

    def type_of(node: object) -> int:
        if isinstance(node, ast.TypeCast):
            return type_oid(node.typeName)
        if isinstance(node, ast.ParamRef):
            return inferred[node.number]
        if isinstance(node, ast.A_Const) and not node.isnull and isinstance(node.val, ast.Integer):
            return types.INT4
        name = column_name(node)
        return columns.get(name, 0) if name else 0

    for node in walk(stmt):
        if isinstance(node, ast.TypeCast):
            record_type(node.arg, type_oid(node.typeName))
        elif isinstance(node, ast.SelectStmt):
            record_type(node.limitCount, types.INT8)
            record_type(node.limitOffset, types.INT8)
        elif isinstance(node, ast.A_Expr) and node.kind in COMPARISON_KINDS:
            record_type(node.lexpr, type_of(node.rexpr))
            record_type(node.rexpr, type_of(node.lexpr))
        elif isinstance(node, ast.A_Expr) and node.kind in IN_AND_BETWEEN_KINDS:
            items = node.rexpr if isinstance(node.rexpr, tuple) else (node.rexpr,)
            for item in items:
                record_type(item, type_of(node.lexpr))
                record_type(node.lexpr, type_of(item))
        elif isinstance(node, ast.A_Expr) and node.kind in ANY_AND_ALL_KINDS:
            record_type(node.rexpr, types.ARRAY_TYPES.get(type_of(node.lexpr), 0))
        elif isinstance(node, ast.A_Expr) and node.kind in LIKE_KINDS:
            record_type(node.rexpr, types.TEXT)
        elif isinstance(node, ast.InsertStmt):
            _infer_insert(node, tables, record_type)
        elif isinstance(node, ast.UpdateStmt) and node.relation.relname in tables:
            column_types = tables[node.relation.relname].columns
            for target in node.targetList:
                record_type(target.val, column_types.get(target.name, 0))
    return tuple(inferred[i] for i in sorted(inferred))


def _parameter_count(stmt: FlatTree, declared: int) -> int:
    """Returns the highest number of a parameter.

    Each number up to it is declared or used, as in PostgreSQL, so that a number alone cannot make
    the statement large.
    """
    used = {node.number for node in walk(stmt) if isinstance(node, ast.ParamRef)}
    highest = max(used, default=0)
    invalid = highest if highest > MAX_PARAMETERS else min(used, default=1)
    if not 1 <= invalid <= MAX_PARAMETERS:
        raise PgError(UNDEFINED_PARAMETER, f"there is no parameter ${invalid}")
    missing = next((n for n in range(declared + 1, highest) if n not in used), 0)
    if missing:
        raise PgError(
            INDETERMINATE_DATATYPE, f"could not determine data type of parameter ${missing}"
        )
    return max(highest, declared)


def insert_columns(stmt: ast.InsertStmt, table: Table) -> list[str]:
    """Returns the target columns of an INSERT, in the order of its VALUES rows."""
    return [target.name for target in stmt.cols] if stmt.cols else list(table.columns)


def _infer_insert(stmt: ast.InsertStmt, tables: Mapping[str, Table], record_type) -> None:
    table = tables.get(stmt.relation.relname)
    rows = stmt.selectStmt.valuesLists if isinstance(stmt.selectStmt, ast.SelectStmt) else None
    if table and rows:
        names = insert_columns(stmt, table)
        for row in rows:
            for name, value in zip(names, row, strict=False):
                record_type(value, table.columns.get(name, 0))


def _column_types(stmt: FlatTree, tables: Mapping[str, Table]) -> dict[tuple[str, str], int]:
    found: dict[tuple[str, str], int] = {}
    for node in walk(stmt):
        if isinstance(node, ast.RangeVar) and node.relname in tables:
            alias = node.alias.aliasname if node.alias else node.relname
            for column, oid in tables[node.relname].columns.items():
                found[alias, column] = oid
                consistent = found.get(("", column), oid) == oid
                # 0 where two tables disagree: a data node must determine the type
                found["", column] = oid if consistent else 0
    return found
