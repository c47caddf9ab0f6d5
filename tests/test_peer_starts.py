"""
tests.test_peer_starts
~~~~~~~~~~~~~~~~~~~~~~

A job that is submitted again to another entry while a start of its dead entry may
still be executed.
"""

from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.upstream_requests import MAX_LATE_RUN_S
from papayaward.protocol.gen import ttypes
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

_JOB = "0123456789abcdef"
_TASK = _JOB + ".0.0.0"


class PeerStartsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = JobScheduler(lambda domain: False)
        self.now = clock.now()
        self.first = self.connect("r1")
        self.other = self.connect("r2")

    def connect(self, name, incarnation=1, **values):
        link = FakeLink(name, "runner", incarnation)
        self.scheduler.on_link_up(link, self.now)
        self.report(link, **values)
        self.scheduler.on_message(link, ttypes.RunningTasks([]), self.now)
        return link

    def report(self, link, tasks=None, **values):
        """Sends a report that lists tasks of other entries as unsettled."""
        report = capacity_report()
        report.room.unsettled_peer_tasks = tasks
        for name, value in values.items():
            setattr(report.room, name, value)
        self.scheduler.on_message(link, report, self.now)

    def submit(self, job_id=_JOB):
        request = job_request(job_id, timeout_s=60.0)
        self.scheduler.submit(request, job_queue(slack_s=60.0), self.now)

    def starts_after(self, seconds):
        """Returns the number of starts at all executors within some time."""
        self.now += seconds
        self.scheduler.check(self.now)
        self.scheduler.schedule(self.now)
        return len(self.first.starts()) + len(self.other.starts())

    def test_task_waits_while_an_executor_may_run_it_for_another_entry(self):
        """Guards against a second run beside a late start for a dead entry."""
        self.report(self.first, [_TASK])
        self.submit()
        self.assertEqual(0, self.starts_after(1.0))
        self.report(self.first)
        self.assertEqual(1, self.starts_after(0.02))

    def test_job_that_waits_for_such_a_start_is_not_answered_as_not_run(self):
        """Guards against a caller who is told that nothing runs before a late start."""
        self.report(self.first, [_TASK])
        request = job_request(_JOB, timeout_s=1.0)
        job = self.scheduler.submit(request, job_queue(slack_s=60.0), self.now)
        self.assertEqual(0, self.starts_after(1.1))
        self.assertEqual("unknown", job.outcome.kind)

    def test_other_jobs_go_on(self):
        """Guards against an executor that holds up jobs that it does not list."""
        self.report(self.first, [_TASK])
        self.submit("f" * 16)
        self.assertEqual(1, self.starts_after(0.02))

    def test_list_outlasts_the_link(self):
        """Guards against a second run if the executor is lost as well."""
        self.report(self.first, [_TASK])
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        self.assertEqual(0, self.starts_after(MAX_LATE_RUN_S - 0.1))
        self.assertEqual(1, self.starts_after(0.2))

    def take_over_by_the_next_process(self, numbers=(3,), **values):
        starts = [ttypes.LateStart(_TASK, "i-1", 15_000, n, 2, 7) for n in numbers]
        self.report(self.first, [_TASK], unsettled_starts=starts)
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        link = self.connect("r1", incarnation=2, accepting=False)
        self.assertEqual(0, self.starts_after(0.1))
        self.report(link, accepting=False, taken_over=True, **values)
        return link

    def test_take_over_by_the_next_process_settles_the_list(self):
        """Guards against a job that waits although its run was stopped for good."""
        link = self.take_over_by_the_next_process()
        self.assertEqual(0, self.starts_after(0.02))
        self.report(link)
        self.assertEqual(0, self.starts_after(0.02))
        (start,) = link.starts()
        told = start.late_start
        self.assertEqual((_TASK, 1), (start.task, start.run))
        self.assertEqual((3, 2, 7), (told.run, told.requests, told.born_ms))

    def test_task_with_a_request_under_an_unknown_number_waits(self):
        """Guards against requests under two numbers if an old process told none."""
        link = self.take_over_by_the_next_process(numbers=())
        self.report(link)
        self.starts_after(MAX_LATE_RUN_S - 1.0)
        self.assertEqual([], link.starts())
        self.assertEqual(1, self.starts_after(1.0) + len(link.starts()))

    def test_take_over_of_another_instance_forgets_the_list(self):
        """Guards against a job that waits for an upstream that executes nothing."""
        self.take_over_by_the_next_process(upstream="i-2")
        self.assertEqual(1, self.starts_after(0.02))

    def test_same_process_that_is_back_tells_the_present_list(self):
        """Guards against a list that is out of date after a broken link."""
        self.report(self.first, [_TASK])
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        self.connect("r1", accepting=False)
        self.assertEqual(1, self.starts_after(0.02))

    def test_odd_names_hold_nothing_back(self):
        """Guards against a list of another program that stops all jobs."""
        self.report(self.first, ["", ".", "x" * (1 << 20), "\ud800"])
        self.submit()
        self.assertEqual(1, self.starts_after(0.02))
