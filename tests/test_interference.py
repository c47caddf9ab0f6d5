"""
tests.test_interference
~~~~~~~~~~~~~~~~~~~~~~~

Queues whose tasks slow each other down on one upstream.
"""

import logging
import math
import random
from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase

from benchmarks.shortage_model import LOADS, play
from papayaward.coordination.capacity_use import CapacityUse
from papayaward.coordination.interference import Interference
from papayaward.coordination.linear_fit import LinearFit
from papayaward.protocol.jobs import Resources

__all__ = []

_SEED = 20261207
# Deviation of the logarithm of run times, by wrong declarations.
_NOISE = 0.25
# Part of the jobs that interference makes late which keeping apart has to save.
_MIN_SAVED = 0.4


class LinearFitTest(TestCase):
    def test_effect_of_one_variable_is_told_from_that_of_another(self):
        """Guards against blaming a queue for running beside the one that slows."""
        rng = random.Random(_SEED)
        fit = LinearFit(1000, 4)
        for _ in range(1000):
            culprit = rng.random()
            bystander = 0.5 * culprit + 0.5 * rng.random()
            result = 0.8 * culprit + rng.gauss(0.0, 0.1)
            fit.add({"culprit": culprit, "bystander": bystander}, result)
        slopes = fit.slopes()
        self.assertAlmostEqual(0.8, slopes["culprit"].value, delta=0.1)
        self.assertLess(abs(slopes["bystander"].value), 4 * slopes["bystander"].error)

    def test_no_slopes_without_samples_and_none_for_a_constant(self):
        """Guards against a division by zero, and a slope out of nothing."""
        fit = LinearFit(100, 2)
        self.assertEqual({}, fit.slopes())
        for number in range(50):
            fit.add({"a": 0.0, "b": 0.3, "left out": 1.0}, number % 2)
        slopes = fit.slopes()
        self.assertEqual({"a", "b"}, set(slopes))
        self.assertAlmostEqual(0.0, slopes["a"].value)


class InterferenceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(_SEED)
        self.interference = Interference()

    def add(self, samples, slope, now=0.0):
        """Adds runs that the queue `b` slows down, beside `b` and `c`."""
        for number in range(samples):
            shares = {"b": self.rng.random() / 2, "c": self.rng.random() / 2}
            residual = slope * shares["b"] + self.rng.gauss(0.0, _NOISE)
            self.interference.add("a", residual, shares, now + number * 0.05)

    def slowdown(self, queue, **shares):
        return self.interference.slowdown(queue, shares)

    def test_slowing_queue_is_noticed_and_the_others_are_not(self):
        """Guards against tasks that go on slowing each other down."""
        self.add(800, math.log(3.0))
        self.assertTrue(self.interference.is_known)
        self.assertGreater(self.slowdown("a", b=0.5), 0.3)
        self.assertGreater(self.slowdown("b", a=0.5), 0.3)
        self.assertEqual(0.0, self.slowdown("a", c=0.5))
        self.assertEqual(0.0, self.slowdown("c", a=0.5))

    def test_wrong_declarations_are_no_interference(self):
        """Guards against keeping queues apart for noise."""
        self.add(5000, 0.0)
        self.assertFalse(self.interference.is_known)

    def test_interference_that_has_ended_is_forgotten(self):
        """Guards against a pair that is kept apart for good."""
        self.add(800, math.log(3.0))
        self.add(4000, 0.0, now=100.0)
        self.assertFalse(self.interference.is_known)

    def test_unknown_queues_are_not_slowed_down(self):
        """Guards against an error for a queue that the configuration adds."""
        self.assertEqual(0.0, self.slowdown("new", other=1.0))


class CapacityUseTest(TestCase):
    def test_mean_cpu_beside_a_run(self):
        """Guards against neighbours that are counted for longer than they ran."""
        use = CapacityUse()
        runs = [
            SimpleNamespace(queue=queue, need=Resources(cpu, 1, 0), isolated=False)
            for queue, cpu in (("a", 1000), ("a", 2000), ("b", 4000), ("b", 8000))
        ]
        for run, at in zip(runs, (0.0, 0.0, 1.0, 2.0), strict=True):
            use.add(run, at)
        self.assertEqual(15_000, use.used.cpu_millis)
        use.remove(runs[3], 3.0)
        self.assertEqual({"a": 2000, "b": 5000}, use.remove(runs[0], 4.0))
        self.assertEqual({"a": 3000, "b": 2666}, use.remove(runs[2], 4.0))
        use.remove(runs[1], 4.0)
        self.assertEqual((0, None), (use.used.cpu_millis, use.to_wire()))

    def test_run_that_ends_at_once_ran_beside_nothing(self):
        """Guards against a division by zero."""
        use = CapacityUse()
        run = SimpleNamespace(queue="a", need=Resources(1, 1, 0), isolated=False)
        use.add(run, 1.0)
        self.assertEqual({}, use.remove(run, 1.0))


class KeptApartTest(TestCase):
    """Urgent jobs that the tasks of long ones slow down, and the reverse."""

    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def late(self, **changes):
        return sum(
            1.0
            - play(replace(LOADS["interference"], seed=seed, **changes))[queue].in_time
            for queue in ("urgent", "long")
            for seed in range(3)
        )

    def test_queues_that_slow_each_other_down_are_kept_apart(self):
        """Guards against jobs that miss their objective beside slowing tasks."""
        self.assertLess(self.late(), (1.0 - _MIN_SAVED) * self.late(keeps_apart=False))
