"""
tests.fleet_case
~~~~~~~~~~~~~~~~

Base class of tests that run a fleet of real processes.
"""

from collections import Counter

import gevent
from testtools import TestCase

from standins.callers import start_findings
from standins.fleet import Fleet

__all__ = ["FleetCase", "echo_tasks", "small_config"]


def small_config(**changes):
    """Returns a configuration document with one service and three domains."""
    document = {
        "services": [{"name": "dispatch"}],
        "tenants": [{"name": "t1"}, {"name": "t2"}],
        "classes": [{"name": "c1"}],
        "domains": ["a", "b", "c"],
        "domains_out": [],
    }
    return {**document, **changes}


class FleetCase(TestCase):
    """Starts fleets, and fails a test if a process violates an invariant."""

    def start_fleet(self, config=None, entries=2, runners=None, **options):
        """Starts a fleet that is stopped at the end of the test, and returns it."""
        if runners is None:
            runners = [{"domain": domain} for domain in "abc"]
        fleet = Fleet(config or small_config(), entries, runners, **options)
        # Clean-ups run in reverse order: first the check, then the stop.
        self.addCleanup(fleet.stop)
        self.addCleanup(self._check_invariants, fleet)
        fleet.start()
        return fleet

    def _check_invariants(self, fleet):
        self.assertEqual([], fleet.log_events("invariant_violated"))
        self.assertEqual([], fleet.log_events("request_failed"))
        for name in fleet.processes:
            self.assertNotIn("Traceback", fleet.log(name), f"log of {name}")

    def assert_started_once(self, fleet, job_id, tasks):
        """Asserts that each task of a job started exactly once."""
        starts = sorted(r["task"] for r in fleet.records() if r["job"] == job_id)
        self.assertEqual(list(range(tasks)), starts)

    def assert_starts(self, fleet, callers, domain_changes=()):
        """Asserts that the upstreams' records agree with the callers' answers."""
        self.assertEqual(
            [], start_findings(callers.views, fleet.records(), domain_changes)
        )

    def assert_no_second_start(self, fleet):
        """Asserts that no task of any job started twice."""
        starts = Counter((r["job"], r["task"]) for r in fleet.records())
        self.assertEqual([], [key for key, count in starts.items() if count > 1])

    def assert_complete(self, reply, tasks):
        """Asserts that a reply contains the results of all tasks of a job."""
        self.assertEqual(200, reply.status, reply.body)
        echoes = [result["echo"] for result in reply.json["results"]]
        self.assertEqual([task["echo"] for task in tasks], echoes)

    def submit_async(self, fleet, tasks, **options):
        """Submits a job in a greenlet, whose `get()` returns the reply."""
        return gevent.spawn(fleet.submit, tasks, **options)


def echo_tasks(count, work_ms, name="task"):
    """Returns tasks with unique echo values."""
    return [{"work_ms": work_ms, "echo": f"{name}/{i}"} for i in range(count)]
