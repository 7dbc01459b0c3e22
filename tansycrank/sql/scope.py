"""One level of a SELECT (or an UPDATE, DELETE): its tables, and what ties them to shards.

A constraint is kept only where it surely holds for every row of the answer; all else means "any
shard", which is always right, if slower.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from decimal import InvalidOperation

from pglast import ast
from pglast.enums import A_Expr_Kind, JoinType

from tansycrank.config import Config, Distribution, Table
from tansycrank.postgres.errors import PgError, unsupported
from tansycrank.sql.shards import NoShardError, canonical, shard_of
from tansycrank.sql.tree import NotConstantError, column_name, conjuncts, constant, is_op

Values = list  # of literals, ("param", n) and ("params", n) for an array


@dataclass(slots=True)
class Scope:
    """Tables of a level by alias. `nullable` are those an outer join may fill with NULL."""

    tables: dict[str, Table] = field(default_factory=dict)
    nullable: set[str] = field(default_factory=set)
    opaque: list[str] = field(default_factory=list)  # aliases of subqueries and functions
    links: list[tuple[str, str]] = field(
        default_factory=list
    )  # aliases equal in their distribution columns
    terms: list[ast.Node] = field(default_factory=list)  # hold for every row
    merged: set[str] = field(default_factory=set)  # columns of USING

    @property
    def distributed(self) -> list[str]:
        """Aliases of distributed tables."""
        return [alias for alias, table in self.tables.items() if table.distribution]

    def key_of(self, node: object) -> str | None:
        """The alias of a distributed table whose distribution column this is."""
        name = column_name(node)
        if name is None:
            return None
        alias, column = name
        if alias:
            table = self.tables.get(alias)
            return alias if table and table.distribution and table.column == column else None
        holders = [a for a, t in self.tables.items() if column in t.columns]
        if not holders or self.opaque or (len(holders) > 1 and column not in self.merged):
            return None
        return next(
            (a for a in holders if self.tables[a].distribution and self.tables[a].column == column),
            None,
        )

    def type_of(self, node: object) -> int:
        """The type of a column, 0 where it is not known."""
        name = column_name(node)
        if name is None:
            return 0
        alias, column = name
        holders = [t for a, t in self.tables.items() if column in t.columns and alias in ("", a)]
        return (
            holders[0].columns[column]
            if holders and (len(holders) == 1 or column in self.merged)
            else 0
        )

    def colocated(self) -> bool:
        """Whether all distributed tables are tied by equality of their distribution columns."""
        aliases = self.distributed
        if len(aliases) < 2:
            return True
        root = {alias: alias for alias in aliases}

        def find(alias: str) -> str:
            while root[alias] != alias:
                alias = root[alias]
            return alias

        for left, right in self.links:
            if self.tables[left].distribution == self.tables[right].distribution:
                root[find(left)] = find(right)
        return len({find(alias) for alias in aliases}) == 1


def scope_of(
    config: Config, items: Sequence[ast.Node], where: ast.Node | None, strict: bool
) -> Scope:
    """Read FROM and WHERE of one level. `strict` refuses joins that can't go down to several
    shards.
    """
    scope = Scope()
    for item in items:
        _item(config, scope, item, strict)
    for term in conjuncts(where):
        scope.terms.append(term)
        _link(scope, term)
    return scope


def _add(config: Config, scope: Scope, item: ast.RangeVar) -> set[str]:
    table = config.tables[item.relname]
    alias = item.alias.aliasname if item.alias else item.relname
    if alias in scope.tables:
        raise PgError("42712", f"table name {alias!r} specified more than once")
    if item.alias and item.alias.colnames:
        raise unsupported(f"column aliases of table {alias}")
    scope.tables[alias] = table
    return {alias}


def _item(config: Config, scope: Scope, item: ast.Node, strict: bool) -> set[str]:
    if isinstance(item, ast.RangeVar):
        if item.relname in config.tables:
            return _add(config, scope, item)
        name = item.alias.aliasname if item.alias else item.relname  # a name of WITH
        scope.opaque.append(name)
        return {name}
    if not isinstance(item, ast.JoinExpr):
        alias = getattr(item, "alias", None)
        scope.opaque.append(alias.aliasname if alias else "?")
        if strict and not isinstance(item, ast.RangeSubselect):
            raise unsupported(f"{type(item).__name__} in FROM")
        return set()
    left, right = _item(config, scope, item.larg, strict), _item(config, scope, item.rarg, strict)
    if item.alias and strict:
        raise unsupported("an alias of a join")
    inner = item.jointype == JoinType.JOIN_INNER
    if item.isNatural and strict and _spread(scope, left) and _spread(scope, right):
        raise unsupported("NATURAL JOIN of distributed tables")
    tied = False
    for name in item.usingClause or ():
        scope.merged.add(name.sval)
        pair = [
            next(
                (a for a in side if a in scope.tables and scope.tables[a].column == name.sval), None
            )
            for side in (left, right)
        ]
        if all(pair):
            scope.links.append(tuple(pair))
            tied = True
    for term in conjuncts(item.quals):
        tied = _link(scope, term, left, right) or tied
        if inner:
            scope.terms.append(term)
    if not inner:
        if item.jointype in (JoinType.JOIN_LEFT, JoinType.JOIN_FULL):
            scope.nullable |= right
        if item.jointype in (JoinType.JOIN_RIGHT, JoinType.JOIN_FULL):
            scope.nullable |= left
        kept = {
            JoinType.JOIN_LEFT: ((left, right),),
            JoinType.JOIN_RIGHT: ((right, left),),
            JoinType.JOIN_FULL: ((left, right), (right, left)),
        }.get(item.jointype)
        if kept is None:
            raise unsupported(f"join of type {item.jointype.name}")
        for preserved, other in kept:
            if strict and _spread(scope, other) and not _spread(scope, preserved):
                raise unsupported(
                    "outer join that keeps rows of a reference table beside a distributed one",
                    "each shard would give the unmatched rows again",
                )
        if strict and _spread(scope, left) and _spread(scope, right) and not tied:
            raise unsupported("outer join of distributed tables not on their distribution columns")
    return left | right


def _spread(scope: Scope, aliases: set[str]) -> bool:
    return any(a in scope.tables and scope.tables[a].distribution for a in aliases)


def _link(
    scope: Scope, term: ast.Node, left: set[str] | None = None, right: set[str] | None = None
) -> bool:
    if not is_op(term, "="):
        return False
    pair = scope.key_of(term.lexpr), scope.key_of(term.rexpr)
    if None in pair or pair[0] == pair[1]:
        return False
    scope.links.append(pair)
    return left is None or (pair[0] in left) != (pair[1] in left)


# --- from terms to shards -----------------------------------------------------------


def _operand(node: object) -> list:
    if isinstance(node, ast.ParamRef):
        return [("param", node.number)]
    if isinstance(node, ast.TypeCast) and isinstance(node.arg, ast.ParamRef):
        return [("param", node.arg.number)]
    return [constant(node)]


def _values(scope: Scope, term: ast.Node) -> tuple[str, list] | None:
    """(alias, values its distribution column may have) of one term, None where it says nothing."""
    if isinstance(term, ast.BoolExpr) and term.boolop == 1:
        found = [_values(scope, arg) for arg in term.args]
        if None in found or len({alias for alias, _ in found}) != 1:
            return None
        return found[0][0], [value for _, values in found for value in values]
    if not isinstance(term, ast.A_Expr) or not term.name or term.name[-1].sval != "=":
        return None
    try:
        if term.kind == A_Expr_Kind.AEXPR_OP:
            for side, other in ((term.lexpr, term.rexpr), (term.rexpr, term.lexpr)):
                if (alias := scope.key_of(side)) is not None:
                    return alias, _operand(other)
        elif term.kind == A_Expr_Kind.AEXPR_IN and (alias := scope.key_of(term.lexpr)) is not None:
            return alias, [value for item in term.rexpr for value in _operand(item)]
        elif (
            term.kind == A_Expr_Kind.AEXPR_OP_ANY
            and (alias := scope.key_of(term.lexpr)) is not None
        ):
            array = term.rexpr.arg if isinstance(term.rexpr, ast.TypeCast) else term.rexpr
            if isinstance(array, ast.ParamRef):
                return alias, [("params", array.number)]
            if isinstance(array, ast.A_ArrayExpr):
                return alias, [value for item in array.elements or () for value in _operand(item)]
    except NotConstantError:
        return None
    return None


class ShardRule:
    """From parameter values to the shards that can hold rows of the answer."""

    def __init__(self, config: Config, scope: Scope) -> None:
        self._config = config
        per_alias: dict[str, list] = {}
        for term in scope.terms:
            if (found := _values(scope, term)) is not None:
                per_alias.setdefault(found[0], []).append(found[1])
        self._alone: list[tuple[Distribution, list[list]]] = [
            (config.distributions[scope.tables[a].distribution], per_alias.get(a, []))
            for a in scope.distributed
        ]
        self._tied = scope.colocated()  # else tables may need rows of different shards

    def shards(self, values: Sequence[object]) -> list[set[int]]:
        """For each distributed table the shards it needs; tied tables need the same."""
        every = set(range(self._config.store.shards))
        found = []
        for distribution, terms in self._alone:
            mine = set(every)
            for term in terms:
                mine &= self._term(distribution, term, values, every)
            found.append(mine)
        if self._tied and found:
            return [set.intersection(*found)] * len(found)
        return found

    def _term(
        self, distribution: Distribution, term: list, values: Sequence[object], every: set[int]
    ) -> set[int]:
        shards: set[int] = set()
        for value in term:
            items = [value]
            if isinstance(value, tuple):
                kind, number = value
                items = [values[number - 1]]
                if kind == "params":
                    items = (
                        items[0] if isinstance(items[0], list) else [] if items[0] is None else None
                    )
                if items is None:
                    return every
            for item in items:
                if item is None:
                    continue  # NULL equals nothing
                try:
                    found = canonical(distribution, item)
                    if found is not None:
                        shards.add(shard_of(distribution, found, self._config.store.shards))
                except NoShardError:
                    continue
                except (ValueError, OverflowError, InvalidOperation, PgError):
                    return every
        return shards
