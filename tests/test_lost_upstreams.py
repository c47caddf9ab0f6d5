"""
tests.test_lost_upstreams
~~~~~~~~~~~~~~~~~~~~~~~~~

Which crashes an entry counts if the process beside the upstream ended as well.
"""

from papayaward.state.crashes import Crash, CrashedJob, Withdrawal
from tests.test_lost_tasks import LostTasksCase

_TASK = "0123456789abcdef.0.0.0"
# Longer than a confirmed run continues after the link to its executor broke.
_LOST_RUN_S = 1.1


class LostUpstreamsTest(LostTasksCase):
    def upstreams_of(self, task=_TASK):
        """Returns the crashed upstreams that count for a task."""
        return self.relay.records.upstreams_of(task)

    def test_crash_counts_if_the_executor_had_named_the_next_lifetime(self):
        """Guards against a crash that nobody counts beside a killed runner.

        The runner awaits a reply of the lifetime that has reported before it tells of
        the crash, and is killed meanwhile.
        """
        self.lose_after_next_lifetime("r1", "i-1")
        self.assertEqual({"i-1@1"}, self.upstreams_of())

    def lose_after_next_lifetime(self, name, instance):
        """Starts a job, and loses its executor once the next lifetime has reported.

        The next process of the executor connects, and is lost as well.
        """
        link = self.connect(name, upstream=instance + "@1")
        job = self.submit()
        self.assertEqual([_TASK], [start.task for start in link.starts()])
        self.report(link, 1, upstream=instance + "@2", accepting=False)
        self.lose(link)
        self.lose(self.connect(name, incarnation=2, upstream=instance + "@2"))
        return job

    def test_job_that_is_submitted_again_is_not_started_after_three_such_crashes(self):
        """Guards against a task that starts again and again after such crashes."""
        for number in range(3):
            job = self.lose_after_next_lifetime(f"r{number}", f"i-{number}")
            self.scheduler.remove_caller(job, self.now)
            self.starts_after(_LOST_RUN_S)
        again = self.submit()
        self.assertEqual("upstreams crashed repeatedly", again.outcome.reason)

    def test_crash_does_not_count_for_a_run_at_the_next_lifetime(self):
        """Guards against jobs blamed for the crash of a lifetime before their start."""
        first = self.connect(upstream="i-1@1")
        self.report(first, upstream="i-1@2")
        self.submit()
        self.lose(first)
        self.connect(incarnation=2, upstream="i-1@2")
        self.assertEqual(set(), self.upstreams_of())


class LateStartTest(LostTasksCase):
    def setUp(self):
        super().setUp()
        self.first = self.connect(upstream="i-1@1")
        self.submit()

    def lose_process(self):
        """Loses the link, and connects a process that recalls the first lifetime."""
        self.lose(self.first)
        return self.connect(incarnation=2, upstream="i-1@1", accepting=False)

    def crash(self, upstream, is_known=True):
        """Tells of a crash under no known run."""
        notice = Crash(upstream, "dispatch", self.now, (), 0.0, is_known, 5)
        self.relay.publish(notice, self.now)

    def upstreams(self):
        """Returns the crashed upstreams that count for the task."""
        return self.relay.records.upstreams_of(_TASK)

    def test_crash_of_a_lifetime_counts_that_may_have_started_the_task_late(self):
        """Guards against a crash of a late start that nobody counts.

        The process that sent the start was killed before the upstream answered it, and
        the next process knows nothing of it.
        """
        self.lose_process()
        self.crash("i-1@2")
        self.assertEqual({"i-1@2"}, self.upstreams())
        self.assertFalse(self.relay.records.is_condemned_if_known(_TASK[:16]))

    def test_late_start_counts_among_three_crashes(self):
        """Guards against a job that is started after its third crash.

        The order of events is that of a play of soak seed 4053: a crash elsewhere, one
        of an upstream and its process together, and one of the next lifetime, which had
        executed the start once more.
        """
        run = CrashedJob("q", (_TASK,), 5.0, (_TASK,))
        self.relay.publish(Crash("i-3@1", "dispatch", self.now, (run,)), self.now)
        second = self.lose_process()
        self.crash("i-1@2")
        self.report(second, upstream="i-1@3", accepting=False)
        self.assertEqual({"i-3@1", "i-1@1", "i-1@2"}, self.upstreams())
        again = self.submit()
        self.assertEqual("upstreams crashed repeatedly", again.outcome.reason)

    def test_crash_of_a_lifetime_that_was_taken_over_does_not_count(self):
        """Guards against jobs blamed for crashes after the upstream rejects them."""
        second = self.lose_process()
        self.report(second, upstream="i-1@2")
        self.crash("i-1@2")
        self.assertEqual({"i-1@1"}, self.upstreams())

    def test_crash_of_another_instance_does_not_count(self):
        """Guards against jobs blamed for an upstream that received no start of them."""
        self.lose_process()
        self.crash("i-2@2")
        self.assertEqual(set(), self.upstreams())

    def test_crash_of_an_earlier_lifetime_does_not_count(self):
        """Guards against jobs blamed for a crash that preceded their starts."""
        self.lose_process()
        for upstream in ("i-1@0", "i-1", "i-1@", "i-1@x", "i-1@" + "9" * 5000):
            self.crash(upstream)
        self.assertEqual(set(), self.upstreams())

    def test_crash_does_not_count_for_a_confirmed_run(self):
        """Guards against jobs blamed although no request to start them is open."""
        self.report(self.first, 1, upstream="i-1@1")
        self.lose_process()
        self.crash("i-1@2")
        self.assertEqual(set(), self.upstreams())

    def test_withdrawn_suspicion_does_not_count(self):
        """Guards against jobs held back although the upstream has replied again."""
        self.lose_process()
        self.crash("i-1@2", is_known=False)
        self.assertEqual({"i-1@2"}, self.upstreams())
        self.relay.records.withdraw(Withdrawal("i-1@2", 5, self.now), self.now)
        self.assertEqual(set(), self.upstreams())
