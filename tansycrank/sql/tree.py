"""Helpers over the syntax tree of `pglast`: walking, names, constants."""

from __future__ import annotations

from collections.abc import Iterator
from decimal import Decimal

from pglast import ast
from pglast.enums import A_Expr_Kind

from tansycrank.postgres import types


def walk(node: object) -> Iterator[ast.Node]:
    """All nodes below and with this one, in the order of the text."""
    stack = [node]
    while stack:
        one = stack.pop()
        if isinstance(one, tuple | list):
            stack.extend(reversed(one))
        elif isinstance(one, ast.Node):
            yield one
            stack.extend(getattr(one, slot) for slot in reversed(one.__slots__))


def contains(node: object, *kinds: type) -> bool:
    """Whether a node of these kinds is in the tree."""
    return any(isinstance(one, kinds) for one in walk(node))


def function_name(call: ast.FuncCall) -> str:
    """The name of a function, without `pg_catalog`."""
    names = [shard_request.sval for shard_request in call.funcname]
    return names[-1] if len(names) == 1 or names[:-1] == ["pg_catalog"] else ".".join(names)


def is_aggregate(node: object) -> bool:
    """Whether it calls an aggregate over the whole group."""
    from tansycrank.sql.names import AGGREGATES

    return (
        isinstance(node, ast.FuncCall) and node.over is None and function_name(node) in AGGREGATES
    )


def operator(expr: ast.A_Expr) -> str:
    """The sign of an operator expression."""
    return expr.name[-1].sval


def is_op(node: object, sign: str) -> bool:
    """Whether it is this plain operator."""
    return (
        isinstance(node, ast.A_Expr)
        and node.kind == A_Expr_Kind.AEXPR_OP
        and operator(node) == sign
    )


def conjuncts(node: object) -> list:
    """The terms of a top-level AND."""
    if node is None:
        return []
    if isinstance(node, ast.BoolExpr) and node.boolop == 0:
        return [term for arg in node.args for term in conjuncts(arg)]
    return [node]


def column_name(node: object) -> tuple[str, str] | None:
    """(alias or "", column) of a column reference, None for stars and longer names."""
    if not isinstance(node, ast.ColumnRef) or not all(
        isinstance(f, ast.String) for f in node.fields
    ):
        return None
    names = [f.sval for f in node.fields]
    return ("", names[0]) if len(names) == 1 else (names[0], names[1]) if len(names) == 2 else None


def type_oid(name: ast.TypeName | None) -> int:
    """The OID of a type name; 0 where it is not known here."""
    if name is None or not name.names:
        return 0
    oid = types.OID_BY_NAME.get(name.names[-1].sval, 0)
    return types.ARRAY_TYPES.get(oid, 0) if name.arrayBounds else oid


class NotConstantError(ValueError):
    """The expression is no constant that can be read here."""


def constant(node: object) -> object:
    """The value of a literal: int, Decimal, str, bool or None; casts of literals to plain types
    too.
    """
    if (
        isinstance(node, ast.TypeCast)
        and isinstance(node.arg, ast.A_Const)
        and not node.typeName.typmods
    ):
        value, oid = constant(node.arg), type_oid(node.typeName)
        if value is None or not oid or oid in types.ARRAY_ELEMENTS:
            raise NotConstantError
        if oid in types.TEXT_TYPES and isinstance(value, str):
            return value
        if oid in types.INTEGER_TYPES and isinstance(value, int | str):
            return int(value)
        if oid == types.UUID and isinstance(value, str):
            return value
        raise NotConstantError
    if not isinstance(node, ast.A_Const):
        raise NotConstantError
    if node.isnull:
        return None
    value = node.val
    if isinstance(value, ast.Integer):
        return value.ival
    if isinstance(value, ast.Float):
        return Decimal(value.fval)
    if isinstance(value, ast.Boolean):
        return bool(value.boolval)
    if isinstance(value, ast.String):
        return value.sval
    raise NotConstantError
