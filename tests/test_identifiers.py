"""
tests.test_identifiers
~~~~~~~~~~~~~~~~~~~~~~

Submissions with late, expired, unknown, refused or cancelled identifiers.
"""

import gevent

from standins.fleet import call

from .fleet_case import FleetCase, echo_tasks

__all__ = []

_SHORT = {"runner": {"id_block_ttl_s": 3.0, "result_ttl_s": 1.0}}


class IdentifierTest(FleetCase):
    def _outcome_of(self, reply):
        return reply.json["outcome"]

    def test_late_duplicates(self):
        """Guards against a second start after the record of a job has expired."""
        fleet = self.start_fleet(settings=_SHORT)
        used, unused = fleet.new_ids(2)
        tasks = echo_tasks(3, 5)
        self.assert_complete(fleet.submit(tasks, job_id=used), tasks)
        gevent.sleep(1.3)
        # The record has expired, but the identifier block has not.
        reply = fleet.submit(tasks, index=1, job_id=used)
        self.assertEqual("unknown", self._outcome_of(reply), reply.body)
        gevent.sleep(2.2)
        for job_id in (used, unused):
            reply = fleet.submit(tasks, job_id=job_id)
            self.assertEqual("unknown", self._outcome_of(reply), reply.body)
        self.assertEqual({used}, {r["job"] for r in fleet.records()})
        self.assert_started_once(fleet, used, 3)

    def test_number_that_was_never_issued(self):
        """Guards against running a job that was refused before its number was issued.

        Later blocks of identifiers cover the refused number, and the refused
        submission arrives once more.
        """
        fleet = self.start_fleet()
        coordinator, incarnation, number = fleet.new_ids(1)[0].split("-")[1:]
        tasks = echo_tasks(2, 5)
        for ahead in (1500, 10**12):
            job_id = f"j-{coordinator}-{incarnation}-{int(number) + ahead}"
            reply = fleet.submit(tasks, job_id=job_id)
            self.assertIn(self._outcome_of(reply), ("not_run", "unknown"), reply.body)
            if ahead == 1500:
                refused = job_id
                self.assertEqual("not_run", self._outcome_of(reply), reply.body)
        for _ in range(3):
            fleet.new_ids(1000)
            fleet.new_ids(1000, index=1)
        reply = fleet.submit(tasks, index=1, job_id=refused)
        self.assertNotEqual("complete", self._outcome_of(reply), reply.body)
        self.assertEqual([], [r for r in fleet.records() if r["job"] == refused])
        # Identifiers that are issued later work.
        reply = fleet.submit(tasks, job_id=fleet.new_ids(1)[0])
        self.assert_complete(reply, tasks)

    def test_other_incarnation(self):
        """Guards against a coordinator that runs a job of another incarnation."""
        fleet = self.start_fleet()
        coordinator, incarnation, number = fleet.new_ids(1)[0].split("-")[1:]
        other = f"j-{coordinator}-{int(incarnation, 16) ^ 2:x}-{number}"
        for index in (0, 1):
            reply = fleet.submit(echo_tasks(2, 5), index=index, job_id=other)
            self.assertEqual("unknown", self._outcome_of(reply), reply.body)
        nobody = f"j-nobody-{incarnation}-{number}"
        reply = fleet.submit(echo_tasks(2, 5), job_id=nobody)
        self.assertEqual("unknown", self._outcome_of(reply), reply.body)
        self.assertEqual([], fleet.records())

    def test_refusal_then_a_late_copy(self):
        """Guards against a start after the caller got the outcome `not_run`."""
        fleet = self.start_fleet()
        job_id = fleet.new_ids(1)[0]
        path = f"/v1/jobs/{job_id}"
        reply = call(fleet.entry(), "PUT", path, b"{")
        self.assertEqual("not_run", self._outcome_of(reply), reply.body)
        for index in (1, 0):
            reply = fleet.submit(echo_tasks(2, 5), index=index, job_id=job_id)
            self.assertNotEqual("complete", self._outcome_of(reply), reply.body)
        self.assertEqual([], fleet.records())

    def test_bad_body_under_a_used_identifier(self):
        """Guards against `not_run` for a job that runs or has run."""
        fleet = self.start_fleet()
        running, done = fleet.new_ids(2)
        tasks = echo_tasks(2, 2000)
        job = self.submit_async(fleet, tasks, job_id=running)
        quick = echo_tasks(2, 5)
        self.assert_complete(fleet.submit(quick, job_id=done), quick)
        gevent.sleep(0.2)
        reply = call(fleet.entry(1), "PUT", f"/v1/jobs/{running}", b"{")
        self.assertEqual("unknown", self._outcome_of(reply), reply.body)
        reply = call(fleet.entry(1), "PUT", f"/v1/jobs/{done}", b"{")
        self.assertIn(self._outcome_of(reply), ("complete", "unknown"), reply.body)
        self.assert_complete(job.get(timeout=10), tasks)

    def test_cancel_before_the_submission(self):
        """Guards against a job that starts after its cancellation."""
        fleet = self.start_fleet()
        job_id = fleet.new_ids(1)[0]
        reply = call(fleet.entry(), "DELETE", f"/v1/jobs/{job_id}")
        self.assertEqual(200, reply.status, reply.body)
        for index in (1, 0):
            reply = fleet.submit(echo_tasks(2, 5), index=index, job_id=job_id)
            self.assertNotEqual("complete", self._outcome_of(reply), reply.body)
        self.assertEqual([], fleet.records())

    def test_result_that_contains_a_refusal_text(self):
        """Guards against a second run because a result contains `not_run`."""
        fleet = self.start_fleet()
        document = {
            **{"service": "dispatch", "tenant": "t1", "class": "c1"},
            "tasks": [{"work_ms": 1, "echo": "not_run"}],
        }
        for index in (0, 1):
            reply = call(
                fleet.entry(index),
                "POST",
                "/v1/jobs",
                document,
                headers={"Idempotency-Key": "key-1"},
            )
            self.assertEqual(200, reply.status, reply.body)
        self.assertEqual(1, len(fleet.records()))
