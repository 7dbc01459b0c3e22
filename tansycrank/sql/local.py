"""Statements that the router answers itself, such as the queries drivers send on connecting."""

from __future__ import annotations

from collections.abc import Sequence
from decimal import Decimal

from pglast import ast

from tansycrank.postgres import types
from tansycrank.postgres.errors import PgError
from tansycrank.postgres.messages import Field
from tansycrank.sql.plan import LocalCommand
from tansycrank.sql.tree import NotConstantError, column_name, constant, function_name, walk

SERVER_VERSION = "15.0 (tansycrank)"
CONSTANT_FUNCTIONS = {
    "version": (f"PostgreSQL {SERVER_VERSION}", types.TEXT),
    "current_schema": ("public", types.NAME),
    "current_database": ("tansycrank", types.NAME),
    "pg_advisory_unlock_all": ("", 2278),
    "pg_is_in_recovery": (False, types.BOOL),
}
TYPE_LOOKUP_COLUMNS = {
    "name": types.NAME,
    "oid": types.OID,
    "array_oid": types.OID,
    "regtype": types.TEXT,
    "delimiter": 18,
    "typname": types.NAME,
    "typarray": types.OID,
    "typdelim": 18,
}
TYPE_INTROSPECTION_COLUMNS = (
    ("oid", types.OID),
    ("ns", types.NAME),
    ("name", types.NAME),
    ("kind", 18),
    ("basetype", types.OID),
    ("elemtype", types.OID),
    ("elemdelim", 18),
    ("range_subtype", types.OID),
    ("attrtypoids", 1028),
    ("attrnames", 1009),
    ("depth", types.INT4),
    ("basetype_name", types.TEXT),
    ("elemtype_name", types.TEXT),
    ("range_subtype_name", types.TEXT),
)


def answer_locally(stmt: ast.SelectStmt) -> LocalCommand | None:
    """Returns the result of a SELECT without tables over constants and known functions, or None.

    A pg_type look-up by name gets an empty result: drivers search for extension types this way,
    and the router has none.
    """
    if _is_type_lookup(stmt):
        names = [t.name or (column_name(t.val) or ("", "?column?"))[1] for t in stmt.targetList]
        fields = tuple(Field(name, TYPE_LOOKUP_COLUMNS.get(name, types.TEXT)) for name in names)
        return LocalCommand("rows", "SELECT 0", fields, ())
    if (
        stmt.fromClause
        or stmt.whereClause
        or stmt.op
        or not stmt.targetList
        or stmt.sortClause
        or stmt.limitCount
        or stmt.limitOffset
        or stmt.groupClause
        or stmt.havingClause
        or stmt.withClause
        or stmt.distinctClause
    ):
        return None
    fields, row = [], []
    for target in stmt.targetList:
        found = _constant_result(target.val)
        if found is None:
            return None
        name, oid, value = found
        fields.append(Field(target.name or name, oid, types.BINARY_SIZES.get(oid, -1)))
        row.append(None if value is None else types.encode(oid, 0, value))
    return LocalCommand("rows", "SELECT 1", tuple(fields), (tuple(row),))


def is_type_introspection_query(stmt: ast.SelectStmt) -> bool:
    """Returns whether this is asyncpg's type introspection by OID (recursive WITH over pg_type)."""
    ctes = stmt.withClause.ctes if stmt.withClause else ()
    return [c.ctename for c in ctes] == ["typeinfo_tree"]


def type_introspection_rows(oids: Sequence[int]) -> LocalCommand:
    """Returns the rows of that query: the types, and before them the element types of arrays.

    Element types have depth 1 and come first; all others have depth 0.
    """
    fields = tuple(Field(name, oid) for name, oid in TYPE_INTROSPECTION_COLUMNS)
    found: dict[tuple[int, int], None] = {}
    for oid in oids:
        if oid in types.ARRAY_ELEMENTS:
            found[oid, 0] = found[types.ARRAY_ELEMENTS[oid], 1] = None
        elif types.type_name(oid) in types.OID_BY_NAME:
            found[oid, 0] = None
    rows = []
    for oid, depth in sorted(found, key=lambda pair: -pair[1]):
        element = types.ARRAY_ELEMENTS.get(oid)
        name = "_" + types.type_name(element) if element else types.type_name(oid)
        delimiter = "," if element else None
        values = (
            oid,
            "pg_catalog",
            name,
            "b",
            None,
            element or 0,
            delimiter,
            None,
            None,
            None,
            depth,
            None,
            types.type_name(element) if element else "-",
            None,
        )
        rows.append(tuple(None if v is None else str(v).encode() for v in values))
    return LocalCommand("rows", f"SELECT {len(rows)}", fields, tuple(rows))


def _constant_result(node: ast.Node) -> tuple[str, int, object] | None:
    if isinstance(node, ast.FuncCall):
        name = function_name(node)
        if name in ("current_setting", "set_config"):
            raise PgError("42704", f"{name}() is not supported", hint="use SHOW and SET")
        if name in CONSTANT_FUNCTIONS and not node.args:
            value, oid = CONSTANT_FUNCTIONS[name]
            return name, oid, value
        return None
    if isinstance(node, ast.SQLValueFunction):
        return (
            ("current_schema", types.NAME, "public")
            if node.op.name == "SVFOP_CURRENT_SCHEMA"
            else None
        )
    if not isinstance(node, ast.A_Const):
        return None
    try:
        value = constant(node)
    except NotConstantError:
        return None
    if isinstance(value, bool):
        return "bool", types.BOOL, value
    if isinstance(value, int):
        return "?column?", types.INT4, value
    if isinstance(value, Decimal):
        return "?column?", types.NUMERIC, value
    return "?column?", types.TEXT, value


def _is_type_lookup(stmt: ast.SelectStmt) -> bool:
    sources = [n for n in walk(stmt) if isinstance(n, ast.RangeVar)]
    if [s.relname for s in sources] != ["pg_type"]:
        return False
    calls = [function_name(n) for n in walk(stmt) if isinstance(n, ast.FuncCall)]
    return "to_regtype" in calls
