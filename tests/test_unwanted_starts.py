"""
tests.test_unwanted_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~

Starts that must not begin a run, by the state of the executor that received them.
"""

from types import SimpleNamespace

from testtools import TestCase

from papayaward.coordination.start_admission import StartConditions, refusal_of_start
from papayaward.protocol.gen import ttypes
from papayaward.protocol.jobs import Resources

__all__ = []

_NOW = 100.0
_NEED = Resources(100, 1)
_START = ttypes.TaskStart("j.0.0.0", 1)


def _group(expected_ms=500, isolation_limit=0):
    return ttypes.StartGroup(expected_ms=expected_ms, isolation_limit=isolation_limit)


def _run(task="k.0.0.0", expected_s=1.0, isolation_limit=0):
    return SimpleNamespace(
        task=task,
        started_at=_NOW,
        expected_s=expected_s,
        isolated=isolation_limit > 0,
        isolation_limit=isolation_limit,
        owner="e1",
    )


def _refusal(group=None, runs=(), alive_at=_NOW, exhausted=(), **conditions):
    conditions = StartConditions(
        {run.task: run for run in runs},
        Resources(800, 8),
        conditions.get("free", Resources(400, 4)),
        conditions.get("close_limit"),
        exhausted.__contains__,
    )
    return refusal_of_start(
        group or _group(), _START, _NEED, alive_at, conditions, _NOW
    )


class UnwantedStartTest(TestCase):
    def test_start_of_a_silent_entry_is_refused(self):
        """Guards against a run of a task that its entry sent elsewhere meanwhile."""
        self.assertEqual("", _refusal(alive_at=_NOW - 0.44))
        self.assertEqual("stale", _refusal(alive_at=_NOW - 0.46))

    def test_task_that_has_a_run_is_not_started_again(self):
        """Guards against two runs of a task at one upstream."""
        self.assertEqual("duplicate", _refusal(runs=[_run(_START.task)]))

    def test_start_that_would_delay_the_shutdown_is_refused(self):
        """Guards against a process that stops late, or under a run."""
        closing = {"runs": [_run(expected_s=1.0)], "close_limit": _NOW + 5.0}
        self.assertEqual("", _refusal(_group(expected_ms=890), **closing))
        self.assertEqual("closing", _refusal(_group(expected_ms=910), **closing))
        closing["close_limit"] = _NOW + 0.5
        self.assertEqual("", _refusal(_group(expected_ms=490), **closing))
        self.assertEqual("closing", _refusal(_group(expected_ms=510), **closing))
        # No run is left that the process waits for.
        self.assertEqual("closing", _refusal(close_limit=_NOW + 5.0))

    def test_start_without_room_is_refused(self):
        """Guards against more runs than the upstream has capacity for."""
        self.assertEqual("", _refusal(free=_NEED))
        self.assertEqual("busy", _refusal(free=Resources(99, 1)))
        self.assertEqual("busy", _refusal(free=Resources(100, 0)))

    def test_job_with_too_many_crashes_is_refused(self):
        """Guards against another crash under a job that must not start again."""
        self.assertEqual("crashing", _refusal(exhausted={"j"}))
        self.assertEqual("", _refusal(exhausted={"k"}))

    def test_isolated_job_is_refused_beside_another_one(self):
        """Guards against two suspects of a crash on one upstream."""
        isolated = _group(isolation_limit=1)
        self.assertEqual("", _refusal(isolated, runs=[_run()]))
        self.assertEqual(
            "not_isolated", _refusal(isolated, runs=[_run(isolation_limit=1)])
        )
        # Tasks of one job are isolated together.
        own = _run("j.0.0.1", isolation_limit=1)
        self.assertEqual("", _refusal(isolated, runs=[own]))
