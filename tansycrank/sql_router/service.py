"""Prepares, describes and runs statements for the PostgreSQL server.

It connects the planner, admission control, the coordinator and the merge. A query's class,
deadline, idempotency key and tenant come from session settings, `statement_timeout` and statement
patterns.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tansycrank.admission import views
from tansycrank.admission.controller import AdmissionController, AdmissionEntry
from tansycrank.admission.identity import Caller, TenantResolver
from tansycrank.config import Config, admission_policy, split_list, tenant_resolver
from tansycrank.merge import pipeline
from tansycrank.merge.blocks import frames_of
from tansycrank.merge.rows import Result, ShardRows, merge, shard_formats
from tansycrank.merge.work import MergeScheduler, RowStream
from tansycrank.postgres import types
from tansycrank.postgres.errors import INTERNAL, PgError
from tansycrank.postgres.messages import Field, data_row
from tansycrank.sql.plan import Prepared
from tansycrank.sql.planner import Planner, explain_lines
from tansycrank.sql_router.coordinator import Coordinator
from tansycrank.sql_router.parameters import (
    DecodedParameters,
    decode_parameters,
    query_hash,
    statement_hash,
)
from tansycrank.sql_router.routed_query import RoutedQuery, ShardRequest
from tansycrank.sql_router.session_settings import (
    FORM_LABELS,
    QueryForm,
    check_setting,
    class_index,
    is_repeat,
    query_form,
    remaining_ms,
)
from tansycrank.sql_router.shard_statement import ShardStatement

DATA_STATEMENT = re.compile(r"\s*(?:select|insert|update|delete|with)\b", re.I)
UNKNOWN_CALLER = Caller("", "", "")  # for requests without a session


def is_single_data_statement(sql: str) -> bool:
    """Whether a text is one statement that goes to data nodes, as far as told without parsing."""
    if not DATA_STATEMENT.match(sql):
        return False
    _, _, rest = sql.partition(";")
    return not rest or rest.isspace()


@dataclass(frozen=True, slots=True)
class Request:
    """A statement to run, with its encoded parameters, result formats and session settings."""

    prepared: Prepared
    values: tuple[bytes | None, ...] = ()
    formats: tuple[int, ...] = ()
    results: tuple[int, ...] = ()
    comment: str = ""
    settings: Mapping[str, str] | None = None
    caller: Caller = UNKNOWN_CALLER

    @property
    def size(self) -> int:
        """Characters of the statement and bytes of its parameters."""
        values = sum(len(value) for value in self.values if value is not None)
        return len(self.prepared.sql) + values


@dataclass(slots=True)
class RunningStatement:
    """A handle to cancel a running statement."""

    entry: AdmissionEntry


class Service:
    """Runs the statements of all sessions of a router."""

    def __init__(self, config: Config, coordinator: Coordinator, log=None) -> None:
        self.config, self.coordinator, self.log = config, coordinator, log
        self.planner = Planner(config)
        self.worker = MergeScheduler(
            lambda f: coordinator.reactor.callLater(0, f),
            coordinator.reactor.seconds,
            lambda: bool(coordinator.queries),
        )
        coordinator.pools.defer_read = self.worker.wake
        self.start_admission(coordinator.reactor)

    def start_admission(self, reactor) -> None:
        """Set up admission control from the settings."""
        config = self.config
        self.identity = tenant_resolver(config)
        self._operators = TenantResolver(
            allow=split_list(config.door.operators) or ["255.255.255.255/32"]
        )
        self.admission = AdmissionController(reactor, admission_policy(config), self.log)

    def prepare(self, sql: str, oids: tuple[int, ...] = ()) -> tuple[Prepared, ...]:
        """Parse and plan a text of statements. Raises PgError."""
        return self.planner.plan_statements(sql, oids)

    # --- access control and operators' views ---------------------------------------------

    def connection_error(self, caller: Caller) -> PgError | None:
        """Return the error for a client that may not connect, or None."""
        if self.identity.may_connect(caller.address):
            return None
        return PgError(
            "28000", f"no entry for {caller.address}: [door] allow and deny", severity="FATAL"
        )

    def _check_operator(self, caller: Caller, what: str) -> None:
        if not self._operators.may_connect(caller.address):
            raise PgError("42501", f"{what}: only for sessions from [door] operators")

    def view(
        self, name: str, caller: Caller
    ) -> tuple[tuple[str, ...], list[tuple[str, ...]]] | None:
        """Return (columns, rows) of an operators' view, None for other names.

        Raises PgError 42501 for other callers.
        """
        if name not in ("tansycrank.tenants", "tansycrank.admission"):
            return None
        self._check_operator(caller, name)
        if name == "tansycrank.admission":
            return ("figure", "value"), views.admission_figures(self.admission)
        return views.TENANT_COLUMNS, views.tenant_rows(self.admission)

    def change_limits(self, caller: Caller, text: str) -> None:
        """Change the limits of a tenant at run time. Raises PgError 42501, 22023."""
        self._check_operator(caller, "tansycrank.limits")
        views.change_limits(self.admission, text)

    # --- class and deadline -------------------------------------------------------------

    def check_setting(self, name: str, value: str) -> str:
        """Validate a session setting and return its value.

        Raises PgError 22023 naming the allowed values, or 42704 for an unknown setting.
        """
        return check_setting(self.config.classes, name, value)

    def _remaining_ms(self, index: int, settings: Mapping[str, str]) -> float:
        return remaining_ms(self.config.classes[index].section, settings)

    # --- running ------------------------------------------------------------------------

    def decode_values(self, prepared: Prepared, values, formats) -> DecodedParameters:
        """Return the parameters of a statement, decoded as they are read. Raises PgError 08P01."""
        return decode_parameters(prepared, values, formats)

    def run(
        self, request: Request, done: Callable[[Result | PgError], None]
    ) -> RunningStatement | None:
        """Run a statement; `done` is called once with a Result or PgError.

        Returns None if it was answered at once.
        """
        prepared, settings = request.prepared, request.settings or {}
        try:
            target = prepared.explain or prepared
            values = self.decode_values(target, request.values, request.formats)
            index = class_index(self.config.classes, target.sql, settings)
            form = query_form(self.config.classes[index].section, target, settings)
            if prepared.explain is not None:
                label = f"{self.config.classes[index].name} ({FORM_LABELS[form]})"
                lines = explain_lines(target, values, label, self._explain_memory)
                rows = [data_row((line.encode(),)) for line in lines]
                done(Result(prepared.fields, rows, "EXPLAIN"))
                return None
            shard_requests = prepared.bind(values)
        except PgError as problem:
            done(problem)
            return None
        plan = shard_requests.merge
        oids = tuple(oid or (types.TEXT if plan is not None else 0) for oid in prepared.oids)
        results = shard_formats(plan, request.results)
        key = settings.get("tansycrank.request_key", "") if form == QueryForm.WITH_KEY else ""
        requests = [
            ShardStatement(
                p.shard,
                request.comment + p.sql,
                oids,
                request.values,
                request.formats,
                results,
                key,
            )
            for p in shard_requests.shard_requests
        ]
        try:
            requests[0].check_encodable()  # all have the same counts
        except PgError as problem:
            done(problem)
            return None
        arrived_at = self.coordinator.now
        streams_rows = (
            form == QueryForm.IDEMPOTENT and prepared.returns_rows and pipeline.streams(plan)
        )
        is_retry = is_repeat(settings)

        def start(remaining: float, ended: Callable[[Result | PgError], None]) -> RoutedQuery:
            def finished(answer: list[ShardRequest] | PgError) -> None:
                outcome = self._result(request, plan, values, answer, routed_query)
                try:
                    self._log_query(request, index, form, routed_query, outcome, arrived_at)
                finally:
                    ended(outcome)

            routed_query = self.coordinator.submit(
                3 * index + form,
                remaining,
                requests,
                finished,
                is_retry,
                streams_rows,
                self.config.store.row_wait_ms or time_limit,
            )
            return routed_query

        time_limit = self._remaining_ms(index, settings)
        return self._enter(
            request, settings, 3 * index + form, len(requests), time_limit, start, done
        )

    def reject_early(
        self,
        sql: str,
        caller: Caller,
        settings: Mapping[str, str],
        values: tuple[bytes | None, ...] = (),
    ) -> PgError | None:
        """Reject a statement before planning, if its tenant's queue is too long for its deadline.

        `values` are its parameters, which identify it to a reservation. Under overload, planning
        queries that are rejected in the end would take all of the router's CPU time.
        """
        if not is_single_data_statement(sql):
            return None
        caller_id = self.identity.identify(caller, settings.get("tansycrank.tenant", ""))
        if not self.admission.may_reject(caller_id.tenant):
            return None
        index = class_index(self.config.classes, sql, settings)
        fingerprint, remaining = (
            query_hash(caller_id, sql, values),
            self._remaining_ms(index, settings),
        )
        return self.admission.reject_early(
            caller_id,
            3 * index + QueryForm.IDEMPOTENT,
            remaining,
            fingerprint,
            is_repeat(settings),
            caller.session,
        )

    def _enter(
        self,
        request: Request,
        settings,
        query_class: int,
        shard_requests: int,
        remaining: float,
        start,
        done,
    ) -> RunningStatement:
        """Submit a query to admission control."""
        caller_id = self.identity.identify(request.caller, settings.get("tansycrank.tenant", ""))
        sql = request.prepared.sql
        return RunningStatement(
            self.admission.submit(
                caller_id,
                query_class,
                shard_requests,
                remaining,
                start,
                done,
                statement=statement_hash(sql),
                fingerprint=query_hash(caller_id, sql, request.values),
                size=request.size,
                is_retry=is_repeat(settings),
                session=request.caller.session,
            )
        )

    def _result(
        self,
        request: Request,
        plan,
        values,
        answer: list[ShardRequest] | PgError,
        routed_query: RoutedQuery,
    ):
        if isinstance(answer, PgError):
            return answer
        shard_requests = [shard_request.answer for shard_request in answer]
        prepared = request.prepared
        try:
            if pipeline.is_small(plan, shard_requests, request.size):
                frames = [
                    [f for block in p.blocks for f in frames_of(block)] for p in shard_requests
                ]
                if plan is None:
                    result = Result(shard_requests[0].fields, frames[0], shard_requests[0].tag)
                else:
                    rows = [
                        ShardRows(p.fields or (), f, p.tag)
                        for p, f in zip(shard_requests, frames, strict=True)
                    ]
                    result = merge(
                        plan, rows, values, prepared.oids, request.results, prepared.fields
                    )
                result.memory = routed_query.memory
                return result
            described = prepared.fields
            fields, source = pipeline.build(
                plan,
                shard_requests,
                values,
                prepared.oids,
                request.results,
                described,
                routed_query.memory,
            )
            stream = RowStream(fields, source, shard_requests, routed_query.memory, self.worker)
            return Result(fields, (), "SELECT", stream, routed_query.memory)
        except PgError as problem:
            result = problem
        except Exception as problem:  # a bug in the merge fails this query alone
            if self.log:
                self.log.error("merge_failed", error=repr(problem), sql=prepared.sql[:500])
            result = PgError(INTERNAL, f"merging the parts failed: {type(problem).__name__}")
        routed_query.memory.close()
        return result

    def release(self, result: Result) -> None:
        """Free the rows of a result that was sent or is no longer needed."""
        if result.stream is not None:
            result.stream.close()
        if result.memory is not None:
            result.memory.close()
        result.rows, result.memory = (), None

    def _explain_memory(self, plan) -> list[str]:
        merge = self.config.merge
        return pipeline.explain(
            plan, self.coordinator.memory_reservations.governor.share, merge.spill_quota
        )

    def cancel(self, running: RunningStatement, left: bool = False) -> None:
        """Cancel a statement whose client cancelled it or disconnected."""
        self.admission.cancel(running.entry, self.coordinator.abandon)

    def describe(
        self,
        prepared: Prepared,
        settings: Mapping[str, str],
        done: Callable[[tuple[tuple[int, ...], tuple[Field, ...] | None] | PgError], None],
        caller: Caller = UNKNOWN_CALLER,
    ) -> RunningStatement | None:
        """Pass (parameter types, columns or None) of a statement to `done`.

        A data node is asked once per prepared statement.
        """
        target = prepared.explain or prepared
        if prepared.local is not None:
            done((prepared.oids, prepared.fields if prepared.returns_rows else None))
            return None
        if target.fields is not None or (not target.returns_rows and 0 not in target.oids):
            done((target.oids, prepared.fields if prepared.explain else target.fields))
            return None
        shard_request = target.describe_sql()
        index = class_index(self.config.classes, target.sql, settings)
        request = ShardStatement(shard_request.shard, shard_request.sql, target.oids, describe=True)

        def finished(answer: list[ShardRequest] | PgError) -> None:
            if isinstance(answer, PgError):
                done(answer)
                return
            described, fields = answer[0].oids, answer[0].answer.fields
            if len(described) >= len(target.oids):
                target.oids = tuple(
                    known or reported
                    for known, reported in zip(target.oids, described, strict=False)
                )
            if target.returns_rows:
                target.fields = fields or ()
            done((target.oids, prepared.fields if prepared.explain else target.fields))

        def start(remaining: float, ended: Callable) -> RoutedQuery:
            def answered(answer: list[ShardRequest] | PgError) -> None:
                ended(answer)
                routed_query.memory.close()

            routed_query = self.coordinator.submit(
                3 * index + QueryForm.IDEMPOTENT, remaining, [request], answered
            )
            return routed_query

        admission_request = Request(prepared, caller=caller)
        remaining = self._remaining_ms(index, settings)
        return self._enter(
            admission_request,
            settings,
            3 * index + QueryForm.IDEMPOTENT,
            1,
            remaining,
            start,
            finished,
        )

    def _log_query(
        self,
        request: Request,
        index: int,
        form: QueryForm,
        routed_query: RoutedQuery,
        outcome,
        arrived_at: float,
    ) -> None:
        if self.log is None or not self.config.log.queries:
            return
        failed = isinstance(outcome, PgError)
        self.log.info(
            "query_completed",
            sql=(request.comment + request.prepared.sql)[:200],
            cls=self.config.classes[index].name,
            effect=FORM_LABELS[form],
            shard_requests=len(routed_query.shard_requests),
            attempts=routed_query.attempt_history,
            hedged=sum(len(p.attempts) > 1 for p in routed_query.shard_requests),
            outcome=outcome.state if failed else "answered",
            given_up=routed_query.given_up.value if routed_query.given_up is not None else None,
            rows=sum(p.answer.rows for p in routed_query.shard_requests if p.answer is not None),
            bytes=sum(p.answer.size for p in routed_query.shard_requests if p.answer is not None),
            spilled=routed_query.memory.spilled,
            peak=routed_query.memory.peak,
            ms=round(self.coordinator.now - arrived_at, 2),
        )
