"""
tests.test_kills
~~~~~~~~~~~~~~~~

Processes that are killed with jobs in flight, and their restarts.
"""

import time

import gevent

from standins.callers import Callers
from standins.fleet import call

from .fleet_case import FleetCase, echo_tasks

__all__ = []

# Target: the jobs of a killed runner are answered within 2 s.
_ANSWERED_WITHIN_S = 2.0


class KillTest(FleetCase):
    def test_executor_killed(self):
        """Guards against jobs that wait for the tasks of a killed executor."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        victim = min({"r1", "r2", "r3"} - {coordinator})
        jobs = [
            self.submit_async(fleet, echo_tasks(12, 5000, n), index=n) for n in (0, 1)
        ]
        gevent.sleep(0.4)
        killed = time.monotonic()
        fleet.kill(victim)
        # The 24 tasks use all slots, but a job may have no task at the victim.
        affected = {record["job"] for record in fleet.records(victim)}
        self.assertNotEqual(set(), affected)
        for job in gevent.iwait(jobs, timeout=10):
            reply = job.get(block=False).json
            if reply["job_id"] in affected:
                self.assertIn(reply["outcome"], ("unknown", "failed"))
                self.assertLess(time.monotonic() - killed, _ANSWERED_WITHIN_S)
            else:
                self.assertEqual("complete", reply["outcome"])
        self.assertTrue(all(job.ready() for job in jobs))
        tasks = echo_tasks(12, 20, "after")
        self.assert_complete(fleet.submit(tasks), tasks)
        self.assert_no_second_start(fleet)

    def test_idempotent_request_survives_its_executor(self):
        """Guards against failing an idempotent request whose executor was killed."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        victims = {"r1", "r2", "r3"} - {coordinator}
        document = {
            **{"service": "dispatch", "tenant": "t1", "class": "c1"},
            "idempotent": True,
            "deadline_ms": 15_000,
        }
        jobs = []
        for number in range(24):
            body = {**document, "body": {"work_ms": 1500, "echo": number}}
            jobs.append(gevent.spawn(call, fleet.entry(), "POST", "/v1/requests", body))
        gevent.sleep(0.5)
        fleet.kill(min(victims))
        replies = [job.get(timeout=20) for job in jobs]
        echoes = [r.json["result"]["echo"] for r in replies if r.status == 200]
        self.assertEqual(list(range(24)), echoes)

    def test_idempotent_request_that_crashes_upstreams_is_given_up(self):
        """Guards against one request that is retried until no upstream is left."""
        fleet = self.start_fleet(runners=[{"domain": domain} for domain in "abcabc"])
        document = {
            **{"service": "dispatch", "tenant": "t1", "class": "c1"},
            "idempotent": True,
            "deadline_ms": 8_000,
            "body": {"work_ms": 20, "crash": True},
        }
        reply = call(fleet.entry(), "POST", "/v1/requests", document)
        self.assertEqual("unknown", reply.json["outcome"], reply.body)
        upstreams = [p for name, p in fleet.processes.items() if name[:2] == "u-"]
        crashed = sum(process.poll() is not None for process in upstreams)
        self.assertLessEqual(crashed, 2)

    def test_coordinator_killed(self):
        """Guards against waiting for a killed coordinator, and second starts."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        ids = fleet.new_ids(2)
        jobs = [
            self.submit_async(fleet, echo_tasks(12, 1500, n), index=n, job_id=ids[n])
            for n in (0, 1)
        ]
        gevent.sleep(0.4)
        killed = time.monotonic()
        fleet.kill(coordinator)
        for job in jobs:
            reply = job.get(timeout=10)
            self.assertEqual("unknown", reply.json["outcome"], reply.body)
        self.assertLess(time.monotonic() - killed, _ANSWERED_WITHIN_S)
        tasks = echo_tasks(8, 20, "after")
        self.assert_complete(fleet.submit(tasks, timeout_s=5), tasks)
        self.assertNotEqual(coordinator, fleet.coordinator())
        # A resubmission starts nothing: the coordinator that issued its identifier
        # no longer exists.
        again = fleet.submit(echo_tasks(12, 1500, 0), index=1, job_id=ids[0])
        self.assertEqual("unknown", again.json["outcome"], again.body)
        gevent.sleep(1.5)
        self.assert_no_second_start(fleet)

    def test_entry_killed(self):
        """Guards against lost or repeated jobs when a caller switches entries."""
        fleet = self.start_fleet()
        ids = fleet.new_ids(3)
        tasks = [echo_tasks(6, 800, n) for n in range(3)]
        first = [
            gevent.spawn(_call_or_none, fleet.submit, tasks[n], 0, job_id=ids[n])
            for n in range(3)
        ]
        gevent.sleep(0.3)
        fleet.kill("e1")
        self.assertEqual([None] * 3, [job.get(timeout=5) for job in first])
        for n in range(3):
            reply = fleet.submit(tasks[n], index=1, job_id=ids[n])
            self.assert_complete(reply, tasks[n])
            self.assert_started_once(fleet, ids[n], 6)

    def test_restarted_runner_is_another_incarnation(self):
        """Guards against a restarted process that handles its predecessor's jobs."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        ids = fleet.new_ids(3)
        self.assertEqual(200, fleet.submit(echo_tasks(2, 5), job_id=ids[0]).status)
        fleet.kill(coordinator)
        fleet.start_runner(coordinator)
        fleet.wait_ready(3)
        before = len(fleet.records())
        for index, job_id in ((0, ids[0]), (1, ids[1])):
            reply = fleet.submit(echo_tasks(2, 5), index=index, job_id=job_id)
            self.assertEqual("unknown", reply.json["outcome"], reply.body)
        reply = call(fleet.entry(1), "GET", f"/v1/jobs/{ids[0]}")
        self.assertEqual("unknown", reply.json["outcome"], reply.body)
        self.assertEqual(before, len(fleet.records()))
        # The restarted runner serves again, as coordinator and as executor.
        tasks = echo_tasks(24, 200, "after")
        self.assert_complete(fleet.submit(tasks), tasks)
        self.assertEqual(coordinator, fleet.coordinator())
        self.assertEqual({"r1", "r2", "r3"}, {r["upstream"] for r in fleet.records()})

    def test_kills_under_load(self):
        """Guards against faults that only show with many jobs in flight."""
        fleet = self.start_fleet(runners=[{"domain": d} for d in "abcab"])
        callers = Callers(fleet, 24, seed=1, resubmit_share=0.2)
        for name in ("r1", "r2", "e1"):
            gevent.sleep(1.0)
            fleet.kill(name)
            gevent.sleep(1.0)
            if name.startswith("r"):
                fleet.start_runner(name)
            else:
                fleet.start_entry(name)
        gevent.sleep(1.0)
        self.assertTrue(callers.stop())
        self.assertGreater(callers.outcomes()["complete"], 100)
        self.assert_starts(fleet, callers)


def _call_or_none(function, *args, **options):
    try:
        return function(*args, **options)
    except (OSError, ValueError):
        return None
