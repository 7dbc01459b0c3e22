"""Plans SQL text into `Prepared` statements: shards, shard statements and merge plan. No I/O.

A statement for one shard keeps its text; only the shard's schema is put in front of its tables. A
statement for several shards is planned by the module `many`. A statement that cannot be answered
exactly is rejected with an error that names the construct.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Callable, Sequence

import pglast
from pglast import ast
from pglast.enums import FetchDirection, TransactionStmtKind, VariableSetKind

from tansycrank.config import Config, Table
from tansycrank.postgres import types
from tansycrank.postgres.errors import (
    FEATURE_NOT_SUPPORTED,
    NO_SHARD,
    SYNTAX_ERROR,
    UNDEFINED_TABLE,
    PgError,
    unsupported,
)
from tansycrank.postgres.messages import Field
from tansycrank.sql import local
from tansycrank.sql.infer import insert_columns, parameter_types
from tansycrank.sql.many import plan_multi_shard, to_sql
from tansycrank.sql.names import SIDE_EFFECT_FREE_FUNCTIONS
from tansycrank.sql.plan import BoundStatement, LocalCommand, MergePlan, Prepared, ShardSql
from tansycrank.sql.scope import ShardPruner, build_scope
from tansycrank.sql.shards import NoShardError, ParameterShards, canonical_value, shard_of
from tansycrank.sql.statement_limits import (
    check_array_dimensions,
    check_columns,
    check_statement,
)
from tansycrank.sql.tree import (
    FlatTree,
    NotConstantError,
    constant,
    contains,
    function_name,
    walk,
)

PLACEHOLDER_PREFIX = "tansycrank_shard_"  # of the schema name in a statement for several shards
# The last sign keeps a number from being found at the beginning of a longer one.
PLACEHOLDER = re.compile(PLACEHOLDER_PREFIX + "([0-9]+)_")
CURSOR_SCROLL, CURSOR_HOLD = 0x0002, 0x0020  # parsenodes.h: CURSOR_OPT_SCROLL, CURSOR_OPT_HOLD
MAX_CACHED_TEXTS = 2000  # cache entries, keyed by SQL text and declared parameter types
MAX_CACHED_TEXT_LENGTH = 16_384  # characters of a text that is cached
MAX_CACHED_CHARACTERS = 1_048_576  # of all cached texts; a plan takes many times its text
MAX_CACHED_PARAMETERS = 1000  # of a text that is cached
MAX_COMMENT_LENGTH = 512  # longest leading comment, in characters, that is split off and forwarded


def split_leading_comment(sql: str) -> tuple[str, str]:
    """Splits SQL text into (leading comment, rest).

    Clients tag queries with a leading comment; without it equal statements share a cache entry.
    """
    text = sql.lstrip()
    if not text.startswith("/*"):
        return "", sql
    end = text.find("*/", 2)
    if end < 0 or "/*" in text[2:end] or end > MAX_COMMENT_LENGTH:
        return "", sql
    return text[: end + 2], text[end + 2 :]


class Planner:
    """Plans statements for one configuration and caches plans by text (LRU, `MAX_CACHED_TEXTS`)."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self._cache: OrderedDict[tuple[str, tuple[int, ...]], tuple[Prepared, ...]] = OrderedDict()
        self._cached_characters = 0
        self._last_shard = 0

    def plan_statements(self, sql: str, oids: tuple[int, ...] = ()) -> tuple[Prepared, ...]:
        """Plans all statements of a text. Raises PgError (42601, 42P01, 0A000, ...)."""
        key = (sql, oids)
        if key in self._cache:
            self._cache.move_to_end(key)
            return self._cache[key]
        check_statement(sql, self.config.listen.max_tokens)
        try:
            found = pglast.parse_sql(sql)
        except pglast.parser.ParseError as error:
            raise PgError(SYNTAX_ERROR, str(error.args[0])) from None
        except (RecursionError, ValueError) as error:
            raise PgError(
                SYNTAX_ERROR, f"the statement can't be read: {type(error).__name__}"
            ) from None
        planned = []
        for raw in found:
            start = raw.stmt_location
            text = sql[start : start + raw.stmt_len] if raw.stmt_len else sql[start:]
            planned.append(self._plan_statement(raw.stmt, text, start, oids))
        result = tuple(planned)
        has_many_types = sum(len(one.oids) for one in result) > MAX_CACHED_PARAMETERS
        if len(sql) <= MAX_CACHED_TEXT_LENGTH and not has_many_types:
            self._add_to_cache(key, result)
        return result

    def _add_to_cache(self, key: tuple[str, tuple[int, ...]], plans: tuple[Prepared, ...]) -> None:
        self._cache[key] = plans
        self._cached_characters += len(key[0])
        while (
            len(self._cache) > MAX_CACHED_TEXTS or self._cached_characters > MAX_CACHED_CHARACTERS
        ):
            (oldest_text, _), _ = self._cache.popitem(last=False)
            self._cached_characters -= len(oldest_text)

    def any_shard(self) -> int:
        """Returns the next shard, round robin, for a statement that any shard can answer."""
        self._last_shard = (self._last_shard + 1) % self.config.store.shards
        return self._last_shard

    # --- one statement ----------------------------------------------------------------

    def _plan_statement(
        self, stmt: ast.Node, text: str, start: int, oids: tuple[int, ...]
    ) -> Prepared:
        match stmt:
            case ast.SelectStmt():
                return self._plan_select(stmt, text, start, oids)
            case ast.InsertStmt() | ast.UpdateStmt() | ast.DeleteStmt():
                return self._plan_write(stmt, text, start, oids)
            case ast.ExplainStmt():
                return self._plan_explain(stmt, oids)
            case ast.VariableSetStmt():
                return _session_command(_set_command(stmt), text)
            case ast.VariableShowStmt():
                return _session_command(LocalCommand("show", "SHOW", name=stmt.name), text, True)
            case ast.TransactionStmt():
                return _session_command(_transaction_command(stmt), text)
            case ast.DiscardStmt():
                return _session_command(LocalCommand("reset", "DISCARD ALL"), text)
            case ast.DeallocateStmt():
                return _session_command(
                    LocalCommand(
                        "deallocate",
                        "DEALLOCATE ALL" if stmt.isall else "DEALLOCATE",
                        name=stmt.name or "",
                    ),
                    text,
                )
            case ast.ClosePortalStmt():
                tag = "CLOSE CURSOR" if stmt.portalname else "CLOSE CURSOR ALL"
                return _session_command(
                    LocalCommand("close", tag, name=stmt.portalname or ""), text
                )
            case ast.DeclareCursorStmt():
                return self._plan_declare_cursor(stmt, oids)
            case ast.FetchStmt():
                return _session_command(_fetch_command(stmt), text, True)
            case ast.CopyStmt():
                return self._plan_copy(stmt, oids)
            case ast.UnlistenStmt():
                return _session_command(LocalCommand("nothing", "UNLISTEN"), text)
        name = type(stmt).__name__.removesuffix("Stmt")
        raise PgError(FEATURE_NOT_SUPPORTED, f"statement not supported: {name}")

    def _plan_inner_query(self, query: ast.Node, what: str, oids: tuple[int, ...]) -> Prepared:
        if not isinstance(query, ast.SelectStmt):
            raise PgError(
                FEATURE_NOT_SUPPORTED, f"{what} of something other than SELECT is not supported"
            )
        (inner,) = self.plan_statements(to_sql(query), oids)
        if inner.local is not None or inner.volatile_function:
            raise PgError(FEATURE_NOT_SUPPORTED, f"{what} of this query is not supported")
        return inner

    def _plan_declare_cursor(self, stmt: ast.DeclareCursorStmt, oids: tuple[int, ...]) -> Prepared:
        if stmt.options & CURSOR_SCROLL or stmt.options & CURSOR_HOLD:
            raise PgError(FEATURE_NOT_SUPPORTED, "cursors WITH HOLD or SCROLL are not supported")
        inner = self._plan_inner_query(stmt.query, "DECLARE", oids)
        command = LocalCommand("declare", "DECLARE CURSOR", name=stmt.portalname)
        return Prepared(
            inner.sql, command.tag, inner.oids, command, returns_rows=False, inner=inner
        )

    def _plan_copy(self, stmt: ast.CopyStmt, oids: tuple[int, ...]) -> Prepared:
        if stmt.is_from or stmt.filename or stmt.is_program:
            raise PgError(FEATURE_NOT_SUPPORTED, "COPY other than TO STDOUT is not supported")
        query = stmt.query
        if query is None:
            columns = ", ".join(f'"{a.sval}"' for a in stmt.attlist) if stmt.attlist else "*"
            query = pglast.parse_sql(f'SELECT {columns} FROM "{stmt.relation.relname}"')[0].stmt
        options = []
        for option in stmt.options or ():
            value = getattr(
                option.arg,
                "sval",
                getattr(option.arg, "boolval", getattr(option.arg, "ival", "true")),
            )
            options.append((option.defname, value))
        inner = self._plan_inner_query(query, "COPY", oids)
        return Prepared(
            inner.sql,
            "COPY",
            inner.oids,
            LocalCommand("copy", "COPY"),
            returns_rows=False,
            inner=inner,
            options=tuple(options),
        )

    def _referenced_tables(self, stmt: ast.Node | FlatTree) -> list[tuple[ast.RangeVar, Table]]:
        names = {cte.ctename for cte in walk(stmt) if isinstance(cte, ast.CommonTableExpr)}
        found = []
        for node in walk(stmt):
            if not isinstance(node, ast.RangeVar):
                continue
            if node.relname in names and not node.schemaname:
                if node.relname in self.config.tables:
                    raise PgError(
                        FEATURE_NOT_SUPPORTED,
                        f"WITH name {node.relname!r} is also the name of a table",
                    )
                continue
            if node.schemaname not in (None, "public") or node.relname not in self.config.tables:
                relation_name = (
                    f"{node.schemaname}.{node.relname}" if node.schemaname else node.relname
                )
                raise PgError(
                    UNDEFINED_TABLE,
                    f"relation {relation_name!r} does not exist",
                    hint="tables are named in the settings file of the router",
                )
            found.append((node, self.config.tables[node.relname]))
        return found

    def _plan_select(
        self, stmt: ast.SelectStmt, text: str, start: int, oids: tuple[int, ...]
    ) -> Prepared:
        if local.is_type_introspection_query(stmt):
            empty = local.type_introspection_rows(())
            return Prepared(
                text,
                "SELECT",
                (1028,),
                empty,
                fields=empty.fields,
                compute_local=lambda values: local.type_introspection_rows(values[0] or ()),
            )
        check_columns((stmt,))
        answer = local.answer_locally(stmt)
        if answer is not None:
            return Prepared(
                text, "SELECT", oids, answer, returns_rows=True, fields=answer.fields or None
            )
        nodes = FlatTree(walk(stmt))
        check_columns(nodes)
        check_array_dimensions(nodes)
        for node in nodes:
            if isinstance(node, ast.InsertStmt | ast.UpdateStmt | ast.DeleteStmt):
                raise PgError(FEATURE_NOT_SUPPORTED, "data-modifying WITH is not supported")
            if isinstance(node, ast.IntoClause):
                raise PgError(FEATURE_NOT_SUPPORTED, "SELECT INTO is not supported")
            if isinstance(node, ast.RangeTableSample):
                raise PgError(FEATURE_NOT_SUPPORTED, "TABLESAMPLE is not supported")
        tables = self._referenced_tables(nodes)
        prepared = Prepared(
            text,
            "SELECT",
            parameter_types(nodes, self.config.tables, oids),
            volatile_function=_find_volatile_function(nodes),
            tables=tuple(t.name for _, t in tables),
        )
        levels = [s for s in nodes if isinstance(s, ast.SelectStmt) and s.fromClause]
        scopes = [
            build_scope(self.config, level.fromClause, level.whereClause, strict=False)
            for level in levels
        ]
        recognized = sum(len(scope.distributed) for scope in scopes)
        if recognized != sum(bool(table.distribution) for _, table in tables):
            # A distributed table that build_scope did not recognize would be read from one shard
            # only, and the rows of the other shards would be lost.
            raise unsupported("a distributed table in this place of FROM")
        pruners = [ShardPruner(self.config, scope) for scope in scopes if scope.distributed]
        locks_rows = contains(nodes, ast.LockingClause)
        qualified = self._schema_qualifier(text, start, stmt, tables)
        multi_shard_plan: list = []

        def bind(values: Sequence[object]) -> BoundStatement:
            if not pruners:
                return BoundStatement(
                    (ShardSql(shard := self.any_shard(), qualified(shard)),), None
                )
            parameters = ParameterShards(values, self.config.store.shards)
            shards_by_table = [shards for pruner in pruners for shards in pruner.shards(parameters)]
            required_shards = set.union(*shards_by_table)
            if len(required_shards) <= 1:
                shard = required_shards.pop() if required_shards else self.any_shard()
                return BoundStatement((ShardSql(shard, qualified(shard)),), None)
            if locks_rows:
                raise unsupported("FOR UPDATE or FOR SHARE")
            if prepared.volatile_function:
                raise unsupported(f"function {prepared.volatile_function}()")
            # planned lazily: some statements are supported on one shard but not on several
            if not multi_shard_plan:
                shard_request, merge = plan_multi_shard(self.config, stmt)
                template, placeholder = self._template(shard_request)
                multi_shard_plan.extend((template, placeholder, merge))
            template, placeholder, merge = multi_shard_plan
            shard_requests = tuple(
                ShardSql(s, template.replace(placeholder, self.schema(s)))
                for s in sorted(required_shards)
            )
            return BoundStatement(shard_requests, merge)

        prepared.bind = bind
        prepared.describe_sql = lambda: ShardSql(shard := self.any_shard(), qualified(shard))
        return prepared

    def schema(self, shard: int) -> str:
        """Returns the schema name of a shard on its data nodes."""
        return self.config.store.schema.format(shard=shard)

    def _schema_qualifier(
        self, text: str, start: int, stmt: ast.Node, tables: list[tuple[ast.RangeVar, Table]]
    ):
        """Returns a function from shard to the statement text with schema-qualified tables.

        The text is kept as the client wrote it. If a table is not found at its position in the
        text, the statement is generated from the syntax tree instead.
        """
        edits = []  # (start, end, separator): where the schema name is inserted or replaced
        for node, table in tables:
            at, old_schema = node.location - start, node.schemaname or ""
            source = text[at : at + len(old_schema or table.name) + 2].lower()
            quoted = source.startswith('"')
            identifier = old_schema or table.name
            if at < 0 or not source.lstrip('"').startswith(identifier.lower()):
                template, placeholder = self._template(stmt)
                return lambda shard: template.replace(placeholder, self.schema(shard))
            edits.append(
                (
                    at,
                    at + len(old_schema) + 2 * quoted if old_schema else at,
                    "" if old_schema else ".",
                )
            )
        edits.sort()
        pieces, last = [], 0
        for begin, end, separator in edits:
            pieces.append(text[last:begin])
            pieces.append(separator)
            last = end
        rest = text[last:]

        def qualify(shard: int) -> str:
            schema, out = self.schema(shard), []
            for i in range(0, len(pieces), 2):
                out += [pieces[i], schema, pieces[i + 1]]
            return "".join(out) + rest

        return qualify

    def _template(self, stmt: ast.Node) -> tuple[str, str]:
        """Returns the SQL of a tree with a placeholder as schema name, and that placeholder.

        The placeholder occurs nowhere else in the SQL.
        """
        tables = [node for node, _ in self._referenced_tables(stmt)]
        placeholder = f"{PLACEHOLDER_PREFIX}0_"
        rendered = _render_with_schema(stmt, tables, placeholder)
        used = PLACEHOLDER.findall(rendered)
        if used.count("0") == len(tables):
            return rendered, placeholder
        taken = set(used)
        free = next(number for number in range(len(taken) + 1) if str(number) not in taken)
        placeholder = f"{PLACEHOLDER_PREFIX}{free}_"
        return _render_with_schema(stmt, tables, placeholder), placeholder

    # --- writes -----------------------------------------------------------------------

    def _plan_write(self, stmt: ast.Node, text: str, start: int, oids: tuple[int, ...]) -> Prepared:
        tag = {ast.InsertStmt: "INSERT", ast.UpdateStmt: "UPDATE", ast.DeleteStmt: "DELETE"}[
            type(stmt)
        ]
        nodes = FlatTree(walk(stmt))
        check_array_dimensions(nodes)
        tables = self._referenced_tables(nodes)
        target = self.config.tables[stmt.relation.relname]
        if not target.distribution:
            raise unsupported(f"{tag} on reference table {target.name}")
        if stmt.withClause:
            raise unsupported(f"{tag} with WITH")
        prepared = Prepared(
            text,
            tag,
            parameter_types(nodes, self.config.tables, oids),
            writes=True,
            volatile_function=_find_volatile_function(nodes),
            tables=tuple(t.name for _, t in tables),
            returns_rows=bool(
                getattr(stmt, "returningList", None) or getattr(stmt, "returningClause", None)
            ),
        )
        shards_of = (
            self._insert_shards(stmt, target)
            if tag == "INSERT"
            else self._where_shards(stmt, target, tag)
        )
        qualified = self._schema_qualifier(text, start, stmt, tables)

        def bind(values: Sequence[object]) -> BoundStatement:
            shards = shards_of(values)
            if len(shards) > 1:
                raise unsupported(
                    f"{tag} that writes to {len(shards)} shards",
                    "write to one value of the distribution column at a time",
                )
            shard = shards.pop() if shards else self.any_shard()
            return BoundStatement((ShardSql(shard, qualified(shard)),), None)

        prepared.bind = bind
        prepared.describe_sql = lambda: ShardSql(shard := self.any_shard(), qualified(shard))
        return prepared

    def _insert_shards(self, stmt: ast.InsertStmt, table: Table):
        select = stmt.selectStmt
        if not isinstance(select, ast.SelectStmt) or not select.valuesLists:
            raise unsupported("INSERT other than VALUES")
        if contains(select, ast.SubLink):
            raise unsupported("INSERT with a subquery")
        conflict_assignments = stmt.onConflictClause.targetList if stmt.onConflictClause else None
        if any(t.name == table.column for t in conflict_assignments or ()):
            raise unsupported(f"changing the distribution column {table.column}")
        names, distribution = (
            insert_columns(stmt, table),
            self.config.distributions[table.distribution],
        )
        if table.column not in names:
            raise PgError(
                "23502",
                f"INSERT into {table.name} gives no value "
                f"for its distribution column {table.column}",
            )
        index, row_values = names.index(table.column), []
        for row in select.valuesLists:
            if index >= len(row):
                raise PgError(SYNTAX_ERROR, "INSERT has more target columns than expressions")
            node = row[index]
            node = (
                node.arg
                if isinstance(node, ast.TypeCast) and isinstance(node.arg, ast.ParamRef)
                else node
            )
            try:
                row_values.append(
                    ("param", node.number) if isinstance(node, ast.ParamRef) else constant(node)
                )
            except NotConstantError:
                raise unsupported(
                    f"an expression for the distribution column {table.column}"
                ) from None

        distinct_values = _without_repeated_parameters(row_values)

        def shards(values: Sequence[object]) -> set[int]:
            found = set()
            for item in distinct_values:
                value = values[item[1] - 1] if isinstance(item, tuple) else item
                try:
                    key_value = canonical_value(distribution, value)
                    if key_value is None:
                        types.to_integer(distribution.type_oid, value)
                        raise ValueError
                    found.add(shard_of(distribution, key_value, self.config.store.shards))
                except NoShardError:
                    raise PgError(
                        NO_SHARD,
                        f"no shard takes {table.column} = {types.shortened(value)} of {table.name}",
                    ) from None
                except (ValueError, TypeError):
                    state = "23502" if value is None else "22P02"
                    raise PgError(
                        state,
                        f"invalid value of the distribution column {table.column}: "
                        f"{types.shortened(value)}",
                    ) from None
            return found

        return shards

    def _where_shards(self, stmt: ast.UpdateStmt | ast.DeleteStmt, table: Table, tag: str):
        other_items = stmt.fromClause if isinstance(stmt, ast.UpdateStmt) else stmt.usingClause
        if isinstance(stmt, ast.UpdateStmt) and any(
            t.name == table.column for t in stmt.targetList
        ):
            raise unsupported(f"changing the distribution column {table.column}")
        if contains((stmt.whereClause, getattr(stmt, "targetList", None)), ast.SubLink):
            raise unsupported(f"{tag} with a subquery")
        pruner = ShardPruner(
            self.config,
            build_scope(
                self.config, (stmt.relation, *(other_items or ())), stmt.whereClause, strict=True
            ),
        )
        shards = self.config.store.shards
        return lambda values: set.union(*pruner.shards(ParameterShards(values, shards)))

    # --- explain ----------------------------------------------------------------------

    def _plan_explain(self, stmt: ast.ExplainStmt, oids: tuple[int, ...]) -> Prepared:
        if any(o.defname == "analyze" for o in stmt.options or ()):
            raise PgError(FEATURE_NOT_SUPPORTED, "EXPLAIN ANALYZE is not supported")
        text = to_sql(stmt.query)
        (inner,) = self.plan_statements(text, oids)
        fields = (Field("QUERY PLAN", types.TEXT),)
        if inner.local is not None:
            rows = ((b"Answered by the router",),)
            return Prepared(
                text, "EXPLAIN", oids, LocalCommand("rows", "EXPLAIN", fields, rows), fields=fields
            )
        return Prepared(text, "EXPLAIN", inner.oids, None, explain=inner, fields=fields)


