"""
tests.test_soak
~~~~~~~~~~~~~~~

Short randomised runs with fixed seeds; longer ones are run by hand.
"""

from testtools import TestCase

from benchmarks.soak import run_soak

__all__ = []

_SECONDS = 10.0


class SoakTest(TestCase):
    def test_seed_1(self):
        """Guards against violated invariants under combined faults."""
        self._run(1)

    def test_seed_2(self):
        """Guards against violated invariants under other combinations of faults."""
        self._run(2)

    def test_seed_3(self):
        """Guards against violated invariants under other combinations of faults."""
        self._run(3)

    def _run(self, seed):
        findings, events, outcomes = run_soak(seed, _SECONDS)
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(outcomes["complete"], 100, outcomes)
