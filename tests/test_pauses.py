"""
tests.test_pauses
~~~~~~~~~~~~~~~~~

Processes that are paused for longer than the timeouts and then continue.
"""

import signal
import time

import gevent

from standins.callers import Callers
from standins.fleet import call

from .fleet_case import FleetCase, echo_tasks

__all__ = []

# Longer than the silence limit, the reconnect grace and the evidence bound together.
_PAUSE_S = 4.5


class PauseTest(FleetCase):
    def test_executor_paused(self):
        """Guards against starts from old grants when a paused executor continues."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        paused = min({"r1", "r2", "r3"} - {coordinator})
        tasks = echo_tasks(24, 10)
        self.assert_complete(fleet.submit(tasks), tasks)
        fleet.signal(paused, signal.SIGSTOP)
        stopped = time.time()
        # The coordinator has not detected the pause yet and sends grants there.
        job = self.submit_async(fleet, echo_tasks(24, 300, "job"))
        reply = job.get(timeout=10)
        self.assertEqual("unknown", reply.json["outcome"], reply.body)
        gevent.sleep(max(0.0, stopped + _PAUSE_S - time.time()))
        fleet.signal(paused, signal.SIGCONT)
        fleet.wait_ready(3)
        gevent.sleep(0.5)
        late = [r for r in fleet.records(paused) if r["start"] > stopped + 0.05]
        self.assertEqual([], late)
        tasks = echo_tasks(24, 100, "after")
        self.assert_complete(fleet.submit(tasks), tasks)
        self.assertTrue([r for r in fleet.records(paused) if r["start"] > stopped])
        self.assert_no_second_start(fleet)

    def test_domain_out_while_executor_is_paused(self):
        """Guards against a start in a domain that was taken out during a pause."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        paused = min({"r1", "r2", "r3"} - {coordinator})
        domain = _domain(fleet, paused)
        tasks = echo_tasks(24, 10)
        self.assert_complete(fleet.submit(tasks), tasks)
        fleet.signal(paused, signal.SIGSTOP)
        stopped = time.time()
        job = self.submit_async(fleet, echo_tasks(24, 300, "job"))
        gevent.sleep(0.1)
        status, reply = fleet.set_domains_out([domain])
        self.assertEqual(200, status, reply)
        self.assertTrue(reply["accepted"], reply)
        job.get(timeout=10)
        gevent.sleep(max(0.0, stopped + _PAUSE_S - time.time()))
        fleet.signal(paused, signal.SIGCONT)
        gevent.sleep(1.5)
        late = [r for r in fleet.records(paused) if r["start"] > stopped + 0.05]
        self.assertEqual([], late)

    def test_coordinator_paused(self):
        """Guards against waiting for a paused coordinator, and second starts."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        ids = fleet.new_ids(2)
        jobs = [
            self.submit_async(fleet, echo_tasks(16, 700, n), index=n, job_id=ids[n])
            for n in (0, 1)
        ]
        gevent.sleep(0.3)
        fleet.signal(coordinator, signal.SIGSTOP)
        stopped = time.monotonic()
        for job in jobs:
            reply = job.get(timeout=10)
            self.assertEqual("unknown", reply.json["outcome"], reply.body)
        # Silence limit, reconnect grace and one interval of the watchdog.
        self.assertLess(time.monotonic() - stopped, 2.5)
        tasks = echo_tasks(8, 20, "meanwhile")
        self.assert_complete(fleet.submit(tasks, timeout_s=5), tasks)
        gevent.sleep(max(0.0, stopped + _PAUSE_S - time.monotonic()))
        fleet.signal(coordinator, signal.SIGCONT)
        fleet.wait_ready(3)
        gevent.sleep(1.0)
        for n in (0, 1):
            path = f"/v1/jobs/{ids[n]}?wait_ms=3000"
            outcome = call(fleet.entry(n), "GET", path).json["outcome"]
            self.assertIn(outcome, ("complete", "unknown", "failed"))
        self.assert_no_second_start(fleet)

    def test_entry_paused(self):
        """Guards against lost answers and stale evidence after a pause of an entry."""
        fleet = self.start_fleet()
        ids = fleet.new_ids(2)
        tasks = [echo_tasks(6, 500, n) for n in range(2)]
        jobs = [self.submit_async(fleet, tasks[n], job_id=ids[n]) for n in range(2)]
        gevent.sleep(0.2)
        fleet.signal("e1", signal.SIGSTOP)
        stopped = time.monotonic()
        for n in range(2):
            reply = fleet.submit(tasks[n], index=1, job_id=ids[n], timeout_s=5)
            self.assert_complete(reply, tasks[n])
        status, reply = fleet.set_domains_out(["a"], index=1)
        self.assertTrue(status == 200 and reply["accepted"], reply)
        out_at = time.time()
        gevent.sleep(max(0.0, stopped + _PAUSE_S - time.monotonic()))
        fleet.signal("e1", signal.SIGCONT)
        for n in range(2):
            self.assert_complete(jobs[n].get(timeout=5), tasks[n])
        after = echo_tasks(24, 20, "after")
        self.assert_complete(fleet.submit(after, index=0, timeout_s=10), after)
        fleet.wait_until(lambda: fleet.version(0) == fleet.version(1))
        late = [
            r for r in fleet.records() if r["domain"] == "a" and r["start"] > out_at
        ]
        self.assertEqual(
            [], [r["start"] - out_at for r in late if r["start"] > out_at + 3]
        )
        self.assert_no_second_start(fleet)

    def test_pauses_under_load(self):
        """Guards against faults that only show with many jobs in flight."""
        fleet = self.start_fleet()
        callers = Callers(fleet, 24, seed=2, resubmit_share=0.2)
        gevent.sleep(0.5)
        for name in ("r1", "e2", "r2"):
            fleet.signal(name, signal.SIGSTOP)
            gevent.sleep(2.6)
            fleet.signal(name, signal.SIGCONT)
            gevent.sleep(0.7)
        self.assertTrue(callers.stop())
        self.assertGreater(callers.outcomes()["complete"], 100)
        self.assert_starts(fleet, callers)


def _domain(fleet, member):
    members = fleet.status()["members"]
    return next(m["domain"] for m in members if m["member"] == member)
