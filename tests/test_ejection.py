"""
tests.test_ejection
~~~~~~~~~~~~~~~~~~~

Ejection of failing executors, their return, and the limits on both.
"""

from testtools import TestCase

from papayaward.coordination.ejection import Ejection

__all__ = []

_SLOTS = 8


class _Fleet:
    """Feeds outcomes of executors to an `Ejection`."""

    def __init__(self, executors):
        self.ejection = Ejection()
        self.names = [f"r{number}" for number in range(executors)]

    def add(self, name, succeeded, now, kind="k"):
        executors = len(self.names)
        return self.ejection.add(name, kind, succeeded, _SLOTS, executors, now)

    def run(self, failing, now, rounds=20, kind="k"):
        for _ in range(rounds):
            for name in self.names:
                if self.ejection.limit(name, _SLOTS, now):
                    self.add(name, name not in failing, now, kind)
        return sorted(self.ejection.ejected(now))


class EjectionTest(TestCase):
    def test_executor_that_fails_everything_is_ejected(self):
        """Guards against an executor that gets more tasks because it fails fast."""
        fleet = _Fleet(4)
        self.assertEqual(["r1"], fleet.run({"r1"}, 1.0))
        self.assertEqual(0, fleet.ejection.limit("r1", _SLOTS, 1.0))

    def test_at_most_thirty_percent_are_ejected(self):
        """Guards against ejecting most of the capacity in a widespread failure."""
        fleet = _Fleet(20)
        failing = set(fleet.names[:9])
        self.assertTrue(len(fleet.run(failing, 1.0)) <= 6)

    def test_tasks_that_fail_everywhere_eject_nobody(self):
        """Guards against ejecting executors because one tenant's tasks are faulty."""
        fleet = _Fleet(4)
        fleet.run((), 1.0, kind="good")
        self.assertEqual([], fleet.run(set(fleet.names), 1.0, kind="bad"))

    def test_bad_tasks_on_one_executor_eject_nobody(self):
        """Guards against ejecting an executor because it got the faulty tasks."""
        fleet = _Fleet(4)
        fleet.run((), 1.0, kind="good")
        for _ in range(50):
            self.assertFalse(fleet.add("r0", False, 1.0, kind="bad"))
        self.assertTrue(fleet.ejection.is_suspect("r0", 1.5))
        self.assertFalse(fleet.ejection.is_suspect("r0", 2.5))

    def test_return_starts_with_one_probe_and_doubles(self):
        """Guards against full load on an executor that may still fail."""
        fleet = _Fleet(4)
        fleet.run({"r1"}, 1.0)
        limits = []
        for _ in range(16):
            limits.append(fleet.ejection.limit("r1", _SLOTS, 4.0))
            fleet.add("r1", True, 4.0)
        self.assertEqual([1, 2, 2, 4, 4, 4, 4, 8], limits[:8])
        self.assertEqual(_SLOTS, fleet.ejection.limit("r1", _SLOTS, 4.0))

    def test_failed_probe_doubles_the_ejection_time(self):
        """Guards against a probe task that fails every two seconds indefinitely."""
        fleet = _Fleet(4)
        fleet.run({"r1"}, 0.0)
        self.assertEqual(1, fleet.ejection.limit("r1", _SLOTS, 2.5))
        self.assertTrue(fleet.add("r1", False, 2.5))
        self.assertEqual(0, fleet.ejection.limit("r1", _SLOTS, 6.0))
        self.assertEqual(1, fleet.ejection.limit("r1", _SLOTS, 7.0))

    def test_load_of_a_new_executor_is_ramped_up(self):
        """Guards against a load surge on an executor that has just reconnected."""
        fleet = _Fleet(4)
        fleet.ejection.start_ramp("r0", _SLOTS)
        self.assertEqual(2, fleet.ejection.limit("r0", _SLOTS, 1.0))
        for _ in range(6):
            fleet.add("r0", True, 1.0)
        self.assertEqual(_SLOTS, fleet.ejection.limit("r0", _SLOTS, 1.0))
