"""One node: its engine, its model of cores and queue, its sessions and journal."""

from __future__ import annotations

import os

from tansycrank import config as settings
from tansycrank.testbed.engine import Engine
from tansycrank.testbed.node.interfaces import JournaledSession
from tansycrank.testbed.node.journal import Journal
from tansycrank.testbed.node.spec import Spec
from tansycrank.testbed.node.write_store import WriteStore
from tansycrank.testbed.process import reactor
from tansycrank.testbed.reference_model import Job, Nature, ServiceModel

EXIT_OVERLOADED = 4
MODEL_SEEDS_PER_SEED = 1000


class Node:
    """State that all sessions and the control connection share."""

    def __init__(self, spec: Spec) -> None:
        self.spec, self.config = spec, settings.load(spec.config)
        self.engine = Engine(self.config, spec.seed, spec.shards, spec.scale)
        self.model = ServiceModel(
            Nature(**spec.nature), spec.seed * MODEL_SEEDS_PER_SEED + spec.id, spec.started_at
        )
        self.sessions: dict[int, JournaledSession] = {}
        self.journal = Journal(spec.journal, spec.id, self.now_ms)
        self.write_store = WriteStore(spec, self.engine, self.now_ms)
        self.cached_answers: dict = {}
        self.counts = {"statements": 0, "answered": 0, "cancelled": 0, "writes": 0}

    @staticmethod
    def now_ms() -> float:
        """Milliseconds of the monotonic clock."""
        return reactor.seconds() * 1000

    def submit(self, job: Job) -> None:
        """Queue a job; one without work may end before this returns."""
        self.model.arrived(self.now_ms(), job.work)
        if self.model.fallen:
            self.journal.record("fell", None, peak=self.model.peak)
            os._exit(EXIT_OVERLOADED)
        self.model.waiting.append(job)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start the jobs that the model has cores for."""
        while (started := self.model.next(self.now_ms())) is not None:
            job, duration_ms = started
            if duration_ms <= 0:
                self._finish(job)
            else:
                job.timer = reactor.callLater(duration_ms / 1000, self._finish, job)

    def _finish(self, job: Job) -> None:
        self.model.running.discard(job)
        if not job.dropped:
            job.finish()
        self.start_waiting()

    def drop(self, job: Job) -> bool:
        """Stop a job as far as this node can; whether its work was freed."""
        if job.dropped:
            return False
        is_waiting = job in self.model.waiting
        if not is_waiting and not self.model.nature.cancel_stops:
            return False
        job.dropped = True
        if job.timer is not None and job.timer.active():
            job.timer.cancel()
        self.model.running.discard(job)
        if is_waiting:
            self.model.waiting.remove(job)
        self.start_waiting()
        return True

    def shard_of_sql(self, sql: str) -> int:
        """The shard whose schema a statement names, -1 for none."""
        for shard in self.spec.shards:
            if self.config.store.schema.format(shard=shard) + "." in sql:
                return shard
        return -1
