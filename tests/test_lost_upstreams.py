"""
tests.test_lost_upstreams
~~~~~~~~~~~~~~~~~~~~~~~~~

Which crashes an entry counts if the process beside the upstream ended as well.
"""

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
