"""
tests.test_domains
~~~~~~~~~~~~~~~~~~

Failure domains that are taken out of service and put back into service.
"""

import time

import gevent

from standins.callers import Callers

from .fleet_case import FleetCase, echo_tasks

__all__ = []

_RUNNERS = [{"domain": domain} for domain in "abcabc"]


class DomainTest(FleetCase):
    def test_domain_out_and_in_under_load(self):
        """Guards against starts in a domain out of service, and against lost tasks."""
        fleet = self.start_fleet(runners=_RUNNERS)
        callers = Callers(fleet, 24, seed=3, work_ms=100)
        gevent.sleep(1.0)
        coordinator_domain = _domain(fleet, fleet.coordinator())
        changes = []
        other = min({"a", "b", "c"} - {coordinator_domain})
        for domains in ([other], [coordinator_domain], [coordinator_domain, other]):
            status, reply = fleet.set_domains_out(domains)
            self.assertTrue(status == 200 and reply["accepted"], reply)
            accepted = time.time()
            gevent.sleep(2.0)
            returned = time.time()
            changes += [(domain, accepted, returned) for domain in domains]
            late = [
                record["start"] - accepted
                for record in fleet.records()
                if record["domain"] in domains and record["start"] > accepted + 0.5
            ]
            # Without faults the start gate is closed when the change is accepted.
            self.assertEqual([], late)
            status, reply = fleet.set_domains_out([])
            self.assertEqual(200, status, reply)
            restored_at = time.time()
            gevent.sleep(1.0)
            started = {r["domain"] for r in fleet.records() if r["start"] > restored_at}
            self.assertEqual({"a", "b", "c"}, started)
        self.assertTrue(callers.stop())
        self.assertEqual({"complete"}, set(callers.outcomes()), callers.outcomes())
        self.assert_starts(fleet, callers, changes)

    def test_queued_tasks_run_in_other_domains(self):
        """Guards against tasks that stay queued for a domain out of service."""
        fleet = self.start_fleet()
        coordinator = fleet.coordinator()
        tasks = echo_tasks(120, 200)
        job = self.submit_async(fleet, tasks)
        gevent.sleep(0.3)
        domain = _domain(fleet, coordinator)
        status, reply = fleet.set_domains_out([domain])
        self.assertTrue(status == 200 and reply["accepted"], reply)
        accepted = time.time()
        self.assert_complete(job.get(timeout=20), tasks)
        late = [
            record["start"] - accepted
            for record in fleet.records()
            if record["domain"] == domain and record["start"] > accepted + 0.5
        ]
        self.assertEqual([], late)
        self.assert_started_once(fleet, job.get().json["job_id"], 120)

    def test_concurrent_removal_of_two_domains(self):
        """Guards against a change that silently reverts a concurrent one."""
        fleet = self.start_fleet()
        version = fleet.version()
        config = fleet.config
        both = [
            gevent.spawn(fleet.apply, {**config, "domains_out": [d]}, version, index)
            for index, d in enumerate("ab")
        ]
        replies = sorted((job.get(timeout=10) for job in both), key=lambda r: r[0])
        self.assertEqual([200, 409], [status for status, _ in replies])
        status, reply = fleet.set_domains_out(["a", "b"])
        self.assertTrue(status == 200 and reply["accepted"], reply)
        out_at = time.time()
        tasks = echo_tasks(24, 50)
        self.assert_complete(fleet.submit(tasks, index=1), tasks)
        started = {r["domain"] for r in fleet.records() if r["start"] > out_at}
        self.assertEqual({"c"}, started)

    def test_change_during_a_store_outage(self):
        """Guards against a change that is reported as accepted without the store."""
        fleet = self.start_fleet()
        fleet.control_store(mode="down")
        status, reply = fleet.set_domains_out(["a"])
        self.assertEqual(503, status, reply)
        gevent.sleep(2.5)
        tasks = echo_tasks(24, 100)
        self.assert_complete(fleet.submit(tasks), tasks)
        self.assertEqual({"a", "b", "c"}, {r["domain"] for r in fleet.records()})
        fleet.control_store(mode="ok")
        fleet.wait_until(lambda: fleet.set_domains_out(["a"])[0] == 200)
        out_at = time.time()
        self.assert_complete(fleet.submit(tasks, index=1), tasks)
        started = {r["domain"] for r in fleet.records() if r["start"] > out_at}
        self.assertEqual({"b", "c"}, started)

    def test_all_domains_out(self):
        """Guards against starts without a domain in service, and a false `not_run`."""
        fleet = self.start_fleet()
        job = self.submit_async(fleet, echo_tasks(60, 300), deadline_ms=4000)
        gevent.sleep(0.1)
        status, reply = fleet.set_domains_out(["a", "b", "c"])
        self.assertTrue(status == 200 and reply["accepted"], reply)
        reply = fleet.submit(echo_tasks(2, 10))
        self.assertEqual("not_run", reply.json["outcome"], reply.body)
        self.assertIn(job.get(timeout=10).json["outcome"], ("failed", "unknown"))
        self.assertEqual(200, fleet.set_domains_out([])[0])
        tasks = echo_tasks(2, 10)
        fleet.wait_ready(3)
        self.assert_complete(fleet.submit(tasks), tasks)


def _domain(fleet, member):
    members = fleet.status()["members"]
    return next(m["domain"] for m in members if m["member"] == member)
