"""
tests.test_late_jobs
~~~~~~~~~~~~~~~~~~~~

Jobs that cannot be served in time and would keep their callers waiting.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.early_ends import EarlyEnds
from papayaward.protocol.jobs import LeasedJobOutcome

__all__ = []

_ARRIVED_AT = 100.0


def _job(started=False):
    return SimpleNamespace(
        started=started,
        arrived_at=_ARRIVED_AT,
        objective_s=1.0,
        deadline=_ARRIVED_AT + 5.0,
    )


class LateJobTest(TestCase):
    def setUp(self):
        super().setUp()
        self.misses_deadline = False
        self.remaining_s = 1.0
        placement = SimpleNamespace(
            remaining_s=lambda job, now: self.remaining_s,
            will_miss_deadline=lambda job, now: self.misses_deadline,
            unservable_reason=lambda job, views, now: "",
        )
        self.crashed = self.overloaded = False
        isolation = SimpleNamespace(
            is_guarded=lambda job, now: self.crashed or self.overloaded,
            is_without_executors=lambda job, views, now: self.crashed,
            is_overloaded=lambda job, views, now: self.overloaded,
        )
        self.starts_late = False
        forecast = SimpleNamespace(
            will_start_late=lambda job, views, now: self.starts_late,
            retry_after_s=lambda job, now: 3.0 if self.starts_late else 1.0,
        )
        self.early_ends = EarlyEnds(placement, isolation, forecast)

    def outcome(self, job, after_s, can_meet_objective=True, is_waiting=True):
        """Returns the outcome of a job some time after its arrival."""
        placement_round = SimpleNamespace(
            can_meet_objective=lambda job: can_meet_objective
        )
        return self.early_ends.on_check(
            job, placement_round, is_waiting, _ARRIVED_AT + after_s
        )

    def test_job_ends_at_its_deadline(self):
        """Guards against a caller that may submit a job again although it runs."""
        self.assertIsNone(self.outcome(_job(), 4.9))
        late = LeasedJobOutcome("not_run", "deadline", 1.0)
        self.assertEqual(late, self.outcome(_job(), 5.0))
        late = LeasedJobOutcome("unknown", "deadline", 1.0)
        self.assertEqual(late, self.outcome(_job(started=True), 5.0))

    def test_job_that_cannot_meet_its_objective_is_refused_while_it_has_no_start(self):
        """Guards against a caller that waits for a job of an overloaded fleet."""
        refused = LeasedJobOutcome("not_run", "overload", 1.0)
        self.assertIsNone(self.outcome(_job(), 0.21, can_meet_objective=False))
        self.assertEqual(refused, self.outcome(_job(), 0.23, can_meet_objective=False))
        self.assertIsNone(self.outcome(_job(), 0.23))
        started = _job(started=True)
        self.assertIsNone(self.outcome(started, 0.23, can_meet_objective=False))

    def test_started_job_that_will_miss_its_deadline_ends_only_while_tasks_wait(self):
        """Guards against capacity that is used for a job that comes too late."""
        self.misses_deadline = True
        missed = LeasedJobOutcome("unknown", "cannot end before the deadline")
        job = _job(started=True)
        self.assertEqual(missed, self.outcome(job, 1.0))
        self.assertIsNone(self.outcome(job, 1.0, is_waiting=False))

    def test_job_that_would_end_after_the_process_is_ended_early(self):
        """Guards against a job that the shutdown interrupts after a long wait."""
        self.assertIsNone(self.early_ends.while_closing(_job(), _ARRIVED_AT))
        self.early_ends.close_at(_ARRIVED_AT + 0.71)
        self.assertIsNone(self.early_ends.while_closing(_job(), _ARRIVED_AT))
        self.remaining_s = 1.1
        closing = LeasedJobOutcome("not_run", "closing", 1.0)
        self.assertEqual(closing, self.early_ends.while_closing(_job(), _ARRIVED_AT))
        self.assertEqual(closing, self.outcome(_job(), 0.0))

    def test_job_of_a_guarded_queue_is_refused_at_once_with_a_spread_delay(self):
        """Guards against callers that all return at once after a crash."""
        self.assertIsNone(self.early_ends.on_arrival(_job(), [], _ARRIVED_AT))
        self.overloaded = True
        outcomes = [
            self.early_ends.on_arrival(_job(), [], _ARRIVED_AT) for _ in range(20)
        ]
        self.assertEqual({"overload"}, {outcome.reason for outcome in outcomes})
        delays = {outcome.retry_after_s for outcome in outcomes}
        self.assertGreater(len(delays), 1)
        self.assertTrue(all(1.0 <= delay <= 4.0 for delay in delays))
        self.crashed = True
        crashed = self.early_ends.on_arrival(_job(), [], _ARRIVED_AT)
        self.assertEqual("upstreams crashed", crashed.reason)

    def test_job_that_would_start_late_is_refused_at_once_with_the_time_to_return(self):
        """Guards against a caller that waits for a refusal, or returns too early."""
        self.starts_late = True
        refused = LeasedJobOutcome("not_run", "overload", 3.0)
        self.assertEqual(refused, self.early_ends.on_arrival(_job(), [], _ARRIVED_AT))
        self.assertEqual(refused, self.outcome(_job(), 0.23, can_meet_objective=False))
