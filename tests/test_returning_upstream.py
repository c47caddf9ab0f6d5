"""
tests.test_returning_upstream
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Platform runs in which upstreams start again under their identifiers while starts are
unanswered.
"""

from testtools import TestCase

from benchmarks.platform_soak import run_soak

__all__ = []

_SECONDS = 8.0
_RUNNERS = 4
_MIN_COMPLETED = 10


class ReturningUpstreamTest(TestCase):
    def test_upstream_that_returns_without_replies(self):
        """Guards against overlapping runs after the lease of a silent upstream.

        The end of the lease was taken for the end of the runs whose starts had no
        answer, but the next lifetime of the upstream had executed these starts.
        """
        self._run("mute", 5)

    def test_late_orders_to_the_lifetime_before(self):
        """Guards against overlapping runs after starts that the next lifetime executes.

        It may execute them seconds later, when they are no longer undecided.
        """
        self._run("late", 2)

    def test_upstream_that_crashes_with_its_runner(self):
        """Guards against overlapping runs after the loss of a runner and its upstream.

        The entry takes the link as lost, and the next lifetime of the upstream executes
        starts that the runner had sent before it was killed.
        """
        self._run("runner", 2)

    def _run(self, fault, seed):
        findings, events, answers = run_soak(seed, _SECONDS, _RUNNERS, only=fault)
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], _MIN_COMPLETED, answers)
