"""
tests.test_store_outage
~~~~~~~~~~~~~~~~~~~~~~~

A store that is down, slow or loses answers; runners cut off from all entries.
"""

import time

import gevent

from standins.callers import Callers, fleet_findings
from standins.fleet import call

from .fleet_case import FleetCase, echo_tasks

__all__ = []

# Longer than the silence limit, the reconnect grace and the evidence bound.
_OUTAGE_S = 4.0


class StoreOutageTest(FleetCase):
    def test_jobs_are_served_without_the_store(self):
        """Guards against a fleet that stops serving during a store outage."""
        fleet = self.start_fleet()
        callers = Callers(fleet, 12, seed=6, work_ms=100)
        for fault in (
            {"mode": "down"},
            {"mode": "slow", "delay_s": 0.9},
            {"mode": "slow", "delay_s": 3.0},
            {"mode": "lose"},
        ):
            fleet.control_store(**fault)
            gevent.sleep(_OUTAGE_S)
            checked_at = time.time()
            gevent.sleep(0.5)
            starts = [r for r in fleet.records() if r["start"] > checked_at]
            self.assertEqual({"a", "b", "c"}, {r["domain"] for r in starts}, fault)
            fleet.control_store(mode="ok")
        self.assertTrue(callers.stop())
        self.assertEqual({"complete"}, set(callers.outcomes()), callers.outcomes())
        self.assert_starts(fleet, callers)
        self.assertEqual([], fleet_findings(fleet))

    def test_lost_answer_of_a_change(self):
        """Guards against a change that took effect but is reported as refused."""
        fleet = self.start_fleet()
        fleet.control_store(mode="lose")
        status, reply = fleet.set_domains_out(["a"])
        fleet.control_store(mode="ok")
        self.assertEqual(200, status, reply)
        self.assertTrue(reply["accepted"], reply)
        status, reply = fleet.set_domains_out([])
        self.assertEqual(200, status, reply)
        self.assertEqual(3, reply["version"])

    def test_new_processes_learn_the_version_from_their_peers(self):
        """Guards against new processes without a version or with an old one."""
        fleet = self.start_fleet()
        self.assertEqual(200, fleet.set_domains_out(["a"])[0])
        coordinator = fleet.coordinator()
        fleet.control_store(mode="down")
        gevent.sleep(1.5)
        fleet.kill("e1")
        fleet.start_entry("e1")
        fleet.kill(coordinator)
        fleet.start_runner(coordinator)
        fleet.wait_until(lambda: fleet.version(0) == 2 and fleet.version(1) == 2)
        fleet.wait_until(
            lambda: [m["config_version"] for m in fleet.status(1)["members"]] == [2] * 3
        )
        gevent.sleep(_OUTAGE_S)
        before = len(fleet.records())
        tasks = echo_tasks(24, 50)
        self.assert_complete(fleet.submit(tasks, index=0), tasks)
        self.assert_complete(fleet.submit(tasks, index=1), tasks)
        self.assertEqual({"b", "c"}, {r["domain"] for r in fleet.records()[before:]})
        fleet.control_store(mode="ok")
        fleet.wait_until(lambda: fleet.set_domains_out([])[0] == 200)

    def test_runner_without_entries(self):
        """Guards against starts with stale evidence, and against lost tasks.

        A runner that is cut off from all entries finishes its running tasks; the
        coordinator keeps its link to it.
        """
        fleet = self.start_fleet(proxied=True)
        coordinator = fleet.coordinator()
        victim = min({"r1", "r2", "r3"} - {coordinator})
        long_tasks = echo_tasks(24, 4500, "long")
        job = self.submit_async(fleet, long_tasks)
        gevent.sleep(0.5)
        self.assertTrue(fleet.records(victim))
        for name in ("e1", "e2"):
            fleet.proxies[f"{victim}>{name}"].refuse = True
            fleet.proxies[f"{victim}>{name}"].cut()
        cut = time.time()
        more = echo_tasks(48, 100, "more")
        later = self.submit_async(fleet, more)
        self.assert_complete(job.get(timeout=15), long_tasks)
        self.assert_complete(later.get(timeout=15), more)
        late = [r["start"] - cut for r in fleet.records(victim)]
        self.assertEqual([], [start for start in late if start > 2.1])
        for name in ("e1", "e2"):
            fleet.proxies[f"{victim}>{name}"].refuse = False
        fleet.wait_ready(3)
        reconnected_at = time.time()

        # The coordinator reconnects to the runner after the entries have listed it,
        # which may take longer than one job of 0.3 s.
        def victim_starts_tasks():
            self.assert_complete(fleet.submit(more), more)
            return any(r["start"] > reconnected_at for r in fleet.records(victim))

        fleet.wait_until(victim_starts_tasks, timeout_s=3.0)
        self.assert_no_second_start(fleet)

    def test_coordinator_without_entries(self):
        """Guards against a coordinator that starts tasks that no caller waits for."""
        fleet = self.start_fleet(proxied=True)
        coordinator = fleet.coordinator()
        ids = fleet.new_ids(1)
        job = self.submit_async(fleet, echo_tasks(200, 400), job_id=ids[0])
        gevent.sleep(0.5)
        for name in ("e1", "e2"):
            fleet.proxies[f"{coordinator}>{name}"].refuse = True
            fleet.proxies[f"{coordinator}>{name}"].cut()
        cut = time.time()
        self.assertEqual("unknown", job.get(timeout=10).json["outcome"])
        gevent.sleep(max(0.0, cut + 3.0 - time.time()))
        late = [r["start"] - cut for r in fleet.records(coordinator)]
        self.assertEqual([], [start for start in late if start > 2.1])
        for name in ("e1", "e2"):
            fleet.proxies[f"{coordinator}>{name}"].refuse = False
        fleet.wait_ready(3)
        # The coordinator is the same incarnation, so `unknown` can be replaced by the
        # final outcome.
        path = f"/v1/jobs/{ids[0]}?wait_ms=15000"
        self.assertEqual(200, call(fleet.entry(1), "GET", path).status)
        self.assert_started_once(fleet, ids[0], 200)