def _without_repeated_parameters(items: Sequence[object]) -> list:
    """Returns literals, and each parameter, a tuple, once: it may have megabytes."""
    parameters: set[tuple] = set()
    found = []
    for item in items:
        if isinstance(item, tuple):
            if item in parameters:
                continue
            parameters.add(item)
        found.append(item)
    return found


def _render_with_schema(stmt: ast.Node, tables: Sequence[ast.RangeVar], schema: str) -> str:
    """Returns the SQL of a tree in which these tables have another schema."""
    saved = [(node, node.schemaname) for node in tables]
    for node in tables:
        node.schemaname = schema
    try:
        return to_sql(stmt)
    finally:
        for node, old_schema in saved:
            node.schemaname = old_schema


def explain_lines(
    prepared: Prepared,
    values: Sequence[object],
    label: str,
    operators: Callable[[MergePlan | None], list[str]] = lambda plan: [],
) -> list[str]:
    """Returns the EXPLAIN output: merge plan, operators, service class, SQL of each shard."""
    bound = prepared.bind(values)
    lines = bound.merge.explain() if bound.merge else ["One Part"]
    lines += [f"  {line}" for line in operators(bound.merge)]
    lines.append(f"  Class: {label}")
    for shard_request in bound.shard_requests:
        lines.append(f"  ->  Shard {shard_request.shard}: {shard_request.sql.strip()}")
    return lines


