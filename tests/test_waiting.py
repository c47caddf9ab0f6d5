"""
tests.test_waiting
~~~~~~~~~~~~~~~~~~

Bounds that count the time in which the test's process can run.
"""

import time

import gevent
from testtools import TestCase

from tests.waiting import holds_within


class HoldsWithinTest(TestCase):
    def test_time_in_which_this_process_is_stopped_does_not_count(self):
        """Guards against tests that fail because the machine did not run them."""
        done = gevent.spawn_later(0.05, lambda: None)
        gevent.spawn_later(0.01, time.sleep, 0.5)
        self.assertTrue(holds_within(done.ready, 0.4))

    def test_condition_that_does_not_hold_is_given_up(self):
        """Guards against a bound that never ends a wait."""
        began_at = time.monotonic()
        self.assertFalse(holds_within(lambda: False, 0.1))
        self.assertGreaterEqual(time.monotonic() - began_at, 0.09)

    def test_time_in_which_this_process_computes_counts(self):
        """Guards against a bound that a busy system under test does not exceed."""

        def compute():
            for _ in range(20):
                until = time.process_time() + 0.03
                while time.process_time() < until:
                    pass
                gevent.sleep(0.001)

        self.assertFalse(holds_within(gevent.spawn(compute).ready, 0.3))
