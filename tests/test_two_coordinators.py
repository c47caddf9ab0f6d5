"""
tests.test_two_coordinators
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Two coordinators of one cell that share its executors.
"""

import gevent

from .fleet_case import FleetCase

__all__ = []

_SLOTS = 24


class TwoCoordinatorsTest(FleetCase):
    def _start_two_coordinators(self):
        """Returns a fleet, a job id of the first coordinator, and its domain."""
        fleet = self.start_fleet(entries=1)
        job_id = fleet.new_ids(1)[0]
        coordinator = job_id.split("-")[1]
        members = fleet.status()["members"]
        domain = next(m["domain"] for m in members if m["member"] == coordinator)
        return fleet, job_id, domain

    def test_second_coordinator_learns_that_slots_are_free(self):
        """Guards against waiting for slots that old reports show as in use."""
        fleet, job_id, domain = self._start_two_coordinators()
        tasks = [{"work_ms": 1500}] * _SLOTS
        first = gevent.spawn(fleet.submit, tasks, job_id=job_id)
        gevent.sleep(0.3)
        # The second coordinator connects while every slot is in use.
        fleet.set_domains_out([domain])
        self.assertEqual(200, first.get(timeout=20).status)
        reply = fleet.submit([{"work_ms": 300}] * _SLOTS, deadline_ms=8000)
        self.assertEqual(200, reply.status, reply.body)
        self.assertNotIn(f"-{job_id.split('-')[1]}-", reply.json["job_id"])
        # The second coordinator knows the slots of its own executor in any case; it
        # must also use the other executor in service.
        used = {result["upstream"] for result in reply.json["results"]}
        self.assertEqual(2, len(used), used)

    def test_both_coordinators_finish_their_jobs(self):
        """Guards against lost or repeated tasks when grants compete for a slot."""
        fleet, job_id, domain = self._start_two_coordinators()
        fleet.set_domains_out([domain])
        second_id = fleet.new_ids(1)[0]
        self.assertNotEqual(job_id.split("-")[1], second_id.split("-")[1])
        tasks = [{"work_ms": 40, "echo": number} for number in range(80)]
        jobs = [
            gevent.spawn(fleet.submit, tasks, job_id=one) for one in (job_id, second_id)
        ]
        for one, job in zip((job_id, second_id), jobs):
            reply = job.get(timeout=30)
            self.assertEqual(200, reply.status, reply.body)
            self.assert_started_once(fleet, one, len(tasks))
