"""
tests.test_platform_soak
~~~~~~~~~~~~~~~~~~~~~~~~

Short seeded runs of the platform's processes under faults; longer ones run by hand.
"""

from testtools import TestCase

from benchmarks.platform_soak import run_soak

__all__ = []

_SECONDS = 15.0
_FEWEST_COMPLETED = 20


class PlatformSoakTest(TestCase):
    def test_seed_1(self):
        """Guards against broken promises under combined faults."""
        self._run(1)

    def test_seed_7(self):
        """Two runs at once for 44 ms; a silent upstream's kill was not waited for."""
        self._run(7)

    def test_seed_14(self):
        """Two runs at once; a crashed upstream stand-in went on serving."""
        self._run(14)

    def test_seed_15(self):
        """Two runs at once; a delayed connection displaced a later one."""
        self._run(15)

    def test_seed_18(self):
        """The same under other faults."""
        self._run(18)

    def _run(self, seed):
        findings, events, answers = run_soak(seed, _SECONDS)
        self.assertEqual([], findings, "\n".join(events))
        self.assertGreater(answers["200"], _FEWEST_COMPLETED, answers)
