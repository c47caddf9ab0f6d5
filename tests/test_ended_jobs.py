"""
tests.test_ended_jobs
~~~~~~~~~~~~~~~~~~~~~

Runs of jobs that have ended, when the link to their executor breaks before their end.
"""

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol.gen import ttypes
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

# Longer than a run continues after the link to its executor broke.
_LOST_RUN_S = 1.2


class EndedJobTest(TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = JobScheduler(lambda domain: False)

    def connect(self, name="r1", running=()):
        link = FakeLink(name, "runner")
        self.scheduler.on_link_up(link, clock.now())
        running = ttypes.RunningTasks(list(running))
        self.scheduler.on_message(link, running, clock.now())
        report = capacity_report()
        report.room.upstream = "u-" + name
        self.scheduler.on_message(link, report, clock.now())
        gevent.sleep(0.01)
        return link

    def submit(self):
        job = self.scheduler.submit(job_request(), job_queue(slack_s=9.0), clock.now())
        gevent.sleep(0.01)
        return job

    def end_run(self, link, start, outcome="stopped"):
        end = ttypes.TaskEnd(start.task, start.run, outcome, 0)
        self.scheduler.on_message(link, ttypes.EndBatch([end], None), clock.now())
        gevent.sleep(0.01)

    def break_link(self, link):
        """Breaks the link to an executor after its starts were confirmed."""
        report = capacity_report(last_batch=1)
        report.room.upstream = "u-" + link.peer.member
        self.scheduler.on_message(link, report, clock.now())
        self.scheduler.on_link_down(link, clock.now())

    def leave_and_break_link(self):
        """Ends a job with a run, breaks the link, and returns the name of its task."""
        link = self.connect()
        self.scheduler.remove_caller(self.submit(), clock.now())
        self.break_link(link)
        return link.starts()[0].task

    def stopped_tasks(self, link):
        stops = link.of_type(ttypes.StopBatch)
        return [name for batch in stops for name in batch.tasks]

    def test_run_that_a_reconnected_executor_lists_is_stopped_again(self):
        """Guards against a run that goes on after its job was cancelled."""
        task = self.leave_and_break_link()
        link = self.connect(running=[task])
        self.assertEqual([task], self.stopped_tasks(link))

    def test_run_that_a_reconnected_executor_does_not_list_is_not_repeated(self):
        """Guards against a start for a caller that has left."""
        self.leave_and_break_link()
        link = self.connect()
        self.assertEqual([], link.starts())
        self.assertEqual(0, self.scheduler.waiting)

    def test_run_at_a_lost_executor_is_not_repeated(self):
        """Guards against a start for a caller that has left."""
        self.leave_and_break_link()
        link = self.connect("r2")
        self.scheduler.check(clock.now() + _LOST_RUN_S)
        gevent.sleep(0.01)
        self.assertEqual([], link.starts())
        self.assertEqual(0, self.scheduler.waiting)

    def test_job_submitted_again_waits_for_the_runs_of_its_predecessor(self):
        """Guards against two runs at once of a task that was submitted twice."""
        first, second = self.connect("r1"), self.connect("r2")
        self.scheduler.remove_caller(self.submit(), clock.now())
        job = self.submit()
        starts = [(link, s) for link in (first, second) for s in link.starts()]
        self.assertEqual(1, len(starts))
        self.assertFalse(job.started)
        self.end_run(*starts[0])
        gevent.sleep(0.03)
        self.assertTrue(job.started)
        self.assertIsNone(job.outcome)

    def test_job_submitted_again_waits_for_runs_out_of_reach(self):
        """Guards against two runs at once while an executor is out of reach."""
        self.leave_and_break_link()
        link = self.connect("r2")
        job = self.submit()
        self.assertEqual([], link.starts())
        self.scheduler.check(clock.now() + _LOST_RUN_S)
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))
        self.assertTrue(job.started)

    def test_job_that_an_upstream_rejected_may_be_submitted_again(self):
        """Guards against a job that waits for a run that is known to be over."""
        link = self.connect()
        rejected = self.submit()
        self.end_run(link, link.starts()[0], "not_run:invalid")
        self.assertEqual("failed", rejected.outcome.kind)
        self.assertTrue(self.submit().started)

    def test_job_that_was_lost_with_its_upstreams_may_be_submitted_again(self):
        """Guards against a job that waits for a run that is known to be over."""
        job = None
        for number in range(9):
            link = self.connect(f"r{number}")
            job = job or self.submit()
            if job.outcome is not None:
                break
            self.break_link(link)
            self.scheduler.check(clock.now() + _LOST_RUN_S)
        self.assertEqual("unknown", job.outcome.kind)
        self.assertTrue(self.submit().started)
