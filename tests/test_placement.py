"""
tests.test_placement
~~~~~~~~~~~~~~~~~~~~

Speed estimates, exploration, and waiting for a slot of a faster executor.
"""

import random

from testtools import TestCase

from papayaward.coordination.executor_views import ExecutorView
from papayaward.coordination.placement import (
    BINDING_POLICIES,
    faster_by_waiting,
    set_faster_rates,
)
from papayaward.coordination.speeds import SpeedEstimates

__all__ = []

_TRUE_SLOWNESS = {"slow": 2.0, "middle": 1.0, "fast": 0.5}


def _learn(classes, tasks=400, true_slowness=None, speeds=None, now=0.0, seed=1):
    """Adds service times; `classes` maps names to functions that draw a time."""
    rng = random.Random(seed)
    speeds = speeds or SpeedEstimates()
    for number in range(tasks):
        name = rng.choice(list(classes))
        for executor, slowness in (true_slowness or _TRUE_SLOWNESS).items():
            service_s = classes[name](rng) * slowness
            speeds.add(executor, name, service_s, now + number * 0.05)
    return speeds


class SpeedTest(TestCase):
    def _assert_ratio(self, speeds, expected, first, second, within=0.25):
        found = speeds.slowness(first) / speeds.slowness(second)
        self.assertTrue(
            expected * (1 - within) < found < expected * (1 + within), found
        )

    def test_speed_with_regular_tasks(self):
        """Guards against speed estimates that rank the executors in a wrong order."""
        speeds = _learn({"c": lambda rng: 0.2})
        self._assert_ratio(speeds, 4.0, "slow", "fast", 0.05)

    def test_speed_with_tasks_from_50_ms_to_5_s(self):
        """Guards against estimating an executor as slow because of one long task."""
        for seed in range(10):
            times = {"c": lambda rng: 0.05 * 100 ** rng.random()}
            speeds = _learn(times, seed=seed)
            self._assert_ratio(speeds, 4.0, "slow", "fast", 0.5)

    def test_classes_that_run_on_some_executors_only(self):
        """Guards against estimating an executor as slow because of its task classes."""
        speeds = SpeedEstimates()
        rng = random.Random(1)
        for number in range(1000):
            long = rng.random() < 0.5
            executor = "a" if rng.random() < (0.8 if long else 0.2) else "b"
            name, service_s = ("long", 2.0) if long else ("short", 0.1)
            speeds.add(executor, name, service_s, number * 0.05)
        self._assert_ratio(speeds, 1.0, "a", "b", 0.1)

    def test_change_of_speed_is_learned_from_few_tasks(self):
        """Guards against sending tasks to an executor that has become slow."""
        speeds = _learn({"c": lambda rng: 0.2 * rng.uniform(0.9, 1.1)})
        for number in range(10):
            speeds.add("fast", "c", 0.8, 30.0 + number)
        self._assert_ratio(speeds, 4.0, "fast", "middle", 0.4)

    def test_jobs_of_other_sizes_do_not_change_speeds(self):
        """Guards against estimating executors as slow if they get long tasks first."""
        speeds = _learn({"c": lambda rng: 0.05 * rng.uniform(0.9, 1.1)})
        for number in range(40):
            for executor in ("fast", "middle"):
                speeds.add(
                    executor, "c", 0.4 * _TRUE_SLOWNESS[executor], 20.0 + number * 0.1
                )
        self._assert_ratio(speeds, 4.0, "slow", "fast", 0.3)
        self._assert_ratio(speeds, 2.0, "middle", "fast", 0.3)

    def test_one_outlier_changes_little(self):
        """Guards against estimating an executor as slow because of one straggler."""
        speeds = _learn({"c": lambda rng: 0.2 * rng.uniform(0.9, 1.1)})
        speeds.add("fast", "c", 5.0, 20.1)
        self._assert_ratio(speeds, 0.5, "fast", "middle", 0.2)

    def test_unmeasured_executor_is_explored(self):
        """Guards against a new executor that never gets a task."""
        speeds = _learn({"c": lambda rng: 0.2})
        ranks = [speeds.rank(name, False, 20.0) for name in _TRUE_SLOWNESS]
        self.assertTrue(speeds.rank("new", False, 20.0) < min(ranks))
        self.assertTrue(speeds.is_uncertain("new", 20.0))

    def test_idle_slow_executor_is_tried_again(self):
        """Guards against not detecting that a slow executor has recovered."""
        speeds = _learn({"c": lambda rng: 0.2})
        fast = speeds.rank("fast", False, 20.0)
        self.assertTrue(speeds.rank("slow", False, 20.0) > fast)
        self.assertTrue(speeds.rank("slow", False, 1000.0) < fast)
        self.assertTrue(speeds.rank("slow", True, 1000.0) > fast)

    def test_recentring_keeps_the_order_and_averages_one(self):
        """Guards against a common drift of all estimates."""
        speeds = _learn({"c": lambda rng: 0.2})
        speeds.recentre()
        product = 1.0
        for name in _TRUE_SLOWNESS:
            product *= speeds.slowness(name)
        self.assertTrue(abs(product - 1.0) < 1e-6)
        self._assert_ratio(speeds, 4.0, "slow", "fast", 0.05)


class WaitTest(TestCase):
    def setUp(self):
        super().setUp()
        self.views = []
        for name in _TRUE_SLOWNESS:
            view = ExecutorView(name, 1, "a")
            view.slots = 8
            self.views.append(view)
        set_faster_rates(self.views, _TRUE_SLOWNESS.get)

    def test_slow_slot_is_left_idle_only_while_few_tasks_wait(self):
        """Guards against slow executors that get no tasks at all."""
        slow, middle, fast = self.views
        self.assertTrue(faster_by_waiting(slow, 2.0, 1))
        self.assertFalse(faster_by_waiting(slow, 2.0, 60))
        self.assertFalse(faster_by_waiting(fast, 0.5, 1))

    def test_equal_executors_do_not_wait_for_each_other(self):
        """Guards against idle slots in a fleet of equal executors."""
        set_faster_rates(self.views, lambda name: 1.0)
        for view in self.views:
            self.assertFalse(faster_by_waiting(view, 1.0, 1))

    def test_baselines_choose_executors_by_their_policy(self):
        """Guards against benchmarks with baselines that do not follow their policy."""
        slow, middle, fast = self.views
        slow.backlog.extend(range(100))
        chosen = [BINDING_POLICIES["power_of_two"](self.views, {}) for _ in range(300)]
        self.assertNotIn(slow, chosen)
        chosen = [BINDING_POLICIES["random"](self.views, {}) for _ in range(300)]
        self.assertIn(slow, chosen)
        stale = {"slow": 0.0, "middle": 1.0, "fast": 1.0}
        self.assertIs(slow, BINDING_POLICIES["reports"](self.views, stale))


class ReturnedExecutorTest(TestCase):
    def test_returned_executor_is_measured_again(self):
        """Guards against avoiding a reconnected executor because of an old estimate."""
        speeds = SpeedEstimates()
        for number in range(40):
            speeds.add("r1", "c1", 1.0, float(number))
            speeds.add("r2", "c1", 0.1, float(number))
        self.assertFalse(speeds.is_uncertain("r1", 40.0))
        speeds.mark_uncertain("r1")
        self.assertTrue(speeds.is_uncertain("r1", 40.0))
