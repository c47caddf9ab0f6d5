"""
tests.test_job_scheduler
~~~~~~~~~~~~~~~~~~~~~~~~

Jobs at the entry that accepted them: placement, retries, lost executors, outcomes.
"""

from dataclasses import replace

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.coordination.job_scheduler import JobScheduler
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Phase, Resources
from papayaward.state.crashes import Crash, CrashedJob
from tests.leased_case import FakeLink, capacity_report, job_queue, job_request

# Probability density of a crash just after the start of a short task, for each second.
EARLY_CRASH = 10.0


class JobSchedulerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.domains_out = set()
        self.crashes = CrashRelay()
        self.scheduler = JobScheduler(self.domains_out.__contains__, self.crashes)
        self.links = []

    def executor(self, name="r1", cores=4, incarnation=1, domain="a", linked_s=0.0):
        link = FakeLink(name, "runner", incarnation, domain)
        self.links.append(link)
        self.scheduler.on_link_up(link, clock.now() - linked_s)
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

    def test_job_behind_others_of_a_guarded_queue_is_refused_at_once(self):
        """Guards against a job that waits until it is too late and is refused then."""
        self.executor()
        for number in range(2):
            jobs = (CrashedJob("q", ("c.0.0.0",), EARLY_CRASH, ("c.0.0.0",)),)
            crash = Crash(f"u{number}", "dispatch", clock.now(), jobs)
            self.crashes.publish(crash, clock.now())
        gevent.sleep(1.1)
        jobs = [
            self.submit(job_id=name * 16, expected_s=1.0, timeout_s=9.0)
            for name in "abc"
        ]
        self.assertEqual([True, False, False], [job.started for job in jobs])
        self.assertIsNone(jobs[1].outcome)
        outcome = jobs[2].outcome
        self.assertEqual(("not_run", "overload"), (outcome.kind, outcome.reason))
        self.assertGreaterEqual(outcome.retry_after_s, 1.0)

    def test_job_whose_starts_were_all_refused_has_not_run(self):
        """Guards against a job without a run that is held to its deadline."""
        link = self.executor()
        job = self.submit(tasks=2)
        self.scheduler.on_message(link, capacity_report(free=0), clock.now())
        for start in link.starts():
            self.end(link, start, "not_run:busy")
        self.assertEqual(1, self.scheduler.pending("q"))
        self.assertTrue(job.finished.wait(1.0))
        self.assertEqual(
            ("not_run", "overload"), (job.outcome.kind, job.outcome.reason)
        )

    def test_job_may_have_run_if_one_start_was_not_refused(self):
        """Guards against a refusal of a job although a task of it has run."""
        for outcome in ("failed", "lost", "stopped"):
            link = self.executor(f"r-{outcome}")
            job = self.submit(job_id=f"{outcome:>16}", tasks=2, timeout_s=0.4)
            first, second = link.starts()
            report = capacity_report(free=0, accepting=False)
            self.scheduler.on_message(link, report, clock.now())
            self.end(link, first, outcome)
            self.end(link, second, "not_run:busy")
            self.assertTrue(job.finished.wait(2.0))
            self.assertEqual("unknown", job.outcome.kind)

    def test_shrunk_executor_gets_tasks_again_only_when_it_has_room(self):
        """Guards against starts while the free capacity of an executor is negative."""
        link = self.executor(cores=4)
        self.scheduler.on_message(link, capacity_report(cores=2, free=-2), clock.now())
        job = self.submit(queue=job_queue(slack_s=5.0), timeout_s=9.0)
        self.assertEqual([], link.starts())
        self.assertIsNone(job.outcome)
        self.scheduler.on_message(link, capacity_report(cores=4, free=1), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))

    def test_large_task_starts_beside_as_many_small_ones_as_would_fit_of_its_size(self):
        """Guards against a task that waits although an executor has room for it."""
        link = self.executor(cores=16)
        self.submit(tasks=4)
        phase = Phase(1, Resources(4000, 64, 0), 0.1)
        request = replace(job_request(job_id="f" * 16), phases=(phase,))
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual("f" * 16 + ".0.0.0", link.starts()[-1].task)

    def test_job_completes_when_every_task_is_done(self):
        """Guards against completion of a job before all its tasks are done."""
        link = self.executor()
        job = self.submit(tasks=2)
        first, second = link.starts()
        self.end(link, first, "done")
        self.assertIsNone(job.outcome)
        self.end(link, second, "done")
        self.assertEqual("completed", job.outcome.kind)

    def test_runs_of_other_entries_show_a_slow_executor(self):
        """Guards against late jobs because an entry has few runs on each executor.

        Four of sixteen executors take 1.8 times the declared time; this entry has not
        used them yet when a burst of jobs comes.
        """
        links = [self.executor(f"r{i}", cores=16) for i in range(16)]
        for _ in range(5):
            for number, link in enumerate(links):
                ratio = 1.8 if number < 4 else 0.85
                report = capacity_report(cores=16, peer_runs=4, peer_ratio=ratio)
                self.scheduler.on_message(link, report, clock.now())
        for number in range(20):
            self.submit(job_id=f"{number:016x}", tasks=8)
        slow = sum(len(link.starts()) for link in links[:4])
        self.assertEqual(0, slow)
        self.assertEqual(160, sum(len(link.starts()) for link in links[4:]))

    def test_job_that_can_never_be_served_is_refused_at_once(self):
        """Guards against callers that wait although the answer is known."""
        self.executor(cores=4, linked_s=3.0)
        long = self.submit(timeout_s=1.0, expected_s=2.0)
        self.assertEqual(
            ("not_run", "too_long"), (long.outcome.kind, long.outcome.reason)
        )
        request = job_request(job_id="f" * 16)
        phases = (replace(request.phases[0], need=Resources(5000, 64, 0)),)
        large = self.scheduler.submit(
            replace(request, phases=phases), job_queue(), clock.now()
        )
        self.assertEqual(
            ("not_run", "too_large"), (large.outcome.kind, large.outcome.reason)
        )
        labelled = (replace(request.phases[0], label="z"),)
        other = self.scheduler.submit(
            replace(request, job_id="e" * 16, phases=labelled), job_queue(), clock.now()
        )
        self.assertEqual("too_large", other.outcome.reason)

    def test_job_is_not_refused_for_an_estimate_that_may_be_too_high(self):
        """Guards against refusing work that a full fleet of usual speed can do."""
        self.executor(cores=4)
        self.assertIsNone(self.submit(timeout_s=1.0, expected_s=1.3).outcome)

    def test_job_waits_for_executors_that_have_not_reported(self):
        """Guards against refusals while the executors of a new entry connect."""
        self.assertIsNone(self.submit().outcome)
        self.executor(cores=1)
        request = job_request(job_id="f" * 16)
        phases = (replace(request.phases[0], need=Resources(5000, 64, 0)),)
        large = replace(request, phases=phases)
        job = self.scheduler.submit(large, job_queue(), clock.now())
        self.assertIsNone(job.outcome)

    def test_tasks_of_a_job_share_messages(self):
        """Guards against a specification that is sent once for each task."""
        links = [self.executor(f"r{i}", cores=16) for i in range(16)]
        self.submit(tasks=8)
        groups = [
            group
            for link in links
            for batch in link.of_type(ttypes.StartBatch)
            for group in batch.groups
        ]
        self.assertEqual([4, 4], [len(group.starts) for group in groups])

    def test_later_phase_waits_for_the_earlier(self):
        """Guards against a task start before the phases it depends on are done."""
        link = self.executor()
        request = job_request()
        phases = (request.phases[0], Phase(1, Resources(1000, 64, 0), 0.1, (0,)))
        request = type(request)(request.job_id, "r", "100", phases, request.timeout_s)
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))
        self.end(link, link.starts()[0], "done")
        self.assertEqual("0123456789abcdef.0.1.0", link.starts()[1].task)

    def test_starts_do_not_exceed_free_capacity(self):
        """Guards against starts that the executor has to refuse."""
        link = self.executor(cores=2)
        self.submit(tasks=5)
        self.assertEqual(2, len(link.starts()))

    def test_limit_per_upstream_includes_unreachable_tasks(self):
        """Guards against exceeding `max_per_upstream` after an executor reconnects.

        Until it lists its runs, tasks that it was sent before may still be running.
        """
        link = self.executor()
        request = job_request()
        phase = replace(request.phases[0], count=3, max_per_upstream=1)
        request = replace(request, phases=(phase,))
        self.scheduler.submit(request, job_queue(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual(1, len(link.starts()))
        self.scheduler.on_link_down(link, clock.now())
        reconnected = FakeLink("r1", "runner")
        self.scheduler.on_link_up(reconnected, clock.now())
        self.scheduler.on_message(reconnected, capacity_report(), clock.now())
        gevent.sleep(0.05)
        self.assertEqual([], reconnected.starts())

    def test_refused_start_is_sent_again(self):
        """Guards against a task that is lost when an executor refuses it."""
        link = self.executor()
        self.submit()
        self.end(link, link.starts()[0], "not_run:busy")
        self.assertEqual([1, 2], [start.run for start in link.starts()])

    def test_start_refused_because_of_crashes_ends_the_job_as_unknown(self):
        """Guards against a failure that is stated without the crashes being known."""
        link = self.executor()
        job = self.submit()
        self.end(link, link.starts()[0], "not_run:crashing")
        self.assertEqual("unknown", job.outcome.kind)
        self.assertEqual(1, len(link.starts()))

    def test_running_job_ends_when_another_process_reports_its_last_crash(self):
        """Guards against a task that runs on although it will crash its upstream."""
        link = self.executor()
        job = self.submit(tasks=2)
        task = link.starts()[0].task
        for number in range(2):
            crashed = CrashedJob("q", (task,), EARLY_CRASH, (task,))
            crash = Crash(f"u{number}", "dispatch", clock.now(), (crashed,), 0.0, True)
            self.crashes.publish(crash, clock.now())
        self.assertEqual("failed", job.outcome.kind)
        stopped = [name for b in link.of_type(ttypes.StopBatch) for name in b.tasks]
        self.assertEqual({start.task for start in link.starts()}, set(stopped))

    def test_suspect_uses_one_executor_at_a_time(self):
        """Guards against a second start of a job that crashes several upstreams."""
        links = [self.executor(f"r{i}") for i in range(4)]
        crashed = CrashedJob("q", ("0123456789abcdef.0.0.0",), EARLY_CRASH)
        crash = Crash("u", "dispatch", clock.now(), (crashed,))
        self.crashes.publish(crash, clock.now())
        self.submit(tasks=8, expected_s=1.0)
        self.assertEqual([0, 0, 0, 4], sorted(len(link.starts()) for link in links))

    def test_stale_end_of_an_earlier_run_is_ignored(self):
        """Guards against ending a run because of a late report on an earlier run."""
        link = self.executor()
        job = self.submit()
        first = link.starts()[0]
        self.end(link, first, "not_run:busy")
        self.end(link, first, "done")
        self.assertIsNone(job.outcome)

    def test_job_fails_after_its_attempts(self):
        """Guards against endless retries of a job whose tasks always fail."""
        links = [self.executor(name) for name in ("r1", "r2", "r3")]
        job = self.submit()
        for _ in range(2):
            link = next(link for link in links if link.starts())
            start = link.starts()[-1]
            link.sent.clear()
            self.end(link, start, "failed")
        self.assertEqual("failed", job.outcome.kind)

    def test_retry_goes_to_another_executor(self):
        """Guards against a faulty executor that uses up all attempts of a job."""
        links = [self.executor(name) for name in ("r1", "r2")]
        self.submit()
        first = next(link for link in links if link.starts())
        self.end(first, first.starts()[0], "failed")
        other = next(link for link in links if link is not first)
        self.assertEqual(1, len(other.starts()))

    def test_tasks_of_a_lost_executor_wait_for_the_end_of_its_lease(self):
        """Guards against a second run while the first may still be active."""
        link = self.executor()
        self.submit(timeout_s=5.0, expected_s=1.0)
        self.scheduler.on_message(link, capacity_report(last_batch=1), clock.now())
        self.scheduler.on_link_down(link, clock.now())
        other = self.executor("r2")
        gevent.sleep(0.9)
        self.assertEqual([], other.starts())
        gevent.sleep(0.3)
        self.assertEqual(1, len(other.starts()))

    def test_reconnected_executor_resolves_its_tasks(self):
        """Guards against waiting for the lease to expire after a reconnection.

        The executor lists its runs; tasks that are not listed can start again at once.
        """
        link = self.executor()
        job = self.submit(tasks=2)
        running, stopped = link.starts()
        self.scheduler.on_link_down(link, clock.now())
        reconnected = FakeLink("r1", "runner")
        self.scheduler.on_link_up(reconnected, clock.now())
        self.scheduler.on_message(
            reconnected, ttypes.RunningTasks([running.task]), clock.now()
        )
        self.scheduler.on_message(reconnected, capacity_report(), clock.now())
        gevent.sleep(0.01)
        self.assertEqual([stopped.task], [start.task for start in reconnected.starts()])
        self.end(reconnected, running, "done")
        self.end(reconnected, reconnected.starts()[0], "done")
        self.assertEqual("completed", job.outcome.kind)

    def test_job_whose_caller_left_is_stopped(self):
        """Guards against runs for a caller that has left or resubmitted elsewhere."""
        link = self.executor()
        job = self.submit()
        self.scheduler.end(job, "unknown", "the caller left", clock.now())
        stops = link.of_type(ttypes.StopBatch)
        self.assertEqual([[link.starts()[0].task]], [stop.tasks for stop in stops])

    def test_domain_out_of_service_gets_no_tasks(self):
        """Guards against starts in a failure domain that is out of service."""
        self.domains_out.add("a")
        link, other = self.executor(), self.executor("r2", domain="b")
        self.submit(tasks=4)
        self.assertEqual([], link.starts())
        self.assertEqual(4, len(other.starts()))

    def test_unstarted_job_without_capacity_is_refused_as_not_run(self):
        """Guards against callers that wait for a job that never starts."""
        job = self.submit(timeout_s=0.3)
        job.finished.wait(1.0)
        self.assertEqual("not_run", job.outcome.kind)
        self.assertGreater(job.outcome.retry_after_s, 0)

    def test_started_job_is_not_reported_as_not_run(self):
        """Guards against `not_run` for a job that has started."""
        self.executor()
        job = self.submit(timeout_s=0.1)
        job.finished.wait(1.0)
        self.assertEqual("unknown", job.outcome.kind)

    def test_same_identifier_joins_the_job(self):
        """Guards against a second run when a request is submitted twice."""
        link = self.executor()
        self.assertIs(self.submit(), self.submit())
        self.assertEqual(1, len(link.starts()))

    def first_start(self):
        """Adds an executor with one core; returns the job whose task starts there."""
        link = self.executor(cores=1)
        gevent.sleep(0.01)
        return link.starts()[0].task.split(".")[0]

    def test_more_urgent_queue_gets_capacity_first(self):
        """Guards against an urgent job that waits behind a less urgent one."""
        self.submit(job_queue(name="later", priority=2), job_id="a" * 16)
        self.submit(job_queue(name="first", priority=0), job_id="b" * 16)
        self.assertEqual("b" * 16, self.first_start())

    def test_late_job_is_placed_after_jobs_on_time(self):
        """Guards against late jobs that make others miss their objective."""
        # The remaining time is less than three times the objective of 1.66 s, which
        # shows that the caller has already waited elsewhere.
        self.submit(job_id="a" * 16, timeout_s=3.5, expected_s=1.0)
        self.submit(job_id="b" * 16, timeout_s=6.0, expected_s=1.0)
        self.assertEqual("b" * 16, self.first_start())

    def test_job_goes_on_while_one_of_its_callers_waits(self):
        """Guards against ending a job when only one of its callers disconnects.

        The earlier connection of a caller may break after it has resubmitted.
        """
        self.executor()
        job = self.submit()
        self.submit()
        self.scheduler.remove_caller(job, clock.now())
        self.assertIsNone(job.outcome)
        self.scheduler.remove_caller(job, clock.now())
        self.assertEqual("unknown", job.outcome.kind)

    def test_stalled_run_is_moved(self):
        """Guards against jobs that wait for a run that makes no progress."""
        link = self.executor()
        self.submit()
        other = self.executor("r2")
        start = link.starts()[0]
        slow = ttypes.SlowRun(start.task, 20_000, 200)
        self.scheduler.on_message(link, ttypes.EndBatch([], None, [slow]), clock.now())
        self.assertEqual([start.task], link.of_type(ttypes.StopBatch)[0].tasks)
        self.end(link, start, "stopped")
        self.assertEqual([start.task], [start.task for start in other.starts()])

    def test_stalled_run_is_not_moved_while_a_request_to_start_it_is_unsettled(self):
        """Guards against a late start beside the run that has taken its place."""
        link = self.executor()
        self.submit()
        self.executor("r2")
        start = link.starts()[0]
        slow = [ttypes.SlowRun(start.task, 20_000, 200)]
        for unsettled in ([start.task], None):
            self.assertEqual([], link.of_type(ttypes.StopBatch))
            report = capacity_report(last_batch=1, free=3)
            report.room.unsettled, report.slow = unsettled, slow
            self.scheduler.on_message(link, report, clock.now())
        self.assertEqual([start.task], link.of_type(ttypes.StopBatch)[0].tasks)

    def test_slow_run_of_a_task_that_was_in_two_crashes_is_not_moved(self):
        """Guards against two further starts of a task after its third crash.

        The third one is that of a lifetime that no executor has known.
        """
        task = "0123456789abcdef.0.0.0"
        for number in range(2):
            jobs = (
                CrashedJob("q", (task,), 0.01),
                CrashedJob("q", (f"b{number}.0.0.0",), 9.0),
            )
            crash = Crash(f"i-{number}@1", "dispatch", clock.now() + number, jobs)
            self.crashes.publish(crash, clock.now() + number)
        link = self.executor()
        self.submit()
        self.executor("r2")
        slow = [ttypes.SlowRun(link.starts()[0].task, 20_000, 200)]
        self.assertEqual(task, link.starts()[0].task)
        self.scheduler.on_message(link, ttypes.EndBatch([], None, slow), clock.now())
        self.assertEqual([], link.of_type(ttypes.StopBatch))

    def test_run_that_is_reported_again_before_it_has_stopped_moves_once(self):
        """Guards against two reports of a slow run that use up both of its moves.

        An entry that was paused handles several reports at once.
        """
        link = self.executor()
        self.submit()
        other = self.executor("r2")
        start = link.starts()[0]
        slow = ttypes.EndBatch([], None, [ttypes.SlowRun(start.task, 20_000, 200)])
        for _ in range(2):
            self.scheduler.on_message(link, slow, clock.now())
        self.assertEqual(1, len(link.of_type(ttypes.StopBatch)))
        self.end(link, start, "stopped")
        self.executor("r3")
        self.scheduler.on_message(other, slow, clock.now())
        self.assertEqual(1, len(other.of_type(ttypes.StopBatch)))

    def test_stop_of_a_slow_run_that_was_lost_with_the_link_is_repeated(self):
        """Guards against a slow run that stays where it is after a lost stop."""
        link = self.executor()
        self.submit()
        self.executor("r2")
        start = link.starts()[0]
        slow = ttypes.EndBatch([], None, [ttypes.SlowRun(start.task, 20_000, 200)])
        self.scheduler.on_message(link, slow, clock.now())
        self.scheduler.on_link_down(link, clock.now())
        newer = FakeLink("r1", "runner")
        self.scheduler.on_link_up(newer, clock.now())
        running = ttypes.RunningTasks([start.task])
        for message in (running, capacity_report(), slow):
            self.scheduler.on_message(newer, message, clock.now())
        self.assertEqual([start.task], newer.of_type(ttypes.StopBatch)[0].tasks)

    def test_messages_trigger_no_placement_round_while_no_job_waits(self):
        """Guards against a check of every executor for each message."""
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
        # Only the timer's rounds remain.
        self.assertLess(len(rounds), 10)

    def test_round_without_capacity_checks_each_executor_once(self):
        """Guards against a round that checks every executor for every waiting job."""
        checks = []
        covers = Resources.covers
        for number in range(10):
            self.executor(f"r{number}", cores=1)
        self.patch(
            Resources, "covers", lambda *args: checks.append(args) or covers(*args)
        )
        for number in range(50):
            self.scheduler.submit(
                job_request(job_id=f"{number:016x}"), job_queue(), clock.now()
            )
        # Whether any executor suits a new job is decided by the first one that does.
        self.assertLessEqual(len(checks), 50)
        checks.clear()
        gevent.sleep(0.01)
        started = sum(len(link.starts()) for link in self.links)
        self.assertEqual(10, started)
        # Ten jobs check all executors, one finds them full, and the others skip them.
        self.assertLessEqual(len(checks), 130)

    def test_job_that_cannot_end_before_shutdown_is_ended_at_once(self):
        """Guards against waiting for a job that a closing entry cannot finish."""
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

    def test_nearly_finished_job_is_not_ended_at_shutdown(self):
        """Guards against discarding a job that may still finish in time."""
        self.executor()
        job = self.submit(expected_s=1.0, timeout_s=20.0)
        gevent.sleep(0.3)
        # About 0.7 s of the expected time remain, and that time is only an estimate.
        self.scheduler.close_at(clock.now() + 0.6)
        gevent.sleep(0.05)
        self.assertIsNone(job.outcome)

    def test_task_runs_only_at_its_service_and_label(self):
        """Guards against a start on an upstream of another service or label."""
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
        # The other two tasks wait, although other executors have free capacity.
        self.assertEqual([], other.starts() + unlabelled.starts())
        self.assertEqual(1, len(labelled.starts()))

    def test_executor_whose_runs_fail_gets_few_tasks(self):
        """Guards against sending most tasks to an upstream that fails them at once.

        Its health checks may still succeed.
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
        # Five failures lead to ejection; each later probe may fail one more task.
        self.assertLessEqual(len(links[0].starts()), 10)
