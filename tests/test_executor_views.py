"""
tests.test_executor_views
~~~~~~~~~~~~~~~~~~~~~~~~~

A coordinator's view of its executors when links are lost and restored.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.coordinator import Coordinator
from papayaward.protocol.config_model import FleetConfig
from papayaward.protocol.gen.ttypes import CancelTasks, Member, RunBatch, SlotReport
from papayaward.state.job_records import JobRecord, JobSpec

__all__ = []


class _Link:
    closed = False

    def __init__(self, member="x", incarnation=7):
        self.peer = SimpleNamespace(
            member=member, incarnation=incarnation, domain="a", role="runner"
        )
        self.echoed_us = 0
        self.sent = []

    def try_send(self, message):
        self.sent.append(message)
        return True

    def grants(self):
        """Returns the grants that were sent, as (job, task, attempt)."""
        batches = [m for m in self.sent if isinstance(m, RunBatch)]
        return [(g.job_id, g.index, g.attempt) for b in batches for g in b.grants]


def _member(incarnation):
    return Member("x", incarnation, "127.0.0.1:1", "a", "dispatch")


class ExecutorViewTest(TestCase):
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

    def _grant(self, link, now, deadline=1000.0):
        """Grants the two tasks of a job to the executor of a link."""
        spec = JobSpec("j", "dispatch", "t", "c", deadline, False, (b"1", b"2"))
        record = JobRecord(spec, now)
        self.records.add(record)
        self.coordinator.on_executor_up(link, now)
        self.coordinator.on_message(link, SlotReport(2, 0, True), now)
        self.dispatcher.enqueue(record)
        self.dispatcher._dispatch(now)
        self.assertEqual([("j", 0, 1), ("j", 1, 1)], link.grants())
        return record

    def test_grants_are_sent_again_within_the_grace(self):
        """Guards against losing tasks when a link is restored in the grace period."""
        link = _Link()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0)
        self.coordinator.on_executor_down(link, 101.2)
        newer = _Link()
        self.coordinator.on_executor_up(newer, 101.5)
        self.assertEqual([("j", 0, 1), ("j", 1, 1)], newer.grants())
        self.assertFalse(record.done)

    def test_grants_are_not_sent_again_after_a_long_pause(self):
        """Guards against a second start of a task that the executor no longer records.

        A coordinator that was paused finds its link closed when it resumes, however
        long the pause was, and the executor keeps records of starts for 60 s only.
        """
        link = _Link()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0)
        self.coordinator.on_executor_down(link, 170.0)
        newer = _Link()
        self.coordinator.on_executor_up(newer, 170.1)
        self.assertEqual([], newer.grants())
        self.assertEqual("unknown", record.outcome.outcome)

    def test_old_member_list_does_not_replace_a_linked_executor(self):
        """Guards against an executor that is unusable after its restart.

        An entry that still lists the earlier incarnation must not override the
        executor's own handshake.
        """
        link = _Link(incarnation=8)
        record = self._grant(link, 100.0)
        self.coordinator.on_members([_member(7)])
        self.coordinator.on_members([_member(8)])
        view = self.dispatcher.executors["x"]
        self.assertIs(link, view.link)
        self.assertEqual(2, len(view.outstanding))
        self.assertFalse(record.done)

    def test_finished_jobs_are_not_granted_again(self):
        """Guards against starting tasks of a job that was answered meanwhile."""
        link = _Link()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0, deadline=101.4)
        self.coordinator.on_executor_down(link, 101.2)
        self.coordinator._tick(101.45)
        self.assertTrue(record.done)
        newer = _Link()
        self.coordinator.on_executor_up(newer, 101.5)
        self.assertEqual([], newer.grants())
        cancelled = [m for m in newer.sent if isinstance(m, CancelTasks)]
        self.assertEqual([["j"]], [m.job_ids for m in cancelled])
        self.assertEqual({}, self.dispatcher.executors["x"].outstanding)