def _session_command(command: LocalCommand, text: str, rows: bool = False) -> Prepared:
    return Prepared(text, command.tag, (), command, returns_rows=rows)


def _set_command(stmt: ast.VariableSetStmt) -> LocalCommand:
    kind = stmt.kind
    if kind == VariableSetKind.VAR_RESET_ALL:
        return LocalCommand("reset", "RESET")
    if kind in (VariableSetKind.VAR_RESET, VariableSetKind.VAR_SET_DEFAULT):
        return LocalCommand(
            "set", "RESET" if kind == VariableSetKind.VAR_RESET else "SET", name=stmt.name
        )
    if kind == VariableSetKind.VAR_SET_MULTI:
        if stmt.name == "TRANSACTION SNAPSHOT":
            raise PgError(FEATURE_NOT_SUPPORTED, "SET TRANSACTION SNAPSHOT is not supported")
        return LocalCommand("nothing", "SET")
    setting_values = []
    for arg in stmt.args or ():
        try:
            value = constant(arg.arg if isinstance(arg, ast.TypeCast) else arg)
        except NotConstantError:
            raise PgError(SYNTAX_ERROR, f"SET {stmt.name}: a constant is needed") from None
        setting_values.append(
            {True: "on", False: "off"}.get(value, str(value))
            if isinstance(value, bool)
            else str(value)
        )
    return LocalCommand("set", "SET", name=stmt.name, value=", ".join(setting_values))


