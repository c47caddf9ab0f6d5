"""
tests.test_queue_guard
~~~~~~~~~~~~~~~~~~~~~~

Limits on the jobs of a queue whose tasks crash upstreams, with time as an argument.
"""

import math

from testtools import TestCase

from papayaward.coordination.crashes.queue_guard import QueueGuards
from papayaward.state.crash_records import CrashRecords
from papayaward.state.crashes import Crash, CrashedJob, Withdrawal


class QueueGuardTest(TestCase):
    def setUp(self):
        super().setUp()
        self.guards = QueueGuards()
        self.records = CrashRecords()

    def crash_twice(self, now, started=("a.0.0.0",)):
        for number in range(2):
            jobs = (CrashedJob("q", ("a.0.0.0",), 10.0, started),)
            crash = Crash(f"u{number}", "dispatch", now, jobs)
            self.records.add(crash, now)
            self.guards.on_crash(crash, self.records, now)

    def test_wait_follows_from_the_rate_of_the_jobs_and_those_ahead(self):
        """Guards against a job that waits in vain behind others of its queue."""
        self.crash_twice(now=100.0)
        for number in range(20):
            self.guards.add_outcome("q", 0.0, 4, 100.0 + number / 5)
        wait_s = self.guards.expected_wait_s("q", 3, 50.0, 104.0)
        self.assertTrue(0.5 < wait_s < 0.75, wait_s)
        self.assertEqual(0.0, self.guards.expected_wait_s("q", 0, 50.0, 104.0))

    def test_few_arrivals_are_not_taken_for_a_low_rate(self):
        """Guards against refusals while executors are free."""
        self.crash_twice(now=100.0)
        for number in range(20):
            self.guards.add_outcome("q", 0.0, 0, 100.0 + number / 5)
        wait_s = self.guards.expected_wait_s("q", 1, 50.0, 104.0)
        self.assertAlmostEqual(0.02, wait_s)

    def test_starts_that_no_upstream_confirmed_do_not_guard_their_queue(self):
        """Guards against refusals of a queue after upstreams crashed from outside."""
        self.crash_twice(now=100.0, started=())
        self.assertFalse(self.guards.is_guarded("q", 100.0))

    def crash_under(self, now, *job_ids, started=True):
        """Has one upstream crash under each of some jobs, beside one of queue `o`."""
        for number, job_id in enumerate(job_ids):
            task, bystander = f"{job_id}.0.0.0", f"{number}.0.0.0"
            jobs = (
                CrashedJob("q", (task,), 100.0, (task,) if started else ()),
                CrashedJob("o", (bystander,), 1.0, (bystander,)),
            )
            at = now + number
            crash = Crash(f"u{number}", "dispatch", at, jobs)
            self.records.add(crash, at)
            self.guards.on_crash(crash, self.records, at)

    def test_crashes_under_different_jobs_guard_their_queue(self):
        """Guards against a queue that is recognised a lease after its first crash."""
        self.crash_under(100.0, "a", "b")
        self.assertTrue(self.guards.is_guarded("q", 101.0))
        self.assertFalse(self.guards.is_guarded("o", 101.0))

    def test_one_crash_guards_no_queue(self):
        """Guards against a queue that is held back for one crash from outside."""
        self.crash_under(100.0, "a")
        self.assertTrue(self.records.is_likely("a"))
        self.assertFalse(self.guards.is_guarded("q", 100.0))

    def test_unconfirmed_starts_of_different_jobs_do_not_guard_their_queue(self):
        """Guards against refusals of a queue after upstreams crashed from outside."""
        self.crash_under(100.0, "a", "b", "c", started=False)
        self.assertTrue(self.records.is_likely("c"))
        self.assertFalse(self.guards.is_guarded("q", 102.0))

    def test_guard_of_different_jobs_ends_with_their_suspicions(self):
        """Guards against a queue that is held back although its upstreams reply."""
        self.crash_under(100.0, "a", "b")
        crash = self.records.find("u1")
        self.records.withdraw(Withdrawal("u1", 1, 101.0), 101.0)
        self.guards.on_withdrawn(crash, self.records, 101.0)
        self.assertFalse(self.guards.is_guarded("q", 101.0))

    def test_queue_without_executors_waits_until_they_return(self):
        """Guards against a job that is accepted although no executor can run it."""
        self.crash_twice(now=100.0)
        self.assertEqual(math.inf, self.guards.expected_wait_s("q", 1, 0.0, 100.0))

    def test_queue_without_a_guard_does_not_wait(self):
        """Guards against refusals of a queue about which nothing is known."""
        self.assertEqual(0.0, self.guards.expected_wait_s("q", 9, 50.0, 100.0))
        self.crash_twice(now=100.0)
        self.assertEqual(0.0, self.guards.expected_wait_s("other", 9, 50.0, 105.0))
        self.assertEqual(0.0, self.guards.expected_wait_s("q", 9, 50.0, 111.0))

    def test_queue_is_open_again_when_its_upstreams_are_back(self):
        """Guards against refusals for seconds after the last crash was over."""
        self.crash_twice(now=100.0)
        self.assertTrue(self.guards.is_guarded("q", 104.0))
        self.assertFalse(self.guards.is_guarded("q", 106.0))

    def test_jobs_without_a_bystander_may_run_beside_each_other(self):
        """Guards against a queue that is served one job at a time for rare crashes."""
        self.crash_twice(now=100.0)
        limit = self.guards.limit("q", 100.0)
        for number in range(100):
            self.guards.add_outcome("q", 0.0, 0, 100.0 + number / 20)
        self.assertEqual(1, limit)
        self.assertGreater(self.guards.limit("q", 104.96), 3)
