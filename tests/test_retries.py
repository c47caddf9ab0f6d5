"""
tests.test_retries
~~~~~~~~~~~~~~~~~~

Budget and backoff of retries.
"""

from testtools import TestCase

from papayaward.coordination.retries import RetryBudget, backoff_s

__all__ = []


def _take_all(budget, now):
    taken = 0
    while taken < 10_000 and budget.take(now):
        taken += 1
    return taken


class BudgetTest(TestCase):
    def test_budget_is_ten_percent_of_successes(self):
        """Guards against retries that multiply the load of a failing fleet."""
        budget = RetryBudget()
        reserve = _take_all(budget, 0.0)
        for _ in range(1000):
            budget.on_success(1.0)
        self.assertTrue(99 <= _take_all(budget, 1.0) <= 101)
        self.assertTrue(reserve <= 10)
        self.assertEqual(0, _take_all(budget, 1000.0))

    def test_old_successes_allow_no_retries(self):
        """Guards against a burst of retries after an hour without any."""
        budget = RetryBudget()
        for _ in range(1000):
            budget.on_success(1.0)
        self.assertTrue(_take_all(budget, 60.0) <= 10)

    def test_backoff_grows_and_is_spread(self):
        """Guards against synchronized retries."""
        for retry, longest in ((1, 0.02), (3, 0.08), (30, 1.0)):
            delays = [backoff_s(retry) for _ in range(300)]
            self.assertTrue(0.0 <= min(delays) < 0.2 * longest)
            self.assertTrue(0.8 * longest < max(delays) <= longest)
