"""
tests.test_started_tasks
~~~~~~~~~~~~~~~~~~~~~~~~

The executor's record of started tasks, with time passed as an argument.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.state.started_tasks import StartedTasks

__all__ = []


def _result(size=1):
    return SimpleNamespace(body=b"x" * size)


class StartedTasksTest(TestCase):
    def test_start_is_kept_for_its_ttl(self):
        """Guards against a second start from a delayed duplicate of a grant."""
        started = StartedTasks(start_ttl_s=60.0)
        started.record_start("a", 0.0)
        started.record_start("b", 59.0)
        self.assertIn("a", started)
        started.record_start("c", 60.0)
        self.assertNotIn("a", started)
        self.assertIn("b", started)

    def test_long_task_is_kept_after_its_end(self):
        """Guards against a second start of a task that ran longer than `start_ttl_s`.

        Its result may have been dropped because of the bound on bytes.
        """
        started = StartedTasks(start_ttl_s=60.0, max_result_bytes=10)
        started.record_start("long", 0.0)
        started.record_result("long", _result(20), 70.0)
        started.record_start("other", 71.0)
        self.assertIsNone(started.result("long"))
        self.assertIn("long", started)
        started.record_start("other", 131.0)
        self.assertNotIn("long", started)

    def test_results_are_kept_for_their_ttl(self):
        """Guards against lost results when a coordinator reconnects."""
        started = StartedTasks(result_ttl_s=10.0)
        result = _result()
        started.record_start("a", 0.0)
        started.record_result("a", result, 1.0)
        started.record_start("b", 10.9)
        self.assertIs(result, started.result("a"))
        started.record_start("c", 11.0)
        self.assertIsNone(started.result("a"))

    def test_kept_results_have_a_bound(self):
        """Guards against memory that grows with the size of results."""
        started = StartedTasks(max_result_bytes=100)
        for number in range(10):
            started.record_start(number, 0.0)
            started.record_result(number, _result(40), 0.0)
        kept = [n for n in range(10) if started.result(n) is not None]
        self.assertEqual([8, 9], kept)
        self.assertEqual(10, len(started))
