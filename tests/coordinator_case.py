"""
tests.coordinator_case
~~~~~~~~~~~~~~~~~~~~~~

Base class for tests of a coordinator with recorded links instead of connections.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.coordinator import Coordinator
from papayaward.protocol.config_model import FleetConfig
from papayaward.protocol.gen.ttypes import (
    ResultBatch,
    RunBatch,
    SlotReport,
    TaskResult,
)
from papayaward.state.job_records import JobRecord, JobSpec

__all__ = ["CoordinatorCase", "RecordedLink"]


class RecordedLink:
    """Link to an executor that records the messages instead of sending them."""

    def __init__(self, member="x", incarnation=7):
        self.peer = SimpleNamespace(
            member=member, incarnation=incarnation, domain="a", role="runner"
        )
        self.closed = False
        # Whether the link closes instead of sending the next message.
        self.fails = False
        self.echoed_us = 0
        self.sent = []

    def try_send(self, message):
        self.closed = self.closed or self.fails
        if not self.closed:
            self.sent.append(message)
        return not self.closed

    def grants(self):
        """Returns the grants that were sent, as (job, task, attempt)."""
        batches = [m for m in self.sent if isinstance(m, RunBatch)]
        return [(g.job_id, g.index, g.attempt) for b in batches for g in b.grants]


class CoordinatorCase(TestCase):
    def setUp(self):
        super().setUp()
        settings = SimpleNamespace(
            placement="fastest_free",
            hold_slow_slots=False,
            result_ttl_s=300.0,
            max_queued_bytes=1 << 20,
            max_queued_tasks=1000,
            id_block_ttl_s=600.0,
            reconnect_grace_s=0.9,
            disabled_mechanisms=(),
        )
        node = SimpleNamespace(
            settings=settings,
            config=SimpleNamespace(config=FleetConfig(), version=0),
            draining=False,
        )
        self.coordinator = Coordinator(node)
        self.dispatcher = self.coordinator._dispatcher
        self.records = self.coordinator._records

    def connect(self, link, now, slots=2):
        """Connects an executor with free slots."""
        self.coordinator.on_executor_up(link, now)
        self.coordinator.on_message(link, SlotReport(slots, 0, True), now)

    def submit(self, now, tasks=(b"1",), deadline=1000.0, idempotent=False, job_id="j"):
        """Queues a job, dispatches and returns the job's record."""
        spec = JobSpec(job_id, "dispatch", "t", "c", deadline, idempotent, tasks)
        record = JobRecord(spec, now)
        self.records.add(record)
        self.dispatcher.enqueue(record)
        self.dispatcher._dispatch(now)
        return record

    def result(
        self,
        link,
        status,
        reason="",
        now=0.0,
        index=0,
        attempt=1,
        body=b"",
        job_id="j",
    ):
        """Delivers the result of a task from an executor."""
        result = TaskResult(job_id, index, attempt, status, body, 1000, reason)
        self.coordinator.on_message(link, ResultBatch([result]), now)
