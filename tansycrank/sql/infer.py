"""Types of parameters, inferred from where they stand, as far as the catalogue tells."""

from __future__ import annotations

from collections.abc import Mapping

from pglast import ast
from pglast.enums import A_Expr_Kind

from tansycrank.config import Table
from tansycrank.postgres import types
from tansycrank.sql.tree import column_name, type_oid, walk

COMPARED = (A_Expr_Kind.AEXPR_OP, A_Expr_Kind.AEXPR_DISTINCT, A_Expr_Kind.AEXPR_NOT_DISTINCT)
LISTED = (A_Expr_Kind.AEXPR_IN, A_Expr_Kind.AEXPR_BETWEEN, A_Expr_Kind.AEXPR_NOT_BETWEEN)
ANY = (A_Expr_Kind.AEXPR_OP_ANY, A_Expr_Kind.AEXPR_OP_ALL)
LIKE = (A_Expr_Kind.AEXPR_LIKE, A_Expr_Kind.AEXPR_ILIKE)


def parameter_types(
    stmt: ast.Node, tables: Mapping[str, Table], declared: tuple[int, ...] = ()
) -> tuple[int, ...]:
    """Type OIDs of $1, $2, ...: declared ones stand, others are inferred, 0 where the store must
    tell.
    """
    used = [node.number for node in walk(stmt) if isinstance(node, ast.ParamRef)]
    found = dict.fromkeys(range(1, max([*used, len(declared)], default=0) + 1), 0)
    found.update({i + 1: oid for i, oid in enumerate(declared) if oid not in (0, types.UNKNOWN)})
    columns = _columns(stmt, tables)

    def note(node: object, oid: int) -> None:
        if isinstance(node, ast.ParamRef) and oid and not found[node.number]:
            found[node.number] = oid

    def type_of(node: object) -> int:
        if isinstance(node, ast.TypeCast):
            return type_oid(node.typeName)
        if isinstance(node, ast.ParamRef):
            return found[node.number]
        if isinstance(node, ast.A_Const) and not node.isnull and isinstance(node.val, ast.Integer):
            return types.INT4
        name = column_name(node)
        return columns.get(name, 0) if name else 0

    for node in walk(stmt):
        if isinstance(node, ast.TypeCast):
            note(node.arg, type_oid(node.typeName))
        elif isinstance(node, ast.SelectStmt):
            note(node.limitCount, types.INT8)
            note(node.limitOffset, types.INT8)
        elif isinstance(node, ast.A_Expr) and node.kind in COMPARED:
            note(node.lexpr, type_of(node.rexpr))
            note(node.rexpr, type_of(node.lexpr))
        elif isinstance(node, ast.A_Expr) and node.kind in LISTED:
            items = node.rexpr if isinstance(node.rexpr, tuple) else (node.rexpr,)
            for item in items:
                note(item, type_of(node.lexpr))
                note(node.lexpr, type_of(item))
        elif isinstance(node, ast.A_Expr) and node.kind in ANY:
            note(node.rexpr, types.ARRAY_TYPES.get(type_of(node.lexpr), 0))
        elif isinstance(node, ast.A_Expr) and node.kind in LIKE:
            note(node.rexpr, types.TEXT)
        elif isinstance(node, ast.InsertStmt):
            _insert(node, tables, note)
        elif isinstance(node, ast.UpdateStmt) and node.relation.relname in tables:
            known = tables[node.relation.relname].columns
            for target in node.targetList:
                note(target.val, known.get(target.name, 0))
    return tuple(found[i] for i in sorted(found))


def insert_columns(stmt: ast.InsertStmt, table: Table) -> list[str]:
    """The columns an INSERT fills, in the order of its rows."""
    return [target.name for target in stmt.cols] if stmt.cols else list(table.columns)


def _insert(stmt: ast.InsertStmt, tables: Mapping[str, Table], note) -> None:
    table = tables.get(stmt.relation.relname)
    rows = stmt.selectStmt.valuesLists if isinstance(stmt.selectStmt, ast.SelectStmt) else None
    if table and rows:
        names = insert_columns(stmt, table)
        for row in rows:
            for name, value in zip(names, row, strict=False):
                note(value, table.columns.get(name, 0))


def _columns(stmt: ast.Node, tables: Mapping[str, Table]) -> dict[tuple[str, str], int]:
    found: dict[tuple[str, str], int] = {}
    for node in walk(stmt):
        if isinstance(node, ast.RangeVar) and node.relname in tables:
            alias = node.alias.aliasname if node.alias else node.relname
            for column, oid in tables[node.relname].columns.items():
                found[alias, column] = oid
                same = found.get(("", column), oid) == oid
                found["", column] = oid if same else 0  # two tables disagree: the store must tell
    return found
