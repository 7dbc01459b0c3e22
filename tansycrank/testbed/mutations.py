"""A router with one rule broken on purpose: `python -m tansycrank.testbed.mutations RULE --config F
--announce`.

It shows that the checkers catch what they are for. Nothing of it is reachable from the product.
"""

from __future__ import annotations

import sys
from dataclasses import replace

import msgspec

from tansycrank import config, daemon, routing
from tansycrank.merge.blocks import ShardRowStream
from tansycrank.postgres.errors import PgError
from tansycrank.sql_router import coordinator, service


class _Unchecked:
    """An attempt that starts whatever the rules say."""

    def start(self, now: float) -> None:
        """It may."""


class _Extra(coordinator.Coordinator):
    """Sends that the module never asked for."""

    def extra(self, endpoint: int, request, time_out: float) -> None:
        """One of them; its rows are dropped."""
        memory = self.memory_reservations.open(False)
        stream = ShardRowStream(memory, request.shard)
        self.pools.send(
            endpoint, request, stream, time_out, lambda ended: memory.close(), _Unchecked()
        )


class SendsAfterTheEnd(_Extra):
    """Rule 1: a part goes out again most of a second after its query's final answer."""

    def _close_query(self, job, answer) -> None:
        shard_requests = list(job.shard_requests)
        super()._close_query(job, answer)
        for shard_request in shard_requests[:1]:
            if shard_request.attempts:
                self.reactor.callLater(
                    0.8,
                    self.extra,
                    shard_request.attempts[0].endpoint,
                    shard_request.statement,
                    500.0,
                )


class RepeatsUnsafe(coordinator.Coordinator):
    """Rule 2: a connection that broke after the send is called one that never stood."""

    def _on_attempt_ended(self, job, shard_request, number, endpoint, result) -> None:
        if result.outcome in (
            routing.Outcome.CONNECTION_LOST,
            routing.Outcome.ERROR,
            routing.Outcome.TIMED_OUT,
        ):
            result.outcome = routing.Outcome.CONNECT_FAILED
        super()._on_attempt_ended(job, shard_request, number, endpoint, result)


class DeafToDrains(coordinator.Coordinator):
    """Rule 3: a drain is heard as nothing."""

    def handle_endpoint_list(self, event) -> None:
        """Apply the mutated endpoint list."""
        entries = tuple(replace(e, status=routing.EndpointStatus.IN_SERVICE) for e in event.entries)
        super().handle_endpoint_list(routing.EndpointListUpdate(event.kind, entries))


class FloodsTheCold(_Extra):
    """Rule 4: cold nodes are taken for warm, and get each part many times."""

    def handle_endpoint_list(self, event) -> None:
        """Apply the mutated endpoint list."""
        self.cold = getattr(self, "cold", set()) | {
            e.endpoint for e in event.entries if e.started_at
        }
        super().handle_endpoint_list(
            routing.EndpointListUpdate(
                event.kind, tuple(replace(e, started_at=0.0) for e in event.entries)
            )
        )

    def _send(self, action) -> None:
        super()._send(action)
        if action.endpoint in getattr(self, "cold", ()):
            _, shard_request = self._shard_requests[action.shard_request]
            self.pools.store = msgspec.structs.replace(self.pools.store, max_links=2000)
            for _ in range(200):
                self.extra(action.endpoint, shard_request.statement, 2000.0)


class CopiesAll(_Extra):
    """Rule 6: each part goes to its node twice."""

    def _send(self, action) -> None:
        super()._send(action)
        _, shard_request = self._shard_requests[action.shard_request]
        self.extra(action.endpoint, shard_request.statement, 500.0)


class AnswersInPart(service.Service):
    """Rule 5: the last part's rows are left out, and the answer is called whole."""

    def _result(self, request, plan, values, answer, job):
        if not isinstance(answer, PgError) and len(answer) > 1:
            last = answer[-1].answer
            while last.take() is not None:
                pass
            last.size = last.rows = 0
        return super()._result(request, plan, values, answer, job)


BROKEN = {
    1: SendsAfterTheEnd,
    2: RepeatsUnsafe,
    3: DeafToDrains,
    4: FloodsTheCold,
    5: AnswersInPart,
    6: CopiesAll,
}


def main() -> None:
    """Serve with the rule broken that the first argument names."""
    rule = int(sys.argv.pop(1))
    if rule == 5:
        daemon.Service = AnswersInPart
    else:
        daemon.Coordinator = BROKEN[rule]
    daemon.run(config.load(sys.argv[sys.argv.index("--config") + 1]), announce=True)


if __name__ == "__main__":
    main()
