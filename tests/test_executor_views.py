"""
tests.test_executor_views
~~~~~~~~~~~~~~~~~~~~~~~~~

A coordinator's view of its executors when links are lost and restored.
"""

from papayaward.protocol.gen.ttypes import CancelTasks, Member

from .coordinator_case import CoordinatorCase, RecordedLink

__all__ = []


def _member(incarnation):
    return Member("x", incarnation, "127.0.0.1:1", "a", "dispatch")


class ExecutorViewTest(CoordinatorCase):
    def _grant(self, link, now, deadline=1000.0):
        """Grants the two tasks of a job to the executor of a link."""
        self.connect(link, now)
        record = self.submit(now, (b"1", b"2"), deadline)
        self.assertEqual([("j", 0, 1), ("j", 1, 1)], link.grants())
        return record

    def test_grants_are_sent_again_within_the_grace(self):
        """Guards against losing tasks when a link is restored in the grace period."""
        link = RecordedLink()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0)
        self.coordinator.on_executor_down(link, 101.2)
        newer = RecordedLink()
        self.coordinator.on_executor_up(newer, 101.5)
        self.assertEqual([("j", 0, 1), ("j", 1, 1)], newer.grants())
        self.assertFalse(record.done)

    def test_grants_are_not_sent_again_after_a_long_pause(self):
        """Guards against a second start of a task that the executor no longer records.

        A coordinator that was paused finds its link closed when it resumes, however
        long the pause was, and the executor keeps records of starts for 60 s only.
        """
        link = RecordedLink()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0)
        self.coordinator.on_executor_down(link, 170.0)
        newer = RecordedLink()
        self.coordinator.on_executor_up(newer, 170.1)
        self.assertEqual([], newer.grants())
        self.assertEqual("unknown", record.outcome.outcome)

    def test_old_member_list_does_not_replace_a_linked_executor(self):
        """Guards against an executor that is unusable after its restart.

        An entry that still lists the earlier incarnation must not override the
        executor's own handshake.
        """
        link = RecordedLink(incarnation=8)
        record = self._grant(link, 100.0)
        self.coordinator.on_members([_member(7)])
        self.coordinator.on_members([_member(8)])
        view = self.dispatcher.executors["x"]
        self.assertIs(link, view.link)
        self.assertEqual(2, len(view.outstanding))
        self.assertFalse(record.done)

    def test_finished_jobs_are_not_granted_again(self):
        """Guards against starting tasks of a job that was answered meanwhile."""
        link = RecordedLink()
        link.echoed_us = int(100.0 * 1e6)
        record = self._grant(link, 100.0, deadline=101.4)
        self.coordinator.on_executor_down(link, 101.2)
        self.coordinator._tick(101.45)
        self.assertTrue(record.done)
        newer = RecordedLink()
        self.coordinator.on_executor_up(newer, 101.5)
        self.assertEqual([], newer.grants())
        cancelled = [m for m in newer.sent if isinstance(m, CancelTasks)]
        self.assertEqual([["j"]], [m.job_ids for m in cancelled])
        self.assertEqual({}, self.dispatcher.executors["x"].outstanding)
