"""Helpers for `pglast` syntax trees: traversal, names and constants."""

from __future__ import annotations

from collections.abc import Iterator
from decimal import Decimal
from functools import cache

from pglast import ast
from pglast.enums import A_Expr_Kind

from tansycrank.postgres import types

WITH_NODES = (ast.Node, tuple, list)  # types of values that are or hold nodes
INTEGER_PREFIXES = ("0x", "0o", "0b")  # of integers that are not decimal


class FlatTree(tuple):
    """All nodes of a tree in the order of `walk`, for a statement that is searched repeatedly."""

    __slots__ = ()


def walk(node: object) -> Iterator[ast.Node]:
    """Yields this node and all nodes below it, in source order; the nodes of a `FlatTree`."""
    return iter(node) if isinstance(node, FlatTree) else _walk_tree(node)


def _walk_tree(node: object) -> Iterator[ast.Node]:
    stack = [node]
    while stack:
        current = stack.pop()
        if isinstance(current, ast.Node):
            yield current
            children = [getattr(current, slot) for slot in _slots_from_last(type(current))]
        elif isinstance(current, tuple | list):
            children = reversed(current)
        else:
            continue
        stack += [child for child in children if isinstance(child, WITH_NODES)]


@cache
def _slots_from_last(node_type: type) -> tuple[str, ...]:
    return tuple(reversed(node_type.__slots__))


def contains(node: object, *kinds: type) -> bool:
    """Returns whether the tree contains a node of one of these types."""
    return any(isinstance(descendant, kinds) for descendant in walk(node))


def function_name(call: ast.FuncCall) -> str:
    """Returns the name of the called function, without the schema `pg_catalog`."""
    names = [part.sval for part in call.funcname]
    return names[-1] if len(names) == 1 or names[:-1] == ["pg_catalog"] else ".".join(names)


def is_aggregate(node: object) -> bool:
    """Returns whether the node is an aggregate call, not a window function call."""
    from tansycrank.sql.names import AGGREGATES

    return (
        isinstance(node, ast.FuncCall) and node.over is None and function_name(node) in AGGREGATES
    )


def operator(expr: ast.A_Expr) -> str:
    """Returns the operator symbol of an expression."""
    return expr.name[-1].sval


def is_op(node: object, symbol: str) -> bool:
    """Returns whether the node applies this plain operator (not ANY, IN, LIKE, ...)."""
    return (
        isinstance(node, ast.A_Expr)
        and node.kind == A_Expr_Kind.AEXPR_OP
        and operator(node) == symbol
    )


def conjuncts(node: object) -> list:
    """Returns the operands of a top-level AND, flattened."""
    if node is None:
        return []
    if isinstance(node, ast.BoolExpr) and node.boolop == 0:
        return [term for arg in node.args for term in conjuncts(arg)]
    return [node]


def column_name(node: object) -> tuple[str, str] | None:
    """Returns (alias or "", column) of a column reference; None for `*` and longer names."""
    if not isinstance(node, ast.ColumnRef) or not all(
        isinstance(f, ast.String) for f in node.fields
    ):
        return None
    names = [f.sval for f in node.fields]
    return ("", names[0]) if len(names) == 1 else (names[0], names[1]) if len(names) == 2 else None


def type_oid(name: ast.TypeName | None) -> int:
    """Returns the OID of a type name, 0 if unknown."""
    if name is None or not name.names:
        return 0
    oid = types.OID_BY_NAME.get(name.names[-1].sval, 0)
    return types.ARRAY_TYPES.get(oid, 0) if name.arrayBounds else oid


class NotConstantError(ValueError):
    """The expression is not a constant that the router can evaluate."""


def constant(node: object) -> object:
    """Returns the value of a literal: int, Decimal, str, bool or None.

    A cast of a literal to text, an integer type or uuid is evaluated too. Raises NotConstantError
    for any other expression, and PgError 22003 or 22P02 for a literal that its type cannot have.
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
        if oid in types.INTEGER_TYPES and isinstance(value, int):
            return types.check_integer(oid, value)
        if oid in types.INTEGER_TYPES and isinstance(value, str):
            return types.decode(oid, 0, value.encode())
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
        return _number(value.fval)
    if isinstance(value, ast.Boolean):
        return bool(value.boolval)
    if isinstance(value, ast.String):
        return value.sval
    raise NotConstantError


def _number(text: str) -> Decimal | int:
    """Returns the value of a number that the parser left as text: too large for it, or a fraction.

    Raises PgError 22003.
    """
    is_prefixed = text[:2].lower() in INTEGER_PREFIXES
    return (
        types.check_integer(types.INT8, int(text, 0)) if is_prefixed else types.parse_numeric(text)
    )
