"""Shard pruning for one query level of a SELECT, UPDATE or DELETE.

Only conditions that hold for every row of the result restrict the shards. Any other condition
selects all shards, which is always correct but slower.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from pglast import ast
from pglast.enums import A_Expr_Kind, JoinType

from tansycrank.config import Config, Distribution, Table
from tansycrank.postgres.errors import PgError, unsupported
from tansycrank.sql.shards import ParameterShards, shards_of_values
from tansycrank.sql.tree import NotConstantError, column_name, conjuncts, constant, is_op

Values = list  # literals, ("param", n), or ("params", n) for an array parameter


@dataclass(slots=True)
class Scope:
    """The tables of one query level by alias.

    `nullable` holds the aliases whose columns an outer join may fill with NULL.
    """

    tables: dict[str, Table] = field(default_factory=dict)
    nullable: set[str] = field(default_factory=set)
    opaque: list[str] = field(default_factory=list)  # aliases of subqueries and functions
    # pairs of aliases joined on their distribution columns
    equalities: list[tuple[str, str]] = field(default_factory=list)
    # WHERE and inner join conditions that hold for every row
    conditions: list[ast.Node] = field(default_factory=list)
    using_columns: set[str] = field(default_factory=set)  # columns that JOIN ... USING merges

    @property
    def distributed(self) -> list[str]:
        """Aliases of distributed tables."""
        return [alias for alias, table in self.tables.items() if table.distribution]

    def distribution_alias(self, node: object) -> str | None:
        """Returns the alias of the distributed table whose distribution column this is, or None."""
        name = column_name(node)
        if name is None:
            return None
        alias, column = name
        if alias:
            table = self.tables.get(alias)
            return alias if table and table.distribution and table.column == column else None
        holders = [a for a, t in self.tables.items() if column in t.columns]
        if not holders or self.opaque or (len(holders) > 1 and column not in self.using_columns):
            return None
        return next(
            (a for a in holders if self.tables[a].distribution and self.tables[a].column == column),
            None,
        )

    def type_of(self, node: object) -> int:
        """Returns the type OID of a column, 0 if unknown."""
        name = column_name(node)
        if name is None:
            return 0
        alias, column = name
        holders = [t for a, t in self.tables.items() if column in t.columns and alias in ("", a)]
        return (
            holders[0].columns[column]
            if holders and (len(holders) == 1 or column in self.using_columns)
            else 0
        )

    def colocated(self) -> bool:
        """Returns whether all distributed tables are joined on their distribution columns."""
        aliases = self.distributed
        if len(aliases) < 2:
            return True
        root = {alias: alias for alias in aliases}

        def find(alias: str) -> str:
            while root[alias] != alias:
                alias = root[alias]
            return alias

        for left, right in self.equalities:
            if self.tables[left].distribution == self.tables[right].distribution:
                root[find(left)] = find(right)
        return len({find(alias) for alias in aliases}) == 1


def build_scope(
    config: Config, items: Sequence[ast.Node], where: ast.Node | None, strict: bool
) -> Scope:
    """Builds the scope of one query level from its FROM items and WHERE clause.

    `strict` rejects joins that cannot be executed separately on several shards.
    """
    scope = Scope()
    for item in items:
        _add_from_item(config, scope, item, strict)
    for term in conjuncts(where):
        scope.conditions.append(term)
        _add_equality(scope, term)
    return scope


def _add_table(config: Config, scope: Scope, item: ast.RangeVar) -> set[str]:
    table = config.tables[item.relname]
    alias = item.alias.aliasname if item.alias else item.relname
    if alias in scope.tables:
        raise PgError("42712", f"table name {alias!r} specified more than once")
    if item.alias and item.alias.colnames:
        raise unsupported(f"column aliases of table {alias}")
    scope.tables[alias] = table
    return {alias}


def _add_from_item(config: Config, scope: Scope, item: ast.Node, strict: bool) -> set[str]:
    """Adds a FROM item to the scope and returns the aliases of the tables in it."""
    if isinstance(item, ast.RangeVar):
        if item.relname in config.tables:
            return _add_table(config, scope, item)
        name = item.alias.aliasname if item.alias else item.relname  # name of a WITH query
        scope.opaque.append(name)
        return {name}
    if not isinstance(item, ast.JoinExpr):
        alias = getattr(item, "alias", None)
        scope.opaque.append(alias.aliasname if alias else "?")
        if strict and not isinstance(item, ast.RangeSubselect):
            raise unsupported(f"{type(item).__name__} in FROM")
        return set()
    left, right = (
        _add_from_item(config, scope, item.larg, strict),
        _add_from_item(config, scope, item.rarg, strict),
    )
    if item.alias and strict:
        raise unsupported("an alias of a join")
    inner = item.jointype == JoinType.JOIN_INNER
    if (
        item.isNatural
        and strict
        and _any_distributed(scope, left)
        and _any_distributed(scope, right)
    ):
        raise unsupported("NATURAL JOIN of distributed tables")
    colocated = False
    for name in item.usingClause or ():
        scope.using_columns.add(name.sval)
        pair = [
            next(
                (a for a in side if a in scope.tables and scope.tables[a].column == name.sval), None
            )
            for side in (left, right)
        ]
        if all(pair):
            scope.equalities.append(tuple(pair))
            colocated = True
    for term in conjuncts(item.quals):
        colocated = _add_equality(scope, term, left, right) or colocated
        if inner:
            scope.conditions.append(term)
    if not inner:
        if item.jointype in (JoinType.JOIN_LEFT, JoinType.JOIN_FULL):
            scope.nullable |= right
        if item.jointype in (JoinType.JOIN_RIGHT, JoinType.JOIN_FULL):
            scope.nullable |= left
        preserved_sides = {
            JoinType.JOIN_LEFT: ((left, right),),
            JoinType.JOIN_RIGHT: ((right, left),),
            JoinType.JOIN_FULL: ((left, right), (right, left)),
        }.get(item.jointype)
        if preserved_sides is None:
            raise unsupported(f"join of type {item.jointype.name}")
        for preserved, other in preserved_sides:
            if strict and _any_distributed(scope, other) and not _any_distributed(scope, preserved):
                raise unsupported(
                    "outer join that keeps rows of a reference table beside a distributed one",
                    "each shard would give the unmatched rows again",
                )
        if (
            strict
            and _any_distributed(scope, left)
            and _any_distributed(scope, right)
            and not colocated
        ):
            raise unsupported("outer join of distributed tables not on their distribution columns")
    return left | right


def _any_distributed(scope: Scope, aliases: set[str]) -> bool:
    return any(a in scope.tables and scope.tables[a].distribution for a in aliases)


def _add_equality(
    scope: Scope, term: ast.Node, left: set[str] | None = None, right: set[str] | None = None
) -> bool:
    """Records `term` if it equates the distribution columns of two tables.

    Returns whether it does, and for a join whether it links the left side with the right side.
    """
    if not is_op(term, "="):
        return False
    pair = scope.distribution_alias(term.lexpr), scope.distribution_alias(term.rexpr)
    if None in pair or pair[0] == pair[1]:
        return False
    scope.equalities.append(pair)
    return left is None or (pair[0] in left) != (pair[1] in left)


# --- conditions to shards -----------------------------------------------------------


def _operand_values(node: object) -> list:
    if isinstance(node, ast.ParamRef):
        return [("param", node.number)]
    if isinstance(node, ast.TypeCast) and isinstance(node.arg, ast.ParamRef):
        return [("param", node.arg.number)]
    return [constant(node)]


def _distribution_values(scope: Scope, term: ast.Node) -> tuple[str, list] | None:
    """Returns (alias, values to which `term` restricts its distribution column), or None."""
    if isinstance(term, ast.BoolExpr) and term.boolop == 1:
        found = [_distribution_values(scope, arg) for arg in term.args]
        if None in found or len({alias for alias, _ in found}) != 1:
            return None
        return found[0][0], [value for _, values in found for value in values]
    if not isinstance(term, ast.A_Expr) or not term.name or term.name[-1].sval != "=":
        return None
    try:
        if term.kind == A_Expr_Kind.AEXPR_OP:
            for side, other in ((term.lexpr, term.rexpr), (term.rexpr, term.lexpr)):
                if (alias := scope.distribution_alias(side)) is not None:
                    return alias, _operand_values(other)
        elif (
            term.kind == A_Expr_Kind.AEXPR_IN
            and (alias := scope.distribution_alias(term.lexpr)) is not None
        ):
            return alias, [value for item in term.rexpr for value in _operand_values(item)]
        elif (
            term.kind == A_Expr_Kind.AEXPR_OP_ANY
            and (alias := scope.distribution_alias(term.lexpr)) is not None
        ):
            array = term.rexpr.arg if isinstance(term.rexpr, ast.TypeCast) else term.rexpr
            if isinstance(array, ast.ParamRef):
                return alias, [("params", array.number)]
            if isinstance(array, ast.A_ArrayExpr):
                return alias, [
                    value for item in array.elements or () for value in _operand_values(item)
                ]
    except NotConstantError:
        return None
    return None


class ShardPruner:
    """Computes the shards that can hold rows of the result for given parameter values."""

    def __init__(self, config: Config, scope: Scope) -> None:
        self._config = config
        values_by_alias: dict[str, list] = {}
        for term in scope.conditions:
            if (found := _distribution_values(scope, term)) is not None:
                values_by_alias.setdefault(found[0], []).append(found[1])
        self._constraints: list[tuple[Distribution, list[list]]] = [
            (config.distributions[scope.tables[a].distribution], values_by_alias.get(a, []))
            for a in scope.distributed
        ]
        self._colocated = scope.colocated()  # otherwise tables may need different shards

    def shards(self, parameters: ParameterShards) -> list[set[int]]:
        """Returns the required shards of each distributed table; colocated tables share one set."""
        found = []
        for distribution, terms in self._constraints:
            candidates = set(range(parameters.shards))
            for term in terms:
                shards = _shards_of_condition(distribution, term, parameters)
                if shards is not None:
                    candidates &= shards
            found.append(candidates)
        if self._colocated and found:
            return [set.intersection(*found)] * len(found)
        return found


def _shards_of_condition(
    distribution: Distribution, term: list, parameters: ParameterShards
) -> set[int] | None:
    """Returns the shards of any of these values; None means all shards."""
    found: set[int] = set()
    for value in term:
        if isinstance(value, tuple):
            kind, number = value
            shards = parameters.of(distribution, number, kind == "params")
        else:
            shards = shards_of_values(distribution, (value,), parameters.shards)
        if shards is None:
            return None
        found |= shards
        if len(found) == parameters.shards:
            break
    return found
