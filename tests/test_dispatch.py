"""
tests.test_dispatch
~~~~~~~~~~~~~~~~~~~

Jobs that a dispatcher refuses because they can no longer meet their deadline.
"""

from papayaward.protocol.outcomes import Outcome, Reason

from .coordinator_case import CoordinatorCase, RecordedLink

__all__ = []

_NOW = 100.0
_TASK_S = 0.2
_SLOTS = 4


class InfeasibleDeadlineTest(CoordinatorCase):
    def setUp(self):
        super().setUp()
        self.link = RecordedLink()
        self.connect(self.link, _NOW, slots=_SLOTS)
        self.dispatcher.speeds.add("x", "c", _TASK_S, _NOW)
        self.dispatcher.refresh(_NOW)

    def _submit(self, tasks, deadline_s, job_id="j"):
        return self.submit(
            _NOW, (b"1",) * tasks, deadline=_NOW + deadline_s, job_id=job_id
        )

    def _occupy(self, slots):
        self._submit(slots, 1000.0, "other")
        self.assertEqual(slots, len(self.link.grants()))

    def test_job_that_waits_for_slots_is_refused_before_it_starts(self):
        """Guards against jobs that start too late for all of their tasks.

        The estimate assumed that all tasks start at once. After the upstreams had
        stalled, jobs whose first task started 0.3 s before the deadline failed.
        """
        self._occupy(_SLOTS - 1)
        # One task starts at once. The other three wait 0.15 s for slots on average,
        # and the last one runs for 0.2 s.
        record = self._submit(4, 0.3)
        self.assertTrue(record.done)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.OVERLOADED),
            (record.outcome.outcome, record.outcome.reason),
        )
        self.assertEqual(_SLOTS - 1, len(self.link.grants()))

    def test_job_that_can_still_end_in_time_is_started(self):
        """Guards against refusing a job that waits for slots but ends in time."""
        self._occupy(_SLOTS - 1)
        record = self._submit(4, 0.4)
        self.assertFalse(record.done)
        self.assertEqual(_SLOTS, len(self.link.grants()))

    def test_free_slots_are_not_waited_for(self):
        """Guards against refusing a job whose tasks all start at once."""
        record = self._submit(_SLOTS, 0.21)
        self.assertFalse(record.done)
        self.assertEqual(_SLOTS, len(self.link.grants()))

    def test_tasks_beyond_the_free_slots_run_after_them(self):
        """Guards against counting half a round of tasks as half of their run time."""
        # Four tasks run at once; two more run after them.
        self.assertTrue(self._submit(6, 0.35).done)
        self.assertFalse(self._submit(6, 0.5, "k").done)
