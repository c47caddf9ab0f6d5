"""
tests.test_job_scheduler
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs at the entry that took them: placement, retries, lost executors, outcomes.
"""

from dataclasses import replace

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Phase, Resources
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request


class JobSchedulerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.out = set()
        self.scheduler = JobScheduler(self.out.__contains__)
        self.links = []

    def executor(self, name="r1", cores=4, incarnation=1, domain="a"):
        link = FakeLink(name, "runner", incarnation, domain)
        self.links.append(link)
        self.scheduler.on_link_up(link, clock.now())
        self.scheduler.on_message(link, ttypes.RunningTasks([]), clock.now())
        self.scheduler.on_message(link, capacity_report(cores=cores), clock.now())
        return link

    def submit(self, queue=None, **options):
        job = self.scheduler.submit(
            job_request(**options), queue or job_queue(), clock.now()
        )
        gevent.sleep(0.01)
        return job

    def end(self, link, start, outcome, service_us=100_000, slow=None):
        message = ttypes.EndBatch(
            [ttypes.TaskEnd(start.task, start.run, outcome, service_us)], None
        )
        self.scheduler.on_message(link, message, clock.now())
        gevent.sleep(0.01)

    def test_job_completes_when_every_task_is_done(self):
        """Guards against an answer before all tasks have ended."""
        link = self.executor()
        job = self.submit(tasks=2)
        first, second = link.starts()
        self.end(link, first, "done")
        self.assertIsNone(job.outcome)
        self.end(link, second, "done")
        self.assertEqual("completed", job.outcome.kind)

    def test_later_phase_waits_for_the_earlier(self):
        """Guards against a start before the phases it depends on are done."""
        link = self.executor()
        request = job_request()
        phases = (request.phases[0], Phase(1, Resources(1000, 64, 0), 0.1, (0,)))
        request = type(request)(request.job_id, "r", "100", phases, request.timeout_s)
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))
        self.end(link, link.starts()[0], "done")
        self.assertEqual("0123456789abcdef.0.1.0", link.starts()[1].task)

    def test_no_more_is_sent_than_there_is_room(self):
        """Guards against starts that the executor has to refuse."""
        link = self.executor(cores=2)
        self.submit(tasks=5)
        self.assertEqual(2, len(link.starts()))

    def test_limit_for_each_upstream_counts_tasks_out_of_reach(self):
        """Guards against more tasks of a phase on an upstream than it allows."""
        link = self.executor()
        request = job_request()
        phase = replace(request.phases[0], count=3, max_per_upstream=1)
        request = replace(request, phases=(phase,))
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))
        self.scheduler.on_link_down(link, clock.now())
        again = FakeLink("r1", "runner")
        self.scheduler.on_link_up(again, clock.now())
        self.scheduler.on_message(again, capacity_report(), clock.now())
        gevent.sleep(0.05)
        self.assertEqual([], again.starts())

    def test_refused_start_is_sent_again(self):
        """Guards against a task that is forgotten after a refusal."""
        link = self.executor()
        self.submit()
        self.end(link, link.starts()[0], "not_run:busy")
        self.assertEqual([1, 2], [start.run for start in link.starts()])

    def test_stale_end_of_an_earlier_run_is_ignored(self):
        """Guards against a run that counts as ended by its predecessor's end."""
        link = self.executor()
        job = self.submit()
        first = link.starts()[0]
        self.end(link, first, "not_run:busy")
        self.end(link, first, "done")
        self.assertIsNone(job.outcome)

    def test_job_fails_after_its_attempts(self):
        """Guards against jobs that can never be done and are retried for good."""
        links = [self.executor(name) for name in ("r1", "r2", "r3")]
        job = self.submit()
        for _ in range(2):
            link = next(link for link in links if link.starts())
            start = link.starts()[-1]
            link.sent.clear()
            self.end(link, start, "failed")
        self.assertEqual("failed", job.outcome.kind)

    def test_retry_goes_to_another_executor(self):
        """Guards against a bad executor that uses up a job's attempts."""
        links = [self.executor(name) for name in ("r1", "r2")]
        self.submit()
        first = next(link for link in links if link.starts())
        self.end(first, first.starts()[0], "failed")
        other = next(link for link in links if link is not first)
        self.assertEqual(1, len(other.starts()))

    def test_tasks_of_a_lost_executor_wait_for_the_end_of_its_lease(self):
        """Guards against a second run while the first may still go on."""
        link = self.executor()
        self.submit(timeout_s=5.0, expected_s=1.0)
        self.scheduler.on_link_down(link, clock.now())
        other = self.executor("r2")
        gevent.sleep(0.9)
        self.assertEqual([], other.starts())
        gevent.sleep(0.3)
        self.assertEqual(1, len(other.starts()))

    def test_executor_that_returns_settles_its_tasks(self):
        """Guards against waiting for a lease when the executor can tell."""
        link = self.executor()
        job = self.submit(tasks=2)
        kept, gone = link.starts()
        self.scheduler.on_link_down(link, clock.now())
        again = FakeLink("r1", "runner")
        self.scheduler.on_link_up(again, clock.now())
        self.scheduler.on_message(again, ttypes.RunningTasks([kept.task]), clock.now())
        self.scheduler.on_message(again, capacity_report(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual([gone.task], [start.task for start in again.starts()])
        self.end(again, kept, "done")
        self.end(again, again.starts()[0], "done")
        self.assertEqual("completed", job.outcome.kind)

    def test_job_whose_caller_left_is_stopped(self):
        """Guards against work for a caller that is gone or has sent it elsewhere."""
        link = self.executor()
        job = self.submit()
        self.scheduler.end(job, "unknown", "the caller left", clock.now())
        stops = link.of_type(ttypes.StopBatch)
        self.assertEqual([[link.starts()[0].task]], [stop.tasks for stop in stops])

    def test_domain_out_gets_nothing(self):
        """Guards against starts in a failure domain that was taken out."""
        self.out.add("a")
        link, other = self.executor(), self.executor("r2", domain="b")
        self.submit(tasks=4)
        self.assertEqual([], link.starts())
        self.assertEqual(4, len(other.starts()))

    def test_unstarted_job_without_room_is_refused_as_not_run(self):
        """Guards against callers that wait for a job that never starts."""
        job = self.submit(timeout_s=0.3)
        job.finished.wait(1.0)
        self.assertEqual("not_run", job.outcome.kind)
        self.assertGreater(job.outcome.retry_after_s, 0)

    def test_started_job_is_not_said_to_be_unrun(self):
        """Guards against a refusal that is not true."""
        self.executor()
        job = self.submit(timeout_s=0.1)
        job.finished.wait(1.0)
        self.assertEqual("unknown", job.outcome.kind)

    def test_same_identifier_joins_the_job(self):
        """Guards against a second run when a request arrives twice."""
        link = self.executor()
        self.assertIs(self.submit(), self.submit())
        self.assertEqual(1, len(link.starts()))

    def first_start(self):
        """Returns the job whose task gets the only core, once there is one."""
        link = self.executor(cores=1)
        gevent.sleep(0.01)
        return link.starts()[0].task.split(".")[0]

    def test_more_urgent_queue_gets_room_first(self):
        """Guards against an urgent job that waits behind one that is not."""
        self.submit(job_queue(name="later", priority=2), job_id="a" * 16)
        self.submit(job_queue(name="first", priority=0), job_id="b" * 16)
        self.assertEqual("b" * 16, self.first_start())

    def test_caller_that_waited_before_comes_after_those_on_time(self):
        """Guards against late answers that make others late."""
        # Less than three times the objective of 0.22 s is left.
        self.submit(job_id="a" * 16, timeout_s=0.5)
        self.submit(job_id="b" * 16)
        self.assertEqual("b" * 16, self.first_start())

    def test_job_goes_on_while_one_of_its_callers_waits(self):
        """Guards against a caller whose earlier, broken connection ends its job."""
        self.executor()
        job = self.submit()
        self.submit()
        self.scheduler.remove_caller(job, clock.now())
        self.assertIsNone(job.outcome)
        self.scheduler.remove_caller(job, clock.now())
        self.assertEqual("unknown", job.outcome.kind)

    def test_run_that_stands_still_moves(self):
        """Guards against jobs that wait for an executor that makes no progress."""
        link = self.executor()
        self.submit()
        other = self.executor("r2")
        start = link.starts()[0]
        slow = ttypes.SlowRun(start.task, 20_000, 200)
        self.scheduler.on_message(link, ttypes.EndBatch([], None, [slow]), clock.now())
        self.assertEqual([start.task], link.of_type(ttypes.StopBatch)[0].tasks)
        self.end(link, start, "stopped")
        self.assertEqual([start.task], [start.task for start in other.starts()])

    def test_messages_cost_no_round_while_no_job_waits(self):
        """Guards against looking at every executor for each message."""
        rounds = []
        begin_round = self.scheduler._placement.begin_round
        link = self.executor(cores=2)
        self.submit(tasks=2)
        self.patch(
            self.scheduler._placement,
            "begin_round",
            lambda *args: rounds.append(args) or begin_round(*args),
        )
        for _ in range(200):
            self.scheduler.on_message(
                link, capacity_report(cores=2, free=0), clock.now()
            )
            gevent.sleep(0)
        # Those of the timer only.
        self.assertLess(len(rounds), 10)

    def test_round_without_room_looks_at_each_executor_once(self):
        """Guards against rounds that cost waiting jobs times executors."""
        looks = []
        covers = Resources.covers
        for number in range(10):
            self.executor(f"r{number}", cores=1)
        self.patch(
            Resources, "covers", lambda *args: looks.append(args) or covers(*args)
        )
        for number in range(50):
            self.scheduler.submit(
                job_request(job_id=f"{number:016x}"), job_queue(), clock.now()
            )
        gevent.sleep(0.01)
        started = sum(len(link.starts()) for link in self.links)
        self.assertEqual(10, started)
        # Ten jobs look at what is left, one finds it full, the others know.
        self.assertLessEqual(len(looks), 130)

    def test_job_that_outlasts_the_process_is_given_up_at_once(self):
        """Guards against callers that wait for the end of an entry in vain."""
        link = self.executor()
        short = self.submit(job_id="a" * 16, expected_s=0.2)
        long = self.submit(job_id="b" * 16, expected_s=5.0, timeout_s=20.0)
        self.scheduler.close_at(clock.now() + 2.0)
        late = self.submit(job_id="c" * 16, expected_s=4.0, timeout_s=20.0)
        self.assertEqual(
            ("not_run", "closing"), (late.outcome.kind, late.outcome.reason)
        )
        gevent.sleep(0.05)
        self.assertEqual("closing", long.outcome.reason)
        self.assertEqual(["b" * 16 + ".0.0.0"], link.of_type(ttypes.StopBatch)[0].tasks)
        self.assertIsNone(short.outcome)

    def test_job_that_has_nearly_ended_is_not_given_up(self):
        """Guards against work that is thrown away just before its end."""
        self.executor()
        job = self.submit(expected_s=1.0, timeout_s=20.0)
        gevent.sleep(0.3)
        # About 0.7 s are left of a time that is itself an estimate.
        self.scheduler.close_at(clock.now() + 0.6)
        gevent.sleep(0.05)
        self.assertIsNone(job.outcome)

    def test_task_runs_only_at_its_service_and_label(self):
        """Guards against a start on an upstream that the queue does not lead to."""
        other = FakeLink("r1", "runner")
        other.peer.service_name = "another"
        self.scheduler.on_link_up(other, clock.now())
        self.scheduler.on_message(other, capacity_report(), clock.now())
        unlabelled = self.executor("r2")
        labelled = self.executor("r3")
        report = capacity_report(cores=1)
        report.room.labels = ["b"]
        self.scheduler.on_message(labelled, report, clock.now())
        request = job_request()
        phase = replace(request.phases[0], count=3, label="b")
        request = replace(request, phases=(phase,))
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.05)
        # The other two tasks wait, although there is room elsewhere.
        self.assertEqual([], other.starts() + unlabelled.starts())
        self.assertEqual(1, len(labelled.starts()))

    def test_executor_whose_runs_fail_gets_few(self):
        """Guards against an upstream that fails at once and so takes most tasks.

        Its health answers may say that it is well.
        """
        links = [self.executor(name, cores=8) for name in ("r1", "r2", "r3")]
        for number in range(60):
            job = self.submit(job_queue(attempts=4), job_id=f"{number:016x}")
            while job.outcome is None:
                start, link = max(
                    ((start, link) for link in links for start in link.starts()),
                    key=lambda pair: (pair[0].task, pair[0].run),
                )
                self.end(link, start, "failed" if link is links[0] else "done")
                self.scheduler.on_message(
                    link, capacity_report(999, cores=8), clock.now()
                )
            self.assertEqual("completed", job.outcome.kind)
        # Five failures show the fault; each probe may fail one more.
        self.assertLessEqual(len(links[0].starts()), 10)