def _fetch_command(stmt: ast.FetchStmt) -> LocalCommand:
    if stmt.ismove:
        raise PgError(FEATURE_NOT_SUPPORTED, "MOVE is not supported")
    if stmt.direction != FetchDirection.FETCH_FORWARD or stmt.howMany < 0:
        raise PgError(FEATURE_NOT_SUPPORTED, "FETCH other than forward is not supported")
    count = -1 if stmt.howMany >= 2**31 - 1 else stmt.howMany
    return LocalCommand("fetch", "FETCH", name=stmt.portalname, count=count)


def _transaction_command(stmt: ast.TransactionStmt) -> LocalCommand:
    statement_kinds = TransactionStmtKind
    match stmt.kind:
        case statement_kinds.TRANS_STMT_BEGIN | statement_kinds.TRANS_STMT_START:
            tag = "BEGIN" if stmt.kind == statement_kinds.TRANS_STMT_BEGIN else "START TRANSACTION"
            return LocalCommand("begin", tag)
        case statement_kinds.TRANS_STMT_COMMIT:
            return LocalCommand("commit", "COMMIT")
        case statement_kinds.TRANS_STMT_ROLLBACK:
            return LocalCommand("rollback", "ROLLBACK")
        case statement_kinds.TRANS_STMT_SAVEPOINT:
            return LocalCommand("savepoint", "SAVEPOINT", name=stmt.savepoint_name)
        case statement_kinds.TRANS_STMT_RELEASE:
            return LocalCommand("release", "RELEASE", name=stmt.savepoint_name)
        case statement_kinds.TRANS_STMT_ROLLBACK_TO:
            return LocalCommand("rollback_to", "ROLLBACK", name=stmt.savepoint_name)
    name = stmt.kind.name.removeprefix("TRANS_STMT_").replace("_", " ")
    raise PgError(FEATURE_NOT_SUPPORTED, f"{name} is not supported")


def _find_volatile_function(stmt: FlatTree) -> str:
    for node in walk(stmt):
        if isinstance(node, ast.FuncCall) and function_name(node) not in SIDE_EFFECT_FREE_FUNCTIONS:
            return function_name(node)
    return ""
