"""Limits on the size and depth of a statement, checked before it is parsed or planned.

The parser, and what walks its trees, recurse once for each level of nesting: without a limit a
statement within `max_statement` ends the process by a stack overflow. Time to plan grows with the
number of tokens and of columns.
"""

from __future__ import annotations

import re
from bisect import bisect
from collections.abc import Iterable, Sequence

from pglast import ast
from pglast.parser import ParseError, Token, scan

from tansycrank.postgres.errors import TOO_COMPLEX, TOO_LARGE, TOO_MANY_COLUMNS, PgError

# Characters of a text that is not scanned: it cannot be nested deeper than `MAX_DEPTH`, as a level
# takes two characters at least.
MAX_UNSCANNED_LENGTH = 4096
MAX_DEPTH = 2048  # levels of nesting
MAX_COLUMNS = 1664  # of a target list, GROUP BY or ORDER BY, as in PostgreSQL
MAX_DIMENSIONS = 6  # of an array, as in PostgreSQL

MAX_OPERATOR_LENGTH = 128  # twice what PostgreSQL allows
MAX_COUNTED_BYTES = 60_000_000  # of characters that are not ASCII, over all locations of a tree

NON_ASCII = re.compile(r"[^\x00-\x7f]")
OPERATOR_RUN = re.compile(rf"[~!@#^&|`?+\-*/%<>=]{{{MAX_OPERATOR_LENGTH + 1},}}")
COMMA = "ASCII_44"
# Tokens that give no node with a location; a comma does in a list of columns.
UNLOCATED = frozenset(("ICONST", "FCONST", "SCONST", COMMA, "ASCII_40", "ASCII_41"))
OPENING = frozenset(("ASCII_40", "ASCII_91", "CASE"))  # parenthesis, bracket
CLOSING = frozenset(("ASCII_41", "ASCII_93", "END_P"))
OPERANDS = frozenset(("IDENT", "ICONST", "FCONST", "SCONST", "BCONST", "XCONST", "PARAM"))
# Tokens behind which an expression begins anew. Lists, AND and OR are flat in the tree.
SEPARATORS = frozenset(
    [
        "ASCII_44",
        "AND",
        "OR",
        "WHEN",
        "THEN",
        "ELSE",
        "SELECT",
        "FROM",
        "WHERE",
        "ON",
        "USING",
        "HAVING",
        "SET",
        "VALUES",
        "AS",
        "BY",
        "LIMIT",
        "OFFSET",
    ]
)
# Tokens that chain queries or tables: each nests all that stand before it.
CHAINING = frozenset(("UNION", "INTERSECT", "EXCEPT", "JOIN"))
STATEMENT_END = "ASCII_59"  # semicolon


class DepthCounter:
    """An upper bound of the depth of the tree, from the tokens in their order.

    Within brackets each token that is no operand may nest what stands before or behind it.
    """

    def __init__(self) -> None:
        self.deepest = 0
        self._start_statement()

    def _start_statement(self) -> None:
        self._outer: list[tuple[int, int, int]] = []
        self._base = 0  # depth of the innermost bracket
        self._chain = 0  # tokens of the present expression that may nest it
        self._chained = 0  # queries or tables that are chained within the present brackets

    def add(self, name: str) -> None:
        """Count a token by its name in the grammar."""
        if name in OPERANDS:
            return
        if name in OPENING:
            self._outer.append((self._base, self._chain, self._chained))
            self._base += self._chain + self._chained + 1
            self._chain = self._chained = 0
        elif name in CLOSING and self._outer:
            self._base, self._chain, self._chained = self._outer.pop()
        elif name in SEPARATORS:
            self._chain = 0
        elif name in CHAINING:
            self._chained += 1
        elif name == STATEMENT_END:
            self._start_statement()
        else:
            self._chain += 1
        self.deepest = max(self.deepest, self._base + self._chain + self._chained)


def check_statement(sql: str, max_tokens: int) -> None:
    """Raise PgError 54000 or 54001 for a text with too many tokens, or nested too deep.

    One pass over the text; a text that cannot be scanned is left to the parser.
    """
    if len(sql) <= MAX_UNSCANNED_LENGTH:
        return
    _check_operators(sql)
    try:
        tokens = scan(NON_ASCII.sub("_", sql))  # the scanner's time for others is quadratic
    except ParseError:
        return
    if len(tokens) > max_tokens:
        raise PgError(
            TOO_LARGE,
            f"the statement has {len(tokens)} tokens; allowed {max_tokens}",
            hint="give many values as one array: = ANY ($1)",
        )
    if not sql.isascii():
        _check_locations(sql, tokens)
    counter = DepthCounter()
    for token in tokens:
        counter.add(token.name)
    if counter.deepest > MAX_DEPTH:
        raise PgError(TOO_COMPLEX, f"the statement is nested deeper than {MAX_DEPTH} levels")


def _check_operators(sql: str) -> None:
    """Raise PgError 54000 for a run of signs that the scanner reads again from each of them."""
    for run in OPERATOR_RUN.finditer(sql):
        if "+" in run[0] or run[0].count("/*") > 1:
            raise PgError(TOO_LARGE, f"an operator of over {MAX_OPERATOR_LENGTH} characters")


def _check_locations(sql: str, tokens: Sequence[Token]) -> None:
    """Raise PgError 54000 if the parser would count characters that are not ASCII too often.

    For the location of a node it counts the bytes of all such characters behind it.
    """
    positions = [match.start() for match in NON_ASCII.finditer(sql)]
    bytes_each = (len(sql.encode()) - len(sql)) / len(positions) + 1
    located = [token for token in tokens if token.name not in UNLOCATED]
    located += [token for token in tokens if token.name == COMMA][:MAX_COLUMNS]
    counted = sum(len(positions) - bisect(positions, token.start) for token in located)
    if counted * bytes_each > MAX_COUNTED_BYTES:
        raise PgError(
            TOO_LARGE,
            "the statement has too many characters that are not ASCII behind its expressions",
            hint="give long texts as parameters",
        )


def check_columns(nodes: Iterable[ast.Node]) -> None:
    """Raise PgError 54011 for a query with too many columns."""
    for node in nodes:
        if not isinstance(node, ast.SelectStmt):
            continue
        for columns in (node.targetList, node.groupClause, node.sortClause):
            if len(columns or ()) > MAX_COLUMNS:
                raise PgError(
                    TOO_MANY_COLUMNS, f"target lists can have at most {MAX_COLUMNS} entries"
                )


def check_array_dimensions(nodes: Iterable[ast.Node]) -> None:
    """Raise PgError 54000 for an array in more dimensions than PostgreSQL has.

    Some data nodes take seconds to refuse such an array, or to make it, and serve nobody meanwhile.
    """
    for node in nodes:
        if isinstance(node, ast.A_ArrayExpr) and _has_too_many_dimensions(node):
            raise PgError(
                TOO_LARGE,
                f"number of array dimensions exceeds the maximum allowed ({MAX_DIMENSIONS})",
            )


def _has_too_many_dimensions(array: ast.A_ArrayExpr) -> bool:
    arrays: Sequence[ast.Node] = [array]
    for _ in range(MAX_DIMENSIONS):
        arrays = [
            element
            for outer in arrays
            for element in map(_without_casts, outer.elements or ())
            if isinstance(element, ast.A_ArrayExpr)
        ]
    return bool(arrays)


def _without_casts(node: ast.Node) -> ast.Node:
    while isinstance(node, ast.TypeCast):
        node = node.arg
    return node
