"""
tests.test_crashing_tasks
~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that crash each upstream that starts them.
"""

import time
from dataclasses import replace
from types import SimpleNamespace

import gevent
from testtools import TestCase

from papayaward import clock
from papayaward.coordination.crashes.crash_relay import CrashRelay
from papayaward.coordination.crashes.lost_upstreams import LostUpstreams
from papayaward.coordination.job_state import Job
from papayaward.protocol.gen import ttypes
from papayaward.state.crash_records import CrashRecords
from papayaward.state.crashes import Crash, CrashedJob
from tests.leased_case import FakeLink, job_queue, start_group
from tests.leased_fleet import LeasedFleet, LocalUpstream, job
from tests.waiting import holds_within

DEADLY = "d" * 16
_SUBMISSIONS = 3


class CrashingTaskTest(TestCase):
    def setUp(self):
        super().setUp()
        self.ended_at = {}

    def fleet(self, **options):
        fleet = LeasedFleet(**options)
        self.addCleanup(fleet.close)
        gevent.sleep(0.1)
        return fleet

    def record_end(self, job):
        job.finished.wait()
        self.ended_at[job] = clock.now()

    def submit(self, entry, request, queue=None):
        return entry.submit(request, queue or job_queue(), clock.now())

    def test_task_that_crashes_upstreams_does_not_take_the_whole_fleet(self):
        """Guards against one task that is started until no upstream is left."""
        fleet = self.fleet(executors=8)
        request = job(DEADLY, "deadly:30:0", tasks=4)
        outcome = self.submit(fleet.entries[0], request)
        self.assertTrue(outcome.finished.wait(2.0))
        self.assertEqual("failed", outcome.outcome.kind)
        self.assertEqual(2, fleet.crashes)
        self.assertEqual(2, fleet.starts(DEADLY + ".0.0.0"))

    def test_queue_whose_tasks_crash_upstreams_leaves_executors_to_the_others(self):
        """Guards against one queue's tasks that keep all upstreams down."""
        fleet = self.fleet(entries=2, executors=8, restart_s=3.0)
        deadly_queue, other_queue = job_queue(name="deadly"), job_queue(name="other")
        others, deadly = [], []
        for number in range(60):
            entry = fleet.entries[number % 2]
            other = job(f"{number:016x}", "40", tasks=2, expected_s=0.04)
            others.append(self.submit(entry, other, other_queue))
            gevent.spawn(self.record_end, others[-1])
            if number % 3 == 0:
                task = job(f"dead{number:012x}", "deadly:20:0", tasks=3)
                deadly.append(self.submit(entry, task, deadly_queue))
            gevent.sleep(0.05)
        gevent.sleep(1.0)
        in_time = [
            one
            for one in others
            if _kind(one) == "completed" and self.ended_at[one] - one.arrived_at < 0.5
        ]
        # All but the bystanders of the crashes before the queue is guarded.
        self.assertGreaterEqual(len(in_time), 57)
        starts = [fleet.starts(one.request.job_id + ".0.0.0") for one in deadly]
        self.assertLessEqual(max(starts), 3)
        self.assertNotIn("completed", [_kind(one) for one in deadly])

    def test_resubmitted_job_that_crashed_upstreams_fails_at_another_entry(self):
        """Guards against a count of crashes that begins anew at each entry."""
        fleet = self.fleet(entries=2, executors=8)
        # Without an end in sight for the job, whatever the machine does meanwhile.
        request = job(DEADLY, "deadly:30:0", expected_s=60.0, timeout_s=600.0)
        for _ in range(_SUBMISSIONS):
            first = self.submit(fleet.entries[0], request)
            self.wait_for(lambda: first.outcome)
            # Unless this process was stopped at a crash, which then has no witness.
            if first.outcome.kind == "failed":
                break
        crashes = fleet.crashes
        late_entry = fleet.add_entry()
        relays = fleet.relays[1:]
        self.wait_for(
            lambda: all(relay.records.is_condemned(DEADLY) for relay in relays), 0.05
        )
        for entry in (fleet.entries[1], late_entry):
            again = self.submit(entry, request)
            self.assertEqual(("failed", "crashes upstreams"), _outcome(again))
        self.assertEqual(crashes, fleet.crashes)

    def test_crash_of_upstream_and_executor_together_is_counted(self):
        """Guards against a task that takes the process beside the upstream along."""
        fleet = self.fleet(executors=4)
        outcome = self.submit(
            fleet.entries[0], job(DEADLY, "9000", expected_s=9.0, timeout_s=20.0)
        )
        starts = []
        for _ in range(3):
            self.wait_for(lambda: fleet.running(DEADLY + ".0.0.0"))
            upstream = fleet.running(DEADLY + ".0.0.0")[0]
            starts.append(upstream.name)
            fleet.replace(upstream)
            gevent.sleep(1.2)
            if outcome.outcome is not None:
                break
        # The entry cannot know whether the upstreams had begun what was sent to them.
        expected = ("unknown", "upstreams crashed repeatedly")
        self.assertEqual(expected, _outcome(outcome))
        self.assertLessEqual(len(starts), 3)

    def test_start_after_the_crash_of_an_idle_upstream_is_no_run_under_it(self):
        """Guards against jobs blamed for a crash that preceded their starts."""
        upstream = LocalUpstream("r1")
        link = FakeLink("e1")
        upstream.executor.on_link_up(link, clock.now())
        gevent.sleep(0.05)
        upstream.crash()
        link.mark_alive()
        upstream.executor.on_heartbeat(link, 0, clock.now())
        group = start_group("a.0.0.0", work_ms=500)
        group.starts += [ttypes.TaskStart(f"a.0.0.{i}", 1) for i in range(1, 4)]
        batch = ttypes.StartBatch(1, [group])
        upstream.executor.on_message(link, batch, clock.now())
        gevent.sleep(0.05)
        self.assertEqual(4, len(link.ends()))
        self.assertEqual(0, upstream.crash_relay.records.crashes_under("a"))

    def test_job_is_not_shown_as_failed_after_an_outage_of_several_upstreams(self):
        """Guards against a restart on an upstream that crashed in the same moment."""
        fleet = self.fleet(executors=8, restart_s=1.0)
        jobs = [
            self.submit(fleet.entries[0], job(f"{number:016x}", "300", tasks=4))
            for number in range(4)
        ]
        gevent.sleep(0.1)
        for upstream in fleet.upstreams[:6]:
            upstream.crash_from_outside()
        for one in jobs:
            self.assertTrue(one.finished.wait(3.0))
        self.assertEqual(["completed"] * 4, [_kind(one) for one in jobs])

    def view_after_loss(self, upstream, accepting):
        """Returns the view of an executor that is back after its link was lost."""
        return SimpleNamespace(
            name="r1", service="dispatch", upstream=upstream, accepting=accepting
        )

    def task_at(self, upstream):
        """Returns a task that was sent to an upstream."""
        task = Job(job(DEADLY), job_queue(), clock.now()).tasks[0]
        task.upstream = upstream
        return task

    def test_crash_is_counted_if_the_executor_first_recalls_the_old_upstream(self):
        """Guards against a crash beside a dead executor that nobody counts."""
        lost = LostUpstreams()
        task = self.task_at("u@1")
        lost.remember(self.view_after_loss("u@1", True), [task], clock.now())
        recalled = self.view_after_loss("u@1", accepting=False)
        self.assertEqual([], lost.crashes_of_previous(recalled, clock.now()))
        restarted = self.view_after_loss("u@2", accepting=False)
        (found,) = lost.crashes_of_previous(restarted, clock.now())
        self.assertEqual(("u@1", DEADLY), (found.upstream, found.jobs[0].job_id))

    def test_restarted_executor_of_a_running_upstream_is_no_crash(self):
        """Guards against a crash that is counted because the executor was restarted."""
        lost = LostUpstreams()
        task = self.task_at("u@1")
        lost.remember(self.view_after_loss("u@1", True), [task], clock.now())
        for upstream in ("u@1", "u@2"):
            view = self.view_after_loss(upstream, accepting=True)
            self.assertEqual([], lost.crashes_of_previous(view, clock.now()))

    def test_job_isolated_alone_is_not_joined_by_one_that_may_have_neighbours(self):
        """Guards against crashes with two suspects, after which both start again."""
        upstream = LocalUpstream("r1")
        link = FakeLink("e1")
        upstream.executor.on_link_up(link, clock.now())
        gevent.sleep(0.05)
        link.mark_alive()
        upstream.executor.on_heartbeat(link, 0, clock.now())
        for number, (task, limit) in enumerate((("a.0.0.0", 1), ("b.0.0.0", 3))):
            group = start_group(task, work_ms=500)
            group.isolation_limit = limit
            batch = ttypes.StartBatch(number + 1, [group])
            upstream.executor.on_message(link, batch, clock.now())
        gevent.sleep(0.05)
        self.assertEqual([("b.0.0.0", "not_run:not_isolated")], link.ends())

    def publish_with_neighbour(self, relay, number, weight):
        """Publishes a crash of a task beside another job that is a likelier cause."""
        task, neighbour = ("a.0.0.0", weight), (f"b{number}.0.0.0", 10.0)
        at = clock.now() + number
        new = replace(crash(f"u@{number}", task, neighbour), at=at)
        relay.publish(new, at)

    def test_task_lost_in_three_crashes_is_not_started_again(self):
        """Guards against a task that is never the only suspect and starts for ever."""
        relay = CrashRelay()
        for number in range(3):
            self.assertFalse(relay.records.is_exhausted("a"))
            self.publish_with_neighbour(relay, number, weight=10.0)
        self.assertTrue(relay.records.is_exhausted("a"))

    def test_unlikely_cause_is_neither_condemned_nor_started_for_ever(self):
        """Guards against a long job that is shown as failed after three outages."""
        relay = CrashRelay()
        for number in range(4):
            self.assertFalse(relay.records.is_exhausted("a"))
            self.publish_with_neighbour(relay, number, weight=0.01)
            self.assertFalse(relay.records.is_condemned("a"))
        self.assertTrue(relay.records.is_exhausted("a"))

    def test_starts_that_no_upstream_confirmed_do_not_fail_their_job(self):
        """Guards against a job shown as failed although no run of it had begun."""
        relay = CrashRelay()
        for number in range(3):
            self.assertFalse(relay.records.is_exhausted("a"))
            sent = CrashedJob("q", ("a.0.0.0",), 10.0)
            new = Crash(f"u@{number}", "dispatch", clock.now() + number, (sent,))
            relay.publish(new, clock.now() + number)
        self.assertFalse(relay.records.is_condemned("a"))
        self.assertTrue(relay.records.is_exhausted("a"))

    def test_notice_tells_the_other_processes_which_tasks_were_running(self):
        """Guards against processes that judge a job by different facts."""
        sender, receiver = CrashRelay(), CrashRelay()
        link = FakeLink("e1")
        sender.on_link_up(link, clock.now())
        for number in range(2):
            sender.publish(crash(f"u@{number}", ("a.0.0.0", 10.0)), clock.now())
        for message in link.sent:
            receiver.on_message(FakeLink("r1"), message, clock.now())
        self.assertTrue(receiver.records.is_condemned("a"))

    def test_bystander_of_two_crashes_is_not_condemned(self):
        """Guards against an innocent job that fails because of its neighbour."""
        relay = CrashRelay()
        for number in range(2):
            tasks = [("deadly.0.0.0", 8.0), ("innocent.0.0.0", 0.5)]
            others = [(f"o{number}{i}.0.0.0", 2.0) for i in range(4)]
            relay.publish(crash(f"u@{number}", *tasks, *others), clock.now())
        self.assertTrue(relay.records.is_condemned("deadly"))
        self.assertFalse(relay.records.is_condemned("innocent"))
        self.assertFalse(relay.records.is_condemned("o00"))

    def test_job_whose_tasks_were_in_one_crash_each_is_not_condemned(self):
        """Guards against a job shown as failed after an outage of several upstreams."""
        relay = CrashRelay()
        for number in range(3):
            tasks = [(f"j.0.0.{number}", 8.0)]
            relay.publish(crash(f"u@{number}", *tasks), clock.now())
        self.assertFalse(relay.records.is_condemned("j"))

    def test_job_alone_on_an_upstream_is_not_blamed_for_an_outage(self):
        """Guards against a lone job that is held back after an outage."""
        relay = CrashRelay()
        for number in range(3):
            tasks = [(f"j{number}.0.0.0", 8.0)]
            relay.publish(crash(f"u@{number}", *tasks), clock.now())
        likely = [relay.records.is_likely(f"j{number}") for number in range(3)]
        self.assertEqual([False] * 3, likely)

    def test_loss_of_all_upstreams_at_once_is_recorded_in_time(self):
        """Guards against entries that stand still after all upstreams lost power."""
        relay, now = CrashRelay(), clock.now()
        began = time.process_time()
        for number in range(300):
            tasks = [(f"j{number}-{i}.0.0.0", 5.0) for i in range(10)]
            relay.publish(replace(crash(f"u@{number}", *tasks), at=now), now)
        self.assertLess(time.process_time() - began, 2.0)

    def test_notice_that_names_a_job_twice_counts_it_once(self):
        """Guards against a record that cannot be removed any more."""
        records, now = CrashRecords(), clock.now()
        twice = (CrashedJob("q", ("j.0.0.0",), 1.0), CrashedJob("q", ("j.0.0.0",), 1.0))
        records.add(Crash("u1", "dispatch", now, twice), now)
        records.add(Crash("u2", "dispatch", now + 9.0, twice[:1]), now + 9.0)
        records.expire(now + 65.0)
        self.assertEqual(1, records.crashes_under("j"))

    def test_crash_reported_by_several_entries_counts_the_jobs_of_each(self):
        """Guards against an entry whose jobs go uncounted because another was first."""
        relay = CrashRelay()
        for job_id in ("a", "b", "a"):
            relay.publish(crash("u@1", (f"{job_id}.0.0.0", 1.0)), clock.now())
        for job_id in ("a", "b"):
            self.assertEqual(1, relay.records.crashes_under(job_id))

    def wait_for(self, condition, seconds=2.0):
        met = holds_within(condition, seconds)
        self.assertTrue(met, "condition not met in time")

    def test_notice_that_cannot_be_read_is_skipped(self):
        """Guards against a notice that closes each link on which it is sent."""
        relay = CrashRelay()
        good = ttypes.CrashNotice(
            "u@1", 0, [ttypes.CrashedJob("q", ["j.0.0.0"], 1.0)], "s"
        )
        bad = ttypes.CrashNotice("u@2", 0, [ttypes.CrashedJob("q", ["k.0.0.0"], -1.0)])
        jobs = [ttypes.CrashedJob("q", [f"{i}.0.0.0"], 1e308) for i in range(2)]
        huge = ttypes.CrashNotice("u@3", 0, jobs, "s")
        future = ttypes.CrashNotice(
            "u@4", -(2**31), [ttypes.CrashedJob("q", ["l.0.0.0"], 1.0)], "s"
        )
        empty = ttypes.CrashNotice()
        message = ttypes.CrashNotices([bad, empty, huge, future, good])
        self.assertTrue(relay.on_message(FakeLink("r1"), message, clock.now()))
        self.assertEqual(["u@1"], [crash.upstream for crash in relay.records.all()])


def crash(upstream, *tasks):
    jobs = tuple(CrashedJob("q", (task,), weight, (task,)) for task, weight in tasks)
    return Crash(upstream, "dispatch", clock.now(), jobs, is_known=True)


def _kind(job):
    return None if job.outcome is None else job.outcome.kind


def _outcome(job):
    return _kind(job), job.outcome.reason
