"""
tests.test_pinned_tasks
~~~~~~~~~~~~~~~~~~~~~~~

Tasks that a later lifetime of an upstream may start by an earlier request.
"""

from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.coordination.upstream_requests import LATE_RENEWALS_S, MAX_LATE_RUN_S
from papayaward.protocol.gen import ttypes
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

_JOB = "0123456789abcdef"
_TASK = _JOB + ".0.0.0"
_OTHER_TASK = _JOB + ".0.0.1"
_REMAINING_S = 10.0


class PinnedTasksTest(TestCase):
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

    def report(
        self,
        link,
        pinned=(),
        ends=(),
        last_batch=0,
        seconds=_REMAINING_S,
        instance="i-1",
        **values,
    ):
        """Sends a report that adds tasks which may start at its executor only."""
        report = capacity_report(last_batch)
        report.ends = list(ends)
        report.room.late_starts = [
            ttypes.LateStart(task, instance, int(seconds * 1000)) for task in pinned
        ]
        for name, value in values.items():
            setattr(report.room, name, value)
        self.scheduler.on_message(link, report, self.now)

    def submit(self, tasks=1, timeout_s=60.0):
        request = job_request(_JOB, tasks, timeout_s)
        return self.scheduler.submit(request, job_queue(slack_s=60.0), self.now)

    def starts_after(self, seconds, link):
        """Returns the tasks that start at an executor within some time."""
        self.now += seconds
        self.scheduler.check(self.now)
        self.scheduler.schedule(self.now)
        return sorted(start.task for start in link.starts())

    def test_job_that_is_submitted_again_starts_at_its_upstream_only(self):
        """Guards against a second run beside a late start for another entry."""
        self.report(self.first, [_TASK], accepting=False)
        self.submit()
        self.assertEqual([], self.starts_after(5.0, self.other))
        self.report(self.first)
        self.assertEqual([], self.starts_after(0.02, self.other))
        self.assertEqual([_TASK], self.starts_after(0.02, self.first))

    def test_pinned_task_does_not_hold_up_the_other_tasks_of_its_job(self):
        """Guards against a job that waits as a whole for one upstream."""
        self.report(self.first, [_TASK], accepting=False)
        self.submit(tasks=2)
        self.assertEqual([_OTHER_TASK], self.starts_after(0.02, self.other))

    def test_task_starts_anywhere_when_the_request_is_not_executed_any_more(self):
        """Guards against a task that waits for a request that nobody executes."""
        self.report(self.first, [_TASK], accepting=False)
        self.submit()
        last_s = _REMAINING_S - 0.1
        self.assertEqual([], self.starts_after(last_s, self.other))
        self.assertEqual([_TASK], self.starts_after(0.2, self.other))

    def test_request_of_a_lost_executor_may_be_executed(self):
        """Guards against a second run if the executor is lost as well."""
        self.report(self.first, [_TASK])
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        last_s = _REMAINING_S - 0.1
        self.assertEqual([], self.starts_after(last_s, self.other))
        self.assertEqual([_TASK], self.starts_after(0.2, self.other))

    def test_latest_request_counts(self):
        """Guards against a pin that a report of an earlier request shortens."""
        self.report(self.first, [_TASK], accepting=False)
        self.report(self.first, [_TASK], accepting=False, seconds=1.0)
        self.submit()
        self.assertEqual([], self.starts_after(2.0, self.other))

    def test_next_process_does_not_release_the_list_of_the_one_before(self):
        """Guards against a lifetime after the one that has been taken over."""
        self.report(self.first, [_TASK])
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        self.connect("r1", 2, accepting=False, taken_over=True)
        self.assertEqual([], self.starts_after(5.0, self.other))

    def test_list_ends_when_another_instance_has_been_taken_over(self):
        """Guards against a task that waits for an upstream that was replaced."""
        self.report(self.first, [_TASK], accepting=False)
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        self.assertEqual([], self.starts_after(0.02, self.other))
        self.connect("r1", 2, accepting=False, taken_over=True, upstream="i-2@5")
        self.assertEqual([_TASK], self.starts_after(0.02, self.other))

    def test_deregistered_upstream_may_return_and_execute_the_start(self):
        """Guards against a list that is dropped as that of another instance."""
        self.report(self.first, [_TASK], accepting=False)
        self.report(self.first, [_TASK], accepting=False, upstream="")
        self.scheduler.on_link_down(self.first, self.now)
        self.submit()
        self.connect("r1", 2, accepting=False, taken_over=True)
        self.assertEqual([], self.starts_after(5.0, self.other))

    def test_list_names_the_instance_of_the_latest_report(self):
        """Guards against a list dropped because the one before had the same names."""
        values = {"accepting": False, "taken_over": True, "upstream": "i-2@5"}
        self.report(self.first, [_TASK], accepting=False)
        self.submit()
        self.report(self.first, [_TASK], instance="i-2", **values)
        self.assertEqual([], self.starts_after(0.02, self.other))
        self.scheduler.on_link_down(self.first, self.now)
        self.connect("r1", 2, **values)
        self.assertEqual([], self.starts_after(5.0, self.other))

    def test_job_with_a_pinned_task_is_not_answered_as_not_run(self):
        """Guards against a caller who is told that nothing runs before a late start."""
        self.report(self.first, [_TASK], accepting=False)
        job = self.submit(timeout_s=1.0)
        self.assertEqual([], self.starts_after(1.1, self.other))
        self.assertEqual("unknown", job.outcome.kind)

    def test_job_with_a_refused_start_that_may_be_late_is_not_answered_as_not_run(self):
        """Guards against the same once the executor lists the task no more.

        Its start may have been executed meanwhile.
        """
        self.report(self.other, accepting=False)
        job = self.submit(timeout_s=30.0)
        self.assertEqual([_TASK], self.starts_after(0.02, self.first))
        refusal = ttypes.TaskEnd(_TASK, 1, "not_run:rejected", 0)
        self.report(self.first, [_TASK], [refusal], last_batch=1, accepting=False)
        self.starts_after(12.0, self.first)
        self.report(self.first, last_batch=1, accepting=False)
        self.starts_after(20.0, self.first)
        self.assertEqual("unknown", job.outcome.kind)

    def test_task_that_two_upstreams_may_start_waits(self):
        """Guards against a start at one of two upstreams beside a late one."""
        self.report(self.first, [_TASK])
        self.report(self.other, [_TASK], seconds=1.0)
        self.submit()
        self.assertEqual([], self.starts_after(0.02, self.first))
        self.assertEqual([], self.starts_after(0.02, self.other))
        self.assertEqual([_TASK], self.starts_after(1.0, self.first))

    def test_refused_start_of_a_pinned_task_is_not_repeated_at_once(self):
        """Guards against an executor that is asked hundreds of times a second."""
        self.report(self.first, [_TASK])
        self.submit()
        self.assertEqual([_TASK], self.starts_after(0.02, self.first))
        refusal = ttypes.TaskEnd(_TASK, 1, "not_run:unhealthy", 0)
        self.report(self.first, [_TASK], [refusal], last_batch=1)
        self.assertEqual([_TASK], self.starts_after(0.02, self.first))
        self.assertEqual([_TASK, _TASK], self.starts_after(0.1, self.first))

    def test_start_under_a_rejected_number_is_repeated_seldom(self):
        """Guards against an executor that is asked at once again and again.

        The upstream rejects the only number that the task may start under.
        """
        self.report(self.first, [_TASK])
        job = self.submit()
        self.assertEqual([_TASK], self.starts_after(0.02, self.first))
        refused = ttypes.TaskEnd(_TASK, 1, "not_run:late_start", 0)
        self.report(self.first, ends=[refused], last_batch=1)
        self.assertEqual([_TASK], self.starts_after(0.18, self.first))
        self.assertEqual([_TASK] * 2, self.starts_after(0.04, self.first))
        self.assertIsNone(job.outcome)

    def test_job_that_an_earlier_request_outlasts_is_answered_at_once(self):
        """Guards against callers that wait in vain, and tasks that run for them."""
        self.report(self.first, [_TASK], seconds=LATE_RENEWALS_S + _REMAINING_S)
        job = self.submit(timeout_s=_REMAINING_S - 1.0)
        self.starts_after(0.02, self.first)
        refused = ttypes.TaskEnd(_TASK, 1, "not_run:late_start", 0)
        self.report(self.first, ends=[refused], last_batch=1)
        self.assertEqual("unknown", job.outcome.kind)
        self.assertEqual("an earlier start may be executed", job.outcome.reason)

    def test_odd_time_pins_for_the_longest_delay_at_most(self):
        """Guards against a task that another program has wait for days."""
        self.report(self.first, [_TASK], accepting=False, seconds=2_000_000.0)
        self.submit()
        last_s = MAX_LATE_RUN_S - 0.1
        self.assertEqual([], self.starts_after(last_s, self.other))
        self.assertEqual([_TASK], self.starts_after(0.2, self.other))

    def test_late_start_without_fields_pins_nothing(self):
        """Guards against a link that breaks on a report of another program."""
        report = capacity_report()
        report.room.late_starts = [ttypes.LateStart()]
        self.scheduler.on_message(self.other, report, self.now)
        job = self.submit()
        self.scheduler.end(job, "not_run", "overload", self.now)
        self.assertEqual("not_run", job.outcome.kind)

    def test_odd_names_pin_nothing(self):
        """Guards against a list of another program that stops all jobs."""
        self.report(self.first, ["", ".", "x" * (1 << 20), "\ud800"], accepting=False)
        self.submit()
        self.assertEqual([_TASK], self.starts_after(0.02, self.other))
